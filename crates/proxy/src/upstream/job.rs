//! An attempt as the event loop hands it over, and how it ended.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use balancer_policy::interface::{AttemptNumber, EndpointId, LoadReport, Outcome, RequestId};
use bytes::Bytes;
use tokio::time::Instant;

use super::call::Call;

/// An attempt to make.
#[derive(Debug)]
pub struct Job {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// Where to.
    pub upstream: EndpointId,
    /// Its address.
    pub address: SocketAddr,
    /// What to send.
    pub call: Rc<Call>,
    /// When the policy requested it.
    pub requested_at: Instant,
    /// When it must have begun, if there is a limit.
    pub begin_by: Option<Instant>,
    /// When it is given up.
    pub until: Instant,
    /// No other can follow: it waits for a connection for as long as the settings allow.
    pub is_last_attempt: bool,
}

/// How an attempt ended.
#[derive(Debug)]
pub struct AttemptEnd {
    /// The outcome.
    pub outcome: Outcome,
    /// The answer's body, if served.
    pub body: Option<Bytes>,
    /// The load report, if one came.
    pub load: Option<LoadReport>,
    /// How long it had no connection, if it ever had one.
    pub connect_wait: Option<Duration>,
}

impl From<Outcome> for AttemptEnd {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, body: None, load: None, connect_wait: None }
    }
}
