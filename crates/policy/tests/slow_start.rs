//! Endpoints that are warming up under the sum of what many replicas send: the replicas share nothing, so that each
//! one's ramp has to make the sum hold. Everything runs in virtual time.

mod common;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

use balancer_policy::interface::*;
use balancer_policy::{Action, Balancer, Event, Settings};
use common::*;
use oorandom::Rand64;

/// A deployment and a scenario for it.
#[derive(Debug, Clone)]
struct Scenario {
    replicas: u32,
    upstreams: u32,
    /// Upstreams that start together.
    warming_up: u32,
    /// Requests a second that a warm upstream serves.
    capacity: f64,
    /// Requests offered before the start, in parts of what the warm tier can serve.
    offered: f64,
    /// How many times that comes from some seconds after the start on.
    burst: f64,
    burst_after_s: f64,
    /// How many times the mean one replica of five is dealt.
    uneven: f64,
    /// Part of the warm upstreams that can't be reached from then on.
    lost: f64,
    slow_start_min_fraction: f64,
    slow_start_s: f64,
    multiple: f64,
    window_s: f64,
    tier: usize,
    attempts: u32,
    /// Replicas hear of it up to this long after; long where discovery was out of reach.
    late_s: f64,
    /// Upstreams that start were there before, warm and under the same names.
    restarts: bool,
    /// No requests come from some seconds before the start until the burst.
    lull: bool,
    seed: u64,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Arrival,
    Maintenance(usize),
    Burst,
    Notified(usize),
    Ended { replica: usize, request: u64, attempt: u32, outcome: u8, duration_us: u64 },
}

const OUTCOMES: [Outcome; 3] = [Outcome::Success, Outcome::Refused, Outcome::ConnectFailed];
/// When those warming up start, and when the scenario ends.
const START_S: f64 = 12.0;
const END_S: f64 = 24.0;
/// How long before the start a lull begins.
const LULL_BEFORE_S: f64 = 1.0;
/// A request's time at an upstream.
const SERVICE_TIME_S: f64 = 0.05;

fn micros(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}

/// The least number of requests with which an endpoint that is warming up may fall, over the window that ends at its
/// age.
fn budget(scenario: &Scenario, age: f64) -> f64 {
    let warmth = |age: f64| {
        (scenario.slow_start_min_fraction
            + (1.0 - scenario.slow_start_min_fraction) * age / scenario.slow_start_s)
            .min(1.0)
    };
    let steps = 20;
    let mean: f64 = (0..steps)
        .map(|step| warmth((age - scenario.window_s * f64::from(step) / f64::from(steps)).max(0.0)))
        .sum::<f64>()
        / f64::from(steps);
    scenario.multiple * mean * scenario.capacity * scenario.window_s
}

/// What a scenario showed.
struct Played {
    /// By how much the busiest window of an endpoint that is warming up went over its budget and the chance above it;
    /// negative under it.
    over: f64,
    /// Requests that those warming up were sent while warming up.
    sent: usize,
    /// Requests that came in that time.
    offered: usize,
}

/// Chance above N, as the page has it, but stricter where N is small.
fn strict_chance(n: f64) -> f64 {
    2.0 * n.sqrt() + 2.0
}

/// Chance above N as the page has it.
fn chance(n: f64) -> f64 {
    if n < 30.0 { 3.0 * n.sqrt() + 3.0 } else { strict_chance(n) }
}

