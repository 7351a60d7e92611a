//! The simulation of a fleet in virtual time. It models upstreams with servers, queues and cold starts, links with
//! delays and network partitions, service discovery with propagation delays, and clients that retry; all balancers run
//! the real decision cores.

use balancer_policy::interface::{Member, Outcome};
use balancer_policy::{Action, Event};
use oorandom::Rand64;

use self::event::ScheduledEvent;
pub use self::report::{Depth, Faults, Report, Second, Signals};
pub use self::script::{DRAIN_S, Step};
use self::slab::Slab;
use self::state::{Client, Core, Hop, Process, Slot, State, WorkItem};
use super::timer_wheel::TimerWheel;
use super::topology::Topology;
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

/// Virtual seconds between checks of the memory that the simulating process uses: short, so that a run ends soon after
/// it exceeds its limit.
const MEMORY_CHECK_INTERVAL_S: f64 = 0.25;
/// Virtual seconds between samples of the balancers' signals; one sample for each second of the report.
const SIGNAL_SAMPLE_INTERVAL_S: f64 = 1.0;

/// Converts seconds to ns.
fn ns(seconds: f64) -> u64 {
    (seconds * 1e9) as u64
}

/// Converts ns to seconds.
fn seconds(ns: u64) -> f64 {
    ns as f64 / 1e9
}

/// A fault of a service that lasts for the whole run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceFault {
    /// The service answers every request with an error at once.
    Failing,
    /// The service accepts requests and never answers.
    Silent,
    /// Half of the service's upstreams are unreachable, and service discovery still lists them.
    Halved,
}

/// Fractions of the calls, 0 to 1, by idempotency class; the remaining calls must not be retried.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct IdempotencyFractions {
    /// Fraction of the calls, 0 to 1, that are idempotent and may be retried freely.
    pub free: f64,
    /// Fraction of the calls, 0 to 1, that may be retried with an idempotency key.
    pub keyed: f64,
}

/// A service with a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FaultyService {
    /// Index of the service in [`Topology::services`].
    pub service: usize,
    /// Fault of the service.
    pub fault: ServiceFault,
}

/// A step of a scenario, with the time at which it happens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TimedStep {
    /// Time of the step, in virtual seconds from the start of the run.
    pub at_s: f64,
    /// The change that the step makes to the fleet.
    pub step: Step,
}

/// Parameters of a simulation run.
#[derive(Debug, Clone)]
pub struct RunParameters {
    /// Name of the run in error messages.
    pub name: String,
    /// Virtual seconds during which clients send calls.
    pub seconds: f64,
    /// Seed of all random draws of the run.
    pub seed: u64,
    /// Memory limit of the process that runs the simulation, in MB.
    pub memory_mb: u64,
    /// Steps of the scenario, ordered by time.
    pub script: Vec<TimedStep>,
    /// Whether all processes have just started and are still warming up.
    pub starts_warming_up: bool,
    /// The service with a fault, if any.
    pub fault: Option<FaultyService>,
    /// Maximum number of retries by a client for one call.
    pub max_client_retries: u32,
    /// Fractions of the calls by idempotency class; `None` for the default fractions.
    pub idempotency_fractions: Option<IdempotencyFractions>,
}

