//! The HTTP call to discovery: connects, requests all changes since a version of the list, and ends the call if
//! discovery stays silent or sends an invalid answer.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use balancer_policy::interface::DiscoveryMode;
use config_distribution::host::watch::{self, WatchError, WatchRequest};
use thiserror::Error;
use tokio::time::{Instant, timeout_at};

use crate::connection;
use crate::pool::Pool;

/// Time without a line after which a watch counts as dead. Discovery sends a line, possibly an empty one, every 2 s.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(3200);
/// Maximum size of one line, so that a faulty discovery cannot exhaust the memory.
const MAX_LINE_BYTES: usize = 8 << 20;

/// Time that a new watch may take from the start of the call, connecting included, to its first whole line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FirstLineTimeout(Duration);

impl FirstLineTimeout {
    /// Chooses the timeout for a discovery mode. Discovery works through calls in turn, so it gets 2 s. An agent
    /// answers at once and gets 1 s: an agent that does not answer is cut off from discovery, and it is not known
    /// whether it will ever send a line on the waiting watch, so new watches are tried meanwhile.
    #[must_use]
    pub fn of(mode: DiscoveryMode) -> Self {
        Self(Duration::from_secs(if mode == DiscoveryMode::Agent { 1 } else { 2 }))
    }
}

/// Why a watch on discovery has ended.
#[derive(Debug, Error)]
pub enum DiscoveryWatchError {
    /// No connection to discovery came up in time.
    #[error("the connection to discovery failed or was not open in time")]
    Connect,
    /// The call failed, its answer was invalid, or no line arrived in time.
    #[error("{0}")]
    Watch(#[from] WatchError<LineError>),
}

/// A line of a watch is not the expected JSON.
#[derive(Debug, Error)]
#[error("discovery sent a malformed line: {0}")]
pub struct LineError(#[from] serde_json::Error);

/// Requests all changes after version `since` from discovery at `address`, and passes each whole line, including empty
/// ones, to `line`. Returns when the watch has ended. The connection counts towards the socket limit of `pool`.
pub(super) async fn follow(
    pool: &Pool,
    address: SocketAddr,
    first_line_timeout: FirstLineTimeout,
    since: u64,
    line: impl FnMut(&[u8]) -> Result<(), LineError>,
) -> Result<Infallible, DiscoveryWatchError> {
    let first_line_deadline = Instant::now() + first_line_timeout.0;
    let permit = pool.reserved_permit();
    let Ok(Ok(stream)) = timeout_at(first_line_deadline, connection::open(address, permit)).await else {
        return Err(DiscoveryWatchError::Connect);
    };
    let request = WatchRequest {
        host: address.to_string(),
        path: format!("/catalog/members?follow=1&since={since}"),
        first_line_deadline,
        silence_timeout: SILENCE_TIMEOUT,
        max_line_bytes: MAX_LINE_BYTES,
    };
    Ok(watch::follow(stream, request, line).await?)
}
