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
enum Departure {
    /// The client closes its connection.
    Close,
    /// The client resets its connection.
    Reset,
    /// The client shuts down the sending side of its connection.
    EndOfSending,
    /// The client sends more bytes after its request and then closes its connection.
    CloseBehindMore,
}

const DEPARTURES: [Departure; 4] =
    [Departure::Close, Departure::Reset, Departure::EndOfSending, Departure::CloseBehindMore];

/// A client's end of its connection, `None` once it is closed. It is shared so that an upstream's script can disconnect
/// the client.
#[derive(Clone)]
struct Client(Arc<Mutex<Option<TcpStream>>>);

impl Client {
    /// Connects a client. Returns it and the balancer's end of its connection.
    fn connect() -> (Self, Socket) {
        let (client, near) = connected_pair();
        (Self(Arc::new(Mutex::new(Some(client)))), near)
    }

    fn leave(&self, how: Departure) {
        let mut connection = self.0.lock().expect("the lock is not poisoned");
        let mut stream = connection.take().expect("the client is still connected");
        match how {
            Departure::Close => {}
            Departure::Reset => SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("option set"),
            Departure::EndOfSending => {
                stream.shutdown(Shutdown::Write).expect("the connection is open");
                *connection = Some(stream);
            }
            Departure::CloseBehindMore => stream.write_all(b"GET /read HTTP/1.1\r\n").expect("open"),
        }
    }
}

/// Runs a test on a runtime of its own, with an event loop that knows the endpoints `known`.
fn drive_with(known: &[Value], test: impl AsyncFnOnce(&Rc<EventLoop>)) {
    let discovery = Discovery::start();
    let text = configuration(discovery.address, known, 50.0, 1024);
    drive(&with_dial_timeout(&text, LONG.as_secs_f64()), test);
}

/// Passes a request of this class to the event loop, from the client at the other end of `near`.
fn accept_from(event_loop: &Rc<EventLoop>, class: &str, near: &Socket) -> oneshot::Receiver<Answer> {
    accept(event_loop, class, Bytes::new(), near, Instant::now() + LONG)
}

/// Disconnects a client, and waits until the kernel reports the disconnect on the balancer's end.
fn depart(client: &Client, near: &Socket, how: Departure) {
    client.leave(how);
    wait_for("the kernel reports the disconnect", || near.has_ended().then_some(()));
}

/// Guards the detection of disconnects, on which the other tests of this file depend: it queries the kernel, whatever
/// events the runtime has received, and leaves bytes that arrived before the end of the stream for the HTTP code.
#[test]
fn a_departure_is_seen_without_the_runtime() {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("the runtime starts");
    runtime.block_on(async {
        for how in DEPARTURES {
            let (client, mut near) = Client::connect();
            assert!(!near.has_ended(), "reported as ended before {how:?}");
            depart(&client, &near, how);
            if matches!(how, Departure::CloseBehindMore) {
                let mut bytes = [0; 64];
                let read = tokio::io::AsyncReadExt::read(&mut near, &mut bytes)
                    .await
                    .expect("the bytes before the end can be read");
                assert_eq!(&bytes[..read], b"GET /read HTTP/1.1\r\n");
            }
            let weak = near.downgrade();
            drop(near);
            assert!(weak.has_ended(), "a connection closed on this side has no client");
        }
    });
}

/// Guards clients that stay connected, even if they have sent bytes of the next request after the first one.
#[test]
fn a_client_that_stays_is_served() {
    let upstream = Upstream::start(|_, _| ok("served"));
    drive_with(&[endpoint("s-1", upstream.address, 0, "ready")], async |event_loop| {
        let (client, near) = Client::connect();
        client
            .0
            .lock()
            .expect("the lock is not poisoned")
            .as_mut()
            .expect("the connection is open")
            .write_all(b"GET /")
            .expect("the connection is open");
        let answer = accept_from(event_loop, "order", &near).await;
        assert_eq!(answer, Ok(Answer::Served(Bytes::from_static(b"served"))));
    });
}

/// Guards first attempts, on a new connection and on a reused one: none begins after the client has disconnected.
#[test]
fn a_first_attempt_does_not_begin_for_a_client_that_left() {
    for how in DEPARTURES {
        let upstream = Upstream::start(|_, _| ok("served"));
        drive_with(&[endpoint("s-1", upstream.address, 0, "ready")], async |event_loop| {
            let (client, near) = Client::connect();
            depart(&client, &near, how);
            assert!(
                accept_from(event_loop, "order", &near).await.is_err(),
                "{how:?}: answered on a new connection"
            );
            let (_stays, at_hand) = Client::connect();
            assert!(accept_from(event_loop, "read", &at_hand).await.is_ok());
            assert!(
                accept_from(event_loop, "read", &near).await.is_err(),
                "{how:?}: answered on a reused connection"
            );
        });
        assert_eq!(upstream.requests().len(), 1, "{how:?}: number of attempts");
    }
}

