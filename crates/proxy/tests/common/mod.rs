//! Shared code of the proxy's tests: simulated peers of a balancer on loopback sockets, and the balancer itself, on a
//! thread or as a process. All listeners use port 0. Tests wait for each expected event, with time-outs that are only
//! reached when something hangs.
#![allow(dead_code, unused_imports, reason = "each test file uses only a part of the shared code")]

mod balancer;
mod client;
mod configuration_parent;
mod discovery;
mod event_loop;
pub mod faults;
mod late_upstream;
mod load;
mod message;
mod pipelining;
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
pub use pipelining::*;
pub use process::*;
pub use settings::*;
pub use upstream::*;
pub use wait::*;
pub use watch::*;
