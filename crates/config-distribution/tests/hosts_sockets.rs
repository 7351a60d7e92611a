//! Transient errors of socket system calls: `accept` of a host, and connects, reads and writes of a child.

mod hosts_common;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use config_distribution::host::accept::Listener;
use config_distribution::origin::Bounds;
use hosts_common::disk::SharedDisk;
use hosts_common::in_process::{bind_listener, origin_host};
use hosts_common::{
    Directory, Follower, Process, document, get, publish, run_test, unique_address, wait_for,
};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

const EINTR: i32 = 4;
const ENOMEM: i32 = 12;
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;
const EPROTO: i32 = 71;
const EADDRNOTAVAIL: i32 = 99;
const ENETUNREACH: i32 = 101;
const ECONNABORTED: i32 = 103;
const ENOBUFS: i32 = 105;
const ETIMEDOUT: i32 = 110;
const EHOSTUNREACH: i32 = 113;

/// A listener whose next accepts fail with the error codes (errno) in `codes`.
struct FailingListener {
    listener: TcpListener,
    codes: RefCell<VecDeque<i32>>,
}

impl Listener for FailingListener {
    async fn accept(&self) -> io::Result<TcpStream> {
        let code = self.codes.borrow_mut().pop_front();
        match code {
            Some(code) => Err(io::Error::from_raw_os_error(code)),
            None => Ok(self.listener.accept().await?.0),
        }
    }
}

/// Starts an origin in the test process whose first accepts fail with these error codes (errno).
async fn origin_with_failing_accepts(codes: impl IntoIterator<Item = i32>) -> SocketAddr {
    let host = origin_host(&SharedDisk::default(), Bounds::default());
    let (listener, own) = bind_listener().await;
    let codes = RefCell::new(codes.into_iter().collect());
    spawn_local(host.run(FailingListener { listener, codes }, std::future::pending()));
    own
}

#[test]
fn failed_accepts_of_single_connections_do_not_delay_others() {
    run_test(async {
        let codes = [ECONNABORTED, EINTR, EPROTO, ENETUNREACH, EHOSTUNREACH];
        let origin = origin_with_failing_accepts(codes.into_iter().cycle().take(100)).await;
        let began = Instant::now();
        assert_eq!(publish(origin, "fleet", &document(1), "1").await, 1);
        let took = began.elapsed();
        assert!(took < Duration::from_secs(3), "expected an answer within 3 s, took {took:?}");
    });
}

#[test]
fn an_accept_that_fails_for_lack_of_descriptors_or_memory_is_retried() {
    run_test(async {
        let origin = origin_with_failing_accepts([EMFILE, ENFILE, ENOBUFS, ENOMEM]).await;
        assert_eq!(publish(origin, "fleet", &document(1), "1").await, 1);
        let mut child = Follower::start("api-1", &[origin], &["fleet"], 1);
        child.wait_for_index(1).await;
    });
}

/// Sends bytes on a new connection and nothing more; returns the time until the host closes it, and its answer.
async fn time_until_closed(to: SocketAddr, bytes_sent: &[u8]) -> (Duration, String) {
    let mut stream = TcpStream::connect(to).await.unwrap();
    stream.write_all(bytes_sent).await.unwrap();
    let began = Instant::now();
    let mut answer = Vec::new();
    let _ = wait_for("the connection to close", stream.read_to_end(&mut answer)).await;
    (began.elapsed(), String::from_utf8_lossy(&answer).into_owned())
}

#[test]
fn a_connection_with_an_incomplete_request_head_is_closed_within_three_seconds() {
    run_test(async {
        let directory = Directory::new("half-head");
        let origin = Process::origin(&directory, unique_address());
        let whole = "GET /configuration HTTP/1.1\r\nhost: x\r\n\r\n";
        let half = "GET /configuration HTTP/1.1\r\nho";
        let second = format!("{whole}{half}");
        let (first, later) = tokio::join!(
            time_until_closed(origin.address, half.as_bytes()),
            time_until_closed(origin.address, second.as_bytes())
        );
        assert!(first.0 < Duration::from_secs(3), "half a request head was not closed within 3 s: {first:?}");
        assert!(
            later.0 < Duration::from_secs(3),
            "half a second request head was not closed within 3 s: {later:?}"
        );
        assert_eq!((first.1.as_str(), later.1.matches("HTTP/1.1 200").count()), ("", 1));
    });
}

