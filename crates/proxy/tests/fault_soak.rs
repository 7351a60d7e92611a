//! A soak: the program under drawn faults, with a crowd of bad clients on some seeds, signals in series and a kill at the
//! earliest time that is allowed. Clients use their connections until the kill. Each seed draws its limits, upstreams,
//! clients and signals anew.
//!
//! A short run is part of the suite. `SOAK_SEEDS=1..=50 cargo test -p balancer-proxy --test fault_soak` runs others.

#[path = "soak/clients.rs"]
mod clients;
mod common;
#[path = "soak/crowd.rs"]
mod crowd;
#[path = "soak/upstreams.rs"]
mod upstreams;

use std::collections::HashMap;
use std::ffi::OsStr;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::process::Child;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use clients::{Outcome, Sent, send_requests};
use common::faults::library;
use common::*;
use oorandom::Rand64;
use upstreams::Runs;

/// Seeds of the short run.
const SHORT_RUN: RangeInclusive<u64> = 1..=8;
/// Number of clients with valid requests.
const CLIENTS: u64 = 8;
/// Number of upstreams.
const UPSTREAMS: u64 = 5;
/// How long the program serves before it is told to end.
const SERVING: Duration = Duration::from_secs(4);
/// Longest deadline of the settings in seconds.
const LONGEST_DEADLINE_S: f64 = 2.0;
/// Time from SIGTERM to SIGKILL: the longest deadline and 0.7 s.
const EARLIEST_KILL: Duration = Duration::from_millis(2700);
/// Time before the earliest kill at which incomplete requests get their error.
const ERRORS_BEFORE_KILL: Duration = Duration::from_millis(300);
/// Longest time for which the process is suspended.
const MAX_SUSPENSION_MS: u64 = 145;
/// Interval at which the resources of the program are read.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Most attempts that a request may have under the settings of the tests.
const MAX_ATTEMPTS: usize = 3;

/// Tells the draws of signals from the other draws of a seed.
const SIGNAL_SEED: u64 = 0x5167;
/// Stack of the thread of a bad client.
const CROWD_STACK_BYTES: usize = 192 * 1024;

/// What a seed decides.
#[derive(Debug)]
struct Plan {
    seed: u64,
    memory_mb: u32,
    descriptors: usize,
    /// Number of bad clients.
    crowd: u64,
    suspends: bool,
    small_send_buffers: bool,
}

impl Plan {
    fn draw(seed: u64) -> Self {
        let mut draws = Rand64::new(seed.into());
        let memory_mb = [32, 48, 96, 192][draw_below(&mut draws, 4)];
        let descriptors = [256, 512, 1024][draw_below(&mut draws, 3)];
        Self {
            seed,
            memory_mb,
            descriptors,
            crowd: if seed.is_multiple_of(3) { 0 } else { descriptors as u64 * 3 / 4 },
            suspends: draw_below(&mut draws, 2) == 0,
            small_send_buffers: draw_below(&mut draws, 2) == 0,
        }
    }
}

/// Draws a number below `bound`.
fn draw_below(draws: &mut Rand64, bound: u64) -> usize {
    usize::try_from(draws.rand_range(0..bound)).expect("a small number")
}

/// The largest use of resources that was seen.
#[derive(Debug, Default, Clone, Copy)]
struct Peaks {
    memory_mb: f64,
    descriptors: usize,
}

/// The program under test and what it needs.
struct Played {
    child: Child,
    address: SocketAddr,
    /// Time at which the program was told to end.
    told_at: Option<Instant>,
    runs: Runs,
    _upstreams: Vec<Upstream>,
    _discovery: Discovery,
}

