//! Connections to upstreams between attempts: those that stand idle, those that still come up, and how long one
//! usually takes to come up. What an attempt waits for is whatever comes first: its own dial, or another
//! connection to the same upstream.

use std::cell::{Cell, RefCell};
use std::fmt::{self, Debug, Formatter};
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use balancer_policy::interface::{UpstreamId, ZoneId};
use rustc_hash::FxHashMap;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::connection::{Connection, Permit, speak};
use crate::trust::Trust;

/// Part of the settings' idle limit after which a kept connection is closed: one that the upstream closes as a
/// request is written ends that request as a reset.
const KEEP_PART: f64 = 0.7;
/// How long a connection rests after an answer before it carries the next request: an upstream at fault may send a
/// second answer some milliseconds behind the first, and the next request's caller would get it.
const REST: Duration = Duration::from_millis(10);
/// Descriptors that are no connection: standard streams, listener, runtime.
const OTHER_DESCRIPTORS: usize = 16;
/// Descriptors that upstream connections leave to callers.
const CALLERS_PART: usize = 4;
/// How long a dial that no attempt waits for goes on, counted from its start: TCP asks again after 1 s and after 3 s
/// (RFC 6298, with the doubling), and the answer to the second repeat needs a round trip more.
const LATE_MOST: Duration = Duration::from_millis(3500);
/// Usual connect times that an attempt waits for its connection: as many deviations as TCP's own timer waits beyond
/// its mean (RFC 6298).
const PATIENCE_TIMES: f64 = 4.0;
/// Least part of the settings' connect timeout that an attempt waits for, as a busy machine adds to a connect: those of
/// the three or four attempts before a request's last one take a quarter of it together.
const PATIENCE_LEAST: f64 = 0.0625;
/// Wait before a connect that failed on this machine is tried again, doubled each time up to the second: a lack of ports or
/// memory may pass at once, and one that lasts must not keep the machine busy with looking for a port.
const RETRY_PAUSE: (Duration, Duration) = (Duration::from_millis(2), Duration::from_millis(64));
/// Weight of one connect in the usual time: the gain of TCP's own timer.
const CONNECT_WEIGHT: f64 = 0.125;

