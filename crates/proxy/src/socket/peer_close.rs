//! Asks the kernel whether the peer of a socket has ended its stream behind bytes that have not been read.

use std::os::fd::AsFd;

use nix::poll::{PollFd, PollFlags, PollTimeout, poll};

/// Whether the peer has ended its stream or the connection has broken, even if unread bytes come before the end. The
/// kernel is asked at each call.
pub(super) fn has_peer_closed(socket: &impl AsFd) -> bool {
    // `PollFlags` has no name for this flag of Linux. The kernel reports errors of the connection as well.
    let peer_closed = PollFlags::from_bits_retain(libc::POLLRDHUP);
    let mut sockets = [PollFd::new(socket.as_fd(), peer_closed)];
    // An error of the call says nothing about the peer.
    poll(&mut sockets, PollTimeout::ZERO).is_ok_and(|reported| reported > 0)
}
