//! Limits of a replica that is one of many: it sees few requests, and may receive more of them than other replicas.

mod common;
#[path = "common/steady_rate.rs"]
mod steady_rate;

use balancer_policy::interface::*;
use balancer_policy::{Event, Settings};
use common::*;
use steady_rate::admitted_fraction;

/// Guards against refusals by a replica that happens to have many clients. With fifty fronts, five of them received
/// several times the mean load and denied two of three requests while the tier was not overloaded. With two replicas
/// the same excess at one of them means that the tier is overloaded.
#[test]
fn one_of_many_replicas_admits_several_times_its_part_of_the_quota() {
    let admitted_by_one_of = |replicas: u32| {
        let mut settings = Settings::single_zone(vec![class(Idempotency::Idempotent)]);
        settings.replicas = replicas;
        settings.tenants = vec![Tenant { quota: Some(10.0 * f64::from(replicas)) }; 2];
        settings.over_quota_weight = 0.2;
        let mut bench = Bench::new(settings, 5, (0..4).map(member).collect());
        admitted_fraction(&mut bench, 30.0, 5.0, 60.0, Outcome::Success)
    };
    let (many, few) = (admitted_by_one_of(50), admitted_by_one_of(2));
    assert!(many > 0.99, "expected one of fifty replicas to admit above 0.99, saw {many}");
    assert!(few < 0.6, "expected one of two replicas to admit below 0.6, saw {few}");
}

/// Guards against congestion that is detected in random variation alone. With a hundred balancers, fronts that saw some
/// twenty requests per second detected congestion because a few widely varying latencies average out slowly, and denied
/// requests beyond their part of the quota while the tier was not overloaded. The latencies here are spread as widely,
/// around an unchanged median.
#[test]
fn few_requests_of_widely_varying_latency_are_not_taken_for_congestion() {
    let mut settings = Settings::single_zone(vec![class(Idempotency::Idempotent)]);
    settings.replicas = 20;
    settings.tenants = vec![Tenant { quota: Some(6.0 * 20.0) }; 2];
    settings.over_quota_weight = 0.2;
    let mut bench = Bench::new(settings, 5, (0..8).map(member).collect());
    let mut durations = durations(0, 1.0);
    let (mut offered, mut admitted_count) = (0, 0);
    for request_index in 0..1800 {
        bench.advance(millis(50));
        let (id, actions) = bench.offer(Some(request_index % 2));
        offered += u32::from(request_index >= 200);
        if sent_upstream(&actions).is_some() {
            admitted_count += u32::from(request_index >= 200);
            bench.end_attempt(id, 0, Outcome::Success, millis(durations(150)));
        }
    }
    // Twenty requests per second are 1 2/3 times this replica's part of the quotas. One of twenty replicas may happen
    // to receive that many.
    let part = f64::from(admitted_count) / f64::from(offered);
    assert!(part > 0.85, "expected above 0.85 admitted without congestion, saw {part}");
}

/// Returns a deterministic generator of request durations in milliseconds. The logarithms of the durations are spread
/// by about `log_spread` around the logarithm of the middle value that is passed to the generator.
fn durations(seed: u64, log_spread: f64) -> impl FnMut(u64) -> u64 {
    let mut state = 0x9e37_79b9_7f4a_7c15_u64 ^ seed.wrapping_mul(0x2545_f491_4f6c_dd1d);
    move |middle| {
        let sum: f64 = (0..4)
            .map(|_| {
                state ^= state << 13;
                state ^= state >> 7;
                state ^= state << 17;
                (state >> 11) as f64 / (1u64 << 53) as f64
            })
            .sum();
        (middle as f64 * ((sum - 2.0) * 1.7 * log_spread).exp()).clamp(5.0, 2900.0) as u64
    }
}

