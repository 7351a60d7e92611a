//! System calls that fail on the balancer's own machine, are interrupted, or transfer fewer bytes than requested: each
//! request still gets exactly one answer, and the policy counts no failure against an upstream.

mod common;

use std::fs;
use std::process::Command;
use std::time::{SystemTime, UNIX_EPOCH};

use common::faults::*;
use common::*;

/// Guards against lost requests when waits for events are interrupted by signals.
#[test]
fn interrupted_waits_lose_no_request() {
    let site = ProxyWithFaults::start(|_| vec![("FAULT_WAIT", "errno=EINTR,every=2".into())]);
    let tally = site.run_clients();
    assert!(site.faults("WAIT", Some("EINTR")) > REQUESTS);
    assert_eq!(tally.counts(), [ALL, 0, 0, 0]);
    site.assert_orders_ran_at_most_once();
}

/// Guards against lost or damaged requests and answers when reads and writes transfer fewer bytes than requested.
#[test]
fn short_reads_and_writes_lose_no_request() {
    let site = ProxyWithFaults::start(|_| {
        vec![("FAULT_READ", "short=7,every=2".into()), ("FAULT_WRITE", "short=11,every=2".into())]
    });
    let tally = site.run_clients();
    assert!(site.faults("READ", None) > REQUESTS && site.faults("WRITE", None) > REQUESTS);
    assert_eq!(tally.counts(), [ALL, 0, 0, 0]);
    site.assert_orders_ran_at_most_once();
}

/// Checks that the log counts no upstream as unreachable and no connect as late, and shows all upstreams as available.
fn assert_upstreams_not_charged(log_counts: &LogCounts) {
    assert_eq!(
        (log_counts.unreachable, log_counts.late, log_counts.available_capacity),
        (0, 0, Some(1.0)),
        "{log_counts:?}"
    );
}

/// Guards against failed requests and ejected upstreams when connects fail on the balancer's own machine, for example
/// for lack of ports or memory: each request is served, and no failure is counted against an upstream.
#[test]
fn local_connect_failures_are_not_charged_to_upstreams() {
    let errors = "EADDRNOTAVAIL+EADDRINUSE+ENOBUFS+ENOMEM+EMFILE+ENFILE+EAGAIN+EINTR";
    let site = ProxyWithFaults::start(|ports| {
        vec![("FAULT_CONNECT", format!("errno={errors},every=3,ports={ports}"))]
    });
    let tally = site.run_clients();
    for error in errors.split('+') {
        assert!(site.faults("CONNECT", Some(error)) > 0, "no connect failed with {error}");
    }
    assert_eq!(tally.counts(), [ALL, 0, 0, 0]);
    site.assert_orders_ran_at_most_once();
    assert_upstreams_not_charged(&site.log_counts(ALL as u64));
}

/// Guards against failed requests and ejected upstreams when sockets cannot be created: each request is served, and no
/// failure is counted against an upstream.
#[test]
fn failures_to_create_sockets_are_not_charged_to_upstreams() {
    let errors = "EMFILE+ENFILE+ENOBUFS+ENOMEM";
    // The first socket is the listener's.
    let site = ProxyWithFaults::start(|_| vec![("FAULT_SOCKET", format!("errno={errors},every=3,skip=1"))]);
    let tally = site.run_clients();
    for error in errors.split('+') {
        assert!(site.faults("SOCKET", Some(error)) > 0, "no socket call failed with {error}");
    }
    assert_eq!(tally.counts(), [ALL, 0, 0, 0]);
    site.assert_orders_ran_at_most_once();
    assert_upstreams_not_charged(&site.log_counts(ALL as u64));
}

/// Guards against clients that wait for their whole deadline while no local port is free: the balancer refuses the
/// request within the connect timeout, which says that a retry is harmless, and counts no failure against an upstream.
#[test]
fn a_lasting_lack_of_ports_refuses_requests() {
    let site = ProxyWithFaults::start_with(0.5, |ports| {
        vec![("FAULT_CONNECT", format!("errno=EADDRNOTAVAIL,ports={ports}"))]
    });
    for class in CLASSES {
        let answer = Client::connect(site.address).ask(class, class);
        assert_eq!((answer.status(), site.runs(class)), (503, 0), "{class}: expected status 503 and no run");
    }
    let log_counts = site.log_counts(CLASSES.len() as u64);
    assert_upstreams_not_charged(&log_counts);
    assert_eq!(log_counts.unsent, CLASSES.len() as u64);
    let faults = site.faults("CONNECT", None);
    assert!(
        (2 * CLASSES.len()..40 * CLASSES.len()).contains(&faults),
        "expected 2 to 40 failed connects for each request, got {faults} in total"
    );
}

