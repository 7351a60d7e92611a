//! Slow connects: what happens to attempts that wait for one, and to a connect that no attempt waits for any more.
//! `docs/CONNECTIONS.md` describes the design.

mod common;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::{Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use common::*;
use serde_json::{Value, json};

/// Connect timeout of the settings for tests in which an attempt gives up before it has a connection. It is less than
/// the second after which the kernel repeats its SYN. A sixteenth of it, the lower bound of an attempt's connect
/// timeout, is longer than a connect takes on a busy machine.
const SHORT_CONNECT_TIMEOUT_S: f64 = 0.8;
/// Connect timeout of the settings for tests in which an attempt continues to wait for a connection.
const LONG_CONNECT_TIMEOUT_S: f64 = 5.0;

/// Starts a balancer that knows the endpoints `known`, with a connect timeout of `dial_timeout` seconds.
fn start(known: &[Value], dial_timeout: f64) -> (Balancer, Discovery) {
    let discovery = Discovery::start();
    let text = configuration(discovery.address, known, 50.0, 1024);
    (Balancer::start(&with_dial_timeout(&text, dial_timeout)), discovery)
}

/// Starts a balancer that knows a late upstream and one that answers `other`, and waits until a connect to the late one
/// is in progress that no attempt waits for any more. Returns the balancer, its discovery and the bodies of the
/// requests that were sent until then, each of which the other upstream answered.
fn start_with_one_late(
    late: &LateUpstream,
    other: &Upstream,
    class: &str,
) -> (Balancer, Discovery, Vec<String>) {
    let known = [endpoint("s-1", late.address, 0, "ready"), endpoint("s-2", other.address, 1, "ready")];
    let (balancer, discovery) = start(&known, SHORT_CONNECT_TIMEOUT_S);
    let mut bodies = Vec::new();
    // The first upstream of a request is chosen at random.
    wait_for("an attempt is sent to the late upstream", || {
        bodies.push(format!("early {}", bodies.len()));
        let answer = balancer.client().ask(class, &bodies[bodies.len() - 1]);
        assert_eq!((answer.status(), answer.body), (200, b"other".to_vec()), "{bodies:?}");
        (!connecting(late.address).is_empty()).then_some(())
    });
    (balancer, discovery, bodies)
}

/// Waits until a connection has been established and the balancer has processed that event.
fn wait_connected(balancer: &Balancer, upstream: &Upstream) {
    wait_for("a connection is established", || (upstream.connections() > 0).then_some(()));
    // The balancer answers a health check that was sent after the connect only after it has processed the connect.
    balancer.health();
}

/// Writes an answer with the body `served`.
fn answer(stream: &mut TcpStream) {
    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved").expect("the connection is open");
}

/// Reads the client's answer and checks that its connection carries nothing after it.
fn read_only_answer(mut client: Client) -> Message {
    let answer = client.answer().expect("the balancer answers");
    client.0.shutdown(Shutdown::Write).expect("the connection is open");
    let mut rest = Vec::new();
    client.0.read_to_end(&mut rest).expect("the connection is closed without a reset");
    assert_eq!(rest, b"", "bytes after the answer {}", answer.line);
    answer
}

// --- Attempts that wait for a connection ---

/// Guards requests against a slow connect, and the connect against being wasted: the request is served by another
/// upstream, and the connection, once established, carries the next request for its upstream, so that no other
/// connection is opened.
#[test]
fn a_late_connection_carries_the_next_request() {
    let (late, other) = (LateUpstream::start(), Upstream::start(|_, _| ok("other")));
    let (balancer, discovery, _) = start_with_one_late(&late, &other, "read");
    let upstream = late.serve(|_, _| ok("late"));
    wait_connected(&balancer, &upstream);
    let (_, watch) = discovery.watch();
    watch.send_endpoints(8, false, &[endpoint("s-2", other.address, 1, "gone")]);
    wait_for("late upstream serves", || (balancer.client().ask("read", "").body == b"late").then_some(()));
    let connections: Vec<usize> = upstream.requests().iter().map(|(connection, _)| *connection).collect();
    drop(balancer);
    assert_eq!((connections, upstream.established_links().len()), (vec![1], 1));
}

/// Guards against waiting for all of `dialTimeoutS` if connects are usually fast: an attempt gives up before the kernel
/// repeats its SYN, a second after the first, and its request is served by another upstream, once.
#[test]
fn the_usual_connect_time_limits_the_wait() {
    let other = Upstream::start(|_, _| ok("other"));
    // A sixteenth of this timeout, the lower bound for an attempt, is a quarter of a second. The timeout itself is
    // longer than the second after which the kernel repeats its SYN.
    let (balancer, discovery) = start(&[endpoint("s-2", other.address, 1, "ready")], 4.0);
    thread::scope(|scope| {
        for _ in 0..8 {
            // On a busy machine slow responses may be taken for congestion; a refused request is sent again.
            scope.spawn(|| {
                wait_for("an answer other than a refusal", || {
                    (balancer.client().ask("read", "").body == b"other").then_some(())
                });
            });
        }
    });
    let late = LateUpstream::start();
    let (_, watch) = discovery.watch();
    watch.send_endpoints(8, false, &[endpoint("s-1", late.address, 0, "ready")]);
    let mut request_number = 0;
    // Sends one request at a time, some of which may be refused, until one waits for a connection.
    let mut client = wait_for("an attempt is sent to the late upstream", || {
        request_number += 1;
        let mut client = balancer.client();
        client.send("order", &request_number.to_string());
        client.0.set_read_timeout(Some(Duration::from_millis(1))).expect("the socket option can be set");
        let is_connecting = wait_for("an answer arrives or a connect is in progress", || {
            let is_connecting = !connecting(late.address).is_empty();
            (is_connecting || client.0.peek(&mut [0]).is_ok()).then_some(is_connecting)
        });
        client.0.set_read_timeout(Some(HANG_TIMEOUT)).expect("the socket option can be set");
        is_connecting.then_some(client)
    });
    let upstream = late.serve(|_, _| ok("late"));
    let answer = client.answer().expect("the balancer answers");
    assert_eq!(
        (answer.status(), answer.body.as_slice()),
        (200, b"other".as_slice()),
        "answer to order {request_number}"
    );
    wait_connected(&balancer, &upstream);
    let body = request_number.to_string();
    assert_eq!((other.count_of(&body), upstream.count_of(&body)), (1, 0));
}

/// Starts a balancer with two attempts at one upstream. The second attempt waits for a new connection, which cannot be
/// established yet, and is sent on the connection of the first attempt as soon as that is free. Returns the balancer,
/// its discovery, the upstream, and the upstream's end of that connection, which is idle now.
fn start_with_attempt_on_freed_connection() -> (Balancer, Discovery, LateUpstream, TcpStream) {
    let mut late = LateUpstream::with_room_for_one();
    let (balancer, discovery) = start(&[endpoint("s-1", late.address, 0, "ready")], LONG_CONNECT_TIMEOUT_S);
    let (mut first, mut second) = (balancer.client(), balancer.client());
    first.send("read", "");
    let mut stream = late.accept();
    stream.set_read_timeout(Some(HANG_TIMEOUT)).expect("the socket option can be set");
    read_message(&mut stream).expect("the first request arrives");
    late.fill_accept_queue();
    second.send("read", "");
    late.wait_connecting(1);
    answer(&mut stream);
    assert_eq!(first.answer().expect("the balancer answers").body, b"served");
    read_message(&mut stream).expect("the second request arrives");
    answer(&mut stream);
    assert_eq!(second.answer().expect("the balancer answers").body, b"served");
    (balancer, discovery, late, stream)
}

/// Guards an attempt against waiting for a new connection while another one to the same upstream becomes free.
#[test]
fn an_attempt_uses_a_connection_that_becomes_free() {
    let (balancer, _discovery, late, _stream) = start_with_attempt_on_freed_connection();
    // Neither of the two attempts got another connection.
    let address = late.address;
    drop(balancer);
    assert!(connecting(address).is_empty());
    assert!(late.serve(|_, _| ok("late")).established_links().is_empty());
}

/// Guards requests that must not run twice: a request that is rerouted after it waited for a connection arrives once
/// over all upstreams, even after that connection has been established.
#[test]
fn a_request_rerouted_after_a_slow_connect_runs_once() {
    let (late, other) = (LateUpstream::start(), Upstream::start(|_, _| ok("other")));
    let (balancer, _discovery, mut bodies) = start_with_one_late(&late, &other, "order");
    let ask = |body: &str, status| {
        assert_eq!(balancer.client().ask("order", body).status(), status, "status of {body}");
    };
    let burst_bodies: Vec<String> = (0..8).map(|number| format!("burst {number}")).collect();
    thread::scope(|scope| {
        for body in &burst_bodies {
            scope.spawn(|| ask(body, 200));
        }
    });
    let upstream = late.serve(|_, _| ok("late"));
    wait_connected(&balancer, &upstream);
    let later_bodies: Vec<String> = (0..16).map(|number| format!("after {number}")).collect();
    for body in &later_bodies {
        ask(body, 200);
    }
    drop(balancer);
    bodies.extend(burst_bodies);
    for body in &bodies {
        assert_eq!(
            (other.count_of(body), upstream.count_of(body)),
            (1, 0),
            "times that {body} arrived at the other upstream and at the late one"
        );
    }
    for body in &later_bodies {
        assert_eq!(other.count_of(body) + upstream.count_of(body), 1, "times that {body} arrived");
    }
}

// --- Connects that no attempt waits for ---

/// Guards an unreachable upstream and the balancer's descriptors against a connect for every request: one connect
/// continues, however many attempts gave up, and each client gets one answer.
#[test]
fn one_connect_per_upstream_continues() {
    let late = LateUpstream::start();
    let (balancer, _discovery) = start(&[endpoint("s-1", late.address, 0, "ready")], SHORT_CONNECT_TIMEOUT_S);
    let clients: Vec<Client> = (0..20)
        .map(|_| {
            let mut client = balancer.client();
            client.send("read", "");
            client
        })
        .collect();
    for client in clients {
        let status = read_only_answer(client).status();
        assert!(status == 502 || status == 503, "expected status 502 or 503, got {status}");
    }
    late.wait_connecting_at_most(1);
    let connecting_ports = connecting(late.address);
    assert_eq!(connecting_ports.len(), 1, "local ports of the connects in progress: {connecting_ports:?}");
    let upstream = late.serve(|_, _| ok("late"));
    wait_connected(&balancer, &upstream);
    drop(balancer);
    let links = upstream.established_links();
    assert!(links.len() == 1 && !links[0].has_received_data, "expected one unused connection, got {links:?}");
}

/// Guards descriptors against a connect that never succeeds: it is given up, whether or not requests are sent to the
/// upstream meanwhile.
#[test]
fn a_connect_that_never_succeeds_is_given_up() {
    let case = |with_requests: bool| {
        let late = LateUpstream::start();
        let (balancer, _discovery) =
            start(&[endpoint("s-1", late.address, 0, "ready")], SHORT_CONNECT_TIMEOUT_S);
        assert_ne!(balancer.client().ask("read", "").status(), 200);
        let first = connecting(late.address);
        assert_eq!(
            first.len(),
            1,
            "asking: {with_requests}, local ports of the connects in progress: {first:?}"
        );
        wait_for("the connect is given up", || {
            if with_requests {
                balancer.client().ask("read", "");
            }
            (!connecting(late.address).contains(&first[0])).then_some(())
        });
        late.wait_connecting_at_most(0);
    };
    thread::scope(|scope| {
        for with_requests in [false, true] {
            scope.spawn(move || case(with_requests));
        }
    });
}

/// Guards upstreams against unnecessary connections: a connection that is established while another one is idle is
/// closed, and the idle one stays in use.
#[test]
fn a_late_connection_is_closed_if_another_is_idle() {
    let (balancer, _discovery, late, mut stream) = start_with_attempt_on_freed_connection();
    let upstream = late.serve(|_, _| ok("late"));
    wait_for("the connect is over", || connecting(upstream.address).is_empty().then_some(()));
    // The balancer may have given up the connect before it succeeded; then there is no connection to check.
    for (number, link) in upstream.established_links().iter().enumerate() {
        wait_for("the balancer closes it", || upstream.links()[number].closed.then_some(()));
        assert!(!upstream.links()[number].has_received_data, "a request was sent on {link:?}");
    }
    let mut client = balancer.client();
    client.send("read", "");
    read_message(&mut stream).expect("the request arrives");
    answer(&mut stream);
    assert_eq!(client.answer().expect("the balancer answers").body, b"served");
}

/// Guards drains, address changes and restarts of an endpoint: a connect from before the update is given up, or its
/// connection is closed, and no request is ever sent on it.
#[test]
fn a_connect_from_before_an_update_carries_no_request() {
    let case = |change: &str| {
        let (late, other) = (LateUpstream::start(), Upstream::start(|_, _| ok("other")));
        let moved = Upstream::start(|_, _| ok("moved"));
        let (balancer, discovery) =
            start(&[endpoint("s-1", late.address, 0, "ready")], SHORT_CONNECT_TIMEOUT_S);
        assert_ne!(
            balancer.client().ask("read", "").status(),
            200,
            "{change}: the request was served before the connect succeeded"
        );
        let old_ports = connecting(late.address);
        assert_eq!(old_ports.len(), 1, "{change}: local ports of the connects in progress: {old_ports:?}");
        let mut changed = match change {
            "moved" => endpoint("s-1", moved.address, 0, "ready"),
            "restarted" => endpoint("s-1", late.address, 0, "ready"),
            status => endpoint("s-1", late.address, 0, status),
        };
        if change == "restarted" {
            changed["since_ms"] = json!(1);
        }
        let (_, watch) = discovery.watch();
        watch.send_endpoints(8, false, &[changed, endpoint("s-2", other.address, 1, "ready")]);
        wait_for("the update is applied", || {
            (balancer.client().ask("read", "").body == b"other").then_some(())
        });
        let upstream = late.serve(|_, _| ok("late"));
        wait_for("the connect is over", || {
            (!connecting(upstream.address).contains(&old_ports[0])).then_some(())
        });
        // A balancer that has seen only connect timeouts so far may refuse some requests.
        for _ in 0..20 {
            wait_for("a request is served", || {
                (balancer.client().ask("read", "").status() == 200).then_some(())
            });
        }
        if let Some(number) =
            upstream.established_links().iter().position(|link| link.peer.port() == old_ports[0])
        {
            wait_for("the balancer closes it", || upstream.links()[number].closed.then_some(()));
            assert!(!upstream.links()[number].has_received_data, "{change}: sent on the old connection");
        }
        drop(balancer);
        // After a restart the new process gets requests, on new connections.
        if change != "restarted" {
            assert!(
                upstream.established_links().iter().all(|link| !link.has_received_data),
                "{change}: sent to the old address"
            );
        }
    };
    thread::scope(|scope| {
        for change in ["draining", "gone", "moved", "restarted"] {
            scope.spawn(move || case(change));
        }
    });
}

// --- Other races ---

/// Guards clients against connects that no attempt waits for: if descriptors run short, these connects are given up
/// first.
#[test]
fn connects_without_an_attempt_are_given_up_for_requests() {
    const IN_FLIGHT: usize = 20;
    let late_upstreams: Vec<LateUpstream> = (0..8).map(|_| LateUpstream::start()).collect();
    let entries = |weight: f64| -> Vec<Value> {
        let entry = |(number, late): (usize, &LateUpstream)| {
            let mut entry = endpoint(&format!("late-{number}"), late.address, 0, "ready");
            entry["weight"] = json!(weight);
            entry
        };
        late_upstreams.iter().enumerate().map(entry).collect()
    };
    let discovery = Discovery::start();
    let text = configuration(discovery.address, &entries(1.0), 50.0, 64);
    let balancer = Balancer::start(&with_dial_timeout(&text, LONG_CONNECT_TIMEOUT_S));
    let mut clients = Vec::new();
    wait_for("a connect to each upstream is in progress", || {
        if clients.len() == 16 {
            clients.clear();
        }
        let mut client = balancer.client();
        client.send("order", "leaves");
        clients.push(client);
        late_upstreams.iter().all(|late| !connecting(late.address).is_empty()).then_some(())
    });
    drop(clients);
    for late in &late_upstreams {
        late.wait_connecting_at_most(1);
    }
    // From here on all requests are sent to one upstream that answers and is listed under many names.
    let (release, release_signal) = mpsc::channel::<()>();
    let release_signal = Mutex::new(release_signal);
    let answering = Upstream::start(move |_, request| {
        if request.body == b"held" {
            // The wait ends when the sender is dropped.
            let _ = release_signal.lock().expect("the lock is not poisoned").recv();
        }
        ok("served")
    });
    let mut list = entries(0.0);
    list.extend((0..40).map(|number| endpoint(&format!("s-{number}"), answering.address, 1, "ready")));
    let (_, watch) = discovery.watch();
    watch.send_endpoints(8, false, &list);
    wait_for("the list is applied", || {
        let mut client = balancer.client();
        client.send_bytes(
            b"GET /read HTTP/1.1\r\nHost: a\r\nX-Request-Id: r\r\nX-Tenant: acme\r\nX-Deadline: 0.2\r\n\r\n",
        );
        (client.answer()?.body == b"served").then_some(())
    });
    for late in &late_upstreams {
        // The attempts of the requests above end shortly after their clients have been answered.
        late.wait_connecting_at_most(1);
        assert_eq!(connecting(late.address).len(), 1, "connects in progress to a late upstream");
    }
    let mut clients = Vec::new();
    for count in 1..=IN_FLIGHT {
        let mut client = balancer.client();
        client.send("order", "held");
        clients.push(client);
        wait_for("a request is served", || (answering.count_of("held") == count).then_some(()));
    }
    assert_eq!(balancer.client().ask("order", "fresh").body, b"served");
    drop(release);
    for mut client in clients {
        assert_eq!(client.answer().expect("the balancer answers").body, b"served");
    }
}

/// Guards planned restarts: a connect in progress does not delay the end of the program, whether or not an attempt
/// waits for it.
#[test]
fn a_connect_in_progress_does_not_delay_shutdown() {
    let case = |dial_timeout: f64| {
        let (late, discovery) = (LateUpstream::start(), Discovery::start());
        let known = [endpoint("s-1", late.address, 0, "ready")];
        let text = configuration(discovery.address, &known, 0.2, 1024).replace("60.0", "0.5");
        let mut child = start_program(&with_dial_timeout(&text, dial_timeout));
        let (address, mut log) = address(&mut child);
        let mut client = Client::connect(address);
        client.send("order", "one");
        late.wait_connecting(1);
        let refused = (dial_timeout == SHORT_CONNECT_TIMEOUT_S)
            .then(|| client.answer().expect("the balancer answers").status());
        let connecting_ports = connecting(late.address);
        signal(&child, "-TERM");
        let signalled_at = Instant::now();
        wait_line(&mut log, "graceful shutdown, ");
        drop(log);
        wait_for("the program ends", || child.try_wait().expect("the program's status can be read"));
        assert!(
            refused != Some(200) && connecting_ports.len() == 1,
            "expected a connect in progress and no answer 200, got {connecting_ports:?} and {refused:?}"
        );
        // The program ends at the latest half a second plus the longest deadline after the signal.
        assert!(
            signalled_at.elapsed() < SHORT_TIMEOUT,
            "the program ended {:?} after the signal",
            signalled_at.elapsed()
        );
        assert!(connecting(late.address).is_empty());
    };
    thread::scope(|scope| {
        for dial_timeout in [SHORT_CONNECT_TIMEOUT_S, LONG_CONNECT_TIMEOUT_S] {
            scope.spawn(move || case(dial_timeout));
        }
    });
}
