//! Other settings while requests are in flight: each ends under those that it was received under.

mod common;
#[path = "common/reconfigured.rs"]
mod reconfigured;

use std::time::Duration;

use balancer_policy::interface::*;
use balancer_policy::{Action, Event, Settings};
use common::{Bench, class, member, millis, sent};
use reconfigured::{bench, request, settings, single};

const WINDOW: Idempotency =
    Idempotency::IdempotencyKey { scope: DeduplicationScope::Cell, window: millis(300) };

/// Ends each attempt of a request as a reset and counts them; each of which ends as a reset after `duration`.
fn resets(bench: &mut Bench, id: RequestId, first: &[Action], duration: Duration) -> usize {
    let (mut sends, mut out) = (0, sent(first));
    while out.is_some() {
        sends += 1;
        bench.pass(duration);
        let actions = bench.end(id, sends as u32 - 1, Outcome::Reset, duration);
        out = sent(&actions);
    }
    sends
}

/// Guards the rule on effects: a request received as one that must not run twice never becomes repeatable, whatever its
/// class is by the time that it breaks. One received afterwards goes by what holds then.
#[test]
fn an_unsafe_request_in_flight_stays_unsafe() {
    for other in [
        Idempotency::Idempotent,
        Idempotency::IdempotencyKey { scope: DeduplicationScope::All, window: millis(60_000) },
    ] {
        let mut bench = bench(single(Idempotency::NotIdempotent));
        let (id, actions) = bench.offer(None);
        assert!(bench.tell(Event::Reconfigured(single(other))).is_empty());
        let upstream = sent(&actions).expect("sent");
        bench.pass(millis(10));
        let actions = bench.end(id, 0, Outcome::Reset, millis(10));
        assert_eq!(actions, [Action::Fail { request: id }], "{other:?}");
        let (id, actions) = bench.offer(None);
        assert!(resets(&mut bench, id, &actions, millis(10)) > 1, "{other:?} after {upstream:?}");
    }
}

/// Guards the other way: a request keeps what it was promised, and the next one does not get it.
#[test]
fn a_safe_request_in_flight_stays_safe() {
    let mut bench = bench(single(Idempotency::Idempotent));
    let (id, actions) = bench.offer(None);
    bench.tell(Event::Reconfigured(single(Idempotency::NotIdempotent)));
    assert!(resets(&mut bench, id, &actions, millis(10)) > 1);
    let (id, actions) = bench.offer(None);
    assert_eq!(resets(&mut bench, id, &actions, millis(10)), 1);
}

/// Guards the upstreams' memory of keys: neither the window nor the group of a request in flight grows under it.
#[test]
fn a_keyed_request_in_flight_keeps_its_window_and_scope() {
    let wider = Idempotency::IdempotencyKey { scope: DeduplicationScope::All, window: millis(60_000) };
    for (other, duration, sends) in [
        // Past its own window, within the other: no repeat.
        (
            Idempotency::IdempotencyKey { scope: DeduplicationScope::Cell, window: millis(60_000) },
            millis(400),
            1,
        ),
        // Within its own: only its own cell accepts it, which has two upstreams.
        (wider, millis(100), 2),
    ] {
        let mut bench = bench(single(WINDOW));
        let (id, actions) = bench.offer(None);
        bench.tell(Event::Reconfigured(single(other)));
        assert_eq!(resets(&mut bench, id, &actions, duration), sends, "{other:?}");
    }
    let mut bench = bench(single(WINDOW));
    bench.tell(Event::Reconfigured(single(wider)));
    let (id, actions) = bench.offer(None);
    assert!(resets(&mut bench, id, &actions, millis(400)) > 1);
}

/// Guards a keyed request's window within its cell: it applies to the end, and no repeat may begin after it.
#[test]
fn a_repeat_begins_within_the_window_it_was_received_under() {
    let members = (0..8).map(member).collect();
    let mut bench = Bench::new(single(WINDOW), 7, members);
    let (id, actions) = bench.offer(None);
    assert!(sent(&actions).is_some());
    bench.tell(Event::Reconfigured(single(Idempotency::IdempotencyKey {
        scope: DeduplicationScope::Cell,
        window: millis(60_000),
    })));
    bench.pass(millis(100));
    let actions = bench.end(id, 0, Outcome::Reset, millis(100));
    let first_byte_deadline = actions.iter().find_map(|action| match action {
        Action::Send { first_byte_deadline, .. } => *first_byte_deadline,
        _ => None,
    });
    let left = first_byte_deadline.expect("sent again within its window");
    assert!(left <= millis(200) && left > millis(199), "{left:?}");
}

/// Guards clients: the latency objective and the weight of a late answer are those that the request was received under.
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
    bench.tell(Event::Reconfigured(longer));
    bench.pass(millis(400));
    let again = timeout(&bench.end(id, 0, Outcome::Refused, millis(400))).expect("sent again");
    assert!(again <= millis(600) && again > millis(599), "{again:?}");
    let (_, next) = bench.offer(None);
    assert_eq!(timeout(&next), Some(millis(3000)));
}

/// Guards upstreams against more of a request's attempts than it was received with; a lower number applies at once.
#[test]
fn a_request_in_flight_gets_no_more_attempts() {
    let with = |attempts| {
        let settings = single(Idempotency::Idempotent);
        Settings {
            permissions: Permissions { max_attempts: attempts, ..settings.permissions.clone() },
            ..settings
        }
    };
    for (before, after, of_this, of_next) in [(2, 4, 2, 4), (4, 2, 2, 2), (1, 3, 1, 3)] {
        let mut bench = bench(with(before));
        let (id, first) = bench.offer(None);
        bench.tell(Event::Reconfigured(with(after)));
        assert_eq!(resets(&mut bench, id, &first, millis(5)), of_this, "{before} to {after}");
        let (id, next) = bench.offer(None);
        assert_eq!(resets(&mut bench, id, &next, millis(5)), of_next, "{before} to {after}");
    }
}

/// Guards requests in flight whose class or tenant went: they end as they would have.
#[test]
fn a_request_of_a_removed_class_ends_as_before() {
    // What went stays as it was, the quota of its tenant is 0, and what is new stands behind it.
    let mut after = settings();
    after.tenants[1].quota = Some(0.0);
    after.classes.push(class(Idempotency::Idempotent));
    let mut bench = bench(settings());
    let actions = bench.tell(Event::Request(request(900, 0, Some(1))));
    assert!(sent(&actions).is_some());
    bench.tell(Event::Reconfigured(after));
    bench.pass(millis(20));
    assert!(sent(&bench.end(RequestId(900), 0, Outcome::Refused, millis(20))).is_some());
    bench.pass(millis(20));
    assert!(bench.end(RequestId(900), 1, Outcome::Success, millis(20)).is_empty());
    let actions = bench.tell(Event::Request(request(901, 3, Some(0))));
    assert!(sent(&actions).is_some());
}
