//! What the time that a request has left decides: whether it goes out, how long it waits for a connection, and what
//! its time-out tells.

mod common;

use balancer_policy::interface::*;
use balancer_policy::{Action, Settings};
use common::*;

/// Calls of the tests take this long.
const USUAL_MS: u64 = 20;

/// A first-tier replica whose tenant may send 10 calls a second and the chance of that.
fn bench() -> Bench {
    let mut settings = Settings::single_zone(vec![class(Idempotency::Idempotent)]);
    settings.tenants = vec![Tenant { quota: Some(10.0) }];
    settings.over_quota_weight = 0.0;
    Bench::new(settings, 5, (0..4).map(member).collect())
}

/// Offers 10 calls a second, each with the time left that `left` says; what goes out is answered in the usual time or,
/// with less left than `needs`, times out. Tells how many went out of those that had less, and of the others.
fn run(bench: &mut Bench, calls: u64, needs: u64, left: impl Fn(u64) -> u64) -> [f64; 2] {
    let mut out = [(0, 0); 2];
    for call in 0..calls {
        bench.pass(millis(100));
        let left = left(call);
        bench.time_left = millis(left);
        let (id, actions) = bench.offer(Some(0));
        let (went, offered) = &mut out[usize::from(left >= needs)];
        *offered += 1;
        if sent(&actions).is_some() {
            *went += 1;
            let (outcome, duration) =
                if left < needs { (Outcome::TimedOut, left.min(1000)) } else { (Outcome::Success, USUAL_MS) };
            bench.end(id, 0, outcome, millis(duration));
        }
    }
    out.map(|(went, offered)| f64::from(went) / f64::from(offered.max(1)))
}

/// Found on a day on which clients gave up early or came again with little time left: a third of the attempts timed
/// out within some 20 ms, passed for congestion, and the limits fell to their floor while no upstream had a queue.
#[test]
fn a_time_out_of_little_time_is_no_congestion() {
    let mut bench = bench();
    run(&mut bench, 100, 0, |_| 3000);
    // A quarter has just over the usual time, and one upstream in them is a little slower than that.
    let [short, whole] = run(&mut bench, 400, 25, |call| if call % 4 == 0 { 24 } else { 3000 });
    assert!(short > 0.95 && whole > 0.95, "{short} of the short calls admitted, {whole} of the others");
}

/// Guards the other side: where upstreams had the whole latency objective, a quarter that times out is congestion as
/// ever.
#[test]
fn a_time_out_of_the_whole_latency_objective_is_congestion() {
    let mut bench = bench();
    run(&mut bench, 100, 0, |_| 3000);
    let [slow, whole] = run(&mut bench, 400, 3000, |call| if call % 4 == 0 { 1100 } else { 3000 });
    assert!(slow < 0.9 && whole < 0.9, "{slow} of the slow calls admitted, {whole} of the others");
}

/// Found on a day on which clients left a full tier in a burst: what they had waited counted for nothing, as nobody
/// answered it, and the limits stood for seconds. Leaving before the usual time shows nothing.
#[test]
fn clients_that_leave_after_long_show_congestion() {
    let admitted = |waited: u64| {
        let mut bench = bench();
        run(&mut bench, 100, 0, |_| 3000);
        let mut went = 0;
        for call in 0..400 {
            bench.pass(millis(100));
            let (id, actions) = bench.offer(Some(0));
            if sent(&actions).is_some() {
                went += 1;
                let leaves = call % 2 == 0;
                if leaves {
                    bench.tell(balancer_policy::Event::ClientDisconnected(id));
                }
                let (outcome, duration) =
                    if leaves { (Outcome::Cancelled, waited) } else { (Outcome::Success, USUAL_MS) };
                bench.end(id, 0, outcome, millis(duration));
            }
        }
        f64::from(went) / 400.0
    };
    let (soon, long) = (admitted(USUAL_MS / 2), admitted(USUAL_MS * 4));
    assert!(
        soon > 0.98 && long < 0.9,
        "{soon} admitted where clients leave soon, {long} where they waited for long"
    );
}

/// Found on the same days: attempts with a few milliseconds left used the places of calls that could have ended.
#[test]
fn a_request_goes_out_by_the_chance_of_its_time_left() {
    let mut bench = bench();
    run(&mut bench, 100, 0, |_| 3000);
    let [quarter, whole] = run(&mut bench, 800, USUAL_MS, |call| if call % 2 == 0 { 5 } else { 3000 });
    assert!(
        (0.15..0.35).contains(&quarter),
        "{quarter} of the requests with a quarter of the usual time went out"
    );
    assert!(whole > 0.98, "{whole} of the others");
}

