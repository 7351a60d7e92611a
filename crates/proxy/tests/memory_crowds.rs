//! Crowds of clients that make the program hold much at once: it must stay within the memory limit of its
//! configuration, give each whole request its one answer, and serve the other clients meanwhile.

mod common;

use std::ffi::OsStr;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Child;
use std::sync::Barrier;
use std::thread;
use std::time::{Duration, Instant};

use common::faults::library;
use common::*;
use socket2::SockRef;

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
        Self::start_with(answer_bytes, &[])
    }

    /// Starts the program like [`Self::start`], with further environment variables.
    fn start_with(answer_bytes: usize, variables: &[(&str, &OsStr)]) -> Self {
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
        let mut child = program_with_environment(DESCRIPTORS, &write_configuration(&text), variables);
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

/// Guards against heads that never end, of very many short fields and of one long one: 900 of them are closed in time.
#[test]
fn endless_heads_stay_within_the_memory_limit() {
    let fields = "a:b\r\n".repeat(6_000);
    let few_fields = "a:b\r\n".repeat(90);
    let long_field = format!("X-Padding: {}", "p".repeat(30_000));
    for rest in [fields, few_fields, long_field] {
        let program = Crowded::start(2);
        let results = program.run(PEERS, |_| {
            let mut client = Client::connect(program.address);
            let connected_at = Instant::now();
            // An error means that the program has answered and closed the connection already.
            let _ = client.0.write_all(format!("GET /read HTTP/1.1\r\nHost: a\r\n{rest}").as_bytes());
            is_closed_within(&mut client.0, connected_at, BAD_PEER_TIMEOUT)
        });
        assert!(results.iter().all(|&in_time| in_time), "each peer gets an error or a close in time");
        assert_eq!(Client::connect(program.address).ask("order", "small").status(), 200);
        program.assert_within_limit();
    }
}

/// Guards against requests that are sent at once by a crowd: what is read ahead is limited for all clients together, and
/// each request is answered.
#[test]
fn requests_sent_at_once_by_a_crowd_stay_within_the_memory_limit() {
    const REQUESTS_AT_ONCE: usize = 40;
    const ORDER_BYTES: usize = 4 * 1024;
    let program = Crowded::start(2);
    let answered = program.run(CLIENTS, |number| {
        let mut client = Client::connect(program.address);
        let order = order_named(&format!("{number}"), ORDER_BYTES, 30.0, BodyFraming::Length);
        client.send_bytes(&order.repeat(REQUESTS_AT_ONCE));
        (0..REQUESTS_AT_ONCE)
            .map(|_| client.answer().expect("an answer before the connection ends").status())
            .filter(|status| matches!(status, 200 | 503))
            .count()
    });
    assert_eq!(answered.iter().sum::<usize>(), CLIENTS * REQUESTS_AT_ONCE);
    program.assert_within_limit();
}

/// Guards against long answers that are read slowly: those for which there is no room wait in the sockets of their
/// upstreams, and all are passed on whole.
#[test]
fn slowly_read_long_answers_stay_within_the_memory_limit() {
    const READ_BYTES: usize = 2 * 1024;
    const READ_PAUSE: Duration = Duration::from_millis(20);
    let library = library();
    let variables = [("LD_PRELOAD", library.as_os_str()), ("FAULT_SEND_BUFFER", OsStr::new("4096"))];
    let program = Crowded::start_with(BODY_BYTES, &variables);
    let lengths = program.run(CLIENTS, |number| {
        let mut client = Client::connect(program.address);
        SockRef::from(&client.0).set_recv_buffer_size(READ_BYTES).expect("the socket option is set");
        client.send_bytes(&request_with_deadline("order", &format!("{number}"), 30.0));
        let mut received = 0;
        let mut piece = [0; READ_BYTES];
        while received < BODY_BYTES {
            received += client.0.read(&mut piece).expect("the connection is open");
            thread::sleep(READ_PAUSE);
        }
        received
    });
    assert!(lengths.iter().all(|&bytes| bytes >= BODY_BYTES));
    program.assert_within_limit();
}

/// Guards against many small answers that nobody reads: further requests of such a client are not begun before it has
/// taken the answers to those before them, and it has all answers in the end.
#[test]
fn unread_small_answers_stay_within_the_memory_limit() {
    const REQUESTS_AT_ONCE: usize = 24;
    const ANSWER_BYTES: usize = 4 * 1024;
    let library = library();
    let variables = [("LD_PRELOAD", library.as_os_str()), ("FAULT_SEND_BUFFER", OsStr::new("4096"))];
    let program = Crowded::start_with(ANSWER_BYTES, &variables);
    let all_sent = Barrier::new(CLIENTS);
    let answered = program.run(CLIENTS, |number| {
        let mut client = Client::connect(program.address);
        SockRef::from(&client.0).set_recv_buffer_size(2048).expect("the socket option is set");
        let order = order_named(&format!("{number}"), 64, 30.0, BodyFraming::Length);
        client.send_bytes(&order.repeat(REQUESTS_AT_ONCE));
        all_sent.wait();
        // Nobody reads for a while.
        thread::sleep(Duration::from_secs(2));
        (0..REQUESTS_AT_ONCE)
            .filter(|_| matches!(client.answer().map(|answer| answer.status()), Some(200 | 503)))
            .count()
    });
    assert_eq!(answered.iter().sum::<usize>(), CLIENTS * REQUESTS_AT_ONCE);
    program.assert_within_limit();
}
