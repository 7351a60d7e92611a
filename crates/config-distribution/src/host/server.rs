//! What origin and relay have in common: the server of watches and reports, over HTTP/1.1.
//!
//! A reader costs its index, its scopes and at most one line that is being written. Lines are encoded once for all
//! readers of the same scopes and index.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, header};
use hyper_util::rt::TokioIo;
use oorandom::Rand64;
use serde::{Deserialize, Serialize};
use serde_json::json;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::{JoinSet, spawn_local, yield_now};
use tokio::time::{Instant, MissedTickBehavior, interval_at, sleep, sleep_until, timeout};

use super::accept::{AcceptFailures, Listen};
use super::log::log;
use crate::document::{NAME_MOST, Scope, Update};
use crate::parents::SIGN_OF_LIFE;
use crate::report::{CHILD_SCOPES_MOST, Reports, Sums};
use crate::state::{State, Wanted};

/// The header of an answer that tells the level of who answers.
pub const LEVEL: &str = "x-level";

/// A reader that takes nothing of a line for so long is closed.
const STALL: Duration = Duration::from_secs(10);
/// The head of a request has so long to come, so that one that stops in the middle of it holds no connection.
const HEAD_WITHIN: Duration = Duration::from_millis(2500);
/// A request has so long to come whole, from the connection's start.
const REQUEST_WITHIN: Duration = Duration::from_secs(5);
/// An answer that is no watch has so long to be made and taken.
const ANSWER_WITHIN: Duration = Duration::from_secs(20);
/// Readers have so long to take the end of their watch where the process ends.
const END_WITHIN: Duration = Duration::from_secs(2);
/// Bytes that the system holds for a reader, of which it may take twice as many: what waits there is no longer merged
/// to the newest.
const SEND_BUFFER: usize = 256 << 10;
/// Connections beside those of readers.
const OTHERS_MOST: usize = 256;
/// Bytes of a body over its bound that are still read, so that the sender hears why it is refused.
const READ_PAST: usize = 4 << 20;
/// Bytes of a report at most.
const REPORT_MOST: usize = 1 << 20;
/// Encoded lines that are kept for further readers, in bytes.
const LINES_MOST: usize = 32 << 20;

/// Bounds of a server.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Readers at most.
    pub readers_most: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { readers_most: 4096 }
    }
}

/// What a host serves.
pub(crate) trait Source: 'static {
    /// Looks at what readers see; `None` while there is nothing yet to be told as the whole.
    fn see<T>(&self, look: impl FnOnce(&State) -> T) -> Option<T>;
    /// For how many seconds nothing has come from above.
    fn stale_s(&self) -> u64;
    /// Takes a change and makes the answer to it.
    fn change(self: Rc<Self>, change: Change) -> impl Future<Output = Response<Answer>>;
    /// Bytes of a document at most.
    fn body_most(&self) -> usize;
}

/// A publication as it came.
pub(crate) struct Change {
    pub scope: Scope,
    pub body: Option<Bytes>,
    pub request: Box<str>,
    pub if_version: Option<u64>,
}

/// What is sent to one reader; tells when it has been taken, and how that goes on.
pub(crate) struct Line {
    bytes: Bytes,
    taken: Rc<Taken>,
}

struct Taken {
    whole: Notify,
    progress: Cell<Instant>,
}

impl Line {
    fn new(bytes: Bytes) -> (Self, Rc<Taken>) {
        let taken = Rc::new(Taken { whole: Notify::new(), progress: Cell::new(Instant::now()) });
        (Self { bytes, taken: Rc::clone(&taken) }, taken)
    }
}

impl Buf for Line {
    fn remaining(&self) -> usize {
        self.bytes.remaining()
    }

    fn chunk(&self) -> &[u8] {
        self.bytes.chunk()
    }

    fn advance(&mut self, count: usize) {
        self.taken.progress.set(Instant::now());
        self.bytes.advance(count);
    }
}

impl Drop for Line {
    fn drop(&mut self) {
        self.taken.whole.notify_one();
    }
}

