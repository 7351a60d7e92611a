//! Counts the memory that the heads of requests take in hyper's buffer, and in the copies that are made of them.

use crate::memory::{ByteBudget, ByteReservation, UNCOUNTED_BYTES};

/// How often a head is in memory: in hyper's buffer, and in the copies of its parts.
const COPIES: usize = 2;

/// The memory that is reserved for the heads of one connection.
#[derive(Debug)]
pub(super) struct HeadMemory {
    budget: ByteBudget,
    /// Number of bytes of the present head that have been delivered.
    head_bytes: usize,
    /// Counts the longest head since the memory was last released, because hyper keeps its buffer.
    reservation: ByteReservation,
}

impl HeadMemory {
    pub(super) fn new(budget: &ByteBudget) -> Self {
        Self { budget: budget.clone(), head_bytes: 0, reservation: budget.reservation() }
    }

    /// Adds bytes of a head.
    pub(super) fn add(&mut self, bytes: usize) {
        self.head_bytes += bytes;
    }

    /// Reserves memory for the present head. Returns whether there was room.
    pub(super) fn reserve(&mut self) -> bool {
        self.reservation.try_grow_to(COPIES * self.head_bytes.saturating_sub(UNCOUNTED_BYTES))
    }

    /// Notes that the present head is complete.
    pub(super) fn end_head(&mut self) {
        self.head_bytes = 0;
    }

    /// Gives up what is reserved.
    pub(super) fn release(&mut self) {
        *self = Self::new(&self.budget);
    }
}
