//! How much of an attempt's request has been written, which decides whether a request that broke off may have run.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

/// How much of the request was on its way when the attempt was given up.
#[derive(Debug, Default)]
pub struct Progress {
    /// Bytes that the socket has accepted, once there is one.
    written: RefCell<Option<Rc<Cell<u64>>>>,
    /// Bytes of the request.
    size: Cell<u64>,
    /// How long the attempt had no connection.
    pub(super) connect_wait: Cell<Option<Duration>>,
}

impl Progress {
    /// A request of `size` bytes goes out on a socket that counts in `written` what it has accepted.
    pub fn start(&self, written: &Rc<Cell<u64>>, size: u64) {
        self.size.set(size);
        self.written.replace(Some(Rc::clone(written)));
    }

    /// Whether its last byte is out, so that it may run.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.written.borrow().as_ref().is_some_and(|written| written.get() >= self.size.get())
    }

    /// Whether its first byte is out.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.written.borrow().as_ref().is_some_and(|written| written.get() > 0)
    }
}
