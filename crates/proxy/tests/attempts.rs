//! Outcomes of attempts: what happens to their connections, and which final answer the client gets.

mod common;

use std::net::Shutdown;
use std::time::{Duration, Instant};

use common::*;

/// Guards forwarding and connection reuse: path, body and ids are forwarded unchanged, and the next request uses the
/// same connection after the reuse delay, within which a second answer could still arrive on it.
#[test]
fn an_answer_is_forwarded_and_the_connection_is_reused() {
    let upstream = Upstream::start(|number, _| ok(&format!("quote {number}")));
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
    let mut client = balancer.client();
    for number in 0..3 {
        let answer = client.ask("pay", "instalments");
        assert_eq!((answer.status(), answer.body), (200, format!("quote {number}").into_bytes()));
        let (answered, past_reuse_delay) = (Instant::now(), Duration::from_millis(40));
        wait_for("the reuse delay is over", || (answered.elapsed() > past_reuse_delay).then_some(()));
    }
    let requests = upstream.requests();
    assert_eq!(requests.len(), 3);
    for (connection, request) in requests {
        assert_eq!(connection, 1, "number of the connection that carried the request");
        assert_eq!(request.line, "POST /pay?k=7f HTTP/1.1");
        assert_eq!(request.body, b"instalments");
        assert_eq!(request.header("x-request-id"), Some("r-1"));
        assert_eq!(request.header("idempotency-key"), Some("k-1"));
        let deadline: f64 = request
            .header("x-deadline")
            .and_then(|text| text.parse().ok())
            .expect("the deadline header is a number");
        assert!(
            deadline > 0.0 && deadline <= 30.0,
            "expected a deadline between 0 and 30 s, got {deadline} s"
        );
    }
}

/// Guards against forwarding an upstream's own 503 to the client: the request may have run, but the client would take a
/// 503 as a refusal, which says that it did not run.
#[test]
fn a_503_without_the_not_run_header_is_a_failure() {
    for line in
        ["503 Service Unavailable", "500 Oops\r\nX-Not-Run: 1", "503 Busy\r\nX-Not-Run: 0", "429 Slow"]
    {
        let upstream = Upstream::start(move |_, _| status(line));
        let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
        let answer = balancer.client().ask("order", "one");
        assert_eq!(answer.status(), 502, "status after an upstream's {line}");
        assert_eq!(
            upstream.requests().len(),
            1,
            "number of times that an unsafe request that may have run was sent"
        );
    }
}

/// Guards the handling of a response marked as not run: an unsafe request is retried on another upstream, and when no
/// attempt is left it is refused at once, with a `Retry-After` header.
#[test]
fn a_503_with_the_not_run_header_is_retried_and_then_refused() {
    let start_full = || Upstream::start(|_, _| status("503 Full\r\nX-Not-Run: 1"));
    let (first, second) = (start_full(), start_full());
    let known = [endpoint("s-1", first.address, 0, "ready"), endpoint("s-2", second.address, 1, "ready")];
    let (balancer, _discovery) = Balancer::with(&known, 30.0);
    let answer = balancer.client().ask("order", "one");
    assert_eq!(answer.status(), 503);
    assert_eq!(answer.header("retry-after"), Some("1.500"));
    assert_eq!((first.requests().len(), second.requests().len()), (1, 1));
}

/// Guards the handling of refused connections, which prove that the request did not run: it is sent to another
/// upstream, and refused if there is none.
#[test]
fn a_request_after_a_refused_connection_is_retried_and_then_refused() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let known = [endpoint("s-1", dead_address(), 0, "ready"), endpoint("s-2", upstream.address, 1, "ready")];
    let (balancer, _discovery) = Balancer::with(&known, 30.0);
    for _ in 0..4 {
        assert_eq!(balancer.client().ask("order", "one").status(), 200);
    }
    let (without_alternative, _discovery) =
        Balancer::with(&[endpoint("s-1", dead_address(), 0, "ready")], 30.0);
    assert_eq!(without_alternative.client().ask("order", "one").status(), 503);
}

/// Guards against a retry that the policy did not decide on, and against a refusal for a request that may have run: if
/// the connection breaks after the last byte of the request was sent, the attempt ends as a reset, whatever part of an
/// answer was received.
#[test]
fn a_request_whose_connection_breaks_after_the_last_byte_is_not_retried() {
    for part in [
        "",
        "HTTP/1.1 200 OK\r\nContent-Le",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab",
        "\0\r\ngarbage\r\n\r\n",
    ] {
        let upstream = Upstream::start(move |number, _| match number {
            0 => ok("first"),
            _ => Reply::Last(part.as_bytes().to_vec()),
        });
        let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
        let mut client = balancer.client();
        assert_eq!(client.ask("order", "one").status(), 200);
        assert_eq!(client.ask("order", "two").status(), 502, "status after the partial answer {part:?}");
        assert_eq!(upstream.requests().len(), 2, "{part:?}: number of requests at the upstream");
    }
}

