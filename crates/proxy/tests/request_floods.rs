//! One client that sends small or unsound requests on its connections as fast as it can: the others have their answers in
//! time, and memory does not grow with the number or the names of its requests.

mod common;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// How long a flood lasts.
const FLOOD: Duration = Duration::from_secs(1);
/// Number of bytes that the flooding client writes at once at least.
const BYTES_AT_ONCE: usize = 64 * 1024;
/// Deadline of the other clients' requests.
const DEADLINE: Duration = Duration::from_secs(1);
/// Number of the other clients.
const OTHERS: usize = 4;
/// Memory by which the program may grow, in MB: its buffers for one client, whatever the client sends.
const MAX_GROWTH_MB: f64 = 8.0;

/// A kind of request that floods the program; it gets the number of the request.
type Kind = fn(usize) -> String;

/// Kinds of requests that floods consist of, each with its name.
const KINDS: [(&str, Kind); 11] = [
    ("health checks", |_| "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n".to_owned()),
    ("no time left", |number| order("acme", number, "X-Deadline: 0\r\n", "z")),
    ("ever new keys", |number| {
        format!(
            "POST /pay?k={number:x} HTTP/1.1\r\nHost: a\r\nX-Request-Id: r{number}\r\nX-Tenant: acme\r\n\
             X-Deadline: 0\r\nIdempotency-Key: k{number}\r\nContent-Length: 1\r\n\r\nz"
        )
    }),
    ("served", |number| order("acme", number, "X-Deadline: 5\r\n", "z")),
    ("unknown tenants", |number| order(&format!("t{number}"), number, "", "")),
    ("unknown classes", |number| {
        format!("POST /class{number} HTTP/1.1\r\nHost: a\r\nX-Request-Id: r\r\n\r\n")
    }),
    ("no deadline in numbers", |number| order("acme", number, "X-Deadline: soon\r\n", "z")),
    ("garbage", |number| format!("\u{1}garbage {number}\r\n\r\n")),
    ("empty lines", |_| "\r\n\n".to_owned()),
    ("small chunks", |number| chunked_order(number, 200)),
    ("chunks without end", |number| chunked_order(number, 100_000)),
];

/// An order with further header lines and a body.
fn order(tenant: &str, number: usize, lines: &str, body: &str) -> String {
    format!(
        "POST /order?k={number:x} HTTP/1.1\r\nHost: a\r\nX-Request-Id: r{number}\r\nX-Tenant: {tenant}\r\n{lines}\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// An order whose body comes in this many chunks of one byte.
fn chunked_order(number: usize, chunks: usize) -> String {
    let head = format!(
        "POST /order HTTP/1.1\r\nHost: a\r\nX-Request-Id: r{number}\r\nX-Tenant: acme\r\nX-Deadline: 0\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    head + &"1\r\nz\r\n".repeat(chunks) + "0\r\n\r\n"
}

/// Reads and discards what the program sends until it closes the connection.
fn discard_answers(mut stream: TcpStream) {
    let mut buffer = [0; 16 * 1024];
    while matches!(stream.read(&mut buffer), Ok(bytes) if bytes > 0) {}
}

/// Sends requests of a kind until `running` is cleared, on a new connection whenever the program closes one. Reads the
/// answers if `reads` is set.
fn flood(address: SocketAddr, kind: Kind, reads: bool, running: &AtomicBool) {
    let number = AtomicUsize::new(0);
    let next = || kind(number.fetch_add(1, Ordering::Relaxed));
    while running.load(Ordering::Relaxed) {
        let mut stream = TcpStream::connect(address).expect("the connection is accepted");
        stream.set_write_timeout(Some(FLOOD)).expect("the option is set");
        let answers = stream.try_clone().expect("the descriptor is copied");
        let reader = reads.then(|| thread::spawn(move || discard_answers(answers)));
        while running.load(Ordering::Relaxed) {
            let mut requests = next();
            while requests.len() < BYTES_AT_ONCE {
                requests += &next();
            }
            if stream.write_all(requests.as_bytes()).is_err() {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
        if let Some(reader) = reader {
            reader.join().expect("the reader does not panic");
        }
    }
}

/// Sends requests one after another until `running` is cleared. Returns the status and the time of each answer.
fn ask_meanwhile(address: SocketAddr, running: &AtomicBool) -> Vec<(u16, Duration)> {
    let mut client = Client::connect(address);
    let mut answers = Vec::new();
    while running.load(Ordering::Relaxed) {
        let sent_at = Instant::now();
        client.send_bytes(&request_with_deadline("order", "other", DEADLINE.as_secs_f64()));
        let answer = client.answer().expect("an answer before the connection ends");
        answers.push((answer.status(), sent_at.elapsed()));
        thread::sleep(Duration::from_millis(10));
    }
    answers
}

/// Guards the other clients, and the memory, against one client that floods the program: with sound requests that are
/// refused at once, with unsound ones, under ever new names, and without reading the answers.
#[test]
fn one_client_at_full_speed_delays_no_other_and_takes_no_memory() {
    let upstreams: Vec<_> = (0..4).map(|_| Upstream::start(|_, _| ok("served"))).collect();
    let discovery = Discovery::start();
    let text = configuration(discovery.address, &endpoints_in_own_groups(&upstreams), 0.5, 256);
    for reads in [true, false] {
        for (name, kind) in KINDS {
            let mut child = program_with_descriptor_limit(256, &with_memory_limit(&text, 32));
            let (address, log) = address(&mut child);
            thread::spawn(move || std::io::copy(&mut { log }, &mut std::io::sink()));
            let mut client = Client::connect(address);
            (0..OTHERS).for_each(|_| assert_eq!(client.ask("order", "first").status(), 200));
            let before = ProcessUsage(child.id()).peak_memory_mb();
            let running = AtomicBool::new(true);
            let answers: Vec<_> = thread::scope(|scope| {
                scope.spawn(|| flood(address, kind, reads, &running));
                let others: Vec<_> =
                    (0..OTHERS).map(|_| scope.spawn(|| ask_meanwhile(address, &running))).collect();
                thread::sleep(FLOOD);
                running.store(false, Ordering::Relaxed);
                others
                    .into_iter()
                    .flat_map(|other| other.join().expect("the client does not panic"))
                    .collect()
            });
            let growth = ProcessUsage(child.id()).peak_memory_mb() - before;
            child.kill().expect("the program is running");
            child.wait().expect("the program exits");
            let longest = answers.iter().map(|&(_, time)| time).max().expect("requests were sent");
            println!(
                "{name}, answers read: {reads}: {} answers, {longest:?} at most, {growth:.1} MB more",
                answers.len()
            );
            assert!(longest < DEADLINE + ANSWER_SLACK, "{name}: answered after {longest:?}");
            assert!(answers.iter().all(|&(status, _)| status == 200), "{name}: {answers:?}");
            assert!(growth < MAX_GROWTH_MB, "{name}: grew by {growth:.1} MB");
        }
    }
}
