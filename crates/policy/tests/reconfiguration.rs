//! Reconfiguration of a running replica: over random sequences of events, with settings that are rejected, and its
//! effect on the subset of endpoints that the replica sends to.

mod common;
#[path = "common/reconfiguration_fixture.rs"]
mod reconfiguration_fixture;

use std::collections::BTreeMap;
use std::time::Duration;

use balancer_policy::interface::*;
use balancer_policy::{Action, Balancer, Event, Settings};
use common::{Bench, START, member, millis};
use oorandom::Rand64;
use reconfiguration_fixture::{bench, request, settings, single};

/// A replica with a virtual clock, to which random requests, answers, lists and maintenance passes are delivered.
struct Simulation {
    /// The replica.
    balancer: Balancer,
    /// Source of the random events.
    rng: Rand64,
    /// Current virtual time.
    now: Duration,
    /// Scheduled events, by their time and, for equal times, the order in which they were scheduled.
    scheduled: BTreeMap<(Duration, u64), Event>,
    /// Number of events scheduled so far.
    scheduled_count: u64,
    /// Index of the class of each request.
    classes: BTreeMap<RequestId, usize>,
    /// Number of attempts sent for each request.
    attempts: BTreeMap<RequestId, u32>,
    /// Number of attempts of each request that may have run.
    possibly_run: BTreeMap<RequestId, u32>,
    /// Number of final results of each request: it was served, refused or failed.
    final_results: BTreeMap<RequestId, u32>,
    /// All actions of the replica in their recorded form, each with its time.
    text: String,
}

impl Simulation {
    /// Simulates `requests` requests; before each one, the event that `other` returns for its number is delivered.
    fn simulate(seed: u64, requests: u64, mut other: impl FnMut(u64) -> Option<Event>) -> Self {
        let mut simulation = Self {
            balancer: Balancer::new(settings(), seed).expect("the settings are valid"),
            rng: Rand64::new(u128::from(seed)),
            now: START,
            scheduled: BTreeMap::new(),
            scheduled_count: 0,
            classes: BTreeMap::new(),
            attempts: BTreeMap::new(),
            possibly_run: BTreeMap::new(),
            final_results: BTreeMap::new(),
            text: String::new(),
        };
        let full_list = (0..12).map(|id| simulation.member(id)).collect();
        simulation.report(Event::Started);
        simulation.report(Event::List(ListUpdate::Snapshot(full_list)));
        for number in 0..requests {
            let next = simulation.now + Duration::from_secs_f64(simulation.rng.rand_float() * 0.02);
            while let Some(entry) = simulation.scheduled.first_entry().filter(|entry| entry.key().0 <= next) {
                let ((at, _), event) = entry.remove_entry();
                simulation.now = at;
                simulation.report(event);
            }
            simulation.now = next;
            if let Some(event) = other(number) {
                simulation.report(event);
            }
            if simulation.rng.rand_float() < 0.02 {
                let id = simulation.rng.rand_range(0..16) as u32;
                let changed = vec![simulation.member(id)];
                simulation.report(Event::List(ListUpdate::Delta(changed)));
            }
            let (class, tenant) =
                (simulation.rng.rand_range(0..3) as usize, simulation.rng.rand_range(0..3) as usize);
            simulation.classes.insert(RequestId(number), class);
            simulation.report(Event::Request(request(number, class, Some(tenant))));
        }
        simulation
    }

    /// Returns all recorded actions and the final statistics of the replica.
    fn into_record(self) -> String {
        self.text + &self.balancer.stats_snapshot()
    }

    /// Ends all attempts that are still in flight.
    fn end(&mut self) {
        while let Some(((at, _), event)) = self.scheduled.pop_first() {
            self.now = at;
            if event != Event::MaintenanceDue {
                self.report(event);
            }
        }
    }

    /// Returns an endpoint that is at random ready or draining, and warm or started recently.
    fn member(&mut self, id: u32) -> Member {
        let lifecycle = if self.rng.rand_float() < 0.1 { Lifecycle::Draining } else { Lifecycle::Ready };
        let started = (self.rng.rand_float() < 0.3).then_some(START - millis(1000));
        Member { zone: Some(ZoneId(id as usize % 2)), cell: id % 3, lifecycle, started, ..member(id) }
    }

