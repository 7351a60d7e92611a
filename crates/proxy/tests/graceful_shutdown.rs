//! SIGTERM at each step of a request, with every upstream hanging, and with upstreams that are replaced meanwhile.

mod common;

use std::io::Write;
use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// A request, and what its client and its upstream do around SIGTERM.
struct Ending {
    child: std::process::Child,
    log: std::io::BufReader<std::process::ChildStderr>,
    address: SocketAddr,
    discovery: Discovery,
}

impl Ending {
    fn start(known: &[serde_json::Value]) -> Self {
        let discovery = Discovery::start();
        let mut child = program(&configuration(discovery.address, known, 30.0, 1024));
        let (address, log) = address(&mut child);
        Self { child, log, address, discovery }
    }

    /// SIGTERM, up to where the program has received it.
    fn terminate(&mut self) {
        signal(&self.child, "-TERM");
        wait_line(&mut self.log, "graceful shutdown, ");
    }

    /// The client gets this answer, and the program its end.
    fn ends_with(mut self, mut client: Client, body: &str) {
        let answer = client.answer().expect("what was accepted is answered");
        assert_eq!((answer.status(), answer.body.as_slice()), (200, body.as_bytes()));
        assert!(self.child.wait().expect("ends").success());
    }
}

/// An upstream that answers in two parts, the second once the test says so.
fn in_two_parts(first: &'static str, then: Reply) -> (Upstream, mpsc::Sender<()>) {
    let (go, wait) = mpsc::channel::<()>();
    let wait = std::sync::Mutex::new(wait);
    let upstream = Upstream::scripted(move |_, _, stream| {
        stream.write_all(first.as_bytes()).expect("open");
        let _ = wait.lock().expect("no panic").recv();
        then.clone()
    });
    (upstream, go)
}

const WHOLE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved";

/// Guards planned restarts at each step of a request: what was accepted before SIGTERM, or is half there, gets its
/// answer, whatever comes between; a second SIGTERM and a SIGHUP change nothing of it.
#[test]
fn sigterm_meets_a_request_at_each_step() {
    let ready = |address| [endpoint("s-1", address, 0, "ready")];
    thread::scope(|scope| {
        // Half of the request is there.
        scope.spawn(|| {
            let upstream = Upstream::start(|_, _| ok("served"));
            let mut ending = Ending::start(&ready(upstream.address));
            let mut client = Client::connect(ending.address);
            let (head, tail) = (order_with(b"")[..40].to_vec(), order_with(b"")[40..].to_vec());
            client.raw(&head);
            ending.terminate();
            client.raw(&tail);
            ending.ends_with(client, "served");
        });
        // Its attempt connects.
        scope.spawn(|| {
            let late = LateUpstream::start();
            let mut ending = Ending::start(&ready(late.address));
            let mut client = Client::connect(ending.address);
            client.raw(&order_with(b""));
            late.wait_connecting(1);
            ending.terminate();
            let mut stream = late.open().recv_timeout(LONG).expect("the connection comes up");
            read_message(&mut stream).expect("the request");
            stream.write_all(WHOLE.as_bytes()).expect("open");
            ending.ends_with(client, "served");
        });
        // It is out, and nothing has come back, or half an answer; signals come twice.
        for half in [0, 20, WHOLE.len() - 2] {
            scope.spawn(move || {
                let (upstream, go) =
                    in_two_parts(&WHOLE[..half], Reply::Bytes(WHOLE.as_bytes()[half..].to_vec()));
                let mut ending = Ending::start(&ready(upstream.address));
                let mut client = Client::connect(ending.address);
                client.raw(&order_with(b""));
                upstream.wait_requests(1);
                ending.terminate();
                signal(&ending.child, "-TERM");
                signal(&ending.child, "-HUP");
                go.send(()).expect("the upstream waits");
                ending.ends_with(client, "served");
            });
        }
        // It is about to be repeated.
        scope.spawn(|| {
            let (go, wait) = mpsc::channel::<()>();
            let wait = std::sync::Mutex::new(wait);
            let first = Upstream::start(move |number, _| {
                if number > 0 {
                    return ok("first");
                }
                let _ = wait.lock().expect("no panic").recv();
                Reply::Last(Vec::new())
            });
            let mut ending = Ending::start(&ready(first.address));
            let mut client = Client::connect(ending.address);
            client.send("read", "");
            first.wait_requests(1);
            let second = Upstream::start(|_, _| ok("second"));
            let watch = ending.discovery.watch().1;
            watch.says(8, false, &[endpoint("s-2", second.address, 0, "ready")]);
            wait_for("the second is known", || {
                let answer = Client::connect(ending.address).try_ask("read", "")?;
                (answer.body == b"second").then_some(())
            });
            ending.terminate();
            go.send(()).expect("the upstream waits");
            ending.ends_with(client, "second");
        });
    });
}

/// The configuration with a longest deadline of 3 s, as after SIGTERM the platform waits for that and 0.7 s.
fn with_short_deadlines(configuration: &str) -> String {
    let usual = "\"hardLimitS\":60.0";
    assert!(configuration.contains(usual));
    configuration.replace(usual, "\"hardLimitS\":3.0")
}

