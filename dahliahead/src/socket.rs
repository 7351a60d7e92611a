//! A TCP socket that two can hold: the HTTP code that speaks on it, and whoever must see what that code does not look
//! at, such as the peer's end behind bytes that nobody has asked for yet.

use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind, Read};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Buf, BytesMut};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Bytes read ahead of the HTTP code at most, for each socket: a next request's head. What a peer sends beyond that
/// while it is owed an answer is thrown away, and its connection closed behind the answer.
const AHEAD_MOST: usize = 16 * 1024;
/// Reads in a row before others have their turn.
const READS: usize = 16;

/// A handle on a socket; it is closed with the last one.
#[derive(Debug, Clone)]
pub struct Socket(Rc<Shared>);

#[derive(Debug)]
struct Shared {
    /// Never borrowed across an await.
    stream: RefCell<TcpStream>,
    /// Read, but not yet asked for.
    ahead: RefCell<BytesMut>,
    /// Some of what came was thrown away: nothing after it makes sense.
    spilled: Cell<bool>,
}

/// A handle on a socket that does not keep it open.
#[derive(Debug, Clone)]
pub struct WeakSocket(Weak<Shared>);

impl WeakSocket {
    /// Whether the peer has gone, as [`Socket::has_ended`] tells, or the socket has been closed on this side.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.0.upgrade().is_none_or(|shared| Socket(shared).has_ended())
    }
}

impl Socket {
    /// Takes over a socket that has come up. Small writes go out at once: held back by the system they would go down
    /// with a close. That the option can't be set is no reason to hang up.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        let stream = RefCell::new(stream);
        Self(Rc::new(Shared { stream, ahead: RefCell::default(), spilled: Cell::new(false) }))
    }

    /// Whether more came than is kept, so that the connection can only be closed.
    #[must_use]
    pub fn spilled(&self) -> bool {
        self.0.spilled.get()
    }

    /// Whether the peer has sent nothing, not even its end, that is still to be read. Asks the system, and not what
    /// the runtime last heard of it. A connection that has broken is not silent: only that there is nothing yet is.
    #[must_use]
    pub fn is_silent(&self) -> bool {
        let peeked = SockRef::from(&*self.0.stream.borrow()).peek(&mut [MaybeUninit::uninit()]);
        peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }

    /// A handle that does not keep the socket open.
    #[must_use]
    pub fn downgrade(&self) -> WeakSocket {
        WeakSocket(Rc::downgrade(&self.0))
    }

    /// Whether the peer has ended its sending or the connection has broken. Asks the system, and not what the runtime
    /// last heard of it. Reads what comes before that, for the HTTP code to find.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        let mut room = [0; 4096];
        for _ in 0..READS {
            match self.receive_now(&mut room) {
                Ok(0) => return true,
                Ok(bytes) => self.keep_ahead(&room[..bytes]),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return error.kind() != ErrorKind::WouldBlock,
            }
        }
        false
    }

    /// Ready once the peer has ended its sending or the connection has broken. Reads what comes before that, for the
    /// HTTP code to find; to be asked from the task that reads for it too, as only one is woken.
    pub fn poll_gone(&self, context: &mut Context<'_>) -> Poll<()> {
        let mut room = [0; 4096];
        for _ in 0..READS {
            let mut buffer = ReadBuf::new(&mut room);
            match ready!(self.poll_receive(context, &mut buffer)) {
                Ok(()) if !buffer.filled().is_empty() => {}
                _ => return Poll::Ready(()),
            }
            self.keep_ahead(buffer.filled());
        }
        context.waker().wake_by_ref();
        Poll::Pending
    }

    /// Ends the connection so that the peer gets all that was written: closing over unread bytes would reset it. Waits
    /// for the peer to close too, for `most` at the longest.
    pub async fn close(mut self, most: Duration) {
        let ended = std::future::poll_fn(|context| Pin::new(&mut self).poll_shutdown(context)).await;
        if ended.is_ok() {
            self.0.spilled.set(true);
            let _ = timeout(most, std::future::poll_fn(|context| self.poll_gone(context))).await;
        }
    }

    /// Keeps bytes that the HTTP code has not asked for yet, as many as are kept.
    fn keep_ahead(&self, bytes: &[u8]) {
        let mut ahead = self.0.ahead.borrow_mut();
        if self.spilled() || ahead.len() + bytes.len() > AHEAD_MOST {
            self.0.spilled.set(true);
        } else {
            ahead.extend_from_slice(bytes);
        }
    }

    /// Reads past the runtime, which may not have heard yet of what has come.
    fn receive_now(&self, room: &mut [u8]) -> io::Result<usize> {
        let stream = self.0.stream.borrow();
        let socket = SockRef::from(&*stream);
        (&*socket).read(room)
    }

    fn poll_receive(&self, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.stream.borrow_mut()).poll_read(context, buffer)
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        {
            let mut ahead = self.0.ahead.borrow_mut();
            if !ahead.is_empty() {
                let take = ahead.len().min(buffer.remaining());
                buffer.put_slice(&ahead[..take]);
                ahead.advance(take);
                return Poll::Ready(Ok(()));
            }
        }
        // It is closed from this side, behind the answer.
        if self.spilled() { Poll::Pending } else { self.poll_receive(context, buffer) }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.0.stream.borrow_mut()).poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.stream.borrow_mut()).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.stream.borrow_mut()).poll_shutdown(context)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.0.stream.borrow_mut()).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.stream.borrow().is_write_vectored()
    }
}