/// Guards the deduplication scope of a keyed request: a request that may have run is retried only within the cell in
/// which duplicates are dropped.
#[test]
fn a_keyed_request_is_retried_only_within_its_cell() {
    let start_failing = || Upstream::start(|_, _| Reply::Last(Vec::new()));
    let (first, same, other) = (start_failing(), start_failing(), start_failing());
    let known = [
        endpoint("s-1", first.address, 4, "ready"),
        endpoint("s-2", same.address, 4, "ready"),
        endpoint("s-3", other.address, 5, "ready"),
    ];
    let (balancer, _discovery) = Balancer::with(&known, 30.0);
    assert_eq!(balancer.client().ask("pay", "one").status(), 502);
    let seen = [first.requests().len() + same.requests().len(), other.requests().len()];
    assert!(
        seen == [2, 0] || seen == [0, 1],
        "requests at the first cell's upstreams and at the other cell's: {seen:?}"
    );
}

/// Guards against a late answer on a reused connection: an attempt that times out closes its connection.
#[test]
fn a_timed_out_attempt_closes_its_connection() {
    let upstream = Upstream::start(|number, _| if number == 0 { Reply::Silence } else { ok("late") });
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 0.3);
    let mut client = balancer.client();
    assert_eq!(client.ask("order", "one").status(), 502);
    upstream.wait_closed(1);
    assert_eq!(upstream.requests().len(), 1);
}

/// Guards against applying the class's long deadline to a client that sent a shorter one.
#[test]
fn a_request_ends_by_the_clients_deadline() {
    let upstream = Upstream::start(|_, _| Reply::Silence);
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 59.0);
    let mut client = balancer.client();
    client.send_bytes(
        b"GET /read HTTP/1.1\r\nHost: a\r\nX-Request-Id: r\r\nX-Tenant: acme\r\nX-Deadline: 0.2\r\n\r\n",
    );
    let status = client.answer().expect("the balancer answers long before the class's deadline").status();
    assert!(status == 502 || status == 503, "expected status 502 or 503, got {status}");
    upstream.wait_closed(1);
}

/// Guards upstreams against work whose result nobody needs: if a client disconnects, its attempt is cancelled.
#[test]
fn a_client_that_disconnects_cancels_its_attempt() {
    let upstream = Upstream::start(|_, _| Reply::Silence);
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 50.0);
    let mut client = balancer.client();
    client.send("order", "one");
    upstream.wait_requests(1);
    client.0.shutdown(Shutdown::Both).expect("the connection is open");
    upstream.wait_closed(1);
    assert_eq!(upstream.requests().len(), 1);
}

/// Guards against writing to a connection that the upstream has closed: the next request uses a new connection.
#[test]
fn a_connection_that_the_upstream_closed_is_not_reused() {
    let upstream = Upstream::start(|_, _| {
        Reply::Last(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok".to_vec())
    });
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
    let mut client = balancer.client();
    for served in 1..=4 {
        assert_eq!(client.ask("order", "one").status(), 200);
        assert_eq!((upstream.requests().len(), upstream.connections()), (served, served));
    }
}

/// Guards memory and the client against an answer that is larger than the protocol allows.
#[test]
fn an_oversized_answer_is_a_failed_attempt() {
    let upstream = Upstream::start(|_, _| ok(&"x".repeat(65 * 1024)));
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
    assert_eq!(balancer.client().ask("order", "one").status(), 502);
}

/// Guards upstreams and concurrency limits against a client's bad request: a request that an upstream rejects fails at
/// once, is not sent to another upstream, and counts neither against the upstream nor as congestion.
#[test]
fn a_request_that_an_upstream_rejects_is_not_retried() {
    let (first, second) =
        (Upstream::start(|_, _| status("400 Bad Request")), Upstream::start(|_, _| status("404 Not Found")));
    let known = [endpoint("s-1", first.address, 0, "ready"), endpoint("s-2", second.address, 1, "ready")];
    let (balancer, _discovery) = Balancer::with(&known, 30.0);
    let mut client = balancer.client();
    for asked in 1..=8 {
        assert_eq!(client.ask("read", "").status(), 502);
        assert_eq!(first.requests().len() + second.requests().len(), asked);
    }
}

/// Guards requests that must not run twice against idle connections that the upstream resets: after one such reset
/// these requests get new connections, while requests that may be repeated still use idle connections, which shows when
/// the upstream has stopped resetting them.
#[test]
fn after_an_idle_reset_only_repeatable_requests_use_long_idle_connections() {
    let upstream =
        Upstream::start(|number, _| if number == 1 { Reply::Last(Vec::new()) } else { ok("served") });
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
    let mut client = balancer.client();
    let mut ask = |class: &str, status: u16| {
        assert_eq!(client.ask(class, "").status(), status);
        let answered = Instant::now();
        let idle = Duration::from_millis(100);
        wait_for("the connection has been idle for 100 ms", || (answered.elapsed() > idle).then_some(()));
    };
    ask("read", 200);
    ask("read", 503);
    ask("read", 200);
    ask("order", 200);
    ask("read", 200);
    let connections: Vec<usize> = upstream.requests().iter().map(|(connection, _)| *connection).collect();
    assert_eq!(connections, [1, 1, 2, 3, 3]);
}
