//! A load balancer on real sockets. `balancer-policy` makes all decisions; this crate translates network activity into
//! events for the policy and carries out the actions that the policy returns.
//!
//! The balancer runs on one thread with one runtime. [`event_loop::EventLoop`] owns the state behind a `RefCell` that
//! is never borrowed across an await.
//!
//! # Modules
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`config`] | reads the configuration file and the environment into plain data |
//! | [`discovery`] | wire format of endpoint lists, and the watch on service discovery |
//! | [`reconfiguration`] | follows the distribution of settings and applies changes at run time |
//! | [`name_registry`] | names and ids of the classes and tenants that requests may use |
//! | [`request_table`] | requests in flight and their attempts |
//! | [`endpoint_table`] | endpoints: ids, addresses, readiness, drains |
//! | [`clock`] | start times of upstreams; the only module that reads the wall clock |
//! | [`memory`] | the memory that peers can make the process hold, and its limits |
//! | [`event_loop`] | passes events to the policy and carries out its actions |
//! | [`telemetry`] | counters and log |
//! | [`socket`] | a TCP socket that detects the peer's close and limits how far HTTP code may read |
//! | [`upstream`] | attempts and the upstream connections that they use |
//! | [`downstream`] | client connections and requests, and graceful shutdown |
//!
//! Dependencies between modules have no cycles. Discovery, reconfiguration and attempts call the event loop through
//! traits that they define themselves: [`discovery::WatchObserver`], [`reconfiguration::Reconfigurable`] and
//! [`upstream::AttemptContext`].
//!
//! ```text
//! downstream -----> event_loop, config, reconfiguration, upstream, socket, memory
//! event_loop -----> config, reconfiguration, discovery, endpoint_table, request_table, telemetry, upstream, memory
//! reconfiguration -> config, name_registry, upstream
//! config ---------> clock, discovery
//! endpoint_table -> clock, discovery
//! discovery ------> upstream
//! request_table --> socket, upstream
//! upstream -------> socket, memory
//! socket ---------> memory
//! clock, name_registry, memory: none
//! all -> telemetry::log
//! ```

#![warn(clippy::pedantic)]

pub mod clock;
pub mod config;
pub mod discovery;
pub mod downstream;
pub mod endpoint_table;
pub mod event_loop;
pub mod memory;
pub mod name_registry;
pub mod reconfiguration;
pub mod request_table;
pub mod socket;
pub mod telemetry;
pub mod upstream;

pub use downstream as server;
pub use telemetry::{counters, log};
pub use upstream::{connection, pool};

use telemetry::log::log;