fn play(scenario: &Scenario, chance: fn(f64) -> f64) -> Played {
    let mut rng = Rand64::new(u128::from(scenario.seed));
    let settings = |replica: u32| {
        let mut settings = Settings::single_zone(vec![class(Idempotency::Idempotent)]);
        settings.replica_index = replica;
        settings.replicas = scenario.replicas;
        settings.tier = scenario.tier;
        settings.permissions.max_attempts = scenario.attempts;
        settings.rules.slow_start_min_fraction = scenario.slow_start_min_fraction;
        settings.rules.slow_start_window = Duration::from_secs_f64(scenario.slow_start_s);
        settings.rules.overload_multiple = scenario.multiple;
        settings.rules.overload_window = Duration::from_secs_f64(scenario.window_s);
        settings
    };
    let warm = scenario.upstreams - scenario.warming_up;
    let first_before = if scenario.restarts { 0 } else { scenario.warming_up };
    let before: Vec<Member> = (first_before..scenario.upstreams).map(member).collect();
    let started = Duration::from_secs_f64(START_S);
    let after: Vec<Member> =
        (0..scenario.warming_up).map(|id| Member { started: Some(started), ..member(id) }).collect();
    let mut replicas: Vec<Balancer> = (0..scenario.replicas)
        .map(|replica| {
            let seed = rng.rand_u64();
            Balancer::new(settings(replica), seed).expect("the settings make sense")
        })
        .collect();
    let mut due = BinaryHeap::new();
    for (replica, balancer) in replicas.iter_mut().enumerate() {
        let mut actions = Vec::new();
        balancer.handle(Duration::ZERO, Event::Started, &mut actions);
        balancer.handle(Duration::ZERO, Event::List(ListUpdate::Snapshot(before.clone())), &mut actions);
        due.push(Reverse((micros(0.2 * rng.rand_float()), Due::Maintenance(replica))));
        due.push(Reverse((micros(START_S + scenario.late_s * rng.rand_float()), Due::Notified(replica))));
    }
    due.push(Reverse((0, Due::Arrival)));
    due.push(Reverse((micros(START_S + scenario.burst_after_s), Due::Burst)));
    // What each replica is dealt.
    let parts: Vec<f64> = (0..scenario.replicas)
        .map(|replica| if replica % 5 == 0 && scenario.replicas > 4 { scenario.uneven } else { 1.0 })
        .collect();
    let all: f64 = parts.iter().sum();
    let loaded = if warm > 0 { warm } else { scenario.upstreams };
    let base = scenario.offered * f64::from(loaded) * scenario.capacity;
    // The recent requests of each warm upstream, and all of each one that is warming up.
    let mut recent: Vec<VecDeque<f64>> = vec![VecDeque::new(); scenario.upstreams as usize];
    let mut sent_warming_up: Vec<Vec<f64>> = vec![Vec::new(); scenario.warming_up as usize];
    let lost = scenario.warming_up + (f64::from(warm) * scenario.lost) as u32;
    let mut attempts: HashMap<RequestId, u32> = HashMap::new();
    let mut next = 0;
    let mut begun = false;
    let mut offered = 0;
    while let Some(Reverse((at, what))) = due.pop() {
        let now = at as f64 / 1e6;
        if now > END_S {
            break;
        }
        let (replica, event) = match what {
            Due::Burst => {
                begun = true;
                continue;
            }
            Due::Arrival => {
                let rate = base * if begun { scenario.burst } else { 1.0 };
                let gap = -(1.0 - rng.rand_float()).ln() / rate;
                due.push(Reverse((at + micros(gap).max(1), Due::Arrival)));
                let mut place = rng.rand_float() * all;
                let replica = parts
                    .iter()
                    .position(|part| {
                        place -= part;
                        place < 0.0
                    })
                    .unwrap_or(0);
                if scenario.lull && !begun && now > START_S - LULL_BEFORE_S {
                    continue;
                }
                next += 1;
                offered += usize::from((START_S..START_S + scenario.slow_start_s).contains(&now));
                let request = Request {
                    id: RequestId(next),
                    class: ClassId(0),
                    tenant: None,
                    subject: None,
                    time_left: millis(3000),
                    expected_work: None,
                    is_client_retry: false,
                };
                (replica, Event::Request(request))
            }
            Due::Maintenance(replica) => (replica, Event::MaintenanceDue),
            Due::Notified(replica) => (replica, Event::List(ListUpdate::Delta(after.clone()))),
            Due::Ended { replica, request, attempt, outcome, duration_us } => {
                let outcome = OUTCOMES[usize::from(outcome)];
                let event = Event::AttemptEnded {
                    request: RequestId(request),
                    attempt: AttemptNumber(attempt),
                    outcome,
                    duration: Duration::from_micros(duration_us),
                    connect_wait: Duration::ZERO,
                    request_finished: outcome == Outcome::Success,
                    load: None,
                };
                (replica, event)
            }
        };
        let mut actions = Vec::new();
        replicas[replica].handle(Duration::from_micros(at), event, &mut actions);
        for action in actions {
            match action {
                Action::ScheduleMaintenance(span) => {
                    due.push(Reverse((at + span.as_micros() as u64, Due::Maintenance(replica))));
                }
                Action::Send { request, upstream, .. } => {
                    let place = upstream.0 as usize;
                    let attempt = *attempts.entry(request).and_modify(|attempt| *attempt += 1).or_insert(0);
                    let outcome = if upstream.0 < scenario.warming_up && now >= START_S {
                        sent_warming_up[place].push(now);
                        let within =
                            sent_warming_up[place].partition_point(|&at| at <= now - scenario.window_s);
                        let got = (sent_warming_up[place].len() - within) as f64;
                        u8::from(got > budget(scenario, (now - START_S).max(0.0)) / scenario.multiple + 2.0)
                    } else if begun && upstream.0 < lost {
                        2
                    } else {
                        // It serves what it can within a second, and turns the rest away.
                        while recent[place].front().is_some_and(|&at| at < now - 1.0) {
                            recent[place].pop_front();
                        }
                        let full = recent[place].len() as f64 >= scenario.capacity + 2.0;
                        if !full {
                            recent[place].push_back(now);
                        }
                        u8::from(full)
                    };
                    let duration = if outcome == 0 { SERVICE_TIME_S } else { 0.002 };
                    let ended = Due::Ended {
                        replica,
                        request: request.0,
                        attempt,
                        outcome,
                        duration_us: micros(duration),
                    };
                    due.push(Reverse((at + micros(duration), ended)));
                }
                _ => {}
            }
        }
    }
    let mut worst = f64::MIN;
    for sends in &sent_warming_up {
        for (place, &end) in sends.iter().enumerate() {
            let age = end - START_S;
            if age > scenario.slow_start_s {
                break;
            }
            let from = sends.partition_point(|&at| at <= end - scenario.window_s);
            let n = budget(scenario, age);
            worst = worst.max((place + 1 - from) as f64 - (n + chance(n)));
        }
    }
    let sent = sent_warming_up.iter().flatten().filter(|&&at| at - START_S <= scenario.slow_start_s).count();
    Played { over: worst, sent, offered }
}

