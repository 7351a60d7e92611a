//! Reconfiguration while requests are in flight: each request is handled by the settings that were current when it
//! arrived.

mod common;
#[path = "common/reconfiguration_fixture.rs"]
mod reconfiguration_fixture;

use std::time::Duration;

use balancer_policy::interface::*;
use balancer_policy::{Action, Event, Settings};
use common::{Bench, class, member, millis, sent_upstream};
use reconfiguration_fixture::{bench, request, settings, single};

/// Idempotency key that the endpoints of a cell remember for 300 ms.
const CELL_KEY_300_MS: Idempotency =
    Idempotency::IdempotencyKey { scope: DeduplicationScope::Cell, window: millis(300) };

/// Ends each attempt of a request with a reset after `duration` and returns the number of attempts. `first` are the
/// actions that the request caused when it arrived.
fn attempts_under_resets(bench: &mut Bench, id: RequestId, first: &[Action], duration: Duration) -> usize {
    let (mut sends, mut out) = (0, sent_upstream(first));
    while out.is_some() {
        sends += 1;
        bench.advance(duration);
        let actions = bench.end_attempt(id, sends as u32 - 1, Outcome::Reset, duration);
        out = sent_upstream(&actions);
    }
    sends
}

/// Guards against running a non-idempotent request twice: a request that arrives as not idempotent is not retried after
/// a reset, even if its class has become idempotent by then. Requests that arrive later follow the new settings.
#[test]
fn a_request_that_arrived_as_not_idempotent_is_not_retried() {
    for other in [
        Idempotency::Idempotent,
        Idempotency::IdempotencyKey { scope: DeduplicationScope::All, window: millis(60_000) },
    ] {
        let mut bench = bench(single(Idempotency::NotIdempotent));
        let (id, actions) = bench.offer(None);
        assert!(bench.report(Event::Reconfigured(single(other))).is_empty());
        let upstream = sent_upstream(&actions).expect("the request is sent");
        bench.advance(millis(10));
        let actions = bench.end_attempt(id, 0, Outcome::Reset, millis(10));
        assert_eq!(actions, [Action::Fail { request: id }], "retried after its class changed to {other:?}");
        let (id, actions) = bench.offer(None);
        assert!(
            attempts_under_resets(&mut bench, id, &actions, millis(10)) > 1,
            "a later request was not retried under {other:?}; the first went to {upstream:?}"
        );
    }
}

/// Guards the opposite change: a request that arrives as idempotent is still retried after its class has become not
/// idempotent, and the next request of the class is not.
#[test]
fn a_request_that_arrived_as_idempotent_is_still_retried() {
    let mut bench = bench(single(Idempotency::Idempotent));
    let (id, actions) = bench.offer(None);
    bench.report(Event::Reconfigured(single(Idempotency::NotIdempotent)));
    assert!(attempts_under_resets(&mut bench, id, &actions, millis(10)) > 1);
    let (id, actions) = bench.offer(None);
    assert_eq!(attempts_under_resets(&mut bench, id, &actions, millis(10)), 1);
}

/// Guards against retries that the upstreams do not recognise as repeats: neither the window nor the scope of the
/// idempotency key of a request in flight may grow.
#[test]
fn a_keyed_request_in_flight_keeps_its_window_and_scope() {
    let wider = Idempotency::IdempotencyKey { scope: DeduplicationScope::All, window: millis(60_000) };
    for (other, duration, sends) in [
        // The reset comes after the window that the request arrived with, but within the new one: no retry.
        (
            Idempotency::IdempotencyKey { scope: DeduplicationScope::Cell, window: millis(60_000) },
            millis(400),
            1,
        ),
        // The reset comes within the window that the request arrived with: a retry may only go to the same cell, which
        // has two upstreams.
        (wider, millis(100), 2),
    ] {
        let mut bench = bench(single(CELL_KEY_300_MS));
        let (id, actions) = bench.offer(None);
        bench.report(Event::Reconfigured(single(other)));
        assert_eq!(
            attempts_under_resets(&mut bench, id, &actions, duration),
            sends,
            "attempts after a change to {other:?}"
        );
    }
    let mut bench = bench(single(CELL_KEY_300_MS));
    bench.report(Event::Reconfigured(single(wider)));
    let (id, actions) = bench.offer(None);
    assert!(attempts_under_resets(&mut bench, id, &actions, millis(400)) > 1);
}

