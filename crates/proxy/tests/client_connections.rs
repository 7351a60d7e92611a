//! Clients that disconnect, or that send more than one request: races with their request, with their answer and with
//! the end of their connection. `docs/CROSSINGS.md` lists what is guaranteed in each case.

mod common;

use std::io::Read;
use std::net::Shutdown;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// Guards upstreams against work whose result nobody needs: a client counts as disconnected when it ends its sending
/// side, even if it has sent more bytes after its request. A server that reads only what it needs would not reach the
/// end of the stream behind these bytes.
#[test]
fn a_disconnect_is_detected_behind_unread_bytes() {
    let upstream = Upstream::start(|_, _| Reply::Silence);
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 50.0);
    let next_request = order_followed_by(b"");
    let long_extra = vec![b'x'; 300_000];
    let mut request_count = 0;
    for extra in [b"".as_slice(), b"\r\n", b"G", &next_request, &long_extra] {
        for shutdown_mode in [Shutdown::Write, Shutdown::Both] {
            request_count += 1;
            let mut client = balancer.client();
            client.send_bytes(&order_followed_by(b""));
            upstream.wait_requests(request_count);
            client.send_bytes(extra);
            let disconnected_at = Instant::now();
            client.0.shutdown(shutdown_mode).expect("the connection is open");
            upstream.wait_closed(request_count);
            assert!(
                disconnected_at.elapsed() < SHORT_TIMEOUT,
                "{} extra bytes, {shutdown_mode:?}: the attempt was cancelled only after {:?}",
                extra.len(),
                disconnected_at.elapsed()
            );
            assert_eq!(upstream.requests().len(), request_count);
        }
    }
}

/// Guards upstreams against work whose result nobody needs while first attempts wait for a connection: no attempt
/// begins after its client has disconnected, for one client and for many at once, whether or not the settings allow
/// attempts to be cancelled.
#[test]
fn no_attempt_begins_for_clients_that_disconnected_during_a_connect() {
    let case = |clients: usize, cancel: bool| {
        let late = LateUpstream::start();
        let discovery = Discovery::start();
        let known = [endpoint("s-1", late.address, 0, "ready")];
        let text = configuration(discovery.address, &known, 50.0, 1024)
            .replace("\"cancel\":true", &format!("\"cancel\":{cancel}"));
        let balancer = Balancer::start(&with_dial_timeout(&text, LONG_DIAL_TIMEOUT_S));
        let clients: Vec<Client> = (0..clients)
            .map(|_| {
                let mut client = balancer.client();
                client.send_bytes(&order_followed_by(b"more"));
                client
            })
            .collect();
        late.wait_connecting(clients.len());
        drop(clients);
        // Leaves the balancer time to notice the disconnects. From here on no attempt may begin.
        thread::sleep(Duration::from_millis(100));
        // The pool keeps one connection for the next attempt and closes it when the balancer ends, if not before.
        let streams = collect_connections(&late.open());
        assert!(!streams.is_empty(), "cancel: {cancel}: expected a connection, got none");
        drop(balancer);
        assert!(all_without_data(streams), "cancel: {cancel}: a request was sent for a disconnected client");
    };
    thread::scope(|scope| {
        for cancel in [true, false] {
            scope.spawn(move || case(1, cancel));
        }
        // These run one after the other, because a process may have no more than a thousand descriptors.
        for cancel in [true, false] {
            case(200, cancel);
        }
    });
}

/// Guards pipelined requests: bytes that a client has sent after a request are its next requests, and are answered in
/// order.
#[test]
fn pipelined_requests_are_answered_in_order() {
    let upstream = Upstream::start(|number, _| ok(&format!("answer {number}")));
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
    let mut client = balancer.client();
    client.send_bytes(&[order_followed_by(b""), order_followed_by(b""), order_followed_by(b"")].concat());
    for number in 0..3 {
        assert_eq!(
            client.answer().expect("the balancer answers").body,
            format!("answer {number}").into_bytes()
        );
    }
}

/// Guards the answer to a client that sends much more data after its request: the client gets the answer, and its
/// connection is closed without a reset.
#[test]
fn an_answer_reaches_a_client_that_goes_on_sending() {
    let (release, release_signal) = mpsc::channel::<()>();
    let release_signal = std::sync::Mutex::new(release_signal);
    let upstream = Upstream::start(move |_, _| {
        let _ = release_signal.lock().expect("the lock is not poisoned").recv();
        ok("served")
    });
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
    let mut client = balancer.client();
    client.send_bytes(&order_followed_by(&[b'x'; 200_000]));
    upstream.wait_requests(1);
    release.send(()).expect("the upstream waits for the release");
    let answer = client.answer().expect("the balancer answers");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert_eq!(client.0.read(&mut [0]).expect("the connection is closed without a reset"), 0);
}

/// Guards error answers against the reset that the kernel sends if a connection is closed while it has unread bytes.
#[test]
fn an_error_answer_is_not_followed_by_a_reset() {
    let (balancer, _discovery) = Balancer::with(&[], 30.0);
    let heads = [
        "POST /order HTTP/1.1\r\nHost: a\r\nX-Request-Id: r\r\nX-Tenant: acme\r\nContent-Length: 70000\r\n\r\n",
        "SPDY /order HTTP/9\r\n\r\n",
    ];
    for head in heads {
        let mut client = balancer.client();
        client.send_bytes(&[head.as_bytes(), &[b'x'; 60_000]].concat());
        assert!(
            client.answer().expect("the balancer answers").status() >= 400,
            "expected an error status for {head}"
        );
        let mut rest = Vec::new();
        assert_eq!(
            client.0.read_to_end(&mut rest).expect("the connection is closed without a reset"),
            0,
            "bytes after the answer to {head}"
        );
    }
}
