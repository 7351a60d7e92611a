//! Unit tests of the components of the endpoint state.

use std::time::Duration;

use oorandom::Rand64;

use crate::endpoints::connections::Connections;
use crate::endpoints::endpoint_list::EndpointList;
use crate::endpoints::list_subscription::{Interruption, ListSubscription};
use crate::endpoints::outlier::{Fault, Health, OutlierDetector, may_eject_another};
use crate::endpoints::slow_start::{SendBudget, WarmPeers, warm_fraction};
use crate::interface::{
    AttemptNumber, Class, DiscoveryMode, EndpointId, Idempotency, Lifecycle, Member, Outcome, Settings,
    ZoneId,
};
use crate::requests::attempt::AttemptEnd;

fn settings() -> Settings {
    let span = Duration::from_secs(1);
    Settings::single_zone(vec![Class {
        latency_objective: span,
        deadline: span,
        late_weight: 0.0,
        idempotency: Idempotency::Idempotent,
    }])
}

fn end(outcome: Outcome, connected_duration: f64) -> AttemptEnd {
    let number = AttemptNumber(0);
    AttemptEnd {
        number,
        outcome,
        duration: connected_duration,
        connected_duration,
        latency_objective: 1.0,
        request_finished: false,
    }
}

fn member(id: u32, lifecycle: Lifecycle, started: Option<Duration>) -> Member {
    Member {
        id: EndpointId(id),
        zone: Some(ZoneId(0)),
        machine_kind: None,
        cell: 0,
        lifecycle,
        weight: 1.0,
        started,
    }
}

/// Whether an endpoint is an outlier after `errors` errors in a row, where other endpoints returned `tier_errors`
/// errors before.
fn is_outlier_after(errors: u32, tier_errors: u32) -> bool {
    let mut detector = OutlierDetector::new(0);
    for _ in 0..tier_errors {
        detector.record(&mut Health::new(), 0, &end(Outcome::Error, 0.1), 0.1);
    }
    let mut health = Health::new();
    for _ in 0..errors {
        let fault = detector.record(&mut health, 0, &end(Outcome::Error, 0.1), 0.1);
        assert_eq!(fault, Some(Fault::Failing));
    }
    detector.is_outlier(&health, Fault::Failing)
}

#[test]
fn the_third_error_in_a_row_makes_an_outlier_of_a_healthy_tier() {
    assert!(!is_outlier_after(2, 0));
    assert!(is_outlier_after(3, 0));
}

#[test]
fn errors_make_no_outlier_in_a_failing_tier() {
    assert!(!is_outlier_after(20, 50));
}

#[test]
fn the_second_failed_connect_in_a_row_makes_an_outlier_in_any_tier() {
    let mut detector = OutlierDetector::new(0);
    for _ in 0..50 {
        detector.record(&mut Health::new(), 0, &end(Outcome::Error, 0.1), 0.1);
    }
    let mut health = Health::new();
    let mut results = Vec::new();
    for _ in 0..2 {
        let fault = detector.record(&mut health, 0, &end(Outcome::ConnectFailed, 0.0), 0.1);
        results.push(fault.map(|fault| (fault, detector.is_outlier(&health, fault))));
    }
    assert_eq!(results, [Some((Fault::Unreachable, false)), Some((Fault::Unreachable, true))]);
}

#[test]
fn every_third_connect_timeout_in_a_row_shows_an_endpoint_unreachable() {
    let mut detector = OutlierDetector::new(0);
    let mut health = Health::new();
    let mut faults = Vec::new();
    for _ in 0..6 {
        health.record_connect_timeout();
        faults.push(detector.record(&mut health, 0, &end(Outcome::ConnectTimedOut, 0.0), 0.1));
    }
    let unreachable = Some(Fault::Unreachable);
    assert_eq!(faults, [None, None, unreachable, None, None, unreachable]);
}

#[test]
fn a_connection_ends_an_ejection_for_connect_timeouts() {
    let mut health = Health::new();
    (0..3).for_each(|_| health.record_connect_timeout());
    health.eject(10.0, &mut Rand64::new(1));
    assert!(health.is_ejected(10.5));
    health.mark_reachable();
    assert!(!health.is_ejected(10.5));
    assert_eq!(health.recovery_chance(), 1.0);
}

