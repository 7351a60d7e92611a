//! Clients: what they may send, how many there may be, and how the program ends.

mod common;

use std::io::BufRead;
use std::time::{Duration, Instant};

use common::*;

/// Guards the decisions against what they can't take, and the client against silence.
#[test]
fn a_bad_request_is_rejected_and_harms_nobody() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
    let good = "GET /read HTTP/1.1\r\nHost: a\r\nX-Request-Id: r\r\nX-Tenant: acme\r\nX-Deadline: 9\r\n\r\n";
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
        client.raw(good.replacen(from, to, 1).as_bytes());
        let answer = client.answer().map(|answer| answer.status());
        assert_eq!(answer, Some(status), "{from:?} as {to:?}");
    }
    for (_, request) in upstream.requests() {
        assert_eq!(request.line, "GET /read HTTP/1.1");
    }
}

/// Guards the descriptor limit: idle clients give way to new ones, and nobody is left waiting.
#[test]
fn idle_clients_give_way_when_sockets_run_out() {
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
    // The first have been closed in favour of the last.
    assert!(clients.remove(0).answer().is_none());
    assert_eq!(upstream.requests().len(), 100);
}

/// Guards the same against connections that never carry a request.
#[test]
fn silent_clients_give_way_too() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let discovery = Discovery::start();
    let known = [endpoint("s-1", upstream.address, 0, "ready")];
    let balancer = Balancer::start(&configuration(discovery.address, &known, 30.0, 48));
    let mut silent: Vec<Client> = (0..60).map(|_| balancer.client()).collect();
    wait_for("an answer beside them", || {
        (balancer.client().ask("order", "one").status() == 200).then_some(())
    });
    assert!(silent.remove(0).answer().is_none());
}

/// Guards the read of a request that comes in pieces: it is accepted with its last byte.
#[test]
fn a_request_may_come_in_pieces() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
    let mut client = balancer.client();
    let text = "POST /order?k=7f HTTP/1.1\r\nHost: a\r\nX-Request-Id: r\r\nX-Tenant: acme\r\n\
                Content-Length: 11\r\n\r\ninstalments";
    for piece in text.as_bytes().chunks(13) {
        assert!(upstream.requests().is_empty());
        client.raw(piece);
        std::thread::sleep(std::time::Duration::from_millis(1));
    }
    assert_eq!(client.answer().expect("an answer").status(), 200);
    assert_eq!(upstream.requests()[0].1.body, b"instalments");
}

/// Guards clients against waiting for a socket that does not come: with all busy, the rest are refused at
/// once, and truly.
#[test]
fn busy_clients_beyond_the_budget_are_refused() {
    let upstream = Upstream::start(|_, _| Reply::Silence);
    let discovery = Discovery::start();
    let known = [endpoint("s-1", upstream.address, 0, "ready")];
    let balancer = Balancer::start(&configuration(discovery.address, &known, 50.0, 48));
    let mut waiting = Vec::new();
    let refused = wait_for("a refusal", || {
        let mut client = balancer.client();
        client.send("order", "one");
        client.0.set_read_timeout(Some(std::time::Duration::from_millis(200))).expect("set");
        let answered = client.0.peek(&mut [0]).is_ok();
        client.0.set_read_timeout(Some(LONG)).expect("set");
        if answered {
            return client.answer();
        }
        waiting.push(client);
        None
    });
    assert_eq!(refused.status(), 503);
    assert!(upstream.requests().len() < 48, "{}", upstream.requests().len());
}

/// Guards the accept loop against EMFILE: with fewer descriptors than the budget says, and nobody who reads
/// the log of it, clients are still served, then as before.
#[test]
fn running_out_of_descriptors_does_not_end_the_program() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let discovery = Discovery::start();
    let known = [endpoint("s-1", upstream.address, 0, "ready")];
    let mut child = program_within(32, &configuration(discovery.address, &known, 30.0, 1024));
    let (address, log) = address(&mut child);
    drop(log);
    let many: Vec<Client> = (0..80).map(|_| Client::connect(address)).collect();
    wait_for("an answer beside the many", || {
        let mut client = Client::connect(address);
        client.send("order", "one");
        client.answer().filter(|answer| answer.status() == 200)
    });
    drop(many);
    wait_for("an answer after it", || {
        let mut client = Client::connect(address);
        client.send("order", "one");
        client.answer().filter(|answer| answer.status() == 200)
    });
    assert!(child.try_wait().expect("known").is_none());
    child.kill().expect("it runs");
    child.wait().expect("ends");
}

