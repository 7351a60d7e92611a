//! What a [`Balancer`](crate::Balancer) asks the embedding program to do.
//!
//! Decisions that did their own input and output could not be tested without sockets and timers. So each is handed out
//! as plain data, and the embedding program carries the actions out in the order given. The module owns no state.

use std::time::Duration;

use crate::ids::{AttemptNumber, EndpointId, RequestId};

/// What a replica asks the embedding program to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send the request to an endpoint. Attempts are numbered from 0 in the order sent.
    Send {
        /// The request.
        request: RequestId,
        /// The endpoint.
        upstream: EndpointId,
        /// The timeout of the attempt; `None` for as long as the client waits.
        timeout: Option<Duration>,
        /// Its first byte must be out within this; `None` for any time. Past it the attempt could repeat an effect.
        first_byte_deadline: Option<Duration>,
        /// No retry can follow if it finds no connection: it waits for one as long as the settings allow.
        is_last_attempt: bool,
    },
    /// Cancel an attempt; its end is still to be reported.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// End the request unserved: the client may safely retry.
    Refuse {
        /// The request.
        request: RequestId,
        /// The value of Retry-After: how long the client should wait before it retries.
        retry_after: Option<Duration>,
    },
    /// End the request as failed: it may or may not have run.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Open a subscription to the list of endpoints.
    Subscribe,
    /// Send a health check; its result comes as [`Event::HealthChecked`](crate::Event::HealthChecked).
    HealthCheck {
        /// The endpoint.
        upstream: EndpointId,
    },
    /// Close the idle connections to an endpoint.
    CloseIdle {
        /// The endpoint.
        upstream: EndpointId,
    },
    /// Deliver [`Event::MaintenanceDue`](crate::Event::MaintenanceDue) after this long.
    ScheduleMaintenance(Duration),
    /// A line for the operator's log.
    Log(String),
}