/// The body of an answer.
pub(crate) enum Answer {
    Whole(Option<Bytes>),
    Watch(mpsc::Receiver<Line>),
}

impl Body for Answer {
    type Data = Line;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Line>, Infallible>>> {
        match &mut *self {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(Line::new(bytes).0)))),
            Self::Watch(lines) => lines.poll_recv(context).map(|line| line.map(|line| Ok(Frame::data(line)))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64)),
            Self::Watch(_) => SizeHint::default(),
        }
    }
}

/// An answer of one JSON object.
pub(crate) fn answer(status: StatusCode, content: &impl Serialize) -> Response<Answer> {
    let mut text = serde_json::to_vec(content).unwrap_or_default();
    text.push(b'\n');
    let mut response = Response::new(Answer::Whole(Some(text.into())));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, header::HeaderValue::from_static("application/json"));
    response
}

/// A refusal with its reason.
pub(crate) fn refuse(status: StatusCode, why: &str) -> Response<Answer> {
    answer(status, &json!({ "error": why }))
}

/// What a relay says to its parent of those below it.
#[derive(Serialize, Deserialize)]
pub(crate) struct Below {
    pub who: Box<str>,
    pub sums: Sums,
}

#[derive(Default)]
struct Lines {
    bytes: usize,
    by_reader: HashMap<(Box<str>, u64, u64), Bytes>,
}

/// A server of watches over what a host holds.
pub(crate) struct Server<S> {
    pub source: Rc<S>,
    level: u8,
    limits: Limits,
    start: Instant,
    changed: watch::Sender<()>,
    stop: watch::Sender<bool>,
    lines: RefCell<Lines>,
    reports: RefCell<Reports>,
    readers: Cell<usize>,
    draws: RefCell<Rand64>,
}

/// What a connection's task looks at beside the connection.
struct Watched {
    /// By when it must have ended; none for a watch.
    by: Cell<Option<Instant>>,
    /// The reader takes nothing.
    stalled: Notify,
}

impl<S: Source> Server<S> {
    pub(crate) fn new(source: Rc<S>, level: u8, limits: Limits, seed: u64) -> Rc<Self> {
        Rc::new(Self {
            source,
            level,
            limits,
            start: Instant::now(),
            changed: watch::Sender::new(()),
            stop: watch::Sender::new(false),
            lines: RefCell::default(),
            reports: RefCell::default(),
            readers: Cell::new(0),
            draws: RefCell::new(Rand64::new(u128::from(seed))),
        })
    }

    /// What readers see has changed.
    pub(crate) fn changed(&self) {
        *self.lines.borrow_mut() = Lines::default();
        self.changed.send_replace(());
    }

