//! Hosts around the core: sockets and timers. They decide nothing.

pub mod accept;
pub mod call;
pub mod client;
pub mod log;
pub mod origin;
pub mod relay;
pub mod server;
pub mod watch;

pub use crate::store;
