//! Whether the peer of a socket has disconnected, also where the end of its stream is behind unread bytes.

use std::future::Future;
use std::io::ErrorKind;
use std::pin::pin;
use std::task::{Context, Poll, Waker, ready};

use tokio::io::{Interest, ReadBuf, Ready};
use tokio::time::Instant;

use super::peer_close::has_peer_closed;
use super::{READS_PER_TURN, SCRATCH_BYTES, Socket};

/// Maximum number of reads to find out whether the peer has ended its stream.
const READS_PER_CHECK: usize = 1024;

/// What is known of the peer of a socket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// The peer is connected.
    Connected,
    /// The peer has ended its stream, or the connection has broken.
    Gone,
    /// The end of the stream may be behind bytes that have not been read.
    Unknown {
        /// Latest time at which the peer is known to have been connected.
        last_seen: Instant,
    },
}

impl Socket {
    /// What is known of the peer. It asks the kernel like [`Self::has_ended`].
    #[must_use]
    pub fn presence(&self) -> Presence {
        if self.has_ended() {
            Presence::Gone
        } else if self.0.read_to_end.get() {
            Presence::Connected
        } else {
            Presence::Unknown { last_seen: self.0.last_seen.get() }
        }
    }

    /// Whether the peer has ended its stream or the connection has broken. It asks the kernel directly, because the
    /// readiness that the runtime last recorded may be out of date. Bytes before the end are read ahead for hyper; those
    /// for which there is no room stay in the socket.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        let mut scratch = [0; SCRATCH_BYTES];
        for _ in 0..READS_PER_CHECK {
            let size = self.read_ahead_size();
            if size == 0 {
                return has_peer_closed(&*self.0.stream.borrow());
            }
            match self.receive_now(&mut scratch[..size]) {
                Ok(0) => return true,
                Ok(bytes) => {
                    self.note_received();
                    self.store_read_ahead(&scratch[..bytes]);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.note_read_to_end();
                    return false;
                }
                Err(_) => return true,
            }
        }
        false
    }

    /// Ready once the peer has ended its stream or the connection has broken. Bytes before the end are read ahead for
    /// hyper; those for which there is no room stay in the socket. It must be polled from the same task as hyper's
    /// reads, because only one task is woken.
    pub fn poll_disconnected(&self, context: &mut Context<'_>) -> Poll<()> {
        let mut scratch = [0; SCRATCH_BYTES];
        for _ in 0..READS_PER_TURN {
            let size = self.read_ahead_size();
            if size == 0 {
                return self.poll_closed_behind_unread(context);
            }
            let mut buffer = ReadBuf::new(&mut scratch[..size]);
            match ready!(self.poll_receive(context, &mut buffer)) {
                Ok(()) if !buffer.filled().is_empty() => {}
                _ => return Poll::Ready(()),
            }
            self.store_read_ahead(buffer.filled());
        }
        context.waker().wake_by_ref();
        Poll::Pending
    }

    /// Ready once the runtime reports that the peer has ended its stream or that the connection has broken. It reads
    /// nothing. The runtime's record of readiness is cleared as long as only bytes have arrived, so that the task is
    /// woken for further events alone.
    fn poll_closed_behind_unread(&self, context: &mut Context<'_>) -> Poll<()> {
        loop {
            match self.recorded_readiness() {
                Some(readiness) if readiness.is_read_closed() => return Poll::Ready(()),
                Some(_) => self.leave_unread(),
                None => {
                    if ready!(self.0.stream.borrow().poll_read_ready(context)).is_err() {
                        return Poll::Ready(());
                    }
                }
            }
        }
    }

    /// The readiness for reading that the runtime last recorded; `None` if there is none.
    fn recorded_readiness(&self) -> Option<Ready> {
        let stream = self.0.stream.borrow();
        let readiness = pin!(stream.ready(Interest::READABLE));
        match readiness.poll(&mut Context::from_waker(Waker::noop())) {
            Poll::Ready(readiness) => readiness.ok(),
            Poll::Pending => None,
        }
    }

    /// Notes that bytes have been read: the peer was connected when the first ones since the socket was last empty came.
    pub(super) fn note_received(&self) {
        if self.0.read_to_end.replace(false) {
            self.0.last_seen.set(Instant::now());
        }
    }

    /// Clears the runtime's record of readiness and notes since when bytes have been left unread.
    fn leave_unread(&self) {
        // An operation that would block makes the runtime clear the record.
        let would_block = || Err::<(), _>(ErrorKind::WouldBlock.into());
        let _ = self.0.stream.borrow().try_io(Interest::READABLE, would_block);
        self.0.readiness_cleared.set(true);
        if self.0.unread_since.get().is_none() && !self.has_nothing_to_read() {
            self.0.unread_since.set(Some(Instant::now()));
        }
    }

    /// Notes that the socket has no unread bytes, so that the runtime reports the next ones.
    pub(super) fn note_read_to_end(&self) {
        self.0.unread_since.set(None);
        self.0.readiness_cleared.set(false);
        self.0.read_to_end.set(true);
    }
}
