//! Cache of encoded lines that watches share: after a change, thousands of watches need the same bytes.

use std::collections::HashMap;

use bytes::Bytes;

/// Maximum total size of the cached lines in bytes. A line that would exceed it first empties the cache, because a new
/// index makes most lines useless anyway.
const MAX_CACHED_BYTES: usize = 32 << 20;

/// Key of a cached line: watches with the same key are sent the same line.
#[derive(Debug, PartialEq, Eq, Hash)]
pub(super) struct LineKey {
    /// Scopes of the watch, as written in its query.
    pub scopes: Box<str>,
    /// Index of the newest change that the reader of the watch has.
    pub since: u64,
    /// Staleness of this process, which the line contains: seconds since it last received anything from its own parent,
    /// 0 while the parent is up to date.
    pub stale_s: u64,
}

/// Encoded lines of the current state; the cache is replaced when the state changes.
#[derive(Default)]
pub(super) struct LineCache {
    /// Total size of the cached lines in bytes.
    bytes: usize,
    lines: HashMap<LineKey, Bytes>,
}

impl LineCache {
    pub(super) fn get(&self, key: &LineKey) -> Option<Bytes> {
        self.lines.get(key).cloned()
    }

    pub(super) fn insert(&mut self, key: LineKey, line: Bytes) {
        if self.bytes + line.len() > MAX_CACHED_BYTES {
            *self = Self::default();
        }
        self.bytes += line.len();
        self.lines.insert(key, line);
    }
}
