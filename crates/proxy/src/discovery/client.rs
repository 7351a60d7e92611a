//! The call to discovery: connects, asks for the list from a version on, and ends the call where it stays silent or its
//! answer makes no sense.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use balancer_policy::interface::DiscoveryMode;
use config_distribution::host::watch::{self, WatchError, WatchRequest};
use thiserror::Error;
use tokio::time::{Instant, timeout_at};

use crate::connection;
use crate::pool::Pool;

/// A watch sends a line every 2 s, if an empty one; silent for well over that, it is dead.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(3200);
/// Bytes of one line at most, so that a broken discovery cannot fill the memory.
const MAX_LINE_BYTES: usize = 8 << 20;

/// How long a new watch may take from its asking to its first whole line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Patience(Duration);

impl Patience {
    /// By how lists are had. Discovery works through calls in turn. An agent answers at once; one that does not
    /// is cut off from discovery, and whether it will send a line on a watch that it left waiting is not known, so that
    /// new ones are tried meanwhile.
    #[must_use]
    pub fn of(mode: DiscoveryMode) -> Self {
        Self(Duration::from_secs(if mode == DiscoveryMode::Agent { 1 } else { 2 }))
    }
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

/// Calls discovery at an address for all that comes after version `since`, and hands each whole line to `line`, an empty
/// one as such. The connection counts against the sockets of `pool`.
pub(super) async fn follow(
    pool: &Pool,
    address: SocketAddr,
    patience: Patience,
    since: u64,
    line: impl FnMut(&[u8]) -> Result<(), LineError>,
) -> Result<Infallible, BrokenError> {
    let first_by = Instant::now() + patience.0;
    let permit = pool.reserved_permit();
    let Ok(Ok(stream)) = timeout_at(first_by, connection::open(address, permit)).await else {
        return Err(BrokenError::Connect);
    };
    let request = WatchRequest {
        host: address.to_string(),
        path: format!("/catalog/members?follow=1&since={since}"),
        first_by,
        silence: SILENCE_TIMEOUT,
        max_line_bytes: MAX_LINE_BYTES,
    };
    Ok(watch::follow(stream, request, line).await?)
}
