//! Client requests that are accepted or rejected, limits on the number of client connections, graceful shutdown and
//! reload of the program.

mod common;

use std::io::BufRead;
use std::time::{Duration, Instant};

use common::*;

/// Guards the policy against input that it cannot handle, and the client against getting no answer: a bad request is
/// answered with an error status and not forwarded.
#[test]
fn a_bad_request_is_rejected_and_not_forwarded() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
    let valid_request =
        "GET /read HTTP/1.1\r\nHost: a\r\nX-Request-Id: r\r\nX-Tenant: acme\r\nX-Deadline: 9\r\n\r\n";
    let cases = [
        ("/read", "/other", 400),
        ("acme", "nobody", 400),
        ("X-Tenant: acme\r\n", "", 400),
        ("Deadline: 9", "Deadline: soon", 400),
        ("Deadline: 9", "Deadline: -1", 400),
        ("Deadline: 9", "Deadline: inf", 400),
        ("X-Request-Id: r\r\n", "", 400),
        ("GET", "POST", 400),
        ("GET /read", "POST /pay", 400),
        ("GET /read", "GET /order", 400),
        ("HTTP/1.1", "SPDY", 400),
        ("GET /read HTTP/1.1\r\n", "GET /order HTTP/1.1\r\nContent-Length: x\r\n", 400),
        ("GET /read HTTP/1.1\r\n", "POST /order HTTP/1.1\r\nContent-Length: 70000\r\n", 413),
        ("/read", "http://a/read", 200),
        ("X-Deadline: 9\r\n", "", 200),
        ("", "", 200),
    ];
    for (from, to, status) in cases {
        let mut client = balancer.client();
        client.send_bytes(valid_request.replacen(from, to, 1).as_bytes());
        let answer = client.answer().map(|answer| answer.status());
        assert_eq!(answer, Some(status), "status of a request with {from:?} replaced by {to:?}");
    }
    for (_, request) in upstream.requests() {
        assert_eq!(request.line, "GET /read HTTP/1.1");
    }
}

/// Guards the descriptor limit: idle client connections are evicted for new ones, and each new client is served.
#[test]
fn idle_clients_are_evicted_when_sockets_run_out() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let discovery = Discovery::start();
    let known = [endpoint("s-1", upstream.address, 0, "ready")];
    let balancer = Balancer::start(&configuration(discovery.address, &known, 30.0, 48));
    let mut clients: Vec<Client> = (0..100)
        .map(|_| {
            let mut client = balancer.client();
            assert_eq!(client.ask("order", "one").status(), 200);
            client
        })
        .collect();
    // The oldest connections have been closed to make room for the newest.
    assert!(clients.remove(0).answer().is_none());
    assert_eq!(upstream.requests().len(), 100);
}

/// Guards the descriptor limit against connections that never carry a request: they are evicted for new ones.
#[test]
fn silent_clients_are_evicted_when_sockets_run_out() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let discovery = Discovery::start();
    let known = [endpoint("s-1", upstream.address, 0, "ready")];
    let balancer = Balancer::start(&configuration(discovery.address, &known, 30.0, 48));
    let mut silent: Vec<Client> = (0..60).map(|_| balancer.client()).collect();
    wait_for("a client is served while silent connections are open", || {
        (balancer.client().ask("order", "one").status() == 200).then_some(())
    });
    assert!(silent.remove(0).answer().is_none());
}

/// Guards the reading of a request that arrives in pieces: it is accepted once its last byte has arrived.
#[test]
fn a_request_may_arrive_in_pieces() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
    let mut client = balancer.client();
    let text = "POST /order?k=7f HTTP/1.1\r\nHost: a\r\nX-Request-Id: r\r\nX-Tenant: acme\r\n\
                Content-Length: 11\r\n\r\ninstalments";
    for piece in text.as_bytes().chunks(13) {
        assert!(upstream.requests().is_empty());
        client.send_bytes(piece);
        std::thread::sleep(std::time::Duration::from_millis(1));
    }
    assert_eq!(client.answer().expect("the balancer answers").status(), 200);
    assert_eq!(upstream.requests()[0].1.body, b"instalments");
}

