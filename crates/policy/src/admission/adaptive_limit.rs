//! The rate limit that the suppressor of a tenant applies, learned from what becomes of the calls.
//!
//! Quotas are promised over all replicas, but a replica sees only its own part of the calls and cannot tell what the
//! tier can serve. Each limit starts at the replica's part of the quota, with a margin for chance, falls
//! multiplicatively while calls meet congestion, and rises with each call that is served in time. The module owns the
//! limit of one tenant, or of all together, with its bounds.

use crate::admission::suppression::WINDOW_S;
use crate::interface::Settings;

/// What all tenants of a replica may send beyond their quotas while no congestion is met, in parts of the
/// replica's quota...
const EXCESS: f64 = 0.4;
/// ...half of it, and of what the busiest replica may be dealt, at about this many calls a second: the fewer a
/// replica sees, the later it sees congestion come.
const EXCESS_HALF_RATE: f64 = 12.0;
/// Weight beyond the quota from which the excess is served too, so that no ceiling holds.
const EXCESS_COUNTS: f64 = 0.5;
/// Standard deviations of chance allowed above a replica's quota or in congestion, so that few calls do not
/// pass for many.
pub const CHANCE_DEVIATIONS: f64 = 1.0;
/// Calls a second gained by a call served in time: about 5% a second at the limit...
const INCREASE: f64 = 0.05;
/// ...and below the replica's quota, about 15% a second: back from a quarter in ten seconds.
const INCREASE_BELOW_QUOTA: f64 = 0.15;
/// What a maintenance pass makes of a decreased limit while all calls are denied: about 30% a second.
const REOPEN_FACTOR: f64 = 1.05;
/// What a decrease leaves of the limit...
const DECREASE_FACTOR: f64 = 0.85;
/// ...and in overload: servers choke within seconds.
const DECREASE_FACTOR_OVERLOADED: f64 = 0.7;
/// Congestion from which a limit decreases.
pub const CONGESTED: f64 = 0.2;
/// Congestion in overload, at which the floor has given way...
const OVERLOADED: f64 = 0.7;
/// ...to this part of the replica's quota: what a choked tier can still serve.
const OVERLOADED_FLOOR: f64 = 0.25;
/// Floor of a limit without a quota, as a part of the recent rate. High, since a call denied below the first tier is
/// work lost above.
const FLOOR_WITHOUT_QUOTA: f64 = 0.7;
/// Least floor of a limit without a quota, in calls a second.
const MIN_FLOOR_WITHOUT_QUOTA: f64 = 1.0;
/// Weight of one maintenance pass in the recent rate: some ten seconds.
const RECENT_RATE_WEIGHT: f64 = 0.02;

/// A rate limit learned from what becomes of the calls.
#[derive(Debug, Clone, Copy)]
pub struct AdaptiveLimit {
    /// The limit, in calls a second.
    pub rate: f64,
    /// This replica's part of the quota, in calls a second; `f64::MAX` without one.
    pub replica_quota: f64,
    /// The replica's quota with its margin for chance; `None` without a quota.
    quota_with_margin: Option<f64>,
    /// What the limit may rise to.
    ceiling: f64,
    /// Calls admitted a second of late, of which the floor without a quota is a part.
    recent_rate: f64,
}

