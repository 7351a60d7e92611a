//! The configuration changes of a run and the fault that is injected among them.

use std::sync::mpsc::{Receiver, TryRecvError};
use std::time::{Duration, Instant};

use oorandom::Rand64;

use super::{ScenarioRun, recovery_window, schedule, services};
use crate::CapacityError;
use crate::plan::Plan;
use crate::sockets::control_plane::{Change, Role};
use crate::sockets::cost::Totals;
use crate::sockets::schedule::publish_all;
use crate::sockets::{Scenario, machine};

/// Time from the start of the publications until the fault, as a fraction of the time over which the configuration
/// changes are published.
const FAULT_TIME_FRACTION: f64 = 0.25;
/// Time from the start of the publications until a partition ends, as a fraction of the time over which the
/// configuration changes are published.
const PARTITION_END_FRACTION: f64 = 0.65;
/// Interval between two changes of the endpoint list.
const LIST_CHANGE_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between two checks whether a list change, the fault or the end of a measurement is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The randomly chosen target of a run's fault.
pub(super) struct FaultTarget {
    /// Zone that loses one relay or all its relays, by the scenario.
    zone: usize,
    /// Region whose region relays are killed in that scenario.
    region: usize,
    /// Region that is partitioned from the others; not the origin's region.
    pub(super) partitioned_region: usize,
}

impl FaultTarget {
    pub(super) fn draw(plan: &Plan, seed: u64) -> Self {
        let regions = plan.fleet.regions.value;
        let mut rng = Rand64::new(u128::from(seed) << 8 | 1);
        Self {
            zone: rng.rand_range(0..plan.fleet.zones.value as u64) as usize,
            region: rng.rand_range(0..regions as u64) as usize,
            partitioned_region: (1 + rng.rand_range(0..regions.max(2) as u64 - 1) as usize) % regions,
        }
    }
}

/// Span of a network partition, in nanoseconds on the clock of [`machine::now_ns`].
#[derive(Clone, Copy)]
pub(super) struct Partition {
    begin_ns: u64,
    pub(super) end_ns: u64,
}

impl Partition {
    pub(super) fn contains(&self, at_ns: u64) -> bool {
        (self.begin_ns..self.end_ns).contains(&at_ns)
    }
}

/// The published configuration changes of a run, the span of its partition, and the resource totals at the start and
/// the end of its recovery window.
pub(super) struct RunRecord {
    pub(super) changes: Vec<Change>,
    pub(super) partition: Option<Partition>,
    pub(super) recovery_start: Totals,
    pub(super) recovery_end: Totals,
}

/// State of the publication of a run's configuration changes, and of the fault that is injected among them.
pub(super) struct ChangesAndFault<'p, 'a> {
    scenario_run: &'p mut ScenarioRun<'a>,
    target: &'p FaultTarget,
    published: Receiver<Result<Change, CapacityError>>,
    /// Number of configuration changes that the run publishes in total.
    change_count: usize,
    changes: Vec<Change>,
    start: Instant,
    /// Time of the next change of the endpoint list, from the start of the publications.
    next_list_change: Duration,
    /// Time at which the fault began, in nanoseconds on the clock of [`machine::now_ns`]; `None` before the fault.
    fault_begin_ns: Option<u64>,
    partition: Option<Partition>,
    recovery_start: Option<Totals>,
    recovery_end: Option<Totals>,
}

impl<'p, 'a> ChangesAndFault<'p, 'a> {
    /// Starts publishing the configuration changes of the run.
    pub(super) fn start(scenario_run: &'p mut ScenarioRun<'a>, target: &'p FaultTarget) -> Self {
        let planned = schedule(
            scenario_run.plan,
            scenario_run.seed,
            scenario_run.size,
            &services(&scenario_run.placements),
        );
        let change_count = planned.len();
        let published = publish_all(scenario_run.control_plane.address(0), planned);
        Self {
            scenario_run,
            target,
            published,
            change_count,
            changes: Vec::new(),
            start: Instant::now(),
            next_list_change: Duration::ZERO,
            fault_begin_ns: None,
            partition: None,
            recovery_start: None,
            recovery_end: None,
        }
    }

