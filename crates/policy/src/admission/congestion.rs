//! Detects congestion in the tier from how requests end, and paces the decreases of the limits.
//!
//! No server reports that it is overloaded. Overload shows in requests that fail, exceed the latency objective of their
//! class or take longer than its baseline latency. A single such request means nothing, so the signal is a moving
//! average over the last seconds with its variance, and congestion is detected only where the average exceeds what
//! random variation explains. The module owns this average, the times of the decreases and the time of the latest
//! answer.

use oorandom::Rand64;

use crate::admission::adaptive_limit::{CONGESTED_LEVEL, NOISE_MARGIN_STD_DEVS};
use crate::admission::baseline_latency::BaselineLatency;
use crate::endpoints::outlier::UNREACHABLE_AFTER;
use crate::interface::Outcome;
use crate::maintenance::MAINTENANCE_PERIOD_S;
use crate::random::uniform;

/// Averaging time of the congestion signal in seconds, short because servers become unresponsive within two seconds.
const WINDOW_S: f64 = 2.0;
/// Largest weight of one request in the moving average of the congestion signal.
const MAX_WEIGHT: f64 = 0.15;
/// Weight of a request admitted before the latest decrease, relative to a request admitted after it. Soon after a
/// decrease mostly the slow earlier requests are still to end and few new ones end, so at full weight one decrease
/// would cause the next. The weight is not 0, because during an overload the requests admitted after a decrease take so
/// long to end that the average would react too late if they alone counted.
const WEIGHT_BEFORE_DECREASE: f64 = 0.3;
/// Bounds of the time between decreases in seconds. The time is random so that replicas do not decrease in step.
const MIN_DECREASE_INTERVAL_S: f64 = 0.25;
const MAX_DECREASE_INTERVAL_S: f64 = 0.5;
/// Signal of a request that failed or exceeded its latency objective, and the upper bound for all others. The signal of
/// other requests is the natural logarithm of their latency over the baseline, so that a few expensive requests count
/// little and a general delay counts much.
const MAX_SIGNAL: f64 = 2.0;
/// Lower bound of the signal of a request that succeeded within its latency objective.
const MIN_SIGNAL: f64 = -1.0;
/// Fraction of the latency objective for which an attempt must have had a connection before its timeout counts as a
/// timeout over the whole objective. The remaining time may have been spent on connecting.
const FULL_TIMEOUT_FRACTION: f64 = 0.9;
/// Failure rate of the tier above which an error counts as congestion and not as a fault of a single endpoint.
const CONGESTED_FAILURE_RATE: f64 = 0.1;
/// Lower bound, in seconds, for the duration of a request, so that the logarithm of the duration is finite.
pub const MIN_DURATION_S: f64 = 1e-4;

/// How a request ended, or an attempt of it that was retried after it may have run or was refused again. Times are in
/// seconds.
#[derive(Debug, Clone, Copy)]
pub struct RequestEnd {
    /// Index of the request's tenant in the list of limits.
    pub tenant: usize,
    /// Outcome of the request's last attempt.
    pub outcome: Outcome,
    /// Time in seconds that the request's last attempt spent with a connection.
    pub connected_duration: f64,
    /// Latency objective of the request's class, in seconds.
    pub latency_objective: f64,
    /// Time at which the request arrived at this replica, in seconds of the clock.
    pub arrived: f64,
    /// Total time in seconds that the request's attempts waited for connections.
    pub connect_wait: f64,
}

/// State of the tier when a request ends, as the rest of the balancer knows it.
#[derive(Debug, Clone, Copy)]
pub struct TierState {
    /// Whether this is the first tier, which receives its requests from clients and not from another tier.
    pub is_first_tier: bool,
    /// Recent fraction of attempts to the tier that failed.
    pub failure_rate: f64,
    /// Fraction of the tier's capacity that is available.
    pub available_capacity: f64,
}

/// Contribution of one request to the congestion average.
#[derive(Debug, Clone, Copy)]
pub struct Signal {
    /// Congestion signal: 0 for a request that succeeded with the baseline latency, and at most [`MAX_SIGNAL`], for one
    /// that exceeded its latency objective or failed for a reason that may be congestion. A request that was cancelled
    /// or timed out early counts by its duration instead.
    pub value: f64,
    /// Whether the request failed for a reason that may be congestion, or succeeded but exceeded its latency objective.
    pub is_failed_or_late: bool,
}

/// Moving average of the recent congestion signals, with its variance.
#[derive(Debug, Clone, Copy, Default)]
struct Average {
    mean: f64,
    variance: f64,
}

/// Times of the latest decrease of the limits and of the earliest next one, in seconds of the clock.
#[derive(Debug, Clone, Copy, Default)]
struct DecreaseTimes {
    latest: f64,
    next: f64,
}

/// Time of the latest answer of any endpoint, and the number of requests since then that ended because no connection
/// was established before the connect timeout.
#[derive(Debug, Clone, Copy)]
struct LatestAnswer {
    answered_at: f64,
    connect_timeouts_since: u32,
}

/// Detector of congestion in the tier, fed by the requests that end.
#[derive(Debug)]
pub struct Congestion {
    average: Average,
    decreases: DecreaseTimes,
    latest_answer: LatestAnswer,
}

impl Congestion {
    /// Creates a detector that has seen no request.
    #[must_use]
    pub fn new() -> Self {
        Self {
            average: Average::default(),
            decreases: DecreaseTimes::default(),
            latest_answer: LatestAnswer { answered_at: f64::MIN, connect_timeouts_since: 0 },
        }
    }

