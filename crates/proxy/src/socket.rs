//! A TCP socket that is shared between hyper, which reads and writes it, and code that must observe what hyper does
//! not, such as the peer's end of stream behind bytes that hyper has not read yet.

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

/// Largest number of bytes per socket that are read before hyper asks for them, which are the next requests. Bytes that
/// a peer sends beyond that while it awaits an answer are discarded, and its connection is closed after the answer.
const READ_AHEAD_MAX_BYTES: usize = 32 * 1024;
/// Maximum number of consecutive reads from one socket before other tasks may run.
const READS_PER_TURN: usize = 16;

/// A shared handle to a socket. The socket is closed when the last handle is dropped.
#[derive(Debug, Clone)]
pub struct Socket(Rc<Shared>);

#[derive(Debug)]
struct Shared {
    /// The TCP stream, which is never borrowed across an await.
    stream: RefCell<TcpStream>,
    /// Bytes that have been read from the stream but not delivered to hyper yet.
    read_ahead: RefCell<BytesMut>,
    /// Whether received bytes have been discarded, so that later bytes cannot be parsed.
    overflowed: Cell<bool>,
    /// How far hyper may read at present.
    limit: RefCell<ReadLimit>,
    /// When a partly received head began to be delivered to hyper, or when the last byte of the previous answer was
    /// written if that is later. `None` if no head is partly received.
    head_since: Cell<Option<Instant>>,
    /// Notified when the first byte of a head is delivered to hyper.
    head_begins: Notify,
}

/// A weak handle to a socket, which does not keep it open.
#[derive(Debug, Clone)]
pub struct WeakSocket(Weak<Shared>);

impl WeakSocket {
    /// Whether the peer has disconnected (see [`Socket::has_ended`]) or the socket has been closed on this side.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.0.upgrade().is_none_or(|shared| Socket(shared).has_ended())
    }
}

