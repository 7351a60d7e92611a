//! State of the endpoints that requests may be sent to.
//!
//! Endpoints start, slow down, fail and leave while requests are in flight, and only this replica's own attempts show
//! the current state of each.
//!
//! * [`endpoint_list`] owns the endpoints reported by service discovery;
//! * [`list_subscription`] schedules subscriptions to that list;
//! * [`endpoint`] is the state of one endpoint, including its [`connections`];
//! * [`outlier`] detects endpoints that fail or are slow, and ejects failing ones for a while;
//! * [`slow_start`] limits what is sent to an endpoint that has just started.
//!
//! The module owns the list with the state of each endpoint, the subscription to the list and the failure rate of the
//! tier.

pub mod connections;
pub mod endpoint;
pub mod endpoint_list;
pub mod list_subscription;
pub mod outlier;
pub mod slow_start;
#[cfg(test)]
#[allow(clippy::float_cmp, reason = "values that no computation has changed are equal to the bit")]
mod tests;
