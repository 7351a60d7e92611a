//! Tests of `capacity control` with small sizes: it writes all its slopes, and the stand-in list server counts the same
//! bytes as its clients.

use std::fs;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

use capacity::slope::Slope;
use capacity::sockets::list::ListServer;

/// Time after which a test fails; every step that works is much faster.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

fn capacity_command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_capacity"));
    let plan = Path::new(env!("CARGO_MANIFEST_DIR")).join("plan.toml");
    command.arg("--plan").arg(plan).args(arguments);
    command
}

/// Runs `capacity control --small` for one part, and returns the folder of its slopes.
fn run_small(part: &str) -> PathBuf {
    let out = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("control-{part}"));
    // Remove the results of an earlier run.
    let _ = fs::remove_dir_all(&out);
    let out_text = out.to_str().expect("the path is UTF-8");
    let done = capacity_command(&["control", "--small", "--part", part, "--out", out_text])
        .output()
        .expect("the process starts");
    assert!(done.status.success(), "{}", String::from_utf8_lossy(&done.stderr));
    out.join("slopes")
}

/// Reads a slope, which must have at least four sizes.
fn slope(folder: &Path, name: &str) -> Slope {
    let slope = Slope::read(folder, name).expect("the command wrote the slope");
    assert!(slope.points.len() >= 4, "{slope:?}");
    slope
}

#[test]
fn list_bytes_grow_linearly_with_entries() {
    let folder = run_small("list");
    let full_list = slope(&folder, "control.list_whole_bytes_by_upstreams");
    let fit = full_list.fit.expect("the slope has a fit");
    assert!((150.0..151.0).contains(&fit.each), "the plan's bytes of an entry: {fit:?}");
    assert!(fit.residual < 0.01, "{fit:?}");
    let by_changes = slope(&folder, "control.list_change_bytes_by_changes");
    assert!(by_changes.points.is_sorted_by(|one, next| one.y < next.y), "{by_changes:?}");
    for name in [
        "control.list_client_us_by_upstreams",
        "control.list_client_change_us_by_upstreams",
        "control.list_rest_bytes_per_s_by_watchers",
        "control.list_server_core_by_watchers",
        "control.list_server_kb_by_watchers",
        "control.list_client_core_by_watchers",
        "control.list_client_kb_by_watchers",
    ] {
        slope(&folder, name);
    }
}

#[test]
fn configuration_slopes_cover_client_and_server() {
    let folder = run_small("configuration");
    let by_changes = slope(&folder, "control.configuration_catch_up_bytes_by_changes");
    assert!(by_changes.points.is_sorted_by(|one, next| one.y < next.y), "{by_changes:?}");
    for name in [
        "control.configuration_rest_bytes_per_s_by_watchers",
        "control.configuration_server_core_by_watchers",
        "control.configuration_server_kb_by_watchers",
        "control.configuration_client_core_by_watchers",
        "control.configuration_client_kb_by_watchers",
        "control.change_p50_ms_by_watchers",
        "control.change_p99_ms_by_watchers",
        "control.change_last_ms_by_watchers",
        "control.change_sent_last_ms_by_watchers",
        "control.configuration_change_bytes_by_watchers",
        "control.configuration_change_server_us_by_watchers",
        "control.configuration_change_client_us_by_watchers",
    ] {
        slope(&folder, name);
    }
}

#[test]
fn invalid_arguments_are_named_in_the_error() {
    for (arguments, place) in [
        (["control", "--plays", "0"], "--plays: 1 to 100"),
        (["control", "--part", "all"], "'all' for '--part"),
    ] {
        let done = capacity_command(&arguments).output().expect("the process starts");
        assert!(!done.status.success());
        let message = String::from_utf8_lossy(&done.stderr);
        assert!(message.contains(place), "{message}");
    }
}

/// A client that watches the stand-in list server.
struct Watch {
    stream: TcpStream,
    /// Bytes of the request that the watch sent.
    asked: u64,
    /// All bytes received so far.
    text: Vec<u8>,
}

impl Watch {
    fn new(server: &ListServer, since: u64) -> Self {
        let mut stream = TcpStream::connect(server.address).expect("the server listens");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("the timeout is set");
        let request = format!("GET /catalog/members?follow=1&since={since} HTTP/1.1\r\nhost: test\r\n\r\n");
        stream.write_all(request.as_bytes()).expect("the request is sent");
        Self { stream, asked: request.len() as u64, text: Vec::new() }
    }

    /// Reads until the received text contains `wanted`.
    fn read_until_contains(&mut self, wanted: &str) {
        self.read_until(|text| text.contains(wanted));
    }

    /// Reads until `count` complete snapshots or deltas have been received.
    fn read_until_updates(&mut self, count: usize) {
        self.read_until(|text| text.matches("}]}\n\r\n").count() >= count);
    }

    /// Reads until `complete` holds for the received text.
    fn read_until(&mut self, complete: impl Fn(&str) -> bool) {
        let mut part = [0; 4096];
        while !complete(&String::from_utf8_lossy(&self.text)) {
            let read = self.stream.read(&mut part).expect("the watch receives data in time");
            assert_ne!(read, 0, "the watch has ended");
            self.text.extend_from_slice(&part[..read]);
        }
    }
}

#[test]
fn list_server_sends_snapshot_then_deltas_and_counts_the_same_bytes_as_its_watches() {
    // The heartbeat interval is longer than the test, so that all bytes belong to lists.
    let server = ListServer::start(20, 150, 2, TEST_TIMEOUT).expect("the server starts");
    let mut watches: Vec<Watch> = (0..5).map(|_| Watch::new(&server, 0)).collect();
    for watch in &mut watches {
        watch.read_until_contains("\"index\":1,\"snapshot\":true");
        watch.read_until_updates(1);
    }
    server.change(3);
    for watch in &mut watches {
        watch.read_until_contains("\"index\":4,\"snapshot\":false");
        watch.read_until_updates(2);
    }
    let client_bytes: u64 = watches.iter().map(|watch| watch.asked + watch.text.len() as u64).sum();
    let start = Instant::now();
    loop {
        let carried = server.carried();
        if carried.read + carried.written == client_bytes && carried.connections == 5 {
            break;
        }
        // The server counts bytes only after it has written them, so its count may lag behind.
        assert!(
            start.elapsed() < TEST_TIMEOUT,
            "{client_bytes} bytes at the clients, {carried:?} at the server"
        );
        thread::sleep(Duration::from_millis(1));
    }
    assert_eq!(server.asked(), [0; 5]);
}

#[test]
fn resumed_watch_receives_only_missed_changes() {
    let server = ListServer::start(20, 150, 2, TEST_TIMEOUT).expect("the server starts");
    server.change(4);
    let mut watch = Watch::new(&server, 3);
    watch.read_until_contains("\"index\":5,\"snapshot\":false");
    watch.read_until_contains("}]}\n");
    let text = String::from_utf8_lossy(&watch.text).into_owned();
    assert!(text.contains("\"name\":\"u0002\"") && text.contains("\"name\":\"u0003\""), "{text}");
    assert_eq!(text.matches("\"name\"").count(), 2, "{text}");
    server.close_all();
    let mut rest = Vec::new();
    watch.stream.read_to_end(&mut rest).expect("the watch ends in time");
    let mut again = Watch::new(&server, 5);
    again.read_until_contains("\r\n\r\n1\r\n\n\r\n");
    assert_eq!(server.asked(), [3, 5]);
}
