//! HTTP/1.1 server of watches, reports and publications, which the origin and the relays share.
//!
//! Thousands of children stay connected for days, and each change has to reach all of them at once without a queue for
//! each child. For each watch the server holds its index, its scopes and at most one line in flight. A line is encoded
//! once for all watches of the same scopes and index.
//!
//! - this module: the listener, its connections and the graceful shutdown;
//! - `limits`: the number of watches and connections allowed;
//! - `connection`: one connection and its deadlines;
//! - `request`: routes a request by method and path to its response, and defines the errors of requests;
//! - `query`: the query of a watch;
//! - `stream`: the lines of one watch, updates and heartbeats;
//! - `line_cache`: encoded lines that watches share;
//! - `response`: response bodies, and the progress of sending a line.

mod connection;
mod limits;
mod line_cache;
mod query;
mod request;
mod response;
mod stream;

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use oorandom::Rand64;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::task::{JoinSet, yield_now};
use tokio::time::{Instant, sleep, timeout};

use self::line_cache::LineCache;
use super::accept::{ConsecutiveFailures, Listener};
use super::log::log;
use crate::document::Scope;
use crate::report::{Reports, Sums};
use crate::state::State;

pub use self::connection::LEVEL_HEADER;
pub use self::limits::Limits;
pub(crate) use self::response::{ResponseBody, error_response, json_response};

/// Time limit at shutdown for connections to end in order, so that an unreachable child cannot delay the exit of
/// the process.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);

/// State and changes of a host, as the server uses them.
pub(crate) trait Source: 'static {
    /// Passes the state that watches see to `read`. Returns `None` while there is no state to send as a snapshot.
    fn with_state<T>(&self, read: impl FnOnce(&State) -> T) -> Option<T>;
    /// Seconds since the newest line received from above left the origin, as far as is known; 0 at the origin itself.
    fn stale_s(&self) -> u64;
    /// Carries out a change and returns the response to it. Runs in a task of its own, so that it completes even if the
    /// client has disconnected.
    fn apply_change(self: Rc<Self>, change: Change) -> impl Future<Output = Response<ResponseBody>>;
    /// Maximum size of a document.
    fn max_body_bytes(&self) -> usize;
}

/// Publication as received, before the core checks it.
pub(crate) struct Change {
    /// Scope of the document.
    pub scope: Scope,
    /// New body of the document, or `None` to withdraw it.
    pub body: Option<Bytes>,
    /// Request id, by which a repeated request is recognized.
    pub request: Box<str>,
    /// Version that the current document must have, if given; 0 stands for no document.
    pub if_version: Option<u64>,
}

/// Report of a relay to its parent about the processes below the relay.
#[derive(Serialize, Deserialize)]
pub(crate) struct RelayReport {
    /// Name of the relay.
    pub who: Box<str>,
    /// Sums over all processes below the relay.
    pub sums: Sums,
}

/// Server of watches, reports and publications for the state of a host.
pub(crate) struct Server<S> {
    /// Host that holds the state and carries out changes.
    pub source: Rc<S>,
    /// Level of this process, sent with each response; 0 is the origin.
    level: u8,
    limits: Limits,
    /// Start of the clock of `reports`, which counts time from this instant.
    start: Instant,
    /// Notifies all watches that the state has changed.
    changed: watch::Sender<()>,
    /// Set to true at shutdown, which ends all watches.
    shutdown: watch::Sender<bool>,
    /// Encoded lines of the current state.
    lines: RefCell<LineCache>,
    /// Reports received from balancers and relays.
    reports: RefCell<Reports>,
    /// Number of watches that are open on this server.
    open_watches: Cell<usize>,
    /// Random numbers that spread the heartbeats of the watches.
    rng: RefCell<Rand64>,
}

impl<S: Source> Server<S> {
    pub(crate) fn new(source: Rc<S>, level: u8, limits: Limits, seed: u64) -> Rc<Self> {
        Rc::new(Self {
            source,
            level,
            limits,
            start: Instant::now(),
            changed: watch::Sender::new(()),
            shutdown: watch::Sender::new(false),
            lines: RefCell::default(),
            reports: RefCell::default(),
            open_watches: Cell::new(0),
            rng: RefCell::new(Rand64::new(u128::from(seed))),
        })
    }

    /// Notifies all watches that the state has changed.
    pub(crate) fn notify_changed(&self) {
        *self.lines.borrow_mut() = LineCache::default();
        self.changed.send_replace(());
    }

    /// Returns a receiver that is notified of each change of the state from now on.
    pub(crate) fn subscribe(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// Sums over all processes below this one: which versions are in force, and which processes lag or are silent.
    pub(crate) fn sums(&self) -> Sums {
        let sums = |state: &State| self.reports.borrow().sums(self.start.elapsed(), state);
        self.source.with_state(sums).unwrap_or_else(|| sums(&State::default()))
    }

    /// Serves until `stop` completes, then ends all watches and waits for the connections to close, for at most
    /// `SHUTDOWN_TIMEOUT`. If the future is dropped, all connections are closed at once.
    pub(crate) async fn run(self: Rc<Self>, listener: impl Listener, stop: impl Future<Output = ()>) {
        let mut connections = JoinSet::new();
        self.accept_until(stop, &listener, &mut connections).await;
        drop(listener);
        self.end_watches(connections).await;
    }

    /// Accepts connections until `stop` completes, and serves each in its own task.
    async fn accept_until(
        self: &Rc<Self>,
        stop: impl Future<Output = ()>,
        listener: &impl Listener,
        connections: &mut JoinSet<()>,
    ) {
        let mut failures = ConsecutiveFailures::default();
        let mut stop = pin!(stop);
        loop {
            let accepted = tokio::select! {
                () = stop.as_mut() => return,
                Some(_) = connections.join_next() => continue,
                accepted = listener.accept() => accepted,
            };
            if accepted.is_ok() {
                failures = ConsecutiveFailures::default();
            }
            match accepted {
                Ok(_) if connections.len() >= self.limits.max_connections() => {
                    log(format_args!(
                        "refused a connection: {} are already open, raise --readers-most to allow more",
                        connections.len()
                    ));
                }
                Ok(stream) => {
                    connections.spawn_local(Rc::clone(self).serve_connection(stream));
                }
                Err(error) => {
                    let pause = failures.pause_after(&error);
                    if failures.is_first() {
                        log(format_args!("cannot accept a connection, accepting continues: {error}"));
                    }
                    // Open connections are not affected by the pause: each has its own task.
                    if pause.is_zero() { yield_now().await } else { sleep(pause).await }
                }
            }
        }
    }

    /// Ends all watches and waits for the connections to close, for at most `SHUTDOWN_TIMEOUT`.
    async fn end_watches(&self, mut connections: JoinSet<()>) {
        log(format_args!("shutting down: ending {} watches", self.open_watches.get()));
        self.shutdown.send_replace(true);
        let ended = async { while connections.join_next().await.is_some() {} };
        if timeout(SHUTDOWN_TIMEOUT, ended).await.is_err() {
            log(format_args!("some connections did not end within the shutdown timeout, closing them"));
        }
    }
}
