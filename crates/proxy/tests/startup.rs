//! Processes that start while discovery is unavailable. `docs/CROSSINGS.md` lists the guarantees.

mod common;

use std::io::Write;
use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// Guards against a fleet of over a hundred processes that cannot restart without discovery. A third of the processes
/// have a discovery server that is down, a third one that accepts connections but never answers, and a third one that
/// sends single bytes and never a complete list. At least nine in ten processes are ready within 10 s, and serve with
/// the endpoints of their configuration.
#[test]
fn a_fleet_becomes_ready_without_discovery() {
    const PROCESSES_EACH: usize = 40;
    let upstream = Upstream::start(|_, _| ok("served"));
    let mut known: Vec<_> = (0..300)
        .map(|number| endpoint(&format!("gone-{number}"), dead_address(), number, "draining"))
        .collect();
    known.push(endpoint("s-1", upstream.address, 0, "ready"));
    let silent = TcpListener::bind("127.0.0.1:0").expect("a free port is available");
    let dripping = TcpListener::bind("127.0.0.1:0").expect("a free port is available");
    let discovery_addresses = [
        dead_address(),
        silent.local_addr().expect("the socket has a local address"),
        dripping.local_addr().expect("the socket has a local address"),
    ];
    thread::spawn(move || {
        for mut stream in dripping.incoming().flatten() {
            thread::spawn(move || {
                let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let mut written = stream.write_all(head);
                while written.is_ok() {
                    thread::sleep(Duration::from_millis(200));
                    written = stream.write_all(b"1\r\n \r\n");
                }
            });
        }
    });
    let ready: usize = thread::scope(|scope| {
        let fleets: Vec<_> = discovery_addresses
            .iter()
            .map(|&discovery_address| {
                let known = &known;
                scope.spawn(move || {
                    let file = write_configuration(&configuration(discovery_address, known, 30.0, 1024));
                    let started = Instant::now();
                    let mut fleet: Vec<_> =
                        (0..PROCESSES_EACH).map(|_| program_with_file(1024, &file)).collect();
                    let mut logs = Vec::new();
                    let ready = fleet
                        .iter_mut()
                        .filter_map(|child| {
                            let (address, log) = address(child);
                            logs.push(log);
                            wait_for("the health check succeeds", || {
                                (Client::connect(address).health()? == 200).then_some(())
                            });
                            let in_time = started.elapsed() < Duration::from_secs(10);
                            assert_eq!(Client::connect(address).ask("read", "").body, b"served");
                            in_time.then_some(())
                        })
                        .count();
                    for child in &mut fleet {
                        child.kill().expect("the program is killed");
                        child.wait().expect("the process ends");
                    }
                    ready
                })
            })
            .collect();
        fleets.into_iter().map(|fleet| fleet.join().expect("the thread does not panic")).sum()
    });
    assert!(
        ready * 10 >= discovery_addresses.len() * PROCESSES_EACH * 9,
        "expected 9 in 10 ready in time, got {ready} of {}",
        discovery_addresses.len() * PROCESSES_EACH
    );
}
