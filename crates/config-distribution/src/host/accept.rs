//! Accepting connections: what kind of failure an error of accept(2) is, and how long a host waits after one.

use std::future::Future;
use std::io;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};

/// The wait for the system to have memory or file descriptors again, short beside the time a client waits.
const SHORTAGE_PAUSE: Duration = Duration::from_millis(100);
/// Failures of single connections in a row, after which each is followed by a pause: as many in a row are a fault of the
/// listener, and must not take a whole processor.
const IN_A_ROW: u32 = 1000;

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

/// What kind of failure an error of accept(2) is, for this crate's hosts and for those of other crates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcceptFailure {
    /// It concerns the one connection, or the one call: the next accept may follow at once.
    Transient,
    /// The process or the system has no descriptor left; the connection stays in the queue.
    OutOfDescriptors,
    /// The system is short of memory: the next accept waits a moment, and closing a connection would not help.
    OutOfMemory,
    /// None that is known here. It may come again at once, so that the next accept waits as well.
    Unknown,
}

impl AcceptFailure {
    /// Sorts an error of accept(2). Linux also passes on network errors that were pending on the new socket.
    #[must_use]
    pub fn of(error: &io::Error) -> Self {
        match error.raw_os_error() {
            Some(libc::EMFILE | libc::ENFILE) => Self::OutOfDescriptors,
            Some(libc::ENOBUFS | libc::ENOMEM | libc::ENOSR) => Self::OutOfMemory,
            Some(
                libc::EAGAIN
                | libc::ECONNABORTED
                | libc::ECONNRESET
                | libc::EHOSTDOWN
                | libc::EHOSTUNREACH
                | libc::EINTR
                | libc::ENETDOWN
                | libc::ENETUNREACH
                | libc::ENONET
                | libc::ENOPROTOOPT
                | libc::EOPNOTSUPP
                | libc::EPERM
                | libc::EPROTO
                | libc::ETIMEDOUT,
            ) => Self::Transient,
            _ => Self::Unknown,
        }
    }
}

/// The failures since the last connection.
#[derive(Debug, Default)]
pub(crate) struct ConsecutiveFailures {
    in_a_row: u32,
}

impl ConsecutiveFailures {
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

/// Whether the next connection can be accepted at once. A shortage lasts, and where a firewall refuses (`EPERM`) or there
/// was nothing to accept, the next accept would fail of the same.
fn concerns_one_connection(error: &io::Error) -> bool {
    let lasts = matches!(error.kind(), io::ErrorKind::PermissionDenied | io::ErrorKind::WouldBlock);
    AcceptFailure::of(error) == AcceptFailure::Transient && !lasts
}
