//! Which requests are admitted, and at what rate.
//!
//! A tier that is sent more than it can serve serves less than it could: the excess must be refused before it costs
//! anything. [`Admission`] holds each tenant, and all of them together, to a limit that follows what becomes of the
//! calls:
//!
//! * [`suppression`] admits calls at about a limit's rate, by a probability that falls smoothly;
//! * [`adaptive_limit`] is that limit: the replica's part of the quota, less while there is congestion;
//! * [`congestion`] tells from the ends of calls whether there is any;
//! * [`baseline_latency`] is what calls take when there is none.
//!
//! The module owns the limit and the suppressor of each tenant and of all together, and the congestion; the baseline
//! latencies are the balancer's.

pub mod adaptive_limit;
pub mod baseline_latency;
pub mod congestion;
pub mod suppression;
#[cfg(test)]
#[allow(clippy::float_cmp, reason = "figures that nothing has changed stay the same to the bit")]
mod tests;

use oorandom::Rand64;

use crate::admission::adaptive_limit::AdaptiveLimit;
use crate::admission::baseline_latency::{BASELINE_WINDOW_S, BaselineLatency};
use crate::admission::congestion::{CallEnd, Congestion, SHORTEST_S, TierState};
use crate::admission::suppression::Suppressor;
use crate::interface::{Outcome, Settings};

/// A limit with the suppressor that holds calls to it.
#[derive(Debug)]
struct RateControl {
    suppressor: Suppressor,
    limit: AdaptiveLimit,
}

/// Admits or refuses requests, and learns from their ends.
#[derive(Debug)]
pub struct Admission {
    /// That of each tenant and, last, that of all together.
    controls: Vec<RateControl>,
    congestion: Congestion,
}