    /// Delivers an event to the replica, records its actions and schedules the events that follow from them.
    fn report(&mut self, event: Event) {
        if let Event::AttemptEnded { request, outcome, .. } = event {
            *self.possibly_run.entry(request).or_default() += u32::from(!outcome.never_ran());
            *self.final_results.entry(request).or_default() += u32::from(outcome == Outcome::Success);
        }
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            self.text.push_str(&format!("{:?} {}\n", self.now, recorded_form(&action)));
            let (span, event) = match action {
                Action::Send { request, .. } => self.draw_attempt_end(request),
                Action::Refuse { request, .. } | Action::Fail { request } => {
                    *self.final_results.entry(request).or_default() += 1;
                    continue;
                }
                Action::ScheduleMaintenance(span) => (span, Event::MaintenanceDue),
                _ => continue,
            };
            self.scheduled_count += 1;
            self.scheduled.insert((self.now + span, self.scheduled_count), event);
        }
    }

    /// Draws how the next attempt of a request ends, and after what time.
    fn draw_attempt_end(&mut self, request: RequestId) -> (Duration, Event) {
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

/// Formats an action with all its fields, in the form in which the digest of
/// `without_reconfiguration_the_recorded_decisions_are_unchanged` was recorded. This is the `Debug` form of that time;
/// its names stay as they are when items of the code are renamed.
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

/// FNV-1a hash of a text.
fn digest(text: &str) -> u64 {
    let step = |hash: u64, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
    text.bytes().fold(0xcbf2_9ce4_8422_2325, step)
}

/// Guards against a change of the decisions of replicas that are never reconfigured. The digest was recorded before
/// [`Event::Reconfigured`] was added; the same seeds and events must still give the same actions byte for byte.
#[test]
fn without_reconfiguration_the_recorded_decisions_are_unchanged() {
    let recorded: String =
        (1..=5).map(|seed| Simulation::simulate(seed, 4000, |_| None).into_record()).collect();
    assert_eq!(digest(&recorded), 0xbb1b_aa21_1b3f_d6ce);
}

/// Guards against a reconfiguration that resets learned state: equal settings must change nothing, whenever they are
/// applied.
#[test]
fn reconfiguring_with_equal_settings_changes_no_decision() {
    for seed in 1..=5 {
        let alone = Simulation::simulate(seed, 4000, |_| None).into_record();
        let repeated = Simulation::simulate(seed, 4000, |number| {
            number.is_multiple_of(7).then(|| Event::Reconfigured(settings()))
        });
        assert!(alone == repeated.into_record(), "equal settings changed the decisions with seed {seed}");
    }
}

/// Guards against requests that are lost or unsafely repeated when the settings change while they are in flight. With
/// frequent random changes each request must still end exactly once, and no request that was not idempotent when it
/// arrived may run twice.
#[test]
fn frequent_reconfiguration_neither_loses_nor_unsafely_repeats_requests() {
    for seed in 1..=5 {
        let mut settings_rng = Rand64::new(u128::from(seed) + 99);
        // The class that is not idempotent becomes idempotent from the middle on.
        let (requests, middle, mut changed) = (4000, 2000, false);
        let mut simulation = Simulation::simulate(seed, requests, |number| {
            number.is_multiple_of(20).then(|| {
                let mut other = settings();
                other.replicas = settings_rng.rand_range(1..9) as u32;
                for tenant in &mut other.tenants {
                    tenant.quota =
                        (settings_rng.rand_float() < 0.8).then(|| settings_rng.rand_float() * 200.0);
                }
                other.classes[0].latency_objective = millis(100 + settings_rng.rand_range(0..900));
                other.permissions.max_attempts = settings_rng.rand_range(1..5) as u32;
                changed |= number >= middle;
                if changed {
                    other.classes[2].idempotency = Idempotency::Idempotent;
                }
                Event::Reconfigured(other)
            })
        });
        simulation.end();
        let mut repeated = 0;
        for id in (0..requests).map(RequestId) {
            assert_eq!(
                simulation.final_results.get(&id),
                Some(&1),
                "final results of {id:?} with seed {seed}"
            );
            let possibly_run = simulation.possibly_run.get(&id).copied().unwrap_or_default();
            assert!(
                possibly_run <= 1 || id.0 >= middle || simulation.classes[&id] != 2,
                "expected at most 1 attempt of {id:?} to run, saw {possibly_run}, seed {seed}"
            );
            repeated += u32::from(possibly_run > 1);
        }
        assert!(
            repeated > 0 && !simulation.text.contains("Log"),
            "expected repeats and no log line, saw {repeated} repeats, seed {seed}"
        );
    }
}

/// Guards against a reconfiguration with invalid settings, or with settings that remove classes or tenants or change
/// the identity of the replica. Such settings must be rejected with a log line and change nothing else.
#[test]
fn rejected_settings_change_nothing_and_are_logged() {
    let settings_with = |change: fn(&mut Settings)| {
        let mut settings = settings();
        change(&mut settings);
        settings
    };
    let rejected_settings = [
        settings_with(|settings| settings.classes.truncate(2)),
        settings_with(|settings| settings.tenants.truncate(2)),
        settings_with(|settings| settings.classes.clear()),
        settings_with(|settings| settings.replica_index = 1),
        settings_with(|settings| settings.tier = 1),
        settings_with(|settings| settings.zone = ZoneId(1)),
        settings_with(|settings| settings.zones = 1),
        settings_with(|settings| settings.machine_kinds = 0),
        settings_with(|settings| settings.replicas = 0),
        settings_with(|settings| settings.permissions.max_attempts = 0),
        settings_with(|settings| settings.permissions.streams_per_connection = 0),
        settings_with(|settings| settings.classes[0].latency_objective = millis(9000)),
        settings_with(|settings| settings.classes[1].late_weight = f64::NAN),
        settings_with(|settings| settings.tenants[0].quota = Some(-1.0)),
        settings_with(|settings| settings.tenants[0].quota = Some(f64::INFINITY)),
        settings_with(|settings| settings.over_quota_weight = 2.0),
        settings_with(|settings| settings.rules.slow_start_min_fraction = 0.0),
        settings_with(|settings| settings.costs.wasted_work = -0.1),
    ];
    for other in rejected_settings {
        let mut bench = bench(settings());
        let before = format!("{:?}", bench.balancer);
        let actions = bench.report(Event::Reconfigured(other.clone()));
        assert!(
            matches!(&actions[..], [Action::Log(_)]),
            "expected only a log line, saw {actions:?} for {other:?}"
        );
        assert_eq!(format!("{:?}", bench.balancer), before, "state changed by rejected {other:?}");
    }
}

/// Guards against a subset that keeps its size when the number of replicas changes: one replica of many sends to a
/// part of the tier, a single replica to all of it.
#[test]
fn the_subset_size_follows_the_number_of_replicas() {
    let with = |replicas| Settings { replica_index: 1, replicas, ..single(Idempotency::Idempotent) };
    let mut bench = Bench::new(with(1), 7, (0..64).map(member).collect());
    let seen = |bench: &mut Bench| {
        let mut seen: Vec<_> = (0..2000).flat_map(|_| bench.run(|_| (Outcome::Success, millis(1)))).collect();
        seen.sort_unstable();
        seen.dedup();
        seen.len()
    };
    assert_eq!(seen(&mut bench), 64);
    bench.report(Event::Reconfigured(with(32)));
    assert_eq!(seen(&mut bench), 8);
    bench.report(Event::Reconfigured(with(1)));
    assert_eq!(seen(&mut bench), 64);
}

/// Guards against a reconfiguration before the first list of endpoints that takes its place: the fraction of requests
/// that stays in the own zone must still be initialised by the first list.
#[test]
fn a_replica_reconfigured_before_its_first_list_selects_like_a_new_one() {
    let with = |replicas| Settings { replicas, zones: 2, ..single(Idempotency::Idempotent) };
    let members: Vec<Member> =
        (0..16).map(|id| Member { zone: Some(ZoneId(id as usize % 2)), ..member(id) }).collect();
    let selected = |first| {
        let mut bench = Bench::new(with(first), 7, Vec::new());
        let mut balancer = Balancer::new(with(first), 7).expect("the settings are valid");
        balancer.handle(START, Event::Reconfigured(with(3)), &mut Vec::new());
        balancer.handle(START, Event::List(ListUpdate::Snapshot(members.clone())), &mut Vec::new());
        bench.balancer = balancer;
        (0..200).flat_map(|_| bench.run(|_| (Outcome::Success, millis(1)))).collect::<Vec<_>>()
    };
    assert_eq!(selected(2), selected(3));
}
