//! The program with the library of `crates/fault-injection` preloaded, clients that generate load, and the outcomes of
//! their requests.

use std::fs;
use std::io::{BufRead, BufReader, Read};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use super::*;

/// Number of concurrent clients.
pub const CLIENTS: usize = 8;
/// Number of requests that each client sends.
pub const REQUESTS: usize = 150;
/// Number of upstreams.
pub const UPSTREAMS: usize = 4;
/// Default connect time-out in seconds.
pub const DEFAULT_DIAL_TIMEOUT_S: f64 = 5.0;
/// Classes of the requests, which each client uses in turn.
pub const CLASSES: [&str; 3] = ["read", "pay", "order"];

/// Returns the path of the fault-injection library. Cargo builds it next to the test executables, because it is a
/// dev-dependency of their package.
pub fn library() -> PathBuf {
    let tests = std::env::current_exe().expect("the path of the test executable");
    let library = tests.with_file_name("libfault_injection.so");
    assert!(library.exists(), "expected the fault-injection library at {}", library.display());
    library
}

/// The program with injected faults, its upstreams and its discovery server.
pub struct ProxyWithFaults {
    pub upstreams: Vec<Upstream>,
    pub discovery: Discovery,
    program: Child,
    /// Address that the program listens on.
    pub address: SocketAddr,
    /// Lines that the program has logged.
    pub log: Arc<Mutex<Vec<String>>>,
    /// File in which the library logs each fault.
    faults: PathBuf,
}

