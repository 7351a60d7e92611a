//! Quotas changed in a running replica: they apply at once or within seconds, and the limits keep what they have
//! adapted to.

mod common;
#[path = "common/reconfiguration_fixture.rs"]
mod reconfiguration_fixture;

use std::time::Duration;

use balancer_policy::interface::*;
use balancer_policy::{Event, Settings};
use common::{Bench, class, millis, sent_upstream};
use reconfiguration_fixture::bench;

/// Returns the current limits of the tenants and, last, the one of all tenants together, in requests per second.
fn limits(bench: &Bench) -> Vec<f64> {
    let stats_snapshot = bench.balancer.stats_snapshot();
    let (_, after) = stats_snapshot.split_once("limits ").expect("the stats snapshot lists the limits");
    let (rates, _) = after.split_once(',').expect("a comma follows the limits");
    rates.split(' ').map(|rate| rate.parse().expect("a limit is a number")).collect()
}

/// Settings with one class and with one tenant for each of the quotas.
fn quotas(quotas: &[Option<f64>]) -> Settings {
    let settings = Settings::single_zone(vec![class(Idempotency::Idempotent)]);
    let tenants = quotas.iter().map(|&quota| Tenant { quota }).collect();
    Settings { tenants, over_quota_weight: 0.1, ..settings }
}

/// Offers `rate` requests per second of a tenant for `seconds`, each answered after 10 ms, and returns how many per
/// second were admitted.
fn admitted_rate(bench: &mut Bench, tenant: usize, rate: f64, seconds: f64) -> f64 {
    let (mut admitted, count) = (0, (rate * seconds) as u32);
    let mut answers: Vec<(Duration, RequestId)> = Vec::new();
    for _ in 0..count {
        bench.advance(Duration::from_secs_f64(1.0 / rate));
        let due = answers.iter().take_while(|(at, _)| *at <= bench.now).count();
        for (_, id) in answers.drain(..due) {
            bench.end_attempt(id, 0, Outcome::Success, millis(10));
        }
        let (id, actions) = bench.offer(Some(tenant));
        if sent_upstream(&actions).is_some() {
            admitted += 1;
            answers.push((bench.now + millis(10), id));
        }
    }
    bench.advance(millis(20));
    for (_, id) in answers {
        bench.end_attempt(id, 0, Outcome::Success, millis(10));
    }
    f64::from(admitted) / seconds
}

/// Offers requests for 4 s while all upstreams refuse, so that the limits decrease.
fn overload(bench: &mut Bench) {
    for _ in 0..400 {
        bench.advance(millis(10));
        let (id, mut actions) = bench.offer(Some(0));
        let mut number = 0;
        while sent_upstream(&actions).is_some() {
            actions = bench.end_attempt(id, number, Outcome::Refused, millis(1));
            number += 1;
        }
    }
}

/// Guards against a lowered quota that takes effect late: half the quota applies from the next requests on, even if the
/// limit has adapted since the start.
#[test]
fn a_halved_quota_applies_at_once() {
    let mut bench = bench(quotas(&[Some(100.0), Some(50.0)]));
    let before = admitted_rate(&mut bench, 0, 300.0, 8.0);
    assert!(
        (85.0..150.0).contains(&before),
        "expected 85 to 150 requests/s under a quota of 100, saw {before}"
    );
    let old = limits(&bench);
    bench.report(Event::Reconfigured(quotas(&[Some(50.0), Some(50.0)])));
    let new = limits(&bench);
    assert!(
        new[0] <= old[0] * 0.51 && new[0] >= 45.0,
        "expected half the limit: {old:?} before, {new:?} after"
    );
    assert_eq!(new[1], old[1], "limit of the tenant whose quota did not change");
    let second = admitted_rate(&mut bench, 0, 300.0, 1.0);
    assert!(second <= 75.0, "expected at most 75 requests/s in the first second, saw {second}");
    let after = admitted_rate(&mut bench, 0, 300.0, 8.0);
    assert!(
        (40.0..75.0).contains(&after),
        "expected 40 to 75 requests/s under a quota of 50, saw {after} after {before}"
    );
}

