//! What the ends of calls show of congestion in the tier, and when the limits decrease for it.
//!
//! No server says that it is overloaded. It shows in calls that fail, come late or take longer than the baseline of
//! their class; one such call means nothing, so the signal is an average over the last seconds with its variance, and
//! congestion is met only where the average lies above what chance explains. The module owns that average, the times
//! of decreases and that of the latest answer.

use oorandom::Rand64;

use crate::admission::adaptive_limit::{CHANCE_DEVIATIONS, CONGESTED};
use crate::admission::baseline_latency::BaselineLatency;
use crate::endpoints::outlier::UNREACHABLE_AFTER;
use crate::interface::Outcome;
use crate::maintenance::MAINTENANCE_PERIOD_S;
use crate::random::between;

/// Seconds of calls in the average, as servers choke within two.
const WINDOW_S: f64 = 2.0;
/// Largest weight of one call in the average.
const MAX_WEIGHT: f64 = 0.15;
/// Weight of a call admitted before the latest decrease, in parts of a fresh one's: only slow ones are left to end,
/// few fresh ones beside them, and a decrease would call for the next. Not none: in overload fresh calls end too
/// late.
const WEIGHT_BEFORE_DECREASE: f64 = 0.3;
/// Least seconds between decreases, and most: drawn, so that replicas do not decrease together.
const MIN_DECREASE_INTERVAL_S: f64 = 0.25;
const MAX_DECREASE_INTERVAL_S: f64 = 0.5;
/// Signal of a call that failed or came late, and the largest of any other. Of others it is how often the baseline
/// latency doubled, more or less (a natural logarithm), so that a few heavy calls count little and a general delay
/// much.
const MAX_SIGNAL: f64 = 2.0;
/// Smallest signal of a call served in time.
const MIN_SIGNAL: f64 = -1.0;
/// Part of the latency objective from which a time-out counts as one of the whole: the rest may go to connections.
const WHOLE_OBJECTIVE: f64 = 0.9;
/// Failure rate of the tier from which an error counts as congestion below and not as a bad endpoint.
const CONGESTED_FAILURE_RATE: f64 = 0.1;
/// Shortest time that a call counts as served in, in seconds, so that its logarithm is finite.
pub const SHORTEST_S: f64 = 1e-4;

/// A call that has ended, as admission sees it. Times are in seconds.
#[derive(Debug, Clone, Copy)]
pub struct CallEnd {
    /// The place of its tenant among the limits.
    pub tenant: usize,
    /// How its last attempt ended.
    pub outcome: Outcome,
    /// How long the last attempt had a connection.
    pub served: f64,
    /// The latency objective of its class.
    pub latency_objective: f64,
    /// When the call arrived.
    pub arrived: f64,
    /// How long its attempts waited for connections.
    pub connect_wait: f64,
}

/// The tier as the rest of the balancer sees it when a call ends.
#[derive(Debug, Clone, Copy)]
pub struct TierState {
    /// Whether clients reach it, and no other tier.
    pub is_first: bool,
    /// Its recent fraction of failed attempts.
    pub failure_rate: f64,
    /// The part of its capacity that is available.
    pub available: f64,
}

/// What one call tells of congestion.
#[derive(Debug, Clone, Copy)]
pub struct Signal {
    /// 0 for a call as usual, up to [`MAX_SIGNAL`] for one that failed.
    pub value: f64,
    /// The call failed or came late.
    pub is_bad: bool,
}

/// Average of the recent signals, with its variance.
#[derive(Debug, Clone, Copy, Default)]
struct Average {
    mean: f64,
    variance: f64,
}

/// When the limits decreased last and may decrease next, in seconds of the clock.
#[derive(Debug, Clone, Copy, Default)]
struct DecreaseTimes {
    latest: f64,
    next: f64,
}

/// When any endpoint last answered, and the calls since that ended with no connection.
#[derive(Debug, Clone, Copy)]
struct LatestAnswer {
    at: f64,
    connect_timeouts_since: u32,
}

/// Congestion as the recent calls met it.
#[derive(Debug)]
pub struct Congestion {
    average: Average,
    decreases: DecreaseTimes,
    latest_answer: LatestAnswer,
}

impl Congestion {
    /// None is known yet.
    #[must_use]
    pub fn new() -> Self {
        Self {
            average: Average::default(),
            decreases: DecreaseTimes::default(),
            latest_answer: LatestAnswer { at: f64::MIN, connect_timeouts_since: 0 },
        }
    }

    /// The average signal: from [`CONGESTED`] on, limits decrease.
    #[must_use]
    pub fn level(&self) -> f64 {
        self.average.mean
    }

