//! A load balancer on real sockets. All decisions are those of `balancer-policy`; this crate turns what happens on
//! the network into its events and carries out its actions.
//!
//! One thread, one runtime: [`driver::Driver`] owns the state behind a `RefCell` that is never
//! borrowed across an await.

pub mod clock;
pub mod config;
pub mod configuration;
pub mod counters;
pub mod discovery;
pub mod downstream;
pub mod driver;
pub mod log;
pub mod upstream;

pub use downstream as server;
pub use downstream::socket;
use log::log;
pub use upstream::{connection, pool};
