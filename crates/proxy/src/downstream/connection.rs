//! One client's connection: its requests are read and answered one at a time, and it ends so that an answer arrives.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::{pending, poll_fn};
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use hyper::Request;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, sleep_until};

use super::connection_set::ConnectionSet;
use super::health::HEALTH_PATH;
use super::response::respond;
use super::shutdown::Phase;
use super::socket::Socket;

/// How long a connection that has had no request waits for one once it should close: a client writes it right after
/// its connection is up, but may be late itself. Together with `shutdown::LATE_ACCEPT_PERIOD` it ends before
/// `shutdown::ANSWER_BEFORE_KILL`.
const UNUSED_GRACE: Duration = Duration::from_millis(300);
/// The same for one that gives way while descriptors are short, from its coming: many that bring nothing must not keep
/// out those that do, whose request is there as soon as they are up.
const EVICTED_GRACE: Duration = Duration::from_millis(50);
/// The first request of a connection must have come whole within this time: a peer that sends none is owed an
/// error or a close within 3 s, and holds a socket until then.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// The head of a later request must have come whole within this time of its first byte, for the same reason.
const HEAD_TIMEOUT: Duration = FIRST_REQUEST_TIMEOUT;
/// A connection that has carried a request is closed after this long without the next.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// The body of a later request must come within this time of its head.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a closed connection waits for its client to close too, reading out what still comes: closing over unread
/// bytes would reset it and could take the answer along.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);
/// How long an answer may stand unread, once its connection is to be closed.
const UNREAD_ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Bytes of a request's head at most: more is no proper request, and many such must not fill the memory.
const HEAD_MAX_BYTES: usize = 32 * 1024;

/// A client's connection as seen from outside it.
pub(super) struct ClientConnection {
    pub(super) socket: Socket,
    /// A request has come on it whose answer is not yet out.
    pub(super) in_request: Cell<bool>,
    /// It gives way to others.
    pub(super) evicted: Cell<bool>,
    /// Its request waits for an answer, and for nothing from the client.
    pub(super) awaiting_answer: Cell<bool>,
    /// It has ever carried a request; asking for the health is none.
    pub(super) has_carried_request: Cell<bool>,
    /// When it came.
    opened_at: Instant,
    /// When it came, or its latest answer was made.
    pub(super) idle_since: Cell<Instant>,
    /// Closes it once it is between requests.
    pub(super) close: Notify,
}

impl ClientConnection {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            socket: Socket::of_requests(stream),
            in_request: Cell::new(false),
            evicted: Cell::new(false),
            awaiting_answer: Cell::new(false),
            has_carried_request: Cell::new(false),
            opened_at: Instant::now(),
            idle_since: Cell::new(Instant::now()),
            close: Notify::new(),
        }
    }

    /// Until when a connection that is to be closed waits for a request that has not come whole: its first, which may
    /// be on its way, or one whose head is there in part.
    fn grace_until(&self) -> Option<Instant> {
        let (now, evicted) = (Instant::now(), self.evicted.get());
        if !self.has_carried_request.get() {
            return Some(if evicted { self.opened_at + EVICTED_GRACE } else { now + UNUSED_GRACE });
        }
        let grace = if evicted { EVICTED_GRACE } else { UNUSED_GRACE };
        self.socket.head_since().map(|since| (since + HEAD_TIMEOUT).min(now + grace))
    }
}

pub(super) async fn handle_connection(connections: &Rc<ConnectionSet>, connection: &Rc<ClientConnection>) {
    if serve_requests(connections, connection).await == Ending::InOrder {
        // Short of sockets it reads out what has come, and does not wait for more.
        connection
            .socket
            .clone()
            .close(if connections.driver.pool().crowded() { Duration::ZERO } else { LINGER_TIMEOUT })
            .await;
    }
}

/// How the talk with a client ended.
#[derive(Debug, PartialEq, Eq)]
enum Ending {
    /// In order: what was written must reach the client.
    InOrder,
    /// The client has gone, or takes nothing more.
    ClientGone,
}

