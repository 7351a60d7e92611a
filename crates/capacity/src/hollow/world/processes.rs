//! The life of processes and of the balancers within them: start, loss, end and the replacement in the same slot.

use std::collections::VecDeque;
use std::mem;

use balancer_policy::interface::{Lifecycle, ListUpdate, Outcome};
use balancer_policy::{Balancer, Event};
use rustc_hash::{FxHashMap, FxHashSet};

use super::event::Due;
use super::state::{Core, Process, Slot, State};
use super::{World, ns};
use crate::CapacityError;

/// Until the platform takes a silent machine out of the lists.
const DETECT_S: f64 = 1.5;

impl World<'_> {
    /// A process in a slot, without its balancers.
    pub(super) fn add_process(&mut self, slot: usize, started: Option<u64>) -> usize {
        let process = self.processes.len();
        self.processes.push(Process {
            slot,
            state: State::Up,
            lifecycle: Lifecycle::Ready,
            started,
            busy: 0,
            queue: VecDeque::new(),
            in_flight: 0,
            cores: Vec::new(),
            window: VecDeque::new(),
        });
        self.report.cold_starts += u64::from(started.is_some());
        self.slots[slot].process = Some(process);
        self.listed[self.slots[slot].service].push(process as u32);
        process
    }

    /// The balancers of a process, each with the list as it is.
    pub(super) fn add_cores(&mut self, process: usize) -> Result<(), CapacityError> {
        let topology = self.topology;
        let slot = self.processes[process].slot;
        let Slot { service, zone, .. } = self.slots[slot];
        for (number, called) in topology.services[service].calls.iter().enumerate() {
            let index = self.slots[slot].index[number];
            let core = self.add_core(false, called.service, zone, index)?;
            self.processes[process].cores.push(core);
        }
        Ok(())
    }

    pub(super) fn add_front(&mut self, front: usize) -> Result<(), CapacityError> {
        let topology = self.topology;
        self.fronts[front].clear();
        self.front_up[front] = true;
        for entry in &topology.entries {
            let core = self.add_core(true, entry.service, topology.fronts[front], front as u32)?;
            self.fronts[front].push(core);
        }
        Ok(())
    }

    pub(super) fn add_core(
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
            notified: FxHashMap::default(),
            listed_at: self.now,
            missed: false,
            first: members.iter().filter(|member| member.lifecycle == Lifecycle::Ready).count(),
        });
        self.watchers[service].push(core);
        self.drive(core, Event::Started);
        self.tell(core, ListUpdate::Snapshot(members));
        Ok(core)
    }

    pub(super) fn lose(&mut self, slot: usize) {
        if let Some(process) = self.slots[slot].process.take()
            && self.processes[process].state == State::Up
        {
            self.stop(process, State::Lost);
            self.due.push(self.now + ns(DETECT_S), Due::Unlist(process as u32));
        }
    }

    /// A process ends: what it held is lost, and its balancers with it.
    pub(super) fn stop(&mut self, number: usize, state: State) {
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
            (core.connected, core.notified) = Default::default();
        }
        if self.slots[slot].process == Some(number) {
            self.slots[slot].process = None;
        }
        let zone = self.slots[slot].zone;
        // In the order of their numbers.
        let in_flight: Vec<u64> = (0..)
            .zip(&self.works.entries)
            .filter(|(_, entry)| entry.occupied && entry.value.process as usize == number)
            .map(|(place, entry)| u64::from(entry.generation) << 32 | place)
            .collect();
        for id in in_flight {
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

    pub(super) fn start(&mut self, slot: usize) -> Result<(), CapacityError> {
        if self.slots[slot].process.is_some() || self.zone_lost == Some(self.slots[slot].zone) {
            return Ok(());
        }
        let process = self.add_process(slot, Some(self.now));
        self.spread(self.slots[slot].service, vec![self.member(process as u32)]);
        self.add_cores(process)
    }
}
