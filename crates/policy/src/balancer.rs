//! Joins the components: takes in events and gives the actions. It owns the random source.
//!
//! ONE gate, [`Balancer::send`], lets attempts out, and ONE path, [`Balancer::finish`], ends requests unserved.

use std::mem::{replace, take};
use std::sync::Arc;
use std::time::Duration;

use oorandom::Rand64;
use rustc_hash::FxHashMap;

use crate::admission::Admission;
use crate::admission::baseline_latency::BaselineLatency;
use crate::admission::congestion::{CallEnd, TierState};
use crate::endpoints::endpoint::Endpoint;
use crate::endpoints::endpoint_list::{ASK_PART, RESUBSCRIBE_S};
use crate::endpoints::outlier::{
    ASIDE_MOST, ASIDE_S, DELAY_WEIGHT, FAIL_OVER, FAIL_WEIGHT, KIND_SLOW_MOST, KIND_SLOW_WEIGHT, RETURN_AT,
    SLOW_WEIGHT, STALL, TIER_WEIGHT, UNREACHABLE_AFTER,
};
use crate::endpoints::slow_start::{COLD_FIRST, COLD_GROWTH_MOST, COLD_LATE, overload_headroom};
use crate::interface::{
    Action, ClassId, DedupScope, DiscoveryMode, Effect, Event, KindId, ListUpdate, Member, Outcome, Phase,
    Request, RequestId, Settings, SettingsError, TenantId, Time, UpstreamId,
};
use crate::maintenance::MAINTENANCE_PERIOD_S;
use crate::random::between;
use crate::requests::attempt::{Attempt, AttemptEnd, MIN_TIMEOUT_S};
use crate::requests::idempotency::may_repeat;
use crate::requests::request_table::{PendingRequest, RequestTable};
use crate::requests::retry_budget::RetryBudgets;
use crate::routing::selection::{DRAWS, PAIRS, SLOW_CHANCE};
use crate::routing::subset::{HAD_LEAST, Subset, arc};

/// One copy's decisions.
#[derive(Debug)]
pub struct Balancer {
    settings: Arc<Settings>,
    rng: Rand64,
    admission: Admission,
    subset: Subset,
    endpoints: Vec<Endpoint>,
    slot_by_id: FxHashMap<UpstreamId, usize>,
    free_slots: Vec<usize>,
    ready: Vec<usize>,
    tier_failures: f64,
    tier_slowness: f64,
    /// Slowness of each kind of machine and, last, of those of no known kind: what is expected of an upstream
    /// not yet measured.
    kind_slowness: Vec<f64>,
    latencies: Vec<BaselineLatency>,
    requests: RequestTable,
    retry_budgets: RetryBudgets,
    /// When to ask for the list next, which with a subscription is never, and how long the latest wait for it was.
    ask_at: f64,
    backoff_s: f64,
    largest_weight: f64,
}