/// Guards clients against waiting for a socket that does not become free: while all sockets are in use, further
/// requests are refused at once and are not sent to an upstream.
#[test]
fn requests_beyond_the_socket_budget_are_refused() {
    let upstream = Upstream::start(|_, _| Reply::Silence);
    let discovery = Discovery::start();
    let known = [endpoint("s-1", upstream.address, 0, "ready")];
    let balancer = Balancer::start(&configuration(discovery.address, &known, 50.0, 48));
    let mut waiting = Vec::new();
    let refusal = wait_for("a refusal", || {
        let mut client = balancer.client();
        client.send("order", "one");
        client
            .0
            .set_read_timeout(Some(std::time::Duration::from_millis(200)))
            .expect("the socket option can be set");
        let answered = client.0.peek(&mut [0]).is_ok();
        client.0.set_read_timeout(Some(HANG_TIMEOUT)).expect("the socket option can be set");
        if answered {
            return client.answer();
        }
        waiting.push(client);
        None
    });
    assert_eq!(refusal.status(), 503);
    assert!(
        upstream.requests().len() < 48,
        "expected fewer than 48 requests, got {}",
        upstream.requests().len()
    );
}

/// Guards the accept loop against EMFILE: if the process has fewer descriptors than its socket budget assumes, and
/// nobody reads its log, clients are still served, both during the shortage and after it.
#[test]
fn running_out_of_descriptors_does_not_end_the_program() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let discovery = Discovery::start();
    let known = [endpoint("s-1", upstream.address, 0, "ready")];
    let mut child = program_with_descriptor_limit(32, &configuration(discovery.address, &known, 30.0, 1024));
    let (address, log) = address(&mut child);
    drop(log);
    let other_clients: Vec<Client> = (0..80).map(|_| Client::connect(address)).collect();
    wait_for("a client is served while descriptors are short", || {
        let mut client = Client::connect(address);
        client.send("order", "one");
        client.answer().filter(|answer| answer.status() == 200)
    });
    drop(other_clients);
    wait_for("a client is served after the shortage", || {
        let mut client = Client::connect(address);
        client.send("order", "one");
        client.answer().filter(|answer| answer.status() == 200)
    });
    assert!(child.try_wait().expect("the program's status can be read").is_none());
    child.kill().expect("the program is running");
    child.wait().expect("the program ends");
}

/// Least time that the balancer, while it closes connections in a drain, waits for the first request on a new one.
const MIN_FIRST_REQUEST_WAIT: Duration = Duration::from_millis(250);

/// Guards planned restarts: after SIGTERM accepted requests are finished, new connections are still served, answers
/// close their connections in the closing phase, and the program then ends by itself.
#[test]
fn sigterm_finishes_accepted_requests() {
    let (release, release_signal) = std::sync::mpsc::channel::<()>();
    let release_signal = std::sync::Mutex::new(release_signal);
    let upstream = Upstream::start(move |number, _| {
        if number == 0 {
            let _ = release_signal.lock().expect("the lock is not poisoned").recv();
        }
        ok("served")
    });
    let discovery = Discovery::start();
    let known = [endpoint("s-1", upstream.address, 0, "ready")];
    let mut child = start_program(&configuration(discovery.address, &known, 30.0, 1024));
    let (address, mut log) = address(&mut child);
    let mut client_in_request = Client::connect(address);
    client_in_request.send("order", "one");
    upstream.wait_requests(1);
    let mut idle = Client::connect(address);
    assert_eq!(idle.ask("order", "two").header("connection"), None);
    signal(&child, "-TERM");
    wait_line(&mut log, "graceful shutdown, ");
    // Before the closing phase clients keep their connections, because they may have no other balancer.
    for _ in 0..2 {
        let answer = idle.ask("order", "still");
        assert_eq!((answer.status(), answer.header("connection")), (200, None));
    }
    wait_for("answers close their connections", || {
        let mut late = Client::connect(address);
        let connected = Instant::now();
        late.send("order", "three");
        let answer = match late.answer() {
            Some(answer) => answer,
            // If this thread was late with its request, the balancer was right to close the connection before it.
            None if connected.elapsed() >= MIN_FIRST_REQUEST_WAIT => return None,
            None => panic!("the connection was closed although its request was sent at once"),
        };
        // Towards the end of the drain there is no time for another attempt, so that the request may be refused.
        assert!(matches!(answer.status(), 200 | 503), "expected status 200 or 503, got {}", answer.line);
        (answer.header("connection") == Some("close")).then_some(())
    });
    // The idle connection is closed, and the program waits for the request in progress.
    assert!(idle.answer().is_none());
    assert!(child.try_wait().expect("the program's status can be read").is_none());
    release.send(()).expect("the upstream waits for the release");
    assert_eq!(client_in_request.answer().expect("the balancer answers").status(), 200);
    assert!(child.wait().expect("the program ends").success());
}