/// Guards the last step before a request is written: the client disconnects after its request was handed to the
/// connection, but before the connection has written it.
#[test]
fn a_departure_between_hand_over_and_write_is_seen() {
    for how in DEPARTURES {
        let upstream = Upstream::start(|_, _| ok("served"));
        drive_with(&[endpoint("s-1", upstream.address, 0, "ready")], async |event_loop| {
            let (client, near) = Client::connect();
            assert!(accept_from(event_loop, "read", &near).await.is_ok());
            wait_for_rest().await;
            let answer = accept_from(event_loop, "read", &near);
            // This task runs after the attempt, and before the connection task that the attempt wakes.
            spawn_local(async move { depart(&client, &near, how) });
            assert!(answer.await.is_err(), "{how:?}: answered");
        });
        assert_eq!(
            (upstream.requests().len(), upstream.connections()),
            (1, 1),
            "{how:?}: requests and connections"
        );
    }
}

/// Guards attempts whose connection is established after their client has disconnected: they do not begin.
#[test]
fn an_attempt_that_waits_for_a_connection_does_not_begin_for_a_client_that_left() {
    std::thread::scope(|scope| {
        for how in DEPARTURES {
            scope.spawn(move || {
                let late = LateUpstream::start();
                drive_with(&[endpoint("s-1", late.address, 0, "ready")], async |event_loop| {
                    let (client, near) = Client::connect();
                    let answer = accept_from(event_loop, "order", &near);
                    while connecting(late.address).is_empty() {
                        yield_now().await;
                    }
                    depart(&client, &near, how);
                    let upstream = late.serve(|_, _| ok("served"));
                    assert!(answer.await.is_err(), "{how:?}: answered");
                    assert_eq!(upstream.requests().len(), 0, "{how:?}: number of attempts");
                });
            });
        }
    });
}

/// Guards retries: the client disconnects during its first attempt, which then fails in a way that allows a retry.
#[test]
fn a_retry_does_not_begin_for_a_client_that_left() {
    for how in DEPARTURES {
        for (class, reply) in [
            ("order", status("503 Full\r\nX-Not-Run: 1")),
            ("read", Reply::Last(Vec::new())),
            ("pay", Reply::Last(Vec::new())),
        ] {
            let leaving: Arc<Mutex<Option<Client>>> = Arc::default();
            let failing = || {
                let (leaving, reply) = (Arc::clone(&leaving), reply.clone());
                Upstream::start(move |_, _| {
                    if let Some(client) = leaving.lock().expect("the lock is not poisoned").take() {
                        client.leave(how);
                    }
                    reply.clone()
                })
            };
            let (first, second) = (failing(), failing());
            let known =
                [endpoint("s-1", first.address, 4, "ready"), endpoint("s-2", second.address, 4, "ready")];
            drive_with(&known, async |event_loop| {
                let (client, near) = Client::connect();
                leaving.lock().expect("the lock is not poisoned").replace(client);
                assert!(accept_from(event_loop, class, &near).await.is_err(), "{how:?}, {class}: answered");
            });
            assert_eq!(
                first.requests().len() + second.requests().len(),
                1,
                "{how:?}, {class}: number of attempts"
            );
        }
    }
}

/// Guards the rest of a request: if the client disconnects when a part of the request has been written, the last byte
/// is never written.
#[test]
fn the_rest_of_a_request_does_not_follow_for_a_client_that_left() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port can be bound");
    let address = listener.local_addr().expect("the listener is bound");
    let known = [endpoint("s-1", address, 0, "ready")];
    // The small receive buffer keeps the body from being written at once.
    SockRef::from(&listener).set_recv_buffer_size(1024).expect("the socket option can be set");
    drive_with(&known, async |event_loop| {
        let (client, near) = Client::connect();
        let body = Bytes::from(vec![b'x'; 8 << 20]);
        let size = body.len();
        let answer = accept(event_loop, "order", body, &near, Instant::now() + LONG);
        let accepted = tokio::task::spawn_blocking(move || {
            let (mut stream, _) = listener.accept().expect("the balancer connects");
            stream.read_exact(&mut [0; 64]).expect("the request has begun");
            stream
        });
        let stream = accepted.await.expect("the thread does not panic");
        depart(&client, &near, Departure::Close);
        let read = tokio::task::spawn_blocking(move || all_of(stream).len());
        assert!(answer.await.is_err());
        assert!(
            read.await.expect("the thread does not panic") + 64 < size,
            "expected a truncated request, got all {size} bytes"
        );
    });
}
