//! Property tests of the four rules that the balancer must keep, over random valid sequences of events. A small
//! independent oracle checks each action.

mod common;
#[path = "common/rule_checker.rs"]
mod rule_checker;
#[path = "common/two_zones.rs"]
mod two_zones;

use std::time::Duration;

use balancer_policy::interface::*;
use balancer_policy::{Action, Balancer, Event, Settings};
use common::{START, millis};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rule_checker::{RuleChecker, Step};
use two_zones::{member, settings};

/// Generates the outcome of an attempt.
fn outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        4 => Just(Outcome::Success),
        2 => Just(Outcome::Error),
        2 => Just(Outcome::Refused),
        1 => Just(Outcome::ConnectFailed),
        1 => Just(Outcome::ConnectTimedOut),
        1 => Just(Outcome::Reset),
        1 => Just(Outcome::NotSent),
        1 => Just(Outcome::InvalidRequest),
    ]
}

/// Generates a step of a sequence.
fn step() -> impl Strategy<Value = Step> {
    let lifecycle = prop_oneof![3 => Just(Lifecycle::Ready), 1 => Just(Lifecycle::Draining), 1 => Just(Lifecycle::Removed)];
    prop_oneof![
        4 => (1u64..400).prop_map(Step::Advance),
        8 => (0usize..5, 1u64..3000).prop_map(|(class, time_left)| Step::Request { class, time_left }),
        8 => (any::<usize>(), outcome()).prop_map(|(which, outcome)| Step::End { which, outcome }),
        1 => any::<usize>().prop_map(|which| Step::Disconnect { which }),
        2 => (0u32..8, lifecycle, any::<bool>())
            .prop_map(|(upstream, lifecycle, restarted)| Step::Change { upstream, lifecycle, restarted }),
        1 => (0u32..9, any::<bool>()).prop_map(|(keep, cached)| Step::Replace { keep, cached }),
        1 => Just(Step::Broken),
        1 => (0u32..10).prop_map(|upstream| Step::Connected { upstream }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn the_rules_hold_for_any_valid_sequence_of_events(
        seed in any::<u64>(),
        hedging in any::<bool>(),
        subscribe in any::<bool>(),
        steps in proptest::collection::vec(step(), 1..250),
    ) {
        let mut checker = RuleChecker::new(settings(hedging, subscribe), seed);
        for step in steps {
            checker.step(step);
        }
        checker.advance(millis(4000));
    }

    /// Checks that an upstream that is warming up is sent no more than the overload rule allows, however the other
    /// upstreams answer.
    #[test]
    fn an_endpoint_warming_up_is_never_sent_over_its_budget(
        seed in any::<u64>(),
        gap in 2u64..40,
        warming_up in 1u32..7,
        refusing in any::<bool>(),
    ) {
        let mut settings = settings(false, false);
        settings.rules.slow_start_min_fraction = 0.15;
        settings.rules.slow_start_window = millis(20_000);
        settings.rules.overload_window = millis(2_000);
        let rules = settings.rules.clone();
        let mut checker = RuleChecker::new(settings, seed);
        let started = checker.now;
        let list = (0..8).map(|id| Member { started: (id < warming_up).then_some(started), ..member(id) });
        checker.replace(list.collect(), false);
        let mut sends: Vec<(Duration, u32)> = Vec::new();
        while checker.now < started + millis(6_000) {
            checker.step(Step::Request { class: 0, time_left: 500 });
            for (id, n) in checker.attempts_in_flight() {
                sends.push((checker.now, checker.requests[&id].attempts[n].upstream.0));
                let is_warming_up = checker.requests[&id].attempts[n].upstream.0 < warming_up;
                checker.end_attempt(id, n, if refusing && is_warming_up { Outcome::Refused } else { Outcome::Success });
            }
            checker.advance(millis(gap));
        }
        let window = rules.overload_window;
        let within = |id: u32, end: Duration| {
            sends.iter().filter(|&&(at, to)| to == id && at <= end && at + window > end).count() as f64
        };
        for second in 2..6 {
            let end = started + millis(second * 1_000);
            let warm = (warming_up..8).map(|id| within(id, end)).fold(0.0, f64::max);
            let age = (second as f64 - window.as_secs_f64()).max(0.0);
            let warm_fraction = rules.slow_start_min_fraction + (1.0 - rules.slow_start_min_fraction) * age / 20.0;
            let budget = rules.overload_multiple * warm_fraction * warm + 2.0;
            for id in 0..warming_up {
                prop_assert!(within(id, end) <= budget, "{} sent in one window, expected at most {budget}", within(id, end));
            }
        }
    }
}

/// Guards against decisions that depend on anything but the settings, the seed and the events.
#[test]
fn equal_seeds_and_events_give_equal_actions() {
    let run = || {
        let mut balancer = Balancer::new(settings(false, true), 11).unwrap();
        let mut actions = Vec::new();
        balancer.handle(START, Event::Started, &mut actions);
        balancer.handle(START, Event::List(ListUpdate::Snapshot((0..8).map(member).collect())), &mut actions);
        for id in 0..300 {
            let now = START + millis(id * 7);
            let request = Request {
                id: RequestId(id),
                class: ClassId(id as usize % 5),
                tenant: None,
                subject: None,
                time_left: millis(900),
                expected_work: None,
                is_client_retry: false,
            };
            balancer.handle(now, Event::Request(request), &mut actions);
            balancer.handle(now, Event::MaintenanceDue, &mut actions);
        }
        actions
    };
    assert_eq!(run(), run());
}

#[test]
fn a_stream_that_has_started_is_neither_cancelled_nor_retried() {
    let mut checker = RuleChecker::new(settings(false, false), 3);
    checker.step(Step::Request { class: 0, time_left: 300 });
    let id = RequestId(0);
    checker.report(Event::StreamStarted { request: id, attempt: AttemptNumber(0) });
    let mut actions = Vec::new();
    checker.balancer.handle(checker.now + millis(5000), Event::ClientDisconnected(id), &mut actions);
    assert_eq!(actions, []);
}

/// Guards against treating 'unknown' as a zone of its own: two upstreams without a known zone may be in different
/// zones, so a request whose key is remembered per zone is not retried at the second one if it may have run at the
/// first.
#[test]
fn upstreams_of_unknown_zones_are_not_in_the_same_zone() {
    let keyed = Idempotency::IdempotencyKey { scope: DeduplicationScope::Zone, window: millis(5000) };
    let members = (0..2).map(|id| Member { zone: None, ..common::member(id) }).collect();
    let mut bench = common::Bench::new(Settings::single_zone(vec![common::class(keyed)]), 3, members);
    let request = Request {
        id: RequestId(1),
        class: ClassId(0),
        tenant: None,
        subject: None,
        time_left: millis(3000),
        expected_work: None,
        is_client_retry: false,
    };
    let sent = |actions: &[Action]| actions.iter().any(|action| matches!(action, Action::Send { .. }));
    assert!(sent(&bench.report(Event::Request(request))));
    let actions = bench.report(Event::AttemptEnded {
        request: RequestId(1),
        attempt: AttemptNumber(0),
        outcome: Outcome::Reset,
        duration: millis(1),
        connect_wait: millis(0),
        request_finished: false,
        load: None,
    });
    assert!(
        !sent(&actions) && actions.contains(&Action::Fail { request: RequestId(1) }),
        "expected no retry and a failure, saw {actions:?}"
    );
}
