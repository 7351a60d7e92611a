//! Slow start: limits what is sent to an endpoint that has just started.
//!
//! A process that has just started has a fraction of its later capacity, and it fails if it is sent several times that.
//! No replica knows how much the others send. Each replica therefore has a send budget for the endpoint, such that the
//! sum over all replicas stays within the endpoint's capacity. The budget is a fraction of what warm endpoints serve
//! or, where no endpoint is warm, slightly more than what the endpoint itself has answered. The module owns the send
//! budget of one endpoint and the answer rate of the warm members of a group.

use std::mem::take;

use oorandom::Rand64;

use crate::interface::{Rules, Time};
use crate::maintenance::MAINTENANCE_PERIOD_S;

/// Fraction of the headroom between the capacity of a warming-up endpoint and its overload that each of three uses may
/// take when no peer is warm: growth, saved-up sends, and sends that no answer has earned. The last quarter is left for
/// random variation.
const HEADROOM_FRACTION: f64 = 0.25;
/// Largest growth of the sends per answer of a warming-up endpoint: they double within four answers, which is as fast
/// as a slow start needs.
const MAX_GROWTH: f64 = 0.25;
/// Number of sends that an answer past its latency objective earns. Below 1, because a queue has formed that must
/// shrink.
const LATE_ANSWER_SENDS: f64 = 0.5;
/// Number of sends that all replicas together may make in each overload window, in addition to the sends that answers
/// earn, for as long as no peer is warm.
const INITIAL_SENDS: f64 = 1.0;
/// Seconds' worth of sends that may be saved up while peers are warm.
const MAX_SAVED_SENDS_S: f64 = 0.5;
/// Weight of one maintenance pass in the answer rates, which gives an averaging time of one second.
const RATE_WEIGHT: f64 = 0.2;

/// Fraction of its capacity that an endpoint started at `started` is sure to have reached. It rises linearly from the
/// minimum fraction with which every endpoint starts. `None` means that the endpoint started long ago.
#[must_use]
pub fn warm_fraction(started: Option<Time>, now: f64, rules: &Rules) -> f64 {
    let Some(started) = started else { return 1.0 };
    let age = (now - started.as_secs_f64()).max(0.0);
    let min_fraction = rules.slow_start_min_fraction;
    (min_fraction + (1.0 - min_fraction) * age / rules.slow_start_window.as_secs_f64().max(1e-6)).min(1.0)
}

/// Fraction of its capacity by which a warming-up endpoint may be overcommitted, for each of the three uses described
/// at [`HEADROOM_FRACTION`].
fn overload_headroom(rules: &Rules) -> f64 {
    ((rules.overload_multiple - 1.0) * HEADROOM_FRACTION).max(0.0)
}

/// Answer rate of the warm members of a group, from which the budgets of the members that are warming up are derived.
#[derive(Debug, Default)]
pub struct WarmPeers {
    /// Answers per second of one warm member to this replica. Summed over all replicas it cannot exceed the member's
    /// capacity, however much the member is sent.
    rate: f64,
    /// Number of answers of warm members to this replica since the last maintenance pass.
    answers: u32,
    /// Whether no member is warm. Members then earn sends with their own answers, and `rate` keeps its last value.
    are_all_warming_up: bool,
}

impl WarmPeers {
    /// Counts an answer of a warm member.
    pub fn record_answer(&mut self) {
        self.answers += 1;
    }

    /// Updates the rate with the answers that `warm_members` members gave since the last maintenance pass. If no member
    /// is warm, the last known rate is kept as the best estimate.
    pub fn maintain(&mut self, warm_members: usize) {
        let answers = f64::from(take(&mut self.answers));
        self.are_all_warming_up = warm_members == 0;
        if warm_members > 0 {
            self.rate += RATE_WEIGHT * (answers / MAINTENANCE_PERIOD_S / warm_members as f64 - self.rate);
        }
    }
}

/// Send budget of an endpoint that is warming up.
#[derive(Debug)]
pub struct SendBudget {
    /// Number of attempts that may be sent to the endpoint now (the level of a token bucket).
    tokens: f64,
    /// Time at which the tokens were last refilled, in seconds of the clock.
    refilled_at: f64,
    /// Number of answers of the endpoint to this replica since the last maintenance pass.
    answers: u32,
    /// Recent answers of the endpoint to this replica per second.
    answer_rate: f64,
}

impl SendBudget {
    /// Creates a budget with a random fraction of one send, so that the replicas do not all start sending at once.
    pub fn new(now: f64, rng: &mut Rand64) -> Self {
        Self { tokens: rng.rand_float(), refilled_at: now, answers: 0, answer_rate: 0.0 }
    }

    /// Refills the budget of a warming-up endpoint up to `now`, and returns whether it allows another send.
    ///
    /// The budget grows by the endpoint's warm fraction of the rate that this replica gets from a warm peer. The sum
    /// over all replicas then stays within the endpoint's capacity, regardless of how the load is spread over the
    /// replicas. Where no peer is warm, each answer of the endpoint earns slightly more than one send if it was in
    /// time, and less than one if it was late (see [`Self::earn`]). The endpoint cannot answer more than its capacity
    /// to all replicas together, so the sum of their sends stays little above it. In addition the budget then grows by
    /// this replica's part of `INITIAL_SENDS` per overload window, and by a small fraction of the last known rate of
    /// warm peers. `replicas_per_endpoint` is the average number of replicas that send to the endpoint.
    #[must_use]
    pub fn allows_send(
        &mut self,
        now: f64,
        warm_fraction: f64,
        peers: &WarmPeers,
        replicas_per_endpoint: f64,
        rules: &Rules,
    ) -> bool {
        let mut rate = warm_fraction * peers.rate;
        let mut max_tokens = 1.0 + rate * MAX_SAVED_SENDS_S;
        if peers.are_all_warming_up {
            let window = rules.overload_window.as_secs_f64().max(MAINTENANCE_PERIOD_S);
            let headroom = overload_headroom(rules);
            max_tokens = 1.0 + headroom * window * self.answer_rate;
            rate = headroom * rate + INITIAL_SENDS / (window * replicas_per_endpoint);
        }
        self.tokens = (self.tokens + rate * (now - self.refilled_at)).min(max_tokens);
        self.refilled_at = now;
        self.tokens >= 1.0
    }

    /// Takes one send from the budget.
    pub fn spend(&mut self) {
        self.tokens -= 1.0;
    }

    /// Counts a request that the endpoint has served.
    pub fn record_answer(&mut self) {
        self.answers += 1;
    }

    /// Adds the sends that a served request earns to the budget of a warming-up endpoint, if no peer is warm.
    pub fn earn(&mut self, peers: &WarmPeers, is_in_time: bool, rules: &Rules) {
        if peers.are_all_warming_up {
            let growth = overload_headroom(rules).min(MAX_GROWTH);
            self.tokens += if is_in_time { 1.0 + growth } else { LATE_ANSWER_SENDS };
        }
    }

    /// Updates the answer rate with the answers since the last maintenance pass.
    pub fn maintain(&mut self) {
        let rate = f64::from(take(&mut self.answers)) / MAINTENANCE_PERIOD_S;
        self.answer_rate += RATE_WEIGHT * (rate - self.answer_rate);
    }
}
