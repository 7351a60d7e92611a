//! Counters of the balancer, written to the log as one line every [`LOG_INTERVAL`] and then reset. The words of the
//! line must not change, because documentation refers to them and operators search for them.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use balancer_policy::interface::Outcome;

use super::closes::Closes;

/// Time between two lines of counters. At this interval the log grows by a few bytes a second, however busy the
/// balancer is.
pub const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Counts of what happened since the last line of counters.
#[derive(Debug, Default)]
pub struct Counters {
    /// Number of requests that the event loop received from clients and handed to the policy since the last line of
    /// counters.
    pub accepted: u32,
    /// Number of requests that were answered with the answer of an upstream since the last line of counters.
    pub served: u32,
    /// Number of requests that were refused without any attempt since the last line of counters.
    pub refused_without_attempt: u32,
    /// Number of requests that were refused after at least one attempt since the last line of counters.
    pub refused: u32,
    /// Number of requests that were answered as failed since the last line of counters.
    pub failed: u32,
    /// Number of requests that ended without an answer since the last line of counters, because the client disconnected
    /// or its time was up.
    pub abandoned: u32,
    /// Number of connections to upstreams that were established since the last line of counters.
    pub opened: u32,
    /// Number of attempts that were reset on a connection that had been idle before since the last line of counters.
    pub reused_reset: u32,
    /// Client connections that were closed since the last line of counters, by reason.
    pub closes: Closes,
    /// Whether a failure to connect to an upstream has been logged since the last line of counters.
    pub unreachable_logged: bool,
    /// Whether a request that was not accepted has been logged since the last line of counters.
    pub unaccepted_logged: bool,
    /// Number of attempts that ended since the last line of counters, by [`Outcome`]. In the words of the line: good,
    /// error, full, rejected, late, unreached, not connected in time, reset, withdrawn, unsent.
    outcomes: [u32; 10],
    /// Total duration of the successful attempts that ended since the last line of counters.
    good_total: Duration,
    /// Longest duration of a successful attempt that ended since the last line of counters.
    good_max: Duration,
}

impl Counters {
    /// Counts an attempt that has ended.
    pub fn attempt(&mut self, outcome: Outcome, duration: Duration) {
        self.outcomes[outcome as usize] += 1;
        if outcome == Outcome::Success {
            self.good_total += duration;
            self.good_max = self.good_max.max(duration);
        }
    }
}

impl Display for Counters {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self {
            accepted,
            served,
            refused_without_attempt,
            refused,
            failed,
            abandoned,
            opened,
            reused_reset,
            unreachable_logged: _,
            unaccepted_logged: _,
            closes: _,
            outcomes,
            good_total,
            good_max,
        } = self;
        let [
            good,
            error,
            refused_attempts,
            rejected,
            timed_out,
            unreachable,
            unconnected,
            reset,
            withdrawn,
            unsent,
        ] = *outcomes;
        write!(
            f,
            "requests: {accepted} taken, {served} served, {refused_without_attempt} denied, {refused} refused, \
             {failed} failed, {abandoned} left; attempts: {good} good ({:.0} ms, {:.0} at most), {error} error, \
             {refused_attempts} full, {rejected} rejected, {timed_out} late, {unreachable} unreached, \
             {unconnected} not connected in time, {reset} reset ({reused_reset} on kept connections), \
             {withdrawn} withdrawn, {unsent} unsent; {opened} connections opened",
            good_total.as_secs_f64() * 1000.0 / f64::from(good.max(1)),
            good_max.as_secs_f64() * 1000.0,
        )
    }
}