/// Why there is no connection for an attempt.
#[derive(Debug, Error)]
pub enum AcquireError {
    /// Short of sockets, which is no fault of the upstream's.
    #[error("no socket is free")]
    NoSocket,
    /// This machine has none to give, which is no fault of the upstream's either.
    #[error("this machine has no socket: {0}")]
    Local(io::Error),
    /// None came up in time; one may yet.
    #[error("it did not come up in time")]
    TimedOut,
    /// The upstream has left the list.
    #[error("it left the list")]
    Gone,
    /// The upstream does not take it.
    #[error("{0}")]
    Failed(#[from] io::Error),
    /// It broke as it came up.
    #[error("{0}")]
    Broken(#[from] hyper::Error),
}

/// Whether a connect failed for want of something on this machine: a port, a descriptor, memory. What a filter forbids
/// (`EPERM`, `EACCES`) stays with the upstream: it lasts, and another one may be allowed.
fn is_local(error: &io::Error) -> bool {
    const LOCAL: [i32; 8] = [
        libc::EADDRINUSE,
        libc::EADDRNOTAVAIL,
        libc::EAGAIN,
        libc::EINTR,
        libc::EMFILE,
        libc::ENFILE,
        libc::ENOBUFS,
        libc::ENOMEM,
    ];
    error.raw_os_error().is_some_and(|error| LOCAL.contains(&error))
}

/// The usual time in which connections to a zone come up: a mean of logarithms, in which a late one counts for at
/// most e times the usual.
#[derive(Debug, Default)]
struct ConnectTime {
    ln_s: f64,
    known: f64,
}

impl ConnectTime {
    /// Takes in a connect that took so long, or was given up then.
    fn learn(&mut self, took: Duration, up: bool) {
        // One given up tells how much longer it takes than what is known.
        if self.known == 0.0 && !up {
            return;
        }
        let over = took.as_secs_f64().max(1e-6).ln() - self.ln_s;
        self.known += 1.0;
        let over = if self.known > 1.0 { over.min(1.0) } else { over };
        self.ln_s += CONNECT_WEIGHT.max(1.0 / self.known) * over;
    }

    /// How long an attempt waits for a connection.
    fn patience(&self, most: Duration) -> Duration {
        if self.known == 0.0 {
            return most;
        }
        let times = Duration::try_from_secs_f64(self.ln_s.exp() * PATIENCE_TIMES).unwrap_or(most);
        times.clamp(most.mul_f64(PATIENCE_LEAST), most)
    }
}

struct Idle {
    connection: Connection,
    since: Instant,
    /// When it may carry the next request.
    free_at: Instant,
}

struct Connecting {
    stream: Pin<Box<dyn Future<Output = io::Result<TcpStream>>>>,
    permit: Permit,
    since: Instant,
}

/// A dial that goes on though the attempt that began it does not wait for it any more.
struct Late {
    connecting: Connecting,
    /// Waits for it; `None` for the moment before it is started.
    task: Option<AbortHandle>,
}

impl Drop for Late {
    fn drop(&mut self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
    }
}

/// The connections to one process of an upstream, for as long as the list has it ready at that address.
pub struct Host {
    id: UpstreamId,
    address: SocketAddr,
    zone: Option<ZoneId>,
    /// The most recently used last.
    idle: RefCell<Vec<Idle>>,
    /// At most one, so that an upstream out of reach holds no more sockets than this.
    late: RefCell<Option<Late>>,
    /// Attempts that wait for a connection.
    waiting: Cell<usize>,
    gone: Cell<bool>,
    /// Something came for those that wait to look at.
    changed: Notify,
}

impl Host {
    /// When the next connection has rested, if one rests.
    fn next_free(&self) -> Option<Instant> {
        self.idle.borrow().iter().map(|idle| idle.free_at).min()
    }

    fn keep(&self, connection: Connection, rest: Duration) {
        let since = Instant::now();
        self.idle.borrow_mut().push(Idle { connection, since, free_at: since + rest });
        self.changed.notify_waiters();
    }

    fn close(&self) {
        self.gone.set(true);
        self.idle.take();
        self.late.take();
        self.changed.notify_waiters();
    }
}

/// A connect that failed on this machine, and is to be tried again.
struct Retry {
    error: io::Error,
    at: Instant,
}

/// A connection that an attempt waits for. Dropped before it is up, it goes on coming up for the next one.
struct Dial<'a> {
    pool: &'a Rc<Pool>,
    host: &'a Rc<Host>,
    connecting: Option<Connecting>,
    /// The latest connect that failed on this machine, until the next one is under way.
    retry: Option<Retry>,
    /// The latest pause before another try.
    pause: Duration,
}

impl<'a> Dial<'a> {
    fn start(pool: &'a Rc<Pool>, host: &'a Rc<Host>, permit: Permit) -> Self {
        host.waiting.set(host.waiting.get() + 1);
        let mut dial = Self { pool, host, connecting: None, retry: None, pause: Duration::ZERO };
        dial.connect(permit);
        dial
    }

    fn connect(&mut self, permit: Permit) {
        let stream = Box::pin(TcpStream::connect(self.host.address));
        self.connecting = Some(Connecting { stream, permit, since: Instant::now() });
    }

    async fn up(&mut self) -> Result<Connection, AcquireError> {
        let stream = poll_fn(|context| match &mut self.connecting {
            Some(connecting) => connecting.stream.as_mut().poll(context),
            None => Poll::Pending,
        })
        .await;
        let Some(Connecting { permit, since, .. }) = self.connecting.take() else {
            return Err(AcquireError::TimedOut);
        };
        let failed = |error| {
            if is_local(&error) { AcquireError::Local(error) } else { AcquireError::Failed(error) }
        };
        let stream = stream.map_err(failed)?;
        self.pool.learn_connect(self.host, since.elapsed(), true);
        Ok(speak(stream, permit).await?)
    }

