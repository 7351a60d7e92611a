//! The state of a client connection: whether a request is in progress, which timeouts apply, and whether it may be
//! evicted.

use std::cell::Cell;
use std::future::pending;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until};

use crate::memory::ByteBudget;
use crate::socket::Socket;

/// How long a connection that should close but has not carried a request waits for its first one. A client writes its
/// request right after connecting, but may itself be delayed. The sum of this and `shutdown::LATE_ACCEPT_PERIOD` ends
/// before `shutdown::ANSWER_BEFORE_KILL`.
const UNUSED_GRACE: Duration = Duration::from_millis(300);
/// The same grace period for a connection that is evicted because sockets are scarce, counted from its accept if it has
/// carried no request. It is shorter so that many connections without a request do not keep out clients that send
/// theirs right after connecting.
const EVICTED_GRACE: Duration = Duration::from_millis(50);
/// Time from the accept of a connection within which its first request must be complete. A client that sends no request
/// must get an error or a close within 3 s, and holds a socket until then.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time from the first byte of a later request within which its head must be complete, for the same reason as for the
/// first request.
const HEAD_TIMEOUT: Duration = FIRST_REQUEST_TIMEOUT;
/// Time from the end of a later request's head within which its body must be complete.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);
/// Idle time after which a connection that has carried a request is closed.
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Idle time after which a connection has no HTTP buffers any more.
const BUFFER_IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without progress after which a connection may have to give up its HTTP buffers.
const MIN_STALL: Duration = Duration::from_millis(20);
/// How long an answer may remain unread by the client once its connection is to be closed.
const UNREAD_ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// The state of a client connection.
pub(super) struct ClientConnection {
    pub(super) socket: Socket,
    /// Whether a request has been received whose answer is not ready yet.
    pub(super) in_request: Cell<bool>,
    /// Whether the connection has been evicted to free its socket.
    evicted: Cell<bool>,
    /// Whether the request has been read completely and its answer is awaited.
    pub(super) awaiting_answer: Cell<bool>,
    /// Whether the connection has carried a request; a health check alone does not count.
    pub(super) has_carried_request: Cell<bool>,
    /// Time since which the connection has HTTP buffers; `None` if it has none.
    pub(super) buffered_since: Cell<Option<Instant>>,
    /// Whether the body of a request is being received.
    pub(super) receiving_body: Cell<bool>,
    opened_at: Instant,
    /// Time at which the connection was accepted or, later, at which its latest answer was ready.
    idle_since: Cell<Instant>,
    /// Notified to close the connection once it is between requests.
    close: Notify,
    /// Notified to give up the HTTP buffers of an idle connection.
    release: Notify,
    /// Notified to give up a body that is being received.
    abandon_body: Notify,
}

impl ClientConnection {
    pub(super) fn new(stream: TcpStream, read_ahead: &ByteBudget) -> Self {
        Self {
            socket: Socket::for_server(stream, read_ahead),
            in_request: Cell::new(false),
            evicted: Cell::new(false),
            awaiting_answer: Cell::new(false),
            has_carried_request: Cell::new(false),
            buffered_since: Cell::new(None),
            receiving_body: Cell::new(false),
            opened_at: Instant::now(),
            idle_since: Cell::new(Instant::now()),
            close: Notify::new(),
            release: Notify::new(),
            abandon_body: Notify::new(),
        }
    }

    /// Records that the head of a request has been read. Returns the deadline for the rest of the request.
    pub(super) fn begin_request(&self, body: Option<u64>, is_health_check: bool) -> Instant {
        self.in_request.set(true);
        self.socket.head_complete(body);
        let is_first = !self.has_carried_request.get();
        self.has_carried_request.set(!is_first || !is_health_check);
        if is_first { self.opened_at + FIRST_REQUEST_TIMEOUT } else { Instant::now() + BODY_TIMEOUT }
    }

    /// Records that the answer to the request is ready and about to be written.
    pub(super) fn end_request(&self) {
        self.socket.response_ready();
        self.in_request.set(false);
        self.idle_since.set(Instant::now());
    }

    /// Whether the connection has neither a request in progress nor one that has been read and waits for its turn.
    pub(super) fn is_idle(&self) -> bool {
        !self.in_request.get() && !self.socket.may_hold_requests()
    }

    /// Whether the connection is idle and has not been evicted yet.
    pub(super) fn may_be_evicted(&self) -> bool {
        self.is_idle() && !self.evicted.get()
    }

    /// Sort key for evictions, the least of which is evicted first: connections on which no head has begun to arrive
    /// come before the others, and those idle for longest come first.
    pub(super) fn eviction_order(&self) -> (bool, Instant) {
        (self.socket.head_since().is_some(), self.idle_since.get())
    }

