//! Owns the decisions and the tables around them: turns what happens on the network into events and
//! carries out the actions that come back.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use balancer_policy::interface::{
    AttemptNumber, ClassId, DiscoveryMode, KindId, ListUpdate, Member, Outcome, Phase, Request, RequestId,
    SettingsError, TenantId, Time, UpstreamId, ZoneId,
};
use balancer_policy::{Action, Balancer, Event, Settings};
use balancer_settings::{Loaded, Names};
use bytes::Bytes;
use rustc_hash::{FxHashMap, FxHashSet};
use tokio::sync::oneshot;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, sleep};

use crate::clock::{Moment, StartTimes};
use crate::config::Config;
use crate::configuration::{self, Offered, Reconfigurable, ReconfigureError};
use crate::counters::{self, Counters};
use crate::discovery::{
    self, BrokenError, Endpoint, Patience, TOLD_AFTER, Update, WatchObserver, WatchStart,
};
use crate::pool::{AcquireError, Host, Pool};
use crate::socket::WeakSocket;
use crate::upstream::{self, Call, Ended, Job};

/// How far the module's clock runs ahead of the program's start: upstreams that started before it have a
/// time on that clock too. One that started earlier still has been warm for long.
const CLOCK_LEAD: Duration = Duration::from_secs(3600);
/// How long a new process waits for discovery's first word before it says that it can serve: the agent on its own
/// machine answers at once unless discovery is down, and then the list of the configuration is the best there is. It
/// waits as long for the first word on its settings, where they are distributed: then those of its file have to do.
const TOLD_WITHIN: Duration = Duration::from_millis(500);
/// How often kept connections are looked at, at the most.
const LOOK_LEAST: Duration = Duration::from_millis(10);

/// The final answer to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// What an upstream answered.
    Served(Bytes),
    /// Trying again is harmless.
    Refused {
        /// How long to stay away.
        retry_after: Option<Duration>,
    },
    /// Nothing is said of its effect.
    Failed,
}

/// A caller's request, ready for the decisions.
#[derive(Debug)]
pub struct Taken {
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: Option<TenantId>,
    /// Its subject.
    pub key: Option<u64>,
    /// The work expected.
    pub expected_work: Option<Duration>,
    /// The caller has marked it as a repeat.
    pub repeat: bool,
    /// When the answer must be out.
    pub deadline: Instant,
    /// What goes on to upstreams.
    pub call: Rc<Call>,
    /// The caller's connection.
    pub client: WeakSocket,
}

/// A request that is held, or has attempts out.
struct Held {
    call: Rc<Call>,
    client: WeakSocket,
    deadline: Instant,
    /// Taken by the final answer.
    answer: Option<oneshot::Sender<Answer>>,
    /// By attempt: calls it off.
    attempts: Vec<Option<oneshot::Sender<()>>>,
    out: u32,
}

struct Listed {
    address: SocketAddr,
    zone: Option<ZoneId>,
    since_ms: u64,
    ready: bool,
}

impl Listed {
    /// Whether new work may go to it at this address.
    fn is_at(&self, address: SocketAddr) -> bool {
        self.ready && self.address == address
    }
}

struct Core {
    balancer: Balancer,
    events: VecDeque<Event>,
    requests: FxHashMap<RequestId, Held>,
    next_request: u64,
    ids: FxHashMap<Box<str>, UpstreamId>,
    taken_ids: FxHashSet<UpstreamId>,
    listed: FxHashMap<UpstreamId, Listed>,
    starts: StartTimes,
    index: u64,
    /// Some list has come, with the configuration or from discovery.
    has_list: bool,
    /// Discovery has spoken, which goes before the list of the configuration.
    told: bool,
    watch: Option<AbortHandle>,
    watch_number: u64,
    /// Where the latest watch is had.
    watch_at: SocketAddr,
    counters: Counters,
}

