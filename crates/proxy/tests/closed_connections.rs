//! Requests on client connections that the balancer closes, in a drain, at the socket limit or at a reload: each
//! request that the balancer read gets exactly one answer.

mod common;

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// Returns a request of class `order` with this body; tests give each request a unique body.
fn order_request(body: &str) -> Vec<u8> {
    let head =
        "POST /order?k=7f HTTP/1.1\r\nHost: a\r\nX-Request-Id: r\r\nX-Tenant: acme\r\nX-Deadline: 0.2\r\n";
    format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

fn try_order_request(client: &mut Client, body: &str) -> Option<Message> {
    use std::io::Write;
    client.0.write_all(&order_request(body)).ok()?;
    client.answer()
}

/// Outcomes of the requests of one client.
#[derive(Default)]
struct ClientOutcome {
    /// Body and status of each answered request.
    answered: Vec<(String, u16)>,
    /// Bodies of requests that the client sent on a reused connection that was closed without an answer; the client
    /// sends the request again.
    closed_unanswered: Vec<String>,
    /// Bodies of requests that the client sent on a new connection that was closed without an answer.
    lost: Vec<String>,
}

/// Flags with which the test controls its clients.
#[derive(Default)]
struct ClientControl {
    /// Clients stop before their next request.
    stopped: AtomicBool,
    /// Clients open no new connections, as the front sends them to another balancer.
    no_new_connections: AtomicBool,
}

impl ClientControl {
    fn connect(&self, address: SocketAddr) -> Option<Client> {
        let here = !self.no_new_connections.load(Ordering::Relaxed);
        here.then(|| TcpStream::connect(address).ok().map(Client::new)).flatten()
    }
}

/// Runs a client that sends its requests one after the other on one connection and opens a new connection when that one
/// is closed. The client stops when it gets no new connection or when the test stops it.
fn send_requests(address: SocketAddr, name: usize, control: &ClientControl) -> ClientOutcome {
    let mut sent = ClientOutcome::default();
    let mut idle: Option<Client> = None;
    for number in 0.. {
        if control.stopped.load(Ordering::Relaxed) {
            break;
        }
        let mut resent = false;
        loop {
            let body = format!("{name}-{number}-{resent}");
            let is_new = idle.is_none();
            let Some(mut client) = idle.take().or_else(|| control.connect(address)) else {
                return sent;
            };
            match try_order_request(&mut client, &body) {
                Some(answer) => {
                    sent.answered.push((body, answer.status()));
                    idle = (answer.header("connection") != Some("close")).then_some(client);
                    break;
                }
                None if is_new => {
                    sent.lost.push(body);
                    break;
                }
                None => sent.closed_unanswered.push(body),
            }
            resent = true;
        }
    }
    sent
}

/// Checks that no request ran twice, that each request with status 200 ran once, and that requests without an answer
/// never ran.
fn assert_no_duplicate_runs(upstream: &Upstream, sent: &ClientOutcome) {
    for (body, status) in &sent.answered {
        let runs = upstream.count_of(body);
        assert!(
            runs <= 1 && (*status != 200 || runs == 1),
            "{body}: status {status}, but the upstream ran it {runs} times"
        );
    }
    for body in sent.closed_unanswered.iter().chain(&sent.lost) {
        assert_eq!(upstream.count_of(body), 0, "{body}: the upstream ran it, but the client got no answer");
    }
}

/// Guards against requests lost in a planned restart with short deadlines: with a longest deadline of 0.2 s, SIGKILL
/// may come 0.9 s after SIGTERM. Clients send requests as long as their connections stay open, and the front opens new
/// connections for 0.4 s. Each request must get exactly one answer, and the program must exit by itself before SIGKILL.
#[test]
fn a_drain_with_short_deadlines_ends_before_sigkill() {
    let upstream = Upstream::start(|_, _| {
        thread::sleep(Duration::from_millis(10));
        ok("served")
    });
    let discovery = Discovery::start();
    let known = [endpoint("s-1", upstream.address, 0, "ready")];
    let text = configuration(discovery.address, &known, 0.2, 1024).replace("60.0", "0.2");
    let mut child = start_program(&text);
    let (address, _log) = address(&mut child);
    let control = ClientControl::default();
    let (sent, ended) = thread::scope(|scope| {
        let control = &control;
        let clients: Vec<_> =
            (0..8).map(|name| scope.spawn(move || send_requests(address, name, control))).collect();
        upstream.wait_requests(50);
        signal(&child, "-TERM");
        let signalled = Instant::now();
        thread::sleep(Duration::from_millis(400));
        control.no_new_connections.store(true, Ordering::Relaxed);
        let ended =
            wait_for("the program exits", || child.try_wait().expect("waited").map(|_| signalled.elapsed()));
        let sent: Vec<ClientOutcome> =
            clients.into_iter().map(|client| client.join().expect("the thread does not panic")).collect();
        (sent, ended)
    });
    assert!(
        ended < Duration::from_millis(900),
        "expected the program to exit within 0.9 s of SIGTERM, it exited after {ended:?}"
    );
    assert!(child.wait().expect("the program exits").success());
    for sent in &sent {
        assert_no_duplicate_runs(&upstream, sent);
    }
    let answered: usize = sent.iter().map(|sent| sent.answered.len()).sum();
    let lost: Vec<&String> = sent.iter().flat_map(|sent| &sent.lost).collect();
    assert!(
        lost.is_empty(),
        "requests without an answer on a new connection: {lost:?}; {answered} were answered"
    );
}

/// Guards against requests lost when the balancer closes client connections because it runs out of sockets: it must
/// close them only between requests.
#[test]
fn closing_connections_at_the_socket_limit_loses_no_request() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let discovery = Discovery::start();
    let known = [endpoint("s-1", upstream.address, 0, "ready")];
    let balancer = Balancer::start(&configuration(discovery.address, &known, 30.0, 64));
    let control = ClientControl::default();
    let sent: Vec<ClientOutcome> = thread::scope(|scope| {
        let clients: Vec<_> = (0..6)
            .map(|name| {
                let (control, address) = (&control, balancer.address);
                scope.spawn(move || send_requests(address, name, control))
            })
            .collect();
        upstream.wait_requests(20);
        let mut many = Vec::new();
        // Fewer than the listen backlog: a connect beyond it would be retried by the kernel only seconds later.
        for _ in 0..100 {
            many.push(balancer.client());
            thread::sleep(Duration::from_millis(2));
        }
        control.stopped.store(true, Ordering::Relaxed);
        clients.into_iter().map(|client| client.join().expect("the thread does not panic")).collect()
    });
    for sent in &sent {
        assert_no_duplicate_runs(&upstream, sent);
        assert!(sent.lost.is_empty(), "requests without an answer on a new connection: {:?}", sent.lost);
    }
}

