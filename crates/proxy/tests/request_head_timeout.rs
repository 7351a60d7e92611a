//! The timeout for reading a request head. It counts from the first byte of the head, also on a connection that has
//! carried requests before. Idle time and the time in which an earlier request is answered do not count.

mod common;

use std::io::Read;
use std::sync::{Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// Time within which a client that sends an incomplete request gets an error or its connection is closed.
const MAX_TIME_TO_CLOSE: Duration = Duration::from_secs(3);
/// A head that arrives completely within this time of its first byte is always read.
const MIN_HEAD_TIME: Duration = Duration::from_millis(2200);

/// An incomplete request head.
const PARTIAL_HEAD: &[u8] = b"POST /order HTTP/1.1\r\nHost: a\r\nX-Requ";

/// Checks that the balancer sends nothing more and closes the connection between [`MIN_HEAD_TIME`] and
/// [`MAX_TIME_TO_CLOSE`] after the head began. The test only knows that the head began between `earliest` and `latest`.
fn assert_closed_in_time(case: &str, client: &mut Client, earliest: Instant, latest: Instant) {
    client.0.set_read_timeout(Some(Duration::from_secs(8))).expect("the socket option is set");
    let end = client.0.read(&mut [0]).expect("closed within 8 s");
    let (longest, shortest) = (earliest.elapsed(), latest.elapsed());
    assert_eq!(end, 0, "{case}: expected the connection to be closed, got data");
    assert!(
        longest >= MIN_HEAD_TIME && shortest < MAX_TIME_TO_CLOSE,
        "{case}: expected a close within {MIN_HEAD_TIME:?} to {MAX_TIME_TO_CLOSE:?}, got {shortest:?} to {longest:?}"
    );
}

/// Guards against sockets held by clients that send earlier requests completely and then stop within the next head.
#[test]
fn an_incomplete_later_head_is_closed_in_time() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
    let chunked = b"POST /order HTTP/1.1\r\nHost: a\r\nX-Request-Id: r\r\nX-Tenant: acme\r\n\
                    Transfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n";
    let earlier_requests: [(&str, Vec<u8>); 3] = [
        ("after one request", order_followed_by(b"")),
        ("after three", order_followed_by(b"").repeat(3)),
        ("after a chunked one", chunked.to_vec()),
    ];
    thread::scope(|scope| {
        for (case, earlier) in &earlier_requests {
            for partial in [&PARTIAL_HEAD[..1], PARTIAL_HEAD, b"\r\n\r\nP"] {
                let mut client = balancer.client();
                scope.spawn(move || {
                    client.send_bytes(earlier);
                    for _ in 0..if *case == "after three" { 3 } else { 1 } {
                        assert_eq!(client.answer().expect("an answer").status(), 200, "{case}");
                    }
                    // Idle time before the first byte does not count towards the head's timeout.
                    thread::sleep(Duration::from_millis(600));
                    let begun = Instant::now();
                    client.send_bytes(partial);
                    assert_closed_in_time(case, &mut client, begun, begun);
                });
            }
        }
    });
    // The balancer still serves, and none of the incomplete requests reached the upstream.
    assert_eq!(balancer.client().ask("order", "one").status(), 200);
    assert_eq!(upstream.requests().len(), 16);
}

/// Guards against sockets held by clients whose incomplete head is sent in one write with the request before it.
#[test]
fn an_incomplete_head_written_with_a_request_is_closed_in_time() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
    thread::scope(|scope| {
        for count in [1, 3] {
            let mut client = balancer.client();
            scope.spawn(move || {
                let sent = Instant::now();
                client.send_bytes(&[order_followed_by(b"").repeat(count), PARTIAL_HEAD.to_vec()].concat());
                for _ in 0..count {
                    assert_eq!(client.answer().expect("an answer").status(), 200);
                }
                assert_closed_in_time(&format!("behind {count} requests"), &mut client, sent, Instant::now());
            });
        }
    });
}

