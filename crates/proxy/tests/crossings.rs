//! Two events that meet: each case brings them together on purpose, with a peer that holds back what the test says.
//! `docs/CROSSINGS.md` lists what is promised for each.

mod common;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use common::*;
use socket2::{Domain, SockRef, Socket, Type};

/// For how long a connection rests after an answer, before it carries the next request.
const REST: Duration = Duration::from_millis(10);

/// For so long an attempt may wait for a connection where the test says when it comes up: the decisions do not end the
/// wait, also where they want to hear of it after a sixteenth.
const PATIENT_S: f64 = 80.0;

/// The connections that came up, once no more do.
fn all_that_came(came: &mpsc::Receiver<TcpStream>) -> Vec<TcpStream> {
    std::iter::from_fn(|| came.recv_timeout(SOON).ok()).collect()
}

/// Whether nothing was sent on any of these connections up to its end.
fn nothing_came(streams: Vec<TcpStream>) -> bool {
    streams.into_iter().all(|stream| all_of(stream).is_empty())
}

// --- A caller leaves ---

/// Guards upstreams against work for nobody: a caller has gone with the end of its sending, also when it had sent more
/// behind its request, which keeps a server that reads only what it needs from seeing the end.
#[test]
fn a_caller_that_sent_more_is_seen_to_leave() {
    let upstream = Upstream::start(|_, _| Reply::Silence);
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 50.0);
    let second = order_with(b"");
    let much = vec![b'x'; 300_000];
    let mut asked = 0;
    for extra in [b"".as_slice(), b"\r\n", b"G", &second, &much] {
        for how in [Shutdown::Write, Shutdown::Both] {
            asked += 1;
            let mut caller = balancer.caller();
            caller.raw(&order_with(b""));
            upstream.wait_requests(asked);
            caller.raw(extra);
            let left = Instant::now();
            caller.0.shutdown(how).expect("up");
            upstream.wait_closed(asked);
            assert!(left.elapsed() < SOON, "{} bytes, {how:?}: {:?}", extra.len(), left.elapsed());
            assert_eq!(upstream.requests().len(), asked);
        }
    }
}

/// Guards the same while the first attempt waits for its connection: it does not begin once the caller has gone, be it
/// one or a burst of them, whether or not attempts may be called off there.
#[test]
fn nothing_begins_for_callers_that_left_during_a_connect() {
    let case = |callers: usize, cancel: bool| {
        let late = Late::start();
        let discovery = Discovery::start();
        let known = [endpoint("s-1", late.address, 0, "ready")];
        let text = configuration(discovery.address, &known, 50.0, 1024)
            .replace("\"cancel\":true", &format!("\"cancel\":{cancel}"));
        let balancer = Balancer::start(&with_dial_timeout(&text, PATIENT_S));
        let callers: Vec<Caller> = (0..callers)
            .map(|_| {
                let mut caller = balancer.caller();
                caller.raw(&order_with(b"more"));
                caller
            })
            .collect();
        late.wait_connecting(callers.len());
        drop(callers);
        // From then on nothing may begin.
        thread::sleep(Duration::from_millis(100));
        // One connection stays for the next attempt; it is closed with the balancer at the latest.
        let streams = all_that_came(&late.open());
        assert!(!streams.is_empty(), "withdrawals allowed: {cancel}");
        drop(balancer);
        assert!(nothing_came(streams), "withdrawals allowed: {cancel}");
    };
    thread::scope(|scope| {
        for cancel in [true, false] {
            scope.spawn(move || case(1, cancel));
        }
        // One after the other: a process may have no more than a thousand descriptors.
        for cancel in [true, false] {
            case(200, cancel);
        }
    });
}

/// Guards callers that do not leave: what they had sent behind their request is the next one, in order.
#[test]
fn requests_sent_together_are_answered_in_order() {
    let upstream = Upstream::start(|number, _| ok(&format!("answer {number}")));
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
    let mut caller = balancer.caller();
    caller.raw(&[order_with(b""), order_with(b""), order_with(b"")].concat());
    for number in 0..3 {
        assert_eq!(caller.answer().expect("an answer").body, format!("answer {number}").into_bytes());
    }
}

/// Guards the answer to a caller that sends far more than a request behind it: it comes, and its connection ends
/// in peace.
#[test]
fn an_answer_reaches_a_caller_that_goes_on_sending() {
    let (release, held) = mpsc::channel::<()>();
    let held = std::sync::Mutex::new(held);
    let upstream = Upstream::start(move |_, _| {
        let _ = held.lock().expect("no panic").recv();
        ok("served")
    });
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
    let mut caller = balancer.caller();
    caller.raw(&order_with(&[b'x'; 200_000]));
    upstream.wait_requests(1);
    release.send(()).expect("the upstream waits");
    let answer = caller.answer().expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert_eq!(caller.0.read(&mut [0]).expect("closed in peace"), 0);
}

