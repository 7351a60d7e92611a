//! The adaptive limit of a tenant: what lowers it, what does not, and how it rises again.

mod common;
#[path = "common/steady_rate.rs"]
mod steady_rate;

use balancer_policy::interface::*;
use balancer_policy::{Action, Event, Settings};
use common::*;
use steady_rate::{LATENCY_OBJECTIVE, admitted_fraction, ten_per_second};

/// Guards against a limit that stays low for ever. After a short time of long latencies had lowered it, a client that
/// retried at once kept its demand above the hard limit, and as every request was denied, none could show that the
/// congestion had ended.
#[test]
fn a_lowered_limit_recovers_while_clients_retry_at_once() {
    let mut settings = Settings::single_zone(vec![class(Idempotency::Idempotent)]);
    settings.tenants = vec![Tenant { quota: None }];
    let mut bench = Bench::new(settings, 5, (0..4).map(member).collect());
    assert_eq!(admitted_fraction(&mut bench, 5.0, 0.0, 30.0, Outcome::Success), 1.0);
    admitted_fraction(&mut bench, 5.0, 0.0, 10.0, Outcome::TimedOut);
    let after = admitted_fraction(&mut bench, 500.0, 15.0, 25.0, Outcome::Success);
    assert!(after > 0.0, "all requests were denied, expected some to be admitted");
}

/// A limit stays at the quota while few requests fail, falls below it in overload, and recovers afterwards.
#[test]
fn the_limit_falls_below_the_quota_only_in_overload_and_recovers() {
    let mut bench = ten_per_second();
    admitted_fraction(&mut bench, 9.5, 0.0, 20.0, Outcome::Success);
    let gap = millis(120);
    for call in 0..200 {
        bench.advance(gap);
        let (id, actions) = bench.offer(Some(0));
        assert!(sent_upstream(&actions).is_some(), "request {call} was denied within the quota");
        bench.end_attempt(id, 0, if call % 5 == 0 { Outcome::Reset } else { Outcome::Success }, millis(20));
    }
    let overloaded = admitted_fraction(&mut bench, 9.5, 15.0, 30.0, Outcome::TimedOut);
    assert!(overloaded < 0.5, "a fraction of {overloaded} was admitted in overload, expected less than 0.5");
    let after = admitted_fraction(&mut bench, 8.5, 15.0, 25.0, Outcome::Success);
    assert!(after > 0.95, "a fraction of {after} was admitted after the overload, expected more than 0.95");
}

/// Guards against limits that single refusals lower below the first tier, as happened at a deployment at low load. A
/// request denied there also fails the request of the tier above that it serves.
#[test]
fn single_refusals_do_not_lower_a_limit() {
    let mut settings = Settings::single_zone(vec![class(Idempotency::Idempotent)]);
    settings.tier = 1;
    settings.tenants = vec![Tenant { quota: Some(5.0) }];
    let mut bench = Bench::new(settings, 5, (0..4).map(member).collect());
    for call in 0..2000 {
        bench.advance(millis(20));
        let (id, mut actions) = bench.offer(Some(0));
        assert!(sent_upstream(&actions).is_some(), "request {call} was denied");
        let mut number = 0;
        if call % 10 == 0 {
            actions = bench.end_attempt(id, number, Outcome::Refused, millis(1));
            assert!(sent_upstream(&actions).is_some(), "request {call} was not sent to another upstream");
            number += 1;
        }
        bench.end_attempt(id, number, Outcome::Success, millis(20));
    }
}

/// Counts the requests denied out of 280, offered at 14 per second for 20 s, after the limit has risen well above the
/// tenant's quota. The first `refusals` attempts of every second request end with `outcome`, all others succeed after
/// `duration` milliseconds.
fn denied_of_280_requests(refusals: u32, outcome: Outcome, duration: u64) -> u32 {
    let mut settings = Settings::single_zone(vec![class(Idempotency::Idempotent)]);
    settings.tenants = vec![Tenant { quota: Some(25.0 / 3.0) }];
    let mut bench = Bench::new(settings, 5, (0..6).map(member).collect());
    admitted_fraction(&mut bench, 9.0, 0.0, 60.0, Outcome::Success);
    let mut denied = 0;
    for call in 0..280 {
        bench.advance(millis(71));
        let (id, mut actions) = bench.offer(Some(0));
        denied += u32::from(sent_upstream(&actions).is_none());
        let mut number = 0;
        while call % 2 == 0 && number < refusals && sent_upstream(&actions).is_some() {
            actions = bench.end_attempt(id, number, outcome, millis(1));
            number += 1;
        }
        if sent_upstream(&actions).is_some() {
            bench.end_attempt(id, number, Outcome::Success, millis(duration));
        }
    }
    denied
}

