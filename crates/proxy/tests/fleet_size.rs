//! Resources that one balancer uses in a normal fleet and in a fleet sixteen times the size, under the same traffic.

mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use common::*;
use serde_json::{Value, json};

/// Number of clients; each sends its requests one after the other.
const CLIENTS: usize = 4;
/// Number of requests that each client sends.
const REQUESTS: usize = 250;
/// Time between an answer and the client's next request.
const REQUEST_PAUSE: Duration = Duration::from_millis(6);
/// Time between two updates from discovery; there are several tens of updates while the traffic lasts.
const UPDATE_INTERVAL: Duration = Duration::from_millis(25);
/// Number of updates that a watch carries before it breaks. The balancer must resume from its current version, as a
/// full snapshot on each watch would exceed the bound on bytes.
const UPDATES_PER_WATCH: u64 = 4;
/// Minimum number of watches that the balancer must have opened for the bound on bytes to be conclusive: four full
/// snapshots of the large fleet exceed that bound.
const MIN_WATCHES: usize = 6;
/// Index of the list in the configuration.
const FIRST_INDEX: u64 = 7;
/// Limit on the program's open file descriptors.
const DESCRIPTORS: usize = 1024;

/// Numbers of upstreams and balancer replicas in a fleet.
#[derive(Debug, Clone, Copy)]
struct Fleet {
    upstreams: u32,
    replicas: u32,
}

const USUAL: Fleet = Fleet { upstreams: 200, replicas: 56 };
const LARGE: Fleet = Fleet { upstreams: 3200, replicas: 900 };

/// Resources that a balancer used, and the fraction of requests that it served.
#[derive(Debug, Clone, Copy)]
struct Usage {
    cpu_seconds: f64,
    peak_memory_mb: f64,
    descriptors: f64,
    connections: f64,
    list_kb: f64,
    served_fraction: f64,
}

/// Starts one listener that plays all upstreams, on one port of all loopback addresses. Returns the port and the
/// counter of accepted connections.
fn start_upstreams() -> (u16, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("0.0.0.0:0").expect("a free port");
    let port = listener.local_addr().expect("the socket is bound").port();
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

/// Returns the list entry of one upstream, which has its own loopback address.
fn entry(number: u32, port: u16) -> Value {
    let [_, _, high, low] = number.to_be_bytes();
    endpoint(&format!("s-{number}"), SocketAddr::from(([127, 1, high, low], port)), number / 8, "ready")
}

/// A stand-in for discovery that sends updates as long as the traffic lasts.
struct ChangingDiscovery {
    fleet: Fleet,
    port: u16,
    /// Number of bytes of list updates written.
    bytes: AtomicUsize,
    /// Number of watches that the balancer opened.
    watches: AtomicUsize,
    /// Whether the traffic has ended, after which watches end.
    traffic_ended: AtomicBool,
}

impl ChangingDiscovery {
    fn start(fleet: Fleet, port: u16) -> (SocketAddr, Arc<Self>) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("the socket is bound");
        let discovery_server = Arc::new(Self {
            fleet,
            port,
            bytes: AtomicUsize::new(0),
            watches: AtomicUsize::new(0),
            traffic_ended: AtomicBool::new(false),
        });
        let shared = Arc::clone(&discovery_server);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                shared.watches.fetch_add(1, Ordering::Relaxed);
                let discovery_server = Arc::clone(&shared);
                thread::spawn(move || discovery_server.serve_watch(stream));
            }
        });
        (address, discovery_server)
    }

    /// Serves one watch: a full snapshot if the balancer asks from an unknown version, then [`UPDATES_PER_WATCH`]
    /// updates, after which the watch breaks.
    fn serve_watch(&self, mut stream: TcpStream) {
        let Some(message) = read_message(&mut stream) else { return };
        let since = message.line.split_once("since=").and_then(|(_, rest)| rest.split_once(' '));
        let since: u64 = since.and_then(|(index, _)| index.parse().ok()).unwrap_or(0);
        if stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").is_err() {
            return;
        }
        if since < FIRST_INDEX {
            let whole = (0..self.fleet.upstreams).map(|number| entry(number, self.port)).collect::<Vec<_>>();
            self.write_update(&mut stream, FIRST_INDEX, true, &whole);
        }
        let first = since.max(FIRST_INDEX) + 1;
        for index in first..first + UPDATES_PER_WATCH {
            thread::sleep(UPDATE_INTERVAL);
            if self.traffic_ended.load(Ordering::Relaxed)
                || !self.write_update(&mut stream, index, false, &[self.change(index)])
            {
                return;
            }
        }
    }

    /// Returns an entry in which one upstream's weight changes; the upstream depends on the index.
    fn change(&self, index: u64) -> Value {
        let number = u32::try_from(index).expect("the index fits") * 7 % self.fleet.upstreams;
        let mut changed = entry(number, self.port);
        changed["weight"] = json!(if index.is_multiple_of(2) { 1.0 } else { 1.1 });
        changed
    }

    /// Writes an update as one chunk; returns `false` if the connection is closed.
    fn write_update(&self, stream: &mut TcpStream, index: u64, whole: bool, endpoints: &[Value]) -> bool {
        let line = format!("{}\n", json!({"index": index, "snapshot": whole, "endpoints": endpoints}));
        self.bytes.fetch_add(line.len(), Ordering::Relaxed);
        stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).is_ok()
    }
}

