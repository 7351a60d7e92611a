//! Joins the components: takes in events and gives the actions. It owns the random source.
//!
//! ONE gate, [`Balancer::send`], lets attempts out, and ONE path, [`Balancer::finish`], ends requests unserved.

use std::mem::{replace, take};
use std::sync::Arc;
use std::time::Duration;

use oorandom::Rand64;
use rustc_hash::FxHashMap;

use crate::admission::adaptive_limit::{CHANCE, LearnedLimit, REOPEN, limits};
use crate::admission::baseline_latency::{Latency, TYPICAL};
use crate::admission::congestion::{
    BEFORE_DROP, CROWDED, CROWDED_ERRORS, CROWDED_MOST, CROWDING, DROP_EVERY_S, WHOLE,
};
use crate::admission::suppression::{BUCKET_S, CALLS, LAST_SECOND, Suppressor, WINDOW_S};
use crate::endpoints::endpoint::Upstream;
use crate::endpoints::endpoint_list::{ASK_PART, RESUBSCRIBE_S};
use crate::endpoints::outlier::{
    ASIDE_MOST, ASIDE_S, DELAY_WEIGHT, FAIL_OVER, FAIL_WEIGHT, KIND_SLOW_MOST, KIND_SLOW_WEIGHT,
    LATE_IN_A_ROW, RETURN_AT, SLOW_WEIGHT, STALL, TIER_WEIGHT,
};
use crate::endpoints::slow_start::{COLD_FIRST, COLD_GROWTH_MOST, COLD_LATE, cold_room};
use crate::interface::{
    Action, ClassId, DedupScope, DiscoveryMode, Effect, Event, KindId, ListUpdate, Member, Outcome, Phase,
    Request, RequestId, Settings, SettingsError, TenantId, Time, UpstreamId,
};
use crate::random::between;
use crate::requests::attempt::{Attempt, Ending, LEAST_S};
use crate::requests::idempotency::may_repeat;
use crate::requests::request_table::{Entry, Ledger};
use crate::requests::retry_budget::{REPEATS, REROUTES};
use crate::routing::selection::{DRAWS, PAIRS, SLOW_CHANCE};
use crate::routing::subset::{HAD_LEAST, Subset, arc};

/// Seconds between sweeps.
pub const SWEEP_S: f64 = 0.2;

