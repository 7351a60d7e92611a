//! The program's TCP sockets: where they connect to, and how they are watched for events.

use std::collections::BTreeMap;
use std::os::fd::RawFd;
use std::sync::{Mutex, MutexGuard, PoisonError};

use libc::c_int;

/// How an epoll instance watches a socket.
#[derive(Debug, Clone, Copy)]
pub struct Watched {
    pub epoll: RawFd,
    pub events: u32,
    pub data: u64,
}

/// A TCP socket.
#[derive(Debug, Clone, Copy, Default)]
pub struct Socket {
    /// The port that it connects to; `None` for one that was accepted or listens.
    pub port: Option<u16>,
    /// `None` until it is watched.
    pub watched: Option<Watched>,
    /// It has broken: transfers fail with this error.
    pub broken: Option<c_int>,
}

static SOCKETS: Mutex<BTreeMap<RawFd, Socket>> = Mutex::new(BTreeMap::new());

fn sockets() -> MutexGuard<'static, BTreeMap<RawFd, Socket>> {
    SOCKETS.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Notes a new socket.
pub fn opened(descriptor: RawFd) {
    sockets().insert(descriptor, Socket::default());
}

/// Forgets a descriptor, whatever it is.
pub fn closed(descriptor: RawFd) {
    sockets().remove(&descriptor);
}

/// The socket of a descriptor, if it is one.
pub fn find(descriptor: RawFd) -> Option<Socket> {
    sockets().get(&descriptor).copied()
}

/// Notes where a socket connects to.
pub fn connects(descriptor: RawFd, port: u16) {
    if let Some(socket) = sockets().get_mut(&descriptor) {
        socket.port = Some(port);
    }
}

/// Notes how a socket is watched.
pub fn watched(descriptor: RawFd, watched: Option<Watched>) {
    if let Some(socket) = sockets().get_mut(&descriptor) {
        socket.watched = watched;
    }
}

/// Notes that a socket breaks with this error.
pub fn breaks(descriptor: RawFd, error: c_int) {
    if let Some(socket) = sockets().get_mut(&descriptor) {
        socket.broken = Some(error);
    }
}