/// State of a simulated fleet during a run.
#[derive(Debug)]
pub struct FleetSimulation<'a> {
    plan: &'a Plan,
    topology: &'a Topology,
    parameters: &'a RunParameters,
    rng: Rand64,
    /// Current virtual time, in ns from the start of the run.
    now: u64,
    /// Queue of the simulation events that are still to be handled.
    scheduled: TimerWheel<ScheduledEvent>,
    slots: Vec<Slot>,
    /// All processes that have been started in the run, the ended ones among them.
    processes: Vec<Process>,
    /// Indices of the processes in the service discovery list of each service, by service.
    listed: Vec<Vec<u32>>,
    /// All decision cores that have been started in the run, the ended ones among them.
    cores: Vec<Core>,
    /// Virtual time of the latest change to the endpoint list of each service, in ns, by service; `None` before the
    /// first change.
    list_changed_at: Vec<Option<u64>>,
    /// Indices of the decision cores that watch the endpoint list of each service, by service.
    watchers: Vec<Vec<u32>>,
    /// Number of balancers that call each service, by service.
    replicas: Vec<u32>,
    /// Indices of the decision cores of each front, in the order of [`Topology::entries`], by front.
    fronts: Vec<Vec<u32>>,
    /// Whether each front is running, by front.
    front_up: Vec<bool>,
    /// Changed members of each endpoint list change, indexed by the number in [`ScheduledEvent::List`].
    list_changes: Vec<Vec<Member>>,
    hops: Slab<Hop>,
    work_items: Slab<WorkItem>,
    /// Calls of clients; an entry is reused once its call has ended.
    clients: Vec<Client>,
    /// Indices of the unused entries of `clients`.
    clients_free: Vec<u32>,
    /// Cumulative fractions of the clients' calls by tenant: those of each tenant and of the tenants before it.
    tenants: Vec<f64>,
    /// Region that a network partition separates from the others, if any.
    partition: Option<usize>,
    /// Zone that has failed, if any.
    failed_zone: Option<usize>,
    /// Buffer for the actions that a decision core returns, reused between events.
    actions: Vec<Action>,
    report: Report,
}

/// Multiplier of the digest's hash function.
const DIGEST_MULTIPLIER: u64 = 0x517c_c1b7_2722_0a95;

impl<'a> FleetSimulation<'a> {
    /// Sets up the fleet before its first event.
    ///
    /// # Errors
    /// The plan's figures give no valid settings for a balancer.
    pub fn new(
        plan: &'a Plan,
        topology: &'a Topology,
        parameters: &'a RunParameters,
    ) -> Result<Self, CapacityError> {
        let services = topology.services.len();
        let mut simulation = Self {
            plan,
            topology,
            parameters,
            rng: Rand64::new(u128::from(parameters.seed) << 8 | 2),
            now: 0,
            scheduled: TimerWheel::default(),
            slots: Vec::new(),
            processes: Vec::new(),
            listed: vec![Vec::new(); services],
            cores: Vec::new(),
            list_changed_at: vec![None; services],
            watchers: vec![Vec::new(); services],
            replicas: vec![0; services],
            fronts: vec![Vec::new(); topology.fronts.len()],
            front_up: vec![true; topology.fronts.len()],
            list_changes: Vec::new(),
            hops: Slab::default(),
            work_items: Slab::default(),
            clients: Vec::new(),
            clients_free: Vec::new(),
            tenants: Vec::new(),
            partition: None,
            failed_zone: None,
            actions: Vec::new(),
            report: Report {
                depths: vec![Depth::default(); plan.graph.depth.value],
                times: vec![0; 256],
                ..Report::default()
            },
        };
        simulation.draw_tenants();
        simulation.add_slots();
        simulation.add_first_processes()?;
        simulation.schedule_first_events();
        Ok(simulation)
    }

    /// Calculates the cumulative fractions of the calls by tenant: the tenant of rank n has a weight of 1 / sqrt(n).
    fn draw_tenants(&mut self) {
        let mut sum = 0.0;
        let weights: Vec<f64> =
            (1..=self.plan.traffic.tenants.value).map(|rank| (rank as f64).powf(-0.5)).collect();
        let all: f64 = weights.iter().sum();
        for weight in weights {
            sum += weight / all;
            self.tenants.push(sum);
        }
    }

    /// Adds the slots of all services, and assigns each of their balancers its replica index among the balancers that
    /// call the same service.
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

