//! The simulator's side of the balancer: the host of the line protocol.

mod host;
mod wire;

pub use host::{Host, HostError};
pub use wire::Malformed;