/// One copy's decisions.
#[derive(Debug)]
pub struct Balancer {
    settings: Arc<Settings>,
    rng: Rand64,
    suppressors: Vec<Suppressor>,
    limits: Vec<LearnedLimit>,
    subset: Subset,
    upstreams: Vec<Upstream>,
    slots: FxHashMap<UpstreamId, usize>,
    free: Vec<usize>,
    ready: Vec<usize>,
    /// Share of the calls that met crowding lately and its spread (a variance), and the times of the latest drop
    /// and of the next at the earliest.
    crowding: (f64, f64),
    drops: (f64, f64),
    /// Time of the latest answer of any upstream, and the calls since that ended with no connection.
    answered: (f64, u32),
    tier_failures: f64,
    tier_slowness: f64,
    /// Slowness of each kind of machine and, last, of those of no known kind: what is expected of an upstream
    /// not yet measured.
    kind_slowness: Vec<f64>,
    latencies: Vec<Latency>,
    ledger: Ledger,
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
        let limits = limits(&settings);
        let mut suppressors: Vec<_> = settings.tenants.iter().map(|_| Suppressor::new(BUCKET_S)).collect();
        let fair = limits[suppressors.len()].fair;
        suppressors.push(Suppressor::new(BUCKET_S * (CALLS / (fair * WINDOW_S)).clamp(1.0, 4.0)));
        Ok(Self {
            rng: Rand64::new(u128::from(seed)),
            suppressors,
            limits,
            subset: Subset { had: 1.0, ..Subset::default() },
            upstreams: Vec::new(),
            slots: FxHashMap::default(),
            free: Vec::new(),
            ready: Vec::new(),
            crowding: (0.0, 0.0),
            drops: (0.0, 0.0),
            answered: (f64::MIN, 0),
            tier_failures: 0.0,
            tier_slowness: 1.0,
            kind_slowness: vec![1.0; settings.kinds + 1],
            latencies: vec![Latency::default(); settings.classes.len()],
            ledger: Ledger { budgets: [REPEATS.1 / 2.0, REROUTES.1 / 2.0], ..Ledger::default() },
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
            Event::Started => self.keep_going(now, actions),
            Event::List(update) => self.learn_list(now, update),
            Event::Request(request) => self.take(now, request, actions),
            Event::StreamStarted { request, attempt } => {
                let Some(entry) = self.ledger.entries.get_mut(&request) else { return };
                entry.streaming = true;
                if self.settings.allowed.cancel {
                    entry.withdraw(request, Some(attempt), actions);
                }
            }
            Event::AttemptEnded { request, attempt: number, outcome, took, connecting, finished, .. } => {
                let unconnected = if outcome == Outcome::ConnectTimedOut { took } else { connecting };
                let served = took.saturating_sub(unconnected).as_secs_f64();
                let Some(entry) = self.ledger.entries.get(&request) else { return };
                let (took, aim) = (took.as_secs_f64(), entry.rules().aim.as_secs_f64());
                let end = Ending { number, outcome, took, served, aim, finished };
                self.attempt_ended(now, request, end, actions);
            }
            Event::Connected(upstream) => {
                let Some(&slot) = self.slots.get(&upstream) else { return };
                self.upstreams[slot].opened(now, &self.settings.allowed);
                self.upstreams[slot].reached();
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
        let (before, after) = (self.settings.tenants.len(), settings.tenants.len());
        let fresh = limits(&settings);
        // New tenants come before the last place, which is that of all together.
        drop(self.limits.splice(before..before, fresh[before..after].iter().copied()));
        drop(self.suppressors.splice(before..before, (before..after).map(|_| Suppressor::new(BUCKET_S))));
        for (limit, fresh) in self.limits.iter_mut().zip(fresh) {
            *limit = limit.under(fresh);
        }
        self.latencies.resize(settings.classes.len(), Latency::default());
        let laid_from = replace(&mut self.settings, Arc::new(settings)).copies;
        if laid_from != self.settings.copies && self.subset.stay.is_some() {
            self.rebuild();
        }
    }

    /// How the limits and the tier stand, for the operator's log.
    #[must_use]
    pub fn vitals(&self) -> String {
        let rates: String = self.limits.iter().map(|l| format!(" {:.1}", l.rate.min(1e6))).collect();
        let usual: String = self.latencies.iter().map(|l| format!(" {:.0}", l.seconds() * 1e3)).collect();
        let (crowding, failures, had) = (self.crowding.0, self.tier_failures, self.subset.had);
        format!("crowding {crowding:.2}, failing {failures:.2}, had {had:.2}, limits{rates}, usual ms{usual}")
    }

    // --- Discovery ---

    /// Asks for the next sweep and, where it is time, for the list.
    fn keep_going(&mut self, now: f64, actions: &mut Vec<Action>) {
        actions.push(Action::WakeAfter(Duration::from_secs_f64(SWEEP_S)));
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
            self.ask_at = now + between(&mut self.rng, (self.backoff_s / 2.0, self.backoff_s));
            return;
        };
        if !stale {
            (self.ask_at, self.backoff_s) = (f64::MAX, 0.0);
        }
        if whole {
            self.upstreams.iter_mut().for_each(|upstream| upstream.member.phase = Phase::Gone);
        }
        members.into_iter().for_each(|member| self.learn_member(now, member));
        self.rebuild();
    }

    fn learn_member(&mut self, now: f64, member: Member) {
        if let Some(&slot) = self.slots.get(&member.id) {
            let upstream = &mut self.upstreams[slot];
            if replace(&mut upstream.member, member).started != member.started {
                // A new process knows nothing of what the old one did.
                let Upstream { in_flight, home, kind, .. } = *upstream;
                *upstream = Upstream { in_flight, home, kind, ..Upstream::new(member, now, &mut self.rng) };
            }
        } else if member.phase != Phase::Gone {
            let upstream = Upstream::new(member, now, &mut self.rng);
            // A free place or a new one behind the last.
            let slot = self.free.pop().unwrap_or(self.upstreams.len());
            self.upstreams.splice(slot..self.upstreams.len().min(slot + 1), [upstream]);
            self.slots.insert(member.id, slot);
        }
    }

    /// Lays out the subset anew, after a list event or with another number of copies.
    fn rebuild(&mut self) {
        let mut order: Vec<(UpstreamId, usize)> = self.slots.iter().map(|(&id, &slot)| (id, slot)).collect();
        order.sort_unstable();
        self.ready.clear();
        self.largest_weight = 1e-9;
        let (mut home, mut away) = (Vec::new(), Vec::new());
        for (id, slot) in order {
            let upstream = &mut self.upstreams[slot];
            if upstream.member.phase != Phase::Ready {
                if upstream.member.phase == Phase::Gone && upstream.in_flight == 0 {
                    self.slots.remove(&id);
                    self.free.push(slot);
                }
                continue;
            }
            upstream.home = upstream.member.zone == Some(self.settings.zone);
            let kinds = self.settings.kinds;
            upstream.kind = upstream.member.kind.map_or(kinds, |KindId(kind)| kind.min(kinds));
            self.largest_weight = self.largest_weight.max(upstream.member.weight);
            self.ready.push(slot);
            if upstream.home { home.push(slot) } else { away.push(slot) }
        }
        self.subset.first = if self.subset.first > 0 { self.subset.first } else { self.ready.len() };
        self.subset.home.listed = home.len();
        self.subset.away.listed = away.len();
        // Below the first tier the callers stand where the tier above was spread to.
        let stay = if self.settings.tier == 0 { self.subset.even() } else { 1.0 };
        self.subset.stay.get_or_insert(stay);
        let (index, copies) = (self.settings.index, self.settings.copies);
        let here = f64::from(copies) / self.settings.zones as f64;
        let lay = |slots: &[usize], sharers| {
            arc(index, copies, sharers, slots.len()).map(|place| slots[place]).collect()
        };
        self.subset.home.members = lay(&home, here);
        self.subset.away.members = lay(&away, f64::from(copies));
        self.subset.size = self.subset.home.members.len() + self.subset.away.members.len();
    }

    // --- A request's way ---

    fn take(&mut self, now: f64, request: Request, actions: &mut Vec<Action>) {
        // An id in use or a class that the settings do not have is the embedding program's mistake.
        if self.ledger.entries.contains_key(&request.id) {
            return;
        }
        if request.class.0 >= self.settings.classes.len() {
            return actions.push(Action::Refuse { request: request.id, retry_after: None });
        }
        let last = self.settings.tenants.len().saturating_sub(1);
        let tenant = request.tenant.map_or(0, |TenantId(tenant)| tenant.min(last));
        let entry = Entry {
            settings: Arc::clone(&self.settings),
            class: request.class,
            tenant,
            arrived: now,
            deadline: now + request.time_left.as_secs_f64(),
            attempts: Vec::new(),
            connecting: 0.0,
            out: 0,
            closed: false,
            streaming: false,
        };
        self.ledger.entries.insert(request.id, entry);
        let admitted = self.admit(now, request.id, tenant);
        // Only admitted calls earn further attempts: a storm of denied ones must not pay for them.
        let earned = if admitted { [REPEATS, REROUTES].as_slice() } else { &[] };
        for (budget, (each, most)) in self.ledger.budgets.iter_mut().zip(earned) {
            *budget = (*budget + each).min(*most);
        }
        if !admitted || !self.send_somewhere(now, request.id, actions) {
            self.finish(request.id, false, actions);
        }
    }

    /// A tenant over its fair part must also find room in what all tenants of this copy may send: the chance
    /// allowed to each of many small limits, over all copies, would add up to more than the tier.
    fn admit(&mut self, now: f64, id: RequestId, tenant: usize) -> bool {
        let hopeful = self.is_hopeful(now, id);
        let Self { suppressors, limits, rng, subset: Subset { had, .. }, .. } = self;
        let all = limits.len() - 1;
        // Each tenant's part of what they may send together is its own.
        let rate = limits[all].rate * *had;
        let level = (rate / limits[all].fair).min(1.0);
        let own = suppressors[tenant].fits(now, limits[tenant].fair * level, rng);
        let mut admitted = hopeful && suppressors[tenant].admit(now, limits[tenant].rate, rng);
        if admitted && all != tenant {
            admitted = own || suppressors[all].fits(now, rate, rng);
            suppressors[all].count(admitted);
        }
        suppressors[tenant].count(admitted);
        admitted
    }

    /// Whether a request has the time that its class takes, the longer the more of a crowd is met, or by chance the part
    /// that it has suffices: what can't end in time keeps others out, but a usual time learned too long must not stand.
    fn is_hopeful(&mut self, now: f64, id: RequestId) -> bool {
        let Some(entry) = self.ledger.entries.get(&id) else { return false };
        let left = entry.useful_until() - now;
        let usual = self.latencies[entry.class.0].seconds() * self.crowding.0.clamp(0.0, 1.0).exp();
        left >= usual || left > usual * self.rng.rand_float()
    }

    fn send_somewhere(&mut self, now: f64, id: RequestId, actions: &mut Vec<Action>) -> bool {
        self.pick(now, id).is_some_and(|slot| self.send(now, id, slot, actions))
    }

    /// Picks an upstream: two draws from the own zone's members or, for what the own zone's suppressor
    /// declines, from the others; then whatever is left.
    fn pick(&mut self, now: f64, id: RequestId) -> Option<usize> {
        let entry = self.ledger.entries.get(&id)?;
        if let Effect::Keyed { scope, .. } = entry.rules().effect
            && let Some(&Attempt { member, .. }) = entry.first_run().filter(|_| scope != DedupScope::All)
        {
            let kin = |&&slot: &&usize| {
                let Member { zone, cell, .. } = self.upstreams[slot].member;
                if scope == DedupScope::Zone { zone == member.zone } else { cell == member.cell }
            };
            let members: Vec<usize> = self.ready.iter().filter(kin).copied().collect();
            return self.draw_two(now, id, &members);
        }
        let [home, away] = [&self.subset.home, &self.subset.away].map(|group| Arc::clone(&group.members));
        let at_home =
            away.is_empty() || (!home.is_empty() && self.rng.rand_float() < self.subset.stay.unwrap_or(1.0));
        let (first, second) = if at_home { (&home, &away) } else { (&away, &home) };
        self.draw_two(now, id, first)
            .or_else(|| self.draw_two(now, id, second))
            .or_else(|| self.any_left(now, id, first))
            .or_else(|| self.any_left(now, id, second))
    }

    /// The less busy of two random members, by own calls in flight. Where both are busier than the members
    /// are on average, two others are drawn, a few times: many copies that each see few calls would otherwise
    /// pile on a server by chance until it chokes.
    fn draw_two(&mut self, now: f64, id: RequestId, from: &[usize]) -> Option<usize> {
        let mut best: Option<usize> = None;
        let average = f64::from(self.subset.in_flight) / self.subset.size.max(1) as f64;
        for _ in 0..PAIRS {
            for _ in 0..2 {
                let Some(slot) = self.draw(now, id, from) else { continue };
                let cost = |slot: usize| self.upstreams[slot].cost(now, &self.settings);
                best = best.filter(|&best| cost(best) <= cost(slot)).or(Some(slot));
            }
            if best.is_none_or(|best| f64::from(self.upstreams[best].cost(now, &self.settings)) <= average) {
                break;
            }
        }
        best
    }

    fn draw(&mut self, now: f64, id: RequestId, from: &[usize]) -> Option<usize> {
        let entry = self.ledger.entries.get(&id).filter(|_| !from.is_empty())?;
        let usual = self.latencies[entry.class.0].seconds();
        for _ in 0..DRAWS {
            let slot = from[self.rng.rand_range(0..from.len() as u64) as usize];
            let upstream = &self.upstreams[slot];
            let silent = upstream.in_flight > 0 && now - upstream.heard > (usual * STALL.0).max(STALL.1);
            if !self.open(id, slot) || upstream.aside_until > now || silent {
                continue;
            }
            // Its own or, before the first latency, that of its kind.
            let known = upstream.measured > 0.0;
            let slowness = if known { upstream.slowness } else { self.kind_slowness[upstream.kind] };
            let chance = upstream.member.weight / self.largest_weight
                * upstream.warmth(now, &self.settings)
                * upstream.returning
                * (self.tier_slowness / slowness).powi(2).clamp(SLOW_CHANCE, 1.0);
            if self.rng.rand_float() < chance && self.cold_allows(now, slot) {
                return Some(slot);
            }
        }
        None
    }

    /// Whether an upstream may be sent to at all and has not had this request yet.
    fn open(&self, id: RequestId, slot: usize) -> bool {
        let upstream = &self.upstreams[slot];
        let had = |entry: &Entry| entry.attempts.iter().any(|tried| tried.member.id == upstream.member.id);
        upstream.member.phase == Phase::Ready && !self.ledger.entries.get(&id).is_some_and(had)
    }

    /// A member that may be sent to at all, the least busy, when draws found none.
    fn any_left(&mut self, now: f64, id: RequestId, from: &[usize]) -> Option<usize> {
        let mut left: Vec<usize> = from.iter().copied().filter(|&slot| self.open(id, slot)).collect();
        left.sort_by_key(|&slot| self.upstreams[slot].in_flight);
        left.into_iter().find(|&slot| self.cold_allows(now, slot))
    }

    /// Whether a cold upstream's budget holds another send. A copy gives it, of what a warm peer gets from
    /// the same copy, the part that it surely can do; summed over the copies that stays within its capacity,
    /// whoever else sends. Where no peer is warm, its own answers earn further sends, a few more than they are: what
    /// all copies together get answered is what it can do, so that their sum stays little above it.
    fn cold_allows(&mut self, now: f64, slot: usize) -> bool {
        let upstream = &mut self.upstreams[slot];
        let warmth = upstream.warmth(now, &self.settings);
        if warmth >= 1.0 {
            return true;
        }
        let group = if upstream.home { &self.subset.home } else { &self.subset.away };
        let mut rate = warmth * group.warm_rate;
        let mut most = 1.0 + rate * 0.5;
        if group.all_cold {
            let window = self.settings.rules.overload_window.as_secs_f64().max(SWEEP_S);
            let room = cold_room(&self.settings.rules);
            most = 1.0 + room * window * upstream.served_rate;
            rate = room * rate + COLD_FIRST / (window * group.sharers(self.settings.copies));
        }
        upstream.tokens = (upstream.tokens + rate * (now - upstream.tokens_at)).min(most);
        upstream.tokens_at = now;
        upstream.tokens >= 1.0
    }

    /// The ONE gate that every attempt passes; it keeps the rules on effects, drains and cold upstreams.
    fn send(&mut self, now: f64, id: RequestId, slot: usize, actions: &mut Vec<Action>) -> bool {
        let too_cold = !self.cold_allows(now, slot);
        let Some(entry) = self.ledger.entries.get_mut(&id) else { return false };
        let upstream = &mut self.upstreams[slot];
        let timeout = entry.useful_until() - now;
        let allowed = self.settings.allowed.attempts.min(entry.settings.allowed.attempts) as usize;
        let left = may_repeat(now, entry.rules().effect, entry.first_run(), &upstream.member);
        if too_cold
            || left.is_none()
            || timeout < LEAST_S
            || entry.closed
            || entry.streaming
            || upstream.member.phase != Phase::Ready
            || entry.attempts.len() >= allowed
            || (entry.out > 0 && !self.settings.allowed.second_copies)
        {
            return false;
        }
        if upstream.in_flight == 0 {
            upstream.heard = now;
        }
        if !upstream.has_room(now, &self.settings.allowed) {
            upstream.opened(now, &self.settings.allowed);
        }
        upstream.used = now;
        upstream.in_flight += 1;
        self.subset.in_flight += 1;
        upstream.tokens -= 1.0;
        let member = upstream.member;
        entry.attempts.push(Attempt { slot, member, sent: now, ended: None, withdrawn: false });
        entry.out += 1;
        let last = entry.attempts.len() >= self.ready.len().min(allowed) || self.ledger.budgets[1] < 1.0;
        let [timeout, begin_within] = [Some(timeout), left].map(|s| Duration::try_from_secs_f64(s?).ok());
        actions.push(Action::Send { request: id, upstream: member.id, timeout, begin_within, last });
        true
    }

    /// The ONE path that ends a request unserved: refused where that is true and invites no wrong one again.
    fn finish(&mut self, id: RequestId, wrong: bool, actions: &mut Vec<Action>) {
        let Some(entry) = self.ledger.entries.get(&id).filter(|entry| !entry.closed) else { return };
        let harmless = entry.first_run().is_none()
            || matches!(entry.rules().effect, Effect::Safe | Effect::Keyed { scope: DedupScope::All, .. });
        let refusal = Action::Refuse { request: id, retry_after: self.settings.allowed.retry_after };
        actions.push(if harmless && !wrong { refusal } else { Action::Fail { request: id } });
        self.close(id, actions);
    }

    /// Marks a request as ended and calls off what is still out for it.
    fn close(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(entry) = self.ledger.entries.get_mut(&id) else { return };
        entry.closed = true;
        if self.settings.allowed.cancel && !entry.streaming {
            entry.withdraw(id, None, actions);
        }
        if entry.out == 0 {
            self.ledger.entries.remove(&id);
        }
    }

    fn attempt_ended(&mut self, now: f64, id: RequestId, end: Ending, actions: &mut Vec<Action>) {
        let Ending { number, outcome, finished, .. } = end;
        let Some(entry) = self.ledger.entries.get_mut(&id) else { return };
        let attempt = entry.attempts.get_mut(number.0 as usize);
        let Some(attempt) = attempt.filter(|attempt| attempt.ended.is_none()) else { return };
        let slot = attempt.slot;
        attempt.ended = Some(outcome);
        entry.out -= 1;
        self.subset.in_flight = self.subset.in_flight.saturating_sub(1);
        entry.connecting += end.took - end.served;
        let Entry { class, tenant, arrived, connecting, .. } = *entry;
        let mut earlier = entry.attempts[..number.0 as usize].iter();
        let turned_away = earlier.any(|attempt| attempt.ended != Some(Outcome::ConnectTimedOut));
        let (closed, idle) = (entry.closed || finished, entry.out == 0);
        self.learn_outcome(now, slot, class, end);
        if closed {
            self.close(id, actions);
        }
        let again = idle && self.try_again(now, id, outcome, actions);
        if idle && !again {
            self.finish(id, outcome == Outcome::Rejected, actions);
        }
        // A call that was turned away and went elsewhere has met no crowd yet: behind a broken link or one
        // full server the tenant's limit would drop although its calls are served. Refusals by two servers in
        // a row are a crowd.
        let refusals = outcome == Outcome::Refused && turned_away;
        if refusals || !(again && outcome.never_ran()) {
            self.meet(now, class, tenant, end, arrived, connecting);
        }
    }

    fn try_again(&mut self, now: f64, id: RequestId, outcome: Outcome, actions: &mut Vec<Action>) -> bool {
        let over = matches!(outcome, Outcome::NotSent | Outcome::Rejected) || !self.is_hopeful(now, id);
        let budget = usize::from(outcome.never_ran());
        if over || self.ledger.budgets[budget] < 1.0 || !self.send_somewhere(now, id, actions) {
            return false;
        }
        self.ledger.budgets[budget] -= 1.0;
        true
    }

    /// What an outcome tells of its upstream and of the zones.
    fn learn_outcome(&mut self, now: f64, slot: usize, class: ClassId, end: Ending) {
        let Ending { outcome, took, served, aim, .. } = end;
        let usual = self.latencies[class.0].seconds();
        let upstream = &mut self.upstreams[slot];
        upstream.in_flight = upstream.in_flight.saturating_sub(1);
        upstream.used = now;
        // A connection goes with what broke it and, where it carries one attempt at a time, with an answer
        // that is no longer waited for.
        let given_up = matches!(outcome, Outcome::TimedOut | Outcome::Withdrawn);
        let unreached = matches!(outcome, Outcome::ConnectFailed | Outcome::ConnectTimedOut);
        let broken = unreached || outcome == Outcome::Reset;
        let lost = broken || (given_up && self.settings.allowed.streams == 1);
        upstream.connections = upstream.connections.saturating_sub(u32::from(lost));
        let heard = !unreached && !given_up && outcome != Outcome::NotSent;
        if heard {
            upstream.heard = now;
            self.answered = if broken { self.answered } else { (now, 0) };
        }
        if outcome == Outcome::ConnectTimedOut {
            upstream.late_connects += 1;
        } else if heard || (given_up && served > 0.0) {
            upstream.reached();
        }
        // A rejection tells of the caller, not of the upstream.
        if matches!(outcome, Outcome::NotSent | Outcome::Withdrawn | Outcome::Rejected) {
            return;
        }
        let warm = upstream.warmth(now, &self.settings) >= 1.0;
        let group = if upstream.home { &mut self.subset.home } else { &mut self.subset.away };
        group.warm_served += u32::from(warm && outcome == Outcome::Good);
        upstream.served += u32::from(outcome == Outcome::Good);
        if group.all_cold && !warm && outcome == Outcome::Good {
            let growth = cold_room(&self.settings.rules).min(COLD_GROWTH_MOST);
            upstream.tokens += if took <= aim { 1.0 + growth } else { COLD_LATE };
        }
        let delay =
            if matches!(outcome, Outcome::Good | Outcome::Error) { took } else { took.max(aim) } / aim;
        group.delay += DELAY_WEIGHT * (delay - group.delay);
        // No work is told by a late connection, nor by a time-out before which it left less than the usual time.
        let late = outcome == Outcome::ConnectTimedOut;
        if late || outcome == Outcome::TimedOut && served < usual {
            if late && upstream.late_connects.is_multiple_of(LATE_IN_A_ROW) {
                self.set_aside(now, slot, true);
            }
            return;
        }
        let failed = !matches!(outcome, Outcome::Good | Outcome::Refused);
        upstream.failures += FAIL_WEIGHT * (f64::from(u8::from(failed)) - upstream.failures);
        // A failed connect is that upstream's own: behind a broken link, counting it for the tier would make
        // many lost upstreams look like crowding below, and none would be set aside.
        if outcome != Outcome::ConnectFailed {
            self.tier_failures += TIER_WEIGHT * (f64::from(u8::from(failed)) - self.tier_failures);
        }
        if usual > 0.0 && matches!(outcome, Outcome::Good | Outcome::TimedOut) {
            let times = (served / usual).min(8.0);
            let kind = &mut self.kind_slowness[upstream.kind];
            if upstream.measured == 0.0 {
                upstream.slowness = *kind;
            }
            upstream.measured += 1.0;
            upstream.slowness +=
                SLOW_WEIGHT.max(1.0 / (upstream.measured + 1.0)) * (times - upstream.slowness);
            if outcome == Outcome::Good {
                *kind += KIND_SLOW_WEIGHT * (times.min(KIND_SLOW_MOST) - *kind);
            }
            self.tier_slowness += TIER_WEIGHT * (times - self.tier_slowness);
        }
        if outcome == Outcome::Good {
            upstream.returning = (upstream.returning * 2.0).min(1.0);
            if upstream.returning >= 1.0 {
                upstream.aside_s = ASIDE_S.0;
            }
        } else if failed {
            self.set_aside(now, slot, unreached);
        }
    }

    /// What the end of a call tells of the crowd that it met, and so of the limits.
    fn meet(&mut self, now: f64, class: ClassId, tenant: usize, end: Ending, arrived: f64, connecting: f64) {
        let Ending { outcome, served, aim, .. } = end;
        self.answered.1 += u32::from(outcome == Outcome::ConnectTimedOut);
        let silent = now - self.answered.0 > CROWDING.0 && self.answered.1 >= LATE_IN_A_ROW;
        let bad = match outcome {
            Outcome::Refused | Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Withdrawn => true,
            // Late connections tell nothing of a tier that answers others.
            Outcome::ConnectTimedOut if silent => true,
            Outcome::Error => self.tier_failures > CROWDED_ERRORS,
            Outcome::Good => now - arrived - connecting > aim,
            _ => return,
        };
        let latency = self.latencies[class.0];
        let slower = served.max(1e-4).ln() - latency.typical;
        // One given up tells how long it took at least: nothing, where the upstream had less than the usual time.
        let short = outcome == Outcome::Withdrawn || outcome == Outcome::TimedOut && served < aim * WHOLE;
        if short && slower < 0.0 {
            return;
        }
        let sample = match outcome {
            _ if short => slower.min(CROWDED_MOST),
            _ if bad => CROWDED_MOST,
            // Shed early at the first tier only: a call denied below is work lost above.
            Outcome::Good if self.settings.tier == 0 => slower.clamp(-1.0, CROWDED_MOST),
            _ => 0.0,
        };
        // The tenants meet the same tier: a small one's own calls are too few to tell of a jam in time.
        let all = self.settings.tenants.len();
        let rate = self.suppressors[all].accepted_rate(now);
        let fresh = if arrived < self.drops.0 { BEFORE_DROP } else { 1.0 };
        // Without quotas a limit is cut to what was let in, and what is usual is learned from what came first: before a
        // second is over neither is known. Below the first tier no latency is taken for a crowd.
        let Suppressor { first, current, .. } = self.suppressors[tenant];
        let unquoted = self.settings.tier == 0 && self.limits[tenant].quota.is_none();
        let new = unquoted && first.is_none_or(|first| current < first + LAST_SECOND);
        let weight = if new { 0.0 } else { (1.0 / (rate * CROWDING.0)).min(CROWDING.1) * fresh };
        let off = sample - self.crowding.0;
        self.crowding.1 += weight * (off * off - self.crowding.1);
        self.crowding.0 += weight * off;
        // Of the few calls of one of many copies, chance alone makes a crowd: one is met only beyond that of the
        // calls and of the usual latency, which a fresh copy has from few.
        let few = weight / (2.0 - weight) + 1.0 / latency.known.max(1.0);
        let crowded = self.crowding.0 - CHANCE * (self.crowding.1 * few).sqrt() > CROWDED;
        if outcome == Outcome::Good {
            self.latencies[class.0].learn(served.max(1e-4), 1.0 / (rate * TYPICAL.0), crowded);
        }
        if crowded && now >= self.drops.1 {
            self.drops = (now, now + between(&mut self.rng, DROP_EVERY_S));
            for (place, limit) in self.limits.iter_mut().enumerate() {
                // What all may send was let in by the part of the tier that is had, which is taken off again.
                let had = if place == all && all > 0 { self.subset.had } else { 1.0 };
                limit.drop(self.crowding.0, self.suppressors[place].accepted_rate(now) / had);
            }
        } else if !crowded && !bad && outcome == Outcome::Good {
            self.limits[tenant].rise();
            if all != tenant {
                self.limits[all].rise();
            }
        }
    }

    /// Sets an upstream aside where it fails and the tier does not; one out of reach in any case.
    fn set_aside(&mut self, now: f64, slot: usize, out_of_reach: bool) {
        let upstream = &self.upstreams[slot];
        let tier = if out_of_reach { 0.0 } else { FAIL_OVER.1 * self.tier_failures };
        let stays = upstream.failures < FAIL_OVER.0 + tier && upstream.late_connects < LATE_IN_A_ROW;
        if stays || upstream.aside_until > now {
            return;
        }
        let group = if upstream.home { &self.subset.home } else { &self.subset.away };
        let aside = group.members.iter().filter(|&&slot| self.upstreams[slot].aside_until > now).count();
        if !out_of_reach && (aside + 1) as f64 > (group.members.len() as f64 * ASIDE_MOST).max(1.0) {
            return;
        }
        let upstream = &mut self.upstreams[slot];
        upstream.aside_until = now + upstream.aside_s * between(&mut self.rng, (0.75, 1.25));
        upstream.aside_s = (upstream.aside_s * 2.0).min(ASIDE_S.1);
        upstream.returning = RETURN_AT;
    }

    // --- Sweep ---

    fn sweep(&mut self, now: f64, actions: &mut Vec<Action>) {
        self.keep_going(now, actions);
        let unmet = self.suppressors.last_mut().is_some_and(|all| all.accepted_rate(now) == 0.0);
        let faded = self.crowding.0 * if unmet { 1.0 - SWEEP_S / CROWDING.0 } else { 1.0 };
        for (suppressor, limit) in self.suppressors.iter_mut().zip(&mut self.limits) {
            let accepted = suppressor.accepted_rate(now);
            limit.usual += 0.02 * (accepted - limit.usual);
            // Calls denied whole tell nothing: callers that come again at once would keep a cut limit for good.
            let cut = limit.quota.is_none_or(|quota| limit.rate < quota);
            if cut && accepted == 0.0 && suppressor.is_over(limit.rate) {
                limit.rate *= REOPEN;
                // Nor do they tell that the crowd of a window ago still stands.
                self.crowding.0 = faded;
            }
        }
        // Quotas are parts of a whole tier: while some is gone, cold or set aside, the rest would choke.
        let has = |&slot: &usize| {
            let upstream = &self.upstreams[slot];
            // The first time that connect timeouts put it aside a connection that is just late comes up.
            let late = upstream.late_connects >= LATE_IN_A_ROW && upstream.aside_s <= ASIDE_S.0 * 2.0;
            if upstream.aside_until > now && !late { 0.0 } else { upstream.warmth(now, &self.settings) }
        };
        let Subset { home, away, first, size, .. } = &self.subset;
        let part = home.members.iter().chain(&*away.members).map(has).sum::<f64>() / (*size).max(1) as f64;
        let ready = self.ready.len() as f64 / (*first).max(1) as f64;
        self.subset.had = (part * ready).clamp(HAD_LEAST, 1.0);
        self.subset.learn_stay(self.settings.prices.cross_zone, &mut self.rng);
        for group in [&mut self.subset.home, &mut self.subset.away] {
            let warm = group.members.iter().filter(|&slot| has(slot) >= 1.0).count();
            group.learn_warm_rate(warm);
        }
        for upstream in &mut self.upstreams {
            let rate = f64::from(take(&mut upstream.served)) / SWEEP_S;
            upstream.served_rate += 0.2 * (rate - upstream.served_rate);
        }
    }
}