/// Guards an error against the reset that closing over unread bytes would send after it.
#[test]
fn an_error_is_not_followed_by_a_reset() {
    let (balancer, _discovery) = Balancer::with(&[], 30.0);
    let heads = [
        "POST /order HTTP/1.1\r\nHost: a\r\nX-Request-Id: r\r\nX-Tenant: acme\r\nContent-Length: 70000\r\n\r\n",
        "SPDY /order HTTP/9\r\n\r\n",
    ];
    for head in heads {
        let mut caller = balancer.caller();
        caller.raw(&[head.as_bytes(), &[b'x'; 60_000]].concat());
        assert!(caller.answer().expect("an answer").status() >= 400, "{head}");
        let mut rest = Vec::new();
        assert_eq!(caller.0.read_to_end(&mut rest).expect("closed in peace"), 0, "{head}");
    }
}

// --- Upstreams ---

/// Guards what must not run twice in effect: a repeat goes out within the window in which repeats are dropped, also
/// when the connection that it waits for takes longer.
#[test]
fn a_repeat_does_not_begin_after_its_window() {
    let failing = Upstream::start(|_, _| Reply::Last(Vec::new()));
    let late = Late::start();
    let known = [endpoint("s-1", failing.address, 4, "ready"), endpoint("s-2", late.address, 4, "ready")];
    let discovery = Discovery::start();
    let text =
        configuration(discovery.address, &known, 50.0, 1024).replace("\"windowS\":10.0", "\"windowS\":0.3");
    // Which upstream is first is drawn: it must be the failing one, so that the other gets the repeat.
    let balancer = Balancer::start(&with_dial_timeout(&text, PATIENT_S));
    let mut callers: Vec<Caller> = (0..4).map(|_| balancer.caller()).collect();
    for caller in &mut callers {
        caller.send("pay", "instalments");
    }
    failing.wait_requests(1);
    let first = Instant::now();
    thread::sleep(Duration::from_millis(400));
    let came = late.open();
    // Those that went to the late one at first may go there.
    let direct = callers.len() - failing.requests().len();
    let mut got = 0;
    while let Ok(stream) = came.recv_timeout(SOON) {
        stream.set_read_timeout(Some(Duration::from_millis(200))).expect("set");
        let mut byte = [0];
        got += usize::from(matches!((&stream).read(&mut byte), Ok(1)));
    }
    assert!(got <= direct, "{got} of {direct} after {:?}", first.elapsed());
}

/// Guards drains against a connection that is long in coming: what was chosen before the word is not sent after it.
#[test]
fn a_drain_learned_during_a_connect_holds() {
    for status in ["draining", "gone"] {
        let late = Late::start();
        let other = Upstream::start(|_, _| ok("other"));
        let known = [endpoint("s-1", late.address, 0, "ready")];
        let discovery = Discovery::start();
        let text = configuration(discovery.address, &known, 50.0, 1024);
        let balancer = Balancer::start(&with_dial_timeout(&text, PATIENT_S));
        let mut caller = balancer.caller();
        caller.send("order", "one");
        late.wait_connecting(1);
        let (_, watch) = discovery.watch();
        let drained = endpoint("s-1", late.address, 0, status);
        watch.says(8, false, &[drained, endpoint("s-2", other.address, 1, "ready")]);
        wait_for("the drain is taken in", || {
            (balancer.caller().ask("read", "").body == b"other").then_some(())
        });
        // Its connections end while the balancer goes on.
        assert!(nothing_came(all_that_came(&late.open())), "{status}");
        assert_eq!(caller.answer().expect("an answer").body, b"other", "{status}");
    }
}