    /// Average congestion signal; limits decrease from [`CONGESTED_LEVEL`] on.
    #[must_use]
    pub fn level(&self) -> f64 {
        self.average.mean
    }

    /// Factor by which a request is expected to exceed its baseline latency.
    #[must_use]
    pub fn slowdown(&self) -> f64 {
        self.average.mean.clamp(0.0, 1.0).exp()
    }

    /// Records that an endpoint has answered over an established connection.
    pub fn record_answer(&mut self, now: f64) {
        self.latest_answer = LatestAnswer { answered_at: now, connect_timeouts_since: 0 };
    }

    /// Congestion signal of a request that has ended; `None` if its end says nothing about congestion.
    pub fn signal(
        &mut self,
        now: f64,
        end: &RequestEnd,
        baseline: BaselineLatency,
        tier: TierState,
    ) -> Option<Signal> {
        let is_failed_or_late = self.is_failed_or_late(now, end, tier.failure_rate)?;
        let ln_slowdown = end.connected_duration.max(MIN_DURATION_S).ln() - baseline.ln_seconds;
        // The duration of an abandoned attempt is only a lower bound of its latency. It says nothing if the endpoint
        // had less than the baseline latency to answer.
        let is_cut_short = match end.outcome {
            Outcome::Cancelled => true,
            Outcome::TimedOut => end.connected_duration < end.latency_objective * FULL_TIMEOUT_FRACTION,
            _ => false,
        };
        if is_cut_short && ln_slowdown < 0.0 {
            return None;
        }
        let value = if is_cut_short {
            ln_slowdown.min(MAX_SIGNAL)
        } else if is_failed_or_late {
            MAX_SIGNAL
        } else if end.outcome == Outcome::Success && tier.is_first_tier {
            // Only the first tier sheds load early: a request denied below it wastes the work done in the tiers above.
            ln_slowdown.clamp(MIN_SIGNAL, MAX_SIGNAL)
        } else {
            0.0
        };
        Some(Signal { value, is_failed_or_late })
    }

    /// Whether a request failed for a reason that may be congestion, or succeeded later than its latency objective. The
    /// time counts from its arrival, without the time in which its attempts waited for connections. `None` where its
    /// end says nothing about congestion.
    fn is_failed_or_late(&mut self, now: f64, end: &RequestEnd, tier_failure_rate: f64) -> Option<bool> {
        let answer = &mut self.latest_answer;
        answer.connect_timeouts_since += u32::from(end.outcome == Outcome::ConnectTimedOut);
        let is_silent =
            now - answer.answered_at > WINDOW_S && answer.connect_timeouts_since >= UNREACHABLE_AFTER;
        match end.outcome {
            Outcome::Refused | Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Cancelled => Some(true),
            // A connect timeout says nothing about congestion while the tier answers other requests.
            Outcome::ConnectTimedOut if is_silent => Some(true),
            Outcome::Error => Some(tier_failure_rate > CONGESTED_FAILURE_RATE),
            Outcome::Success => Some(now - end.arrived - end.connect_wait > end.latency_objective),
            Outcome::ConnectTimedOut | Outcome::InvalidRequest | Outcome::Reset | Outcome::NotSent => None,
        }
    }

    /// Weight in the average of a request that arrived at `arrived`, where `rate` requests per second are admitted.
    #[must_use]
    pub fn weight(&self, rate: f64, arrived: f64) -> f64 {
        let age_factor = if arrived < self.decreases.latest { WEIGHT_BEFORE_DECREASE } else { 1.0 };
        (1.0 / (rate * WINDOW_S)).min(MAX_WEIGHT) * age_factor
    }

    /// Adds a congestion signal to the moving average.
    pub fn record(&mut self, signal: f64, weight: f64) {
        let deviation = signal - self.average.mean;
        self.average.variance += weight * (deviation * deviation - self.average.variance);
        self.average.mean += weight * deviation;
    }

    /// Whether congestion is detected, where a request counts with `weight` and the baseline was learned from
    /// `baseline_samples` requests.
    ///
    /// A replica of a large fleet sees few requests, whose average may be high by random variation alone. The average
    /// must therefore exceed the threshold by more than the variation of the requests and of the baseline, which a new
    /// replica has learned from few samples.
    #[must_use]
    pub fn is_detected(&self, weight: f64, baseline_samples: f64) -> bool {
        let variance_factor = weight / (2.0 - weight) + 1.0 / baseline_samples.max(1.0);
        self.average.mean - NOISE_MARGIN_STD_DEVS * (self.average.variance * variance_factor).sqrt()
            > CONGESTED_LEVEL
    }

    /// Whether enough time has passed since the latest decrease for the limits to decrease again.
    #[must_use]
    pub fn may_decrease(&self, now: f64) -> bool {
        now >= self.decreases.next
    }

    /// Records that the limits decrease now, and draws the time until they may decrease again.
    pub fn record_decrease(&mut self, now: f64, rng: &mut Rand64) {
        let interval_s = uniform(rng, MIN_DECREASE_INTERVAL_S..MAX_DECREASE_INTERVAL_S);
        self.decreases = DecreaseTimes { latest: now, next: now + interval_s };
    }

    /// Congestion level decayed over one maintenance pass, for a pass in which no request was admitted that could have
    /// met congestion.
    #[must_use]
    pub fn decayed_level(&self) -> f64 {
        self.average.mean * (1.0 - MAINTENANCE_PERIOD_S / WINDOW_S)
    }

    /// Sets the congestion level while no requests end that would update it.
    pub fn set_level(&mut self, level: f64) {
        self.average.mean = level;
    }
}
