//! How many watches and connections a server takes, so that children in great number cannot fill its memory.

use std::cell::Cell;

/// Connections beside those of watches: reports, publications and operators' questions, each short.
const MAX_SHORT_CONNECTIONS: usize = 256;

/// Bounds of a server.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Readers, that is, open watches, at most.
    pub max_readers: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { max_readers: 4096 }
    }
}

impl Limits {
    /// Open connections at most, of watches and all others.
    pub(super) fn max_connections(self) -> usize {
        self.max_readers + MAX_SHORT_CONNECTIONS
    }
}

/// Counts a watch as open until it is dropped.
pub(super) struct OpenWatch<'a>(&'a Cell<usize>);

impl<'a> OpenWatch<'a> {
    pub(super) fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for OpenWatch<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
