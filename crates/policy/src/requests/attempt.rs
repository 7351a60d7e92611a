//! One attempt of a request, and how it ended.
//!
//! An attempt is sent to one endpoint and ends exactly once, which can be after the end of its request. Whether a
//! retry is allowed depends on whether earlier attempts may have run. The module owns the state of one attempt.

use crate::interface::{AttemptNumber, Member, Outcome};

/// Least time in seconds that must be left before the deadline for an attempt to be sent. A timeout computed for the
/// deadline itself can be off by a rounding error.
pub const MIN_TIMEOUT_S: f64 = 0.001;

/// An attempt that has been sent to an endpoint.
#[derive(Debug)]
pub struct Attempt {
    /// Slot of the endpoint that the attempt was sent to.
    pub slot: usize,
    /// List entry of the endpoint at the time when the attempt was sent.
    pub member: Member,
    /// Time at which the attempt was sent, in seconds of the clock.
    pub sent: f64,
    /// Outcome of the attempt; `None` while it is in flight.
    pub ended: Option<Outcome>,
    /// Whether the attempt was cancelled. Its end is reported later.
    pub cancelled: bool,
}

impl Attempt {
    /// Creates an attempt that is sent at `sent` to `member` in `slot`.
    #[must_use]
    pub fn new(slot: usize, member: Member, sent: f64) -> Self {
        Self { slot, member, sent, ended: None, cancelled: false }
    }

    /// Whether the endpoint may have run the request: the attempt is in flight, or its outcome does not rule it out.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.ended.is_none_or(|outcome| !outcome.never_ran())
    }
}

/// The end of an attempt. Times are in seconds.
#[derive(Debug, Clone, Copy)]
pub struct AttemptEnd {
    /// Number of the attempt within its request.
    pub number: AttemptNumber,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Total duration of the attempt in seconds, including the wait for a connection.
    pub duration: f64,
    /// Part of `duration`, in seconds, during which the attempt had a connection.
    pub connected_duration: f64,
    /// Latency objective of the class of the request, in seconds.
    pub latency_objective: f64,
    /// Whether the request has ended too.
    pub request_finished: bool,
}
