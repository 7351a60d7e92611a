//! Actions: what a [`Balancer`](crate::Balancer) asks the embedding program to do.
//!
//! The balancer does no input or output itself, so that its decisions can be tested without sockets and timers. It
//! returns each decision as plain data, and the embedding program carries out the actions in the order in which they
//! are returned. The module has no state.

use std::time::Duration;

use crate::ids::{AttemptNumber, EndpointId, RequestId};

/// A request from the balancer to the embedding program to do something.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send an attempt of a request to an endpoint. The attempts of a request are numbered from 0 in the order in which
    /// they are sent.
    Send {
        /// The request to send.
        request: RequestId,
        /// The endpoint to send the attempt to.
        upstream: EndpointId,
        /// Timeout of the attempt, counted from this action; `None` means as long as the client waits.
        timeout: Option<Duration>,
        /// Time, counted from this action, within which the first byte of the attempt must be sent; `None` means no
        /// bound. An attempt that starts later could repeat the effect of an earlier one.
        first_byte_deadline: Option<Duration>,
        /// Whether no retry can follow if this attempt gets no connection. Such an attempt waits for a connection for
        /// as long as the settings allow.
        is_last_attempt: bool,
    },
    /// Cancel an attempt. The embedding program still reports the end of the cancelled attempt.
    CancelAttempt {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// Number, within the request, of the attempt to cancel.
        attempt: AttemptNumber,
    },
    /// Answer the client that its request is refused. The client may safely retry.
    Refuse {
        /// The request to refuse.
        request: RequestId,
        /// Value of the Retry-After header: how long the client should wait before it retries.
        retry_after: Option<Duration>,
    },
    /// Answer the client that its request has failed. The request may or may not have run.
    Fail {
        /// The request that has failed.
        request: RequestId,
    },
    /// Open a subscription to the list of endpoints.
    Subscribe,
    /// Send a health check to an endpoint. The result is reported by
    /// [`Event::HealthChecked`](crate::Event::HealthChecked).
    HealthCheck {
        /// The endpoint to check.
        upstream: EndpointId,
    },
    /// Close the idle connections to an endpoint.
    CloseIdle {
        /// The endpoint whose idle connections are closed.
        upstream: EndpointId,
    },
    /// Deliver [`Event::MaintenanceDue`](crate::Event::MaintenanceDue) after the given duration.
    ScheduleMaintenance(Duration),
    /// Write a line to the operator's log.
    Log(String),
}
