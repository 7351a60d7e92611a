//! Accepting connections: classifies the errors of accept(2), and sets how long a host waits before it accepts again.

use std::future::Future;
use std::io;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};

/// Pause after a failed accept, so that the system can free memory or file descriptors. It is short compared with the
/// time that a client waits for a connection.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Number of consecutive failures from which on every failure is followed by a pause, even one that concerns a single
/// connection. So many in a row are a fault of the listener, and retrying without a pause would use a whole processor.
const FAILURES_BEFORE_PAUSE: u32 = 1000;

/// Source of connections: a listening socket, or a test's replacement for one.
pub trait Listener {
    /// Waits for the next connection.
    fn accept(&self) -> impl Future<Output = io::Result<TcpStream>>;
}

impl Listener for TcpListener {
    async fn accept(&self) -> io::Result<TcpStream> {
        Self::accept(self).await.map(|(stream, _)| stream)
    }
}

/// Class of an error of accept(2), for the hosts of this crate and of other crates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcceptFailure {
    /// The error concerns a single connection or a single call: the next accept may follow at once.
    Transient,
    /// The process or the system has no file descriptor left. The connection stays in the accept queue.
    OutOfDescriptors,
    /// The system is short of memory. The next accept waits for a moment; closing a connection would not help.
    OutOfMemory,
    /// The error is not one of the errors known here. It may repeat at once, so the next accept waits as well.
    Unknown,
}

impl AcceptFailure {
    /// Classifies an error of accept(2). On Linux, accept(2) also returns network errors already pending on the new
    /// socket; these concern only that connection.
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

/// Counts the failed accepts since the last successful one.
#[derive(Debug, Default)]
pub(crate) struct ConsecutiveFailures {
    /// Number of failed accepts since the last connection was accepted.
    count: u32,
}

impl ConsecutiveFailures {
    /// Counts a failed accept, and returns how long to wait before the next one.
    pub(crate) fn pause_after(&mut self, error: &io::Error) -> Duration {
        self.count = self.count.saturating_add(1);
        if can_accept_at_once(error) && self.count < FAILURES_BEFORE_PAUSE {
            Duration::ZERO
        } else {
            RETRY_PAUSE
        }
    }

    /// Whether the last failure was the first since a connection was accepted. Only this one is logged.
    pub(crate) fn is_first(&self) -> bool {
        self.count == 1
    }
}

/// Whether the next accept may follow this error at once. It may not after a shortage of resources, which lasts, nor if
/// a firewall refused the connection (`EPERM`) or there was none to accept: the next accept would fail in the same way.
fn can_accept_at_once(error: &io::Error) -> bool {
    let would_repeat = matches!(error.kind(), io::ErrorKind::PermissionDenied | io::ErrorKind::WouldBlock);
    AcceptFailure::of(error) == AcceptFailure::Transient && !would_repeat
}
