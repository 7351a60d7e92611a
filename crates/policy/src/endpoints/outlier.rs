//! Outlier detection: finds endpoints that fail, are slow or unreachable, and ejects the failing ones for a while.
//!
//! A faulty endpoint fails its part of the requests for as long as it receives any. To distinguish it from a tier that
//! fails as a whole, each endpoint is compared with the tier, and at most a fraction of a group is ejected at a time.
//! An ejection ends after a while, which grows each time the endpoint fails again after its return, and the endpoint
//! regains its part of the requests step by step. Slow endpoints are not ejected but selected less often. The module
//! owns the health of one endpoint, and the failure rate and slowness of the tier.

use oorandom::Rand64;

use crate::interface::Outcome;
use crate::random::uniform;
use crate::requests::attempt::AttemptEnd;

/// Weight of one outcome in an endpoint's failure rate. With this weight the second failed connect in a row makes an
/// endpoint an outlier, and the third error in a row, because errors also raise the failure rate of the tier.
const FAILURE_WEIGHT: f64 = 0.2;
/// Weight of one outcome in the tier's failure rate, and of one latency in the tier's slowness.
const TIER_WEIGHT: f64 = 0.02;
/// Failure rate from which an endpoint is an outlier in a tier without failures.
const OUTLIER_FAILURE_RATE: f64 = 0.3;
/// Multiple of the tier's failure rate that is added to [`OUTLIER_FAILURE_RATE`].
const TIER_FAILURE_RATE_MULTIPLE: f64 = 2.0;
/// Largest fraction of a group of endpoints that may be ejected at a time, because the rest must carry the load.
const MAX_EJECTED_FRACTION: f64 = 0.34;
/// Length of the first ejection in seconds. It doubles each time an endpoint fails again after its return.
const MIN_EJECTION_S: f64 = 1.5;
/// Upper bound of the length of an ejection in seconds.
const MAX_EJECTION_S: f64 = 12.0;
/// Random factor for the length of an ejection, so that replicas do not return to the endpoint at the same time.
const EJECTION_JITTER: std::ops::Range<f64> = 0.75..1.25;
/// Number of consecutive connect timeouts, without an answer or a connection between them, after which an endpoint
/// counts as unreachable. If a third of all connections are late, two in a row happen by chance 1 time in 9 and three 1
/// time in 27.
pub const UNREACHABLE_AFTER: u32 = 3;
/// Factor for the selection probability of an endpoint that returns from ejection; each success doubles it.
const INITIAL_RECOVERY_CHANCE: f64 = 0.1;
/// Weight of one measured latency in the moving average of an endpoint's slowness.
const SLOWNESS_WEIGHT: f64 = 0.15;
/// Weight of one latency in the slowness of a machine type. It is learned after some ten requests, before the slowness
/// of single endpoints is known.
const KIND_SLOWNESS_WEIGHT: f64 = 0.1;
/// Upper bound of the slowness that one request may contribute to an endpoint, in baseline latencies.
const MAX_SLOWNESS: f64 = 8.0;
/// Upper bound of the slowness that one request may contribute to a machine type, in baseline latencies. The bound
/// ensures that endpoints of the type still receive requests when they restart after a crash.
const MAX_KIND_SLOWNESS: f64 = 2.0;
/// Lowest selection factor for slowness: a slow endpoint must receive some requests, or its recovery would not be seen.
const MIN_SLOWNESS_CHANCE: f64 = 0.05;

/// Fault of an endpoint that an attempt has shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The endpoint answers with errors or not in time.
    Failing,
    /// No connection to the endpoint can be established.
    Unreachable,
}

