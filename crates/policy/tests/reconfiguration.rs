//! Other settings in a running replica: what is in flight keeps its rules, and what was learned stays.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use balancer_policy::interface::*;
use balancer_policy::{Action, Balancer, Event, Settings};
use common::{Bench, START, class, member, millis, sent};
use oorandom::Rand64;

// --- A world of chance on fixed seeds ---

/// Two zones, a class of each effect, three tenants with quotas.
fn settings() -> Settings {
    let keyed = Idempotency::IdempotencyKey { scope: DeduplicationScope::Cell, window: millis(800) };
    Settings {
        replicas: 4,
        zones: 2,
        tenants: [30.0, 20.0, 10.0].map(|quota| Tenant { quota: Some(quota * 4.0) }).to_vec(),
        over_quota_weight: 0.1,
        discovery: DiscoveryMode::Subscribe,
        ..Settings::single_zone(vec![
            class(Idempotency::Idempotent),
            class(keyed),
            class(Idempotency::NotIdempotent),
        ])
    }
}

/// A replica and what is due in its world: requests, answers, lists and maintenance passes.
struct World {
    balancer: Balancer,
    rng: Rand64,
    now: Duration,
    /// By time and the order of coming.
    due: BTreeMap<(Duration, u64), Event>,
    coming: u64,
    classes: BTreeMap<RequestId, usize>,
    attempts: BTreeMap<RequestId, u32>,
    /// How many attempts may have run, and how often it ended.
    ran: BTreeMap<RequestId, u32>,
    ended: BTreeMap<RequestId, u32>,
    /// All actions, each with its time.
    text: String,
}

impl World {
    /// Plays so many requests; `other` may put in an event before each.
    fn play(seed: u64, requests: u64, mut other: impl FnMut(u64) -> Option<Event>) -> Self {
        let mut world = Self {
            balancer: Balancer::new(settings(), seed).expect("the settings make sense"),
            rng: Rand64::new(u128::from(seed)),
            now: START,
            due: BTreeMap::new(),
            coming: 0,
            classes: BTreeMap::new(),
            attempts: BTreeMap::new(),
            ran: BTreeMap::new(),
            ended: BTreeMap::new(),
            text: String::new(),
        };
        let whole = (0..12).map(|id| world.member(id)).collect();
        world.tell(Event::Started);
        world.tell(Event::List(ListUpdate::Snapshot(whole)));
        for number in 0..requests {
            let next = world.now + Duration::from_secs_f64(world.rng.rand_float() * 0.02);
            while let Some(entry) = world.due.first_entry().filter(|entry| entry.key().0 <= next) {
                let ((at, _), event) = entry.remove_entry();
                world.now = at;
                world.tell(event);
            }
            world.now = next;
            if let Some(event) = other(number) {
                world.tell(event);
            }
            if world.rng.rand_float() < 0.02 {
                let id = world.rng.rand_range(0..16) as u32;
                let changed = vec![world.member(id)];
                world.tell(Event::List(ListUpdate::Delta(changed)));
            }
            let (class, tenant) = (world.rng.rand_range(0..3) as usize, world.rng.rand_range(0..3) as usize);
            world.classes.insert(RequestId(number), class);
            world.tell(Event::Request(request(number, class, Some(tenant))));
        }
        world
    }

    /// All actions, and how things stand.
    fn record(self) -> String {
        self.text + &self.balancer.stats_snapshot()
    }

    /// Lets everything end that is still out.
    fn end(&mut self) {
        while let Some(((at, _), event)) = self.due.pop_first() {
            self.now = at;
            if event != Event::MaintenanceDue {
                self.tell(event);
            }
        }
    }

    fn member(&mut self, id: u32) -> Member {
        let lifecycle = if self.rng.rand_float() < 0.1 { Lifecycle::Draining } else { Lifecycle::Ready };
        let started = (self.rng.rand_float() < 0.3).then_some(START - millis(1000));
        Member { zone: Some(ZoneId(id as usize % 2)), cell: id % 3, lifecycle, started, ..member(id) }
    }