#[test]
fn an_ejection_lasts_longer_each_time_up_to_a_bound() {
    let mut health = Health::new();
    let mut rng = Rand64::new(1);
    let mut measured_ejection_s = |now: f64| {
        health.eject(now, &mut rng);
        let tenths = (0..300).take_while(|tenth| health.is_ejected(now + f64::from(*tenth) / 10.0));
        tenths.count() as f64 / 10.0
    };
    for (turn, expected) in [1.5, 3.0, 6.0, 12.0, 12.0].into_iter().enumerate() {
        let span = measured_ejection_s(100.0 * (turn + 1) as f64);
        assert!((0.7 * expected..=1.3 * expected + 0.1).contains(&span), "turn {turn}: {span}");
    }
}

#[test]
fn a_returned_endpoint_recovers_with_each_good_answer() {
    let mut detector = OutlierDetector::new(0);
    let mut health = Health::new();
    health.eject(10.0, &mut Rand64::new(1));
    let mut chances = vec![health.recovery_chance()];
    for _ in 0..4 {
        detector.record(&mut health, 0, &end(Outcome::Success, 0.1), 0.1);
        chances.push(health.recovery_chance());
    }
    assert_eq!(chances, [0.1, 0.2, 0.4, 0.8, 1.0]);
}

#[test]
fn a_third_of_a_group_may_be_ejected_and_one_of_a_pair() {
    assert!(may_eject_another(0, 2) && !may_eject_another(1, 2));
    assert!(may_eject_another(2, 9) && !may_eject_another(3, 9));
}

#[test]
fn a_slow_endpoint_is_selected_less_often_but_never_excluded() {
    let mut detector = OutlierDetector::new(0);
    let mut slow = Health::new();
    let mut fast = Health::new();
    for _ in 0..100 {
        detector.record(&mut slow, 0, &end(Outcome::Success, 2.0), 0.1);
        for _ in 0..20 {
            detector.record(&mut fast, 0, &end(Outcome::Success, 0.1), 0.1);
        }
    }
    assert_eq!(detector.slowness_chance(&fast, 0), 1.0);
    assert_eq!(detector.slowness_chance(&slow, 0), 0.05);
}

#[test]
fn the_warm_fraction_rises_evenly_from_its_minimum() {
    let rules = settings().rules;
    let at = |now: f64| warm_fraction(Some(Duration::from_secs(100)), now, &rules);
    assert!((at(100.0) - 0.1).abs() < 1e-9);
    assert!((at(115.0) - 0.55).abs() < 1e-9);
    assert_eq!(at(130.0), 1.0);
    assert_eq!(warm_fraction(None, 100.0, &rules), 1.0);
}

#[test]
fn a_warming_up_endpoint_is_sent_a_fraction_of_what_warm_peers_answer() {
    let rules = settings().rules;
    let mut peers = WarmPeers::default();
    for _ in 0..100 {
        // With one pass per maintenance period of 0.2 s, 8 answers of two warm members are 20 per second for each.
        (0..8).for_each(|_| peers.record_answer());
        peers.maintain(2);
    }
    let mut budget = SendBudget::new(0.0, &mut Rand64::new(1));
    let mut sends = 0;
    for hundredth in 1..=1000 {
        if budget.allows_send(f64::from(hundredth) / 100.0, 0.1, &peers, 1.0, &rules) {
            budget.spend();
            sends += 1;
        }
    }
    assert!((19..=22).contains(&sends), "expected a tenth of 20 per second over ten seconds, got {sends}");
}

