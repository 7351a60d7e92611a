//! A balancer whose process is suspended, between reading its clock and writing or at any other time.

mod common;

use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddr;
use std::process::{Child, ChildStdin, Command, Stdio};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use balancer_proxy::discovery::Update;
use balancer_proxy::event_loop::Answer;
use bytes::Bytes;
use common::*;
use serde_json::{Value, json};
use tokio::task::spawn_local;

/// Longest time for which the process is suspended.
const MAX_SUSPENSION: Duration = Duration::from_millis(150);
/// How long after its client has disconnected an attempt may still arrive at an upstream.
const DEPARTURE_SLACK: Duration = Duration::from_millis(100);
/// How much the deadline forwarded to an upstream may exceed the client's remaining time, in seconds.
const DEADLINE_SLACK_S: f64 = 0.15;
/// How long after the deadline of its request an answer may arrive.
const MAX_LATENESS: Duration = Duration::from_millis(500);

// --- The process is suspended between passing a request to a connection and writing it ---

/// Guards against a forwarded deadline that exceeds the client's remaining time: the deadline must be calculated when
/// the bytes are written, because the process may have been suspended since the request was passed to the connection.
#[test]
fn the_forwarded_deadline_is_calculated_at_the_write() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let known = [endpoint("s-1", upstream.address, 0, "ready")];
    let discovery = Discovery::start();
    drive(&configuration(discovery.address, &known, 50.0, 1024), async |event_loop| {
        let (_client, server_side) = connected_pair();
        let deadline = tokio::time::Instant::now() + Duration::from_secs(20);
        assert!(accept(event_loop, "read", Bytes::new(), &server_side, deadline).await.is_ok());
        wait_until_connection_idle().await;
        let answer = accept(event_loop, "read", Bytes::new(), &server_side, deadline);
        // This task runs after the task of the attempt and before the task of the connection, which the attempt wakes.
        let remaining = spawn_local(async move {
            thread::sleep(MAX_SUSPENSION);
            deadline.saturating_duration_since(tokio::time::Instant::now())
        });
        assert!(answer.await.is_ok());
        let left = remaining.await.expect("the task does not panic").as_secs_f64();
        let requests = upstream.requests();
        assert_eq!((requests.len(), upstream.connections()), (2, 1));
        let forwarded_deadline: f64 = requests[1]
            .1
            .header("x-deadline")
            .and_then(|text| text.parse().ok())
            .expect("a deadline in seconds");
        assert!(
            forwarded_deadline <= left,
            "{forwarded_deadline} s forwarded, {left} s remained before the write"
        );
    });
}

/// Guards against an attempt to an upstream that drains or is gone, when the update with that status arrives after the
/// request was passed to the connection and before it is written.
#[test]
fn no_attempt_is_written_to_an_upstream_that_has_started_to_drain() {
    for status in ["draining", "gone"] {
        let upstream = Upstream::start(|_, _| ok("served"));
        let known = [endpoint("s-1", upstream.address, 0, "ready")];
        let discovery = Discovery::start();
        drive(&configuration(discovery.address, &known, 50.0, 1024), async |event_loop| {
            let (_client, server_side) = connected_pair();
            let deadline = tokio::time::Instant::now() + Duration::from_secs(20);
            assert!(accept(event_loop, "read", Bytes::new(), &server_side, deadline).await.is_ok());
            wait_until_connection_idle().await;
            let answer = accept(event_loop, "read", Bytes::new(), &server_side, deadline);
            let update = json!({"index": 8, "snapshot": false,
                              "endpoints": [endpoint("s-1", upstream.address, 0, status)]});
            let update: Update = serde_json::from_value(update).expect("a valid update");
            let notified = Rc::clone(event_loop);
            spawn_local(async move { notified.apply_update(update) });
            assert!(!matches!(answer.await, Ok(Answer::Served(_))), "{status}");
        });
        assert_eq!(upstream.requests().len(), 1, "{status}");
    }
}

// --- The process is suspended at random times ---

/// How long the load runs before SIGTERM.
const LOAD_DURATION: Duration = Duration::from_secs(5);
/// Deadlines of the clients' requests in seconds.
const DEADLINES_S: [f64; 3] = [1.0, 0.2, 0.1];
/// Number of clients, each of which sends one request after another.
const CLIENTS: u64 = 16;
/// One in this number of requests is abandoned: its client disconnects.
const DISCONNECT_ONE_IN: u64 = 5;
/// Longest drain: SIGKILL follows SIGTERM no sooner than after the longest deadline plus 0.7 s.
const MAX_DRAIN: Duration = Duration::from_millis(1700);
/// Time after SIGTERM during which the front may open new connections, so that the program must still run.
const NEW_CONNECTION_PERIOD: Duration = Duration::from_millis(400);

