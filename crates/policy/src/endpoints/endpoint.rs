//! What is known of one endpoint.

use oorandom::Rand64;

use crate::endpoints::outlier::{ASIDE_S, FAIL_OVER, UNREACHABLE_AFTER};
use crate::interface::{Allowed, Member, Settings};

/// What the copy knows of an upstream.
#[derive(Debug)]
pub struct Endpoint {
    pub member: Member,
    pub local: bool,
    /// Its place in the slowness of kinds.
    pub kind: usize,
    pub in_flight: u32,
    /// Connections thought to be open, and when one was last used.
    pub connections: u32,
    pub used: f64,
    /// Latest answer, or the send that ended an idle time.
    pub last_answer: f64,
    pub failures: f64,
    /// Connect timeouts since its latest answer or connection.
    pub connect_timeouts: u32,
    /// Latency over the usual of its classes, and the latencies learned from.
    pub slowness: f64,
    pub latency_samples: f64,
    pub ejected_until: f64,
    pub ejection_s: f64,
    /// Chance of being taken when drawn, after its return.
    pub recovery_chance: f64,
    /// Calls that it has served since the last sweep and, of late, a second.
    pub served: u32,
    pub answer_rate: f64,
    /// Sends that a cold upstream may still get, and when that was reckoned.
    pub tokens: f64,
    pub tokens_at: f64,
}

impl Endpoint {
    pub fn new(member: Member, now: f64, rng: &mut Rand64) -> Self {
        Self {
            member,
            local: false,
            kind: 0,
            in_flight: 0,
            connections: 0,
            used: now,
            last_answer: now,
            failures: 0.0,
            connect_timeouts: 0,
            slowness: 1.0,
            latency_samples: 0.0,
            ejected_until: 0.0,
            ejection_s: ASIDE_S.0,
            recovery_chance: 1.0,
            served: 0,
            answer_rate: 0.0,
            tokens: rng.rand_float(),
            tokens_at: now,
        }
    }

    /// It is within reach: what connect timeouts alone made of it is over.
    pub fn mark_reachable(&mut self) {
        if self.connect_timeouts >= UNREACHABLE_AFTER && self.failures < FAIL_OVER.0 {
            (self.ejected_until, self.ejection_s, self.recovery_chance) = (0.0, ASIDE_S.0, 1.0);
        }
        self.connect_timeouts = 0;
    }

    /// The part of its capacity that it surely has: it rises at least evenly from the cold share.
    pub fn warm_fraction(&self, now: f64, settings: &Settings) -> f64 {
        let Some(started) = self.member.started else { return 1.0 };
        let age = (now - started.as_secs_f64()).max(0.0);
        let share = settings.rules.cold_share;
        (share + (1.0 - share) * age / settings.rules.cold_time.as_secs_f64().max(1e-6)).min(1.0)
    }

    /// Whether an open connection has room for another attempt.
    pub fn has_free_stream(&self, now: f64, allowed: &Allowed) -> bool {
        let open = self.connections.saturating_mul(allowed.streams);
        self.in_flight < open && (self.in_flight > 0 || now - self.used < allowed.keepalive.as_secs_f64())
    }

    /// Counts a connection more; those that nobody used for long have been closed.
    pub fn count_connection(&mut self, now: f64, allowed: &Allowed) {
        let lapsed = self.in_flight == 0 && now - self.used >= allowed.keepalive.as_secs_f64();
        self.connections = if lapsed { 1 } else { self.connections.saturating_add(1) };
        self.used = now;
    }

    /// Own calls in flight that another attempt would meet, and one for a handshake with a price: a copy that sees few
    /// calls then uses few of its members, over connections that stay fresh.
    pub fn cost(&self, now: f64, settings: &Settings) -> u32 {
        let handshake = settings.prices.handshake > 0.0 && !self.has_free_stream(now, &settings.allowed);
        self.in_flight + u32::from(handshake)
    }
}
