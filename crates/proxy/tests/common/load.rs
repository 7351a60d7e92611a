//! Load of requests of the class `order` from several clients, and a check that none of them ran twice.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use super::{Client, Message, Upstream, request_with_deadline};

/// Clients that send requests of the class `order` until they are stopped.
pub struct Load {
    /// Threads of the clients. Each returns how many requests it sent and how many were answered with 200.
    clients: Vec<thread::JoinHandle<(usize, usize)>>,
    /// Set to stop the clients.
    stopped: Arc<AtomicBool>,
}

impl Load {
    /// Starts clients that send requests with unique bodies, each on one persistent connection. When its connection
    /// closes, a client sends one more request on a new connection and ends, because the front opens no connections
    /// later in a drain.
    pub fn start(address: SocketAddr, clients: usize) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let clients = (0..clients)
            .map(|client| {
                let stopped = Arc::clone(&stopped);
                thread::spawn(move || Self::send(address, client, &stopped))
            })
            .collect();
        Self { clients, stopped }
    }

    /// Runs one client, and returns how many requests it sent and how many were answered with 200.
    fn send(address: SocketAddr, number: usize, stopped: &AtomicBool) -> (usize, usize) {
        let (mut sent, mut served) = (0, 0);
        let mut client = Client::connect(address);
        while !stopped.load(Ordering::Relaxed) {
            let Some(answer) = Self::ask(&mut client, &format!("{number}-{sent}")) else {
                // The request was sent while the balancer closed the connection. It does not count as sent, because the
                // client sends another one instead.
                return Self::ask_on_new_connection(address, number, sent, served);
            };
            sent += 1;
            served += usize::from(answer.status() == 200);
            if answer.header("connection") == Some("close") {
                return Self::ask_on_new_connection(address, number, sent, served);
            }
            thread::sleep(Duration::from_millis(4));
        }
        (sent, served)
    }

    /// Sends one request on a new connection, and returns the counts of the client with that request included.
    fn ask_on_new_connection(
        address: SocketAddr,
        number: usize,
        sent: usize,
        served: usize,
    ) -> (usize, usize) {
        let answer = Self::ask(&mut Client::connect(address), &format!("{number}-anew"));
        (sent + 1, served + usize::from(answer.is_some_and(|answer| answer.status() == 200)))
    }

    fn ask(client: &mut Client, body: &str) -> Option<Message> {
        client.0.write_all(&request_with_deadline("order", body, 2.0)).ok()?;
        client.answer()
    }

    /// Stops the clients, and returns how many requests they sent and how many were answered with 200.
    pub fn end(self) -> (usize, usize) {
        self.stopped.store(true, Ordering::Relaxed);
        let each = self.clients.into_iter().map(|client| client.join().expect("the thread does not panic"));
        each.fold((0, 0), |(sent, served), one| (sent + one.0, served + one.1))
    }
}

/// Asserts that no two requests with the same body arrived at these upstreams.
pub fn assert_nothing_ran_twice(upstreams: &[&Upstream]) {
    let mut ran: BTreeMap<Vec<u8>, usize> = BTreeMap::new();
    for (_, request) in upstreams.iter().flat_map(|upstream| upstream.requests()) {
        *ran.entry(request.body).or_default() += 1;
    }
    assert!(ran.values().all(|&times| times == 1), "expected each request to run once, ran: {ran:?}");
}
