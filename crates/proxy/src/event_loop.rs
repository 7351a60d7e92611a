//! The event loop translates network activity into events of the policy, and carries out the actions that the policy
//! returns. It makes no decisions and has no tables of its own: requests in flight are in the [`RequestTable`],
//! endpoints in the [`EndpointTable`].
//!
//! All state is behind one `RefCell` that is never borrowed across an await or while other tasks run: each borrow ends
//! within the synchronous call that began it.

mod actions;
mod attempt_context;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fmt::Display;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use balancer_policy::interface::{DiscoveryMode, ListUpdate, Request, RequestId, SettingsError, Time};
use balancer_policy::{Balancer, Event, Settings};
use balancer_settings::{LoadedSettings, NameIndexes};
use hyper::header::HeaderValue;
use tokio::sync::oneshot;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, sleep};

use crate::config::Config;
use crate::discovery::{
    DiscoveryWatchError, FirstLineTimeout, MAX_NOTIFICATION_DELAY, Update, WatchObserver,
};
use crate::endpoint_table::{AppliedList, EndpointTable, ListSource};
use crate::memory::{Memory, MemoryPlan};
use crate::pool::{Pool, PoolLimits, PoolStats};
use crate::reconfiguration::{self, NameRegistry, Reconfigurable, ReconfigureError};
use crate::request_table::RequestTable;
use crate::telemetry::closes::CloseReason;
use crate::telemetry::counters::{self, Counters};
use crate::telemetry::process_memory::ProcessMemory;
use crate::upstream::pool;

pub use crate::request_table::{AcceptedRequest, Answer};

/// Time on the policy's clock when this process starts, so that upstreams that started before the process have a time
/// on that clock too. An upstream that started even earlier finished its slow start long ago.
const CLOCK_LEAD: Duration = Duration::from_secs(3600);
/// Time that a new process waits for discovery's first update before its health check passes with the list of the
/// configuration. The agent on its machine answers at once unless discovery is down, and then no better list is to be
/// had. Where settings are distributed, the process waits for its first settings for the same time and then serves with
/// those of its file.
const FIRST_UPDATE_TIMEOUT: Duration = Duration::from_millis(500);
/// Minimum time between two checks for connections that have been idle for too long.
const MIN_EVICTION_INTERVAL: Duration = Duration::from_millis(10);

/// The part of the event loop's state that events change.
struct State {
    balancer: Balancer,
    /// Events that have not been handled yet, such as those that result from an action.
    events: VecDeque<Event>,
    requests: RequestTable,
    endpoints: EndpointTable,
    watch: Watch,
    counters: Counters,
}

/// The most recent watch on discovery.
struct Watch {
    /// Handle to abort the task of the watch; `None` once the watch has ended.
    task: Option<AbortHandle>,
    /// Number that distinguishes this watch on discovery from earlier ones.
    number: u64,
    /// Address of discovery that the watch was opened to.
    address: SocketAddr,
}

impl Watch {
    fn abort(&mut self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
    }
}

/// A request that has been accepted and awaits its answer.
#[derive(Debug)]
pub struct PendingAnswer {
    /// Id of the request.
    pub id: RequestId,
    /// Receives the final answer to the request.
    pub answer: oneshot::Receiver<Answer>,
}

/// A running balancer: its state, its connections to upstreams, and the settings in force.
pub struct EventLoop {
    state: RefCell<State>,
    /// Names in the settings with which the process started. Only those of zones, kinds of machine and load report
    /// fields are used, which never change.
    names: NameIndexes,
    /// Classes and tenants that requests may name under the settings in force.
    name_registry: RefCell<Rc<NameRegistry>>,
    /// Longest deadline of any class under any settings since the start of the process.
    longest_deadline: Cell<Duration>,
    /// Whether the distribution of settings has sent its first state, or no distribution is configured.
    settings_received: Cell<bool>,
    started_at: Instant,
    /// Address on which discovery listens.
    discovery: Cell<SocketAddr>,
    /// Time that a watch on discovery may take until its first whole line.
    first_line_timeout: FirstLineTimeout,
    pool: Rc<Pool>,
}

