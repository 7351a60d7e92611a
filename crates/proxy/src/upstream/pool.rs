//! The pool of connections to upstreams: idle connections, background dials, the usual connect times and the socket
//! budget. How an attempt acquires a connection is in `acquire.rs`.

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
use super::host::{BackgroundDial, Connecting, IdleConnection};
use super::idle_trust::IdleTrust;
use crate::memory::Memory;

pub use super::acquire_error::AcquireError;
pub use super::host::Host;

/// Idle limit of the pool as a fraction of the keepalive time in the settings. The pool closes idle connections before
/// the upstream does, because a request written while the upstream closes its connection ends as a reset.
const IDLE_LIMIT_FRACTION: f64 = 0.7;
/// How long a connection stays unused after a response before it carries the next request. A faulty upstream may send a
/// second response some milliseconds after the first, which the next request's client would get.
const REUSE_DELAY: Duration = Duration::from_millis(10);
/// Number of descriptors reserved for other uses than connections: standard streams, listener and runtime.
const OTHER_DESCRIPTORS: usize = 16;
/// Connections to upstreams leave one in this many sockets of the budget to clients.
const CLIENT_RESERVE_DIVISOR: usize = 4;
/// Least time that a background dial may take, counted from its start; a longer connect timeout extends it. TCP repeats
/// its SYN after 1 s and after 3 s (RFC 6298, with doubling), and the reply to the second repeat takes another round
/// trip.
const BACKGROUND_DIAL_TIMEOUT: Duration = Duration::from_millis(3500);

/// What limits a pool.
#[derive(Debug)]
pub struct PoolLimits {
    /// The connect timeout of the settings.
    pub connect_timeout: Duration,
    /// The keepalive time of the settings.
    pub idle_timeout: Duration,
    /// Number of sockets that the process may have open, see [`max_sockets`].
    pub sockets: usize,
    /// The budgets of the memory that peers can make the process hold.
    pub memory: Memory,
}

/// The number of sockets that a process may have open if it may have `descriptors` descriptors.
#[must_use]
pub fn max_sockets(descriptors: usize) -> usize {
    descriptors.saturating_sub(OTHER_DESCRIPTORS)
}

/// A snapshot of the state of a pool, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolStats {
    /// Number of idle connections to upstreams.
    pub idle_connections: usize,
    /// Number of background dials: those that continue although no attempt waits for them.
    pub background_dials: usize,
    /// Number of open sockets of the process, including those of clients and of discovery.
    pub sockets: usize,
    /// Socket budget: the number of sockets that the process may have open.
    pub max_sockets: usize,
    /// Longest time that a connection may have been idle and still carry a request that must not run twice.
    pub trusted_idle: Duration,
}

/// All connections to upstreams, and the socket budget of the process.
pub struct Pool {
    hosts: RefCell<FxHashMap<EndpointId, Rc<Host>>>,
    /// Usual connect times by zone, because the time of a connect depends on the location of the upstream.
    connect_times: RefCell<FxHashMap<Option<ZoneId>, ConnectTime>>,
    connect_timeout: Cell<Duration>,
    idle_limit: Cell<Duration>,
    trust: RefCell<IdleTrust>,
    sockets: Rc<Cell<usize>>,
    max_sockets: usize,
    memory: Memory,
    /// Called for each background dial that has connected.
    on_connected: Box<dyn Fn(EndpointId)>,
}

impl Debug for Pool {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("Pool").field("sockets", &self.sockets).finish_non_exhaustive()
    }
}

impl Pool {
    /// Creates an empty pool. `on_connected` is called for each background dial that has connected.
    pub fn new(limits: PoolLimits, on_connected: impl Fn(EndpointId) + 'static) -> Rc<Self> {
        let PoolLimits { connect_timeout, idle_timeout, sockets: max_sockets, memory } = limits;
        let idle_limit = idle_timeout.mul_f64(IDLE_LIMIT_FRACTION);
        Rc::new(Self {
            hosts: RefCell::default(),
            connect_times: RefCell::default(),
            connect_timeout: Cell::new(connect_timeout),
            idle_limit: Cell::new(idle_limit),
            trust: RefCell::new(IdleTrust::new(idle_limit)),
            sockets: Rc::default(),
            max_sockets,
            memory,
            on_connected: Box::new(on_connected),
        })
    }

