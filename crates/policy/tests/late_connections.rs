//! Connections that come up late: they decrease no limit, eject no endpoint and do not count as latency of upstreams.

mod common;
#[path = "common/connection_delays.rs"]
mod connection_delays;

use std::time::Duration;

use balancer_policy::interface::*;
use common::*;
use connection_delays::{SimulatedHost, idle, idle_third_late, low_load_latency, settings};

/// Guards against late connections that are taken for overload. With a third of the connections late and upstreams that
/// answered in 13 to 30 ms, the limits fell to their floors, and 80 to 95 of 100 requests were denied.
#[test]
fn late_connections_neither_decrease_limits_nor_eject_endpoints() {
    for (rate, replicas, is_reported) in [2.0, 10.0, 60.0]
        .into_iter()
        .flat_map(|rate| [(rate, 2, true), (rate, 2, false), (rate, 30, true), (rate, 30, false)])
    {
        for upstreams in 4..=8 {
            let mut host = SimulatedHost::new(settings(replicas, rate * 1.2), 5, upstreams, millis(12));
            host.reports_late_connections = is_reported;
            let calm = host.run(rate, 30, idle);
            let seconds = if rate > 2.0 { 90 } else { 400 };
            let counts = host.run(rate, seconds, idle_third_late);
            let case = format!(
                "{rate}/s, {replicas} replicas, {upstreams} upstreams, reported {is_reported}: {counts:?}"
            );
            assert!(counts.limit >= calm.limit, "a limit decreased: {case}");
            assert!(
                counts.admitted() > 0.95,
                "expected above 0.95 admitted, saw {}: {case}",
                counts.admitted()
            );
            // With three attempts allowed, all attempts of 1 request in 27 wait for a late connection.
            assert!(counts.served() > 0.9, "expected above 0.9 served, saw {}: {case}", counts.served());
            assert!(
                counts.least_sent_fraction(upstreams) > 0.5,
                "an upstream was sent less than half the mean: {case}"
            );
        }
    }
}

/// Guards against counting the time that an attempt waits for a late connection as latency of the upstreams.
#[test]
fn the_wait_for_a_connection_does_not_count_as_latency() {
    for (rate, replicas) in [(2.0, 2), (10.0, 2), (60.0, 2), (2.0, 30), (10.0, 30), (60.0, 30)] {
        let mut host = SimulatedHost::new(settings(replicas, rate * 1.2), 7, 6, millis(1000));
        let calm = host.run(rate, 30, idle);
        let usual = host.stat("usual ms ");
        let counts = host.run(rate, if rate > 2.0 { 120 } else { 400 }, idle_third_late);
        let case =
            format!("{rate}/s, {replicas} replicas: {counts:?}, {}", host.bench.balancer.stats_snapshot());
        assert!(counts.limit >= calm.limit && counts.admitted() > 0.95, "{case}");
        assert!(rate < 10.0 || counts.congestion < 0.2, "{case}");
        assert!((host.stat("usual ms ") / usual - 1.0).abs() < 0.15, "{usual} ms before: {case}");
        // Of 100 connections, 12 come up after the latency objective.
        assert!(counts.served() > 0.82, "{case}");
    }
}

/// A replica whose clients have a deadline of 400 ms and a latency objective of 200 ms. Attempts wait for a connection
/// for up to `connect_timeout`.
fn short_deadlines(replicas: u32, rate: f64, upstreams: u32, connect_timeout: Duration) -> SimulatedHost {
    let mut settings = settings(replicas, rate * 1.2);
    settings.classes[0] = Class {
        latency_objective: millis(200),
        deadline: millis(400),
        late_weight: 0.5,
        idempotency: Idempotency::Idempotent,
    };
    let mut host = SimulatedHost::new(settings, 9, upstreams, connect_timeout);
    host.bench.time_left = millis(400);
    host
}

#[test]
fn short_deadlines_leave_time_for_a_retry_at_another_upstream() {
    for (rate, replicas, connect_timeout) in
        [(10.0, 2, 8), (10.0, 2, 60), (60.0, 2, 8), (60.0, 2, 60), (60.0, 30, 8), (60.0, 30, 60)]
    {
        let mut host = short_deadlines(replicas, rate, 6, millis(connect_timeout));
        let calm = host.run(rate, 30, idle);
        let usual = host.stat("usual ms ");
        let counts = host.run(rate, 60, idle_third_late);
        let case = format!("{rate}/s, {replicas} replicas, {connect_timeout} ms: {counts:?}");
        assert!(counts.limit >= calm.limit && counts.admitted() > 0.95 && counts.served() > 0.92, "{case}");
        assert!(counts.congestion < 0.2 && counts.least_sent_fraction(6) > 0.5, "{case}");
        assert!((host.stat("usual ms ") / usual - 1.0).abs() < 0.15, "{usual} ms before: {case}");
    }
}

