//! What happens with what the decisions ask for? The event loop turns what happens on the network into events of the
//! policy, and carries out the actions that come back. It decides nothing, and has no table of its own: requests in flight
//! are in the [`RequestTable`], endpoints in the [`EndpointTable`].
//!
//! All state is behind one `RefCell` that is never borrowed across an await, nor while other tasks run: each borrow ends
//! within the synchronous call that began it.

mod actions;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use balancer_policy::interface::{
    DiscoveryMode, EndpointId, ListUpdate, Request, RequestId, SettingsError, Time,
};
use balancer_policy::{Balancer, Event, Settings};
use balancer_settings::{Loaded, Names};
use tokio::sync::oneshot;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, sleep};

use crate::config::Config;
use crate::discovery::{BrokenError, NOTIFIED_WITHIN, Patience, Update, WatchObserver};
use crate::endpoint_table::{AppliedList, EndpointTable, ListSource};
use crate::pool::{AcquireError, Host, Pool};
use crate::reconfiguration::{self, Offered, Reconfigurable, ReconfigureError};
use crate::request_table::RequestTable;
use crate::telemetry::counters::{self, Counters};
use crate::upstream::{Ended, Job};

pub use crate::request_table::{AcceptedRequest, Answer};

/// How far the policy's clock runs ahead of the program's start: upstreams that started before it have a time on that
/// clock too. One that started earlier still has been warm for long.
const CLOCK_LEAD: Duration = Duration::from_secs(3600);
/// How long a new process waits for discovery's first update before it says that it can serve: the agent on its own
/// machine answers at once unless discovery is down, and then the list of the configuration is the best there is. It
/// waits as long for the first word on its settings, where they are distributed: then those of its file have to do.
const FIRST_UPDATE_WITHIN: Duration = Duration::from_millis(500);
/// Time between two looks for connections that were idle for too long, at the least.
const MIN_EVICTION_INTERVAL: Duration = Duration::from_millis(10);

/// What changes with events.
struct State {
    balancer: Balancer,
    /// Events that actions have led to, still to be handled.
    events: VecDeque<Event>,
    requests: RequestTable,
    endpoints: EndpointTable,
    watch: Watch,
    counters: Counters,
}

/// The latest watch on discovery.
struct Watch {
    /// Its task, until it ends.
    task: Option<AbortHandle>,
    number: u64,
    address: SocketAddr,
}

impl Watch {
    fn abort(&mut self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
    }
}

/// The state of a running balancer.
pub struct EventLoop {
    state: RefCell<State>,
    /// Those of the start: zones, kinds and the fields of a load report stay for life.
    names: Names,
    offered: RefCell<Rc<Offered>>,
    /// The longest time that a client waits, under any settings since the start.
    longest: Cell<Duration>,
    /// The settings in force are those that are distributed, as far as is known.
    configured: Cell<bool>,
    zero: Instant,
    discovery: Cell<SocketAddr>,
    patience: Patience,
    pool: Rc<Pool>,
}

impl EventLoop {
    /// Starts the decisions with the list from the configuration.
    ///
    /// # Errors
    /// The settings make no sense.
    pub fn start(config: Config) -> Result<Rc<Self>, SettingsError> {
        let mut loaded = config.loaded;
        fit_to_sockets(&mut loaded.settings);
        let patience = Patience::of(loaded.settings.discovery);
        let keepalive = loaded.settings.permissions.keepalive;
        let offered = Offered::new(&loaded.names, &loaded.settings);
        // The subscription asks for what came after the list in hand, so that its version is noted first.
        let index = config.known.as_ref().map_or(0, |known| known.index);
        let state = State {
            balancer: Balancer::new(loaded.settings, config.seed)?,
            events: VecDeque::new(),
            requests: RequestTable::default(),
            endpoints: EndpointTable::new(config.wall_clock, index),
            watch: Watch { task: None, number: 0, address: config.discovery },
            counters: Counters::default(),
        };
        let driver = Rc::new_cyclic(|driver: &Weak<Self>| Self {
            state: RefCell::new(state),
            names: loaded.names,
            longest: Cell::new(offered.longest()),
            offered: RefCell::new(Rc::new(offered)),
            configured: Cell::new(config.distribution.is_none()),
            zero: Instant::now(),
            discovery: Cell::new(config.discovery),
            patience,
            pool: {
                let driver = Weak::clone(driver);
                Pool::new(loaded.connect_timeout, keepalive, config.sockets, move |upstream| {
                    if let Some(driver) = driver.upgrade() {
                        driver.handle(Event::Connected(upstream));
                    }
                })
            },
        });
        driver.handle(Event::Started);
        if let Some(known) = config.known {
            driver.apply_list(&known, ListSource::Configuration);
        }
        // Both go on for as long as the process.
        spawn_local(Rc::clone(&driver).evict_idle_connections());
        spawn_local(Rc::clone(&driver).log_stats_periodically());
        if let Some(distribution) = config.distribution {
            let pool = Rc::clone(&driver.pool);
            reconfiguration::follow(Rc::clone(&driver), pool, &config.name, config.seed, distribution);
        }
        Ok(driver)
    }