/// Offers `rate(second)` requests in each of `seconds` seconds and returns the number admitted in each second. A
/// request takes `duration(second)` milliseconds, or times out if that reaches its latency objective.
fn admitted_by_second(
    bench: &mut Bench,
    seconds: usize,
    rate: impl Fn(usize) -> u64,
    mut duration: impl FnMut(usize) -> u64,
) -> Vec<u64> {
    let (start, latency_objective) = (bench.now, millis(1000));
    let mut in_flight: Vec<(std::time::Duration, RequestId, std::time::Duration)> = Vec::new();
    (0..seconds)
        .map(|second| {
            let mut admitted_fraction = 0;
            for request_index in 0..rate(second) {
                let due = start + millis(1000 * second as u64 + 1000 * request_index / rate(second));
                // End the requests that are due before this one arrives, in the order of their ends.
                in_flight.sort_by_key(|&(end, ..)| std::cmp::Reverse(end));
                while let Some((end, id, span)) = in_flight.pop_if(|&mut (end, ..)| end <= due) {
                    bench.advance(end.saturating_sub(bench.now));
                    let outcome = if span < latency_objective { Outcome::Success } else { Outcome::TimedOut };
                    bench.end_attempt(id, 0, outcome, span);
                }
                bench.advance(due.saturating_sub(bench.now));
                let (id, actions) = bench.offer(Some(request_index as usize % 2));
                if sent_upstream(&actions).is_some() {
                    admitted_fraction += 1;
                    let span = millis(duration(second)).min(latency_objective);
                    in_flight.push((due + span, id, span));
                }
            }
            admitted_fraction
        })
        .collect()
}

/// One replica of fifty, whose part of the quota of each of two tenants is `part` requests per second.
fn one_of_fifty(seed: u64, part: f64) -> Bench {
    let mut settings = Settings::single_zone(vec![class(Idempotency::NotIdempotent)]);
    settings.replicas = 50;
    settings.tenants = vec![Tenant { quota: Some(part * 50.0) }; 2];
    settings.over_quota_weight = 0.2;
    Bench::new(settings, seed, (0..8).map(member).collect())
}

/// Guards against a baseline latency that is learned from too few requests. With three hundred balancers, a replica
/// that received three times its part of the quota took the latency of its first few requests, which happened to be
/// short, for the baseline, and cut its limit to its part within seconds of its start.
#[test]
fn the_first_requests_of_a_new_replica_do_not_cause_congestion() {
    let denied: u64 = (0..40)
        .map(|seed| {
            let mut durations = durations(seed, 0.8);
            let admitted_fraction =
                admitted_by_second(&mut one_of_fifty(seed, 15.0), 5, |_| 60, |_| durations(150));
            300 - admitted_fraction.iter().sum::<u64>()
        })
        .sum();
    assert!(denied < 120, "expected below 120 of 12000 requests denied without congestion, saw {denied}");
}

/// Guards against lost capacity that is subtracted at each decrease. With three hundred balancers and half of a tier
/// gone, each decrease halved the limit of all tenants once more, and in light congestion a replica that received three
/// times its part of the quota fell to its part within two decreases.
#[test]
fn lost_capacity_is_subtracted_from_the_limit_once() {
    let admitted_fraction: u64 = (0..10)
        .map(|seed| {
            let mut bench = one_of_fifty(seed, 20.0);
            let admitted_before = admitted_by_second(&mut bench, 20, |_| 60, |_| 100);
            assert_eq!(admitted_before.iter().sum::<u64>(), 1200);
            bench.report(Event::List(ListUpdate::Snapshot((0..4).map(member).collect())));
            // Requests take half as long again until the congestion has been detected, then their usual time.
            let duration = |second| if second < 2 { 150 } else { 100 };
            admitted_by_second(&mut bench, 6, |_| 60, duration)[2..].iter().sum::<u64>()
        })
        .sum();
    assert!(
        admitted_fraction > 1200,
        "expected above 1200 of 2400 requests admitted after a short congestion, saw {admitted_fraction}"
    );
}

/// Guards against a decrease that causes the next one. With three hundred balancers, only the slow requests of those
/// admitted before a decrease were still to end after it, which caused another decrease, and a replica that received
/// three times its part of the quota fell to its part while its upstreams were not overloaded.
#[test]
fn slow_requests_admitted_before_a_decrease_do_not_cause_the_next() {
    let admitted_fraction: u64 = (0..10)
        .map(|seed| {
            let mut bench = one_of_fifty(seed, 15.0);
            let mut request_index = 0;
            // In the first second of the burst every third request is slow, but still served in time.
            let duration = |second| {
                request_index += 1;
                if second == 20 && request_index % 3 == 0 { 950 } else { 100 }
            };
            let rate = |second| if second < 20 { 45 } else { 85 };
            admitted_by_second(&mut bench, 24, rate, duration)[21..].iter().sum::<u64>()
        })
        .sum();
    assert!(
        admitted_fraction > 930,
        "expected above 930 of 2550 requests admitted after a burst that was slow at first, saw {admitted_fraction}"
    );
}
