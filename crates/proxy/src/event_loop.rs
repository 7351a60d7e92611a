//! The event loop turns what happens on the network into events of the policy, and carries out the actions that come back.
//! It decides nothing, and has no table of its own: requests in flight are in the [`RequestTable`], endpoints in the
//! [`EndpointTable`].
//!
//! All state is behind one `RefCell` that is never borrowed across an await, nor while other tasks run: each borrow ends
//! within the synchronous call that began it.

mod actions;
mod attempt_context;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use balancer_policy::interface::{DiscoveryMode, ListUpdate, Request, RequestId, SettingsError, Time};
use balancer_policy::{Balancer, Event, Settings};
use balancer_settings::{Loaded, Names};
use tokio::sync::oneshot;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, sleep};

use crate::config::Config;
use crate::discovery::{BrokenError, NOTIFIED_WITHIN, Patience, Update, WatchObserver};
use crate::endpoint_table::{AppliedList, EndpointTable, ListSource};
use crate::pool::{Pool, PoolStats};
use crate::reconfiguration::{self, Offered, Reconfigurable, ReconfigureError};
use crate::request_table::RequestTable;
use crate::telemetry::counters::{self, Counters};

pub use crate::request_table::{AcceptedRequest, Answer};

/// How far the policy's clock runs ahead of the program's start: upstreams that started before it have a time on that
/// clock too. One that started earlier than that finished its slow start long ago.
const CLOCK_LEAD: Duration = Duration::from_secs(3600);
/// How long a new process waits for discovery's first update before its health check passes: the agent on its own
/// machine answers at once unless discovery is down, and then the list of the configuration is the best there is. It
/// waits as long for its first settings, where they are distributed: after that it serves with those of its file.
const FIRST_UPDATE_WITHIN: Duration = Duration::from_millis(500);
/// Least time between two checks for connections that were idle for too long.
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

/// A request that has been accepted, and whose answer is to come.
#[derive(Debug)]
pub struct PendingAnswer {
    /// Its number.
    pub id: RequestId,
    /// Brings the final answer.
    pub answer: oneshot::Receiver<Answer>,
}

/// The state of a running balancer.
pub struct EventLoop {
    state: RefCell<State>,
    /// Those of the start: zones, kinds and the fields of a load report never change.
    names: Names,
    offered: RefCell<Rc<Offered>>,
    /// The longest time that a client waits, under any settings since the start.
    longest_deadline: Cell<Duration>,
    /// The settings in force are those that are distributed, as far as is known.
    configured: Cell<bool>,
    started_at: Instant,
    discovery: Cell<SocketAddr>,
    patience: Patience,
    pool: Rc<Pool>,
}

