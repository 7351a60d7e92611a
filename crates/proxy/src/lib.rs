//! A load balancer on real sockets. All decisions are those of `balancer-policy`; this crate turns what happens on
//! the network into its events and carries out its actions.
//!
//! One thread, one runtime: [`event_loop::Driver`] owns the state behind a `RefCell` that is never
//! borrowed across an await.

pub mod clock;
pub mod config;
pub mod configuration;
pub mod connection;
pub mod discovery;
pub mod event_loop;
pub mod offered;
pub mod pool;
pub mod server;
pub mod socket;
pub mod telemetry;
pub mod trust;
pub mod upstream;

pub use event_loop as driver;
pub use telemetry::{counters, log};

use telemetry::log::log;
