//! What an attempt shows when it is over: its outcome and the load report that came with the answer.
//!
//! Whether a retry may repeat an effect, and whom a failure speaks against, depends on how the attempt ended, so the
//! ways are distinguished here once for all components. The module owns no state.

use std::time::Duration;

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Success,
    /// Answered with an error; it may have run.
    Error,
    /// Refused by an endpoint that sheds load; it never ran.
    Refused,
    /// Answered that the request itself is invalid, as any endpoint would; it may have run.
    InvalidRequest,
    /// No answer in time; it may have run or still run.
    TimedOut,
    /// No connection: the endpoint refused it, or it broke before the last byte of the request; it never ran.
    ConnectFailed,
    /// No connection came up in time, though one may yet; it never ran.
    ConnectTimedOut,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled by the balancer; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran, so that a retry repeats no effect.
    #[must_use]
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Refused | Self::ConnectFailed | Self::ConnectTimedOut | Self::NotSent)
    }

    /// Whether the balancer no longer waited for an answer.
    pub(crate) fn is_given_up(self) -> bool {
        matches!(self, Self::TimedOut | Self::Cancelled)
    }

    /// Whether there was no connection to send it over.
    pub(crate) fn found_no_connection(self) -> bool {
        matches!(self, Self::ConnectFailed | Self::ConnectTimedOut)
    }

    /// Whether a connection is lost with it.
    pub(crate) fn breaks_connection(self) -> bool {
        self.found_no_connection() || self == Self::Reset
    }
}

/// A load report that came with an answer; fields that the endpoint does not report are `None`.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LoadReport {
    /// Requests in flight at the endpoint.
    pub in_flight: Option<f64>,
    /// Requests queued.
    pub queued: Option<f64>,
    /// Fraction of the processor in use.
    pub utilization: Option<f64>,
    /// Recent latency, without the time in the queue.
    pub latency: Option<Duration>,
    /// Requests served a second.
    pub rate: Option<f64>,
    /// Errors a second.
    pub error_rate: Option<f64>,
}
