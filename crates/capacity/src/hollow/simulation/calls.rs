//! The handling of a call by its balancer: from the request event to the decision core, through the actions of the
//! core, to the answer.

use std::mem;
use std::time::Duration;

use balancer_policy::interface::{ClassId, Outcome, Request, RequestId, TenantId};
use balancer_policy::{Action, Event};

use super::event::ScheduledEvent;
use super::state::{CallSource, End, Hop};
use super::{FleetSimulation, seconds};

impl FleetSimulation<'_> {
    /// Starts a call at a core: records it and passes its request to the decision core.
    pub(super) fn start_call(
        &mut self,
        core: u32,
        source: CallSource,
        class: u8,
        hops_left: u8,
        deadline: u64,
    ) {
        let attempts = Vec::with_capacity(1);
        let hop = Hop { core, source, class, hops_left, answered: false, executions: 0, deadline, attempts };
        let id = self.hops.insert(hop);
        let depth = self.depth_of(core);
        let time_left = deadline.saturating_sub(self.now);
        self.report.depths[depth].calls += 1;
        self.report.depths[depth].left_s += seconds(time_left);
        let (tenant, is_client_retry) = match source {
            CallSource::Client(client) => {
                let client = &self.clients[client as usize];
                (Some(TenantId(client.tenant as usize)), client.tries > 1)
            }
            CallSource::WorkItem(_) => (None, false),
        };
        let request = Request {
            id: RequestId(id),
            class: ClassId(class.into()),
            tenant,
            subject: (class == 1).then_some(id),
            time_left: Duration::from_nanos(time_left),
            expected_work: None,
            is_client_retry,
        };
        self.drive(core, Event::Request(request));
    }

    /// Index of the depth that a core calls, 0 for the services that clients call directly.
    pub(super) fn depth_of(&self, core: u32) -> usize {
        self.topology.services[self.cores[core as usize].service].depth - 1
    }

    /// Passes an event to a decision core and carries out the actions that it returns.
    pub(super) fn drive(&mut self, core: u32, event: Event) {
        let Some(balancer) = &mut self.cores[core as usize].balancer else { return };
        let mut actions = mem::take(&mut self.actions);
        balancer.handle(Duration::from_nanos(self.now), event, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Send { request, upstream, timeout, first_byte_deadline, is_last_attempt } => {
                    self.update_digest(request.0 ^ u64::from(upstream.0) << 40);
                    self.send(core, request.0, upstream.0, timeout, first_byte_deadline, is_last_attempt);
                }
                Action::CancelAttempt { request, attempt } => {
                    self.scheduled.push(
                        self.now,
                        ScheduledEvent::Reply {
                            hop: request.0,
                            attempt: attempt.0 as u8,
                            outcome: Outcome::Cancelled,
                        },
                    );
                }
                Action::Refuse { request, .. } => {
                    self.update_digest(request.0 ^ 1 << 61);
                    let depth = self.depth_of(core);
                    self.report.depths[depth].refused += 1;
                    let without_attempt = self.hops.get(request.0).is_some_and(|hop| hop.attempts.is_empty());
                    self.report.depths[depth].denied += u64::from(without_attempt);
                    self.answer_call(request.0, End::Refused);
                }
                Action::Fail { request } => {
                    self.update_digest(request.0 ^ 1 << 62);
                    let depth = self.depth_of(core);
                    self.report.depths[depth].failed += 1;
                    self.answer_call(request.0, End::Failed);
                }
                Action::ScheduleMaintenance(span) => {
                    self.scheduled
                        .push(self.now + span.as_nanos() as u64, ScheduledEvent::MaintenanceTimer(core));
                }
                Action::Subscribe
                | Action::HealthCheck { .. }
                | Action::CloseIdle { .. }
                | Action::Log(_) => {}
            }
        }
        self.actions = actions;
    }

    /// Sends the answer of a call to its source, a client or an upstream's work item.
    pub(super) fn answer_call(&mut self, id: u64, end: End) {
        let Some(hop) = self.hops.get(id) else { return };
        if hop.answered {
            self.report.faults.answered_twice += 1;
            return;
        }
        hop.answered = true;
        let (source, executions, class) = (hop.source, hop.executions, hop.class);
        if class == 2 && executions > 1 {
            self.report.faults.run_twice += 1;
        }
        match source {
            CallSource::Client(client) => self.client_answered(client, end),
            CallSource::WorkItem(work) => {
                let outcome = if end == End::Good { Outcome::Success } else { Outcome::Error };
                self.finish_work(work, outcome);
            }
        }
        self.remove_if_over(id);
    }

    /// Removes the record of a call once all its attempts are over and it has been answered. A call of a balancer that
    /// has ended is removed without an answer, and fails for its client.
    pub(super) fn remove_if_over(&mut self, id: u64) {
        let Some(hop) = self.hops.get(id) else { return };
        if hop.attempts.iter().any(|attempt| !attempt.is_over) {
            return;
        }
        let (answered, source, core) = (hop.answered, hop.source, hop.core);
        if answered {
            self.hops.remove(id);
        } else if self.cores[core as usize].balancer.is_none() {
            self.hops.remove(id);
            if let CallSource::Client(client) = source {
                self.client_answered(client, End::Failed);
            }
        }
    }
}
