//! Admission control: which requests are admitted, and at what rate.
//!
//! A tier that receives more than its capacity serves less than its capacity, so the excess must be refused before it
//! uses any resources. [`Admission`] holds each tenant, and all tenants together, to a limit that adapts to how the
//! admitted requests end:
//!
//! * [`suppression`] admits requests at about the rate of a limit, with a probability that falls smoothly;
//! * [`adaptive_limit`] is the limit: the replica's part of the quota, reduced during congestion;
//! * [`congestion`] detects congestion from how requests end;
//! * [`baseline_latency`] estimates the latency of requests without congestion.
//!
//! The module owns the limits and suppressors of each tenant and of all tenants together, and the congestion detector.
//! The baseline latencies belong to the balancer.

pub mod adaptive_limit;
pub mod baseline_latency;
pub mod congestion;
pub mod suppression;
#[cfg(test)]
#[allow(clippy::float_cmp, reason = "values that no computation has changed are equal to the bit")]
mod tests;

use oorandom::Rand64;

use crate::admission::adaptive_limit::AdaptiveLimit;
use crate::admission::baseline_latency::{BASELINE_WINDOW_S, BaselineLatency};
use crate::admission::congestion::{Congestion, MIN_DURATION_S, RequestEnd, TierState};
use crate::admission::suppression::Suppressor;
use crate::interface::{Outcome, Settings};

/// A rate limit and the suppressor that enforces it.
#[derive(Debug)]
struct RateControl {
    suppressor: Suppressor,
    limit: AdaptiveLimit,
}

/// Admits or refuses requests, and learns from how they end.
#[derive(Debug)]
pub struct Admission {
    /// Rate control of each tenant and, last, of all tenants together.
    controls: Vec<RateControl>,
    congestion: Congestion,
}