    fn tell(&mut self, event: Event) {
        if let Event::AttemptEnded { request, outcome, .. } = event {
            *self.ran.entry(request).or_default() += u32::from(!outcome.never_ran());
            *self.ended.entry(request).or_default() += u32::from(outcome == Outcome::Success);
        }
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            self.text.push_str(&format!("{:?} {}\n", self.now, recorded_form(&action)));
            let (span, event) = match action {
                Action::Send { request, .. } => self.ending(request),
                Action::Refuse { request, .. } | Action::Fail { request } => {
                    *self.ended.entry(request).or_default() += 1;
                    continue;
                }
                Action::ScheduleMaintenance(span) => (span, Event::MaintenanceDue),
                _ => continue,
            };
            self.coming += 1;
            self.due.insert((self.now + span, self.coming), event);
        }
    }

    /// How the next attempt of a request ends, and after how long.
    fn ending(&mut self, request: RequestId) -> (Duration, Event) {
        let next = self.attempts.entry(request).or_default();
        let attempt = AttemptNumber(*next);
        *next += 1;
        let outcome = match self.rng.rand_range(0..50) {
            0 | 1 => Outcome::Refused,
            2 | 3 => Outcome::Reset,
            4 => Outcome::ConnectFailed,
            5 => Outcome::ConnectTimedOut,
            6 => Outcome::Error,
            _ => Outcome::Success,
        };
        let duration = Duration::from_secs_f64(0.02 + self.rng.rand_float() * 0.3);
        let (connect_wait, finished) = (Duration::ZERO, outcome == Outcome::Success);
        (
            duration,
            Event::AttemptEnded { request, attempt, outcome, duration, connect_wait, finished, load: None },
        )
    }
}

fn request(id: u64, class: usize, tenant: Option<usize>) -> Request {
    Request {
        id: RequestId(id),
        class: ClassId(class),
        tenant: tenant.map(TenantId),
        subject: None,
        time_left: millis(2500),
        expected_work: None,
        is_client_retry: false,
    }
}

/// An action as text, with every field, in the form in which the digest of
/// `without_other_settings_nothing_is_different` was recorded: the `Debug` form of that time, whose names stay here
/// whatever the code's names are.
fn recorded_form(action: &Action) -> String {
    match action {
        Action::Send {
            request: RequestId(request),
            upstream: EndpointId(upstream),
            timeout,
            first_byte_deadline,
            is_last_attempt,
        } => {
            format!(
                "Send {{ request: RequestId({request}), upstream: UpstreamId({upstream}), timeout: {timeout:?}, \
                 begin_within: {first_byte_deadline:?}, last: {is_last_attempt} }}"
            )
        }
        Action::CancelAttempt { request: RequestId(request), attempt: AttemptNumber(attempt) } => {
            format!("Withdraw {{ request: RequestId({request}), attempt: AttemptNumber({attempt}) }}")
        }
        Action::Refuse { request: RequestId(request), retry_after } => {
            format!("Refuse {{ request: RequestId({request}), retry_after: {retry_after:?} }}")
        }
        Action::Fail { request: RequestId(request) } => format!("Fail {{ request: RequestId({request}) }}"),
        Action::Subscribe => "Subscribe".to_owned(),
        Action::HealthCheck { upstream: EndpointId(upstream) } => {
            format!("Probe {{ upstream: UpstreamId({upstream}) }}")
        }
        Action::CloseIdle { upstream: EndpointId(upstream) } => {
            format!("DropIdle {{ upstream: UpstreamId({upstream}) }}")
        }
        Action::ScheduleMaintenance(span) => format!("WakeAfter({span:?})"),
        Action::Log(line) => format!("Log({line:?})"),
    }
}

/// FNV-1a.
fn digest(text: &str) -> u64 {
    let step = |hash: u64, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
    text.bytes().fold(0xcbf2_9ce4_8422_2325, step)
}

/// Guards runs without any change of settings: seeds and events as before this event was there give the same actions
/// to the byte. The digest is that of the decisions before it.
#[test]
fn without_other_settings_nothing_is_different() {
    let played: String = (1..=5).map(|seed| World::play(seed, 4000, |_| None).record()).collect();
    assert_eq!(digest(&played), 0xbb1b_aa21_1b3f_d6ce);
}