    /// How long a connection may be idle before it is closed.
    #[must_use]
    pub fn idle_limit(&self) -> Duration {
        self.idle_limit.get()
    }

    /// The budgets of the memory that peers can make the process hold.
    #[must_use]
    pub fn memory(&self) -> &Memory {
        &self.memory
    }

    /// Applies new settings. A connect in progress keeps its timeout.
    pub fn reconfigure(&self, connect_timeout: Duration, idle_timeout: Duration) {
        self.connect_timeout.set(connect_timeout);
        self.idle_limit.set(idle_timeout.mul_f64(IDLE_LIMIT_FRACTION));
        self.trust.borrow_mut().set_idle_limit(self.idle_limit.get());
    }

    // --- Sockets ---

    /// Counts a connection without checking the budget: a client connection, which the kernel has already accepted, a
    /// connection to discovery, without which drains would be missed, or a connection to a source of settings. Also
    /// counts a connection to an upstream, after `permit` has checked the budget for it.
    #[must_use]
    pub fn reserved_permit(&self) -> Permit {
        Permit::of(&self.sockets)
    }

    /// Whether so many sockets are open that idle connections must be closed: at most half of the sockets that
    /// upstream connections leave to clients (`CLIENT_RESERVE_DIVISOR`) remain.
    #[must_use]
    pub fn is_nearly_full(&self) -> bool {
        self.sockets.get() >= self.max_sockets - self.max_sockets / (2 * CLIENT_RESERVE_DIVISOR)
    }

