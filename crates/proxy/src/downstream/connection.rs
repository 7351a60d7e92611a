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

use super::connection_set::Callers;
use super::health::HEALTH;
use super::response::respond;
use super::shutdown::Phase;
use super::socket::Socket;

/// How long a connection that has had no request waits for one once it should close: a caller writes it right after
/// its connection is up, but may be late itself. Together with [`DRAIN_LATE`] it ends before [`DRAIN_LAST`].
const UNUSED_GRACE: Duration = Duration::from_millis(300);
/// The same for one that gives way while descriptors are short, from its coming: many that bring nothing must not keep
/// out those that do, whose request is there as soon as they are up.
const EVICTED_GRACE: Duration = Duration::from_millis(50);
/// The first request of a connection must have come whole within this time: a peer that sends none is owed an
/// error or a close within 3 s, and holds a socket until then.
const FIRST_WITHIN: Duration = Duration::from_millis(2500);
/// The head of a later request must have come whole within this time of its first byte, for the same reason.
const HEAD_WITHIN: Duration = FIRST_WITHIN;
/// A connection that has carried a request is closed after this long without the next.
const IDLE_MOST: Duration = Duration::from_secs(60);
/// The body of a later request must come within this time of its head.
const BODY_WITHIN: Duration = Duration::from_secs(2);
/// How long a closed connection waits for its caller to close too, reading out what still comes: closing over unread
/// bytes would reset it and could take the answer along.
const LINGER: Duration = Duration::from_millis(300);
/// How long an answer may stand unread, once its connection is to be closed.
const UNREAD: Duration = Duration::from_secs(2);
/// Bytes of a request's head at most: more is no proper request, and many such must not fill the memory.
const HEAD_MOST: usize = 32 * 1024;

/// A caller's connection as seen from outside it.
pub(super) struct Link {
    pub(super) socket: Socket,
    /// A request has come on it whose answer is not yet out.
    pub(super) busy: Cell<bool>,
    /// It gives way to others.
    pub(super) evicted: Cell<bool>,
    /// Its request waits for an answer, and for nothing from the caller.
    pub(super) waiting: Cell<bool>,
    /// It has ever carried a request; asking for the health is none.
    pub(super) used: Cell<bool>,
    /// When it came.
    opened: Instant,
    /// When it came, or its latest answer was made.
    pub(super) since: Cell<Instant>,
    /// Closes it once it is between requests.
    pub(super) close: Notify,
}

impl Link {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            socket: Socket::of_requests(stream),
            busy: Cell::new(false),
            evicted: Cell::new(false),
            waiting: Cell::new(false),
            used: Cell::new(false),
            opened: Instant::now(),
            since: Cell::new(Instant::now()),
            close: Notify::new(),
        }
    }

    /// Until when a connection that is to be closed waits for a request that has not come whole: its first, which may
    /// be on its way, or one whose head is there in part.
    fn patience(&self) -> Option<Instant> {
        let (now, evicted) = (Instant::now(), self.evicted.get());
        if !self.used.get() {
            return Some(if evicted { self.opened + EVICTED_GRACE } else { now + UNUSED_GRACE });
        }
        let grace = if evicted { EVICTED_GRACE } else { UNUSED_GRACE };
        self.socket.head_since().map(|since| (since + HEAD_WITHIN).min(now + grace))
    }
}

pub(super) async fn connection(callers: &Rc<Callers>, link: &Rc<Link>) {
    if talk(callers, link).await == End::Closing {
        // Short of sockets it reads out what has come, and does not wait for more.
        link.socket
            .clone()
            .close(if callers.driver.pool().crowded() { Duration::ZERO } else { LINGER })
            .await;
    }
}

/// How the talk with a caller ended.
#[derive(Debug, PartialEq, Eq)]
enum End {
    /// In order: what was written must reach the caller.
    Closing,
    /// The caller has gone, or takes nothing more.
    Gone,
}

