//! Attempts on the simulated network: connections, delays, network partitions and timeouts between a balancer and an
//! upstream.

use std::time::Duration;

use balancer_policy::Event;
use balancer_policy::interface::{AttemptNumber, Outcome, RequestId};

use super::event::ScheduledEvent;
use super::settings::DRAIN_GRACE_S;
use super::state::{Attempt, End, State};
use super::{FleetSimulation, ns};

/// Time that a balancer waits for a connection to an upstream, in virtual seconds, if another attempt may follow.
const CONNECT_WAIT_S: f64 = 1.0 / 16.0;
/// Time that a balancer waits for a connection to an upstream, in virtual seconds, for the last attempt of a call.
const LAST_CONNECT_WAIT_S: f64 = 1.0;

impl FleetSimulation<'_> {
    /// Whether a network partition separates two zones.
    pub(super) fn is_partitioned(&self, from: usize, to: usize) -> bool {
        let [from, to] = [from, to].map(|zone| self.topology.region_of[zone]);
        from != to && self.partition.is_some_and(|region| region == from || region == to)
    }

    /// One-way network delay between two zones, in ns, with up to 10 % of random jitter added.
    pub(super) fn delay(&mut self, from: usize, to: usize) -> u64 {
        let network = &self.plan.network;
        let regions = &self.topology.region_of;
        let ms = if from == to {
            network.zone_ms.value
        } else if regions[from] == regions[to] {
            network.region_ms.value
        } else {
            network.far_ms.value
        };
        ns(ms / 1e3 * (1.0 + 0.1 * self.rng.rand_float()))
    }

    /// Sends an attempt of the call `id` to a process: opens a connection if needed, and schedules the arrival of the
    /// request or the attempt's failure, and its timeout.
    pub(super) fn send(
        &mut self,
        core: u32,
        id: u64,
        process: u32,
        timeout: Option<Duration>,
        first_byte_deadline: Option<Duration>,
        is_last_attempt: bool,
    ) {
        let now = self.now;
        let core_state = &self.cores[core as usize];
        let from = core_state.zone;
        let to = self.slots[self.processes[process as usize].slot].zone;
        if core_state.notified.get(&process).is_some_and(|&notified| now > notified + ns(DRAIN_GRACE_S)) {
            self.report.faults.after_grace += 1;
        }
        let depth = self.depth_of(core);
        self.report.depths[depth].attempts += 1;
        let regions = &self.topology.region_of;
        self.report.crossed_zones += u64::from(from != to && regions[from] == regions[to]);
        self.report.crossed_regions += u64::from(regions[from] != regions[to]);
        let state = self.processes[process as usize].state;
        let partition = self.is_partitioned(from, to);
        let one_way = self.delay(from, to);
        let Some(hop) = self.hops.get(id) else { return };
        let attempt = hop.attempts.len() as u8;
        let wait = timeout
            .map_or(hop.deadline.saturating_sub(now), |span| span.as_nanos() as u64)
            .min(hop.deadline.saturating_sub(now));
        let connected = self.cores[core as usize].connected.contains(&process) && state != State::Ended;
        let reply = |outcome| ScheduledEvent::Reply { hop: id, attempt, outcome };
        let (at, scheduled, connect_wait) = if connected && !partition {
            (now + one_way, ScheduledEvent::RequestArrival { hop: id, attempt }, 0)
        } else if connected {
            (now + wait, reply(Outcome::TimedOut), 0)
        } else if partition || state == State::Lost {
            let wait = wait.min(ns(if is_last_attempt { LAST_CONNECT_WAIT_S } else { CONNECT_WAIT_S }));
            (now + wait, reply(Outcome::ConnectTimedOut), wait)
        } else if state == State::Ended {
            (now + 2 * one_way, reply(Outcome::ConnectFailed), 2 * one_way)
        } else if first_byte_deadline.is_some_and(|span| span.as_nanos() < u128::from(2 * one_way)) {
            (now + 2 * one_way, reply(Outcome::NotSent), 2 * one_way)
        } else {
            self.cores[core as usize].connected.insert(process);
            (now + 3 * one_way, ScheduledEvent::RequestArrival { hop: id, attempt }, 2 * one_way)
        };
        if connected && (partition || state == State::Lost) {
            // Attempts in flight on the connection end by their timeouts; the next attempt opens a new connection.
            self.cores[core as usize].connected.remove(&process);
        }
        if let Some(hop) = self.hops.get(id) {
            hop.attempts.push(Attempt { process, sent: now, connect_wait, is_over: false });
        }
        self.scheduled.push(at, scheduled);
        if matches!(scheduled, ScheduledEvent::RequestArrival { .. }) {
            self.scheduled.push(now + wait, ScheduledEvent::Timeout { hop: id, attempt });
        }
    }

    /// Handles the end of an attempt at its balancer: reports the outcome to the decision core, and answers the call if
    /// the attempt succeeded.
    pub(super) fn attempt_over(&mut self, id: u64, number: u8, outcome: Outcome) {
        let now = self.now;
        let Some(hop) = self.hops.get(id) else { return };
        let core = hop.core;
        let Some(attempt) = hop.attempts.get_mut(usize::from(number)).filter(|attempt| !attempt.is_over)
        else {
            return;
        };
        attempt.is_over = true;
        let Attempt { sent, connect_wait, process, .. } = *attempt;
        let good = outcome == Outcome::Success;
        let depth = self.depth_of(core);
        let end = match outcome {
            Outcome::Success => 0,
            Outcome::Error | Outcome::InvalidRequest => 1,
            Outcome::Refused => 2,
            Outcome::TimedOut | Outcome::Cancelled => 3,
            Outcome::ConnectFailed | Outcome::ConnectTimedOut | Outcome::NotSent => 4,
            Outcome::Reset => 5,
        };
        self.report.depths[depth].ends[end] += 1;
        if outcome == Outcome::Reset {
            self.cores[core as usize].connected.remove(&process);
        }
        let took = now - sent;
        let ended = Event::AttemptEnded {
            request: RequestId(id),
            attempt: AttemptNumber(number.into()),
            outcome,
            duration: Duration::from_nanos(took),
            connect_wait: Duration::from_nanos(connect_wait.min(took)),
            request_finished: good || self.hops.get(id).is_some_and(|hop| hop.answered),
            load: None,
        };
        if good {
            self.answer_call(id, End::Good);
        }
        self.drive(core, ended);
        self.remove_if_over(id);
    }
}
