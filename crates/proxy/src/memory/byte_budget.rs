//! A number of bytes that several holders share, and the part of one holder.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// A shared number of bytes.
#[derive(Debug, Clone)]
pub struct ByteBudget {
    available: Arc<Semaphore>,
    total: usize,
}

impl ByteBudget {
    /// Creates a budget of `bytes` bytes.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        let total = bytes.min(Semaphore::MAX_PERMITS);
        Self { available: Arc::new(Semaphore::new(total)), total }
    }

    /// Starts a reservation of no bytes.
    #[must_use]
    pub fn reservation(&self) -> ByteReservation {
        ByteReservation { budget: self.clone(), permit: None }
    }

    /// Number of bytes that are reserved.
    #[must_use]
    pub fn reserved(&self) -> usize {
        self.total - self.available.available_permits()
    }

    /// Whether at least half of the budget is free.
    #[must_use]
    pub fn is_half_free(&self) -> bool {
        self.available.available_permits() >= self.total / 2
    }
}

/// Bytes of a budget that are reserved until this is dropped.
#[derive(Debug)]
pub struct ByteReservation {
    budget: ByteBudget,
    permit: Option<OwnedSemaphorePermit>,
}

impl ByteReservation {
    /// Number of reserved bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.permit.as_ref().map_or(0, OwnedSemaphorePermit::num_permits)
    }

    /// Raises the reservation to `bytes`, if it is lower and the budget has room. Returns whether it is that high now.
    #[must_use]
    pub fn try_grow_to(&mut self, bytes: usize) -> bool {
        let missing = bytes.saturating_sub(self.bytes());
        if missing == 0 {
            return true;
        }
        let Ok(missing) = u32::try_from(missing) else { return false };
        let Ok(added) = Arc::clone(&self.budget.available).try_acquire_many_owned(missing) else {
            return false;
        };
        self.add(added);
        true
    }

    /// Raises the reservation to `bytes`, if it is lower, and waits until the budget has room. Waiting holders are
    /// served in order. Cancel safe: nothing is reserved if the future is dropped.
    pub async fn grow_to(&mut self, bytes: usize) {
        let missing = bytes.saturating_sub(self.bytes()).min(self.budget.total);
        let missing = u32::try_from(missing).unwrap_or(u32::MAX);
        if missing == 0 {
            return;
        }
        // The semaphore is never closed.
        if let Ok(added) = Arc::clone(&self.budget.available).acquire_many_owned(missing).await {
            self.add(added);
        }
    }

    /// Lowers the reservation to `bytes`, if it is higher.
    pub fn shrink_to(&mut self, bytes: usize) {
        let excess = self.bytes().saturating_sub(bytes);
        if let Some(permit) = &mut self.permit {
            drop(permit.split(excess));
        }
    }

    /// Ties the reservation to the bytes: it ends when the last handle to them is dropped, wherever that is.
    #[must_use]
    pub fn attach(self, bytes: Vec<u8>) -> Bytes {
        if self.bytes() == 0 {
            return bytes.into();
        }
        Bytes::from_owner(ReservedBytes { bytes, _reservation: self })
    }

    fn add(&mut self, added: OwnedSemaphorePermit) {
        match &mut self.permit {
            Some(permit) => permit.merge(added),
            None => self.permit = Some(added),
        }
    }
}

/// Bytes with the reservation that counts them.
struct ReservedBytes {
    bytes: Vec<u8>,
    _reservation: ByteReservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
