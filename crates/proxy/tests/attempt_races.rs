//! Races between an attempt and another event: the end of its deduplication window, a drain, a second answer, a reset.
//! Each test makes the two events coincide. `docs/CROSSINGS.md` lists what is guaranteed in each case.

mod common;

use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use common::*;
use socket2::SockRef;

/// How long a connection stays unused after an answer before it carries the next request.
const REUSE_DELAY: Duration = Duration::from_millis(10);

/// Guards keyed requests against running twice: a retry is sent only within the window in which upstreams drop
/// duplicates, even if it waits for a connection that takes longer to be established.
#[test]
fn a_retry_does_not_begin_after_the_deduplication_window() {
    let failing = Upstream::start(|_, _| Reply::Last(Vec::new()));
    let late = LateUpstream::start();
    let known = [endpoint("s-1", failing.address, 4, "ready"), endpoint("s-2", late.address, 4, "ready")];
    let discovery = Discovery::start();
    let text =
        configuration(discovery.address, &known, 50.0, 1024).replace("\"windowS\":10.0", "\"windowS\":0.3");
    // The first upstream of a request is chosen at random. For at least one client it must be the failing one, so that
    // the other one would get the retry.
    let balancer = Balancer::start(&with_dial_timeout(&text, LONG_DIAL_TIMEOUT_S));
    let mut clients: Vec<Client> = (0..4).map(|_| balancer.client()).collect();
    for client in &mut clients {
        client.send("pay", "instalments");
    }
    failing.wait_requests(1);
    let started_at = Instant::now();
    thread::sleep(Duration::from_millis(400));
    let connections = late.open();
    // Requests whose first attempt goes to the late upstream may be sent there.
    let max_expected = clients.len() - failing.requests().len();
    let mut received = 0;
    while let Ok(stream) = connections.recv_timeout(SHORT_TIMEOUT) {
        stream.set_read_timeout(Some(Duration::from_millis(200))).expect("the socket option can be set");
        let mut byte = [0];
        received += usize::from(matches!((&stream).read(&mut byte), Ok(1)));
    }
    assert!(
        received <= max_expected,
        "the late upstream got {received} requests, expected at most {max_expected}; {:?} after the first request",
        started_at.elapsed()
    );
}

/// Guards drains against slow connects: a request whose upstream was chosen before the update that announces the drain
/// is not sent to it after the update, and is served by another upstream.
#[test]
fn a_drain_announced_during_a_connect_is_respected() {
    for status in ["draining", "gone"] {
        let late = LateUpstream::start();
        let other = Upstream::start(|_, _| ok("other"));
        let known = [endpoint("s-1", late.address, 0, "ready")];
        let discovery = Discovery::start();
        let text = configuration(discovery.address, &known, 50.0, 1024);
        let balancer = Balancer::start(&with_dial_timeout(&text, LONG_DIAL_TIMEOUT_S));
        let mut client = balancer.client();
        client.send("order", "one");
        late.wait_connecting(1);
        let (_, watch) = discovery.watch();
        let drained = endpoint("s-1", late.address, 0, status);
        watch.send_endpoints(8, false, &[drained, endpoint("s-2", other.address, 1, "ready")]);
        wait_for("the drain is applied", || {
            (balancer.client().ask("read", "").body == b"other").then_some(())
        });
        // The connections to the drained upstream end while the balancer is still running.
        assert!(
            all_without_data(collect_connections(&late.open())),
            "{status}: a request was sent to the drained upstream"
        );
        assert_eq!(
            client.answer().expect("the balancer answers").body,
            b"other",
            "{status}: body of the answer"
        );
    }
}

/// Guards clients against receiving another client's answer: bytes that an upstream sends after its answer are given to
/// no client, even if they arrive some milliseconds later, and their connection carries no further request.
#[test]
fn a_second_answer_is_given_to_no_client() {
    let answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright";
    let second_answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong";
    for late in [None, Some(Duration::from_millis(1)), Some(Duration::from_millis(6))] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port can be bound");
        let address = listener.local_addr().expect("the listener is bound");
        // Longest time between the two answers of a connection, among the second answers that were written.
        let max_gap = Arc::new(std::sync::Mutex::new(Duration::ZERO));
        let shared_max_gap = Arc::clone(&max_gap);
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let shared_max_gap = Arc::clone(&shared_max_gap);
                thread::spawn(move || {
                    if read_message(&mut stream).is_none() {
                        return;
                    }
                    let mut write =
                        |text: &str| stream.write_all(text.as_bytes()).expect("the balancer reads");
                    match late {
                        None => write(&format!("{answer}{second_answer}")),
                        Some(late) => {
                            let started_at = Instant::now();
                            write(answer);
                            thread::sleep(late);
                            // On a busy machine the second answer may be later than the balancer guards against.
                            if started_at.elapsed() >= REUSE_DELAY {
                                return;
                            }
                            write(second_answer);
                            let mut max_gap = shared_max_gap.lock().expect("the lock is not poisoned");
                            *max_gap = started_at.elapsed().max(*max_gap);
                        }
                    }
                    // Keeps the connection open; a further request on it is not answered.
                    let _ = read_message(&mut stream);
                });
            }
        });
        let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", address, 0, "ready")], 30.0);
        let mut client = balancer.client();
        for _ in 0..20 {
            // On a busy machine slow responses may be taken for congestion; a refused request is sent again.
            let answer = wait_for("an answer other than a refusal", || {
                Some(client.ask("order", "one")).filter(|answer| answer.status() != 503)
            });
            if answer.body == b"wrong" {
                // The upstream's thread was suspended between its check of the clock and the write, so that the second
                // answer was later than the balancer guards against.
                let max_gap = || *max_gap.lock().expect("the lock is not poisoned");
                wait_for("the upstream was too late", || (max_gap() >= REUSE_DELAY).then_some(()));
                break;
            }
            assert_eq!(
                (answer.status(), answer.body.as_slice()),
                (200, b"right".as_slice()),
                "second answer after {late:?}"
            );
        }
    }
}

/// Guards clients against a truncated answer: an answer without a length whose connection is reset is incomplete.
#[test]
fn a_reset_does_not_complete_an_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port can be bound");
    let address = listener.local_addr().expect("the listener is bound");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            if read_message(&mut stream).is_some() {
                stream
                    .write_all(b"HTTP/1.1 200 OK\r\n\r\nhalf")
                    .expect("the balancer keeps the connection open");
                thread::sleep(Duration::from_millis(50));
                SockRef::from(&stream)
                    .set_linger(Some(Duration::ZERO))
                    .expect("the socket option can be set");
            }
        }
    });
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", address, 0, "ready")], 30.0);
    assert_eq!(balancer.client().ask("order", "one").status(), 502);
}
