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
    burst_multiple: f64,
    /// Time from the start of the upstreams that warm up to the burst, in seconds.
    burst_after_s: f64,
    /// Load of every fifth replica, as a multiple of the load of another replica; used with more than four replicas.
    load_skew: f64,
    /// Fraction of the warm upstreams that cannot be reached from the burst on.
    unreachable: f64,
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
    /// Longest delay, in seconds, with which a replica is notified of the start; long to simulate an outage of
    /// discovery.
    notify_delay_s: f64,
    /// Whether the upstreams that start were in the list before, warm and with the same ids.
    restarts: bool,
    /// Whether no requests arrive from [`LULL_BEFORE_S`] before the start until the burst.
    lull: bool,
    /// Seed of the random numbers of the scenario.
    seed: u64,
}

/// Something that is scheduled to happen at a point in virtual time.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Scheduled {
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

/// Outcomes of attempts in the scenarios; [`Scheduled::Ended`] refers to them by index.
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
    let warm_fraction = |age: f64| {
        (scenario.slow_start_min_fraction
            + (1.0 - scenario.slow_start_min_fraction) * age / scenario.slow_start_s)
            .min(1.0)
    };
    let steps = 20;
    let mean: f64 = (0..steps)
        .map(|step| warm_fraction((age - scenario.window_s * f64::from(step) / f64::from(steps)).max(0.0)))
        .sum::<f64>()
        / f64::from(steps);
    scenario.multiple * mean * scenario.capacity * scenario.window_s
}

/// Result of the simulation of one scenario.
struct SimulationResult {
    /// Requests by which the busiest window of an endpoint that is warming up exceeded its budget and the margin for
    /// random variation; negative if it stayed below.
    excess: f64,
    /// Number of requests that were sent to the endpoints that are warming up, during their slow start.
    sent: usize,
    /// Number of requests that arrived during the slow start.
    offered: usize,
}

/// Margin for random variation above a budget of `n` requests: the one that the overload rule allows for large `n`,
/// and a stricter one for `n` below 30.
fn strict_random_margin(n: f64) -> f64 {
    2.0 * n.sqrt() + 2.0
}

/// Margin for random variation above a budget of `n` requests that the overload rule allows.
fn random_margin(n: f64) -> f64 {
    if n < 30.0 { 3.0 * n.sqrt() + 3.0 } else { strict_random_margin(n) }
}

