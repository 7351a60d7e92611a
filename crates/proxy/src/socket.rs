//! A TCP socket that is shared between hyper, which reads and writes it, and code that must observe what hyper does
//! not, such as the peer's end of stream behind bytes that hyper has not read yet.

mod disconnect;
mod framing;
mod head_memory;
mod peer_close;
mod read_ahead;

use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind, Read};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

pub use disconnect::Presence;
use framing::{HeadEnd, ReadLimit};
use head_memory::HeadMemory;
use read_ahead::{Oldest, ReadAhead};

use crate::memory::ByteBudget;

/// Largest number of bytes that are delivered to hyper at once. hyper doubles the buffer of a connection, 8 KiB at first,
/// each time a read fills it, and keeps it.
const DELIVERY_MAX_BYTES: usize = 7 * 1024;
/// Largest number of bytes that are read at once before hyper asks for them.
const SCRATCH_BYTES: usize = 4096;
/// Maximum number of consecutive reads from one socket before other tasks may run.
const READS_PER_TURN: usize = 16;
/// Number of bytes that may be read ahead on a connection that this side has opened.
const CLIENT_READ_AHEAD_BYTES: usize = 64 * 1024;
/// Size from which the head of a request is not valid.
const HEAD_MAX_BYTES: usize = 32 * 1024;

/// A shared handle to a socket. The socket is closed when the last handle is dropped.
#[derive(Debug, Clone)]
pub struct Socket(Rc<Shared>);

#[derive(Debug)]
struct Shared {
    /// The TCP stream, which is never borrowed across an await.
    stream: RefCell<TcpStream>,
    /// Whether this is the server's side, on which requests are told apart and their arrival counts.
    reads_requests: bool,
    /// Bytes that have been read from the stream but not delivered to hyper yet.
    read_ahead: RefCell<ReadAhead>,
    /// The size of the present head, and the memory that is reserved for it.
    head_memory: RefCell<HeadMemory>,
    read_mode: Cell<ReadMode>,
    /// Whether the socket had no unread bytes when it was last read.
    read_to_end: Cell<bool>,
    /// Latest time at which the peer is known to have been connected, while there have been unread bytes since.
    last_seen: Cell<Instant>,
    /// Time at which bytes were first left unread in the socket; `None` if the socket has been read to its end since.
    unread_since: Cell<Option<Instant>>,
    /// Whether the runtime's record of readiness was cleared while bytes were left unread, so that it does not report
    /// them.
    readiness_cleared: Cell<bool>,
    /// Whether hyper may have been given bytes beyond the current request.
    delivered_beyond_request: Cell<bool>,
    /// Time at which the latest byte that was delivered to hyper arrived, or an earlier time.
    received_at: Cell<Instant>,
    /// Whether the latest write could not be completed at once, so that hyper may hold bytes to write.
    write_blocked: Cell<bool>,
    /// Wakes the task whose read was postponed because a write was blocked.
    postponed_read: RefCell<Option<Waker>>,
    /// How far hyper may read at present.
    limit: RefCell<ReadLimit>,
    /// When a partly received head began to be delivered to hyper, or when the last byte of the previous answer was
    /// written if that is later. `None` if no head is partly received.
    head_since: Cell<Option<Instant>>,
    /// Notified when the first byte of a head is delivered to hyper.
    head_begins: Notify,
}

/// What is read from a socket beyond the bytes that hyper asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadMode {
    /// The next requests are read ahead, as far as the buffer has room.
    Ahead,
    /// No more bytes are read ahead.
    OnDemand,
    /// All bytes are read and discarded.
    Discard,
}

/// What a socket has for its reader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Input {
    /// Bytes to read.
    Bytes,
    /// The end of the stream, or an error of the connection.
    End,
}

/// A weak handle to a socket, which does not keep it open.
#[derive(Debug, Clone)]
pub struct WeakSocket(Weak<Shared>);

