//! The steps of a scenario: planned replacements, failures of machines and zones, and cuts between regions.

use std::mem;

use balancer_policy::interface::Lifecycle;

use super::event::Due;
use super::lists::{LIST_DELAY_MIN_S, LIST_DELAY_SPREAD_S};
use super::state::State;
use super::{World, ns};
use crate::CapacityError;

/// From a machine's failure to its next start.
const REPAIR_S: f64 = 6.0;
/// From a planned stop to the end of the process, and then the next one starts.
pub const DRAIN_S: f64 = 2.0;

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

impl World<'_> {
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

    /// Drains the process of a slot for a planned stop, unless it is about to end already.
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
        // Its watches open anew and ask for whole lists.
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
