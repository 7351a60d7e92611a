//! Upstreams that forget connections which have been idle for a while, and reset them or say nothing on them.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::*;
use socket2::SockRef;

/// What an upstream does with a request on a connection that it has forgotten.
#[derive(Debug, Clone, Copy)]
enum Forgets {
    /// Resets it, as a host does that knows of no such connection.
    Reset,
    /// Says nothing, as where a box on the way has dropped the connection.
    Silence,
}

/// An upstream that forgets connections idle for longer than a while: where it listens, and the bodies that ran.
struct Forgetful {
    address: SocketAddr,
    ran: Arc<std::sync::Mutex<Vec<String>>>,
    forgotten: Arc<AtomicUsize>,
}

/// Idle for longer than this, a connection is forgotten.
const FORGOTTEN_AFTER: Duration = Duration::from_millis(80);

impl Forgetful {
    fn start(forgets: Forgets) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let upstream = Self { address, ran: Arc::default(), forgotten: Arc::default() };
        let (ran, forgotten) = (Arc::clone(&upstream.ran), Arc::clone(&upstream.forgotten));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (ran, forgotten) = (Arc::clone(&ran), Arc::clone(&forgotten));
                thread::spawn(move || Self::serve(stream, forgets, &ran, &forgotten));
            }
        });
        upstream
    }

    fn serve(
        mut stream: TcpStream,
        forgets: Forgets,
        ran: &std::sync::Mutex<Vec<String>>,
        forgotten: &AtomicUsize,
    ) {
        let mut answered: Option<Instant> = None;
        while let Some(message) = read_message(&mut stream) {
            if answered.is_some_and(|at| at.elapsed() > FORGOTTEN_AFTER) {
                forgotten.fetch_add(1, Ordering::Relaxed);
                match forgets {
                    Forgets::Reset => SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("set"),
                    Forgets::Silence => drop(stream.read(&mut [0])),
                }
                return;
            }
            ran.lock().expect("no panic").push(String::from_utf8(message.body).expect("text"));
            if stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").is_err() {
                return;
            }
            answered = Some(Instant::now());
        }
    }
}

/// Sends requests with pauses in which one of two upstreams forgets its connections: the statuses, in order.
fn ask_with_pauses(balancer: &Balancer, class: &str, requests: u32) -> Vec<u16> {
    let mut client = balancer.client();
    let mut statuses = Vec::new();
    for number in 0..requests {
        let began = Instant::now();
        client.raw(&timed(class, &format!("{class}-{number}"), 2.0));
        statuses.push(client.answer().expect("an answer").status());
        assert!(
            began.elapsed() < Duration::from_secs(2) + ANSWER_SLACK,
            "{class} {number}: {:?}",
            began.elapsed()
        );
        thread::sleep(FORGOTTEN_AFTER + Duration::from_millis(20));
    }
    assert!(ends_empty(client), "{class}: more than one answer");
    statuses
}

/// A balancer with one upstream that forgets idle connections and one that does not.
fn with_one_forgetful(
    forgets: Forgets,
    latency_objective: f64,
) -> (Balancer, Discovery, Forgetful, Upstream) {
    let forgetful = Forgetful::start(forgets);
    let sound = Upstream::start(|_, _| ok("ok"));
    let known = [endpoint("s-1", forgetful.address, 0, "ready"), endpoint("s-2", sound.address, 1, "ready")];
    let (balancer, discovery) = Balancer::with(&known, latency_objective);
    (balancer, discovery, forgetful, sound)
}

/// Checks that no order of [`ask_with_pauses`] ran twice.
fn assert_each_order_ran_once(requests: u32, forgetful: &Forgetful, sound: &Upstream) {
    for number in 0..requests {
        let body = format!("order-{number}");
        let ran = forgetful.ran.lock().expect("no panic").iter().filter(|ran| **ran == body).count();
        assert!(ran + sound.count_of(&body) <= 1, "{body} ran twice");
    }
}

/// Guards requests against upstreams that know nothing of idle connections any more and reset them on the next byte:
/// what may run again does so elsewhere and is served; what must not run twice gets no connection that was idle for long
/// once that is known, and is served too.
#[test]
fn connections_reset_after_idling_cost_no_request() {
    let (balancer, _discovery, forgetful, sound) = with_one_forgetful(Forgets::Reset, 5.0);
    let reads = ask_with_pauses(&balancer, "read", 12);
    let found = forgetful.forgotten.load(Ordering::Relaxed);
    assert!(found > 0, "no connection was forgotten");
    assert!(reads.iter().all(|&status| status == 200), "{reads:?}");
    let orders = ask_with_pauses(&balancer, "order", 12);
    assert_eq!(
        forgetful.forgotten.load(Ordering::Relaxed),
        found,
        "an order went out on a forgotten connection"
    );
    assert!(orders.iter().all(|&status| status == 200), "{orders:?}");
    assert_each_order_ran_once(12, &forgetful, &sound);
}

/// Guards requests against idle connections that nothing comes back on any more, nor any reset: such a connection costs
/// one request and no second one, which has its one answer in time, and what must not run twice does not.
#[test]
fn connections_silent_after_idling_cost_one_request_each() {
    let (balancer, _discovery, forgetful, sound) = with_one_forgetful(Forgets::Silence, 0.2);
    let mut statuses = ask_with_pauses(&balancer, "read", 12);
    statuses.extend(ask_with_pauses(&balancer, "order", 12));
    let forgotten = forgetful.forgotten.load(Ordering::Relaxed);
    let unserved = statuses.iter().filter(|&&status| status != 200).count();
    println!("{unserved} of {} not served, {forgotten} connections forgotten", statuses.len());
    assert!(forgotten > 0, "no connection was forgotten");
    assert_eq!(unserved, forgotten, "{statuses:?}");
    assert_each_order_ran_once(12, &forgetful, &sound);
}
