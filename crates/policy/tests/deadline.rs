//! Effects of the time that a request has left: whether it is sent, how long it may wait for a connection, and whether
//! its timeout counts as congestion.

mod common;

use balancer_policy::interface::*;
use balancer_policy::{Action, Settings};
use common::*;

/// Latency of a successful request in these tests, in milliseconds.
const USUAL_LATENCY_MS: u64 = 20;

/// Creates a first-tier replica whose tenant has a quota of 10 requests per second; its limit adds the margin for
/// random variation.
fn bench() -> Bench {
    let mut settings = Settings::single_zone(vec![class(Idempotency::Idempotent)]);
    settings.tenants = vec![Tenant { quota: Some(10.0) }];
    settings.over_quota_weight = 0.0;
    Bench::new(settings, 5, (0..4).map(member).collect())
}

/// Offers 10 requests per second; `left` returns the time left of each in milliseconds. A request that is sent succeeds
/// after [`USUAL_LATENCY_MS`] or, with less than `needed_ms` milliseconds left, times out. Returns the fraction sent of
/// the requests with less than `needed_ms` left, and that of the others.
fn run(bench: &mut Bench, calls: u64, needed_ms: u64, left: impl Fn(u64) -> u64) -> [f64; 2] {
    let mut out = [(0, 0); 2];
    for call in 0..calls {
        bench.advance(millis(100));
        let left = left(call);
        bench.time_left = millis(left);
        let (id, actions) = bench.offer(Some(0));
        let (sent_count, offered) = &mut out[usize::from(left >= needed_ms)];
        *offered += 1;
        if sent_upstream(&actions).is_some() {
            *sent_count += 1;
            let (outcome, duration) = if left < needed_ms {
                (Outcome::TimedOut, left.min(1000))
            } else {
                (Outcome::Success, USUAL_LATENCY_MS)
            };
            bench.end_attempt(id, 0, outcome, millis(duration));
        }
    }
    out.map(|(sent_count, offered)| f64::from(sent_count) / f64::from(offered.max(1)))
}

/// Guards against timeouts of short deadlines that count as congestion. Where clients gave up early or retried with
/// little time left, a third of the attempts timed out within some 20 ms, and the limits fell to their floor although
/// no upstream had a queue.
#[test]
fn a_timeout_after_a_short_time_left_is_not_congestion() {
    let mut bench = bench();
    run(&mut bench, 100, 0, |_| 3000);
    // A quarter of the requests has 24 ms left, just over the usual latency, and times out as the upstream needs 25 ms.
    let [short, whole] = run(&mut bench, 400, 25, |call| if call % 4 == 0 { 24 } else { 3000 });
    assert!(
        short > 0.95 && whole > 0.95,
        "a fraction of {short} of the requests with little time left was admitted and {whole} of the others"
    );
}

/// Guards the opposite case: where attempts had the whole latency objective, timeouts of a quarter of them are
/// congestion.
#[test]
fn a_timeout_after_the_whole_latency_objective_is_congestion() {
    let mut bench = bench();
    run(&mut bench, 100, 0, |_| 3000);
    let [slow, whole] = run(&mut bench, 400, 3000, |call| if call % 4 == 0 { 1100 } else { 3000 });
    assert!(
        slow < 0.9 && whole < 0.9,
        "a fraction of {slow} of the slow requests was admitted and {whole} of the others, expected less than 0.9"
    );
}

/// Guards against ignoring the waiting time of clients that disconnect. Clients left an overloaded tier in a burst, and
/// as their requests had no answer, their waiting time did not count and the limits stayed high for seconds. A client
/// that disconnects before the usual latency shows no congestion.
#[test]
fn clients_that_disconnect_after_a_long_wait_show_congestion() {
    let admitted = |waited: u64| {
        let mut bench = bench();
        run(&mut bench, 100, 0, |_| 3000);
        let mut sent_count = 0;
        for call in 0..400 {
            bench.advance(millis(100));
            let (id, actions) = bench.offer(Some(0));
            if sent_upstream(&actions).is_some() {
                sent_count += 1;
                let disconnects = call % 2 == 0;
                if disconnects {
                    bench.report(balancer_policy::Event::ClientDisconnected(id));
                }
                let (outcome, duration) = if disconnects {
                    (Outcome::Cancelled, waited)
                } else {
                    (Outcome::Success, USUAL_LATENCY_MS)
                };
                bench.end_attempt(id, 0, outcome, millis(duration));
            }
        }
        f64::from(sent_count) / 400.0
    };
    let (soon, long) = (admitted(USUAL_LATENCY_MS / 2), admitted(USUAL_LATENCY_MS * 4));
    assert!(
        soon > 0.98 && long < 0.9,
        "a fraction of {soon} was admitted where clients disconnect early and {long} where they wait for long"
    );
}

/// Guards against attempts with a few milliseconds left, which took capacity from requests that could have been served
/// in time.
#[test]
fn a_request_is_sent_with_a_probability_that_depends_on_its_time_left() {
    let mut bench = bench();
    run(&mut bench, 100, 0, |_| 3000);
    let [quarter, whole] =
        run(&mut bench, 800, USUAL_LATENCY_MS, |call| if call % 2 == 0 { 5 } else { 3000 });
    assert!(
        (0.15..0.35).contains(&quarter),
        "with a quarter of the usual latency left, a fraction of {quarter} was sent, expected 0.15 to 0.35"
    );
    assert!(whole > 0.98, "a fraction of {whole} of the others was sent, expected more than 0.98");
}

