//! Clients that send several requests at once on a connection. Each request that was read is answered, in its place and
//! within the time that counts from its own last byte; none is begun for a client that has disconnected.

mod common;

use std::net::Shutdown;
use std::sync::{Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use common::*;
use socket2::SockRef;

/// Body size with which all requests of a client together fit into what a balancer reads ahead.
const SHORT_BODY_BYTES: usize = 32;
/// Body size with which they do not.
const LONG_BODY_BYTES: usize = 8 * 1024;
/// Deadline of requests whose time does not matter, in seconds.
const LONG_DEADLINE_S: f64 = 50.0;

/// An upstream that holds each request until the test lets it go, and then answers with the name of the request.
fn held_upstream() -> (Upstream, mpsc::Sender<()>) {
    let (go, wait) = mpsc::channel::<()>();
    let wait = Mutex::new(wait);
    let upstream = Upstream::start(move |_, request| {
        // An error means that the test has let all requests go.
        let _ = wait.lock().expect("the lock is not poisoned").recv();
        ok(&name_of(request))
    });
    (upstream, go)
}

/// Returns the name of an order: the start of its body, up to the padding.
fn name_of(request: &Message) -> String {
    String::from_utf8_lossy(&request.body).trim_end_matches('x').to_owned()
}

/// Number of bytes that a balancer reads at least while a request awaits its answer, if they are there.
const READ_AT_LEAST: usize = 32 * 1024;

/// Reads the answers to all requests of a client, and checks that each is served, in its place, by its own answer.
fn assert_all_served(client: &mut Client) {
    for number in 0..AT_ONCE {
        let answer = client.answer().unwrap_or_else(|| panic!("request {number} has no answer"));
        assert_eq!(
            (answer.status(), String::from_utf8_lossy(&answer.body).into_owned()),
            (200, number.to_string()),
            "answer {number}"
        );
    }
}

/// Guards against requests that are read and never answered: what a client had sent beyond 32 KiB while it awaited an
/// answer was read and thrown away, and its connection was closed behind that answer.
#[test]
fn requests_beyond_the_read_ahead_limit_are_answered() {
    let (upstream, go) = held_upstream();
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
    let mut client = balancer.client();
    let requests = orders_at_once(LONG_BODY_BYTES, LONG_DEADLINE_S);
    client.send_bytes(&requests);
    upstream.wait_requests(1);
    wait_unread(balancer.address, &client, requests.len().saturating_sub(READ_AT_LEAST));
    drop(go);
    assert_all_served(&mut client);
    assert_eq!(client.ask("order", "one more").status(), 200, "the connection stays open");
    assert_eq!(upstream.requests().len(), AT_ONCE + 1);
}

/// Guards against requests that run after their time: the time of a request that waits for the answer to an earlier one
/// was counted from that answer and not from its own last byte. One whose time ends before its turn is refused, and no
/// upstream gets it.
#[test]
fn the_time_of_a_waiting_request_counts_from_its_last_byte() {
    let deadline = Duration::from_secs(1);
    for body_bytes in [SHORT_BODY_BYTES, LONG_BODY_BYTES] {
        let upstream = Upstream::start(|_, _| Reply::Silence);
        let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
        let mut client = balancer.client();
        client.send_bytes(&orders_at_once(body_bytes, deadline.as_secs_f64()));
        let sent_at = Instant::now();
        for number in 0..AT_ONCE {
            let answer = client.answer().expect("each request is answered");
            let expected = if number == 0 { 502 } else { 503 };
            assert_eq!(answer.status(), expected, "bodies of {body_bytes} bytes, request {number}");
            assert!(
                sent_at.elapsed() < deadline + ANSWER_SLACK,
                "bodies of {body_bytes} bytes, request {number}: answered after {:?}",
                sent_at.elapsed()
            );
        }
        assert_eq!(upstream.requests().len(), 1, "bodies of {body_bytes} bytes: requests at the upstream");
    }
}

/// Guards against requests that a drain loses: when connections are closed behind an answer, further requests may have
/// been read on them. All of these are answered, whatever their framing, but none for a client that has disconnected.
#[test]
fn a_drain_answers_all_requests_that_were_read() {
    let (upstream, go) = held_upstream();
    let discovery = Discovery::start();
    let known = [endpoint("s-1", upstream.address, 0, "ready")];
    let mut child = start_program(&configuration(discovery.address, &known, 30.0, 1024));
    let (address, mut log) = address(&mut child);
    let framings = [BodyFraming::Length, BodyFraming::Chunks];
    let requests_of = |client: &str| -> Vec<u8> {
        let order = |number: usize| {
            let name = format!("{client}{number}");
            order_named(&name, SHORT_BODY_BYTES, LONG_DEADLINE_S, framings[number % 2])
        };
        (0..AT_ONCE).flat_map(order).collect()
    };
    let (mut staying, mut leaving) = (Client::connect(address), Client::connect(address));
    for (position, (client, name)) in [(&mut staying, ""), (&mut leaving, "left-")].into_iter().enumerate() {
        client.send_bytes(&requests_of(name));
        upstream.wait_requests(position + 1);
        wait_unread(address, client, 0);
    }
    let signalled_at = Instant::now();
    signal(&child, "-TERM");
    // The second line comes when connections begin to be closed.
    wait_line(&mut log, "graceful shutdown, ");
    wait_line(&mut log, "graceful shutdown, ");
    let leaving_address = leaving.0.local_addr().expect("the socket has a local address");
    drop(leaving);
    wait_for("the balancer closes the connection", || {
        unread_bytes(address, leaving_address).is_none().then_some(())
    });
    drop(go);
    for number in 0..AT_ONCE {
        let answer = staying.answer().unwrap_or_else(|| panic!("request {number} has no answer"));
        // The first request took long, so that the balancer may refuse one that has little time left.
        let is_refused = number > 0 && answer.status() == 503;
        assert!(is_refused || answer.body == number.to_string().into_bytes(), "request {number}: {answer:?}");
    }
    assert!(closes_without_data(staying), "expected one answer to each request, got more");
    drop(log);
    assert!(child.wait().expect("the program exits").success());
    let earliest_kill = Duration::from_millis(3700);
    assert!(signalled_at.elapsed() < earliest_kill, "the drain took {:?}", signalled_at.elapsed());
    let begun: Vec<String> = upstream.requests().iter().map(|(_, request)| name_of(request)).collect();
    let begun_for_leaving = begun.iter().filter(|name| name.starts_with("left-")).count();
    assert_eq!(begun_for_leaving, 1, "requests of the client that left, of {begun:?}");
    assert_nothing_ran_twice(&[&upstream]);
}

/// Guards against requests that a reload loses or repeats when it comes between two requests of a connection.
#[test]
fn a_reload_between_two_requests_loses_none() {
    let (upstream, go) = held_upstream();
    let (before, after) = (Discovery::start(), Discovery::start());
    let known = [endpoint("s-1", upstream.address, 0, "ready")];
    let mut child = start_program(&configuration(before.address, &known, 30.0, 1024));
    let (address, mut log) = address(&mut child);
    let mut client = Client::connect(address);
    client.send_bytes(&orders_at_once(LONG_BODY_BYTES, LONG_DEADLINE_S));
    go.send(()).expect("the upstream waits");
    upstream.wait_requests(2);
    write_configuration(&configuration(after.address, &known, 30.0, 1024));
    signal(&child, "-HUP");
    wait_line(&mut log, "discovery address changed");
    drop(go);
    assert_all_served(&mut client);
    assert_eq!(upstream.requests().len(), AT_ONCE, "requests at the upstream");
    child.kill().expect("the program is running");
    child.wait().expect("the program exits");
}

/// Guards upstreams against work whose result nobody needs: of the requests of a client that disconnects, the one in
/// progress is cancelled and no other begins, also where the end of the connection is behind bytes that are not read.
#[test]
fn no_further_request_begins_for_a_disconnected_client() {
    for body_bytes in [SHORT_BODY_BYTES, LONG_BODY_BYTES] {
        let upstream = Upstream::start(|_, _| Reply::Silence);
        let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 50.0);
        let ways: [fn(Client); 3] = [
            drop,
            |client| SockRef::from(&client.0).set_linger(Some(Duration::ZERO)).expect("the option is set"),
            |client| {
                client.0.shutdown(Shutdown::Write).expect("the connection is open");
                assert!(read_until_closed(client.0).is_empty(), "expected no answer");
            },
        ];
        for (number, disconnect) in ways.into_iter().enumerate() {
            let mut client = balancer.client();
            let requests = orders_at_once(body_bytes, LONG_DEADLINE_S);
            client.send_bytes(&requests);
            upstream.wait_requests(number + 1);
            wait_unread(balancer.address, &client, requests.len().saturating_sub(READ_AT_LEAST));
            let disconnected_at = Instant::now();
            disconnect(client);
            upstream.wait_closed(number + 1);
            assert!(
                disconnected_at.elapsed() < SHORT_TIMEOUT,
                "bodies of {body_bytes} bytes, way {number}: cancelled only after {:?}",
                disconnected_at.elapsed()
            );
        }
        drop(balancer);
        assert_eq!(
            upstream.requests().len(),
            ways.len(),
            "bodies of {body_bytes} bytes: requests at the upstream"
        );
    }
}

