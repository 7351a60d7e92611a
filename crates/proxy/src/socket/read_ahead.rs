//! Bytes that were read from a socket before hyper asked for them, with the times at which they arrived.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use tokio::time::Instant;

use crate::memory::{ByteBudget, ByteReservation, UNCOUNTED_BYTES};

/// Number of bytes that are read ahead on a socket as long as the budget has room.
const READ_AHEAD_BYTES: usize = 32 * 1024;
/// Number of bytes that are read ahead on a socket while at least half of the budget is free, so that the end of the
/// connection is noticed behind many requests.
const READ_AHEAD_MAX_BYTES: usize = 4 * 1024 * 1024;
/// Bytes that arrive within this time of each other count as having arrived together.
const ARRIVAL_RESOLUTION: Duration = Duration::from_millis(5);
/// Largest number of arrival times that are kept. Bytes that arrive later count as having arrived at the last of them.
const MAX_ARRIVALS: usize = 64;

/// A buffer of bytes that have been read ahead. Bytes never count as having arrived later than they did.
#[derive(Debug)]
pub(super) struct ReadAhead {
    bytes: BytesMut,
    /// The arrivals of all bytes in the buffer, oldest first.
    arrivals: VecDeque<Arrival>,
    budget: ByteBudget,
    /// Counts the most bytes that the buffer has held since it was last empty.
    reservation: ByteReservation,
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
    pub(super) fn new(budget: ByteBudget) -> Self {
        let reservation = budget.reservation();
        Self { bytes: BytesMut::new(), arrivals: VecDeque::new(), budget, reservation }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    pub(super) fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Makes room for at most `step` further bytes, and returns for how many there is room: none if further bytes are to
    /// stay in the socket.
    pub(super) fn make_room(&mut self, step: usize) -> usize {
        let length = self.bytes.len();
        if length < UNCOUNTED_BYTES {
            return step.min(UNCOUNTED_BYTES - length);
        }
        let may_grow =
            length < READ_AHEAD_BYTES || (length < READ_AHEAD_MAX_BYTES && self.budget.is_half_free());
        let needed = length + step - UNCOUNTED_BYTES;
        if may_grow && self.reservation.try_grow_to(needed) { step } else { 0 }
    }

    /// Discards all bytes.
    pub(super) fn clear(&mut self) {
        *self = Self::new(self.budget.clone());
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
            self.clear();
        }
    }
}
