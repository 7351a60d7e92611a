//! Messages that are valid but take many times their size if they are kept as they arrive: the program must stay within
//! the least memory that a deployment may give it.

mod common;

use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Barrier};
use std::thread;

use common::*;

/// Least memory limit of a deployment.
const MEMORY_LIMIT_MB: f64 = 32.0;
/// Least number of descriptors of a deployment.
const DESCRIPTORS: usize = 256;
/// Number of concurrent requests: clients use at most a third of the descriptors for their requests.
const REQUESTS: usize = 80;
/// Largest body of a message.
const BODY_BYTES: usize = 64 * 1024;
/// Size of the chunks in which bodies are sent.
const CHUNK_BYTES: usize = 4;

/// A body of [`BODY_BYTES`] in chunks of [`CHUNK_BYTES`], without the last chunk.
fn chunks() -> Vec<u8> {
    format!("{CHUNK_BYTES:x}\r\n{}\r\n", "b".repeat(CHUNK_BYTES))
        .repeat(BODY_BYTES / CHUNK_BYTES)
        .into_bytes()
}

/// Size of a head that counts as endless: more than hyper keeps of a head without a limit of the program's own.
const ENDLESS_HEAD_BYTES: usize = 1 << 20;

/// The chunk that ends a body.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Runs a client for each request and returns the peak memory of the balancer. `ask` sends the request of a client and
/// returns the length of the answer's body.
fn peak_memory_mb(upstreams: &[Upstream], ask: impl Fn(SocketAddr) -> usize + Sync) -> f64 {
    let discovery = Discovery::start();
    let known = endpoints_in_own_groups(upstreams);
    let text = configuration(discovery.address, &known, 30.0, DESCRIPTORS);
    let mut child = program_with_descriptor_limit(DESCRIPTORS, &text);
    let (address, _log) = address(&mut child);
    let answered = thread::scope(|scope| {
        let clients: Vec<_> = (0..REQUESTS).map(|_| scope.spawn(|| ask(address))).collect();
        clients
            .into_iter()
            .map(|client| client.join().expect("the client has its answer"))
            .collect::<Vec<_>>()
    });
    let peak = ProcessUsage(child.id()).peak_memory_mb();
    child.kill().expect("the program is running");
    child.wait().expect("the program exits");
    println!("peak memory {peak:.1} MB, lengths of the answers {answered:?}");
    peak
}

/// Guards against requests whose bodies take many times their size: 80 bodies of 64 KiB in chunks of 4 bytes took the
/// program over its memory limit, because each chunk was kept as a piece of its own.
#[test]
fn request_bodies_in_small_chunks_stay_within_the_memory_limit() {
    let upstreams: Vec<_> =
        (0..6).map(|_| Upstream::start(|_, request| ok(&request.body.len().to_string()))).collect();
    let all_sent = Barrier::new(REQUESTS);
    let peak = peak_memory_mb(&upstreams, |address| {
        let mut client = Client::connect(address);
        client.send_bytes(
            b"POST /order HTTP/1.1\r\nHost: a\r\nX-Request-Id: r\r\nX-Tenant: acme\r\nTransfer-Encoding: chunked\r\n\r\n",
        );
        client.send_bytes(&chunks());
        all_sent.wait();
        client.send_bytes(LAST_CHUNK);
        let answer = client.answer().expect("an answer before the connection ends");
        assert_eq!((answer.status(), answer.body), (200, BODY_BYTES.to_string().into_bytes()));
        BODY_BYTES
    });
    assert!(peak <= MEMORY_LIMIT_MB, "expected at most {MEMORY_LIMIT_MB} MB, got {peak} MB");
}

/// Guards against answers of upstreams whose bodies take many times their size, for the same reason as with requests.
#[test]
fn answer_bodies_in_small_chunks_stay_within_the_memory_limit() {
    let all_sent = Arc::new(Barrier::new(REQUESTS));
    let upstreams: Vec<_> = (0..6)
        .map(|_| {
            let all_sent = Arc::clone(&all_sent);
            Upstream::scripted(move |_, _, stream| {
                let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                stream.write_all(&[head, chunks().as_slice()].concat()).expect("the connection is open");
                all_sent.wait();
                Reply::Bytes(LAST_CHUNK.to_vec())
            })
        })
        .collect();
    let peak = peak_memory_mb(&upstreams, |address| {
        let answer = Client::connect(address).ask("order", "one");
        assert_eq!((answer.status(), answer.body.len()), (200, BODY_BYTES));
        answer.body.len()
    });
    assert!(peak <= MEMORY_LIMIT_MB, "expected at most {MEMORY_LIMIT_MB} MB, got {peak} MB");
}

/// Guards against heads of answers that never end: each was kept up to 400 KB, because the read buffer of a connection
/// to an upstream had no limit of the program's own.
#[test]
fn endless_heads_of_answers_stay_within_the_memory_limit() {
    let all_sent = Arc::new(Barrier::new(REQUESTS));
    let upstreams: Vec<_> = (0..6)
        .map(|_| {
            let all_sent = Arc::clone(&all_sent);
            Upstream::scripted(move |_, _, stream| {
                // The write fails once the balancer has had enough and closes the connection.
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nX-Padding: ");
                let _ = stream.write_all(&[b'a'; ENDLESS_HEAD_BYTES]);
                all_sent.wait();
                Reply::Last(Vec::new())
            })
        })
        .collect();
    let peak = peak_memory_mb(&upstreams, |address| {
        let answer = Client::connect(address).ask("order", "one");
        assert_eq!(answer.status(), 502, "an order that may have run is not retried");
        answer.body.len()
    });
    assert!(peak <= MEMORY_LIMIT_MB, "expected at most {MEMORY_LIMIT_MB} MB, got {peak} MB");
}

/// Guards the memory that clients take who send much at once: 1 MiB of requests on each of 80 connections. What is not
/// read ahead stays in the socket, and all requests are answered.
#[test]
fn requests_sent_at_once_stay_within_the_memory_limit() {
    const REQUESTS_AT_ONCE: usize = 16;
    let upstreams: Vec<_> =
        (0..6).map(|_| Upstream::start(|_, request| ok(&request.body.len().to_string()))).collect();
    let peak = peak_memory_mb(&upstreams, |address| {
        let order = order_named("one", BODY_BYTES, 30.0, BodyFraming::Length);
        let mut client = Client::connect(address);
        let mut writer = client.0.try_clone().expect("the descriptor is copied");
        let written = thread::spawn(move || writer.write_all(&order.repeat(REQUESTS_AT_ONCE)));
        for _ in 0..REQUESTS_AT_ONCE {
            let answer = client.answer().expect("an answer before the connection ends");
            assert_eq!((answer.status(), answer.body), (200, BODY_BYTES.to_string().into_bytes()));
        }
        written.join().expect("the thread does not panic").expect("all requests are written");
        REQUESTS_AT_ONCE
    });
    assert!(peak <= MEMORY_LIMIT_MB, "expected at most {MEMORY_LIMIT_MB} MB, got {peak} MB");
}
