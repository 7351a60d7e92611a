//! Clients that leave, or that send more than a request: what meets their request, their answer and the end of their
//! connection. `docs/CROSSINGS.md` lists what is promised for each.

mod common;

use std::io::Read;
use std::net::Shutdown;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// Guards upstreams against work for nobody: a client has gone with the end of its sending, also when it had sent more
/// behind its request, which keeps a server that reads only what it needs from seeing the end.
#[test]
fn a_client_that_sent_more_is_seen_to_leave() {
    let upstream = Upstream::start(|_, _| Reply::Silence);
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 50.0);
    let second = order_with(b"");
    let much = vec![b'x'; 300_000];
    let mut asked = 0;
    for extra in [b"".as_slice(), b"\r\n", b"G", &second, &much] {
        for how in [Shutdown::Write, Shutdown::Both] {
            asked += 1;
            let mut client = balancer.client();
            client.raw(&order_with(b""));
            upstream.wait_requests(asked);
            client.raw(extra);
            let left = Instant::now();
            client.0.shutdown(how).expect("up");
            upstream.wait_closed(asked);
            assert!(left.elapsed() < SOON, "{} bytes, {how:?}: {:?}", extra.len(), left.elapsed());
            assert_eq!(upstream.requests().len(), asked);
        }
    }
}

/// Guards the same while the first attempt waits for its connection: it does not begin once the client has gone, be it
/// one or a burst of them, whether or not attempts may be called off there.
#[test]
fn nothing_begins_for_clients_that_left_during_a_connect() {
    let case = |clients: usize, cancel: bool| {
        let late = LateUpstream::start();
        let discovery = Discovery::start();
        let known = [endpoint("s-1", late.address, 0, "ready")];
        let text = configuration(discovery.address, &known, 50.0, 1024)
            .replace("\"cancel\":true", &format!("\"cancel\":{cancel}"));
        let balancer = Balancer::start(&with_dial_timeout(&text, PATIENT_S));
        let clients: Vec<Client> = (0..clients)
            .map(|_| {
                let mut client = balancer.client();
                client.raw(&order_with(b"more"));
                client
            })
            .collect();
        late.wait_connecting(clients.len());
        drop(clients);
        // From then on nothing may begin.
        thread::sleep(Duration::from_millis(100));
        // One connection stays for the next attempt; it is closed with the balancer at the latest.
        let streams = all_that_came(&late.open());
        assert!(!streams.is_empty(), "withdrawals allowed: {cancel}");
        drop(balancer);
        assert!(nothing_came(streams), "withdrawals allowed: {cancel}");
    };
    thread::scope(|scope| {
        for cancel in [true, false] {
            scope.spawn(move || case(1, cancel));
        }
        // One after the other: a process may have no more than a thousand descriptors.
        for cancel in [true, false] {
            case(200, cancel);
        }
    });
}

/// Guards clients that do not leave: what they had sent behind their request is the next one, in order.
#[test]
fn requests_sent_together_are_answered_in_order() {
    let upstream = Upstream::start(|number, _| ok(&format!("answer {number}")));
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
    let mut client = balancer.client();
    client.raw(&[order_with(b""), order_with(b""), order_with(b"")].concat());
    for number in 0..3 {
        assert_eq!(client.answer().expect("an answer").body, format!("answer {number}").into_bytes());
    }
}

/// Guards the answer to a client that sends far more than a request behind it: it comes, and its connection ends
/// in peace.
#[test]
fn an_answer_reaches_a_client_that_goes_on_sending() {
    let (release, release_signal) = mpsc::channel::<()>();
    let release_signal = std::sync::Mutex::new(release_signal);
    let upstream = Upstream::start(move |_, _| {
        let _ = release_signal.lock().expect("no panic").recv();
        ok("served")
    });
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
    let mut client = balancer.client();
    client.raw(&order_with(&[b'x'; 200_000]));
    upstream.wait_requests(1);
    release.send(()).expect("the upstream waits");
    let answer = client.answer().expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert_eq!(client.0.read(&mut [0]).expect("closed in peace"), 0);
}

/// Guards an error against the reset that closing over unread bytes would send after it.
#[test]
fn an_error_is_not_followed_by_a_reset() {
    let (balancer, _discovery) = Balancer::with(&[], 30.0);
    let heads = [
        "POST /order HTTP/1.1\r\nHost: a\r\nX-Request-Id: r\r\nX-Tenant: acme\r\nContent-Length: 70000\r\n\r\n",
        "SPDY /order HTTP/9\r\n\r\n",
    ];
    for head in heads {
        let mut client = balancer.client();
        client.raw(&[head.as_bytes(), &[b'x'; 60_000]].concat());
        assert!(client.answer().expect("an answer").status() >= 400, "{head}");
        let mut rest = Vec::new();
        assert_eq!(client.0.read_to_end(&mut rest).expect("closed in peace"), 0, "{head}");
    }
}
