//! Clients that leave behind more bytes than the balancer reads at once: nothing more is begun for them, although the
//! end of their connection is behind bytes that nobody has read.

mod common;

use std::net::Shutdown;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// Number of long orders behind the first request: more than the system holds for the balancer.
const ORDERS: usize = 40;
/// Body size of an order behind the first request.
const ORDER_BYTES: usize = 64 * 1024;
/// Least memory limit of a deployment: with it, less is read ahead than the client sends.
const MEMORY_LIMIT_MB: u32 = 32;
/// How long the upstream takes for a request.
const WORK: Duration = Duration::from_millis(300);
/// Time after a client's close within which an attempt may still begin.
const DEPARTURE_SLACK: Duration = Duration::from_millis(100);
/// How long a test looks for attempts of a client that has left.
const OBSERVED: Duration = Duration::from_secs(2);

/// An upstream that fails each read and serves each order, and the times at which requests reached it.
fn failing_reads() -> (Upstream, Arc<Mutex<Vec<Instant>>>) {
    let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let recorded = Arc::clone(&arrivals);
    let upstream = Upstream::start(move |_, request| {
        recorded.lock().expect("the lock is not poisoned").push(Instant::now());
        thread::sleep(WORK);
        if request.line.starts_with("GET") { status("500 Failed") } else { ok("served") }
    });
    (upstream, arrivals)
}

/// A read followed by [`ORDERS`] long orders, as one client sends them at once.
fn read_and_orders() -> Vec<u8> {
    let orders = (0..ORDERS)
        .flat_map(|number| order_named(&number.to_string(), ORDER_BYTES, 50.0, BodyFraming::Length));
    request_with_deadline("read", "", 50.0).into_iter().chain(orders).collect()
}

/// Guards against retries, and requests behind the first, that begin for a client that has closed its connection or
/// ended its sending with much still unread: an id would run twice if the client came again.
#[test]
fn nothing_begins_for_a_client_that_left_behind_much_unread() {
    for (closes, memory_limit) in [(true, None), (true, Some(MEMORY_LIMIT_MB)), (false, None)] {
        let upstreams: Vec<_> = (0..3).map(|_| failing_reads()).collect();
        let known: Vec<_> = (0..)
            .zip(&upstreams)
            .map(|(number, (upstream, _))| {
                endpoint(&format!("s-{number}"), upstream.address, number, "ready")
            })
            .collect();
        let discovery = Discovery::start();
        let text = configuration(discovery.address, &known, 30.0, 1024);
        let balancer =
            Balancer::start(&memory_limit.map_or(text.clone(), |limit| with_memory_limit(&text, limit)));
        let mut client = Some(balancer.client());
        let connection = client.as_mut().expect("the client is connected");
        connection.send_bytes(&read_and_orders());
        wait_for("the first attempt begins", || {
            upstreams.iter().any(|(upstream, _)| !upstream.requests().is_empty()).then_some(())
        });
        if closes {
            client.take();
        } else {
            connection.0.shutdown(Shutdown::Write).expect("the connection is open");
        }
        let left_at = Instant::now();
        thread::sleep(OBSERVED);
        let late: Vec<Duration> = upstreams
            .iter()
            .flat_map(|(_, arrivals)| arrivals.lock().expect("the lock is not poisoned").clone())
            .filter_map(|at| at.checked_duration_since(left_at))
            .filter(|late| *late > DEPARTURE_SLACK)
            .collect();
        assert!(
            late.is_empty(),
            "closed: {closes}, limit: {memory_limit:?}, attempts began {late:?} after the client had left"
        );
    }
}