/// Guards against a retry that begins after the idempotency window: the window that the request arrived with limits the
/// first-byte deadline of the retry, even if the class has a longer one by then.
#[test]
fn a_retry_must_begin_within_the_window_that_the_request_arrived_with() {
    let members = (0..8).map(member).collect();
    let mut bench = Bench::new(single(CELL_KEY_300_MS), 7, members);
    let (id, actions) = bench.offer(None);
    assert!(sent_upstream(&actions).is_some());
    bench.report(Event::Reconfigured(single(Idempotency::IdempotencyKey {
        scope: DeduplicationScope::Cell,
        window: millis(60_000),
    })));
    bench.advance(millis(100));
    let actions = bench.end_attempt(id, 0, Outcome::Reset, millis(100));
    let first_byte_deadline = actions.iter().find_map(|action| match action {
        Action::Send { first_byte_deadline, .. } => *first_byte_deadline,
        _ => None,
    });
    let left = first_byte_deadline.expect("expected a retry within the window, with a first-byte deadline");
    assert!(
        left <= millis(200) && left > millis(199),
        "expected the remaining 200 ms of the window, saw {left:?}"
    );
}

/// Guards clients against changed timeouts: the latency objective and the weight of a late answer stay those that the
/// request arrived with. The test leaves the deadline of 3 s as it is: with a late weight above 0, an attempt may last
/// until the deadline instead of the latency objective.
#[test]
fn a_request_in_flight_keeps_its_latency_objective_and_deadline() {
    let timeout = |actions: &[Action]| {
        actions.iter().find_map(|action| match action {
            Action::Send { timeout, .. } => *timeout,
            _ => None,
        })
    };
    let mut longer = single(Idempotency::Idempotent);
    longer.classes[0].latency_objective = millis(2000);
    longer.classes[0].late_weight = 0.5;
    let mut bench = bench(single(Idempotency::Idempotent));
    let (id, first) = bench.offer(None);
    assert_eq!(timeout(&first), Some(millis(1000)));
    bench.report(Event::Reconfigured(longer));
    bench.advance(millis(400));
    let retry_timeout = timeout(&bench.end_attempt(id, 0, Outcome::Refused, millis(400)))
        .expect("expected a retry with a timeout");
    assert!(
        retry_timeout <= millis(600) && retry_timeout > millis(599),
        "expected the remaining 600 ms of the latency objective, saw {retry_timeout:?}"
    );
    // The next request has the new late weight, so its attempt may last until the deadline.
    let (_, next) = bench.offer(None);
    assert_eq!(timeout(&next), Some(millis(3000)));
}

/// Guards upstreams against more attempts of a request than were allowed when it arrived. A lower number applies at
/// once.
#[test]
fn a_request_in_flight_gets_no_more_attempts() {
    let with = |attempts| {
        let settings = single(Idempotency::Idempotent);
        Settings {
            permissions: Permissions { max_attempts: attempts, ..settings.permissions.clone() },
            ..settings
        }
    };
    for (before, after, in_flight_attempts, next_attempts) in [(2, 4, 2, 4), (4, 2, 2, 2), (1, 3, 1, 3)] {
        let mut bench = bench(with(before));
        let (id, first) = bench.offer(None);
        bench.report(Event::Reconfigured(with(after)));
        assert_eq!(
            attempts_under_resets(&mut bench, id, &first, millis(5)),
            in_flight_attempts,
            "attempts of a request in flight, limit {before} to {after}"
        );
        let (id, next) = bench.offer(None);
        assert_eq!(
            attempts_under_resets(&mut bench, id, &next, millis(5)),
            next_attempts,
            "attempts of the next request, limit {before} to {after}"
        );
    }
}

/// Guards requests in flight whose tenant is removed while a class is added: they end as they would have without the
/// change.
#[test]
fn a_request_of_a_removed_tenant_ends_as_before() {
    // Removed classes and tenants stay in their lists, with a quota of 0 for the tenants, and new ones are appended.
    let mut after = settings();
    after.tenants[1].quota = Some(0.0);
    after.classes.push(class(Idempotency::Idempotent));
    let mut bench = bench(settings());
    let actions = bench.report(Event::Request(request(900, 0, Some(1))));
    assert!(sent_upstream(&actions).is_some());
    bench.report(Event::Reconfigured(after));
    bench.advance(millis(20));
    assert!(sent_upstream(&bench.end_attempt(RequestId(900), 0, Outcome::Refused, millis(20))).is_some());
    bench.advance(millis(20));
    assert!(bench.end_attempt(RequestId(900), 1, Outcome::Success, millis(20)).is_empty());
    let actions = bench.report(Event::Request(request(901, 3, Some(0))));
    assert!(sent_upstream(&actions).is_some());
}
