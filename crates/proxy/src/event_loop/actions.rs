//! Carries out the actions that the policy returns.

use std::rc::Rc;
use std::time::Duration;

use balancer_policy::interface::{EndpointId, Outcome, RequestId};
use balancer_policy::{Action, Event};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use super::{EventLoop, State};
use crate::discovery::{self, WatchStart};
use crate::request_table::Answer;
use crate::upstream::{self, Job};

impl EventLoop {
    /// Passes an event to the policy and carries out the actions that it returns, also for events that result from
    /// them.
    pub(super) fn handle(self: &Rc<Self>, event: Event) {
        let mut state = self.state.borrow_mut();
        state.events.push_back(event);
        let mut actions = Vec::new();
        while let Some(event) = state.events.pop_front() {
            state.balancer.handle(self.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(&mut state, action);
            }
        }
    }

    fn carry_out(self: &Rc<Self>, state: &mut State, action: Action) {
        match action {
            Action::Send { request, upstream, timeout, first_byte_deadline, is_last_attempt } => {
                self.send(state, &Send { request, upstream, timeout, first_byte_deadline, is_last_attempt });
            }
            Action::CancelAttempt { request, attempt } => state.requests.cancel(request, attempt),
            Action::Refuse { request, retry_after } => state.refuse(request, retry_after),
            Action::Fail { request } => state.fail(request),
            Action::Subscribe => self.subscribe(state),
            // This program makes no active health checks: where the settings permit them, each is reported as not sent.
            Action::HealthCheck { upstream } => state.events.push_back(Event::HealthChecked {
                upstream,
                outcome: Outcome::NotSent,
                duration: Duration::ZERO,
                load: None,
            }),
            Action::CloseIdle { upstream } => self.pool.close_idle(upstream),
            Action::ScheduleMaintenance(span) => {
                let event_loop = Rc::clone(self);
                // Detached: the task ends by itself after this time. It must not be cancelled, because the policy
                // expects every event that it has scheduled.
                spawn_local(async move {
                    sleep(span).await;
                    event_loop.handle(Event::MaintenanceDue);
                });
            }
            Action::Log(text) => crate::log(format_args!("{text}")),
        }
    }

    fn subscribe(self: &Rc<Self>, state: &mut State) {
        let State { watch, endpoints, .. } = state;
        watch.abort();
        watch.number += 1;
        watch.address = self.discovery.get();
        let start = WatchStart {
            address: watch.address,
            first_line_timeout: self.first_line_timeout,
            since: endpoints.index(),
            number: watch.number,
        };
        let task = discovery::watch(Rc::clone(self), Rc::clone(&self.pool), start);
        watch.task = Some(spawn_local(task).abort_handle());
    }

    fn send(self: &Rc<Self>, state: &mut State, send: &Send) {
        let &Send { request, upstream, timeout, first_byte_deadline, is_last_attempt } = send;
        let Some(in_flight) = state.requests.get_mut(request) else { return };
        let endpoint = state.endpoints.ready_endpoint(upstream);
        let Some(endpoint) = endpoint.filter(|_| in_flight.is_unanswered()) else {
            state.counters.attempt(Outcome::NotSent, Duration::ZERO);
            return state.events.push_back(Event::AttemptEnded {
                request,
                attempt: in_flight.skip_attempt(),
                outcome: Outcome::NotSent,
                duration: Duration::ZERO,
                connect_wait: Duration::ZERO,
                request_finished: !in_flight.is_unanswered(),
                load: None,
            });
        };
        let requested_at = Instant::now();
        let attempt = in_flight.start_attempt(upstream);
        let job = Job {
            request,
            attempt: attempt.number,
            upstream,
            address: endpoint.address,
            call: Rc::clone(in_flight.call()),
            requested_at,
            write_deadline: first_byte_deadline.map(|span| requested_at + span),
            attempt_deadline: timeout
                .map_or(in_flight.deadline(), |span| in_flight.deadline().min(requested_at + span)),
            answer_deadline: in_flight.deadline(),
            is_last_attempt,
        };
        // Detached: the request table holds the sender that cancels the attempt. The task ends by itself soon after
        // `answer_deadline`, and reports its end.
        spawn_local(upstream::attempt(Rc::clone(self), job, attempt.cancelled));
    }
}

/// The fields of an [`Action::Send`].
struct Send {
    request: RequestId,
    upstream: EndpointId,
    timeout: Option<Duration>,
    first_byte_deadline: Option<Duration>,
    is_last_attempt: bool,
}

impl State {
    fn refuse(&mut self, id: RequestId, retry_after: Option<Duration>) {
        match self.requests.answer(id, Answer::Refused { retry_after }) {
            Some(0) => self.counters.refused_without_attempt += 1,
            Some(_) => self.counters.refused += 1,
            None => {}
        }
    }

    fn fail(&mut self, id: RequestId) {
        if self.requests.answer(id, Answer::Failed).is_some() {
            self.counters.failed += 1;
        }
    }
}
