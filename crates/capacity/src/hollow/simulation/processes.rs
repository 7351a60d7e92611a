//! The lifecycle of processes and the balancers within them: start, machine failure, end, and replacement in the same
//! slot.

use std::collections::VecDeque;
use std::mem;

use balancer_policy::interface::{Lifecycle, ListUpdate, Outcome};
use balancer_policy::{Balancer, Event};
use rustc_hash::{FxHashMap, FxHashSet};

use super::event::ScheduledEvent;
use super::state::{Core, Process, Slot, State};
use super::{FleetSimulation, ns};
use crate::CapacityError;

/// Virtual seconds from a machine's failure until service discovery removes its process from the list.
const FAILURE_DETECTION_S: f64 = 1.5;

impl FleetSimulation<'_> {
    /// Adds a process in a slot and to the list of its service, without its balancers. `started` is the time of a cold
    /// start in ns, `None` for a process at full capacity.
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
            arrivals: VecDeque::new(),
        });
        self.report.cold_starts += u64::from(started.is_some());
        self.slots[slot].process = Some(process);
        self.listed[self.slots[slot].service].push(process as u32);
        process
    }

    /// Adds the balancers of a process, each with the current endpoint list of the service that it calls.
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

    /// Starts a front: adds one balancer for each service that clients call directly.
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

    /// Adds a decision core that calls `service` from `zone` with the replica index `index`, and passes it its first
    /// endpoint list.
    pub(super) fn add_core(
        &mut self,
        front: bool,
        service: usize,
        zone: usize,
        index: u32,
    ) -> Result<u32, CapacityError> {
        let settings = self.settings(service, zone, index);
        let settings_error =
            |cause| CapacityError::run(format!("hollow fleet, a balancer for service {service}"), cause);
        let balancer = Balancer::new(settings, self.rng.rand_u64()).map_err(settings_error)?;
        let core = self.cores.len() as u32;
        let members = self.members(service);
        self.cores.push(Core {
            balancer: Some(balancer),
            front,
            zone,
            service,
            connected: FxHashSet::default(),
            notified: FxHashMap::default(),
            list_arrives_at: self.now,
            missed_updates: false,
            initial_ready: members.iter().filter(|member| member.lifecycle == Lifecycle::Ready).count(),
        });
        self.watchers[service].push(core);
        self.drive(core, Event::Started);
        self.deliver_list(core, ListUpdate::Snapshot(members));
        Ok(core)
    }

    /// Fails the machine of a slot; service discovery removes the process from its list after [`FAILURE_DETECTION_S`].
    pub(super) fn fail_slot(&mut self, slot: usize) {
        if let Some(process) = self.slots[slot].process.take()
            && self.processes[process].state == State::Up
        {
            self.stop(process, State::Lost);
            self.scheduled.push(self.now + ns(FAILURE_DETECTION_S), ScheduledEvent::Unlist(process as u32));
        }
    }

    /// Ends a running process with its balancers and drops its work items. `state` is its state afterwards: an ended
    /// process resets its connections and leaves the list at once, a lost one does neither.
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
        // Work items are handled in the order of their slab entries.
        let in_flight: Vec<u64> = (0..)
            .zip(&self.work_items.entries)
            .filter(|(_, entry)| entry.occupied && entry.value.process as usize == number)
            .map(|(place, entry)| u64::from(entry.generation) << 32 | place)
            .collect();
        for id in in_flight {
            let Some(work) = self.work_items.get(id) else { continue };
            let (hop, attempt) = (work.hop, work.attempt);
            self.work_items.remove(id);
            if state == State::Ended {
                self.reply(zone, hop, attempt, Outcome::Reset);
            }
        }
        if state == State::Ended {
            self.unlist(number);
        }
    }

    /// Starts a new, cold process in a slot, unless the slot is occupied or its zone has failed.
    pub(super) fn start(&mut self, slot: usize) -> Result<(), CapacityError> {
        if self.slots[slot].process.is_some() || self.failed_zone == Some(self.slots[slot].zone) {
            return Ok(());
        }
        let process = self.add_process(slot, Some(self.now));
        self.publish_list_change(self.slots[slot].service, vec![self.member(process as u32)]);
        self.add_cores(process)
    }
}