/// The state of a running balancer.
pub struct Driver {
    core: RefCell<Core>,
    /// Those of the start: zones, kinds and the fields of a load report stay for life.
    names: Names,
    offered: RefCell<Rc<Offered>>,
    /// The longest time that a client waits, under any settings since the start.
    longest: Cell<Duration>,
    /// The settings in force are those that are distributed, as far as has been told.
    configured: Cell<bool>,
    zero: Instant,
    discovery: Cell<SocketAddr>,
    patience: Patience,
    pool: Rc<Pool>,
}

impl Driver {
    /// Starts the decisions with the list from the configuration.
    ///
    /// # Errors
    /// The settings make no sense.
    pub fn start(config: Config) -> Result<Rc<Self>, SettingsError> {
        let mut loaded = config.loaded;
        fit_to_sockets(&mut loaded.settings);
        let patience = Patience::of(loaded.settings.discovery);
        let keepalive = loaded.settings.allowed.keepalive;
        let offered = Offered::new(&loaded.names, &loaded.settings);
        let core = Core {
            balancer: Balancer::new(loaded.settings, config.seed)?,
            events: VecDeque::new(),
            requests: FxHashMap::default(),
            next_request: 0,
            ids: FxHashMap::default(),
            taken_ids: FxHashSet::default(),
            listed: FxHashMap::default(),
            starts: StartTimes::new(config.wall_clock),
            index: 0,
            has_list: false,
            told: false,
            watch: None,
            watch_number: 0,
            watch_at: config.discovery,
            counters: Counters::default(),
        };
        let driver = Rc::new_cyclic(|driver: &Weak<Self>| Self {
            core: RefCell::new(core),
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
        // The subscription asks for what came after the list in hand, so that is noted first.
        driver.core.borrow_mut().index = config.known.as_ref().map_or(0, |known| known.index);
        driver.handle(Event::Started);
        if let Some(known) = config.known {
            driver.take_list(known, ListUpdate::StaleCopy);
        }
        let sweeper = Rc::clone(&driver);
        spawn_local(async move {
            loop {
                sleep((sweeper.pool.keep_for() / 8).max(LOOK_LEAST)).await;
                sweeper.pool.close_old();
            }
        });
        let teller = Rc::clone(&driver);
        spawn_local(async move {
            loop {
                sleep(counters::EVERY).await;
                teller.tell();
            }
        });
        if let Some(distribution) = config.distribution {
            let pool = Rc::clone(&driver.pool);
            configuration::follow(Rc::clone(&driver), pool, &config.name, config.seed, distribution);
        }
        Ok(driver)
    }

    /// Whether a load report may have a value of this name.
    #[must_use]
    pub fn has_load_field(&self, name: &str) -> bool {
        self.names.load_fields.iter().any(|field| field == name)
    }

    /// What callers may ask for.
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
        let core = self.core.borrow();
        core.has_list && (core.told && self.configured.get() || self.zero.elapsed() >= TOLD_WITHIN)
    }

    /// Writes what happened since the last time, and how things stand.
    fn tell(&self) {
        let mut core = self.core.borrow_mut();
        let counters = std::mem::take(&mut core.counters);
        let ready = core.listed.values().filter(|listed| listed.ready).count();
        let (idle, late, sockets, sockets_most, trusted) = self.pool.figures();
        let out: u32 = core.requests.values().map(|held| held.out).sum();
        crate::log(format_args!(
            "{counters}; now: {} held, {out} attempts out, {idle} connections idle (trusted for {} ms) \
             and {late} late, {sockets} of {sockets_most} sockets, {ready} of {} upstreams ready, list {}; {}",
            core.requests.len(),
            trusted.as_millis(),
            core.listed.len(),
            core.index,
            core.balancer.vitals(),
        ));
    }

    fn now(&self) -> Time {
        CLOCK_LEAD + self.zero.elapsed()
    }

    // --- Connections ---

    /// The connections to an upstream, if discovery's last word allows new work for it at this address.
    #[must_use]
    pub fn host(&self, upstream: UpstreamId, address: SocketAddr) -> Option<Rc<Host>> {
        let core = self.core.borrow();
        let listed = core.listed.get(&upstream).filter(|listed| listed.is_at(address))?;
        Some(self.pool.host(upstream, address, listed.zone))
    }

    /// Learns whether a connection that was idle for so long has carried its request.
    pub fn learn_idle(&self, idle: Duration, answered: bool) {
        self.pool.learn_idle(idle, answered);
        self.core.borrow_mut().counters.kept_reset += u32::from(!answered);
    }

    /// Whether discovery's last word allows new work for an upstream at this address.
    #[must_use]
    pub fn may_send(&self, upstream: UpstreamId, address: SocketAddr) -> bool {
        self.core.borrow().listed.get(&upstream).is_some_and(|listed| listed.is_at(address))
    }

    /// Whether a request still wants an answer: its caller may have gone, or another attempt have served it.
    #[must_use]
    pub fn is_wanted(&self, request: RequestId) -> bool {
        self.core.borrow().requests.get(&request).is_some_and(|held| held.answer.is_some())
    }

    /// The same, and its caller is still there: asks the system, as the end of a connection may lie in its socket
    /// while the process was held up or others had their turn.
    #[must_use]
    pub fn is_awaited(&self, request: RequestId) -> bool {
        let core = self.core.borrow();
        let held = core.requests.get(&request).filter(|held| held.answer.is_some());
        held.is_some_and(|held| !held.client.has_ended())
    }

    /// Counts a connection to an upstream.
    pub fn count_opened(&self) {
        self.core.borrow_mut().counters.opened += 1;
    }

    /// Logs why a connection did not come up, once between two lines of counts: upstreams may be out of reach
    /// for long.
    pub fn tell_unreached(&self, address: SocketAddr, error: &AcquireError) {
        if !std::mem::replace(&mut self.core.borrow_mut().counters.unreached_told, true) {
            crate::log(format_args!("{address} was not reached: {error}"));
        }
    }

    // --- Requests ---

    /// Takes a request; its final answer comes through the receiver.
    pub fn take(self: &Rc<Self>, taken: Taken) -> (RequestId, oneshot::Receiver<Answer>) {
        let (answer, receiver) = oneshot::channel();
        let id = {
            let mut core = self.core.borrow_mut();
            let id = RequestId(core.next_request);
            core.next_request += 1;
            core.counters.taken += 1;
            let held = Held {
                call: taken.call,
                client: taken.client,
                deadline: taken.deadline,
                answer: Some(answer),
                attempts: Vec::new(),
                out: 0,
            };
            core.requests.insert(id, held);
            id
        };
        self.handle(Event::Request(Request {
            id,
            class: taken.class,
            tenant: taken.tenant,
            key: taken.key,
            time_left: taken.deadline.saturating_duration_since(Instant::now()),
            expected_work: taken.expected_work,
            repeat: taken.repeat,
        }));
        (id, receiver)
    }

    /// The caller has left, or its time is up: nothing more is owed.
    pub fn caller_left(self: &Rc<Self>, id: RequestId) {
        {
            let mut core = self.core.borrow_mut();
            let Some(held) = core.requests.get_mut(&id) else { return };
            if held.answer.take().is_none() {
                return;
            }
            core.counters.left += 1;
            core.release(id);
        }
        self.handle(Event::ClientLeft(id));
    }

    /// An attempt is over.
    pub fn attempt_ended(self: &Rc<Self>, job: &Job, ended: Ended) {
        let took = job.asked.elapsed();
        let finished = {
            let mut core = self.core.borrow_mut();
            let Core { requests, counters, .. } = &mut *core;
            let Some(held) = requests.get_mut(&job.request) else { return };
            counters.attempt(ended.outcome, took);
            held.out -= 1;
            if let Some(withdraw) = held.attempts.get_mut(job.attempt.0 as usize) {
                *withdraw = None;
            }
            if let Some(body) = ended.body
                && let Some(answer) = held.answer.take()
            {
                counters.served += 1;
                // A caller that has just left is told of on its own way.
                let _ = answer.send(Answer::Served(body));
            }
            let finished = held.answer.is_none();
            core.release(job.request);
            finished
        };
        self.handle(Event::AttemptEnded {
            request: job.request,
            attempt: job.attempt,
            outcome: ended.outcome,
            took,
            connecting: ended.connecting.unwrap_or(took),
            finished,
            load: ended.load,
        });
    }

    // --- Discovery ---

    /// Takes in a word of the watch. One older than the list in hand, as from a discovery that lags behind the one
    /// asked before, must not end a drain: changes from then are passed over; a whole list is what there is now, but
    /// for upstreams that drain, which only a new start brings back.
    pub fn learn(self: &Rc<Self>, mut update: Update) {
        let now = self.now();
        {
            let mut core = self.core.borrow_mut();
            core.told = true;
            if update.index < core.index {
                crate::log(format_args!("an older list: {} after {}", update.index, core.index));
                if !update.snapshot {
                    core.starts.told(now);
                    return;
                }
                for endpoint in update.endpoints.iter_mut().filter(|endpoint| core.drains(now, endpoint)) {
                    "draining".clone_into(&mut endpoint.status);
                }
            }
            core.index = update.index;
        }
        let kind = if update.snapshot { ListUpdate::Whole } else { ListUpdate::Patch };
        self.take_list(update, kind);
        self.hear_life_sign();
        // To the decisions a word means that the watch stands. On one at the address of before it must not keep them
        // from asking at the new one.
        let moved = self.core.borrow().watch_at != self.discovery.get();
        if moved {
            if let Some(watch) = self.core.borrow_mut().watch.take() {
                watch.abort();
            }
            self.handle(Event::List(ListUpdate::Moved));
        }
    }

    /// The watch has said a line, if an empty one: a start that a later one names lies after it.
    pub fn hear_life_sign(&self) {
        self.core.borrow_mut().starts.told(self.now());
    }

    /// Discovery listens elsewhere now: the decisions hear it, and ask for a watch there. Until then the old one
    /// goes on.
    pub fn move_discovery(self: &Rc<Self>, address: SocketAddr) {
        if self.discovery.replace(address) != address {
            crate::log(format_args!("discovery is at {address} now"));
            self.handle(Event::List(ListUpdate::Moved));
        }
    }

    fn take_list(self: &Rc<Self>, update: Update, kind: fn(Vec<Member>) -> ListUpdate) {
        let members = {
            let mut core = self.core.borrow_mut();
            let newest_ms = update.endpoints.iter().map(|endpoint| endpoint.since_ms).max().unwrap_or(0);
            let moment = core.starts.moment(self.now(), newest_ms);
            let whole = !matches!(kind(Vec::new()), ListUpdate::Patch(_));
            let mut seen = FxHashSet::default();
            let mut members = Vec::with_capacity(update.endpoints.len());
            for endpoint in &update.endpoints {
                match self.member(&mut core, &moment, endpoint) {
                    Some(member) => {
                        seen.insert(member.id);
                        members.push(member);
                    }
                    None => {
                        crate::log(format_args!("passed over a malformed entry of the list: {endpoint:?}"))
                    }
                }
            }
            core.has_list |= !members.is_empty() || kind(Vec::new()) != ListUpdate::StaleCopy(Vec::new());
            if whole {
                core.listed.retain(|id, _| seen.contains(id));
                core.starts.retain(&seen);
            }
            // Nothing kept goes to an upstream that drains, is gone, or has moved.
            let listed = &core.listed;
            self.pool.retain(|id, address| listed.get(&id).is_some_and(|listed| listed.is_at(address)));
            members
        };
        self.handle(Event::List(kind(members)));
    }

    fn member(&self, core: &mut Core, moment: &Moment, endpoint: &Endpoint) -> Option<Member> {
        let phase = match endpoint.status.as_str() {
            "ready" => Phase::Ready,
            "draining" => Phase::Draining,
            "gone" => Phase::Gone,
            _ => return None,
        };
        let id = core.id(&endpoint.name);
        let zone = self.names.zones.get(&endpoint.zone).copied().map(ZoneId);
        if phase == Phase::Gone {
            core.listed.remove(&id);
        } else {
            // A drain holds, whatever has become of the address.
            let known = core.listed.get(&id).filter(|_| phase == Phase::Draining).map(|known| known.address);
            let address = endpoint.address.parse().ok().or(known)?;
            let (since_ms, ready) = (endpoint.since_ms, phase == Phase::Ready);
            let before = core.listed.insert(id, Listed { address, zone, since_ms, ready });
            if before.is_some_and(|before| before.since_ms != endpoint.since_ms) {
                // Its process is a new one; the old one took its connections along.
                self.pool.close(id);
            }
        }
        let started = core.starts.listed(moment, id, endpoint.since_ms);
        if phase == Phase::Gone {
            core.starts.left(id);
        }
        let weight = endpoint.weight;
        Some(Member {
            id,
            zone,
            kind: self.names.kinds.get(&endpoint.kind).copied().map(KindId),
            cell: endpoint.group,
            phase,
            weight: if weight.is_finite() && weight >= 0.0 { weight } else { 1.0 },
            started,
        })
    }

    // --- Events and actions ---

    /// Hands an event to the decisions and carries out what they ask for.
    fn handle(self: &Rc<Self>, event: Event) {
        let mut core = self.core.borrow_mut();
        core.events.push_back(event);
        let mut actions = Vec::new();
        while let Some(event) = core.events.pop_front() {
            core.balancer.handle(self.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(&mut core, action);
            }
        }
    }

    fn carry_out(self: &Rc<Self>, core: &mut Core, action: Action) {
        match action {
            Action::Send { request, upstream, timeout, begin_within, last } => {
                self.send(core, request, upstream, timeout, begin_within, last);
            }
            Action::Withdraw { request, attempt } => {
                let held = core.requests.get_mut(&request);
                if let Some(withdraw) =
                    held.and_then(|held| held.attempts.get_mut(attempt.0 as usize)).and_then(Option::take)
                {
                    // It may have ended this moment, which it then says itself.
                    let _ = withdraw.send(());
                }
            }
            Action::Refuse { request, retry_after } => core.answer(request, Answer::Refused { retry_after }),
            Action::Fail { request } => core.answer(request, Answer::Failed),
            Action::Subscribe => {
                if let Some(watch) = core.watch.take() {
                    watch.abort();
                }
                core.watch_number += 1;
                core.watch_at = self.discovery.get();
                let start = WatchStart {
                    address: core.watch_at,
                    patience: self.patience,
                    since: core.index,
                    number: core.watch_number,
                };
                let watch = discovery::watch(Rc::clone(self), Rc::clone(&self.pool), start);
                core.watch = Some(spawn_local(watch).abort_handle());
            }
            // Health checks are not made here: where a site allowed them, they would end unsent.
            Action::Probe { upstream } => core.events.push_back(Event::Probed {
                upstream,
                outcome: Outcome::NotSent,
                took: Duration::ZERO,
                load: None,
            }),
            Action::DropIdle { upstream } => self.pool.close_idle(upstream),
            Action::WakeAfter(span) => {
                let driver = Rc::clone(self);
                spawn_local(async move {
                    sleep(span).await;
                    driver.handle(Event::Wake);
                });
            }
            Action::Log(text) => crate::log(format_args!("{text}")),
        }
    }

    fn send(
        self: &Rc<Self>,
        core: &mut Core,
        request: RequestId,
        upstream: UpstreamId,
        timeout: Option<Duration>,
        begin_within: Option<Duration>,
        last: bool,
    ) {
        let Some(held) = core.requests.get_mut(&request) else { return };
        let attempt = AttemptNumber(held.attempts.len() as u32);
        let listed = core.listed.get(&upstream).filter(|listed| listed.ready && held.answer.is_some());
        let Some(listed) = listed else {
            held.attempts.push(None);
            core.counters.attempt(Outcome::NotSent, Duration::ZERO);
            let finished = held.answer.is_none();
            return core.events.push_back(Event::AttemptEnded {
                request,
                attempt,
                outcome: Outcome::NotSent,
                took: Duration::ZERO,
                connecting: Duration::ZERO,
                finished,
                load: None,
            });
        };
        let asked = Instant::now();
        let until = timeout.map_or(held.deadline, |span| held.deadline.min(asked + span));
        let (withdraw, withdrawn) = oneshot::channel();
        held.attempts.push(Some(withdraw));
        held.out += 1;
        let (address, call) = (listed.address, Rc::clone(&held.call));
        let begin_by = begin_within.map(|span| asked + span);
        let job = Job { request, attempt, upstream, address, call, asked, begin_by, until, last };
        spawn_local(upstream::attempt(Rc::clone(self), job, withdrawn));
    }
}

impl Reconfigurable for Driver {
    /// Requests that were taken keep the rules that they were taken under, attempts and connections go on.
    fn reconfigure(self: &Rc<Self>, loaded: Loaded) -> Result<(), ReconfigureError> {
        let Loaded { mut settings, names, connect_timeout } = loaded;
        fit_to_sockets(&mut settings);
        let offered = self.offered().followed_by(&names, &mut settings)?;
        settings.validate()?;
        self.pool.reconfigure(connect_timeout, settings.allowed.keepalive);
        self.longest.set(self.longest.get().max(offered.longest()));
        self.offered.replace(Rc::new(offered));
        self.handle(Event::Reconfigured(settings));
        Ok(())
    }

