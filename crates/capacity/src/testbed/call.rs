//! Calls of the open-loop client: their schedule, which is drawn before a run, and their outcomes.

use std::time::Duration;

use oorandom::Rand64;

use super::upstreams::RequestRecords;

/// Minimum time between the calls of a pair, so that neither waits for the other on its way, in seconds.
const MIN_OFFSET_S: f64 = 0.001;

/// Maximum time that is added to [`MIN_OFFSET_S`] at random, in seconds.
const OFFSET_RANGE_S: f64 = 0.002;

/// Class of a call, which determines whether the balancer may send it to an upstream more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// An idempotent call, which may run any number of times.
    Read,
    /// A call with an idempotency key, by which upstreams deduplicate repeated attempts.
    Pay,
    /// A call that must run at most once.
    Order,
}

impl Class {
    /// Draws a class at random: on average, of ten calls seven read, two pay and one orders.
    fn draw(rng: &mut Rand64) -> Self {
        match rng.rand_range(0..10) {
            0..7 => Self::Read,
            7..9 => Self::Pay,
            _ => Self::Order,
        }
    }
}

/// A scheduled call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Call {
    /// Time from the start of the run until the call is due to be sent.
    pub at: Duration,
    /// Index of the route on which the call is sent.
    pub route: usize,
    /// Class of the call.
    pub class: Class,
    /// Number of the pair: the calls with the same number are sent on different routes at nearly the same time.
    pub pair: usize,
}

/// Outcome of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The call received its own response.
    Right {
        /// Whether the call was the first request on its upstream connection, as the upstream reports.
        new_connection: bool,
    },
    /// The call was rejected with 503.
    Refused,
    /// The call received a response of another status or of another call.
    Wrong,
    /// The call received no response.
    Lost,
}

/// Times and outcome of a call that was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallResult {
    /// Time from the start of the run until the client began to send the call.
    pub sent: Duration,
    /// Time from the start of the run until the response was complete.
    pub done: Duration,
    /// Outcome of the call.
    pub end: CallOutcome,
}

impl CallResult {
    /// Time from the scheduled time of the call to its response, so that the delay of a client that sends late is
    /// included.
    #[must_use]
    pub fn latency(&self, call: &Call) -> Duration {
        self.done.saturating_sub(call.at)
    }

    /// Whether the call received its own response.
    #[must_use]
    pub fn is_right(&self) -> bool {
        matches!(self.end, CallOutcome::Right { .. })
    }
}

/// Draws the schedule of calls, with a mean of `rate` calls per second on each route. The calls of the first route are
/// sent at the times of a Poisson process, or at equal intervals if `even` is set. Those of each other route are sent a
/// random offset earlier or later; a Poisson process with independent random offsets remains a Poisson process.
#[must_use]
pub fn paired(rng: &mut Rand64, routes: usize, rate: f64, span: Duration, even: bool) -> Vec<Call> {
    let (mut at, mut calls) = (0.0, Vec::new());
    for pair in 0.. {
        at += if even { 1.0 / rate } else { -(1.0 - rng.rand_float()).ln() / rate };
        if at >= span.as_secs_f64() {
            break;
        }
        let class = Class::draw(rng);
        for route in 0..routes {
            let offset = if route == 0 { 0.0 } else { MIN_OFFSET_S + rng.rand_float() * OFFSET_RANGE_S };
            let offset = if rng.rand_u64() & 1 == 0 { offset } else { -offset };
            calls.push(Call { at: Duration::from_secs_f64((at + offset).max(0.0)), route, class, pair });
        }
    }
    calls.sort_by_key(|call| call.at);
    calls
}

/// Numbers of calls by outcome, and of those that ran more than once at upstreams.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Number of calls that were counted, whatever their outcome.
    pub calls: usize,
    /// Number of calls that received their own response.
    pub right: usize,
    /// Number of calls that were rejected with 503 and did not run at any upstream.
    pub refused: usize,
    /// Number of calls that received a wrong response, or were rejected although they ran at an upstream.
    pub wrong: usize,
    /// Number of calls that received no response.
    pub lost: usize,
    /// Number of calls that ran more than once at upstreams although their class forbids it.
    pub twice: usize,
    /// Number of calls that ran more than once at upstreams, as their class allows.
    pub repeated: usize,
}

impl Counts {
    /// Counts the calls of a run by outcome. The request id of each call is `first_id` plus its index in `calls`.
    #[must_use]
    pub fn of(
        calls: &[Call],
        call_results: &[CallResult],
        records: &RequestRecords,
        first_id: usize,
    ) -> Self {
        let mut counts = Self { calls: calls.len(), ..Self::default() };
        for (number, (call, call_result)) in calls.iter().zip(call_results).enumerate() {
            let runs = records.runs(first_id + number);
            match call_result.end {
                // A response to a request that reached no upstream is wrong, whatever it contains.
                CallOutcome::Right { .. } if runs > 0 => counts.right += 1,
                CallOutcome::Refused if runs == 0 => counts.refused += 1,
                CallOutcome::Lost => counts.lost += 1,
                _ => counts.wrong += 1,
            }
            if runs > 1 && call.class == Class::Order {
                counts.twice += 1;
            } else if runs > 1 {
                counts.repeated += 1;
            }
        }
        counts
    }

    /// Sums of the counts of two runs.
    #[must_use]
    pub fn and(self, other: Self) -> Self {
        Self {
            calls: self.calls + other.calls,
            right: self.right + other.right,
            refused: self.refused + other.refused,
            wrong: self.wrong + other.wrong,
            lost: self.lost + other.lost,
            twice: self.twice + other.twice,
            repeated: self.repeated + other.repeated,
        }
    }
}