    /// Follows the changes.
    pub(crate) fn changes(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// What is in force below.
    pub(crate) fn sums(&self) -> Sums {
        let sums = |state: &State| self.reports.borrow().sums(self.start.elapsed(), state);
        self.source.see(sums).unwrap_or_else(|| sums(&State::default()))
    }

    /// Serves until `stop`, then ends all watches in order.
    pub(crate) async fn run(self: Rc<Self>, listener: impl Listen, stop: impl Future<Output = ()>) {
        let mut connections = JoinSet::new();
        let mut failures = AcceptFailures::default();
        let mut stop = std::pin::pin!(stop);
        loop {
            let accepted = tokio::select! {
                () = stop.as_mut() => break,
                Some(_) = connections.join_next() => continue,
                accepted = listener.accept() => accepted,
            };
            if accepted.is_ok() {
                failures = AcceptFailures::default();
            }
            match accepted {
                Ok(_) if connections.len() >= self.limits.readers_most + OTHERS_MOST => {
                    log(format_args!("refused a connection: {} are open", connections.len()));
                }
                Ok(stream) => {
                    connections.spawn_local(Rc::clone(&self).connection(stream));
                }
                Err(error) => {
                    let pause = failures.pause_after(&error);
                    if failures.is_news() {
                        log(format_args!("cannot accept a connection: {error}"));
                    }
                    // Connections that are up go on: each has its own task.
                    if pause.is_zero() { yield_now().await } else { sleep(pause).await }
                }
            }
        }
        drop(listener);
        log(format_args!("ending the watches of {} readers", self.readers.get()));
        self.stop.send_replace(true);
        let ended = async { while connections.join_next().await.is_some() {} };
        if timeout(END_WITHIN, ended).await.is_err() {
            log(format_args!("some readers did not take the end of their watch"));
        }
    }

    async fn connection(self: Rc<Self>, stream: TcpStream) {
        // Lines are small and are to go at once.
        let _ = stream.set_nodelay(true);
        let _ = SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER);
        let began = Instant::now();
        let watched = Rc::new(Watched { by: Cell::new(Some(began + HEAD_WITHIN)), stalled: Notify::new() });
        let service = service_fn(|request| {
            let (server, watched) = (Rc::clone(&self), Rc::clone(&watched));
            async move {
                watched.by.set(Some(began + REQUEST_WITHIN));
                let mut response = server.handle(request, &watched).await;
                response.headers_mut().insert(LEVEL, u16::from(server.level).into());
                Ok::<_, Infallible>(response)
            }
        });
        // Queued and not copied together: all readers share the bytes of a line, and its end is seen.
        let mut builder = http1::Builder::new();
        let builder = builder.keep_alive(false).writev(true).max_buf_size(16 << 10);
        let mut connection = std::pin::pin!(builder.serve_connection(TokioIo::new(stream), service));
        loop {
            let by = watched.by.get();
            tokio::select! {
                _ = connection.as_mut() => return,
                () = watched.stalled.notified() => return,
                // A new time is seen after the old one at the latest.
                () = sleep_until(by.unwrap_or_else(|| Instant::now() + ANSWER_WITHIN)) => {
                    if watched.by.get().is_some_and(|by| by <= Instant::now()) {
                        return;
                    }
                }
            }
        }
    }

