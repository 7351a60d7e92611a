//! The fleet at work in virtual time: upstreams with servers, queues and cold starts, links with delays and cuts, lists
//! that come late, clients that repeat, and between them all the real decision cores.

use std::collections::VecDeque;
use std::mem;
use std::time::Duration;

use balancer_policy::interface::{
    Allowed, AttemptNumber, Class, ClassId, DedupScope, DiscoveryMode, Effect, ListUpdate, Member, Outcome,
    Phase, Prices, Request, RequestId, Rules, Settings, Tenant, TenantId, UpstreamId, ZoneId,
};
use balancer_policy::{Action, Balancer, Event};
use oorandom::Rand64;
use rustc_hash::{FxHashMap, FxHashSet};

use super::topology::{Topology, place};
use super::wheel::Wheel;
use crate::CapacityError;
use crate::decisions::resident_bytes;
use crate::plan::Plan;

// --- What the plan leaves open. Times in seconds. ---

/// Part of its capacity with which a process starts, and the time until it has all of it.
const COLD: (f64, f64) = (0.3, 8.0);
/// A cold process falls over when it is sent this many times what it can do, for this long.
const OVERLOAD: (f64, f64) = (2.8, 1.6);
/// A process that fell over is started again after this.
const FALLEN_S: f64 = 2.0;
/// Requests waiting for each core before more are turned away unseen.
const QUEUE: usize = 16;
/// Requests held for each core, those that wait for other services among them.
const PLACES: usize = 400;
/// A list comes this late, and up to this much later by balancer.
const LIST: (f64, f64) = (0.2, 0.3);
/// Until the platform takes a silent machine out of the lists.
const DETECT_S: f64 = 1.5;
/// From a machine's failure to its next start.
const REPAIR_S: f64 = 6.0;
/// From a planned stop to the end of the process, and then the next one starts.
pub const DRAIN_S: f64 = 2.0;
/// Until a balancer closes an attempt's wait for a connection: not its last one, and its last one.
const CONNECT: (f64, f64) = (1.0 / 16.0, 1.0);
/// Time in which sends to a draining or gone upstream must end.
const GRACE_S: f64 = 1.0;
/// Parts of the calls that may be repeated freely, and with a key; the others never.
const EFFECTS: (f64, f64) = (0.7, 0.15);
/// Quotas of all tenants over the calls that come.
const QUOTAS: f64 = 1.5;
/// A client waits this long, and up to as much again, before it comes again.
const AGAIN_S: f64 = 0.1;
/// Between looks at the memory, and between looks at what changed its mind.
const LOOK_S: (f64, f64) = (0.25, 1.0);

fn ns(seconds: f64) -> u64 {
    (seconds * 1e9) as u64
}

fn seconds(ns: u64) -> f64 {
    ns as f64 / 1e9
}

/// What a service does in place of its work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// It answers with an error at once.
    Failing,
    /// It never answers.
    Silent,
    /// Half of its upstreams are lost, and no list says so.
    Halved,
}

/// What happens to the fleet, by plan of the scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// A planned stop of an upstream's process; another one follows it.
    Replace(usize),
    /// A machine fails, and comes back later.
    Fail(usize),
    /// A zone is lost whole, with its fronts and clients.
    LoseZone(usize),
    /// It comes back cold.
    ReturnZone(usize),
    /// A region is cut off from the others, and from where lists come from.
    Cut(usize),
    /// It is back.
    Heal(usize),
}

#[derive(Debug, Clone, Copy)]
enum Due {
    Client,
    Again(u32),
    Wake(u32),
    Reach { hop: u64, attempt: u8 },
    Done { work: u64 },
    Reply { hop: u64, attempt: u8, outcome: Outcome },
    Timeout { hop: u64, attempt: u8 },
    List { core: u32, change: u32 },
    Whole(u32),
    Script(u32),
    Stop(u32),
    Start(u32),
    Unlist(u32),
    Look,
    LookAtMinds,
}

impl Due {
    /// For the digest.
    fn words(&self) -> [u64; 2] {
        let tag = |tag: u64, rest: u64| tag << 56 ^ rest;
        match *self {
            Self::Client => [tag(1, 0), 0],
            Self::Again(client) => [tag(2, 0), client.into()],
            Self::Wake(core) => [tag(3, 0), core.into()],
            Self::Reach { hop, attempt } => [tag(4, attempt.into()), hop],
            Self::Done { work } => [tag(5, 0), work],
            Self::Reply { hop, attempt, outcome } => [tag(6, u64::from(attempt) << 8 | outcome as u64), hop],
            Self::Timeout { hop, attempt } => [tag(7, attempt.into()), hop],
            Self::List { core, change } => [tag(8, change.into()), core.into()],
            Self::Whole(core) => [tag(9, 0), core.into()],
            Self::Script(step) => [tag(10, 0), step.into()],
            Self::Stop(process) => [tag(11, 0), process.into()],
            Self::Start(slot) => [tag(12, 0), slot.into()],
            Self::Unlist(process) => [tag(13, 0), process.into()],
            Self::Look => [tag(14, 0), 0],
            Self::LookAtMinds => [tag(15, 0), 0],
        }
    }
}

/// Things with numbers that are used again under another one.
#[derive(Debug)]
struct Slab<T> {
    entries: Vec<(u32, bool, T)>,
    free: Vec<u32>,
}

impl<T> Default for Slab<T> {
    fn default() -> Self {
        Self { entries: Vec::new(), free: Vec::new() }
    }
}

impl<T> Slab<T> {
    fn insert(&mut self, value: T) -> u64 {
        if let Some(place) = self.free.pop() {
            let entry = &mut self.entries[place as usize];
            (entry.1, entry.2) = (true, value);
            return u64::from(entry.0) << 32 | u64::from(place);
        }
        self.entries.push((0, true, value));
        self.entries.len() as u64 - 1
    }

    fn get(&mut self, id: u64) -> Option<&mut T> {
        let (number, held, value) = self.entries.get_mut(id as u32 as usize)?;
        (*held && u64::from(*number) == id >> 32).then_some(value)
    }

    fn remove(&mut self, id: u64) {
        if self.get(id).is_some() {
            let entry = &mut self.entries[id as u32 as usize];
            (entry.0, entry.1) = (entry.0.wrapping_add(1), false);
            self.free.push(id as u32);
        }
    }
}

