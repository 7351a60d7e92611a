//! Crowds of clients that make the program hold much at once: it must stay within the memory limit of its
//! configuration, give each whole request its one answer, and serve the other clients meanwhile.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Child;
use std::sync::Barrier;
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// Least memory limit of a deployment.
const MEMORY_LIMIT_MB: u32 = 32;
/// Largest number of descriptors of a deployment.
const DESCRIPTORS: usize = 1024;
/// Number of clients with a request: they use at most a third of the descriptors.
const CLIENTS: usize = 340;
/// Number of peers without a proper request, which may use nearly all descriptors.
const PEERS: usize = 900;
/// Largest body of a message.
const BODY_BYTES: usize = 64 * 1024;
/// Number of pieces in which a slow client sends or reads a message.
const PIECES: usize = 12;
/// Pause of a slow client between two pieces.
const PAUSE: Duration = Duration::from_millis(100);
/// Time within which a peer without a proper request must get an error or a close.
const BAD_PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// The program with the least memory limit and the most descriptors, and its upstreams.
struct Crowded {
    child: Child,
    address: SocketAddr,
    _upstreams: Vec<Upstream>,
    _discovery: Discovery,
}

impl Crowded {
    /// Starts the program with upstreams that answer each request with a body of this size.
    fn start(answer_bytes: usize) -> Self {
        let answer = "a".repeat(answer_bytes);
        let upstreams: Vec<_> = (0..6)
            .map(|_| {
                let answer = answer.clone();
                Upstream::start(move |_, _| ok(&answer))
            })
            .collect();
        let discovery = Discovery::start();
        let text = configuration(discovery.address, &endpoints_in_own_groups(&upstreams), 30.0, DESCRIPTORS);
        let text = with_memory_limit(&text, MEMORY_LIMIT_MB);
        let mut child = program_with_descriptor_limit(DESCRIPTORS, &text);
        let (address, log) = address(&mut child);
        // The log is read so that the program is not told of a reader that has gone.
        thread::spawn(move || std::io::copy(&mut { log }, &mut std::io::sink()));
        Self { child, address, _upstreams: upstreams, _discovery: discovery }
    }

    /// Runs `client` on this many threads at once and returns their results.
    fn run<T: Send>(&self, clients: usize, client: impl Fn(usize) -> T + Sync) -> Vec<T> {
        thread::scope(|scope| {
            let client = &client;
            let threads: Vec<_> = (0..clients).map(|number| scope.spawn(move || client(number))).collect();
            threads.into_iter().map(|thread| thread.join().expect("the client does not panic")).collect()
        })
    }

    fn assert_within_limit(&self) {
        let peak = ProcessUsage(self.child.id()).peak_memory_mb();
        println!("peak memory {peak:.1} MB");
        assert!(
            peak <= f64::from(MEMORY_LIMIT_MB),
            "expected at most {MEMORY_LIMIT_MB} MB, got {peak:.1} MB"
        );
    }
}

impl Drop for Crowded {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Head of an order with a body of [`BODY_BYTES`].
fn order_head(number: usize) -> String {
    format!(
        "POST /order HTTP/1.1\r\nHost: a\r\nX-Request-Id: r{number}\r\nX-Tenant: acme\r\nX-Deadline: 20\r\n\
         Content-Length: {BODY_BYTES}\r\n\r\n"
    )
}

/// Sends the first `bytes` of a long body in pieces.
fn send_slowly(client: &mut Client, bytes: usize) {
    let piece = vec![b'b'; BODY_BYTES / PIECES];
    let mut left = bytes;
    while left > 0 {
        let size = left.min(piece.len());
        // An error means that the program has answered and closed the connection already.
        if client.0.write_all(&piece[..size]).is_err() {
            return;
        }
        left -= size;
        thread::sleep(PAUSE);
    }
}

/// Reads until the peer closes the connection, and returns whether it did so within `timeout` of `since`.
fn is_closed_within(stream: &mut TcpStream, since: Instant, timeout: Duration) -> bool {
    let mut buffer = [0; 1024];
    while !matches!(stream.read(&mut buffer), Ok(0) | Err(_)) {}
    since.elapsed() <= timeout
}

/// Guards against long requests that are written slowly, with long answers: 340 of them took the program to twice its
/// memory limit, which it did not know of. Those for which there is no room are refused.
#[test]
fn slowly_written_long_requests_stay_within_the_memory_limit() {
    let program = Crowded::start(BODY_BYTES);
    let statuses = program.run(CLIENTS, |number| {
        let mut client = Client::connect(program.address);
        client.send_bytes(order_head(number).as_bytes());
        send_slowly(&mut client, BODY_BYTES);
        let answer = client.answer().expect("an answer before the connection ends");
        answer.status()
    });
    let count = |status: u16| statuses.iter().filter(|&&each| each == status).count();
    println!("{} served, {} refused", count(200), count(503));
    assert_eq!(count(200) + count(503), CLIENTS, "each request is served or refused: {statuses:?}");
    assert!(count(200) >= CLIENTS / 10, "served: {}", count(200));
    program.assert_within_limit();
}

/// Guards against requests that stop half way and take the memory that others need: small requests are served
/// meanwhile, and those that stopped get their error in time.
#[test]
fn requests_that_stop_half_way_stay_within_the_memory_limit() {
    let program = Crowded::start(2);
    let all_stopped = Barrier::new(PEERS + 1);
    let results = thread::scope(|scope| {
        let small = scope.spawn(|| {
            all_stopped.wait();
            let mut client = Client::connect(program.address);
            (0..20).map(|_| client.ask("order", "small").status()).collect::<Vec<_>>()
        });
        let results = program.run(PEERS, |number| {
            let mut client = Client::connect(program.address);
            let connected_at = Instant::now();
            client.send_bytes(order_head(number).as_bytes());
            client.send_bytes(&[b'b'; BODY_BYTES / 2]);
            all_stopped.wait();
            is_closed_within(&mut client.0, connected_at, BAD_PEER_TIMEOUT)
        });
        assert_eq!(small.join().expect("the client does not panic"), [200; 20]);
        results
    });
    assert!(results.iter().all(|&in_time| in_time), "each peer gets an error or a close in time");
    program.assert_within_limit();
}
