//! A balancer that is held up, between reading its clock and writing or at any other moment.

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

/// For how long a balancer may be held up.
const HOLD_UP: Duration = Duration::from_millis(150);
/// How much later than its client left an attempt may begin.
const DEPARTURE_SLACK: Duration = Duration::from_millis(100);
/// How much more than a client has left may be passed on.
const DEADLINE_SLACK: f64 = 0.15;
/// How long after its time an answer is late and not lost.
const LATE_MOST: Duration = Duration::from_millis(500);

// --- Between the hand-over of a request and its writing ---

/// Guards the deadline that is passed on: it is worked out when the bytes are written, however long the process was
/// held up since the request was handed over.
#[test]
fn the_deadline_passed_on_counts_from_the_write() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let known = [endpoint("s-1", upstream.address, 0, "ready")];
    let discovery = Discovery::start();
    drive(&configuration(discovery.address, &known, 50.0, 1024), async |event_loop| {
        let (_client, near) = connected_pair();
        let deadline = tokio::time::Instant::now() + Duration::from_secs(20);
        assert!(accept(event_loop, "read", Bytes::new(), &near, deadline).await.is_ok());
        wait_for_rest().await;
        let answer = accept(event_loop, "read", Bytes::new(), &near, deadline);
        // Runs after the attempt, and before the connection that the attempt wakes.
        let held_up = spawn_local(async move {
            thread::sleep(HOLD_UP);
            deadline.saturating_duration_since(tokio::time::Instant::now())
        });
        assert!(answer.await.is_ok());
        let left = held_up.await.expect("no panic").as_secs_f64();
        let requests = upstream.requests();
        assert_eq!((requests.len(), upstream.connections()), (2, 1));
        let passed_on: f64 =
            requests[1].1.header("x-deadline").and_then(|text| text.parse().ok()).expect("a time");
        assert!(passed_on <= left, "{passed_on} s passed on, {left} s left before it was written");
    });
}

/// Guards drains: one of which the balancer is notified between the hand-over and the writing holds.
#[test]
fn a_drain_notified_before_the_write_holds() {
    for status in ["draining", "gone"] {
        let upstream = Upstream::start(|_, _| ok("served"));
        let known = [endpoint("s-1", upstream.address, 0, "ready")];
        let discovery = Discovery::start();
        drive(&configuration(discovery.address, &known, 50.0, 1024), async |event_loop| {
            let (_client, near) = connected_pair();
            let deadline = tokio::time::Instant::now() + Duration::from_secs(20);
            assert!(accept(event_loop, "read", Bytes::new(), &near, deadline).await.is_ok());
            wait_for_rest().await;
            let answer = accept(event_loop, "read", Bytes::new(), &near, deadline);
            let word = json!({"index": 8, "snapshot": false,
                              "endpoints": [endpoint("s-1", upstream.address, 0, status)]});
            let word: Update = serde_json::from_value(word).expect("a word of discovery");
            let notified = Rc::clone(event_loop);
            spawn_local(async move { notified.apply_update(word) });
            assert!(!matches!(answer.await, Ok(Answer::Served(_))), "{status}");
        });
        assert_eq!(upstream.requests().len(), 1, "{status}");
    }
}

// --- The process stopped at random moments ---

/// For how long clients go on before the program has to end.
const SERVING: Duration = Duration::from_secs(5);
/// The deadlines of clients.
const DEADLINES: [f64; 3] = [1.0, 0.2, 0.1];
/// Clients that ask one request after another.
const CLIENTS: u64 = 16;
/// One in so many leaves.
const LEAVES: u64 = 5;
/// SIGKILL comes no sooner after SIGTERM: the longest deadline, and 0.7 s.
const DRAIN_MOST: Duration = Duration::from_millis(1700);
/// New connections keep coming for so long after SIGTERM at the most; the program must be there for them.
const NEW_CONNECTIONS: Duration = Duration::from_millis(400);

const CLIENT_SEED: u64 = 71;
const STOP_SEED: u64 = 72;

/// Numbers from a seed (SplitMix64).
struct Draw(u64);

impl Draw {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^ (mixed >> 31)
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }

    fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(from + self.below(to - from + 1))
    }
}

/// An attempt as its upstream saw it.
#[derive(Debug, Clone)]
struct Attempt {
    id: String,
    came: Instant,
    passed_on: f64,
    ran: bool,
}

/// A request as its client saw it.
#[derive(Debug)]
struct Asked {
    id: String,
    class: &'static str,
    deadline: f64,
    sent: Instant,
    left: Option<Instant>,
    /// When its answer was whole, and the status.
    answered: Option<(Instant, u16)>,
    /// The client sent it once more.
    sent_again: bool,
}

