//! The side of clients: their connections and requests, the health check, and the end of the program.
//!
//! `server` runs the whole; `listener` accepts, `connection` serves one client with `request` and `response`, and
//! `connection_set` knows all that are open. Who is let in and what is sent where is not decided here.

mod accept;
mod connection;
mod connection_set;
mod connection_state;
mod health;
mod listener;
mod request;
mod response;
mod server;
pub mod shutdown;

pub use accept::AcceptFailure;
pub use listener::Accept;
pub use server::{serve, serve_on};
