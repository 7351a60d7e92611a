//! The rate limit that the suppressor of a tenant is held to, learned from what becomes of the calls.

use crate::admission::congestion::CROWDED;
use crate::admission::suppression::WINDOW_S;
use crate::interface::Settings;

/// What all tenants of a copy may send beyond their fair parts while no crowd is met, in fair parts...
pub const EXCESS: f64 = 0.4;
/// ...half of it, and of what the busiest copy may be dealt, at about this many calls a second: the fewer a copy
/// sees, the later it sees a crowd come.
pub const NOTICE: f64 = 12.0;
/// Over-share worth from which the excess is worth serving, so that no ceiling holds.
pub const EXCESS_COUNTS: f64 = 0.5;
/// Standard deviations of chance allowed above a fair part or a crowd, so that few calls are not taken for many.
pub const CHANCE: f64 = 1.0;
/// Calls a second gained by a finish in time, about 5% a second at the limit, and below the fair part, about 15% a
/// second: back from a quarter in ten seconds.
pub const RISE: (f64, f64) = (0.05, 0.15);
/// What a sweep makes of a cut limit while all calls are denied: about 30% a second.
pub const REOPEN: f64 = 1.05;
/// What a drop leaves of the limit, and what in a jam: servers choke within seconds.
pub const DROP: (f64, f64) = (0.85, 0.7);
/// Crowding in a jam, at which the floor has given way...
pub const JAMMED: f64 = 0.7;
/// ...to this part of the fair part: what a choked tier can still serve.
pub const FLOOR_JAMMED: f64 = 0.25;
/// Floor of a limit without a quota, as a part of the usual rate. High, since a call denied below the first
/// tier is work lost above.
pub const FLOOR_UNQUOTED: f64 = 0.7;

/// A rate limit learned from what becomes of the calls.
#[derive(Debug, Clone, Copy)]
pub struct AdaptiveLimit {
    pub rate: f64,
    /// The fair part of a quota, bare and with its chance, where there is one.
    pub fair: f64,
    pub quota: Option<f64>,
    pub ceiling: f64,
    /// The rate of late, in which a floor without a quota is reckoned.
    pub usual: f64,
}

impl AdaptiveLimit {
    /// Quotas count requests of the first tier; below it calls are more, and no part of a quota can be told.
    pub fn new(settings: &Settings, quota: Option<f64>) -> Self {
        let Some(quota) = quota.filter(|&quota| settings.tier == 0 && quota > 0.0) else {
            return Self { rate: f64::MAX, fair: f64::MAX, quota: None, ceiling: f64::MAX, usual: 0.0 };
        };
        let fair = quota / f64::from(settings.copies);
        let quota = fair + CHANCE * (fair / WINDOW_S).sqrt();
        let rate = quota * busiest(settings);
        let ceiling = if settings.over_share_worth < EXCESS_COUNTS { rate } else { f64::MAX };
        Self { rate, fair, quota: Some(quota), ceiling, usual: 0.0 }
    }

    /// What it becomes under other settings, where a new copy has `fresh`: what was learned stays, in parts of the quota. A
    /// lower quota holds at once; to a higher one it goes up at once as far as a new copy begins, and rises from there.
    pub fn under(self, fresh: Self) -> Self {
        let rate = match self.quota.zip(fresh.quota) {
            Some(_) => (self.rate * (fresh.fair / self.fair)).min(self.rate.max(fresh.rate)),
            None if self.quota.is_some() => fresh.rate,
            None => self.rate.min(fresh.rate),
        };
        Self { rate: rate.min(fresh.ceiling), usual: self.usual, ..fresh }
    }

    pub fn increase(&mut self) {
        // Below the fair part the calls denied are the ones that count: come back from a jam faster.
        let increase = if self.quota.is_some_and(|quota| self.rate < quota) { RISE.1 } else { RISE.0 };
        self.rate = (self.rate + increase).min(self.ceiling);
    }

    pub fn decrease(&mut self, congestion: f64, accepted: f64) {
        // A lone refusal or slow call happens on the quietest day; a cut for each one denies calls without
        // need, which below the first tier fails the whole request above.
        if congestion < self.quota.map_or(JAMMED, |_| CROWDED) {
            return;
        }
        // A fair part is kept through common trouble. The more calls meet a crowd, the less it is what the
        // servers can do; once they have choked only much less lets them recover.
        let jam = ((congestion - CROWDED) / (JAMMED - CROWDED)).min(1.0);
        let part = 1.0 - (1.0 - FLOOR_JAMMED) * jam;
        let floor = self.quota.map_or((self.usual * FLOOR_UNQUOTED).max(1.0), |quota| quota * part);
        let drop = DROP.0 + (DROP.1 - DROP.0) * jam;
        self.rate = (self.rate.min(accepted.max(floor)) * drop).max(floor).min(self.rate);
    }
}

/// What the busiest copy may be dealt, in fair parts: callers dealt out by chance give the busiest of n copies
/// about ln n means. Of two that see twice their parts the tier has too many calls, but one of fifty may just
/// have more callers. The fewer calls a copy sees, the less of it, as it sees late that there is a crowd.
pub fn busiest(settings: &Settings) -> f64 {
    let copies = f64::from(settings.copies);
    let fair = settings.tenants.iter().filter_map(|tenant| tenant.quota).sum::<f64>() / copies;
    1.0 + (copies.ln().max(1.0) - 1.0) * fair / (fair + NOTICE)
}

/// With what limits a copy begins: of each tenant and, last, of all together, their fair parts until a crowd is met.
pub fn limits(settings: &Settings) -> Vec<AdaptiveLimit> {
    let quotas = settings.tenants.iter().map(|tenant| tenant.quota);
    let mut limits: Vec<_> = quotas.clone().map(|quota| AdaptiveLimit::new(settings, quota)).collect();
    let mut all = AdaptiveLimit::new(settings, quotas.sum());
    if all.quota.is_some() && limits.len() > 1 && settings.over_share_worth < EXCESS_COUNTS {
        all.quota = Some(all.fair);
        all.rate = all.fair * busiest(settings);
        all.ceiling = all.rate * (1.0 + EXCESS * all.fair / (all.fair + NOTICE));
    }
    limits.push(all);
    limits
}
