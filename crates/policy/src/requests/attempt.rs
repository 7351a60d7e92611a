//! One attempt of a request, and how it ended.
//!
//! An attempt may outlive its request, and whether it may have run decides on each retry. It is sent to one endpoint
//! and ends exactly once, whatever becomes of its request. The module owns the state of one attempt.

use crate::interface::{AttemptNumber, Member, Outcome};

/// Seconds that an attempt must have left: a time-out at the deadline may be off by a rounding.
pub const MIN_TIMEOUT_S: f64 = 0.001;

/// An attempt that was sent.
#[derive(Debug)]
pub struct Attempt {
    /// The slot of its endpoint.
    pub slot: usize,
    /// The endpoint as it was when the attempt was sent.
    pub member: Member,
    /// When it was sent, in seconds of the clock.
    pub sent: f64,
    /// `None` while it is in flight.
    pub ended: Option<Outcome>,
    /// It was called off, though its end is still to come.
    pub cancelled: bool,
}

impl Attempt {
    /// An attempt sent at `sent`.
    #[must_use]
    pub fn new(slot: usize, member: Member, sent: f64) -> Self {
        Self { slot, member, sent, ended: None, cancelled: false }
    }

    /// Whether its request may have run: it is in flight, or did not end in a way that rules it out.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.ended.is_none_or(|outcome| !outcome.never_ran())
    }
}

/// How an attempt ended. Times are in seconds.
#[derive(Debug, Clone, Copy)]
pub struct AttemptEnd {
    /// Which attempt of its request it is.
    pub number: AttemptNumber,
    /// How it ended.
    pub outcome: Outcome,
    /// How long it took in all.
    pub duration: f64,
    /// For how long of that it had a connection.
    pub connected_duration: f64,
    /// The latency objective of its class.
    pub latency_objective: f64,
    /// Whether its request has ended too.
    pub finished: bool,
}
