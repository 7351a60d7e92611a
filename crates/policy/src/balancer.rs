//! The balancer: takes in events, passes them to the components that they concern, and gives the actions.
//!
//! Some decisions need several components at once, and the rules on them must not depend on which way a request has
//! come: ONE gate, [`Balancer::send`], lets attempts out, and ONE path, [`Balancer::finish`], ends requests unserved.
//! The module owns the components, the settings in force, the baseline latencies and the random source.

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

/// Largest limit that the stats snapshot shows, in calls a second: more is no limit.
const LARGEST_LIMIT_SHOWN: f64 = 1e6;

/// The decisions of one replica of a load balancer.
#[derive(Debug)]
pub struct Balancer {
    settings: Arc<Settings>,
    rng: Rand64,
    admission: Admission,
    /// The baseline latency of each class.
    baselines: Vec<BaselineLatency>,
    endpoints: EndpointList,
    subscription: ListSubscription,
    outliers: OutlierDetector,
    subset: Subset,
    requests: RequestTable,
    retry_budgets: RetryBudgets,
}

impl Balancer {
    /// A replica that knows nothing yet but its settings.
    ///
    /// # Errors
    /// The settings make no sense.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        Ok(Self {
            rng: Rand64::new(u128::from(seed)),
            admission: Admission::new(&settings),
            baselines: vec![BaselineLatency::default(); settings.classes.len()],
            endpoints: EndpointList::new(),
            subscription: ListSubscription::default(),
            outliers: OutlierDetector::new(settings.kinds),
            subset: Subset::new(),
            requests: RequestTable::default(),
            retry_budgets: RetryBudgets::new(),
            settings: Arc::new(settings),
        })
    }

    /// Takes in an event and adds what is to be done to `actions`.
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
                finished,
                ..
            } => {
                let unconnected = if outcome == Outcome::ConnectTimedOut { duration } else { connect_wait };
                let connected_duration = duration.saturating_sub(unconnected).as_secs_f64();
                let Some(pending) = self.requests.get(request) else { return };
                let latency_objective = pending.rules().latency_objective.as_secs_f64();
                let duration = duration.as_secs_f64();
                let end =
                    AttemptEnd { number, outcome, duration, connected_duration, latency_objective, finished };
                self.end_attempt(now, request, end, actions);
            }
            Event::Connected(upstream) => self.record_late_connection(now, upstream),
            Event::ClientDisconnected(request) => self.close(request, actions),
            Event::MaintenanceDue => self.maintain(now, actions),
            Event::Reconfigured(settings) => match settings.may_follow(&self.settings) {
                Ok(()) => self.reconfigure(settings),
                Err(why) => actions.push(Action::Log(format!("other settings were not taken over: {why}"))),
            },
            Event::HealthChecked { .. } | Event::PeerMessage { .. } => {}
        }
    }

    /// The stats snapshot for the operator's log: congestion, failures and capacity of the tier, the limits and the
    /// baseline latencies.
    #[must_use]
    pub fn stats_snapshot(&self) -> String {
        let limits: Vec<_> =
            self.admission.limits().map(|rate| format!("{:.1}", rate.min(LARGEST_LIMIT_SHOWN))).collect();
        let baselines: Vec<_> =
            self.baselines.iter().map(|baseline| format!("{:.0}", baseline.seconds() * 1e3)).collect();
        let congestion = self.admission.congestion().level();
        let failure_rate = self.outliers.tier_failure_rate();
        let available = self.subset.available();
        format!(
            "crowding {congestion:.2}, failing {failure_rate:.2}, had {available:.2}, \
             limits {}, usual ms {}",
            limits.join(" "),
            baselines.join(" ")
        )
    }

    /// Goes over to other settings for what follows. Requests in flight keep theirs, and what was learned of what
    /// stays, stays.
    fn reconfigure(&mut self, settings: Settings) {
        self.admission.reconfigure(&settings);
        self.baselines.resize(settings.classes.len(), BaselineLatency::default());
        let before = replace(&mut self.settings, Arc::new(settings));
        if before.replicas != self.settings.replicas && self.subset.locality.is_known() {
            self.lay_out_subset();
        }
    }

    // --- Endpoints ---

    /// Takes in an update of the list of endpoints.
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
        self.lay_out_subset();
    }

    fn back_off(&mut self, now: f64, why: Interruption) {
        self.subscription.back_off(now, why, &self.settings, &mut self.rng);
    }

    fn lay_out_subset(&mut self) {
        let ready = self.endpoints.rebuild_ready(&self.settings);
        self.subset.lay_out(&self.settings, &ready);
    }

    fn record_late_connection(&mut self, now: f64, upstream: EndpointId) {
        if let Some(endpoint) = self.endpoints.by_id_mut(upstream) {
            endpoint.record_late_connection(now, &self.settings.permissions);
        }
    }

    // --- The way of a request ---

    /// Receives a request: admits it and sends its first attempt, or ends it.
    fn accept(&mut self, now: f64, request: Request, actions: &mut Vec<Action>) {
        // An id in use or a class that the settings do not have is the embedding program's mistake.
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
        let available = self.subset.available();
        let admitted = self.admission.admit(now, tenant, can_meet_deadline, available, &mut self.rng);
        if admitted {
            self.retry_budgets.earn();
        }
        if !admitted || !self.send_to_selected(now, request.id, actions) {
            self.finish(request.id, false, actions);
        }
    }

    /// Whether a request has the time that its class takes, the longer the more congestion is met, or by chance the
    /// part that it has suffices: what cannot end in time keeps others out, but a baseline learned too long must not
    /// stand.
    fn can_meet_deadline(&mut self, now: f64, id: RequestId) -> bool {
        let Some(pending) = self.requests.get(id) else { return false };
        let left = pending.useful_until() - now;
        let expected = self.baselines[pending.class.0].seconds() * self.admission.congestion().slowdown();
        left >= expected || left > expected * self.rng.rand_float()
    }

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

    /// The ONE gate that every attempt passes; it keeps the rules on idempotency, draining and slow start.
    fn send(&mut self, now: f64, id: RequestId, slot: usize, actions: &mut Vec<Action>) -> bool {
        let endpoint = self.endpoints.get_mut(slot);
        let slow_start_allows = self.subset.slow_start_allows(now, endpoint, &self.settings);
        let Some(pending) = self.requests.get_mut(id) else { return false };
        let permissions = &self.settings.permissions;
        let max_attempts = permissions.max_attempts.min(pending.settings.permissions.max_attempts) as usize;
        let timeout = pending.useful_until() - now;
        let repeat_within =
            may_repeat(now, pending.rules().idempotency, pending.first_run(), &endpoint.member);
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
        let is_last_attempt = pending.attempts.len() >= reachable || !self.retry_budgets.allow_reroute();
        actions.push(Action::Send {
            request: id,
            upstream: member.id,
            timeout: Duration::try_from_secs_f64(timeout).ok(),
            first_byte_deadline: repeat_within.and_then(|left| Duration::try_from_secs_f64(left).ok()),
            is_last_attempt,
        });
        true
    }

    /// A streamed answer has begun: the other attempts are called off.
    fn begin_stream(&mut self, id: RequestId, attempt: AttemptNumber, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(id) else { return };
        pending.streaming = true;
        if self.settings.permissions.cancel {
            pending.cancel_attempts(Some(attempt), actions);
        }
    }

    /// An attempt has ended: learns from it, and retries or ends its request.
    fn end_attempt(&mut self, now: f64, id: RequestId, end: AttemptEnd, actions: &mut Vec<Action>) {
        let outcome = end.outcome;
        let Some(pending) = self.requests.get_mut(id) else { return };
        let Some(slot) = pending.end_attempt(&end) else { return };
        let PendingRequest { class, tenant, arrived, connect_wait, .. } = *pending;
        let was_tried_before = pending.was_tried_before(end.number);
        let is_closed = pending.closed || end.finished;
        let is_idle = pending.in_flight == 0;
        self.subset.end_attempt();
        self.record_attempt(now, slot, class, &end);
        if is_closed {
            self.close(id, actions);
        }
        let is_retried = is_idle && self.retry(now, id, outcome, actions);
        if is_idle && !is_retried {
            self.finish(id, outcome == Outcome::InvalidRequest, actions);
        }
        // A call that was refused and went elsewhere has met no congestion yet: behind a broken link or one full
        // server the tenant's limit would decrease although its calls are served. Refusals by two servers in a row
        // are congestion.
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
            self.retry_budgets.spend(outcome);
        }
        is_sent
    }

    /// The ONE path that ends a request unserved: refused where that is true and where it invites no wrong request
    /// again.
    fn finish(&mut self, id: RequestId, is_wrong: bool, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(id).filter(|pending| !pending.closed) else { return };
        let is_safe_anywhere = matches!(
            pending.rules().idempotency,
            Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: DeduplicationScope::All, .. }
        );
        let may_come_again = is_safe_anywhere || pending.first_run().is_none();
        actions.push(if may_come_again && !is_wrong {
            Action::Refuse { request: id, retry_after: self.settings.permissions.retry_after }
        } else {
            Action::Fail { request: id }
        });
        self.close(id, actions);
    }

    /// Marks a request as ended and calls off what is still in flight for it.
    fn close(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        self.requests.close(id, self.settings.permissions.cancel, actions);
    }

    // --- Learning ---

    /// What the end of an attempt tells of its endpoint and of the tier.
    fn record_attempt(&mut self, now: f64, slot: usize, class: ClassId, end: &AttemptEnd) {
        let outcome = end.outcome;
        let endpoint = self.endpoints.get_mut(slot);
        let has_answered = endpoint.end_attempt(now, end, &self.settings.permissions);
        if has_answered && !outcome.breaks_connection() {
            self.admission.record_answer(now);
        }
        // A rejection tells of the client, not of the endpoint.
        if matches!(outcome, Outcome::NotSent | Outcome::Cancelled | Outcome::InvalidRequest) {
            return;
        }
        self.subset.record_attempt(now, endpoint, end, &self.settings);
        let baseline_s = self.baselines[class.0].seconds();
        let fault = self.outliers.record(&mut endpoint.health, endpoint.kind, end, baseline_s);
        if let Some(fault) = fault {
            self.eject_if_outlier(now, slot, fault);
        }
    }

    /// Ejects an endpoint that stands out from the tier, unless too many are ejected already; an unreachable one in
    /// any case.
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

    /// What the end of a call tells of congestion, and so of the limits.
    fn record_request_end(&mut self, now: f64, class: ClassId, call: &RequestEnd) {
        let tier = TierState {
            is_first_tier: self.settings.tier == 0,
            failure_rate: self.outliers.tier_failure_rate(),
            available: self.subset.available(),
        };
        let baseline = &mut self.baselines[class.0];
        self.admission.record_request_end(now, call, baseline, tier, &mut self.rng);
    }

    // --- Maintenance ---

    /// Asks for the next maintenance pass and, where it is due, for the list.
    fn schedule_maintenance(&mut self, now: f64, actions: &mut Vec<Action>) {
        actions.push(Action::ScheduleMaintenance(Duration::from_secs_f64(MAINTENANCE_PERIOD_S)));
        if self.subscription.begin_if_due(now, &self.settings) {
            actions.push(Action::Subscribe);
        }
    }

    /// The maintenance pass: what is learned over time and not from events.
    fn maintain(&mut self, now: f64, actions: &mut Vec<Action>) {
        self.schedule_maintenance(now, actions);
        self.admission.maintain(now);
        self.subset.maintain(now, &self.endpoints, &self.settings, &mut self.rng);
        for endpoint in self.endpoints.iter_mut() {
            endpoint.send_budget.maintain();
        }
    }
}