/// Simulates a scenario; `random_margin` returns the margin for random variation above a budget.
fn simulate(scenario: &Scenario, random_margin: fn(f64) -> f64) -> SimulationResult {
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
            Balancer::new(settings(replica), seed).expect("the settings are valid")
        })
        .collect();
    let mut schedule = BinaryHeap::new();
    for (replica, balancer) in replicas.iter_mut().enumerate() {
        let mut actions = Vec::new();
        balancer.handle(Duration::ZERO, Event::Started, &mut actions);
        balancer.handle(Duration::ZERO, Event::List(ListUpdate::Snapshot(before.clone())), &mut actions);
        schedule.push(Reverse((micros(0.2 * rng.rand_float()), Scheduled::Maintenance(replica))));
        schedule.push(Reverse((
            micros(START_S + scenario.notify_delay_s * rng.rand_float()),
            Scheduled::Notified(replica),
        )));
    }
    schedule.push(Reverse((0, Scheduled::Arrival)));
    schedule.push(Reverse((micros(START_S + scenario.burst_after_s), Scheduled::Burst)));
    // Relative load of each replica.
    let shares: Vec<f64> = (0..scenario.replicas)
        .map(|replica| if replica % 5 == 0 && scenario.replicas > 4 { scenario.load_skew } else { 1.0 })
        .collect();
    let total: f64 = shares.iter().sum();
    let loaded = if warm > 0 { warm } else { scenario.upstreams };
    let base_rate = scenario.offered * f64::from(loaded) * scenario.capacity;
    // Times of the recent requests to each warm upstream, and of all requests to each one that is warming up.
    let mut recent: Vec<VecDeque<f64>> = vec![VecDeque::new(); scenario.upstreams as usize];
    let mut sent_warming_up: Vec<Vec<f64>> = vec![Vec::new(); scenario.warming_up as usize];
    let unreachable = scenario.warming_up + (f64::from(warm) * scenario.unreachable) as u32;
    let mut attempts: HashMap<RequestId, u32> = HashMap::new();
    let mut next = 0;
    let mut burst_started = false;
    let mut offered = 0;
    while let Some(Reverse((at, scheduled))) = schedule.pop() {
        let now = at as f64 / 1e6;
        if now > END_S {
            break;
        }
        let (replica, event) = match scheduled {
            Scheduled::Burst => {
                burst_started = true;
                continue;
            }
            Scheduled::Arrival => {
                let rate = base_rate * if burst_started { scenario.burst_multiple } else { 1.0 };
                let gap = -(1.0 - rng.rand_float()).ln() / rate;
                schedule.push(Reverse((at + micros(gap).max(1), Scheduled::Arrival)));
                let mut place = rng.rand_float() * total;
                let replica = shares
                    .iter()
                    .position(|share| {
                        place -= share;
                        place < 0.0
                    })
                    .unwrap_or(0);
                if scenario.lull && !burst_started && now > START_S - LULL_BEFORE_S {
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
            Scheduled::Maintenance(replica) => (replica, Event::MaintenanceDue),
            Scheduled::Notified(replica) => (replica, Event::List(ListUpdate::Delta(after.clone()))),
            Scheduled::Ended { replica, request, attempt, outcome, duration_us } => {
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
                    schedule.push(Reverse((at + span.as_micros() as u64, Scheduled::Maintenance(replica))));
                }
                Action::Send { request, upstream, .. } => {
                    let place = upstream.0 as usize;
                    let attempt = *attempts.entry(request).and_modify(|attempt| *attempt += 1).or_insert(0);
                    let outcome = if upstream.0 < scenario.warming_up && now >= START_S {
                        sent_warming_up[place].push(now);
                        let window_start =
                            sent_warming_up[place].partition_point(|&at| at <= now - scenario.window_s);
                        let recently_sent = (sent_warming_up[place].len() - window_start) as f64;
                        u8::from(
                            recently_sent
                                > budget(scenario, (now - START_S).max(0.0)) / scenario.multiple + 2.0,
                        )
                    } else if burst_started && upstream.0 < unreachable {
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
                    let ended = Scheduled::Ended {
                        replica,
                        request: request.0,
                        attempt,
                        outcome,
                        duration_us: micros(duration),
                    };
                    schedule.push(Reverse((at + micros(duration), ended)));
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
            worst = worst.max((place + 1 - from) as f64 - (n + random_margin(n)));
        }
    }
    let sent = sent_warming_up.iter().flatten().filter(|&&at| at - START_S <= scenario.slow_start_s).count();
    SimulationResult { excess: worst, sent, offered }
}

/// Draws a random scenario with `replicas` replicas.
fn random(rng: &mut Rand64, replicas: u32) -> Scenario {
    let mut uniform = |low: f64, high: f64| low + (high - low) * rng.rand_float();
    let upstreams = uniform(6.0, 24.0) as u32;
    Scenario {
        replicas,
        upstreams,
        warming_up: (f64::from(upstreams) * uniform(0.05, 0.6)).max(1.0) as u32,
        capacity: 1.5 * uniform(0.0, 3.0).exp(),
        offered: uniform(0.2, 1.2),
        burst_multiple: uniform(1.0, 2.5),
        burst_after_s: uniform(-3.0, 8.0).max(0.0),
        load_skew: uniform(1.0, 5.0),
        unreachable: uniform(-0.5, 0.9).max(0.0),
        slow_start_min_fraction: uniform(0.1, 0.6),
        slow_start_s: uniform(3.0, 12.0),
        multiple: uniform(1.5, 3.0),
        window_s: uniform(1.0, 2.0),
        tier: uniform(0.0, 2.0) as usize,
        attempts: uniform(2.0, 5.0) as u32,
        notify_delay_s: uniform(0.0, 2.0),
        restarts: false,
        lull: false,
        seed: uniform(0.0, 1e9) as u64,
    }
}

/// Random scenarios with the same number of replicas.
struct Scenarios {
    /// Number of replicas in each scenario; also the seed from which the scenarios are drawn.
    replicas: u32,
    /// Number of scenarios.
    count: u32,
    /// Returns the margin for random variation above a budget.
    random_margin: fn(f64) -> f64,
    /// Adjusts each scenario after it was drawn.
    adjust: fn(&mut Scenario, &mut Rand64),
}

impl Scenarios {
    /// A thousand random scenarios, checked with the stricter margin.
    fn random(replicas: u32) -> Self {
        Self { replicas, count: 1000, random_margin: strict_random_margin, adjust: |_, _| {} }
    }

    /// Simulates the scenarios and checks that the load on an endpoint that is warming up exceeds its budget in no
    /// window by more than the margin for random variation. Returns the requests sent to the endpoints that are warming
    /// up, as a fraction of what they could serve once warm and as a fraction of the requests that arrived meanwhile.
    fn simulate(&self) -> (f64, f64) {
        let mut rng = Rand64::new(u128::from(self.replicas));
        let (mut used, mut sent, mut offered) = (0.0, 0, 0);
        for _ in 0..self.count {
            let mut scenario = random(&mut rng, self.replicas);
            (self.adjust)(&mut scenario, &mut rng);
            let result = simulate(&scenario, self.random_margin);
            assert!(
                result.excess <= 0.0,
                "expected no window over the budget, but one had {} requests too many in {scenario:?}",
                result.excess
            );
            used += result.sent as f64
                / (scenario.capacity * f64::from(scenario.warming_up) * scenario.slow_start_s);
            sent += result.sent;
            offered += result.offered;
        }
        let shares = (used / f64::from(self.count), sent as f64 / offered as f64);
        println!(
            "{} replicas: fractions of warm capacity and of offered requests sent: {shares:?}",
            self.replicas
        );
        shares
    }
}

/// Checks that endpoints that are warming up stay within their budget but still get a good part of what they can serve.
fn check_random_scenarios(replicas: u32) {
    let (used, _) = Scenarios::random(replicas).simulate();
    assert!(used > 0.15, "expected more than 0.15 of the warm capacity to be used, saw {used}");
}

#[test]
fn one_replica_keeps_the_budget_of_an_endpoint_warming_up() {
    check_random_scenarios(1);
}

#[test]
fn two_replicas_keep_the_budget_of_an_endpoint_warming_up() {
    check_random_scenarios(2);
}

#[test]
fn twenty_replicas_keep_the_budget_of_an_endpoint_warming_up() {
    check_random_scenarios(20);
}

#[test]
fn thirty_replicas_keep_the_budget_of_an_endpoint_warming_up() {
    check_random_scenarios(30);
}

/// Raises the capacity of the upstreams, so that each replica sees as many requests as in a deployment with a tenth of
/// the replicas.
fn raise_capacity(scenario: &mut Scenario, rng: &mut Rand64) {
    scenario.capacity *= 1.0 + 29.0 * rng.rand_float();
}

#[test]
fn nine_hundred_replicas_keep_the_budget_of_an_endpoint_warming_up() {
    let (used, _) = Scenarios { count: 40, adjust: raise_capacity, ..Scenarios::random(900) }.simulate();
    assert!(used > 0.15, "expected more than 0.15 of the warm capacity to be used, saw {used}");
}

/// Puts a lull before the start and makes the burst after it three times as high above the load before.
fn lull(scenario: &mut Scenario, _: &mut Rand64) {
    scenario.lull = true;
    scenario.burst_multiple = 1.0 + 3.0 * (scenario.burst_multiple - 1.0);
}

#[test]
fn a_burst_after_a_lull_keeps_the_budget_of_an_endpoint_warming_up() {
    for replicas in [1, 2, 20, 30] {
        Scenarios { count: 500, adjust: lull, ..Scenarios::random(replicas) }.simulate();
    }
    let both = |scenario: &mut Scenario, rng: &mut Rand64| {
        lull(scenario, rng);
        raise_capacity(scenario, rng);
    };
    Scenarios { count: 20, adjust: both, ..Scenarios::random(900) }.simulate();
}

/// Makes all upstreams of the tier start together: in half of the scenarios as upstreams that are new to the replicas,
/// in the other half as restarts of upstreams that the replicas know as warm.
fn start_whole_tier(scenario: &mut Scenario, rng: &mut Rand64) {
    scenario.warming_up = scenario.upstreams;
    scenario.restarts = rng.rand_float() < 0.5;
    if scenario.restarts {
        // A replica that has not been notified of a restart yet cannot limit what it sends, so notify all at once.
        scenario.notify_delay_s = 0.0;
    }
}

#[test]
fn a_tier_that_warms_up_as_a_whole_gets_its_budget_and_no_more() {
    for replicas in [1, 2, 20, 30] {
        let (_, sent_fraction) =
            Scenarios { count: 500, adjust: start_whole_tier, random_margin, ..Scenarios::random(replicas) }
                .simulate();
        assert!(
            sent_fraction > 0.4,
            "expected more than 0.4 of the requests to be sent with {replicas} replicas, saw {sent_fraction}"
        );
    }
    let both = |scenario: &mut Scenario, rng: &mut Rand64| {
        start_whole_tier(scenario, rng);
        raise_capacity(scenario, rng);
    };
    let (_, sent_fraction) =
        Scenarios { count: 20, adjust: both, random_margin, ..Scenarios::random(900) }.simulate();
    // Most of the 900 replicas see less than one request per second for each upstream.
    assert!(
        sent_fraction > 0.2,
        "expected more than 0.2 of the requests to be sent with 900 replicas, saw {sent_fraction}"
    );
}

#[test]
fn an_outage_of_discovery_keeps_the_budget_of_an_endpoint_warming_up() {
    let adjust = |scenario: &mut Scenario, rng: &mut Rand64| scenario.notify_delay_s = 8.0 * rng.rand_float();
    for replicas in [2, 20, 30] {
        Scenarios { count: 500, adjust, ..Scenarios::random(replicas) }.simulate();
    }
}
