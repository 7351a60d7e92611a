//! Cold upstreams under the sum of what many copies send: the copies share nothing, so that each one's ramp has to
//! make the sum hold. Everything runs in virtual time.

mod common;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

use balancer_policy::interface::*;
use balancer_policy::{Action, Balancer, Event, Settings};
use common::*;
use oorandom::Rand64;

/// A deployment and a day for it.
#[derive(Debug, Clone)]
struct Day {
    replicas: u32,
    upstreams: u32,
    /// Upstreams that start cold together.
    cold: u32,
    /// Requests a second that a warm upstream serves.
    capacity: f64,
    /// Requests offered before the start, in parts of what the warm tier can serve.
    offered: f64,
    /// How many times that comes from some seconds after the start on.
    burst: f64,
    burst_after_s: f64,
    /// How many times the mean one copy of five is dealt.
    uneven: f64,
    /// Part of the warm upstreams that can't be reached from then on.
    lost: f64,
    slow_start_min_fraction: f64,
    cold_s: f64,
    multiple: f64,
    window_s: f64,
    tier: usize,
    attempts: u32,
    /// Copies hear of it up to this long after; long where discovery was out of reach.
    late_s: f64,
    /// Upstreams that start cold were there before, warm and under the same names.
    restarts: bool,
    /// No requests come from some seconds before the start until the burst.
    lull: bool,
    seed: u64,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Arrival,
    Sweep(usize),
    Burst,
    Told(usize),
    Ended { copy: usize, request: u64, attempt: u32, outcome: u8, took_us: u64 },
}

const OUTCOMES: [Outcome; 3] = [Outcome::Success, Outcome::Refused, Outcome::ConnectFailed];
/// When the cold ones start, and when the day ends.
const START_S: f64 = 12.0;
const END_S: f64 = 24.0;
/// How long before the start a lull begins.
const LULL_BEFORE_S: f64 = 1.0;
/// A request's time at an upstream.
const TOOK_S: f64 = 0.05;

fn micros(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}

/// The least number of requests with which a cold upstream may fall, over the window that ends at its age.
fn budget(day: &Day, age: f64) -> f64 {
    let warmth = |age: f64| {
        (day.slow_start_min_fraction + (1.0 - day.slow_start_min_fraction) * age / day.cold_s).min(1.0)
    };
    let steps = 20;
    let mean: f64 = (0..steps)
        .map(|step| warmth((age - day.window_s * f64::from(step) / f64::from(steps)).max(0.0)))
        .sum::<f64>()
        / f64::from(steps);
    day.multiple * mean * day.capacity * day.window_s
}