/// Guards what was learned: settings that say the same again change nothing, whenever they come.
#[test]
fn the_same_settings_again_change_nothing() {
    for seed in 1..=5 {
        let alone = World::play(seed, 4000, |_| None).record();
        let repeated = World::play(seed, 4000, |number| {
            number.is_multiple_of(7).then(|| Event::Reconfigured(settings()))
        });
        assert!(alone == repeated.record(), "seed {seed}");
    }
}

// --- Requests in flight ---

/// A replica with plenty of upstreams, two in each cell, and these settings.
fn bench(settings: Settings) -> Bench {
    let members = (0..8).map(|id| Member { cell: id % 4, ..member(id) }).collect();
    Bench::new(settings, 7, members)
}

fn single(idempotency: Idempotency) -> Settings {
    let settings = Settings::single_zone(vec![class(idempotency)]);
    Settings { permissions: Permissions { max_attempts: 4, ..settings.permissions.clone() }, ..settings }
}

const WINDOW: Idempotency =
    Idempotency::IdempotencyKey { scope: DeduplicationScope::Cell, window: millis(300) };

/// Ends each attempt of a request as a reset and counts them; each of which ends as a reset after `duration`.
fn resets(bench: &mut Bench, id: RequestId, first: &[Action], duration: Duration) -> usize {
    let (mut sends, mut out) = (0, sent(first));
    while out.is_some() {
        sends += 1;
        bench.pass(duration);
        let actions = bench.end(id, sends as u32 - 1, Outcome::Reset, duration);
        out = sent(&actions);
    }
    sends
}

/// Guards the rule on effects: a request received as one that must not run twice never becomes repeatable, whatever its
/// class is by the time that it breaks. One received afterwards goes by what holds then.
#[test]
fn an_unsafe_request_in_flight_stays_unsafe() {
    for other in [
        Idempotency::Idempotent,
        Idempotency::IdempotencyKey { scope: DeduplicationScope::All, window: millis(60_000) },
    ] {
        let mut bench = bench(single(Idempotency::NotIdempotent));
        let (id, actions) = bench.offer(None);
        assert!(bench.tell(Event::Reconfigured(single(other))).is_empty());
        let upstream = sent(&actions).expect("sent");
        bench.pass(millis(10));
        let actions = bench.end(id, 0, Outcome::Reset, millis(10));
        assert_eq!(actions, [Action::Fail { request: id }], "{other:?}");
        let (id, actions) = bench.offer(None);
        assert!(resets(&mut bench, id, &actions, millis(10)) > 1, "{other:?} after {upstream:?}");
    }
}

/// Guards the other way: a request keeps what it was promised, and the next one does not get it.
#[test]
fn a_safe_request_in_flight_stays_safe() {
    let mut bench = bench(single(Idempotency::Idempotent));
    let (id, actions) = bench.offer(None);
    bench.tell(Event::Reconfigured(single(Idempotency::NotIdempotent)));
    assert!(resets(&mut bench, id, &actions, millis(10)) > 1);
    let (id, actions) = bench.offer(None);
    assert_eq!(resets(&mut bench, id, &actions, millis(10)), 1);
}

/// Guards the upstreams' memory of keys: neither the window nor the group of a request in flight grows under it.
#[test]
fn a_keyed_request_in_flight_keeps_its_window_and_scope() {
    let wider = Idempotency::IdempotencyKey { scope: DeduplicationScope::All, window: millis(60_000) };
    for (other, duration, sends) in [
        // Past its own window, within the other: no repeat.
        (
            Idempotency::IdempotencyKey { scope: DeduplicationScope::Cell, window: millis(60_000) },
            millis(400),
            1,
        ),
        // Within its own: only its own cell accepts it, which has two upstreams.
        (wider, millis(100), 2),
    ] {
        let mut bench = bench(single(WINDOW));
        let (id, actions) = bench.offer(None);
        bench.tell(Event::Reconfigured(single(other)));
        assert_eq!(resets(&mut bench, id, &actions, duration), sends, "{other:?}");
    }
    let mut bench = bench(single(WINDOW));
    bench.tell(Event::Reconfigured(single(wider)));
    let (id, actions) = bench.offer(None);
    assert!(resets(&mut bench, id, &actions, millis(400)) > 1);
}

