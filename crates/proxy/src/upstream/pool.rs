//! Connections to upstreams between attempts: those that stand idle, those that still come up, and how long one
//! usually takes to come up. How an attempt gets one stands in `acquire.rs`.

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
use super::connection::{Connection, Permit, speak};
use super::host::{Connecting, Idle, Late};
use super::idle_trust::Trust;

pub use super::acquire_error::AcquireError;
pub use super::host::Host;

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

/// How a pool stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolStats {
    /// Connections that stand idle.
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
    /// By zone: where upstreams stand decides how long a connect takes.
    connect_times: RefCell<FxHashMap<Option<ZoneId>, ConnectTime>>,
    connect_timeout: Cell<Duration>,
    keep: Cell<Duration>,
    trust: RefCell<Trust>,
    sockets: Rc<Cell<usize>>,
    sockets_most: usize,
    /// Hears of each connection that came up with no attempt waiting for it.
    connected: Box<dyn Fn(EndpointId)>,
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
        connected: impl Fn(EndpointId) + 'static,
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
    pub(super) fn permit(&self) -> Option<Permit> {
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
            gone: Cell::new(false),
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

    /// Closes what has stood idle for too long, or was closed by its upstream.
    pub fn close_old(&self) {
        for host in self.hosts.borrow().values() {
            let keep = |idle: &Idle| idle.connection.is_free() && idle.since.elapsed() < self.keep.get();
            host.idle.borrow_mut().retain(keep);
        }
    }

    /// How the pool stands now.
    #[must_use]
    pub fn stats(&self) -> PoolStats {
        let hosts = self.hosts.borrow();
        PoolStats {
            idle_connections: hosts.values().map(|host| host.idle.borrow().len()).sum(),
            late_dials: hosts.values().filter(|host| host.late.borrow().is_some()).count(),
            sockets: self.sockets.get(),
            max_sockets: self.sockets_most,
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

    pub(super) fn learn_connect(&self, host: &Host, took: Duration, up: bool) {
        self.connect_times.borrow_mut().entry(host.zone).or_default().learn(took, up);
    }

    /// For how long a connection may have been idle to carry a request that must not run twice.
    pub(super) fn trusted_idle(&self) -> Duration {
        self.trust.borrow().trusted()
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
    pub(super) fn go_on(self: &Rc<Self>, host: &Rc<Host>, connecting: Connecting) {
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
