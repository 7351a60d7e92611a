//! Independent check of the policy's rules: simulates the surroundings of a balancer and checks each of its actions.

use std::collections::BTreeMap;
use std::time::Duration;

use balancer_policy::interface::*;
use balancer_policy::{Action, Balancer, Event, Settings};

use crate::common::{START, millis};
use crate::two_zones::member;

/// One step of a test. Times are in milliseconds.
#[derive(Debug, Clone)]
pub enum Step {
    /// Advances the clock.
    Advance(u64),
    /// Sends a request of the class with this index.
    Request { class: usize, time_left: u64 },
    /// Ends one of the attempts in flight, which `which` selects modulo their number.
    End { which: usize, outcome: Outcome },
    /// Closes the client's connection of one of all requests so far, which `which` selects modulo their number.
    Disconnect { which: usize },
    /// Sends a delta of the list that sets the lifecycle of one upstream and may report that it has restarted.
    Change { upstream: u32, lifecycle: Lifecycle, restarted: bool },
    /// Replaces the list by the first `keep` upstreams; the new list comes from a cache if `cached` is set.
    Replace { keep: u32, cached: bool },
    /// Breaks the subscription to the list.
    Broken,
    /// Reports a connection to the upstream that was established late.
    Connected { upstream: u32 },
}

/// An attempt that the balancer has sent.
pub struct Sent {
    pub upstream: EndpointId,
    /// Time at which the attempt was sent.
    pub at: Duration,
    /// Time at which the attempt times out.
    pub times_out_at: Duration,
    /// Outcome of the attempt; `None` while it is in flight.
    pub ended: Option<Outcome>,
}

/// A request with all that the balancer has done about it.
pub struct TrackedRequest {
    pub class: usize,
    pub deadline: Duration,
    pub attempts: Vec<Sent>,
    /// Number of actions that refused or failed the request.
    pub final_answers: u32,
    /// Whether the balancer was told that the request ended, by a successful attempt or because the client
    /// disconnected.
    pub is_over: bool,
}

/// Simulated surroundings of a balancer, which check that each of its actions is allowed.
pub struct RuleChecker {
    pub balancer: Balancer,
    pub settings: Settings,
    pub now: Duration,
    pub requests: BTreeMap<RequestId, TrackedRequest>,
    /// Upstreams by identifier, as the latest list and its deltas have described them.
    pub list: BTreeMap<EndpointId, Member>,
    /// Time of the next maintenance pass.
    pub next_maintenance: Option<Duration>,
    /// Time from which the longest poll interval until the next subscription counts: that of the latest request for a
    /// subscription, or of its loss if none was requested since. `None` while the list is subscribed to.
    pub unsubscribed_since: Option<Duration>,
    /// Identifier of the next request.
    pub next: u64,
}

