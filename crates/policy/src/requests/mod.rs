//! The requests in flight, their attempts and retries.

pub mod attempt;
pub mod idempotency;
pub mod request_table;
pub mod retry_budget;
