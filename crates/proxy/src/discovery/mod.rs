//! The watch on service discovery, by which a balancer learns of changes to the endpoint list: one HTTP call that stays
//! open, on which each line is an update or, if empty, a heartbeat.
//!
//! [`client`] makes the call and enforces its timeouts; [`mod@watch`] interprets the lines and notifies a
//! [`WatchObserver`]; [`update`] defines the wire format of an update. `watch` depends on the other two; these depend
//! neither on each other nor on `watch`.

pub mod client;
pub mod update;
pub mod watch;

pub use client::{DiscoveryWatchError, FirstLineTimeout, LineError};
pub use update::{Endpoint, Update};
pub use watch::{MAX_NOTIFICATION_DELAY, WatchObserver, WatchStart, watch};
