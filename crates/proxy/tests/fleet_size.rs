//! What one balancer needs in a usual fleet and in one sixteen times the size, under the same traffic.

mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use common::*;
use serde_json::{Value, json};

/// Clients that each send one request after the other.
const CLIENTS: usize = 4;
/// Requests of each client.
const REQUESTS: usize = 250;
/// Between an answer and the client's next request.
const PAUSE: Duration = Duration::from_millis(6);
/// Between two changes that discovery tells: some tens while the traffic lasts.
const CHANGE_EVERY: Duration = Duration::from_millis(25);
/// Changes on one watch before it breaks: the list must be resumed from the version in hand, as the whole one
/// each time would be over the bound.
const CHANGES_A_WATCH: u64 = 4;
/// Watches that the balancer must have opened for the bound on bytes to tell anything: four whole lists of the large
/// fleet are over it.
const LEAST_WATCHES: usize = 6;
/// The version of the list in the configuration.
const FIRST_INDEX: u64 = 7;
/// Clock ticks of `/proc/PID/stat`, which are of this length on Linux.
const TICKS_A_SECOND: f64 = 100.0;
/// Descriptors the program may hold.
const DESCRIPTORS: usize = 1024;

/// Sizes of a fleet.
#[derive(Debug, Clone, Copy)]
struct Fleet {
    upstreams: u32,
    replicas: u32,
}

const USUAL: Fleet = Fleet { upstreams: 200, replicas: 56 };
const LARGE: Fleet = Fleet { upstreams: 3200, replicas: 900 };

/// What a balancer needed, and what it served.
#[derive(Debug, Clone, Copy)]
struct Usage {
    cpu_seconds: f64,
    peak_memory_mb: f64,
    descriptors: f64,
    connections: f64,
    list_kb: f64,
    share_served: f64,
}

/// Upstreams of all loopback addresses on one port, and how many connections came to them.
fn start_upstreams() -> (u16, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("0.0.0.0:0").expect("a free port");
    let port = listener.local_addr().expect("bound").port();
    let connections = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&connections);
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            counted.fetch_add(1, Ordering::Relaxed);
            thread::spawn(move || {
                while read_message(&mut stream).is_some() {
                    if stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").is_err() {
                        return;
                    }
                }
            });
        }
    });
    (port, connections)
}

/// The entry of one upstream, on a loopback address of its own.
fn entry(number: u32, port: u16) -> Value {
    let [_, _, high, low] = number.to_be_bytes();
    endpoint(&format!("s-{number}"), SocketAddr::from(([127, 1, high, low], port)), number / 8, "ready")
}

/// A discovery that tells changes as long as the traffic lasts.
struct ChangingDiscovery {
    fleet: Fleet,
    port: u16,
    /// Bytes of lists written.
    bytes: AtomicUsize,
    /// Watches opened.
    watches: AtomicUsize,
    /// The traffic is over.
    over: AtomicBool,
}

impl ChangingDiscovery {
    fn start(fleet: Fleet, port: u16) -> (SocketAddr, Arc<Self>) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let discovery_stand_in = Arc::new(Self {
            fleet,
            port,
            bytes: AtomicUsize::new(0),
            watches: AtomicUsize::new(0),
            over: AtomicBool::new(false),
        });
        let shared = Arc::clone(&discovery_stand_in);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                shared.watches.fetch_add(1, Ordering::Relaxed);
                let discovery_stand_in = Arc::clone(&shared);
                thread::spawn(move || discovery_stand_in.serve_watch(stream));
            }
        });
        (address, discovery_stand_in)
    }

    /// Tells the whole list where the version asked from is none of its own, then changes; then the watch breaks.
    fn serve_watch(&self, mut stream: TcpStream) {
        let Some(message) = read_message(&mut stream) else { return };
        let since = message.line.split_once("since=").and_then(|(_, rest)| rest.split_once(' '));
        let since: u64 = since.and_then(|(index, _)| index.parse().ok()).unwrap_or(0);
        if stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").is_err() {
            return;
        }
        if since < FIRST_INDEX {
            let whole = (0..self.fleet.upstreams).map(|number| entry(number, self.port)).collect::<Vec<_>>();
            self.say(&mut stream, FIRST_INDEX, true, &whole);
        }
        let first = since.max(FIRST_INDEX) + 1;
        for index in first..first + CHANGES_A_WATCH {
            thread::sleep(CHANGE_EVERY);
            if self.over.load(Ordering::Relaxed)
                || !self.say(&mut stream, index, false, &[self.change(index)])
            {
                return;
            }
        }
    }

    /// One upstream after the other changes its weight.
    fn change(&self, index: u64) -> Value {
        let number = u32::try_from(index).expect("few changes") * 7 % self.fleet.upstreams;
        let mut changed = entry(number, self.port);
        changed["weight"] = json!(if index.is_multiple_of(2) { 1.0 } else { 1.1 });
        changed
    }

    fn say(&self, stream: &mut TcpStream, index: u64, whole: bool, endpoints: &[Value]) -> bool {
        let line = format!("{}\n", json!({"index": index, "snapshot": whole, "endpoints": endpoints}));
        self.bytes.fetch_add(line.len(), Ordering::Relaxed);
        stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).is_ok()
    }
}

