//! The description of an attempt that the event loop starts, and the result of an attempt.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use balancer_policy::interface::{AttemptNumber, EndpointId, LoadReport, Outcome, RequestId};
use bytes::Bytes;
use tokio::time::Instant;

use super::call::Call;

/// An attempt that the policy has requested.
#[derive(Debug)]
pub struct Job {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The number of the attempt within its request.
    pub attempt: AttemptNumber,
    /// The upstream that the attempt is sent to.
    pub upstream: EndpointId,
    /// The address of the upstream when the policy chose it.
    pub address: SocketAddr,
    /// The forwarded parts of the client's request.
    pub call: Rc<Call>,
    /// Time at which the policy requested the attempt.
    pub requested_at: Instant,
    /// Time after which no byte of the request may be written any more, because upstreams would not recognise it as a
    /// repeat; `None` if there is no such limit.
    pub write_deadline: Option<Instant>,
    /// Deadline at which the attempt is given up, unless its answer is still coming.
    pub attempt_deadline: Instant,
    /// Deadline of the answer to the client, at which the attempt is given up in any case.
    pub answer_deadline: Instant,
    /// Whether no other attempt can follow, so that this one waits for a connection for the whole connect timeout of
    /// the settings.
    pub is_last_attempt: bool,
}

/// The result of an attempt that has ended.
#[derive(Debug)]
pub struct AttemptEnd {
    /// The outcome of the attempt, as the policy distinguishes outcomes.
    pub outcome: Outcome,
    /// The body of the response, if the attempt served the request.
    pub body: Option<Bytes>,
    /// The load report of the response, if it carried one.
    pub load: Option<LoadReport>,
    /// How long the attempt waited for a connection to the upstream; `None` if it never got one.
    pub connect_wait: Option<Duration>,
}

impl From<Outcome> for AttemptEnd {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, body: None, load: None, connect_wait: None }
    }
}