    async fn handle(self: &Rc<Self>, request: Request<Incoming>, watched: &Rc<Watched>) -> Response<Answer> {
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        match (path.as_str(), &method) {
            ("/configuration", &Method::GET) => self.tell(&request, watched),
            ("/configuration/report", &Method::GET) => {
                watched.by.set(Some(Instant::now() + ANSWER_WITHIN));
                answer(StatusCode::OK, &self.sums())
            }
            ("/configuration/report", &Method::POST) => {
                let text = match body(request, REPORT_MOST).await {
                    Ok(bytes) => bytes,
                    Err(refused) => return refused,
                };
                let (now, mut reports) = (self.start.elapsed(), self.reports.borrow_mut());
                match serde_json::from_slice(&text) {
                    Ok(report) => reports.take(now, report),
                    Err(error) => match serde_json::from_slice::<Below>(&text) {
                        Ok(Below { who, sums }) => reports.take_sums(now, &who, sums),
                        Err(_) => {
                            let why = format!("expected a report or sums: {error}");
                            log(format_args!("refused a report: {why}"));
                            return refuse(StatusCode::BAD_REQUEST, &why);
                        }
                    },
                }
                answer(StatusCode::OK, &json!({}))
            }
            (_, &Method::PUT | &Method::DELETE) if path.starts_with("/configuration/") => {
                let change = match change(request, self.source.body_most()).await {
                    Ok(change) => change,
                    Err(refused) => return refused,
                };
                watched.by.set(Some(Instant::now() + ANSWER_WITHIN));
                // By itself, so that it comes to its end also when who asked for it has gone.
                let made = spawn_local(Rc::clone(&self.source).change(change)).await;
                made.unwrap_or_else(|_| refuse(StatusCode::INTERNAL_SERVER_ERROR, "it came to no end"))
            }
            ("/configuration" | "/configuration/report", _) => {
                refuse(StatusCode::METHOD_NOT_ALLOWED, "no such method here")
            }
            _ => refuse(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn tell(self: &Rc<Self>, request: &Request<Incoming>, watched: &Rc<Watched>) -> Response<Answer> {
        let query = match Query::read(request.uri().query().unwrap_or_default()) {
            Ok(query) => query,
            Err(why) => return refuse(StatusCode::BAD_REQUEST, &why),
        };
        if self.source.see(|_| ()).is_none() {
            return refuse(StatusCode::SERVICE_UNAVAILABLE, "nothing has come from above yet");
        }
        if *self.stop.borrow() {
            return refuse(StatusCode::SERVICE_UNAVAILABLE, "ending");
        }
        if !query.follow {
            watched.by.set(Some(Instant::now() + ANSWER_WITHIN));
            let (line, _) = self.line(query.since, &query, true);
            return Response::new(Answer::Whole(line));
        }
        if self.readers.get() >= self.limits.readers_most {
            log(format_args!("refused a reader: {} are here", self.readers.get()));
            return refuse(StatusCode::SERVICE_UNAVAILABLE, "too many readers");
        }
        watched.by.set(None);
        let (slot, lines) = mpsc::channel(1);
        spawn_local(Rc::clone(self).reader(query, slot, Rc::clone(watched)));
        Response::new(Answer::Watch(lines))
    }

    /// Tells one reader, until it goes, takes nothing, or the server ends.
    async fn reader(self: Rc<Self>, query: Query, slot: mpsc::Sender<Line>, watched: Rc<Watched>) {
        let _here = Here::new(&self.readers);
        let (mut changed, mut stop) = (self.changed.subscribe(), self.stop.subscribe());
        // By itself and not counted from the last line, so that signs of life stay spread after a change for all.
        let first = SIGN_OF_LIFE.mul_f64(self.draws.borrow_mut().rand_float());
        let mut sign = interval_at(Instant::now() + first, SIGN_OF_LIFE);
        sign.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let (mut at, mut due) = (query.since, true);
        loop {
            changed.borrow_and_update();
            let (bytes, index) = self.line(at, &query, due);
            if let Some(bytes) = bytes {
                let (line, taken) = Line::new(bytes);
                if slot.send(line).await.is_err() {
                    return;
                }
                at = index;
                loop {
                    let by = taken.progress.get() + STALL;
                    tokio::select! {
                        () = taken.whole.notified() => break,
                        () = slot.closed() => return,
                        () = sleep_until(by) => {
                            if taken.progress.get() + STALL <= Instant::now() {
                                let took = STALL.as_secs();
                                log(format_args!("closed reader {:?}: it took nothing for {took} s", query.name));
                                watched.stalled.notify_one();
                                return;
                            }
                        }
                    }
                }
            }
            due = tokio::select! {
                biased;
                _ = stop.wait_for(|stop| *stop) => return,
                () = slot.closed() => return,
                _ = changed.changed() => false,
                _ = sign.tick() => true,
            };
        }
    }

    /// What a reader that stands at an index is told, and where it stands with it. A sign of life is due or not.
    fn line(&self, at: u64, query: &Query, due: bool) -> (Option<Bytes>, u64) {
        let stale_s = self.source.stale_s();
        let told = self.source.see(|state| {
            let key = (query.scopes.clone(), at, stale_s);
            if let Some(line) = self.lines.borrow().by_reader.get(&key) {
                return (Some(line.clone()), state.index());
            }
            let told =
                if due { state.tell(at, &query.wanted, stale_s) } else { state.since(at, &query.wanted) };
            let update = match told {
                Some(update) => Update { stale_s, ..update },
                None if !due => return (None, at),
                None if query.follow => return (Some(Bytes::from_static(b"\n")), at),
                None => Update {
                    index: state.index(),
                    snapshot: false,
                    after: at,
                    stale_s,
                    documents: Vec::new(),
                },
            };
            let index = update.index;
            let mut text = match serde_json::to_vec(&update) {
                Ok(text) => text,
                Err(error) => {
                    log(format_args!("cannot encode a line: {error}"));
                    return (None, at);
                }
            };
            text.push(b'\n');
            let line = Bytes::from(text);
            if !update.documents.is_empty() || update.snapshot {
                let mut lines = self.lines.borrow_mut();
                if lines.bytes + line.len() > LINES_MOST {
                    *lines = Lines::default();
                }
                lines.bytes += line.len();
                lines.by_reader.insert(key, line.clone());
            }
            (Some(line), index)
        });
        told.unwrap_or((None, at))
    }
}

/// Counts a reader while it is here.
struct Here<'a>(&'a Cell<usize>);

impl<'a> Here<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for Here<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// What a reader asks for.
struct Query {
    follow: bool,
    since: u64,
    /// As they were written, which is what lines are shared by.
    scopes: Box<str>,
    wanted: Wanted,
    /// Of the reader, for the log.
    name: Box<str>,
}

impl Query {
    fn read(text: &str) -> Result<Self, String> {
        let mut query =
            Self { follow: false, since: 0, scopes: "*".into(), wanted: Wanted::All, name: Box::default() };
        for (name, value) in text.split('&').map(|part| part.split_once('=').unwrap_or((part, ""))) {
            match name {
                "follow" => query.follow = value == "1",
                "since" => {
                    query.since =
                        value.parse().map_err(|_| format!("since: expected an index, got {value:?}"))?;
                }
                "scopes" => {
                    let value =
                        value.replace("%2F", "/").replace("%2f", "/").replace("%2C", ",").replace("%2c", ",");
                    query.wanted = wanted(&value)?;
                    query.scopes = value.into();
                }
                "name" => query.name = value.chars().take(NAME_MOST).collect(),
                _ => {}
            }
        }
        Ok(query)
    }
}

fn wanted(text: &str) -> Result<Wanted, String> {
    if text == "*" {
        return Ok(Wanted::All);
    }
    let scopes: Vec<Scope> = text
        .split(',')
        .take(CHILD_SCOPES_MOST + 1)
        .map(|scope| scope.parse().map_err(|error| format!("scopes: {error}")))
        .collect::<Result<_, _>>()?;
    if scopes.len() > CHILD_SCOPES_MOST {
        return Err(format!("scopes: at most {CHILD_SCOPES_MOST}"));
    }
    Ok(Wanted::These(scopes))
}

/// A body up to a bound, or the refusal of it.
async fn body(request: Request<Incoming>, most: usize) -> Result<Bytes, Response<Answer>> {
    let mut body = request.into_body();
    let (mut bytes, mut count) = (BytesMut::new(), 0);
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return Err(refuse(StatusCode::BAD_REQUEST, "the body broke off")) };
        let Ok(data) = frame.into_data() else { continue };
        count += data.len();
        if count <= most {
            bytes.extend_from_slice(&data);
        } else if count > most + READ_PAST {
            break;
        }
    }
    if count > most {
        return Err(refuse(StatusCode::PAYLOAD_TOO_LARGE, &format!("over the bound of {most} bytes")));
    }
    Ok(bytes.freeze())
}

async fn change(request: Request<Incoming>, body_most: usize) -> Result<Change, Response<Answer>> {
    let bad = |why: &str| refuse(StatusCode::BAD_REQUEST, why);
    let scope = request.uri().path().trim_start_matches("/configuration/").parse();
    let scope: Scope = scope.map_err(|error: crate::document::ScopeError| bad(&error.to_string()))?;
    let text =
        |name: &str| request.headers().get(name).map(|value| value.to_str().unwrap_or_default().to_owned());
    let id = text("x-request-id").filter(|id| !id.is_empty());
    let id = id.ok_or_else(|| bad("X-Request-Id: expected an id, so that a repeat is known"))?;
    let if_version = match text("if-match") {
        None => None,
        Some(text) => {
            let version = text.trim_matches('"').parse();
            Some(version.map_err(|_| bad(&format!("If-Match: expected a version, got {text:?}")))?)
        }
    };
    let withdraws = request.method() == Method::DELETE;
    let body = body(request, body_most).await?;
    Ok(Change { scope, body: (!withdraws).then_some(body), request: id.into(), if_version })
}
