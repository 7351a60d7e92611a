//! Callers: their connections and requests, `/_health`, and the end of the program.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::{Future, pending, poll_fn};
use std::io;
use std::path::PathBuf;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use balancer_policy::interface::{ClassId, Effect, RequestId, TenantId};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HOST, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::{TokioIo, TokioTimer};
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, watch};
use tokio::task::{spawn_local, yield_now};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use crate::config::Config;
use crate::configuration::Offered;
use crate::driver::{Answer, Driver, Taken};
use crate::socket::{Socket, WeakSocket};
use crate::upstream::{BODY_MOST, Call};

/// Taken off a caller's time: the answer must arrive before it is up.
const MARGIN: Duration = Duration::from_millis(30);
/// Left to the decisions for a last word past that, before the answer is given for them.
const LAST_WORD: Duration = Duration::from_millis(10);
/// Where the front asks whether it may send here.
const HEALTH: &str = "/_health";
/// After SIGTERM the platform kills no sooner than the longest deadline, counted as this where it is longer...
const KILL_COUNTS: Duration = Duration::from_secs(3);
/// ...and this much more.
const KILL_EXTRA: Duration = Duration::from_millis(700);
/// How long connections stay open after SIGTERM at the least: the front goes on sending for 0.4 s.
const DRAIN_OPEN: Duration = Duration::from_millis(500);
/// Before the earliest kill by this much, each answer closes its connection and idle ones are closed: until then
/// clients go on using theirs, and may have no other balancer.
const DRAIN_TAIL: Duration = Duration::from_millis(900);
/// Before the earliest kill by this much, what came after SIGTERM must have its answer.
const DRAIN_LAST: Duration = Duration::from_millis(350);
/// How long new connections are let in after that at the least.
const DRAIN_LATE: Duration = Duration::from_millis(150);
/// How long a connection that has had no request waits for one once it should close: a caller writes it right after
/// its connection is up, but may be late itself. Together with [`DRAIN_LATE`] it ends before [`DRAIN_LAST`].
const UNUSED_GRACE: Duration = Duration::from_millis(300);
/// The same for one that gives way while descriptors are short, from its coming: many that bring nothing must not keep
/// out those that do, whose request is there as soon as they are up.
const EVICTED_GRACE: Duration = Duration::from_millis(50);
/// How long no connection must have been open before the program ends: a caller whose request crossed the close of
/// its connection comes with a new one.
const DRAIN_QUIET: Duration = Duration::from_millis(50);
/// How often the end of a drain is looked for.
const DRAIN_LOOK: Duration = Duration::from_millis(10);
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
/// Wait after an accept that failed for want of something, and between looks for room, so that this does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);
/// For how long accepts must have failed for want of a descriptor before a connection gives way: an attempt or a close
/// that is under way frees one sooner, and costs nobody a connection.
const SHORTAGE_LASTS: Duration = Duration::from_millis(25);
/// Accepts that may fail in a row before the loop waits, whatever the reason: enough for a burst of connections that
/// were given up in the queue, few enough that a listener that only fails does not spin.
const FAILURES_AT_ONCE: u32 = 16;
/// How often a failed accept is logged at most, or the log would cost more than the trouble.
const FAILURE_LOGGED: Duration = Duration::from_secs(1);
/// Idle connections closed at each such look: with [`ACCEPT_PAUSE`] a thousand in a second or so.
const EVICTED_TOGETHER: usize = 4;

/// Where the program stands between SIGTERM and its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Serving,
    /// Each answer closes its connection, and idle ones are closed.
    Closing,
}

/// Where callers' connections come from.
pub trait Accept {
    /// The next connection. Nothing is lost if it is not waited for.
    fn accept(&self) -> impl Future<Output = io::Result<TcpStream>>;
}

impl Accept for TcpListener {
    async fn accept(&self) -> io::Result<TcpStream> {
        Ok(Self::accept(self).await?.0)
    }
}

/// What a failed accept asks of the accept loop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcceptFailure {
    /// It concerns the one connection, or the one call: the next accept may follow at once.
    Transient,
    /// The process or the system has no descriptor left; the connection stays in the queue.
    OutOfDescriptors,
    /// The system is short of memory: the next accept waits a moment, and closing a connection would not help.
    OutOfMemory,
    /// None that is known here. It may come again at once, so that the next accept waits as well.
    Unknown,
}

