//! Load that many replicas together send to endpoints that are warming up. The replicas do not communicate, so the send
//! budget of each one must keep the sum within the overload budget of the endpoint. Everything runs in virtual time.

mod common;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

use balancer_policy::interface::*;
use balancer_policy::{Action, Balancer, Event, Settings};
use common::*;
use oorandom::Rand64;

/// A deployment of replicas and upstreams, and the load and faults that it is simulated with.
#[derive(Debug, Clone)]
struct Scenario {
    /// Number of replicas that send to the upstreams.
    replicas: u32,
    /// Number of upstreams, including those that are warming up.
    upstreams: u32,
    /// Number of upstreams that start together at [`START_S`] and warm up.
    warming_up: u32,
    /// Requests per second that a warm upstream serves.
    capacity: f64,
    /// Offered load before the burst, as a fraction of the capacity of the warm upstreams; of all upstreams if none is
    /// warm.
    offered: f64,
    /// Offered load from the burst on, as a multiple of the load before it.
    burst: f64,
    /// Time from the start of the upstreams that warm up to the burst, in seconds.
    burst_after_s: f64,
    /// Load of every fifth replica, as a multiple of the load of another replica; used with more than four replicas.
    uneven: f64,
    /// Fraction of the warm upstreams that cannot be reached from the burst on.
    lost: f64,
    /// Fraction of its capacity that an upstream has when it starts.
    slow_start_min_fraction: f64,
    /// Time that an upstream takes to warm up, in seconds.
    slow_start_s: f64,
    /// Multiple of its current capacity above which an upstream that is warming up is overloaded.
    multiple: f64,
    /// Length of the window over which an overload is measured, in seconds.
    window_s: f64,
    /// Tier that the replicas send to.
    tier: usize,
    /// Largest number of attempts of one request.
    attempts: u32,
    /// Longest delay, in seconds, with which a replica is notified of the start; long to simulate an outage of discovery.
    late_s: f64,
    /// Whether the upstreams that start were in the list before, warm and with the same ids.
    restarts: bool,
    /// Whether no requests arrive from [`LULL_BEFORE_S`] before the start until the burst.
    lull: bool,
    /// Seed of the random numbers of the scenario.
    seed: u64,
}

/// Something that is scheduled to happen at a point in virtual time.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    /// A request arrives at a random replica.
    Arrival,
    /// The maintenance pass of the replica with this index is due.
    Maintenance(usize),
    /// The burst starts.
    Burst,
    /// The replica with this index is notified of the upstreams that started.
    Notified(usize),
    /// An attempt ends; `outcome` is an index into [`OUTCOMES`].
    Ended { replica: usize, request: u64, attempt: u32, outcome: u8, duration_us: u64 },
}

/// Outcomes of attempts in the scenarios; [`Due::Ended`] refers to them by index.
const OUTCOMES: [Outcome; 3] = [Outcome::Success, Outcome::Refused, Outcome::ConnectFailed];
/// Time at which the upstreams that warm up start, in seconds from the beginning of the scenario.
const START_S: f64 = 12.0;
/// Time at which the scenario ends, in seconds.
const END_S: f64 = 24.0;
/// Time from the beginning of a lull to the start of the upstreams that warm up, in seconds.
const LULL_BEFORE_S: f64 = 1.0;
/// Time that an upstream takes to serve a request, in seconds.
const SERVICE_TIME_S: f64 = 0.05;

fn micros(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}

/// Smallest number of requests by which an endpoint that is warming up may be overloaded, within the overload window
/// that ends when the endpoint has been up for `age` seconds.
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

/// Result of the simulation of one scenario.
struct Played {
    /// Requests by which the busiest window of an endpoint that is warming up exceeded its budget and the margin for
    /// random variation; negative if it stayed below.
    over: f64,
    /// Number of requests that were sent to the endpoints that are warming up, during their slow start.
    sent: usize,
    /// Number of requests that arrived during the slow start.
    offered: usize,
}

/// Margin for random variation above a budget of `n` requests: the one that the overload rule allows for large `n`, and a
/// stricter one for `n` below 30.
fn strict_chance(n: f64) -> f64 {
    2.0 * n.sqrt() + 2.0
}

/// Margin for random variation above a budget of `n` requests that the overload rule allows.
fn chance(n: f64) -> f64 {
    if n < 30.0 { 3.0 * n.sqrt() + 3.0 } else { strict_chance(n) }
}

/// Simulates a scenario; `chance` returns the margin for random variation above a budget.
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
    // Relative load of each replica.
    let parts: Vec<f64> = (0..scenario.replicas)
        .map(|replica| if replica % 5 == 0 && scenario.replicas > 4 { scenario.uneven } else { 1.0 })
        .collect();
    let all: f64 = parts.iter().sum();
    let loaded = if warm > 0 { warm } else { scenario.upstreams };
    let base = scenario.offered * f64::from(loaded) * scenario.capacity;
    // Times of the recent requests to each warm upstream, and of all requests to each one that is warming up.
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
                        // A warm upstream serves its capacity in each second and refuses the rest.
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

