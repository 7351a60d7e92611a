//! A TCP socket that two can hold: the HTTP code that speaks on it, and whoever must see what that code does not look
//! at, such as the peer's end behind bytes that nobody has asked for yet.

mod framing;

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
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

use framing::{HeadEnd, ReadLimit};

/// Bytes read ahead of the HTTP code at most, for each socket: the next requests. What a peer sends beyond that while
/// it is owed an answer is thrown away, and its connection closed behind the answer.
const READ_AHEAD_MAX_BYTES: usize = 32 * 1024;
/// Reads in a row before others have their turn.
const READS_PER_TURN: usize = 16;

/// A handle on a socket; it is closed with the last one.
#[derive(Debug, Clone)]
pub struct Socket(Rc<Shared>);

#[derive(Debug)]
struct Shared {
    /// Never borrowed across an await.
    stream: RefCell<TcpStream>,
    /// Read, but not yet asked for.
    read_ahead: RefCell<BytesMut>,
    /// Some of what came was thrown away: nothing after it makes sense.
    overflowed: Cell<bool>,
    limit: RefCell<ReadLimit>,
    /// Since when the HTTP code has had a part of a head, or else since the last byte before it was written.
    head_since: Cell<Option<Instant>>,
    /// Notified when a head begins.
    head_begins: Notify,
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
        Self::with_limit(stream, ReadLimit::Unlimited)
    }

    /// The same for the server's end of a connection, which reads a request at a time: [`Self::head_complete`] and
    /// [`Self::response_ready`] are to be called for each.
    #[must_use]
    pub fn of_requests(stream: TcpStream) -> Self {
        Self::with_limit(stream, ReadLimit::ToHeadEnd(HeadEnd::default()))
    }

    fn with_limit(stream: TcpStream, limit: ReadLimit) -> Self {
        // That it can't be set is no reason to hang up.
        let _ = stream.set_nodelay(true);
        Self(Rc::new(Shared {
            stream: RefCell::new(stream),
            read_ahead: RefCell::default(),
            overflowed: Cell::new(false),
            limit: RefCell::new(limit),
            head_since: Cell::new(None),
            head_begins: Notify::new(),
        }))
    }

    /// Tells that the head of a request is whole, and how long its body is, if that is known.
    pub fn head_complete(&self, body: Option<u64>) {
        self.0.head_since.set(None);
        self.0.limit.replace(body.map_or(ReadLimit::Unlimited, ReadLimit::Bytes));
    }

    /// Tells that a request's body is whole: what comes now belongs to the next one.
    pub fn body_complete(&self) {
        self.0.limit.replace(ReadLimit::Bytes(0));
    }

    /// Tells that a request has its answer, and the next one may be read.
    pub fn response_ready(&self) {
        self.0.limit.replace(ReadLimit::ToHeadEnd(HeadEnd::default()));
    }

    /// Since when a part of a head has been there, if one is.
    #[must_use]
    pub fn head_since(&self) -> Option<Instant> {
        self.0.head_since.get()
    }

    /// Waits until a part of a head is there; tells since when. Cancel safe.
    pub async fn head_begins(&self) -> Instant {
        loop {
            if let Some(since) = self.head_since() {
                return since;
            }
            self.0.head_begins.notified().await;
        }
    }

    /// Whether more came than is kept, so that the connection can only be closed.
    #[must_use]
    pub fn overflowed(&self) -> bool {
        self.0.overflowed.get()
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
        let mut scratch = [0; 4096];
        for _ in 0..READS_PER_TURN {
            match self.receive_now(&mut scratch) {
                Ok(0) => return true,
                Ok(bytes) => self.store_read_ahead(&scratch[..bytes]),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return error.kind() != ErrorKind::WouldBlock,
            }
        }
        false
    }

    /// Ready once the peer has ended its sending or the connection has broken. Reads what comes before that, for the
    /// HTTP code to find; to be asked from the task that reads for it too, as only one is woken.
    pub fn poll_gone(&self, context: &mut Context<'_>) -> Poll<()> {
        let mut scratch = [0; 4096];
        for _ in 0..READS_PER_TURN {
            let mut buffer = ReadBuf::new(&mut scratch);
            match ready!(self.poll_receive(context, &mut buffer)) {
                Ok(()) if !buffer.filled().is_empty() => {}
                _ => return Poll::Ready(()),
            }
            self.store_read_ahead(buffer.filled());
        }
        context.waker().wake_by_ref();
        Poll::Pending
    }

    /// Ends the connection so that the peer gets all that was written: closing over unread bytes would reset it. Waits
    /// for the peer to close too, for `most` at the longest. Dropped before that, the connection may be reset.
    pub async fn close(mut self, most: Duration) {
        let ended = std::future::poll_fn(|context| Pin::new(&mut self).poll_shutdown(context)).await;
        if ended.is_ok() {
            self.0.overflowed.set(true);
            if most.is_zero() {
                // Once, without a timer: its next tick is up to a millisecond away, and others need the socket.
                std::future::poll_fn(|context| Poll::Ready(self.poll_gone(context).is_ready())).await;
            } else {
                // Either the peer has closed or its time is over: the socket goes in both cases.
                let _ = timeout(most, std::future::poll_fn(|context| self.poll_gone(context))).await;
            }
        }
    }

    /// How many of these bytes the HTTP code is given; notes the time of a head that begins with them.
    fn deliverable(&self, bytes: &[u8]) -> usize {
        let advance = self.0.limit.borrow_mut().advance(bytes);
        if advance.in_head && self.head_since().is_none() {
            self.0.head_since.set(Some(Instant::now()));
            self.0.head_begins.notify_waiters();
        }
        advance.bytes
    }

    /// Gives the HTTP code what has been read ahead.
    fn deliver_read_ahead(&self, buffer: &mut ReadBuf<'_>) {
        let mut ahead = self.0.read_ahead.borrow_mut();
        let offered = ahead.len().min(buffer.remaining());
        let given = self.deliverable(&ahead[..offered]);
        buffer.put_slice(&ahead[..given]);
        ahead.advance(given);
        // Its memory is not kept by connections that rest.
        if ahead.is_empty() {
            *ahead = BytesMut::new();
        }
    }

    /// Gives the HTTP code what comes now, and keeps what is beyond its request.
    fn poll_deliver(&self, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(self.poll_receive(context, buffer))?;
        let received = &buffer.filled()[before..];
        let given = self.deliverable(received);
        self.0.read_ahead.borrow_mut().extend_from_slice(&received[given..]);
        buffer.set_filled(before + given);
        Poll::Ready(Ok(()))
    }

    /// The time of a head counts from the end of the answer before it, for as long as that goes out.
    fn wrote(&self, done: &Poll<io::Result<usize>>) {
        if matches!(done, Poll::Ready(Ok(_))) && self.head_since().is_some() {
            self.0.head_since.set(Some(Instant::now()));
        }
    }

    /// Keeps bytes that the HTTP code has not asked for yet, as many as are kept.
    fn store_read_ahead(&self, bytes: &[u8]) {
        let mut ahead = self.0.read_ahead.borrow_mut();
        if self.overflowed() || ahead.len() + bytes.len() > READ_AHEAD_MAX_BYTES {
            self.0.overflowed.set(true);
        } else {
            ahead.extend_from_slice(bytes);
        }
    }

    /// Reads past the runtime, which may not have heard yet of what has come.
    fn receive_now(&self, scratch: &mut [u8]) -> io::Result<usize> {
        let stream = self.0.stream.borrow();
        let socket = SockRef::from(&*stream);
        (&*socket).read(scratch)
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
        if matches!(*self.0.limit.borrow(), ReadLimit::Bytes(0)) {
            return self.poll_gone(context).map(Ok);
        }
        if !self.0.read_ahead.borrow().is_empty() {
            self.deliver_read_ahead(buffer);
            return Poll::Ready(Ok(()));
        }
        // It is closed from this side, behind the answer.
        if self.overflowed() { Poll::Pending } else { self.poll_deliver(context, buffer) }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let done = Pin::new(&mut *self.0.stream.borrow_mut()).poll_write(context, bytes);
        self.wrote(&done);
        done
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
        let done = Pin::new(&mut *self.0.stream.borrow_mut()).poll_write_vectored(context, parts);
        self.wrote(&done);
        done
    }

    fn is_write_vectored(&self) -> bool {
        self.0.stream.borrow().is_write_vectored()
    }
}