/// Guards the requests around a malformed one: those before it are answered, then comes the error, and then the
/// connection is closed without a reset. None of those behind it reaches an upstream.
#[test]
fn requests_before_a_malformed_one_are_answered() {
    const POSITION: usize = 3;
    for malformed in
        ["POST /order HTTP/1.1\r\nHost: a\r\nX-Tenant: acme\r\nContent-Length: 0\r\n\r\n", "BAD\r\n\r\n"]
    {
        let (upstream, go) = held_upstream();
        let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
        let mut client = balancer.client();
        let order = |number: usize| {
            order_named(&number.to_string(), SHORT_BODY_BYTES, LONG_DEADLINE_S, BodyFraming::Length)
        };
        let mut requests: Vec<Vec<u8>> = (0..AT_ONCE).map(order).collect();
        requests[POSITION] = malformed.as_bytes().to_vec();
        client.send_bytes(&requests.concat());
        upstream.wait_requests(1);
        drop(go);
        for number in 0..POSITION {
            assert_eq!(client.answer().expect("an answer").body, number.to_string().into_bytes());
        }
        assert_eq!(client.answer().expect("an error for the malformed request").status(), 400);
        let mut rest = Vec::new();
        std::io::Read::read_to_end(&mut client.0, &mut rest)
            .expect("the connection is closed without a reset");
        assert!(rest.is_empty(), "expected no bytes behind the error, got {rest:?}");
        assert_eq!(upstream.requests().len(), POSITION);
    }
}