/// Guards against timeouts that are taken for congestion although the connections caused them: the connection came up
/// so late that the upstream could not answer in the time left.
#[test]
fn timeouts_after_late_connections_do_not_count_as_congestion() {
    for (rate, replicas) in [(10.0, 2), (60.0, 2), (60.0, 30)] {
        let mut host = short_deadlines(replicas, rate, 6, millis(1000));
        let calm = host.run(rate, 30, idle);
        let mut late = 0;
        let counts = host.run(rate, 60, |_, rng| {
            let is_late = rng.rand_float() < 1.0 / 3.0;
            late += u32::from(is_late);
            // About a third of these time out, with 10 ms left for the upstream, which takes 15 to 30 ms.
            let after = if is_late { millis(350 + rng.rand_range(0..60)) } else { Duration::ZERO };
            (Some(after), Outcome::Success, low_load_latency(rng))
        });
        let case = format!("{rate}/s, {replicas} replicas, {late} late: {counts:?}");
        assert!(
            counts.served() < 0.95 && late > counts.offered / 4,
            "expected late connections to cause timeouts: {case}"
        );
        assert!(counts.limit >= calm.limit && counts.admitted() > 0.95 && counts.congestion < 0.2, "{case}");
        assert!(counts.least_sent_fraction(6) > 0.5, "{case}");
    }
}

/// Guards against treating an upstream as slow or failing because half of its connections come up late, whether the
/// wait takes most of the time that a request has or so much that the upstream cannot answer in the rest.
#[test]
fn one_upstream_whose_connections_are_late_is_neither_slow_nor_failing() {
    for wait in [200, 385] {
        let mut host = short_deadlines(30, 3.0, 6, millis(1000));
        host.run(3.0, 60, idle);
        let counts = host.run(3.0, 600, |id, rng| {
            let late = id == EndpointId(0) && rng.rand_float() < 0.5;
            (Some(if late { millis(wait) } else { Duration::ZERO }), Outcome::Success, low_load_latency(rng))
        });
        let part = counts.fraction_sent_to(0..1) * 6.0;
        assert!(
            part > 0.6,
            "expected above 0.6 of the mean at the upstream with waits of {wait} ms, saw {part}: {counts:?}"
        );
    }
}

/// Guards against a decrease for a few connect timeouts at a low request rate. With one request every few seconds, no
/// other request is answered around the time of a connect timeout that would show that the tier is reachable.
#[test]
fn a_few_connect_timeouts_at_a_low_rate_do_not_decrease_limits() {
    for seed in 0..20 {
        let mut settings = settings(30, 0.5);
        settings.permissions.max_attempts = 2;
        let mut host = SimulatedHost::new(settings, seed, 6, millis(12));
        let calm = host.run(0.3, 120, idle);
        let counts = host.run(0.3, 300, idle_third_late);
        assert!(counts.limit >= calm.limit, "a limit decreased below {calm:?}, seed {seed}: {counts:?}");
    }
}

/// Guards against counting the connect timeout before a refusal as another refusal: a single refusal is not congestion.
#[test]
fn a_refusal_after_a_connect_timeout_counts_as_one_refusal() {
    let mut settings = settings(2, 25.0 / 3.0);
    settings.over_quota_weight = 1.0;
    let mut bench = Bench::new(settings, 5, (0..6).map(member).collect());
    for request_index in 0..820 {
        // The limit rises at first, so denials count only afterwards.
        let limit_settled = request_index >= 540;
        bench.advance(millis(if limit_settled { 71 } else { 111 }));
        let (id, mut actions) = bench.offer(Some(0));
        assert!(!limit_settled || sent_upstream(&actions).is_some(), "request {request_index} was denied");
        let mut number = 0;
        if limit_settled && request_index % 4 == 0 {
            for outcome in [Outcome::ConnectTimedOut, Outcome::Refused] {
                actions = bench.end_attempt(id, number, outcome, millis(2));
                number += 1;
            }
        }
        assert!(
            !limit_settled || sent_upstream(&actions).is_some(),
            "request {request_index} was not retried after a refusal"
        );
        bench.end_attempt(id, number, Outcome::Success, millis(20));
    }
}
