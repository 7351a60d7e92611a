//! Upstreams that write a long answer slowly or read a long request slowly: an answer that is still coming is passed on
//! for as long as the client waits, and each request has its final answer in time.

mod common;

use std::ffi::OsStr;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

use common::faults::library;
use common::*;
use socket2::SockRef;

/// Largest body of a message.
const BODY_BYTES: usize = 64 * 1024;
/// Latency objective of the classes, in seconds, which is much less than what clients wait for.
const LATENCY_OBJECTIVE_S: f64 = 0.5;
/// How long an upstream takes to write a long answer.
const WRITE_TIME: Duration = Duration::from_millis(1500);
/// Number of pieces in which an upstream writes a long answer.
const PIECES: usize = 30;

/// Guards against long answers that are cut off while their upstream is still writing them: the latency objective was
/// taken for the end of the client's time.
#[test]
fn an_answer_that_is_still_being_written_is_not_cut_off() {
    for class in ["read", "pay", "order"] {
        let upstream = Upstream::scripted(|_, _, stream| {
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {BODY_BYTES}\r\n\r\n");
            let body = vec![b'a'; BODY_BYTES];
            let mut sent = stream.write_all(head.as_bytes());
            for piece in body.chunks(BODY_BYTES.div_ceil(PIECES)) {
                sent = sent.and_then(|()| stream.write_all(piece));
                thread::sleep(WRITE_TIME / u32::try_from(PIECES).expect("a small number"));
            }
            // An error means that the balancer has closed the connection.
            drop(sent);
            Reply::Bytes(Vec::new())
        });
        let known = [endpoint("s-1", upstream.address, 0, "ready")];
        let (balancer, _discovery) = Balancer::with(&known, LATENCY_OBJECTIVE_S);
        let answer = balancer.client().ask(class, "one");
        assert_eq!((answer.status(), answer.body.len()), (200, BODY_BYTES), "class {class}");
        assert_eq!(upstream.requests().len(), 1, "class {class}: number of attempts");
    }
}

/// Guards the time of the final answer where an upstream begins an answer and then writes no more of it: the attempt
/// does not go on for the whole time of a client that waits long.
#[test]
fn an_answer_that_stops_half_way_is_given_up_soon_after_the_latency_objective() {
    let upstream = Upstream::scripted(|_, _, stream| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
        Reply::Silence
    });
    let known = [endpoint("s-1", upstream.address, 0, "ready")];
    let (balancer, _discovery) = Balancer::with(&known, LATENCY_OBJECTIVE_S);
    let sent_at = Instant::now();
    assert_eq!(balancer.client().ask("order", "one").status(), 502);
    assert!(sent_at.elapsed() < SHORT_TIMEOUT, "answered after {:?}", sent_at.elapsed());
}

/// Guards the time of the final answer where an upstream reads a long request so slowly that it is not written in time.
#[test]
fn a_request_that_its_upstream_reads_slowly_is_answered_in_time() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port is available");
    SockRef::from(&listener).set_recv_buffer_size(4096).expect("the socket option is set");
    let address = listener.local_addr().expect("the socket has a local address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut piece = [0; 512];
                while matches!(stream.read(&mut piece), Ok(bytes) if bytes > 0) {
                    thread::sleep(Duration::from_millis(100));
                }
            });
        }
    });
    let discovery = Discovery::start();
    let text = configuration(discovery.address, &[endpoint("s-1", address, 0, "ready")], 30.0, 1024);
    // The small send buffer keeps the request from being written at once.
    let library = library();
    let variables = [("LD_PRELOAD", library.as_os_str()), ("FAULT_SEND_BUFFER", OsStr::new("4096"))];
    let mut child = program_with_environment(1024, &write_configuration(&text), &variables);
    let (balancer, _log) = common::address(&mut child);
    let deadline = Duration::from_secs(1);
    for framing in [BodyFraming::Length, BodyFraming::Chunks] {
        let mut client = Client::connect(balancer);
        client.send_bytes(&order_named("one", BODY_BYTES, deadline.as_secs_f64(), framing));
        let sent_at = Instant::now();
        let answer = client.answer().expect("an answer before the connection ends");
        // The request was not written to its end, so that it can't have run.
        assert_eq!(answer.status(), 503, "{framing:?}");
        assert!(sent_at.elapsed() < deadline + ANSWER_SLACK, "{framing:?}: after {:?}", sent_at.elapsed());
    }
    child.kill().expect("the program is running");
    child.wait().expect("the program exits");
}