    /// Connects again after a pause.
    fn retry_after(&mut self, error: io::Error) {
        self.pause = (self.pause * 2).clamp(RETRY_PAUSE.0, RETRY_PAUSE.1);
        self.retry = Some(Retry { error, at: Instant::now() + self.pause });
    }
}

impl Drop for Dial<'_> {
    fn drop(&mut self) {
        self.host.waiting.set(self.host.waiting.get() - 1);
        if let Some(connecting) = self.connecting.take() {
            self.pool.go_on(self.host, connecting);
        }
    }
}

/// All connections to upstreams, and the budget of sockets.
pub struct Pool {
    hosts: RefCell<FxHashMap<UpstreamId, Rc<Host>>>,
    /// By zone: where upstreams stand decides how long a connect takes.
    connect_times: RefCell<FxHashMap<Option<ZoneId>, ConnectTime>>,
    connect_timeout: Cell<Duration>,
    keep: Cell<Duration>,
    trust: RefCell<Trust>,
    sockets: Rc<Cell<usize>>,
    sockets_most: usize,
    /// Hears of each connection that came up with no attempt waiting for it.
    connected: Box<dyn Fn(UpstreamId)>,
}

impl Debug for Pool {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("Pool").field("sockets", &self.sockets).finish_non_exhaustive()
    }
}

impl Pool {
    /// An empty one. `keepalive` is the settings' idle limit, `descriptors` what the process may hold.
    pub fn new(
        connect_timeout: Duration,
        keepalive: Duration,
        descriptors: usize,
        connected: impl Fn(UpstreamId) + 'static,
    ) -> Rc<Self> {
        let keep = keepalive.mul_f64(KEEP_PART);
        Rc::new(Self {
            hosts: RefCell::default(),
            connect_times: RefCell::default(),
            connect_timeout: Cell::new(connect_timeout),
            keep: Cell::new(keep),
            trust: RefCell::new(Trust::new(keep)),
            sockets: Rc::default(),
            sockets_most: descriptors.saturating_sub(OTHER_DESCRIPTORS),
            connected: Box::new(connected),
        })
    }

    /// How long a connection may stand idle before it is closed.
    #[must_use]
    pub fn keep_for(&self) -> Duration {
        self.keep.get()
    }

    /// Goes by other settings from now on. What connects now waits as long as it was to.
    pub fn reconfigure(&self, connect_timeout: Duration, keepalive: Duration) {
        self.connect_timeout.set(connect_timeout);
        self.keep.set(keepalive.mul_f64(KEEP_PART));
        self.trust.borrow_mut().keep_for(self.keep.get());
    }

    // --- Sockets ---

    /// Counts a connection that is had in any case: a caller's, which the machine has already accepted, or
    /// discovery's, without which drains would be missed.
    #[must_use]
    pub fn reserved_permit(&self) -> Permit {
        Permit::of(&self.sockets)
    }

    /// Whether so many sockets are open that those not in use must go.
    #[must_use]
    pub fn crowded(&self) -> bool {
        self.sockets.get() >= self.sockets_most - self.sockets_most / (2 * CALLERS_PART)
    }

    /// Whether the budget is used up: what is left then is discovery's and the program's own.
    #[must_use]
    pub fn full(&self) -> bool {
        self.sockets.get() > self.sockets_most
    }

    /// A socket for a connection of our own, if the budget has one: those not in use are closed to make room.
    fn permit(&self) -> Option<Permit> {
        let most = self.sockets_most - self.sockets_most / CALLERS_PART;
        if self.sockets.get() >= most {
            self.make_room();
        }
        (self.sockets.get() < self.sockets_most).then(|| self.reserved_permit())
    }

    /// Gives up a dial that nobody waits for or, if there is none, closes the idle connection that was used least
    /// recently; tells whether there was one.
    pub fn make_room(&self) -> bool {
        let hosts = self.hosts.borrow();
        if hosts.values().any(|host| host.late.take().is_some()) {
            return true;
        }
        let oldest = |host: &&Rc<Host>| host.idle.borrow().first().map(|oldest| oldest.since);
        let host = hosts.values().filter(|host| oldest(host).is_some()).min_by_key(oldest);
        host.map(|host| host.idle.borrow_mut().remove(0)).is_some()
    }