    /// Whether a load report may have a value of this name.
    #[must_use]
    pub fn has_load_field(&self, name: &str) -> bool {
        self.names.load_fields.iter().any(|field| field == name)
    }

    /// What clients may ask for.
    #[must_use]
    pub fn offered(&self) -> Rc<Offered> {
        Rc::clone(&self.offered.borrow())
    }

    /// The longest time that a client waits, under any settings since the start.
    #[must_use]
    pub fn longest(&self) -> Duration {
        self.longest.get()
    }

    /// The connections to upstreams.
    #[must_use]
    pub fn pool(&self) -> &Rc<Pool> {
        &self.pool
    }

    /// Whether a list of upstreams is in hand, and not just the configuration's, which may be old, while discovery
    /// may still be about to speak: what it has counts as told from the first moment.
    #[must_use]
    pub fn can_serve(&self) -> bool {
        let endpoints = &self.state.borrow().endpoints;
        let up_to_date = endpoints.has_update() && self.configured.get();
        endpoints.has_list() && (up_to_date || self.zero.elapsed() >= FIRST_UPDATE_WITHIN)
    }

    fn now(&self) -> Time {
        CLOCK_LEAD + self.zero.elapsed()
    }

    // --- Periodic tasks ---

    async fn evict_idle_connections(self: Rc<Self>) {
        loop {
            sleep((self.pool.keep_for() / 8).max(MIN_EVICTION_INTERVAL)).await;
            self.pool.close_old();
        }
    }

    async fn log_stats_periodically(self: Rc<Self>) {
        loop {
            sleep(counters::EVERY).await;
            self.log_stats();
        }
    }

    /// Writes what happened since the last time, and how things stand.
    fn log_stats(&self) {
        let mut state = self.state.borrow_mut();
        let counters = std::mem::take(&mut state.counters);
        let State { balancer, requests, endpoints, .. } = &*state;
        let (idle, late, sockets, sockets_most, trusted) = self.pool.figures();
        crate::log(format_args!(
            "{counters}; now: {} held, {} attempts out, {idle} connections idle (trusted for {} ms) \
             and {late} late, {sockets} of {sockets_most} sockets, {} of {} upstreams ready, list {}; {}",
            requests.len(),
            requests.attempts_out(),
            trusted.as_millis(),
            endpoints.ready(),
            endpoints.listed(),
            endpoints.index(),
            balancer.stats_snapshot(),
        ));
    }

    // --- Connections ---

    /// The connections to an upstream, if discovery's latest update allows new work for it at this address.
    #[must_use]
    pub fn host(&self, upstream: EndpointId, address: SocketAddr) -> Option<Rc<Host>> {
        let state = self.state.borrow();
        let endpoint = state.endpoints.ready_endpoint_at(upstream, address)?;
        Some(self.pool.host(upstream, address, endpoint.zone))
    }

    /// Learns whether a connection that was idle for so long has carried its request.
    pub fn learn_idle(&self, idle: Duration, answered: bool) {
        self.pool.learn_idle(idle, answered);
        self.state.borrow_mut().counters.reused_reset += u32::from(!answered);
    }

    /// Whether discovery's latest update allows new work for an upstream at this address.
    #[must_use]
    pub fn may_send(&self, upstream: EndpointId, address: SocketAddr) -> bool {
        self.state.borrow().endpoints.ready_endpoint_at(upstream, address).is_some()
    }

    /// Counts a connection to an upstream.
    pub fn count_opened(&self) {
        self.state.borrow_mut().counters.opened += 1;
    }

    /// Logs why a connection did not come up, once between two lines of counts: upstreams may be out of reach
    /// for long.
    pub fn log_unreachable(&self, address: SocketAddr, error: &AcquireError) {
        if !std::mem::replace(&mut self.state.borrow_mut().counters.unreachable_logged, true) {
            crate::log(format_args!("{address} was not reached: {error}"));
        }
    }

    // --- Requests ---

    /// Whether a request still wants an answer: its client may have left, or another attempt have served it.
    #[must_use]
    pub fn is_wanted(&self, request: RequestId) -> bool {
        self.state.borrow().requests.is_wanted(request)
    }

    /// The same, and its client is still there: asks the system, as the end of a connection may lie in its socket
    /// while the process was held up or others had their turn.
    #[must_use]
    pub fn is_awaited(&self, request: RequestId) -> bool {
        self.state.borrow().requests.is_awaited(request)
    }

    /// Accepts a request; its final answer comes through the receiver.
    pub fn accept(self: &Rc<Self>, taken: AcceptedRequest) -> (RequestId, oneshot::Receiver<Answer>) {
        let (answer, receiver) = oneshot::channel();
        let id = {
            let mut state = self.state.borrow_mut();
            state.counters.accepted += 1;
            state.requests.insert(&taken, answer)
        };
        self.handle(Event::Request(Request {
            id,
            class: taken.class,
            tenant: taken.tenant,
            subject: taken.subject,
            time_left: taken.deadline.saturating_duration_since(Instant::now()),
            expected_work: taken.expected_work,
            is_client_retry: taken.is_client_retry,
        }));
        (id, receiver)
    }

