//! The four rules over arbitrary legal sequences of events, against a small independent oracle.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use balancer_policy::interface::*;
use balancer_policy::{Action, Balancer, Event, Settings};
use common::{START, class, millis};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[derive(Debug, Clone)]
enum Step {
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

fn outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        4 => Just(Outcome::Success),
        2 => Just(Outcome::Error),
        2 => Just(Outcome::Refused),
        1 => Just(Outcome::ConnectFailed),
        1 => Just(Outcome::ConnectTimedOut),
        1 => Just(Outcome::Reset),
        1 => Just(Outcome::NotSent),
        1 => Just(Outcome::InvalidRequest),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let lifecycle = prop_oneof![3 => Just(Lifecycle::Ready), 1 => Just(Lifecycle::Draining), 1 => Just(Lifecycle::Removed)];
    prop_oneof![
        4 => (1u64..400).prop_map(Step::Pass),
        8 => (0usize..5, 1u64..3000).prop_map(|(class, time_left)| Step::Request { class, time_left }),
        8 => (any::<usize>(), outcome()).prop_map(|(which, outcome)| Step::End { which, outcome }),
        1 => any::<usize>().prop_map(|which| Step::Disconnect { which }),
        2 => (0u32..8, lifecycle, any::<bool>())
            .prop_map(|(upstream, lifecycle, restarted)| Step::Change { upstream, lifecycle, restarted }),
        1 => (0u32..9, any::<bool>()).prop_map(|(keep, stale)| Step::Replace { keep, stale }),
        1 => Just(Step::Broken),
        1 => (0u32..10).prop_map(|upstream| Step::Connected { upstream }),
    ]
}

fn settings(hedging: bool, subscribe: bool) -> Settings {
    let class = |idempotency, late_weight| Class { late_weight, ..common::class(idempotency) };
    let keyed = |scope| Idempotency::IdempotencyKey { scope, window: millis(800) };
    let mut settings = Settings::single_zone(vec![
        class(Idempotency::Idempotent, 0.0),
        class(Idempotency::NotIdempotent, 0.5),
        class(keyed(DeduplicationScope::All), 0.5),
        class(keyed(DeduplicationScope::Zone), 0.0),
        class(keyed(DeduplicationScope::Cell), 0.5),
    ]);
    settings.zones = 2;
    settings.permissions.hedging = hedging;
    settings.permissions.max_attempts = 4;
    if subscribe {
        settings.discovery = DiscoveryMode::Subscribe;
        settings.rules.poll_interval_max = Some(millis(10_000));
    }
    settings
}

fn member(id: u32) -> Member {
    Member { zone: Some(ZoneId(id as usize % 2)), cell: id / 3, ..common::member(id) }
}

struct Sent {
    upstream: EndpointId,
    at: Duration,
    until: Duration,
    ended: Option<Outcome>,
}

struct TrackedRequest {
    class: usize,
    deadline: Duration,
    attempts: Vec<Sent>,
    finals: u32,
    /// Its end was reported by an outcome or by the client's leaving.
    over: bool,
}

/// The world around the balancer, and the oracle that checks what it does.
struct World {
    balancer: Balancer,
    settings: Settings,
    now: Duration,
    requests: BTreeMap<RequestId, TrackedRequest>,
    list: BTreeMap<EndpointId, Member>,
    wake: Option<Duration>,
    /// Since when the replica neither has a subscription nor has requested one.
    unsubscribed_since: Option<Duration>,
    next: u64,
}

impl World {
    fn new(settings: Settings, seed: u64) -> Self {
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

    fn tell(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            self.check(action);
        }
    }