/// Guards against connections closed by reloads in quick succession, half of them of a malformed configuration, while
/// the pipe of the log is full because nobody reads it.
#[test]
fn reloads_and_a_full_log_close_no_connection() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let discovery = Discovery::start();
    let known = [endpoint("s-1", upstream.address, 0, "ready")];
    let text = configuration(discovery.address, &known, 30.0, 1024);
    let mut child = start_program(&text);
    let (address, _unread) = address(&mut child);
    // Each entry causes a log line, and together they exceed the 64 KiB that a pipe holds.
    let odd: Vec<_> = (0..4000).map(|number| endpoint(&format!("odd-{number}"), address, 0, "odd")).collect();
    discovery.watch().1.send_endpoints(8, false, &odd);
    let control = ClientControl::default();
    let sent: Vec<ClientOutcome> = thread::scope(|scope| {
        let clients: Vec<_> = (0..4)
            .map(|name| {
                let control = &control;
                scope.spawn(move || send_requests(address, name, control))
            })
            .collect();
        upstream.wait_requests(20);
        for turn in 0..60 {
            write_configuration(if turn % 2 == 0 { "{" } else { &text });
            signal(&child, "-HUP");
        }
        control.stopped.store(true, Ordering::Relaxed);
        clients.into_iter().map(|client| client.join().expect("the thread does not panic")).collect()
    });
    for sent in &sent {
        assert_no_duplicate_runs(&upstream, sent);
        assert!(
            sent.lost.is_empty() && sent.closed_unanswered.is_empty(),
            "requests without an answer: {:?} on new connections, {:?} on reused ones",
            sent.lost,
            sent.closed_unanswered
        );
    }
    child.kill().expect("the program is running");
    child.wait().expect("the program exits");
}
