//! The balancer: dispatches events to the components that they concern, and returns the resulting actions.
//!
//! Some decisions involve several components, and their rules must hold for first attempts, retries and hedged
//! requests alike. Every attempt is therefore sent by [`Balancer::send`], and every request that is not served is ended
//! by [`Balancer::end_unserved`]. The module owns the components, the current settings, the baseline latencies and the
//! random number generator.

use std::mem::replace;
use std::sync::Arc;
use std::time::Duration;

use oorandom::Rand64;

use crate::admission::Admission;
use crate::admission::baseline_latency::BaselineLatency;
use crate::admission::congestion::{RequestEnd, TierState};
use crate::endpoints::endpoint_list::EndpointList;
use crate::endpoints::list_subscription::{Interruption, ListSubscription};
use crate::endpoints::outlier::{Fault, OutlierDetector, may_eject_another};
use crate::interface::{
    Action, AttemptNumber, ClassId, DeduplicationScope, EndpointId, Event, Idempotency, Lifecycle,
    ListUpdate, Outcome, Request, RequestId, Settings, SettingsError, TenantId, Time,
};
use crate::maintenance::MAINTENANCE_PERIOD_S;
use crate::requests::attempt::{Attempt, AttemptEnd, MIN_TIMEOUT_S};
use crate::requests::idempotency::may_repeat;
use crate::requests::request_table::{PendingRequest, RequestTable};
use crate::requests::retry_budget::RetryBudgets;
use crate::routing::selection::Selection;
use crate::routing::subset::Subset;

/// Largest rate limit that the stats snapshot shows, in requests per second. Higher limits do not restrict anything.
const MAX_SHOWN_LIMIT_PER_S: f64 = 1e6;

/// The policy of one replica of a load balancer, as a state machine that turns events into actions.
#[derive(Debug)]
pub struct Balancer {
    settings: Arc<Settings>,
    rng: Rand64,
    admission: Admission,
    /// Baseline latency of each class, by the index of the class.
    baselines: Vec<BaselineLatency>,
    endpoints: EndpointList,
    subscription: ListSubscription,
    outliers: OutlierDetector,
    subset: Subset,
    requests: RequestTable,
    retry_budgets: RetryBudgets,
}

