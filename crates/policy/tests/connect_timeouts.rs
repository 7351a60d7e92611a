//! Connect timeouts of one endpoint: when it is ejected, what ends the ejection, and which connections count as open.

mod common;

use balancer_policy::interface::*;
use balancer_policy::{Event, Settings};
use common::*;

/// Returns how many of 200 requests are sent to the first upstream, while all upstreams answer.
fn requests_to_first(bench: &mut Bench) -> usize {
    (0..200).filter(|_| bench.run(|_| (Outcome::Success, millis(2))) == [EndpointId(0)]).count()
}

/// A replica with four upstreams, the first of which was ejected after each of its attempts ended with `outcome`.
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
    assert_eq!(
        requests_to_first(&mut first_ejected(Outcome::ConnectTimedOut)),
        0,
        "expected the first upstream to be ejected"
    );
    let mut bench = first_ejected(Outcome::ConnectTimedOut);
    assert_eq!(bench.report(Event::Connected(EndpointId(0))), []);
    let requests = requests_to_first(&mut bench);
    assert!(
        (30..70).contains(&requests),
        "expected 30 to 70 of 200 requests after a connection came up, saw {requests}"
    );
}

#[test]
fn a_connection_does_not_end_an_ejection_for_errors() {
    let mut bench = first_ejected(Outcome::Error);
    for upstream in [0, 0, 99] {
        assert_eq!(bench.report(Event::Connected(EndpointId(upstream))), []);
    }
    assert_eq!(requests_to_first(&mut bench), 0);
}

/// Guards against an ejection for late connections that occur by chance: two in a row do not eject an endpoint, nor do
/// many with answers or connections between them.
#[test]
fn an_answer_or_a_connection_ends_a_series_of_connect_timeouts() {
    for between in [None, Some(Outcome::Success), Some(Outcome::Refused), Some(Outcome::InvalidRequest)] {
        let mut bench =
            Bench::new(Settings::single_zone(vec![class(Idempotency::Idempotent)]), 3, vec![member(0)]);
        // If the first upstream were ejected, the requests would go to the second one.
        bench.report(Event::List(ListUpdate::Snapshot(vec![member(0), member(1)])));
        let mut events_at_first = 0;
        let mut requests = 0;
        for _ in 0..400 {
            let (id, actions) = bench.offer(None);
            let first = sent_upstream(&actions) == Some(EndpointId(0));
            requests += u32::from(first);
            events_at_first += u32::from(first);
            let late = first && events_at_first % 3 != 0;
            if first && events_at_first % 3 == 0 && between.is_none() {
                assert_eq!(bench.report(Event::Connected(EndpointId(0))), []);
                events_at_first += 1;
            }
            bench.advance(millis(2));
            let outcome = if late { Outcome::ConnectTimedOut } else { between.unwrap_or(Outcome::Success) };
            bench.end_attempt(id, 0, if first { outcome } else { Outcome::Success }, millis(2));
            if late {
                bench.report(Event::ClientDisconnected(id));
            }
        }
        assert!(
            requests > 120,
            "expected above 120 of 400 requests at the first upstream with {between:?} between timeouts, saw {requests}"
        );
    }
}

/// Returns how many of 60 replicas, for which a handshake has a cost, send a request to the fourth of eight upstreams
/// after `prepare` was called for them.
fn requests_to_fourth(prepare: impl Fn(&mut Bench)) -> usize {
    let mut settings = Settings::single_zone(vec![class(Idempotency::Idempotent)]);
    settings.costs.handshake = 0.1;
    let requests = (0..60).filter(|&seed| {
        let mut bench = Bench::new(settings.clone(), seed, (0..8).map(member).collect());
        prepare(&mut bench);
        sent_upstream(&bench.offer(None).1) == Some(EndpointId(3))
    });
    requests.count()
}

#[test]
fn late_connections_are_counted_once_they_are_up() {
    let none = requests_to_fourth(|_| {});
    let one = requests_to_fourth(|bench| assert_eq!(bench.report(Event::Connected(EndpointId(3))), []));
    assert!(
        none < 15 && one > 30,
        "requests at the fourth upstream: {none} of 60 without, {one} with a connection"
    );
    // The attempt times out while it waits for a connection, although one counts as open: that one no longer counts.
    let lost = requests_to_fourth(|bench| {
        bench.report(Event::Connected(EndpointId(3)));
        let (id, _) = bench.offer(None);
        bench.end_attempt(id, 0, Outcome::ConnectTimedOut, millis(2));
        bench.report(Event::ClientDisconnected(id));
    });
    assert!(lost < 15, "expected below 15 of 60 requests with a connection that was lost, saw {lost}");
}