/// Seed of the random choices of the clients.
const CLIENT_SEED: u64 = 71;
/// Seed of the times at which the process is suspended.
const SUSPENSION_SEED: u64 = 72;

/// A random number generator with a seed (`SplitMix64`).
struct Rng(u64);

impl Rng {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^ (mixed >> 31)
    }

    /// Returns a random number from 0 to `bound`, exclusive.
    fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }

    /// Returns a random duration in whole milliseconds, from `from` to `to`, inclusive.
    fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(from + self.below(to - from + 1))
    }
}

/// An attempt as recorded by its upstream.
#[derive(Debug, Clone)]
struct Attempt {
    /// ID of the request that the attempt belongs to.
    id: String,
    /// When the attempt arrived at the upstream.
    received_at: Instant,
    /// Deadline that the balancer forwarded with the attempt, in seconds from its arrival.
    forwarded_deadline: f64,
    /// Whether the upstream ran the request instead of rejecting it.
    ran: bool,
}

/// A request as recorded by its client.
#[derive(Debug)]
struct SentRequest {
    /// ID of the request.
    id: String,
    /// Class of the request.
    class: &'static str,
    /// Deadline of the request, in seconds from `sent`.
    deadline: f64,
    /// When the client started to send the request.
    sent: Instant,
    /// When the client disconnected without waiting for the answer; `None` if it waited.
    left: Option<Instant>,
    /// When the answer was completely received, and its status.
    answered: Option<(Instant, u16)>,
    /// Whether the client sent the request a second time, on a new connection.
    sent_again: bool,
}

/// Returns the reply of an upstream to the request with this number, and whether the upstream runs the request.
/// Depending on the number, a request is served or rejected, its connection is closed, or it gets no answer.
fn reply(number: usize) -> (Reply, bool) {
    match number % 8 {
        1 | 5 => (status("503 Full\r\nX-Not-Run: 1"), false),
        3 => (Reply::Last(Vec::new()), true),
        6 => (Reply::Silence, true),
        _ => (ok("served"), true),
    }
}

/// Starts an upstream that records its attempts in `attempts`.
fn start_upstream(attempts: &Arc<Mutex<Vec<Attempt>>>) -> Upstream {
    let attempts = Arc::clone(attempts);
    Upstream::start(move |number, message| {
        let received_at = Instant::now();
        let (reply, ran) = reply(number);
        let id = message.header("x-request-id").expect("a request ID").to_owned();
        let forwarded_deadline =
            message.header("x-deadline").and_then(|text| text.parse().ok()).expect("a deadline in seconds");
        attempts.lock().expect("the lock is not poisoned").push(Attempt {
            id,
            received_at,
            forwarded_deadline,
            ran,
        });
        reply
    })
}

/// A shell that sends signals to a process. Starting a new process for each signal would delay the signals.
struct SignalSender {
    shell: Child,
    commands: ChildStdin,
    process: u32,
}

impl SignalSender {
    /// Starts a shell that sends signals to the process with this ID.
    fn to(process: u32) -> Self {
        let mut shell = Command::new("/bin/sh").stdin(Stdio::piped()).spawn().expect("the process starts");
        let commands = shell.stdin.take().expect("the stream is piped");
        Self { shell, commands, process }
    }

    /// Sends the signal with this name, without the prefix `SIG`. A process that has ended is ignored.
    fn send(&mut self, name: &str) {
        writeln!(self.commands, "kill -{name} {} 2>/dev/null", self.process).expect("the shell runs");
    }

    /// Ends the shell and waits for it.
    fn end(self) {
        let Self { mut shell, commands, .. } = self;
        drop(commands);
        shell.wait().expect("the process ends");
    }
}

/// Suspends a process for up to [`MAX_SUSPENSION`] at random times until `end` is set. Returns the longest suspension
/// as measured from outside the process.
fn suspend_at_random(process: u32, seed: u64, end: &AtomicBool) -> Duration {
    let (mut rng, mut signals, mut longest) = (Rng(seed), SignalSender::to(process), Duration::ZERO);
    while !end.load(Ordering::Relaxed) {
        thread::sleep(rng.millis(10, 120));
        let (suspended_at, suspension) = (Instant::now(), rng.millis(20, 149));
        signals.send("STOP");
        thread::sleep(suspension.saturating_sub(suspended_at.elapsed()));
        signals.send("CONT");
        longest = longest.max(suspended_at.elapsed());
    }
    signals.end();
    longest
}

