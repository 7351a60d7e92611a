//! The requests in flight, their attempts and what lets them be retried.
//!
//! A request may have several attempts, whose ends come in any order, and must end exactly once, with no effect
//! repeated that must not be.
//!
//! * [`request_table`] holds the requests that are not over;
//! * [`attempt`] is one attempt of a request;
//! * [`idempotency`] tells where the rules on idempotency let a request go again;
//! * [`retry_budget`] bounds the retries to a fraction of the requests.
//!
//! The module owns the table of requests and the retry budgets.

pub mod attempt;
pub mod idempotency;
pub mod request_table;
pub mod retry_budget;
#[cfg(test)]
mod tests;