/// One decision core: of a process, or of a front, for one service that it calls.
#[derive(Debug)]
struct Core {
    /// `None` once its process has ended.
    balancer: Option<Balancer>,
    /// It is a front's, and not a process's.
    front: bool,
    zone: usize,
    service: usize,
    /// Upstreams to which it has a connection.
    connected: FxHashSet<u32>,
    /// When it was told that an upstream drains or has gone.
    told: FxHashMap<u32, u64>,
    /// When its latest list event comes.
    listed_at: u64,
    /// Lists passed it by while it was cut off.
    missed: bool,
    /// Upstreams ready in its first list.
    first: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Up,
    /// Ended: the machine turns connections down.
    Ended,
    /// The machine says nothing.
    Lost,
}

#[derive(Debug)]
struct Process {
    slot: usize,
    state: State,
    phase: Phase,
    started: Option<u64>,
    busy: usize,
    queue: VecDeque<u64>,
    held: usize,
    /// All works that it holds are of it while it is up; a set would cost more than a look at each.
    cores: Vec<u32>,
    /// Arrivals in the window of overload, while it is cold.
    window: VecDeque<u64>,
}

/// A place for one process after another.
#[derive(Debug)]
struct Slot {
    service: usize,
    zone: usize,
    process: Option<usize>,
    /// Its balancers' number among those that call a service, by the place of that service in its calls.
    index: Vec<u32>,
}

#[derive(Debug, Clone, Copy)]
enum Parent {
    Client(u32),
    Work(u64),
}

#[derive(Debug, Clone, Copy)]
struct Attempt {
    process: u32,
    sent: u64,
    connecting: u64,
    over: bool,
}

/// A call from one service to another, or from a client, at the core that carries it.
#[derive(Debug)]
struct Hop {
    core: u32,
    parent: Parent,
    class: u8,
    /// Services still to be called in the chain, this one's among them.
    left: u8,
    answered: bool,
    /// Attempts of it that began to run.
    ran: u8,
    deadline: u64,
    attempts: Vec<Attempt>,
}

/// An attempt at its upstream.
#[derive(Debug)]
struct Work {
    process: u32,
    hop: u64,
    attempt: u8,
    class: u8,
    left: u8,
    /// It runs, or waits for another service.
    begun: bool,
    deadline: u64,
}

#[derive(Debug, Clone, Copy)]
struct Client {
    came: u64,
    front: u32,
    entry: u32,
    tenant: u32,
    class: u8,
    left: u8,
    tries: u32,
    ran: u32,
    answered: bool,
}

/// How a client's call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Good,
    Refused,
    Failed,
}

/// Clients' calls that came in one second, by how they ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Second {
    /// Calls.
    pub calls: u64,
    /// Served within the aim.
    pub served: u64,
    /// Served within the deadline.
    pub late: u64,
    /// Refused in the end.
    pub refused: u64,
    /// Failed in the end.
    pub failed: u64,
}

/// What happened at one depth.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Depth {
    /// Calls that came to the balancers in front of it.
    pub calls: u64,
    /// Attempts that they sent.
    pub attempts: u64,
    /// Attempts that reached a service there.
    pub reached: u64,
    /// Calls that they refused.
    pub refused: u64,
    /// Of these, those without an attempt.
    pub denied: u64,
    /// Calls that they ended as failed.
    pub failed: u64,
    /// Time that the calls had left, in seconds, as a sum.
    pub left_s: f64,
    /// Attempts by how they ended: good, error, refused, timed out, not connected, broken.
    pub ends: [u64; 6],
}

/// What balancers changed their minds about, at a second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Minds {
    /// The second.
    pub at_s: u64,
    /// Balancers.
    pub cores: usize,
    /// Those with a limit cut.
    pub limited: usize,
    /// Those that have set an upstream of theirs aside.
    pub aside: usize,
    /// Those that meet a crowd.
    pub crowded: usize,
}

/// What must never be.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Faults {
    /// Calls that got no answer although their balancer lived.
    pub unanswered: u64,
    /// Calls that got more than one.
    pub doubled: u64,
    /// Calls that must not run twice and did.
    pub run_twice: u64,
    /// Attempts to an upstream whose balancer had been told for longer than the grace that it drains or is gone.
    pub after_grace: u64,
}

/// What a run gave.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// Clients' calls by the second in which they came.
    pub seconds: Vec<Second>,
    /// By depth, the front first.
    pub depths: Vec<Depth>,
    /// Cold processes that fell over.
    pub pushed_over: u64,
    /// Processes that started cold.
    pub cold_starts: u64,
    /// List events that balancers took in.
    pub lists: u64,
    /// By the second.
    pub minds: Vec<Minds>,
    /// Of what must never be.
    pub faults: Faults,
    /// Attempts that crossed zones within a region, and between regions.
    pub crossed: (u64, u64),
    /// Times from a client's call to its good answer, in us, by power of two and eighths.
    pub times: Vec<u64>,
    /// Decision cores at the start.
    pub cores: usize,
    /// Events of the run.
    pub events: u64,
    /// Over all events and actions.
    pub digest: u64,
    /// Resident memory at most, in MB.
    pub memory_mb: u64,
}

impl Report {
    /// The time within which a part of the good answers came, in seconds.
    #[must_use]
    pub fn time(&self, part: f64) -> f64 {
        let all: u64 = self.times.iter().sum();
        let mut sum = 0;
        for (place, count) in self.times.iter().enumerate() {
            sum += count;
            if sum as f64 >= part * all as f64 {
                return 2f64.powf((place as f64 + 1.0) / 8.0) / 1e6;
            }
        }
        0.0
    }
}

/// What is played.
#[derive(Debug, Clone)]
pub struct Play {
    /// Its name, for errors.
    pub name: String,
    /// Seconds in which clients come.
    pub seconds: f64,
    /// Seed of all draws.
    pub seed: u64,
    /// MB that the process may use.
    pub memory_mb: u64,
    /// What happens, at seconds from the start, in their order.
    pub script: Vec<(f64, Step)>,
    /// All processes have just started.
    pub cold: bool,
    /// A service that does not do its work.
    pub trouble: Option<(usize, Trouble)>,
    /// Repeats by a client at most.
    pub repeats: u32,
    /// Part of the calls that may be repeated freely, and with a key; `None` for the usual parts.
    pub effects: Option<(f64, f64)>,
}