/// Guards callers against another's answer: what an upstream sends beyond its answer is nobody's, also when it comes
/// some milliseconds later, and the connection it came on carries nothing more.
#[test]
fn a_second_answer_is_nobodys() {
    let answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright";
    let wrong = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong";
    for late in [None, Some(Duration::from_millis(1)), Some(Duration::from_millis(6))] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        // The longest time between the two answers, of those that were written.
        let longest = Arc::new(std::sync::Mutex::new(Duration::ZERO));
        let between = Arc::clone(&longest);
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let between = Arc::clone(&between);
                thread::spawn(move || {
                    if read_message(&mut stream).is_none() {
                        return;
                    }
                    let mut write =
                        |text: &str| stream.write_all(text.as_bytes()).expect("the balancer reads");
                    match late {
                        None => write(&format!("{answer}{wrong}")),
                        Some(late) => {
                            let first = Instant::now();
                            write(answer);
                            thread::sleep(late);
                            // On a busy machine it may be later than is promised for.
                            if first.elapsed() >= REST {
                                return;
                            }
                            write(wrong);
                            let mut longest = between.lock().expect("no panic");
                            *longest = first.elapsed().max(*longest);
                        }
                    }
                    // Whatever comes now is not answered any more.
                    let _ = read_message(&mut stream);
                });
            }
        });
        let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", address, 0, "ready")], 30.0);
        let mut caller = balancer.caller();
        for _ in 0..20 {
            // A machine without time for it may look like a crowd, and a refusal is an answer of its own.
            let answer = wait_for("an answer beside refusals", || {
                Some(caller.ask("order", "one")).filter(|answer| answer.status() != 503)
            });
            if answer.body == b"wrong" {
                // Held up between its look at the clock and its write, the upstream was too late for the promise.
                let longest = || *longest.lock().expect("no panic");
                wait_for("the upstream was too late", || (longest() >= REST).then_some(()));
                break;
            }
            assert_eq!((answer.status(), answer.body.as_slice()), (200, b"right".as_slice()), "{late:?}");
        }
    }
}

/// Guards callers against half an answer: one without a length that is reset has not ended.
#[test]
fn a_reset_is_no_end_of_an_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            if read_message(&mut stream).is_some() {
                stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nhalf").expect("the balancer reads");
                thread::sleep(Duration::from_millis(50));
                SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("set");
            }
        }
    });
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", address, 0, "ready")], 30.0);
    assert_eq!(balancer.caller().ask("order", "one").status(), 502);
}

// --- Floods ---

/// Connects again and again, and never waits: each connection is reset at once, and one that finds the queue full is
/// given up.
fn flood(address: SocketAddr, on: &AtomicBool) {
    while on.load(Ordering::Relaxed) {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.set_nonblocking(true).expect("set");
        socket.set_linger(Some(Duration::ZERO)).expect("set");
        let _ = socket.connect(&address.into());
    }
}

/// Guards the end against a flood of new connections: an accept loop that always finds another one waiting must look at
/// its clock all the same.
#[test]
fn a_flood_of_connections_does_not_hold_up_the_drain() {
    let discovery = Discovery::start();
    let text = configuration(discovery.address, &[], 0.2, 1024).replace("60.0", "0.5");
    let mut child = program(&text);
    let (address, mut log) = address(&mut child);
    let on = Arc::new(AtomicBool::new(true));
    let floods: Vec<_> = (0..6)
        .map(|_| {
            let on = Arc::clone(&on);
            thread::spawn(move || flood(address, &on))
        })
        .collect();
    signal(&child, "-TERM");
    let told = Instant::now();
    wait_line(&mut log, "into the drain");
    wait_line(&mut log, "into the drain");
    // Answers close their connections from 0.5 s on; the rest is for a machine with much else to do.
    assert!(told.elapsed() < SOON, "{:?}", told.elapsed());
    drop(log);
    // It ends the longest deadline and half a second after the signal.
    let ended = wait_for("the end", || child.try_wait().expect("known").map(|_| told.elapsed()));
    on.store(false, Ordering::Relaxed);
    assert!(ended < SOON, "{ended:?}");
    for flood in floods {
        flood.join().expect("no panic");
    }
}

