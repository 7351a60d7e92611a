//! Routing: which endpoint an attempt is sent to.
//!
//! Many replicas choose at the same time without knowing each other's choices, and must not all choose the same
//! endpoint.
//!
//! * [`subset`] is the part of the endpoints that one replica sends to;
//! * [`locality`] decides which fraction of the requests stays in the replica's own zone;
//! * [`selection`] chooses the less loaded of two random members of the subset.
//!
//! The module owns the subset and the locality.

pub mod locality;
pub mod selection;
pub mod subset;
#[cfg(test)]
#[allow(clippy::float_cmp, reason = "clamping to a bound of a range gives exactly that bound")]
mod tests;