/// What upstreams do, by the number of the request: serve, reject, close and hang.
fn reply(number: usize) -> (Reply, bool) {
    match number % 8 {
        1 | 5 => (status("503 Full\r\nX-Not-Run: 1"), false),
        3 => (Reply::Last(Vec::new()), true),
        6 => (Reply::Silence, true),
        _ => (ok("served"), true),
    }
}

fn start_upstream(attempts: &Arc<Mutex<Vec<Attempt>>>) -> Upstream {
    let attempts = Arc::clone(attempts);
    Upstream::start(move |number, message| {
        let came = Instant::now();
        let (reply, ran) = reply(number);
        let id = message.header("x-request-id").expect("an id").to_owned();
        let passed_on = message.header("x-deadline").and_then(|text| text.parse().ok()).expect("a time");
        attempts.lock().expect("no panic").push(Attempt { id, came, passed_on, ran });
        reply
    })
}

/// A shell that sends signals: a process started for each would take its time.
struct Signals {
    shell: Child,
    commands: ChildStdin,
    process: u32,
}

impl Signals {
    fn to(process: u32) -> Self {
        let mut shell = Command::new("/bin/sh").stdin(Stdio::piped()).spawn().expect("starts");
        let commands = shell.stdin.take().expect("piped");
        Self { shell, commands, process }
    }

    fn send(&mut self, name: &str) {
        writeln!(self.commands, "kill -{name} {} 2>/dev/null", self.process).expect("the shell runs");
    }

    fn end(self) {
        let Self { mut shell, commands, .. } = self;
        drop(commands);
        shell.wait().expect("ends");
    }
}

/// Stops a process for up to [`HOLD_UP`] at random moments until `end` is set; the longest stop, seen from outside.
fn hold_up(process: u32, seed: u64, end: &AtomicBool) -> Duration {
    let (mut draw, mut signals, mut longest) = (Draw(seed), Signals::to(process), Duration::ZERO);
    while !end.load(Ordering::Relaxed) {
        thread::sleep(draw.millis(10, 120));
        let (stopped, hold_up) = (Instant::now(), draw.millis(20, 149));
        signals.send("STOP");
        thread::sleep(hold_up.saturating_sub(stopped.elapsed()));
        signals.send("CONT");
        longest = longest.max(stopped.elapsed());
    }
    signals.end();
    longest
}

/// Where clients open their connections.
struct Front {
    address: SocketAddr,
    /// The program has to end, and gets no new ones.
    settled: AtomicBool,
}

impl Front {
    fn connect(&self) -> Option<Client> {
        (!self.settled.load(Ordering::Relaxed)).then(|| Client::connect(self.address))
    }
}

/// Asks one request after another until its connection ends and no new ones are to be opened.
fn ask_on(front: &Front, number: u64, seed: u64) -> Vec<Asked> {
    let (mut draw, mut all, mut idle) = (Draw(seed + number), Vec::new(), None);
    for request in 0.. {
        let Some(mut client) = idle.take().or_else(|| front.connect()) else { break };
        let mut asked = Asked {
            id: format!("{number}-{request}"),
            class: ["read", "pay", "order"][draw.below(3) as usize],
            deadline: DEADLINES[draw.below(3) as usize],
            sent: Instant::now(),
            left: None,
            answered: None,
            sent_again: false,
        };
        let leaves = draw.below(LEAVES) == 0;
        let answer = ask_once(&mut client, &mut asked, leaves.then(|| draw.millis(0, 90)), front);
        if answer.as_ref().is_some_and(|answer| answer.header("connection") != Some("close")) {
            idle = Some(client);
        }
        all.push(asked);
    }
    all
}

