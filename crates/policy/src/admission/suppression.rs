//! Admission by suppression: holds the calls of one key to a rate limit without cutting them off at once.
//!
//! A plain limiter lets everything through up to its limit and nothing beyond it, so that many balancers, each of
//! which sees a part of the calls, deny far too much or too little. The suppressed strategy of the source paper
//! counts calls and admitted calls in a sliding window. Under the soft limit every call is admitted; over it, each is
//! admitted with a probability that falls as the demand seen rises (the suppression factor); from the hard limit on,
//! none is. The module owns the window of counts and the factor of one key.

use std::mem::take;

use oorandom::Rand64;

/// Seconds in a bucket of the sliding window: the cache time of the factor, so that it sees whole buckets.
pub const BUCKET_S: f64 = 0.1;
/// Buckets in the window. Three seconds smooth chance at a few calls a second and forget a burst before it has cost
/// much.
const BUCKETS: usize = 30;
/// Seconds in a window of buckets of [`BUCKET_S`].
pub const WINDOW_S: f64 = BUCKET_S * BUCKETS as f64;
/// Calls that the window of all tenants together should hold, so that chance does not decide it.
const CALLS_PER_WINDOW: f64 = 30.0;
/// Largest multiple of [`BUCKET_S`] to which the buckets of a rarely used window are stretched.
const MAX_STRETCH: f64 = 4.0;
/// Buckets in the last second, the shorter of the two spans over which the demand is measured.
const BUCKETS_PER_SECOND: u64 = 10;
/// Hard limit over soft limit. Wide, since a tenant that sends several times its quota would otherwise be denied
/// whole, its quota included.
const HARD_LIMIT_FACTOR: f64 = 32.0;

/// Calls seen and admitted.
#[derive(Debug, Clone, Copy, Default)]
struct CallCounts {
    total: u32,
    accepted: u32,
}

/// The suppressed strategy for one key: a tenant, or all tenants together.
#[derive(Debug, Default)]
pub struct Suppressor {
    bucket_s: f64,
    buckets: [CallCounts; BUCKETS],
    /// Sum of the buckets.
    window: CallCounts,
    /// Number of the latest bucket, counted from the start of the clock.
    current_bucket: u64,
    /// The bucket of the first call.
    first_bucket: Option<u64>,
    /// The part of a call that the capacity left under the soft limit must exceed.
    sampled_threshold: f64,
    /// The bucket from which the threshold is sampled anew.
    next_sample_bucket: u64,
    /// The suppression factor: the probability of denying a call over the soft limit.
    factor: f64,
    /// The bucket in which the factor was computed.
    factor_bucket: u64,
}

impl Suppressor {
    /// A suppressor that has seen no call, with the buckets of a single tenant.
    #[must_use]
    pub fn for_tenant() -> Self {
        Self::with_bucket(BUCKET_S)
    }

    /// A suppressor of all tenants together, with buckets wide enough to hold some calls at `fair_rate` calls a
    /// second.
    #[must_use]
    pub fn for_all_tenants(fair_rate: f64) -> Self {
        Self::with_bucket(BUCKET_S * (CALLS_PER_WINDOW / (fair_rate * WINDOW_S)).clamp(1.0, MAX_STRETCH))
    }

    fn with_bucket(bucket_s: f64) -> Self {
        Self { bucket_s, factor_bucket: u64::MAX, ..Self::default() }
    }

