//! How far the HTTP code of a server may read: to the end of the request that it is at.

/// What the HTTP code is given. A server gets no byte beyond the request that it reads, so that what it holds of the
/// next one is known.
#[derive(Debug)]
pub(super) enum ReadLimit {
    /// Whatever comes.
    Unlimited,
    /// A request's head, up to its end.
    ToHeadEnd(HeadEnd),
    /// So many bytes more, and then only the end of the connection.
    Bytes(u64),
}

/// How far a limit has let the HTTP code go on.
pub(super) struct Advance {
    /// Bytes that it is given.
    pub(super) bytes: usize,
    /// They are part of a head, or end one, whose first line has begun.
    pub(super) in_head: bool,
}

impl ReadLimit {
    /// How many of these bytes the HTTP code is given; moves on by as many.
    pub(super) fn advance(&mut self, bytes: &[u8]) -> Advance {
        match self {
            Self::Unlimited => Advance { bytes: bytes.len(), in_head: false },
            Self::ToHeadEnd(head) => {
                let end = head.find(bytes);
                let in_head = head.begun;
                // What follows the head is known once the HTTP code has read it.
                if end.is_some() {
                    *self = Self::Unlimited;
                }
                Advance { bytes: end.unwrap_or(bytes.len()), in_head }
            }
            Self::Bytes(left) => {
                let given = bytes.len().min(usize::try_from(*left).unwrap_or(usize::MAX));
                *left -= given as u64;
                Advance { bytes: given, in_head: false }
            }
        }
    }
}

/// Looks for the empty line that ends a request's head. Empty lines before its first line are no part of it.
#[derive(Debug, Default)]
pub(super) struct HeadEnd {
    /// A line that is not empty has begun.
    begun: bool,
    /// Something stands on the line that is looked at.
    in_line: bool,
}

impl HeadEnd {
    /// Bytes of these up to the end of the head, if it ends among them.
    fn find(&mut self, bytes: &[u8]) -> Option<usize> {
        for (position, byte) in bytes.iter().enumerate() {
            match byte {
                b'\r' => {}
                b'\n' if self.begun && !self.in_line => return Some(position + 1),
                b'\n' => self.in_line = false,
                _ => {
                    self.begun = true;
                    self.in_line = true;
                }
            }
        }
        None
    }
}
