//! What is known of one endpoint.
//!
//! What one process of the tier did says nothing of the next process under the same name. So the state of an endpoint
//! is forgotten when discovery names another start of the process. The module owns what this replica has seen of one
//! endpoint: its attempts in flight, connections, health and budget.

use oorandom::Rand64;

use crate::endpoints::connections::Connections;
use crate::endpoints::outlier::Health;
use crate::endpoints::slow_start::{SendBudget, warm_fraction};
use crate::interface::{Member, Outcome, Permissions, Rules, Settings};
use crate::requests::attempt::AttemptEnd;

/// An endpoint that owes answers and has been silent for this many baseline latencies is stalled...
const STALLED_BASELINES: f64 = 3.0;
/// ...but not before this many seconds.
const MIN_STALL_S: f64 = 0.25;

/// An endpoint as this replica has seen it.
#[derive(Debug)]
pub struct Endpoint {
    /// What discovery says of it.
    pub member: Member,
    /// It is of the replica's own zone.
    pub is_local: bool,
    /// The place of its kind of machine in [`OutlierDetector`](crate::endpoints::outlier::OutlierDetector).
    pub kind: usize,
    /// Attempts of this replica in flight to it.
    pub in_flight: u32,
    /// Connections thought to be open.
    pub connections: Connections,
    /// Time of its latest answer, or of the send that ended an idle time.
    last_answer: f64,
    /// How well it answers.
    pub health: Health,
    /// What it may be sent while it warms up.
    pub send_budget: SendBudget,
}

impl Endpoint {
    /// An endpoint of which nothing is known but its membership.
    pub fn new(member: Member, now: f64, rng: &mut Rand64) -> Self {
        Self {
            member,
            is_local: false,
            kind: 0,
            in_flight: 0,
            connections: Connections::new(now),
            last_answer: now,
            health: Health::new(),
            send_budget: SendBudget::new(now, rng),
        }
    }

    /// Takes over what discovery says now. A new process knows nothing of what the old one did, so what was learned
    /// of that goes; attempts in flight stay counted.
    pub fn update(&mut self, member: Member, now: f64, rng: &mut Rand64) {
        let is_restarted = member.started != self.member.started;
        self.member = member;
        if is_restarted {
            let Self { is_local, kind, in_flight, .. } = *self;
            *self = Self { is_local, kind, in_flight, ..Self::new(member, now, rng) };
        }
    }

    /// The part of its capacity that it surely has.
    #[must_use]
    pub fn warm_fraction(&self, now: f64, rules: &Rules) -> f64 {
        warm_fraction(self.member.started, now, rules)
    }

    /// The part of its capacity that the tier has of it: none while it is ejected.
    #[must_use]
    pub fn available_fraction(&self, now: f64, rules: &Rules) -> f64 {
        if self.health.is_lost(now) { 0.0 } else { self.warm_fraction(now, rules) }
    }

    /// Whether it owes answers and has been silent for long, where requests take `baseline_s` seconds.
    #[must_use]
    pub fn is_stalled(&self, now: f64, baseline_s: f64) -> bool {
        let patience = (baseline_s * STALLED_BASELINES).max(MIN_STALL_S);
        self.in_flight > 0 && now - self.last_answer > patience
    }

    /// What another attempt costs: the attempts in flight that it would meet, and one for a handshake with a price. A
    /// replica that sees few requests then uses few of its endpoints, over connections that stay fresh.
    #[must_use]
    pub fn cost(&self, now: f64, settings: &Settings) -> u32 {
        let needs_handshake = settings.costs.handshake > 0.0
            && !self.connections.has_free_stream(now, self.in_flight, &settings.permissions);
        self.in_flight + u32::from(needs_handshake)
    }

    /// An attempt is sent to it.
    pub fn begin_attempt(&mut self, now: f64, permissions: &Permissions) {
        if self.in_flight == 0 {
            self.last_answer = now;
        }
        if !self.connections.has_free_stream(now, self.in_flight, permissions) {
            self.connections.record_opened(now, self.in_flight, permissions);
        }
        self.connections.record_use(now);
        self.in_flight += 1;
        self.send_budget.spend();
    }

    /// An attempt to it has ended. Returns whether it has answered.
    pub fn end_attempt(&mut self, now: f64, end: &AttemptEnd, permissions: &Permissions) -> bool {
        let outcome = end.outcome;
        let is_given_up = outcome.is_given_up();
        self.in_flight = self.in_flight.saturating_sub(1);
        self.connections.record_use(now);
        // A connection goes with what broke it and, where it carries one attempt at a time, with an answer that is no
        // longer waited for.
        if outcome.breaks_connection() || (is_given_up && permissions.streams_per_connection == 1) {
            self.connections.record_closed();
        }
        let has_answered = !outcome.found_no_connection() && !is_given_up && outcome != Outcome::NotSent;
        if has_answered {
            self.last_answer = now;
        }
        if outcome == Outcome::ConnectTimedOut {
            self.health.record_connect_timeout();
        } else if has_answered || (is_given_up && end.served > 0.0) {
            self.health.mark_reachable();
        }
        has_answered
    }

    /// A connection has come up that no attempt waits for any more.
    pub fn record_late_connection(&mut self, now: f64, permissions: &Permissions) {
        self.connections.record_opened(now, self.in_flight, permissions);
        self.health.mark_reachable();
    }
}
