//! What is known of the endpoints that requests may go to.
//!
//! Endpoints start, slow down, fail and leave while requests are in flight, and nobody but this replica's own attempts
//! shows how each does now.
//!
//! * [`endpoint_list`] owns the endpoints that discovery has named;
//! * [`list_subscription`] decides when to subscribe to that list;
//! * [`endpoint`] is what is known of one of them, with its [`connections`];
//! * [`outlier`] finds those that fail or are slow, and ejects them for a while;
//! * [`slow_start`] bounds what one that has just started is sent.
//!
//! The module owns the list with the state of each endpoint, the subscription to it and the failures of the tier.

pub mod connections;
pub mod endpoint;
pub mod endpoint_list;
pub mod list_subscription;
pub mod outlier;
pub mod slow_start;
#[cfg(test)]
#[allow(clippy::float_cmp, reason = "figures that nothing has changed stay the same to the bit")]
mod tests;
