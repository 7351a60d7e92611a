//! The model of an upstream's server: CPU cores, a queue, reduced capacity while warming up, and the crash of a process
//! that is overloaded while it is warming up.

use balancer_policy::interface::Outcome;

use super::event::ScheduledEvent;
use super::state::{CallSource, Process, Slot, State, WorkItem};
use super::{FaultyService, FleetSimulation, ServiceFault, ns, seconds};
use crate::hollow::topology::place;

/// Fraction of its full capacity, 0 to 1, with which a cold upstream process starts.
pub(super) const SLOW_START_MIN_FRACTION: f64 = 0.3;
/// Virtual seconds from its start until a process has its full capacity.
pub(super) const SLOW_START_WINDOW_S: f64 = 8.0;
/// A process that is warming up crashes when it receives more than this multiple of its capacity within
/// [`OVERLOAD_WINDOW_S`].
pub(super) const OVERLOAD_MULTIPLE: f64 = 2.8;
/// Length of the window in which the overload of a process that is warming up is measured, in virtual seconds.
pub(super) const OVERLOAD_WINDOW_S: f64 = 1.6;
/// Virtual seconds from the crash of an overloaded process until a new one starts in its slot.
const CRASH_RESTART_S: f64 = 2.0;
/// Maximum queue length of an upstream for each of its CPU cores; further requests are refused without being processed.
const QUEUE_PER_CORE: usize = 16;
/// Maximum number of requests in flight at an upstream for each of its CPU cores, including requests that wait for
/// other services.
const IN_FLIGHT_PER_CORE: usize = 400;

/// Fraction of its full capacity, 0 to 1, that a process has at an age of `age_s` seconds.
pub(super) fn capacity_fraction(age_s: f64) -> f64 {
    (SLOW_START_MIN_FRACTION + (1.0 - SLOW_START_MIN_FRACTION) * age_s / SLOW_START_WINDOW_S).min(1.0)
}

