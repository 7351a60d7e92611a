//! The table of pending requests: those that have no answer yet or whose attempts have not all ended.
//!
//! Attempts can end after their request has been answered, so an answered request stays in the table for a while. To
//! bound the size of the table, a request is removed once it is closed and its last attempt has ended. The module owns
//! the pending requests by id, with their attempts.

use std::sync::Arc;

use rustc_hash::FxHashMap;

use crate::interface::{Action, AttemptNumber, Class, ClassId, Outcome, Request, RequestId, Settings};
use crate::requests::attempt::{Attempt, AttemptEnd};

/// A request that has no answer yet or has attempts in flight. Times are in seconds of the clock.
#[derive(Debug)]
pub struct PendingRequest {
    id: RequestId,
    /// Settings in force when the request was received. Later settings do not allow it more attempts.
    pub settings: Arc<Settings>,
    /// Class of the request.
    pub class: ClassId,
    /// Index of the request's tenant in the rate limits of admission.
    pub tenant: usize,
    /// Time at which the request arrived at this replica, in seconds of the clock.
    pub arrived: f64,
    /// Time at which the client stops waiting for the answer, in seconds of the clock.
    deadline: f64,
    /// Attempts of the request, indexed by attempt number.
    pub attempts: Vec<Attempt>,
    /// Total time that the attempts of the request spent without a connection, in seconds.
    pub connect_wait: f64,
    /// Number of the request's attempts in flight.
    pub in_flight: u32,
    /// Whether the request has ended. Attempts of a closed request may still be in flight.
    pub closed: bool,
    /// Whether a streamed answer has begun.
    pub streaming: bool,
}

impl PendingRequest {
    /// Creates a request that is received at `now`. `tenant` is the index of its tenant in the rate limits.
    #[must_use]
    pub fn new(now: f64, request: &Request, tenant: usize, settings: Arc<Settings>) -> Self {
        Self {
            id: request.id,
            settings,
            class: request.class,
            tenant,
            arrived: now,
            deadline: now + request.time_left.as_secs_f64(),
            attempts: Vec::new(),
            connect_wait: 0.0,
            in_flight: 0,
            closed: false,
            streaming: false,
        }
    }

    /// The settings of the request's class, as they were when the request arrived. Not to be confused with the field
    /// `rules` of the settings, which applies to all classes.
    #[must_use]
    pub fn rules(&self) -> &Class {
        &self.settings.classes[self.class.0]
    }

    /// The latest time at which an answer is still useful to the client.
    #[must_use]
    pub fn useful_until(&self) -> f64 {
        let objective = self.arrived + self.rules().latency_objective.as_secs_f64();
        // Without a propagated deadline it is unknown whether the client still waits. Waiting past the latency
        // objective could hold a slot of the tier above for a client that has left.
        let is_deadline_unknown = self.settings.tier > 0 && !self.settings.propagates_deadline;
        if self.rules().late_weight > 0.0 && !is_deadline_unknown {
            self.deadline
        } else {
            self.deadline.min(objective)
        }
    }

    /// The first attempt that may have run. The rules on idempotency restrict the attempts after it.
    #[must_use]
    pub fn first_possible_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run())
    }

    /// Cancels the attempts in flight, except the attempt `keep`.
    pub fn cancel_attempts(&mut self, keep: Option<AttemptNumber>, actions: &mut Vec<Action>) {
        for (number, attempt) in (0..).map(AttemptNumber).zip(&mut self.attempts) {
            if Some(number) != keep && attempt.ended.is_none() && !attempt.cancelled {
                attempt.cancelled = true;
                actions.push(Action::CancelAttempt { request: self.id, attempt: number });
            }
        }
    }

    /// Records the end of an attempt and returns the slot of its endpoint. Returns `None` if the attempt is unknown or
    /// has already ended.
    pub fn end_attempt(&mut self, end: &AttemptEnd) -> Option<usize> {
        let attempt = self.attempts.get_mut(end.number.0 as usize)?;
        if attempt.ended.is_some() {
            return None;
        }
        attempt.ended = Some(end.outcome);
        self.in_flight -= 1;
        self.connect_wait += end.duration - end.connected_duration;
        Some(attempt.slot)
    }

    /// Whether an attempt with a lower number is in flight or ended in another way than
    /// [`Outcome::ConnectTimedOut`].
    #[must_use]
    pub fn was_tried_before(&self, number: AttemptNumber) -> bool {
        let mut earlier = self.attempts[..number.0 as usize].iter();
        earlier.any(|attempt| attempt.ended != Some(Outcome::ConnectTimedOut))
    }
}

/// The pending requests by id.
#[derive(Debug, Default)]
pub struct RequestTable {
    by_id: FxHashMap<RequestId, PendingRequest>,
}

impl RequestTable {
    /// Whether the request `id` is pending.
    #[must_use]
    pub fn contains(&self, id: RequestId) -> bool {
        self.by_id.contains_key(&id)
    }

    /// Returns the request `id` if it is pending.
    #[must_use]
    pub fn get(&self, id: RequestId) -> Option<&PendingRequest> {
        self.by_id.get(&id)
    }

    /// Returns the request `id` for changes if it is pending.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.by_id.get_mut(&id)
    }

    /// Adds a pending request to the table.
    pub fn insert(&mut self, request: PendingRequest) {
        self.by_id.insert(request.id, request);
    }

    /// Marks a request as ended, and removes it from the table if none of its attempts is in flight. With `may_cancel`,
    /// attempts in flight are cancelled unless a streamed answer has begun.
    pub fn close(&mut self, id: RequestId, may_cancel: bool, actions: &mut Vec<Action>) {
        let Some(request) = self.by_id.get_mut(&id) else { return };
        request.closed = true;
        if may_cancel && !request.streaming {
            request.cancel_attempts(None, actions);
        }
        if request.in_flight == 0 {
            self.by_id.remove(&id);
        }
    }
}
