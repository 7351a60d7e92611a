//! Receives the bodies of requests within their budget.
//!
//! When the budget runs out, room is made by dropping the incomplete body that has made no progress for longest: its
//! client may have stopped half way. The rest of such a body is read and thrown away, and its request is refused, so
//! that the client gets a whole answer. Bodies that are complete are never dropped.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::pin::pin;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use thiserror::Error;
use tokio::time::Instant;

use super::{ByteBudget, ByteReservation, UNCOUNTED_BYTES};

/// Least capacity of a body's buffer.
const MIN_CAPACITY: usize = 1024;

/// Why a body was not received.
#[derive(Debug, Error)]
pub enum ReceiveError<E> {
    /// The body is larger than the limit.
    #[error("the body exceeds the size limit")]
    TooLarge,
    /// The body was read to its end, but there was no room to keep it.
    #[error("no memory is left for the body")]
    NoMemory,
    /// The connection failed before the end of the body.
    #[error("the connection failed before the end of the body: {0}")]
    Connection(E),
}

/// The bodies that are being received, and the budget of all bodies of requests.
#[derive(Debug)]
pub struct RequestBodies {
    budget: ByteBudget,
    /// Incomplete bodies by number.
    incomplete: RefCell<BTreeMap<u64, Rc<IncompleteBody>>>,
    next_number: Cell<u64>,
    /// Number of bodies that have been dropped for lack of memory.
    dropped: Cell<u64>,
}

/// A body that is being received.
#[derive(Debug)]
struct IncompleteBody {
    /// What has been received; `None` once it has been dropped.
    buffer: RefCell<Option<Buffer>>,
    last_progress: Cell<Instant>,
}

#[derive(Debug)]
struct Buffer {
    bytes: Vec<u8>,
    /// Largest size that the body can have.
    max_bytes: usize,
    reservation: ByteReservation,
}

impl Buffer {
    /// Appends a piece of the body if there is room for it. Returns whether there was.
    fn try_append(&mut self, piece: &[u8]) -> bool {
        let needed = self.bytes.len() + piece.len();
        if needed > self.bytes.capacity() {
            let capacity = needed.max(2 * self.bytes.capacity()).max(MIN_CAPACITY).min(self.max_bytes);
            if !self.reservation.try_grow_to(capacity.saturating_sub(UNCOUNTED_BYTES)) {
                return false;
            }
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(piece);
        true
    }

    fn into_bytes(mut self) -> Bytes {
        self.bytes.shrink_to_fit();
        self.reservation.shrink_to(self.bytes.len().saturating_sub(UNCOUNTED_BYTES));
        self.reservation.attach(self.bytes)
    }
}

impl RequestBodies {
    pub(super) fn new(budget: ByteBudget) -> Self {
        Self {
            budget,
            incomplete: RefCell::default(),
            next_number: Cell::default(),
            dropped: Cell::default(),
        }
    }

    /// Number of bytes that are reserved for bodies.
    #[must_use]
    pub fn reserved(&self) -> usize {
        self.budget.reserved()
    }

    /// Number of bodies that have been dropped for lack of memory since the start.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.get()
    }

    /// Receives a body of at most `max_bytes` bytes and ignores trailers. A body whose announced length exceeds the
    /// limit is not read. If the future is dropped, the part that was received is lost.
    ///
    /// # Errors
    /// The body is larger than `max_bytes`, there is no room for it, or the connection failed before its end.
    pub async fn receive<B>(&self, body: B, max_bytes: usize) -> Result<Bytes, ReceiveError<B::Error>>
    where
        B: Body<Data = Bytes>,
    {
        let announced = body.size_hint();
        if announced.lower() > max_bytes as u64 {
            return Err(ReceiveError::TooLarge);
        }
        let expected = announced.exact().and_then(|bytes| usize::try_from(bytes).ok()).unwrap_or(max_bytes);
        let entry = self.register(expected);
        let mut body = pin!(body);
        let mut received = 0;
        while let Some(frame) = body.frame().await {
            let Ok(piece) = frame.map_err(ReceiveError::Connection)?.into_data() else { continue };
            received += piece.len();
            if received > max_bytes {
                return Err(ReceiveError::TooLarge);
            }
            self.append(&entry.body, &piece);
        }
        let buffer = entry.body.buffer.take().ok_or(ReceiveError::NoMemory)?;
        Ok(buffer.into_bytes())
    }

    fn register(&self, max_bytes: usize) -> Registration<'_> {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let buffer = Buffer { bytes: Vec::new(), max_bytes, reservation: self.budget.reservation() };
        let body = Rc::new(IncompleteBody {
            buffer: RefCell::new(Some(buffer)),
            last_progress: Cell::new(Instant::now()),
        });
        self.incomplete.borrow_mut().insert(number, Rc::clone(&body));
        Registration { bodies: self, number, body }
    }

    /// Appends a piece to a body. If there is no room, others are dropped for it, or else the body itself.
    fn append(&self, body: &Rc<IncompleteBody>, piece: &[u8]) {
        body.last_progress.set(Instant::now());
        let mut buffer = body.buffer.borrow_mut();
        let Some(kept) = &mut *buffer else { return };
        while !kept.try_append(piece) {
            if !self.drop_stalest_except(body) {
                self.dropped.set(self.dropped.get() + 1);
                buffer.take();
                return;
            }
        }
    }

    /// Drops the body with a reservation that has made no progress for longest. Returns whether there was one.
    fn drop_stalest_except(&self, body: &Rc<IncompleteBody>) -> bool {
        let incomplete = self.incomplete.borrow();
        let droppable = incomplete.values().filter(|other| !Rc::ptr_eq(other, body) && other.is_reserved());
        let Some(stalest) = droppable.min_by_key(|other| other.last_progress.get()) else { return false };
        stalest.buffer.take();
        self.dropped.set(self.dropped.get() + 1);
        true
    }
}

impl IncompleteBody {
    fn is_reserved(&self) -> bool {
        self.buffer.borrow().as_ref().is_some_and(|buffer| buffer.reservation.bytes() > 0)
    }
}

/// Keeps a body registered as incomplete until it is dropped.
struct Registration<'a> {
    bodies: &'a RequestBodies,
    number: u64,
    body: Rc<IncompleteBody>,
}

impl Drop for Registration<'_> {
    fn drop(&mut self) {
        self.bodies.incomplete.borrow_mut().remove(&self.number);
    }
}