    // --- Hosts ---

    /// The connections to an upstream that the list has ready at this address.
    pub fn host(&self, id: UpstreamId, address: SocketAddr, zone: Option<ZoneId>) -> Rc<Host> {
        let mut hosts = self.hosts.borrow_mut();
        if let Some(host) = hosts.get(&id).filter(|host| host.address == address) {
            return Rc::clone(host);
        }
        let host = Rc::new(Host {
            id,
            address,
            zone,
            idle: RefCell::default(),
            late: RefCell::default(),
            waiting: Cell::new(0),
            gone: Cell::new(false),
            changed: Notify::new(),
        });
        if let Some(moved) = hosts.insert(id, Rc::clone(&host)) {
            moved.close();
        }
        host
    }

    /// Closes all connections to an upstream but those that carry an attempt.
    pub fn close(&self, id: UpstreamId) {
        if let Some(host) = self.hosts.borrow_mut().remove(&id) {
            host.close();
        }
    }

    /// Closes the idle connections to an upstream.
    pub fn close_idle(&self, id: UpstreamId) {
        if let Some(host) = self.hosts.borrow().get(&id) {
            host.idle.take();
        }
    }

    /// Closes the connections to upstreams that are not, or no longer, `listed` as ready at their address.
    pub fn retain(&self, listed: impl Fn(UpstreamId, SocketAddr) -> bool) {
        self.hosts.borrow_mut().retain(|&id, host| {
            let listed = listed(id, host.address);
            if !listed {
                host.close();
            }
            listed
        });
    }

    /// Closes what has stood idle for too long, or was closed by its upstream.
    pub fn close_old(&self) {
        for host in self.hosts.borrow().values() {
            let keep = |idle: &Idle| idle.connection.is_free() && idle.since.elapsed() < self.keep.get();
            host.idle.borrow_mut().retain(keep);
        }
    }

    /// Connections that stand idle, dials that nobody waits for, sockets in use and at most, and for how long a
    /// connection may have been idle to carry a request that must not run twice.
    #[must_use]
    pub fn figures(&self) -> (usize, usize, usize, usize, Duration) {
        let hosts = self.hosts.borrow();
        let idle = hosts.values().map(|host| host.idle.borrow().len()).sum();
        let late = hosts.values().filter(|host| host.late.borrow().is_some()).count();
        (idle, late, self.sockets.get(), self.sockets_most, self.trust.borrow().trusted())
    }

    // --- Connections ---

    /// A connection for an attempt, and for how long it stood idle if it is not new. What this machine lacks for a
    /// connect may come any moment, and would be lacking for another upstream too: it is waited for up to `until`, for
    /// as long as the settings allow.
    ///
    /// # Errors
    /// There is none within the usual time of a connect; if `last`, within the whole of the settings'.
    pub async fn acquire(
        self: &Rc<Self>,
        host: &Rc<Host>,
        once: bool,
        last: bool,
        until: Instant,
    ) -> Result<(Connection, Option<Duration>), AcquireError> {
        if let Some((connection, idle)) = self.take_idle(host, once) {
            return Ok((connection, Some(idle)));
        }
        let most = self.connect_timeout.get();
        let mut since = Instant::now();
        let local_until = until.min(since + most);
        let patience = if last { most } else { self.patience(host) };
        let mut dial = Dial::start(self, host, self.permit().ok_or(AcquireError::NoSocket)?);
        loop {
            let give_up_at = if dial.retry.is_some() { local_until } else { since + patience };
            // One that rests is free sooner than a connection elsewhere may be up.
            let look_at = host.next_free().unwrap_or(give_up_at);
            let retry_at = dial.retry.as_ref().map_or(look_at, |retry| retry.at);
            tokio::select! {
                biased;
                up = dial.up() => match up {
                    Ok(connection) => return Ok((connection, None)),
                    Err(AcquireError::Local(error)) => dial.retry_after(error),
                    Err(error) => return Err(error),
                },
                () = host.changed.notified() => {}
                () = sleep_until(look_at.min(retry_at)) => {}
            }
            if host.gone.get() {
                return Err(AcquireError::Gone);
            }
            if let Some((connection, idle)) = self.take_idle(host, once) {
                return Ok((connection, Some(idle)));
            }
            let now = Instant::now();
            if let Some(retry) = dial.retry.take_if(|retry| now >= retry.at.min(local_until)) {
                if now >= local_until {
                    return Err(AcquireError::Local(retry.error));
                }
                dial.connect(self.permit().ok_or(AcquireError::NoSocket)?);
                since = now;
            } else if dial.retry.is_none() && host.next_free().is_none() && now >= since + patience {
                self.learn_connect(host, since.elapsed(), false);
                return Err(AcquireError::TimedOut);
            }
        }
    }

