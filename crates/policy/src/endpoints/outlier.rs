//! Outlier detection: finds endpoints that fail, are slow or out of reach, and ejects the failing ones for a while.
//!
//! One bad endpoint among many spoils its part of the requests for as long as it is sent to. It is distinguished from
//! a tier that fails as a whole by comparison: each endpoint is compared with the tier, and no more than a part of a
//! group is ejected at a time. Ejection ends after a while, longer each time that the return fails, and the endpoint
//! recovers its part of the requests step by step. Slow endpoints are not ejected but chosen less often.
//! The module owns the health of one endpoint, and the failure rate and slowness of the tier.

use oorandom::Rand64;

use crate::interface::Outcome;
use crate::random::between;
use crate::requests::attempt::AttemptEnd;

/// Weight of one outcome in an endpoint's failure rate: the second failed connect in a row stands out, and the third
/// error, as errors count for the tier too.
const FAILURE_WEIGHT: f64 = 0.2;
/// Weight of one outcome in the tier's failure rate, and of one latency in its slowness.
const TIER_WEIGHT: f64 = 0.02;
/// Failure rate of an endpoint from which it is ejected in a tier that does not fail...
const OUTLIER_FAILURE_RATE: f64 = 0.3;
/// ...and how often the tier's own failure rate is added to that.
const TIER_FAILURE_MULTIPLE: f64 = 2.0;
/// Largest part of a group of endpoints ejected at a time: the rest must carry the load.
const MAX_EJECTED_FRACTION: f64 = 0.34;
/// Seconds of the first ejection; doubled when a return fails...
const MIN_EJECTION_S: f64 = 1.5;
/// ...up to this.
const MAX_EJECTION_S: f64 = 12.0;
/// Parts of its time that an ejection lasts: drawn, so that replicas do not come back together.
const EJECTION_JITTER: std::ops::Range<f64> = 0.75..1.25;
/// Connect timeouts of an endpoint, with neither an answer nor a connection between them, that show it unreachable:
/// where a third of all connections come up late, two in a row are chance 1 time in 9, three 1 in 27.
pub const UNREACHABLE_AFTER: u32 = 3;
/// Part of its usual chance with which an endpoint returns from ejection; doubled by each good answer.
const FIRST_RECOVERY_CHANCE: f64 = 0.1;
/// Weight of one latency in an endpoint's slowness.
const SLOWNESS_WEIGHT: f64 = 0.15;
/// Weight of one latency in the slowness of its kind of machine: known after some ten requests, when single endpoints
/// are not yet.
const KIND_SLOWNESS_WEIGHT: f64 = 0.1;
/// Largest slowness of one request that an endpoint is charged with, in baseline latencies.
const MAX_SLOWNESS: f64 = 8.0;
/// Largest slowness of one request that a kind is charged with, so that a crash leaves its restarted ones with
/// requests.
const MAX_KIND_SLOWNESS: f64 = 2.0;
/// Least chance of a slow endpoint: it must be seen to recover.
const MIN_SLOW_CHANCE: f64 = 0.05;

/// A fault that an attempt has shown its endpoint to have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// It answers with errors, or not in time.
    Failing,
    /// There is no connection to it.
    Unreachable,
}

/// How well an endpoint answers.
#[derive(Debug)]
pub struct Health {
    failure_rate: f64,
    /// Connect timeouts since its latest answer or connection.
    connect_timeouts: u32,
    /// Latency over the baseline of its classes.
    slowness: f64,
    /// Latencies that its slowness was learned from.
    latency_samples: f64,
    /// When its ejection ends, in seconds of the clock.
    ejected_until: f64,
    /// How long the next ejection lasts, in seconds.
    ejection_s: f64,
    /// Chance of being selected when drawn, after its return.
    recovery_chance: f64,
}

impl Health {
    /// Nothing is known yet.
    #[must_use]
    pub fn new() -> Self {
        Self {
            failure_rate: 0.0,
            connect_timeouts: 0,
            slowness: 1.0,
            latency_samples: 0.0,
            ejected_until: 0.0,
            ejection_s: MIN_EJECTION_S,
            recovery_chance: 1.0,
        }
    }

    /// Whether it is ejected: sent to only where nothing else is left.
    #[must_use]
    pub fn is_ejected(&self, now: f64) -> bool {
        self.ejected_until > now
    }

    /// Whether it is ejected for more than connections that may just be late: the first time that connect timeouts
    /// eject it, a late connection comes up.
    #[must_use]
    pub fn is_lost(&self, now: f64) -> bool {
        let may_be_late =
            self.connect_timeouts >= UNREACHABLE_AFTER && self.ejection_s <= MIN_EJECTION_S * 2.0;
        self.is_ejected(now) && !may_be_late
    }

    /// Chance of being selected when drawn, after its return from ejection; 1 for one that was not ejected.
    #[must_use]
    pub fn recovery_chance(&self) -> f64 {
        self.recovery_chance
    }

    /// No connection came up in time.
    pub fn record_connect_timeout(&mut self) {
        self.connect_timeouts += 1;
    }

    /// It is within reach: what connect timeouts alone made of it is over.
    pub fn mark_reachable(&mut self) {
        if self.connect_timeouts >= UNREACHABLE_AFTER && self.failure_rate < OUTLIER_FAILURE_RATE {
            self.ejected_until = 0.0;
            self.ejection_s = MIN_EJECTION_S;
            self.recovery_chance = 1.0;
        }
        self.connect_timeouts = 0;
    }