    /// By how much a call is expected to take longer than its baseline.
    #[must_use]
    pub fn slowdown(&self) -> f64 {
        self.average.mean.clamp(0.0, 1.0).exp()
    }

    /// An endpoint has answered over a connection that stands.
    pub fn record_answer(&mut self, now: f64) {
        self.latest_answer = LatestAnswer { at: now, connect_timeouts_since: 0 };
    }

    /// What the end of a call tells; `None` if nothing.
    pub fn signal(
        &mut self,
        now: f64,
        end: &CallEnd,
        baseline: BaselineLatency,
        tier: TierState,
    ) -> Option<Signal> {
        let is_bad = self.is_bad(now, end, tier.failure_rate)?;
        let slower = end.served.max(SHORTEST_S).ln() - baseline.ln_seconds;
        // The duration of one given up is a lower bound: it shows nothing where the endpoint had less than the
        // usual time.
        let is_cut_short = match end.outcome {
            Outcome::Cancelled => true,
            Outcome::TimedOut => end.served < end.latency_objective * WHOLE_OBJECTIVE,
            _ => false,
        };
        if is_cut_short && slower < 0.0 {
            return None;
        }
        let value = if is_cut_short {
            slower.min(MAX_SIGNAL)
        } else if is_bad {
            MAX_SIGNAL
        } else if end.outcome == Outcome::Success && tier.is_first {
            // Shed early at the first tier only: a call denied below is work lost above.
            slower.clamp(MIN_SIGNAL, MAX_SIGNAL)
        } else {
            0.0
        };
        Some(Signal { value, is_bad })
    }

    /// Whether a call failed or came late for a reason that may lie in congestion; `None` where its end tells
    /// nothing.
    fn is_bad(&mut self, now: f64, end: &CallEnd, tier_failure_rate: f64) -> Option<bool> {
        let answer = &mut self.latest_answer;
        answer.connect_timeouts_since += u32::from(end.outcome == Outcome::ConnectTimedOut);
        let is_silent = now - answer.at > WINDOW_S && answer.connect_timeouts_since >= UNREACHABLE_AFTER;
        match end.outcome {
            Outcome::Refused | Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Cancelled => Some(true),
            // Late connections tell nothing of a tier that answers others.
            Outcome::ConnectTimedOut if is_silent => Some(true),
            Outcome::Error => Some(tier_failure_rate > CONGESTED_FAILURE_RATE),
            Outcome::Success => Some(now - end.arrived - end.connect_wait > end.latency_objective),
            Outcome::ConnectTimedOut | Outcome::InvalidRequest | Outcome::Reset | Outcome::NotSent => None,
        }
    }

    /// The weight of a call that arrived at `arrived`, where `rate` calls a second are admitted.
    #[must_use]
    pub fn weight(&self, rate: f64, arrived: f64) -> f64 {
        let fresh = if arrived < self.decreases.latest { WEIGHT_BEFORE_DECREASE } else { 1.0 };
        (1.0 / (rate * WINDOW_S)).min(MAX_WEIGHT) * fresh
    }

    /// Takes a signal into the average.
    pub fn record(&mut self, signal: f64, weight: f64) {
        let deviation = signal - self.average.mean;
        self.average.variance += weight * (deviation * deviation - self.average.variance);
        self.average.mean += weight * deviation;
    }

    /// Whether congestion is met, where calls count with `weight` and the baseline was learned from
    /// `baseline_samples`.
    ///
    /// Of the few calls of one of many replicas, chance alone makes congestion: it is met only beyond the chance of
    /// the calls and of the baseline, which a fresh replica has from few.
    #[must_use]
    pub fn is_met(&self, weight: f64, baseline_samples: f64) -> bool {
        let chance = weight / (2.0 - weight) + 1.0 / baseline_samples.max(1.0);
        self.average.mean - CHANCE_DEVIATIONS * (self.average.variance * chance).sqrt() > CONGESTED
    }

    /// Whether limits may decrease again.
    #[must_use]
    pub fn may_decrease(&self, now: f64) -> bool {
        now >= self.decreases.next
    }

    /// Limits decrease now.
    pub fn record_decrease(&mut self, now: f64, rng: &mut Rand64) {
        let pause = between(rng, MIN_DECREASE_INTERVAL_S..MAX_DECREASE_INTERVAL_S);
        self.decreases = DecreaseTimes { latest: now, next: now + pause };
    }

    /// The level after a maintenance pass in which no call was admitted that could have met congestion.
    #[must_use]
    pub fn faded(&self) -> f64 {
        self.average.mean * (1.0 - MAINTENANCE_PERIOD_S / WINDOW_S)
    }

    /// Sets the level, where no calls tell of it.
    pub fn set_level(&mut self, level: f64) {
        self.average.mean = level;
    }
}