fn drawn(rng: &mut Rand64, replicas: u32) -> Scenario {
    let mut between = |low: f64, high: f64| low + (high - low) * rng.rand_float();
    let upstreams = between(6.0, 24.0) as u32;
    Scenario {
        replicas,
        upstreams,
        warming_up: (f64::from(upstreams) * between(0.05, 0.6)).max(1.0) as u32,
        capacity: 1.5 * between(0.0, 3.0).exp(),
        offered: between(0.2, 1.2),
        burst: between(1.0, 2.5),
        burst_after_s: between(-3.0, 8.0).max(0.0),
        uneven: between(1.0, 5.0),
        lost: between(-0.5, 0.9).max(0.0),
        slow_start_min_fraction: between(0.1, 0.6),
        slow_start_s: between(3.0, 12.0),
        multiple: between(1.5, 3.0),
        window_s: between(1.0, 2.0),
        tier: between(0.0, 2.0) as usize,
        attempts: between(2.0, 5.0) as u32,
        late_s: between(0.0, 2.0),
        restarts: false,
        lull: false,
        seed: between(0.0, 1e9) as u64,
    }
}

/// Many scenarios of one kind.
struct Scenarios {
    replicas: u32,
    count: u32,
    chance: fn(f64) -> f64,
    /// What of a drawn scenario is otherwise.
    change: fn(&mut Scenario, &mut Rand64),
}

impl Scenarios {
    fn drawn(replicas: u32) -> Self {
        Self { replicas, count: 1000, chance: strict_chance, change: |_, _| {} }
    }

