//! Connections to upstreams between attempts: those that are idle, dials that continue, and how long a dial usually
//! takes. How an attempt gets a connection is in `acquire.rs`.

use std::cell::{Cell, RefCell};
use std::fmt::{self, Debug, Formatter};
use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use balancer_policy::interface::{EndpointId, ZoneId};
use rustc_hash::FxHashMap;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::timeout_at;

use super::connect_time::ConnectTime;
use super::connection::{Connection, Permit, handshake};
use super::host::{Connecting, IdleConnection, LateDial};
use super::idle_trust::IdleTrust;

pub use super::acquire_error::AcquireError;
pub use super::host::Host;

/// Part of the settings' idle limit after which an idle connection is closed: one that the upstream closes as a
/// request is written ends that request as a reset.
const IDLE_LIMIT_FRACTION: f64 = 0.7;
/// How long a connection rests after an answer before it carries the next request: an upstream at fault may send a
/// second answer some milliseconds behind the first, and the next request's client would get it.
const REUSE_DELAY: Duration = Duration::from_millis(10);
/// Descriptors that are no connection: standard streams, listener, runtime.
const OTHER_DESCRIPTORS: usize = 16;
/// One in so many descriptors is left to clients by connections to upstreams.
const CLIENT_RESERVE_DIVISOR: usize = 4;
/// How long a dial that no attempt waits for continues, counted from its start: TCP repeats its SYN after 1 s and after 3 s
/// (RFC 6298, with the doubling), and the answer to the second repeat needs a round trip more.
const MAX_LATE_DIAL: Duration = Duration::from_millis(3500);

/// The state of a pool, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolStats {
    /// Connections that are idle.
    pub idle_connections: usize,
    /// Dials that no attempt waits for.
    pub late_dials: usize,
    /// Sockets in use, those of clients and of discovery among them.
    pub sockets: usize,
    /// Sockets that may be in use.
    pub max_sockets: usize,
    /// For how long a connection may have been idle to carry a request that must not run twice.
    pub trusted_idle: Duration,
}

/// All connections to upstreams, and the budget of sockets.
pub struct Pool {
    hosts: RefCell<FxHashMap<EndpointId, Rc<Host>>>,
    /// By zone: how long a connect takes depends on where the upstream is.
    connect_times: RefCell<FxHashMap<Option<ZoneId>, ConnectTime>>,
    connect_timeout: Cell<Duration>,
    idle_limit: Cell<Duration>,
    trust: RefCell<IdleTrust>,
    sockets: Rc<Cell<usize>>,
    max_sockets: usize,
    /// Notified of each connection that came up with no attempt waiting for it.
    on_connected: Box<dyn Fn(EndpointId)>,
}

impl Debug for Pool {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("Pool").field("sockets", &self.sockets).finish_non_exhaustive()
    }
}

impl Pool {
    /// An empty one. `keepalive` is the settings' idle limit, `descriptors` how many the process may have open.
    pub fn new(
        connect_timeout: Duration,
        keepalive: Duration,
        descriptors: usize,
        on_connected: impl Fn(EndpointId) + 'static,
    ) -> Rc<Self> {
        let idle_limit = keepalive.mul_f64(IDLE_LIMIT_FRACTION);
        Rc::new(Self {
            hosts: RefCell::default(),
            connect_times: RefCell::default(),
            connect_timeout: Cell::new(connect_timeout),
            idle_limit: Cell::new(idle_limit),
            trust: RefCell::new(IdleTrust::new(idle_limit)),
            sockets: Rc::default(),
            max_sockets: descriptors.saturating_sub(OTHER_DESCRIPTORS),
            on_connected: Box::new(on_connected),
        })
    }

    /// How long a connection may be idle before it is closed.
    #[must_use]
    pub fn idle_limit(&self) -> Duration {
        self.idle_limit.get()
    }

    /// Uses other settings from now on. A connect in progress keeps its time limit.
    pub fn reconfigure(&self, connect_timeout: Duration, keepalive: Duration) {
        self.connect_timeout.set(connect_timeout);
        self.idle_limit.set(keepalive.mul_f64(IDLE_LIMIT_FRACTION));
        self.trust.borrow_mut().set_idle_limit(self.idle_limit.get());
    }

    // --- Sockets ---

    /// Counts a connection that is opened in any case: a client's, which the machine has already accepted, or
    /// discovery's, without which drains would be missed.
    #[must_use]
    pub fn reserved_permit(&self) -> Permit {
        Permit::of(&self.sockets)
    }

    /// Whether so many sockets are open that unused ones must be closed.
    #[must_use]
    pub fn is_nearly_full(&self) -> bool {
        self.sockets.get() >= self.max_sockets - self.max_sockets / (2 * CLIENT_RESERVE_DIVISOR)
    }