    /// The number of the bucket of a time, counted from the start of the clock.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "whole buckets are counted; the clock starts at 0 and its buckets fit into a u64"
    )]
    fn bucket_at(&self, now: f64) -> u64 {
        (now / self.bucket_s) as u64
    }

    /// Moves the window to `now`.
    fn advance(&mut self, now: f64) {
        let bucket = self.bucket_at(now);
        let steps = bucket.saturating_sub(self.current_bucket).min(BUCKETS as u64);
        for step in 1..=steps {
            let old = take(&mut self.buckets[position(self.current_bucket + step)]);
            self.window.total -= old.total;
            self.window.accepted -= old.accepted;
        }
        self.current_bucket = self.current_bucket.max(bucket);
    }

    /// Calls admitted a second, over the window.
    pub fn accepted_rate(&mut self, now: f64) -> f64 {
        self.advance(now);
        f64::from(self.window.accepted) / self.span()
    }

    /// Whether less than a second has passed since the first call, as far as calls have moved the window.
    #[must_use]
    pub fn is_in_first_second(&self) -> bool {
        self.first_bucket.is_none_or(|first| self.current_bucket < first + BUCKETS_PER_SECOND)
    }

    /// Seconds that the window has seen. A fresh replica's empty window would let seconds of overload through whole
    /// before it fills, and all replicas of a fresh fleet together.
    fn span(&self) -> f64 {
        let first = self.first_bucket.unwrap_or(self.current_bucket);
        let buckets = (self.current_bucket + 1).saturating_sub(first).min(BUCKETS as u64);
        (buckets as f64 * self.bucket_s).max(1.0)
    }

    /// Whether a call fits under the soft limit of `limit` calls a second; where the window has capacity for a part
    /// of a call, that part of the calls do.
    ///
    /// A limit of less than a call a window would otherwise let a whole one through each, several times the limits
    /// over many replicas. The threshold is sampled once a window and admission: sampled for each call, it would be
    /// worn down by denied ones that are retried.
    #[must_use]
    pub fn fits_soft_limit(&mut self, now: f64, limit: f64, rng: &mut Rand64) -> bool {
        self.advance(now);
        self.first_bucket.get_or_insert(self.current_bucket);
        if self.current_bucket >= self.next_sample_bucket {
            self.sampled_threshold = rng.rand_float();
            self.next_sample_bucket = self.current_bucket + BUCKETS as u64;
        }
        self.span() * limit - f64::from(self.window.accepted) > self.sampled_threshold
    }

    /// Decides on a call, which is to be counted next.
    #[must_use]
    pub fn admit(&mut self, now: f64, limit: f64, rng: &mut Rand64) -> bool {
        let fits = self.fits_soft_limit(now, limit, rng);
        if self.is_over_hard_limit(limit) {
            return false;
        }
        fits || rng.rand_float() >= self.suppression_factor(limit)
    }

    /// Whether the hard limit is reached, at which all calls are denied.
    #[must_use]
    pub fn is_over_hard_limit(&self, limit: f64) -> bool {
        f64::from(self.window.total) >= self.span() * limit * HARD_LIMIT_FACTOR
    }

    /// Counts a call that was decided on.
    pub fn count(&mut self, admitted: bool) {
        for counts in [&mut self.buckets[position(self.current_bucket)], &mut self.window] {
            counts.total += 1;
            counts.accepted += u32::from(admitted);
        }
        if admitted {
            self.next_sample_bucket = 0;
        }
    }

    /// The probability of denying a call over the soft limit: the part of the demand seen that lies over it.
    fn suppression_factor(&mut self, limit: f64) -> f64 {
        if self.factor_bucket != self.current_bucket {
            self.factor_bucket = self.current_bucket;
            let demand = (f64::from(self.window.total) / self.span()).max(f64::from(self.last_second()));
            self.factor = if demand > limit { 1.0 - limit / demand } else { 0.0 };
        }
        self.factor
    }

    /// Calls seen in the last second.
    fn last_second(&self) -> u32 {
        (0..BUCKETS_PER_SECOND)
            .map(|back| self.buckets[position(self.current_bucket.saturating_sub(back))].total)
            .sum()
    }
}

/// Where a bucket stands in the ring of the window's buckets.
#[allow(clippy::cast_possible_truncation, reason = "the remainder lies below the number of buckets")]
fn position(bucket: u64) -> usize {
    (bucket % BUCKETS as u64) as usize
}
