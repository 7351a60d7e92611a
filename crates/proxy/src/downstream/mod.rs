//! The client side of the proxy: client connections and their requests, the health check, and graceful shutdown.
//!
//! `server` runs the other modules; `listener` accepts connections, `connection` serves one client using `request` and
//! `response`, and `connection_set` tracks all open connections. Admission and the choice of upstreams are decided
//! elsewhere.

mod accept;
mod connection;
mod connection_set;
mod connection_state;
mod health;
mod http;
mod listener;
mod request;
mod response;
mod server;
pub mod shutdown;

pub use accept::AcceptFailure;
pub use listener::Accept;
pub use server::{serve, serve_on};