    /// Ejects it from now on.
    pub fn eject(&mut self, now: f64, rng: &mut Rand64) {
        self.ejected_until = now + self.ejection_s * between(rng, EJECTION_JITTER);
        self.ejection_s = (self.ejection_s * 2.0).min(MAX_EJECTION_S);
        self.recovery_chance = FIRST_RECOVERY_CHANCE;
    }

    fn record_good(&mut self) {
        self.recovery_chance = (self.recovery_chance * 2.0).min(1.0);
        if self.recovery_chance >= 1.0 {
            self.ejection_s = MIN_EJECTION_S;
        }
    }
}

/// Compares the endpoints with the tier.
#[derive(Debug)]
pub struct OutlierDetector {
    tier_failure_rate: f64,
    tier_slowness: f64,
    /// Slowness of each kind of machine and, last, of those of no known kind: what is expected of an endpoint not yet
    /// measured.
    kind_slowness: Vec<f64>,
}

impl OutlierDetector {
    /// Nothing is known yet of the tier nor of its `kinds` of machine.
    #[must_use]
    pub fn new(kinds: usize) -> Self {
        Self { tier_failure_rate: 0.0, tier_slowness: 1.0, kind_slowness: vec![1.0; kinds + 1] }
    }

    /// The recent fraction of attempts that failed.
    #[must_use]
    pub fn tier_failure_rate(&self) -> f64 {
        self.tier_failure_rate
    }

    /// Part of its usual chance with which an endpoint of the given kind is selected for its slowness.
    #[must_use]
    pub fn slowness_chance(&self, health: &Health, kind: usize) -> f64 {
        // Its own or, before the first latency, that of its kind.
        let is_known = health.latency_samples > 0.0;
        let slowness = if is_known { health.slowness } else { self.kind_slowness[kind] };
        (self.tier_slowness / slowness).powi(2).clamp(MIN_SLOW_CHANCE, 1.0)
    }

    /// Learns from an attempt that tells of its endpoint, where requests of its class take `baseline_s` seconds.
    /// Returns the fault that it shows.
    pub fn record(
        &mut self,
        health: &mut Health,
        kind: usize,
        end: &AttemptEnd,
        baseline_s: f64,
    ) -> Option<Fault> {
        let AttemptEnd { outcome, served, .. } = *end;
        // A late connection says nothing of the endpoint's work, nor does a time-out before which it left less than the
        // usual time.
        if outcome == Outcome::ConnectTimedOut {
            let is_unreachable = health.connect_timeouts.is_multiple_of(UNREACHABLE_AFTER);
            return is_unreachable.then_some(Fault::Unreachable);
        }
        if outcome == Outcome::TimedOut && served < baseline_s {
            return None;
        }
        let has_failed = !matches!(outcome, Outcome::Success | Outcome::Refused);
        self.record_failure(health, outcome, f64::from(u8::from(has_failed)));
        if baseline_s > 0.0 && matches!(outcome, Outcome::Success | Outcome::TimedOut) {
            let slowness = (served / baseline_s).min(MAX_SLOWNESS);
            self.record_slowness(health, kind, slowness, outcome == Outcome::Success);
        }
        match outcome {
            Outcome::Success => {
                health.record_good();
                None
            }
            Outcome::ConnectFailed => Some(Fault::Unreachable),
            _ => has_failed.then_some(Fault::Failing),
        }
    }

    fn record_failure(&mut self, health: &mut Health, outcome: Outcome, failure: f64) {
        health.failure_rate += FAILURE_WEIGHT * (failure - health.failure_rate);
        // A failed connect is that endpoint's own: behind a broken link, counting it for the tier would make many
        // lost endpoints look like congestion below, and none would be ejected.
        if outcome != Outcome::ConnectFailed {
            self.tier_failure_rate += TIER_WEIGHT * (failure - self.tier_failure_rate);
        }
    }

    fn record_slowness(&mut self, health: &mut Health, kind: usize, slowness: f64, is_good: bool) {
        let kind_slowness = &mut self.kind_slowness[kind];
        if health.latency_samples == 0.0 {
            health.slowness = *kind_slowness;
        }
        health.latency_samples += 1.0;
        let weight = SLOWNESS_WEIGHT.max(1.0 / (health.latency_samples + 1.0));
        health.slowness += weight * (slowness - health.slowness);
        if is_good {
            *kind_slowness += KIND_SLOWNESS_WEIGHT * (slowness.min(MAX_KIND_SLOWNESS) - *kind_slowness);
        }
        self.tier_slowness += TIER_WEIGHT * (slowness - self.tier_slowness);
    }

    /// Whether an endpoint that has shown a fault stands out from the tier; an unreachable one is compared with none.
    #[must_use]
    pub fn is_outlier(&self, health: &Health, fault: Fault) -> bool {
        let tier = match fault {
            Fault::Unreachable => 0.0,
            Fault::Failing => TIER_FAILURE_MULTIPLE * self.tier_failure_rate,
        };
        health.failure_rate >= OUTLIER_FAILURE_RATE + tier || health.connect_timeouts >= UNREACHABLE_AFTER
    }
}

/// Whether one more may be ejected of a group of `members` of which `ejected` are already.
#[must_use]
pub fn may_eject_another(ejected: usize, members: usize) -> bool {
    (ejected + 1) as f64 <= (members as f64 * MAX_EJECTED_FRACTION).max(1.0)
}
