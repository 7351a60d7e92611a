//! State of one endpoint.
//!
//! The past behaviour of a process says nothing about the next process under the same name. The learned state of an
//! endpoint is therefore discarded when discovery reports another start of the process. The module owns what this
//! replica has observed of one endpoint: its attempts in flight, connections, health and send budget.

use oorandom::Rand64;

use crate::endpoints::connections::Connections;
use crate::endpoints::outlier::Health;
use crate::endpoints::slow_start::{SendBudget, warm_fraction};
use crate::interface::{Member, Outcome, Permissions, Rules, Settings};
use crate::requests::attempt::AttemptEnd;

/// An endpoint with attempts in flight counts as stalled after a silence of this many baseline latencies.
const STALL_TIMEOUT_BASELINES: f64 = 3.0;
/// Shortest silence, in seconds, after which an endpoint counts as stalled.
const MIN_STALL_TIMEOUT_S: f64 = 0.25;

/// State of an endpoint as observed by this replica.
#[derive(Debug)]
pub struct Endpoint {
    /// Latest entry of the endpoint in the list of service discovery.
    pub member: Member,
    /// Whether the endpoint is in the replica's own zone.
    pub is_local: bool,
    /// Index of the endpoint's machine type in [`OutlierDetector`](crate::endpoints::outlier::OutlierDetector).
    pub machine_kind: usize,
    /// Number of attempts of this replica in flight to the endpoint.
    pub in_flight: u32,
    /// Estimated open connections to the endpoint.
    pub connections: Connections,
    /// Time of the endpoint's latest answer, or of the attempt that ended a period without attempts in flight, in
    /// seconds of the clock.
    last_answer: f64,
    /// Failure rate, slowness and ejection state of the endpoint.
    pub health: Health,
    /// Number of attempts that may be sent to the endpoint while it warms up.
    pub send_budget: SendBudget,
}

impl Endpoint {
    /// Creates the state of an endpoint of which only the list entry is known.
    pub fn new(member: Member, now: f64, rng: &mut Rand64) -> Self {
        Self {
            member,
            is_local: false,
            machine_kind: 0,
            in_flight: 0,
            connections: Connections::new(now),
            last_answer: now,
            health: Health::new(),
            send_budget: SendBudget::new(now, rng),
        }
    }

    /// Updates the entry from discovery. If the process was restarted, everything learned from the old process is
    /// discarded, except for the count of attempts in flight.
    pub fn update(&mut self, member: Member, now: f64, rng: &mut Rand64) {
        let is_restarted = member.started != self.member.started;
        self.member = member;
        if is_restarted {
            let Self { is_local, machine_kind, in_flight, .. } = *self;
            *self = Self { is_local, machine_kind, in_flight, ..Self::new(member, now, rng) };
        }
    }

    /// Fraction of its capacity that the endpoint is sure to have reached while warming up.
    #[must_use]
    pub fn warm_fraction(&self, now: f64, rules: &Rules) -> f64 {
        warm_fraction(self.member.started, now, rules)
    }

    /// Fraction of the endpoint's capacity that counts as available to the tier: 0 while the endpoint is ejected and
    /// lost.
    #[must_use]
    pub fn available_fraction(&self, now: f64, rules: &Rules) -> f64 {
        if self.health.is_lost_capacity(now) { 0.0 } else { self.warm_fraction(now, rules) }
    }

    /// Whether the endpoint has attempts in flight but has not answered for long, where requests take `baseline_s`
    /// seconds.
    #[must_use]
    pub fn is_stalled(&self, now: f64, baseline_s: f64) -> bool {
        let stall_timeout_s = (baseline_s * STALL_TIMEOUT_BASELINES).max(MIN_STALL_TIMEOUT_S);
        self.in_flight > 0 && now - self.last_answer > stall_timeout_s
    }

    /// Cost of another attempt to the endpoint: the attempts in flight, plus one if a handshake has a cost and is
    /// needed. A replica with few requests then uses few endpoints, whose connections stay open.
    #[must_use]
    pub fn cost(&self, now: f64, settings: &Settings) -> u32 {
        let needs_handshake = settings.costs.handshake > 0.0
            && !self.connections.has_free_stream(now, self.in_flight, &settings.permissions);
        self.in_flight + u32::from(needs_handshake)
    }

    /// Records that an attempt is sent to the endpoint.
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

    /// Records the end of an attempt to the endpoint. Returns whether the endpoint has answered.
    pub fn end_attempt(&mut self, now: f64, end: &AttemptEnd, permissions: &Permissions) -> bool {
        let outcome = end.outcome;
        let is_given_up = outcome.is_given_up();
        self.in_flight = self.in_flight.saturating_sub(1);
        self.connections.record_use(now);
        // A failure that breaks the connection closes it. A connection that carries one attempt at a time is also
        // closed when its answer is no longer awaited.
        if outcome.breaks_connection() || (is_given_up && permissions.streams_per_connection == 1) {
            self.connections.record_closed();
        }
        let has_answered = !outcome.found_no_connection() && !is_given_up && outcome != Outcome::NotSent;
        if has_answered {
            self.last_answer = now;
        }
        if outcome == Outcome::ConnectTimedOut {
            self.health.record_connect_timeout();
        } else if has_answered || (is_given_up && end.connected_duration > 0.0) {
            self.health.mark_reachable();
        }
        has_answered
    }

    /// Records that a connection was established after the attempts that waited for it had ended.
    pub fn record_late_connection(&mut self, now: f64, permissions: &Permissions) {
        self.connections.record_opened(now, self.in_flight, permissions);
        self.health.mark_reachable();
    }
}
