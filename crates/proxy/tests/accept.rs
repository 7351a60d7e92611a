//! Accepts that fail: what each error asks of the loop, and that it costs no other connection.

mod common;

use std::cell::{Cell, RefCell};
use std::io;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use balancer_proxy::server::{Accept, AcceptFailure};
use common::*;
use tokio::net::TcpStream;

/// A listener on which the accept of every third connection fails; the connection stays for the next one.
struct Failing {
    listener: tokio::net::TcpListener,
    errno: i32,
    accepted: Cell<usize>,
    /// Where an accept failed.
    waiting: RefCell<Option<TcpStream>>,
}

impl Accept for Failing {
    async fn accept(&self) -> io::Result<TcpStream> {
        if let Some(stream) = self.waiting.take() {
            return Ok(stream);
        }
        let stream = self.listener.accept().await?.0;
        self.accepted.set(self.accepted.get() + 1);
        if self.accepted.get().is_multiple_of(3) {
            self.waiting.replace(Some(stream));
            return Err(io::Error::from_raw_os_error(self.errno));
        }
        Ok(stream)
    }
}

/// A balancer behind such a listener.
fn start_failing(errno: i32, configuration: &str) -> Balancer {
    Balancer::start_on(parsed(configuration), move |listener| Failing {
        listener,
        errno,
        accepted: Cell::default(),
        waiting: RefCell::default(),
    })
}

/// Errors that say nothing about connections which are already up, one of each kind.
const ERRORS: [i32; 7] = [
    libc::ECONNABORTED,
    libc::EINTR,
    libc::EPROTO,
    libc::EHOSTUNREACH,
    libc::EMFILE,
    libc::ENOBUFS,
    libc::ENOMEM,
];

/// Runs a test for each of these errors side by side, each with a balancer whose accepts fail so.
fn beside_each_error(test: impl Fn(i32, Balancer) + Sync) {
    let upstream = Upstream::start(|_, _| ok("served"));
    let discovery = Discovery::start();
    let known = [endpoint("s-1", upstream.address, 0, "ready")];
    let text = configuration(discovery.address, &known, 30.0, 1024);
    thread::scope(|scope| {
        for errno in ERRORS {
            let (test, text) = (&test, &text);
            scope.spawn(move || test(errno, start_failing(errno, text)));
        }
    });
}