/// Returns the configuration of one balancer of the fleet, which starts with the complete list.
fn configuration_in(fleet: Fleet, discovery: SocketAddr, port: u16) -> String {
    let known: Vec<Value> = (0..fleet.upstreams).map(|number| entry(number, port)).collect();
    let text = configuration(discovery, &known, 5.0, DESCRIPTORS);
    let mut configuration: Value = serde_json::from_str(&text).expect("JSON");
    configuration["settings"]["balancers"] = json!(fleet.replicas);
    // In this mode the balancer reopens a broken watch without a delay.
    configuration["settings"]["discovery"] = json!("automatic");
    configuration["settings"]["me"] = json!(fleet.replicas / 2);
    configuration.to_string()
}

/// Sends one client's requests, one after the other, and returns how many were served.
fn send_requests(address: SocketAddr) -> usize {
    let mut client = Client::connect(address);
    let mut served = 0;
    for _ in 0..REQUESTS {
        served += usize::from(client.ask("read", "").status() == 200);
        thread::sleep(REQUEST_PAUSE);
    }
    served
}

/// Runs the traffic against one balancer of a fleet and measures its resource usage.
fn measure_usage(fleet: Fleet) -> Usage {
    let (port, connections) = start_upstreams();
    let (discovery, discovery_server) = ChangingDiscovery::start(fleet, port);
    let mut child = program_with_descriptor_limit(DESCRIPTORS, &configuration_in(fleet, discovery, port));
    let (address, _log) = address(&mut child);
    let process = ProcessUsage(child.id());
    let clients: Vec<_> = (0..CLIENTS).map(|_| thread::spawn(move || send_requests(address))).collect();
    let mut descriptors = 0;
    while !clients.iter().all(thread::JoinHandle::is_finished) {
        descriptors = descriptors.max(process.descriptors());
        thread::sleep(Duration::from_millis(20));
    }
    let served: usize =
        clients.into_iter().map(|client| client.join().expect("the thread does not panic")).sum();
    discovery_server.traffic_ended.store(true, Ordering::Relaxed);
    let usage = Usage {
        cpu_seconds: process.cpu_seconds(),
        peak_memory_mb: process.peak_memory_mb(),
        descriptors: descriptors as f64,
        connections: connections.load(Ordering::Relaxed) as f64,
        list_kb: discovery_server.bytes.load(Ordering::Relaxed) as f64 / 1024.0,
        served_fraction: served as f64 / (CLIENTS * REQUESTS) as f64,
    };
    child.kill().expect("the program is running");
    child.wait().expect("the program exits");
    let watches = discovery_server.watches.load(Ordering::Relaxed);
    println!("{fleet:?}: {usage:?}, {watches} watches");
    assert!(watches >= MIN_WATCHES, "expected at least {MIN_WATCHES} watches, the balancer opened {watches}");
    usage
}

/// Guards against a balancer whose cost grows with the size of the fleet: under the same traffic its CPU time, memory,
/// descriptors and connections must stay nearly the same, apart from a small allowance for the longer list. List
/// updates must be sent as deltas, also after a watch has broken.
#[test]
fn a_fleet_sixteen_times_the_size_costs_a_balancer_little_more() {
    let (usual, large) = (measure_usage(USUAL), measure_usage(LARGE));
    let thousands = f64::from(LARGE.upstreams) / 1000.0;
    let bounds = [
        ("CPU seconds", large.cpu_seconds, 1.4 * usual.cpu_seconds + 0.02 + 0.03 * thousands),
        ("peak memory, MB", large.peak_memory_mb, 1.5 * usual.peak_memory_mb + 8.0 + 4.0 * thousands),
        ("descriptors", large.descriptors, 2.0 * usual.descriptors + 40.0),
        ("connections to upstreams", large.connections, 2.5 * usual.connections + 40.0),
        ("lists, KB", large.list_kb, 2.0 * usual.list_kb + 64.0 + 500.0 * thousands),
    ];
    for (what, needed, most) in bounds {
        assert!(
            needed <= most,
            "{what}: expected at most {most}, got {needed}; usual fleet {usual:?}, large fleet {large:?}"
        );
    }
    assert!(usual.served_fraction > 0.99, "expected over 99 % served in the usual fleet, got {usual:?}");
    assert!(
        large.served_fraction >= 0.85 * usual.served_fraction,
        "expected at least 85 % of the share served in the usual fleet, got {large:?}; usual fleet {usual:?}"
    );
}
