//! How does a balancer learn of changes of the endpoint list? It watches discovery: one call that stays open, on which
//! each line is an update or, if empty, a heartbeat.
//!
//! [`client`] makes the call and bounds its times; [`mod@watch`] hands what its lines mean to a [`WatchObserver`];
//! [`update`] is the form of an update on the wire. Each knows only those that it names: `watch` the other two,
//! `client` and `update` neither.

pub mod client;
pub mod update;
pub mod watch;

pub use client::{BrokenError, LineError, Patience};
pub use update::{Endpoint, Update};
pub use watch::{NOTIFIED_WITHIN, WatchObserver, WatchStart, watch};