impl WeakSocket {
    /// What is known of the peer; [`Presence::Gone`] if the socket has been closed on this side.
    #[must_use]
    pub fn presence(&self) -> Presence {
        self.0.upgrade().map_or(Presence::Gone, |shared| Socket(shared).presence())
    }

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
        Self::with_limit(stream, None, ReadLimit::Unlimited)
    }

    /// Wraps an accepted stream like [`Self::new`], for a server that reads one request at a time. The server must call
    /// [`Self::head_complete`] and [`Self::response_ready`] for each request. `budget` limits the bytes that are read ahead
    /// and the heads of all such sockets.
    #[must_use]
    pub fn for_server(stream: TcpStream, budget: &ByteBudget) -> Self {
        Self::with_limit(stream, Some(budget), ReadLimit::ToHeadEnd(HeadEnd::default()))
    }

    fn with_limit(stream: TcpStream, budget: Option<&ByteBudget>, limit: ReadLimit) -> Self {
        let reads_requests = budget.is_some();
        let budget = budget.cloned().unwrap_or_else(|| ByteBudget::new(CLIENT_READ_AHEAD_BYTES));
        // A connection on which the option cannot be set is still usable.
        let _ = stream.set_nodelay(true);
        Self(Rc::new(Shared {
            stream: RefCell::new(stream),
            reads_requests,
            read_ahead: RefCell::new(ReadAhead::new(budget.clone())),
            head_memory: RefCell::new(HeadMemory::new(&budget)),
            read_to_end: Cell::new(true),
            last_seen: Cell::new(Instant::now()),
            read_mode: Cell::new(ReadMode::Ahead),
            unread_since: Cell::new(None),
            readiness_cleared: Cell::new(false),
            delivered_beyond_request: Cell::new(false),
            received_at: Cell::new(Instant::now()),
            write_blocked: Cell::new(false),
            postponed_read: RefCell::default(),
            limit: RefCell::new(limit),
            head_since: Cell::new(None),
            head_begins: Notify::new(),
        }))
    }

    /// Records that the head of a request has been read, and the length of its body if that is known.
    pub fn head_complete(&self, body: Option<u64>) {
        self.0.head_since.set(None);
        self.0.head_memory.borrow_mut().end_head();
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

    /// Time at which the latest byte that was delivered to hyper arrived. It is earlier than that if it is not known how
    /// long the byte had been left unread, but never later.
    #[must_use]
    pub fn received_at(&self) -> Instant {
        self.0.received_at.get()
    }

    /// Whether bytes beyond the current request have been read, which may hold whole requests.
    #[must_use]
    pub fn may_hold_requests(&self) -> bool {
        self.0.delivered_beyond_request.get() || !self.0.read_ahead.borrow().is_empty()
    }

    /// Whether received bytes are discarded, so that the connection can only be closed.
    #[must_use]
    pub fn discards(&self) -> bool {
        self.0.read_mode.get() == ReadMode::Discard
    }

    /// Reads no more requests ahead, because the connection is to be closed once those that have been read are answered.
    pub fn stop_reading_ahead(&self) {
        if !self.discards() {
            self.0.read_mode.set(ReadMode::OnDemand);
        }
    }

    /// Whether the kernel has nothing to read from the peer: no bytes, no end of stream and no error. It peeks at the
    /// socket, because the readiness that the runtime last recorded may be out of date.
    #[must_use]
    pub fn has_nothing_to_read(&self) -> bool {
        let peeked = SockRef::from(&*self.0.stream.borrow()).peek(&mut [MaybeUninit::uninit()]);
        peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }

    /// Waits until there is something to read, without reading it. Cancel safe.
    pub async fn input(&self) -> Input {
        std::future::poll_fn(|context| self.poll_input(context)).await
    }

    fn poll_input(&self, context: &mut Context<'_>) -> Poll<Input> {
        if !self.0.read_ahead.borrow().is_empty() {
            return Poll::Ready(Input::Bytes);
        }
        if self.0.readiness_cleared.get() && !self.has_nothing_to_read() {
            return Poll::Ready(Input::Bytes);
        }
        let mut byte = [MaybeUninit::uninit()];
        let peeked = self.0.stream.borrow().poll_peek(context, &mut ReadBuf::uninit(&mut byte));
        if peeked.is_pending() {
            self.note_read_to_end();
        }
        peeked.map(|peeked| if matches!(peeked, Ok(bytes) if bytes > 0) { Input::Bytes } else { Input::End })
    }

    /// Whether the next bytes begin the head of a request.
    fn awaits_head(&self) -> bool {
        matches!(*self.0.limit.borrow(), ReadLimit::ToHeadEnd(_)) && self.head_since().is_none()
    }

    /// Whether hyper holds bytes that it could not write yet. It is up to date after hyper has been polled.
    #[must_use]
    pub fn is_write_blocked(&self) -> bool {
        self.0.write_blocked.get()
    }

    /// Takes back bytes that were delivered to hyper and not used by it.
    pub fn take_back(&self, bytes: &[u8]) {
        self.0.read_ahead.borrow_mut().push(bytes, self.received_at());
        self.0.head_since.set(None);
        self.response_ready();
    }

    /// Creates a weak handle, which does not keep the socket open.
    #[must_use]
    pub fn downgrade(&self) -> WeakSocket {
        WeakSocket(Rc::downgrade(&self.0))
    }

    /// Gives up the memory that is reserved for heads, because hyper has none any more.
    pub fn release_head_memory(&self) {
        self.0.head_memory.borrow_mut().release();
    }

    /// The time at which bytes that were read at `now` arrived, or an earlier time if they may have been left unread.
    fn arrival(&self, now: Instant) -> Instant {
        self.0.unread_since.get().unwrap_or(now)
    }

    /// Whether the buffer is full without holding the head of a request. Such a head is too large to be valid, and
    /// nothing behind it can be parsed.
    fn holds_oversized_head(&self) -> bool {
        let read_ahead = self.0.read_ahead.borrow();
        // Otherwise the head may have been delivered already, so that these bytes are a part of its body.
        let starts_with_head = !self.0.delivered_beyond_request.get();
        let bytes = read_ahead.bytes();
        starts_with_head && bytes.len() >= HEAD_MAX_BYTES && !framing::contains_head(&bytes[..HEAD_MAX_BYTES])
    }

    /// Discards what has been read ahead and all that is read from now on.
    fn discard_all(&self) {
        self.0.read_mode.set(ReadMode::Discard);
        self.0.read_ahead.borrow_mut().clear();
    }

    /// Number of bytes that may be read at once before hyper asks for them.
    fn read_ahead_size(&self) -> usize {
        if self.0.read_mode.get() == ReadMode::Ahead && self.holds_oversized_head() {
            self.discard_all();
        }
        match self.0.read_mode.get() {
            ReadMode::Ahead => self.0.read_ahead.borrow_mut().make_room(SCRATCH_BYTES),
            ReadMode::OnDemand => 0,
            ReadMode::Discard => SCRATCH_BYTES,
        }
    }

    /// Shuts the connection down so that the peer receives all that was written: closing a socket with unread bytes
    /// would reset the connection. It then reads and discards incoming bytes until the peer closes too, for at most
    /// `linger_timeout`. If the future is dropped before that, the connection may be reset.
    pub async fn close(mut self, linger_timeout: Duration) {
        let ended = std::future::poll_fn(|context| Pin::new(&mut self).poll_shutdown(context)).await;
        if ended.is_ok() {
            self.discard_all();
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

    /// Returns how many of the given bytes may be delivered to hyper, and records when they arrived and, if a head begins
    /// in them, the present time `now`.
    fn deliverable(&self, bytes: &[u8], arrived_at: Instant, now: Instant) -> usize {
        let advance = self.0.limit.borrow_mut().advance(bytes);
        self.0.received_at.set(arrived_at);
        if advance.in_head && self.head_since().is_none() {
            self.0.head_since.set(Some(now));
            self.0.head_begins.notify_waiters();
        }
        if advance.in_head {
            self.0.head_memory.borrow_mut().add(advance.bytes);
        }
        advance.bytes
    }

    /// Delivers bytes that have been read ahead and arrived together to hyper, as far as the limit allows.
    fn deliver_read_ahead(&self, buffer: &mut ReadBuf<'_>) {
        let mut read_ahead = self.0.read_ahead.borrow_mut();
        let Some(Oldest { bytes, arrived_at }) = read_ahead.oldest() else { return };
        let offered = &bytes[..bytes.len().min(buffer.remaining()).min(DELIVERY_MAX_BYTES)];
        let delivered = self.deliverable(offered, arrived_at, Instant::now());
        buffer.put_slice(&offered[..delivered]);
        read_ahead.consume(delivered);
    }

    /// Reads from the stream, delivers bytes of the current message to hyper and stores those beyond it.
    fn poll_deliver(&self, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let mut scratch = [MaybeUninit::uninit(); DELIVERY_MAX_BYTES];
        let size = buffer.remaining().min(DELIVERY_MAX_BYTES);
        let mut received = ReadBuf::uninit(&mut scratch[..size]);
        ready!(self.poll_receive(context, &mut received))?;
        let received = received.filled();
        if !self.0.reads_requests {
            buffer.put_slice(received);
            return Poll::Ready(Ok(()));
        }
        let now = Instant::now();
        let arrived_at = self.arrival(now);
        let delivered = self.deliverable(received, arrived_at, now);
        buffer.put_slice(&received[..delivered]);
        self.0.read_ahead.borrow_mut().push(&received[delivered..], arrived_at);
        Poll::Ready(Ok(()))
    }

    /// Notes whether a write was blocked. Restarts the time of a partly received head after each write, so that it counts
    /// from the end of the previous answer.
    fn note_write(&self, done: &Poll<io::Result<usize>>) {
        self.0.write_blocked.set(done.is_pending());
        if matches!(done, Poll::Ready(Ok(_))) {
            // If the peer had closed the connection, it would answer with a reset.
            self.0.last_seen.set(Instant::now());
            if let Some(reader) = self.0.postponed_read.take() {
                reader.wake();
            }
        }
        if matches!(done, Poll::Ready(Ok(_))) && self.head_since().is_some() {
            self.0.head_since.set(Some(Instant::now()));
        }
    }

    /// Stores bytes that hyper has not asked for yet, unless bytes are discarded.
    fn store_read_ahead(&self, bytes: &[u8]) {
        if !self.discards() {
            self.0.read_ahead.borrow_mut().push(bytes, self.arrival(Instant::now()));
        }
    }

    /// Reads from the socket without the runtime, whose recorded readiness may be out of date.
    fn receive_now(&self, scratch: &mut [u8]) -> io::Result<usize> {
        let stream = self.0.stream.borrow();
        let socket = SockRef::from(&*stream);
        loop {
            match (&*socket).read(scratch) {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                done => return done,
            }
        }
    }

    fn poll_receive(&self, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if self.0.readiness_cleared.get() {
            match self.receive_now(buffer.initialize_unfilled()) {
                Ok(bytes) => {
                    self.note_received();
                    buffer.advance(bytes);
                    return Poll::Ready(Ok(()));
                }
                // The runtime is asked next, so that the task is woken when more bytes arrive.
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
        let done = Pin::new(&mut *self.0.stream.borrow_mut()).poll_read(context, buffer);
        if done.is_pending() {
            self.note_read_to_end();
        } else {
            self.note_received();
        }
        done
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
        if self.discards() {
            // Nothing more is parsed; this side closes the connection after the answer.
            return Poll::Pending;
        }
        let is_in_body = matches!(*self.0.limit.borrow(), ReadLimit::Unlimited);
        self.0.delivered_beyond_request.set(is_in_body);
        if self.is_write_blocked() && self.awaits_head() {
            // The next request is read once the client has taken the answers before it.
            self.0.postponed_read.replace(Some(context.waker().clone()));
            return Poll::Pending;
        }
        if !self.0.head_memory.borrow_mut().reserve() {
            return Poll::Ready(Err(io::Error::other("no memory is left for the head of a request")));
        }
        if self.0.read_ahead.borrow().is_empty() {
            self.poll_deliver(context, buffer)
        } else {
            self.deliver_read_ahead(buffer);
            Poll::Ready(Ok(()))
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let done = Pin::new(&mut *self.0.stream.borrow_mut()).poll_write(context, bytes);
        self.note_write(&done);
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
        self.note_write(&done);
        done
    }

    fn is_write_vectored(&self) -> bool {
        self.0.stream.borrow().is_write_vectored()
    }
}
