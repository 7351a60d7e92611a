//! How does a balancer learn of changes of the endpoint list? It watches discovery: one call that stays open, on which
//! each line is an update ([`update`]) or, if empty, a sign of life. What a line means is for the [`WatchObserver`].

pub mod update;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use balancer_policy::interface::DiscoveryMode;
use config_distribution::host::watch::{self, Ask, WatchError};
use thiserror::Error;
use tokio::time::{Instant, timeout_at};

use crate::connection;
use crate::pool::Pool;

pub use update::{Endpoint, Update};

/// A change counts as told this long after discovery had it and could be reached, whatever call failed before. At its
/// worst the way there is, in seconds, from when it can be reached again:
///
/// | | asked for | pushed to an agent |
/// | --- | --- | --- |
/// | a call that still hangs ([`Patience`]: connect, head and first whole line together) | 2 | 1 |
/// | back-off after it (0.4 of this time, by the decisions) | 2.4 | 0 |
/// | until the next sweep of the decisions | 0.2 | 0.2 |
/// | left for the answer | 1.4 | 4.8 |
///
/// And from the last line of a watch that fell silent: its silence 3.2, back-off 0.5 or 0, sweep 0.2; left are 2.1
/// and 2.6. A reload starts at the back-off of a first failure, 0.5 or 0, and has 4 s.
pub const NOTIFIED_WITHIN: Duration = Duration::from_secs(6);

/// How long a new watch may take from its asking to its first whole line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Patience(Duration);

impl Patience {
    /// By how lists are had. Discovery works through calls in turn. An agent answers at once; one that does not
    /// is cut off from discovery, and whether it will speak on a watch that it left waiting is not told, so that
    /// new ones are tried meanwhile.
    #[must_use]
    pub fn of(mode: DiscoveryMode) -> Self {
        Self(Duration::from_secs(if mode == DiscoveryMode::Agent { 1 } else { 2 }))
    }
}

/// A watch says a line every 2 s, if an empty one; silent for well over that, it is dead.
const SILENCE: Duration = Duration::from_millis(3200);
/// Bytes of one line at most, so that a broken discovery cannot fill the memory.
const LINE_MOST: usize = 8 << 20;

/// Is notified of what a watch brings.
pub trait WatchObserver {
    /// An update has come, or the first line of a watch has said that nothing has changed since it asked.
    fn on_update(self: &Rc<Self>, update: Update);

    /// A later line was empty: the watch is alive.
    fn on_heartbeat(&self);

    /// The watch of that number has ended; it notifies of nothing more.
    fn on_broken(self: &Rc<Self>, number: u64, why: &BrokenError);
}

/// Why a watch has ended.
#[derive(Debug, Error)]
pub enum BrokenError {
    /// Discovery was not reached in time.
    #[error("no connection")]
    Connect,
    /// The call failed, its answer made no sense, or it fell silent.
    #[error("{0}")]
    Watch(#[from] WatchError<LineError>),
}

/// A line of a watch is not the JSON that is expected.
#[derive(Debug, Error)]
#[error("a line is malformed: {0}")]
pub struct LineError(#[from] serde_json::Error);

/// A watch to be opened.
#[derive(Debug, Clone, Copy)]
pub struct WatchStart {
    /// Where discovery listens.
    pub address: SocketAddr,
    /// How long it may take to the first whole line.
    pub patience: Patience,
    /// The version of the list in hand.
    pub since: u64,
    /// Tells this watch from those before it.
    pub number: u64,
}

/// Watches the list until the watch ends, then notifies the observer of its end. The connection counts against the
/// sockets of `pool`.
///
/// Cancellation: dropping the future closes the connection, and the observer is not notified of that end. Each line is
/// handed over whole, without an await in between.
pub async fn watch(observer: Rc<impl WatchObserver>, pool: Rc<Pool>, start: WatchStart) {
    let Err(error) = follow(&observer, &pool, start).await;
    observer.on_broken(start.number, &error);
}

async fn follow(
    observer: &Rc<impl WatchObserver>,
    pool: &Pool,
    start: WatchStart,
) -> Result<Infallible, BrokenError> {
    let WatchStart { address, patience: Patience(first_word), since, number: _ } = start;
    let first_by = Instant::now() + first_word;
    let permit = pool.reserved_permit();
    let Ok(Ok(stream)) = timeout_at(first_by, connection::open(address, permit)).await else {
        return Err(BrokenError::Connect);
    };
    let ask = Ask {
        host: address.to_string(),
        path: format!("/catalog/members?follow=1&since={since}"),
        first_by,
        silence: SILENCE,
        line_most: LINE_MOST,
    };
    let mut stands = false;
    let line = |line: &[u8]| {
        if !line.is_empty() {
            observer.on_update(serde_json::from_slice(line)?);
        } else if !stands {
            // Nothing has changed since; the watch stands all the same.
            observer.on_update(Update { index: since, snapshot: false, endpoints: Vec::new() });
        } else {
            observer.on_heartbeat();
        }
        stands = true;
        Ok(())
    };
    Ok(watch::follow(stream, ask, line).await?)
}
