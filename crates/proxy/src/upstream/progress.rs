//! Tracks how much of an attempt's request has been written, which decides whether an interrupted request may have run.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

/// How much of an attempt's request has been written.
#[derive(Debug, Default)]
pub struct Progress {
    /// Counter of the bytes that the connection's socket has accepted; `None` until the attempt has a connection.
    written: RefCell<Option<Rc<Cell<u64>>>>,
    /// Size of the attempt's request in bytes, as a lower bound.
    size: Cell<u64>,
    /// How long the attempt waited for a connection to the upstream; `None` until it has one.
    pub(super) connect_wait: Cell<Option<Duration>>,
}

impl Progress {
    /// Starts tracking a request of `size` bytes on a socket that counts the bytes it has accepted in `written`.
    pub fn start(&self, written: &Rc<Cell<u64>>, size: u64) {
        self.size.set(size);
        self.written.replace(Some(Rc::clone(written)));
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