impl AcceptFailure {
    /// Sorts an error of accept(2). Linux also passes on network errors that were pending on the new socket.
    #[must_use]
    pub fn of(error: &io::Error) -> Self {
        match error.raw_os_error() {
            Some(libc::EMFILE | libc::ENFILE) => Self::OutOfDescriptors,
            Some(libc::ENOBUFS | libc::ENOMEM | libc::ENOSR) => Self::OutOfMemory,
            Some(
                libc::EAGAIN
                | libc::ECONNABORTED
                | libc::ECONNRESET
                | libc::EHOSTDOWN
                | libc::EHOSTUNREACH
                | libc::EINTR
                | libc::ENETDOWN
                | libc::ENETUNREACH
                | libc::ENONET
                | libc::ENOPROTOOPT
                | libc::EOPNOTSUPP
                | libc::EPERM
                | libc::EPROTO
                | libc::ETIMEDOUT,
            ) => Self::Transient,
            _ => Self::Unknown,
        }
    }
}

/// The accepts that failed since the last one that succeeded.
#[derive(Debug, Default)]
struct FailedAccepts {
    in_a_row: u32,
    /// When the latest failed, also before one that succeeded.
    latest: Option<Instant>,
    /// Since when descriptors have been short.
    short_since: Option<Instant>,
    /// When one was last logged.
    logged: Option<Instant>,
}

/// What the accept loop does about a failed accept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct AcceptReaction {
    evict: bool,
    pause: bool,
}

impl FailedAccepts {
    fn succeeded(&mut self) {
        self.in_a_row = 0;
        self.short_since = None;
    }

    fn failed(&mut self, error: &io::Error) -> AcceptReaction {
        self.log(error);
        self.in_a_row += 1;
        self.latest = Some(Instant::now());
        let failure = AcceptFailure::of(error);
        let evict = failure == AcceptFailure::OutOfDescriptors
            && self.short_since.get_or_insert_with(Instant::now).elapsed() >= SHORTAGE_LASTS;
        let pause = failure != AcceptFailure::Transient || self.in_a_row >= FAILURES_AT_ONCE;
        AcceptReaction { evict, pause }
    }

    fn log(&mut self, error: &io::Error) {
        if self.logged.is_none_or(|at| at.elapsed() >= FAILURE_LOGGED) {
            crate::log(format_args!("a connection could not be accepted: {error}"));
            self.logged = Some(Instant::now());
        }
    }
}

/// A caller's connection as seen from outside it.
struct Link {
    socket: Socket,
    /// A request has come on it whose answer is not yet out.
    busy: Cell<bool>,
    /// It gives way to others.
    evicted: Cell<bool>,
    /// Its request waits for an answer, and for nothing from the caller.
    waiting: Cell<bool>,
    /// It has ever carried a request; asking for the health is none.
    used: Cell<bool>,
    /// When it came.
    opened: Instant,
    /// When it came, or its latest answer was made.
    since: Cell<Instant>,
    /// Closes it once it is between requests.
    close: Notify,
}

