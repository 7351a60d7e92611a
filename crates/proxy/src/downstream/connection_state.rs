//! A client's connection as seen from outside it: what it is at, when its time is over, and whether it may give way.

use std::cell::Cell;
use std::future::pending;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until};

use crate::socket::Socket;

/// How long a connection that has had no request waits for one once it should close: a client writes it right after
/// its connection is up, but may be late itself. Together with `shutdown::LATE_ACCEPT_PERIOD` it ends before
/// `shutdown::ANSWER_BEFORE_KILL`.
const UNUSED_GRACE: Duration = Duration::from_millis(300);
/// The same for one that gives way while descriptors are short, from its coming: many that bring nothing must not keep
/// out those that do, whose request is there as soon as they are up.
const EVICTED_GRACE: Duration = Duration::from_millis(50);
/// The first request of a connection must be complete within this time: a peer that sends none is owed an error or a
/// close within 3 s, and holds a socket until then.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// The head of a later request must be complete within this time of its first byte, for the same reason.
const HEAD_TIMEOUT: Duration = FIRST_REQUEST_TIMEOUT;
/// The body of a later request must be complete within this time of its head.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);
/// How long an answer may stand unread, once its connection is to be closed.
const UNREAD_ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// A client's connection.
pub(super) struct ClientConnection {
    pub(super) socket: Socket,
    /// A request has come on it whose answer is not yet out.
    pub(super) in_request: Cell<bool>,
    /// It gives way to others.
    evicted: Cell<bool>,
    /// Its request waits for an answer, and for nothing from the client.
    pub(super) awaiting_answer: Cell<bool>,
    /// It has ever carried a request; asking for the health is none.
    pub(super) has_carried_request: Cell<bool>,
    opened_at: Instant,
    /// When it came, or its latest answer was made.
    idle_since: Cell<Instant>,
    /// Closes it once it is between requests.
    close: Notify,
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

    /// A request's head has come; tells when the whole request must have.
    pub(super) fn begin_request(&self, body: Option<u64>, is_health_check: bool) -> Instant {
        self.in_request.set(true);
        self.socket.head_complete(body);
        let is_first = !self.has_carried_request.get();
        self.has_carried_request.set(!is_first || !is_health_check);
        if is_first { self.opened_at + FIRST_REQUEST_TIMEOUT } else { Instant::now() + BODY_TIMEOUT }
    }

    /// The answer to its request has been made, and is about to be written.
    pub(super) fn end_request(&self) {
        self.socket.response_ready();
        self.in_request.set(false);
        self.idle_since.set(Instant::now());
    }

    pub(super) fn may_be_evicted(&self) -> bool {
        !self.in_request.get() && !self.evicted.get()
    }

    /// Least for the one that gives way first: the longest idle, but one on which a request has begun to come last.
    pub(super) fn eviction_order(&self) -> (bool, Instant) {
        (self.socket.head_since().is_some(), self.idle_since.get())
    }

    /// Closes it once it is between requests. It is marked, so that the next in need finds another.
    pub(super) fn evict(&self) {
        self.evicted.set(true);
        self.close.notify_one();
    }

    /// Waits until it has been evicted. Cancel safe.
    pub(super) async fn evicted(&self) {
        self.close.notified().await;
    }

    /// Until when a connection that is to be closed waits for a request that has not come whole: its first, which may
    /// be on its way, or one whose head is there in part.
    pub(super) fn grace_until(&self) -> Option<Instant> {
        let (now, evicted) = (Instant::now(), self.evicted.get());
        if !self.has_carried_request.get() {
            return Some(if evicted { self.opened_at + EVICTED_GRACE } else { now + UNUSED_GRACE });
        }
        let grace = if evicted { EVICTED_GRACE } else { UNUSED_GRACE };
        self.socket.head_since().map(|since| (since + HEAD_TIMEOUT).min(now + grace))
    }

    /// Waits until it has had its time for a first request, in vain. Cancel safe.
    pub(super) async fn first_request_overdue(&self) {
        sleep_until(self.opened_at + FIRST_REQUEST_TIMEOUT).await;
        if self.has_carried_request.get() {
            pending::<()>().await;
        }
    }

    /// Waits until a part of a head has had its time, in vain. Cancel safe.
    pub(super) async fn head_overdue(&self) {
        loop {
            let due = self.socket.head_begins().await + HEAD_TIMEOUT;
            sleep_until(due).await;
            if self.socket.head_since().is_some_and(|since| since + HEAD_TIMEOUT <= Instant::now()) {
                return;
            }
        }
    }

    /// Waits until its last answer has been there for its client for long enough. Cancel safe.
    pub(super) async fn answer_left_unread(&self) {
        loop {
            sleep_until(self.idle_since.get() + UNREAD_ANSWER_TIMEOUT).await;
            if !self.in_request.get() && self.idle_since.get().elapsed() >= UNREAD_ANSWER_TIMEOUT {
                return;
            }
            sleep(UNREAD_ANSWER_TIMEOUT / 8).await;
        }
    }
}