/// Guards upstreams against being charged for a lack of local ports when the client's deadline passes before the
/// connect timeout.
#[test]
fn a_lack_of_ports_past_the_deadline_is_not_charged_to_upstreams() {
    let site =
        ProxyWithFaults::start(|ports| vec![("FAULT_CONNECT", format!("errno=EADDRNOTAVAIL,ports={ports}"))]);
    for number in 0..5 {
        let mut client = Client::connect(site.address);
        let request = String::from_utf8(order_followed_by(b"")).expect("valid UTF-8");
        client.send_bytes(request.replace("X-Tenant", "X-Deadline: 0.4\r\nX-Tenant").as_bytes());
        let status = client.answer().expect("an answer").status();
        assert!(matches!(status, 503 | 504), "request {number}: expected 503 or 504, got {status}");
    }
    assert_upstreams_not_charged(&site.log_counts(5));
    assert_eq!(site.runs("one"), 0);
}

/// Guards against lost requests when socket options cannot be set.
#[test]
fn socket_options_that_cannot_be_set_lose_no_request() {
    // The first call sets an option of the listener.
    let site =
        ProxyWithFaults::start(|_| vec![("FAULT_SETSOCKOPT", "errno=ENOBUFS+ENOMEM+EINVAL,skip=1".into())]);
    let tally = site.run_clients();
    assert!(site.faults("SETSOCKOPT", None) > CLIENTS);
    assert_eq!(tally.counts(), [ALL, 0, 0, 0]);
    site.assert_orders_ran_at_most_once();
}

/// Guards against lost clients when accepts fail temporarily.
#[test]
fn failing_accepts_lose_no_client() {
    let errors = "ECONNABORTED+EMFILE+ENFILE+ENOBUFS+ENOMEM+EPROTO+EINTR";
    let site = ProxyWithFaults::start(|_| vec![("FAULT_ACCEPT", format!("errno={errors},every=3"))]);
    let tally = site.run_clients_on(true);
    for error in errors.split('+') {
        assert!(site.faults("ACCEPT", Some(error)) > 0, "no accept failed with {error}");
    }
    assert_eq!(tally.counts(), [ALL, 0, 0, 0]);
    site.assert_orders_ran_at_most_once();
}

/// Guards against a missed drain when reads of the watch are short, waits are interrupted and connects to discovery
/// fail temporarily: the update is applied, and the draining upstream gets no new requests.
#[test]
fn a_drain_of_an_upstream_is_applied_in_spite_of_faults() {
    let site = ProxyWithFaults::start(|_| {
        vec![
            ("FAULT_READ", "short=5,every=2".into()),
            ("FAULT_WAIT", "errno=EINTR,every=2".into()),
            ("FAULT_CONNECT", "errno=EADDRNOTAVAIL+ENOBUFS,count=3".into()),
        ]
    });
    let (_, watch) = site.discovery.watch();
    let [drains, ..] = &site.upstreams[..] else { panic!("the site has no upstreams") };
    watch.send_endpoints(8, false, &[endpoint("s-0", drains.address, 0, "draining")]);
    // The line of counts shows the index of the current list.
    wait_for("the list is applied", || {
        let log = site.log.lock().expect("lock not poisoned");
        log.iter().any(|line| line.contains("list 8;")).then_some(())
    });
    assert_eq!(site.run_clients().counts(), [ALL, 0, 0, 0]);
    assert_eq!(drains.requests().len(), 0);
    assert!(site.faults("READ", None) > REQUESTS);
    site.assert_orders_ran_at_most_once();
}

/// Guards the fault injection itself: a program reads the wall clock with the offset in the file named by
/// `FAULT_CLOCK`, also after the file has changed.
#[test]
fn fault_injection_offsets_the_wall_clock_as_the_file_says() {
    let file = std::env::temp_dir().join(format!("balancer-proxy-clock-{}", std::process::id()));
    let shown = |offset_ms: i64| {
        fs::write(&file, offset_ms.to_string()).expect("written");
        let program = Command::new("/bin/date")
            .args(["+%s"])
            .env("LD_PRELOAD", library())
            .env("FAULT_CLOCK", &file)
            .output()
            .expect("date runs");
        String::from_utf8_lossy(&program.stdout).trim().parse::<u64>().expect("seconds")
    };
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_secs();
    for (offset_ms, expected) in [(-3_600_500, now - 3601), (7_200_000, now + 7200)] {
        assert!(
            shown(offset_ms).abs_diff(expected) <= HANG_TIMEOUT.as_secs(),
            "expected a clock that is off by {offset_ms} ms"
        );
    }
}