/// The fleet at work.
#[derive(Debug)]
pub struct World<'a> {
    plan: &'a Plan,
    topology: &'a Topology,
    play: &'a Play,
    rng: Rand64,
    now: u64,
    due: Wheel<Due>,
    slots: Vec<Slot>,
    processes: Vec<Process>,
    /// Processes that discovery lists, by service.
    listed: Vec<Vec<u32>>,
    cores: Vec<Core>,
    /// When the list of a service last changed.
    changed: Vec<Option<u64>>,
    /// Cores that watch the list of a service.
    watchers: Vec<Vec<u32>>,
    /// Balancers that call a service, in all.
    callers: Vec<u32>,
    /// Cores of each front, by the place among the entries.
    fronts: Vec<Vec<u32>>,
    front_up: Vec<bool>,
    changes: Vec<Vec<Member>>,
    hops: Slab<Hop>,
    works: Slab<Work>,
    clients: Vec<Client>,
    clients_free: Vec<u32>,
    /// Shares of the tenants, as running sums.
    tenants: Vec<f64>,
    cut: Option<usize>,
    zone_lost: Option<usize>,
    actions: Vec<Action>,
    report: Report,
}

const SPAN: u64 = 0x517c_c1b7_2722_0a95;

impl<'a> World<'a> {
    /// The fleet before its first event.
    ///
    /// # Errors
    /// The plan's figures make no settings.
    pub fn new(plan: &'a Plan, topology: &'a Topology, play: &'a Play) -> Result<Self, CapacityError> {
        let services = topology.services.len();
        let mut world = Self {
            plan,
            topology,
            play,
            rng: Rand64::new(u128::from(play.seed) << 8 | 2),
            now: 0,
            due: Wheel::default(),
            slots: Vec::new(),
            processes: Vec::new(),
            listed: vec![Vec::new(); services],
            cores: Vec::new(),
            changed: vec![None; services],
            watchers: vec![Vec::new(); services],
            callers: vec![0; services],
            fronts: vec![Vec::new(); topology.fronts.len()],
            front_up: vec![true; topology.fronts.len()],
            changes: Vec::new(),
            hops: Slab::default(),
            works: Slab::default(),
            clients: Vec::new(),
            clients_free: Vec::new(),
            tenants: Vec::new(),
            cut: None,
            zone_lost: None,
            actions: Vec::new(),
            report: Report {
                depths: vec![Depth::default(); plan.graph.depth.value],
                times: vec![0; 256],
                ..Report::default()
            },
        };
        let mut sum = 0.0;
        let parts: Vec<f64> = (1..=plan.traffic.tenants.value).map(|rank| (rank as f64).powf(-0.5)).collect();
        let all: f64 = parts.iter().sum();
        for part in parts {
            sum += part / all;
            world.tenants.push(sum);
        }
        for &(entry, _) in &topology.entries {
            world.callers[entry] = topology.fronts.len() as u32;
        }
        for (number, service) in topology.services.iter().enumerate() {
            for &zone in &service.zones {
                let index = service
                    .calls
                    .iter()
                    .map(|&(called, _)| {
                        world.callers[called] += 1;
                        world.callers[called] - 1
                    })
                    .collect();
                world.slots.push(Slot { service: number, zone, process: None, index });
            }
        }
        let halved =
            play.trouble.filter(|&(_, trouble)| trouble == Trouble::Halved).map(|(service, _)| service);
        let mut seen = vec![0; services];
        for slot in 0..world.slots.len() {
            let process = world.add_process(slot, play.cold.then_some(0));
            let service = world.slots[slot].service;
            seen[service] += 1;
            if halved == Some(service) && seen[service] % 2 == 0 {
                world.processes[process].state = State::Lost;
            }
        }
        for process in 0..world.processes.len() {
            world.add_cores(process)?;
        }
        for front in 0..topology.fronts.len() {
            world.add_front(front)?;
        }
        world.report.cores = world.cores.len();
        world.due.push(0, Due::Client);
        world.due.push(ns(LOOK_S.0), Due::Look);
        world.due.push(ns(LOOK_S.1), Due::LookAtMinds);
        for (number, &(at, _)) in play.script.iter().enumerate() {
            world.due.push(ns(at), Due::Script(number as u32));
        }
        Ok(world)
    }

