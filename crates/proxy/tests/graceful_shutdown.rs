//! Graceful shutdown after SIGTERM: at each step of a request, with all upstreams hanging, and while upstreams are
//! replaced.

mod common;

use std::io::Write;
use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// A balancer process that the test shuts down while a request is in progress.
struct ShutdownTest {
    child: std::process::Child,
    /// Standard error of the program, after the line with its address.
    log: std::io::BufReader<std::process::ChildStderr>,
    address: SocketAddr,
    discovery: Discovery,
}

impl ShutdownTest {
    fn start(known: &[serde_json::Value]) -> Self {
        let discovery = Discovery::start();
        let mut child = start_program(&configuration(discovery.address, known, 30.0, 1024));
        let (address, log) = address(&mut child);
        Self { child, log, address, discovery }
    }

    /// Sends SIGTERM and waits until the program has begun its graceful shutdown.
    fn terminate(&mut self) {
        signal(&self.child, "-TERM");
        wait_line(&mut self.log, "graceful shutdown, ");
    }

    /// Checks that the client gets status 200 with this body and that the program exits successfully.
    fn assert_answered_and_exited(mut self, mut client: Client, body: &str) {
        let answer = client.answer().expect("an accepted request is answered");
        assert_eq!((answer.status(), answer.body.as_slice()), (200, body.as_bytes()));
        assert!(self.child.wait().expect("the program exits").success());
    }
}

/// Starts an upstream that answers in two parts; it sends the second part when the test sends on the returned channel.
fn upstream_answering_in_two_parts(first: &'static str, then: Reply) -> (Upstream, mpsc::Sender<()>) {
    let (go, wait) = mpsc::channel::<()>();
    let wait = std::sync::Mutex::new(wait);
    let upstream = Upstream::scripted(move |_, _, stream| {
        stream.write_all(first.as_bytes()).expect("the connection is open");
        let _ = wait.lock().expect("lock not poisoned").recv();
        then.clone()
    });
    (upstream, go)
}

/// A complete answer of an upstream.
const COMPLETE_ANSWER: &str = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved";

/// Guards against requests lost in a planned restart: a request that was accepted or partly received before SIGTERM
/// gets its answer, at whichever step SIGTERM comes. A second SIGTERM and a SIGHUP do not change that.
#[test]
fn a_request_is_answered_at_whichever_step_sigterm_comes() {
    let ready = |address| [endpoint("s-1", address, 0, "ready")];
    thread::scope(|scope| {
        // Half of the request has been received.
        scope.spawn(|| {
            let upstream = Upstream::start(|_, _| ok("served"));
            let mut shutdown = ShutdownTest::start(&ready(upstream.address));
            let mut client = Client::connect(shutdown.address);
            let (head, tail) = (order_followed_by(b"")[..40].to_vec(), order_followed_by(b"")[40..].to_vec());
            client.send_bytes(&head);
            shutdown.terminate();
            client.send_bytes(&tail);
            shutdown.assert_answered_and_exited(client, "served");
        });
        // The attempt is connecting to its upstream.
        scope.spawn(|| {
            let late = LateUpstream::start();
            let mut shutdown = ShutdownTest::start(&ready(late.address));
            let mut client = Client::connect(shutdown.address);
            client.send_bytes(&order_followed_by(b""));
            late.wait_connecting(1);
            shutdown.terminate();
            let mut stream = late.open().recv_timeout(HANG_TIMEOUT).expect("the connection comes up");
            read_message(&mut stream).expect("the request arrives");
            stream.write_all(COMPLETE_ANSWER.as_bytes()).expect("the connection is open");
            shutdown.assert_answered_and_exited(client, "served");
        });
        // The request has been sent and none or a part of the answer has been received; further signals follow.
        for half in [0, 20, COMPLETE_ANSWER.len() - 2] {
            scope.spawn(move || {
                let (upstream, go) = upstream_answering_in_two_parts(
                    &COMPLETE_ANSWER[..half],
                    Reply::Bytes(COMPLETE_ANSWER.as_bytes()[half..].to_vec()),
                );
                let mut shutdown = ShutdownTest::start(&ready(upstream.address));
                let mut client = Client::connect(shutdown.address);
                client.send_bytes(&order_followed_by(b""));
                upstream.wait_requests(1);
                shutdown.terminate();
                signal(&shutdown.child, "-TERM");
                signal(&shutdown.child, "-HUP");
                go.send(()).expect("the upstream waits");
                shutdown.assert_answered_and_exited(client, "served");
            });
        }
        // The first attempt fails after SIGTERM, and the request is retried.
        scope.spawn(|| {
            let (go, wait) = mpsc::channel::<()>();
            let wait = std::sync::Mutex::new(wait);
            let first = Upstream::start(move |number, _| {
                if number > 0 {
                    return ok("first");
                }
                let _ = wait.lock().expect("lock not poisoned").recv();
                Reply::Last(Vec::new())
            });
            let mut shutdown = ShutdownTest::start(&ready(first.address));
            let mut client = Client::connect(shutdown.address);
            client.send("read", "");
            first.wait_requests(1);
            let second = Upstream::start(|_, _| ok("second"));
            let watch = shutdown.discovery.watch().1;
            watch.send_endpoints(8, false, &[endpoint("s-2", second.address, 0, "ready")]);
            wait_for("the list with the second upstream is applied", || {
                let answer = Client::connect(shutdown.address).try_ask("read", "")?;
                (answer.body == b"second").then_some(())
            });
            shutdown.terminate();
            go.send(()).expect("the upstream waits");
            shutdown.assert_answered_and_exited(client, "second");
        });
    });
}

