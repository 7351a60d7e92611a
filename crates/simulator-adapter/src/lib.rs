//! The simulator's side of the balancer: the host of the line protocol.

mod action;
mod error;
mod event;
mod fields;
mod host;
mod instance;
mod list;
mod requests;
mod wire;

pub use error::{HostError, Malformed};
pub use host::Host;