/// Guards against limits that decrease although all requests are served. In an incident a third of the connections
/// failed behind a broken link, the requests were served by other upstreams, yet the limits decreased.
#[test]
fn requests_served_by_another_upstream_do_not_lower_the_limit() {
    assert_eq!(denied_of_280_requests(0, Outcome::Refused, 20), 0);
    assert_eq!(denied_of_280_requests(1, Outcome::Refused, 20), 0);
    assert_eq!(denied_of_280_requests(1, Outcome::ConnectFailed, 20), 0);
}

/// Guards against refusals that have no effect on the limits. Servers refused two attempts in five, but as other
/// servers took the requests, the limits did not decrease.
#[test]
fn refusals_by_two_servers_in_a_row_lower_the_limit() {
    assert!(denied_of_280_requests(2, Outcome::Refused, 20) > 10);
}

/// A latency objective of four times the baseline latency is exceeded only after the servers have become unresponsive.
#[test]
fn requests_far_above_the_baseline_latency_lower_the_limit_within_their_latency_objective() {
    assert!(denied_of_280_requests(0, Outcome::Refused, 150) > 10);
}

/// The requests of a small tenant alone are too few to show an overload in time.
#[test]
fn an_overload_seen_by_one_tenant_lowers_all_limits() {
    let mut settings = Settings::single_zone(vec![class(Idempotency::Idempotent)]);
    settings.tenants = vec![Tenant { quota: Some(25.0 / 3.0) }, Tenant { quota: Some(100.0) }];
    settings.over_quota_weight = 0.0;
    let mut bench = Bench::new(settings, 5, (0..4).map(member).collect());
    admitted_fraction(&mut bench, 9.5, 0.0, 5.0, Outcome::Success);
    for _ in 0..2000 {
        bench.advance(millis(10));
        let (id, actions) = bench.offer(Some(1));
        if sent_upstream(&actions).is_some() {
            bench.end_attempt(id, 0, Outcome::TimedOut, LATENCY_OBJECTIVE);
        }
    }
    let small = admitted_fraction(&mut bench, 20.0, 0.0, 1.5, Outcome::Success);
    assert!(
        small < 0.6,
        "a fraction of {small} of the small tenant's requests was admitted in overload, expected less than 0.6"
    );
}

/// Guards against the margins for random variation of many small limits. In an incident they added up to a fifth more
/// than the tier could serve, and no tenant's limit fell below its own margin as long as congestion was short of
/// overload.
#[test]
fn in_congestion_all_tenants_together_are_limited_to_their_quotas() {
    let mut settings = Settings::single_zone(vec![class(Idempotency::Idempotent)]);
    settings.tenants = vec![Tenant { quota: Some(2.0) }; 6];
    settings.over_quota_weight = 0.0;
    let mut bench = Bench::new(settings, 5, (0..4).map(member).collect());
    let mut passed = [0, 0];
    for call in 0..3000 {
        bench.advance(millis(40));
        let (id, actions) = bench.offer(Some(call % 6));
        if sent_upstream(&actions).is_some() {
            passed[usize::from(call >= 1000)] += 1;
            let slow = call >= 1000 && call.is_multiple_of(5);
            let (outcome, duration) =
                if slow { (Outcome::TimedOut, LATENCY_OBJECTIVE) } else { (Outcome::Success, millis(20)) };
            bench.end_attempt(id, 0, outcome, duration);
        }
    }
    let (generous, congested) = (f64::from(passed[0]) / 40.0, f64::from(passed[1]) / 80.0);
    assert!(
        generous > 12.5,
        "{generous} requests per second admitted before any congestion, expected more than 12.5"
    );
    assert!(
        congested < generous - 0.7,
        "{congested} requests per second admitted in congestion and {generous} before; the quotas allow 12"
    );
}

/// Guards against quotas that stay the same when upstreams fail. In an incident a third of a tier failed, and the
/// others were overloaded.
#[test]
fn the_limits_fall_with_the_number_of_upstreams() {
    let mut settings = Settings::single_zone(vec![class(Idempotency::Idempotent)]);
    settings.tenants = vec![Tenant { quota: Some(20.0) }; 2];
    settings.over_quota_weight = 0.0;
    let mut bench = Bench::new(settings, 5, (0..8).map(member).collect());
    let run = |bench: &mut Bench| {
        let mut passed = 0;
        for call in 0..900 {
            bench.advance(millis(28));
            let (id, actions) = bench.offer(Some(call % 2));
            if sent_upstream(&actions).is_some() {
                passed += 1;
                bench.end_attempt(id, 0, Outcome::Success, millis(20));
            }
        }
        passed
    };
    run(&mut bench);
    assert_eq!(run(&mut bench), 900);
    bench.report(Event::List(ListUpdate::Snapshot((0..4).map(member).collect())));
    let passed = run(&mut bench);
    assert!(
        passed < 900 * 85 / 100,
        "{passed} of 900 requests admitted with half of the upstreams, expected fewer than 85%"
    );
}