impl ProxyWithFaults {
    /// Starts the program with the variables of the library that `variables` returns. It is called with the ports of
    /// the upstreams, separated by `+`.
    pub fn start(variables: impl Fn(&str) -> Vec<(&'static str, String)>) -> Self {
        Self::start_with(DEFAULT_DIAL_TIMEOUT_S, variables)
    }

    /// Starts the program like [`Self::start`], with a connect time-out of `dial_timeout` seconds.
    pub fn start_with(dial_timeout: f64, variables: impl Fn(&str) -> Vec<(&'static str, String)>) -> Self {
        let upstreams: Vec<Upstream> =
            (0..UPSTREAMS).map(|_| Upstream::start(|_, request| ok(&echo(request)))).collect();
        let ports: Vec<String> =
            upstreams.iter().map(|upstream| upstream.address.port().to_string()).collect();
        let known = endpoints_in_own_groups(&upstreams);
        let discovery = Discovery::start();
        let text = configuration(discovery.address, &known, 50.0, 1024);
        let file = write_configuration(&with_dial_timeout(&text, dial_timeout));
        let faults = file.with_extension("faults");
        let _ = fs::remove_file(&faults);
        let mut program = Command::new(env!("CARGO_BIN_EXE_balancer-proxy"))
            .env_clear()
            .env("PROXY_CONFIG", file)
            .env("LD_PRELOAD", library())
            .env("FAULT_LOG", &faults)
            .envs(variables(&ports.join("+")))
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the process starts");
        let (address, reader) = address(&mut program);
        let log = Arc::new(Mutex::new(Vec::new()));
        collect_lines(reader, Arc::clone(&log));
        Self { upstreams, discovery, program, address, log, faults }
    }

    /// Returns how many calls of the kind `call` were affected. If `what` is given, an error name or `short`, only
    /// calls with that fault count.
    pub fn faults(&self, call: &str, what: Option<&str>) -> usize {
        let text = fs::read_to_string(&self.faults).unwrap_or_default();
        let affected = text.lines().filter_map(|line| line.split_once(' '));
        affected.filter(|(name, how)| *name == call && what.is_none_or(|what| what == *how)).count()
    }

    /// Returns how many requests with this body all upstreams together have received.
    pub fn runs(&self, body: &str) -> usize {
        self.upstreams.iter().map(|upstream| upstream.count_of(body)).sum()
    }

    /// Runs all clients on persistent connections, and checks what holds under any fault: each request is answered or
    /// its connection closed, a served answer has the text of the upstream, and nothing follows the last answer.
    /// Returns the outcomes of the requests.
    pub fn run_clients(&self) -> Tally {
        self.run_clients_on(false)
    }

    /// Runs all clients like [`Self::run_clients`], with a new connection for each request if `new_connections` is set.
    pub fn run_clients_on(&self, new_connections: bool) -> Tally {
        let tally = Tally::default();
        thread::scope(|scope| {
            for client in 0..CLIENTS {
                let (address, tally) = (self.address, &tally);
                scope.spawn(move || ask_sequentially(address, client, new_connections, tally));
            }
        });
        tally
    }

    /// Asserts that no request of the class `order`, which must not be repeated, ran more than once.
    pub fn assert_orders_ran_at_most_once(&self) {
        for client in 0..CLIENTS {
            for request in (0..REQUESTS).filter(|request| CLASSES[request % CLASSES.len()] == "order") {
                let body = format!("{client}-{request}");
                let runs = self.runs(&body);
                assert!(runs <= 1, "request {body}: expected at most 1 run, got {runs}");
            }
        }
    }

    /// Waits until the program's counts add up to at least `accepted` requests since its start, and returns the counts.
    pub fn log_counts(&self, accepted: u64) -> LogCounts {
        wait_for("the logged counts include all requests", || {
            let log = self.log.lock().expect("the lock is not poisoned");
            let lines = log.iter().filter(|line| line.contains("requests: "));
            let log_counts = lines.fold(LogCounts::default(), |log_counts, line| log_counts.with(line));
            (log_counts.accepted >= accepted).then_some(log_counts)
        })
    }
}

impl Drop for ProxyWithFaults {
    fn drop(&mut self) {
        if thread::panicking() {
            eprintln!("{:#?}", self.log.lock().map(|log| log.clone()));
        }
        let _ = self.program.kill();
        let _ = self.program.wait();
    }
}

/// Sends the requests of one client in turn, on one connection while it stays open, or each on a new connection if
/// `new_connections` is set.
fn ask_sequentially(address: SocketAddr, number: usize, new_connections: bool, tally: &Tally) {
    let mut client = None;
    for request in 0..REQUESTS {
        let (class, body) = (CLASSES[request % CLASSES.len()], format!("{number}-{request}"));
        let mut connection = client.take().unwrap_or_else(|| Client::connect(address));
        match connection.try_ask(class, &body) {
            Some(answer) => {
                tally.take(&answer, &body);
                let is_reusable = !new_connections && answer.header("connection") != Some("close");
                client = is_reusable.then_some(connection);
            }
            None => tally.add(&tally.closed),
        }
    }
    if let Some(Client(stream)) = client {
        assert_eq!(read_rest(stream), b"", "expected no bytes after the last answer");
    }
}

/// Returns the body with which an upstream answers a request.
fn echo(request: &Message) -> String {
    format!("{} served", String::from_utf8_lossy(&request.body))
}

/// Appends the lines of a log to `lines` on a separate thread.
fn collect_lines(log: BufReader<ChildStderr>, lines: Arc<Mutex<Vec<String>>>) {
    thread::spawn(move || {
        for line in log.lines().map_while(Result::ok) {
            lines.lock().expect("the lock is not poisoned").push(line);
        }
    });
}

/// Closes the sending side of a connection, and returns what is received on it until it ends.
fn read_rest(mut stream: TcpStream) -> Vec<u8> {
    let _ = stream.shutdown(Shutdown::Write);
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest);
    rest
}

/// Outcomes of requests as their clients saw them.
#[derive(Debug, Default)]
pub struct Tally {
    /// Number of requests that were answered with 200.
    served: AtomicUsize,
    /// Number of requests that were answered with 503.
    refused: AtomicUsize,
    /// Number of requests that were answered with 502 or 504.
    failed: AtomicUsize,
    /// Number of requests whose connection was closed without an answer.
    closed: AtomicUsize,
}

impl Tally {
    fn add(&self, count: &AtomicUsize) {
        count.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts the outcome of the request with this body, and checks the body of a served answer.
    fn take(&self, answer: &Message, body: &str) {
        match answer.status() {
            200 => {
                assert_eq!(answer.body, format!("{body} served").into_bytes());
                self.add(&self.served);
            }
            503 => self.add(&self.refused),
            502 | 504 => self.add(&self.failed),
            _ => panic!("request {body}: expected status 200, 502, 503 or 504, got {}", answer.line),
        }
    }

    /// Returns the numbers of served, refused and failed requests and of closed connections, in this order.
    pub fn counts(&self) -> [usize; 4] {
        [&self.served, &self.refused, &self.failed, &self.closed].map(|count| count.load(Ordering::Relaxed))
    }
}

/// Counts of the program's log lines that begin with `requests: `, added up or reduced to their extremes.
#[derive(Debug, Default)]
pub struct LogCounts {
    /// Sum of the numbers of accepted requests (`taken`).
    pub accepted: u64,
    /// Sum of the numbers of attempts whose upstream was unreachable (`unreached`).
    pub unreachable: u64,
    /// Sum of the numbers of attempts that were not connected in time.
    pub late: u64,
    /// Sum of the numbers of attempts that were not sent (`unsent`).
    pub unsent: u64,
    /// Smallest fraction of the tier's capacity that the program took to be available (`had`); `None` before the first
    /// line.
    pub available_capacity: Option<f64>,
    /// Largest congestion level that the program measured (`crowding`).
    pub congestion: f64,
}

impl LogCounts {
    fn with(mut self, line: &str) -> Self {
        self.accepted += number_before(line, " taken");
        self.unreachable += number_before(line, " unreached");
        self.late += number_before(line, " not connected in time");
        self.unsent += number_before(line, " unsent");
        let available_capacity: f64 = number_after(line, "had ");
        self.available_capacity =
            Some(self.available_capacity.map_or(available_capacity, |least| least.min(available_capacity)));
        self.congestion = self.congestion.max(number_after(line, "crowding "));
        self
    }
}

/// Returns the number before `word` in a line.
fn number_before(line: &str, word: &str) -> u64 {
    let (text, _) = line.split_once(word).unwrap_or_else(|| panic!("expected `{word}` in the line: {line}"));
    text.rsplit(' ').next().and_then(|text| text.parse().ok()).expect("a number")
}

/// Returns the number after `word` in a line.
fn number_after(line: &str, word: &str) -> f64 {
    let (_, text) = line.split_once(word).unwrap_or_else(|| panic!("expected `{word}` in the line: {line}"));
    text.split([',', ' ']).next().and_then(|text| text.parse().ok()).expect("a number")
}

/// Number of requests that all clients send.
pub const ALL: usize = CLIENTS * REQUESTS;