/// Found on days with a truly full tier: calls take longer there, and one with the usual time left is as hopeless.
#[test]
fn in_congestion_calls_need_more_than_the_usual_time() {
    let mut bench = bench();
    run(&mut bench, 100, 0, |_| 3000);
    // Half time out at the whole latency objective; then those with a little more than the usual time compete with the
    // others.
    run(&mut bench, 100, 3000, |call| if call % 2 == 0 { 1100 } else { 3000 });
    let mut admitted = [0, 0];
    for call in 0..400 {
        bench.pass(millis(100));
        let short = call % 4 == 0;
        bench.time_left = millis(if short { 25 } else { 3000 });
        let (id, actions) = bench.offer(Some(0));
        if sent(&actions).is_some() {
            admitted[usize::from(!short)] += 1;
            let late = call % 4 == 1;
            let (outcome, duration) =
                if late { (Outcome::TimedOut, 1000) } else { (Outcome::Success, USUAL_MS) };
            bench.end(id, 0, outcome, millis(duration));
        }
    }
    let [short, whole] = [f64::from(admitted[0]) / 100.0, f64::from(admitted[1]) / 300.0];
    assert!(
        short < whole * 0.85 && short > 0.1,
        "{short} of the short calls admitted, {whole} of the others"
    );
}

/// Guards against a usual time that stands because nothing is sent any more: the first call alone took fifty times
/// what calls take.
#[test]
fn a_baseline_learned_too_long_does_not_deny_all_calls() {
    let mut bench = bench();
    let (id, _) = bench.offer(Some(0));
    bench.end(id, 0, Outcome::Success, millis(50 * USUAL_MS));
    let first = run(&mut bench, 100, 0, |_| 100);
    let later = run(&mut bench, 100, 0, |_| 100);
    assert!(later[1] > 0.95, "{first:?} of 100 requests, then {later:?} of another 100");
}

/// Guards retries: with no time for one, a request that found no connection ends at once.
#[test]
fn a_retry_goes_by_the_time_left_too() {
    let mut bench = bench();
    run(&mut bench, 100, 0, |_| 3000);
    let again = (0..200)
        .filter(|_| {
            // The tier answers others, so that no congestion is met.
            run(&mut bench, 1, 0, |_| 3000);
            bench.pass(millis(100));
            bench.time_left = millis(40);
            let (id, _) = bench.offer(Some(0));
            // Two of the 40 ms are left, a tenth of the usual time.
            bench.pass(millis(38));
            sent(&bench.end_late(id, 0, Outcome::ConnectTimedOut, millis(38), millis(38))).is_some()
        })
        .count();
    assert!((5..50).contains(&again), "{again} of 200 went out again");
}

/// Guards the longest wait for a connection where no other attempt can follow: with one upstream, at the last attempt
/// allowed, and with nothing saved up for another.
#[test]
fn the_last_attempt_is_marked_as_such() {
    let last = |actions: &[Action]| {
        actions.iter().find_map(|action| match action {
            Action::Send { is_last_attempt, .. } => Some(*is_last_attempt),
            _ => None,
        })
    };
    let connect_times_out = |bench: &mut Bench, id, number| {
        last(&bench.end_late(id, number, Outcome::ConnectTimedOut, millis(6), millis(6)))
    };
    for (upstreams, said) in [
        (1, [Some(true), None, None]),
        (2, [Some(false), Some(true), None]),
        (4, [Some(false), Some(false), Some(true)]),
    ] {
        let settings = Settings::single_zone(vec![class(Idempotency::NotIdempotent)]);
        let mut bench = Bench::new(settings, 5, (0..upstreams).map(member).collect());
        let (id, actions) = bench.offer(None);
        assert_eq!(last(&actions), said[0], "{upstreams} upstreams");
        assert_eq!(connect_times_out(&mut bench, id, 0), said[1], "{upstreams} upstreams");
        if said[1].is_some() {
            assert_eq!(connect_times_out(&mut bench, id, 1), said[2], "{upstreams} upstreams");
        }
    }
    // Each request earns half of a retry and pays two: what was saved up is used up.
    let settings = Settings::single_zone(vec![class(Idempotency::NotIdempotent)]);
    let mut bench = Bench::new(settings, 5, (0..4).map(member).collect());
    let is_marked = (0..40).any(|_| {
        let (id, actions) = bench.offer(None);
        for number in 0..3 {
            connect_times_out(&mut bench, id, number);
        }
        // They are within reach all the same.
        (0..4).for_each(|id| drop(bench.tell(balancer_policy::Event::Connected(EndpointId(id)))));
        last(&actions) == Some(true)
    });
    assert!(is_marked, "a first attempt that none could follow was not marked as the last");
}
