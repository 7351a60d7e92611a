//! Finds endpoints that fail, are slow or out of reach, and ejects them for a while.

/// Weight of one outcome in an upstream's failure share: the second in a row stands out.
pub const FAIL_WEIGHT: f64 = 0.2;
/// Weight of one outcome in the tier's failure share, and of one latency in its slowness.
pub const TIER_WEIGHT: f64 = 0.02;
/// An upstream whose failure share is over this and over the tier's by the multiple is set aside.
pub const FAIL_OVER: (f64, f64) = (0.3, 2.0);
/// Largest part of a group of upstreams set aside at a time: the rest must carry the load.
pub const ASIDE_MOST: f64 = 0.34;
/// Seconds set aside at first, and at most; doubled when a return fails.
pub const ASIDE_S: (f64, f64) = (1.5, 12.0);
/// Connect timeouts of an upstream, with neither an answer nor a connection between them, that show it out of reach:
/// where a third of all connections come up late, two in a row are chance 1 time in 9, three 1 in 27.
pub const UNREACHABLE_AFTER: u32 = 3;
/// Part of its usual chance with which an upstream returns; doubled by each good answer.
pub const RETURN_AT: f64 = 0.1;
/// An upstream that owes answers and has been silent for this many usual latencies, and seconds, is stalled.
pub const STALL: (f64, f64) = (3.0, 0.25);
/// Weight of one latency in an upstream's slowness.
pub const SLOW_WEIGHT: f64 = 0.15;
/// Weight of one latency in the slowness of its kind of machine: known after some ten calls, when single
/// upstreams are not yet.
pub const KIND_SLOW_WEIGHT: f64 = 0.1;
/// Largest slowness of one call that a kind is charged with, so that a crash leaves its restarted ones with calls.
pub const KIND_SLOW_MOST: f64 = 2.0;
/// Weight of one call in a group's delay.
pub const DELAY_WEIGHT: f64 = 0.05;