async fn serve_requests(connections: &Rc<ConnectionSet>, connection: &Rc<ClientConnection>) -> Ending {
    let socket = &connection.socket;
    let service = service_fn(|request: Request<Incoming>| {
        let driver = &connections.driver;
        connection.in_request.set(true);
        socket.head_complete(request.body().size_hint().exact());
        let first = !connection.has_carried_request.get();
        connection.has_carried_request.set(!first || request.uri().path() != HEALTH_PATH);
        let complete_by =
            if first { connection.opened_at + FIRST_REQUEST_TIMEOUT } else { Instant::now() + BODY_TIMEOUT };
        let answer_by = connections.answer_by.get();
        async move {
            // Its attempt wants a socket too, which clients that only stand by must not keep from it.
            if driver.pool().crowded() {
                connections.evict_idle_connection();
            }
            let client = socket.downgrade();
            let mut response = respond(driver, request, client, complete_by, answer_by, connection).await;
            socket.response_ready();
            connection.in_request.set(false);
            connection.idle_since.set(Instant::now());
            if *connections.phases.borrow() != Phase::Serving || driver.pool().full() || socket.overflowed() {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
    });
    let mut server = http1::Builder::new();
    server.timer(TokioTimer::new()).header_read_timeout(IDLE_TIMEOUT).max_buf_size(HEAD_MAX_BYTES);
    let mut served = pin!(server.serve_connection(TokioIo::new(socket.clone()), service));
    // The server does not look past bytes that it has no use for yet, and a client's end may be behind them.
    let gone = || {
        poll_fn(
            |context| {
                if connection.awaiting_answer.get() { socket.poll_gone(context) } else { Poll::Pending }
            },
        )
    };
    let mut phases = connections.phases.clone();
    let closing = async {
        tokio::select! {
            // An error means that the program is ending.
            _ = phases.wait_for(|&phase| phase == Phase::Closing) => {}
            () = connection.close.notified() => {}
            () = first_request_overdue(connection) => {}
            () = head_overdue(socket) => {}
        }
    };
    tokio::select! {
        biased;
        _ = served.as_mut() => return Ending::InOrder,
        () = gone() => return Ending::ClientGone,
        () = closing => {}
    }
    // What came while the program was held up is in the socket, and the server has not been told of it.
    tokio::select! {
        biased;
        _ = served.as_mut() => return Ending::InOrder,
        () = gone() => return Ending::ClientGone,
        () = runtime_catches_up(socket) => {}
    }
    // The server would end one that is not in a request at once, though one may be on its way, in the socket or there
    // in part: that one gets a moment, and its connection is then closed like the others.
    if let Some(until) = connection.grace_until() {
        tokio::select! {
            biased;
            _ = served.as_mut() => return Ending::InOrder,
            () = gone() => return Ending::ClientGone,
            () = sleep_until(until) => {}
        }
        if !connection.has_carried_request.get() {
            return Ending::InOrder;
        }
    }
    // It ends now if it is between requests.
    served.as_mut().graceful_shutdown();
    tokio::select! {
        biased;
        _ = served.as_mut() => Ending::InOrder,
        () = gone() => Ending::ClientGone,
        () = answer_left_unread(connection) => Ending::ClientGone,
    }
}

/// Waits until a connection's last answer has been there for its client for long enough.
async fn answer_left_unread(connection: &ClientConnection) {
    loop {
        sleep_until(connection.idle_since.get() + UNREAD_ANSWER_TIMEOUT).await;
        if !connection.in_request.get() && connection.idle_since.get().elapsed() >= UNREAD_ANSWER_TIMEOUT {
            return;
        }
        sleep(UNREAD_ANSWER_TIMEOUT / 8).await;
    }
}

/// Waits until a connection has had its time for a first request, in vain.
async fn first_request_overdue(connection: &ClientConnection) {
    sleep_until(connection.opened_at + FIRST_REQUEST_TIMEOUT).await;
    if connection.has_carried_request.get() {
        pending().await
    }
}

/// Waits until the runtime has heard from the system of what is in the socket.
async fn runtime_catches_up(socket: &Socket) {
    if !socket.is_silent() {
        yield_now().await;
    }
}

/// Waits until a part of a head has had its time, in vain.
async fn head_overdue(socket: &Socket) {
    loop {
        let due = socket.head_begins().await + HEAD_TIMEOUT;
        sleep_until(due).await;
        if socket.head_since().is_some_and(|since| since + HEAD_TIMEOUT <= Instant::now()) {
            return;
        }
    }
}