    /// The client has left, or its time is up: nothing more is owed.
    pub fn client_disconnected(self: &Rc<Self>, id: RequestId) {
        {
            let mut state = self.state.borrow_mut();
            if !state.requests.abandon(id) {
                return;
            }
            state.counters.left += 1;
        }
        self.handle(Event::ClientDisconnected(id));
    }

    /// An attempt is over.
    pub fn attempt_ended(self: &Rc<Self>, job: &Job, ended: Ended) {
        let duration = job.asked.elapsed();
        let result = {
            let mut state = self.state.borrow_mut();
            let result = state.requests.end_attempt(job.request, job.attempt, ended.body);
            let Some(result) = result else { return };
            state.counters.attempt(ended.outcome, duration);
            state.counters.served += u32::from(result.served);
            result
        };
        self.handle(Event::AttemptEnded {
            request: job.request,
            attempt: job.attempt,
            outcome: ended.outcome,
            duration,
            connect_wait: ended.connect_wait.unwrap_or(duration),
            finished: result.finished,
            load: ended.load,
        });
    }

    // --- Discovery ---

    /// Takes in an update of the watch.
    pub fn learn(self: &Rc<Self>, mut update: Update) {
        if !self.state.borrow_mut().endpoints.admit(self.now(), &mut update) {
            return;
        }
        self.apply_list(&update, if update.snapshot { ListSource::Snapshot } else { ListSource::Delta });
        self.note_heartbeat();
        // To the decisions an update means that the watch stands. On one at the address of before it must not keep them
        // from asking at the new one.
        let moved = self.state.borrow().watch.address != self.discovery.get();
        if moved {
            self.state.borrow_mut().watch.abort();
            self.handle(Event::List(ListUpdate::Relocated));
        }
    }

    /// The watch has said a line, if an empty one.
    pub fn note_heartbeat(&self) {
        self.state.borrow_mut().endpoints.note_heartbeat(self.now());
    }

    /// Discovery listens elsewhere now: the decisions are notified, and ask for a watch there. Until then the old one
    /// goes on.
    pub fn move_discovery(self: &Rc<Self>, address: SocketAddr) {
        if self.discovery.replace(address) != address {
            crate::log(format_args!("discovery is at {address} now"));
            self.handle(Event::List(ListUpdate::Relocated));
        }
    }

    fn apply_list(self: &Rc<Self>, update: &Update, source: ListSource) {
        let update = {
            let mut state = self.state.borrow_mut();
            let State { endpoints, requests, .. } = &mut *state;
            let applied =
                endpoints.apply(self.now(), &update.endpoints, source, &self.names, || requests.upstreams());
            let AppliedList { update, restarted } = applied;
            for id in restarted {
                self.pool.close(id);
            }
            // No cached connection goes to an upstream that drains, is gone, or has moved.
            self.pool.retain(|id, address| endpoints.ready_endpoint_at(id, address).is_some());
            update
        };
        self.handle(Event::List(update));
    }
}

impl Reconfigurable for EventLoop {
    /// Requests that were accepted keep the rules that they were accepted under, attempts and connections go on.
    fn reconfigure(self: &Rc<Self>, loaded: Loaded) -> Result<(), ReconfigureError> {
        let Loaded { mut settings, names, connect_timeout } = loaded;
        fit_to_sockets(&mut settings);
        let offered = self.offered().followed_by(&names, &mut settings)?;
        settings.validate()?;
        self.pool.reconfigure(connect_timeout, settings.permissions.keepalive);
        self.longest.set(self.longest.get().max(offered.longest()));
        self.offered.replace(Rc::new(offered));
        self.handle(Event::Reconfigured(settings));
        Ok(())
    }

    fn configured(&self) {
        self.configured.set(true);
    }
}

impl WatchObserver for EventLoop {
    fn on_update(self: &Rc<Self>, update: Update) {
        self.learn(update);
    }

    fn on_heartbeat(&self) {
        self.note_heartbeat();
    }

    fn on_broken(self: &Rc<Self>, number: u64, why: &BrokenError) {
        {
            let watch = &mut self.state.borrow_mut().watch;
            if watch.number != number {
                return;
            }
            watch.task = None;
        }
        crate::log(format_args!("the watch on discovery broke: {why}"));
        self.handle(Event::List(ListUpdate::Broken));
    }
}

/// Fits the settings to real sockets.
fn fit_to_sockets(settings: &mut Settings) {
    // 'Automatic' speaks of the simulator: here a change comes only over a watch, which the decisions keep. It means
    // that lists are pushed to an agent on this machine.
    if settings.discovery == DiscoveryMode::Push {
        settings.discovery = DiscoveryMode::Agent;
    }
    // Where lists are asked for, the settings may allow to ask more seldom than changes count as told.
    let poll_interval_max = &mut settings.rules.poll_interval_max;
    *poll_interval_max = Some(poll_interval_max.unwrap_or(NOTIFIED_WITHIN).min(NOTIFIED_WITHIN));
}