/// Health of an endpoint.
#[derive(Debug)]
pub struct Health {
    failure_rate: f64,
    /// Consecutive connect timeouts since the endpoint's latest answer or connection.
    connect_timeouts: u32,
    /// Average latency of the endpoint relative to the baseline latencies of the classes.
    slowness: f64,
    /// Number of measured latencies that `slowness` was learned from.
    latency_samples: f64,
    /// Time at which the endpoint's latest ejection ends, in seconds of the clock; 0 before the first ejection and
    /// after one that was cut short.
    ejected_until: f64,
    /// Length of the endpoint's next ejection in seconds, before jitter.
    ejection_s: f64,
    /// Factor for the endpoint's selection probability after its return from ejection.
    recovery_chance: f64,
}

impl Health {
    /// Creates the health of an endpoint without any attempts.
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

    /// Whether the endpoint is ejected. The random draws of a selection skip it; if they find no endpoint, the least
    /// loaded eligible one is taken, which may be ejected.
    #[must_use]
    pub fn is_ejected(&self, now: f64) -> bool {
        self.ejected_until > now
    }

    /// Whether the endpoint is ejected and its capacity counts as lost. In the first ejection for connect timeouts it
    /// does not, because the connections may only be late and still come up.
    #[must_use]
    pub fn is_lost_capacity(&self, now: f64) -> bool {
        let may_be_late =
            self.connect_timeouts >= UNREACHABLE_AFTER && self.ejection_s <= MIN_EJECTION_S * 2.0;
        self.is_ejected(now) && !may_be_late
    }

    /// Factor for the endpoint's selection probability after its return from ejection; 1 if it was not ejected.
    #[must_use]
    pub fn recovery_chance(&self) -> f64 {
        self.recovery_chance
    }

    /// Records that a connection to the endpoint was not established in time.
    pub fn record_connect_timeout(&mut self) {
        self.connect_timeouts += 1;
    }

    /// Records that the endpoint is reachable, and ends an ejection that was caused by connect timeouts alone.
    pub fn mark_reachable(&mut self) {
        if self.connect_timeouts >= UNREACHABLE_AFTER && self.failure_rate < OUTLIER_FAILURE_RATE {
            self.ejected_until = 0.0;
            self.ejection_s = MIN_EJECTION_S;
            self.recovery_chance = 1.0;
        }
        self.connect_timeouts = 0;
    }

    /// Ejects the endpoint from now on, for a random time around the current ejection length.
    pub fn eject(&mut self, now: f64, rng: &mut Rand64) {
        self.ejected_until = now + self.ejection_s * uniform(rng, EJECTION_JITTER);
        self.ejection_s = (self.ejection_s * 2.0).min(MAX_EJECTION_S);
        self.recovery_chance = INITIAL_RECOVERY_CHANCE;
    }

    fn record_success(&mut self) {
        self.recovery_chance = (self.recovery_chance * 2.0).min(1.0);
        if self.recovery_chance >= 1.0 {
            self.ejection_s = MIN_EJECTION_S;
        }
    }
}

/// Compares endpoints with the tier to find outliers.
#[derive(Debug)]
pub struct OutlierDetector {
    tier_failure_rate: f64,
    tier_slowness: f64,
    /// Slowness of each machine type and, last, of endpoints of unknown type. It stands in for the slowness of an
    /// endpoint that is not yet measured.
    kind_slowness: Vec<f64>,
}

impl OutlierDetector {
    /// Creates a detector without any attempts, for `machine_kinds` machine types.
    #[must_use]
    pub fn new(machine_kinds: usize) -> Self {
        Self { tier_failure_rate: 0.0, tier_slowness: 1.0, kind_slowness: vec![1.0; machine_kinds + 1] }
    }

    /// Recent fraction of attempts to the tier that failed.
    #[must_use]
    pub fn tier_failure_rate(&self) -> f64 {
        self.tier_failure_rate
    }

    /// Factor for the selection probability of an endpoint of machine type `machine_kind`, by its slowness.
    #[must_use]
    pub fn slowness_chance(&self, health: &Health, machine_kind: usize) -> f64 {
        // Use the endpoint's own slowness or, before its first latency, the slowness of its machine type.
        let is_known = health.latency_samples > 0.0;
        let slowness = if is_known { health.slowness } else { self.kind_slowness[machine_kind] };
        (self.tier_slowness / slowness).powi(2).clamp(MIN_SLOWNESS_CHANCE, 1.0)
    }