impl Socket {
    /// Wraps a connected stream. It disables Nagle's algorithm, because small writes that the kernel holds back would
    /// be lost when the connection is closed. A failure to set the option is ignored.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        Self::with_limit(stream, ReadLimit::Unlimited)
    }

    /// Wraps an accepted stream like [`Self::new`], for a server that reads one request at a time. The server must call
    /// [`Self::head_complete`] and [`Self::response_ready`] for each request.
    #[must_use]
    pub fn for_server(stream: TcpStream) -> Self {
        Self::with_limit(stream, ReadLimit::ToHeadEnd(HeadEnd::default()))
    }

    fn with_limit(stream: TcpStream, limit: ReadLimit) -> Self {
        // A connection on which the option cannot be set is still usable.
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

    /// Records that the head of a request has been read, and the length of its body if that is known.
    pub fn head_complete(&self, body: Option<u64>) {
        self.0.head_since.set(None);
        self.0.limit.replace(body.map_or(ReadLimit::Unlimited, ReadLimit::Bytes));
    }

    /// Records that the body of a request has been read, so that further bytes belong to the next request.
    pub fn body_complete(&self) {
        self.0.limit.replace(ReadLimit::Bytes(0));
    }

    /// Records that the answer to a request is ready, so that the next request may be read.
    pub fn response_ready(&self) {
        self.0.limit.replace(ReadLimit::ToHeadEnd(HeadEnd::default()));
    }

    /// Time since which the head of a request has been partly received; `None` if no head is partly received.
    #[must_use]
    pub fn head_since(&self) -> Option<Instant> {
        self.0.head_since.get()
    }

    /// Waits until the head of a request is partly received, and returns since when. Cancel safe.
    pub async fn head_begins(&self) -> Instant {
        loop {
            if let Some(since) = self.head_since() {
                return since;
            }
            self.0.head_begins.notified().await;
        }
    }

    /// Whether received bytes have been discarded, so that the connection can only be closed.
    #[must_use]
    pub fn overflowed(&self) -> bool {
        self.0.overflowed.get()
    }

    /// Whether the kernel has nothing to read from the peer: no bytes, no end of stream and no error. It peeks at the
    /// socket, because the readiness that the runtime last recorded may be out of date.
    #[must_use]
    pub fn has_nothing_to_read(&self) -> bool {
        let peeked = SockRef::from(&*self.0.stream.borrow()).peek(&mut [MaybeUninit::uninit()]);
        peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }

    /// Creates a weak handle, which does not keep the socket open.
    #[must_use]
    pub fn downgrade(&self) -> WeakSocket {
        WeakSocket(Rc::downgrade(&self.0))
    }

    /// Whether the peer has ended its stream or the connection has broken. It reads the socket directly, because the
    /// readiness that the runtime last recorded may be out of date. Bytes before the end are stored for hyper.
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

    /// Ready once the peer has ended its stream or the connection has broken. Bytes before the end are stored for
    /// hyper. It must be polled from the same task as hyper's reads, because only one task is woken.
    pub fn poll_disconnected(&self, context: &mut Context<'_>) -> Poll<()> {
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

    /// Shuts the connection down so that the peer receives all that was written: closing a socket with unread bytes
    /// would reset the connection. It then reads and discards incoming bytes until the peer closes too, for at most
    /// `linger_timeout`. If the future is dropped before that, the connection may be reset.
    pub async fn close(mut self, linger_timeout: Duration) {
        let ended = std::future::poll_fn(|context| Pin::new(&mut self).poll_shutdown(context)).await;
        if ended.is_ok() {
            self.0.overflowed.set(true);
            if linger_timeout.is_zero() {
                // Polled once without a timer, whose next tick is up to a millisecond away, because sockets are scarce.
                std::future::poll_fn(|context| Poll::Ready(self.poll_disconnected(context).is_ready())).await;
            } else {
                // Whether the peer has closed or the timeout has expired, the socket is closed next.
                let _ =
                    timeout(linger_timeout, std::future::poll_fn(|context| self.poll_disconnected(context)))
                        .await;
            }
        }
    }

    /// Returns how many of the given bytes may be delivered to hyper, and records the time if a head begins in them.
    fn deliverable(&self, bytes: &[u8]) -> usize {
        let advance = self.0.limit.borrow_mut().advance(bytes);
        if advance.in_head && self.head_since().is_none() {
            self.0.head_since.set(Some(Instant::now()));
            self.0.head_begins.notify_waiters();
        }
        advance.bytes
    }

    /// Delivers bytes that have been read ahead to hyper, as far as the limit allows.
    fn deliver_read_ahead(&self, buffer: &mut ReadBuf<'_>) {
        let mut buffered = self.0.read_ahead.borrow_mut();
        let offered = buffered.len().min(buffer.remaining());
        let delivered = self.deliverable(&buffered[..offered]);
        buffer.put_slice(&buffered[..delivered]);
        buffered.advance(delivered);
        // The buffer is freed so that idle connections do not hold its memory.
        if buffered.is_empty() {
            *buffered = BytesMut::new();
        }
    }

    /// Reads from the stream, delivers bytes of the current request to hyper and stores those beyond it.
    fn poll_deliver(&self, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(self.poll_receive(context, buffer))?;
        let received = &buffer.filled()[before..];
        let delivered = self.deliverable(received);
        self.0.read_ahead.borrow_mut().extend_from_slice(&received[delivered..]);
        buffer.set_filled(before + delivered);
        Poll::Ready(Ok(()))
    }

    /// Restarts the time of a partly received head after each write, so that it counts from the end of the previous
    /// answer.
    fn restart_head_time(&self, done: &Poll<io::Result<usize>>) {
        if matches!(done, Poll::Ready(Ok(_))) && self.head_since().is_some() {
            self.0.head_since.set(Some(Instant::now()));
        }
    }

    /// Stores bytes that hyper has not asked for yet, or discards them if they exceed [`READ_AHEAD_MAX_BYTES`].
    fn store_read_ahead(&self, bytes: &[u8]) {
        let mut buffered = self.0.read_ahead.borrow_mut();
        if self.overflowed() || buffered.len() + bytes.len() > READ_AHEAD_MAX_BYTES {
            self.0.overflowed.set(true);
        } else {
            buffered.extend_from_slice(bytes);
        }
    }

    /// Reads from the socket without the runtime, whose recorded readiness may be out of date.
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
            return self.poll_disconnected(context).map(Ok);
        }
        if !self.0.read_ahead.borrow().is_empty() {
            self.deliver_read_ahead(buffer);
            return Poll::Ready(Ok(()));
        }
        // After an overflow nothing more is read; this side closes the connection after the answer.
        if self.overflowed() { Poll::Pending } else { self.poll_deliver(context, buffer) }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let done = Pin::new(&mut *self.0.stream.borrow_mut()).poll_write(context, bytes);
        self.restart_head_time(&done);
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
        self.restart_head_time(&done);
        done
    }

    fn is_write_vectored(&self) -> bool {
        self.0.stream.borrow().is_write_vectored()
    }
}
