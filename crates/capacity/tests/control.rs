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
const LONG: Duration = Duration::from_secs(60);

fn scale(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_capacity"));
    let plan = Path::new(env!("CARGO_MANIFEST_DIR")).join("plan.toml");
    command.arg("--plan").arg(plan).args(arguments);
    command
}

/// Runs `capacity control --small` for one part, and returns the folder of its slopes.
fn measured(part: &str) -> PathBuf {
    let out = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("control-{part}"));
    // Remove the results of an earlier run.
    let _ = fs::remove_dir_all(&out);
    let out_text = out.to_str().expect("the path is UTF-8");
    let done = scale(&["control", "--small", "--part", part, "--out", out_text])
        .output()
        .expect("the process starts");
    assert!(done.status.success(), "{}", String::from_utf8_lossy(&done.stderr));
    out.join("slopes")
}

fn slope(folder: &Path, name: &str) -> Slope {
    let slope = Slope::read(folder, name).expect("the command wrote the slope");
    assert!(slope.points.len() >= 4, "{slope:?}");
    slope
}

#[test]
fn a_list_costs_bytes_by_its_entries() {
    let folder = measured("list");
    let whole = slope(&folder, "control.list_whole_bytes_by_upstreams");
    let fit = whole.fit.expect("the slope has a fit");
    assert!((150.0..151.0).contains(&fit.each), "the plan's bytes of an entry: {fit:?}");
    assert!(fit.residual < 0.01, "{fit:?}");
    let missed = slope(&folder, "control.list_change_bytes_by_changes");
    assert!(missed.points.is_sorted_by(|one, next| one.y < next.y), "{missed:?}");
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
fn a_configuration_is_measured_at_both_ends() {
    let folder = measured("configuration");
    let missed = slope(&folder, "control.configuration_catch_up_bytes_by_changes");
    assert!(missed.points.is_sorted_by(|one, next| one.y < next.y), "{missed:?}");
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
fn bad_arguments_end_with_the_place() {
    for (arguments, place) in [
        (["control", "--plays", "0"], "--plays: 1 to 100"),
        (["control", "--part", "all"], "'all' for '--part"),
    ] {
        let done = scale(&arguments).output().expect("the process starts");
        assert!(!done.status.success());
        let told = String::from_utf8_lossy(&done.stderr);
        assert!(told.contains(place), "{told}");
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
        stream.set_read_timeout(Some(LONG)).expect("the timeout is set");
        let ask = format!("GET /catalog/members?follow=1&since={since} HTTP/1.1\r\nhost: test\r\n\r\n");
        stream.write_all(ask.as_bytes()).expect("the request is sent");
        Self { stream, asked: ask.len() as u64, text: Vec::new() }
    }

    /// Reads until the received text contains `wanted`.
    fn until(&mut self, wanted: &str) {
        self.until_so(|text| text.contains(wanted));
    }

    /// Reads until `count` complete snapshots or deltas have been received.
    fn until_lines(&mut self, count: usize) {
        self.until_so(|text| text.matches("}]}\n\r\n").count() >= count);
    }

    fn until_so(&mut self, so: impl Fn(&str) -> bool) {
        let mut part = [0; 4096];
        while !so(&String::from_utf8_lossy(&self.text)) {
            let read = self.stream.read(&mut part).expect("the watch receives data in time");
            assert_ne!(read, 0, "the watch has ended");
            self.text.extend_from_slice(&part[..read]);
        }
    }
}

#[test]
fn the_stand_in_tells_the_whole_then_changes_and_counts_what_its_watchers_count() {
    // The heartbeat interval is longer than the test, so that all bytes belong to lists.
    let server = ListServer::start(20, 150, 2, LONG).expect("the process starts");
    let mut watches: Vec<Watch> = (0..5).map(|_| Watch::new(&server, 0)).collect();
    for watch in &mut watches {
        watch.until("\"index\":1,\"snapshot\":true");
        watch.until_lines(1);
    }
    server.change(3);
    for watch in &mut watches {
        watch.until("\"index\":4,\"snapshot\":false");
        watch.until_lines(2);
    }
    let here: u64 = watches.iter().map(|watch| watch.asked + watch.text.len() as u64).sum();
    let start = Instant::now();
    loop {
        let carried = server.carried();
        if carried.read + carried.written == here && carried.connections == 5 {
            break;
        }
        // The server counts bytes only after it has written them, so its count may lag behind.
        assert!(start.elapsed() < LONG, "{here} bytes here, {carried:?}");
        thread::sleep(Duration::from_millis(1));
    }
    assert_eq!(server.asked(), [0; 5]);
}

#[test]
fn a_watch_that_asks_from_where_it_stood_is_told_only_what_it_missed() {
    let server = ListServer::start(20, 150, 2, LONG).expect("the process starts");
    server.change(4);
    let mut watch = Watch::new(&server, 3);
    watch.until("\"index\":5,\"snapshot\":false");
    watch.until("}]}\n");
    let text = String::from_utf8_lossy(&watch.text).into_owned();
    assert!(text.contains("\"name\":\"u0002\"") && text.contains("\"name\":\"u0003\""), "{text}");
    assert_eq!(text.matches("\"name\"").count(), 2, "{text}");
    server.close_all();
    let mut rest = Vec::new();
    watch.stream.read_to_end(&mut rest).expect("the watch ends in time");
    let mut again = Watch::new(&server, 5);
    again.until("\r\n\r\n1\r\n\n\r\n");
    assert_eq!(server.asked(), [3, 5]);
}
