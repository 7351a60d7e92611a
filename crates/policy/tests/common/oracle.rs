//! A small independent oracle of the rules: the world around a balancer, which checks every action of it.

use std::collections::BTreeMap;
use std::time::Duration;

use balancer_policy::interface::*;
use balancer_policy::{Action, Balancer, Event, Settings};

use crate::common::{START, millis};
use crate::two_zones::member;

#[derive(Debug, Clone)]
pub enum Step {
    Pass(u64),
    Request {
        class: usize,
        time_left: u64,
    },
    /// Ends one of the attempts that are out.
    End {
        which: usize,
        outcome: Outcome,
    },
    Disconnect {
        which: usize,
    },
    /// Changes one upstream: its phase, or a restart.
    Change {
        upstream: u32,
        lifecycle: Lifecycle,
        restarted: bool,
    },
    Replace {
        keep: u32,
        stale: bool,
    },
    Broken,
    /// A connection comes up late.
    Connected {
        upstream: u32,
    },
}

pub struct Sent {
    pub upstream: EndpointId,
    pub at: Duration,
    pub until: Duration,
    pub ended: Option<Outcome>,
}

pub struct TrackedRequest {
    pub class: usize,
    pub deadline: Duration,
    pub attempts: Vec<Sent>,
    pub finals: u32,
    /// Its end was reported by an outcome or by the client's leaving.
    pub over: bool,
}

/// The world around the balancer, and the oracle that checks what it does.
pub struct World {
    pub balancer: Balancer,
    pub settings: Settings,
    pub now: Duration,
    pub requests: BTreeMap<RequestId, TrackedRequest>,
    pub list: BTreeMap<EndpointId, Member>,
    pub wake: Option<Duration>,
    /// Since when the replica neither has a subscription nor has requested one.
    pub unsubscribed_since: Option<Duration>,
    pub next: u64,
}