/// Guards against closing connections of slow clients too early: if half a head arrives while the request before it
/// waits for its upstream, the head's timeout counts from that request's answer. The request is served if the rest of
/// the head arrives within that time.
#[test]
fn the_head_timeout_counts_from_the_previous_answer() {
    let (release, release_signal) = mpsc::channel::<()>();
    let release_signal = Mutex::new(release_signal);
    let upstream = Upstream::start(move |number, _| {
        if number < 2 {
            let _ = release_signal.lock().expect("lock not poisoned").recv();
        }
        ok("served")
    });
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
    let next = order_followed_by(b"");
    let (head, tail) = next.split_at(40);
    let mut clients = [balancer.client(), balancer.client()];
    for client in &mut clients {
        client.send_bytes(&order_followed_by(b""));
    }
    upstream.wait_requests(2);
    for client in &mut clients {
        client.send_bytes(head);
    }
    thread::sleep(MAX_TIME_TO_CLOSE);
    let released = Instant::now();
    for _ in &clients {
        release.send(()).expect("the upstream waits");
    }
    for client in &mut clients {
        assert_eq!(client.answer().expect("an answer").status(), 200);
    }
    let answered = Instant::now();
    let [mut finishes, mut stops] = clients;
    thread::sleep(Duration::from_millis(500));
    finishes.send_bytes(tail);
    assert_eq!(finishes.answer().expect("an answer").status(), 200);
    assert_closed_in_time("head begun during the wait", &mut stops, released, answered);
}

/// Guards against closing connections of clients that write slowly but steadily: each head that arrives within the
/// timeout is read, also several on one connection.
#[test]
fn slow_heads_within_the_timeout_are_served() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
    let mut client = balancer.client();
    assert_eq!(client.ask("order", "one").status(), 200);
    for _ in 0..3 {
        for piece in order_followed_by(b"").chunks(10) {
            client.send_bytes(piece);
            thread::sleep(Duration::from_millis(120));
        }
        assert_eq!(client.answer().expect("an answer").status(), 200);
    }
}

/// Guards against closing idle connections by the head timeout, both without any bytes and with the empty lines that
/// some clients send between requests.
#[test]
fn the_head_timeout_does_not_close_idle_connections() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
    let lines: [&[u8]; 3] = [b"", b"\r\n", b"\r\n\n\r\n"];
    let mut clients: Vec<Client> = lines.iter().map(|_| balancer.client()).collect();
    for (client, lines) in clients.iter_mut().zip(lines) {
        assert_eq!(client.ask("order", "one").status(), 200);
        client.send_bytes(lines);
    }
    thread::sleep(MAX_TIME_TO_CLOSE + Duration::from_secs(1));
    for (client, lines) in clients.iter_mut().zip(lines) {
        assert_eq!(client.ask("order", "two").status(), 200, "after the idle bytes {lines:?}");
    }
}

/// Guards against losing a partly received request at the socket limit: the balancer closes idle connections first.
#[test]
fn idle_connections_are_closed_before_partial_heads_at_the_socket_limit() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let discovery = Discovery::start();
    let known = [endpoint("s-1", upstream.address, 0, "ready")];
    let balancer = Balancer::start(&configuration(discovery.address, &known, 30.0, 48));
    let mut begun = balancer.client();
    assert_eq!(begun.ask("order", "one").status(), 200);
    let next = order_followed_by(b"");
    let (head, tail) = next.split_at(40);
    begun.send_bytes(head);
    let _idle: Vec<Client> = (0..60)
        .map(|_| {
            let mut client = balancer.client();
            assert_eq!(client.ask("order", "one").status(), 200);
            client
        })
        .collect();
    begun.send_bytes(tail);
    assert_eq!(begun.answer().expect("an answer").status(), 200);
}

/// Guards against losing a partly received request in a planned restart: when the drain begins to close connections, a
/// request whose head has begun on a reused connection is read and answered.
#[test]
fn a_partial_head_is_served_while_a_drain_closes_idle_connections() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let discovery = Discovery::start();
    let known = [endpoint("s-1", upstream.address, 0, "ready")];
    let mut child = start_program(&configuration(discovery.address, &known, 30.0, 1024));
    let (address, mut log) = address(&mut child);
    let mut begun = Client::connect(address);
    let mut idle = Client::connect(address);
    assert_eq!((begun.ask("order", "one").status(), idle.ask("order", "one").status()), (200, 200));
    signal(&child, "-TERM");
    wait_line(&mut log, "graceful shutdown, ");
    // The drain begins to close connections 0.9 s before the earliest SIGKILL, which comes 3.7 s after SIGTERM.
    thread::sleep(Duration::from_millis(2300));
    let next = order_followed_by(b"");
    let (head, tail) = next.split_at(40);
    begun.send_bytes(head);
    assert!(idle.answer().is_none(), "expected the drain to close the idle connection");
    begun.send_bytes(tail);
    let answer = begun.answer().expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(child.wait().expect("the program exits").success());
}