impl Admission {
    /// Creates the admission state of a new replica: limits start at the replica's parts of the quotas, and no
    /// congestion is known.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        let mut limits = AdaptiveLimit::for_settings(settings);
        let all_tenants = limits.pop();
        let tenants = limits.into_iter();
        let mut controls: Vec<_> =
            tenants.map(|limit| RateControl { suppressor: Suppressor::for_tenant(), limit }).collect();
        controls.extend(all_tenants.map(|limit| RateControl {
            suppressor: Suppressor::for_all_tenants(limit.replica_quota),
            limit,
        }));
        Self { controls, congestion: Congestion::new() }
    }

    /// Changes to other settings. New tenants are inserted behind the existing ones, and what was learned is kept.
    pub fn reconfigure(&mut self, settings: &Settings) {
        let fresh = AdaptiveLimit::for_settings(settings);
        let (old_tenant_count, new_tenant_count) = (self.all_tenants(), settings.tenants.len());
        let new_tenants = fresh[old_tenant_count..new_tenant_count]
            .iter()
            .map(|&limit| RateControl { suppressor: Suppressor::for_tenant(), limit });
        // The last entry belongs to all tenants together.
        self.controls.splice(old_tenant_count..old_tenant_count, new_tenants);
        for (control, fresh) in self.controls.iter_mut().zip(fresh) {
            control.limit = control.limit.adapted_to(fresh);
        }
    }

    /// Index of the rate control of all tenants together. Without configured tenants, the single tenant shares it.
    fn all_tenants(&self) -> usize {
        self.controls.len() - 1
    }

    /// Detector of congestion in the tier.
    #[must_use]
    pub fn congestion(&self) -> &Congestion {
        &self.congestion
    }

    /// Limits in requests per second, of each tenant and, last, of all tenants together.
    pub fn limits(&self) -> impl Iterator<Item = f64> {
        self.controls.iter().map(|control| control.limit.rate)
    }

    /// Records that an endpoint has answered over an established connection.
    pub fn record_answer(&mut self, now: f64) {
        self.congestion.record_answer(now);
    }

    /// Decides whether to admit a request of `tenant`, where the fraction `available_capacity` of the tier's capacity
    /// is available.
    ///
    /// A tenant over the replica's part of its quota must also fit into the shared limit of all tenants of this
    /// replica. Otherwise the margins for random variation of many small limits would add up, over all replicas, to
    /// more than the capacity of the tier.
    #[must_use]
    pub fn admit(
        &mut self,
        now: f64,
        tenant: usize,
        can_meet_deadline: bool,
        available_capacity: f64,
        rng: &mut Rand64,
    ) -> bool {
        let all_tenants = self.all_tenants();
        let rate = self.controls[all_tenants].limit.rate * available_capacity;
        // Each tenant's part of the shared limit is guaranteed to that tenant.
        let quota_scale = (rate / self.controls[all_tenants].limit.replica_quota).min(1.0);
        let RateControl { suppressor, limit } = &mut self.controls[tenant];
        let fits_quota = suppressor.fits_soft_limit(now, limit.replica_quota * quota_scale, rng);
        let mut admitted = can_meet_deadline && suppressor.admit(now, limit.rate, rng);
        if admitted && all_tenants != tenant {
            let shared_suppressor = &mut self.controls[all_tenants].suppressor;
            admitted = fits_quota || shared_suppressor.fits_soft_limit(now, rate, rng);
            shared_suppressor.count(admitted);
        }
        self.controls[tenant].suppressor.count(admitted);
        admitted
    }

    /// Learns from a request that has ended, and updates the `baseline` of its class.
    pub fn record_request_end(
        &mut self,
        now: f64,
        end: &RequestEnd,
        baseline: &mut BaselineLatency,
        tier: TierState,
        rng: &mut Rand64,
    ) {
        let Some(signal) = self.congestion.signal(now, end, *baseline, tier) else { return };
        // All tenants send to the same tier, and the requests of a small tenant are too few to show an overload in
        // time.
        let all_tenants = self.all_tenants();
        let rate = self.controls[all_tenants].suppressor.accepted_rate(now);
        let has_no_history = tier.is_first_tier && self.has_no_history(end.tenant);
        let weight = if has_no_history { 0.0 } else { self.congestion.weight(rate, end.arrived) };
        self.congestion.record(signal.value, weight);
        let is_congested = self.congestion.is_detected(weight, baseline.samples);
        let is_success = end.outcome == Outcome::Success;
        if is_success {
            baseline.record(
                end.connected_duration.max(MIN_DURATION_S),
                1.0 / (rate * BASELINE_WINDOW_S),
                is_congested,
            );
        }
        if is_congested && self.congestion.may_decrease(now) {
            self.decrease_limits(now, tier.available_capacity, rng);
        } else if !is_congested && !signal.is_failed_or_late && is_success {
            self.increase_limits(end.tenant);
        }
    }

    /// Whether nothing is known yet that a limit could be cut to. A limit without a quota is cut to the admitted rate,
    /// and the baseline is learned from the first requests, so neither is known within the first second.
    fn has_no_history(&self, tenant: usize) -> bool {
        let RateControl { suppressor, limit } = &self.controls[tenant];
        !limit.has_quota() && suppressor.is_in_first_second()
    }

    fn decrease_limits(&mut self, now: f64, available_capacity: f64, rng: &mut Rand64) {
        self.congestion.record_decrease(now, rng);
        let all_tenants = self.all_tenants();
        for (index, RateControl { suppressor, limit }) in self.controls.iter_mut().enumerate() {
            // The shared limit was scaled by the available fraction of the tier at admission, so the rate is scaled
            // back.
            let available_capacity =
                if index == all_tenants && all_tenants > 0 { available_capacity } else { 1.0 };
            limit.decrease(self.congestion.level(), suppressor.accepted_rate(now) / available_capacity);
        }
    }

    fn increase_limits(&mut self, tenant: usize) {
        let all_tenants = self.all_tenants();
        self.controls[tenant].limit.increase();
        if all_tenants != tenant {
            self.controls[all_tenants].limit.increase();
        }
    }

    /// Runs the part of the maintenance pass that concerns admission: reopens limits under which every request is
    /// denied.
    pub fn maintain(&mut self, now: f64) {
        let all_tenants = self.all_tenants();
        let none_admitted = self.controls[all_tenants].suppressor.accepted_rate(now) == 0.0;
        let level = if none_admitted { self.congestion.decayed_level() } else { self.congestion.level() };
        for RateControl { suppressor, limit } in &mut self.controls {
            let accepted = suppressor.accepted_rate(now);
            limit.record_accepted_rate(accepted);
            // While all requests are denied, none ends that could raise the limit, so clients that retry at once would
            // keep a reduced limit in place for good.
            if limit.is_decreased() && accepted == 0.0 && suppressor.is_over_hard_limit(limit.rate) {
                limit.reopen();
                // Denied requests are no evidence either that the congestion of a window ago persists.
                self.congestion.set_level(level);
            }
        }
    }
}
