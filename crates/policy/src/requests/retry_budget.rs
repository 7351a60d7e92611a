//! Retry budgets, which limit the retries to a fraction of the admitted requests.
//!
//! Retries help while few attempts fail. When many attempts fail, retries multiply the load that made them fail. Each
//! admitted request therefore adds a fraction of a retry to the budget, and a retry is sent only if the budget holds at
//! least one. A transparent retry is one after an attempt that never ran. The module owns the retry budgets of one
//! replica.

use crate::interface::Outcome;

/// Fraction of a retry that each admitted request adds to the budget of retries that may repeat work.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Largest balance of the budget of retries that may repeat work, in retries.
const MAX_RETRIES: f64 = 10.0;
/// Fraction of a retry that each admitted request adds to the budget of transparent retries. It is larger, since they
/// cause the tier no duplicate work.
const TRANSPARENT_RETRIES_PER_REQUEST: f64 = 0.5;
/// Largest balance of the budget of transparent retries, in retries.
const MAX_TRANSPARENT_RETRIES: f64 = 20.0;

/// A budget that admitted requests fill and retries use up.
#[derive(Debug)]
struct RetryBudget {
    /// Number of retries that this budget allows to be sent now.
    balance: f64,
    /// Fraction of a retry that each admitted request adds to the balance.
    per_request: f64,
    /// Largest number of retries that the balance can hold.
    max: f64,
}

impl RetryBudget {
    /// Creates a budget that is half full, so that the first requests after the start of a replica can be retried.
    fn new(per_request: f64, max: f64) -> Self {
        Self { balance: max / 2.0, per_request, max }
    }

    fn deposit(&mut self) {
        self.balance = (self.balance + self.per_request).min(self.max);
    }

    fn allows_retry(&self) -> bool {
        self.balance >= 1.0
    }
}

/// The retry budgets of a replica: one for retries that may repeat work and one for transparent retries.
#[derive(Debug)]
pub struct RetryBudgets {
    retries: RetryBudget,
    transparent_retries: RetryBudget,
}

impl RetryBudgets {
    /// Creates the retry budgets of a replica that has just started.
    #[must_use]
    pub fn new() -> Self {
        Self {
            retries: RetryBudget::new(RETRIES_PER_REQUEST, MAX_RETRIES),
            transparent_retries: RetryBudget::new(TRANSPARENT_RETRIES_PER_REQUEST, MAX_TRANSPARENT_RETRIES),
        }
    }

    /// Adds the share of an admitted request to both budgets. Denied requests add nothing, so that a flood of them
    /// cannot fund retries.
    pub fn deposit(&mut self) {
        self.retries.deposit();
        self.transparent_retries.deposit();
    }

    /// Whether the budget allows a retry of an attempt that ended with `outcome`.
    #[must_use]
    pub fn allow_retry_after(&self, outcome: Outcome) -> bool {
        if outcome.never_ran() {
            self.transparent_retries.allows_retry()
        } else {
            self.retries.allows_retry()
        }
    }

    /// Whether the budget allows a transparent retry, of an attempt that never ran.
    #[must_use]
    pub fn allow_transparent_retry(&self) -> bool {
        self.transparent_retries.allows_retry()
    }

    /// Takes one retry from the budget, for a retry of an attempt that ended with `outcome`.
    pub fn withdraw(&mut self, outcome: Outcome) {
        let budget = if outcome.never_ran() { &mut self.transparent_retries } else { &mut self.retries };
        budget.balance -= 1.0;
    }
}
