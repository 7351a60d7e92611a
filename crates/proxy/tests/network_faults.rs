//! Connections to upstreams that do not come up or break, by system calls that fail so: each request has its answer,
//! and what must not run twice is not sent again after its last byte.

mod common;

use common::faults::*;
use common::*;

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
    let status = Client::connect(site.address).ask("order", "one").status();
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
    assert_eq!(Client::connect(site.address).ask("order", "one").status(), 200);
    let size = site.upstreams.iter().find_map(|upstream| upstream.requests().first().cloned());
    let size = size.expect("it ran").1.size;
    for bytes in [1, size / 2, size - 1] {
        assert_eq!(order_broken_after(bytes), (200, 1), "broken after {bytes} of {size} bytes");
    }
    assert_eq!(order_broken_after(size), (502, 1), "broken after the last byte");
}
