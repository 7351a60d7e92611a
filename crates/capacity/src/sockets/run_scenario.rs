//! One run of a scenario, from the start of its processes to its outcome.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use config_distribution::document::Scope;

use super::control_plane::{self, ControlPlane, ControlProcess, Role};
use super::cost::{Busiest, ControlUsage, Cost, Totals};
use super::fleet::{Placement, hollow_balancers};
use super::hollow::Job;
use super::hollow_processes::{Arrival, DelayHistogram, HollowProcesses};
use super::list::ListServer;
use super::outcome::Outcome;
use super::schedule::schedule;
use super::size::Size;
use super::{Scenario, fleet, machine, region_name, service_name, zone_names};
use crate::CapacityError;
use crate::plan::Plan;

mod fault;

use self::fault::{ChangesAndFault, FaultTarget, Partition, RunRecord};

/// Maximum fraction of the machine's memory that all processes of a run may use.
const MAX_MEMORY_FRACTION: f64 = 0.5;
/// Maximum time to wait for each of these: the start of the balancers, the last configuration change at all balancers,
/// and the reconnected watches of the endpoint list. After it the run fails or counts the balancers that are behind.
const TIMEOUT: Duration = Duration::from_secs(40);
/// Length of the recovery window after a fault, as a fraction of the time over which the configuration changes are
/// published.
const RECOVERY_FRACTION: f64 = 0.35;
/// Delay between the starts of two successive hollow balancers of a process, in ms. A small run, whose processes have
/// fewer balancers, has none.
const START_INTERVAL_MS: u64 = 20;
/// Number of hollow balancers in each process of a small run.
const PER_PROCESS_SMALL: usize = 20;

/// Runs one scenario with one seed.
///
/// # Errors
/// A process does not start or ends early, or the run needs more memory than [`MAX_MEMORY_FRACTION`] allows.
pub(super) fn run_scenario(
    scenario: Scenario,
    seed: u64,
    size: &Size,
    plan: &Plan,
) -> Result<Outcome, CapacityError> {
    let target = FaultTarget::draw(plan, seed);
    let mut scenario_run = ScenarioRun::start(scenario, seed, size, plan)?;
    scenario_run.wait_until_ready()?;
    let (idle_start, idle_end) = scenario_run.idle()?;
    let record = ChangesAndFault::start(&mut scenario_run, &target).run()?;
    let missing = scenario_run.wait_for_last_changes(&record)?;
    let end = scenario_run.totals()?;
    let watches_at_wrong_index = scenario_run.reconnect_list_watches()?;
    let times = scenario_run.change_times(&record, &target)?;
    let machines: Vec<ControlProcess> = scenario_run.control_plane.machines().cloned().collect();
    let cost = |from, to| Cost::between(from, to, size.balancers, &machines);
    Ok(Outcome {
        scenario,
        seed,
        balancers: size.balancers,
        changes: record.changes.len(),
        times: times.from_acknowledgement,
        from_sending: times.from_sending,
        index_regressions: scenario_run.hollow_processes.index_regressions,
        missing,
        watches_at_wrong_index,
        idle: cost(&idle_start, &idle_end),
        during_changes: cost(&idle_end, &end),
        recovery: cost(&record.recovery_start, &record.recovery_end),
        most_in_window: record.recovery_end.most_in_window,
        balancer_mb: end.balancers.resident_kb as f64 / 1024.0 / size.balancers as f64,
        control_mb: largest_control_mb(&end, &machines),
    })
}

/// Returns the length of the recovery window, in which the cost of the recovery from a fault is measured.
pub(super) fn recovery_window(seconds: f64) -> Duration {
    Duration::from_secs_f64((seconds * RECOVERY_FRACTION).min(super::hollow::WINDOW_S as f64))
}

/// Returns the resident memory of the control process that uses the most, in MiB, and the role of that process.
fn largest_control_mb(end: &Totals, machines: &[ControlProcess]) -> Busiest {
    let sizes = end.control.iter().map(|one| one.process.resident_kb);
    let largest = sizes.zip(machines.iter().map(|machine| machine.role)).max();
    let (largest_kb, role) = largest.unwrap_or((0, Role::Origin));
    Busiest { figure: largest_kb as f64 / 1024.0, role }
}