impl World {
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut world = Self {
            balancer: Balancer::new(settings.clone(), seed).expect("the settings make sense"),
            settings,
            now: START,
            requests: BTreeMap::new(),
            list: BTreeMap::new(),
            wake: None,
            unsubscribed_since: Some(START),
            next: 0,
        };
        world.tell(Event::Started);
        world.replace((0..8).map(member).collect(), false);
        world
    }

    pub fn tell(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            self.check(action);
        }
    }

    pub fn check(&mut self, action: Action) {
        match action {
            Action::Send { request, upstream, timeout, first_byte_deadline, is_last_attempt } => {
                let tracked = self.requests.get_mut(&request).expect("a request that it has");
                assert!(tracked.finals == 0 && !tracked.over, "sent after its end");
                assert!(self.now < tracked.deadline, "sent after the deadline");
                let target = self.list.get(&upstream).expect("an upstream that a list has named");
                assert_eq!(target.lifecycle, Lifecycle::Ready, "sent to one that drains or is gone");
                let out = tracked.attempts.iter().filter(|sent| sent.ended.is_none()).count();
                assert!(out == 0 || self.settings.permissions.hedging, "two attempts at once");
                let allowed = self.settings.permissions.max_attempts as usize;
                assert!(tracked.attempts.len() < allowed);
                assert!(is_last_attempt || tracked.attempts.len() + 1 < allowed, "another is said to follow");
                let ran = |sent: &&Sent| sent.ended.is_none_or(|outcome| !outcome.never_ran());
                if let Some(first) = tracked.attempts.iter().find(ran) {
                    match self.settings.classes[tracked.class].idempotency {
                        Idempotency::Idempotent => {}
                        Idempotency::NotIdempotent => panic!("an unsafe request sent twice"),
                        Idempotency::IdempotencyKey { scope, window } => {
                            assert!(self.now <= first.at + window, "past the window");
                            let by = self.now + first_byte_deadline.expect("the window bounds its begin");
                            assert!(by <= first.at + window + Duration::from_micros(1), "may begin past it");
                            let (one, two) = (member(first.upstream.0), member(upstream.0));
                            match scope {
                                DeduplicationScope::All => {}
                                DeduplicationScope::Zone => assert_eq!(one.zone, two.zone),
                                DeduplicationScope::Cell => assert_eq!(one.cell, two.cell),
                            }
                        }
                    }
                }
                let until = timeout.map_or(tracked.deadline, |span| tracked.deadline.min(self.now + span));
                tracked.attempts.push(Sent { upstream, at: self.now, until, ended: None });
            }
            Action::Refuse { request, .. } => {
                let tracked = self.requests.get_mut(&request).expect("a request that it has");
                tracked.finals += 1;
                assert!(tracked.finals == 1 && !tracked.over, "a second final answer");
                let ran = tracked.attempts.iter().any(|sent| sent.ended.is_none_or(|o| !o.never_ran()));
                let free = match self.settings.classes[tracked.class].idempotency {
                    Idempotency::Idempotent
                    | Idempotency::IdempotencyKey { scope: DeduplicationScope::All, .. } => true,
                    Idempotency::IdempotencyKey { .. } | Idempotency::NotIdempotent => false,
                };
                assert!(free || !ran, "refused though it may have run");
            }
            Action::Fail { request } => {
                let tracked = self.requests.get_mut(&request).expect("a request that it has");
                tracked.finals += 1;
                assert!(tracked.finals == 1 && !tracked.over, "a second final answer");
            }
            Action::ScheduleMaintenance(span) => self.wake = Some(self.now + span),
            Action::Subscribe => self.unsubscribed_since = Some(self.now),
            Action::CancelAttempt { request, attempt } => {
                let tracked = self.requests.get(&request).expect("a request that it has");
                assert!((attempt.0 as usize) < tracked.attempts.len(), "cancelled what was never sent");
            }
            Action::HealthCheck { upstream } => {
                assert!(self.settings.permissions.health_checks, "a health check that is not allowed");
                assert!(self.list.contains_key(&upstream), "checked one that no list has named");
            }
            Action::CloseIdle { upstream } => assert!(self.list.contains_key(&upstream)),
            Action::Log(_) => {}
        }
    }

    /// Moves the clock step by step, with time-outs and maintenance passes as they fall due.
    pub fn pass(&mut self, span: Duration) {
        let end = self.now + span;
        loop {
            let outs = self.outs();
            let late = outs.iter().map(|&(id, n)| (self.requests[&id].attempts[n].until, id, n)).min();
            let next = late.map(|(at, ..)| at).into_iter().chain(self.wake).min();
            let Some(next) = next.filter(|&next| next <= end) else { break };
            self.now = self.now.max(next);
            match late.filter(|&(at, ..)| at <= self.now) {
                Some((_, id, n)) => self.end(id, n, Outcome::TimedOut),
                None => {
                    self.wake = None;
                    self.tell(Event::MaintenanceDue);
                }
            }
            self.check_subscribes();
        }
        self.now = end;
        let slack = self.settings.rules.answer_slack;
        for (id, tracked) in &self.requests {
            assert!(
                tracked.over || tracked.finals == 1 || self.now <= tracked.deadline + slack,
                "{id:?} lost"
            );
        }
    }

    pub fn check_subscribes(&self) {
        if let (Some(since), Some(within)) = (self.unsubscribed_since, self.settings.rules.poll_interval_max)
        {
            assert!(self.now <= since + within, "has not subscribed to the list in time");
        }
    }

    pub fn outs(&self) -> Vec<(RequestId, usize)> {
        let each = self.requests.iter().flat_map(|(&id, tracked)| {
            tracked.attempts.iter().enumerate().map(move |(n, sent)| (id, n, sent.ended))
        });
        each.filter(|(.., ended)| ended.is_none()).map(|(id, n, _)| (id, n)).collect()
    }

    pub fn end(&mut self, request: RequestId, n: usize, outcome: Outcome) {
        let tracked = self.requests.get_mut(&request).expect("tracked");
        tracked.attempts[n].ended = Some(outcome);
        let duration = self.now - tracked.attempts[n].at;
        tracked.over |= outcome == Outcome::Success;
        let request_finished = tracked.over || tracked.finals > 0;
        let attempt = AttemptNumber(n as u32);
        let connect_wait = millis(0);
        self.tell(Event::AttemptEnded {
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
        assert!(tracked.over || tracked.finals == 1 || out, "left without an attempt or an answer");
    }

    pub fn replace(&mut self, members: Vec<Member>, stale: bool) {
        self.list = members.iter().map(|member| (member.id, *member)).collect();
        if !stale {
            self.unsubscribed_since = None;
        }
        let update = if stale { ListUpdate::CachedSnapshot(members) } else { ListUpdate::Snapshot(members) };
        self.tell(Event::List(update));
    }

    pub fn step(&mut self, step: Step) {
        match step {
            Step::Pass(span) => self.pass(millis(span)),
            Step::Request { class, time_left } => {
                let id = RequestId(self.next);
                self.next += 1;
                let deadline = self.now + millis(time_left);
                let tracked =
                    TrackedRequest { class, deadline, attempts: Vec::new(), finals: 0, over: false };
                self.requests.insert(id, tracked);
                self.tell(Event::Request(Request {
                    id,
                    class: ClassId(class),
                    tenant: None,
                    subject: None,
                    time_left: millis(time_left),
                    expected_work: None,
                    is_client_retry: false,
                }));
                let tracked = &self.requests[&id];
                assert!(tracked.finals == 1 || !tracked.attempts.is_empty(), "neither sent nor answered");
            }
            Step::End { which, outcome } => {
                let outs = self.outs();
                if let Some(&(id, n)) = outs.get(which % outs.len().max(1)) {
                    self.end(id, n, outcome);
                }
            }
            Step::Disconnect { which } => {
                let ids: Vec<_> = self.requests.keys().copied().collect();
                if let Some(id) = ids.get(which % ids.len().max(1)) {
                    self.requests.get_mut(id).expect("tracked").over = true;
                    self.tell(Event::ClientDisconnected(*id));
                }
            }
            Step::Change { upstream, lifecycle, restarted } => {
                let started = if restarted { Some(self.now) } else { None };
                let member = Member { lifecycle, started, ..member(upstream) };
                self.list.insert(member.id, member);
                self.unsubscribed_since = None;
                self.tell(Event::List(ListUpdate::Delta(vec![member])));
            }
            Step::Replace { keep, stale } => self.replace((0..keep).map(member).collect(), stale),
            Step::Connected { upstream } => self.tell(Event::Connected(EndpointId(upstream))),
            Step::Broken => {
                if self.settings.discovery == DiscoveryMode::Subscribe {
                    self.unsubscribed_since.get_or_insert(self.now);
                    self.tell(Event::List(ListUpdate::Broken));
                }
            }
        }
    }
}
