//! The requests in flight, their attempts, and the rules and budgets for retries.
//!
//! A request can have several attempts, which end in any order. The request itself must end exactly once, and a retry
//! must not repeat the effect of a request that is not idempotent.
//!
//! * [`request_table`] holds the requests that are pending;
//! * [`attempt`] is one attempt of a request;
//! * [`idempotency`] decides which endpoints a request may be retried at;
//! * [`retry_budget`] limits the retries to a fraction of the requests.
//!
//! The module owns the request table and the retry budgets.

pub mod attempt;
pub mod idempotency;
pub mod request_table;
pub mod retry_budget;
#[cfg(test)]
mod tests;
