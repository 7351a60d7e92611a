//! Failed accepts: how each error is classified, and that a failure closes no other connection.

mod common;

use std::cell::{Cell, RefCell};
use std::io;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use balancer_proxy::server::{Accept, AcceptFailure};
use common::*;
use tokio::net::TcpStream;

/// A listener on which the accept of every third connection fails with `errno`. The connection is returned by the next
/// accept.
struct FailingListener {
    listener: tokio::net::TcpListener,
    errno: i32,
    /// Number of connections that have been taken from the listener.
    accepted: Cell<usize>,
    /// The connection whose accept failed, until the next accept returns it.
    pending: RefCell<Option<TcpStream>>,
}

impl Accept for FailingListener {
    async fn accept(&self) -> io::Result<TcpStream> {
        if let Some(stream) = self.pending.take() {
            return Ok(stream);
        }
        let stream = self.listener.accept().await?.0;
        self.accepted.set(self.accepted.get() + 1);
        if self.accepted.get().is_multiple_of(3) {
            self.pending.replace(Some(stream));
            return Err(io::Error::from_raw_os_error(self.errno));
        }
        Ok(stream)
    }
}

/// Starts a balancer on a listener of which every third accept fails with `errno`.
fn start_with_failing_accepts(errno: i32, configuration: &str) -> Balancer {
    Balancer::start_on(parsed(configuration), move |listener| FailingListener {
        listener,
        errno,
        accepted: Cell::default(),
        pending: RefCell::default(),
    })
}

/// Errors of an accept that do not affect connections which are already open, with examples of each class.
const ERRORS: [i32; 7] = [
    libc::ECONNABORTED,
    libc::EINTR,
    libc::EPROTO,
    libc::EHOSTUNREACH,
    libc::EMFILE,
    libc::ENOBUFS,
    libc::ENOMEM,
];

/// Runs `test` for each of [`ERRORS`] in parallel, each time with a balancer whose accepts fail with that error.
fn for_each_error(test: impl Fn(i32, Balancer) + Sync) {
    let upstream = Upstream::start(|_, _| ok("served"));
    let discovery = Discovery::start();
    let known = [endpoint("s-1", upstream.address, 0, "ready")];
    let text = configuration(discovery.address, &known, 30.0, 1024);
    thread::scope(|scope| {
        for errno in ERRORS {
            let (test, text) = (&test, &text);
            scope.spawn(move || test(errno, start_with_failing_accepts(errno, text)));
        }
    });
}

/// Guards the classification of the errors that accept(2) of Linux documents.
#[test]
fn accept_errors_are_classified() {
    let classes: [(AcceptFailure, &[i32]); 4] = [
        (
            AcceptFailure::Transient,
            &[
                libc::EAGAIN,
                libc::EWOULDBLOCK,
                libc::ECONNABORTED,
                libc::EINTR,
                libc::EPERM,
                libc::EPROTO,
                libc::ENETDOWN,
                libc::ENOPROTOOPT,
                libc::EHOSTDOWN,
                libc::ENONET,
                libc::EHOSTUNREACH,
                libc::EOPNOTSUPP,
                libc::ENETUNREACH,
                libc::ETIMEDOUT,
            ],
        ),
        (AcceptFailure::OutOfDescriptors, &[libc::EMFILE, libc::ENFILE]),
        (AcceptFailure::OutOfMemory, &[libc::ENOBUFS, libc::ENOMEM, libc::ENOSR]),
        (AcceptFailure::Unknown, &[libc::EBADF, libc::EFAULT, libc::EINVAL, libc::ENOTSOCK, 9999]),
    ];
    for (class, errors) in classes {
        for &errno in errors {
            assert_eq!(
                AcceptFailure::of(&io::Error::from_raw_os_error(errno)),
                class,
                "class of errno {errno}"
            );
        }
    }
    assert_eq!(AcceptFailure::of(&io::Error::other("no errno")), AcceptFailure::Unknown);
}

/// Guards the connections of other clients against a failed accept: all of them stay open, and the connection whose
/// accept failed is served by a later accept.
#[test]
fn a_failed_accept_closes_no_other_connection() {
    for_each_error(|errno, balancer| {
        let mut clients: Vec<Client> = Vec::new();
        for number in 0..60 {
            let mut client = balancer.client();
            let answer = client.try_ask("order", "one").map(|answer| answer.status());
            assert_eq!(
                answer,
                Some(200),
                "errno {errno}: status of the first request on connection {number}"
            );
            clients.push(client);
        }
        let second_answers = clients.iter_mut().map(|client| client.try_ask("order", "again"));
        let closed = second_answers.filter(Option::is_none).count();
        assert_eq!(
            closed, 0,
            "errno {errno}: number of connections that were closed before their second request"
        );
        drop(clients);
    });
}