/// A connection that is to be closed waits this long for its first request, and longer.
const LATE: Duration = Duration::from_millis(250);

/// Guards planned restarts: after SIGTERM what was accepted is finished, new connections are still served, each
/// answer closes its connection, and the program ends by itself.
#[test]
fn sigterm_finishes_what_was_accepted() {
    let (release, release_signal) = std::sync::mpsc::channel::<()>();
    let release_signal = std::sync::Mutex::new(release_signal);
    let upstream = Upstream::start(move |number, _| {
        if number == 0 {
            let _ = release_signal.lock().expect("no panic").recv();
        }
        ok("served")
    });
    let discovery = Discovery::start();
    let known = [endpoint("s-1", upstream.address, 0, "ready")];
    let mut child = program(&configuration(discovery.address, &known, 30.0, 1024));
    let (address, mut log) = address(&mut child);
    let mut accepted = Client::connect(address);
    accepted.send("order", "one");
    upstream.wait_requests(1);
    let mut idle = Client::connect(address);
    assert_eq!(idle.ask("order", "two").header("connection"), None);
    signal(&child, "-TERM");
    wait_line(&mut log, "graceful shutdown, ");
    // Clients that may have nowhere else to go keep their connection for now.
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
            // Where this thread itself was late with its request, the connection was rightly closed before it.
            None if connected.elapsed() >= LATE => return None,
            None => panic!("closed with a request on it that came at once"),
        };
        // Towards the end there is no time for another attempt.
        assert!(matches!(answer.status(), 200 | 503), "{}", answer.line);
        (answer.header("connection") == Some("close")).then_some(())
    });
    // It is closed between requests, and the program waits for the one that is out.
    assert!(idle.answer().is_none());
    assert!(child.try_wait().expect("known").is_none());
    release.send(()).expect("the upstream waits");
    assert_eq!(accepted.answer().expect("an answer").status(), 200);
    assert!(child.wait().expect("ends").success());
}

/// Guards planned restarts against clients that go on: each sends on its connection until an answer says that this
/// closes; a request that crosses the close goes out once more on a new connection, and whoever connects late gets
/// an answer too, up to the end of the program.
#[test]
fn a_drain_answers_clients_that_go_on_sending() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let discovery = Discovery::start();
    let known = [endpoint("s-1", upstream.address, 0, "ready")];
    let mut child = program(&configuration(discovery.address, &known, 30.0, 1024));
    let (address, mut log) = address(&mut child);
    // On a new connection, 40 ms after it is up, as from a client that has other things to do.
    let answered_anew = move || {
        let Ok(stream) = std::net::TcpStream::connect(address) else { return None };
        let connected = Instant::now();
        std::thread::sleep(Duration::from_millis(40));
        Some(Client::new(stream).try_ask("order", "anew").is_some() || connected.elapsed() >= LATE)
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
                        None => return (sent, answered_anew() == Some(true)),
                    }
                }
                unreachable!("a drain ends")
            })
        })
        .collect();
    upstream.wait_requests(100);
    signal(&child, "-TERM");
    wait_line(&mut log, "graceful shutdown, ");
    let before = upstream.requests().len();
    wait_line(&mut log, "graceful shutdown, ");
    assert!(upstream.requests().len() > before + 100, "they went on");
    let late: Vec<_> = (0..20)
        .map(|_| {
            std::thread::sleep(Duration::from_millis(10));
            std::thread::spawn(answered_anew)
        })
        .collect();
    for client in clients {
        let (sent, answered) = client.join().expect("no panic");
        assert!(answered, "request {sent} was not answered");
    }
    for client in late {
        assert_ne!(client.join().expect("no panic"), Some(false), "closed with a request on it");
    }
    assert!(child.wait().expect("ends").success());
}

