//! A table of the program's TCP sockets, with the port each connects to and its registration with epoll.

use std::collections::BTreeMap;
use std::os::fd::RawFd;
use std::sync::{Mutex, MutexGuard, PoisonError};

use libc::c_int;

/// The registration of a socket with an epoll instance.
#[derive(Debug, Clone, Copy)]
pub struct EpollRegistration {
    /// Descriptor of the epoll instance.
    pub epoll: RawFd,
    /// Events that the socket is registered for, as in `epoll_event`.
    pub events: u32,
    /// User data of the registration, as in `epoll_event`.
    pub data: u64,
}

/// State of a TCP socket of the program.
#[derive(Debug, Clone, Copy, Default)]
pub struct Socket {
    /// Port that the socket connects to; `None` for an accepted or listening socket.
    pub port: Option<u16>,
    /// Registration of the socket with epoll; `None` while it is not registered.
    pub watched: Option<EpollRegistration>,
    /// Error with which all transfers on the socket fail; `None` while the socket works.
    pub broken: Option<c_int>,
}

/// The program's open TCP sockets, by descriptor.
static SOCKETS: Mutex<BTreeMap<RawFd, Socket>> = Mutex::new(BTreeMap::new());

fn sockets() -> MutexGuard<'static, BTreeMap<RawFd, Socket>> {
    SOCKETS.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Adds a new socket to the table.
pub fn record_opened(descriptor: RawFd) {
    sockets().insert(descriptor, Socket::default());
}

/// Removes a descriptor from the table, if it is in it.
pub fn record_closed(descriptor: RawFd) {
    sockets().remove(&descriptor);
}

/// Returns the state of a socket; `None` if the descriptor is not a TCP socket.
pub fn find(descriptor: RawFd) -> Option<Socket> {
    sockets().get(&descriptor).copied()
}

/// Records the port that a socket connects to.
pub fn record_port(descriptor: RawFd, port: u16) {
    if let Some(socket) = sockets().get_mut(&descriptor) {
        socket.port = Some(port);
    }
}

/// Records the registration of a socket with epoll, or its removal.
pub fn watched(descriptor: RawFd, watched: Option<EpollRegistration>) {
    if let Some(socket) = sockets().get_mut(&descriptor) {
        socket.watched = watched;
    }
}

/// Makes all later transfers on a socket fail with this error.
pub fn record_error(descriptor: RawFd, error: c_int) {
    if let Some(socket) = sockets().get_mut(&descriptor) {
        socket.broken = Some(error);
    }
}