impl Played {
    fn start(plan: &Plan) -> Self {
        let runs = Runs::default();
        let upstreams: Vec<Upstream> = (0..UPSTREAMS)
            .map(|number| upstreams::start(number, plan.seed * UPSTREAMS + number, Arc::clone(&runs)))
            .collect();
        let discovery = Discovery::start();
        let known = endpoints_in_own_groups(&upstreams);
        let text = configuration(discovery.address, &known, LONGEST_DEADLINE_S, plan.descriptors);
        let text = with_deadline(&with_memory_limit(&text, plan.memory_mb), LONGEST_DEADLINE_S);
        let file = write_configuration(&with_dial_timeout(&text, 1.0));
        let library = library();
        let all = [("LD_PRELOAD", library.as_os_str()), ("FAULT_SEND_BUFFER", OsStr::new("8192"))];
        let variables = if plan.small_send_buffers { &all[..] } else { &[] };
        let mut child = program_with_environment(plan.descriptors, &file, variables);
        let (address, log) = address(&mut child);
        thread::spawn(move || std::io::copy(&mut { log }, &mut std::io::sink()));
        wait_for("the program is ready", || (Client::connect(address).health() == Some(200)).then_some(()));
        Self { child, address, told_at: None, runs, _upstreams: upstreams, _discovery: discovery }
    }

    /// Suspends the program and sends it SIGHUP at drawn times while it serves, then sends SIGTERM and other signals, and
    /// SIGKILL at the earliest time that is allowed. Returns the largest use of resources.
    fn send_signals(&mut self, plan: &Plan, breaches: &mut Vec<String>) -> Peaks {
        let mut draws = Rand64::new((plan.seed ^ SIGNAL_SEED).into());
        let mut peaks = Peaks::default();
        let started_at = Instant::now();
        while started_at.elapsed() < SERVING {
            thread::sleep(CHECK_INTERVAL);
            peaks = peaks.max(Peaks::of(&self.child));
            if plan.suspends && draw_below(&mut draws, 8) == 0 {
                signal(&self.child, "-STOP");
                thread::sleep(Duration::from_millis(draws.rand_range(1..MAX_SUSPENSION_MS)));
                signal(&self.child, "-CONT");
            }
            if draw_below(&mut draws, 16) == 0 {
                (0..3).for_each(|_| signal(&self.child, "-HUP"));
            }
        }
        if let Some(status) = self.child.try_wait().expect("the program is a child") {
            breaches.push(format!("the program ended by itself: {status}"));
            return peaks;
        }
        let told_at = Instant::now();
        self.told_at = Some(told_at);
        ["-TERM", "-HUP", "-TERM"].iter().for_each(|name| signal(&self.child, name));
        while told_at.elapsed() < EARLIEST_KILL {
            if let Some(status) = self.child.try_wait().expect("the program is a child") {
                if !status.success() {
                    breaches.push(format!("the program ended with {status} after SIGTERM"));
                }
                return peaks;
            }
            peaks = peaks.max(Peaks::of(&self.child));
            thread::sleep(CHECK_INTERVAL);
        }
        self.child.kill().expect("the program is a child");
        self.child.wait().expect("the program is a child");
        peaks
    }
}

impl Drop for Played {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Peaks {
    fn of(child: &Child) -> Self {
        let read = |file: &str| std::fs::read_to_string(format!("/proc/{}/{file}", child.id()));
        let status = read("status").unwrap_or_default();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kib = peak.and_then(|text| text.trim().trim_end_matches(" kB").parse::<f64>().ok());
        let descriptors = std::fs::read_dir(format!("/proc/{}/fd", child.id())).map_or(0, Iterator::count);
        Self { memory_mb: kib.unwrap_or_default() / 1024.0, descriptors }
    }

