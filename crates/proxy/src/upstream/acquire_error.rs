//! Reasons why an attempt gets no connection, and whether the cause is this machine or the upstream.

use std::io;

use thiserror::Error;

/// The reason why an attempt could not acquire a connection.
#[derive(Debug, Error)]
pub enum AcquireError {
    /// The process's socket budget is used up, which says nothing about the upstream.
    #[error("the socket budget of this process (limits.sockets) is used up")]
    SocketBudgetExhausted,
    /// This machine lacks a resource for the connect (port, descriptor or memory), which says nothing about the
    /// upstream.
    #[error("this machine lacks a port, a descriptor or memory for a new connection: {0}")]
    LocalShortage(io::Error),
    /// No connection was established within the attempt's connect timeout. The dial may still succeed later.
    #[error("the connection was not established within the connect timeout")]
    TimedOut,
    /// Discovery's list no longer has the upstream ready at this address.
    #[error("the endpoint was removed from discovery's list or is draining")]
    EndpointRemoved,
    /// The connect failed with an error that is attributed to the upstream.
    #[error("{0}")]
    Failed(#[from] io::Error),
    /// The connection broke during the HTTP handshake.
    #[error("the connection broke during the HTTP handshake: {0}")]
    Broken(#[from] hyper::Error),
}

/// Whether a connect failed because this machine lacks a resource: a port, a descriptor or memory. A connect that a
/// packet filter forbids (`EPERM`, `EACCES`) counts as a failure of the upstream, because the condition lasts and
/// another upstream may be allowed.
pub(super) fn is_local_shortage(error: &io::Error) -> bool {
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