/// Guards clients that continue to send requests during a planned restart. Each client sends on its connection until an
/// answer announces the close. A request that was sent while the balancer closed its connection is sent again on a new
/// connection. Clients that connect late in the drain also get an answer, until the program ends.
#[test]
fn a_drain_answers_clients_that_continue_to_send() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let discovery = Discovery::start();
    let known = [endpoint("s-1", upstream.address, 0, "ready")];
    let mut child = start_program(&configuration(discovery.address, &known, 30.0, 1024));
    let (address, mut log) = address(&mut child);
    // Whether a request on a new connection is answered. It is sent 40 ms after the connect, as by a client that is
    // busy with other work meanwhile. `Some(true)` also if this thread was late, and `None` if the program no longer
    // accepts connections.
    let answered_on_new_connection = move || {
        let Ok(stream) = std::net::TcpStream::connect(address) else { return None };
        let connected = Instant::now();
        std::thread::sleep(Duration::from_millis(40));
        Some(
            Client::new(stream).try_ask("order", "anew").is_some()
                || connected.elapsed() >= MIN_FIRST_REQUEST_WAIT,
        )
    };
    let clients: Vec<_> = (0..8)
        .map(|_| {
            std::thread::spawn(move || {
                let mut client = Client::connect(address);
                for sent in 1.. {
                    match client.try_ask("order", "on") {
                        Some(answer) if answer.header("connection") != Some("close") => {
                            std::thread::sleep(Duration::from_millis(4));
                        }
                        Some(_) => return (sent, true),
                        None => return (sent, answered_on_new_connection() == Some(true)),
                    }
                }
                unreachable!("the drain closes the connection")
            })
        })
        .collect();
    upstream.wait_requests(100);
    signal(&child, "-TERM");
    wait_line(&mut log, "graceful shutdown, ");
    let before = upstream.requests().len();
    wait_line(&mut log, "graceful shutdown, ");
    assert!(
        upstream.requests().len() > before + 100,
        "expected more than 100 requests between the two log lines of the drain"
    );
    let late: Vec<_> = (0..20)
        .map(|_| {
            std::thread::sleep(Duration::from_millis(10));
            std::thread::spawn(answered_on_new_connection)
        })
        .collect();
    for client in clients {
        let (sent, answered) = client.join().expect("the thread does not panic");
        assert!(answered, "request {sent} was not answered");
    }
    for client in late {
        assert_ne!(
            client.join().expect("the thread does not panic"),
            Some(false),
            "the connection of a late client was closed without an answer to its request"
        );
    }
    assert!(child.wait().expect("the program ends").success());
}