impl FleetSimulation<'_> {
    /// The request of an attempt reaches its upstream: it is processed, queued or refused, or lost with a failed
    /// process or a network partition.
    pub(super) fn request_arrives(&mut self, id: u64, number: u8) {
        let now = self.now;
        let Some(hop) = self.hops.get(id) else { return };
        let Some(&attempt) = hop.attempts.get(usize::from(number)) else { return };
        let (class, hops_left, deadline) = (hop.class, hop.hops_left, hop.deadline);
        let core = hop.core;
        let process = attempt.process as usize;
        let slot = self.processes[process].slot;
        let Slot { service, zone, .. } = self.slots[slot];
        if self.is_partitioned(self.cores[core as usize].zone, zone) {
            return;
        }
        match self.processes[process].state {
            State::Lost => return,
            State::Ended => return self.reply(zone, id, number, Outcome::Reset),
            State::Up => {}
        }
        let depth = self.topology.services[service].depth - 1;
        self.report.depths[depth].reached += 1;
        match self.parameters.fault {
            Some(FaultyService { service: faulty, fault: ServiceFault::Failing }) if faulty == service => {
                self.count_execution(id);
                return self.reply(zone, id, number, Outcome::Error);
            }
            Some(FaultyService { service: faulty, fault: ServiceFault::Silent }) if faulty == service => {
                return self.count_execution(id);
            }
            _ => {}
        }
        if self.is_overloaded_by_arrival(process) {
            self.report.overload_crashes += 1;
            self.stop(process, State::Ended);
            self.scheduled.push(now + ns(CRASH_RESTART_S), ScheduledEvent::Start(slot as u32));
            return self.reply(zone, id, number, Outcome::Reset);
        }
        let cores = self.topology.services[service].cores;
        let receiver = &mut self.processes[process];
        let full = receiver.busy >= cores && receiver.queue.len() >= cores * QUEUE_PER_CORE;
        if full || receiver.in_flight >= cores * IN_FLIGHT_PER_CORE {
            return self.reply(zone, id, number, Outcome::Refused);
        }
        receiver.in_flight += 1;
        let work = WorkItem {
            process: process as u32,
            hop: id,
            attempt: number,
            class,
            hops_left,
            begun: false,
            deadline,
        };
        let work = self.work_items.insert(work);
        if self.processes[process].busy < cores {
            self.start_work(work);
        } else {
            self.processes[process].queue.push_back(work);
        }
    }

    /// Counts an arrival and returns whether it overloads a process that is warming up: whether the process has
    /// received more requests from all balancers together than its limit allows for the window.
    pub(super) fn is_overloaded_by_arrival(&mut self, number: usize) -> bool {
        let now = self.now;
        let warm_up = ns(SLOW_START_WINDOW_S);
        let Process { started: Some(started), slot, .. } = self.processes[number] else { return false };
        if now - started >= warm_up {
            return false;
        }
        let arrivals = &mut self.processes[number].arrivals;
        arrivals.push_back(now);
        while arrivals.front().is_some_and(|&at| at + ns(OVERLOAD_WINDOW_S) < now) {
            arrivals.pop_front();
        }
        let sent = arrivals.len() as f64;
        let age = seconds(now - started);
        let cores = self.topology.services[self.slots[slot].service].cores as f64;
        let middle = (age - OVERLOAD_WINDOW_S / 2.0).max(age / 2.0);
        let rate = cores / (self.plan.traffic.work_ms.value / 1e3) * capacity_fraction(middle);
        let budget = OVERLOAD_MULTIPLE * rate * OVERLOAD_WINDOW_S.min(age.max(0.1));
        sent > budget + 2.0 * budget.sqrt() + 2.0
    }

    /// Counts the execution of an attempt for its call, and for the client's call if it is the first hop.
    pub(super) fn count_execution(&mut self, hop: u64) {
        let Some(hop) = self.hops.get(hop) else { return };
        hop.executions += 1;
        if let CallSource::Client(client) = hop.source {
            self.clients[client as usize].executions += 1;
        }
    }

    /// Starts a work item on a CPU core, or drops it if its attempt is over or its deadline has passed.
    pub(super) fn start_work(&mut self, id: u64) {
        let now = self.now;
        let Some(work) = self.work_items.get(id) else { return };
        work.begun = true;
        let (process, hop, attempt, deadline) =
            (work.process as usize, work.hop, work.attempt, work.deadline);
        let waits = self
            .hops
            .get(hop)
            .and_then(|hop| hop.attempts.get(usize::from(attempt)))
            .is_some_and(|attempt| !attempt.is_over);
        if !waits || now >= deadline {
            self.work_items.remove(id);
            self.processes[process].in_flight -= 1;
            return self.next(process);
        }
        self.count_execution(hop);
        self.processes[process].busy += 1;
        let speed =
            self.processes[process].started.map_or(1.0, |started| capacity_fraction(seconds(now - started)));
        let times = 0.4 - 0.6 * (1.0 - self.rng.rand_float()).ln();
        let work_s = self.plan.traffic.work_ms.value / 1e3 * times / speed;
        self.scheduled.push(now + ns(work_s), ScheduledEvent::WorkDone { work: id });
    }

    /// Starts the next work item in the queue of an upstream process.
    pub(super) fn next(&mut self, process: usize) {
        if let Some(work) = self.processes[process].queue.pop_front() {
            self.start_work(work);
        }
    }

    /// Handles the end of a work item's local processing: calls the next service in the chain, or answers.
    pub(super) fn work_done(&mut self, id: u64) {
        let Some(work) = self.work_items.get(id) else { return };
        let WorkItem { process, class, hops_left, deadline, .. } = *work;
        let process = process as usize;
        self.processes[process].busy -= 1;
        let service = self.slots[self.processes[process].slot].service;
        let topology = self.topology;
        let calls = &topology.services[service].calls;
        if hops_left <= 1 || calls.is_empty() {
            self.finish_work(id, Outcome::Success);
        } else {
            let call = place(calls.iter().map(|call| call.until), self.rng.rand_float());
            let core = self.processes[process].cores[call];
            self.start_call(core, CallSource::WorkItem(id), class, hops_left - 1, deadline);
        }
        if self.processes[process].state == State::Up {
            self.next(process);
        }
    }

    /// Ends a work item: its upstream answers with the outcome.
    pub(super) fn finish_work(&mut self, id: u64, outcome: Outcome) {
        let Some(work) = self.work_items.get(id) else { return };
        let WorkItem { process, hop, attempt, .. } = *work;
        self.work_items.remove(id);
        self.processes[process as usize].in_flight -= 1;
        let zone = self.slots[self.processes[process as usize].slot].zone;
        self.reply(zone, hop, attempt, outcome);
    }

    /// Sends an answer from an upstream in `zone` to the balancer that sent the attempt; it is lost if a network
    /// partition separates the two.
    pub(super) fn reply(&mut self, zone: usize, hop: u64, attempt: u8, outcome: Outcome) {
        let Some(core) = self.hops.get(hop).map(|hop| hop.core) else { return };
        let to = self.cores[core as usize].zone;
        if self.is_partitioned(zone, to) {
            return;
        }
        let at = self.now + self.delay(zone, to);
        self.scheduled.push(at, ScheduledEvent::Reply { hop, attempt, outcome });
    }
}
