//! Limits how far hyper's server reads on a connection: to the end of the current request.

/// Limit on the bytes that are delivered to hyper. A server gets no byte beyond the current request, so that it is
/// known whether part of the next request has been received.
#[derive(Debug)]
pub(super) enum ReadLimit {
    /// All received bytes are delivered.
    Unlimited,
    /// Bytes are delivered up to the end of a request's head.
    ToHeadEnd(HeadEnd),
    /// This number of further bytes is delivered, and after them only the end of the connection.
    Bytes(u64),
}

/// How many bytes a [`ReadLimit`] lets through, and whether they belong to a head.
pub(super) struct Advance {
    /// Number of the given bytes that are delivered.
    pub(super) bytes: usize,
    /// Whether the bytes belong to a request's head whose first line has begun.
    pub(super) in_head: bool,
}

impl ReadLimit {
    /// Calculates how many of the given bytes are delivered, and advances the limit by that number.
    pub(super) fn advance(&mut self, bytes: &[u8]) -> Advance {
        match self {
            Self::Unlimited => Advance { bytes: bytes.len(), in_head: false },
            Self::ToHeadEnd(head) => {
                let end = head.find(bytes);
                let in_head = head.started;
                // The length of the body is known only once hyper has parsed the head.
                if end.is_some() {
                    *self = Self::Unlimited;
                }
                Advance { bytes: end.unwrap_or(bytes.len()), in_head }
            }
            Self::Bytes(remaining) => {
                let delivered = bytes.len().min(usize::try_from(*remaining).unwrap_or(usize::MAX));
                *remaining -= delivered as u64;
                Advance { bytes: delivered, in_head: false }
            }
        }
    }
}

/// Finds the empty line that ends a request's head. Empty lines before the first line of the head are skipped.
#[derive(Debug, Default)]
pub(super) struct HeadEnd {
    /// Whether the first line that is not empty has begun.
    started: bool,
    /// Whether the current line has any characters.
    in_line: bool,
}

impl HeadEnd {
    /// Returns the number of the given bytes up to the end of the head; `None` if the head does not end in them.
    fn find(&mut self, bytes: &[u8]) -> Option<usize> {
        for (position, byte) in bytes.iter().enumerate() {
            match byte {
                b'\r' => {}
                b'\n' if self.started && !self.in_line => return Some(position + 1),
                b'\n' => self.in_line = false,
                _ => {
                    self.started = true;
                    self.in_line = true;
                }
            }
        }
        None
    }
}

/// Whether the bytes, which start where a head may start, hold a whole head.
pub(super) fn contains_head(bytes: &[u8]) -> bool {
    HeadEnd::default().find(bytes).is_some()
}
