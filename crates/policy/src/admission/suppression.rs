//! Admission by suppression: holds the requests of one key to a rate limit without a hard cut-off.
//!
//! A plain limiter admits everything up to its limit and nothing beyond it. With many balancers that each see a part of
//! the requests, it denies far too much or too little. The suppressed strategy, taken from the source paper, counts the
//! received and the admitted requests in a sliding window. Under the soft limit every request is admitted. Over it,
//! each is admitted with a probability that falls as the observed demand rises (the suppression factor). From the hard
//! limit on, none is admitted. The module owns the window of counts and the suppression factor of one key.

use std::mem::take;

use oorandom::Rand64;

/// Length in seconds of a bucket of the sliding window in which requests are counted. The suppression factor is cached
/// for the same time, so that it covers whole buckets.
pub const BUCKET_S: f64 = 0.1;
/// Number of buckets in the sliding window in which requests are counted. Three seconds smooth the random variation of
/// a few requests per second and forget a burst before it has denied many requests.
const BUCKETS: usize = 30;
/// Length in seconds of a window with buckets of [`BUCKET_S`].
pub const WINDOW_S: f64 = BUCKET_S * BUCKETS as f64;
/// Number of requests that the shared window of all tenants should hold, so that random variation does not dominate it.
const MIN_REQUESTS_PER_WINDOW: f64 = 30.0;
/// Largest multiple of [`BUCKET_S`] to which the buckets of a rarely used window are stretched.
const MAX_BUCKET_STRETCH: f64 = 4.0;
/// Number of buckets in the last second, the shorter of the two periods over which the demand is measured.
const BUCKETS_PER_SECOND: u64 = 10;
/// Hard limit as a multiple of the soft limit. It is wide because otherwise all requests of a tenant that sends several
/// times its quota would be denied, including those within the quota.
const HARD_LIMIT_FACTOR: f64 = 32.0;

/// Number of requests received and number of requests admitted.
#[derive(Debug, Clone, Copy, Default)]
struct RequestCounts {
    total: u32,
    accepted: u32,
}

/// Suppressed strategy for one key, which is a tenant or all tenants together.
#[derive(Debug, Default)]
pub struct Suppressor {
    bucket_s: f64,
    buckets: [RequestCounts; BUCKETS],
    /// Request counts of the whole window: the sums over all buckets.
    window: RequestCounts,
    /// Number of the latest bucket, counted from the start of the clock.
    current_bucket: u64,
    /// Number of the bucket of the first request; `None` before it.
    first_bucket: Option<u64>,
    /// Fraction of a request that the remaining capacity under the soft limit must exceed to admit a request.
    sampled_threshold: f64,
    /// Number of the bucket from which the threshold is sampled again.
    next_sample_bucket: u64,
    /// Suppression factor: the probability of denying a request over the soft limit.
    factor: f64,
    /// Number of the bucket in which the suppression factor was computed.
    factor_bucket: u64,
}

impl Suppressor {
    /// Creates a suppressor for a single tenant, with buckets of [`BUCKET_S`] and no requests counted.
    #[must_use]
    pub fn for_tenant() -> Self {
        Self::with_bucket(BUCKET_S)
    }

    /// Creates a suppressor for all tenants together, with buckets long enough to count some requests each at
    /// `fair_rate` requests per second.
    #[must_use]
    pub fn for_all_tenants(fair_rate: f64) -> Self {
        Self::with_bucket(
            BUCKET_S * (MIN_REQUESTS_PER_WINDOW / (fair_rate * WINDOW_S)).clamp(1.0, MAX_BUCKET_STRETCH),
        )
    }

    fn with_bucket(bucket_s: f64) -> Self {
        Self { bucket_s, factor_bucket: u64::MAX, ..Self::default() }
    }

