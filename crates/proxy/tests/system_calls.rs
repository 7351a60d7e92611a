//! System calls that fail, are interrupted, or do less than they were asked for: the program runs with the library of
//! `crates/fault-injection` before the C library, and every request gets its one answer all the same.

mod common;

use std::fs;
use std::io::{BufRead, BufReader, Read};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{SystemTime, UNIX_EPOCH};

use common::*;

/// Callers at a time.
const CALLERS: usize = 8;
/// Requests of each.
const REQUESTS: usize = 150;
/// Upstreams.
const UPSTREAMS: usize = 4;
/// An attempt waits so long for a connection at the most.
const USUAL_DIAL_S: f64 = 5.0;
/// The classes of a caller's requests, in turn.
const CLASSES: [&str; 3] = ["read", "pay", "order"];

/// Where the library is: cargo builds it beside the tests, as their package names it.
fn library() -> PathBuf {
    let tests = std::env::current_exe().expect("a test");
    let library = tests.with_file_name("libfault_injection.so");
    assert!(library.exists(), "not built: {}", library.display());
    library
}

/// The program with faults, and the world around it.
struct Site {
    upstreams: Vec<Upstream>,
    discovery: Discovery,
    program: Child,
    address: SocketAddr,
    log: Arc<Mutex<Vec<String>>>,
    faults: PathBuf,
}

