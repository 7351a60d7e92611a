//! The simulator's side of the balancer: the host of the line protocol.

mod action;
mod endpoint_lists;
mod error;
mod event;
mod fields;
mod host;
mod instance;
mod requests;
mod wire;

pub use error::{HostError, Malformed};
pub use host::Host;
