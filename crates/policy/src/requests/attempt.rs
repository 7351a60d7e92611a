//! One attempt of a request, and how it ended.

use crate::interface::{AttemptNumber, Member, Outcome};

/// Seconds that an attempt must have left: a time-out at the deadline may be off by a rounding.
pub const LEAST_S: f64 = 0.001;

#[derive(Debug)]
pub struct Attempt {
    pub slot: usize,
    pub member: Member,
    pub sent: f64,
    /// `None` while it is out.
    pub ended: Option<Outcome>,
    pub withdrawn: bool,
}

/// How an attempt ended, after how long, for how long of that it had a connection, the aim of its request, and whether
/// that ended too.
#[derive(Debug, Clone, Copy)]
pub struct AttemptEnd {
    pub number: AttemptNumber,
    pub outcome: Outcome,
    pub took: f64,
    pub served: f64,
    pub aim: f64,
    pub finished: bool,
}
