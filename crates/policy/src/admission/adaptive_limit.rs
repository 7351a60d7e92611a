//! The adaptive rate limit of a tenant, which the tenant's suppressor enforces.
//!
//! A quota applies to the sum of all replicas, but a replica sees only its own part of the requests and does not know
//! the capacity of the tier. Each limit therefore starts at the replica's part of the quota, with a margin for random
//! variation. It decreases multiplicatively while requests meet congestion and increases with each request that is
//! served in time. The module owns the limit of one tenant, or of all tenants together, and the bounds of that limit.

use crate::admission::suppression::WINDOW_S;
use crate::interface::Settings;

/// Largest excess over the quotas that all tenants of a replica together may send while no congestion is detected, as a
/// fraction of the replica's quota.
const MAX_EXCESS_FRACTION: f64 = 0.4;
/// Rate, in requests per second, at which half of that excess and half of the allowance for the busiest replica are
/// granted. A replica that sees fewer requests detects congestion later, so it is granted less.
const EXCESS_HALF_RPS: f64 = 12.0;
/// Weight of requests beyond the quota from which serving them is worth it, so that the limit has no ceiling.
const MIN_UNCAPPED_WEIGHT: f64 = 0.5;
/// Standard deviations of random variation tolerated above a replica's quota and in the congestion average, so that a
/// random cluster of a few requests is not taken for a high rate.
pub const NOISE_MARGIN_STD_DEVS: f64 = 1.0;
/// Increase of the limit, in requests per second, for each request served in time: about 5% per second at the limit.
const INCREASE_RPS: f64 = 0.05;
/// Increase of the limit, in requests per second, for each request served in time while the limit is below the
/// replica's quota with its margin: about 15% per second, so that it recovers from a quarter of the quota in ten
/// seconds.
const INCREASE_BELOW_QUOTA_RPS: f64 = 0.15;
/// Factor that a maintenance pass applies to a decreased limit while all requests are denied: about 30% per second.
const REOPEN_FACTOR: f64 = 1.05;
/// Factor that a decrease applies to the limit in light congestion.
const DECREASE_FACTOR: f64 = 0.85;
/// Factor that a decrease applies to the limit in overload, where servers become unresponsive within seconds.
const DECREASE_FACTOR_OVERLOADED: f64 = 0.7;
/// Congestion level from which a limit with a quota decreases. A limit without a quota decreases only from
/// `OVERLOADED_LEVEL`.
pub const CONGESTED_LEVEL: f64 = 0.2;
/// Congestion level of an overload, at which the floor of the limit is at its lowest. A limit without a quota decreases
/// only from this level.
const OVERLOADED_LEVEL: f64 = 0.7;
/// Floor of the limit in overload, as a fraction of the replica's quota with its margin: the rate that an overloaded
/// tier can still serve.
const OVERLOADED_FLOOR_FRACTION: f64 = 0.25;
/// Floor of a limit without a quota, as a fraction of the recently admitted rate. It is high because a request that is
/// denied below the first tier wastes the work done for it in the tiers above.
const FLOOR_WITHOUT_QUOTA_FRACTION: f64 = 0.7;
/// Lowest floor of a limit without a quota, in requests per second.
const MIN_FLOOR_WITHOUT_QUOTA_RPS: f64 = 1.0;
/// Weight of one maintenance pass in the recently admitted rate, which gives an averaging time of some ten seconds.
const RECENT_RATE_WEIGHT: f64 = 0.02;

/// A rate limit that adapts to how the admitted requests end.
#[derive(Debug, Clone, Copy)]
pub struct AdaptiveLimit {
    /// Current limit on the rate of admitted requests, in requests per second.
    pub rate: f64,
    /// This replica's part of the quota, in requests per second; `f64::MAX` without a quota.
    pub replica_quota: f64,
    /// This replica's part of the quota plus the margin for random variation, in requests per second; `None` without a
    /// quota.
    quota_with_margin: Option<f64>,
    /// Largest value that the rate limit may rise to, in requests per second.
    ceiling: f64,
    /// Recently admitted requests per second; the floor of a limit without a quota is a fraction of it.
    recent_rate: f64,
}

impl AdaptiveLimit {
    /// Creates the limit with which a new replica starts.
    ///
    /// Quotas count requests of the first tier. A tier below receives more requests than the first, so no part of a
    /// quota can be derived for it and its limits start unlimited.
    fn new(settings: &Settings, quota: Option<f64>) -> Self {
        let Some(quota) = quota.filter(|&quota| settings.tier == 0 && quota > 0.0) else {
            return Self::unlimited();
        };
        let replica_quota = quota / f64::from(settings.replicas);
        let with_margin = replica_quota + NOISE_MARGIN_STD_DEVS * (replica_quota / WINDOW_S).sqrt();
        let rate = with_margin * busiest_replica_factor(settings);
        let ceiling = if settings.over_quota_weight < MIN_UNCAPPED_WEIGHT { rate } else { f64::MAX };
        Self { rate, replica_quota, quota_with_margin: Some(with_margin), ceiling, recent_rate: 0.0 }
    }

    fn unlimited() -> Self {
        Self {
            rate: f64::MAX,
            replica_quota: f64::MAX,
            quota_with_margin: None,
            ceiling: f64::MAX,
            recent_rate: 0.0,
        }
    }

