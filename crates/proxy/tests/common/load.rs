//! A load of orders from several clients, counted, and the check that none of them ran twice.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use super::{Client, Message, Upstream, timed};

/// The clients of a load: how many orders each sent, and how many were answered with 200.
pub struct Load {
    clients: Vec<thread::JoinHandle<(usize, usize)>>,
    over: Arc<AtomicBool>,
}

impl Load {
    /// Starts clients that send orders, each with a body of its own, on a persistent connection until that closes, and
    /// then one more on a new connection, as the front opens none later in a drain; or until the load is over.
    pub fn start(address: SocketAddr, clients: usize) -> Self {
        let over = Arc::new(AtomicBool::new(false));
        let clients = (0..clients)
            .map(|client| {
                let over = Arc::clone(&over);
                thread::spawn(move || Self::send(address, client, &over))
            })
            .collect();
        Self { clients, over }
    }

    fn send(address: SocketAddr, number: usize, over: &AtomicBool) -> (usize, usize) {
        let (mut sent, mut served) = (0, 0);
        let mut client = Client::connect(address);
        while !over.load(Ordering::Relaxed) {
            let Some(answer) = Self::ask(&mut client, &format!("{number}-{sent}")) else {
                // It crossed the end of its connection, and counts as not sent.
                return Self::ask_anew(address, number, sent, served);
            };
            sent += 1;
            served += usize::from(answer.status() == 200);
            if answer.header("connection") == Some("close") {
                return Self::ask_anew(address, number, sent, served);
            }
            thread::sleep(Duration::from_millis(4));
        }
        (sent, served)
    }

    fn ask_anew(address: SocketAddr, number: usize, sent: usize, served: usize) -> (usize, usize) {
        let answer = Self::ask(&mut Client::connect(address), &format!("{number}-anew"));
        (sent + 1, served + usize::from(answer.is_some_and(|answer| answer.status() == 200)))
    }

    fn ask(client: &mut Client, body: &str) -> Option<Message> {
        client.0.write_all(&timed("order", body, 2.0)).ok()?;
        client.answer()
    }

    /// Ends it: orders answered at all, and those served.
    pub fn end(self) -> (usize, usize) {
        self.over.store(true, Ordering::Relaxed);
        let each = self.clients.into_iter().map(|client| client.join().expect("no panic"));
        each.fold((0, 0), |(sent, served), one| (sent + one.0, served + one.1))
    }
}

/// Checks that no body came to these upstreams twice.
pub fn assert_nothing_ran_twice(upstreams: &[&Upstream]) {
    let mut ran: BTreeMap<Vec<u8>, usize> = BTreeMap::new();
    for (_, request) in upstreams.iter().flat_map(|upstream| upstream.requests()) {
        *ran.entry(request.body).or_default() += 1;
    }
    assert!(ran.values().all(|&times| times == 1), "something ran twice");
}
