//! What is checked at the moment at which a request's bytes are written. Between the hand-over of a request to its
//! connection and the write the process may be suspended and other tasks may run: the client may have left, the endpoint
//! begun to drain, the window for repeats ended, and the deadline that is passed on has come nearer.

use std::cell::{Cell, RefCell};
use std::fmt::{self, Debug, Formatter};
use std::io;
use std::time::Duration;

/// Whether the bytes of a request may go out, checked as they are written: since the request was handed over, other
/// tasks may have run, or the process have been suspended.
pub trait Clearance {
    /// Before the first byte: how long the attempt waits from now on; `None` if it must not begin.
    fn time_left_to_begin(&self) -> Option<Duration>;
    /// Before further bytes: whether they may follow.
    fn may_continue(&self) -> bool;
}

/// Checks the clearance of the request that goes out on a connection.
#[derive(Default)]
pub struct Gate {
    clearance: RefCell<Option<Box<dyn Clearance>>>,
    refused: Cell<bool>,
}

impl Debug for Gate {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("Gate").field("refused", &self.refused).finish_non_exhaustive()
    }
}

impl Gate {
    /// Checks this clearance from now on.
    pub fn set(&self, clearance: Box<dyn Clearance>) {
        self.clearance.replace(Some(clearance));
    }

    /// Checks none from now on.
    pub fn clear(&self) {
        self.clearance.take();
    }

    /// Whether a clearance was refused, which breaks the connection.
    #[must_use]
    pub fn has_refused(&self) -> bool {
        self.refused.get()
    }

    /// Checks whether the first bytes of a request may go out, and returns them with the time that is left now.
    pub(super) fn check_begin(&self, head: &[u8]) -> io::Result<Option<Vec<u8>>> {
        match self.clearance.borrow().as_deref().map(Clearance::time_left_to_begin) {
            None => Ok(None),
            Some(Some(time_left)) => Ok(with_deadline(head, time_left)),
            Some(None) => Err(self.refuse()),
        }
    }

    /// Checks whether further bytes of a request may go out.
    pub(super) fn check_continue(&self) -> io::Result<()> {
        let may = self.clearance.borrow().as_deref().is_none_or(Clearance::may_continue);
        if may { Ok(()) } else { Err(self.refuse()) }
    }

    fn refuse(&self) -> io::Error {
        self.refused.set(true);
        io::Error::other("the request must not go out any more")
    }
}

/// The same bytes with another time in the deadline's place, if they have one.
fn with_deadline(head: &[u8], time_left: Duration) -> Option<Vec<u8>> {
    let start = head.windows(DEADLINE.len()).position(|part| part == DEADLINE)? + DEADLINE.len();
    let length = head[start..].iter().position(|&byte| byte == b'\r')?;
    let value = seconds_in(time_left, length)?;
    let mut bytes = head.to_vec();
    bytes[start..start + length].copy_from_slice(value.as_bytes());
    Some(bytes)
}

/// What precedes the deadline in the head of a request.
const DEADLINE: &[u8] = b"\r\nx-deadline: ";

/// Seconds with as many decimals as make them so long, rounded down; `None` if they are longer.
fn seconds_in(time: Duration, length: usize) -> Option<String> {
    let mut text = format!("{}.{:09}", time.as_secs(), time.subsec_nanos());
    while text.len() < length {
        text.push('0');
    }
    text.truncate(length);
    (text.len() == length && text.trim_end_matches(|c: char| c.is_ascii_digit()).ends_with('.'))
        .then_some(text)
}