/// Guards against learning the latency in congestion as the baseline. In an incident a replica that saw 200 requests
/// per second tripled its baseline within eight seconds, and the servers were overloaded.
#[test]
fn congestion_does_not_become_the_baseline_of_a_busy_replica() {
    let mut settings = Settings::single_zone(vec![class(Idempotency::Idempotent)]);
    settings.tenants = vec![Tenant { quota: Some(50.0) }; 2];
    settings.over_quota_weight = 0.0;
    let mut bench = Bench::new(settings, 5, (0..8).map(member).collect());
    let run = |bench: &mut Bench, calls: usize, duration: u64| {
        let mut passed = 0;
        for call in 0..calls {
            bench.advance(millis(10));
            let (id, actions) = bench.offer(Some(call % 2));
            if sent_upstream(&actions).is_some() {
                passed += 1;
                bench.end_attempt(id, 0, Outcome::Success, millis(duration));
            }
        }
        passed
    };
    run(&mut bench, 2000, 20);
    run(&mut bench, 1000, 60);
    let passed = run(&mut bench, 500, 60);
    assert!(passed < 400, "{passed} of 500 requests admitted in congestion, expected fewer than 400");
}

/// Guards against a baseline latency that falls during congestion. In a run of 45 minutes it was learned downwards ten
/// times as fast as upwards and fell to a third, so that requests with their usual latency counted as congestion from
/// then on.
#[test]
fn congestion_ends_once_latencies_are_back_at_the_baseline() {
    let mut bench = ten_per_second();
    // Durations in milliseconds that differ widely and follow each other in turn.
    let duration = [13, 135, 23, 243, 42, 437, 75];
    let mut run = |seconds: u64, tenths_of_usual: u64| {
        let mut passed = 0;
        for _ in 0..seconds * 8 {
            bench.advance(millis(125));
            let (id, actions) = bench.offer(Some(0));
            if sent_upstream(&actions).is_some() {
                passed += 1;
                bench.end_attempt(
                    id,
                    0,
                    Outcome::Success,
                    millis(duration[passed % 7] * tenths_of_usual / 10),
                );
            }
        }
        passed
    };
    assert_eq!(run(120, 10), 960);
    let passed = run(120, 16);
    assert!(passed < 960 * 3 / 4, "{passed} of 960 requests admitted in congestion, expected fewer than 720");
    run(120, 10);
    let passed = run(60, 10);
    assert!(
        passed > 480 * 95 / 100,
        "{passed} of 480 requests admitted two minutes after the congestion, expected more than 95%"
    );
}

/// Guards the limits and the upstreams against clients that send invalid requests. Even if half of all requests are
/// rejected as invalid, no limit is lowered and no upstream is ejected, and each such request fails after its first
/// attempt.
#[test]
fn invalid_requests_count_neither_as_congestion_nor_as_endpoint_failures() {
    let mut bench = ten_per_second();
    assert_eq!(admitted_fraction(&mut bench, 8.0, 10.0, 20.0, Outcome::Success), 1.0);
    let mut tried = [0; 4];
    for call in 0..280 {
        bench.advance(millis(125));
        let (id, actions) = bench.offer(Some(0));
        let EndpointId(upstream) =
            sent_upstream(&actions).expect("every request should be sent, as the rate is below the limit");
        tried[upstream as usize] += 1;
        let outcome = if call % 2 == 0 { Outcome::InvalidRequest } else { Outcome::Success };
        let actions = bench.end_attempt(id, 0, outcome, millis(20));
        assert_eq!(actions.contains(&Action::Fail { request: id }), outcome == Outcome::InvalidRequest);
        assert!(sent_upstream(&actions).is_none() && !is_refused(&actions));
    }
    assert!(
        tried.iter().all(|&calls| calls > 40),
        "requests per upstream: {tried:?}, expected more than 40 each"
    );
}

/// Guards new replicas without quotas. Just after the start the admitted rate is not known yet, and a limit lowered to
/// the rate of the first few tens of milliseconds would deny nearly all requests for seconds.
#[test]
fn a_new_limit_is_not_lowered_to_the_rate_of_its_first_moments() {
    let mut settings = Settings::single_zone(vec![class(Idempotency::Idempotent)]);
    settings.tenants = vec![Tenant { quota: None }];
    let mut bench = Bench::new(settings, 5, (0..4).map(member).collect());
    // Eight clients send their next requests 4 ms after each answer. From the second round on, requests are slower.
    let served: Vec<usize> = (0..600)
        .map(|round| {
            let duration = std::time::Duration::from_micros(if round < 1 { 200 } else { 10_000 });
            let calls: Vec<_> = (0..8).map(|_| bench.offer(Some(0))).collect();
            bench.advance(duration);
            let sent: Vec<_> = calls.iter().filter(|(_, actions)| sent_upstream(actions).is_some()).collect();
            for (id, _) in &sent {
                bench.end_attempt(*id, 0, Outcome::Success, duration);
            }
            bench.advance(millis(4));
            sent.len()
        })
        .collect();
    let later: usize = served[300..].iter().sum();
    assert!(
        later > 300 * 8 / 4,
        "{later} of {} requests admitted after the first moments, expected more than a quarter",
        300 * 8
    );
}