/// The running control processes, list server and hollow balancers of a scenario run.
struct ScenarioRun<'a> {
    scenario: Scenario,
    seed: u64,
    size: &'a Size,
    plan: &'a Plan,
    /// Service and zone of each balancer, by its number.
    placements: Vec<Placement>,
    control_plane: ControlPlane,
    hollow_processes: HollowProcesses,
    list: ListServer,
    /// Newest published version of the configuration document of each scope.
    newest: HashMap<Scope, u64>,
    /// Memory limit of all processes of the run together, in KiB.
    memory_bound_kb: u64,
    /// Name of the run in error messages.
    label: String,
}

/// Delays until the configuration changes were in force at the balancers, for all changes and balancers.
struct ChangeTimes {
    /// Delays from the origin's acknowledgement of a configuration change until it was in force at a balancer.
    from_acknowledgement: DelayHistogram,
    /// Delays from the first sending of a configuration change to the origin until it was in force at a balancer.
    from_sending: DelayHistogram,
}

impl<'a> ScenarioRun<'a> {
    /// Starts all processes. The first configuration document of each scope is published before the balancers start.
    fn start(scenario: Scenario, seed: u64, size: &'a Size, plan: &'a Plan) -> Result<Self, CapacityError> {
        let placements = fleet(plan, size.balancers);
        let control_plane = ControlPlane::start(control_plane::control_processes(plan))?;
        let newest = publish_first(control_plane.address(0), plan, &services(&placements))?;
        let list = start_list(size, plan)?;
        let balancers =
            hollow_balancers(plan, &placements, seed, &|region, zone| control_plane.parents_of(region, zone));
        let job = Job {
            list: Some(list.address),
            zones: zone_names(plan),
            apart_ms: if size.per_process > PER_PROCESS_SMALL { START_INTERVAL_MS } else { 0 },
            balancers: Vec::new(),
        };
        let hollow_processes = HollowProcesses::start(&balancers, size.per_process, &job)?;
        let memory_bound_kb = (machine::memory_kb().unwrap_or(u64::MAX) as f64 * MAX_MEMORY_FRACTION) as u64;
        let label = format!("sockets {} {seed}", scenario.name());
        Ok(Self {
            scenario,
            seed,
            size,
            plan,
            placements,
            control_plane,
            hollow_processes,
            list,
            newest,
            memory_bound_kb,
            label,
        })
    }

    /// Waits until all balancers have received their endpoint list and have their configuration documents in force.
    fn wait_until_ready(&mut self) -> Result<(), CapacityError> {
        let newest = &self.newest;
        let is_ready = |hollow_processes: &HollowProcesses| {
            hollow_processes.all_listed() && hollow_processes.missing(newest) == 0
        };
        if self.hollow_processes.receive_until(TIMEOUT, is_ready)? {
            return Ok(());
        }
        let missing = self.hollow_processes.missing(newest);
        let cause = format!("timed out at the start: {missing} balancers lack the current configuration");
        Err(CapacityError::run(self.label.clone(), cause))
    }

    /// Measures the resource totals of all processes at the start and the end of a span without configuration changes.
    fn idle(&mut self) -> Result<(Totals, Totals), CapacityError> {
        // The lists and documents of the start have been processed after this pause.
        self.hollow_processes.receive_for(self.size.idle / 2)?;
        let from = self.totals()?;
        self.hollow_processes.receive_for(self.size.idle)?;
        Ok((from, self.totals()?))
    }

    /// Waits until all balancers have the last configuration change of each scope in force; returns the number of
    /// balancers that do not.
    fn wait_for_last_changes(&mut self, record: &RunRecord) -> Result<usize, CapacityError> {
        for change in &record.changes {
            self.newest.insert(change.scope.clone(), change.version);
        }
        let newest = &self.newest;
        self.hollow_processes
            .receive_until(TIMEOUT, |hollow_processes| hollow_processes.missing(newest) == 0)?;
        Ok(self.hollow_processes.missing(newest))
    }

    /// Closes all watches of the endpoint list, which then reconnect; returns how many do not continue from the current
    /// index of the list.
    fn reconnect_list_watches(&mut self) -> Result<usize, CapacityError> {
        let (list, balancers) = (&self.list, self.size.balancers);
        let (requests_before, index) = (list.asked().len(), list.index());
        list.close_all();
        let reconnected = || list.asked().len().saturating_sub(requests_before);
        self.hollow_processes.receive_until(TIMEOUT, |_| reconnected() >= balancers)?;
        let asked = list.asked();
        Ok(balancers.abs_diff(asked[requests_before..].iter().filter(|&&since| since == index).count()))
    }