/// Guards requests of which only a part is there when their turn comes: the rest of a body may come in pieces behind a
/// whole request, and a client that expects `100 Continue` sends its body only after it. Each counts its time from its
/// own last byte.
#[test]
fn the_rest_of_a_request_may_come_after_the_answer_before_it() {
    let upstream = Upstream::start(|_, request| ok(&name_of(request)));
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
    let mut client = balancer.client();
    let order = |name: &str, framing| order_named(name, SHORT_BODY_BYTES, LONG_DEADLINE_S, framing);
    for framing in [BodyFraming::Length, BodyFraming::Chunks] {
        let (first, second) = (order("first", framing), order("second", framing));
        let half = second.len() - 20;
        client.send_bytes(&[first.as_slice(), &second[..half]].concat());
        assert_eq!(client.answer().expect("an answer").body, b"first");
        for piece in second[half..].chunks(7) {
            client.send_bytes(piece);
        }
        assert_eq!(client.answer().expect("an answer").body, b"second");
    }
    let expecting = "POST /order HTTP/1.1\r\nHost: a\r\nX-Request-Id: r\r\nX-Tenant: acme\r\nX-Deadline: 50\r\n\
                     Expect: 100-continue\r\nContent-Length: 5\r\n\r\n";
    client.send_bytes(&[order("first", BodyFraming::Chunks).as_slice(), expecting.as_bytes()].concat());
    assert_eq!(client.answer().expect("an answer").body, b"first");
    assert_eq!(client.answer().expect("the request to continue").status(), 100);
    client.send_bytes(&[b"third".as_slice(), &order("fourth", BodyFraming::Length)].concat());
    assert_eq!(client.answer().expect("an answer").body, b"third");
    assert_eq!(client.answer().expect("an answer").body, b"fourth");
}

/// Guards against requests that a shortage of sockets loses: with so many clients that the balancer has no socket left, a
/// connection was closed behind an answer although further requests had been read on it.
#[test]
fn a_shortage_of_sockets_loses_no_request_that_was_read() {
    /// With this limit the balancer has 48 sockets for clients and attempts.
    const SOCKETS: usize = 64;
    const CLIENTS: usize = 46;
    let upstream = Upstream::start(|_, request| ok(&name_of(request)));
    let discovery = Discovery::start();
    let known = [endpoint("s-1", upstream.address, 0, "ready")];
    let balancer = Balancer::start(&configuration(discovery.address, &known, 30.0, SOCKETS));
    let unanswered: usize = thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|_| {
                scope.spawn(|| {
                    let mut client = balancer.client();
                    client.send_bytes(&orders_at_once(SHORT_BODY_BYTES, LONG_DEADLINE_S));
                    let answered = (0..AT_ONCE).take_while(|_| client.answer().is_some()).count();
                    // A connection that is closed before any answer may have been closed before it was read.
                    if answered == 0 { 0 } else { AT_ONCE - answered }
                })
            })
            .collect();
        clients.into_iter().map(|client| client.join().expect("the thread does not panic")).sum()
    });
    assert_eq!(unanswered, 0, "requests that were read and not answered");
}
