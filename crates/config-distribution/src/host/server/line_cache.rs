//! Encoded lines that watches share: after a change thousands of them need the same bytes.

use std::collections::HashMap;

use bytes::Bytes;

/// Bytes of all cached lines at most; past this the cache begins anew, since another index makes most of it useless.
const MAX_CACHED_BYTES: usize = 32 << 20;

/// What two watches must have in common to be sent the same line.
#[derive(Debug, PartialEq, Eq, Hash)]
pub(super) struct LineKey {
    /// As the query has them.
    pub scopes: Box<str>,
    /// The index that the watch stands at.
    pub since: u64,
    pub stale_s: u64,
}

/// Encoded lines of one state; a change empties it.
#[derive(Default)]
pub(super) struct LineCache {
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