/// Guards the list against callers that only stand by and take every descriptor there is while discovery is down: when
/// it is back, its watch comes up and what it has is told within 6 s; the front, and a caller with a request, get
/// through meanwhile.
#[test]
fn idle_callers_do_not_keep_the_list_away() {
    let (old, new) = (Upstream::start(|_, _| ok("old")), Upstream::start(|_, _| ok("new")));
    let known = [endpoint("s-1", old.address, 0, "ready")];
    for mode in ["subscribe", "automatic"] {
        // Its port is its own, yet refuses connections.
        let (down, place) = bound();
        let text = configuration(place, &known, 30.0, 64).replace("subscribe", mode);
        let mut child = program_within(64, &text);
        let (address, mut log) = address(&mut child);
        let log = thread::spawn(move || {
            let mut text = String::new();
            log.read_to_string(&mut text).map(|_| text)
        });
        let over = Arc::new(AtomicBool::new(false));
        let idle: Vec<_> = (0..4)
            .map(|_| {
                let over = Arc::clone(&over);
                thread::spawn(move || {
                    let mut held = std::collections::VecDeque::new();
                    while !over.load(Ordering::Relaxed) {
                        held.extend(TcpStream::connect_timeout(&address, SOON));
                        if held.len() > 100 {
                            held.pop_front();
                        }
                    }
                })
            })
            .collect();
        wait_for("the front is told", || (Caller::connect(address).health() == Some(200)).then_some(()));
        wait_for("a caller is served", || {
            let answer = Caller::connect(address).try_ask("read", "")?;
            (answer.body == b"old").then_some(())
        });
        down.listen(16).expect("listens");
        let discovery = Discovery::on(down.into(), Duration::from_millis(500));
        let back = Instant::now();
        let (_, watch) = discovery.watch();
        let drained = endpoint("s-1", old.address, 0, "draining");
        watch.says(8, false, &[drained, endpoint("s-2", new.address, 1, "ready")]);
        wait_for("the list is taken in", || {
            let answer = Caller::connect(address).try_ask("read", "")?;
            (answer.body == b"new").then_some(())
        });
        assert!(back.elapsed() < Duration::from_secs(6), "{mode}: {:?}", back.elapsed());
        over.store(true, Ordering::Relaxed);
        child.kill().expect("it runs");
        child.wait().expect("ends");
        for thread in idle {
            thread.join().expect("no panic");
        }
        let log = log.join().expect("no panic").expect("read");
        assert!(!log.contains("could not be accepted"), "the last descriptor was taken: {log}");
    }
}

/// Guards the program against a log that somebody holds and nobody reads: it goes on serving.
#[test]
fn a_log_that_nobody_reads_stops_nothing() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let discovery = Discovery::start();
    let known = [endpoint("s-1", upstream.address, 0, "ready")];
    let mut child = program(&configuration(discovery.address, &known, 30.0, 1024));
    let (address, log) = address(&mut child);
    let (_, watch) = discovery.watch();
    // Each entry is told of in a line; a pipe holds 64 KiB.
    let odd: Vec<_> = (0..4000).map(|number| endpoint(&format!("odd-{number}"), address, 0, "odd")).collect();
    watch.says(8, false, &odd);
    watch.says(9, false, &[endpoint("s-1", upstream.address, 0, "draining")]);
    let moved = Upstream::start(|_, _| ok("moved"));
    watch.says(10, false, &[endpoint("s-2", moved.address, 0, "ready")]);
    wait_for("the lists are taken in", || {
        let mut caller = Caller::connect(address);
        caller.0.set_read_timeout(Some(SOON)).expect("set");
        caller.send("read", "");
        (caller.answer().expect("an answer").body == b"moved").then_some(())
    });
    signal(&child, "-TERM");
    assert!(child.wait().expect("ends").success());
    drop(log);
}

/// Guards the end against a caller that never takes its answers: they fill the system's buffers, and its connection is
/// let go.
#[test]
fn a_caller_that_never_reads_does_not_hold_up_the_drain() {
    let upstream = Upstream::start(|_, _| ok(&"x".repeat(60_000)));
    let (mut balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
    let mut caller = balancer.caller();
    SockRef::from(&caller.0).set_recv_buffer_size(4096).expect("set");
    caller.raw(&order_with(b"").repeat(100));
    let mut served = 0;
    wait_for("nothing more is written", || {
        let (before, now) = (served, upstream.requests().len());
        served = now;
        thread::sleep(Duration::from_millis(200));
        (now > 10 && now == before).then_some(())
    });
    let told = Instant::now();
    balancer.stop();
    drop(balancer);
    // The drain's 2.8 s, and what an answer may stand unread.
    assert!(told.elapsed() < Duration::from_secs(8), "{:?}", told.elapsed());
}

// --- Signals ---

/// A request, and what its caller and its upstream do around SIGTERM.
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

    /// SIGTERM, up to where the program has taken it in.
    fn terminate(&mut self) {
        signal(&self.child, "-TERM");
        wait_line(&mut self.log, "into the drain");
    }

    /// The caller gets this answer, and the program its end.
    fn ends_with(mut self, mut caller: Caller, body: &str) {
        let answer = caller.answer().expect("what was taken is answered");
        assert_eq!((answer.status(), answer.body.as_slice()), (200, body.as_bytes()));
        assert!(self.child.wait().expect("ends").success());
    }
}

/// An upstream that answers in two parts, the second once it is told to.
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

