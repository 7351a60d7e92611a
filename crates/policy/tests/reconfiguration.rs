//! Other settings in a running replica, over drawn streams of events and for its subset.

mod common;
#[path = "common/reconfigured.rs"]
mod reconfigured;

use std::collections::BTreeMap;
use std::time::Duration;

use balancer_policy::interface::*;
use balancer_policy::{Action, Balancer, Event, Settings};
use common::{Bench, START, member, millis};
use oorandom::Rand64;
use reconfigured::{bench, request, settings, single};

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
        let (connect_wait, request_finished) = (Duration::ZERO, outcome == Outcome::Success);
        (
            duration,
            Event::AttemptEnded {
                request,
                attempt,
                outcome,
                duration,
                connect_wait,
                request_finished,
                load: None,
            },
        )
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