impl Balancer {
    /// Creates the balancer of a replica that has just started. Equal seeds give equal random draws.
    ///
    /// # Errors
    /// Returns an error if the settings are invalid.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        Ok(Self {
            rng: Rand64::new(u128::from(seed)),
            admission: Admission::new(&settings),
            baselines: vec![BaselineLatency::default(); settings.classes.len()],
            endpoints: EndpointList::new(),
            subscription: ListSubscription::default(),
            outliers: OutlierDetector::new(settings.machine_kinds),
            subset: Subset::new(),
            requests: RequestTable::default(),
            retry_budgets: RetryBudgets::new(),
            settings: Arc::new(settings),
        })
    }

    /// Processes an event that happened at `now` and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        let now = now.as_secs_f64();
        match event {
            Event::Started => self.schedule_maintenance(now, actions),
            Event::List(update) => self.update_list(now, update),
            Event::Request(request) => self.accept(now, request, actions),
            Event::StreamStarted { request, attempt } => self.begin_stream(request, attempt, actions),
            Event::AttemptEnded {
                request,
                attempt: number,
                outcome,
                duration,
                connect_wait,
                request_finished,
                ..
            } => {
                let unconnected_duration =
                    if outcome == Outcome::ConnectTimedOut { duration } else { connect_wait };
                let connected_duration = duration.saturating_sub(unconnected_duration).as_secs_f64();
                let Some(pending) = self.requests.get(request) else { return };
                let latency_objective = pending.rules().latency_objective.as_secs_f64();
                let duration = duration.as_secs_f64();
                let end = AttemptEnd {
                    number,
                    outcome,
                    duration,
                    connected_duration,
                    latency_objective,
                    request_finished,
                };
                self.end_attempt(now, request, end, actions);
            }
            Event::Connected(upstream) => self.record_late_connection(now, upstream),
            Event::ClientDisconnected(request) => self.close(request, actions),
            Event::MaintenanceDue => self.maintain(now, actions),
            Event::Reconfigured(settings) => match settings.validate_change_from(&self.settings) {
                Ok(()) => self.reconfigure(settings),
                Err(why) => actions.push(Action::Log(format!("other settings were not taken over: {why}"))),
            },
            Event::HealthChecked { .. } | Event::PeerMessage { .. } => {}
        }
    }

    /// Formats a stats snapshot for the operator's log: the congestion level, failure rate and available fraction of
    /// the tier, the rate limits in requests per second and the baseline latencies in milliseconds.
    #[must_use]
    pub fn stats_snapshot(&self) -> String {
        let limits: Vec<_> =
            self.admission.limits().map(|rate| format!("{:.1}", rate.min(MAX_SHOWN_LIMIT_PER_S))).collect();
        let baselines: Vec<_> =
            self.baselines.iter().map(|baseline| format!("{:.0}", baseline.seconds() * 1e3)).collect();
        let congestion = self.admission.congestion().level();
        let failure_rate = self.outliers.tier_failure_rate();
        let available_capacity = self.subset.available_capacity();
        format!(
            "crowding {congestion:.2}, failing {failure_rate:.2}, had {available_capacity:.2}, \
             limits {}, usual ms {}",
            limits.join(" "),
            baselines.join(" ")
        )
    }

    /// Replaces the settings. Requests in flight keep the settings under which they were received, and the state
    /// learned about classes, tenants and endpoints is kept.
    fn reconfigure(&mut self, settings: Settings) {
        self.admission.reconfigure(&settings);
        self.baselines.resize(settings.classes.len(), BaselineLatency::default());
        let before = replace(&mut self.settings, Arc::new(settings));
        if before.replicas != self.settings.replicas && self.subset.locality.is_initialized() {
            self.rebuild_subset();
        }
    }

    // --- Endpoints ---

    /// Applies an update of the list of endpoints.
    fn update_list(&mut self, now: f64, update: ListUpdate) {
        match update {
            ListUpdate::Broken => return self.back_off(now, Interruption::Broken),
            ListUpdate::Relocated => return self.back_off(now, Interruption::Relocated),
            ListUpdate::Snapshot(members) => {
                self.subscription.record_update();
                self.endpoints.replace(now, members, &mut self.rng);
            }
            ListUpdate::CachedSnapshot(members) => self.endpoints.replace(now, members, &mut self.rng),
            ListUpdate::Delta(members) => {
                self.subscription.record_update();
                self.endpoints.apply_delta(now, members, &mut self.rng);
            }
        }
        self.rebuild_subset();
    }

    fn back_off(&mut self, now: f64, why: Interruption) {
        self.subscription.back_off(now, why, &self.settings, &mut self.rng);
    }

    fn rebuild_subset(&mut self) {
        let ready = self.endpoints.rebuild_ready(&self.settings);
        self.subset.rebuild(&self.settings, &ready);
    }

    fn record_late_connection(&mut self, now: f64, upstream: EndpointId) {
        if let Some(endpoint) = self.endpoints.by_id_mut(upstream) {
            endpoint.record_late_connection(now, &self.settings.permissions);
        }
    }

    // --- Requests ---

    /// Receives a request: admits it and sends its first attempt, or ends it as not served.
    fn accept(&mut self, now: f64, request: Request, actions: &mut Vec<Action>) {
        // An id that is in use, or a class that is not in the settings, is an error of the embedding program.
        if self.requests.contains(request.id) {
            return;
        }
        if request.class.0 >= self.settings.classes.len() {
            actions.push(Action::Refuse { request: request.id, retry_after: None });
            return;
        }
        let last = self.settings.tenants.len().saturating_sub(1);
        let tenant = request.tenant.map_or(0, |TenantId(tenant)| tenant.min(last));
        let pending = PendingRequest::new(now, &request, tenant, Arc::clone(&self.settings));
        self.requests.insert(pending);
        let can_meet_deadline = self.can_meet_deadline(now, request.id);
        let available_capacity = self.subset.available_capacity();
        let admitted =
            self.admission.admit(now, tenant, can_meet_deadline, available_capacity, &mut self.rng);
        if admitted {
            self.retry_budgets.deposit();
        }
        if !admitted || !self.send_to_selected(now, request.id, actions) {
            self.end_unserved(request.id, false, actions);
        }
    }

    /// Whether a request has enough time left to be answered.
    ///
    /// The expected latency is the baseline latency of its class, raised by the current congestion. A request with less
    /// time left would take capacity from others without being answered in time. It is still let through with a
    /// probability equal to the fraction of the expected latency that it has left: otherwise a baseline that was
    /// learned too high would never be corrected.
    fn can_meet_deadline(&mut self, now: f64, id: RequestId) -> bool {
        let Some(pending) = self.requests.get(id) else { return false };
        let left = pending.useful_until() - now;
        let expected = self.baselines[pending.class.0].seconds() * self.admission.congestion().slowdown();
        left >= expected || left > expected * self.rng.rand_float()
    }

    /// Selects an endpoint for a request and sends an attempt to it. Returns whether an attempt was sent.
    fn send_to_selected(&mut self, now: f64, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.get(id) else { return false };
        let selection = Selection {
            now,
            settings: &self.settings,
            request,
            baseline_s: self.baselines[request.class.0].seconds(),
            subset: &self.subset,
            outliers: &self.outliers,
            endpoints: &mut self.endpoints,
            rng: &mut self.rng,
        };
        selection.select().is_some_and(|slot| self.send(now, id, slot, actions))
    }

    /// Sends an attempt of a request to the endpoint in `slot`, unless the request is closed, has begun to stream its
    /// answer or has too little time left, the endpoint is not ready, or a rule on idempotency, slow start, hedging or
    /// the number of attempts forbids it. Every attempt passes through this method. Returns whether the attempt was
    /// sent.
    fn send(&mut self, now: f64, id: RequestId, slot: usize, actions: &mut Vec<Action>) -> bool {
        let endpoint = self.endpoints.get_mut(slot);
        let slow_start_allows = self.subset.slow_start_allows(now, endpoint, &self.settings);
        let Some(pending) = self.requests.get_mut(id) else { return false };
        let permissions = &self.settings.permissions;
        let max_attempts = permissions.max_attempts.min(pending.settings.permissions.max_attempts) as usize;
        let timeout = pending.useful_until() - now;
        let repeat_within =
            may_repeat(now, pending.rules().idempotency, pending.first_possible_run(), &endpoint.member);
        let is_over = pending.closed || pending.streaming || timeout < MIN_TIMEOUT_S;
        let has_attempts_left = pending.attempts.len() < max_attempts;
        let is_hedge = pending.in_flight > 0;
        if !slow_start_allows
            || repeat_within.is_none()
            || is_over
            || endpoint.member.lifecycle != Lifecycle::Ready
            || !has_attempts_left
            || (is_hedge && !permissions.hedging)
        {
            return false;
        }
        endpoint.begin_attempt(now, permissions);
        self.subset.begin_attempt();
        let member = endpoint.member;
        pending.attempts.push(Attempt::new(slot, member, now));
        pending.in_flight += 1;
        let reachable = self.endpoints.ready().len().min(max_attempts);
        let is_last_attempt =
            pending.attempts.len() >= reachable || !self.retry_budgets.allow_transparent_retry();
        actions.push(Action::Send {
            request: id,
            upstream: member.id,
            timeout: Duration::try_from_secs_f64(timeout).ok(),
            first_byte_deadline: repeat_within.and_then(|left| Duration::try_from_secs_f64(left).ok()),
            is_last_attempt,
        });
        true
    }

    /// Records that a streamed answer has begun, and cancels the other attempts of the request.
    fn begin_stream(&mut self, id: RequestId, attempt: AttemptNumber, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(id) else { return };
        pending.streaming = true;
        if self.settings.permissions.cancel {
            pending.cancel_attempts(Some(attempt), actions);
        }
    }

    /// Processes the end of an attempt: updates the statistics, and retries or ends its request.
    fn end_attempt(&mut self, now: f64, id: RequestId, end: AttemptEnd, actions: &mut Vec<Action>) {
        let outcome = end.outcome;
        let Some(pending) = self.requests.get_mut(id) else { return };
        let Some(slot) = pending.end_attempt(&end) else { return };
        let PendingRequest { class, tenant, arrived, connect_wait, .. } = *pending;
        let was_tried_before = pending.was_tried_before(end.number);
        let is_closed = pending.closed || end.request_finished;
        let is_idle = pending.in_flight == 0;
        self.subset.end_attempt();
        self.record_attempt(now, slot, class, &end);
        if is_closed {
            self.close(id, actions);
        }
        let is_retried = is_idle && self.retry(now, id, outcome, actions);
        if is_idle && !is_retried {
            self.end_unserved(id, outcome == Outcome::InvalidRequest, actions);
        }
        // An attempt that never ran and is retried elsewhere does not count as congestion: with a broken link or a
        // single full endpoint, the tenant's limit would decrease although its requests are served. Refusals by two
        // endpoints in a row count as congestion.
        let is_refused_again = outcome == Outcome::Refused && was_tried_before;
        if is_refused_again || !(is_retried && outcome.never_ran()) {
            let AttemptEnd { connected_duration, latency_objective, .. } = end;
            let call =
                RequestEnd { tenant, outcome, connected_duration, latency_objective, arrived, connect_wait };
            self.record_request_end(now, class, &call);
        }
    }

    fn retry(&mut self, now: f64, id: RequestId, outcome: Outcome, actions: &mut Vec<Action>) -> bool {
        if matches!(outcome, Outcome::NotSent | Outcome::InvalidRequest) {
            return false;
        }
        let is_sent = self.can_meet_deadline(now, id)
            && self.retry_budgets.allow_retry_after(outcome)
            && self.send_to_selected(now, id, actions);
        if is_sent {
            self.retry_budgets.withdraw(outcome);
        }
        is_sent
    }

    /// Ends a request that was not served. Every such request is ended by this method. The request is refused, which
    /// invites a retry, if a retry cannot repeat an effect and the request itself is valid. Otherwise it fails.
    fn end_unserved(&mut self, id: RequestId, is_invalid: bool, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(id).filter(|pending| !pending.closed) else { return };
        let is_safe_anywhere = matches!(
            pending.rules().idempotency,
            Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: DeduplicationScope::All, .. }
        );
        let may_be_retried = is_safe_anywhere || pending.first_possible_run().is_none();
        actions.push(if may_be_retried && !is_invalid {
            Action::Refuse { request: id, retry_after: self.settings.permissions.max_retry_after }
        } else {
            Action::Fail { request: id }
        });
        self.close(id, actions);
    }

    /// Marks a request as ended and cancels its attempts in flight, if cancelling is permitted.
    fn close(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        self.requests.close(id, self.settings.permissions.cancel, actions);
    }

    // --- Statistics ---

    /// Updates the statistics of an endpoint and of the tier from the end of an attempt.
    fn record_attempt(&mut self, now: f64, slot: usize, class: ClassId, end: &AttemptEnd) {
        let outcome = end.outcome;
        let endpoint = self.endpoints.get_mut(slot);
        let has_answered = endpoint.end_attempt(now, end, &self.settings.permissions);
        if has_answered && !outcome.breaks_connection() {
            self.admission.record_answer(now);
        }
        // An invalid request is a fault of the client and does not count against the endpoint.
        if matches!(outcome, Outcome::NotSent | Outcome::Cancelled | Outcome::InvalidRequest) {
            return;
        }
        self.subset.record_attempt(now, endpoint, end, &self.settings);
        let baseline_s = self.baselines[class.0].seconds();
        let fault = self.outliers.record(&mut endpoint.health, endpoint.machine_kind, end, baseline_s);
        if let Some(fault) = fault {
            self.eject_if_outlier(now, slot, fault);
        }
    }

    /// Ejects an endpoint that is an outlier in its tier, unless too many members of its group are ejected already. An
    /// unreachable endpoint is ejected in any case.
    fn eject_if_outlier(&mut self, now: f64, slot: usize, fault: Fault) {
        let endpoint = self.endpoints.get(slot);
        if endpoint.health.is_ejected(now) || !self.outliers.is_outlier(&endpoint.health, fault) {
            return;
        }
        let members = &self.subset.group(endpoint.is_local).members;
        let is_ejected = |&&slot: &&usize| self.endpoints.get(slot).health.is_ejected(now);
        let ejected = members.iter().filter(is_ejected).count();
        if fault == Fault::Unreachable || may_eject_another(ejected, members.len()) {
            self.endpoints.get_mut(slot).health.eject(now, &mut self.rng);
        }
    }

    /// Updates the congestion level, and with it the rate limits, from the end of a request.
    fn record_request_end(&mut self, now: f64, class: ClassId, call: &RequestEnd) {
        let tier = TierState {
            is_first_tier: self.settings.tier == 0,
            failure_rate: self.outliers.tier_failure_rate(),
            available_capacity: self.subset.available_capacity(),
        };
        let baseline = &mut self.baselines[class.0];
        self.admission.record_request_end(now, call, baseline, tier, &mut self.rng);
    }

    // --- Maintenance ---

    /// Schedules the next maintenance pass and, if one is due, subscribes to the list of endpoints.
    fn schedule_maintenance(&mut self, now: f64, actions: &mut Vec<Action>) {
        actions.push(Action::ScheduleMaintenance(Duration::from_secs_f64(MAINTENANCE_PERIOD_S)));
        if self.subscription.begin_if_due(now, &self.settings) {
            actions.push(Action::Subscribe);
        }
    }

    /// Runs a maintenance pass, which updates the state that changes with time and not with events.
    fn maintain(&mut self, now: f64, actions: &mut Vec<Action>) {
        self.schedule_maintenance(now, actions);
        self.admission.maintain(now);
        self.subset.maintain(now, &self.endpoints, &self.settings, &mut self.rng);
        for endpoint in self.endpoints.iter_mut() {
            endpoint.send_budget.maintain();
        }
    }
}