    fn configured(&self) {
        self.configured.set(true);
    }
}

impl WatchObserver for Driver {
    fn on_update(self: &Rc<Self>, update: Update) {
        self.learn(update);
    }

    /// A start that a later line names lies after this one.
    fn on_heartbeat(&self) {
        self.hear_life_sign();
    }

    fn on_broken(self: &Rc<Self>, number: u64, why: &BrokenError) {
        {
            let mut core = self.core.borrow_mut();
            if core.watch_number != number {
                return;
            }
            core.watch = None;
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
    let ask_within = &mut settings.rules.ask_within;
    *ask_within = Some(ask_within.unwrap_or(TOLD_AFTER).min(TOLD_AFTER));
}

impl Core {
    fn answer(&mut self, id: RequestId, answer: Answer) {
        let Some(held) = self.requests.get_mut(&id) else { return };
        if let Some(sender) = held.answer.take() {
            match answer {
                Answer::Served(_) => self.counters.served += 1,
                Answer::Refused { .. } if held.attempts.is_empty() => self.counters.denied += 1,
                Answer::Refused { .. } => self.counters.refused += 1,
                Answer::Failed => self.counters.failed += 1,
            }
            // A caller that has just left is told of on its own way.
            let _ = sender.send(answer);
        }
        self.release(id);
    }

    /// Whether an upstream is listed as draining, and the entry of an older list names no new start of it.
    fn drains(&self, now: Time, entry: &Endpoint) -> bool {
        let Some(&id) = self.ids.get(entry.name.as_str()) else { return false };
        let drains = self.listed.get(&id).is_some_and(|listed| !listed.ready);
        drains && !self.starts.is_new_start(now, id, entry.since_ms)
    }

    /// Forgets a request that has its answer and no attempt out.
    fn release(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|held| held.answer.is_none() && held.out == 0) {
            self.requests.remove(&id);
        }
    }

    /// The number of an upstream: from its name alone, so that all balancers sort them alike. Should two
    /// names meet, the later one takes the next free number.
    fn id(&mut self, name: &str) -> UpstreamId {
        if let Some(&id) = self.ids.get(name) {
            return id;
        }
        let fnv = |hash: u32, byte: &u8| (hash ^ u32::from(*byte)).wrapping_mul(16_777_619);
        let mut number = name.as_bytes().iter().fold(2_166_136_261, fnv);
        while !self.taken_ids.insert(UpstreamId(number)) {
            number = number.wrapping_add(1);
        }
        self.ids.insert(name.into(), UpstreamId(number));
        UpstreamId(number)
    }
}
