//! What origin and relay have in common: the server of watches and reports, over HTTP/1.1.
//!
//! Thousands of children stay connected for days, and each change has to reach all of them at once without a queue for
//! each. A watch costs the server its index, its scopes and at most one line in flight; a line is encoded once for all
//! watches of the same scopes and index.
//!
//! - this module: the listener, its connections and their orderly end;
//! - `limits`: how many watches and connections there may be;
//! - `connection`: one connection and its deadline;
//! - `request`: from method and path to an answer, and what is wrong with a request;
//! - `query`: what a watch asks for;
//! - `stream`: the lines of one watch, changes and heartbeats;
//! - `line_cache`: encoded lines that watches share;
//! - `response`: bodies, and how far a line has gone.

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
use super::accept::{ConsecutiveFailures, Listen};
use super::log::log;
use crate::document::Scope;
use crate::report::{Reports, Sums};
use crate::state::State;

pub use self::connection::LEVEL;
pub use self::limits::Limits;
pub(crate) use self::response::{ResponseBody, error_response, json_response};

/// At shutdown, watches have so long to take their end; a child that is cut off must not hold the process up.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);

/// What a host serves.
pub(crate) trait Source: 'static {
    /// Reads the state that watches see; `None` while there is nothing yet to be sent as a snapshot.
    fn with_state<T>(&self, read: impl FnOnce(&State) -> T) -> Option<T>;
    /// For how many seconds nothing has come from above.
    fn stale_s(&self) -> u64;
    /// Makes a change and the answer to it. Runs in a task of its own, so that it ends also where its client has gone.
    fn change(self: Rc<Self>, change: Change) -> impl Future<Output = Response<ResponseBody>>;
    /// Bytes of a document at most.
    fn max_body_bytes(&self) -> usize;
}

/// A publication as it came.
pub(crate) struct Change {
    pub scope: Scope,
    /// None withdraws the document.
    pub body: Option<Bytes>,
    pub request: Box<str>,
    pub if_version: Option<u64>,
}

/// What a relay reports to its parent of those below it.
#[derive(Serialize, Deserialize)]
pub(crate) struct RelayReport {
    pub who: Box<str>,
    pub sums: Sums,
}

/// A server of watches over a host's state.
pub(crate) struct Server<S> {
    pub source: Rc<S>,
    level: u8,
    limits: Limits,
    start: Instant,
    changed: watch::Sender<()>,
    shutdown: watch::Sender<bool>,
    lines: RefCell<LineCache>,
    reports: RefCell<Reports>,
    open_watches: Cell<usize>,
    draws: RefCell<Rand64>,
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
            draws: RefCell::new(Rand64::new(u128::from(seed))),
        })
    }

    /// Notifies all watches that the state has changed.
    pub(crate) fn notify_changed(&self) {
        *self.lines.borrow_mut() = LineCache::default();
        self.changed.send_replace(());
    }

    /// Notified of each change from now on.
    pub(crate) fn subscribe(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// What is in force below.
    pub(crate) fn sums(&self) -> Sums {
        let sums = |state: &State| self.reports.borrow().sums(self.start.elapsed(), state);
        self.source.with_state(sums).unwrap_or_else(|| sums(&State::default()))
    }

    /// Serves until `stop`, then ends all watches in order. Where it is dropped, all connections are closed at once.
    pub(crate) async fn run(self: Rc<Self>, listener: impl Listen, stop: impl Future<Output = ()>) {
        let mut connections = JoinSet::new();
        self.accept_until(stop, &listener, &mut connections).await;
        drop(listener);
        self.end_watches(connections).await;
    }

    async fn accept_until(
        self: &Rc<Self>,
        stop: impl Future<Output = ()>,
        listener: &impl Listen,
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
                    log(format_args!("refused a connection: {} are open", connections.len()));
                }
                Ok(stream) => {
                    connections.spawn_local(Rc::clone(self).serve_connection(stream));
                }
                Err(error) => {
                    let pause = failures.pause_after(&error);
                    if failures.is_first() {
                        log(format_args!("cannot accept a connection: {error}"));
                    }
                    // Connections that are up go on: each has its own task.
                    if pause.is_zero() { yield_now().await } else { sleep(pause).await }
                }
            }
        }
    }

    async fn end_watches(&self, mut connections: JoinSet<()>) {
        log(format_args!("ending the watches of {} readers", self.open_watches.get()));
        self.shutdown.send_replace(true);
        let ended = async { while connections.join_next().await.is_some() {} };
        if timeout(SHUTDOWN_TIMEOUT, ended).await.is_err() {
            log(format_args!("some readers did not take the end of their watch"));
        }
    }
}