    /// Runs until all configuration changes are published and the recovery window is over.
    pub(super) fn run(mut self) -> Result<RunRecord, CapacityError> {
        while self.changes.len() < self.change_count || self.recovery_end.is_none() {
            self.receive_published()?;
            self.run_due_actions(self.start.elapsed())?;
            self.scenario_run.hollow_processes.receive_for(CHECK_INTERVAL)?;
        }
        let not_measured = || {
            CapacityError::run(
                &self.scenario_run.label,
                "the run ended before its recovery window was measured",
            )
        };
        Ok(RunRecord {
            changes: self.changes,
            partition: self.partition,
            recovery_start: self.recovery_start.ok_or_else(not_measured)?,
            recovery_end: self.recovery_end.ok_or_else(not_measured)?,
        })
    }

    fn receive_published(&mut self) -> Result<(), CapacityError> {
        loop {
            match self.published.try_recv() {
                Ok(change) => self.changes.push(change?),
                Err(TryRecvError::Empty) => return Ok(()),
                Err(TryRecvError::Disconnected) if self.changes.len() < self.change_count => {
                    return Err(CapacityError::run(
                        &self.scenario_run.label,
                        "the publisher ended before all changes were published",
                    ));
                }
                Err(TryRecvError::Disconnected) => return Ok(()),
            }
        }
    }

    fn run_due_actions(&mut self, now: Duration) -> Result<(), CapacityError> {
        if now >= self.next_list_change {
            self.scenario_run.list.change(1);
            self.next_list_change += LIST_CHANGE_INTERVAL;
        }
        if now >= self.time_at(FAULT_TIME_FRACTION) && self.fault_begin_ns.is_none() {
            self.begin_fault()?;
        }
        if self.is_partition() && now >= self.recovery_begin() && self.partition.is_none() {
            self.end_partition()?;
        }
        if self.recovery_end.is_none()
            && now >= self.recovery_begin() + recovery_window(self.scenario_run.size.seconds)
        {
            self.recovery_end = Some(self.scenario_run.totals()?);
        }
        Ok(())
    }

    /// Returns the time from the start of the publications to this fraction of the time over which the configuration
    /// changes are published.
    fn time_at(&self, fraction: f64) -> Duration {
        Duration::from_secs_f64(self.scenario_run.size.seconds * fraction)
    }

    fn is_partition(&self) -> bool {
        self.scenario_run.scenario == Scenario::Partition
    }

    /// Returns the time from the start of the publications to the start of the recovery: the fault, or the end of a
    /// partition.
    fn recovery_begin(&self) -> Duration {
        self.time_at(if self.is_partition() { PARTITION_END_FRACTION } else { FAULT_TIME_FRACTION })
    }

    fn begin_fault(&mut self) -> Result<(), CapacityError> {
        self.fault_begin_ns = Some(machine::now_ns());
        if !self.is_partition() {
            self.recovery_start = Some(self.scenario_run.totals()?);
        }
        let target = self.target;
        match self.scenario_run.scenario {
            Scenario::None => {}
            Scenario::Relay => self.kill_first_relay(target.zone),
            Scenario::RegionRelay => self
                .scenario_run
                .kill(|machine| machine.role == Role::Region && machine.region == target.region),
            Scenario::Zone => self.scenario_run.kill(|machine| machine.zone == Some(target.zone)),
            Scenario::Partition => self.scenario_run.control_plane.partition(Some(target.partitioned_region)),
            Scenario::Reconnect => self.restart_control()?,
        }
        Ok(())
    }

    fn kill_first_relay(&mut self, zone: usize) {
        let first = self.scenario_run.control_plane.machines().position(|machine| machine.zone == Some(zone));
        if let Some(process_index) = first {
            self.scenario_run.control_plane.kill(process_index);
        }
    }

    /// Kills and restarts all control processes, and closes all watches of the endpoint list.
    fn restart_control(&mut self) -> Result<(), CapacityError> {
        self.scenario_run.kill(|_| true);
        self.scenario_run.list.close_all();
        for process_index in 0..self.scenario_run.control_plane.machines().count() {
            self.scenario_run.control_plane.launch(process_index)?;
        }
        Ok(())
    }

    fn end_partition(&mut self) -> Result<(), CapacityError> {
        self.recovery_start = Some(self.scenario_run.totals()?);
        let begin_ns = self.fault_begin_ns.unwrap_or(0);
        self.partition = Some(Partition { begin_ns, end_ns: machine::now_ns() });
        self.scenario_run.control_plane.partition(None);
        Ok(())
    }
}
