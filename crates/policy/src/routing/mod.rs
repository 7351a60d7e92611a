//! Which endpoint an attempt goes to.
//!
//! Many replicas choose at once without knowing each other's choices, and must not all choose the same endpoint.
//!
//! * [`subset`] is the part of the endpoints that one replica sends to;
//! * [`locality`] tells how much of the requests stays in the replica's own zone;
//! * [`selection`] takes the less busy of two random members.
//!
//! The module owns the subset and the locality.

pub mod locality;
pub mod selection;
pub mod subset;
#[cfg(test)]
#[allow(clippy::float_cmp, reason = "figures at the edge of their range are that edge to the bit")]
mod tests;
