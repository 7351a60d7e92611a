//! The requests that are not over: received, and with an answer or the end of an attempt still to come.
//!
//! Ends of attempts still come for a request that has its answer, and a table that only grew would run out of memory.
//! So a request leaves the table once it is closed and its last attempt has ended. The module owns the requests by id,
//! with their attempts.

use std::sync::Arc;

use rustc_hash::FxHashMap;

use crate::interface::{Action, AttemptNumber, Class, ClassId, Outcome, Request, RequestId, Settings};
use crate::requests::attempt::{Attempt, AttemptEnd};

/// A request that is not over. Times are in seconds of the clock.
#[derive(Debug)]
pub struct PendingRequest {
    id: RequestId,
    /// Those that it was received under: no later ones let more of its attempts run.
    pub settings: Arc<Settings>,
    /// Its class.
    pub class: ClassId,
    /// The place of its tenant among the limits.
    pub tenant: usize,
    /// When it arrived.
    pub arrived: f64,
    /// When its client gives up.
    deadline: f64,
    /// Its attempts by number.
    pub attempts: Vec<Attempt>,
    /// Time that its attempts spent without a connection.
    pub connect_wait: f64,
    /// Attempts in flight.
    pub in_flight: u32,
    /// It has ended; only attempts are left to end.
    pub closed: bool,
    /// Its answer has begun to stream.
    pub streaming: bool,
}

impl PendingRequest {
    /// A request received at `now`, for the tenant at the place `tenant`.
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

    /// The rules of its class.
    #[must_use]
    pub fn rules(&self) -> &Class {
        &self.settings.classes[self.class.0]
    }

    /// The time until which an answer is still useful to the client.
    #[must_use]
    pub fn useful_until(&self) -> f64 {
        let objective = self.arrived + self.rules().latency_objective.as_secs_f64();
        // Where no deadline is passed on, a slot of the tier above would be reserved for a client long gone.
        let is_blind = self.settings.tier > 0 && !self.settings.propagates_deadline;
        if self.rules().late_weight > 0.0 && !is_blind { self.deadline } else { self.deadline.min(objective) }
    }

    /// The first attempt not proved never to have run: it binds those that follow.
    #[must_use]
    pub fn first_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run())
    }

    /// Cancels the attempts in flight, but for the one to keep.
    pub fn cancel_attempts(&mut self, keep: Option<AttemptNumber>, actions: &mut Vec<Action>) {
        for (number, attempt) in (0..).map(AttemptNumber).zip(&mut self.attempts) {
            if Some(number) != keep && attempt.ended.is_none() && !attempt.cancelled {
                attempt.cancelled = true;
                actions.push(Action::CancelAttempt { request: self.id, attempt: number });
            }
        }
    }

    /// Takes note of the end of an attempt and gives the slot of its endpoint; `None` if it is unknown or has ended
    /// before.
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

    /// Whether an attempt before this one has ended in another way than by a connection that was late.
    #[must_use]
    pub fn was_tried_before(&self, number: AttemptNumber) -> bool {
        let mut earlier = self.attempts[..number.0 as usize].iter();
        earlier.any(|attempt| attempt.ended != Some(Outcome::ConnectTimedOut))
    }
}

/// The requests that are not over, by their ids.
#[derive(Debug, Default)]
pub struct RequestTable {
    by_id: FxHashMap<RequestId, PendingRequest>,
}

impl RequestTable {
    /// Whether the request is not over.
    #[must_use]
    pub fn contains(&self, id: RequestId) -> bool {
        self.by_id.contains_key(&id)
    }

    /// The request, if it is not over.
    #[must_use]
    pub fn get(&self, id: RequestId) -> Option<&PendingRequest> {
        self.by_id.get(&id)
    }

    /// The request, if it is not over.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.by_id.get_mut(&id)
    }

    /// Adds a request.
    pub fn insert(&mut self, request: PendingRequest) {
        self.by_id.insert(request.id, request);
    }

    /// Marks a request as ended and, where attempts may be cancelled, cancels those still in flight.
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
