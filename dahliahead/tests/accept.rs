//! Accepts that fail: what each error asks of the loop, and that it costs no other connection.

mod common;

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use common::*;
use dahliahead::config::Config;
use dahliahead::server::{self, Accept, AcceptFailure};
use tokio::net::TcpStream;
use tokio::sync::oneshot;

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

/// A balancer behind such a listener; it drains once the sender is dropped.
fn start_failing(errno: i32, configuration: &str) -> (SocketAddr, oneshot::Sender<()>, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.set_nonblocking(true).expect("set");
    let address = listener.local_addr().expect("bound");
    let config = Config::parse(configuration, |_| None).expect("a sound configuration");
    let (stop, stopped) = oneshot::channel();
    let thread = thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("starts");
        let served = tokio::task::LocalSet::new().block_on(&runtime, async {
            let listener = tokio::net::TcpListener::from_std(listener)?;
            let failing = Failing { listener, errno, accepted: Cell::default(), waiting: RefCell::default() };
            let stop = async {
                let _ = stopped.await;
            };
            server::serve_on(failing, config, stop).await
        });
        served.expect("serves");
    });
    (address, stop, thread)
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
    let upstream = Upstream::start(|_, _| ok("served"));
    let discovery = Discovery::start();
    let known = [endpoint("s-1", upstream.address, 0, "ready")];
    thread::scope(|scope| {
        for errno in ERRORS {
            let text = configuration(discovery.address, &known, 30.0, 1024);
            scope.spawn(move || {
                let (address, stop, thread) = start_failing(errno, &text);
                let mut kept: Vec<Caller> = Vec::new();
                for number in 0..60 {
                    let mut caller = Caller::connect(address);
                    let answer = caller.try_ask("order", "one").map(|answer| answer.status());
                    assert_eq!(answer, Some(200), "errno {errno}: connection {number}");
                    kept.push(caller);
                }
                let again = kept.iter_mut().map(|caller| caller.try_ask("order", "again"));
                let closed = again.filter(Option::is_none).count();
                assert_eq!(closed, 0, "errno {errno}: connections closed");
                drop((kept, stop));
                thread.join().expect("no panic");
            });
        }
    });
}

/// Guards the same in a drain: a connection is kept until an answer on it says that it closes, and one whose accept
/// failed is served up to the end.
#[test]
fn a_failed_accept_in_a_drain_closes_no_other_connection() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let discovery = Discovery::start();
    let known = [endpoint("s-1", upstream.address, 0, "ready")];
    thread::scope(|scope| {
        for errno in ERRORS {
            let text = configuration(discovery.address, &known, 30.0, 1024);
            scope.spawn(move || {
                let (address, stop, thread) = start_failing(errno, &text);
                let mut kept: Vec<Caller> = (0..12).map(|_| Caller::connect(address)).collect();
                let mut told = vec![false; kept.len()];
                for caller in &mut kept {
                    assert_eq!(caller.ask("order", "one").status(), 200);
                }
                drop(stop);
                let began = Instant::now();
                // The front goes on dealing for so long.
                while began.elapsed() < Duration::from_millis(400) {
                    let mut new = Caller::connect(address);
                    assert!(new.try_ask("order", "new").is_some(), "errno {errno}: a new connection");
                    for (caller, told) in kept.iter_mut().zip(&mut told).filter(|(_, told)| !**told) {
                        let answer = caller.try_ask("order", "still");
                        let answer = answer.unwrap_or_else(|| panic!("errno {errno}: closed in the drain"));
                        *told = answer.header("connection") == Some("close");
                    }
                }
                drop(kept);
                thread.join().expect("no panic");
            });
        }
    });
}
