//! Tracks how much of an attempt's request has been written, which decides whether an interrupted request may have run,
//! and when its answer last made progress.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

/// How long an answer that has begun may make no progress and still count as coming.
const ANSWER_STALL_TIMEOUT: Duration = Duration::from_secs(1);

/// How much of an attempt's request has been written, and when its answer last made progress.
#[derive(Debug, Default)]
pub struct Progress {
    /// Counter of the bytes that the connection's socket has accepted; `None` until the attempt has a connection.
    written: RefCell<Option<Rc<Cell<u64>>>>,
    /// Size of the attempt's request in bytes, as a lower bound.
    size: Cell<u64>,
    /// How long the attempt waited for a connection to the upstream; `None` until it has one.
    pub(super) connect_wait: Cell<Option<Duration>>,
    /// Time at which the latest part of the answer arrived; `None` before its head.
    answered_at: Cell<Option<Instant>>,
    /// Whether the rest of the answer stays in the socket until there is memory for it.
    awaits_memory: Cell<bool>,
}

impl Progress {
    /// Starts tracking a request of `size` bytes on a socket that counts the bytes it has accepted in `written`.
    pub fn start(&self, written: &Rc<Cell<u64>>, size: u64) {
        self.size.set(size);
        self.written.replace(Some(Rc::clone(written)));
    }

    /// Records that a part of the answer has arrived.
    pub fn record_answer(&self) {
        self.answered_at.set(Some(Instant::now()));
    }

    /// Records whether the rest of the answer stays in the socket until there is memory for it.
    pub fn set_awaits_memory(&self, awaits_memory: bool) {
        self.awaits_memory.set(awaits_memory);
        self.record_answer();
    }

    /// Until when the rest of the answer is to be waited for, at most until `deadline`; `None` if the answer has not
    /// begun or has stopped coming.
    #[must_use]
    pub fn answer_expected_until(&self, deadline: Instant) -> Option<Instant> {
        let answered_at = self.answered_at.get()?;
        let until = if self.awaits_memory.get() { deadline } else { answered_at + ANSWER_STALL_TIMEOUT };
        Some(until.min(deadline)).filter(|&until| until > Instant::now())
    }

    /// Whether the last byte of the request has been written, so that the request may run.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.written.borrow().as_ref().is_some_and(|written| written.get() >= self.size.get())
    }

    /// Whether the first byte of the request has been written.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.written.borrow().as_ref().is_some_and(|written| written.get() > 0)
    }
}
