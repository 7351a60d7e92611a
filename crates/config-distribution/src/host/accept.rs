//! Accepting connections, and how an accept that failed is gone on from.

use std::future::Future;
use std::io;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};

/// A wait for the system to have memory or file descriptors again, short beside the time a client waits.
const SHORTAGE_PAUSE: Duration = Duration::from_millis(100);
/// Failures of single connections in a row, after which each is followed by a pause: as many in a row are a fault of the
/// listener, and must not take a whole processor.
const IN_A_ROW: u32 = 1000;
/// Linux's codes of failures that concern one connection and have no `io::ErrorKind`: `ENONET`, `EPROTO`,
/// `ENOPROTOOPT`, `EOPNOTSUPP` and `EHOSTDOWN`.
const CONNECTION_CODES: [i32; 5] = [64, 71, 92, 95, 112];

/// Where connections come from.
pub trait Listen {
    /// The next connection.
    fn accept(&self) -> impl Future<Output = io::Result<TcpStream>>;
}

impl Listen for TcpListener {
    async fn accept(&self) -> io::Result<TcpStream> {
        Self::accept(self).await.map(|(stream, _)| stream)
    }
}

/// The failures since the last connection.
#[derive(Debug, Default)]
pub(crate) struct AcceptFailures {
    in_a_row: u32,
}

impl AcceptFailures {
    /// Counts a failure; returns how long to wait before the next accept.
    pub(crate) fn pause_after(&mut self, error: &io::Error) -> Duration {
        self.in_a_row = self.in_a_row.saturating_add(1);
        if concerns_one_connection(error) && self.in_a_row < IN_A_ROW {
            Duration::ZERO
        } else {
            SHORTAGE_PAUSE
        }
    }

    /// Whether the last failure is the first in a row, which is the one to log.
    pub(crate) fn is_first(&self) -> bool {
        self.in_a_row == 1
    }
}

/// Whether a failure took a connection off the queue, or none at all, so that the next one can be accepted at once. A
/// shortage of descriptors or memory lasts.
fn concerns_one_connection(error: &io::Error) -> bool {
    use io::ErrorKind::{
        ConnectionAborted, ConnectionReset, HostUnreachable, Interrupted, NetworkDown, NetworkUnreachable,
        TimedOut,
    };
    matches!(
        error.kind(),
        ConnectionAborted
            | ConnectionReset
            | HostUnreachable
            | Interrupted
            | NetworkDown
            | NetworkUnreachable
            | TimedOut
    ) || error.raw_os_error().is_some_and(|code| CONNECTION_CODES.contains(&code))
}