impl EventLoop {
    /// Starts the policy with the list from the configuration.
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
        let event_loop = Rc::new_cyclic(|this: &Weak<Self>| Self {
            state: RefCell::new(state),
            names: loaded.names,
            longest_deadline: Cell::new(offered.longest()),
            offered: RefCell::new(Rc::new(offered)),
            configured: Cell::new(config.distribution.is_none()),
            started_at: Instant::now(),
            discovery: Cell::new(config.discovery),
            patience,
            pool: {
                let this = Weak::clone(this);
                Pool::new(loaded.connect_timeout, keepalive, config.sockets, move |upstream| {
                    if let Some(event_loop) = this.upgrade() {
                        event_loop.handle(Event::Connected(upstream));
                    }
                })
            },
        });
        event_loop.handle(Event::Started);
        if let Some(known) = config.known {
            event_loop.apply_list(&known, ListSource::Configuration);
        }
        // Detached: both run for as long as the process, hold the event loop alive, and end with the runtime's local set.
        spawn_local(Rc::clone(&event_loop).evict_idle_connections());
        spawn_local(Rc::clone(&event_loop).log_stats_periodically());
        if let Some(distribution) = config.distribution {
            let pool = Rc::clone(&event_loop.pool);
            reconfiguration::follow(Rc::clone(&event_loop), pool, &config.name, config.seed, distribution);
        }
        Ok(event_loop)
    }

    /// What clients may ask for.
    #[must_use]
    pub fn offered(&self) -> Rc<Offered> {
        Rc::clone(&self.offered.borrow())
    }

    /// The longest time that a client waits, under any settings since the start.
    #[must_use]
    pub fn longest_deadline(&self) -> Duration {
        self.longest_deadline.get()
    }

    /// The connections to upstreams.
    #[must_use]
    pub fn pool(&self) -> &Rc<Pool> {
        &self.pool
    }

    /// Whether a list of upstreams is in hand, and not just the configuration's, which may be old, while discovery
    /// may still be about to send one: whatever it sends counts from the first moment.
    #[must_use]
    pub fn can_serve(&self) -> bool {
        let endpoints = &self.state.borrow().endpoints;
        let up_to_date = endpoints.has_update() && self.configured.get();
        endpoints.has_list() && (up_to_date || self.started_at.elapsed() >= FIRST_UPDATE_WITHIN)
    }

    fn now(&self) -> Time {
        CLOCK_LEAD + self.started_at.elapsed()
    }

    // --- Periodic tasks ---

    async fn evict_idle_connections(self: Rc<Self>) {
        loop {
            sleep((self.pool.idle_limit() / 8).max(MIN_EVICTION_INTERVAL)).await;
            self.pool.close_expired();
        }
    }

    async fn log_stats_periodically(self: Rc<Self>) {
        loop {
            sleep(counters::LOG_INTERVAL).await;
            self.log_stats();
        }
    }

    /// Writes what happened since the last time, and how things stand.
    fn log_stats(&self) {
        let mut state = self.state.borrow_mut();
        let counters = std::mem::take(&mut state.counters);
        let State { balancer, requests, endpoints, .. } = &*state;
        let PoolStats { idle_connections, late_dials, sockets, max_sockets, trusted_idle } =
            self.pool.stats();
        crate::log(format_args!(
            "{counters}; now: {} held, {} attempts out, {idle_connections} connections idle (trusted for {} ms) \
             and {late_dials} late, {sockets} of {max_sockets} sockets, {} of {} upstreams ready, list {}; {}",
            requests.len(),
            requests.attempts_out(),
            trusted_idle.as_millis(),
            endpoints.ready(),
            endpoints.listed(),
            endpoints.index(),
            balancer.stats_snapshot(),
        ));
    }

    // --- Requests ---

    /// Accepts a request.
    pub fn accept(self: &Rc<Self>, accepted: AcceptedRequest) -> PendingAnswer {
        let (answer, receiver) = oneshot::channel();
        let AcceptedRequest { class, tenant, subject, expected_work, is_client_retry, deadline, .. } =
            accepted;
        let id = {
            let mut state = self.state.borrow_mut();
            state.counters.accepted += 1;
            state.requests.insert(accepted, answer)
        };
        let time_left = deadline.saturating_duration_since(Instant::now());
        self.handle(Event::Request(Request {
            id,
            class,
            tenant,
            subject,
            time_left,
            expected_work,
            is_client_retry,
        }));
        PendingAnswer { id, answer: receiver }
    }

    /// The client has left, or its time is up: it needs no answer.
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

    // --- Discovery ---

    /// Applies an update of the watch.
    pub fn apply_update(self: &Rc<Self>, mut update: Update) {
        if !self.state.borrow_mut().endpoints.admit(self.now(), &mut update) {
            return;
        }
        self.apply_list(&update, if update.snapshot { ListSource::Snapshot } else { ListSource::Delta });
        self.note_heartbeat();
        // To the policy an update means that the watch is established. If it came from the old address, the policy must
        // still ask for a watch at the new one.
        let moved = self.state.borrow().watch.address != self.discovery.get();
        if moved {
            self.state.borrow_mut().watch.abort();
            self.handle(Event::List(ListUpdate::Relocated));
        }
    }

    /// The watch has sent a line, be it an empty one.
    pub fn note_heartbeat(&self) {
        self.state.borrow_mut().endpoints.note_heartbeat(self.now());
    }

    /// Discovery listens elsewhere now: the policy is notified, and asks for a watch there. Until then the old one
    /// continues.
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
        self.longest_deadline.set(self.longest_deadline.get().max(offered.longest()));
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
        self.apply_update(update);
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
    // 'Automatic' is defined for the simulator. On sockets a change comes only over a watch, and the setting means that
    // lists are pushed to an agent on this machine.
    if settings.discovery == DiscoveryMode::Push {
        settings.discovery = DiscoveryMode::Agent;
    }
    // Where lists are polled, the settings may allow a longer interval than the time after which a change counts.
    let poll_interval_max = &mut settings.rules.poll_interval_max;
    *poll_interval_max = Some(poll_interval_max.unwrap_or(NOTIFIED_WITHIN).min(NOTIFIED_WITHIN));
}
