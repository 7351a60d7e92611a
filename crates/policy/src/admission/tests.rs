//! Unit tests of the components of admission control.

use oorandom::Rand64;

use crate::admission::adaptive_limit::AdaptiveLimit;
use crate::admission::baseline_latency::BaselineLatency;
use crate::admission::congestion::{Congestion, RequestEnd, TierState};
use crate::admission::suppression::Suppressor;
use crate::interface::{Class, Idempotency, Outcome, Settings, Tenant};

const TIER: TierState = TierState { is_first_tier: true, failure_rate: 0.0, available_capacity: 1.0 };

/// Sends requests at an even rate, starting at second 1, and returns how many of the last two seconds were admitted.
fn admitted_in_two_seconds(limit: f64, calls_per_s: u32, seconds: u32) -> u32 {
    let mut suppressor = Suppressor::for_tenant();
    let mut rng = Rand64::new(1);
    let mut admitted = 0;
    for call in 0..calls_per_s * seconds {
        let now = 1.0 + f64::from(call) / f64::from(calls_per_s);
        let is_admitted = suppressor.admit(now, limit, &mut rng);
        suppressor.count(is_admitted);
        admitted += u32::from(is_admitted && call >= calls_per_s * (seconds - 2));
    }
    admitted
}

fn limits(quotas: &[f64]) -> Vec<AdaptiveLimit> {
    let span = std::time::Duration::from_secs(1);
    let class = Class {
        latency_objective: span,
        deadline: span,
        late_weight: 0.0,
        idempotency: Idempotency::Idempotent,
    };
    let mut settings = Settings::single_zone(vec![class]);
    settings.over_quota_weight = 0.2;
    settings.tenants = quotas.iter().map(|&quota| Tenant { quota: Some(quota) }).collect();
    AdaptiveLimit::for_settings(&settings)
}

fn call(outcome: Outcome, connected_duration: f64) -> RequestEnd {
    RequestEnd {
        tenant: 0,
        outcome,
        connected_duration,
        latency_objective: 1.0,
        arrived: 10.0,
        connect_wait: 0.0,
    }
}

fn baseline(seconds: f64) -> BaselineLatency {
    BaselineLatency { ln_seconds: seconds.ln(), samples: 100.0 }
}

#[test]
fn every_call_under_the_soft_limit_is_admitted() {
    assert_eq!(admitted_in_two_seconds(100.0, 50, 6), 100);
}

#[test]
fn twice_the_limit_is_admitted_at_about_the_limit() {
    let admitted = admitted_in_two_seconds(100.0, 200, 8);
    assert!((180..=230).contains(&admitted), "{admitted}");
}

#[test]
fn no_call_over_the_hard_limit_is_admitted() {
    assert_eq!(admitted_in_two_seconds(1.0, 100, 8), 0);
}

#[test]
fn a_limit_starts_at_the_replicas_quota_with_a_margin() {
    let limit = limits(&[100.0])[0];
    assert_eq!(limit.replica_quota, 100.0);
    assert!((100.0..110.0).contains(&limit.rate), "{}", limit.rate);
}

#[test]
fn a_limit_stays_at_the_quota_in_light_congestion_and_falls_below_it_in_overload() {
    let fresh = limits(&[100.0])[0];
    let rate_after_ten_decreases = |congestion: f64| {
        let mut limit = fresh;
        (0..10).for_each(|_| limit.decrease(congestion, 100.0));
        limit.rate
    };
    let (light, overload) = (rate_after_ten_decreases(0.21), rate_after_ten_decreases(0.7));
    assert!(light > 95.0, "{light}");
    assert!((24.0..30.0).contains(&overload), "{overload}");
}

/// A limit below the replica's quota with its margin rises by 0.15 requests per second for each request served in time.
/// A new limit is at its ceiling and does not rise. The increase of a limit between the two is not tested here.
#[test]
fn a_limit_below_the_replicas_quota_rises_faster() {
    let mut limit = limits(&[100.0])[0];
    let gain = |limit: &mut AdaptiveLimit| {
        let before = limit.rate;
        limit.increase();
        limit.rate - before
    };
    let ceiling_gain = gain(&mut limit);
    limit.decrease(0.7, 1.0);
    // The gain of a limit that is below the quota.
    let below = gain(&mut limit);
    assert_eq!(ceiling_gain, 0.0, "a new limit starts at its ceiling");
    assert!((below - 0.15).abs() < 1e-9, "{below}");
}

#[test]
fn the_first_request_sets_the_baseline_and_congestion_moves_it_a_tenth_as_far() {
    let mut first = BaselineLatency::default();
    first.record(0.2, 0.01, false);
    assert!((first.seconds() - 0.2).abs() < 1e-9, "{}", first.seconds());
    let baseline_change = |is_congested: bool| {
        let mut latency = BaselineLatency { samples: 10_000.0, ..first };
        latency.record(0.3, 0.01, is_congested);
        latency.ln_seconds - first.ln_seconds
    };
    let (calm, congested) = (baseline_change(false), baseline_change(true));
    assert!((congested / calm - 0.1).abs() < 1e-6, "{congested} {calm}");
}

#[test]
fn refused_requests_signal_congestion_and_usual_ones_do_not() {
    let level = |outcome: Outcome| {
        let mut congestion = Congestion::new();
        for _ in 0..50 {
            let signal = congestion
                .signal(10.1, &call(outcome, 0.1), baseline(0.1), TIER)
                .expect("the end gives a signal");
            congestion.record(signal.value, 0.1);
        }
        (congestion.level(), congestion.is_detected(0.1, 100.0))
    };
    let (refused, is_detected) = level(Outcome::Refused);
    assert!(refused > 1.9 && is_detected, "{refused}");
    let (usual, is_detected) = level(Outcome::Success);
    assert!(usual.abs() < 1e-9 && !is_detected, "{usual}");
}

#[test]
fn late_connections_signal_congestion_only_while_no_endpoint_answers() {
    let late = call(Outcome::ConnectTimedOut, 0.0);
    let mut congestion = Congestion::new();
    congestion.record_answer(9.0);
    for _ in 0..5 {
        assert!(congestion.signal(10.1, &late, baseline(0.1), TIER).is_none());
    }
    let signal = congestion.signal(11.1, &late, baseline(0.1), TIER);
    assert!(
        signal.is_some_and(|signal| signal.is_failed_or_late),
        "no endpoint has answered for over two seconds: {signal:?}"
    );
}

#[test]
fn an_answer_past_the_latency_objective_is_late_unless_it_waited_for_a_connection() {
    let mut congestion = Congestion::new();
    let mut signal = |connect_wait: f64| {
        let end = RequestEnd { connect_wait, ..call(Outcome::Success, 0.1) };
        congestion.signal(11.5, &end, baseline(0.1), TIER).expect("the end gives a signal").is_failed_or_late
    };
    assert!(signal(0.0));
    assert!(!signal(0.8));
}

#[test]
fn limits_decrease_at_most_four_times_a_second() {
    let mut congestion = Congestion::new();
    let mut rng = Rand64::new(3);
    assert!(congestion.may_decrease(10.0));
    congestion.record_decrease(10.0, &mut rng);
    assert!(!congestion.may_decrease(10.24));
    assert!(congestion.may_decrease(10.51));
}