impl Balancer {
    /// A copy that knows nothing yet but its settings.
    ///
    /// # Errors
    /// The settings make no sense.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        Ok(Self {
            rng: Rand64::new(u128::from(seed)),
            admission: Admission::new(&settings),
            subset: Subset { available: 1.0, ..Subset::default() },
            endpoints: Vec::new(),
            slot_by_id: FxHashMap::default(),
            free_slots: Vec::new(),
            ready: Vec::new(),
            tier_failures: 0.0,
            tier_slowness: 1.0,
            kind_slowness: vec![1.0; settings.kinds + 1],
            latencies: vec![BaselineLatency::default(); settings.classes.len()],
            requests: RequestTable::default(),
            retry_budgets: RetryBudgets::new(),
            ask_at: 0.0,
            backoff_s: 0.0,
            largest_weight: 1.0,
            settings: Arc::new(settings),
        })
    }

    /// Takes in an event and adds what is to be done to `actions`.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        let now = now.as_secs_f64();
        match event {
            Event::Started => self.schedule_next_sweep(now, actions),
            Event::List(update) => self.learn_list(now, update),
            Event::Request(request) => self.accept(now, request, actions),
            Event::StreamStarted { request, attempt } => {
                let Some(pending) = self.requests.get_mut(request) else { return };
                pending.streaming = true;
                if self.settings.allowed.cancel {
                    pending.withdraw(Some(attempt), actions);
                }
            }
            Event::AttemptEnded { request, attempt: number, outcome, took, connecting, finished, .. } => {
                let unconnected = if outcome == Outcome::ConnectTimedOut { took } else { connecting };
                let served = took.saturating_sub(unconnected).as_secs_f64();
                let Some(pending) = self.requests.get(request) else { return };
                let (took, aim) = (took.as_secs_f64(), pending.rules().aim.as_secs_f64());
                let end = AttemptEnd { number, outcome, took, served, aim, finished };
                self.attempt_ended(now, request, end, actions);
            }
            Event::Connected(endpoint) => {
                let Some(&slot) = self.slot_by_id.get(&endpoint) else { return };
                self.endpoints[slot].count_connection(now, &self.settings.allowed);
                self.endpoints[slot].mark_reachable();
            }
            Event::ClientLeft(request) => self.close(request, actions),
            Event::Wake => self.sweep(now, actions),
            Event::Reconfigured(settings) => match settings.may_follow(&self.settings) {
                Ok(()) => self.reconfigure(settings),
                Err(why) => actions.push(Action::Log(format!("other settings were not taken over: {why}"))),
            },
            Event::Probed { .. } | Event::Message { .. } => {}
        }
    }

    /// Goes by other settings for what follows. Requests held keep theirs, and what was learned of what stays, stays.
    fn reconfigure(&mut self, settings: Settings) {
        self.admission.reconfigure(&settings);
        self.latencies.resize(settings.classes.len(), BaselineLatency::default());
        let laid_from = replace(&mut self.settings, Arc::new(settings)).copies;
        if laid_from != self.settings.copies && self.subset.local_fraction.is_some() {
            self.rebuild();
        }
    }

    /// How the limits and the tier stand, for the operator's log.
    #[must_use]
    pub fn vitals(&self) -> String {
        let rates: String = self.admission.limits().map(|rate| format!(" {:.1}", rate.min(1e6))).collect();
        let usual: String = self.latencies.iter().map(|l| format!(" {:.0}", l.seconds() * 1e3)).collect();
        let congestion = self.admission.congestion().level();
        let (failures, available) = (self.tier_failures, self.subset.available);
        format!(
            "crowding {congestion:.2}, failing {failures:.2}, had {available:.2}, limits{rates}, usual ms{usual}"
        )
    }

    // --- Discovery ---

    /// Asks for the next sweep and, where it is time, for the list.
    fn schedule_next_sweep(&mut self, now: f64, actions: &mut Vec<Action>) {
        actions.push(Action::WakeAfter(Duration::from_secs_f64(MAINTENANCE_PERIOD_S)));
        if self.settings.discovery != DiscoveryMode::Push && now >= self.ask_at {
            actions.push(Action::Subscribe);
            self.ask_at = now + self.ask_within();
        }
    }

    fn ask_within(&self) -> f64 {
        self.settings.rules.ask_within.map_or(10.0, |span| span.as_secs_f64()) * ASK_PART
    }

    fn learn_list(&mut self, now: f64, update: ListUpdate) {
        let (moved, stale) = (update == ListUpdate::Moved, matches!(update, ListUpdate::StaleCopy(_)));
        let whole = stale || matches!(update, ListUpdate::Whole(_));
        let (ListUpdate::Whole(members) | ListUpdate::StaleCopy(members) | ListUpdate::Patch(members)) =
            update
        else {
            // Copies whose calls fail together must not come back together; each agent has one copy alone.
            let own = self.settings.discovery == DiscoveryMode::Agent;
            let most = if own { 0.0 } else { self.ask_within().max(RESUBSCRIBE_S) };
            let before = if moved { 0.0 } else { self.backoff_s };
            self.backoff_s = (before * 2.0).max(RESUBSCRIBE_S).min(most);
            self.ask_at = now + between(&mut self.rng, self.backoff_s / 2.0..self.backoff_s);
            return;
        };
        if !stale {
            (self.ask_at, self.backoff_s) = (f64::MAX, 0.0);
        }
        if whole {
            self.endpoints.iter_mut().for_each(|endpoint| endpoint.member.phase = Phase::Gone);
        }
        members.into_iter().for_each(|member| self.learn_member(now, member));
        self.rebuild();
    }

    fn learn_member(&mut self, now: f64, member: Member) {
        if let Some(&slot) = self.slot_by_id.get(&member.id) {
            let endpoint = &mut self.endpoints[slot];
            if replace(&mut endpoint.member, member).started != member.started {
                // A new process knows nothing of what the old one did.
                let Endpoint { in_flight, local, kind, .. } = *endpoint;
                *endpoint = Endpoint { in_flight, local, kind, ..Endpoint::new(member, now, &mut self.rng) };
            }
        } else if member.phase != Phase::Gone {
            let endpoint = Endpoint::new(member, now, &mut self.rng);
            // A free place or a new one behind the last.
            let slot = self.free_slots.pop().unwrap_or(self.endpoints.len());
            self.endpoints.splice(slot..self.endpoints.len().min(slot + 1), [endpoint]);
            self.slot_by_id.insert(member.id, slot);
        }
    }

    /// Lays out the subset anew, after a list event or with another number of copies.
    fn rebuild(&mut self) {
        let mut order: Vec<(UpstreamId, usize)> =
            self.slot_by_id.iter().map(|(&id, &slot)| (id, slot)).collect();
        order.sort_unstable();
        self.ready.clear();
        self.largest_weight = 1e-9;
        let (mut local, mut remote) = (Vec::new(), Vec::new());
        for (id, slot) in order {
            let endpoint = &mut self.endpoints[slot];
            if endpoint.member.phase != Phase::Ready {
                if endpoint.member.phase == Phase::Gone && endpoint.in_flight == 0 {
                    self.slot_by_id.remove(&id);
                    self.free_slots.push(slot);
                }
                continue;
            }
            endpoint.local = endpoint.member.zone == Some(self.settings.zone);
            let kinds = self.settings.kinds;
            endpoint.kind = endpoint.member.kind.map_or(kinds, |KindId(kind)| kind.min(kinds));
            self.largest_weight = self.largest_weight.max(endpoint.member.weight);
            self.ready.push(slot);
            if endpoint.local { local.push(slot) } else { remote.push(slot) }
        }
        self.subset.first = if self.subset.first > 0 { self.subset.first } else { self.ready.len() };
        self.subset.local.listed = local.len();
        self.subset.remote.listed = remote.len();
        // Below the first tier the callers stand where the tier above was spread to.
        let local_fraction = if self.settings.tier == 0 { self.subset.even() } else { 1.0 };
        self.subset.local_fraction.get_or_insert(local_fraction);
        let (index, copies) = (self.settings.index, self.settings.copies);
        let here = f64::from(copies) / self.settings.zones as f64;
        let lay = |slot_by_id: &[usize], sharers| {
            arc(index, copies, sharers, slot_by_id.len()).map(|place| slot_by_id[place]).collect()
        };
        self.subset.local.members = lay(&local, here);
        self.subset.remote.members = lay(&remote, f64::from(copies));
        self.subset.size = self.subset.local.members.len() + self.subset.remote.members.len();
    }

    // --- A request's way ---

    fn accept(&mut self, now: f64, request: Request, actions: &mut Vec<Action>) {
        // An id in use or a class that the settings do not have is the embedding program's mistake.
        if self.requests.contains(request.id) {
            return;
        }
        if request.class.0 >= self.settings.classes.len() {
            return actions.push(Action::Refuse { request: request.id, retry_after: None });
        }
        let last = self.settings.tenants.len().saturating_sub(1);
        let tenant = request.tenant.map_or(0, |TenantId(tenant)| tenant.min(last));
        let pending = PendingRequest::new(now, &request, tenant, Arc::clone(&self.settings));
        self.requests.insert(pending);
        let can_meet_deadline = self.can_meet_deadline(now, request.id);
        let admitted =
            self.admission.admit(now, tenant, can_meet_deadline, self.subset.available, &mut self.rng);
        if admitted {
            self.retry_budgets.earn();
        }
        if !admitted || !self.send_to_selected(now, request.id, actions) {
            self.finish(request.id, false, actions);
        }
    }

    /// Whether a request has the time that its class takes, the longer the more of a crowd is met, or by chance the part
    /// that it has suffices: what can't end in time keeps others out, but a usual time learned too long must not stand.
    fn can_meet_deadline(&mut self, now: f64, id: RequestId) -> bool {
        let Some(pending) = self.requests.get(id) else { return false };
        let left = pending.useful_until() - now;
        let usual = self.latencies[pending.class.0].seconds() * self.admission.congestion().slowdown();
        left >= usual || left > usual * self.rng.rand_float()
    }

    fn send_to_selected(&mut self, now: f64, id: RequestId, actions: &mut Vec<Action>) -> bool {
        self.pick(now, id).is_some_and(|slot| self.send(now, id, slot, actions))
    }

    /// Picks an upstream: two draws from the own zone's members or, for what the own zone's suppressor
    /// declines, from the others; then whatever is left.
    fn pick(&mut self, now: f64, id: RequestId) -> Option<usize> {
        let pending = self.requests.get(id)?;
        if let Effect::Keyed { scope, .. } = pending.rules().effect
            && let Some(&Attempt { member, .. }) = pending.first_run().filter(|_| scope != DedupScope::All)
        {
            let kin = |&&slot: &&usize| {
                let Member { zone, cell, .. } = self.endpoints[slot].member;
                if scope == DedupScope::Zone { zone == member.zone } else { cell == member.cell }
            };
            let members: Vec<usize> = self.ready.iter().filter(kin).copied().collect();
            return self.less_busy_of_two(now, id, &members);
        }
        let [local, remote] =
            [&self.subset.local, &self.subset.remote].map(|group| Arc::clone(&group.members));
        let starts_local = remote.is_empty()
            || (!local.is_empty() && self.rng.rand_float() < self.subset.local_fraction.unwrap_or(1.0));
        let (first, second) = if starts_local { (&local, &remote) } else { (&remote, &local) };
        self.less_busy_of_two(now, id, first)
            .or_else(|| self.less_busy_of_two(now, id, second))
            .or_else(|| self.least_busy_untried(now, id, first))
            .or_else(|| self.least_busy_untried(now, id, second))
    }

    /// The less busy of two random members, by own calls in flight. Where both are busier than the members
    /// are on average, two others are drawn, a few times: many copies that each see few calls would otherwise
    /// pile on a server by chance until it chokes.
    fn less_busy_of_two(&mut self, now: f64, id: RequestId, from: &[usize]) -> Option<usize> {
        let mut best: Option<usize> = None;
        let average = f64::from(self.subset.in_flight) / self.subset.size.max(1) as f64;
        for _ in 0..PAIRS {
            for _ in 0..2 {
                let Some(slot) = self.draw_candidate(now, id, from) else { continue };
                let cost = |slot: usize| self.endpoints[slot].cost(now, &self.settings);
                best = best.filter(|&best| cost(best) <= cost(slot)).or(Some(slot));
            }
            if best.is_none_or(|best| f64::from(self.endpoints[best].cost(now, &self.settings)) <= average) {
                break;
            }
        }
        best
    }

    fn draw_candidate(&mut self, now: f64, id: RequestId, from: &[usize]) -> Option<usize> {
        let pending = self.requests.get(id).filter(|_| !from.is_empty())?;
        let usual = self.latencies[pending.class.0].seconds();
        for _ in 0..DRAWS {
            let slot = from[self.rng.rand_range(0..from.len() as u64) as usize];
            let endpoint = &self.endpoints[slot];
            let silent =
                endpoint.in_flight > 0 && now - endpoint.last_answer > (usual * STALL.0).max(STALL.1);
            if !self.open(id, slot) || endpoint.ejected_until > now || silent {
                continue;
            }
            // Its own or, before the first latency, that of its kind.
            let samples = endpoint.latency_samples > 0.0;
            let slowness = if samples { endpoint.slowness } else { self.kind_slowness[endpoint.kind] };
            let chance = endpoint.member.weight / self.largest_weight
                * endpoint.warm_fraction(now, &self.settings)
                * endpoint.recovery_chance
                * (self.tier_slowness / slowness).powi(2).clamp(SLOW_CHANCE, 1.0);
            if self.rng.rand_float() < chance && self.slow_start_allows(now, slot) {
                return Some(slot);
            }
        }
        None
    }

    /// Whether an upstream may be sent to at all and has not had this request yet.
    fn open(&self, id: RequestId, slot: usize) -> bool {
        let endpoint = &self.endpoints[slot];
        let available = |pending: &PendingRequest| {
            pending.attempts.iter().any(|tried| tried.member.id == endpoint.member.id)
        };
        endpoint.member.phase == Phase::Ready && !self.requests.get(id).is_some_and(available)
    }

    /// A member that may be sent to at all, the least busy, when draws found none.
    fn least_busy_untried(&mut self, now: f64, id: RequestId, from: &[usize]) -> Option<usize> {
        let mut left: Vec<usize> = from.iter().copied().filter(|&slot| self.open(id, slot)).collect();
        left.sort_by_key(|&slot| self.endpoints[slot].in_flight);
        left.into_iter().find(|&slot| self.slow_start_allows(now, slot))
    }

    /// Whether a cold upstream's budget holds another send. A copy gives it, of what a warm peer gets from
    /// the same copy, the part that it surely can do; summed over the copies that stays within its capacity,
    /// whoever else sends. Where no peer is warm, its own answers earn further sends, a few more than they are: what
    /// all copies together get answered is what it can do, so that their sum stays little above it.
    fn slow_start_allows(&mut self, now: f64, slot: usize) -> bool {
        let endpoint = &mut self.endpoints[slot];
        let warm_fraction = endpoint.warm_fraction(now, &self.settings);
        if warm_fraction >= 1.0 {
            return true;
        }
        let group = if endpoint.local { &self.subset.local } else { &self.subset.remote };
        let mut rate = warm_fraction * group.warm_rate;
        let mut most = 1.0 + rate * 0.5;
        if group.all_warming_up {
            let window = self.settings.rules.overload_window.as_secs_f64().max(MAINTENANCE_PERIOD_S);
            let room = overload_headroom(&self.settings.rules);
            most = 1.0 + room * window * endpoint.answer_rate;
            rate = room * rate + COLD_FIRST / (window * group.sharers(self.settings.copies));
        }
        endpoint.tokens = (endpoint.tokens + rate * (now - endpoint.tokens_at)).min(most);
        endpoint.tokens_at = now;
        endpoint.tokens >= 1.0
    }

    /// The ONE gate that every attempt passes; it keeps the rules on effects, drains and cold upstreams.
    fn send(&mut self, now: f64, id: RequestId, slot: usize, actions: &mut Vec<Action>) -> bool {
        let too_cold = !self.slow_start_allows(now, slot);
        let Some(pending) = self.requests.get_mut(id) else { return false };
        let endpoint = &mut self.endpoints[slot];
        let timeout = pending.useful_until() - now;
        let allowed = self.settings.allowed.attempts.min(pending.settings.allowed.attempts) as usize;
        let left = may_repeat(now, pending.rules().effect, pending.first_run(), &endpoint.member);
        if too_cold
            || left.is_none()
            || timeout < MIN_TIMEOUT_S
            || pending.closed
            || pending.streaming
            || endpoint.member.phase != Phase::Ready
            || pending.attempts.len() >= allowed
            || (pending.in_flight > 0 && !self.settings.allowed.second_copies)
        {
            return false;
        }
        if endpoint.in_flight == 0 {
            endpoint.last_answer = now;
        }
        if !endpoint.has_free_stream(now, &self.settings.allowed) {
            endpoint.count_connection(now, &self.settings.allowed);
        }
        endpoint.used = now;
        endpoint.in_flight += 1;
        self.subset.in_flight += 1;
        endpoint.tokens -= 1.0;
        let member = endpoint.member;
        pending.attempts.push(Attempt::new(slot, member, now));
        pending.in_flight += 1;
        let last =
            pending.attempts.len() >= self.ready.len().min(allowed) || !self.retry_budgets.allow_reroute();
        let [timeout, begin_within] = [Some(timeout), left].map(|s| Duration::try_from_secs_f64(s?).ok());
        actions.push(Action::Send { request: id, upstream: member.id, timeout, begin_within, last });
        true
    }

    /// The ONE path that ends a request unserved: refused where that is true and invites no wrong one again.
    fn finish(&mut self, id: RequestId, wrong: bool, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(id).filter(|pending| !pending.closed) else { return };
        let harmless = pending.first_run().is_none()
            || matches!(pending.rules().effect, Effect::Safe | Effect::Keyed { scope: DedupScope::All, .. });
        let refusal = Action::Refuse { request: id, retry_after: self.settings.allowed.retry_after };
        actions.push(if harmless && !wrong { refusal } else { Action::Fail { request: id } });
        self.close(id, actions);
    }

    /// Marks a request as ended and calls off what is still out for it.
    fn close(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        self.requests.close(id, self.settings.allowed.cancel, actions);
    }

    fn attempt_ended(&mut self, now: f64, id: RequestId, end: AttemptEnd, actions: &mut Vec<Action>) {
        let AttemptEnd { number, outcome, finished, .. } = end;
        let Some(pending) = self.requests.get_mut(id) else { return };
        let Some(slot) = pending.end_attempt(&end) else { return };
        let PendingRequest { class, tenant, arrived, connecting, .. } = *pending;
        let turned_away = pending.was_tried_before(number);
        self.subset.in_flight = self.subset.in_flight.saturating_sub(1);
        let (closed, idle) = (pending.closed || finished, pending.in_flight == 0);
        self.record_outcome(now, slot, class, end);
        if closed {
            self.close(id, actions);
        }
        let again = idle && self.retry(now, id, outcome, actions);
        if idle && !again {
            self.finish(id, outcome == Outcome::Rejected, actions);
        }
        // A call that was turned away and went elsewhere has met no crowd yet: behind a broken link or one
        // full server the tenant's limit would drop although its calls are served. Refusals by two servers in
        // a row are a crowd.
        let refusals = outcome == Outcome::Refused && turned_away;
        if refusals || !(again && outcome.never_ran()) {
            let AttemptEnd { outcome, served, aim, .. } = end;
            let call = CallEnd { tenant, outcome, served, aim, arrived, connecting };
            let tier = TierState {
                is_first: self.settings.tier == 0,
                failure_rate: self.tier_failures,
                available: self.subset.available,
            };
            let baseline = &mut self.latencies[class.0];
            self.admission.record_call_end(now, &call, baseline, tier, &mut self.rng);
        }
    }

    fn retry(&mut self, now: f64, id: RequestId, outcome: Outcome, actions: &mut Vec<Action>) -> bool {
        let over =
            matches!(outcome, Outcome::NotSent | Outcome::Rejected) || !self.can_meet_deadline(now, id);
        if over || !self.retry_budgets.allow_retry_after(outcome) || !self.send_to_selected(now, id, actions)
        {
            return false;
        }
        self.retry_budgets.spend(outcome);
        true
    }

    /// What an outcome tells of its upstream and of the zones.
    fn record_outcome(&mut self, now: f64, slot: usize, class: ClassId, end: AttemptEnd) {
        let AttemptEnd { outcome, took, served, aim, .. } = end;
        let usual = self.latencies[class.0].seconds();
        let endpoint = &mut self.endpoints[slot];
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        endpoint.used = now;
        // A connection goes with what broke it and, where it carries one attempt at a time, with an answer
        // that is no longer waited for.
        let given_up = matches!(outcome, Outcome::TimedOut | Outcome::Withdrawn);
        let unreachable = matches!(outcome, Outcome::ConnectFailed | Outcome::ConnectTimedOut);
        let broken = unreachable || outcome == Outcome::Reset;
        let lost = broken || (given_up && self.settings.allowed.streams == 1);
        endpoint.connections = endpoint.connections.saturating_sub(u32::from(lost));
        let last_answer = !unreachable && !given_up && outcome != Outcome::NotSent;
        if last_answer {
            endpoint.last_answer = now;
            if !broken {
                self.admission.record_answer(now);
            }
        }
        if outcome == Outcome::ConnectTimedOut {
            endpoint.connect_timeouts += 1;
        } else if last_answer || (given_up && served > 0.0) {
            endpoint.mark_reachable();
        }
        // A rejection tells of the caller, not of the upstream.
        if matches!(outcome, Outcome::NotSent | Outcome::Withdrawn | Outcome::Rejected) {
            return;
        }
        let warm = endpoint.warm_fraction(now, &self.settings) >= 1.0;
        let group = if endpoint.local { &mut self.subset.local } else { &mut self.subset.remote };
        group.warm_served += u32::from(warm && outcome == Outcome::Good);
        endpoint.served += u32::from(outcome == Outcome::Good);
        if group.all_warming_up && !warm && outcome == Outcome::Good {
            let growth = overload_headroom(&self.settings.rules).min(COLD_GROWTH_MOST);
            endpoint.tokens += if took <= aim { 1.0 + growth } else { COLD_LATE };
        }
        let delay =
            if matches!(outcome, Outcome::Good | Outcome::Error) { took } else { took.max(aim) } / aim;
        group.delay += DELAY_WEIGHT * (delay - group.delay);
        // No work is told by a late connection, nor by a time-out before which it left less than the usual time.
        let late = outcome == Outcome::ConnectTimedOut;
        if late || outcome == Outcome::TimedOut && served < usual {
            if late && endpoint.connect_timeouts.is_multiple_of(UNREACHABLE_AFTER) {
                self.eject_if_outlier(now, slot, true);
            }
            return;
        }
        let failed = !matches!(outcome, Outcome::Good | Outcome::Refused);
        endpoint.failures += FAIL_WEIGHT * (f64::from(u8::from(failed)) - endpoint.failures);
        // A failed connect is that upstream's own: behind a broken link, counting it for the tier would make
        // many lost upstreams look like crowding below, and none would be set aside.
        if outcome != Outcome::ConnectFailed {
            self.tier_failures += TIER_WEIGHT * (f64::from(u8::from(failed)) - self.tier_failures);
        }
        if usual > 0.0 && matches!(outcome, Outcome::Good | Outcome::TimedOut) {
            let times = (served / usual).min(8.0);
            let kind = &mut self.kind_slowness[endpoint.kind];
            if endpoint.latency_samples == 0.0 {
                endpoint.slowness = *kind;
            }
            endpoint.latency_samples += 1.0;
            endpoint.slowness +=
                SLOW_WEIGHT.max(1.0 / (endpoint.latency_samples + 1.0)) * (times - endpoint.slowness);
            if outcome == Outcome::Good {
                *kind += KIND_SLOW_WEIGHT * (times.min(KIND_SLOW_MOST) - *kind);
            }
            self.tier_slowness += TIER_WEIGHT * (times - self.tier_slowness);
        }
        if outcome == Outcome::Good {
            endpoint.recovery_chance = (endpoint.recovery_chance * 2.0).min(1.0);
            if endpoint.recovery_chance >= 1.0 {
                endpoint.ejection_s = ASIDE_S.0;
            }
        } else if failed {
            self.eject_if_outlier(now, slot, unreachable);
        }
    }

    /// Sets an upstream aside where it fails and the tier does not; one out of reach in any case.
    fn eject_if_outlier(&mut self, now: f64, slot: usize, out_of_reach: bool) {
        let endpoint = &self.endpoints[slot];
        let tier = if out_of_reach { 0.0 } else { FAIL_OVER.1 * self.tier_failures };
        let stays = endpoint.failures < FAIL_OVER.0 + tier && endpoint.connect_timeouts < UNREACHABLE_AFTER;
        if stays || endpoint.ejected_until > now {
            return;
        }
        let group = if endpoint.local { &self.subset.local } else { &self.subset.remote };
        let aside = group.members.iter().filter(|&&slot| self.endpoints[slot].ejected_until > now).count();
        if !out_of_reach && (aside + 1) as f64 > (group.members.len() as f64 * ASIDE_MOST).max(1.0) {
            return;
        }
        let endpoint = &mut self.endpoints[slot];
        endpoint.ejected_until = now + endpoint.ejection_s * between(&mut self.rng, 0.75..1.25);
        endpoint.ejection_s = (endpoint.ejection_s * 2.0).min(ASIDE_S.1);
        endpoint.recovery_chance = RETURN_AT;
    }

    // --- Sweep ---

    fn sweep(&mut self, now: f64, actions: &mut Vec<Action>) {
        self.schedule_next_sweep(now, actions);
        self.admission.maintain(now);
        // Quotas are parts of a whole tier: while some is gone, cold or set aside, the rest would choke.
        let has = |&slot: &usize| {
            let endpoint = &self.endpoints[slot];
            // The first time that connect timeouts put it aside a connection that is just late comes up.
            let late =
                endpoint.connect_timeouts >= UNREACHABLE_AFTER && endpoint.ejection_s <= ASIDE_S.0 * 2.0;
            if endpoint.ejected_until > now && !late {
                0.0
            } else {
                endpoint.warm_fraction(now, &self.settings)
            }
        };
        let Subset { local, remote, first, size, .. } = &self.subset;
        let part = local.members.iter().chain(&*remote.members).map(has).sum::<f64>() / (*size).max(1) as f64;
        let ready = self.ready.len() as f64 / (*first).max(1) as f64;
        self.subset.available = (part * ready).clamp(HAD_LEAST, 1.0);
        self.subset.adapt_local_fraction(self.settings.prices.cross_zone, &mut self.rng);
        for group in [&mut self.subset.local, &mut self.subset.remote] {
            let warm = group.members.iter().filter(|&slot| has(slot) >= 1.0).count();
            group.learn_warm_rate(warm);
        }
        for endpoint in &mut self.endpoints {
            let rate = f64::from(take(&mut endpoint.served)) / MAINTENANCE_PERIOD_S;
            endpoint.answer_rate += 0.2 * (rate - endpoint.answer_rate);
        }
    }
}
