//! The time of a request's head: it counts from the first byte, on a connection that has carried requests too, and
//! neither rest nor another request's wait is part of it.

mod common;

use std::io::Read;
use std::sync::{Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// A peer that does not send a whole request gets an error or a close within this time.
const OWED: Duration = Duration::from_secs(3);
/// A head that comes whole within this time of its first byte is always read.
const FAIR: Duration = Duration::from_millis(2200);

/// A head that lacks its end.
const HALF: &[u8] = b"POST /order HTTP/1.1\r\nHost: a\r\nX-Requ";

/// Checks that nothing more comes, and that the connection is closed in its time: that of the head began somewhere
/// between these two, as far as the test can tell.
fn assert_closed_in_time(case: &str, client: &mut Client, earliest: Instant, latest: Instant) {
    client.0.set_read_timeout(Some(Duration::from_secs(8))).expect("set");
    let end = client.0.read(&mut [0]).expect("closed within 8 s");
    let (longest, shortest) = (earliest.elapsed(), latest.elapsed());
    assert_eq!(end, 0, "{case}: something came");
    assert!(longest >= FAIR && shortest < OWED, "{case}: closed after {shortest:?} to {longest:?}");
}

/// Guards the sockets against clients that stop in the middle of a later request's head and stay.
#[test]
fn a_later_head_that_stops_is_closed_in_time() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
    let chunked = b"POST /order HTTP/1.1\r\nHost: a\r\nX-Request-Id: r\r\nX-Tenant: acme\r\n\
                    Transfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n";
    let befores: [(&str, Vec<u8>); 3] = [
        ("after one request", order_with(b"")),
        ("after three", order_with(b"").repeat(3)),
        ("after a chunked one", chunked.to_vec()),
    ];
    thread::scope(|scope| {
        for (case, before) in &befores {
            for part in [&HALF[..1], HALF, b"\r\n\r\nP"] {
                let mut client = balancer.client();
                scope.spawn(move || {
                    client.raw(before);
                    for _ in 0..if *case == "after three" { 3 } else { 1 } {
                        assert_eq!(client.answer().expect("an answer").status(), 200, "{case}");
                    }
                    // Rest is no part of the head's time.
                    thread::sleep(Duration::from_millis(600));
                    let begun = Instant::now();
                    client.raw(part);
                    assert_closed_in_time(case, &mut client, begun, begun);
                });
            }
        }
    });
    // None of them harmed the balancer, and nothing of them went on.
    assert_eq!(balancer.client().ask("order", "one").status(), 200);
    assert_eq!(upstream.requests().len(), 16);
}

/// Guards the same where the half head comes with the request before it, in one piece.
#[test]
fn half_a_head_behind_a_request_is_closed_in_time() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
    thread::scope(|scope| {
        for count in [1, 3] {
            let mut client = balancer.client();
            scope.spawn(move || {
                let sent = Instant::now();
                client.raw(&[order_with(b"").repeat(count), HALF.to_vec()].concat());
                for _ in 0..count {
                    assert_eq!(client.answer().expect("an answer").status(), 200);
                }
                assert_closed_in_time(&format!("behind {count}"), &mut client, sent, Instant::now());
            });
        }
    });
}

/// Guards clients that write slowly against time that they do not have in hand: half a head that came while the
/// request before it waited has its time from the answer, and is served if its rest comes then.
#[test]
fn the_time_of_a_head_counts_from_the_answer_before_it() {
    let (release, release_signal) = mpsc::channel::<()>();
    let release_signal = Mutex::new(release_signal);
    let upstream = Upstream::start(move |number, _| {
        if number < 2 {
            let _ = release_signal.lock().expect("no panic").recv();
        }
        ok("served")
    });
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
    let next = order_with(b"");
    let (head, tail) = next.split_at(40);
    let mut clients = [balancer.client(), balancer.client()];
    for client in &mut clients {
        client.raw(&order_with(b""));
    }
    upstream.wait_requests(2);
    for client in &mut clients {
        client.raw(head);
    }
    thread::sleep(OWED);
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
    finishes.raw(tail);
    assert_eq!(finishes.answer().expect("an answer").status(), 200);
    assert_closed_in_time("in the wait", &mut stops, released, answered);
}

/// Guards clients that write slowly but steadily: a head within its time is read, one after the other.
#[test]
fn slow_heads_within_their_time_are_served() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
    let mut client = balancer.client();
    assert_eq!(client.ask("order", "one").status(), 200);
    for _ in 0..3 {
        for piece in order_with(b"").chunks(10) {
            client.raw(piece);
            thread::sleep(Duration::from_millis(120));
        }
        assert_eq!(client.answer().expect("an answer").status(), 200);
    }
}

/// Guards connections that rest: without a byte, and with the empty lines that some clients send between requests.
#[test]
fn a_connection_without_a_begun_head_may_rest() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
    let lines: [&[u8]; 3] = [b"", b"\r\n", b"\r\n\n\r\n"];
    let mut clients: Vec<Client> = lines.iter().map(|_| balancer.client()).collect();
    for (client, lines) in clients.iter_mut().zip(lines) {
        assert_eq!(client.ask("order", "one").status(), 200);
        client.raw(lines);
    }
    thread::sleep(OWED + Duration::from_secs(1));
    for (client, lines) in clients.iter_mut().zip(lines) {
        assert_eq!(client.ask("order", "two").status(), 200, "{lines:?}");
    }
}

/// Guards a request that has begun to come against a shortage: connections that only rest give way first.
#[test]
fn a_begun_head_outlasts_resting_connections_in_a_shortage() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let discovery = Discovery::start();
    let known = [endpoint("s-1", upstream.address, 0, "ready")];
    let balancer = Balancer::start(&configuration(discovery.address, &known, 30.0, 48));
    let mut begun = balancer.client();
    assert_eq!(begun.ask("order", "one").status(), 200);
    let next = order_with(b"");
    let (head, tail) = next.split_at(40);
    begun.raw(head);
    let _resting: Vec<Client> = (0..60)
        .map(|_| {
            let mut client = balancer.client();
            assert_eq!(client.ask("order", "one").status(), 200);
            client
        })
        .collect();
    begun.raw(tail);
    assert_eq!(begun.answer().expect("an answer").status(), 200);
}

/// Guards planned restarts against the same: where connections begin to close, a request that has begun to come on a
/// used one is read and answered.
#[test]
fn a_begun_head_outlasts_the_close_of_resting_connections_in_a_drain() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let discovery = Discovery::start();
    let known = [endpoint("s-1", upstream.address, 0, "ready")];
    let mut child = program(&configuration(discovery.address, &known, 30.0, 1024));
    let (address, mut log) = address(&mut child);
    let mut begun = Client::connect(address);
    let mut resting = Client::connect(address);
    assert_eq!((begun.ask("order", "one").status(), resting.ask("order", "one").status()), (200, 200));
    signal(&child, "-TERM");
    wait_line(&mut log, "graceful shutdown, ");
    // 0.9 s before the earliest kill, which is 3.7 s after the signal, connections begin to close.
    thread::sleep(Duration::from_millis(2300));
    let next = order_with(b"");
    let (head, tail) = next.split_at(40);
    begun.raw(head);
    assert!(resting.answer().is_none(), "closed as the drain says");
    begun.raw(tail);
    let answer = begun.answer().expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(child.wait().expect("ends").success());
}