/// Guards planned restarts at each step of a request: what was taken before SIGTERM, or is half there, gets its answer,
/// whatever comes between; a second SIGTERM and a SIGHUP change nothing of it.
#[test]
fn sigterm_meets_a_request_at_each_step() {
    let ready = |address| [endpoint("s-1", address, 0, "ready")];
    thread::scope(|scope| {
        // Half of the request is there.
        scope.spawn(|| {
            let upstream = Upstream::start(|_, _| ok("served"));
            let mut ending = Ending::start(&ready(upstream.address));
            let mut caller = Caller::connect(ending.address);
            let (head, tail) = (order_with(b"")[..40].to_vec(), order_with(b"")[40..].to_vec());
            caller.raw(&head);
            ending.terminate();
            caller.raw(&tail);
            ending.ends_with(caller, "served");
        });
        // Its attempt connects.
        scope.spawn(|| {
            let late = Late::start();
            let mut ending = Ending::start(&ready(late.address));
            let mut caller = Caller::connect(ending.address);
            caller.raw(&order_with(b""));
            late.wait_connecting(1);
            ending.terminate();
            let mut stream = late.open().recv_timeout(LONG).expect("the connection comes up");
            read_message(&mut stream).expect("the request");
            stream.write_all(WHOLE.as_bytes()).expect("open");
            ending.ends_with(caller, "served");
        });
        // It is out, and nothing has come back, or half an answer; signals come twice.
        for half in [0, 20, WHOLE.len() - 2] {
            scope.spawn(move || {
                let (upstream, go) =
                    in_two_parts(&WHOLE[..half], Reply::Bytes(WHOLE.as_bytes()[half..].to_vec()));
                let mut ending = Ending::start(&ready(upstream.address));
                let mut caller = Caller::connect(ending.address);
                caller.raw(&order_with(b""));
                upstream.wait_requests(1);
                ending.terminate();
                signal(&ending.child, "-TERM");
                signal(&ending.child, "-HUP");
                go.send(()).expect("the upstream waits");
                ending.ends_with(caller, "served");
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
            let mut caller = Caller::connect(ending.address);
            caller.send("read", "");
            first.wait_requests(1);
            let second = Upstream::start(|_, _| ok("second"));
            let watch = ending.discovery.watch().1;
            watch.says(8, false, &[endpoint("s-2", second.address, 0, "ready")]);
            wait_for("the second is known", || {
                let answer = Caller::connect(ending.address).try_ask("read", "")?;
                (answer.body == b"second").then_some(())
            });
            ending.terminate();
            go.send(()).expect("the upstream waits");
            ending.ends_with(caller, "second");
        });
    });
}

/// Guards restarts of a fleet: hundreds of processes that start at once while discovery is down, takes calls and says
/// nothing, or drips, serve within 10 s on the list they have.
#[test]
fn a_fleet_is_ready_without_discovery() {
    const EACH: usize = 40;
    let upstream = Upstream::start(|_, _| ok("served"));
    let mut known: Vec<_> = (0..300)
        .map(|number| endpoint(&format!("gone-{number}"), dead_address(), number, "draining"))
        .collect();
    known.push(endpoint("s-1", upstream.address, 0, "ready"));
    let mute = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let drips = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let places = [dead_address(), mute.local_addr().expect("bound"), drips.local_addr().expect("bound")];
    thread::spawn(move || {
        for mut stream in drips.incoming().flatten() {
            thread::spawn(move || {
                let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let mut written = stream.write_all(head);
                while written.is_ok() {
                    thread::sleep(Duration::from_millis(200));
                    written = stream.write_all(b"1\r\n \r\n");
                }
            });
        }
    });
    let ready: usize = thread::scope(|scope| {
        let fleets: Vec<_> = places
            .iter()
            .map(|&place| {
                let known = &known;
                scope.spawn(move || {
                    let file = write_configuration(&configuration(place, known, 30.0, 1024));
                    let began = Instant::now();
                    let mut fleet: Vec<_> = (0..EACH).map(|_| program_on(1024, &file)).collect();
                    let mut logs = Vec::new();
                    let ready = fleet
                        .iter_mut()
                        .filter_map(|child| {
                            let (address, log) = address(child);
                            logs.push(log);
                            wait_for("it says that it is ready", || {
                                (Caller::connect(address).health()? == 200).then_some(())
                            });
                            let in_time = began.elapsed() < Duration::from_secs(10);
                            assert_eq!(Caller::connect(address).ask("read", "").body, b"served");
                            in_time.then_some(())
                        })
                        .count();
                    for child in &mut fleet {
                        child.kill().expect("it runs");
                        child.wait().expect("ends");
                    }
                    ready
                })
            })
            .collect();
        fleets.into_iter().map(|fleet| fleet.join().expect("no panic")).sum()
    });
    assert!(ready * 10 >= places.len() * EACH * 9, "{ready} of {} in time", places.len() * EACH);
}