/// Guards a keyed request's window within its cell: it applies to the end, and no repeat may begin after it.
#[test]
fn a_repeat_begins_within_the_window_it_was_received_under() {
    let members = (0..8).map(member).collect();
    let mut bench = Bench::new(single(WINDOW), 7, members);
    let (id, actions) = bench.offer(None);
    assert!(sent(&actions).is_some());
    bench.tell(Event::Reconfigured(single(Idempotency::IdempotencyKey {
        scope: DeduplicationScope::Cell,
        window: millis(60_000),
    })));
    bench.pass(millis(100));
    let actions = bench.end(id, 0, Outcome::Reset, millis(100));
    let first_byte_deadline = actions.iter().find_map(|action| match action {
        Action::Send { first_byte_deadline, .. } => *first_byte_deadline,
        _ => None,
    });
    let left = first_byte_deadline.expect("sent again within its window");
    assert!(left <= millis(200) && left > millis(199), "{left:?}");
}

/// Guards clients: the latency objective and the weight of a late answer are those that the request was received under.
#[test]
fn a_request_in_flight_keeps_its_latency_objective_and_deadline() {
    let timeout = |actions: &[Action]| {
        actions.iter().find_map(|action| match action {
            Action::Send { timeout, .. } => *timeout,
            _ => None,
        })
    };
    let mut longer = single(Idempotency::Idempotent);
    longer.classes[0].latency_objective = millis(2000);
    longer.classes[0].late_weight = 0.5;
    let mut bench = bench(single(Idempotency::Idempotent));
    let (id, first) = bench.offer(None);
    assert_eq!(timeout(&first), Some(millis(1000)));
    bench.tell(Event::Reconfigured(longer));
    bench.pass(millis(400));
    let again = timeout(&bench.end(id, 0, Outcome::Refused, millis(400))).expect("sent again");
    assert!(again <= millis(600) && again > millis(599), "{again:?}");
    let (_, next) = bench.offer(None);
    assert_eq!(timeout(&next), Some(millis(3000)));
}

/// Guards upstreams against more of a request's attempts than it was received with; a lower number applies at once.
#[test]
fn a_request_in_flight_gets_no_more_attempts() {
    let with = |attempts| {
        let settings = single(Idempotency::Idempotent);
        Settings {
            permissions: Permissions { max_attempts: attempts, ..settings.permissions.clone() },
            ..settings
        }
    };
    for (before, after, of_this, of_next) in [(2, 4, 2, 4), (4, 2, 2, 2), (1, 3, 1, 3)] {
        let mut bench = bench(with(before));
        let (id, first) = bench.offer(None);
        bench.tell(Event::Reconfigured(with(after)));
        assert_eq!(resets(&mut bench, id, &first, millis(5)), of_this, "{before} to {after}");
        let (id, next) = bench.offer(None);
        assert_eq!(resets(&mut bench, id, &next, millis(5)), of_next, "{before} to {after}");
    }
}

/// Guards requests in flight whose class or tenant went: they end as they would have.
#[test]
fn a_request_of_a_removed_class_ends_as_before() {
    // What went stays as it was, the quota of its tenant is 0, and what is new stands behind it.
    let mut after = settings();
    after.tenants[1].quota = Some(0.0);
    after.classes.push(class(Idempotency::Idempotent));
    let mut bench = bench(settings());
    let actions = bench.tell(Event::Request(request(900, 0, Some(1))));
    assert!(sent(&actions).is_some());
    bench.tell(Event::Reconfigured(after));
    bench.pass(millis(20));
    assert!(sent(&bench.end(RequestId(900), 0, Outcome::Refused, millis(20))).is_some());
    bench.pass(millis(20));
    assert!(bench.end(RequestId(900), 1, Outcome::Success, millis(20)).is_empty());
    let actions = bench.tell(Event::Request(request(901, 3, Some(0))));
    assert!(sent(&actions).is_some());
}

// --- Limits ---

