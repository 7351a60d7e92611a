//! Connections that are late in coming up: what becomes of the attempts that wait for one, and of a connection whose
//! attempt has gone. `docs/CONNECTIONS.md` tells the design.

mod common;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::{Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use common::*;
use serde_json::{Value, json};

/// An attempt waits so long for a connection at the most where it is to give up before one comes up: less than the
/// second after which the system tries again, and with a sixteenth that a busy machine needs for no connect.
const SHORT_S: f64 = 0.8;
/// The same where it is to go on waiting.
const LONG_S: f64 = 5.0;

/// A balancer whose attempts wait so long for a connection at the most.
fn start(known: &[Value], dial_timeout: f64) -> (Balancer, Discovery) {
    let discovery = Discovery::start();
    let text = configuration(discovery.address, known, 50.0, 1024);
    (Balancer::start(&with_dial_timeout(&text, dial_timeout)), discovery)
}

/// One that knows a late upstream and one that answers `other`, and has a connection to the late one under way that no
/// attempt waits for any more; each of the `bodies` asked for it was answered by the other one.
fn start_with_one_late(
    late: &LateUpstream,
    other: &Upstream,
    class: &str,
) -> (Balancer, Discovery, Vec<String>) {
    let known = [endpoint("s-1", late.address, 0, "ready"), endpoint("s-2", other.address, 1, "ready")];
    let (balancer, discovery) = start(&known, SHORT_S);
    let mut bodies = Vec::new();
    // Which upstream is first is drawn.
    wait_for("an attempt goes to the late one", || {
        bodies.push(format!("early {}", bodies.len()));
        let answer = balancer.client().ask(class, &bodies[bodies.len() - 1]);
        assert_eq!((answer.status(), answer.body), (200, b"other".to_vec()), "{bodies:?}");
        (!connecting(late.address).is_empty()).then_some(())
    });
    (balancer, discovery, bodies)
}

/// Waits until a connection has come up and the balancer has applied that.
fn wait_up(balancer: &Balancer, upstream: &Upstream) {
    wait_for("a connection comes up", || (upstream.connections() > 0).then_some(()));
    // A question that was asked after it is answered after it.
    balancer.health();
}

/// Writes an answer.
fn answer(stream: &mut TcpStream) {
    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved").expect("open");
}

/// What the client is owed: one answer, and nothing after it.
fn only_answer(mut client: Client) -> Message {
    let answer = client.answer().expect("an answer");
    client.0.shutdown(Shutdown::Write).expect("up");
    let mut rest = Vec::new();
    client.0.read_to_end(&mut rest).expect("closed in peace");
    assert_eq!(rest, b"", "after {}", answer.line);
    answer
}

// --- Attempts ---

/// Guards requests and connections alike against a connection that is late: the request is served elsewhere, and the
/// connection, once up, carries the next one for its upstream, which opens no other.
#[test]
fn a_late_connection_carries_the_next_request() {
    let (late, other) = (LateUpstream::start(), Upstream::start(|_, _| ok("other")));
    let (balancer, discovery, _) = start_with_one_late(&late, &other, "read");
    let upstream = late.serve(|_, _| ok("late"));
    wait_up(&balancer, &upstream);
    let (_, watch) = discovery.watch();
    watch.says(8, false, &[endpoint("s-2", other.address, 1, "gone")]);
    wait_for("the late one serves", || (balancer.client().ask("read", "").body == b"late").then_some(()));
    let connections: Vec<usize> = upstream.requests().iter().map(|(connection, _)| *connection).collect();
    drop(balancer);
    assert_eq!((connections, upstream.all_links().len()), (vec![1], 1));
}

/// Guards against waiting for all of `dialTimeoutS` where connections usually come up at once: an attempt gives up
/// before the system even tries again, a second later, and its request is served elsewhere, once.
#[test]
fn the_usual_connect_time_bounds_the_wait() {
    let other = Upstream::start(|_, _| ok("other"));
    // A sixteenth is a quarter of a second, and the whole is longer than the system's second.
    let (balancer, discovery) = start(&[endpoint("s-2", other.address, 1, "ready")], 4.0);
    thread::scope(|scope| {
        for _ in 0..8 {
            // On a busy machine it may pass for congestion, and a refusal is an answer of its own.
            scope.spawn(|| {
                wait_for("an answer beside refusals", || {
                    (balancer.client().ask("read", "").body == b"other").then_some(())
                });
            });
        }
    });
    let late = LateUpstream::start();
    let (_, watch) = discovery.watch();
    watch.says(8, false, &[endpoint("s-1", late.address, 0, "ready")]);
    let mut asked = 0;
    // One at a time, some of which may be denied, up to the one that waits for a connection.
    let mut client = wait_for("an attempt goes to the late one", || {
        asked += 1;
        let mut client = balancer.client();
        client.send("order", &asked.to_string());
        client.0.set_read_timeout(Some(Duration::from_millis(1))).expect("set");
        let waits = wait_for("an answer or a connect", || {
            let waits = !connecting(late.address).is_empty();
            (waits || client.0.peek(&mut [0]).is_ok()).then_some(waits)
        });
        client.0.set_read_timeout(Some(LONG)).expect("set");
        waits.then_some(client)
    });
    let upstream = late.serve(|_, _| ok("late"));
    let answer = client.answer().expect("an answer");
    assert_eq!((answer.status(), answer.body.as_slice()), (200, b"other".as_slice()), "order {asked}");
    wait_up(&balancer, &upstream);
    let body = asked.to_string();
    assert_eq!((other.count_of(&body), upstream.count_of(&body)), (1, 0));
}

/// A balancer of whose two attempts at one upstream the second waited for a connection of its own, which can't come up
/// yet, and went out on the first's as soon as that was free; that one stands idle now.
fn late_binding() -> (Balancer, Discovery, LateUpstream, TcpStream) {
    let mut late = LateUpstream::with_room_for_one();
    let (balancer, discovery) = start(&[endpoint("s-1", late.address, 0, "ready")], LONG_S);
    let (mut first, mut second) = (balancer.client(), balancer.client());
    first.send("read", "");
    let mut stream = late.accept();
    stream.set_read_timeout(Some(LONG)).expect("set");
    read_message(&mut stream).expect("the first request");
    late.close_up();
    second.send("read", "");
    late.wait_connecting(1);
    answer(&mut stream);
    assert_eq!(first.answer().expect("an answer").body, b"served");
    read_message(&mut stream).expect("the second request");
    answer(&mut stream);
    assert_eq!(second.answer().expect("an answer").body, b"served");
    (balancer, discovery, late, stream)
}

/// Guards an attempt against waiting for its own connection while another to the same upstream falls free.
#[test]
fn an_attempt_takes_the_connection_that_falls_free() {
    let (balancer, _discovery, late, _stream) = late_binding();
    // Neither of them had another connection.
    let address = late.address;
    drop(balancer);
    assert!(connecting(address).is_empty());
    assert!(late.serve(|_, _| ok("late")).all_links().is_empty());
}

/// Guards what must not run twice: rerouted after a wait for a connection it arrives once, over all upstreams, and also
/// once the connection has come up.
#[test]
fn a_reroute_after_a_late_connect_runs_once() {
    let (late, other) = (LateUpstream::start(), Upstream::start(|_, _| ok("other")));
    let (balancer, _discovery, mut bodies) = start_with_one_late(&late, &other, "order");
    let ask = |body: &str, status| {
        assert_eq!(balancer.client().ask("order", body).status(), status, "{body}");
    };
    let burst: Vec<String> = (0..8).map(|number| format!("burst {number}")).collect();
    thread::scope(|scope| {
        for body in &burst {
            scope.spawn(|| ask(body, 200));
        }
    });
    let upstream = late.serve(|_, _| ok("late"));
    wait_up(&balancer, &upstream);
    let after: Vec<String> = (0..16).map(|number| format!("after {number}")).collect();
    for body in &after {
        ask(body, 200);
    }
    drop(balancer);
    bodies.extend(burst);
    for body in &bodies {
        assert_eq!((other.count_of(body), upstream.count_of(body)), (1, 0), "{body}");
    }
    for body in &after {
        assert_eq!(other.count_of(body) + upstream.count_of(body), 1, "{body}");
    }
}

// --- What is left under way ---

/// Guards an upstream that is out of reach, and our own descriptors, against a connect for every request that came: one
/// stays under way, whatever the number of attempts that gave up, and each client has one answer.
#[test]
fn one_connect_stays_under_way() {
    let late = LateUpstream::start();
    let (balancer, _discovery) = start(&[endpoint("s-1", late.address, 0, "ready")], SHORT_S);
    let clients: Vec<Client> = (0..20)
        .map(|_| {
            let mut client = balancer.client();
            client.send("read", "");
            client
        })
        .collect();
    for client in clients {
        let status = only_answer(client).status();
        assert!(status == 502 || status == 503, "{status}");
    }
    late.wait_connecting_falls(1);
    let left = connecting(late.address);
    assert_eq!(left.len(), 1, "{left:?}");
    let upstream = late.serve(|_, _| ok("late"));
    wait_up(&balancer, &upstream);
    drop(balancer);
    let links = upstream.all_links();
    assert!(links.len() == 1 && !links[0].spoken, "{links:?}");
}

/// Guards descriptors against a connection that never comes up: it is given up, whether or not somebody asks for the
/// upstream meanwhile.
#[test]
fn a_connect_is_let_go_of() {
    let case = |asking: bool| {
        let late = LateUpstream::start();
        let (balancer, _discovery) = start(&[endpoint("s-1", late.address, 0, "ready")], SHORT_S);
        assert_ne!(balancer.client().ask("read", "").status(), 200);
        let first = connecting(late.address);
        assert_eq!(first.len(), 1, "asking: {asking}, {first:?}");
        wait_for("the connect is given up", || {
            if asking {
                balancer.client().ask("read", "");
            }
            (!connecting(late.address).contains(&first[0])).then_some(())
        });
        late.wait_connecting_falls(0);
    };
    thread::scope(|scope| {
        for asking in [false, true] {
            scope.spawn(move || case(asking));
        }
    });
}

/// Guards upstreams against connections that nobody needs: one that comes up while another stands idle is closed, and
/// the idle one goes on.
#[test]
fn a_late_connection_is_closed_where_another_stands_idle() {
    let (balancer, _discovery, late, mut stream) = late_binding();
    let upstream = late.serve(|_, _| ok("late"));
    wait_for("the connect is over", || connecting(upstream.address).is_empty().then_some(()));
    // It may have been given up before.
    for (number, link) in upstream.all_links().iter().enumerate() {
        wait_for("the balancer closes it", || upstream.links()[number].closed.then_some(()));
        assert!(!upstream.links()[number].spoken, "{link:?}");
    }
    let mut client = balancer.client();
    client.send("read", "");
    read_message(&mut stream).expect("the request");
    answer(&mut stream);
    assert_eq!(client.answer().expect("an answer").body, b"served");
}

/// Guards drains, moves and restarts: a connect from before is let go of, or its connection closed, and nothing is ever
/// sent on it.
#[test]
fn a_connect_from_before_the_word_carries_nothing() {
    let case = |change: &str| {
        let (late, other) = (LateUpstream::start(), Upstream::start(|_, _| ok("other")));
        let moved = Upstream::start(|_, _| ok("moved"));
        let (balancer, discovery) = start(&[endpoint("s-1", late.address, 0, "ready")], SHORT_S);
        assert_ne!(balancer.client().ask("read", "").status(), 200, "{change}");
        let before = connecting(late.address);
        assert_eq!(before.len(), 1, "{change}: {before:?}");
        let mut changed = match change {
            "moved" => endpoint("s-1", moved.address, 0, "ready"),
            "restarted" => endpoint("s-1", late.address, 0, "ready"),
            status => endpoint("s-1", late.address, 0, status),
        };
        if change == "restarted" {
            changed["since_ms"] = json!(1);
        }
        let (_, watch) = discovery.watch();
        watch.says(8, false, &[changed, endpoint("s-2", other.address, 1, "ready")]);
        wait_for("the word is applied", || {
            (balancer.client().ask("read", "").body == b"other").then_some(())
        });
        let upstream = late.serve(|_, _| ok("late"));
        wait_for("the connect is over", || {
            (!connecting(upstream.address).contains(&before[0])).then_some(())
        });
        // A balancer that has met only connect timeouts so far may deny some.
        for _ in 0..20 {
            wait_for("a request is served", || {
                (balancer.client().ask("read", "").status() == 200).then_some(())
            });
        }
        if let Some(number) = upstream.all_links().iter().position(|link| link.peer.port() == before[0]) {
            wait_for("the balancer closes it", || upstream.links()[number].closed.then_some(()));
            assert!(!upstream.links()[number].spoken, "{change}");
        }
        drop(balancer);
        // After a restart its new process is asked on connections of its own.
        if change != "restarted" {
            assert!(upstream.all_links().iter().all(|link| !link.spoken), "{change}");
        }
    };
    thread::scope(|scope| {
        for change in ["draining", "gone", "moved", "restarted"] {
            scope.spawn(move || case(change));
        }
    });
}

// --- Other crossings ---

/// Guards clients against connects that nobody waits for: where descriptors run short these go first.
#[test]
fn left_connects_give_way_to_requests() {
    const IN_FLIGHT: usize = 20;
    let lates: Vec<LateUpstream> = (0..8).map(|_| LateUpstream::start()).collect();
    let entries = |weight: f64| -> Vec<Value> {
        let entry = |(number, late): (usize, &LateUpstream)| {
            let mut entry = endpoint(&format!("late-{number}"), late.address, 0, "ready");
            entry["weight"] = json!(weight);
            entry
        };
        lates.iter().enumerate().map(entry).collect()
    };
    let discovery = Discovery::start();
    let text = configuration(discovery.address, &entries(1.0), 50.0, 64);
    let balancer = Balancer::start(&with_dial_timeout(&text, LONG_S));
    let mut clients = Vec::new();
    wait_for("all are asked for a connection", || {
        if clients.len() == 16 {
            clients.clear();
        }
        let mut client = balancer.client();
        client.send("order", "leaves");
        clients.push(client);
        lates.iter().all(|late| !connecting(late.address).is_empty()).then_some(())
    });
    drop(clients);
    for late in &lates {
        late.wait_connecting_falls(1);
    }
    // From here on all goes to one that answers, under many names.
    let (release, release_signal) = mpsc::channel::<()>();
    let release_signal = Mutex::new(release_signal);
    let working = Upstream::start(move |_, request| {
        if request.body == b"held" {
            // Ends with the sender.
            let _ = release_signal.lock().expect("no panic").recv();
        }
        ok("served")
    });
    let mut list = entries(0.0);
    list.extend((0..40).map(|number| endpoint(&format!("s-{number}"), working.address, 1, "ready")));
    let (_, watch) = discovery.watch();
    watch.says(8, false, &list);
    wait_for("the list is applied", || {
        let mut client = balancer.client();
        client.raw(
            b"GET /read HTTP/1.1\r\nHost: a\r\nX-Request-Id: r\r\nX-Tenant: acme\r\nX-Deadline: 0.2\r\n\r\n",
        );
        (client.answer()?.body == b"served").then_some(())
    });
    for late in &lates {
        // An attempt of those above ends some moments after its client's answer.
        late.wait_connecting_falls(1);
        assert_eq!(connecting(late.address).len(), 1, "nothing is crossed");
    }
    let mut clients = Vec::new();
    for count in 1..=IN_FLIGHT {
        let mut client = balancer.client();
        client.send("order", "held");
        clients.push(client);
        wait_for("a request is served", || (working.count_of("held") == count).then_some(()));
    }
    assert_eq!(balancer.client().ask("order", "fresh").body, b"served");
    drop(release);
    for mut client in clients {
        assert_eq!(client.answer().expect("an answer").body, b"served");
    }
}

/// Guards planned restarts: a connect under way, waited for or not, does not hold up the end.
#[test]
fn a_connect_does_not_hold_up_the_drain() {
    let case = |dial_timeout: f64| {
        let (late, discovery) = (LateUpstream::start(), Discovery::start());
        let known = [endpoint("s-1", late.address, 0, "ready")];
        let text = configuration(discovery.address, &known, 0.2, 1024).replace("60.0", "0.5");
        let mut child = program(&with_dial_timeout(&text, dial_timeout));
        let (address, mut log) = address(&mut child);
        let mut client = Client::connect(address);
        client.send("order", "one");
        late.wait_connecting(1);
        let refused = (dial_timeout == SHORT_S).then(|| client.answer().expect("an answer").status());
        let left = connecting(late.address);
        signal(&child, "-TERM");
        let stopped = Instant::now();
        wait_line(&mut log, "graceful shutdown, ");
        drop(log);
        wait_for("the end", || child.try_wait().expect("known"));
        assert!(refused != Some(200) && left.len() == 1, "nothing is crossed: {refused:?}, {left:?}");
        // The end comes the longest deadline and half a second after the signal.
        assert!(stopped.elapsed() < SOON, "{:?}", stopped.elapsed());
        assert!(connecting(late.address).is_empty());
    };
    thread::scope(|scope| {
        for dial_timeout in [SHORT_S, LONG_S] {
            scope.spawn(move || case(dial_timeout));
        }
    });
}
