//! The steps of a scenario: planned replacements, failures of machines and zones, and network partitions between
//! regions.

use std::mem;

use balancer_policy::interface::Lifecycle;

use super::event::ScheduledEvent;
use super::lists::{LIST_DELAY_MIN_S, LIST_DELAY_SPREAD_S};
use super::state::State;
use super::{FleetSimulation, ns};
use crate::CapacityError;

/// Virtual seconds from a machine's failure until a new process starts in its slot.
const REPAIR_S: f64 = 6.0;
/// Virtual seconds that a process drains in a planned replacement; then it ends and the next process starts.
pub const DRAIN_S: f64 = 2.0;

/// A change that a scenario makes to the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Planned replacement of the process in a slot: it drains, ends, and a new process starts.
    Replace(usize),
    /// Failure of the machine of a slot; a new process starts there after the repair time.
    FailMachine(usize),
    /// Failure of a whole zone, with its upstreams and fronts; its clients call the fronts of the next zone.
    FailZone(usize),
    /// Return of a failed zone, with cold processes.
    RestoreZone(usize),
    /// Network partition that separates a region from the other regions and from service discovery.
    PartitionRegion(usize),
    /// End of the network partition of a region.
    HealRegion(usize),
}

impl FleetSimulation<'_> {
    /// Applies the scenario step with the index `number`.
    pub(super) fn step(&mut self, number: usize) -> Result<(), CapacityError> {
        match self.parameters.script[number].step {
            Step::Replace(slot) => self.replace(slot),
            Step::FailMachine(slot) => {
                self.fail_slot(slot);
                self.scheduled.push(self.now + ns(REPAIR_S), ScheduledEvent::Start(slot as u32));
            }
            Step::FailZone(zone) => self.fail_zone(zone),
            Step::RestoreZone(zone) => self.restore_zone(zone)?,
            Step::PartitionRegion(region) => self.partition = Some(region),
            Step::HealRegion(region) => self.heal_region(region),
        }
        Ok(())
    }

    /// Drains the process of a slot and schedules its replacement, unless the process is already draining or down.
    fn replace(&mut self, slot: usize) {
        let Some(process) = self.slots[slot].process else { return };
        if self.processes[process].lifecycle != Lifecycle::Ready || self.processes[process].state != State::Up
        {
            return;
        }
        self.processes[process].lifecycle = Lifecycle::Draining;
        self.publish_list_change(self.slots[slot].service, vec![self.member(process as u32)]);
        self.scheduled.push(self.now + ns(DRAIN_S), ScheduledEvent::Stop(process as u32));
        self.scheduled.push(self.now + ns(DRAIN_S) + 1, ScheduledEvent::Start(slot as u32));
    }

    fn slots_in(&self, zone: usize) -> Vec<usize> {
        (0..self.slots.len()).filter(|&slot| self.slots[slot].zone == zone).collect()
    }

    fn fail_zone(&mut self, zone: usize) {
        self.failed_zone = Some(zone);
        for slot in self.slots_in(zone) {
            self.fail_slot(slot);
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

    fn restore_zone(&mut self, zone: usize) -> Result<(), CapacityError> {
        self.failed_zone = None;
        for slot in self.slots_in(zone) {
            self.start(slot)?;
        }
        for front in 0..self.fronts.len() {
            if self.topology.fronts[front] == zone {
                self.add_front(front)?;
            }
        }
        Ok(())
    }

    fn heal_region(&mut self, region: usize) {
        self.partition = None;
        // The balancers of the region that missed list updates reopen their watches and ask for a full snapshot.
        for core in 0..self.cores.len() {
            if self.topology.region_of[self.cores[core].zone] == region
                && mem::take(&mut self.cores[core].missed_updates)
            {
                let at = self.now + ns(LIST_DELAY_MIN_S + LIST_DELAY_SPREAD_S * self.rng.rand_float());
                self.cores[core].list_arrives_at = at;
                self.scheduled.push(at, ScheduledEvent::FullList(core as u32));
            }
        }
    }
}