    /// Plays it to its end: until all calls have been answered.
    ///
    /// # Errors
    /// The memory bound is passed, or a process that is to start gets no settings.
    pub fn run(mut self) -> Result<Report, CapacityError> {
        let last = ns(self.play.seconds);
        // Then no client comes, and each call ends by its deadline.
        let end = last + ns(self.plan.traffic.deadline_s.value * 1.5 + 0.5);
        while let Some((at, due)) = self.due.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.report.events += 1;
            let [a, b] = due.words();
            self.mix(at);
            self.mix(a);
            self.mix(b);
            self.happen(due, last)?;
        }
        let owed = |hop: &Hop, cores: &[Core]| !hop.answered && cores[hop.core as usize].balancer.is_some();
        for (_, held, hop) in &self.hops.entries {
            if *held && owed(hop, &self.cores) {
                self.report.faults.unanswered += 1;
            }
        }
        Ok(self.report)
    }

    fn mix(&mut self, word: u64) {
        self.report.digest = (self.report.digest.rotate_left(5) ^ word).wrapping_mul(SPAN);
    }

    fn happen(&mut self, due: Due, last: u64) -> Result<(), CapacityError> {
        match due {
            Due::Client => {
                let gap = -(1.0 - self.rng.rand_float()).ln() / self.topology.front_per_s;
                let next = self.now + ns(gap).max(1);
                if next < last {
                    self.due.push(next, Due::Client);
                }
                self.client_comes();
            }
            Due::Again(client) => self.call(client),
            Due::Wake(core) => self.drive(core, Event::Wake),
            Due::Reach { hop, attempt } => self.reach(hop, attempt),
            Due::Done { work } => self.work_done(work),
            Due::Reply { hop, attempt, outcome } => self.attempt_over(hop, attempt, outcome),
            Due::Timeout { hop, attempt } => self.attempt_over(hop, attempt, Outcome::TimedOut),
            Due::List { core, change } => {
                let members = self.changes[change as usize].clone();
                self.tell(core, ListUpdate::Patch(members));
            }
            Due::Whole(core) => {
                let members = self.members(self.cores[core as usize].service);
                self.tell(core, ListUpdate::Whole(members));
            }
            Due::Script(step) => self.step(step as usize)?,
            Due::Stop(process) => self.stop(process as usize, State::Ended),
            Due::Start(slot) => self.start(slot as usize)?,
            Due::Unlist(process) => self.unlist(process as usize),
            Due::Look => {
                self.due.push(self.now + ns(LOOK_S.0), Due::Look);
                let used_mb = resident_bytes()? >> 20;
                self.report.memory_mb = self.report.memory_mb.max(used_mb);
                if used_mb > self.play.memory_mb {
                    return Err(CapacityError::Memory {
                        place: format!("hollow fleet, {} at {:.2} s", self.play.name, seconds(self.now)),
                        used_mb,
                        bound_mb: self.play.memory_mb,
                    });
                }
            }
            Due::LookAtMinds => {
                self.due.push(self.now + ns(LOOK_S.1), Due::LookAtMinds);
                self.look_at_minds();
            }
        }
        Ok(())
    }

    // --- Processes and lists ---

    fn settings(&self, service: usize, zone: usize, index: u32) -> Settings {
        let traffic = &self.plan.traffic;
        let tier = self.topology.services[service].depth - 1;
        let class = |effect| Class {
            aim: Duration::from_secs_f64(traffic.aim_s.value),
            deadline: Duration::from_secs_f64(traffic.deadline_s.value),
            late_worth: 0.3,
            effect,
        };
        let keyed = Effect::Keyed { scope: DedupScope::All, window: Duration::from_secs(10) };
        let mut before = 0.0;
        let quota = |&until: &f64| {
            let part = until - mem::replace(&mut before, until);
            Tenant { quota: Some(part * QUOTAS * self.topology.services[service].rate) }
        };
        Settings {
            index,
            copies: self.callers[service],
            tier,
            zone: ZoneId(zone),
            zones: self.topology.region_of.len(),
            kinds: 1,
            classes: vec![class(Effect::Safe), class(keyed), class(Effect::Unsafe)],
            tenants: if tier == 0 { self.tenants.iter().map(quota).collect() } else { Vec::new() },
            over_share_worth: 0.3,
            discovery: DiscoveryMode::Push,
            passes_deadline: true,
            allowed: Allowed {
                attempts: traffic.attempts.value,
                second_copies: false,
                cancel: true,
                probes: false,
                messages: false,
                keepalive: Duration::from_secs(30),
                streams: 1,
                retry_after: None,
            },
            rules: Rules {
                answer_slack: Duration::from_millis(20),
                drain_grace: Duration::from_secs_f64(GRACE_S),
                ask_within: None,
                cold_share: COLD.0,
                cold_time: Duration::from_secs_f64(COLD.1),
                overload_multiple: OVERLOAD.0,
                overload_window: Duration::from_secs_f64(OVERLOAD.1),
            },
            prices: Prices { cross_zone: 0.02, waste: 0.0, late_failure: 0.0, handshake: 0.0, probe: 0.0 },
        }
    }

    /// A process in a slot, without its balancers.
    fn add_process(&mut self, slot: usize, started: Option<u64>) -> usize {
        let process = self.processes.len();
        self.processes.push(Process {
            slot,
            state: State::Up,
            phase: Phase::Ready,
            started,
            busy: 0,
            queue: VecDeque::new(),
            held: 0,
            cores: Vec::new(),
            window: VecDeque::new(),
        });
        self.report.cold_starts += u64::from(started.is_some());
        self.slots[slot].process = Some(process);
        self.listed[self.slots[slot].service].push(process as u32);
        process
    }

    /// The balancers of a process, each with the list as it is.
    fn add_cores(&mut self, process: usize) -> Result<(), CapacityError> {
        let topology = self.topology;
        let slot = self.processes[process].slot;
        let Slot { service, zone, .. } = self.slots[slot];
        for (number, &(called, _)) in topology.services[service].calls.iter().enumerate() {
            let index = self.slots[slot].index[number];
            let core = self.add_core(false, called, zone, index)?;
            self.processes[process].cores.push(core);
        }
        Ok(())
    }

    fn add_front(&mut self, front: usize) -> Result<(), CapacityError> {
        let topology = self.topology;
        self.fronts[front].clear();
        self.front_up[front] = true;
        for &(entry, _) in &topology.entries {
            let core = self.add_core(true, entry, topology.fronts[front], front as u32)?;
            self.fronts[front].push(core);
        }
        Ok(())
    }

    fn add_core(
        &mut self,
        front: bool,
        service: usize,
        zone: usize,
        index: u32,
    ) -> Result<u32, CapacityError> {
        let settings = self.settings(service, zone, index);
        let wrong =
            |cause| CapacityError::run(format!("hollow fleet, a balancer for service {service}"), cause);
        let balancer = Balancer::new(settings, self.rng.rand_u64()).map_err(wrong)?;
        let core = self.cores.len() as u32;
        let members = self.members(service);
        self.cores.push(Core {
            balancer: Some(balancer),
            front,
            zone,
            service,
            connected: FxHashSet::default(),
            told: FxHashMap::default(),
            listed_at: self.now,
            missed: false,
            first: members.iter().filter(|member| member.phase == Phase::Ready).count(),
        });
        self.watchers[service].push(core);
        self.drive(core, Event::Started);
        self.tell(core, ListUpdate::Whole(members));
        Ok(core)
    }

    fn member(&self, process: u32) -> Member {
        let Process { slot, phase, started, .. } = self.processes[process as usize];
        Member {
            id: UpstreamId(process),
            zone: Some(ZoneId(self.slots[slot].zone)),
            kind: None,
            cell: 0,
            phase,
            weight: 1.0,
            started: started.map(Duration::from_nanos),
        }
    }

    fn members(&self, service: usize) -> Vec<Member> {
        self.listed[service].iter().map(|&process| self.member(process)).collect()
    }

    /// A core takes in a list.
    fn tell(&mut self, core: u32, update: ListUpdate) {
        let held = &mut self.cores[core as usize];
        if held.balancer.is_none() {
            return;
        }
        if let ListUpdate::Whole(members) | ListUpdate::Patch(members) = &update {
            for member in members.iter().filter(|member| member.phase != Phase::Ready) {
                held.told.entry(member.id.0).or_insert(self.now);
            }
        }
        self.report.lists += 1;
        self.drive(core, Event::List(update));
    }

    /// Sends changed entries to all that watch the list.
    fn spread(&mut self, service: usize, members: Vec<Member>) {
        self.changed[service] = Some(self.now);
        let change = self.changes.len() as u32;
        self.changes.push(members);
        let mut watchers = mem::take(&mut self.watchers[service]);
        watchers.retain(|&core| self.cores[core as usize].balancer.is_some());
        for &core in &watchers {
            let region = self.topology.region_of[self.cores[core as usize].zone];
            if self.cut == Some(region) {
                self.cores[core as usize].missed = true;
                continue;
            }
            let at = self.now + ns(LIST.0 + LIST.1 * self.rng.rand_float());
            let at = at.max(self.cores[core as usize].listed_at);
            self.cores[core as usize].listed_at = at;
            self.due.push(at, Due::List { core, change });
        }
        self.watchers[service] = watchers;
    }

    fn step(&mut self, number: usize) -> Result<(), CapacityError> {
        let in_zone = |slots: &[Slot], zone: usize| -> Vec<usize> {
            (0..slots.len()).filter(|&slot| slots[slot].zone == zone).collect()
        };
        match self.play.script[number].1 {
            Step::Replace(slot) => {
                let Some(process) = self.slots[slot].process else { return Ok(()) };
                if self.processes[process].phase != Phase::Ready || self.processes[process].state != State::Up
                {
                    return Ok(());
                }
                self.processes[process].phase = Phase::Draining;
                self.spread(self.slots[slot].service, vec![self.member(process as u32)]);
                self.due.push(self.now + ns(DRAIN_S), Due::Stop(process as u32));
                self.due.push(self.now + ns(DRAIN_S) + 1, Due::Start(slot as u32));
            }
            Step::Fail(slot) => {
                self.lose(slot);
                self.due.push(self.now + ns(REPAIR_S), Due::Start(slot as u32));
            }
            Step::LoseZone(zone) => {
                self.zone_lost = Some(zone);
                for slot in in_zone(&self.slots, zone) {
                    self.lose(slot);
                }
                for front in 0..self.fronts.len() {
                    if self.topology.fronts[front] == zone {
                        self.front_up[front] = false;
                        for core in self.fronts[front].clone() {
                            self.cores[core as usize].balancer = None;
                        }
                    }
                }
            }
            Step::ReturnZone(zone) => {
                self.zone_lost = None;
                for slot in in_zone(&self.slots, zone) {
                    self.start(slot)?;
                }
                for front in 0..self.fronts.len() {
                    if self.topology.fronts[front] == zone {
                        self.add_front(front)?;
                    }
                }
            }
            Step::Cut(region) => self.cut = Some(region),
            Step::Heal(region) => {
                self.cut = None;
                // Its watches open anew and ask for whole lists.
                for core in 0..self.cores.len() {
                    if self.topology.region_of[self.cores[core].zone] == region
                        && mem::take(&mut self.cores[core].missed)
                    {
                        let at = self.now + ns(LIST.0 + LIST.1 * self.rng.rand_float());
                        self.cores[core].listed_at = at;
                        self.due.push(at, Due::Whole(core as u32));
                    }
                }
            }
        }
        Ok(())
    }

    fn lose(&mut self, slot: usize) {
        if let Some(process) = self.slots[slot].process.take()
            && self.processes[process].state == State::Up
        {
            self.stop(process, State::Lost);
            self.due.push(self.now + ns(DETECT_S), Due::Unlist(process as u32));
        }
    }

    /// A process ends: what it held is lost, and its balancers with it.
    fn stop(&mut self, number: usize, state: State) {
        if self.processes[number].state != State::Up {
            return;
        }
        let process = &mut self.processes[number];
        process.state = state;
        process.busy = 0;
        process.queue.clear();
        let slot = process.slot;
        for core in mem::take(&mut process.cores) {
            let core = &mut self.cores[core as usize];
            core.balancer = None;
            (core.connected, core.told) = Default::default();
        }
        if self.slots[slot].process == Some(number) {
            self.slots[slot].process = None;
        }
        let zone = self.slots[slot].zone;
        // In the order of their numbers.
        let held: Vec<u64> = (0..)
            .zip(&self.works.entries)
            .filter(|(_, (_, held, work))| *held && work.process as usize == number)
            .map(|(place, (generation, ..))| u64::from(*generation) << 32 | place)
            .collect();
        for id in held {
            let Some(work) = self.works.get(id) else { continue };
            let (hop, attempt) = (work.hop, work.attempt);
            self.works.remove(id);
            if state == State::Ended {
                self.reply(zone, hop, attempt, Outcome::Reset);
            }
        }
        if state == State::Ended {
            self.unlist(number);
        }
    }

    fn unlist(&mut self, process: usize) {
        let service = self.slots[self.processes[process].slot].service;
        let listed = &mut self.listed[service];
        let before = listed.len();
        listed.retain(|&other| other as usize != process);
        if listed.len() < before {
            self.processes[process].phase = Phase::Gone;
            self.spread(service, vec![self.member(process as u32)]);
        }
    }

    fn start(&mut self, slot: usize) -> Result<(), CapacityError> {
        if self.slots[slot].process.is_some() || self.zone_lost == Some(self.slots[slot].zone) {
            return Ok(());
        }
        let process = self.add_process(slot, Some(self.now));
        self.spread(self.slots[slot].service, vec![self.member(process as u32)]);
        self.add_cores(process)
    }

    // --- Clients ---

    fn client_comes(&mut self) {
        let topology = self.topology;
        let mut zone = place(topology.clients.iter().copied(), self.rng.rand_float());
        // Clients of a lost zone come to the next one.
        if self.zone_lost == Some(zone) {
            zone = (zone + 1) % topology.region_of.len();
        }
        let here: Vec<usize> =
            (0..topology.fronts.len()).filter(|&front| topology.fronts[front] == zone).collect();
        let front = here[self.rng.rand_range(0..here.len() as u64) as usize];
        let entry = place(topology.entries.iter().map(|&(_, until)| until), self.rng.rand_float());
        let left = 1 + place(topology.lengths.iter().copied(), self.rng.rand_float());
        let draw = self.rng.rand_float();
        let (free, keyed) = self.play.effects.unwrap_or(EFFECTS);
        let class = u8::from(draw >= free) + u8::from(draw >= free + keyed);
        let client = Client {
            came: self.now,
            front: front as u32,
            entry: entry as u32,
            tenant: place(self.tenants.iter().copied(), self.rng.rand_float()) as u32,
            class,
            left: left as u8,
            tries: 0,
            ran: 0,
            answered: false,
        };
        let second = (self.now / 1_000_000_000) as usize;
        if self.report.seconds.len() <= second {
            self.report.seconds.resize(second + 1, Second::default());
        }
        self.report.seconds[second].calls += 1;
        let number = if let Some(number) = self.clients_free.pop() {
            self.clients[number as usize] = client;
            number
        } else {
            self.clients.push(client);
            self.clients.len() as u32 - 1
        };
        self.call(number);
    }

    /// A client calls, the first time or again.
    fn call(&mut self, number: u32) {
        let client = &mut self.clients[number as usize];
        client.tries += 1;
        let Client { came, front, entry, class, left, .. } = *client;
        let deadline = came + ns(self.plan.traffic.deadline_s.value);
        if !self.front_up[front as usize] {
            return self.client_answered(number, End::Failed);
        }
        let core = self.fronts[front as usize][entry as usize];
        self.open(core, Parent::Client(number), class, left, deadline);
    }

    fn client_answered(&mut self, number: u32, end: End) {
        let now = self.now;
        let client = &mut self.clients[number as usize];
        if client.answered {
            self.report.faults.doubled += 1;
            return;
        }
        let pause = ns(AGAIN_S * (1.0 + self.rng.rand_float()));
        let Client { came, class, tries, .. } = *client;
        let deadline = came + ns(self.plan.traffic.deadline_s.value);
        let may = end == End::Refused || (end == End::Failed && class < 2);
        if may && tries <= self.play.repeats && now + pause < deadline {
            return self.due.push(now + pause, Due::Again(number));
        }
        client.answered = true;
        if class == 2 && client.ran > 1 {
            self.report.faults.run_twice += 1;
        }
        let took = now - came;
        let second = &mut self.report.seconds[(came / 1_000_000_000) as usize];
        match end {
            End::Good if took <= ns(self.plan.traffic.aim_s.value) => second.served += 1,
            End::Good => second.late += 1,
            End::Refused => second.refused += 1,
            End::Failed => second.failed += 1,
        }
        if end == End::Good {
            let place = ((took as f64 / 1e3).max(1.0).log2() * 8.0) as usize;
            let last = self.report.times.len() - 1;
            self.report.times[place.min(last)] += 1;
        }
        self.clients_free.push(number);
    }

    // --- Calls ---

    fn open(&mut self, core: u32, parent: Parent, class: u8, left: u8, deadline: u64) {
        let attempts = Vec::with_capacity(1);
        let hop = Hop { core, parent, class, left, answered: false, ran: 0, deadline, attempts };
        let id = self.hops.insert(hop);
        let depth = self.depth_of(core);
        let time_left = deadline.saturating_sub(self.now);
        self.report.depths[depth].calls += 1;
        self.report.depths[depth].left_s += seconds(time_left);
        let (tenant, repeat) = match parent {
            Parent::Client(client) => {
                let client = &self.clients[client as usize];
                (Some(TenantId(client.tenant as usize)), client.tries > 1)
            }
            Parent::Work(_) => (None, false),
        };
        let request = Request {
            id: RequestId(id),
            class: ClassId(class.into()),
            tenant,
            key: (class == 1).then_some(id),
            time_left: Duration::from_nanos(time_left),
            expected_work: None,
            repeat,
        };
        self.drive(core, Event::Request(request));
    }

    fn depth_of(&self, core: u32) -> usize {
        self.topology.services[self.cores[core as usize].service].depth - 1
    }

    /// An event for a core, and what it asks for.
    fn drive(&mut self, core: u32, event: Event) {
        let Some(balancer) = &mut self.cores[core as usize].balancer else { return };
        let mut actions = mem::take(&mut self.actions);
        balancer.handle(Duration::from_nanos(self.now), event, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Send { request, upstream, timeout, begin_within, last } => {
                    self.mix(request.0 ^ u64::from(upstream.0) << 40);
                    self.send(core, request.0, upstream.0, timeout, begin_within, last);
                }
                Action::Withdraw { request, attempt } => {
                    self.due.push(
                        self.now,
                        Due::Reply { hop: request.0, attempt: attempt.0 as u8, outcome: Outcome::Withdrawn },
                    );
                }
                Action::Refuse { request, .. } => {
                    self.mix(request.0 ^ 1 << 61);
                    let depth = self.depth_of(core);
                    self.report.depths[depth].refused += 1;
                    let bare = self.hops.get(request.0).is_some_and(|hop| hop.attempts.is_empty());
                    self.report.depths[depth].denied += u64::from(bare);
                    self.answer(request.0, End::Refused);
                }
                Action::Fail { request } => {
                    self.mix(request.0 ^ 1 << 62);
                    let depth = self.depth_of(core);
                    self.report.depths[depth].failed += 1;
                    self.answer(request.0, End::Failed);
                }
                Action::WakeAfter(span) => {
                    self.due.push(self.now + span.as_nanos() as u64, Due::Wake(core));
                }
                Action::Subscribe | Action::Probe { .. } | Action::DropIdle { .. } | Action::Log(_) => {}
            }
        }
        self.actions = actions;
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let [from, to] = [from, to].map(|zone| self.topology.region_of[zone]);
        from != to && self.cut.is_some_and(|region| region == from || region == to)
    }

    /// One way, with up to a tenth of noise.
    fn delay(&mut self, from: usize, to: usize) -> u64 {
        let network = &self.plan.network;
        let regions = &self.topology.region_of;
        let ms = if from == to {
            network.zone_ms.value
        } else if regions[from] == regions[to] {
            network.region_ms.value
        } else {
            network.far_ms.value
        };
        ns(ms / 1e3 * (1.0 + 0.1 * self.rng.rand_float()))
    }

    fn send(
        &mut self,
        core: u32,
        id: u64,
        process: u32,
        timeout: Option<Duration>,
        begin_within: Option<Duration>,
        last: bool,
    ) {
        let now = self.now;
        let held = &self.cores[core as usize];
        let from = held.zone;
        let to = self.slots[self.processes[process as usize].slot].zone;
        if held.told.get(&process).is_some_and(|&told| now > told + ns(GRACE_S)) {
            self.report.faults.after_grace += 1;
        }
        let depth = self.depth_of(core);
        self.report.depths[depth].attempts += 1;
        let regions = &self.topology.region_of;
        self.report.crossed.0 += u64::from(from != to && regions[from] == regions[to]);
        self.report.crossed.1 += u64::from(regions[from] != regions[to]);
        let state = self.processes[process as usize].state;
        let cut = self.is_cut(from, to);
        let one = self.delay(from, to);
        let Some(hop) = self.hops.get(id) else { return };
        let attempt = hop.attempts.len() as u8;
        let wait = timeout
            .map_or(hop.deadline.saturating_sub(now), |span| span.as_nanos() as u64)
            .min(hop.deadline.saturating_sub(now));
        let connected = self.cores[core as usize].connected.contains(&process) && state != State::Ended;
        let reply = |outcome| Due::Reply { hop: id, attempt, outcome };
        let (at, due, connecting) = if connected && !cut {
            (now + one, Due::Reach { hop: id, attempt }, 0)
        } else if connected {
            (now + wait, reply(Outcome::TimedOut), 0)
        } else if cut || state == State::Lost {
            let wait = wait.min(ns(if last { CONNECT.1 } else { CONNECT.0 }));
            (now + wait, reply(Outcome::ConnectTimedOut), wait)
        } else if state == State::Ended {
            (now + 2 * one, reply(Outcome::ConnectFailed), 2 * one)
        } else if begin_within.is_some_and(|span| span.as_nanos() < u128::from(2 * one)) {
            (now + 2 * one, reply(Outcome::NotSent), 2 * one)
        } else {
            self.cores[core as usize].connected.insert(process);
            (now + 3 * one, Due::Reach { hop: id, attempt }, 2 * one)
        };
        if connected && (cut || state == State::Lost) {
            // What is out on it ends in time; the next attempt opens a connection anew.
            self.cores[core as usize].connected.remove(&process);
        }
        if let Some(hop) = self.hops.get(id) {
            hop.attempts.push(Attempt { process, sent: now, connecting, over: false });
        }
        self.due.push(at, due);
        if matches!(due, Due::Reach { .. }) {
            self.due.push(now + wait, Due::Timeout { hop: id, attempt });
        }
    }

    /// An attempt is over at its balancer.
    fn attempt_over(&mut self, id: u64, number: u8, outcome: Outcome) {
        let now = self.now;
        let Some(hop) = self.hops.get(id) else { return };
        let core = hop.core;
        let Some(attempt) = hop.attempts.get_mut(usize::from(number)).filter(|attempt| !attempt.over) else {
            return;
        };
        attempt.over = true;
        let Attempt { sent, connecting, process, .. } = *attempt;
        let good = outcome == Outcome::Good;
        let depth = self.depth_of(core);
        let end = match outcome {
            Outcome::Good => 0,
            Outcome::Error | Outcome::Rejected => 1,
            Outcome::Refused => 2,
            Outcome::TimedOut | Outcome::Withdrawn => 3,
            Outcome::ConnectFailed | Outcome::ConnectTimedOut | Outcome::NotSent => 4,
            Outcome::Reset => 5,
        };
        self.report.depths[depth].ends[end] += 1;
        if outcome == Outcome::Reset {
            self.cores[core as usize].connected.remove(&process);
        }
        let took = now - sent;
        let ended = Event::AttemptEnded {
            request: RequestId(id),
            attempt: AttemptNumber(number.into()),
            outcome,
            took: Duration::from_nanos(took),
            connecting: Duration::from_nanos(connecting.min(took)),
            finished: good || self.hops.get(id).is_some_and(|hop| hop.answered),
            load: None,
        };
        if good {
            self.answer(id, End::Good);
        }
        self.drive(core, ended);
        self.forget(id);
    }

    /// The answer to a call goes to who called.
    fn answer(&mut self, id: u64, end: End) {
        let Some(hop) = self.hops.get(id) else { return };
        if hop.answered {
            self.report.faults.doubled += 1;
            return;
        }
        hop.answered = true;
        let (parent, ran, class) = (hop.parent, hop.ran, hop.class);
        if class == 2 && ran > 1 {
            self.report.faults.run_twice += 1;
        }
        match parent {
            Parent::Client(client) => self.client_answered(client, end),
            Parent::Work(work) => {
                let outcome = if end == End::Good { Outcome::Good } else { Outcome::Error };
                self.work_over(work, outcome);
            }
        }
        self.forget(id);
    }

    /// Forgets a call once it is over; one of a balancer that has ended is over with its attempts.
    fn forget(&mut self, id: u64) {
        let Some(hop) = self.hops.get(id) else { return };
        if hop.attempts.iter().any(|attempt| !attempt.over) {
            return;
        }
        let (answered, parent, core) = (hop.answered, hop.parent, hop.core);
        if answered {
            self.hops.remove(id);
        } else if self.cores[core as usize].balancer.is_none() {
            self.hops.remove(id);
            if let Parent::Client(client) = parent {
                self.client_answered(client, End::Failed);
            }
        }
    }

    // --- Upstreams ---

    /// An attempt's request reaches its upstream.
    fn reach(&mut self, id: u64, number: u8) {
        let now = self.now;
        let Some(hop) = self.hops.get(id) else { return };
        let Some(&attempt) = hop.attempts.get(usize::from(number)) else { return };
        let (class, left, deadline) = (hop.class, hop.left, hop.deadline);
        let core = hop.core;
        let process = attempt.process as usize;
        let slot = self.processes[process].slot;
        let Slot { service, zone, .. } = self.slots[slot];
        if self.is_cut(self.cores[core as usize].zone, zone) {
            return;
        }
        match self.processes[process].state {
            State::Lost => return,
            State::Ended => return self.reply(zone, id, number, Outcome::Reset),
            State::Up => {}
        }
        let depth = self.topology.services[service].depth - 1;
        self.report.depths[depth].reached += 1;
        match self.play.trouble {
            Some((troubled, Trouble::Failing)) if troubled == service => {
                self.begins(id);
                return self.reply(zone, id, number, Outcome::Error);
            }
            Some((troubled, Trouble::Silent)) if troubled == service => return self.begins(id),
            _ => {}
        }
        if self.falls_over(process) {
            self.report.pushed_over += 1;
            self.stop(process, State::Ended);
            self.due.push(now + ns(FALLEN_S), Due::Start(slot as u32));
            return self.reply(zone, id, number, Outcome::Reset);
        }
        let cores = self.topology.services[service].cores;
        let held = &mut self.processes[process];
        let full = held.busy >= cores && held.queue.len() >= cores * QUEUE;
        if full || held.held >= cores * PLACES {
            return self.reply(zone, id, number, Outcome::Refused);
        }
        held.held += 1;
        let work =
            Work { process: process as u32, hop: id, attempt: number, class, left, begun: false, deadline };
        let work = self.works.insert(work);
        if self.processes[process].busy < cores {
            self.begin(work);
        } else {
            self.processes[process].queue.push_back(work);
        }
    }

    /// Whether a cold process has been sent more in the window than it can bear, by the sum over all balancers.
    fn falls_over(&mut self, number: usize) -> bool {
        let now = self.now;
        let cold = ns(COLD.1);
        let Process { started: Some(started), slot, .. } = self.processes[number] else { return false };
        if now - started >= cold {
            return false;
        }
        let window = &mut self.processes[number].window;
        window.push_back(now);
        while window.front().is_some_and(|&at| at + ns(OVERLOAD.1) < now) {
            window.pop_front();
        }
        let sent = window.len() as f64;
        let age = seconds(now - started);
        let cores = self.topology.services[self.slots[slot].service].cores as f64;
        let middle = (age - OVERLOAD.1 / 2.0).max(age / 2.0);
        let rate = cores / (self.plan.traffic.work_ms.value / 1e3) * warmth(middle);
        let budget = OVERLOAD.0 * rate * OVERLOAD.1.min(age.max(0.1));
        sent > budget + 2.0 * budget.sqrt() + 2.0
    }

    fn begins(&mut self, hop: u64) {
        let Some(hop) = self.hops.get(hop) else { return };
        hop.ran += 1;
        if let Parent::Client(client) = hop.parent {
            self.clients[client as usize].ran += 1;
        }
    }

    /// A work gets a core, unless its caller has gone.
    fn begin(&mut self, id: u64) {
        let now = self.now;
        let Some(work) = self.works.get(id) else { return };
        work.begun = true;
        let (process, hop, attempt, deadline) =
            (work.process as usize, work.hop, work.attempt, work.deadline);
        let waits = self
            .hops
            .get(hop)
            .and_then(|hop| hop.attempts.get(usize::from(attempt)))
            .is_some_and(|attempt| !attempt.over);
        if !waits || now >= deadline {
            self.works.remove(id);
            self.processes[process].held -= 1;
            return self.next(process);
        }
        self.begins(hop);
        self.processes[process].busy += 1;
        let speed = self.processes[process].started.map_or(1.0, |started| warmth(seconds(now - started)));
        let times = 0.4 - 0.6 * (1.0 - self.rng.rand_float()).ln();
        let work_s = self.plan.traffic.work_ms.value / 1e3 * times / speed;
        self.due.push(now + ns(work_s), Due::Done { work: id });
    }

    /// The next of a process's queue gets a core.
    fn next(&mut self, process: usize) {
        if let Some(work) = self.processes[process].queue.pop_front() {
            self.begin(work);
        }
    }

    /// A work's own part is done: the next service is called, or the answer goes back.
    fn work_done(&mut self, id: u64) {
        let Some(work) = self.works.get(id) else { return };
        let Work { process, class, left, deadline, .. } = *work;
        let process = process as usize;
        self.processes[process].busy -= 1;
        let service = self.slots[self.processes[process].slot].service;
        let topology = self.topology;
        let calls = &topology.services[service].calls;
        if left <= 1 || calls.is_empty() {
            self.work_over(id, Outcome::Good);
        } else {
            let call = place(calls.iter().map(|&(_, until)| until), self.rng.rand_float());
            let core = self.processes[process].cores[call];
            self.open(core, Parent::Work(id), class, left - 1, deadline);
        }
        if self.processes[process].state == State::Up {
            self.next(process);
        }
    }

    /// A work is over: its upstream answers.
    fn work_over(&mut self, id: u64, outcome: Outcome) {
        let Some(work) = self.works.get(id) else { return };
        let Work { process, hop, attempt, .. } = *work;
        self.works.remove(id);
        self.processes[process as usize].held -= 1;
        let zone = self.slots[self.processes[process as usize].slot].zone;
        self.reply(zone, hop, attempt, outcome);
    }

    /// An answer goes from an upstream to the balancer that sent the attempt; a cut swallows it.
    fn reply(&mut self, zone: usize, hop: u64, attempt: u8, outcome: Outcome) {
        let Some(core) = self.hops.get(hop).map(|hop| hop.core) else { return };
        let to = self.cores[core as usize].zone;
        if self.is_cut(zone, to) {
            return;
        }
        let at = self.now + self.delay(zone, to);
        self.due.push(at, Due::Reply { hop, attempt, outcome });
    }

    // --- What balancers think ---

    fn look_at_minds(&mut self) {
        let mut minds = Minds { at_s: (self.now + 500_000_000) / 1_000_000_000, ..Minds::default() };
        // While a list changes or one of it is cold, the figure that falls with those set aside falls with these.
        let late = ns(LIST.0 + LIST.1);
        let unclear: Vec<bool> = (0..self.listed.len())
            .map(|service| {
                let cold = |&process: &u32| {
                    let started = self.processes[process as usize].started;
                    started.is_some_and(|started| self.now < started + ns(COLD.1) + late)
                };
                self.cut.is_some()
                    || self.changed[service].is_some_and(|at| self.now < at + 2 * late)
                    || self.listed[service].iter().any(cold)
            })
            .collect();
        for core in &self.cores {
            let Some(balancer) = &core.balancer else { continue };
            minds.cores += 1;
            let vitals = balancer.vitals();
            let figure = |name: &str| -> f64 {
                let rest = vitals.split_once(name).map_or("", |(_, rest)| rest);
                rest.split([' ', ',']).find_map(|word| word.parse().ok()).unwrap_or(0.0)
            };
            minds.crowded += usize::from(figure("crowding ") > 0.2);
            // The last of the limits is that of all calls together; where it is none it reads 1000000.
            let limits = vitals.split_once("limits ").map_or("", |(_, rest)| rest);
            let limits = limits.split_once(", usual").map_or("", |(limits, _)| limits);
            let all = limits.split(' ').filter_map(|word| word.parse::<f64>().ok()).next_back();
            let fair = QUOTAS * self.topology.services[core.service].rate / self.topology.fronts.len() as f64;
            let fair = if core.front { fair } else { 1e6 };
            minds.limited += usize::from(all.is_some_and(|all| all < fair * 0.99));
            let is_ready = |&&process: &&u32| self.processes[process as usize].phase == Phase::Ready;
            let ready = self.listed[core.service].iter().filter(is_ready).count() as f64;
            let ready = ready / core.first.max(1) as f64;
            let had = ready.clamp(0.5, 1.0);
            minds.aside += usize::from(!unclear[core.service] && figure("had ") < had - 0.01);
        }
        self.report.minds.push(minds);
    }
}

fn warmth(age_s: f64) -> f64 {
    (COLD.0 + (1.0 - COLD.0) * age_s / COLD.1).min(1.0)
}
