//! The configuration changes of a run and the fault that is injected among them.

use std::sync::mpsc::{Receiver, TryRecvError};
use std::time::{Duration, Instant};

use oorandom::Rand64;

use super::{Play, return_window, schedule, services};
use crate::CapacityError;
use crate::plan::Plan;
use crate::sockets::cost::Mark;
use crate::sockets::plane::{Change, Role};
use crate::sockets::schedule::publish_all;
use crate::sockets::{Scenario, machine};

/// Time of the fault, as a fraction of the time over which the changes are published.
const FAULT_PART: f64 = 0.25;
/// Time at which a partition ends, as a fraction of the time over which the changes are published.
const CUT_END_PART: f64 = 0.65;
/// Interval between two changes of the endpoint list.
const LIST_CHANGE_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between two checks for due actions.
const STEP: Duration = Duration::from_millis(10);

/// The randomly chosen target of a run's fault.
pub(super) struct Target {
    zone: usize,
    region: usize,
    /// Region that is partitioned from the others; not the origin's region.
    pub(super) far_region: usize,
}

impl Target {
    pub(super) fn draw(plan: &Plan, seed: u64) -> Self {
        let regions = plan.fleet.regions.value;
        let mut draws = Rand64::new(u128::from(seed) << 8 | 1);
        Self {
            zone: draws.rand_range(0..plan.fleet.zones.value as u64) as usize,
            region: draws.rand_range(0..regions as u64) as usize,
            far_region: (1 + draws.rand_range(0..regions.max(2) as u64 - 1) as usize) % regions,
        }
    }
}

/// Span of a network partition, in nanoseconds on the clock of [`machine::now_ns`].
#[derive(Clone, Copy)]
pub(super) struct Cut {
    begin_ns: u64,
    pub(super) end_ns: u64,
}

impl Cut {
    pub(super) fn contains(&self, at_ns: u64) -> bool {
        (self.begin_ns..self.end_ns).contains(&at_ns)
    }
}

/// The published changes, and the spans of the partition and of the recovery.
pub(super) struct Played {
    pub(super) changes: Vec<Change>,
    pub(super) cut: Option<Cut>,
    pub(super) return_from: Mark,
    pub(super) return_to: Mark,
}

/// State of the publication of a run's changes and of its fault.
pub(super) struct ChangesAndFault<'p, 'a> {
    play: &'p mut Play<'a>,
    target: &'p Target,
    published: Receiver<Result<Change, CapacityError>>,
    /// Number of changes that are published in total.
    change_count: usize,
    changes: Vec<Change>,
    start: Instant,
    /// Time of the next change of the endpoint list, from the start.
    next_list_change: Duration,
    /// Time at which the fault began, in nanoseconds on the clock of [`machine::now_ns`]; `None` before the fault.
    fault_begin_ns: Option<u64>,
    cut: Option<Cut>,
    return_from: Option<Mark>,
    return_to: Option<Mark>,
}

impl<'p, 'a> ChangesAndFault<'p, 'a> {
    /// Starts publishing the changes.
    pub(super) fn start(play: &'p mut Play<'a>, target: &'p Target) -> Self {
        let planned = schedule(play.plan, play.seed, play.size, &services(&play.placements));
        let change_count = planned.len();
        let published = publish_all(play.plane.address(0), planned);
        Self {
            play,
            target,
            published,
            change_count,
            changes: Vec::new(),
            start: Instant::now(),
            next_list_change: Duration::ZERO,
            fault_begin_ns: None,
            cut: None,
            return_from: None,
            return_to: None,
        }
    }

    /// Runs until all changes are published and the recovery window is over.
    pub(super) fn run(mut self) -> Result<Played, CapacityError> {
        while self.changes.len() < self.change_count || self.return_to.is_none() {
            self.receive_published()?;
            self.do_what_is_due(self.start.elapsed())?;
            self.play.swarm.receive_for(STEP)?;
        }
        let missing =
            || CapacityError::run(&self.play.place, "the run ended before its recovery window was measured");
        Ok(Played {
            changes: self.changes,
            cut: self.cut,
            return_from: self.return_from.ok_or_else(missing)?,
            return_to: self.return_to.ok_or_else(missing)?,
        })
    }

    fn receive_published(&mut self) -> Result<(), CapacityError> {
        loop {
            match self.published.try_recv() {
                Ok(change) => self.changes.push(change?),
                Err(TryRecvError::Empty) => return Ok(()),
                Err(TryRecvError::Disconnected) if self.changes.len() < self.change_count => {
                    return Err(CapacityError::run(
                        &self.play.place,
                        "the publisher ended before all changes were published",
                    ));
                }
                Err(TryRecvError::Disconnected) => return Ok(()),
            }
        }
    }

    fn do_what_is_due(&mut self, now: Duration) -> Result<(), CapacityError> {
        if now >= self.next_list_change {
            self.play.list.change(1);
            self.next_list_change += LIST_CHANGE_INTERVAL;
        }
        if now >= self.after(FAULT_PART) && self.fault_begin_ns.is_none() {
            self.begin_fault()?;
        }
        if self.is_cut() && now >= self.return_begin() && self.cut.is_none() {
            self.end_cut()?;
        }
        if self.return_to.is_none() && now >= self.return_begin() + return_window(self.play.size.seconds) {
            self.return_to = Some(self.play.mark()?);
        }
        Ok(())
    }

    /// Returns the time from the start to this fraction of the time over which the changes are published.
    fn after(&self, part: f64) -> Duration {
        Duration::from_secs_f64(self.play.size.seconds * part)
    }

    fn is_cut(&self) -> bool {
        self.play.scenario == Scenario::Cut
    }

    /// Returns the time from the start to the start of the recovery: the fault, or the end of a partition.
    fn return_begin(&self) -> Duration {
        self.after(if self.is_cut() { CUT_END_PART } else { FAULT_PART })
    }

    fn begin_fault(&mut self) -> Result<(), CapacityError> {
        self.fault_begin_ns = Some(machine::now_ns());
        if !self.is_cut() {
            self.return_from = Some(self.play.mark()?);
        }
        let target = self.target;
        match self.play.scenario {
            Scenario::None => {}
            Scenario::Relay => self.kill_first_relay(target.zone),
            Scenario::RegionRelay => {
                self.play.kill(|machine| machine.role == Role::Region && machine.region == target.region)
            }
            Scenario::Zone => self.play.kill(|machine| machine.zone == Some(target.zone)),
            Scenario::Cut => self.play.plane.cut(Some(target.far_region)),
            Scenario::Reconnect => self.restart_control()?,
        }
        Ok(())
    }

    fn kill_first_relay(&mut self, zone: usize) {
        let first = self.play.plane.machines().position(|machine| machine.zone == Some(zone));
        if let Some(place) = first {
            self.play.plane.kill(place);
        }
    }

    /// Kills and restarts all control processes, and closes all watches of the endpoint list.
    fn restart_control(&mut self) -> Result<(), CapacityError> {
        self.play.kill(|_| true);
        self.play.list.close_all();
        for place in 0..self.play.plane.machines().count() {
            self.play.plane.launch(place)?;
        }
        Ok(())
    }

    fn end_cut(&mut self) -> Result<(), CapacityError> {
        self.return_from = Some(self.play.mark()?);
        let begin_ns = self.fault_begin_ns.unwrap_or(0);
        self.cut = Some(Cut { begin_ns, end_ns: machine::now_ns() });
        self.play.plane.cut(None);
        Ok(())
    }
}
