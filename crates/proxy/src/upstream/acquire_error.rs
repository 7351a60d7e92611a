//! Why an attempt has no connection, and whose fault that is.

use std::io;

use thiserror::Error;

/// Why there is no connection for an attempt.
#[derive(Debug, Error)]
pub enum AcquireError {
    /// The budget of sockets is used up, which is no fault of the upstream's.
    #[error("no socket is free")]
    NoSocket,
    /// This machine has no resources for it, which is no fault of the upstream's either.
    #[error("this machine has no socket: {0}")]
    Local(io::Error),
    /// None came up in time; one may still do so later.
    #[error("it did not come up in time")]
    TimedOut,
    /// The upstream has left the list.
    #[error("it left the list")]
    Gone,
    /// The upstream does not accept it.
    #[error("{0}")]
    Failed(#[from] io::Error),
    /// It broke as it came up.
    #[error("{0}")]
    Broken(#[from] hyper::Error),
}

/// Whether a connect failed for want of something on this machine: a port, a descriptor, memory. What a packet filter
/// forbids (`EPERM`, `EACCES`) counts as the upstream's: it lasts, and another upstream may be allowed.
pub(super) fn is_local(error: &io::Error) -> bool {
    const LOCAL: [i32; 8] = [
        libc::EADDRINUSE,
        libc::EADDRNOTAVAIL,
        libc::EAGAIN,
        libc::EINTR,
        libc::EMFILE,
        libc::ENFILE,
        libc::ENOBUFS,
        libc::ENOMEM,
    ];
    error.raw_os_error().is_some_and(|error| LOCAL.contains(&error))
}