    fn max(self, other: Self) -> Self {
        Self {
            memory_mb: self.memory_mb.max(other.memory_mb),
            descriptors: self.descriptors.max(other.descriptors),
        }
    }
}

/// Runs one seed and returns what broke a rule.
fn run(seed: u64) -> Vec<String> {
    let plan = Plan::draw(seed);
    let mut played = Played::start(&plan);
    let (address, stopped) = (played.address, AtomicBool::new(false));
    let mut breaches = Vec::new();
    let (sent, peaks): (Vec<Sent>, Peaks) = thread::scope(|scope| {
        let stopped = &stopped;
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| scope.spawn(move || send_requests(address, seed * CLIENTS + number, stopped)))
            .collect();
        for number in 0..plan.crowd {
            thread::Builder::new()
                .stack_size(CROWD_STACK_BYTES)
                .spawn_scoped(scope, move || {
                    crowd::behave_badly(address, seed * plan.crowd + number, stopped)
                })
                .expect("the thread starts");
        }
        let peaks = played.send_signals(&plan, &mut breaches);
        stopped.store(true, Ordering::Relaxed);
        let sent = clients.into_iter().flat_map(|client| client.join().expect("no panic")).collect();
        (sent, peaks)
    });
    if peaks.memory_mb > f64::from(plan.memory_mb) {
        breaches.push(format!("{:.1} of {} MB", peaks.memory_mb, plan.memory_mb));
    }
    if peaks.descriptors > plan.descriptors {
        breaches.push(format!("{} of {} descriptors", peaks.descriptors, plan.descriptors));
    }
    let runs = played.runs.lock().expect("the lock is not poisoned");
    check_requests(&sent, &runs, played.told_at, &mut breaches);
    let count = |outcome: Outcome| sent.iter().filter(|sent| sent.outcome == outcome).count();
    println!(
        "seed {seed}: {plan:?}: {} requests, {} served, {} refused, {} failed, {} closed; peak {:.1} MB, {} \
         descriptors; breaches: {breaches:?}",
        sent.len(),
        count(Outcome::Served),
        count(Outcome::Refused),
        count(Outcome::Failed),
        count(Outcome::Closed),
        peaks.memory_mb,
        peaks.descriptors,
    );
    breaches
}

/// Checks each request of the valid clients against what the upstreams have run.
fn check_requests(
    sent: &[Sent],
    runs: &HashMap<String, Vec<u64>>,
    told_at: Option<Instant>,
    breaches: &mut Vec<String>,
) {
    let errors_due_at = told_at.map(|told_at| told_at + EARLIEST_KILL - ERRORS_BEFORE_KILL);
    for Sent { id, class, in_pieces, written_at, outcome } in sent {
        let runs = runs.get(id).map(Vec::as_slice).unwrap_or_default();
        match outcome {
            Outcome::Broken(what) => breaches.push(format!("request {id}: {what}")),
            // A body that is incomplete when a drain needs its answers gets an error.
            Outcome::Status(408) if *in_pieces && errors_due_at.is_some_and(|due| *written_at >= due) => {}
            Outcome::Status(status) => breaches.push(format!("request {id}: status {status}")),
            Outcome::Closed if !runs.is_empty() => {
                breaches.push(format!("request {id}: ran and was not answered"));
            }
            Outcome::Served if runs.is_empty() => breaches.push(format!("request {id}: an invented answer")),
            _ => {}
        }
        let is_allowed = match *class {
            "order" => runs.len() <= 1,
            // Each upstream is a cell of its own, and a key stays in its cell.
            "pay" => runs.len() <= MAX_ATTEMPTS && runs.iter().all(|run| *run == runs[0]),
            _ => runs.len() <= MAX_ATTEMPTS,
        };
        if !is_allowed {
            breaches.push(format!("request {id} of class {class}: run by {runs:?}"));
        }
        if *class == "order" && *outcome == Outcome::Refused && !runs.is_empty() {
            breaches.push(format!("request {id}: refused after it ran"));
        }
    }
}

/// Runs the seeds that the environment names, or a few.
#[test]
fn no_rule_is_broken_under_drawn_faults() {
    let seeds = std::env::var("SOAK_SEEDS").map_or(SHORT_RUN, |text| {
        let (first, last) = text.split_once("..=").expect("SOAK_SEEDS as FIRST..=LAST");
        first.parse().expect("a seed")..=last.parse().expect("a seed")
    });
    let broken: Vec<_> =
        seeds.map(|seed| (seed, run(seed))).filter(|(_, breaches)| !breaches.is_empty()).collect();
    assert!(broken.is_empty(), "breaches by seed: {broken:#?}");
}