/// Guards the sorting of the errors that accept(2) of Linux documents.
#[test]
fn each_error_of_accept_has_its_kind() {
    let kinds: [(AcceptFailure, &[i32]); 4] = [
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
    for (kind, errors) in kinds {
        for &errno in errors {
            assert_eq!(AcceptFailure::of(&io::Error::from_raw_os_error(errno)), kind, "errno {errno}");
        }
    }
    assert_eq!(AcceptFailure::of(&io::Error::other("no errno")), AcceptFailure::Unknown);
}

/// Guards the connections of clients that have nothing to do with a failed accept: all stay open, and the connection
/// whose accept failed is served too.
#[test]
fn a_failed_accept_closes_no_other_connection() {
    beside_each_error(|errno, balancer| {
        let mut clients: Vec<Client> = Vec::new();
        for number in 0..60 {
            let mut client = balancer.client();
            let answer = client.try_ask("order", "one").map(|answer| answer.status());
            assert_eq!(answer, Some(200), "errno {errno}: connection {number}");
            clients.push(client);
        }
        let again = clients.iter_mut().map(|client| client.try_ask("order", "again"));
        let closed = again.filter(Option::is_none).count();
        assert_eq!(closed, 0, "errno {errno}: connections closed");
        drop(clients);
    });
}

/// Guards the same in a drain: a connection is kept until an answer on it says that it closes, and one whose accept
/// failed is served up to the end.
#[test]
fn a_failed_accept_in_a_drain_closes_no_other_connection() {
    beside_each_error(|errno, mut balancer| {
        let mut clients: Vec<Client> = (0..12).map(|_| balancer.client()).collect();
        let mut closing = vec![false; clients.len()];
        for client in &mut clients {
            assert_eq!(client.ask("order", "one").status(), 200);
        }
        balancer.stop();
        let began = Instant::now();
        // The front goes on dealing for so long.
        while began.elapsed() < Duration::from_millis(400) {
            let mut new = balancer.client();
            assert!(new.try_ask("order", "new").is_some(), "errno {errno}: a new connection");
            for (client, closing) in clients.iter_mut().zip(&mut closing).filter(|(_, closing)| !**closing) {
                let answer = client.try_ask("order", "still");
                let answer = answer.unwrap_or_else(|| panic!("errno {errno}: closed in the drain"));
                *closing = answer.header("connection") == Some("close");
            }
        }
        drop(clients);
    });
}

/// A turn to hold up the program: tells that it is held up, and hears when to go on.
type Turn = (mpsc::Sender<()>, mpsc::Receiver<()>);

/// A listener that holds up the whole program as it accepts a connection, once for each turn.
struct BlockingListener {
    listener: tokio::net::TcpListener,
    turns: mpsc::Receiver<Turn>,
}

impl Accept for BlockingListener {
    async fn accept(&self) -> io::Result<TcpStream> {
        let stream = self.listener.accept().await?.0;
        if let Ok((blocked, go_on)) = self.turns.try_recv() {
            let _ = blocked.send(());
            let _ = go_on.recv();
        }
        Ok(stream)
    }
}

/// Connects, and holds up the balancer as it accepts the connection until the returned sender says to go on.
fn connect_while_blocked(balancer: &Balancer, hold: &mpsc::Sender<Turn>) -> (Client, mpsc::Sender<()>) {
    let ((blocked, is_blocked), (go_on, goes_on)) = (mpsc::channel(), mpsc::channel());
    hold.send((blocked, goes_on)).expect("the balancer serves");
    let client = balancer.client();
    is_blocked.recv().expect("the balancer is held up");
    (client, go_on)
}

/// Guards requests that came while the program was held up: the connection that is to give way then is not closed over
/// one. How many connections it takes is the budget's, so that each number is played up to the first that closes one.
#[test]
fn a_request_that_came_in_a_hold_up_is_answered_before_its_connection_gives_way() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let discovery = Discovery::start();
    let known = [endpoint("s-1", upstream.address, 0, "ready")];
    let text = configuration(discovery.address, &known, 30.0, 48);
    let mut draining = Vec::new();
    for count in 20.. {
        let (hold, turns) = mpsc::channel();
        let mut balancer =
            Balancer::start_on(parsed(&text), move |listener| BlockingListener { listener, turns });
        let mut clients: Vec<Client> = (0..count).map(|_| balancer.client()).collect();
        // On a busy machine one of too many may be closed before it has asked.
        let served = clients.iter_mut().all(|client| client.try_ask("order", "one").is_some());
        // It has rested for longest, and is the first to give way.
        let oldest = &mut clients[0];
        oldest.0.set_nonblocking(true).expect("set");
        let closed = matches!(oldest.0.peek(&mut [0]), Ok(0));
        oldest.0.set_nonblocking(false).expect("set");
        if closed || !served {
            assert!(count > 20, "the budget is smaller than the test assumes");
            break;
        }
        // One that brings nothing, so that the newest may be the first to meet a budget that is short.
        let (_silent, go_on) = connect_while_blocked(&balancer, &hold);
        go_on.send(()).expect("the balancer is held up");
        let (_newest, go_on) = connect_while_blocked(&balancer, &hold);
        oldest.raw(&order_with(b""));
        go_on.send(()).expect("the balancer is held up");
        assert!(oldest.answer().is_some(), "closed over a request, beside {count} connections");
        // Its drain goes on beside the next number.
        balancer.stop();
        draining.push(balancer);
    }
}