/// Draws a random scenario with `replicas` replicas.
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

/// Random scenarios with the same number of replicas.
struct Scenarios {
    /// Number of replicas in each scenario; also the seed from which the scenarios are drawn.
    replicas: u32,
    /// Number of scenarios.
    count: u32,
    /// Returns the margin for random variation above a budget.
    chance: fn(f64) -> f64,
    /// Adjusts each scenario after it was drawn.
    change: fn(&mut Scenario, &mut Rand64),
}

impl Scenarios {
    /// A thousand random scenarios, checked with the stricter margin.
    fn drawn(replicas: u32) -> Self {
        Self { replicas, count: 1000, chance: strict_chance, change: |_, _| {} }
    }

    /// Simulates the scenarios and checks that the load on an endpoint that is warming up exceeds its budget in no window
    /// by more than the margin for random variation. Returns the requests sent to the endpoints that are warming up, as a
    /// fraction of what they could serve once warm and as a fraction of the requests that arrived in the same time.
    fn play(&self) -> (f64, f64) {
        let mut rng = Rand64::new(u128::from(self.replicas));
        let (mut used, mut sent, mut offered) = (0.0, 0, 0);
        for _ in 0..self.count {
            let mut scenario = drawn(&mut rng, self.replicas);
            (self.change)(&mut scenario, &mut rng);
            let played = play(&scenario, self.chance);
            assert!(
                played.over <= 0.0,
                "expected no window over the budget, a window had {} requests too many in {scenario:?}",
                played.over
            );
            used += played.sent as f64
                / (scenario.capacity * f64::from(scenario.warming_up) * scenario.slow_start_s);
            sent += played.sent;
            offered += played.offered;
        }
        let parts = (used / f64::from(self.count), sent as f64 / offered as f64);
        println!(
            "{} replicas: fractions of warm capacity and of offered requests sent: {parts:?}",
            self.replicas
        );
        parts
    }
}

/// Checks that endpoints that are warming up stay within their budget but still get a good part of what they can serve.
fn many_scenarios(replicas: u32) {
    let (used, _) = Scenarios::drawn(replicas).play();
    assert!(used > 0.15, "expected more than 0.15 of the warm capacity to be used, saw {used}");
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

/// Raises the capacity of the upstreams, so that each replica sees as many requests as in a deployment with a tenth of
/// the replicas.
fn large(scenario: &mut Scenario, rng: &mut Rand64) {
    scenario.capacity *= 1.0 + 29.0 * rng.rand_float();
}

#[test]
fn nine_hundred_replicas_keep_the_budget_of_an_endpoint_warming_up() {
    let (used, _) = Scenarios { count: 40, change: large, ..Scenarios::drawn(900) }.play();
    assert!(used > 0.15, "expected more than 0.15 of the warm capacity to be used, saw {used}");
}

/// Puts a lull before the start and makes the burst after it three times as high above the load before.
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

/// Makes all upstreams of the tier start together: in half of the scenarios as upstreams that are new to the replicas,
/// in the other half as restarts of upstreams that the replicas know as warm.
fn all_warming_up(scenario: &mut Scenario, rng: &mut Rand64) {
    scenario.warming_up = scenario.upstreams;
    scenario.restarts = rng.rand_float() < 0.5;
    if scenario.restarts {
        // A replica that has not been notified of a restart yet cannot limit what it sends, so notify all at once.
        scenario.late_s = 0.0;
    }
}

#[test]
fn a_tier_that_warms_up_as_a_whole_gets_its_budget_and_no_more() {
    for replicas in [1, 2, 20, 30] {
        let (_, served) =
            Scenarios { count: 500, change: all_warming_up, chance, ..Scenarios::drawn(replicas) }.play();
        assert!(
            served > 0.4,
            "expected more than 0.4 of the requests to be sent with {replicas} replicas, saw {served}"
        );
    }
    let both = |scenario: &mut Scenario, rng: &mut Rand64| {
        all_warming_up(scenario, rng);
        large(scenario, rng);
    };
    let (_, served) = Scenarios { count: 20, change: both, chance, ..Scenarios::drawn(900) }.play();
    // Most of the 900 replicas see less than one request per second for each upstream.
    assert!(
        served > 0.2,
        "expected more than 0.2 of the requests to be sent with 900 replicas, saw {served}"
    );
}

#[test]
fn an_outage_of_discovery_keeps_the_budget_of_an_endpoint_warming_up() {
    let change = |scenario: &mut Scenario, rng: &mut Rand64| scenario.late_s = 8.0 * rng.rand_float();
    for replicas in [2, 20, 30] {
        Scenarios { count: 500, change, ..Scenarios::drawn(replicas) }.play();
    }
}
