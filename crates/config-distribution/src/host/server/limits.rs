//! Limits on the watches and connections of a server, so that a great number of children cannot fill its memory.

use std::cell::Cell;

/// Maximum number of connections beside those of watches. They carry reports, publications and operators' queries, and
/// are short.
const MAX_SHORT_CONNECTIONS: usize = 256;

/// Limits of a server.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum number of readers, that is, of open watches.
    pub max_readers: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { max_readers: 4096 }
    }
}

impl Limits {
    /// Maximum number of open connections, of watches and all others.
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