/// The limits of the tenants and, last, of all together.
fn limits(bench: &Bench) -> Vec<f64> {
    let stats_snapshot = bench.balancer.stats_snapshot();
    let (_, after) = stats_snapshot.split_once("limits ").expect("limits");
    let (rates, _) = after.split_once(',').expect("more");
    rates.split(' ').map(|rate| rate.parse().expect("a rate")).collect()
}

fn quotas(quotas: &[Option<f64>]) -> Settings {
    let settings = Settings::single_zone(vec![class(Idempotency::Idempotent)]);
    let tenants = quotas.iter().map(|&quota| Tenant { quota }).collect();
    Settings { tenants, over_quota_weight: 0.1, ..settings }
}

/// Offers a tenant's requests at a rate for a while, each answered after 10 ms, and returns how many a second were
/// admitted.
fn accepted(bench: &mut Bench, tenant: usize, rate: f64, seconds: f64) -> f64 {
    let (mut admitted, count) = (0, (rate * seconds) as u32);
    let mut answers: Vec<(Duration, RequestId)> = Vec::new();
    for _ in 0..count {
        bench.pass(Duration::from_secs_f64(1.0 / rate));
        let due = answers.iter().take_while(|(at, _)| *at <= bench.now).count();
        for (_, id) in answers.drain(..due) {
            bench.end(id, 0, Outcome::Success, millis(10));
        }
        let (id, actions) = bench.offer(Some(tenant));
        if sent(&actions).is_some() {
            admitted += 1;
            answers.push((bench.now + millis(10), id));
        }
    }
    bench.pass(millis(20));
    for (_, id) in answers {
        bench.end(id, 0, Outcome::Success, millis(10));
    }
    f64::from(admitted) / seconds
}

/// Lets the servers refuse all for a while.
fn overload(bench: &mut Bench) {
    for _ in 0..400 {
        bench.pass(millis(10));
        let (id, mut actions) = bench.offer(Some(0));
        let mut number = 0;
        while sent(&actions).is_some() {
            actions = bench.end(id, number, Outcome::Refused, millis(1));
            number += 1;
        }
    }
}

/// Guards the operator who halves a quota: it applies from the next calls on, also where the limit had been learned.
#[test]
fn a_halved_quota_holds_at_once() {
    let mut bench = bench(quotas(&[Some(100.0), Some(50.0)]));
    let before = accepted(&mut bench, 0, 300.0, 8.0);
    assert!((85.0..150.0).contains(&before), "{before}");
    let old = limits(&bench);
    bench.tell(Event::Reconfigured(quotas(&[Some(50.0), Some(50.0)])));
    let new = limits(&bench);
    assert!(new[0] <= old[0] * 0.51 && new[0] >= 45.0, "{old:?} {new:?}");
    assert_eq!(new[1], old[1], "the other's stays");
    let second = accepted(&mut bench, 0, 300.0, 1.0);
    assert!(second <= 75.0, "{second}");
    let after = accepted(&mut bench, 0, 300.0, 8.0);
    assert!((40.0..75.0).contains(&after), "{after} after {before}");
}

/// Guards the operator who raises a quota: it applies within seconds, from a small one too, which finishes in time
/// alone would take minutes to raise.
#[test]
fn a_raised_quota_applies_within_seconds() {
    for (before, after) in [(50.0, 100.0), (1.0, 100.0)] {
        let mut bench = bench(quotas(&[Some(before), Some(50.0)]));
        let denied = accepted(&mut bench, 0, 90.0, 8.0);
        assert!(denied < 80.0, "{denied}");
        bench.tell(Event::Reconfigured(quotas(&[Some(after), Some(50.0)])));
        accepted(&mut bench, 0, 90.0, 5.0);
        let admitted = accepted(&mut bench, 0, 90.0, 5.0);
        assert!(admitted > 80.0, "{admitted} of 90 a second where the quota went from {before} to {after}");
    }
}

