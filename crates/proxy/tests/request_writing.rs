//! Writing requests to upstreams: the exact bytes written, and when a request counts as completely written.

use std::cell::Cell;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::rc::Rc;
use std::time::Duration;

use balancer_proxy::connection::{Permit, WriteCheck, handshake};
use balancer_proxy::upstream::{Call, Progress, size_on_wire};
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::header::HeaderValue;
use hyper::{Method, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt, AsyncWriteExt, duplex};
use tokio::net::TcpStream;
use tokio::task::LocalSet;

/// Returns a request to an upstream with this method and body.
fn call(method: Method, body: &'static [u8]) -> Call {
    Call {
        key: (method == Method::POST).then(|| HeaderValue::from_static("k-1")),
        method,
        uri: Uri::from_static("/order?k=7f"),
        host: HeaderValue::from_static("origin.svc"),
        id: HeaderValue::from_static("r-1"),
        body: Bytes::from_static(body),
        must_not_repeat: false,
    }
}

/// Guards the boundary between requests that never ran and those that may have run: the size computed in advance must
/// equal the number of bytes written, so that a request with one byte missing is known to be incomplete.
#[test]
fn the_computed_size_equals_the_bytes_written() {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("starts");
    let calls = [call(Method::GET, b""), call(Method::POST, b""), call(Method::POST, b"instalments")];
    for call in calls {
        let request = call.request(Duration::from_millis(2500));
        let size = size_on_wire(&request, call.body.len());
        let written = runtime.block_on(async {
            let (near, mut far) = duplex(1 << 16);
            let (mut sender, connection) = http1::handshake::<_, Full<Bytes>>(TokioIo::new(near))
                .await
                .expect("the handshake writes no bytes");
            let upstream = async {
                let mut bytes = vec![0; size as usize];
                far.read_exact(&mut bytes).await.expect("as many bytes as computed arrive");
                far.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
                    .await
                    .expect("the request is written");
                let mut more = Vec::new();
                far.read_to_end(&mut more).await.expect("closed");
                bytes.len() + more.len()
            };
            let (answer, _, written) = tokio::join!(sender.send_request(request), connection, upstream);
            answer.expect("an answer");
            written
        });
        assert_eq!(written as u64, size, "bytes written and computed size differ for {:?}", call.method);
    }
}

/// Guards the boundary between requests that never ran and those that may have run for an attempt that is abandoned
/// while its request is being written: the request is complete only with its last byte.
#[test]
fn a_request_is_complete_only_with_its_last_byte() {
    let progress = Progress::default();
    assert!(!progress.is_complete() && !progress.has_begun());
    let written = Rc::new(Cell::new(0));
    progress.start(&written, 200);
    assert!(!progress.is_complete() && !progress.has_begun());
    written.set(199);
    assert!(!progress.is_complete() && progress.has_begun());
    written.set(200);
    assert!(progress.is_complete());
}

/// Guards against rejecting a connected socket because a socket option cannot be set, as TCP options cannot on a Unix
/// socket: the connection must still carry requests.
#[test]
fn a_socket_whose_options_cannot_be_set_carries_requests() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("starts");
    LocalSet::new().block_on(&runtime, async {
        let (near, far) = UnixStream::pair().expect("a socket pair");
        near.set_nonblocking(true).expect("an open socket");
        far.set_nonblocking(true).expect("an open socket");
        let near = TcpStream::from_std(OwnedFd::from(near).into()).expect("an open socket");
        let mut far = tokio::net::UnixStream::from_std(far).expect("an open socket");
        assert!(near.set_nodelay(true).is_err(), "expected the option to fail on a Unix socket");
        let mut connection =
            handshake(near, Permit::of(&Rc::default())).await.expect("the connection is established");
        let upstream = async {
            let mut head = [0; 64];
            assert!(far.read(&mut head).await.expect("the connection is open") > 0);
            far.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                .await
                .expect("the request is written");
        };
        let request = call(Method::GET, b"").request(Duration::from_millis(2500));
        let (answer, ()) = tokio::join!(connection.sender.send_request(request), upstream);
        assert_eq!(answer.expect("the request is answered").status(), StatusCode::OK);
    });
}

/// A write check that gives an attempt this much time left when writing begins and allows all further writes.
struct FixedTimeLeft(Duration);

impl WriteCheck for FixedTimeLeft {
    fn time_left_to_begin(&self) -> Option<Duration> {
        Some(self.0)
    }

    fn may_continue(&self) -> bool {
        true
    }
}

/// Guards against passing on a stale deadline when time passes between forming a request and writing it: `x-deadline`
/// holds the time left at the write, in as many bytes as the computed size assumes.
#[test]
fn the_deadline_passed_on_is_the_time_left_at_the_write() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("starts");
    let millis = Duration::from_millis;
    let cases = [
        (millis(2500), millis(2350), "2.350"),
        (millis(10_002), millis(9_870), "9.8700"),
        (millis(100), millis(0), "0.000"),
        (millis(1000), Duration::from_micros(999_999), "0.999"),
    ];
    for (formed, written, sent_deadline) in cases {
        LocalSet::new().block_on(&runtime, async {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            let near = TcpStream::connect(listener.local_addr().expect("the socket is bound"))
                .await
                .expect("accepted");
            let (mut far, _) = listener.accept().await.expect("a connection");
            let mut connection =
                handshake(near, Permit::of(&Rc::default())).await.expect("the connection is established");
            let call = call(Method::POST, b"instalments");
            let request = call.request(formed);
            let size = size_on_wire(&request, call.body.len());
            connection.gate.set(Box::new(FixedTimeLeft(written)));
            let upstream = async {
                let mut bytes = vec![0; size as usize];
                far.read_exact(&mut bytes).await.expect("as many bytes as computed arrive");
                far.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                    .await
                    .expect("the request is written");
                String::from_utf8(bytes).expect("valid UTF-8")
            };
            let (answer, text) = tokio::join!(connection.sender.send_request(request), upstream);
            assert_eq!(answer.expect("the request is answered").status(), StatusCode::OK);
            assert!(
                text.contains(&format!("\r\nx-deadline: {sent_deadline}\r\n")),
                "expected x-deadline {sent_deadline} in: {text}"
            );
            assert!(text.ends_with("\r\n\r\ninstalments"), "expected the body at the end of: {text}");
            assert_eq!(connection.written.get(), size);
        });
    }
}