/// Guards the connections of other clients against a failed accept during a drain: a connection stays open until an
/// answer on it announces the close, and a connection whose accept failed is served until the end of the drain.
#[test]
fn a_failed_accept_in_a_drain_closes_no_other_connection() {
    for_each_error(|errno, mut balancer| {
        let mut clients: Vec<Client> = (0..12).map(|_| balancer.client()).collect();
        let mut closing = vec![false; clients.len()];
        for client in &mut clients {
            assert_eq!(client.ask("order", "one").status(), 200);
        }
        balancer.stop();
        let drain_started_at = Instant::now();
        // The front continues to send requests for 400 ms after the drain has begun.
        while drain_started_at.elapsed() < Duration::from_millis(400) {
            let mut new = balancer.client();
            assert!(
                new.try_ask("order", "new").is_some(),
                "errno {errno}: a new connection got no answer during the drain"
            );
            for (client, closing) in clients.iter_mut().zip(&mut closing).filter(|(_, closing)| !**closing) {
                let answer = client.try_ask("order", "still");
                let answer =
                    answer.unwrap_or_else(|| panic!("errno {errno}: closed unannounced in the drain"));
                *closing = answer.header("connection") == Some("close");
            }
        }
        drop(clients);
    });
}

/// Channels for one pause of the program: the sender reports that the program is blocked, the receiver waits for the
/// signal to resume.
type Pause = (mpsc::Sender<()>, mpsc::Receiver<()>);

/// A listener that blocks the whole program after it has accepted a connection, once for each pause that was sent.
struct BlockingListener {
    listener: tokio::net::TcpListener,
    pauses: mpsc::Receiver<Pause>,
}

impl Accept for BlockingListener {
    async fn accept(&self) -> io::Result<TcpStream> {
        let stream = self.listener.accept().await?.0;
        if let Ok((blocked, resume)) = self.pauses.try_recv() {
            let _ = blocked.send(());
            let _ = resume.recv();
        }
        Ok(stream)
    }
}

/// Connects, and blocks the balancer as it accepts the connection until the returned sender gives the signal to resume.
fn connect_while_blocked(
    balancer: &Balancer,
    pause_sender: &mpsc::Sender<Pause>,
) -> (Client, mpsc::Sender<()>) {
    let ((blocked, is_blocked), (resume, resumed)) = (mpsc::channel(), mpsc::channel());
    pause_sender.send((blocked, resumed)).expect("the balancer is serving");
    let client = balancer.client();
    is_blocked.recv().expect("the balancer blocks in the accept");
    (client, resume)
}

/// Guards requests that arrive while the program is blocked: the connection that would be evicted next is not closed if
/// such a request is on it. The number of connections at which an eviction occurs depends on the socket budget, so the
/// test tries each number up to the first at which the balancer evicts one of the connections.
#[test]
fn a_request_that_arrives_during_a_pause_is_answered_before_its_connection_is_evicted() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let discovery = Discovery::start();
    let known = [endpoint("s-1", upstream.address, 0, "ready")];
    let text = configuration(discovery.address, &known, 30.0, 48);
    let mut draining = Vec::new();
    for count in 20.. {
        let (pause_sender, pauses) = mpsc::channel();
        let mut balancer =
            Balancer::start_on(parsed(&text), move |listener| BlockingListener { listener, pauses });
        let mut clients: Vec<Client> = (0..count).map(|_| balancer.client()).collect();
        // If the connections exceed the socket budget, the balancer evicts idle ones. On a busy machine it may evict
        // one before its client sends a request; the test then ends, as it does if the oldest connection is evicted.
        let all_answered = clients.iter_mut().all(|client| client.try_ask("order", "one").is_some());
        // The first connection has been idle for longest and is the first to be evicted.
        let oldest = &mut clients[0];
        oldest.0.set_nonblocking(true).expect("the socket option can be set");
        let closed = matches!(oldest.0.peek(&mut [0]), Ok(0));
        oldest.0.set_nonblocking(false).expect("the socket option can be set");
        if closed || !all_answered {
            assert!(
                count > 20,
                "expected more than 20 connections to fit into the socket budget, but {count} do not"
            );
            break;
        }
        // This connection sends nothing, so that the next one may be the first that exceeds the budget.
        let (_silent, resume) = connect_while_blocked(&balancer, &pause_sender);
        resume.send(()).expect("the balancer is blocked");
        let (_newest, resume) = connect_while_blocked(&balancer, &pause_sender);
        oldest.send_bytes(&order_followed_by(b""));
        resume.send(()).expect("the balancer is blocked");
        assert!(
            oldest.answer().is_some(),
            "the connection was closed although a request was on it, with {count} connections"
        );
        // The balancer drains while the next number of connections is tried.
        balancer.stop();
        draining.push(balancer);
    }
}