/// Guards a tier in overload: a change elsewhere in the settings, or of a quota, does not open a limit that was cut.
#[test]
fn a_cut_limit_stays_cut() {
    let mut bench = bench(quotas(&[Some(100.0), Some(50.0)]));
    overload(&mut bench);
    let cut = limits(&bench);
    assert!(cut[0] < 60.0, "{cut:?}");
    let mut other = quotas(&[Some(100.0), Some(50.0), Some(30.0)]);
    other.costs.cross_zone = 0.01;
    bench.tell(Event::Reconfigured(other));
    let retained = limits(&bench);
    assert_eq!(retained[..2], cut[..2]);
    assert!(retained[2] >= 30.0, "a new one begins whole: {retained:?}");
    bench.tell(Event::Reconfigured(quotas(&[Some(200.0), Some(50.0), Some(30.0)])));
    let raised = limits(&bench);
    assert!((raised[0] / cut[0] - 2.0).abs() < 0.05, "the same part of its quota: {cut:?} {raised:?}");
    bench.tell(Event::Reconfigured(quotas(&[Some(100.0), Some(50.0), Some(30.0)])));
    let back = limits(&bench);
    assert!((back[0] - cut[0]).abs() < 0.11, "{cut:?} {back:?}");
}

/// Guards limits without quotas on either side of a change: one added applies from then on, one removed no longer does.
#[test]
fn a_quota_may_come_and_go() {
    let mut bench = bench(quotas(&[None]));
    assert!(accepted(&mut bench, 0, 200.0, 4.0) > 190.0);
    bench.tell(Event::Reconfigured(quotas(&[Some(50.0)])));
    let limited = accepted(&mut bench, 0, 200.0, 6.0);
    assert!((40.0..75.0).contains(&limited), "{limited}");
    bench.tell(Event::Reconfigured(quotas(&[None])));
    let free = accepted(&mut bench, 0, 200.0, 4.0);
    assert!(free > 190.0, "{free}");
}

/// Guards a replica that started with no tenant, whose only limit is that of all together, which stands last.
#[test]
fn tenants_may_come_where_there_were_none() {
    let mut bench = bench(quotas(&[]));
    let (early, actions) = bench.offer(None);
    assert!(sent(&actions).is_some());
    bench.tell(Event::Reconfigured(quotas(&[Some(50.0), Some(20.0)])));
    bench.pass(millis(10));
    bench.end(early, 0, Outcome::Success, millis(10));
    let mut fresh = self::bench(quotas(&[Some(50.0), Some(20.0)]));
    for tenant in [0, 1] {
        let (limited, usual) =
            (accepted(&mut bench, tenant, 200.0, 8.0), accepted(&mut fresh, tenant, 200.0, 8.0));
        assert!((limited / usual - 1.0).abs() < 0.1, "{limited} where a new replica lets in {usual}");
    }
}

/// Guards the quota of a tenant that was removed, whose quota is 0: it no longer counts to what all may send together.
#[test]
fn a_removed_tenant_leaves_its_quota() {
    let mut bench = bench(quotas(&[Some(40.0), Some(60.0)]));
    let before = limits(&bench);
    bench.tell(Event::Reconfigured(quotas(&[Some(40.0), Some(0.0)])));
    let after = limits(&bench);
    assert!(after[2] < before[2] * 0.5, "{before:?} {after:?}");
    assert_eq!(after[0], before[0]);
}

// --- The subset, and settings that are refused ---

/// Guards the tier: with more replicas each sends to a part of it, with fewer again to all.
#[test]
fn the_subset_follows_the_number_of_replicas() {
    let with = |replicas| Settings { replica_index: 1, replicas, ..single(Idempotency::Idempotent) };
    let mut bench = Bench::new(with(1), 7, (0..64).map(member).collect());
    let seen = |bench: &mut Bench| {
        let mut seen: Vec<_> = (0..2000).flat_map(|_| bench.run(|_| (Outcome::Success, millis(1)))).collect();
        seen.sort_unstable();
        seen.dedup();
        seen.len()
    };
    assert_eq!(seen(&mut bench), 64);
    bench.tell(Event::Reconfigured(with(32)));
    assert_eq!(seen(&mut bench), 8);
    bench.tell(Event::Reconfigured(with(1)));
    assert_eq!(seen(&mut bench), 64);
}