impl AdaptiveLimit {
    /// The limit that a fresh replica begins with.
    ///
    /// Quotas count requests of the first tier; below it calls are more, and no part of a quota can be given.
    fn new(settings: &Settings, quota: Option<f64>) -> Self {
        let Some(quota) = quota.filter(|&quota| settings.tier == 0 && quota > 0.0) else {
            return Self::unlimited();
        };
        let replica_quota = quota / f64::from(settings.replicas);
        let with_margin = replica_quota + CHANCE_DEVIATIONS * (replica_quota / WINDOW_S).sqrt();
        let rate = with_margin * busiest_replica(settings);
        let ceiling = if settings.over_quota_weight < EXCESS_COUNTS { rate } else { f64::MAX };
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

    /// The limits of a fresh replica: of each tenant and, last, of all together, which is the sum of their
    /// quotas until congestion is met.
    #[must_use]
    pub fn all(settings: &Settings) -> Vec<Self> {
        let quotas = settings.tenants.iter().map(|tenant| tenant.quota);
        let mut limits: Vec<_> = quotas.clone().map(|quota| Self::new(settings, quota)).collect();
        let mut all = Self::new(settings, quotas.sum());
        if all.has_quota() && limits.len() > 1 && settings.over_quota_weight < EXCESS_COUNTS {
            all.quota_with_margin = Some(all.replica_quota);
            all.rate = all.replica_quota * busiest_replica(settings);
            all.ceiling =
                all.rate * (1.0 + EXCESS * all.replica_quota / (all.replica_quota + EXCESS_HALF_RATE));
        }
        limits.push(all);
        limits
    }

    /// What the limit becomes under other settings, where a fresh replica has `fresh`.
    ///
    /// What was learned stays, in parts of the quota. A lower quota holds at once; to a higher one the limit goes up
    /// at once as far as a fresh replica begins, and rises from there.
    #[must_use]
    pub fn under(self, fresh: Self) -> Self {
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

    /// Whether the limit comes from a quota.
    #[must_use]
    pub fn has_quota(&self) -> bool {
        self.quota_with_margin.is_some()
    }

    /// Raises the limit for a call served in time.
    pub fn increase(&mut self) {
        // Below the replica's quota the calls denied are the ones that count: recover from an overload faster.
        let is_below_quota = self.quota_with_margin.is_some_and(|quota| self.rate < quota);
        let increase = if is_below_quota { INCREASE_BELOW_QUOTA } else { INCREASE };
        self.rate = (self.rate + increase).min(self.ceiling);
    }

    /// Lowers the limit for congestion, where `accepted` calls a second were admitted.
    pub fn decrease(&mut self, congestion: f64, accepted: f64) {
        // A lone refusal or slow call happens on the quietest day; a decrease for each one denies calls without
        // need, which below the first tier fails the whole request above.
        if congestion < self.quota_with_margin.map_or(OVERLOADED, |_| CONGESTED) {
            return;
        }
        // A limit stays at the replica's quota in light congestion. The more calls meet congestion, the less it is
        // what the servers can do; once they have choked only much less lets them recover.
        let overload = ((congestion - CONGESTED) / (OVERLOADED - CONGESTED)).min(1.0);
        let part = 1.0 - (1.0 - OVERLOADED_FLOOR) * overload;
        let floor = match self.quota_with_margin {
            Some(quota) => quota * part,
            None => (self.recent_rate * FLOOR_WITHOUT_QUOTA).max(MIN_FLOOR_WITHOUT_QUOTA),
        };
        let factor = DECREASE_FACTOR + (DECREASE_FACTOR_OVERLOADED - DECREASE_FACTOR) * overload;
        self.rate = (self.rate.min(accepted.max(floor)) * factor).max(floor).min(self.rate);
    }

    /// Takes note of the rate admitted at a maintenance pass.
    pub fn record_accepted_rate(&mut self, accepted: f64) {
        self.recent_rate += RECENT_RATE_WEIGHT * (accepted - self.recent_rate);
    }

    /// Whether the limit lies below what a replica of a quiet tier starts with.
    #[must_use]
    pub fn is_decreased(&self) -> bool {
        self.quota_with_margin.is_none_or(|quota| self.rate < quota)
    }

    /// Raises a limit at which every call is denied, so that none is served from which it could learn.
    pub fn reopen(&mut self) {
        self.rate *= REOPEN_FACTOR;
    }
}

/// What the busiest replica may be dealt, in parts of its quota.
///
/// Clients dealt out by chance give the busiest of n replicas about ln n means. Of two that see twice their quotas
/// the tier has too many calls, but one of fifty may just have more clients. The fewer calls a replica sees, the
/// less of it is allowed, as it sees congestion late.
fn busiest_replica(settings: &Settings) -> f64 {
    let replicas = f64::from(settings.replicas);
    let fair = settings.tenants.iter().filter_map(|tenant| tenant.quota).sum::<f64>() / replicas;
    1.0 + (replicas.ln().max(1.0) - 1.0) * fair / (fair + EXCESS_HALF_RATE)
}