    /// Creates the limits of a new replica: one for each tenant and, last, one for all tenants together. The last one
    /// starts from the sum of the tenants' quotas and may rise above it until congestion is detected.
    #[must_use]
    pub fn for_settings(settings: &Settings) -> Vec<Self> {
        let quotas = settings.tenants.iter().map(|tenant| tenant.quota);
        let mut limits: Vec<_> = quotas.clone().map(|quota| Self::new(settings, quota)).collect();
        let mut all_tenants = Self::new(settings, quotas.sum());
        if all_tenants.has_quota() && limits.len() > 1 && settings.over_quota_weight < MIN_UNCAPPED_WEIGHT {
            all_tenants.quota_with_margin = Some(all_tenants.replica_quota);
            all_tenants.rate = all_tenants.replica_quota * busiest_replica_factor(settings);
            all_tenants.ceiling = all_tenants.rate
                * (1.0
                    + MAX_EXCESS_FRACTION * all_tenants.replica_quota
                        / (all_tenants.replica_quota + EXCESS_HALF_RPS));
        }
        limits.push(all_tenants);
        limits
    }

    /// Adapts the limit to changed settings, under which a new replica would start with `fresh`.
    ///
    /// The adaptation so far is kept relative to the quota. A lower quota applies at once. With a higher quota the
    /// limit rises at once as far as the starting value of a new replica, and gradually from there.
    #[must_use]
    pub fn adapted_to(self, fresh: Self) -> Self {
        let rate = match self.quota_with_margin.zip(fresh.quota_with_margin) {
            Some(_) => {
                let scaled = self.rate * (fresh.replica_quota / self.replica_quota);
                scaled.min(self.rate.max(fresh.rate))
            }
            None if self.has_quota() => fresh.rate,
            None => self.rate.min(fresh.rate),
        };
        Self { rate: rate.min(fresh.ceiling), recent_rate: self.recent_rate, ..fresh }
    }

    /// Whether the limit is derived from a quota.
    #[must_use]
    pub fn has_quota(&self) -> bool {
        self.quota_with_margin.is_some()
    }

    /// Raises the limit after a request was served in time.
    pub fn increase(&mut self) {
        // Requests denied below the replica's quota are within what was promised, so recover faster there after an
        // overload. The comparison is with the quota plus its margin for random variation.
        let is_below_quota = self.quota_with_margin.is_some_and(|quota| self.rate < quota);
        let increase = if is_below_quota { INCREASE_BELOW_QUOTA_RPS } else { INCREASE_RPS };
        self.rate = (self.rate + increase).min(self.ceiling);
    }

    /// Lowers the limit because of the level `congestion`. `accepted` is the admitted rate in requests per second; for
    /// the limit of all tenants together it is divided by the available fraction of the tier's capacity, because that
    /// limit was multiplied by it at admission.
    pub fn decrease(&mut self, congestion: f64, accepted: f64) {
        // Isolated refusals and slow requests also happen without overload. A decrease for each of them would deny
        // requests needlessly, and a request denied below the first tier fails the whole client request above.
        if congestion < self.quota_with_margin.map_or(OVERLOADED_LEVEL, |_| CONGESTED_LEVEL) {
            return;
        }
        // In light congestion the floor is the replica's quota with its margin. The higher the congestion, the less the
        // quota reflects what the servers can do, and overloaded servers recover only under a much lower rate.
        let overload = ((congestion - CONGESTED_LEVEL) / (OVERLOADED_LEVEL - CONGESTED_LEVEL)).min(1.0);
        let floor_fraction = 1.0 - (1.0 - OVERLOADED_FLOOR_FRACTION) * overload;
        let floor = match self.quota_with_margin {
            Some(quota) => quota * floor_fraction,
            None => (self.recent_rate * FLOOR_WITHOUT_QUOTA_FRACTION).max(MIN_FLOOR_WITHOUT_QUOTA_RPS),
        };
        let factor = DECREASE_FACTOR + (DECREASE_FACTOR_OVERLOADED - DECREASE_FACTOR) * overload;
        // A limit above the admitted rate and the floor decreases from the higher of these two. The result is not below
        // the floor, unless the limit already was: a decrease never raises it.
        self.rate = (self.rate.min(accepted.max(floor)) * factor).max(floor).min(self.rate);
    }

    /// Adds the admitted rate seen at a maintenance pass to the recently admitted rate.
    pub fn record_accepted_rate(&mut self, accepted: f64) {
        self.recent_rate += RECENT_RATE_WEIGHT * (accepted - self.recent_rate);
    }

    /// Whether the limit is below the starting value of a new replica without congestion; always true without a quota.
    #[must_use]
    pub fn is_decreased(&self) -> bool {
        self.quota_with_margin.is_none_or(|quota| self.rate < quota)
    }

    /// Raises a limit under which every request is denied. No request is served then that could raise it.
    pub fn reopen(&mut self) {
        self.rate *= REOPEN_FACTOR;
    }
}

/// Rate that the busiest replica may receive, as a multiple of its quota.
///
/// When clients choose replicas at random, the busiest of n replicas receives about ln n times the mean. With two
/// replicas, twice the quota means that the tier is overloaded; with fifty, that replica may just have more clients.
/// The fewer requests a replica sees, the smaller the allowance, because the replica detects congestion late.
fn busiest_replica_factor(settings: &Settings) -> f64 {
    let replicas = f64::from(settings.replicas);
    let fair_share = settings.tenants.iter().filter_map(|tenant| tenant.quota).sum::<f64>() / replicas;
    1.0 + (replicas.ln().max(1.0) - 1.0) * fair_share / (fair_share + EXCESS_HALF_RPS)
}
