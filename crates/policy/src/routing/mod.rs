//! Which endpoint an attempt goes to.
//!
//! * [`subset`] is the part of the endpoints that one replica sends to;
//! * [`locality`] tells how much of the requests stays in the replica's own zone;
//! * [`selection`] takes the less busy of two random members.

pub mod locality;
pub mod selection;
pub mod subset;
#[cfg(test)]
#[allow(clippy::float_cmp, reason = "figures at the edge of their range are that edge to the bit")]
mod tests;