    fn change_times(&self, record: &RunRecord, target: &FaultTarget) -> Result<ChangeTimes, CapacityError> {
        let mut times = ChangeTimes {
            from_acknowledgement: DelayHistogram::new()?,
            from_sending: DelayHistogram::new()?,
        };
        for change in &record.changes {
            for Arrival { balancer, at_ns } in self.hollow_processes.times(change) {
                let Some(at_ns) = at_ns else { continue };
                let zone = self.placements[balancer].zone;
                let is_partitioned = control_plane::region_of(self.plan, zone) == target.partitioned_region;
                // A change published during the partition can reach these balancers only after its end, so the delay
                // counts from there.
                let partition = record
                    .partition
                    .filter(|partition| is_partitioned && partition.contains(change.acknowledged_ns));
                let earliest_ns = partition.map_or(0, |Partition { end_ns, .. }| end_ns);
                times.from_acknowledgement.add(at_ns.saturating_sub(change.acknowledged_ns.max(earliest_ns)));
                times.from_sending.add(at_ns.saturating_sub(change.sent_ns.max(earliest_ns)));
            }
        }
        Ok(times)
    }

    /// Measures the resources that all processes have used so far.
    ///
    /// # Errors
    /// The processes use more memory than the limit allows.
    fn totals(&mut self) -> Result<Totals, CapacityError> {
        let carried = self.hollow_processes.carried()?;
        let process_count = self.control_plane.machines().count();
        let control = (0..process_count)
            .map(|process_index| {
                let used = self.control_plane.usage(process_index);
                let below =
                    carried.by_parent.get(&self.control_plane.address(process_index)).copied().unwrap_or(0);
                ControlUsage { process: used, bytes: self.control_plane.bytes(process_index) + below }
            })
            .collect();
        let list = self.list.carried();
        let totals = Totals {
            at: Instant::now(),
            balancers: self.hollow_processes.usage(),
            configuration_bytes: carried.bytes,
            list_bytes: list.read + list.written,
            most_in_window: carried.most_in_window,
            control,
        };
        self.check_memory(&totals)?;
        Ok(totals)
    }

    fn check_memory(&self, totals: &Totals) -> Result<(), CapacityError> {
        let own = machine::usage(std::process::id()).unwrap_or_default().resident_kb;
        let control: u64 = totals.control.iter().map(|one| one.process.resident_kb).sum();
        let used = own + totals.balancers.resident_kb + control;
        if used <= self.memory_bound_kb {
            return Ok(());
        }
        Err(CapacityError::Memory {
            place: self.label.clone(),
            used_mb: used / 1024,
            bound_mb: self.memory_bound_kb / 1024,
        })
    }

    /// Kills the control processes that match.
    fn kill(&mut self, matches: impl Fn(&ControlProcess) -> bool) {
        let machines = self.control_plane.machines().enumerate();
        let process_indices: Vec<usize> = machines
            .filter_map(|(process_index, machine)| matches(machine).then_some(process_index))
            .collect();
        for process_index in process_indices {
            self.control_plane.kill(process_index);
        }
    }
}

/// Lists the services that have balancers in the run.
fn services(placements: &[Placement]) -> Vec<usize> {
    let mut services: Vec<usize> = placements.iter().map(|placement| placement.service).collect();
    services.dedup();
    services
}

/// Publishes the first configuration document of each scope; returns the versions of the documents.
fn publish_first(
    origin: SocketAddr,
    plan: &Plan,
    services: &[usize],
) -> Result<HashMap<Scope, u64>, CapacityError> {
    let configuration = &plan.configuration;
    let region = |region| (Scope::Region(region_name(region).into()), configuration.region_bytes.value);
    let service =
        |&service: &usize| (Scope::Service(service_name(service).into()), configuration.service_bytes.value);
    let mut documents = vec![(Scope::Fleet, configuration.fleet_bytes.value)];
    documents.extend((0..plan.fleet.regions.value).map(region));
    documents.extend(services.iter().map(service));
    let mut newest = HashMap::new();
    for (number, (scope, bytes)) in documents.into_iter().enumerate() {
        let change = control_plane::publish(
            origin,
            &scope,
            &control_plane::body(bytes, 0),
            &format!("first-{number}"),
        )?;
        newest.insert(scope, change.version);
    }
    Ok(newest)
}

fn start_list(size: &Size, plan: &Plan) -> Result<ListServer, CapacityError> {
    ListServer::start(
        size.list,
        plan.list.entry_bytes.value,
        plan.fleet.zones.value,
        Duration::from_secs_f64(plan.list.beat_s.value),
    )
}
