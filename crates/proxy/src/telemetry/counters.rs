//! What the balancer has done since the last line of counts in the log, which gets one every [`LOG_INTERVAL`]. The words of
//! the line must stay as they are: pages and operators search for them.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use balancer_policy::interface::Outcome;

/// Time between two lines: a few bytes a second, however busy the balancer is.
pub const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// What happened since the last line.
#[derive(Debug, Default)]
pub struct Counters {
    /// Requests accepted.
    pub accepted: u32,
    /// Answered with what an upstream answered.
    pub served: u32,
    /// Refused with no attempt made.
    pub denied: u32,
    /// Refused after attempts.
    pub refused: u32,
    /// Failed.
    pub failed: u32,
    /// Abandoned as the client left, or overdue.
    pub left: u32,
    /// Connections to upstreams that were opened.
    pub opened: u32,
    /// Attempts reset on a connection that had been idle before.
    pub reused_reset: u32,
    /// The reason for one of the connections that did not come up has been logged.
    pub unreachable_logged: bool,
    /// Attempts by their outcome: good, error, refused, rejected, timed out, no connection, none in time,
    /// reset, cancelled, not sent.
    outcomes: [u32; 10],
    /// Total duration of the good ones.
    good_total: Duration,
    /// The longest of them.
    good_max: Duration,
}

impl Counters {
    /// Counts the end of an attempt.
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
            denied,
            refused,
            failed,
            left,
            opened,
            reused_reset,
            unreachable_logged: _,
            outcomes,
            good_total,
            good_max,
        } = self;
        let [good, error, full, rejected, late, unreachable, unconnected, reset, withdrawn, unsent] =
            *outcomes;
        write!(
            f,
            "requests: {accepted} taken, {served} served, {denied} denied, {refused} refused, {failed} failed, \
             {left} left; attempts: {good} good ({:.0} ms, {:.0} at most), {error} error, {full} full, \
             {rejected} rejected, {late} late, {unreachable} unreached, {unconnected} not connected in time, \
             {reset} reset ({reused_reset} on kept connections), {withdrawn} withdrawn, \
             {unsent} unsent; {opened} connections opened",
            good_total.as_secs_f64() * 1000.0 / f64::from(good.max(1)),
            good_max.as_secs_f64() * 1000.0,
        )
    }
}