    /// Whether the connection could give up its HTTP buffers: it has some and has made no progress for a moment, and no
    /// request that has been read awaits its answer.
    pub(super) fn may_free_buffers(&self, now: Instant) -> bool {
        let progress = self.latest_progress();
        let awaits_input = self.is_idle() || self.receiving_body.get();
        awaits_input
            && !self.evicted.get()
            && !self.socket.is_write_blocked()
            && self.buffered_since.get().is_some()
            && now.saturating_duration_since(progress) >= MIN_STALL
    }

    /// Sort key for giving up HTTP buffers, the least of which is first: connections between requests come before those
    /// with a part of a request, and those without progress for longest come first.
    pub(super) fn buffer_order(&self) -> (bool, Instant) {
        (!self.is_between_requests(), self.latest_progress())
    }

    /// Gives up the HTTP buffers: a connection between requests stays open without them, and any other is closed with an
    /// answer that refuses its request.
    pub(super) fn free_buffers(&self) {
        if self.is_between_requests() {
            self.release.notify_one();
        } else {
            self.evict();
            self.abandon_body.notify_one();
        }
    }

    /// Waits until the body that is being received is to be given up. Cancel safe.
    pub(super) async fn body_abandoned(&self) {
        self.abandon_body.notified().await;
    }

    /// Waits until the HTTP buffers may be dropped, because the connection has been between requests for
    /// [`BUFFER_IDLE_TIMEOUT`] or its buffers are needed. It must be polled after the HTTP connection in the same task.
    /// Cancel safe.
    pub(super) async fn buffers_unused(&self) {
        loop {
            let is_needed = tokio::select! {
                () = self.release.notified() => true,
                () = sleep(BUFFER_IDLE_TIMEOUT) => false,
            };
            let is_due = is_needed || self.idle_since.get().elapsed() >= BUFFER_IDLE_TIMEOUT;
            if is_due && self.is_between_requests() && !self.socket.is_write_blocked() {
                return;
            }
        }
    }

    /// Waits until a connection without HTTP buffers has been idle for too long. Cancel safe.
    pub(super) async fn idle_overdue(&self) {
        sleep_until(self.idle_since.get() + IDLE_TIMEOUT).await;
    }

    /// Whether the connection is idle and no head has begun to arrive.
    fn is_between_requests(&self) -> bool {
        self.is_idle() && self.socket.head_since().is_none()
    }

    /// Time at which the latest byte arrived or the connection got its HTTP buffers.
    fn latest_progress(&self) -> Instant {
        let received_at = self.socket.received_at();
        self.buffered_since.get().map_or(received_at, |since| since.max(received_at))
    }

    /// Closes the connection once it is between requests. It is marked as evicted so that the next eviction chooses
    /// another.
    pub(super) fn evict(&self) {
        self.evicted.set(true);
        self.close.notify_one();
    }

    /// Waits until the connection has been evicted. Cancel safe.
    pub(super) async fn evicted(&self) {
        self.close.notified().await;
    }

    /// Until when a connection that is to be closed waits for a request that is not complete: its first request, which
    /// may be on its way, or a request whose head has been received in part. `None` if there is nothing to wait for.
    pub(super) fn grace_until(&self) -> Option<Instant> {
        let (now, evicted) = (Instant::now(), self.evicted.get());
        if !self.has_carried_request.get() {
            return Some(if evicted { self.opened_at + EVICTED_GRACE } else { now + UNUSED_GRACE });
        }
        let grace = if evicted { EVICTED_GRACE } else { UNUSED_GRACE };
        self.socket.head_since().map(|since| (since + HEAD_TIMEOUT).min(now + grace))
    }

    /// Waits until the timeout for the first request has expired without one. Cancel safe.
    pub(super) async fn first_request_overdue(&self) {
        sleep_until(self.opened_at + FIRST_REQUEST_TIMEOUT).await;
        if self.has_carried_request.get() {
            pending::<()>().await;
        }
    }

    /// Waits until the timeout of a partly received head has expired. Cancel safe.
    pub(super) async fn head_overdue(&self) {
        loop {
            let due = self.socket.head_begins().await + HEAD_TIMEOUT;
            sleep_until(due).await;
            if self.socket.head_since().is_some_and(|since| since + HEAD_TIMEOUT <= Instant::now()) {
                return;
            }
        }
    }

    /// Waits until the client has had [`UNREAD_ANSWER_TIMEOUT`] to read the latest answer. Cancel safe.
    pub(super) async fn unread_answer_overdue(&self) {
        loop {
            sleep_until(self.idle_since.get() + UNREAD_ANSWER_TIMEOUT).await;
            if !self.in_request.get() && self.idle_since.get().elapsed() >= UNREAD_ANSWER_TIMEOUT {
                return;
            }
            sleep(UNREAD_ANSWER_TIMEOUT / 8).await;
        }
    }
}