impl Site {
    /// Starts the program with these variables of the library, which are told the ports of the upstreams.
    fn start(variables: impl Fn(&str) -> Vec<(&'static str, String)>) -> Self {
        Self::start_with(USUAL_DIAL_S, variables)
    }

    /// The same where an attempt waits so long for a connection at the most.
    fn start_with(dial_timeout: f64, variables: impl Fn(&str) -> Vec<(&'static str, String)>) -> Self {
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
    fn faults(&self, call: &str, what: Option<&str>) -> usize {
        let text = fs::read_to_string(&self.faults).unwrap_or_default();
        let affected = text.lines().filter_map(|line| line.split_once(' '));
        affected.filter(|(name, how)| *name == call && what.is_none_or(|what| what == *how)).count()
    }

    /// How often the upstreams together had a request with this body.
    fn runs(&self, body: &str) -> usize {
        self.upstreams.iter().map(|upstream| upstream.count_of(body)).sum()
    }

    /// Has all callers ask, and checks what holds under any fault: an answer on each connection that was not closed
    /// before it, with the upstream's own text if served, nothing behind the last, and nothing unsafe run twice.
    fn ask_all(&self) -> Tally {
        self.ask_all_on(false)
    }

    /// The same, on a `fresh` connection for each request.
    fn ask_all_on(&self, fresh: bool) -> Tally {
        let tally = Tally::default();
        thread::scope(|scope| {
            for caller in 0..CALLERS {
                let (address, tally) = (self.address, &tally);
                scope.spawn(move || ask_in_turn(address, caller, fresh, tally));
            }
        });
        tally
    }

    /// Checks that no request that must not be sent again was.
    fn check_runs(&self) {
        for caller in 0..CALLERS {
            for request in (0..REQUESTS).filter(|request| CLASSES[request % CLASSES.len()] == "order") {
                let body = format!("{caller}-{request}");
                let runs = self.runs(&body);
                assert!(runs <= 1, "{body} ran {runs} times");
            }
        }
    }

    /// The counts of the program's next line that tells of `taken` requests or more since the start.
    fn vitals(&self, taken: u64) -> Vitals {
        wait_for("a line of counts", || {
            let log = self.log.lock().expect("no panic");
            let lines = log.iter().filter(|line| line.contains("requests: "));
            let vitals = lines.fold(Vitals::default(), |vitals, line| vitals.with(line));
            (vitals.taken >= taken).then_some(vitals)
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
    let mut caller = None;
    for request in 0..REQUESTS {
        let (class, body) = (CLASSES[request % CLASSES.len()], format!("{number}-{request}"));
        let mut connection = caller.take().unwrap_or_else(|| Caller::connect(address));
        match connection.try_ask(class, &body) {
            Some(answer) => {
                tally.take(&answer, &body);
                let stays = !fresh && answer.header("connection") != Some("close");
                caller = stays.then_some(connection);
            }
            None => tally.add(&tally.closed),
        }
    }
    if let Some(Caller(stream)) = caller {
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

/// How requests ended for their callers.
#[derive(Debug, Default)]
struct Tally {
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
    fn counts(&self) -> [usize; 4] {
        [&self.served, &self.refused, &self.failed, &self.closed].map(|count| count.load(Ordering::Relaxed))
    }
}

/// What lines of counts tell together.
#[derive(Debug, Default)]
struct Vitals {
    taken: u64,
    unreached: u64,
    late: u64,
    unsent: u64,
    /// The least part of the tier that the program took itself to have.
    had: Option<f64>,
    /// The most that it took for a crowd.
    crowding: f64,
}

impl Vitals {
    fn with(mut self, line: &str) -> Self {
        self.taken += before(line, " taken");
        self.unreached += before(line, " unreached");
        self.late += before(line, " not connected in time");
        self.unsent += before(line, " unsent");
        let had: f64 = behind(line, "had ");
        self.had = Some(self.had.map_or(had, |least| least.min(had)));
        self.crowding = self.crowding.max(behind(line, "crowding "));
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
const ALL: usize = CALLERS * REQUESTS;

// --- Interrupted waits and short transfers ---

/// Guards requests against waits for events that are interrupted.
#[test]
fn interrupted_waits_lose_nothing() {
    let site = Site::start(|_| vec![("FAULT_WAIT", "errno=EINTR,every=2".into())]);
    let tally = site.ask_all();
    assert!(site.faults("WAIT", Some("EINTR")) > REQUESTS);
    assert_eq!(tally.counts(), [ALL, 0, 0, 0]);
    site.check_runs();
}

/// Guards requests and answers against reads and writes that do a part of what they were asked for.
#[test]
fn short_reads_and_writes_lose_nothing() {
    let site = Site::start(|_| {
        vec![("FAULT_READ", "short=7,every=2".into()), ("FAULT_WRITE", "short=11,every=2".into())]
    });
    let tally = site.ask_all();
    assert!(site.faults("READ", None) > REQUESTS && site.faults("WRITE", None) > REQUESTS);
    assert_eq!(tally.counts(), [ALL, 0, 0, 0]);
    site.check_runs();
}

// --- Faults of the own machine ---

/// Checks that no upstream was charged with anything, and that none passes for gone.
fn check_uncharged(vitals: &Vitals) {
    assert_eq!((vitals.unreached, vitals.late, vitals.had), (0, 0, Some(1.0)), "{vitals:?}");
}

/// Guards upstreams and requests against connects for which the own machine has no port or no memory: each request is
/// served, and no upstream is charged.
#[test]
fn connects_that_fail_on_the_own_machine_are_not_charged() {
    let errors = "EADDRNOTAVAIL+EADDRINUSE+ENOBUFS+ENOMEM+EMFILE+ENFILE+EAGAIN+EINTR";
    let site = Site::start(|ports| vec![("FAULT_CONNECT", format!("errno={errors},every=3,ports={ports}"))]);
    let tally = site.ask_all();
    for error in errors.split('+') {
        assert!(site.faults("CONNECT", Some(error)) > 0, "{error}");
    }
    assert_eq!(tally.counts(), [ALL, 0, 0, 0]);
    site.check_runs();
    check_uncharged(&site.vitals(ALL as u64));
}

/// Guards the same against a lack of sockets.
#[test]
fn sockets_that_are_not_had_are_not_charged() {
    let errors = "EMFILE+ENFILE+ENOBUFS+ENOMEM";
    // The first is the listener's.
    let site = Site::start(|_| vec![("FAULT_SOCKET", format!("errno={errors},every=3,skip=1"))]);
    let tally = site.ask_all();
    for error in errors.split('+') {
        assert!(site.faults("SOCKET", Some(error)) > 0, "{error}");
    }
    assert_eq!(tally.counts(), [ALL, 0, 0, 0]);
    site.check_runs();
    check_uncharged(&site.vitals(ALL as u64));
}

/// Guards callers against waiting for a port that does not come: within the time for a connect they are refused, which
/// tells them that trying again is harmless, and no upstream is charged.
#[test]
fn a_lasting_lack_of_ports_refuses() {
    let site =
        Site::start_with(0.5, |ports| vec![("FAULT_CONNECT", format!("errno=EADDRNOTAVAIL,ports={ports}"))]);
    for class in CLASSES {
        let answer = Caller::connect(site.address).ask(class, class);
        assert_eq!((answer.status(), site.runs(class)), (503, 0), "{class}");
    }
    let vitals = site.vitals(CLASSES.len() as u64);
    check_uncharged(&vitals);
    assert_eq!(vitals.unsent, CLASSES.len() as u64);
    let faults = site.faults("CONNECT", None);
    assert!((2 * CLASSES.len()..40 * CLASSES.len()).contains(&faults), "{faults} connects");
}

/// Guards the same where the caller's time is over before that for a connect.
#[test]
fn a_lack_of_ports_past_the_deadline_is_not_charged() {
    let site = Site::start(|ports| vec![("FAULT_CONNECT", format!("errno=EADDRNOTAVAIL,ports={ports}"))]);
    for number in 0..5 {
        let mut caller = Caller::connect(site.address);
        let request = String::from_utf8(order_with(b"")).expect("text");
        caller.raw(request.replace("X-Tenant", "X-Deadline: 0.4\r\nX-Tenant").as_bytes());
        let status = caller.answer().expect("an answer").status();
        assert!(matches!(status, 503 | 504), "{number}: {status}");
    }
    check_uncharged(&site.vitals(5));
    assert_eq!(site.runs("one"), 0);
}

/// Guards requests against options that can't be set.
#[test]
fn options_that_are_not_set_lose_nothing() {
    // The first is the listener's.
    let site = Site::start(|_| vec![("FAULT_SETSOCKOPT", "errno=ENOBUFS+ENOMEM+EINVAL,skip=1".into())]);
    let tally = site.ask_all();
    assert!(site.faults("SETSOCKOPT", None) > CALLERS);
    assert_eq!(tally.counts(), [ALL, 0, 0, 0]);
    site.check_runs();
}

/// Guards callers against accepts that fail for a moment.
#[test]
fn accepts_that_fail_lose_nobody() {
    let errors = "ECONNABORTED+EMFILE+ENFILE+ENOBUFS+ENOMEM+EPROTO+EINTR";
    let site = Site::start(|_| vec![("FAULT_ACCEPT", format!("errno={errors},every=3"))]);
    let tally = site.ask_all_on(true);
    for error in errors.split('+') {
        assert!(site.faults("ACCEPT", Some(error)) > 0, "{error}");
    }
    assert_eq!(tally.counts(), [ALL, 0, 0, 0]);
    site.check_runs();
}

// --- Faults of the path ---

/// What holds where connections to upstreams do not come up or break: each request has its answer, which says for one
/// that never ran that trying again is harmless, and what must not be sent again is not.
fn check_answered(site: &Site, tally: &Tally) {
    let [served, refused, failed, closed] = tally.counts();
    assert_eq!((served + refused + failed, closed), (ALL, 0), "{tally:?}");
    site.check_runs();
}

/// Guards requests against connects that fail on the way to the upstream: none of them ever ran.
#[test]
fn connects_that_fail_on_the_way_are_made_elsewhere() {
    let errors = "ENETUNREACH+EHOSTUNREACH+ECONNREFUSED+ETIMEDOUT";
    let site = Site::start(|ports| vec![("FAULT_CONNECT", format!("errno={errors},every=3,ports={ports}"))]);
    let tally = site.ask_all();
    assert!(site.faults("CONNECT", None) > 0);
    check_answered(&site, &tally);
    assert_eq!(tally.counts()[2], 0, "{tally:?}");
}

/// Guards the same where the failure shows in `SO_ERROR`.
#[test]
fn connects_whose_error_shows_late_are_made_elsewhere() {
    let errors = "ETIMEDOUT+EHOSTUNREACH";
    let site = Site::start(|ports| vec![("FAULT_SO_ERROR", format!("errno={errors},every=3,ports={ports}"))]);
    let tally = site.ask_all();
    assert!(site.faults("SO_ERROR", None) > 0);
    check_answered(&site, &tally);
    assert_eq!(tally.counts()[2], 0, "{tally:?}");
}

/// Guards requests whose connection breaks before their last byte is written, with none or a part of them out: they
/// never ran, so that each is sent again.
#[test]
fn a_break_before_the_last_byte_is_sent_again() {
    for short in ["", ",short=60"] {
        let site = Site::start(|ports| {
            let errors = "ETIMEDOUT+EHOSTUNREACH+ECONNRESET+EPIPE";
            vec![("FAULT_WRITE", format!("errno={errors},every=9,ports={ports}{short}"))]
        });
        let tally = site.ask_all();
        assert!(site.faults("WRITE", None) > REQUESTS / 2);
        check_answered(&site, &tally);
        assert_eq!(tally.counts()[2], 0, "none failed{short}: {tally:?}");
    }
}

/// Guards requests whose connection breaks after their last byte is written, with none or a part of the answer in: what
/// must not run twice is not sent again.
#[test]
fn a_break_after_the_last_byte_is_not_sent_again() {
    for short in ["", ",short=20"] {
        let site = Site::start(|ports| {
            let errors = "ETIMEDOUT+EHOSTUNREACH+ECONNRESET";
            vec![("FAULT_READ", format!("errno={errors},every=9,ports={ports}{short}"))]
        });
        let tally = site.ask_all();
        assert!(site.faults("READ", None) > REQUESTS / 2);
        check_answered(&site, &tally);
        // Of those that may run again none is lost.
        assert!(tally.counts()[2] <= ALL / CLASSES.len(), "{tally:?}");
    }
}

/// How an order ends whose first connection breaks with that many of its bytes written, and how often it ran.
fn order_broken_after(bytes: usize) -> (u16, usize) {
    let site = Site::start(|ports| {
        vec![("FAULT_WRITE", format!("errno=ETIMEDOUT,short={bytes},count=1,ports={ports}"))]
    });
    let status = Caller::connect(site.address).ask("order", "one").status();
    assert_eq!(site.faults("WRITE", Some("ETIMEDOUT")), 1, "after {bytes} bytes");
    // The last byte of a request that was answered as one that may have run may still be on its way.
    if status == 502 {
        wait_for("the order runs", || (site.runs("one") == 1).then_some(()));
    }
    (status, site.runs("one"))
}

/// Guards the line between what never ran and what may have: it is the last byte.
#[test]
fn the_last_byte_decides_whether_an_order_is_sent_again() {
    let site = Site::start(|_| Vec::new());
    assert_eq!(Caller::connect(site.address).ask("order", "one").status(), 200);
    let size = site.upstreams.iter().find_map(|upstream| upstream.requests().first().cloned());
    let size = size.expect("it ran").1.size;
    for bytes in [1, size / 2, size - 1] {
        assert_eq!(order_broken_after(bytes), (200, 1), "broken after {bytes} of {size} bytes");
    }
    assert_eq!(order_broken_after(size), (502, 1), "broken after the last byte");
}

// --- The watch on discovery ---

/// Guards drains against reads of the watch that are short, waits that are interrupted, and connects to discovery that
/// fail for a moment: the word comes through, and nothing new goes to what drains.
#[test]
fn a_drain_is_heard_in_spite_of_faults() {
    let site = Site::start(|_| {
        vec![
            ("FAULT_READ", "short=5,every=2".into()),
            ("FAULT_WAIT", "errno=EINTR,every=2".into()),
            ("FAULT_CONNECT", "errno=EADDRNOTAVAIL+ENOBUFS,count=3".into()),
        ]
    });
    let (_, watch) = site.discovery.watch();
    let [drains, ..] = &site.upstreams[..] else { panic!("there are some") };
    watch.says(8, false, &[endpoint("s-0", drains.address, 0, "draining")]);
    // A line of counts tells the index of the list in hand.
    wait_for("the list is taken in", || {
        let log = site.log.lock().expect("no panic");
        log.iter().any(|line| line.contains("list 8;")).then_some(())
    });
    assert_eq!(site.ask_all().counts(), [ALL, 0, 0, 0]);
    assert_eq!(drains.requests().len(), 0);
    assert!(site.faults("READ", None) > REQUESTS);
    site.check_runs();
}

// --- The wall clock ---

/// Guards tests that move the wall clock: a program reads it as the file says, also after that has changed.
#[test]
fn the_wall_clock_is_off_as_the_file_says() {
    let file = std::env::temp_dir().join(format!("balancer-proxy-clock-{}", std::process::id()));
    let shown = |offset_ms: i64| {
        fs::write(&file, offset_ms.to_string()).expect("written");
        let program = Command::new("/bin/date")
            .args(["+%s"])
            .env("LD_PRELOAD", library())
            .env("FAULT_CLOCK", &file)
            .output()
            .expect("runs");
        String::from_utf8_lossy(&program.stdout).trim().parse::<u64>().expect("seconds")
    };
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_secs();
    for (offset_ms, expected) in [(-3_600_500, now - 3601), (7_200_000, now + 7200)] {
        assert!(shown(offset_ms).abs_diff(expected) <= LONG.as_secs(), "off by {offset_ms} ms");
    }
}
