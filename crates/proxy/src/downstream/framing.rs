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

/// Looks for the empty line that ends a request's head. Empty lines before its first line are no part of it.
#[derive(Debug, Default)]
pub(super) struct HeadEnd {
    pub(super) begun: bool,
    /// Something stands on the line that is looked at.
    in_line: bool,
}

impl HeadEnd {
    /// Bytes of these up to the end of the head, if it ends among them.
    pub(super) fn find(&mut self, bytes: &[u8]) -> Option<usize> {
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