    /// Whether the socket budget is used up. The remaining descriptors are reserved for discovery and the program
    /// itself.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.sockets.get() > self.max_sockets
    }

    /// Takes a socket for a connection to an upstream from the budget; `None` if no socket, or no memory for the buffers
    /// of the connection, is left. If only the sockets
    /// left to clients (`CLIENT_RESERVE_DIVISOR`) remain, it first gives up a background dial or closes an idle
    /// connection.
    pub(super) fn permit(&self) -> Option<Permit> {
        let limit = self.max_sockets - self.max_sockets / CLIENT_RESERVE_DIVISOR;
        if self.sockets.get() >= limit {
            self.close_unused();
        }
        if self.memory.buffers_exhausted() && !self.close_unused() {
            return None;
        }
        (self.sockets.get() < self.max_sockets).then(|| self.upstream_permit())
    }

    /// Counts a connection to an upstream without checking the budgets.
    fn upstream_permit(&self) -> Permit {
        self.reserved_permit().with_buffers(self.memory.count_upstream_buffers())
    }

    /// Gives up a background dial or, if there is none, closes the least recently used idle connection. Returns whether
    /// there was one to close.
    pub fn close_unused(&self) -> bool {
        let hosts = self.hosts.borrow();
        if hosts.values().any(|host| host.background_dial.take().is_some()) {
            return true;
        }
        let oldest = |host: &&Rc<Host>| host.idle.borrow().first().map(|oldest| oldest.since);
        let host = hosts.values().filter(|host| oldest(host).is_some()).min_by_key(oldest);
        host.map(|host| host.idle.borrow_mut().remove(0)).is_some()
    }

    // --- Hosts ---

    /// Returns the connections to an upstream that discovery's list has ready at this address, creating the entry if
    /// needed.
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
            background_dial: RefCell::default(),
            waiting_attempts: Cell::new(0),
            closed: Cell::new(false),
            changed: Notify::new(),
        });
        if let Some(replaced) = hosts.insert(id, Rc::clone(&host)) {
            replaced.close();
        }
        host
    }

    /// Closes all connections to an upstream except those that carry an attempt.
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

    /// Closes the connections to upstreams for which `listed` returns false, as they are not listed as ready at their
    /// address.
    pub fn retain(&self, listed: impl Fn(EndpointId, SocketAddr) -> bool) {
        self.hosts.borrow_mut().retain(|&id, host| {
            let listed = listed(id, host.address);
            if !listed {
                host.close();
            }
            listed
        });
    }

    /// Closes connections that have exceeded the idle limit or were closed by their upstream.
    pub fn close_expired(&self) {
        for host in self.hosts.borrow().values() {
            let is_usable = |idle: &IdleConnection| {
                idle.connection.is_free() && idle.since.elapsed() < self.idle_limit.get()
            };
            host.idle.borrow_mut().retain(is_usable);
        }
    }

    /// Returns a snapshot of the pool's state.
    #[must_use]
    pub fn stats(&self) -> PoolStats {
        let hosts = self.hosts.borrow();
        PoolStats {
            idle_connections: hosts.values().map(|host| host.idle.borrow().len()).sum(),
            background_dials: hosts.values().filter(|host| host.background_dial.borrow().is_some()).count(),
            sockets: self.sockets.get(),
            max_sockets: self.max_sockets,
            trusted_idle: self.trusted_idle(),
        }
    }

    // --- Connections ---

    /// The connect timeout of the settings.
    pub(super) fn connect_timeout(&self) -> Duration {
        self.connect_timeout.get()
    }

    /// How long an attempt that is not the last of its request waits for a connection to this host.
    pub(super) fn attempt_connect_timeout(&self, host: &Host) -> Duration {
        let times = self.connect_times.borrow();
        let limit = self.connect_timeout.get();
        times.get(&host.zone).map_or(limit, |time| time.attempt_connect_timeout(limit))
    }

    /// Records a connect to this host that took `duration`, or that was given up after `duration` if `succeeded` is
    /// false.
    pub(super) fn record_connect(&self, host: &Host, duration: Duration, succeeded: bool) {
        self.connect_times.borrow_mut().entry(host.zone).or_default().record(duration, succeeded);
    }

    /// The longest idle time after which a connection may carry a request that must not run twice.
    pub(super) fn trusted_idle(&self) -> Duration {
        self.trust.borrow().trusted()
    }

    /// Records whether a request on a connection that had been idle for `idle` was answered or the connection was
    /// reset.
    pub fn record_reuse(&self, idle: Duration, answered: bool) {
        if answered {
            self.trust.borrow_mut().record_answer(idle);
        } else {
            self.trust.borrow_mut().record_reset(idle);
        }
    }

    /// Returns a connection to the pool after an attempt, if it can carry another request.
    pub fn release(&self, host: &Host, connection: Connection) {
        if !host.closed.get() && connection.is_free() {
            host.add_idle(connection, REUSE_DELAY);
        }
    }

    /// Continues a dial in the background after its attempt stopped waiting, unless the host is closed, has such a dial
    /// already, or sockets are scarce.
    pub(super) fn continue_dial(self: &Rc<Self>, host: &Rc<Host>, connecting: Connecting) {
        if host.closed.get() || host.background_dial.borrow().is_some() || self.is_nearly_full() {
            return;
        }
        let give_up_at = connecting.since + BACKGROUND_DIAL_TIMEOUT.max(self.connect_timeout.get());
        host.background_dial.replace(Some(BackgroundDial { connecting, task: None }));
        let (pool, owner) = (Rc::clone(self), Rc::clone(host));
        let task = spawn_local(async move {
            let connect = poll_fn(|context| match &mut *owner.background_dial.borrow_mut() {
                Some(background_dial) => background_dial.connecting.stream.as_mut().poll(context),
                None => Poll::Pending,
            });
            let connected = timeout_at(give_up_at, connect).await;
            // Dropping the dial aborts its task, which is this one, so its handle is removed first.
            let Some(mut background_dial) = owner.background_dial.take() else { return };
            background_dial.task = None;
            if let Ok(Ok(stream)) = connected {
                pool.on_background_connect(&owner, stream).await;
            }
        });
        if let Some(background_dial) = &mut *host.background_dial.borrow_mut() {
            background_dial.task = Some(task.abort_handle());
        }
    }

    /// Adds the connection of a background dial to the idle connections if there are fewer of them than waiting
    /// attempts, or none at all. The policy is notified of the connect even if the connection is not kept.
    async fn on_background_connect(&self, host: &Host, stream: TcpStream) {
        if host.idle.borrow().len() < host.waiting_attempts.get().max(1)
            && let Ok(connection) = handshake(stream, self.upstream_permit()).await
            && !host.closed.get()
        {
            host.add_idle(connection, Duration::ZERO);
        }
        (self.on_connected)(host.id);
    }
}