    /// Starts a process in each slot, and all fronts. The balancers are added after all processes, so that their first
    /// lists are complete.
    fn add_first_processes(&mut self) -> Result<(), CapacityError> {
        let halved = self.parameters.fault.filter(|faulty| faulty.fault == ServiceFault::Halved);
        let halved = halved.map(|faulty| faulty.service);
        let mut seen = vec![0; self.topology.services.len()];
        for slot in 0..self.slots.len() {
            let process = self.add_process(slot, self.parameters.starts_warming_up.then_some(0));
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
        self.scheduled.push(0, ScheduledEvent::Client);
        self.scheduled.push(ns(MEMORY_CHECK_INTERVAL_S), ScheduledEvent::MemoryCheck);
        self.scheduled.push(ns(SIGNAL_SAMPLE_INTERVAL_S), ScheduledEvent::SignalSample);
        for (number, timed) in self.parameters.script.iter().enumerate() {
            self.scheduled.push(ns(timed.at_s), ScheduledEvent::Script(number as u32));
        }
    }

    /// Runs the simulation to its end, when all calls have been answered or are past their deadline.
    ///
    /// # Errors
    /// The memory limit is exceeded, or a process cannot start because the plan's figures give no valid settings.
    pub fn run(mut self) -> Result<Report, CapacityError> {
        let last = ns(self.parameters.seconds);
        // No client sends a call after `last`, and each call ends by its deadline.
        let end = last + ns(self.plan.traffic.deadline_s.value * 1.5 + 0.5);
        while let Some((at, scheduled)) = self.scheduled.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.report.events += 1;
            let [a, b] = scheduled.words();
            self.update_digest(at);
            self.update_digest(a);
            self.update_digest(b);
            self.handle_event(scheduled, last)?;
        }
        let is_unanswered =
            |hop: &Hop, cores: &[Core]| !hop.answered && cores[hop.core as usize].balancer.is_some();
        for entry in &self.hops.entries {
            if entry.occupied && is_unanswered(&entry.value, &self.cores) {
                self.report.faults.unanswered += 1;
            }
        }
        Ok(self.report)
    }

    /// Adds a word to the digest over the events and actions of the run.
    fn update_digest(&mut self, word: u64) {
        self.report.digest = (self.report.digest.rotate_left(5) ^ word).wrapping_mul(DIGEST_MULTIPLIER);
    }

    /// Handles one event; `last` is the time after which clients send no calls, in ns.
    fn handle_event(&mut self, scheduled: ScheduledEvent, last: u64) -> Result<(), CapacityError> {
        match scheduled {
            ScheduledEvent::Client => self.next_client(last),
            ScheduledEvent::ClientRetry(client) => self.call(client),
            ScheduledEvent::MaintenanceTimer(core) => self.drive(core, Event::MaintenanceDue),
            ScheduledEvent::RequestArrival { hop, attempt } => self.request_arrives(hop, attempt),
            ScheduledEvent::WorkDone { work } => self.work_done(work),
            ScheduledEvent::Reply { hop, attempt, outcome } => self.attempt_over(hop, attempt, outcome),
            ScheduledEvent::Timeout { hop, attempt } => self.attempt_over(hop, attempt, Outcome::TimedOut),
            ScheduledEvent::List { core, change } => self.deliver_list_change(core, change),
            ScheduledEvent::FullList(core) => self.deliver_full_list(core),
            ScheduledEvent::Script(step) => self.step(step as usize)?,
            ScheduledEvent::Stop(process) => self.stop(process as usize, State::Ended),
            ScheduledEvent::Start(slot) => self.start(slot as usize)?,
            ScheduledEvent::Unlist(process) => self.unlist(process as usize),
            ScheduledEvent::MemoryCheck => self.check_memory()?,
            ScheduledEvent::SignalSample => self.sample_signals(),
        }
        Ok(())
    }

    /// Records the memory that the simulating process uses, and ends the run with an error if it exceeds the limit.
    fn check_memory(&mut self) -> Result<(), CapacityError> {
        self.scheduled.push(self.now + ns(MEMORY_CHECK_INTERVAL_S), ScheduledEvent::MemoryCheck);
        let used_mb = resident_bytes()? >> 20;
        self.report.memory_mb = self.report.memory_mb.max(used_mb);
        if used_mb > self.parameters.memory_mb {
            return Err(CapacityError::Memory {
                place: format!("hollow fleet, {} at {:.2} s", self.parameters.name, seconds(self.now)),
                used_mb,
                bound_mb: self.parameters.memory_mb,
            });
        }
        Ok(())
    }
}
