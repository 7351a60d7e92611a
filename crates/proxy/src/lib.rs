//! A load balancer on real sockets. All decisions are those of `balancer-policy`; this crate turns what happens on
//! the network into its events and carries out its actions.
//!
//! One thread, one runtime: [`event_loop::EventLoop`] owns the state behind a `RefCell` that is never borrowed across an
//! await.
//!
//! # Modules
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
//! | [`socket`] | a TCP socket that sees the peer's end, and how far HTTP code may read on it |
//! | [`upstream`] | attempts and the connections that they use |
//! | [`downstream`] | clients' connections and requests, and graceful shutdown |
//!
//! Dependencies point one way. Discovery, configuration and attempts reach the event loop through traits of their own,
//! [`discovery::WatchObserver`], [`reconfiguration::Reconfigurable`] and [`upstream::AttemptContext`]:
//!
//! ```text
//! downstream -----> event_loop, config, reconfiguration, upstream, socket
//! event_loop -----> config, reconfiguration, discovery, endpoint_table, request_table, telemetry, upstream
//! reconfiguration -> config, offered, upstream
//! config ---------> clock, discovery
//! endpoint_table -> clock, discovery
//! discovery ------> upstream
//! request_table --> socket, upstream
//! upstream -------> socket
//! clock, offered, socket: none
//! all -> telemetry::log
//! ```

#![warn(clippy::pedantic)]

pub mod clock;
pub mod config;
pub mod discovery;
pub mod downstream;
pub mod endpoint_table;
pub mod event_loop;
pub mod offered;
pub mod reconfiguration;
pub mod request_table;
pub mod socket;
pub mod telemetry;
pub mod upstream;

pub use downstream as server;
pub use telemetry::{counters, log};
pub use upstream::{connection, pool};

use telemetry::log::log;
