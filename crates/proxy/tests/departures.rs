//! Clients that leave while nobody looks: the end of their connection lies in its socket, but the process was held up,
//! or the task that reads it has not had its turn. No attempt begins for them. Requests are accepted here with no such
//! task at all, so that the system alone can tell.

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

/// How a client leaves.
#[derive(Debug, Clone, Copy)]
enum Departure {
    Close,
    Reset,
    EndOfSending,
    CloseBehindMore,
}

const DEPARTURES: [Departure; 4] =
    [Departure::Close, Departure::Reset, Departure::EndOfSending, Departure::CloseBehindMore];

/// A client's side of its connection. Shared, so that an upstream's script can let it leave.
#[derive(Clone)]
struct Client(Arc<Mutex<Option<TcpStream>>>);

impl Client {
    /// A client, and the balancer's side of its connection.
    fn connect() -> (Self, Socket) {
        let (client, near) = connected_pair();
        (Self(Arc::new(Mutex::new(Some(client)))), near)
    }

    fn leave(&self, how: Departure) {
        let mut connection = self.0.lock().expect("no panic");
        let mut stream = connection.take().expect("it is still there");
        match how {
            Departure::Close => {}
            Departure::Reset => SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("set"),
            Departure::EndOfSending => {
                stream.shutdown(Shutdown::Write).expect("up");
                *connection = Some(stream);
            }
            Departure::CloseBehindMore => stream.write_all(b"GET /read HTTP/1.1\r\n").expect("up"),
        }
    }
}

/// Runs a test on a runtime of its own, with an event loop that has these upstreams.
fn drive_with(known: &[Value], test: impl AsyncFnOnce(&Rc<EventLoop>)) {
    let discovery = Discovery::start();
    let text = configuration(discovery.address, known, 50.0, 1024);
    drive(&with_dial_timeout(&text, LONG.as_secs_f64()), test);
}

/// Hands over a request of this class for the client at the other end of `near`.
fn accept_from(event_loop: &Rc<EventLoop>, class: &str, near: &Socket) -> oneshot::Receiver<Answer> {
    accept(event_loop, class, Bytes::new(), near, Instant::now() + LONG)
}

/// Lets a client leave, and waits until the system has heard of it.
fn depart(client: &Client, near: &Socket, how: Departure) {
    client.leave(how);
    wait_for("the system has heard of the departure", || near.has_ended().then_some(()));
}

/// Guards what everything else here rests on: the system is asked, whatever the runtime has heard, and what came before
/// the end is left for the HTTP code.
#[test]
fn a_departure_is_seen_without_the_runtime() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("starts");
    runtime.block_on(async {
        for how in DEPARTURES {
            let (client, mut near) = Client::connect();
            assert!(!near.has_ended(), "{how:?}");
            depart(&client, &near, how);
            if matches!(how, Departure::CloseBehindMore) {
                let mut bytes = [0; 64];
                let read = tokio::io::AsyncReadExt::read(&mut near, &mut bytes).await.expect("still there");
                assert_eq!(&bytes[..read], b"GET /read HTTP/1.1\r\n");
            }
            let weak = near.downgrade();
            drop(near);
            assert!(weak.has_ended(), "a connection closed on this side has no client");
        }
    });
}

/// Guards clients that stay, also with bytes of a next request behind the first one.
#[test]
fn a_client_that_stays_is_served() {
    let upstream = Upstream::start(|_, _| ok("served"));
    drive_with(&[endpoint("s-1", upstream.address, 0, "ready")], async |event_loop| {
        let (client, near) = Client::connect();
        client.0.lock().expect("no panic").as_mut().expect("up").write_all(b"GET /").expect("up");
        let answer = accept_from(event_loop, "order", &near).await;
        assert_eq!(answer, Ok(Answer::Served(Bytes::from_static(b"served"))));
    });
}

/// Guards first attempts, on a new connection and on a reused one.
#[test]
fn a_first_attempt_does_not_begin_for_a_client_that_left() {
    for how in DEPARTURES {
        let upstream = Upstream::start(|_, _| ok("served"));
        drive_with(&[endpoint("s-1", upstream.address, 0, "ready")], async |event_loop| {
            let (client, near) = Client::connect();
            depart(&client, &near, how);
            assert!(accept_from(event_loop, "order", &near).await.is_err(), "{how:?}, on a new connection");
            let (_stays, at_hand) = Client::connect();
            assert!(accept_from(event_loop, "read", &at_hand).await.is_ok());
            assert!(accept_from(event_loop, "read", &near).await.is_err(), "{how:?}, on a reused connection");
        });
        assert_eq!(upstream.requests().len(), 1, "{how:?}");
    }
}

/// Guards the last step: the client leaves when its request was already handed to the connection, which has not
/// written it yet.
#[test]
fn a_departure_between_hand_over_and_write_is_seen() {
    for how in DEPARTURES {
        let upstream = Upstream::start(|_, _| ok("served"));
        drive_with(&[endpoint("s-1", upstream.address, 0, "ready")], async |event_loop| {
            let (client, near) = Client::connect();
            assert!(accept_from(event_loop, "read", &near).await.is_ok());
            wait_for_rest().await;
            let answer = accept_from(event_loop, "read", &near);
            // Runs after the attempt, and before the connection that the attempt wakes.
            spawn_local(async move { depart(&client, &near, how) });
            assert!(answer.await.is_err(), "{how:?}");
        });
        assert_eq!((upstream.requests().len(), upstream.connections()), (1, 1), "{how:?}");
    }
}

/// Guards attempts whose connection comes up after their client has left.
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
                    assert!(answer.await.is_err(), "{how:?}");
                    assert_eq!(upstream.requests().len(), 0, "{how:?}");
                });
            });
        }
    });
}

/// Guards retries: the client leaves while its first attempt is out, which then fails in a way that allows another.
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
                    if let Some(client) = leaving.lock().expect("no panic").take() {
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
                leaving.lock().expect("no panic").replace(client);
                assert!(accept_from(event_loop, class, &near).await.is_err(), "{how:?}, {class}");
            });
            assert_eq!(first.requests().len() + second.requests().len(), 1, "{how:?}, {class}");
        }
    }
}

/// Guards the rest of a request: its client leaves when a part of it is out, and the last byte is never written.
#[test]
fn the_rest_of_a_request_does_not_follow_for_a_client_that_left() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    let known = [endpoint("s-1", address, 0, "ready")];
    // So little room that a body does not go out at once.
    SockRef::from(&listener).set_recv_buffer_size(1024).expect("set");
    drive_with(&known, async |event_loop| {
        let (client, near) = Client::connect();
        let body = Bytes::from(vec![b'x'; 8 << 20]);
        let size = body.len();
        let answer = accept(event_loop, "order", body, &near, Instant::now() + LONG);
        let accepted = tokio::task::spawn_blocking(move || {
            let (mut stream, _) = listener.accept().expect("a connection");
            stream.read_exact(&mut [0; 64]).expect("it has begun");
            stream
        });
        let stream = accepted.await.expect("no panic");
        depart(&client, &near, Departure::Close);
        let read = tokio::task::spawn_blocking(move || all_of(stream).len());
        assert!(answer.await.is_err());
        assert!(read.await.expect("no panic") + 64 < size, "the whole of it came");
    });
}
