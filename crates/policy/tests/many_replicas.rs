//! Limits of one of many replicas: it sees few calls, and may be dealt more of them than others.

#[path = "common/calls.rs"]
mod calls;
mod common;

use balancer_policy::interface::*;
use balancer_policy::{Event, Settings};
use calls::admitted;
use common::*;

/// Found on days with fifty fronts: five of them were dealt several times the mean of clients, and denied two in
/// three while the tier was at ease. Of two replicas, one that sees as much means that there is too much.
#[test]
fn one_of_many_replicas_may_be_dealt_several_quotas() {
    let admitted_by_one_of = |replicas: u32| {
        let mut settings = Settings::single_zone(vec![class(Idempotency::Idempotent)]);
        settings.replicas = replicas;
        settings.tenants = vec![Tenant { quota: Some(10.0 * f64::from(replicas)) }; 2];
        settings.over_quota_weight = 0.2;
        let mut bench = Bench::new(settings, 5, (0..4).map(member).collect());
        admitted(&mut bench, 30.0, 5.0, 60.0, Outcome::Success)
    };
    let (many, few) = (admitted_by_one_of(50), admitted_by_one_of(2));
    assert!(many > 0.99, "one of fifty admitted {many}");
    assert!(few < 0.6, "one of two admitted {few}");
}

/// Found on days with a hundred balancers: fronts that saw some twenty calls a second met congestion by chance
/// alone, as few calls that differ by far average out slowly, and denied the clients they were dealt over their
/// parts while the tier was at ease. Calls here take their usual times throughout, spread as on those days.
#[test]
fn few_calls_that_differ_by_far_are_no_congestion() {
    let mut settings = Settings::single_zone(vec![class(Idempotency::Idempotent)]);
    settings.replicas = 20;
    settings.tenants = vec![Tenant { quota: Some(6.0 * 20.0) }; 2];
    settings.over_quota_weight = 0.2;
    let mut bench = Bench::new(settings, 5, (0..8).map(member).collect());
    let mut spread = spread(0, 1.0);
    let (mut offered, mut passed) = (0, 0);
    for call in 0..1800 {
        bench.pass(millis(50));
        let (id, actions) = bench.offer(Some(call % 2));
        offered += u32::from(call >= 200);
        if sent(&actions).is_some() {
            passed += u32::from(call >= 200);
            bench.end(id, 0, Outcome::Success, millis(spread(150)));
        }
    }
    // Twenty calls a second are a part and two thirds of this replica's: one of twenty may be dealt that many.
    let part = f64::from(passed) / f64::from(offered);
    assert!(part > 0.85, "{part} admitted while nothing was congested");
}

/// A fixed stream of times that calls take, in milliseconds: their logs are spread by about `wide`
/// around that of the given middle.
fn spread(seed: u64, wide: f64) -> impl FnMut(u64) -> u64 {
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
        (middle as f64 * ((sum - 2.0) * 1.7 * wide).exp()).clamp(5.0, 2900.0) as u64
    }
}

/// Lets `rate(t)` calls a second into a replica of many for `seconds`, each ending when `duration` says, late ones
/// timed out at their latency objective; the calls admitted in each second.
fn admitted_by_second(
    bench: &mut Bench,
    seconds: usize,
    rate: impl Fn(usize) -> u64,
    mut duration: impl FnMut(usize) -> u64,
) -> Vec<u64> {
    let (start, latency_objective) = (bench.now, millis(1000));
    let mut out: Vec<(std::time::Duration, RequestId, std::time::Duration)> = Vec::new();
    (0..seconds)
        .map(|second| {
            let mut admitted = 0;
            for call in 0..rate(second) {
                let due = start + millis(1000 * second as u64 + 1000 * call / rate(second));
                // Calls end in the order of their ends, between those that come.
                out.sort_by_key(|&(end, ..)| std::cmp::Reverse(end));
                while let Some((end, id, span)) = out.pop_if(|&mut (end, ..)| end <= due) {
                    bench.pass(end.saturating_sub(bench.now));
                    let outcome = if span < latency_objective { Outcome::Success } else { Outcome::TimedOut };
                    bench.end(id, 0, outcome, span);
                }
                bench.pass(due.saturating_sub(bench.now));
                let (id, actions) = bench.offer(Some(call as usize % 2));
                if sent(&actions).is_some() {
                    admitted += 1;
                    let span = millis(duration(second)).min(latency_objective);
                    out.push((due + span, id, span));
                }
            }
            admitted
        })
        .collect()
}

/// One replica of fifty whose two tenants have a quota of `part` calls a second each.
fn one_of_fifty(seed: u64, part: f64) -> Bench {
    let mut settings = Settings::single_zone(vec![class(Idempotency::NotIdempotent)]);
    settings.replicas = 50;
    settings.tenants = vec![Tenant { quota: Some(part * 50.0) }; 2];
    settings.over_quota_weight = 0.2;
    Bench::new(settings, seed, (0..8).map(member).collect())
}

/// Found on days with three hundred balancers: a replica dealt three parts took its first few calls, short ones by
/// chance, for the usual latency, and cut its limit to one part within seconds of its start.
#[test]
fn the_first_calls_of_a_fresh_replica_are_no_measure_of_congestion() {
    let denied: u64 = (0..40)
        .map(|seed| {
            let mut spread = spread(seed, 0.8);
            let admitted = admitted_by_second(&mut one_of_fifty(seed, 15.0), 5, |_| 60, |_| spread(150));
            300 - admitted.iter().sum::<u64>()
        })
        .sum();
    assert!(denied < 120, "{denied} of 12000 denied while nothing was congested");
}

/// Found on days with three hundred balancers: where half of a tier was gone, each decrease took that half off the
/// limit of all tenants once more, and in mild congestion a replica dealt three parts fell to one within two decreases.
#[test]
fn a_lost_part_of_the_tier_is_subtracted_once() {
    let admitted: u64 = (0..10)
        .map(|seed| {
            let mut bench = one_of_fifty(seed, 20.0);
            let calm = admitted_by_second(&mut bench, 20, |_| 60, |_| 100);
            assert_eq!(calm.iter().sum::<u64>(), 1200);
            bench.tell(Event::List(ListUpdate::Snapshot((0..4).map(member).collect())));
            // Slower by half until that has been noticed, then as usual.
            let duration = |second| if second < 2 { 150 } else { 100 };
            admitted_by_second(&mut bench, 6, |_| 60, duration)[2..].iter().sum::<u64>()
        })
        .sum();
    assert!(admitted > 1200, "{admitted} of 2400 admitted after a short congestion");
}

/// Found on days with three hundred balancers: a decrease left only the slow calls of those before it to end, which
/// called for the next decrease, and a replica dealt three parts fell to one while its upstreams were at ease.
#[test]
fn the_slow_calls_before_a_decrease_do_not_cause_the_next() {
    let admitted: u64 = (0..10)
        .map(|seed| {
            let mut bench = one_of_fifty(seed, 15.0);
            let mut call = 0;
            // In the first second of the burst every third call is slow, but comes.
            let duration = |second| {
                call += 1;
                if second == 20 && call % 3 == 0 { 950 } else { 100 }
            };
            let rate = |second| if second < 20 { 45 } else { 85 };
            admitted_by_second(&mut bench, 24, rate, duration)[21..].iter().sum::<u64>()
        })
        .sum();
    assert!(admitted > 930, "{admitted} of 2550 admitted after a burst that was slow at first");
}
