//! What the ends of calls tell of congestion, and when the limits decrease for it.

/// Seconds between drops, at least and at most: drawn, so that copies do not cut together.
pub const DROP_EVERY_S: (f64, f64) = (0.25, 0.5);
/// Seconds of calls in the share that met crowding, as servers choke within two, and the weight of one at most.
pub const CROWDING: (f64, f64) = (2.0, 0.15);
/// Weight of a call let in before the latest drop, in parts of a fresh one's: only slow ones are left to end, few
/// fresh ones beside them, and a drop would call for the next. Not none: in a jam fresh calls end too late.
pub const BEFORE_DROP: f64 = 0.3;
/// Crowding from which a limit drops.
pub const CROWDED: f64 = 0.2;
/// Crowding of a call that failed or came late; of others it is how often the typical latency doubled, more
/// or less (a natural logarithm), so that a few heavy calls count little and a general delay much.
pub const CROWDED_MOST: f64 = 2.0;
/// Part of the aim from which a time-out is taken for one of the whole: the rest may go to connections.
pub const WHOLE: f64 = 0.9;
/// Tier failure share from which an error counts as crowding below and not as a bad upstream.
pub const CROWDED_ERRORS: f64 = 0.1;
