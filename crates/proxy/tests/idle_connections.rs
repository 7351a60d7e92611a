//! Upstreams, or middleboxes before them, that silently drop the state of idle connections: a request on such a
//! connection meets a reset or no answer.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::*;
use socket2::SockRef;

/// Reaction of an upstream to a request on a connection that was dropped while idle.
#[derive(Debug, Clone, Copy)]
enum DropBehavior {
    /// The connection is reset, as by a host that does not know the connection.
    Reset,
    /// Nothing is sent back, as when a middlebox has dropped the connection.
    Silence,
}

/// An upstream that drops connections that were idle for longer than [`UPSTREAM_IDLE_TIMEOUT`].
struct IdleDroppingUpstream {
    address: SocketAddr,
    /// Bodies of the requests that the upstream ran.
    ran: Arc<std::sync::Mutex<Vec<String>>>,
    /// Number of requests that arrived on dropped connections.
    requests_on_dropped: Arc<AtomicUsize>,
}

/// Idle time after which the upstream drops a connection.
const UPSTREAM_IDLE_TIMEOUT: Duration = Duration::from_millis(80);

impl IdleDroppingUpstream {
    fn start(drop_behavior: DropBehavior) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("the socket is bound");
        let upstream = Self { address, ran: Arc::default(), requests_on_dropped: Arc::default() };
        let (ran, requests_on_dropped) =
            (Arc::clone(&upstream.ran), Arc::clone(&upstream.requests_on_dropped));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (ran, requests_on_dropped) = (Arc::clone(&ran), Arc::clone(&requests_on_dropped));
                thread::spawn(move || Self::serve(stream, drop_behavior, &ran, &requests_on_dropped));
            }
        });
        upstream
    }

    fn serve(
        mut stream: TcpStream,
        drop_behavior: DropBehavior,
        ran: &std::sync::Mutex<Vec<String>>,
        requests_on_dropped: &AtomicUsize,
    ) {
        let mut answered: Option<Instant> = None;
        while let Some(message) = read_message(&mut stream) {
            if answered.is_some_and(|at| at.elapsed() > UPSTREAM_IDLE_TIMEOUT) {
                requests_on_dropped.fetch_add(1, Ordering::Relaxed);
                match drop_behavior {
                    DropBehavior::Reset => SockRef::from(&stream)
                        .set_linger(Some(Duration::ZERO))
                        .expect("the socket option is set"),
                    DropBehavior::Silence => drop(stream.read(&mut [0])),
                }
                return;
            }
            ran.lock()
                .expect("lock not poisoned")
                .push(String::from_utf8(message.body).expect("valid UTF-8"));
            if stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").is_err() {
                return;
            }
            answered = Some(Instant::now());
        }
    }
}

/// Sends requests with pauses, in each of which one of the two upstreams drops its idle connections, and returns the
/// statuses in order.
fn ask_with_pauses(balancer: &Balancer, class: &str, requests: u32) -> Vec<u16> {
    let mut client = balancer.client();
    let mut statuses = Vec::new();
    for number in 0..requests {
        let began = Instant::now();
        client.send_bytes(&request_with_deadline(class, &format!("{class}-{number}"), 2.0));
        statuses.push(client.answer().expect("an answer").status());
        assert!(
            began.elapsed() < Duration::from_secs(2) + ANSWER_SLACK,
            "{class} {number}: expected an answer within 2 s and the slack, it took {:?}",
            began.elapsed()
        );
        thread::sleep(UPSTREAM_IDLE_TIMEOUT + Duration::from_millis(20));
    }
    assert!(closes_without_data(client), "{class}: expected one answer for each request, got more");
    statuses
}

/// Starts a balancer with one upstream that drops idle connections and one that does not.
fn with_one_dropping_upstream(
    drop_behavior: DropBehavior,
    latency_objective: f64,
) -> (Balancer, Discovery, IdleDroppingUpstream, Upstream) {
    let dropping_upstream = IdleDroppingUpstream::start(drop_behavior);
    let healthy_upstream = Upstream::start(|_, _| ok("ok"));
    let known = [
        endpoint("s-1", dropping_upstream.address, 0, "ready"),
        endpoint("s-2", healthy_upstream.address, 1, "ready"),
    ];
    let (balancer, discovery) = Balancer::with(&known, latency_objective);
    (balancer, discovery, dropping_upstream, healthy_upstream)
}

/// Checks that none of the orders that [`ask_with_pauses`] sent ran twice.
fn assert_each_order_ran_once(
    requests: u32,
    dropping_upstream: &IdleDroppingUpstream,
    healthy_upstream: &Upstream,
) {
    for number in 0..requests {
        let body = format!("order-{number}");
        let ran = dropping_upstream
            .ran
            .lock()
            .expect("lock not poisoned")
            .iter()
            .filter(|ran| **ran == body)
            .count();
        assert!(ran + healthy_upstream.count_of(&body) <= 1, "expected {body} to run at most once");
    }
}

/// Guards against requests that fail because an upstream resets connections that were idle. Reads are retried on
/// another connection and served. Once the balancer has seen such resets, orders, which must not run twice, are not
/// sent on connections that were idle for long, so they are served too.
#[test]
fn resets_of_idle_connections_fail_no_request() {
    let (balancer, _discovery, dropping_upstream, healthy_upstream) =
        with_one_dropping_upstream(DropBehavior::Reset, 5.0);
    let reads = ask_with_pauses(&balancer, "read", 12);
    let dropped_before = dropping_upstream.requests_on_dropped.load(Ordering::Relaxed);
    assert!(dropped_before > 0, "expected requests on dropped connections, there were none");
    assert!(reads.iter().all(|&status| status == 200), "expected all reads to be served, got {reads:?}");
    let orders = ask_with_pauses(&balancer, "order", 12);
    assert_eq!(
        dropping_upstream.requests_on_dropped.load(Ordering::Relaxed),
        dropped_before,
        "an order was sent on a dropped connection"
    );
    assert!(orders.iter().all(|&status| status == 200), "expected all orders to be served, got {orders:?}");
    assert_each_order_ran_once(12, &dropping_upstream, &healthy_upstream);
}

/// Guards against repeated losses on idle connections on which neither answers nor resets arrive: each such connection
/// costs at most one request, which still gets exactly one answer in time, and no order runs twice.
#[test]
fn each_silently_dropped_connection_fails_at_most_one_request() {
    let (balancer, _discovery, dropping_upstream, healthy_upstream) =
        with_one_dropping_upstream(DropBehavior::Silence, 0.2);
    let mut statuses = ask_with_pauses(&balancer, "read", 12);
    statuses.extend(ask_with_pauses(&balancer, "order", 12));
    let requests_on_dropped = dropping_upstream.requests_on_dropped.load(Ordering::Relaxed);
    let unserved = statuses.iter().filter(|&&status| status != 200).count();
    println!(
        "{unserved} of {} requests not served, {requests_on_dropped} connections dropped",
        statuses.len()
    );
    assert!(requests_on_dropped > 0, "expected requests on dropped connections, there were none");
    assert_eq!(
        unserved, requests_on_dropped,
        "expected one unserved request for each dropped connection: {statuses:?}"
    );
    assert_each_order_ran_once(12, &dropping_upstream, &healthy_upstream);
}