/// Guards against a raised quota that takes minutes to apply: if the quota was small before, requests served in time
/// raise the limit too slowly, so the limit must rise with the quota.
#[test]
fn a_raised_quota_applies_within_seconds() {
    for (before, after) in [(50.0, 100.0), (1.0, 100.0)] {
        let mut bench = bench(quotas(&[Some(before), Some(50.0)]));
        let denied = admitted_rate(&mut bench, 0, 90.0, 8.0);
        assert!(denied < 80.0, "expected below 80 requests/s under a quota of {before}, saw {denied}");
        bench.report(Event::Reconfigured(quotas(&[Some(after), Some(50.0)])));
        admitted_rate(&mut bench, 0, 90.0, 5.0);
        let admitted = admitted_rate(&mut bench, 0, 90.0, 5.0);
        assert!(
            admitted > 80.0,
            "{admitted} of 90 requests/s admitted after the quota rose from {before} to {after}"
        );
    }
}

/// Guards an overloaded tier against a reconfiguration that lifts the decreased limits: a change of another setting
/// leaves a limit as it is, and a change of its quota keeps it at the same fraction of the quota.
#[test]
fn reconfiguration_keeps_the_decrease_of_a_limit() {
    let mut bench = bench(quotas(&[Some(100.0), Some(50.0)]));
    overload(&mut bench);
    let decreased = limits(&bench);
    assert!(decreased[0] < 60.0, "expected the overload to decrease the limit below 60, saw {decreased:?}");
    let mut other = quotas(&[Some(100.0), Some(50.0), Some(30.0)]);
    other.costs.cross_zone = 0.01;
    bench.report(Event::Reconfigured(other));
    let retained = limits(&bench);
    assert_eq!(retained[..2], decreased[..2]);
    assert!(
        retained[2] >= 30.0,
        "expected the limit of a new tenant to start at its quota, saw {retained:?}"
    );
    bench.report(Event::Reconfigured(quotas(&[Some(200.0), Some(50.0), Some(30.0)])));
    let raised = limits(&bench);
    assert!(
        (raised[0] / decreased[0] - 2.0).abs() < 0.05,
        "expected the limit to double with the quota: {decreased:?} before, {raised:?} after"
    );
    bench.report(Event::Reconfigured(quotas(&[Some(100.0), Some(50.0), Some(30.0)])));
    let restored = limits(&bench);
    assert!(
        (restored[0] - decreased[0]).abs() < 0.11,
        "expected the limit to return to {decreased:?}, saw {restored:?}"
    );
}

/// Guards changes between a limit with a quota and one without: a quota that is added limits the tenant from then on,
/// and one that is removed no longer does.
#[test]
fn a_quota_can_be_added_and_removed() {
    let mut bench = bench(quotas(&[None]));
    assert!(admitted_rate(&mut bench, 0, 200.0, 4.0) > 190.0);
    bench.report(Event::Reconfigured(quotas(&[Some(50.0)])));
    let limited = admitted_rate(&mut bench, 0, 200.0, 6.0);
    assert!(
        (40.0..75.0).contains(&limited),
        "expected 40 to 75 requests/s under a quota of 50, saw {limited}"
    );
    bench.report(Event::Reconfigured(quotas(&[None])));
    let free = admitted_rate(&mut bench, 0, 200.0, 4.0);
    assert!(free > 190.0, "expected above 190 of 200 requests/s without a quota, saw {free}");
}

/// Guards a replica that starts without tenants. Its only limit is the one of all tenants together, which must stay the
/// last one in the list when tenants are added.
#[test]
fn tenants_can_be_added_to_a_replica_without_tenants() {
    let mut bench = bench(quotas(&[]));
    let (early, actions) = bench.offer(None);
    assert!(sent_upstream(&actions).is_some());
    bench.report(Event::Reconfigured(quotas(&[Some(50.0), Some(20.0)])));
    bench.advance(millis(10));
    bench.end_attempt(early, 0, Outcome::Success, millis(10));
    let mut fresh = self::bench(quotas(&[Some(50.0), Some(20.0)]));
    for tenant in [0, 1] {
        let (limited, usual) =
            (admitted_rate(&mut bench, tenant, 200.0, 8.0), admitted_rate(&mut fresh, tenant, 200.0, 8.0));
        assert!(
            (limited / usual - 1.0).abs() < 0.1,
            "{limited} requests/s admitted, expected {usual} as by a new replica"
        );
    }
}

/// Guards against a removed tenant, whose quota is 0, that still counts in the limit of all tenants together.
#[test]
fn the_quota_of_a_removed_tenant_leaves_the_limit_of_all_tenants() {
    let mut bench = bench(quotas(&[Some(40.0), Some(60.0)]));
    let before = limits(&bench);
    bench.report(Event::Reconfigured(quotas(&[Some(40.0), Some(0.0)])));
    let after = limits(&bench);
    assert!(
        after[2] < before[2] * 0.5,
        "expected less than half the limit: {before:?} before, {after:?} after"
    );
    assert_eq!(after[0], before[0]);
}
