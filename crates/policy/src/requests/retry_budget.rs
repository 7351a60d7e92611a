//! How many retries the admitted requests pay for.
//!
//! Retries help while few attempts fail; when many do, they multiply the load that made them fail. Each admitted
//! request earns a fraction of a retry, and a retry is sent only where a whole one is saved up. The module owns the
//! retries saved up by one replica.

use crate::interface::Outcome;

/// Retries that may repeat work, earned by each admitted request.
const REPEATS_PER_REQUEST: f64 = 0.1;
/// Retries that may repeat work, saved up at most.
const MAX_REPEATS: f64 = 10.0;
/// Retries of attempts proved not to have run, earned by each admitted request: they cost the tier no work twice.
const REROUTES_PER_REQUEST: f64 = 0.5;
/// Retries of attempts proved not to have run, saved up at most.
const MAX_REROUTES: f64 = 20.0;

/// Retries saved up.
#[derive(Debug)]
struct RetryBudget {
    saved: f64,
    per_request: f64,
    max: f64,
}

impl RetryBudget {
    /// Half full, so that the first requests of a fresh replica may be retried.
    fn new(per_request: f64, max: f64) -> Self {
        Self { saved: max / 2.0, per_request, max }
    }

    fn earn(&mut self) {
        self.saved = (self.saved + self.per_request).min(self.max);
    }

    fn allows_retry(&self) -> bool {
        self.saved >= 1.0
    }
}

/// The budgets of a replica: of retries that may repeat work, and of those after an attempt proved not to have run.
#[derive(Debug)]
pub struct RetryBudgets {
    repeats: RetryBudget,
    reroutes: RetryBudget,
}

impl RetryBudgets {
    /// The budgets of a fresh replica.
    #[must_use]
    pub fn new() -> Self {
        Self {
            repeats: RetryBudget::new(REPEATS_PER_REQUEST, MAX_REPEATS),
            reroutes: RetryBudget::new(REROUTES_PER_REQUEST, MAX_REROUTES),
        }
    }

    /// An admitted request pays in. Denied ones do not: a storm of them must not pay for retries.
    pub fn earn(&mut self) {
        self.repeats.earn();
        self.reroutes.earn();
    }

    /// Whether a retry is saved up for an attempt that ended so.
    #[must_use]
    pub fn allow_retry_after(&self, outcome: Outcome) -> bool {
        if outcome.never_ran() { self.reroutes.allows_retry() } else { self.repeats.allows_retry() }
    }

    /// Whether a retry is saved up for an attempt that finds no connection.
    #[must_use]
    pub fn allow_reroute(&self) -> bool {
        self.reroutes.allows_retry()
    }

    /// A retry was sent for an attempt that ended so.
    pub fn spend(&mut self, outcome: Outcome) {
        let budget = if outcome.never_ran() { &mut self.reroutes } else { &mut self.repeats };
        budget.saved -= 1.0;
    }
}
