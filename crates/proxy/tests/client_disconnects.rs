//! Clients that disconnect unnoticed by the runtime: the end of their stream has reached the socket, but the process
//! was suspended, or the task that reads the socket has not run yet. No attempt begins for them. The tests accept
//! requests without a task that reads the socket, so that only a query of the kernel can detect the disconnect.

mod common;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use balancer_proxy::event_loop::{Answer, EventLoop};
use balancer_proxy::socket::Socket;
use bytes::Bytes;
use common::*;
use serde_json::Value;
use socket2::SockRef;
use tokio::sync::oneshot;
use tokio::task::{spawn_local, yield_now};
use tokio::time::Instant;

/// How a client disconnects.
#[derive(Debug, Clone, Copy)]
enum Disconnect {
    /// The client closes its connection.
    Close,
    /// The client resets its connection.
    Reset,
    /// The client shuts down the sending side of its connection.
    HalfClose,
    /// The client sends more bytes after its request and then closes its connection.
    SendThenClose,
    /// The client sends more requests than are read ahead and then closes its connection.
    SendMuchThenClose,
}

/// Requests that a client sends behind its first one: more than are read ahead, and few enough for the system to hold.
fn many_requests() -> Vec<u8> {
    b"GET /read HTTP/1.1\r\n\r\n".repeat(3000)
}

const DISCONNECTS: [Disconnect; 5] = [
    Disconnect::Close,
    Disconnect::Reset,
    Disconnect::HalfClose,
    Disconnect::SendThenClose,
    Disconnect::SendMuchThenClose,
];

/// A client's end of its connection, `None` once it is closed. It is shared so that an upstream's script can disconnect
/// the client.
#[derive(Clone)]
struct Client(Arc<Mutex<Option<TcpStream>>>);

impl Client {
    /// Connects a client. Returns it and the balancer's end of its connection.
    fn connect() -> (Self, Socket) {
        let (client, socket) = connected_pair();
        (Self(Arc::new(Mutex::new(Some(client)))), socket)
    }

    fn disconnect(&self, kind: Disconnect) {
        let mut connection = self.0.lock().expect("the lock is not poisoned");
        let mut stream = connection.take().expect("the client is still connected");
        match kind {
            Disconnect::Close => {}
            Disconnect::Reset => SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("option set"),
            Disconnect::HalfClose => {
                stream.shutdown(Shutdown::Write).expect("the connection is open");
                *connection = Some(stream);
            }
            Disconnect::SendThenClose => stream.write_all(b"GET /read HTTP/1.1\r\n").expect("open"),
            Disconnect::SendMuchThenClose => stream.write_all(&many_requests()).expect("open"),
        }
    }
}

/// Runs a test on a runtime of its own, with an event loop that knows the endpoints `known`.
fn drive_with(known: &[Value], test: impl AsyncFnOnce(&Rc<EventLoop>)) {
    let discovery = Discovery::start();
    let text = configuration(discovery.address, known, 50.0, 1024);
    drive(&with_dial_timeout(&text, HANG_TIMEOUT.as_secs_f64()), test);
}

/// Passes a request of this class to the event loop, from the client at the other end of `socket`.
fn accept_from(event_loop: &Rc<EventLoop>, class: &str, socket: &Socket) -> oneshot::Receiver<Answer> {
    accept(event_loop, class, Bytes::new(), socket, Instant::now() + HANG_TIMEOUT)
}

/// Disconnects a client, and waits until the kernel reports the disconnect on the balancer's end.
fn disconnect_and_wait(client: &Client, socket: &Socket, kind: Disconnect) {
    client.disconnect(kind);
    wait_for("the kernel reports the disconnect", || socket.has_ended().then_some(()));
}

/// Guards the detection of disconnects, on which the other tests of this file depend: it queries the kernel, whatever
/// events the runtime has received, and leaves bytes that arrived before the end of the stream for the HTTP code.
#[test]
fn a_disconnect_is_detected_without_the_runtime() {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("the runtime starts");
    runtime.block_on(async {
        for kind in DISCONNECTS {
            let (client, mut socket) = Client::connect();
            assert!(!socket.has_ended(), "reported as ended before {kind:?}");
            disconnect_and_wait(&client, &socket, kind);
            let sent = match kind {
                Disconnect::SendThenClose => b"GET /read HTTP/1.1\r\n".to_vec(),
                Disconnect::SendMuchThenClose => many_requests(),
                _ => Vec::new(),
            };
            if !sent.is_empty() {
                let mut bytes = Vec::new();
                tokio::io::AsyncReadExt::read_to_end(&mut socket, &mut bytes)
                    .await
                    .expect("the bytes before the end can be read");
                assert!(bytes == sent, "{kind:?}: expected {} bytes, got {}", sent.len(), bytes.len());
            }
            let weak = socket.downgrade();
            drop(socket);
            assert!(weak.has_ended(), "a connection closed on this side has no client");
        }
    });
}

/// Guards clients that stay connected, even if they have sent bytes of the next request after the first one.
#[test]
fn a_client_that_stays_connected_is_served() {
    let upstream = Upstream::start(|_, _| ok("served"));
    drive_with(&[endpoint("s-1", upstream.address, 0, "ready")], async |event_loop| {
        let (client, socket) = Client::connect();
        client
            .0
            .lock()
            .expect("the lock is not poisoned")
            .as_mut()
            .expect("the connection is open")
            .write_all(b"GET /")
            .expect("the connection is open");
        let answer = accept_from(event_loop, "order", &socket).await;
        assert_eq!(answer, Ok(Answer::Served(Bytes::from_static(b"served"))));
    });
}