async fn talk(callers: &Rc<Callers>, link: &Rc<Link>) -> End {
    let socket = &link.socket;
    let service = service_fn(|request: Request<Incoming>| {
        let driver = &callers.driver;
        link.busy.set(true);
        socket.head_over(request.body().size_hint().exact());
        let first = !link.used.get();
        link.used.set(!first || request.uri().path() != HEALTH);
        let whole_by = if first { link.opened + FIRST_WITHIN } else { Instant::now() + BODY_WITHIN };
        let last = callers.last.get();
        async move {
            // Its attempt wants a socket too, which callers that only stand by must not keep from it.
            if driver.pool().crowded() {
                callers.make_room();
            }
            let client = socket.downgrade();
            let mut response = respond(driver, request, client, whole_by, last, link).await;
            socket.answered();
            link.busy.set(false);
            link.since.set(Instant::now());
            if *callers.phases.borrow() != Phase::Serving || driver.pool().full() || socket.spilled() {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
    });
    let mut server = http1::Builder::new();
    server.timer(TokioTimer::new()).header_read_timeout(IDLE_MOST).max_buf_size(HEAD_MOST);
    let mut served = pin!(server.serve_connection(TokioIo::new(socket.clone()), service));
    // The server does not look past bytes that it has no use for yet, and a caller's end may be behind them.
    let gone =
        || poll_fn(|context| if link.waiting.get() { socket.poll_gone(context) } else { Poll::Pending });
    let mut phases = callers.phases.clone();
    let closing = async {
        tokio::select! {
            // An error means that the program is ending.
            _ = phases.wait_for(|&phase| phase == Phase::Closing) => {}
            () = link.close.notified() => {}
            () = unused(link) => {}
            () = head_overdue(socket) => {}
        }
    };
    tokio::select! {
        biased;
        _ = served.as_mut() => return End::Closing,
        () = gone() => return End::Gone,
        () = closing => {}
    }
    // What came while the program was held up is in the socket, and the server has not been told of it.
    tokio::select! {
        biased;
        _ = served.as_mut() => return End::Closing,
        () = gone() => return End::Gone,
        () = heard_of(socket) => {}
    }
    // The server would end one that is not in a request at once, though one may be on its way, in the socket or there
    // in part: that one gets a moment, and its connection is then closed like the others.
    if let Some(until) = link.patience() {
        tokio::select! {
            biased;
            _ = served.as_mut() => return End::Closing,
            () = gone() => return End::Gone,
            () = sleep_until(until) => {}
        }
        if !link.used.get() {
            return End::Closing;
        }
    }
    // It ends now if it is between requests.
    served.as_mut().graceful_shutdown();
    tokio::select! {
        biased;
        _ = served.as_mut() => End::Closing,
        () = gone() => End::Gone,
        () = unread(link) => End::Gone,
    }
}

/// Waits until a connection's last answer has been there for its caller for long enough.
async fn unread(link: &Link) {
    loop {
        sleep_until(link.since.get() + UNREAD).await;
        if !link.busy.get() && link.since.get().elapsed() >= UNREAD {
            return;
        }
        sleep(UNREAD / 8).await;
    }
}

/// Waits until a connection has had its time for a first request, in vain.
async fn unused(link: &Link) {
    sleep_until(link.opened + FIRST_WITHIN).await;
    if link.used.get() {
        pending().await
    }
}

/// Waits until the runtime has heard from the system of what is in the socket.
async fn heard_of(socket: &Socket) {
    if !socket.is_silent() {
        yield_now().await;
    }
}

/// Waits until a part of a head has had its time, in vain.
async fn head_overdue(socket: &Socket) {
    loop {
        let due = socket.head_begins().await + HEAD_WITHIN;
        sleep_until(due).await;
        if socket.head_since().is_some_and(|since| since + HEAD_WITHIN <= Instant::now()) {
            return;
        }
    }
}
