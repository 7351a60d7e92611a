//! Test bench for one balancer: the test decides how the upstreams answer and advances the clock.
#![allow(dead_code, reason = "each test file uses only some of these items")]

use std::time::Duration;

use balancer_policy::interface::*;
use balancer_policy::{Action, Balancer, Event, Settings};

/// Time at which the clock of each test starts. Its value does not matter.
pub const START: Duration = Duration::from_secs(1000);

pub const fn millis(span: u64) -> Duration {
    Duration::from_millis(span)
}

pub fn class(idempotency: Idempotency) -> Class {
    Class { latency_objective: millis(1000), deadline: millis(3000), late_weight: 0.0, idempotency }
}

pub fn member(id: u32) -> Member {
    Member {
        id: EndpointId(id),
        zone: Some(ZoneId(0)),
        machine_kind: None,
        cell: 0,
        lifecycle: Lifecycle::Ready,
        weight: 1.0,
        started: None,
    }
}

/// A balancer with a virtual clock, which runs the maintenance passes when they are due.
pub struct Bench {
    pub balancer: Balancer,
    pub now: Duration,
    /// Time left of each offered request: how much longer its client waits for an answer.
    pub time_left: Duration,
    next_id: u64,
    next_wake: Duration,
}

impl Bench {
    pub fn new(settings: Settings, seed: u64, members: Vec<Member>) -> Self {
        let mut balancer = Balancer::new(settings, seed).expect("the settings should be valid");
        let mut actions = Vec::new();
        balancer.handle(START, Event::Started, &mut actions);
        balancer.handle(START, Event::List(ListUpdate::Snapshot(members)), &mut actions);
        Self { balancer, now: START, time_left: millis(3000), next_id: 0, next_wake: START }
    }

    pub fn report(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions
    }

    /// Advances the clock by `span` and runs the maintenance passes that become due.
    pub fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.next_wake <= end {
            self.now = self.now.max(self.next_wake);
            let actions = self.report(Event::MaintenanceDue);
            let wake = actions.iter().find_map(|action| match action {
                Action::ScheduleMaintenance(span) => Some(*span),
                _ => None,
            });
            self.next_wake = self.now + wake.expect("a maintenance pass should schedule the next one");
        }
        self.now = end;
    }

    /// Sends the balancer a request of the first class. Returns the request's identifier and the balancer's actions.
    pub fn offer(&mut self, tenant: Option<usize>) -> (RequestId, Vec<Action>) {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        let request = Request {
            id,
            class: ClassId(0),
            tenant: tenant.map(TenantId),
            subject: None,
            time_left: self.time_left,
            expected_work: None,
            is_client_retry: false,
        };
        (id, self.report(Event::Request(request)))
    }

    pub fn end_attempt(
        &mut self,
        request: RequestId,
        number: u32,
        outcome: Outcome,
        duration: Duration,
    ) -> Vec<Action> {
        self.end_with_connect_wait(request, number, outcome, duration, Duration::ZERO)
    }

    /// Ends an attempt that lasted for `duration` and waited for a connection during the first `connect_wait` of it.
    /// Returns the actions of the balancer.
    pub fn end_with_connect_wait(
        &mut self,
        request: RequestId,
        number: u32,
        outcome: Outcome,
        duration: Duration,
        connect_wait: Duration,
    ) -> Vec<Action> {
        self.report(Event::AttemptEnded {
            request,
            attempt: AttemptNumber(number),
            outcome,
            duration,
            connect_wait,
            request_finished: outcome == Outcome::Success,
            load: None,
        })
    }

    /// Offers a request and ends each of its attempts with the outcome and after the duration that `outcome` returns
    /// for the upstream. Returns the upstreams that the attempts were sent to, in their order.
    pub fn run(&mut self, outcome: impl Fn(EndpointId) -> (Outcome, Duration)) -> Vec<EndpointId> {
        let (id, mut actions) = self.offer(None);
        let mut tried = Vec::new();
        while let Some(upstream) = sent_upstream(&actions) {
            let (attempt_outcome, duration) = outcome(upstream);
            self.advance(duration);
            actions = self.end_attempt(id, tried.len() as u32, attempt_outcome, duration);
            tried.push(upstream);
        }
        tried
    }
}

/// Upstream of the first [`Action::Send`] among the actions; `None` if nothing is sent.
pub fn sent_upstream(actions: &[Action]) -> Option<EndpointId> {
    actions.iter().find_map(|action| match action {
        Action::Send { upstream, .. } => Some(*upstream),
        _ => None,
    })
}

/// Whether the actions refuse a request.
pub fn is_refused(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Refuse { .. }))
}