/// Asks, and leaves after so long or waits for the answer. A connection that ends under the request is answered with a
/// new one, once.
fn ask_once(
    client: &mut Client,
    asked: &mut Asked,
    leaves: Option<Duration>,
    front: &Front,
) -> Option<Message> {
    let text = text_of(asked);
    let written = client.0.write_all(text.as_bytes()).is_ok();
    if let Some(after) = leaves {
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

fn text_of(asked: &Asked) -> String {
    let Asked { id, class, deadline, .. } = asked;
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

/// Guards every rule at once, at the process: it is stopped for up to 0.15 s at random moments while upstreams reject,
/// close and hang and a fifth of the clients leave, and it has to end while all of that goes on.
#[test]
fn nothing_is_lost_or_late_by_hold_ups() {
    let attempts: Arc<Mutex<Vec<Attempt>>> = Arc::default();
    let upstreams: Vec<Upstream> = (0..4).map(|_| start_upstream(&attempts)).collect();
    let known: Vec<Value> = (upstreams.iter().enumerate())
        .map(|(number, upstream)| endpoint(&format!("s-{number}"), upstream.address, 4, "ready"))
        .collect();
    let discovery = Discovery::start();
    let text = configuration(discovery.address, &known, 1.0, 1024)
        .replace("\"hardLimitS\":60.0", "\"hardLimitS\":1.0");
    let mut child = program(&text);
    let (address, log) = address(&mut child);
    let log = thread::spawn(move || std::io::read_to_string(log));
    let front = Front { address, settled: AtomicBool::new(false) };
    let (process, ended) = (child.id(), AtomicBool::new(false));
    let (asked, longest, drain) = thread::scope(|scope| {
        let front = &front;
        let clients: Vec<_> =
            (0..CLIENTS).map(|number| scope.spawn(move || ask_on(front, number, CLIENT_SEED))).collect();
        let stops = scope.spawn(|| hold_up(process, STOP_SEED, &ended));
        thread::sleep(SERVING);
        signal(&child, "-TERM");
        let signalled = Instant::now();
        thread::sleep(NEW_CONNECTIONS - Duration::from_millis(100));
        front.settled.store(true, Ordering::Relaxed);
        child.wait().expect("ends");
        let drain = signalled.elapsed();
        ended.store(true, Ordering::Relaxed);
        let asked: Vec<Asked> =
            clients.into_iter().flat_map(|client| client.join().expect("no panic")).collect();
        (asked, stops.join().expect("no panic"), drain)
    });
    let _ = log.join().expect("no panic");
    let attempts = attempts.lock().expect("no panic").clone();
    judge(&asked, &attempts, longest);
    println!("the drain took {drain:?}");
    let most = DRAIN_MOST + longest.saturating_sub(HOLD_UP);
    assert!(drain >= NEW_CONNECTIONS && drain <= most, "a drain of {drain:?}");
}

/// Holds what clients and upstreams saw against the rules.
fn judge(asked: &[Asked], attempts: &[Attempt], longest: Duration) {
    // A stop that came out longer than was asked for is the machine's and no fault of the program's.
    let overrun = longest.saturating_sub(HOLD_UP);
    let mut by_id: HashMap<&str, Vec<&Attempt>> = HashMap::new();
    for attempt in attempts {
        by_id.entry(&attempt.id).or_default().push(attempt);
    }
    let (mut latest, mut most_over, mut most_after) = (f64::MIN, f64::MIN, f64::MIN);
    for request in asked {
        let own = by_id.get(request.id.as_str()).map_or(&[][..], Vec::as_slice);
        let due = request.sent + Duration::from_secs_f64(request.deadline);
        for attempt in own {
            let over = attempt.passed_on - seconds_to(attempt.came, due);
            most_over = most_over.max(over);
            assert!(
                over <= DEADLINE_SLACK + overrun.as_secs_f64(),
                "{over} s too much: {request:?}, {attempt:?}"
            );
            if let Some(left) = request.left {
                let after = seconds_to(left, attempt.came);
                most_after = most_after.max(after);
                let slack = DEPARTURE_SLACK + overrun;
                assert!(after <= slack.as_secs_f64(), "begun {after} s after: {request:?}, {attempt:?}");
            }
        }
        let ran = own.iter().filter(|attempt| attempt.ran).count();
        assert!(request.class != "order" || ran <= 1, "run {ran} times: {request:?}, {own:?}");
        match request.answered {
            Some((at, status)) => {
                latest = latest.max(seconds_to(due, at));
                assert!(at <= due + LATE_MOST + overrun, "late: {request:?}, {own:?}");
                assert!(matches!(status, 200 | 429 | 502 | 503), "{request:?}");
            }
            // One that the balancer never read may have crossed the end of its connection.
            None => assert!(request.left.is_some() || own.is_empty(), "lost: {request:?}, {own:?}"),
        }
    }
    let left = asked.iter().filter(|request| request.left.is_some()).count();
    let served =
        asked.iter().filter(|request| request.answered.is_some_and(|(_, status)| status == 200)).count();
    println!(
        "{} requests, {left} left, {served} served; {} attempts; the longest stop {longest:?}; at most {most_over:.3} s \
         passed on over what was left, {most_after:.3} s after a departure, {latest:.3} s after a deadline",
        asked.len(),
        attempts.len()
    );
    assert!(left > 0 && served > 0 && attempts.len() > served, "nothing was tried");
}

/// Seconds from one moment to another, under zero if that is the earlier one.
fn seconds_to(from: Instant, to: Instant) -> f64 {
    to.saturating_duration_since(from).as_secs_f64() - from.saturating_duration_since(to).as_secs_f64()
}
