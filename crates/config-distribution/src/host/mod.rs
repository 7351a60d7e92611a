//! Hosts of the sans-IO core: they own the sockets, timers and disk access, and carry out what the core decides.

pub mod accept;
pub mod body;
pub mod call;
pub mod client;
pub mod log;
pub mod origin;
pub mod relay;
pub mod server;
pub mod watch;

pub use crate::store;
