//! The program with the library of `crates/fault-injection` loaded before the C library, clients that load it, and how
//! their requests ended.

use std::fs;
use std::io::{BufRead, BufReader, Read};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use super::*;

/// Clients at a time.
pub const CLIENTS: usize = 8;
/// Requests of each.
pub const REQUESTS: usize = 150;
/// Upstreams.
pub const UPSTREAMS: usize = 4;
/// An attempt waits so long for a connection at the most.
pub const USUAL_DIAL_S: f64 = 5.0;
/// The classes of a client's requests, in turn.
pub const CLASSES: [&str; 3] = ["read", "pay", "order"];

/// Where the library is: cargo builds it beside the tests, as their package names it.
pub fn library() -> PathBuf {
    let tests = std::env::current_exe().expect("a test");
    let library = tests.with_file_name("libfault_injection.so");
    assert!(library.exists(), "not built: {}", library.display());
    library
}

/// The program with faults, and the world around it.
pub struct Site {
    pub upstreams: Vec<Upstream>,
    pub discovery: Discovery,
    program: Child,
    pub address: SocketAddr,
    pub log: Arc<Mutex<Vec<String>>>,
    faults: PathBuf,
}

impl Site {
    /// Starts the program with these variables of the library, which get the ports of the upstreams.
    pub fn start(variables: impl Fn(&str) -> Vec<(&'static str, String)>) -> Self {
        Self::start_with(USUAL_DIAL_S, variables)
    }

    /// The same where an attempt waits so long for a connection at the most.
    pub fn start_with(dial_timeout: f64, variables: impl Fn(&str) -> Vec<(&'static str, String)>) -> Self {
        let upstreams: Vec<Upstream> =
            (0..UPSTREAMS).map(|_| Upstream::start(|_, request| ok(&echo(request)))).collect();
        let ports: Vec<String> =
            upstreams.iter().map(|upstream| upstream.address.port().to_string()).collect();
        let known = each_in_a_group(&upstreams);
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
            .expect("starts");
        let (address, reader) = address(&mut program);
        let log = Arc::new(Mutex::new(Vec::new()));
        keep_lines(reader, Arc::clone(&log));
        Self { upstreams, discovery, program, address, log, faults }
    }

    /// How many calls of that name were affected so, or at all.
    pub fn faults(&self, call: &str, what: Option<&str>) -> usize {
        let text = fs::read_to_string(&self.faults).unwrap_or_default();
        let affected = text.lines().filter_map(|line| line.split_once(' '));
        affected.filter(|(name, how)| *name == call && what.is_none_or(|what| what == *how)).count()
    }

    /// How often the upstreams together had a request with this body.
    pub fn runs(&self, body: &str) -> usize {
        self.upstreams.iter().map(|upstream| upstream.count_of(body)).sum()
    }

    /// Has all clients ask, and checks what holds under any fault: an answer on each connection that was not closed
    /// before it, with the upstream's own text if served, nothing behind the last, and nothing unsafe run twice.
    pub fn ask_all(&self) -> Tally {
        self.ask_all_on(false)
    }

    /// The same, on a `fresh` connection for each request.
    pub fn ask_all_on(&self, fresh: bool) -> Tally {
        let tally = Tally::default();
        thread::scope(|scope| {
            for client in 0..CLIENTS {
                let (address, tally) = (self.address, &tally);
                scope.spawn(move || ask_in_turn(address, client, fresh, tally));
            }
        });
        tally
    }

    /// Checks that no request that must not be sent again was.
    pub fn check_runs(&self) {
        for client in 0..CLIENTS {
            for request in (0..REQUESTS).filter(|request| CLASSES[request % CLASSES.len()] == "order") {
                let body = format!("{client}-{request}");
                let runs = self.runs(&body);
                assert!(runs <= 1, "{body} ran {runs} times");
            }
        }
    }

    /// The counts of the program's next line that counts `accepted` requests or more since the start.
    pub fn log_counts(&self, accepted: u64) -> LogCounts {
        wait_for("a line of counts", || {
            let log = self.log.lock().expect("no panic");
            let lines = log.iter().filter(|line| line.contains("requests: "));
            let log_counts = lines.fold(LogCounts::default(), |log_counts, line| log_counts.with(line));
            (log_counts.accepted >= accepted).then_some(log_counts)
        })
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        if thread::panicking() {
            eprintln!("{:#?}", self.log.lock().map(|log| log.clone()));
        }
        let _ = self.program.kill();
        let _ = self.program.wait();
    }
}

/// Asks one after the other, on one connection as long as it stands.
fn ask_in_turn(address: SocketAddr, number: usize, fresh: bool, tally: &Tally) {
    let mut client = None;
    for request in 0..REQUESTS {
        let (class, body) = (CLASSES[request % CLASSES.len()], format!("{number}-{request}"));
        let mut connection = client.take().unwrap_or_else(|| Client::connect(address));
        match connection.try_ask(class, &body) {
            Some(answer) => {
                tally.take(&answer, &body);
                let stays = !fresh && answer.header("connection") != Some("close");
                client = stays.then_some(connection);
            }
            None => tally.add(&tally.closed),
        }
    }
    if let Some(Client(stream)) = client {
        assert_eq!(rest_of(stream), b"", "behind the last answer");
    }
}

/// What an upstream answers.
fn echo(request: &Message) -> String {
    format!("{} served", String::from_utf8_lossy(&request.body))
}

fn keep_lines(log: BufReader<ChildStderr>, lines: Arc<Mutex<Vec<String>>>) {
    thread::spawn(move || {
        for line in log.lines().map_while(Result::ok) {
            lines.lock().expect("no panic").push(line);
        }
    });
}

fn rest_of(mut stream: TcpStream) -> Vec<u8> {
    let _ = stream.shutdown(Shutdown::Write);
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest);
    rest
}

/// How requests ended for their clients.
#[derive(Debug, Default)]
pub struct Tally {
    served: AtomicUsize,
    refused: AtomicUsize,
    failed: AtomicUsize,
    /// The connection was closed with no answer.
    closed: AtomicUsize,
}

impl Tally {
    fn add(&self, count: &AtomicUsize) {
        count.fetch_add(1, Ordering::Relaxed);
    }

