//! The fleet at work in virtual time: upstreams with servers, queues and cold starts, links with delays and cuts, lists
//! that come late, clients that repeat, and between them all the real decision cores.

use balancer_policy::interface::{Member, Outcome};
use balancer_policy::{Action, Event};
use oorandom::Rand64;

use self::event::Due;
pub use self::report::{Depth, Faults, Report, Second, Signals};
pub use self::script::{DRAIN_S, Step};
use self::slab::Slab;
use self::state::{Client, Core, Hop, Process, Slot, State, Work};
use super::topology::Topology;
use super::wheel::Wheel;
use crate::CapacityError;
use crate::decisions::resident_bytes;
use crate::plan::Plan;

mod attempts;
mod calls;
mod clients;
mod event;
mod lists;
mod processes;
mod report;
mod script;
mod settings;
mod signals;
mod slab;
mod state;
mod upstreams;

/// Virtual seconds between looks at the memory in use: short, so that a run ends soon after it passes its bound.
const MEMORY_LOOK_S: f64 = 0.25;
/// Virtual seconds between looks at the signals of the balancers: the seconds of the report.
const SIGNAL_LOOK_S: f64 = 1.0;

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

/// Parts of the calls, 0 to 1, by how they may be repeated; the rest never may.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Effects {
    /// Those that may be repeated freely.
    pub free: f64,
    /// Those that may be repeated with an idempotency key.
    pub keyed: f64,
}

/// A service that does not do its work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TroubledService {
    /// Its number in the topology.
    pub service: usize,
    /// What it does in place of its work.
    pub trouble: Trouble,
}

/// A step of a scenario with its time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TimedStep {
    /// Virtual seconds from the start.
    pub at_s: f64,
    /// What happens.
    pub step: Step,
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
    /// What happens, in the order of time.
    pub script: Vec<TimedStep>,
    /// All processes have just started.
    pub cold: bool,
    /// A service that does not do its work.
    pub trouble: Option<TroubledService>,
    /// Repeats by a client at most.
    pub repeats: u32,
    /// Parts of the calls by how they may be repeated; `None` for the usual parts.
    pub effects: Option<Effects>,
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
    replicas: Vec<u32>,
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
            replicas: vec![0; services],
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
        world.draw_tenants();
        world.add_slots();
        world.add_first_processes()?;
        world.schedule_first_events();
        Ok(world)
    }

    /// Shares of the tenants, of which the one of rank n has 1 over the root of n.
    fn draw_tenants(&mut self) {
        let mut sum = 0.0;
        let parts: Vec<f64> =
            (1..=self.plan.traffic.tenants.value).map(|rank| (rank as f64).powf(-0.5)).collect();
        let all: f64 = parts.iter().sum();
        for part in parts {
            sum += part / all;
            self.tenants.push(sum);
        }
    }

    /// The slots of all services, and the number of each of their balancers among those that call the same service.
    fn add_slots(&mut self) {
        let topology = self.topology;
        for entry in &topology.entries {
            self.replicas[entry.service] = topology.fronts.len() as u32;
        }
        for (number, service) in topology.services.iter().enumerate() {
            for &zone in &service.zones {
                let index = service
                    .calls
                    .iter()
                    .map(|called| {
                        self.replicas[called.service] += 1;
                        self.replicas[called.service] - 1
                    })
                    .collect();
                self.slots.push(Slot { service: number, zone, process: None, index });
            }
        }
    }

    /// A process in each slot and all fronts. Balancers come after all processes, so that their first lists are whole.
    fn add_first_processes(&mut self) -> Result<(), CapacityError> {
        let halved = self.play.trouble.filter(|troubled| troubled.trouble == Trouble::Halved);
        let halved = halved.map(|troubled| troubled.service);
        let mut seen = vec![0; self.topology.services.len()];
        for slot in 0..self.slots.len() {
            let process = self.add_process(slot, self.play.cold.then_some(0));
            let service = self.slots[slot].service;
            seen[service] += 1;
            if halved == Some(service) && seen[service] % 2 == 0 {
                self.processes[process].state = State::Lost;
            }
        }
        for process in 0..self.processes.len() {
            self.add_cores(process)?;
        }
        for front in 0..self.topology.fronts.len() {
            self.add_front(front)?;
        }
        self.report.cores = self.cores.len();
        Ok(())
    }

    fn schedule_first_events(&mut self) {
        self.due.push(0, Due::Client);
        self.due.push(ns(MEMORY_LOOK_S), Due::Look);
        self.due.push(ns(SIGNAL_LOOK_S), Due::LookAtSignals);
        for (number, timed) in self.play.script.iter().enumerate() {
            self.due.push(ns(timed.at_s), Due::Script(number as u32));
        }
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
        for entry in &self.hops.entries {
            if entry.occupied && owed(&entry.value, &self.cores) {
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
            Due::Client => self.next_client(last),
            Due::Again(client) => self.call(client),
            Due::Wake(core) => self.drive(core, Event::MaintenanceDue),
            Due::Reach { hop, attempt } => self.reach(hop, attempt),
            Due::Done { work } => self.work_done(work),
            Due::Reply { hop, attempt, outcome } => self.attempt_over(hop, attempt, outcome),
            Due::Timeout { hop, attempt } => self.attempt_over(hop, attempt, Outcome::TimedOut),
            Due::List { core, change } => self.changed_list_arrives(core, change),
            Due::Whole(core) => self.whole_list_arrives(core),
            Due::Script(step) => self.step(step as usize)?,
            Due::Stop(process) => self.stop(process as usize, State::Ended),
            Due::Start(slot) => self.start(slot as usize)?,
            Due::Unlist(process) => self.unlist(process as usize),
            Due::Look => self.look_at_memory()?,
            Due::LookAtSignals => self.look_at_signals(),
        }
        Ok(())
    }

    /// Notes the memory in use, and ends the run where it passes its bound.
    fn look_at_memory(&mut self) -> Result<(), CapacityError> {
        self.due.push(self.now + ns(MEMORY_LOOK_S), Due::Look);
        let used_mb = resident_bytes()? >> 20;
        self.report.memory_mb = self.report.memory_mb.max(used_mb);
        if used_mb > self.play.memory_mb {
            return Err(CapacityError::Memory {
                place: format!("hollow fleet, {} at {:.2} s", self.play.name, seconds(self.now)),
                used_mb,
                bound_mb: self.play.memory_mb,
            });
        }
        Ok(())
    }
}
