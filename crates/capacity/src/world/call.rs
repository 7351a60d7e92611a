//! Calls at times that are drawn beforehand, and their outcomes.

use std::time::Duration;

use oorandom::Rand64;

use super::upstreams::Seen;

/// Calls of a pair lie this far apart at least, so that neither waits for the other on the way.
const OFFSET_LEAST_S: f64 = 0.001;

/// And at most this much further.
const OFFSET_MORE_S: f64 = 0.002;

/// What a call may do to its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// It may run any number of times.
    Read,
    /// Its key makes one of several.
    Pay,
    /// It must not run twice.
    Order,
}

impl Class {
    /// Seven of ten read, two pay, one orders.
    fn draw(rng: &mut Rand64) -> Self {
        match rng.rand_range(0..10) {
            0..7 => Self::Read,
            7..9 => Self::Pay,
            _ => Self::Order,
        }
    }
}

/// A call to make.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Call {
    /// When it is to be sent, from the start of the play.
    pub at: Duration,
    /// Which way.
    pub way: usize,
    /// Its class.
    pub class: Class,
    /// Calls of one number belong together.
    pub pair: usize,
}

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// With its own response.
    Right {
        /// No request had come on that connection before.
        new_connection: bool,
    },
    /// Turned away, not run.
    Refused,
    /// With another answer, or another call's.
    Wrong,
    /// With none.
    Lost,
}

/// A call that was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Played {
    /// When its sending began, from the start of the play.
    pub sent: Duration,
    /// When its answer was whole.
    pub done: Duration,
    /// How it ended.
    pub end: End,
}

impl Played {
    /// From its scheduled time to its response, so that a client that sends late hides nothing.
    #[must_use]
    pub fn latency(&self, call: &Call) -> Duration {
        self.done.saturating_sub(call.at)
    }

    /// Whether it had its own answer.
    #[must_use]
    pub fn is_right(&self) -> bool {
        matches!(self.end, End::Right { .. })
    }
}

/// Calls at drawn times with the mean `rate` a second, each once on every way: the first way at the times of a Poisson
/// process, or `even`ly; each other way by a drawn offset later or sooner, which leaves a Poisson process one.
#[must_use]
pub fn paired(rng: &mut Rand64, ways: usize, rate: f64, span: Duration, even: bool) -> Vec<Call> {
    let (mut at, mut calls) = (0.0, Vec::new());
    for pair in 0.. {
        at += if even { 1.0 / rate } else { -(1.0 - rng.rand_float()).ln() / rate };
        if at >= span.as_secs_f64() {
            break;
        }
        let class = Class::draw(rng);
        for way in 0..ways {
            let offset = if way == 0 { 0.0 } else { OFFSET_LEAST_S + rng.rand_float() * OFFSET_MORE_S };
            let offset = if rng.rand_u64() & 1 == 0 { offset } else { -offset };
            calls.push(Call { at: Duration::from_secs_f64((at + offset).max(0.0)), way, class, pair });
        }
    }
    calls.sort_by_key(|call| call.at);
    calls
}

/// Calls by how they ended, and how many ran other than they should.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Made.
    pub calls: usize,
    /// Had their own answer.
    pub right: usize,
    /// Were turned away, and did not run.
    pub refused: usize,
    /// Had another answer, or were turned away though they ran.
    pub wrong: usize,
    /// Had none.
    pub lost: usize,
    /// Ran twice though they must not.
    pub twice: usize,
    /// Ran twice, and may.
    pub repeated: usize,
}

impl Counts {
    /// Of a play whose ids begin with `first_id`.
    #[must_use]
    pub fn of(calls: &[Call], played: &[Played], seen: &Seen, first_id: usize) -> Self {
        let mut counts = Self { calls: calls.len(), ..Self::default() };
        for (number, (call, played)) in calls.iter().zip(played).enumerate() {
            let runs = seen.runs(first_id + number);
            match played.end {
                // An answer that nobody computed is nobody's.
                End::Right { .. } if runs > 0 => counts.right += 1,
                End::Refused if runs == 0 => counts.refused += 1,
                End::Lost => counts.lost += 1,
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

    /// Of two plays together.
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
