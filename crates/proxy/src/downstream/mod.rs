//! The side of clients: their connections and requests, the health check, and the end of the program.

mod accept;
mod connection;
mod connection_set;
mod framing;
mod health;
mod listener;
mod request;
mod response;
mod shutdown;
pub mod socket;

pub use accept::AcceptFailure;
pub use listener::{Accept, serve, serve_on};