impl Admission {
    /// A fresh replica's: limits start at its parts of the quotas, and nothing is known of congestion.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        let mut limits = AdaptiveLimit::all(settings);
        let all = limits.pop();
        let tenants = limits.into_iter();
        let mut controls: Vec<_> =
            tenants.map(|limit| RateControl { suppressor: Suppressor::for_tenant(), limit }).collect();
        controls.extend(all.map(|limit| RateControl {
            suppressor: Suppressor::for_all_tenants(limit.replica_quota),
            limit,
        }));
        Self { controls, congestion: Congestion::new() }
    }

    /// Goes over to other settings: new tenants come behind those known before, and what was learned stays.
    pub fn reconfigure(&mut self, settings: &Settings) {
        let fresh = AdaptiveLimit::all(settings);
        let (before, after) = (self.all(), settings.tenants.len());
        let new_tenants = fresh[before..after]
            .iter()
            .map(|&limit| RateControl { suppressor: Suppressor::for_tenant(), limit });
        // The last place is that of all tenants together.
        self.controls.splice(before..before, new_tenants);
        for (control, fresh) in self.controls.iter_mut().zip(fresh) {
            control.limit = control.limit.under(fresh);
        }
    }

    /// The place of all tenants together; that of a lone tenant too, where there are none.
    fn all(&self) -> usize {
        self.controls.len() - 1
    }

    /// Congestion as the recent calls met it.
    #[must_use]
    pub fn congestion(&self) -> &Congestion {
        &self.congestion
    }

    /// The limits in calls a second, of each tenant and, last, of all together.
    pub fn limits(&self) -> impl Iterator<Item = f64> {
        self.controls.iter().map(|control| control.limit.rate)
    }

    /// An endpoint has answered over a connection that stands.
    pub fn record_answer(&mut self, now: f64) {
        self.congestion.record_answer(now);
    }

    /// Decides on a call of `tenant`, where the part `available` of the tier's capacity is there.
    ///
    /// A tenant over the replica's quota must also fit into what all tenants of this replica may send: the chance
    /// allowed to each of many small limits, over all replicas, would add up to more than the tier.
    #[must_use]
    pub fn admit(
        &mut self,
        now: f64,
        tenant: usize,
        can_meet_deadline: bool,
        available: f64,
        rng: &mut Rand64,
    ) -> bool {
        let all = self.all();
        let rate = self.controls[all].limit.rate * available;
        // Each tenant's part of what they may send together is its own.
        let level = (rate / self.controls[all].limit.replica_quota).min(1.0);
        let RateControl { suppressor, limit } = &mut self.controls[tenant];
        let fits_quota = suppressor.fits_soft_limit(now, limit.replica_quota * level, rng);
        let mut admitted = can_meet_deadline && suppressor.admit(now, limit.rate, rng);
        if admitted && all != tenant {
            let together = &mut self.controls[all].suppressor;
            admitted = fits_quota || together.fits_soft_limit(now, rate, rng);
            together.count(admitted);
        }
        self.controls[tenant].suppressor.count(admitted);
        admitted
    }

    /// Learns from the end of a call, also the `baseline` of its class.
    pub fn record_call_end(
        &mut self,
        now: f64,
        end: &CallEnd,
        baseline: &mut BaselineLatency,
        tier: TierState,
        rng: &mut Rand64,
    ) {
        let Some(signal) = self.congestion.signal(now, end, *baseline, tier) else { return };
        // The tenants meet the same tier: a small one's own calls are too few to tell of overload in time.
        let all = self.all();
        let rate = self.controls[all].suppressor.accepted_rate(now);
        let has_no_history = tier.is_first && self.has_no_history(end.tenant);
        let weight = if has_no_history { 0.0 } else { self.congestion.weight(rate, end.arrived) };
        self.congestion.record(signal.value, weight);
        let is_congested = self.congestion.is_met(weight, baseline.samples);
        let is_good = end.outcome == Outcome::Success;
        if is_good {
            baseline.record(end.served.max(SHORTEST_S), 1.0 / (rate * BASELINE_WINDOW_S), is_congested);
        }
        if is_congested && self.congestion.may_decrease(now) {
            self.decrease_limits(now, tier.available, rng);
        } else if !is_congested && !signal.is_bad && is_good {
            self.increase_limits(end.tenant);
        }
    }

    /// Whether nothing is known that a limit could be cut to: without quotas it is cut to what was admitted, and the
    /// baseline is learned from what came first, so before a second is over neither is known.
    fn has_no_history(&self, tenant: usize) -> bool {
        let RateControl { suppressor, limit } = &self.controls[tenant];
        !limit.has_quota() && suppressor.is_in_first_second()
    }

    fn decrease_limits(&mut self, now: f64, available: f64, rng: &mut Rand64) {
        self.congestion.record_decrease(now, rng);
        let all = self.all();
        for (place, RateControl { suppressor, limit }) in self.controls.iter_mut().enumerate() {
            // What all may send was admitted by the part of the tier that is available, by which the rate is divided
            // again.
            let available = if place == all && all > 0 { available } else { 1.0 };
            limit.decrease(self.congestion.level(), suppressor.accepted_rate(now) / available);
        }
    }

    fn increase_limits(&mut self, tenant: usize) {
        let all = self.all();
        self.controls[tenant].limit.increase();
        if all != tenant {
            self.controls[all].limit.increase();
        }
    }

    /// The part of a maintenance pass that is admission's: reopens limits at which every call is denied.
    pub fn maintain(&mut self, now: f64) {
        let all = self.all();
        let none_admitted = self.controls[all].suppressor.accepted_rate(now) == 0.0;
        let level = if none_admitted { self.congestion.faded() } else { self.congestion.level() };
        for RateControl { suppressor, limit } in &mut self.controls {
            let accepted = suppressor.accepted_rate(now);
            limit.record_accepted_rate(accepted);
            // Calls denied whole tell nothing: clients that come again at once would keep a cut limit for good.
            if limit.is_decreased() && accepted == 0.0 && suppressor.is_over_hard_limit(limit.rate) {
                limit.reopen();
                // Nor do they tell that the congestion of a window ago still stands.
                self.congestion.set_level(level);
            }
        }
    }
}