impl RuleChecker {
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut checker = Self {
            balancer: Balancer::new(settings.clone(), seed).expect("the settings should be valid"),
            settings,
            now: START,
            requests: BTreeMap::new(),
            list: BTreeMap::new(),
            next_maintenance: None,
            unsubscribed_since: Some(START),
            next: 0,
        };
        checker.report(Event::Started);
        checker.replace((0..8).map(member).collect(), false);
        checker
    }

    /// Reports an event to the balancer and checks the actions that it returns.
    pub fn report(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            self.check(action);
        }
    }

    /// Checks that an action is allowed, and records it.
    pub fn check(&mut self, action: Action) {
        match action {
            Action::Send { request, upstream, timeout, first_byte_deadline, is_last_attempt } => {
                let tracked =
                    self.requests.get_mut(&request).expect("the action should name a known request");
                assert!(
                    tracked.final_answers == 0 && !tracked.is_over,
                    "{request:?} was sent after it had ended"
                );
                assert!(self.now < tracked.deadline, "{request:?} was sent after its deadline");
                let target = self.list.get(&upstream).expect("the upstream of a send should be in a list");
                assert_eq!(target.lifecycle, Lifecycle::Ready, "sent to {upstream:?}, which is not ready");
                let out = tracked.attempts.iter().filter(|sent| sent.ended.is_none()).count();
                assert!(
                    out == 0 || self.settings.permissions.hedging,
                    "{request:?} has two attempts in flight without hedging"
                );
                let allowed = self.settings.permissions.max_attempts as usize;
                assert!(tracked.attempts.len() < allowed);
                assert!(
                    is_last_attempt || tracked.attempts.len() + 1 < allowed,
                    "the last allowed attempt is not marked as the last"
                );
                let ran = |sent: &&Sent| sent.ended.is_none_or(|outcome| !outcome.never_ran());
                if let Some(first) = tracked.attempts.iter().find(ran) {
                    match self.settings.classes[tracked.class].idempotency {
                        Idempotency::Idempotent => {}
                        Idempotency::NotIdempotent => panic!("non-idempotent {request:?} sent twice"),
                        Idempotency::IdempotencyKey { scope, window } => {
                            assert!(
                                self.now <= first.at + window,
                                "{request:?} was sent again after its deduplication window"
                            );
                            let latest_begin = self.now
                                + first_byte_deadline.expect(
                                    "the deduplication window should limit the time of the first byte",
                                );
                            assert!(
                                latest_begin <= first.at + window + Duration::from_micros(1),
                                "{request:?} may begin after its deduplication window"
                            );
                            let (one, two) = (member(first.upstream.0), member(upstream.0));
                            match scope {
                                DeduplicationScope::All => {}
                                DeduplicationScope::Zone => assert_eq!(one.zone, two.zone),
                                DeduplicationScope::Cell => assert_eq!(one.cell, two.cell),
                            }
                        }
                    }
                }
                let times_out_at =
                    timeout.map_or(tracked.deadline, |span| tracked.deadline.min(self.now + span));
                tracked.attempts.push(Sent { upstream, at: self.now, times_out_at, ended: None });
            }
            Action::Refuse { request, .. } => {
                let tracked =
                    self.requests.get_mut(&request).expect("the action should name a known request");
                tracked.final_answers += 1;
                assert!(
                    tracked.final_answers == 1 && !tracked.is_over,
                    "{request:?} got a second final answer"
                );
                let ran = tracked.attempts.iter().any(|sent| sent.ended.is_none_or(|o| !o.never_ran()));
                let may_refuse_after_run = match self.settings.classes[tracked.class].idempotency {
                    Idempotency::Idempotent
                    | Idempotency::IdempotencyKey { scope: DeduplicationScope::All, .. } => true,
                    Idempotency::IdempotencyKey { .. } | Idempotency::NotIdempotent => false,
                };
                assert!(may_refuse_after_run || !ran, "{request:?} was refused though it may have run");
            }
            Action::Fail { request } => {
                let tracked =
                    self.requests.get_mut(&request).expect("the action should name a known request");
                tracked.final_answers += 1;
                assert!(
                    tracked.final_answers == 1 && !tracked.is_over,
                    "{request:?} got a second final answer"
                );
            }
            Action::ScheduleMaintenance(span) => self.next_maintenance = Some(self.now + span),
            Action::Subscribe => self.unsubscribed_since = Some(self.now),
            Action::CancelAttempt { request, attempt } => {
                let tracked = self.requests.get(&request).expect("the action should name a known request");
                assert!(
                    (attempt.0 as usize) < tracked.attempts.len(),
                    "cancelled {attempt:?} of {request:?}, which was never sent"
                );
            }
            Action::HealthCheck { upstream } => {
                assert!(
                    self.settings.permissions.health_checks,
                    "health check of {upstream:?}, but health checks are not allowed"
                );
                assert!(
                    self.list.contains_key(&upstream),
                    "health check of {upstream:?}, which is in no list"
                );
            }
            Action::CloseIdle { upstream } => assert!(self.list.contains_key(&upstream)),
            Action::Log(_) => {}
        }
    }

    /// Advances the clock by `span`, with the timeouts and the maintenance passes that become due on the way. Checks
    /// that no request is left without an answer after its deadline.
    pub fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        loop {
            let attempts_in_flight = self.attempts_in_flight();
            let late = attempts_in_flight
                .iter()
                .map(|&(id, n)| (self.requests[&id].attempts[n].times_out_at, id, n))
                .min();
            let next = late.map(|(at, ..)| at).into_iter().chain(self.next_maintenance).min();
            let Some(next) = next.filter(|&next| next <= end) else { break };
            self.now = self.now.max(next);
            match late.filter(|&(at, ..)| at <= self.now) {
                Some((_, id, n)) => self.end_attempt(id, n, Outcome::TimedOut),
                None => {
                    self.next_maintenance = None;
                    self.report(Event::MaintenanceDue);
                }
            }
            self.check_subscription_delay();
        }
        self.now = end;
        let slack = self.settings.rules.answer_slack;
        for (id, tracked) in &self.requests {
            assert!(
                tracked.is_over || tracked.final_answers == 1 || self.now <= tracked.deadline + slack,
                "{id:?} got no answer by its deadline"
            );
        }
    }

    /// Checks that the replica requests a subscription within the longest poll interval.
    pub fn check_subscription_delay(&self) {
        if let (Some(since), Some(within)) = (self.unsubscribed_since, self.settings.rules.poll_interval_max)
        {
            assert!(
                self.now <= since + within,
                "the replica has not subscribed to the list within {within:?}"
            );
        }
    }

    /// Attempts in flight: the request and the number of the attempt.
    pub fn attempts_in_flight(&self) -> Vec<(RequestId, usize)> {
        let each = self.requests.iter().flat_map(|(&id, tracked)| {
            tracked.attempts.iter().enumerate().map(move |(n, sent)| (id, n, sent.ended))
        });
        each.filter(|(.., ended)| ended.is_none()).map(|(id, n, _)| (id, n)).collect()
    }

    /// Ends attempt number `n` of the request and reports its outcome to the balancer.
    pub fn end_attempt(&mut self, request: RequestId, n: usize, outcome: Outcome) {
        let tracked = self.requests.get_mut(&request).expect("the request should be tracked");
        tracked.attempts[n].ended = Some(outcome);
        let duration = self.now - tracked.attempts[n].at;
        tracked.is_over |= outcome == Outcome::Success;
        let request_finished = tracked.is_over || tracked.final_answers > 0;
        let attempt = AttemptNumber(n as u32);
        let connect_wait = millis(0);
        self.report(Event::AttemptEnded {
            request,
            attempt,
            outcome,
            duration,
            connect_wait,
            request_finished,
            load: None,
        });
        let tracked = &self.requests[&request];
        let out = tracked.attempts.iter().any(|sent| sent.ended.is_none());
        assert!(
            tracked.is_over || tracked.final_answers == 1 || out,
            "{request:?} has neither an attempt in flight nor an answer"
        );
    }

    /// Replaces the list of upstreams; `cached` marks it as coming from a cache.
    pub fn replace(&mut self, members: Vec<Member>, cached: bool) {
        self.list = members.iter().map(|member| (member.id, *member)).collect();
        if !cached {
            self.unsubscribed_since = None;
        }
        let update = if cached { ListUpdate::CachedSnapshot(members) } else { ListUpdate::Snapshot(members) };
        self.report(Event::List(update));
    }

    pub fn step(&mut self, step: Step) {
        match step {
            Step::Advance(span) => self.advance(millis(span)),
            Step::Request { class, time_left } => {
                let id = RequestId(self.next);
                self.next += 1;
                let deadline = self.now + millis(time_left);
                let tracked = TrackedRequest {
                    class,
                    deadline,
                    attempts: Vec::new(),
                    final_answers: 0,
                    is_over: false,
                };
                self.requests.insert(id, tracked);
                self.report(Event::Request(Request {
                    id,
                    class: ClassId(class),
                    tenant: None,
                    subject: None,
                    time_left: millis(time_left),
                    expected_work: None,
                    is_client_retry: false,
                }));
                let tracked = &self.requests[&id];
                assert!(
                    tracked.final_answers == 1 || !tracked.attempts.is_empty(),
                    "{id:?} was neither sent nor answered"
                );
            }
            Step::End { which, outcome } => {
                let attempts_in_flight = self.attempts_in_flight();
                if let Some(&(id, n)) = attempts_in_flight.get(which % attempts_in_flight.len().max(1)) {
                    self.end_attempt(id, n, outcome);
                }
            }
            Step::Disconnect { which } => {
                let ids: Vec<_> = self.requests.keys().copied().collect();
                if let Some(id) = ids.get(which % ids.len().max(1)) {
                    self.requests.get_mut(id).expect("the request should be tracked").is_over = true;
                    self.report(Event::ClientDisconnected(*id));
                }
            }
            Step::Change { upstream, lifecycle, restarted } => {
                let started = if restarted { Some(self.now) } else { None };
                let member = Member { lifecycle, started, ..member(upstream) };
                self.list.insert(member.id, member);
                self.unsubscribed_since = None;
                self.report(Event::List(ListUpdate::Delta(vec![member])));
            }
            Step::Replace { keep, cached } => self.replace((0..keep).map(member).collect(), cached),
            Step::Connected { upstream } => self.report(Event::Connected(EndpointId(upstream))),
            Step::Broken => {
                if self.settings.discovery == DiscoveryMode::Subscribe {
                    self.unsubscribed_since.get_or_insert(self.now);
                    self.report(Event::List(ListUpdate::Broken));
                }
            }
        }
    }
}
