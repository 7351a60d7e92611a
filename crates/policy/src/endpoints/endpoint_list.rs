//! The list of endpoints, and when it is asked for.

/// Seconds before a failed subscription is tried again, at first.
pub const RESUBSCRIBE_S: f64 = 0.5;
/// Largest wait for a subscription, in parts of the time within which a copy must ask.
pub const ASK_PART: f64 = 0.4;
