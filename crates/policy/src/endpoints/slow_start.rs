//! Slow start: what an endpoint that has just started may be sent.
//!
//! A process that has just started can do a fraction of its later work, and one that is sent several times what it can
//! do falls over. No replica knows what the others send, so each has a budget of sends for the endpoint that stays
//! within its capacity when all replicas stay within theirs: a part of what warm endpoints are sent or, where none is
//! warm, a little more than what it has answered. The module owns the budget of one endpoint and the rate at which the
//! warm members of a group answer.

use std::mem::take;

use oorandom::Rand64;

use crate::interface::{Rules, Time};
use crate::maintenance::MAINTENANCE_PERIOD_S;

/// Part of the headroom between the capacity of an endpoint that is warming up and its overload that each of three may
/// use where no warm one is beside it: growth, sends saved up, and sends that no answer has earned. With all three,
/// chance still has a quarter of it.
const HEADROOM_PART: f64 = 0.25;
/// Largest growth with each answer of an endpoint that warms up: doubled within four, as fast as a slow start needs.
const MAX_GROWTH: f64 = 0.25;
/// Sends that an answer past its latency objective earns: a queue has formed, which must get shorter.
const LATE_ANSWER_EARNS: f64 = 0.5;
/// Sends that all replicas together may begin with in each overload window, while nothing is known of an endpoint.
const FIRST_SENDS: f64 = 1.0;
/// Seconds of sends that may be saved up beside warm endpoints.
const SAVED_UP_S: f64 = 0.5;
/// Weight of one maintenance pass in the rates of answers: a second.
const RATE_WEIGHT: f64 = 0.2;

/// The part of its capacity that an endpoint started at `started` surely has: it rises at least evenly from the
/// fraction that every one starts with. `None` is long ago.
#[must_use]
pub fn warm_fraction(started: Option<Time>, now: f64, rules: &Rules) -> f64 {
    let Some(started) = started else { return 1.0 };
    let age = (now - started.as_secs_f64()).max(0.0);
    let min_fraction = rules.slow_start_min_fraction;
    (min_fraction + (1.0 - min_fraction) * age / rules.slow_start_window.as_secs_f64().max(1e-6)).min(1.0)
}

/// Part of its capacity by which an endpoint that is warming up may be sent more than it can do, for each of the three
/// uses of that.
fn overload_headroom(rules: &Rules) -> f64 {
    ((rules.overload_multiple - 1.0) * HEADROOM_PART).max(0.0)
}

/// What the warm members of a group answer, for those that are warming up to go by.
#[derive(Debug, Default)]
pub struct WarmPeers {
    /// Answers a second of a warm member: over all replicas no more than it can do, however many it is sent.
    rate: f64,
    /// Answers of warm members since the last maintenance pass.
    answers: u32,
    /// No member is warm: those warming up go by their own answers, and the rate is that of before.
    are_all_warming_up: bool,
}

impl WarmPeers {
    /// A warm member has answered.
    pub fn record_answer(&mut self) {
        self.answers += 1;
    }

    /// Learns the rate from the answers since the last maintenance pass, by `warm` members. Where none is warm, the
    /// latest is the best there is.
    pub fn maintain(&mut self, warm: usize) {
        let answers = f64::from(take(&mut self.answers));
        self.are_all_warming_up = warm == 0;
        if warm > 0 {
            self.rate += RATE_WEIGHT * (answers / MAINTENANCE_PERIOD_S / warm as f64 - self.rate);
        }
    }
}

/// The sends that an endpoint may still get while it warms up.
#[derive(Debug)]
pub struct SendBudget {
    /// Sends saved up.
    tokens: f64,
    /// When they were last refilled, in seconds of the clock.
    refilled_at: f64,
    /// Answers since the last maintenance pass.
    answers: u32,
    /// Answers a second of late.
    answer_rate: f64,
}

impl SendBudget {
    /// A part of a send, drawn, so that the replicas do not all begin at once.
    pub fn new(now: f64, rng: &mut Rand64) -> Self {
        Self { tokens: rng.rand_float(), refilled_at: now, answers: 0, answer_rate: 0.0 }
    }

    /// Whether the budget of an endpoint that is warming up holds another send; refills it up to `now`.
    ///
    /// A replica gives the endpoint, of what a warm peer gets from the same replica, the part that it surely can do;
    /// summed over the replicas that stays within its capacity, whoever else sends. Where no peer is warm, its own
    /// answers earn more sends, a few more than they are: what all replicas together get answered is what it can
    /// do, so that their sum stays little above it. `sharers` is the number of replicas that send to it, on average.
    #[must_use]
    pub fn allows_send(
        &mut self,
        now: f64,
        warm_fraction: f64,
        peers: &WarmPeers,
        sharers: f64,
        rules: &Rules,
    ) -> bool {
        let mut rate = warm_fraction * peers.rate;
        let mut most = 1.0 + rate * SAVED_UP_S;
        if peers.are_all_warming_up {
            let window = rules.overload_window.as_secs_f64().max(MAINTENANCE_PERIOD_S);
            let headroom = overload_headroom(rules);
            most = 1.0 + headroom * window * self.answer_rate;
            rate = headroom * rate + FIRST_SENDS / (window * sharers);
        }
        self.tokens = (self.tokens + rate * (now - self.refilled_at)).min(most);
        self.refilled_at = now;
        self.tokens >= 1.0
    }

    /// An attempt is sent.
    pub fn spend(&mut self) {
        self.tokens -= 1.0;
    }

    /// The endpoint has served a request.
    pub fn record_answer(&mut self) {
        self.answers += 1;
    }

    /// An endpoint that is warming up has served a request, and earns sends by it where no peer is warm.
    pub fn earn(&mut self, peers: &WarmPeers, is_in_time: bool, rules: &Rules) {
        if peers.are_all_warming_up {
            let growth = overload_headroom(rules).min(MAX_GROWTH);
            self.tokens += if is_in_time { 1.0 + growth } else { LATE_ANSWER_EARNS };
        }
    }

    /// Learns the rate of answers since the last maintenance pass.
    pub fn maintain(&mut self) {
        let rate = f64::from(take(&mut self.answers)) / MAINTENANCE_PERIOD_S;
        self.answer_rate += RATE_WEIGHT * (rate - self.answer_rate);
    }
}