    fn check(&mut self, action: Action) {
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
    fn pass(&mut self, span: Duration) {
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

    fn check_subscribes(&self) {
        if let (Some(since), Some(within)) = (self.unsubscribed_since, self.settings.rules.poll_interval_max)
        {
            assert!(self.now <= since + within, "has not subscribed to the list in time");
        }
    }

    fn outs(&self) -> Vec<(RequestId, usize)> {
        let each = self.requests.iter().flat_map(|(&id, tracked)| {
            tracked.attempts.iter().enumerate().map(move |(n, sent)| (id, n, sent.ended))
        });
        each.filter(|(.., ended)| ended.is_none()).map(|(id, n, _)| (id, n)).collect()
    }

    fn end(&mut self, request: RequestId, n: usize, outcome: Outcome) {
        let tracked = self.requests.get_mut(&request).expect("tracked");
        tracked.attempts[n].ended = Some(outcome);
        let duration = self.now - tracked.attempts[n].at;
        tracked.over |= outcome == Outcome::Success;
        let finished = tracked.over || tracked.finals > 0;
        let attempt = AttemptNumber(n as u32);
        let connect_wait = millis(0);
        self.tell(Event::AttemptEnded {
            request,
            attempt,
            outcome,
            duration,
            connect_wait,
            finished,
            load: None,
        });
        let tracked = &self.requests[&request];
        let out = tracked.attempts.iter().any(|sent| sent.ended.is_none());
        assert!(tracked.over || tracked.finals == 1 || out, "left without an attempt or an answer");
    }

    fn replace(&mut self, members: Vec<Member>, stale: bool) {
        self.list = members.iter().map(|member| (member.id, *member)).collect();
        if !stale {
            self.unsubscribed_since = None;
        }
        let update = if stale { ListUpdate::CachedSnapshot(members) } else { ListUpdate::Snapshot(members) };
        self.tell(Event::List(update));
    }

    fn step(&mut self, step: Step) {
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

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn the_rules_hold_over_any_legal_events(
        seed in any::<u64>(),
        hedging in any::<bool>(),
        subscribe in any::<bool>(),
        steps in proptest::collection::vec(step(), 1..250),
    ) {
        let mut world = World::new(settings(hedging, subscribe), seed);
        for step in steps {
            world.step(step);
        }
        world.pass(millis(4000));
    }

    /// Whatever the other upstreams do, one that is warming up gets no more than the budget of the rule.
    #[test]
    fn an_endpoint_warming_up_is_never_sent_over_its_budget(
        seed in any::<u64>(),
        gap in 2u64..40,
        warming_up in 1u32..7,
        refusing in any::<bool>(),
    ) {
        let mut settings = settings(false, false);
        settings.rules.slow_start_min_fraction = 0.15;
        settings.rules.slow_start_window = millis(20_000);
        settings.rules.overload_window = millis(2_000);
        let rules = settings.rules.clone();
        let mut world = World::new(settings, seed);
        let started = world.now;
        let list = (0..8).map(|id| Member { started: (id < warming_up).then_some(started), ..member(id) });
        world.replace(list.collect(), false);
        let mut sends: Vec<(Duration, u32)> = Vec::new();
        while world.now < started + millis(6_000) {
            world.step(Step::Request { class: 0, time_left: 500 });
            for (id, n) in world.outs() {
                sends.push((world.now, world.requests[&id].attempts[n].upstream.0));
                let is_warming_up = world.requests[&id].attempts[n].upstream.0 < warming_up;
                world.end(id, n, if refusing && is_warming_up { Outcome::Refused } else { Outcome::Success });
            }
            world.pass(millis(gap));
        }
        let window = rules.overload_window;
        let within = |id: u32, end: Duration| {
            sends.iter().filter(|&&(at, to)| to == id && at <= end && at + window > end).count() as f64
        };
        for second in 2..6 {
            let end = started + millis(second * 1_000);
            let warm = (warming_up..8).map(|id| within(id, end)).fold(0.0, f64::max);
            let age = (second as f64 - window.as_secs_f64()).max(0.0);
            let warmth = rules.slow_start_min_fraction + (1.0 - rules.slow_start_min_fraction) * age / 20.0;
            let budget = rules.overload_multiple * warmth * warm + 2.0;
            for id in 0..warming_up {
                prop_assert!(within(id, end) <= budget, "{} sent, budget {budget}", within(id, end));
            }
        }
    }
}

/// Equal settings, seeds and events give equal actions.
#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut balancer = Balancer::new(settings(false, true), 11).unwrap();
        let mut actions = Vec::new();
        balancer.handle(START, Event::Started, &mut actions);
        balancer.handle(START, Event::List(ListUpdate::Snapshot((0..8).map(member).collect())), &mut actions);
        for id in 0..300 {
            let now = START + millis(id * 7);
            let request = Request {
                id: RequestId(id),
                class: ClassId(id as usize % 5),
                tenant: None,
                subject: None,
                time_left: millis(900),
                expected_work: None,
                is_client_retry: false,
            };
            balancer.handle(now, Event::Request(request), &mut actions);
            balancer.handle(now, Event::MaintenanceDue, &mut actions);
        }
        actions
    };
    assert_eq!(run(), run());
}

#[test]
fn a_stream_that_has_started_is_neither_cancelled_nor_retried() {
    let mut world = World::new(settings(false, false), 3);
    world.step(Step::Request { class: 0, time_left: 300 });
    let id = RequestId(0);
    world.tell(Event::StreamStarted { request: id, attempt: AttemptNumber(0) });
    let mut actions = Vec::new();
    world.balancer.handle(world.now + millis(5000), Event::ClientDisconnected(id), &mut actions);
    assert_eq!(actions, []);
}

#[test]
fn settings_that_make_no_sense_are_typed_errors() {
    let with = |change: fn(&mut Settings)| {
        let mut settings = settings(false, false);
        change(&mut settings);
        Balancer::new(settings, 1).err()
    };
    assert_eq!(with(|_| {}), None);
    assert_eq!(with(|settings| settings.classes.clear()), Some(SettingsError::NoClass));
    assert_eq!(with(|settings| settings.zone = ZoneId(2)), Some(SettingsError::UnknownZone));
    assert_eq!(with(|settings| settings.replicas = 0), Some(SettingsError::NoReplicas));
    assert_eq!(with(|settings| settings.permissions.max_attempts = 0), Some(SettingsError::NoAttempts));
    assert_eq!(
        with(|settings| settings.classes[1].latency_objective = millis(9_000)),
        Some(SettingsError::ClassTimes(1))
    );
    assert_eq!(
        with(|settings| settings.rules.slow_start_min_fraction = f64::NAN),
        Some(SettingsError::OutOfRange("cold share"))
    );
}

/// Mistakes of the embedding program are answered or passed over, never a panic.
#[test]
fn unknown_classes_upstreams_and_requests_do_no_harm() {
    let mut balancer = Balancer::new(settings(false, false), 1).expect("the settings make sense");
    let mut actions = Vec::new();
    balancer.handle(START, Event::List(ListUpdate::Snapshot(Vec::new())), &mut actions);
    let request = Request {
        id: RequestId(7),
        class: ClassId(99),
        tenant: Some(TenantId(99)),
        subject: None,
        time_left: millis(0),
        expected_work: None,
        is_client_retry: false,
    };
    balancer.handle(START, Event::Request(request), &mut actions);
    assert_eq!(actions, [Action::Refuse { request: RequestId(7), retry_after: None }]);
    actions.clear();
    balancer.handle(START, Event::List(ListUpdate::Snapshot(vec![member(1)])), &mut actions);
    let request = Request { class: ClassId(0), time_left: millis(900), ..request };
    balancer.handle(START, Event::Request(request), &mut actions);
    balancer.handle(START, Event::Request(request), &mut actions);
    assert_eq!(actions.len(), 1, "an id in use is not accepted twice");
    actions.clear();
    for id in [7, 8] {
        balancer.handle(START, Event::ClientDisconnected(RequestId(id)), &mut actions);
        let ended = Event::AttemptEnded {
            request: RequestId(id),
            attempt: AttemptNumber(5),
            outcome: Outcome::Success,
            duration: millis(0),
            connect_wait: millis(0),
            finished: true,
            load: None,
        };
        balancer.handle(START, ended, &mut actions);
        let started = Event::StreamStarted { request: RequestId(id), attempt: AttemptNumber(9) };
        balancer.handle(START, started, &mut actions);
    }
    let odd = Event::HealthChecked {
        upstream: EndpointId(99),
        outcome: Outcome::Success,
        duration: millis(1),
        load: None,
    };
    balancer.handle(START, odd, &mut actions);
    balancer.handle(START, Event::Connected(EndpointId(99)), &mut actions);
    assert!(actions.iter().all(|action| matches!(action, Action::CancelAttempt { .. })));
}

/// Upstreams of zones that the settings do not name need not share one: what may have run at the first is not
/// repeated at the second, as if 'unknown' were a zone of its own.
#[test]
fn upstreams_of_unknown_zones_share_no_zone() {
    let keyed = Idempotency::IdempotencyKey { scope: DeduplicationScope::Zone, window: millis(5000) };
    let members = (0..2).map(|id| Member { zone: None, ..common::member(id) }).collect();
    let mut bench = common::Bench::new(Settings::single_zone(vec![common::class(keyed)]), 3, members);
    let request = Request {
        id: RequestId(1),
        class: ClassId(0),
        tenant: None,
        subject: None,
        time_left: millis(3000),
        expected_work: None,
        is_client_retry: false,
    };
    let sent = |actions: &[Action]| actions.iter().any(|action| matches!(action, Action::Send { .. }));
    assert!(sent(&bench.tell(Event::Request(request))));
    let actions = bench.tell(Event::AttemptEnded {
        request: RequestId(1),
        attempt: AttemptNumber(0),
        outcome: Outcome::Reset,
        duration: millis(1),
        connect_wait: millis(0),
        finished: false,
        load: None,
    });
    assert!(!sent(&actions) && actions.contains(&Action::Fail { request: RequestId(1) }), "{actions:?}");
}

/// The seconds from an update of discovery's until the replica subscribes anew, after five failures in a row.
fn subscribes_after(mode: DiscoveryMode, update: ListUpdate) -> f64 {
    let mut settings = Settings::single_zone(vec![class(Idempotency::Idempotent)]);
    settings.discovery = mode;
    settings.rules.poll_interval_max = Some(millis(10_000));
    let mut balancer = Balancer::new(settings, 7).expect("the settings make sense");
    let mut now = START;
    let mut wait_for_subscribe = |balancer: &mut Balancer, event: Event| {
        let (reported_at, mut actions) = (now, Vec::new());
        balancer.handle(now, event, &mut actions);
        while !actions.contains(&Action::Subscribe) {
            now += millis(200);
            balancer.handle(now, Event::MaintenanceDue, &mut actions);
        }
        (now - reported_at).as_secs_f64()
    };
    wait_for_subscribe(&mut balancer, Event::Started);
    for _ in 0..5 {
        wait_for_subscribe(&mut balancer, Event::List(ListUpdate::Broken));
    }
    wait_for_subscribe(&mut balancer, Event::List(update))
}

/// Guards drains in an outage and a move of discovery's within one: failures of a service of many replicas space their
/// calls out, but say nothing of another address, and an agent of the replica's own is connected to again before the
/// grace of a drain (0.3 s) is over.
#[test]
fn failures_delay_neither_a_moved_discovery_nor_an_agent() {
    assert!(subscribes_after(DiscoveryMode::Subscribe, ListUpdate::Broken) > 1.0);
    assert!(subscribes_after(DiscoveryMode::Subscribe, ListUpdate::Relocated) < 0.8);
    assert!(subscribes_after(DiscoveryMode::Agent, ListUpdate::Broken) < 0.25);
}