    /// Number of the bucket that contains the time `now`, counted from the start of the clock.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "whole buckets are counted; the clock starts at 0 and its buckets fit into a u64"
    )]
    fn bucket_at(&self, now: f64) -> u64 {
        (now / self.bucket_s) as u64
    }

    /// Moves the window forward to `now`.
    fn advance(&mut self, now: f64) {
        let bucket = self.bucket_at(now);
        let steps = bucket.saturating_sub(self.current_bucket).min(BUCKETS as u64);
        for step in 1..=steps {
            let old = take(&mut self.buckets[ring_index(self.current_bucket + step)]);
            self.window.total -= old.total;
            self.window.accepted -= old.accepted;
        }
        self.current_bucket = self.current_bucket.max(bucket);
    }

    /// Requests admitted per second, averaged over the window.
    pub fn accepted_rate(&mut self, now: f64) -> f64 {
        self.advance(now);
        f64::from(self.window.accepted) / self.observed_span_s()
    }

    /// Whether less than a second had passed since the first request when the window was last moved.
    #[must_use]
    pub fn is_in_first_second(&self) -> bool {
        self.first_bucket.is_none_or(|first| self.current_bucket < first + BUCKETS_PER_SECOND)
    }

    /// Seconds that the window has covered so far, at least one. If the empty window of a new replica counted in full,
    /// it would admit seconds of overload before it fills, and so would every replica of a new fleet at once.
    fn observed_span_s(&self) -> f64 {
        let first = self.first_bucket.unwrap_or(self.current_bucket);
        let buckets = (self.current_bucket + 1).saturating_sub(first).min(BUCKETS as u64);
        (buckets as f64 * self.bucket_s).max(1.0)
    }

    /// Whether a request fits under the soft limit of `limit` requests per second. If the window has capacity left for
    /// a fraction of a request only, that fraction of the requests fits.
    ///
    /// Otherwise a limit of less than one request per window would admit a whole request in each window, which over
    /// many replicas is several times the limit. The threshold is sampled once per window and again after each
    /// admission. If it were sampled for each request, retries of denied requests would soon draw a low threshold.
    #[must_use]
    pub fn fits_soft_limit(&mut self, now: f64, limit: f64, rng: &mut Rand64) -> bool {
        self.advance(now);
        self.first_bucket.get_or_insert(self.current_bucket);
        if self.current_bucket >= self.next_sample_bucket {
            self.sampled_threshold = rng.rand_float();
            self.next_sample_bucket = self.current_bucket + BUCKETS as u64;
        }
        self.observed_span_s() * limit - f64::from(self.window.accepted) > self.sampled_threshold
    }

    /// Decides whether to admit a request. The decision must then be passed to `count`.
    #[must_use]
    pub fn admit(&mut self, now: f64, limit: f64, rng: &mut Rand64) -> bool {
        let fits = self.fits_soft_limit(now, limit, rng);
        if self.is_over_hard_limit(limit) {
            return false;
        }
        fits || rng.rand_float() >= self.suppression_factor(limit)
    }

    /// Whether the hard limit is reached, at which all requests are denied.
    #[must_use]
    pub fn is_over_hard_limit(&self, limit: f64) -> bool {
        f64::from(self.window.total) >= self.observed_span_s() * limit * HARD_LIMIT_FACTOR
    }

    /// Counts a request after the decision on it.
    pub fn count(&mut self, admitted: bool) {
        for counts in [&mut self.buckets[ring_index(self.current_bucket)], &mut self.window] {
            counts.total += 1;
            counts.accepted += u32::from(admitted);
        }
        if admitted {
            self.next_sample_bucket = 0;
        }
    }

    /// Probability of denying a request over the soft limit: the fraction of the observed demand that exceeds the
    /// limit.
    fn suppression_factor(&mut self, limit: f64) -> f64 {
        if self.factor_bucket != self.current_bucket {
            self.factor_bucket = self.current_bucket;
            let demand = (f64::from(self.window.total) / self.observed_span_s())
                .max(f64::from(self.requests_in_last_second()));
            self.factor = if demand > limit { 1.0 - limit / demand } else { 0.0 };
        }
        self.factor
    }

    /// Number of requests received in the last second.
    fn requests_in_last_second(&self) -> u32 {
        (0..BUCKETS_PER_SECOND)
            .map(|age| self.buckets[ring_index(self.current_bucket.saturating_sub(age))].total)
            .sum()
    }
}

/// Index of a bucket in the ring buffer of the window.
#[allow(clippy::cast_possible_truncation, reason = "the remainder lies below the number of buckets")]
fn ring_index(bucket: u64) -> usize {
    (bucket % BUCKETS as u64) as usize
}