/// What a day showed.
struct Played {
    /// By how much the busiest window of a cold upstream went over its budget and the chance above it; negative under it.
    over: f64,
    /// Requests that the cold ones were sent while cold.
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

fn play(day: &Day, chance: fn(f64) -> f64) -> Played {
    let mut rng = Rand64::new(u128::from(day.seed));
    let settings = |copy: u32| {
        let mut settings = Settings::single_zone(vec![class(Idempotency::Idempotent)]);
        settings.replica_index = copy;
        settings.replicas = day.replicas;
        settings.tier = day.tier;
        settings.permissions.max_attempts = day.attempts;
        settings.rules.slow_start_min_fraction = day.slow_start_min_fraction;
        settings.rules.slow_start_window = Duration::from_secs_f64(day.cold_s);
        settings.rules.overload_multiple = day.multiple;
        settings.rules.overload_window = Duration::from_secs_f64(day.window_s);
        settings
    };
    let warm = day.upstreams - day.cold;
    let first_before = if day.restarts { 0 } else { day.cold };
    let before: Vec<Member> = (first_before..day.upstreams).map(member).collect();
    let started = Duration::from_secs_f64(START_S);
    let after: Vec<Member> =
        (0..day.cold).map(|id| Member { started: Some(started), ..member(id) }).collect();
    let mut replicas: Vec<Balancer> = (0..day.replicas)
        .map(|copy| {
            let seed = rng.rand_u64();
            Balancer::new(settings(copy), seed).expect("the settings make sense")
        })
        .collect();
    let mut due = BinaryHeap::new();
    for (copy, balancer) in replicas.iter_mut().enumerate() {
        let mut actions = Vec::new();
        balancer.handle(Duration::ZERO, Event::Started, &mut actions);
        balancer.handle(Duration::ZERO, Event::List(ListUpdate::Snapshot(before.clone())), &mut actions);
        due.push(Reverse((micros(0.2 * rng.rand_float()), Due::Sweep(copy))));
        due.push(Reverse((micros(START_S + day.late_s * rng.rand_float()), Due::Told(copy))));
    }
    due.push(Reverse((0, Due::Arrival)));
    due.push(Reverse((micros(START_S + day.burst_after_s), Due::Burst)));
    // What each copy is dealt.
    let parts: Vec<f64> = (0..day.replicas)
        .map(|copy| if copy % 5 == 0 && day.replicas > 4 { day.uneven } else { 1.0 })
        .collect();
    let all: f64 = parts.iter().sum();
    let loaded = if warm > 0 { warm } else { day.upstreams };
    let base = day.offered * f64::from(loaded) * day.capacity;
    // The recent requests of each warm upstream, and all of each cold one.
    let mut recent: Vec<VecDeque<f64>> = vec![VecDeque::new(); day.upstreams as usize];
    let mut sent_cold: Vec<Vec<f64>> = vec![Vec::new(); day.cold as usize];
    let lost = day.cold + (f64::from(warm) * day.lost) as u32;
    let mut attempts: HashMap<RequestId, u32> = HashMap::new();
    let mut next = 0;
    let mut begun = false;
    let mut offered = 0;
    while let Some(Reverse((at, what))) = due.pop() {
        let now = at as f64 / 1e6;
        if now > END_S {
            break;
        }
        let (copy, event) = match what {
            Due::Burst => {
                begun = true;
                continue;
            }
            Due::Arrival => {
                let rate = base * if begun { day.burst } else { 1.0 };
                let gap = -(1.0 - rng.rand_float()).ln() / rate;
                due.push(Reverse((at + micros(gap).max(1), Due::Arrival)));
                let mut place = rng.rand_float() * all;
                let copy = parts
                    .iter()
                    .position(|part| {
                        place -= part;
                        place < 0.0
                    })
                    .unwrap_or(0);
                if day.lull && !begun && now > START_S - LULL_BEFORE_S {
                    continue;
                }
                next += 1;
                offered += usize::from((START_S..START_S + day.cold_s).contains(&now));
                let request = Request {
                    id: RequestId(next),
                    class: ClassId(0),
                    tenant: None,
                    subject: None,
                    time_left: millis(3000),
                    expected_work: None,
                    is_client_retry: false,
                };
                (copy, Event::Request(request))
            }
            Due::Sweep(copy) => (copy, Event::MaintenanceDue),
            Due::Told(copy) => (copy, Event::List(ListUpdate::Delta(after.clone()))),
            Due::Ended { copy, request, attempt, outcome, took_us } => {
                let outcome = OUTCOMES[usize::from(outcome)];
                let event = Event::AttemptEnded {
                    request: RequestId(request),
                    attempt: AttemptNumber(attempt),
                    outcome,
                    duration: Duration::from_micros(took_us),
                    connect_wait: Duration::ZERO,
                    finished: outcome == Outcome::Success,
                    load: None,
                };
                (copy, event)
            }
        };
        let mut actions = Vec::new();
        replicas[copy].handle(Duration::from_micros(at), event, &mut actions);
        for action in actions {
            match action {
                Action::ScheduleMaintenance(span) => {
                    due.push(Reverse((at + span.as_micros() as u64, Due::Sweep(copy))));
                }
                Action::Send { request, upstream, .. } => {
                    let place = upstream.0 as usize;
                    let attempt = *attempts.entry(request).and_modify(|attempt| *attempt += 1).or_insert(0);
                    let outcome = if upstream.0 < day.cold && now >= START_S {
                        sent_cold[place].push(now);
                        let within = sent_cold[place].partition_point(|&at| at <= now - day.window_s);
                        let got = (sent_cold[place].len() - within) as f64;
                        u8::from(got > budget(day, (now - START_S).max(0.0)) / day.multiple + 2.0)
                    } else if begun && upstream.0 < lost {
                        2
                    } else {
                        // It serves what it can within a second, and turns the rest away.
                        while recent[place].front().is_some_and(|&at| at < now - 1.0) {
                            recent[place].pop_front();
                        }
                        let full = recent[place].len() as f64 >= day.capacity + 2.0;
                        if !full {
                            recent[place].push_back(now);
                        }
                        u8::from(full)
                    };
                    let duration = if outcome == 0 { TOOK_S } else { 0.002 };
                    let ended =
                        Due::Ended { copy, request: request.0, attempt, outcome, took_us: micros(duration) };
                    due.push(Reverse((at + micros(duration), ended)));
                }
                _ => {}
            }
        }
    }
    let mut worst = f64::MIN;
    for sends in &sent_cold {
        for (place, &end) in sends.iter().enumerate() {
            let age = end - START_S;
            if age > day.cold_s {
                break;
            }
            let from = sends.partition_point(|&at| at <= end - day.window_s);
            let n = budget(day, age);
            worst = worst.max((place + 1 - from) as f64 - (n + chance(n)));
        }
    }
    let sent = sent_cold.iter().flatten().filter(|&&at| at - START_S <= day.cold_s).count();
    Played { over: worst, sent, offered }
}

fn drawn(rng: &mut Rand64, replicas: u32) -> Day {
    let mut between = |low: f64, high: f64| low + (high - low) * rng.rand_float();
    let upstreams = between(6.0, 24.0) as u32;
    Day {
        replicas,
        upstreams,
        cold: (f64::from(upstreams) * between(0.05, 0.6)).max(1.0) as u32,
        capacity: 1.5 * between(0.0, 3.0).exp(),
        offered: between(0.2, 1.2),
        burst: between(1.0, 2.5),
        burst_after_s: between(-3.0, 8.0).max(0.0),
        uneven: between(1.0, 5.0),
        lost: between(-0.5, 0.9).max(0.0),
        slow_start_min_fraction: between(0.1, 0.6),
        cold_s: between(3.0, 12.0),
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

/// Many days of one kind.
struct Days {
    replicas: u32,
    count: u32,
    chance: fn(f64) -> f64,
    /// What of a drawn day is otherwise.
    change: fn(&mut Day, &mut Rand64),
}

impl Days {
    fn drawn(replicas: u32) -> Self {
        Self { replicas, count: 1000, chance: strict_chance, change: |_, _| {} }
    }

    /// Plays them: in no window may the sum go over what the rule puts down to chance. Tells the part that the cold ones
    /// got of what they could do once warm, and the part of the requests that came meanwhile.
    fn play(&self) -> (f64, f64) {
        let mut rng = Rand64::new(u128::from(self.replicas));
        let (mut used, mut sent, mut offered) = (0.0, 0, 0);
        for _ in 0..self.count {
            let mut day = drawn(&mut rng, self.replicas);
            (self.change)(&mut day, &mut rng);
            let played = play(&day, self.chance);
            assert!(played.over <= 0.0, "{} over the budget on {day:?}", played.over);
            used += played.sent as f64 / (day.capacity * f64::from(day.cold) * day.cold_s);
            sent += played.sent;
            offered += played.offered;
        }
        let parts = (used / f64::from(self.count), sent as f64 / offered as f64);
        println!("{} {parts:?}", self.replicas);
        parts
    }
}

/// The cold ones get a fair part of what they can do all the same.
fn many_days(replicas: u32) {
    let (used, _) = Days::drawn(replicas).play();
    assert!(used > 0.15, "the cold ones got {used} of what they could do once warm");
}

#[test]
fn one_copy_keeps_the_budget_of_a_cold_upstream() {
    many_days(1);
}

#[test]
fn two_copies_keep_the_budget_of_a_cold_upstream() {
    many_days(2);
}

#[test]
fn twenty_copies_keep_the_budget_of_a_cold_upstream() {
    many_days(20);
}

#[test]
fn thirty_copies_keep_the_budget_of_a_cold_upstream() {
    many_days(30);
}

/// Upstreams for as many requests at each copy as where there are a tenth of the copies.
fn large(day: &mut Day, rng: &mut Rand64) {
    day.capacity *= 1.0 + 29.0 * rng.rand_float();
}

#[test]
fn nine_hundred_copies_keep_the_budget_of_a_cold_upstream() {
    let (used, _) = Days { count: 40, change: large, ..Days::drawn(900) }.play();
    assert!(used > 0.15, "the cold ones got {used} of what they could do once warm");
}

fn lull(day: &mut Day, _: &mut Rand64) {
    day.lull = true;
    day.burst = 1.0 + 3.0 * (day.burst - 1.0);
}

#[test]
fn a_burst_after_a_lull_keeps_the_budget_of_a_cold_upstream() {
    for replicas in [1, 2, 20, 30] {
        Days { count: 500, change: lull, ..Days::drawn(replicas) }.play();
    }
    let both = |day: &mut Day, rng: &mut Rand64| {
        lull(day, rng);
        large(day, rng);
    };
    Days { count: 20, change: both, ..Days::drawn(900) }.play();
}

/// The whole tier starts, with copies that know nothing or, where it restarts, knew it warm.
fn all_cold(day: &mut Day, rng: &mut Rand64) {
    day.cold = day.upstreams;
    day.restarts = rng.rand_float() < 0.5;
    if day.restarts {
        // What is sent by copies that have not heard of the start yet is not theirs to hold back.
        day.late_s = 0.0;
    }
}

#[test]
fn a_tier_that_is_cold_as_a_whole_gets_its_budget_and_no_more() {
    for replicas in [1, 2, 20, 30] {
        let (_, served) = Days { count: 500, change: all_cold, chance, ..Days::drawn(replicas) }.play();
        assert!(served > 0.4, "{replicas} copies sent {served} of the requests");
    }
    let both = |day: &mut Day, rng: &mut Rand64| {
        all_cold(day, rng);
        large(day, rng);
    };
    let (_, served) = Days { count: 20, change: both, chance, ..Days::drawn(900) }.play();
    // Most of them see less than a request a second for each upstream.
    assert!(served > 0.2, "900 copies sent {served} of the requests");
}

#[test]
fn an_outage_of_discovery_keeps_the_budget_of_a_cold_upstream() {
    let change = |day: &mut Day, rng: &mut Rand64| day.late_s = 8.0 * rng.rand_float();
    for replicas in [2, 20, 30] {
        Days { count: 500, change, ..Days::drawn(replicas) }.play();
    }
}
