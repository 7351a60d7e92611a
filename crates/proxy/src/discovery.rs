//! The list of upstreams: its form and the watch on its changes.

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
use crate::driver::Driver;

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
pub const TOLD_AFTER: Duration = Duration::from_secs(6);

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

#[derive(Debug, Error)]
enum BrokenError {
    #[error("no connection")]
    Connect,
    #[error("{0}")]
    Watch(#[from] WatchError<LineError>),
}

#[derive(Debug, Error)]
#[error("a line is malformed: {0}")]
struct LineError(#[from] serde_json::Error);

/// Watches the list from `since` on until the watch ends, then tells the driver so.
pub async fn watch(driver: Rc<Driver>, address: SocketAddr, patience: Patience, since: u64, number: u64) {
    let Err(error) = follow(&driver, address, patience, since).await;
    driver.watch_broke(number, &error.to_string());
}

async fn follow(
    driver: &Rc<Driver>,
    address: SocketAddr,
    Patience(first_word): Patience,
    since: u64,
) -> Result<Infallible, BrokenError> {
    let first_by = Instant::now() + first_word;
    let permit = driver.pool().reserved_permit();
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
    let mut heard = false;
    let line = |line: &[u8]| {
        if !line.is_empty() {
            driver.learn(serde_json::from_slice(line)?);
        } else if !heard {
            // Nothing has changed since; the watch stands all the same.
            driver.learn(Update { index: since, snapshot: false, endpoints: Vec::new() });
        } else {
            driver.hear_life_sign();
        }
        heard = true;
        Ok(())
    };
    Ok(watch::follow(stream, ask, line).await?)
}
