//! The suppressor, checked against the figures of the source page.

mod common;
#[path = "common/steady_rate.rs"]
mod steady_rate;

use balancer_policy::Settings;
use balancer_policy::interface::*;
use common::*;
use steady_rate::{admitted_fraction, ten_per_second};

#[test]
fn every_request_is_admitted_below_the_limit() {
    assert_eq!(admitted_fraction(&mut ten_per_second(), 8.0, 10.0, 60.0, Outcome::Success), 1.0);
}

/// The probabilities of the source page, limit divided by rate, hold while the window is at its soft limit. While
/// random variation keeps it below, every request is admitted, so the admitted fraction is slightly higher than on the
/// page.
#[test]
fn the_examples_of_the_source_page_hold() {
    for (rate, probability) in [(12.0, 0.833), (14.0, 0.714), (15.0, 0.667), (50.0, 0.2)] {
        let fraction = admitted_fraction(&mut ten_per_second(), rate, 5.0, 120.0, Outcome::Success);
        let over = fraction - probability;
        assert!(
            (-0.01..0.08).contains(&over),
            "{rate} requests per second: a fraction of {fraction} was admitted, expected {probability}"
        );
    }
}

#[test]
fn every_request_is_denied_above_the_hard_limit() {
    let fraction = admitted_fraction(&mut ten_per_second(), 400.0, 5.0, 20.0, Outcome::Success);
    assert_eq!(fraction, 0.0);
}

#[test]
fn a_denied_request_is_refused_unsent_and_does_not_count_as_accepted() {
    let mut bench = ten_per_second();
    let mut denied = 0;
    for _ in 0..200 {
        bench.advance(millis(10));
        let (_, actions) = bench.offer(Some(0));
        assert_ne!(sent_upstream(&actions).is_some(), is_refused(&actions));
        denied += u32::from(is_refused(&actions));
    }
    assert!(denied > 100);
    // If denied requests counted as accepted, the window would stay over its soft limit for ever.
    assert!(admitted_fraction(&mut bench, 9.5, 4.0, 20.0, Outcome::Success) > 0.95);
}

/// Guards against overload in the first seconds. Every replica of a new fleet admitted too many requests while its
/// window was filling, which overloaded the servers.
#[test]
fn a_new_replica_does_not_admit_a_whole_window_at_once() {
    let mut bench = ten_per_second();
    let first_second = admitted_fraction(&mut bench, 50.0, 0.0, 1.0, Outcome::Success) * 50.0;
    // One second of the limit, and what is admitted while the count of the last second fills. A whole window would
    // admit 35 requests.
    assert!(
        first_second <= 28.0,
        "{first_second} requests admitted in the first second, expected at most 28"
    );
}

/// Guards against rounding up a soft limit of less than one request. With 644 replicas, a soft limit of a third of a
/// request per window admitted a whole request per window.
#[test]
fn a_limit_of_less_than_one_request_per_window_holds() {
    let mut settings = Settings::single_zone(vec![class(Idempotency::Idempotent)]);
    settings.replicas = 400;
    settings.tenants = vec![Tenant { quota: Some(20.0) }];
    settings.over_quota_weight = 0.0;
    let mut bench = Bench::new(settings, 5, (0..4).map(member).collect());
    // The replica's part of the quota is 0.05 requests per second, 0.11 with the margin for random variation.
    let fraction = admitted_fraction(&mut bench, 1.0, 10.0, 400.0, Outcome::Success);
    assert!(fraction < 0.3, "{fraction} requests per second admitted, expected less than 0.3");
}

/// Guards against a threshold that is sampled for each request. In an overload, clients that retried at once got a new
/// sample each time, until nearly every fraction of a request was admitted as a whole request.
#[test]
fn retries_do_not_raise_the_chance_of_a_fractional_request() {
    let mut settings = Settings::single_zone(vec![class(Idempotency::Idempotent)]);
    settings.replicas = 100;
    settings.tenants = vec![Tenant { quota: Some(4.0) }; 4];
    settings.over_quota_weight = 0.0;
    let (mut passed, replicas) = (0, 40);
    for seed in 0..replicas {
        let mut bench = Bench::new(settings.clone(), seed, (0..4).map(member).collect());
        for call in 0..200 {
            bench.advance(millis(50));
            let (id, actions) = bench.offer(Some(call % 4));
            if sent_upstream(&actions).is_some() {
                passed += 1;
                bench.end_attempt(id, 0, Outcome::Success, millis(20));
            }
        }
    }
    // The quotas allow 0.16 requests per second. With a threshold sampled for each request, 0.64 were admitted.
    let rate = f64::from(passed) / replicas as f64 / 10.0;
    assert!(rate < 0.4, "{rate} requests per second admitted by each replica, expected less than 0.4");
}