/// Opens the connections of the clients.
struct Front {
    /// Address of the program.
    address: SocketAddr,
    /// Whether no new connections are opened any more, because the program has received SIGTERM.
    is_draining: AtomicBool,
}

impl Front {
    /// Opens a connection; `None` once no new connections are opened.
    fn connect(&self) -> Option<Client> {
        (!self.is_draining.load(Ordering::Relaxed)).then(|| Client::connect(self.address))
    }
}

/// Runs the client with this number: it sends one request after another until its connection has ended and no new one
/// is opened. Returns its requests.
fn run_client(front: &Front, number: u64, seed: u64) -> Vec<SentRequest> {
    let (mut rng, mut all, mut idle) = (Rng(seed + number), Vec::new(), None);
    for request in 0.. {
        let Some(mut client) = idle.take().or_else(|| front.connect()) else { break };
        let mut asked = SentRequest {
            id: format!("{number}-{request}"),
            class: ["read", "pay", "order"][rng.below(3) as usize],
            deadline: DEADLINES_S[rng.below(3) as usize],
            sent: Instant::now(),
            left: None,
            answered: None,
            sent_again: false,
        };
        let disconnects = rng.below(DISCONNECT_ONE_IN) == 0;
        let answer = send_request(&mut client, &mut asked, disconnects.then(|| rng.millis(0, 90)), front);
        if answer.as_ref().is_some_and(|answer| answer.header("connection") != Some("close")) {
            idle = Some(client);
        }
        all.push(asked);
    }
    all
}

/// Sends a request and either disconnects after the time in `disconnects` or waits for the answer. If the connection
/// ends before the answer, the request is sent once more on a new connection. Returns the answer, if there is one.
fn send_request(
    client: &mut Client,
    asked: &mut SentRequest,
    disconnects: Option<Duration>,
    front: &Front,
) -> Option<Message> {
    let text = request_text(asked);
    let written = client.0.write_all(text.as_bytes()).is_ok();
    if let Some(after) = disconnects {
        thread::sleep(after);
        asked.left = Some(Instant::now());
        let _ = client.0.shutdown(std::net::Shutdown::Both);
        return None;
    }
    let mut answer = written.then(|| client.answer()).flatten();
    if answer.is_none()
        && let Some(again) = front.connect()
    {
        asked.sent_again = true;
        *client = again;
        answer = client.0.write_all(text.as_bytes()).ok().and_then(|()| client.answer());
    }
    asked.answered = answer.as_ref().map(|answer| (Instant::now(), answer.status()));
    answer
}

/// Returns the text of a request as its client sends it.
fn request_text(asked: &SentRequest) -> String {
    let SentRequest { id, class, deadline, .. } = asked;
    let (method, key) = match *class {
        "read" => ("GET", String::new()),
        "pay" => ("POST", format!("Idempotency-Key: k-{id}\r\n")),
        _ => ("POST", String::new()),
    };
    format!(
        "{method} /{class}?k=7f HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {id}\r\nX-Tenant: acme\r\n\
         X-Deadline: {deadline}\r\n{key}Content-Length: 0\r\n\r\n"
    )
}

/// Guards against lost, late or repeated requests when the process is suspended. It is suspended for up to 0.15 s at
/// random times while upstreams reject requests, close connections and hang, and while the clients of a fifth of the
/// requests disconnect. The process drains during all of that.
#[test]
fn suspensions_of_the_process_lose_or_delay_no_request() {
    let attempts: Arc<Mutex<Vec<Attempt>>> = Arc::default();
    let upstreams: Vec<Upstream> = (0..4).map(|_| start_upstream(&attempts)).collect();
    let known: Vec<Value> = (upstreams.iter().enumerate())
        .map(|(number, upstream)| endpoint(&format!("s-{number}"), upstream.address, 4, "ready"))
        .collect();
    let discovery = Discovery::start();
    let text = configuration(discovery.address, &known, 1.0, 1024)
        .replace("\"hardLimitS\":60.0", "\"hardLimitS\":1.0");
    let mut child = start_program(&text);
    let (address, log) = address(&mut child);
    let log = thread::spawn(move || std::io::read_to_string(log));
    let front = Front { address, is_draining: AtomicBool::new(false) };
    let (process, ended) = (child.id(), AtomicBool::new(false));
    let (asked, longest, drain) = thread::scope(|scope| {
        let front = &front;
        let clients: Vec<_> =
            (0..CLIENTS).map(|number| scope.spawn(move || run_client(front, number, CLIENT_SEED))).collect();
        let suspender = scope.spawn(|| suspend_at_random(process, SUSPENSION_SEED, &ended));
        thread::sleep(LOAD_DURATION);
        signal(&child, "-TERM");
        let signalled = Instant::now();
        thread::sleep(NEW_CONNECTION_PERIOD - Duration::from_millis(100));
        front.is_draining.store(true, Ordering::Relaxed);
        child.wait().expect("the process ends");
        let drain = signalled.elapsed();
        ended.store(true, Ordering::Relaxed);
        let asked: Vec<SentRequest> = clients
            .into_iter()
            .flat_map(|client| client.join().expect("the thread does not panic"))
            .collect();
        (asked, suspender.join().expect("the thread does not panic"), drain)
    });
    let _ = log.join().expect("the thread does not panic");
    let attempts = attempts.lock().expect("the lock is not poisoned").clone();
    check_records(&asked, &attempts, longest);
    println!("drain: {drain:?}");
    let longest_allowed = MAX_DRAIN + longest.saturating_sub(MAX_SUSPENSION);
    assert!(
        drain >= NEW_CONNECTION_PERIOD && drain <= longest_allowed,
        "expected a drain of {NEW_CONNECTION_PERIOD:?} to {longest_allowed:?}, got {drain:?}"
    );
}