impl Link {
    fn new(stream: TcpStream) -> Self {
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

/// The callers' connections.
struct Callers {
    driver: Rc<Driver>,
    phases: watch::Receiver<Phase>,
    /// By the order of their coming.
    links: RefCell<BTreeMap<u64, Rc<Link>>>,
    next: Cell<u64>,
    /// After SIGTERM: when what still comes must be answered.
    last: Cell<Option<Instant>>,
}

impl Callers {
    fn accept(self: &Rc<Self>, stream: TcpStream) {
        if self.driver.pool().crowded() {
            self.make_room();
        }
        let link = Rc::new(Link::new(stream));
        let number = self.next.get();
        self.next.set(number + 1);
        self.links.borrow_mut().insert(number, Rc::clone(&link));
        // Counted from here on, or a burst of connections would not see itself.
        let permit = self.driver.pool().reserved_permit();
        let callers = Rc::clone(self);
        spawn_local(async move {
            connection(&callers, &link).await;
            callers.links.borrow_mut().remove(&number);
            drop((link, permit));
        });
    }

    /// The next connection, once there is a descriptor for it that neither discovery nor an attempt may need. Nothing
    /// is lost if it is not waited for.
    async fn next(&self, listener: &impl Accept) -> io::Result<TcpStream> {
        while self.driver.pool().full() {
            // A few at a time: each may take its moment to close.
            for _ in 0..EVICTED_TOGETHER {
                self.make_room();
            }
            sleep(ACCEPT_PAUSE).await;
        }
        listener.accept().await
    }

    /// Closes the connection that has stood idle for longest: a caller's, which costs it a new one at most,
    /// or else one to an upstream. One on which a request has begun to come goes last.
    fn make_room(&self) {
        let links = self.links.borrow();
        let idle = links.values().filter(|link| !link.busy.get() && !link.evicted.get());
        if let Some(link) = idle.min_by_key(|link| (link.socket.head_since().is_some(), link.since.get())) {
            // Marked, so that the next in need finds another.
            link.evicted.set(true);
            link.close.notify_one();
        } else {
            self.driver.pool().make_room();
        }
    }

    fn is_draining(&self) -> bool {
        self.last.get().is_some()
    }

    /// Connections on which an answer may still be owed, and those of them in a request.
    fn owed(&self) -> (usize, usize) {
        let links = self.links.borrow();
        let used = links.values().filter(|link| link.used.get());
        (used.clone().count(), used.filter(|link| link.busy.get()).count())
    }

    fn log_drain(&self, stopped: Instant) {
        let ((open, busy), since) = (self.owed(), stopped.elapsed());
        crate::log(format_args!(
            "{} ms into the drain: {open} callers, {busy} in a request",
            since.as_millis()
        ));
    }
}

/// Binds the address of the configuration and serves until `stop` and the drain after it are over.
///
/// # Errors
/// The address is not free, or the settings make no sense.
pub async fn serve(config: Config, stop: impl Future<Output = ()>) -> io::Result<()> {
    let listener = TcpListener::bind(config.listen).await?;
    crate::log(format_args!("{} listens on {}", config.name, listener.local_addr()?));
    serve_on(listener, config, stop).await
}

/// Serves on a listener until `stop` and the drain after it are over.
///
/// # Errors
/// The settings make no sense.
pub async fn serve_on(
    listener: impl Accept,
    config: Config,
    stop: impl Future<Output = ()>,
) -> io::Result<()> {
    let path = config.path.clone();
    let driver = Driver::start(config).map_err(io::Error::other)?;
    // The platform goes by the settings of the start.
    let longest = driver.longest();
    if let Some(path) = path {
        spawn_local(reload(Rc::clone(&driver), path, signal(SignalKind::hangup())?));
    }
    let (phase, phases) = watch::channel(Phase::Serving);
    let callers = Rc::new(Callers {
        driver,
        phases,
        links: RefCell::new(BTreeMap::new()),
        next: Cell::new(0),
        last: Cell::new(None),
    });
    let mut failed = FailedAccepts::default();
    accept_until(&listener, &callers, &mut failed, stop).await;
    // The front still sends here, and clients keep their connections: go on as before for as long as is safe.
    let stopped = Instant::now();
    let kill = longest.min(KILL_COUNTS) + KILL_EXTRA;
    callers.last.set(Some(stopped + kill.saturating_sub(DRAIN_LAST)));
    callers.log_drain(stopped);
    let open = kill.saturating_sub(DRAIN_TAIL).max(DRAIN_OPEN);
    accept_until(&listener, &callers, &mut failed, sleep(open)).await;
    let _ = phase.send(Phase::Closing);
    callers.log_drain(stopped);
    accept_until(&listener, &callers, &mut failed, sleep(DRAIN_LATE)).await;
    // Connections that carried a request end with its answer, and one that has not yet may have it in the socket
    // until its own time is over; a caller that never takes its answer must not hold up the end.
    let mut quiet = Instant::now();
    while quiet.elapsed() < DRAIN_QUIET && stopped.elapsed() < callers.driver.longest() + DRAIN_OPEN {
        accept_until(&listener, &callers, &mut failed, sleep(DRAIN_LOOK)).await;
        if !callers.links.borrow().is_empty() {
            quiet = Instant::now();
        }
        // What an accept failed to take may still stand in the queue.
        quiet = failed.latest.map_or(quiet, |latest| quiet.max(latest));
    }
    callers.log_drain(stopped);
    Ok(())
}

/// On each SIGHUP takes over where discovery listens. A file that makes no sense changes nothing.
async fn reload(driver: Rc<Driver>, path: PathBuf, mut hangup: Signal) {
    while hangup.recv().await.is_some() {
        match Config::discovery_now(&path) {
            Ok(address) => driver.move_discovery(address),
            Err(error) => crate::log(format_args!("not reloaded: {error}")),
        }
    }
}

async fn accept_until(
    listener: &impl Accept,
    callers: &Rc<Callers>,
    failed: &mut FailedAccepts,
    until: impl Future<Output = ()>,
) {
    let mut until = pin!(until);
    loop {
        let accepted = tokio::select! {
            biased;
            // First: in a flood there is always another connection, and this would never be looked at.
            () = until.as_mut() => return,
            accepted = callers.next(listener) => accepted,
        };
        match accepted {
            Ok(stream) => {
                failed.succeeded();
                callers.accept(stream);
            }
            Err(error) => {
                let reaction = failed.failed(&error);
                // In a drain all connections end soon, and those that are left may be their callers' last.
                if reaction.evict && !callers.is_draining() {
                    callers.make_room();
                }
                if reaction.pause {
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }
}

async fn connection(callers: &Rc<Callers>, link: &Rc<Link>) {
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

/// What is wrong with a caller's request.
#[derive(Debug, Error, PartialEq, Eq)]
enum BadRequest {
    #[error("no such class")]
    Class,
    #[error("no such tenant")]
    Tenant,
    #[error("the deadline is not a time in seconds")]
    Deadline,
    #[error("no request id")]
    Id,
    #[error("the method does not fit the class")]
    Method,
    #[error("the class wants an idempotency key")]
    Key,
    #[error("the body is too large")]
    TooLarge,
    #[error("the body broke off")]
    Body,
    #[error("the body came too slowly")]
    Slow,
}

async fn respond(
    driver: &Rc<Driver>,
    request: Request<Incoming>,
    client: WeakSocket,
    whole_by: Instant,
    last: Option<Instant>,
    link: &Link,
) -> Response<Full<Bytes>> {
    if request.uri().path() == HEALTH {
        let status = if driver.can_serve() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        return plain(status, "");
    }
    let answer = match read(driver, request, client, whole_by).await {
        // No socket is left for an attempt either; nothing has run.
        Ok(_) if driver.pool().full() => Answer::Refused { retry_after: None },
        Ok(mut taken) => {
            taken.deadline = last.map_or(taken.deadline, |last| taken.deadline.min(last));
            link.socket.body_over();
            link.waiting.set(true);
            let answer = answer(driver, taken).await;
            link.waiting.set(false);
            answer
        }
        Err(error) => {
            let status = match error {
                BadRequest::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
                BadRequest::Slow => StatusCode::REQUEST_TIMEOUT,
                _ => StatusCode::BAD_REQUEST,
            };
            // The end of its request is not to be trusted.
            let mut response = plain(status, error.to_string());
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            return response;
        }
    };
    match answer {
        Answer::Served(body) => Response::new(Full::new(body)),
        Answer::Refused { retry_after } => {
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused");
            let value = retry_after.map(|span| HeaderValue::from_str(&format!("{:.3}", span.as_secs_f64())));
            if let Some(Ok(value)) = value {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
            response
        }
        Answer::Failed => plain(StatusCode::BAD_GATEWAY, "failed"),
    }
}

fn plain(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}

/// Tells the driver of a caller that leaves before its answer: the connection drops this with the request.
struct Waiting {
    driver: Rc<Driver>,
    id: RequestId,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.driver.caller_left(self.id);
    }
}

async fn answer(driver: &Rc<Driver>, taken: Taken) -> Answer {
    let overdue = taken.deadline + LAST_WORD;
    let (id, answer) = driver.take(taken);
    let waiting = Waiting { driver: Rc::clone(driver), id };
    let answer = tokio::select! {
        biased;
        answer = answer => answer.unwrap_or(Answer::Failed),
        () = sleep_until(overdue) => Answer::Failed,
    };
    drop(waiting);
    answer
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Seconds as a caller writes them.
fn seconds(value: &str) -> Option<Duration> {
    value.trim().parse().ok().and_then(|seconds| Duration::try_from_secs_f64(seconds).ok())
}

/// What the head of a request asks for.
struct Asked {
    class: ClassId,
    tenant: Option<TenantId>,
    /// How long its client waits.
    time: Duration,
    /// It must not run twice.
    once: bool,
}

impl Asked {
    fn read(head: &Parts, offered: &Offered) -> Result<Self, BadRequest> {
        let class = head.uri.path().trim_start_matches('/').split('/').next().unwrap_or_default();
        let (class, figures) = offered.class(class).ok_or(BadRequest::Class)?;
        match figures.effect {
            Effect::Safe if head.method != Method::GET => return Err(BadRequest::Method),
            Effect::Keyed { .. } if !head.headers.contains_key("idempotency-key") => {
                return Err(BadRequest::Key);
            }
            Effect::Keyed { .. } | Effect::Unsafe if head.method != Method::POST => {
                return Err(BadRequest::Method);
            }
            _ => {}
        }
        let tenant = match text(&head.headers, "x-tenant") {
            Some(name) => Some(offered.tenant(name).ok_or(BadRequest::Tenant)?),
            None if offered.has_no_tenants() => None,
            None => return Err(BadRequest::Tenant),
        };
        // A caller that does not say how long it waits is held to wait as long as its class allows.
        let time = match head.headers.get("x-deadline") {
            Some(value) => value.to_str().ok().and_then(seconds).ok_or(BadRequest::Deadline)?,
            None => figures.deadline,
        };
        let once = figures.effect == Effect::Unsafe;
        Ok(Self { class, tenant, time: time.min(figures.deadline * 10), once })
    }
}

/// Reads a request to its last byte, which must come by then.
async fn read(
    driver: &Driver,
    request: Request<Incoming>,
    client: WeakSocket,
    whole_by: Instant,
) -> Result<Taken, BadRequest> {
    let (head, body) = request.into_parts();
    let offered = driver.offered();
    let mut asked = Asked::read(&head, &offered)?;
    let key = head.headers.get("idempotency-key").cloned();
    let id = head.headers.get("x-request-id").cloned().ok_or(BadRequest::Id)?;
    if body.size_hint().lower() > BODY_MOST as u64 {
        return Err(BadRequest::TooLarge);
    }
    let body = match timeout_at(whole_by, Limited::new(body, BODY_MOST).collect()).await {
        Err(_) => return Err(BadRequest::Slow),
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<LengthLimitError>() => return Err(BadRequest::TooLarge),
        Ok(Err(_)) => return Err(BadRequest::Body),
    };
    // While the rest of it came the settings may have changed, and it is taken under those in force now.
    let latest = driver.offered();
    if !Rc::ptr_eq(&offered, &latest) {
        asked = Asked::read(&head, &latest)?;
    }
    let Asked { class, tenant, time, once } = asked;
    let now = Instant::now();
    let cost = text(&head.headers, "x-cost-hint").and_then(|value| value.trim().parse().ok());
    Ok(Taken {
        class,
        tenant,
        key: subject(head.uri.query()),
        expected_work: cost.map(Duration::from_micros),
        repeat: text(&head.headers, "x-retry") == Some("1"),
        deadline: now + time.saturating_sub(MARGIN),
        client,
        call: Rc::new(Call {
            method: head.method,
            host: head.headers.get(HOST).cloned().unwrap_or(HeaderValue::from_static("upstream")),
            uri: path_only(head.uri),
            id,
            key,
            body,
            once,
        }),
    })
}

/// What goes on is the path, also of a request that names its host there.
fn path_only(uri: Uri) -> Uri {
    if uri.scheme().is_none() {
        return uri;
    }
    uri.into_parts().path_and_query.map(Uri::from).unwrap_or_default()
}

/// What a request is about, from the query parameter `k`.
fn subject(query: Option<&str>) -> Option<u64> {
    let value = query?.split('&').find_map(|pair| pair.strip_prefix("k="))?;
    u64::from_str_radix(value, 16).ok()
}
