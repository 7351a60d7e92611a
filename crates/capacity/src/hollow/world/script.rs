//! The steps of a scenario: planned replacements, failures of machines and zones, and network partitions between
//! regions.

use std::mem;

use balancer_policy::interface::Lifecycle;

use super::event::Due;
use super::lists::{LIST_DELAY_MIN_S, LIST_DELAY_SPREAD_S};
use super::state::State;
use super::{World, ns};
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
    Fail(usize),
    /// Failure of a whole zone, with its upstreams and fronts; its clients call the fronts of the next zone.
    LoseZone(usize),
    /// Return of a failed zone, with cold processes.
    ReturnZone(usize),
    /// Network partition that separates a region from the other regions and from service discovery.
    Cut(usize),
    /// End of the network partition of a region.
    Heal(usize),
}

impl World<'_> {
    /// Applies the step `number` of the script.
    pub(super) fn step(&mut self, number: usize) -> Result<(), CapacityError> {
        match self.play.script[number].step {
            Step::Replace(slot) => self.replace(slot),
            Step::Fail(slot) => {
                self.lose(slot);
                self.due.push(self.now + ns(REPAIR_S), Due::Start(slot as u32));
            }
            Step::LoseZone(zone) => self.lose_zone(zone),
            Step::ReturnZone(zone) => self.return_zone(zone)?,
            Step::Cut(region) => self.cut = Some(region),
            Step::Heal(region) => self.heal(region),
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
        self.spread(self.slots[slot].service, vec![self.member(process as u32)]);
        self.due.push(self.now + ns(DRAIN_S), Due::Stop(process as u32));
        self.due.push(self.now + ns(DRAIN_S) + 1, Due::Start(slot as u32));
    }

    fn slots_in(&self, zone: usize) -> Vec<usize> {
        (0..self.slots.len()).filter(|&slot| self.slots[slot].zone == zone).collect()
    }

    fn lose_zone(&mut self, zone: usize) {
        self.zone_lost = Some(zone);
        for slot in self.slots_in(zone) {
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

    fn return_zone(&mut self, zone: usize) -> Result<(), CapacityError> {
        self.zone_lost = None;
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

    fn heal(&mut self, region: usize) {
        self.cut = None;
        // The balancers of the region that missed list updates reopen their watches and ask for a full snapshot.
        for core in 0..self.cores.len() {
            if self.topology.region_of[self.cores[core].zone] == region
                && mem::take(&mut self.cores[core].missed)
            {
                let at = self.now + ns(LIST_DELAY_MIN_S + LIST_DELAY_SPREAD_S * self.rng.rand_float());
                self.cores[core].listed_at = at;
                self.due.push(at, Due::Whole(core as u32));
            }
        }
    }
}