    /// Whether the budget is used up: what is left then is discovery's and the program's own.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.sockets.get() > self.max_sockets
    }

    /// A socket for a connection of our own, if the budget has one: unused ones are closed for it.
    pub(super) fn permit(&self) -> Option<Permit> {
        let most = self.max_sockets - self.max_sockets / CLIENT_RESERVE_DIVISOR;
        if self.sockets.get() >= most {
            self.close_unused();
        }
        (self.sockets.get() < self.max_sockets).then(|| self.reserved_permit())
    }

    /// Gives up a dial that nobody waits for or, if there is none, closes the idle connection that was used least
    /// recently; returns whether there was one.
    pub fn close_unused(&self) -> bool {
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
    pub fn host(&self, id: EndpointId, address: SocketAddr, zone: Option<ZoneId>) -> Rc<Host> {
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
            closed: Cell::new(false),
            changed: Notify::new(),
        });
        if let Some(moved) = hosts.insert(id, Rc::clone(&host)) {
            moved.close();
        }
        host
    }

    /// Closes all connections to an upstream but those that carry an attempt.
    pub fn close(&self, id: EndpointId) {
        if let Some(host) = self.hosts.borrow_mut().remove(&id) {
            host.close();
        }
    }

    /// Closes the idle connections to an upstream.
    pub fn close_idle(&self, id: EndpointId) {
        if let Some(host) = self.hosts.borrow().get(&id) {
            host.idle.take();
        }
    }

    /// Closes the connections to upstreams that are not, or no longer, `listed` as ready at their address.
    pub fn retain(&self, listed: impl Fn(EndpointId, SocketAddr) -> bool) {
        self.hosts.borrow_mut().retain(|&id, host| {
            let listed = listed(id, host.address);
            if !listed {
                host.close();
            }
            listed
        });
    }

    /// Closes what has been idle for too long, or was closed by its upstream.
    pub fn close_expired(&self) {
        for host in self.hosts.borrow().values() {
            let is_usable = |idle: &IdleConnection| {
                idle.connection.is_free() && idle.since.elapsed() < self.idle_limit.get()
            };
            host.idle.borrow_mut().retain(is_usable);
        }
    }

    /// The state of the pool now.
    #[must_use]
    pub fn stats(&self) -> PoolStats {
        let hosts = self.hosts.borrow();
        PoolStats {
            idle_connections: hosts.values().map(|host| host.idle.borrow().len()).sum(),
            late_dials: hosts.values().filter(|host| host.late.borrow().is_some()).count(),
            sockets: self.sockets.get(),
            max_sockets: self.max_sockets,
            trusted_idle: self.trusted_idle(),
        }
    }

    // --- Connections ---

    /// The longest time that the settings allow for a connect.
    pub(super) fn connect_timeout(&self) -> Duration {
        self.connect_timeout.get()
    }

    /// How long an attempt that is not its request's last waits for a connection to this host.
    pub(super) fn patience(&self, host: &Host) -> Duration {
        let times = self.connect_times.borrow();
        let most = self.connect_timeout.get();
        times.get(&host.zone).map_or(most, |time| time.patience(most))
    }

    pub(super) fn record_connect(&self, host: &Host, duration: Duration, up: bool) {
        self.connect_times.borrow_mut().entry(host.zone).or_default().record(duration, up);
    }

    /// For how long a connection may have been idle to carry a request that must not run twice.
    pub(super) fn trusted_idle(&self) -> Duration {
        self.trust.borrow().trusted()
    }

    /// Records whether a connection that was idle for so long has carried its request.
    pub fn record_reuse(&self, idle: Duration, answered: bool) {
        if answered {
            self.trust.borrow_mut().record_answer(idle);
        } else {
            self.trust.borrow_mut().record_reset(idle);
        }
    }

    /// Keeps a connection that has carried an attempt for the next one.
    pub fn release(&self, host: &Host, connection: Connection) {
        if !host.closed.get() && connection.is_free() {
            host.add_idle(connection, REUSE_DELAY);
        }
    }

    /// Continues a dial that no attempt waits for any more, where its connection may be used.
    pub(super) fn continue_dial(self: &Rc<Self>, host: &Rc<Host>, connecting: Connecting) {
        if host.closed.get() || host.late.borrow().is_some() || self.is_nearly_full() {
            return;
        }
        let give_up_at = connecting.since + MAX_LATE_DIAL.max(self.connect_timeout.get());
        host.late.replace(Some(LateDial { connecting, task: None }));
        let (pool, owner) = (Rc::clone(self), Rc::clone(host));
        let task = spawn_local(async move {
            let connect = poll_fn(|context| match &mut *owner.late.borrow_mut() {
                Some(late) => late.connecting.stream.as_mut().poll(context),
                None => Poll::Pending,
            });
            let connected = timeout_at(give_up_at, connect).await;
            // The task must not abort itself as the dial is dropped.
            let Some(mut late) = owner.late.take() else { return };
            late.task = None;
            if let Ok(Ok(stream)) = connected {
                pool.on_late_connect(&owner, stream).await;
            }
        });
        if let Some(late) = &mut *host.late.borrow_mut() {
            late.task = Some(task.abort_handle());
        }
    }

    /// Adds a late connection to the idle ones if they are fewer than the attempts that wait, or if there is none.
    async fn on_late_connect(&self, host: &Host, stream: TcpStream) {
        if host.idle.borrow().len() < host.waiting.get().max(1)
            && let Ok(connection) = handshake(stream, self.reserved_permit()).await
            && !host.closed.get()
        {
            host.add_idle(connection, Duration::ZERO);
        }
        (self.on_connected)(host.id);
    }
}
