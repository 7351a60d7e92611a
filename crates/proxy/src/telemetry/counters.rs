//! Counts of what the balancer did, for one log line every [`EVERY`].

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use balancer_policy::interface::Outcome;

/// Time between two lines: a few bytes a second, however busy the balancer is.
pub const EVERY: Duration = Duration::from_secs(5);

/// What happened since the last line.
#[derive(Debug, Default)]
pub struct Counters {
    /// Requests taken.
    pub taken: u32,
    /// Answered with what an upstream answered.
    pub served: u32,
    /// Refused with no attempt made.
    pub denied: u32,
    /// Refused after attempts.
    pub refused: u32,
    /// Failed.
    pub failed: u32,
    /// Left by the caller, or overdue.
    pub left: u32,
    /// Connections to upstreams that were opened.
    pub opened: u32,
    /// Attempts reset on a connection that had been kept.
    pub kept_reset: u32,
    /// The reason for one of the connections that did not come up has been logged.
    pub unreached_told: bool,
    /// Attempts by their outcome: good, error, refused, rejected, timed out, no connection, none in time,
    /// reset, withdrawn, not sent.
    outcomes: [u32; 10],
    /// Time that the good ones took, and the longest.
    took: Duration,
    longest: Duration,
}

impl Counters {
    /// Counts the end of an attempt.
    pub fn attempt(&mut self, outcome: Outcome, took: Duration) {
        self.outcomes[outcome as usize] += 1;
        if outcome == Outcome::Good {
            self.took += took;
            self.longest = self.longest.max(took);
        }
    }
}

impl Display for Counters {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self {
            taken,
            served,
            denied,
            refused,
            failed,
            left,
            opened,
            kept_reset,
            unreached_told: _,
            outcomes,
            took,
            longest,
        } = self;
        let [good, error, full, rejected, late, unreached, unconnected, reset, withdrawn, unsent] = *outcomes;
        write!(
            f,
            "requests: {taken} taken, {served} served, {denied} denied, {refused} refused, {failed} failed, \
             {left} left; attempts: {good} good ({:.0} ms, {:.0} at most), {error} error, {full} full, \
             {rejected} rejected, {late} late, {unreached} unreached, {unconnected} not connected in time, \
             {reset} reset ({kept_reset} on kept connections), {withdrawn} withdrawn, \
             {unsent} unsent; {opened} connections opened",
            took.as_secs_f64() * 1000.0 / f64::from(good.max(1)),
            longest.as_secs_f64() * 1000.0,
        )
    }
}
