//! What is known when an attempt has ended: its outcome and the load report that came with the answer.
//!
//! How an attempt ended decides whether a retry may repeat an effect and whether the failure counts against the
//! endpoint. All components use the one classification of this module. The module has no state.

use std::time::Duration;

/// How an attempt or a health check ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint answered the request successfully.
    Success,
    /// The endpoint answered with an error. The request may have run.
    Error,
    /// The endpoint refused the request to shed load. The request never ran.
    Refused,
    /// The endpoint answered that the request is invalid, as any other endpoint would. The request may have run.
    InvalidRequest,
    /// No answer arrived before the timeout. The request may have run or may still be running.
    TimedOut,
    /// The endpoint refused the connection, or the connection broke before the last byte of the request was sent. The
    /// request never ran.
    ConnectFailed,
    /// No connection was established before the timeout, though one may be established later. The request never ran.
    ConnectTimedOut,
    /// The connection broke at a point where the request may already have run.
    Reset,
    /// The balancer cancelled the attempt. The request may have run.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the request never ran at the endpoint, so that a retry cannot repeat an effect.
    #[must_use]
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Refused | Self::ConnectFailed | Self::ConnectTimedOut | Self::NotSent)
    }

    /// Whether the balancer stopped waiting for an answer.
    pub(crate) fn is_given_up(self) -> bool {
        matches!(self, Self::TimedOut | Self::Cancelled)
    }

    /// Whether the attempt got no connection over which it could be sent.
    pub(crate) fn found_no_connection(self) -> bool {
        matches!(self, Self::ConnectFailed | Self::ConnectTimedOut)
    }

    /// Whether an attempt with this outcome costs a connection.
    pub(crate) fn breaks_connection(self) -> bool {
        self.found_no_connection() || self == Self::Reset
    }
}

/// A load report that an endpoint sent with an answer. Fields that the endpoint does not report are `None`.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LoadReport {
    /// Number of requests in flight at the endpoint.
    pub in_flight: Option<f64>,
    /// Number of requests queued at the endpoint.
    pub queued: Option<f64>,
    /// Processor utilization of the endpoint, as a fraction.
    pub utilization: Option<f64>,
    /// Recent latency of the endpoint's requests, without the time spent in its queue.
    pub latency: Option<Duration>,
    /// Number of requests that the endpoint serves per second.
    pub rate: Option<f64>,
    /// Number of errors that the endpoint answers with per second.
    pub error_rate: Option<f64>,
}