/// Guards the first list, from which a replica learns how far it spreads: a change before it leaves it the first.
#[test]
fn a_change_before_the_first_list_is_none_to_the_subset() {
    let with = |replicas| Settings { replicas, zones: 2, ..single(Idempotency::Idempotent) };
    let members: Vec<Member> =
        (0..16).map(|id| Member { zone: Some(ZoneId(id as usize % 2)), ..member(id) }).collect();
    let picked = |first| {
        let mut bench = Bench::new(with(first), 7, Vec::new());
        let mut balancer = Balancer::new(with(first), 7).expect("they make sense");
        balancer.handle(START, Event::Reconfigured(with(3)), &mut Vec::new());
        balancer.handle(START, Event::List(ListUpdate::Snapshot(members.clone())), &mut Vec::new());
        bench.balancer = balancer;
        (0..200).flat_map(|_| bench.run(|_| (Outcome::Success, millis(1)))).collect::<Vec<_>>()
    };
    assert_eq!(picked(2), picked(3));
}

/// Guards positions and the place of a replica, and against settings that make no sense: they change nothing but the
/// log.
#[test]
fn settings_that_are_no_successor_change_nothing() {
    let but = |change: fn(&mut Settings)| {
        let mut settings = settings();
        change(&mut settings);
        settings
    };
    let refused_ones = [
        but(|settings| settings.classes.truncate(2)),
        but(|settings| settings.tenants.truncate(2)),
        but(|settings| settings.classes.clear()),
        but(|settings| settings.replica_index = 1),
        but(|settings| settings.tier = 1),
        but(|settings| settings.zone = ZoneId(1)),
        but(|settings| settings.zones = 1),
        but(|settings| settings.kinds = 0),
        but(|settings| settings.replicas = 0),
        but(|settings| settings.permissions.max_attempts = 0),
        but(|settings| settings.permissions.streams_per_connection = 0),
        but(|settings| settings.classes[0].latency_objective = millis(9000)),
        but(|settings| settings.classes[1].late_weight = f64::NAN),
        but(|settings| settings.tenants[0].quota = Some(-1.0)),
        but(|settings| settings.tenants[0].quota = Some(f64::INFINITY)),
        but(|settings| settings.over_quota_weight = 2.0),
        but(|settings| settings.rules.slow_start_min_fraction = 0.0),
        but(|settings| settings.costs.wasted_work = -0.1),
    ];
    for other in refused_ones {
        let mut bench = bench(settings());
        let before = format!("{:?}", bench.balancer);
        let actions = bench.tell(Event::Reconfigured(other.clone()));
        assert!(matches!(&actions[..], [Action::Log(_)]), "{actions:?} for {other:?}");
        assert_eq!(format!("{:?}", bench.balancer), before, "{other:?}");
    }
}

/// Guards against a change in the middle of everything: whatever the settings turn to and however often, each request
/// ends once, and none runs twice that was received as one that must not.
#[test]
fn many_changes_lose_nothing_and_repeat_nothing() {
    for seed in 1..=5 {
        let mut draws = Rand64::new(u128::from(seed) + 99);
        // The class that must not run twice is one that may from the middle on.
        let (requests, middle, mut changed) = (4000, 2000, false);
        let mut world = World::play(seed, requests, |number| {
            number.is_multiple_of(20).then(|| {
                let mut other = settings();
                other.replicas = draws.rand_range(1..9) as u32;
                for tenant in &mut other.tenants {
                    tenant.quota = (draws.rand_float() < 0.8).then(|| draws.rand_float() * 200.0);
                }
                other.classes[0].latency_objective = millis(100 + draws.rand_range(0..900));
                other.permissions.max_attempts = draws.rand_range(1..5) as u32;
                changed |= number >= middle;
                if changed {
                    other.classes[2].idempotency = Idempotency::Idempotent;
                }
                Event::Reconfigured(other)
            })
        });
        world.end();
        let mut repeated = 0;
        for id in (0..requests).map(RequestId) {
            assert_eq!(world.ended.get(&id), Some(&1), "seed {seed}, {id:?}");
            let ran = world.ran.get(&id).copied().unwrap_or_default();
            assert!(ran <= 1 || id.0 >= middle || world.classes[&id] != 2, "seed {seed}, {id:?}");
            repeated += u32::from(ran > 1);
        }
        assert!(repeated > 0 && !world.text.contains("Log"), "seed {seed}");
    }
}
