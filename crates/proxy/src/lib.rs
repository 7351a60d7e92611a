//! A load balancer on real sockets. All decisions are those of `balancer-policy`; this crate turns what happens on
//! the network into its events and carries out its actions.
//!
//! One thread, one runtime: [`event_loop::EventLoop`] owns the state behind a `RefCell` that is never borrowed across an
//! await.
//!
//! # Control side
//!
//! | module | concern |
//! | --- | --- |
//! | [`config`] | the configuration file and the environment, as plain data |
//! | [`discovery`] | the form of endpoint lists, and the watch on discovery |
//! | [`reconfiguration`] | following the distribution of settings |
//! | [`offered`] | the classes and tenants that requests may name |
//! | [`request_table`] | requests in flight with their attempts |
//! | [`endpoint_table`] | endpoints: numbers, addresses, readiness, drains |
//! | [`clock`] | start times; the one place that reads the wall clock |
//! | [`event_loop`] | feeds events to the policy, carries out its actions |
//! | [`telemetry`] | counts and log |
//!
//! Dependencies point one way. Discovery and configuration reach the event loop through traits of their own,
//! [`discovery::WatchObserver`] and [`reconfiguration::Reconfigurable`]:
//!
//! ```text
//! server -> event_loop -> request_table
//!                      -> endpoint_table -> clock, discovery::update
//!                      -> discovery ------> discovery::client -> pool
//!                      -> reconfiguration -> config, offered, pool
//!                      -> config ---------> clock, discovery::update
//!                      -> pool -----------> connection -> socket
//! all -> telemetry::log
//! ```
//!
//! Still a circle: [`upstream`] calls the event loop by its type, and the event loop starts its attempts; the request
//! table has its `Call`.

pub mod clock;
pub mod config;
pub mod discovery;
pub mod downstream;
pub mod endpoint_table;
pub mod event_loop;
pub mod offered;
pub mod reconfiguration;
pub mod request_table;
pub mod telemetry;
pub mod upstream;

pub use downstream as server;
pub use downstream::socket;
pub use telemetry::{counters, log};
pub use upstream::{connection, pool};

use telemetry::log::log;