/// `drainGraceS` of the tests' settings.
const DRAIN_GRACE: Duration = Duration::from_secs(1);
/// After SIGTERM the platform kills no sooner, with that longest deadline.
const EARLIEST_KILL: Duration = Duration::from_millis(3700);

/// Guards a shutdown against upstreams that hang all through it: whatever was read before or after SIGTERM has its
/// answer, and the program ends before it would be killed.
#[test]
fn a_drain_with_every_upstream_hanging_ends_in_time() {
    let upstreams: Vec<_> = (0..3).map(|_| Upstream::start(|_, _| Reply::Silence)).collect();
    let known = each_in_a_group(&upstreams);
    let discovery = Discovery::start();
    let text = with_short_deadlines(&configuration(discovery.address, &known, 3.0, 1024));
    let mut child = program(&text);
    let (address, mut log) = address(&mut child);
    let mut idle_clients: Vec<Client> = (0..6).map(|_| Client::connect(address)).collect();
    for client in &mut idle_clients {
        // Ready or not yet: it is a request, after which the connection stays open.
        assert!(matches!(client.health(), Some(200 | 503)));
    }
    let classes = ["read", "pay", "order"];
    let mut clients: Vec<Client> = Vec::new();
    for number in 0..12 {
        let mut client = Client::connect(address);
        client.raw(&timed(classes[number % 3], &format!("before-{number}"), 3.0));
        clients.push(client);
    }
    wait_for("requests hang", || {
        (upstreams.iter().map(|upstream| upstream.requests().len()).sum::<usize>() >= 6).then_some(())
    });
    let stopped = Instant::now();
    signal(&child, "-TERM");
    wait_line(&mut log, "graceful shutdown, ");
    // Clients go on coming for as long as the front goes on sending.
    while stopped.elapsed() < Duration::from_millis(400) {
        let mut client = Client::connect(address);
        client.raw(&timed(classes[clients.len() % 3], &format!("after-{}", clients.len()), 3.0));
        clients.push(client);
        thread::sleep(Duration::from_millis(20));
    }
    // Clients go on using the connections they have; these have time past the earliest kill.
    thread::sleep(Duration::from_millis(1500).saturating_sub(stopped.elapsed()));
    for mut client in idle_clients {
        client.raw(&timed(classes[clients.len() % 3], &format!("late-{}", clients.len()), 3.0));
        clients.push(client);
    }
    for (number, mut client) in clients.into_iter().enumerate() {
        let answer = client.answer().unwrap_or_else(|| panic!("request {number} has no answer"));
        assert!(matches!(answer.status(), 502 | 503), "{number}: {}", answer.line);
        assert!(ends_empty(client), "{number}: more than one answer");
    }
    let answered = stopped.elapsed();
    assert!(child.wait().expect("ends").success());
    println!("answered {answered:?} after SIGTERM, ended {:?} after it", stopped.elapsed());
    assert!(stopped.elapsed() < EARLIEST_KILL, "ended {:?} after SIGTERM", stopped.elapsed());
}

/// Guards a shutdown during which an upstream is replaced: what clients go on sending is served, by the new one once the
/// old one drains, nothing goes to that past its grace, and nothing runs twice.
#[test]
fn an_upstream_replaced_while_the_balancer_drains_costs_no_request() {
    let (old, other) = (Upstream::start(|_, _| ok("old")), Upstream::start(|_, _| ok("other")));
    let replacement = Upstream::start(|_, _| ok("replacement"));
    let discovery = Discovery::start();
    let known = [endpoint("s-1", old.address, 0, "ready"), endpoint("s-2", other.address, 1, "ready")];
    let text = with_short_deadlines(&configuration(discovery.address, &known, 2.0, 1024));
    let mut child = program(&text);
    let (address, mut log) = address(&mut child);
    let (_, watch) = discovery.watch();
    let load = Load::start(address, 6);
    old.wait_requests(50);
    let stopped = Instant::now();
    signal(&child, "-TERM");
    wait_line(&mut log, "graceful shutdown, ");
    watch.says(
        8,
        false,
        &[
            endpoint("s-1", old.address, 0, "draining"),
            endpoint("s-2", other.address, 1, "draining"),
            endpoint("s-1b", replacement.address, 2, "ready"),
        ],
    );
    replacement.wait_requests(1);
    thread::sleep(DRAIN_GRACE.saturating_sub(stopped.elapsed()));
    let before = old.requests().len() + other.requests().len();
    assert!(child.wait().expect("ends").success());
    assert!(stopped.elapsed() < EARLIEST_KILL, "ended {:?} after SIGTERM", stopped.elapsed());
    let (sent, served) = load.end();
    println!("{sent} orders, {served} served, {} by the replacement", replacement.requests().len());
    assert_eq!(old.requests().len() + other.requests().len(), before, "sent to what drains, past its grace");
    assert_eq!(sent, served, "an order was not served");
    assert_nothing_ran_twice(&[&old, &other, &replacement]);
}