/// The configuration of one of the fleet's balancers, with the whole list in hand.
fn configuration_in(fleet: Fleet, discovery: SocketAddr, port: u16) -> String {
    let known: Vec<Value> = (0..fleet.upstreams).map(|number| entry(number, port)).collect();
    let text = configuration(discovery, &known, 5.0, DESCRIPTORS);
    let mut configuration: Value = serde_json::from_str(&text).expect("JSON");
    configuration["settings"]["balancers"] = json!(fleet.replicas);
    // A broken watch is opened anew without a wait.
    configuration["settings"]["discovery"] = json!("automatic");
    configuration["settings"]["me"] = json!(fleet.replicas / 2);
    configuration.to_string()
}

/// What the system tells of the program.
struct Process(u32);

impl Process {
    fn read(&self, file: &str) -> String {
        std::fs::read_to_string(format!("/proc/{}/{file}", self.0)).expect("it runs")
    }

    /// User and system time of all its threads.
    fn cpu_seconds(&self) -> f64 {
        let stat = self.read("stat");
        // The name before may hold blanks.
        let (_, fields) = stat.rsplit_once(") ").expect("a name");
        let fields: Vec<&str> = fields.split(' ').collect();
        let ticks = |place: usize| fields[place].parse::<f64>().expect("a number");
        (ticks(11) + ticks(12)) / TICKS_A_SECOND
    }

    fn peak_memory_mb(&self) -> f64 {
        let status = self.read("status");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("the peak is reported");
        line.trim().trim_end_matches(" kB").parse::<f64>().expect("a number") / 1024.0
    }

    fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.0)).expect("it runs").count()
    }
}

/// Sends one client's requests, one after the other, and tells how many were served.
fn send_requests(address: SocketAddr) -> usize {
    let mut client = Client::connect(address);
    let mut served = 0;
    for _ in 0..REQUESTS {
        served += usize::from(client.ask("read", "").status() == 200);
        thread::sleep(PAUSE);
    }
    served
}

/// Plays the traffic against one balancer of a fleet.
fn play(fleet: Fleet) -> Usage {
    let (port, connections) = start_upstreams();
    let (discovery, discovery_stand_in) = ChangingDiscovery::start(fleet, port);
    let mut child = program_within(DESCRIPTORS, &configuration_in(fleet, discovery, port));
    let (address, _log) = address(&mut child);
    let process = Process(child.id());
    let clients: Vec<_> = (0..CLIENTS).map(|_| thread::spawn(move || send_requests(address))).collect();
    let mut descriptors = 0;
    while !clients.iter().all(thread::JoinHandle::is_finished) {
        descriptors = descriptors.max(process.descriptors());
        thread::sleep(Duration::from_millis(20));
    }
    let served: usize = clients.into_iter().map(|client| client.join().expect("no panic")).sum();
    discovery_stand_in.over.store(true, Ordering::Relaxed);
    let usage = Usage {
        cpu_seconds: process.cpu_seconds(),
        peak_memory_mb: process.peak_memory_mb(),
        descriptors: descriptors as f64,
        connections: connections.load(Ordering::Relaxed) as f64,
        list_kb: discovery_stand_in.bytes.load(Ordering::Relaxed) as f64 / 1024.0,
        share_served: served as f64 / (CLIENTS * REQUESTS) as f64,
    };
    child.kill().expect("it runs");
    child.wait().expect("ends");
    let watches = discovery_stand_in.watches.load(Ordering::Relaxed);
    println!("{fleet:?}: {usage:?}, {watches} watches");
    assert!(watches >= LEAST_WATCHES, "the watch broke and was resumed: {watches}");
    usage
}

/// Guards what a balancer costs against the size of the fleet around it: its traffic stays the same, and so must its
/// time, memory, descriptors and connections, up to a little for the longer list. Lists are sent as their changes, also
/// after a watch has broken.
#[test]
fn a_fleet_sixteen_times_the_size_costs_a_balancer_little_more() {
    let (usual, large) = (play(USUAL), play(LARGE));
    let thousands = f64::from(LARGE.upstreams) / 1000.0;
    let bounds = [
        ("CPU seconds", large.cpu_seconds, 1.4 * usual.cpu_seconds + 0.02 + 0.03 * thousands),
        ("peak memory, MB", large.peak_memory_mb, 1.5 * usual.peak_memory_mb + 8.0 + 4.0 * thousands),
        ("descriptors", large.descriptors, 2.0 * usual.descriptors + 40.0),
        ("connections to upstreams", large.connections, 2.5 * usual.connections + 40.0),
        ("lists, KB", large.list_kb, 2.0 * usual.list_kb + 64.0 + 500.0 * thousands),
    ];
    for (what, needed, most) in bounds {
        assert!(needed <= most, "{what}: {needed}, at most {most}; {usual:?}, {large:?}");
    }
    assert!(usual.share_served > 0.99, "{usual:?}");
    assert!(large.share_served >= 0.85 * usual.share_served, "{large:?}");
}
