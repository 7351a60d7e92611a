//! Retry budgets, which limit the retries to a fraction of the admitted requests.
//!
//! Retries help while few attempts fail. When many attempts fail, retries multiply the load that made them fail. Each
//! admitted request therefore adds a fraction of a retry to the budget, and a retry is sent only if the budget holds at
//! least one. The module owns the retry budgets of one replica.

use crate::interface::Outcome;

/// Fraction of a retry that each admitted request adds to the budget of retries that may repeat work.
const REPEATS_PER_REQUEST: f64 = 0.1;
/// Largest balance of the budget of retries that may repeat work, in retries.
const MAX_REPEATS: f64 = 10.0;
/// Fraction of a retry that each admitted request adds to the budget of retries after attempts that never ran. It is
/// larger, since such retries cause the tier no duplicate work.
const REROUTES_PER_REQUEST: f64 = 0.5;
/// Largest balance of the budget of retries after attempts that never ran, in retries.
const MAX_REROUTES: f64 = 20.0;

/// A budget that admitted requests fill and retries use up.
#[derive(Debug)]
struct RetryBudget {
    /// Number of retries that may be sent now.
    saved: f64,
    /// Fraction of a retry that each admitted request adds.
    per_request: f64,
    /// Upper bound of the balance.
    max: f64,
}

impl RetryBudget {
    /// Creates a budget that is half full, so that the first requests after the start of a replica can be retried.
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

/// The retry budgets of a replica: one for retries that may repeat work and one for retries after attempts that never
/// ran.
#[derive(Debug)]
pub struct RetryBudgets {
    repeats: RetryBudget,
    reroutes: RetryBudget,
}

impl RetryBudgets {
    /// Creates the retry budgets of a replica that has just started.
    #[must_use]
    pub fn new() -> Self {
        Self {
            repeats: RetryBudget::new(REPEATS_PER_REQUEST, MAX_REPEATS),
            reroutes: RetryBudget::new(REROUTES_PER_REQUEST, MAX_REROUTES),
        }
    }

    /// Adds the share of an admitted request to both budgets. Denied requests add nothing, so that a flood of them
    /// cannot fund retries.
    pub fn earn(&mut self) {
        self.repeats.earn();
        self.reroutes.earn();
    }

    /// Whether the budget allows a retry of an attempt that ended with `outcome`.
    #[must_use]
    pub fn allow_retry_after(&self, outcome: Outcome) -> bool {
        if outcome.never_ran() { self.reroutes.allows_retry() } else { self.repeats.allows_retry() }
    }

    /// Whether the budget allows a retry of an attempt that never ran.
    #[must_use]
    pub fn allow_reroute(&self) -> bool {
        self.reroutes.allows_retry()
    }

    /// Takes one retry from the budget, for a retry of an attempt that ended with `outcome`.
    pub fn spend(&mut self, outcome: Outcome) {
        let budget = if outcome.never_ran() { &mut self.reroutes } else { &mut self.repeats };
        budget.saved -= 1.0;
    }
}