    /// Plays them: in no window may the sum go over what the rule puts down to chance. Returns the part that those
    /// warming up got of what they could do once warm, and the part of the requests that came meanwhile.
    fn play(&self) -> (f64, f64) {
        let mut rng = Rand64::new(u128::from(self.replicas));
        let (mut used, mut sent, mut offered) = (0.0, 0, 0);
        for _ in 0..self.count {
            let mut scenario = drawn(&mut rng, self.replicas);
            (self.change)(&mut scenario, &mut rng);
            let played = play(&scenario, self.chance);
            assert!(played.over <= 0.0, "{} over the budget on {scenario:?}", played.over);
            used += played.sent as f64
                / (scenario.capacity * f64::from(scenario.warming_up) * scenario.slow_start_s);
            sent += played.sent;
            offered += played.offered;
        }
        let parts = (used / f64::from(self.count), sent as f64 / offered as f64);
        println!("{} {parts:?}", self.replicas);
        parts
    }
}

/// Those warming up get a good part of what they can do all the same.
fn many_scenarios(replicas: u32) {
    let (used, _) = Scenarios::drawn(replicas).play();
    assert!(used > 0.15, "those warming up got {used} of what they could do once warm");
}

#[test]
fn one_replica_keeps_the_budget_of_an_endpoint_warming_up() {
    many_scenarios(1);
}

#[test]
fn two_replicas_keep_the_budget_of_an_endpoint_warming_up() {
    many_scenarios(2);
}

#[test]
fn twenty_replicas_keep_the_budget_of_an_endpoint_warming_up() {
    many_scenarios(20);
}

#[test]
fn thirty_replicas_keep_the_budget_of_an_endpoint_warming_up() {
    many_scenarios(30);
}

/// Upstreams for as many requests at each replica as where there are a tenth of the replicas.
fn large(scenario: &mut Scenario, rng: &mut Rand64) {
    scenario.capacity *= 1.0 + 29.0 * rng.rand_float();
}

#[test]
fn nine_hundred_replicas_keep_the_budget_of_an_endpoint_warming_up() {
    let (used, _) = Scenarios { count: 40, change: large, ..Scenarios::drawn(900) }.play();
    assert!(used > 0.15, "those warming up got {used} of what they could do once warm");
}

fn lull(scenario: &mut Scenario, _: &mut Rand64) {
    scenario.lull = true;
    scenario.burst = 1.0 + 3.0 * (scenario.burst - 1.0);
}

#[test]
fn a_burst_after_a_lull_keeps_the_budget_of_an_endpoint_warming_up() {
    for replicas in [1, 2, 20, 30] {
        Scenarios { count: 500, change: lull, ..Scenarios::drawn(replicas) }.play();
    }
    let both = |scenario: &mut Scenario, rng: &mut Rand64| {
        lull(scenario, rng);
        large(scenario, rng);
    };
    Scenarios { count: 20, change: both, ..Scenarios::drawn(900) }.play();
}

/// The whole tier starts, with replicas that know nothing or, where it restarts, knew it warm.
fn all_warming_up(scenario: &mut Scenario, rng: &mut Rand64) {
    scenario.warming_up = scenario.upstreams;
    scenario.restarts = rng.rand_float() < 0.5;
    if scenario.restarts {
        // What is sent by replicas that have not heard of the start yet is not theirs to hold back.
        scenario.late_s = 0.0;
    }
}

#[test]
fn a_tier_that_warms_up_as_a_whole_gets_its_budget_and_no_more() {
    for replicas in [1, 2, 20, 30] {
        let (_, served) =
            Scenarios { count: 500, change: all_warming_up, chance, ..Scenarios::drawn(replicas) }.play();
        assert!(served > 0.4, "{replicas} replicas sent {served} of the requests");
    }
    let both = |scenario: &mut Scenario, rng: &mut Rand64| {
        all_warming_up(scenario, rng);
        large(scenario, rng);
    };
    let (_, served) = Scenarios { count: 20, change: both, chance, ..Scenarios::drawn(900) }.play();
    // Most of them see less than a request a second for each upstream.
    assert!(served > 0.2, "900 replicas sent {served} of the requests");
}

#[test]
fn an_outage_of_discovery_keeps_the_budget_of_an_endpoint_warming_up() {
    let change = |scenario: &mut Scenario, rng: &mut Rand64| scenario.late_s = 8.0 * rng.rand_float();
    for replicas in [2, 20, 30] {
        Scenarios { count: 500, change, ..Scenarios::drawn(replicas) }.play();
    }
}