/// Checks the records of the clients and upstreams: forwarded deadlines, attempts after a disconnect, repeated
/// requests, and missing, late or unexpected answers. `longest` is the longest suspension of the process.
fn check_records(asked: &[SentRequest], attempts: &[Attempt], longest: Duration) {
    // A suspension that was longer than requested is caused by the machine and not by the program, so the bounds are
    // extended by the excess.
    let overrun = longest.saturating_sub(MAX_SUSPENSION);
    let mut by_id: HashMap<&str, Vec<&Attempt>> = HashMap::new();
    for attempt in attempts {
        by_id.entry(&attempt.id).or_default().push(attempt);
    }
    let (mut max_lateness, mut max_excess, mut max_after_disconnect) = (f64::MIN, f64::MIN, f64::MIN);
    for request in asked {
        let own = by_id.get(request.id.as_str()).map_or(&[][..], Vec::as_slice);
        let due = request.sent + Duration::from_secs_f64(request.deadline);
        for attempt in own {
            let excess = attempt.forwarded_deadline - seconds_to(attempt.received_at, due);
            max_excess = max_excess.max(excess);
            assert!(
                excess <= DEADLINE_SLACK_S + overrun.as_secs_f64(),
                "forwarded {excess} s too much: {request:?}, {attempt:?}"
            );
            if let Some(left) = request.left {
                let after = seconds_to(left, attempt.received_at);
                max_after_disconnect = max_after_disconnect.max(after);
                let slack = DEPARTURE_SLACK + overrun;
                assert!(after <= slack.as_secs_f64(), "attempt {after} s late: {request:?}, {attempt:?}");
            }
        }
        let ran = own.iter().filter(|attempt| attempt.ran).count();
        assert!(request.class != "order" || ran <= 1, "ran {ran} times: {request:?}, {own:?}");
        match request.answered {
            Some((at, status)) => {
                max_lateness = max_lateness.max(seconds_to(due, at));
                assert!(at <= due + MAX_LATENESS + overrun, "late answer: {request:?}, {own:?}");
                assert!(matches!(status, 200 | 429 | 502 | 503), "status: {request:?}");
            }
            // A request without any attempt may have been sent while the balancer closed the connection, and so never
            // been read by it.
            None => assert!(request.left.is_some() || own.is_empty(), "no answer: {request:?}, {own:?}"),
        }
    }
    let left = asked.iter().filter(|request| request.left.is_some()).count();
    let served =
        asked.iter().filter(|request| request.answered.is_some_and(|(_, status)| status == 200)).count();
    println!(
        "{} requests, {left} abandoned, {served} served; {} attempts; longest suspension {longest:?}; at most: \
         deadline forwarded {max_excess:.3} s too long, attempt {max_after_disconnect:.3} s after a disconnect, answer \
         {max_lateness:.3} s late",
        asked.len(),
        attempts.len()
    );
    assert!(
        left > 0 && served > 0 && attempts.len() > served,
        "too few outcomes: {left} abandoned, {served} served"
    );
}

/// Returns the seconds from `from` to `to`, which are negative if `to` is earlier.
fn seconds_to(from: Instant, to: Instant) -> f64 {
    to.saturating_duration_since(from).as_secs_f64() - from.saturating_duration_since(to).as_secs_f64()
}
