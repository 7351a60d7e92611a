//! Bytes that were read from a socket before hyper asked for them, with the times at which they arrived.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use tokio::time::Instant;

/// Largest number of bytes that are read ahead on a socket. Further bytes stay in the socket.
pub(super) const READ_AHEAD_MAX_BYTES: usize = 32 * 1024;
/// Bytes that arrive within this time of each other count as having arrived together.
const ARRIVAL_RESOLUTION: Duration = Duration::from_millis(5);
/// Largest number of arrival times that are kept. Bytes that arrive later count as having arrived at the last of them.
const MAX_ARRIVALS: usize = 64;

/// A buffer of bytes that have been read ahead. Bytes never count as having arrived later than they did.
#[derive(Debug, Default)]
pub(super) struct ReadAhead {
    bytes: BytesMut,
    /// The arrivals of all bytes in the buffer, oldest first.
    arrivals: VecDeque<Arrival>,
}

/// A number of bytes that arrived together.
#[derive(Debug)]
struct Arrival {
    bytes: usize,
    at: Instant,
}

/// The oldest bytes of the buffer, which arrived together.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Oldest<'a> {
    pub(super) bytes: &'a [u8],
    pub(super) arrived_at: Instant,
}

impl ReadAhead {
    pub(super) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    pub(super) fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Number of bytes that may still be read ahead.
    pub(super) fn free_bytes(&self) -> usize {
        READ_AHEAD_MAX_BYTES.saturating_sub(self.bytes.len())
    }

    /// Appends bytes that arrived at the given time.
    pub(super) fn push(&mut self, bytes: &[u8], arrived_at: Instant) {
        if bytes.is_empty() {
            return;
        }
        self.bytes.extend_from_slice(bytes);
        let has_max_arrivals = self.arrivals.len() >= MAX_ARRIVALS;
        match self.arrivals.back_mut() {
            Some(last)
                if has_max_arrivals || arrived_at.saturating_duration_since(last.at) < ARRIVAL_RESOLUTION =>
            {
                last.bytes += bytes.len();
            }
            _ => self.arrivals.push_back(Arrival { bytes: bytes.len(), at: arrived_at }),
        }
    }

    /// The oldest bytes that arrived together; `None` if the buffer is empty.
    pub(super) fn oldest(&self) -> Option<Oldest<'_>> {
        let arrival = self.arrivals.front()?;
        Some(Oldest { bytes: &self.bytes[..arrival.bytes], arrived_at: arrival.at })
    }

    /// Removes this number of bytes from the start of the buffer, at most all of [`Self::oldest`].
    pub(super) fn consume(&mut self, bytes: usize) {
        self.bytes.advance(bytes);
        if let Some(arrival) = self.arrivals.front_mut() {
            arrival.bytes -= bytes;
            if arrival.bytes == 0 {
                self.arrivals.pop_front();
            }
        }
        // The memory is freed so that idle connections do not hold it.
        if self.bytes.is_empty() {
            *self = Self::default();
        }
    }
}
