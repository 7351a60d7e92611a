//! What the tests of the proxy share: stand-ins on loopback sockets for all that is around a balancer, and the balancer
//! itself, on a thread or as a process. Everything listens on port 0; tests wait for what must happen, with limits that
//! only a hang meets.
#![allow(dead_code, unused_imports, reason = "each test file uses a part of it")]

mod balancer;
mod client;
mod configuration_parent;
mod discovery;
mod event_loop;
pub mod faults;
mod late_upstream;
mod load;
mod message;
mod process;
mod settings;
mod upstream;
mod wait;
mod watch;

pub use balancer::*;
pub use client::*;
pub use configuration_parent::*;
pub use discovery::*;
pub use event_loop::*;
pub use late_upstream::*;
pub use load::*;
pub use message::*;
pub use process::*;
pub use settings::*;
pub use upstream::*;
pub use wait::*;
pub use watch::*;