/// Guards operators against a program that runs on a configuration it did not understand.
#[test]
fn a_bad_configuration_is_a_plain_message() {
    let sound = configuration(dead_address(), &[], 1.0, 1024);
    for (text, part) in [
        ("{".to_owned(), "malformed"),
        (sound.replace("127.0.0.1:0", "here"), "invalid value for listen"),
        (sound.replace("8c1f", "xyz"), "invalid value for seed"),
        (sound.replace("1024", "4"), "invalid value for limits.sockets"),
        (sound.replace("idempotent", "harmless"), "settings are malformed"),
        (
            sound.replace("\"me\":0", "\"me\":0,\"balancers\":0").replacen("\"balancers\":1,", "", 1),
            "copies is 0",
        ),
    ] {
        let child = program(&text);
        let done = child.wait_with_output().expect("ends");
        let log = String::from_utf8_lossy(&done.stderr).into_owned();
        assert!(!done.status.success() && log.contains(part) && !log.contains("panicked"), "{part}: {log}");
    }
}

/// Guards the sockets against peers that connect and send nothing, a part of a head, or a part of a body: each
/// gets an error or a close, while one that has been served may stand idle.
#[test]
fn a_peer_without_a_whole_request_is_let_go() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let (balancer, discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
    discovery.watch().1.bytes(b"\n");
    let mut served = balancer.client();
    wait_for("the balancer can serve", || (balancer.health() == 200).then_some(()));
    assert_eq!(served.ask("order", "one").status(), 200);
    let head =
        "POST /order HTTP/1.1\r\nHost: a\r\nX-Request-Id: r\r\nX-Tenant: acme\r\nContent-Length: 9\r\n\r\n";
    let (health, begun) = ("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n", format!("{head}abc"));
    let parts = [
        ("", None),
        ("GET /re", None),
        (&head[..60], None),
        (head, Some(408)),
        (&begun, Some(408)),
        (health, Some(200)),
    ];
    let mut peers: Vec<Client> = parts.iter().map(|_| balancer.client()).collect();
    for (peer, (part, _)) in peers.iter_mut().zip(parts) {
        peer.raw(part.as_bytes());
    }
    for (peer, (part, status)) in peers.iter_mut().zip(parts) {
        assert_eq!(peer.answer().map(|answer| answer.status()), status, "{part}");
        assert!(peer.answer().is_none(), "{part}: still open");
    }
    // Later than any of them came, and longer idle than they were let to be.
    assert_eq!(served.ask("order", "two").status(), 200);
    assert_eq!(upstream.requests().len(), 2);
}

/// Guards reloads: SIGHUP ends nothing, a file that makes no sense changes nothing, and one that names another
/// discovery moves the watch there, from the version in hand.
#[test]
fn sighup_moves_the_watch_to_the_discovery_of_the_file() {
    let (old, new) = (Upstream::start(|_, _| ok("old")), Upstream::start(|_, _| ok("new")));
    let (before, after) = (Discovery::start(), Discovery::start());
    let known = [endpoint("s-1", old.address, 0, "ready")];
    let mut child = program(&configuration(before.address, &known, 30.0, 1024));
    let (address, mut log) = address(&mut child);
    let (_, watch) = before.watch();
    let moved = Upstream::start(|_, _| ok("moved"));
    watch.says(9, false, &[endpoint("s-1", moved.address, 0, "ready")]);
    let mut client = Client::connect(address);
    wait_for("the change is applied", || (client.ask("order", "one").body == b"moved").then_some(()));
    write_configuration("{");
    signal(&child, "-HUP");
    let mut line = String::new();
    wait_for("the file is passed over", || {
        log.read_line(&mut line).expect("a line");
        line.contains("not reloaded: the configuration is malformed").then_some(())
    });
    write_configuration(&configuration(after.address, &known, 30.0, 1024));
    signal(&child, "-HUP");
    let (line, watch) = after.watch();
    assert_eq!(line, "GET /catalog/members?follow=1&since=9 HTTP/1.1");
    watch.says(10, true, &[endpoint("s-2", new.address, 0, "ready")]);
    wait_for("the new list is applied", || (client.ask("order", "two").body == b"new").then_some(()));
    child.kill().expect("it runs");
    child.wait().expect("ends");
}
