//! What an endpoint that has just started may be sent.

use crate::interface::Rules;

/// Part of the room between a cold upstream's capacity and its fall that each may use where no warm one is beside it:
/// growth, sends saved up, and sends that no answer has earned. With all three, chance still has a quarter of it.
pub const COLD_ROOM: f64 = 0.25;
/// Largest growth with each answer of a cold upstream: doubled within four, as fast as a slow start needs.
pub const COLD_GROWTH_MOST: f64 = 0.25;
/// What an answer past its aim earns: a queue has formed, which must get shorter.
pub const COLD_LATE: f64 = 0.5;
/// Sends that all copies together may begin with in each window of overload, while nothing is known of an upstream.
pub const COLD_FIRST: f64 = 1.0;

/// Part of its capacity by which a cold upstream may be sent more than it can do, for each of the three uses of that.
pub fn overload_headroom(rules: &Rules) -> f64 {
    ((rules.overload_multiple - 1.0) * COLD_ROOM).max(0.0)
}
