//! The lines that tell an operator about memory, closed connections and requests that were not accepted.

mod common;

use std::io::{BufRead, Read};

use common::*;

/// Guards the log against incidents that it does not explain: the memory that is held and the reasons for which client
/// connections were closed and requests not accepted.
#[test]
fn memory_and_reasons_for_closes_are_logged() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let discovery = Discovery::start();
    let text = configuration(discovery.address, &[endpoint("s-1", upstream.address, 0, "ready")], 30.0, 1024);
    let mut child = start_program(&with_memory_limit(&text, 64));
    let (address, mut log) = address(&mut child);
    let mut silent = Client::connect(address);
    let mut unfinished = Client::connect(address);
    unfinished.send_bytes(
        b"POST /order HTTP/1.1\r\nHost: a\r\nX-Request-Id: half-sent\r\nX-Tenant: acme\r\nContent-Length: 9\r\n\r\nhalf",
    );
    let mut leaving = Client::connect(address);
    assert_eq!(leaving.ask("order", "one").status(), 200);
    drop(leaving);
    assert_eq!(unfinished.answer().expect("an error").status(), 408);
    let _ = silent.0.read(&mut [0]);
    let mut line = String::new();
    let mut lines = Vec::new();
    while !line.contains("memory: ") {
        line.clear();
        log.read_line(&mut line).expect("the log is readable");
        lines.push(line.clone());
    }
    child.kill().expect("the program is running");
    child.wait().expect("the program exits");
    let unaccepted = "request half-sent was not accepted: the body came too slowly";
    assert!(lines.iter().any(|line| line.contains(unaccepted)), "expected `{unaccepted}` in {lines:?}");
    for part in [
        "MiB resident",
        "limit 64 MB",
        "1 connections with buffers",
        "0 requests refused since the start",
        "1 by clients between requests",
        "1 after an answer or an error",
        "1 first request late",
    ] {
        assert!(line.contains(part), "expected `{part}` in {line}");
    }
}