    /// Updates the endpoint's health and the tier with the end of an attempt, where requests of its class take
    /// `baseline_s` seconds. Returns the fault that the attempt shows.
    pub fn record(
        &mut self,
        health: &mut Health,
        machine_kind: usize,
        end: &AttemptEnd,
        baseline_s: f64,
    ) -> Option<Fault> {
        let AttemptEnd { outcome, connected_duration, .. } = *end;
        // A late connection says nothing about the endpoint's work. Neither does a timeout that left the endpoint less
        // than the baseline latency to answer.
        if outcome == Outcome::ConnectTimedOut {
            let is_unreachable = health.connect_timeouts.is_multiple_of(UNREACHABLE_AFTER);
            return is_unreachable.then_some(Fault::Unreachable);
        }
        if outcome == Outcome::TimedOut && connected_duration < baseline_s {
            return None;
        }
        let has_failed = !matches!(outcome, Outcome::Success | Outcome::Refused);
        self.record_failure(health, outcome, f64::from(u8::from(has_failed)));
        if baseline_s > 0.0 && matches!(outcome, Outcome::Success | Outcome::TimedOut) {
            let slowness = (connected_duration / baseline_s).min(MAX_SLOWNESS);
            self.record_slowness(health, machine_kind, slowness, outcome == Outcome::Success);
        }
        match outcome {
            Outcome::Success => {
                health.record_success();
                None
            }
            Outcome::ConnectFailed => Some(Fault::Unreachable),
            _ => has_failed.then_some(Fault::Failing),
        }
    }

    fn record_failure(&mut self, health: &mut Health, outcome: Outcome, failure: f64) {
        health.failure_rate += FAILURE_WEIGHT * (failure - health.failure_rate);
        // A failed connect is a fault of that endpoint alone. If it counted for the tier, many endpoints lost behind a
        // broken link would look like congestion in the tier below, and none would be ejected.
        if outcome != Outcome::ConnectFailed {
            self.tier_failure_rate += TIER_WEIGHT * (failure - self.tier_failure_rate);
        }
    }

    fn record_slowness(&mut self, health: &mut Health, machine_kind: usize, slowness: f64, is_success: bool) {
        let kind_slowness = &mut self.kind_slowness[machine_kind];
        if health.latency_samples == 0.0 {
            health.slowness = *kind_slowness;
        }
        health.latency_samples += 1.0;
        let weight = SLOWNESS_WEIGHT.max(1.0 / (health.latency_samples + 1.0));
        health.slowness += weight * (slowness - health.slowness);
        if is_success {
            *kind_slowness += KIND_SLOWNESS_WEIGHT * (slowness.min(MAX_KIND_SLOWNESS) - *kind_slowness);
        }
        self.tier_slowness += TIER_WEIGHT * (slowness - self.tier_slowness);
    }

    /// Whether an endpoint with the given fault is an outlier. An unreachable endpoint is not compared with the tier.
    #[must_use]
    pub fn is_outlier(&self, health: &Health, fault: Fault) -> bool {
        let tier_margin = match fault {
            Fault::Unreachable => 0.0,
            Fault::Failing => TIER_FAILURE_RATE_MULTIPLE * self.tier_failure_rate,
        };
        health.failure_rate >= OUTLIER_FAILURE_RATE + tier_margin
            || health.connect_timeouts >= UNREACHABLE_AFTER
    }
}

/// Whether another endpoint may be ejected from a group with `members` members, `ejected` of which are already ejected.
#[must_use]
pub fn may_eject_another(ejected: usize, members: usize) -> bool {
    (ejected + 1) as f64 <= (members as f64 * MAX_EJECTED_FRACTION).max(1.0)
}