    fn patience(&self, host: &Host) -> Duration {
        let times = self.connect_times.borrow();
        let most = self.connect_timeout.get();
        times.get(&host.zone).map_or(most, |time| time.patience(most))
    }

    fn learn_connect(&self, host: &Host, took: Duration, up: bool) {
        self.connect_times.borrow_mut().entry(host.zone).or_default().learn(took, up);
    }

    /// A free connection, the most recently used first, and for how long it stood idle. For a request that must run
    /// `once` at most those idle for longer than is trusted are closed: the new one that it gets takes their place.
    fn take_idle(&self, host: &Host, once: bool) -> Option<(Connection, Duration)> {
        let most = if once { self.trust.borrow().trusted() } else { self.keep.get() };
        let now = Instant::now();
        let mut kept = host.idle.borrow_mut();
        while let Some(place) = kept.iter().rposition(|idle| idle.free_at <= now) {
            let last = kept.remove(place);
            let idle = last.since.elapsed();
            if last.connection.is_free() && idle < self.keep.get() {
                return (idle <= most).then_some((last.connection, idle));
            }
        }
        None
    }

    /// Learns whether a connection that was idle for so long has carried its request.
    pub fn learn_idle(&self, idle: Duration, answered: bool) {
        if answered {
            self.trust.borrow_mut().answered(idle);
        } else {
            self.trust.borrow_mut().reset(idle);
        }
    }

    /// Keeps a connection that has carried an attempt for the next one.
    pub fn keep(&self, host: &Host, connection: Connection) {
        if !host.gone.get() && connection.is_free() {
            host.keep(connection, REST);
        }
    }

    /// Lets a dial go on that no attempt waits for any more, where there is use for it.
    fn go_on(self: &Rc<Self>, host: &Rc<Host>, connecting: Connecting) {
        if host.gone.get() || host.late.borrow().is_some() || self.crowded() {
            return;
        }
        let by = connecting.since + LATE_MOST.max(self.connect_timeout.get());
        host.late.replace(Some(Late { connecting, task: None }));
        let (pool, own) = (Rc::clone(self), Rc::clone(host));
        let task = spawn_local(async move {
            let up = poll_fn(|context| match &mut *own.late.borrow_mut() {
                Some(late) => late.connecting.stream.as_mut().poll(context),
                None => Poll::Pending,
            });
            let up = timeout_at(by, up).await;
            // Not to be ended by its own end.
            let Some(mut late) = own.late.take() else { return };
            late.task = None;
            if let Ok(Ok(stream)) = up {
                pool.came_up(&own, stream).await;
            }
        });
        if let Some(late) = &mut *host.late.borrow_mut() {
            late.task = Some(task.abort_handle());
        }
    }

    /// A late connection is kept where none stands by for each attempt that waits, or none at all.
    async fn came_up(&self, host: &Host, stream: TcpStream) {
        if host.idle.borrow().len() < host.waiting.get().max(1)
            && let Ok(connection) = speak(stream, self.reserved_permit()).await
            && !host.gone.get()
        {
            host.keep(connection, Duration::ZERO);
        }
        (self.connected)(host.id);
    }
}