/// A connection that passes on one byte per read and write. If it carries a watch (not a report), its next read fails
/// with the error code set in `injected`.
struct FailingConnection {
    stream: TcpStream,
    is_watch: bool,
    has_written: bool,
    injected: Rc<InjectedError>,
}

/// Injects an error into the connection of a watch.
#[derive(Default)]
struct InjectedError {
    /// Error code (errno) of the next read; `None` reads normally.
    code: Cell<Option<i32>>,
    /// Waker of the last read.
    waker: Cell<Option<Waker>>,
}

impl InjectedError {
    /// Makes the next read of the watch fail with this error code (errno).
    fn inject(&self, code: i32) {
        self.code.set(Some(code));
        self.waker.take().into_iter().for_each(Waker::wake);
    }
}

impl AsyncRead for FailingConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        into: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_watch {
            if let Some(code) = self.injected.code.take() {
                return Poll::Ready(Err(io::Error::from_raw_os_error(code)));
            }
            self.injected.waker.set(Some(context.waker().clone()));
        }
        // Reads one byte at a time.
        let mut byte = [0];
        let mut buffer = ReadBuf::new(&mut byte);
        let read = Pin::new(&mut self.stream).poll_read(context, &mut buffer);
        into.put_slice(buffer.filled());
        read
    }
}

impl AsyncWrite for FailingConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        // A watch begins with a GET, a report with a POST.
        self.is_watch |= bytes.first() == Some(&b'G') && !self.has_written;
        self.has_written = true;
        let short = bytes.len().min(1);
        Pin::new(&mut self.stream).poll_write(context, &bytes[..short])
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

#[test]
fn a_broken_watch_is_reopened_and_continues_over_short_reads_and_writes() {
    run_test(async {
        let directory = Directory::new("breaking");
        let origin = Process::origin(&directory, unique_address());
        let (parent, injected) = (origin.address, Rc::new(InjectedError::default()));
        let injected_of_connections = Rc::clone(&injected);
        let connect = move |address| {
            let injected = Rc::clone(&injected_of_connections);
            async move {
                let stream = TcpStream::connect(address).await?;
                Ok(FailingConnection { stream, is_watch: false, has_written: false, injected })
            }
        };
        let mut child = Follower::with_connector("api-1", &[parent], &["fleet"], 1, connect);
        publish(parent, "fleet", &document(1), "1").await;
        child.wait_for_index(1).await;
        for (number, code) in (2..).zip([ETIMEDOUT, EHOSTUNREACH, ENETUNREACH]) {
            injected.inject(code);
            child.wait_for_connect(parent).await;
            publish(parent, "fleet", &document(number), &number.to_string()).await;
            child.wait_for_index(number).await;
            assert_eq!(child.body("fleet"), Some(document(number)));
            assert_eq!(injected.code.get(), None, "no read of the watch failed with the injected error");
        }
    });
}

#[test]
fn a_connect_that_fails_locally_is_retried() {
    run_test(async {
        let directory = Directory::new("connecting");
        let origin = Process::origin(&directory, unique_address());
        publish(origin.address, "fleet", &document(1), "1").await;
        let codes = [EADDRNOTAVAIL, ENOBUFS, EMFILE, ENFILE, ENOMEM, ENETUNREACH];
        let left = Rc::new(RefCell::new(VecDeque::from(codes)));
        let failing = Rc::clone(&left);
        let connect = move |address| {
            let code = failing.borrow_mut().pop_front();
            async move {
                match code {
                    Some(code) => Err(io::Error::from_raw_os_error(code)),
                    None => TcpStream::connect(address).await,
                }
            }
        };
        let mut child = Follower::with_connector("api-1", &[origin.address], &["fleet"], 1, connect);
        child.wait_for_index(1).await;
        assert!(left.borrow().is_empty());
        // The watch receives further updates, and reports use connections of their own.
        publish(origin.address, "fleet", &document(2), "2").await;
        child.wait_for_index(2).await;
        let status = get(origin.address, "/configuration/report").await.unwrap().1;
        assert!(status.is_object(), "{status}");
    });
}
