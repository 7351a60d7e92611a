//! Other quotas in a running replica: they apply at once or within seconds, and what was learned stays.

mod common;
#[path = "common/reconfigured.rs"]
mod reconfigured;

use std::time::Duration;

use balancer_policy::interface::*;
use balancer_policy::{Event, Settings};
use common::{Bench, class, millis, sent};
use reconfigured::bench;

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