/// Guards against requests that cannot be served in time by an overloaded tier. Requests take longer there, so the
/// usual latency as the time left is not enough.
#[test]
fn in_congestion_requests_need_more_time_left_than_the_usual_latency() {
    let mut bench = bench();
    run(&mut bench, 100, 0, |_| 3000);
    // Half of the requests time out after the whole latency objective. After that, requests with 25 ms left, a little
    // more than the usual latency, compete with the others.
    run(&mut bench, 100, 3000, |call| if call % 2 == 0 { 1100 } else { 3000 });
    let mut admitted = [0, 0];
    for call in 0..400 {
        bench.advance(millis(100));
        let short = call % 4 == 0;
        bench.time_left = millis(if short { 25 } else { 3000 });
        let (id, actions) = bench.offer(Some(0));
        if sent_upstream(&actions).is_some() {
            admitted[usize::from(!short)] += 1;
            let late = call % 4 == 1;
            let (outcome, duration) =
                if late { (Outcome::TimedOut, 1000) } else { (Outcome::Success, USUAL_LATENCY_MS) };
            bench.end_attempt(id, 0, outcome, millis(duration));
        }
    }
    let [short, whole] = [f64::from(admitted[0]) / 100.0, f64::from(admitted[1]) / 300.0];
    assert!(
        short < whole * 0.85 && short > 0.1,
        "a fraction of {short} of the requests with little time left was admitted and {whole} of the others"
    );
}

/// Guards against a baseline latency that stays too high because no request is sent any more. Here the very first
/// request takes fifty times the usual latency.
#[test]
fn a_baseline_learned_too_high_does_not_deny_all_requests() {
    let mut bench = bench();
    let (id, _) = bench.offer(Some(0));
    bench.end_attempt(id, 0, Outcome::Success, millis(50 * USUAL_LATENCY_MS));
    let first = run(&mut bench, 100, 0, |_| 100);
    let later = run(&mut bench, 100, 0, |_| 100);
    assert!(
        later[1] > 0.95,
        "fractions sent of the first 100 requests: {first:?}, of the next 100: {later:?}, expected more than 0.95"
    );
}

/// Guards against retries that have no time to succeed: a request that got no connection then ends at once.
#[test]
fn a_retry_also_depends_on_the_time_left() {
    let mut bench = bench();
    run(&mut bench, 100, 0, |_| 3000);
    let retried = (0..200)
        .filter(|_| {
            // The tier answers another request in between, so that the missing connections do not count as congestion.
            run(&mut bench, 1, 0, |_| 3000);
            bench.advance(millis(100));
            bench.time_left = millis(40);
            let (id, _) = bench.offer(Some(0));
            // 2 of the 40 ms are left, a tenth of the usual latency.
            bench.advance(millis(38));
            sent_upstream(&bench.end_with_connect_wait(
                id,
                0,
                Outcome::ConnectTimedOut,
                millis(38),
                millis(38),
            ))
            .is_some()
        })
        .count();
    assert!((5..50).contains(&retried), "{retried} of 200 requests were retried, expected 5 to 49");
}

/// Guards the mark on an attempt that no other can follow, which lets it wait for a connection for longest: the only
/// upstream, the last attempt allowed, or an empty retry budget.
#[test]
fn the_last_attempt_is_marked_as_such() {
    let last = |actions: &[Action]| {
        actions.iter().find_map(|action| match action {
            Action::Send { is_last_attempt, .. } => Some(*is_last_attempt),
            _ => None,
        })
    };
    let end_with_connect_timeout = |bench: &mut Bench, id, number| {
        last(&bench.end_with_connect_wait(id, number, Outcome::ConnectTimedOut, millis(6), millis(6)))
    };
    for (upstreams, expected_marks) in [
        (1, [Some(true), None, None]),
        (2, [Some(false), Some(true), None]),
        (4, [Some(false), Some(false), Some(true)]),
    ] {
        let settings = Settings::single_zone(vec![class(Idempotency::NotIdempotent)]);
        let mut bench = Bench::new(settings, 5, (0..upstreams).map(member).collect());
        let (id, actions) = bench.offer(None);
        assert_eq!(last(&actions), expected_marks[0], "{upstreams} upstreams");
        assert_eq!(end_with_connect_timeout(&mut bench, id, 0), expected_marks[1], "{upstreams} upstreams");
        if expected_marks[1].is_some() {
            assert_eq!(
                end_with_connect_timeout(&mut bench, id, 1),
                expected_marks[2],
                "{upstreams} upstreams"
            );
        }
    }
    // Each request adds half a retry to the retry budget and takes two, so that the budget is used up.
    let settings = Settings::single_zone(vec![class(Idempotency::NotIdempotent)]);
    let mut bench = Bench::new(settings, 5, (0..4).map(member).collect());
    let is_marked = (0..40).any(|_| {
        let (id, actions) = bench.offer(None);
        for number in 0..3 {
            end_with_connect_timeout(&mut bench, id, number);
        }
        // A connection to each upstream shows that it is reachable, so that none is ejected.
        (0..4).for_each(|id| drop(bench.report(balancer_policy::Event::Connected(EndpointId(id)))));
        last(&actions) == Some(true)
    });
    assert!(is_marked, "with an empty retry budget, no first attempt was marked as the last");
}
