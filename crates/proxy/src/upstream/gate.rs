//! Checks, immediately before the bytes of a request are written, whether they may still be sent. Between the hand-over
//! of a request to its connection and the write, the process may be suspended and other tasks may run. Meanwhile the
//! client may have disconnected, the endpoint may have begun to drain, the deduplication window of the upstream may
//! have ended, and less time is left until the deadline that is forwarded.

use std::cell::{Cell, RefCell};
use std::fmt::{self, Debug, Formatter};
use std::io;
use std::time::Duration;

/// Decides whether the bytes of a request may be sent. It is asked immediately before each write, because other tasks
/// may have run, or the process may have been suspended, since the request was handed to the connection.
pub trait WriteCheck {
    /// Time left for the attempt, asked before the first byte is written; `None` if the request must not be sent.
    fn time_left_to_begin(&self) -> Option<Duration>;
    /// Whether further bytes of the request may be sent, asked before they are written.
    fn may_continue(&self) -> bool;
}

/// Applies the [`WriteCheck`] of the request that is being written on a connection.
#[derive(Default)]
pub struct Gate {
    check: RefCell<Option<Box<dyn WriteCheck>>>,
    refused: Cell<bool>,
}

impl Debug for Gate {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("Gate").field("refused", &self.refused).finish_non_exhaustive()
    }
}

impl Gate {
    /// Sets the check that is made before each write from now on.
    pub fn set(&self, check: Box<dyn WriteCheck>) {
        self.check.replace(Some(check));
    }

    /// Removes the check: all writes are allowed from now on.
    pub fn clear(&self) {
        self.check.take();
    }

    /// Whether a write was refused, which breaks the connection.
    #[must_use]
    pub fn has_refused(&self) -> bool {
        self.refused.get()
    }

    /// Checks whether the first bytes of a request may be sent. Returns them with the deadline header set to the time
    /// left now; `None` if they are to be sent unchanged.
    pub(super) fn check_begin(&self, head: &[u8]) -> io::Result<Option<Vec<u8>>> {
        match self.check.borrow().as_deref().map(WriteCheck::time_left_to_begin) {
            None => Ok(None),
            Some(Some(time_left)) => Ok(with_deadline(head, time_left)),
            Some(None) => Err(self.refuse()),
        }
    }

    /// Checks whether further bytes of a request may be sent.
    pub(super) fn check_continue(&self) -> io::Result<()> {
        let is_allowed = self.check.borrow().as_deref().is_none_or(WriteCheck::may_continue);
        if is_allowed { Ok(()) } else { Err(self.refuse()) }
    }

    fn refuse(&self) -> io::Error {
        self.refused.set(true);
        io::Error::other("write refused: the attempt must no longer send its request")
    }
}

/// Replaces the value of the deadline header in `head`, keeping its length; `None` if there is no such header or the
/// value does not fit.
fn with_deadline(head: &[u8], time_left: Duration) -> Option<Vec<u8>> {
    let start = head.windows(DEADLINE.len()).position(|part| part == DEADLINE)? + DEADLINE.len();
    let length = head[start..].iter().position(|&byte| byte == b'\r')?;
    let value = seconds_in(time_left, length)?;
    let mut bytes = head.to_vec();
    bytes[start..start + length].copy_from_slice(value.as_bytes());
    Some(bytes)
}

/// The bytes that precede the deadline's value in the head of a request.
const DEADLINE: &[u8] = b"\r\nx-deadline: ";

/// Formats a time in seconds with as many decimals as fill `length` characters, rounded down; `None` if it does not
/// fit.
fn seconds_in(time: Duration, length: usize) -> Option<String> {
    let mut text = format!("{}.{:09}", time.as_secs(), time.subsec_nanos());
    while text.len() < length {
        text.push('0');
    }
    text.truncate(length);
    (text.len() == length && text.trim_end_matches(|c: char| c.is_ascii_digit()).ends_with('.'))
        .then_some(text)
}
