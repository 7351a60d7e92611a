//! The requests in flight, their attempts and what lets them be retried.
//!
//! * [`request_table`] holds the requests that are not over;
//! * [`attempt`] is one attempt of a request;
//! * [`idempotency`] tells where the rules on idempotency let a request go again;
//! * [`retry_budget`] bounds the retries to a fraction of the requests.

pub mod attempt;
pub mod idempotency;
pub mod request_table;
pub mod retry_budget;
#[cfg(test)]
mod tests;