/// Value of `drainGraceS` in the tests' settings.
const DRAIN_GRACE: Duration = Duration::from_secs(1);
/// Deadline of all classes in seconds. After SIGTERM the platform waits for the longest deadline plus 0.7 s before it
/// sends SIGKILL.
const DEADLINE_S: f64 = 3.0;
/// Earliest time after SIGTERM at which the platform sends SIGKILL, with a longest deadline of 3 s.
const EARLIEST_KILL: Duration = Duration::from_millis(3700);

/// Guards against a shutdown that upstreams delay by never answering: each request that was read before or after
/// SIGTERM gets its answer, and the program exits before SIGKILL would come.
#[test]
fn a_drain_with_every_upstream_hanging_ends_in_time() {
    let upstreams: Vec<_> = (0..3).map(|_| Upstream::start(|_, _| Reply::Silence)).collect();
    let known = endpoints_in_own_groups(&upstreams);
    let discovery = Discovery::start();
    let text = with_deadline(&configuration(discovery.address, &known, 3.0, 1024), DEADLINE_S);
    let mut child = start_program(&text);
    let (address, mut log) = address(&mut child);
    let mut idle_clients: Vec<Client> = (0..6).map(|_| Client::connect(address)).collect();
    for client in &mut idle_clients {
        // Both statuses are fine: the request only serves to leave an open, used connection.
        assert!(matches!(client.health(), Some(200 | 503)));
    }
    let classes = ["read", "pay", "order"];
    let mut clients: Vec<Client> = Vec::new();
    for number in 0..12 {
        let mut client = Client::connect(address);
        client.send_bytes(&request_with_deadline(classes[number % 3], &format!("before-{number}"), 3.0));
        clients.push(client);
    }
    wait_for("requests hang at the upstreams", || {
        (upstreams.iter().map(|upstream| upstream.requests().len()).sum::<usize>() >= 6).then_some(())
    });
    let signalled_at = Instant::now();
    signal(&child, "-TERM");
    wait_line(&mut log, "graceful shutdown, ");
    // New clients connect until the front stops sending them to this balancer.
    while signalled_at.elapsed() < Duration::from_millis(400) {
        let mut client = Client::connect(address);
        client.send_bytes(&request_with_deadline(
            classes[clients.len() % 3],
            &format!("after-{}", clients.len()),
            3.0,
        ));
        clients.push(client);
        thread::sleep(Duration::from_millis(20));
    }
    // Clients keep using their open connections; the deadlines of these requests are after the earliest SIGKILL.
    thread::sleep(Duration::from_millis(1500).saturating_sub(signalled_at.elapsed()));
    for mut client in idle_clients {
        client.send_bytes(&request_with_deadline(
            classes[clients.len() % 3],
            &format!("late-{}", clients.len()),
            3.0,
        ));
        clients.push(client);
    }
    for (number, mut client) in clients.into_iter().enumerate() {
        let answer = client.answer().unwrap_or_else(|| panic!("request {number} has no answer"));
        assert!(
            matches!(answer.status(), 502 | 503),
            "request {number}: expected 502 or 503, got {}",
            answer.line
        );
        assert!(closes_without_data(client), "request {number}: expected one answer, got more");
    }
    let answered = signalled_at.elapsed();
    assert!(child.wait().expect("the program exits").success());
    println!("answered {answered:?} after SIGTERM, ended {:?} after it", signalled_at.elapsed());
    assert!(
        signalled_at.elapsed() < EARLIEST_KILL,
        "expected an exit before {EARLIEST_KILL:?} after SIGTERM, it took {:?}",
        signalled_at.elapsed()
    );
}

/// Guards against requests lost when upstreams are replaced during a shutdown: all orders that clients send are served,
/// by the replacement once the old upstreams drain. Draining upstreams get no request after the drain grace, and no
/// order runs twice.
#[test]
fn an_upstream_replaced_while_the_balancer_drains_costs_no_request() {
    let (old, other) = (Upstream::start(|_, _| ok("old")), Upstream::start(|_, _| ok("other")));
    let replacement = Upstream::start(|_, _| ok("replacement"));
    let discovery = Discovery::start();
    let known = [endpoint("s-1", old.address, 0, "ready"), endpoint("s-2", other.address, 1, "ready")];
    let text = with_deadline(&configuration(discovery.address, &known, 2.0, 1024), DEADLINE_S);
    let mut child = start_program(&text);
    let (address, mut log) = address(&mut child);
    let (_, watch) = discovery.watch();
    let load = Load::start(address, 6);
    old.wait_requests(50);
    let signalled_at = Instant::now();
    signal(&child, "-TERM");
    wait_line(&mut log, "graceful shutdown, ");
    watch.send_endpoints(
        8,
        false,
        &[
            endpoint("s-1", old.address, 0, "draining"),
            endpoint("s-2", other.address, 1, "draining"),
            endpoint("s-1b", replacement.address, 2, "ready"),
        ],
    );
    replacement.wait_requests(1);
    thread::sleep(DRAIN_GRACE.saturating_sub(signalled_at.elapsed()));
    let before = old.requests().len() + other.requests().len();
    assert!(child.wait().expect("the program exits").success());
    assert!(
        signalled_at.elapsed() < EARLIEST_KILL,
        "expected an exit before {EARLIEST_KILL:?} after SIGTERM, it took {:?}",
        signalled_at.elapsed()
    );
    let (sent, served) = load.end();
    println!("{sent} orders, {served} served, {} by the replacement", replacement.requests().len());
    assert_eq!(
        old.requests().len() + other.requests().len(),
        before,
        "a draining upstream got requests after the drain grace"
    );
    assert_eq!(sent, served, "expected all orders to be served");
    assert_nothing_ran_twice(&[&old, &other, &replacement]);
}
