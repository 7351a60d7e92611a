//! Reloads in quick succession under load.

mod common;

use std::time::{Duration, Instant};

use common::*;

/// Guards against lost requests and outdated lists when reloads follow each other quickly under load. Each reload names
/// another discovery server. The list of the last server is in force within 4 s, updates of the earlier servers are
/// ignored, and no request is lost.
#[test]
fn the_last_of_several_quick_reloads_takes_effect() {
    const RELOADS: usize = 8;
    let (old, new) = (Upstream::start(|_, _| ok("old")), Upstream::start(|_, _| ok("new")));
    let servers: Vec<Discovery> = (0..RELOADS).map(|_| Discovery::start()).collect();
    let known = [endpoint("s-1", old.address, 0, "ready")];
    let first = Discovery::start();
    let mut child = start_program(&configuration(first.address, &known, 5.0, 1024));
    let (address, _log) = address(&mut child);
    let (_, mut earlier) = first.watch();
    let load = Load::start(address, 4);
    old.wait_requests(20);
    for (number, server) in servers.iter().enumerate() {
        write_configuration(&configuration(server.address, &known, 5.0, 1024));
        signal(&child, "-HUP");
        // After every second reload the test waits for the watch. The other reloads are followed by the next one before
        // they can have been applied.
        if number % 2 == 1 && number + 1 < RELOADS {
            earlier = server.watch().1;
        }
    }
    let reloaded = Instant::now();
    let (_, last) = servers[RELOADS - 1].watch();
    let gone = endpoint("s-1", old.address, 0, "gone");
    last.send_endpoints(20, true, &[gone, endpoint("s-2", new.address, 1, "ready")]);
    new.wait_requests(1);
    assert!(reloaded.elapsed() < Duration::from_secs(4), "the last list took {:?}", reloaded.elapsed());
    let before = old.requests().len();
    // An update of an earlier discovery server, with a higher index.
    earlier.try_bytes(
        format!("{}\n", serde_json::json!({"index": 30, "snapshot": true, "endpoints": known})).as_bytes(),
    );
    let now = new.requests().len();
    new.wait_requests(now + 200);
    let (sent, served) = load.end();
    println!("{sent} requests sent during {RELOADS} reloads, {served} served");
    assert_eq!(sent, served, "expected each request to be served");
    assert_eq!(old.requests().len(), before, "expected no request to the removed upstream");
    assert_nothing_ran_twice(&[&old, &new]);
    child.kill().expect("the program is killed");
    child.wait().expect("the process ends");
}