impl EventLoop {
    /// Starts the policy, with the list of upstreams from the configuration if it has one.
    ///
    /// # Errors
    /// The policy does not accept the settings.
    pub fn start(config: Config) -> Result<Rc<Self>, SettingsError> {
        let mut loaded = config.loaded;
        adapt_to_sockets(&mut loaded.settings);
        let first_line_timeout = FirstLineTimeout::of(loaded.settings.discovery);
        let idle_timeout = loaded.settings.permissions.idle_timeout;
        let name_registry = NameRegistry::new(&loaded.names, &loaded.settings);
        // The first watch requests changes since this version, so it is set before that watch is opened.
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
            longest_deadline: Cell::new(name_registry.max_deadline()),
            name_registry: RefCell::new(Rc::new(name_registry)),
            settings_received: Cell::new(config.distribution.is_none()),
            started_at: Instant::now(),
            discovery: Cell::new(config.discovery),
            first_line_timeout,
            pool: {
                let this = Weak::clone(this);
                let sockets = pool::max_sockets(config.sockets);
                let limits = PoolLimits {
                    connect_timeout: loaded.connect_timeout,
                    idle_timeout,
                    sockets,
                    memory: Memory::new(MemoryPlan::new(config.memory_mb, sockets)),
                };
                Pool::new(limits, move |upstream| {
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
        // Detached: both tasks keep the event loop alive, run as long as the process, and end with the runtime's local
        // set.
        spawn_local(Rc::clone(&event_loop).evict_idle_connections());
        spawn_local(Rc::clone(&event_loop).log_stats_periodically());
        if let Some(distribution) = config.distribution {
            let pool = Rc::clone(&event_loop.pool);
            reconfiguration::follow(Rc::clone(&event_loop), pool, &config.name, config.seed, distribution);
        }
        Ok(event_loop)
    }

    /// Returns the classes and tenants that requests may name under the settings in force.
    #[must_use]
    pub fn name_registry(&self) -> Rc<NameRegistry> {
        Rc::clone(&self.name_registry.borrow())
    }

    /// Returns the longest deadline of any class under any settings since the start.
    #[must_use]
    pub fn longest_deadline(&self) -> Duration {
        self.longest_deadline.get()
    }

    /// Returns the pool of connections to upstreams.
    #[must_use]
    pub fn pool(&self) -> &Rc<Pool> {
        &self.pool
    }

    /// Returns the budgets of the memory that peers can make the process hold.
    #[must_use]
    pub fn memory(&self) -> &Memory {
        self.pool.memory()
    }

    /// Whether the health check passes: there is a list of upstreams, and discovery's first update and the first
    /// distributed settings have arrived or 500 ms have passed since the start. The list of the configuration may be
    /// stale, so a new process first gives discovery this time to send a current one.
    #[must_use]
    pub fn can_serve(&self) -> bool {
        let endpoints = &self.state.borrow().endpoints;
        let up_to_date = endpoints.has_update() && self.settings_received.get();
        endpoints.has_list() && (up_to_date || self.started_at.elapsed() >= FIRST_UPDATE_TIMEOUT)
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

    /// Writes the line of counters since the last such line, and of the current state, to the log.
    fn log_stats(&self) {
        let mut state = self.state.borrow_mut();
        let counters = std::mem::take(&mut state.counters);
        let State { balancer, requests, endpoints, .. } = &*state;
        let PoolStats { idle_connections, background_dials, sockets, max_sockets, trusted_idle } =
            self.pool.stats();
        crate::log(format_args!(
            "{counters}; now: {} held, {} attempts out, {idle_connections} connections idle (trusted for {} ms) \
             and {background_dials} late, {sockets} of {max_sockets} sockets, {} of {} upstreams ready, list {}; {}",
            requests.len(),
            requests.attempts_out(),
            trusted_idle.as_millis(),
            endpoints.ready(),
            endpoints.listed(),
            endpoints.index(),
            balancer.stats_snapshot(),
        ));
        let memory =
            ProcessMemory::read().map_or_else(|| "not known".to_owned(), |memory| memory.to_string());
        crate::log(format_args!(
            "memory: {memory}, {}; client connections closed: {}",
            self.memory().usage(),
            counters.closes
        ));
    }

    /// Logs why a request whose head was valid is not accepted, at most once between two lines of counters.
    pub fn log_unaccepted(&self, id: &HeaderValue, reason: &impl Display) {
        if !std::mem::replace(&mut self.state.borrow_mut().counters.unaccepted_logged, true) {
            let id = id.to_str().unwrap_or("with an id that is no text");
            crate::log(format_args!("request {id} was not accepted: {reason}"));
        }
    }

    /// Counts a client connection that was closed.
    pub fn count_close(&self, reason: CloseReason) {
        self.state.borrow_mut().counters.closes.add(reason);
    }

    // --- Requests ---

    /// Accepts a request and hands it to the policy.
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

    /// Handles that the client of a request has disconnected, or that its time is up, so that it needs no answer.
    pub fn client_disconnected(self: &Rc<Self>, id: RequestId) {
        {
            let mut state = self.state.borrow_mut();
            if !state.requests.abandon(id) {
                return;
            }
            state.counters.abandoned += 1;
        }
        self.handle(Event::ClientDisconnected(id));
    }

    // --- Discovery ---

    /// Applies an update that the watch on discovery has received.
    pub fn apply_update(self: &Rc<Self>, mut update: Update) {
        if !self.state.borrow_mut().endpoints.accept_update(self.now(), &mut update) {
            return;
        }
        self.apply_list(&update, if update.snapshot { ListSource::Snapshot } else { ListSource::Delta });
        self.note_heartbeat();
        // The policy takes an update as the sign that the watch is established. If the update came from the old address
        // of discovery, the policy must still request a watch at the new one.
        let moved = self.state.borrow().watch.address != self.discovery.get();
        if moved {
            self.state.borrow_mut().watch.abort();
            self.handle(Event::List(ListUpdate::Relocated));
        }
    }

    /// Records that discovery has sent a line, empty or not. For a line with an update it is called once the update has
    /// been applied; a delta that is ignored is recorded by [`EndpointTable::accept_update`].
    pub fn note_heartbeat(&self) {
        self.state.borrow_mut().endpoints.note_heartbeat(self.now());
    }

    /// Changes the address of discovery: the policy is notified and requests a watch at the new address. The old watch
    /// continues until then.
    pub fn set_discovery_address(self: &Rc<Self>, address: SocketAddr) {
        if self.discovery.replace(address) != address {
            crate::log(format_args!("discovery address changed to {address}; a watch will be opened there"));
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
            // Closes idle connections to upstreams that drain, have been removed, or have another address now.
            self.pool.retain(|id, address| endpoints.ready_endpoint_at(id, address).is_some());
            update
        };
        self.handle(Event::List(update));
    }
}

impl Reconfigurable for EventLoop {
    /// Requests accepted before keep the rules under which they were accepted; attempts and connections continue.
    fn reconfigure(self: &Rc<Self>, loaded: LoadedSettings) -> Result<(), ReconfigureError> {
        let LoadedSettings { mut settings, names, connect_timeout } = loaded;
        adapt_to_sockets(&mut settings);
        let name_registry = self.name_registry().updated(&names, &mut settings)?;
        settings.validate()?;
        self.pool.reconfigure(connect_timeout, settings.permissions.idle_timeout);
        self.longest_deadline.set(self.longest_deadline.get().max(name_registry.max_deadline()));
        self.name_registry.replace(Rc::new(name_registry));
        self.handle(Event::Reconfigured(settings));
        Ok(())
    }

    fn settings_received(&self) {
        self.settings_received.set(true);
    }
}

impl WatchObserver for EventLoop {
    fn on_update(self: &Rc<Self>, update: Update) {
        self.apply_update(update);
    }

    fn on_heartbeat(&self) {
        self.note_heartbeat();
    }

    fn on_watch_ended(self: &Rc<Self>, number: u64, cause: &DiscoveryWatchError) {
        {
            let watch = &mut self.state.borrow_mut().watch;
            // An update can abort the watch that delivers it, and the task then still runs up to its next await. If the
            // watch ends before that, a newer one may already have replaced it.
            if watch.number != number {
                return;
            }
            watch.task = None;
        }
        crate::log(format_args!(
            "the watch on discovery ended and will be reopened, the current endpoint list stays in use until then: \
             {cause}"
        ));
        self.handle(Event::List(ListUpdate::Broken));
    }
}

/// Adapts settings that are defined for the simulator to real sockets.
fn adapt_to_sockets(settings: &mut Settings) {
    // The setting `automatic` is defined for the simulator, which pushes changes to the balancer. On sockets a change
    // arrives only over a watch, and the setting means that lists are pushed to an agent on this machine.
    if settings.discovery == DiscoveryMode::Push {
        settings.discovery = DiscoveryMode::Agent;
    }
    // Where lists are polled, the settings may allow a longer interval than the time within which a change must arrive.
    let poll_interval_max = &mut settings.rules.poll_interval_max;
    *poll_interval_max =
        Some(poll_interval_max.unwrap_or(MAX_NOTIFICATION_DELAY).min(MAX_NOTIFICATION_DELAY));
}