    fn take(&self, answer: &Message, body: &str) {
        match answer.status() {
            200 => {
                assert_eq!(answer.body, format!("{body} served").into_bytes());
                self.add(&self.served);
            }
            503 => self.add(&self.refused),
            502 | 504 => self.add(&self.failed),
            _ => panic!("{body} was answered {}", answer.line),
        }
    }

    /// Served, refused, failed, closed.
    pub fn counts(&self) -> [usize; 4] {
        [&self.served, &self.refused, &self.failed, &self.closed].map(|count| count.load(Ordering::Relaxed))
    }
}

/// What lines of counts tell together.
#[derive(Debug, Default)]
pub struct LogCounts {
    pub accepted: u64,
    pub unreachable: u64,
    pub late: u64,
    pub unsent: u64,
    /// The least part of the tier that the program took itself to have.
    pub had: Option<f64>,
    /// The most that it took for congestion.
    pub congestion: f64,
}

impl LogCounts {
    fn with(mut self, line: &str) -> Self {
        self.accepted += before(line, " taken");
        self.unreachable += before(line, " unreached");
        self.late += before(line, " not connected in time");
        self.unsent += before(line, " unsent");
        let had: f64 = behind(line, "had ");
        self.had = Some(self.had.map_or(had, |least| least.min(had)));
        self.congestion = self.congestion.max(behind(line, "crowding "));
        self
    }
}

/// The number before a word of a line.
fn before(line: &str, word: &str) -> u64 {
    let (text, _) = line.split_once(word).unwrap_or_else(|| panic!("no{word} in {line}"));
    text.rsplit(' ').next().and_then(|text| text.parse().ok()).expect("a number")
}

/// The number behind a word of a line.
fn behind(line: &str, word: &str) -> f64 {
    let (_, text) = line.split_once(word).unwrap_or_else(|| panic!("no {word} in {line}"));
    text.split([',', ' ']).next().and_then(|text| text.parse().ok()).expect("a number")
}

/// All requests there are.
pub const ALL: usize = CLIENTS * REQUESTS;