/// Guards first attempts, on a new connection and on a reused one: none begins after the client has disconnected.
#[test]
fn a_first_attempt_does_not_begin_for_a_disconnected_client() {
    for kind in DISCONNECTS {
        let upstream = Upstream::start(|_, _| ok("served"));
        drive_with(&[endpoint("s-1", upstream.address, 0, "ready")], async |event_loop| {
            let (client, socket) = Client::connect();
            disconnect_and_wait(&client, &socket, kind);
            assert!(
                accept_from(event_loop, "order", &socket).await.is_err(),
                "{kind:?}: answered on a new connection"
            );
            let (_staying_client, staying_socket) = Client::connect();
            assert!(accept_from(event_loop, "read", &staying_socket).await.is_ok());
            assert!(
                accept_from(event_loop, "read", &socket).await.is_err(),
                "{kind:?}: answered on a reused connection"
            );
        });
        assert_eq!(upstream.requests().len(), 1, "{kind:?}: number of attempts");
    }
}

/// Guards the last step before a request is written: the client disconnects after its request was handed to the
/// connection, but before the connection has written it.
#[test]
fn a_disconnect_between_hand_over_and_write_is_detected() {
    for kind in DISCONNECTS {
        let upstream = Upstream::start(|_, _| ok("served"));
        drive_with(&[endpoint("s-1", upstream.address, 0, "ready")], async |event_loop| {
            let (client, socket) = Client::connect();
            assert!(accept_from(event_loop, "read", &socket).await.is_ok());
            wait_until_connection_idle().await;
            let answer = accept_from(event_loop, "read", &socket);
            // This task runs after the attempt, and before the connection task that the attempt wakes.
            spawn_local(async move { disconnect_and_wait(&client, &socket, kind) });
            assert!(answer.await.is_err(), "{kind:?}: answered");
        });
        assert_eq!(
            (upstream.requests().len(), upstream.connections()),
            (1, 1),
            "{kind:?}: requests and connections"
        );
    }
}

/// Guards attempts whose connection is established after their client has disconnected: they do not begin.
#[test]
fn an_attempt_that_waits_for_a_connection_does_not_begin_for_a_disconnected_client() {
    std::thread::scope(|scope| {
        for kind in DISCONNECTS {
            scope.spawn(move || {
                let late = LateUpstream::start();
                drive_with(&[endpoint("s-1", late.address, 0, "ready")], async |event_loop| {
                    let (client, socket) = Client::connect();
                    let answer = accept_from(event_loop, "order", &socket);
                    while connecting(late.address).is_empty() {
                        yield_now().await;
                    }
                    disconnect_and_wait(&client, &socket, kind);
                    let upstream = late.serve(|_, _| ok("served"));
                    assert!(answer.await.is_err(), "{kind:?}: answered");
                    assert_eq!(upstream.requests().len(), 0, "{kind:?}: number of attempts");
                });
            });
        }
    });
}

/// Guards retries: the client disconnects during its first attempt, which then fails in a way that allows a retry.
#[test]
fn a_retry_does_not_begin_for_a_disconnected_client() {
    for kind in DISCONNECTS {
        for (class, reply) in [
            ("order", status("503 Full\r\nX-Not-Run: 1")),
            ("read", Reply::Last(Vec::new())),
            ("pay", Reply::Last(Vec::new())),
        ] {
            let client_to_disconnect: Arc<Mutex<Option<Client>>> = Arc::default();
            let failing = || {
                let (client_to_disconnect, reply) = (Arc::clone(&client_to_disconnect), reply.clone());
                Upstream::start(move |_, _| {
                    if let Some(client) =
                        client_to_disconnect.lock().expect("the lock is not poisoned").take()
                    {
                        client.disconnect(kind);
                    }
                    reply.clone()
                })
            };
            let (first, second) = (failing(), failing());
            let known =
                [endpoint("s-1", first.address, 4, "ready"), endpoint("s-2", second.address, 4, "ready")];
            drive_with(&known, async |event_loop| {
                let (client, socket) = Client::connect();
                client_to_disconnect.lock().expect("the lock is not poisoned").replace(client);
                assert!(
                    accept_from(event_loop, class, &socket).await.is_err(),
                    "{kind:?}, {class}: answered"
                );
            });
            assert_eq!(
                first.requests().len() + second.requests().len(),
                1,
                "{kind:?}, {class}: number of attempts"
            );
        }
    }
}

/// Guards the rest of a request: if the client disconnects when a part of the request has been written, the last byte
/// is never written.
#[test]
fn the_rest_of_a_request_is_not_written_for_a_disconnected_client() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port can be bound");
    let address = listener.local_addr().expect("the listener is bound");
    let known = [endpoint("s-1", address, 0, "ready")];
    // The small receive buffer keeps the body from being written at once.
    SockRef::from(&listener).set_recv_buffer_size(1024).expect("the socket option can be set");
    drive_with(&known, async |event_loop| {
        let (client, socket) = Client::connect();
        let body = Bytes::from(vec![b'x'; 8 << 20]);
        let size = body.len();
        let answer = accept(event_loop, "order", body, &socket, Instant::now() + HANG_TIMEOUT);
        let accepted = tokio::task::spawn_blocking(move || {
            let (mut stream, _) = listener.accept().expect("the balancer connects");
            stream.read_exact(&mut [0; 64]).expect("the request has begun");
            stream
        });
        let stream = accepted.await.expect("the thread does not panic");
        disconnect_and_wait(&client, &socket, Disconnect::Close);
        let read = tokio::task::spawn_blocking(move || read_until_closed(stream).len());
        assert!(answer.await.is_err());
        assert!(
            read.await.expect("the thread does not panic") + 64 < size,
            "expected a truncated request, got all {size} bytes"
        );
    });
}
