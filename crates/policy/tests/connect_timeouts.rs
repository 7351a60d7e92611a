//! Connect timeouts of one endpoint: what ejects it, what ends that, and which connections count as open.

mod common;

use balancer_policy::interface::*;
use balancer_policy::{Event, Settings};
use common::*;

/// The calls of 200 that go to the first of four upstreams, which answer all.
fn calls_to_the_first(bench: &mut Bench) -> usize {
    (0..200).filter(|_| bench.run(|_| (Outcome::Success, millis(2))) == [EndpointId(0)]).count()
}

/// Four upstreams, of which the first has ended each of its attempts with `outcome` until it was ejected.
fn first_ejected(outcome: Outcome) -> Bench {
    let mut bench = Bench::new(
        Settings::single_zone(vec![class(Idempotency::Idempotent)]),
        3,
        (0..4).map(member).collect(),
    );
    for _ in 0..40 {
        bench.run(|id| (if id == EndpointId(0) { outcome } else { Outcome::Success }, millis(2)));
    }
    bench
}

#[test]
fn a_connection_ends_an_ejection_for_connect_timeouts() {
    assert_eq!(calls_to_the_first(&mut first_ejected(Outcome::ConnectTimedOut)), 0, "not ejected");
    let mut bench = first_ejected(Outcome::ConnectTimedOut);
    assert_eq!(bench.tell(Event::Connected(EndpointId(0))), []);
    let calls = calls_to_the_first(&mut bench);
    assert!((30..70).contains(&calls), "{calls} of 200 after a connection came up");
}

#[test]
fn a_connection_ends_no_ejection_for_errors() {
    let mut bench = first_ejected(Outcome::Error);
    for upstream in [0, 0, 99] {
        assert_eq!(bench.tell(Event::Connected(EndpointId(upstream))), []);
    }
    assert_eq!(calls_to_the_first(&mut bench), 0);
}

/// Two late connections in a row are chance, as are many with answers between them.
#[test]
fn an_answer_or_a_connection_breaks_a_row_of_connect_timeouts() {
    for between in [None, Some(Outcome::Success), Some(Outcome::Refused), Some(Outcome::InvalidRequest)] {
        let mut bench =
            Bench::new(Settings::single_zone(vec![class(Idempotency::Idempotent)]), 3, vec![member(0)]);
        // The second upstream shows by its calls whether the first is ejected.
        bench.tell(Event::List(ListUpdate::Snapshot(vec![member(0), member(1)])));
        let mut met = 0;
        let mut calls = 0;
        for _ in 0..400 {
            let (id, actions) = bench.offer(None);
            let first = sent(&actions) == Some(EndpointId(0));
            calls += u32::from(first);
            met += u32::from(first);
            let late = first && met % 3 != 0;
            if first && met % 3 == 0 && between.is_none() {
                assert_eq!(bench.tell(Event::Connected(EndpointId(0))), []);
                met += 1;
            }
            bench.pass(millis(2));
            let outcome = if late { Outcome::ConnectTimedOut } else { between.unwrap_or(Outcome::Success) };
            bench.end(id, 0, if first { outcome } else { Outcome::Success }, millis(2));
            if late {
                bench.tell(Event::ClientDisconnected(id));
            }
        }
        assert!(calls > 120, "{calls} of 400 with {between:?} between");
    }
}

/// Of benches whose handshakes have a price, the calls of 60 that go to the fourth of eight upstreams after `what`.
fn calls_to_the_fourth(what: impl Fn(&mut Bench)) -> usize {
    let mut settings = Settings::single_zone(vec![class(Idempotency::Idempotent)]);
    settings.costs.handshake = 0.1;
    let calls = (0..60).filter(|&seed| {
        let mut bench = Bench::new(settings.clone(), seed, (0..8).map(member).collect());
        what(&mut bench);
        sent(&bench.offer(None).1) == Some(EndpointId(3))
    });
    calls.count()
}

#[test]
fn late_connections_are_counted_once_they_are_up() {
    let none = calls_to_the_fourth(|_| {});
    let one = calls_to_the_fourth(|bench| assert_eq!(bench.tell(Event::Connected(EndpointId(3))), []));
    assert!(none < 15 && one > 30, "{none} without, {one} with a connection");
    // The connection is not the one that the attempt waited for: that never came.
    let lost = calls_to_the_fourth(|bench| {
        bench.tell(Event::Connected(EndpointId(3)));
        let (id, _) = bench.offer(None);
        bench.end(id, 0, Outcome::ConnectTimedOut, millis(2));
        bench.tell(Event::ClientDisconnected(id));
    });
    assert!(lost < 15, "{lost} with a connection that was lost");
}