#[test]
fn without_warm_peers_an_answer_in_time_earns_more_than_one_send_and_a_late_one_less() {
    let rules = settings().rules;
    let mut peers = WarmPeers::default();
    peers.maintain(0);
    // The endpoint has answered often, so that sends may be saved up.
    let earned = |is_in_time: bool| {
        let mut budget = SendBudget::new(0.0, &mut Rand64::new(1));
        (0..1000).for_each(|_| budget.record_answer());
        budget.maintain();
        (0..8).for_each(|_| budget.earn(&peers, is_in_time, &rules));
        let mut sends = 0;
        while budget.allows_send(0.0, 0.1, &peers, 1.0, &rules) {
            budget.spend();
            sends += 1;
        }
        sends
    };
    assert!((10..=11).contains(&earned(true)), "{}", earned(true));
    assert!((4..=5).contains(&earned(false)), "{}", earned(false));
}

#[test]
fn a_slot_is_free_once_its_endpoint_is_gone_and_its_attempts_have_ended() {
    let (settings, mut rng) = (settings(), Rand64::new(1));
    let mut list = EndpointList::new();
    list.replace(1.0, vec![member(1, Lifecycle::Ready, None), member(2, Lifecycle::Ready, None)], &mut rng);
    assert_eq!(list.rebuild_ready(&settings).local, [0, 1]);
    list.by_id_mut(EndpointId(1)).expect("endpoint 1 is in the list").in_flight = 1;

    list.replace(2.0, vec![member(2, Lifecycle::Ready, None)], &mut rng);
    list.rebuild_ready(&settings);
    list.apply_delta(3.0, vec![member(3, Lifecycle::Ready, None)], &mut rng);
    assert_eq!(
        list.rebuild_ready(&settings).local,
        [1, 2],
        "endpoint 1 keeps its slot while it has an attempt in flight"
    );

    list.by_id_mut(EndpointId(1)).expect("endpoint 1 has an attempt in flight").in_flight = 0;
    list.rebuild_ready(&settings);
    list.apply_delta(4.0, vec![member(4, Lifecycle::Ready, None)], &mut rng);
    assert_eq!(list.rebuild_ready(&settings).local, [1, 2, 0], "endpoint 4 reuses the slot of endpoint 1");
}

#[test]
fn a_restart_resets_the_health_and_keeps_the_attempts_in_flight() {
    let mut rng = Rand64::new(1);
    let mut list = EndpointList::new();
    list.replace(1.0, vec![member(1, Lifecycle::Ready, None)], &mut rng);
    let endpoint = list.get_mut(0);
    endpoint.in_flight = 2;
    endpoint.health.eject(1.0, &mut rng);
    list.apply_delta(1.1, vec![member(1, Lifecycle::Ready, Some(Duration::from_secs(1)))], &mut rng);
    assert_eq!(list.get(0).in_flight, 2);
    assert!(!list.get(0).health.is_ejected(1.2));
}

#[test]
fn idle_connections_count_as_closed_after_the_keepalive() {
    let permissions = settings().permissions;
    let mut connections = Connections::new(0.0);
    connections.record_opened(1.0, 0, &permissions);
    assert!(connections.has_free_stream(15.9, 0, &permissions));
    assert!(!connections.has_free_stream(16.0, 0, &permissions));
    assert!(
        connections.has_free_stream(16.0, 1, &permissions),
        "a connection with an attempt in flight is not idle"
    );
}

#[test]
fn the_backoff_of_a_subscription_doubles_up_to_the_longest_wait_and_restarts_at_another_address() {
    let mut settings = settings();
    settings.discovery = DiscoveryMode::Subscribe;
    settings.rules.poll_interval_max = Some(Duration::from_secs(4));
    let mut rng = Rand64::new(1);
    let mut subscription = ListSubscription::default();
    let mut pause = |interruption: Interruption| {
        subscription.back_off(100.0, interruption, &settings, &mut rng);
        let mut ms = 0;
        while !subscription.begin_if_due(100.0 + f64::from(ms) / 1000.0, &settings) {
            ms += 1;
        }
        f64::from(ms) / 1000.0
    };
    for longest in [0.5, 1.0, 1.6, 1.6] {
        let span = pause(Interruption::Broken);
        assert!((longest / 2.0..=longest + 0.001).contains(&span), "{longest}: {span}");
    }
    let span = pause(Interruption::Relocated);
    assert!((0.25..=0.501).contains(&span), "{span}");
}
