//! Connections to upstreams that cannot be established or that break, simulated by failing system calls. Each request
//! gets its answer, and an at-most-once request is not sent again after its last byte was written.

mod common;

use common::faults::*;
use common::*;

/// Checks that each request got an answer and that no at-most-once request was sent twice. The answer of a request that
/// never ran says that a retry is harmless.
fn assert_answered(site: &ProxyWithFaults, tally: &Tally) {
    let [served, refused, failed, closed] = tally.counts();
    assert_eq!(
        (served + refused + failed, closed),
        (ALL, 0),
        "expected an answer to each request, got {tally:?}"
    );
    site.assert_orders_ran_at_most_once();
}

/// Guards against failed requests when connects fail in the network: such a request never ran, so it is sent to another
/// upstream.
#[test]
fn requests_are_served_when_connects_fail_in_the_network() {
    let errors = "ENETUNREACH+EHOSTUNREACH+ECONNREFUSED+ETIMEDOUT";
    let site = ProxyWithFaults::start(|ports| {
        vec![("FAULT_CONNECT", format!("errno={errors},every=3,ports={ports}"))]
    });
    let tally = site.run_clients();
    assert!(site.faults("CONNECT", None) > 0);
    assert_answered(&site, &tally);
    assert_eq!(tally.counts()[2], 0, "{tally:?}");
}

/// Guards against failed requests when the error of a connect is reported later, by `SO_ERROR`.
#[test]
fn requests_are_served_when_connects_fail_with_so_error() {
    let errors = "ETIMEDOUT+EHOSTUNREACH";
    let site = ProxyWithFaults::start(|ports| {
        vec![("FAULT_SO_ERROR", format!("errno={errors},every=3,ports={ports}"))]
    });
    let tally = site.run_clients();
    assert!(site.faults("SO_ERROR", None) > 0);
    assert_answered(&site, &tally);
    assert_eq!(tally.counts()[2], 0, "{tally:?}");
}

/// Guards against failed requests when the connection breaks before the last byte is written, after none or a part of
/// the request: the request never ran, so it is sent again.
#[test]
fn a_request_broken_before_its_last_byte_is_sent_again() {
    for short in ["", ",short=60"] {
        let site = ProxyWithFaults::start(|ports| {
            let errors = "ETIMEDOUT+EHOSTUNREACH+ECONNRESET+EPIPE";
            vec![("FAULT_WRITE", format!("errno={errors},every=9,ports={ports}{short}"))]
        });
        let tally = site.run_clients();
        assert!(site.faults("WRITE", None) > REQUESTS / 2);
        assert_answered(&site, &tally);
        assert_eq!(
            tally.counts()[2],
            0,
            "expected no failed request with fault options {short:?}: {tally:?}"
        );
    }
}

/// Guards against running an at-most-once request twice when the connection breaks after its last byte was written and
/// none or a part of the answer was read: it is not sent again.
#[test]
fn an_order_broken_after_its_last_byte_is_not_sent_again() {
    for short in ["", ",short=20"] {
        let site = ProxyWithFaults::start(|ports| {
            let errors = "ETIMEDOUT+EHOSTUNREACH+ECONNRESET";
            vec![("FAULT_READ", format!("errno={errors},every=9,ports={ports}{short}"))]
        });
        let tally = site.run_clients();
        assert!(site.faults("READ", None) > REQUESTS / 2);
        assert_answered(&site, &tally);
        // Requests that may run again do not fail.
        assert!(tally.counts()[2] <= ALL / CLASSES.len(), "only orders may fail: {tally:?}");
    }
}

/// Sends an order whose first connection breaks after `bytes` bytes are written. Returns the status of the answer and
/// how often the order ran.
fn send_order_broken_after(bytes: usize) -> (u16, usize) {
    let site = ProxyWithFaults::start(|ports| {
        vec![("FAULT_WRITE", format!("errno=ETIMEDOUT,short={bytes},count=1,ports={ports}"))]
    });
    let status = Client::connect(site.address).ask("order", "one").status();
    assert_eq!(
        site.faults("WRITE", Some("ETIMEDOUT")),
        1,
        "expected one broken connection after {bytes} bytes"
    );
    // Status 502 means that the order may have run; its last byte may not have reached the upstream yet.
    if status == 502 {
        wait_for("the order runs", || (site.runs("one") == 1).then_some(()));
    }
    (status, site.runs("one"))
}

/// Guards the boundary between requests that never ran and those that may have run: it is the write of the last byte.
#[test]
fn the_last_byte_decides_whether_an_order_is_sent_again() {
    let site = ProxyWithFaults::start(|_| Vec::new());
    assert_eq!(Client::connect(site.address).ask("order", "one").status(), 200);
    let size = site.upstreams.iter().find_map(|upstream| upstream.requests().first().cloned());
    let size = size.expect("the order ran").1.size;
    for bytes in [1, size / 2, size - 1] {
        assert_eq!(send_order_broken_after(bytes), (200, 1), "broken after {bytes} of {size} bytes");
    }
    assert_eq!(send_order_broken_after(size), (502, 1), "broken after the last byte");
}