/// Guards operators against a program that runs with an invalid configuration: it exits with an error message that
/// names the fault.
#[test]
fn a_bad_configuration_gives_an_error_message() {
    let valid_configuration = configuration(dead_address(), &[], 1.0, 1024);
    for (text, part) in [
        ("{".to_owned(), "malformed"),
        (valid_configuration.replace("127.0.0.1:0", "here"), "invalid value for listen"),
        (valid_configuration.replace("8c1f", "xyz"), "invalid value for seed"),
        (valid_configuration.replace("1024", "4"), "invalid value for limits.sockets"),
        (valid_configuration.replace("idempotent", "harmless"), "settings are malformed"),
        (
            valid_configuration.replace("\"me\":0", "\"me\":0,\"balancers\":0").replacen(
                "\"balancers\":1,",
                "",
                1,
            ),
            "copies is 0",
        ),
    ] {
        let child = start_program(&text);
        let output = child.wait_with_output().expect("the program ends");
        let log = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            !output.status.success() && log.contains(part) && !log.contains("panicked"),
            "expected a failed start with {part:?} in the log, got: {log}"
        );
    }
}

/// Guards the socket budget against peers that connect and send nothing, a part of a head, or a part of a body: each
/// gets an error or is disconnected, while a connection that has carried a request may be idle for longer.
#[test]
fn a_peer_that_sends_no_complete_request_is_disconnected() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let (balancer, discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
    discovery.watch().1.bytes(b"\n");
    let mut served_client = balancer.client();
    wait_for("the balancer can serve", || (balancer.health() == 200).then_some(()));
    assert_eq!(served_client.ask("order", "one").status(), 200);
    let head =
        "POST /order HTTP/1.1\r\nHost: a\r\nX-Request-Id: r\r\nX-Tenant: acme\r\nContent-Length: 9\r\n\r\n";
    let (health, partial_body) = ("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n", format!("{head}abc"));
    let parts = [
        ("", None),
        ("GET /re", None),
        (&head[..60], None),
        (head, Some(408)),
        (&partial_body, Some(408)),
        (health, Some(200)),
    ];
    let mut peers: Vec<Client> = parts.iter().map(|_| balancer.client()).collect();
    for (peer, (part, _)) in peers.iter_mut().zip(parts) {
        peer.send_bytes(part.as_bytes());
    }
    for (peer, (part, status)) in peers.iter_mut().zip(parts) {
        assert_eq!(
            peer.answer().map(|answer| answer.status()),
            status,
            "status after the partial request {part:?}"
        );
        assert!(
            peer.answer().is_none(),
            "expected the connection to be closed after the partial request {part:?}"
        );
    }
    // This connection is older than those of the peers and has been idle for longer than they were allowed to be.
    assert_eq!(served_client.ask("order", "two").status(), 200);
    assert_eq!(upstream.requests().len(), 2);
}

/// Guards reloads: SIGHUP does not end the program, a malformed file changes nothing, and a file that names another
/// discovery moves the watch to it, starting from the current version.
#[test]
fn sighup_moves_the_watch_to_the_configured_discovery() {
    let (old, new) = (Upstream::start(|_, _| ok("old")), Upstream::start(|_, _| ok("new")));
    let (before, after) = (Discovery::start(), Discovery::start());
    let known = [endpoint("s-1", old.address, 0, "ready")];
    let mut child = start_program(&configuration(before.address, &known, 30.0, 1024));
    let (address, mut log) = address(&mut child);
    let (_, watch) = before.watch();
    let moved = Upstream::start(|_, _| ok("moved"));
    watch.send_endpoints(9, false, &[endpoint("s-1", moved.address, 0, "ready")]);
    let mut client = Client::connect(address);
    wait_for("the change is applied", || (client.ask("order", "one").body == b"moved").then_some(()));
    write_configuration("{");
    signal(&child, "-HUP");
    let mut line = String::new();
    wait_for("the malformed file is rejected", || {
        log.read_line(&mut line).expect("the log can be read");
        line.contains("not reloaded: the configuration is malformed").then_some(())
    });
    write_configuration(&configuration(after.address, &known, 30.0, 1024));
    signal(&child, "-HUP");
    let (line, watch) = after.watch();
    assert_eq!(line, "GET /catalog/members?follow=1&since=9 HTTP/1.1");
    watch.send_endpoints(10, true, &[endpoint("s-2", new.address, 0, "ready")]);
    wait_for("the new list is applied", || (client.ask("order", "two").body == b"new").then_some(()));
    child.kill().expect("the program is running");
    child.wait().expect("the program ends");
}
