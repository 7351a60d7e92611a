//! Reloads in quick succession under load.

mod common;

use std::time::{Duration, Instant};

use common::*;

/// Guards reloads in quick succession under load: each SIGHUP names another discovery, the last one's list is in force
/// within 4 s, words of the earlier ones are not heard any more, and no request is lost.
#[test]
fn of_reloads_in_quick_succession_the_last_counts() {
    const RELOADS: usize = 8;
    let (old, new) = (Upstream::start(|_, _| ok("old")), Upstream::start(|_, _| ok("new")));
    let places: Vec<Discovery> = (0..RELOADS).map(|_| Discovery::start()).collect();
    let known = [endpoint("s-1", old.address, 0, "ready")];
    let first = Discovery::start();
    let mut child = program(&configuration(first.address, &known, 5.0, 1024));
    let (address, _log) = address(&mut child);
    let (_, mut earlier) = first.watch();
    let load = Load::start(address, 4);
    old.wait_requests(20);
    for (number, place) in places.iter().enumerate() {
        write_configuration(&configuration(place.address, &known, 5.0, 1024));
        signal(&child, "-HUP");
        // Every other one follows before the one before it can have been applied.
        if number % 2 == 1 && number + 1 < RELOADS {
            earlier = place.watch().1;
        }
    }
    let announced = Instant::now();
    let (_, last) = places[RELOADS - 1].watch();
    let gone = endpoint("s-1", old.address, 0, "gone");
    last.says(20, true, &[gone, endpoint("s-2", new.address, 1, "ready")]);
    new.wait_requests(1);
    assert!(announced.elapsed() < Duration::from_secs(4), "{:?}", announced.elapsed());
    let before = old.requests().len();
    // A word of before, with a later index.
    earlier.try_bytes(
        format!("{}\n", serde_json::json!({"index": 30, "snapshot": true, "endpoints": known})).as_bytes(),
    );
    let now = new.requests().len();
    new.wait_requests(now + 200);
    let (sent, served) = load.end();
    println!("{sent} orders under {RELOADS} reloads, {served} served");
    assert_eq!(sent, served, "an order was lost");
    assert_eq!(old.requests().len(), before, "sent to what is gone");
    assert_nothing_ran_twice(&[&old, &new]);
    child.kill().expect("it runs");
    child.wait().expect("ends");
}
