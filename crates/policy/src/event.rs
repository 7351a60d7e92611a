//! Events: what the embedding program reports to a [`Balancer`](crate::Balancer).
//!
//! The same policy runs in production, in the simulator and in tests, so all of them report to it by one set of
//! events. Events are plain data; the time of an event is passed separately. The module has no state.

use std::time::Duration;

use crate::ids::{AttemptNumber, ClassId, EndpointId, RequestId, TenantId};
use crate::member::ListUpdate;
use crate::outcome::{LoadReport, Outcome};
use crate::settings::Settings;

/// A request received from a client.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Request {
    /// Identifier of the request.
    pub id: RequestId,
    /// Class of the request.
    pub class: ClassId,
    /// Tenant that the request belongs to, if any.
    pub tenant: Option<TenantId>,
    /// Subject of the request, if it carries one.
    pub subject: Option<u64>,
    /// How much longer the client waits for an answer, from the time of the event on.
    pub time_left: Duration,
    /// Work that the request is expected to cost, as processor time on a standard core; `None` if it is unknown.
    pub expected_work: Option<Duration>,
    /// Whether the client has marked the request as a retry of an earlier one.
    pub is_client_retry: bool,
}

/// Something that has happened at a replica of the balancer.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The replica has started and can subscribe to the list of endpoints.
    Started,
    /// Service discovery has sent an update of the list of endpoints, or could not send one.
    List(ListUpdate),
    /// A client's request has been received.
    Request(Request),
    /// A streamed answer has begun. The attempt that it belongs to can no longer be retried or cancelled.
    StreamStarted {
        /// The request that is being answered.
        request: RequestId,
        /// Number, within the request, of the attempt that answers.
        attempt: AttemptNumber,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// Number of the attempt within its request.
        attempt: AttemptNumber,
        /// How the attempt ended.
        outcome: Outcome,
        /// Total duration of the attempt, including `connect_wait`.
        duration: Duration,
        /// Part of `duration` that the attempt spent waiting for a connection. It does not count as latency of the
        /// endpoint.
        connect_wait: Duration,
        /// Whether the request has ended too, with this attempt or before it.
        request_finished: bool,
        /// Load report that the endpoint sent with the answer, if any.
        load: Option<LoadReport>,
    },
    /// A connection to the endpoint was established after the attempts that waited for it had ended. It shows that the
    /// endpoint is reachable.
    Connected(EndpointId),
    /// The client has closed its connection, or its deadline for a final answer has passed. The request needs no
    /// answer any more.
    ClientDisconnected(RequestId),
    /// The maintenance pass requested by [`Action::ScheduleMaintenance`](crate::Action::ScheduleMaintenance) is due.
    MaintenanceDue,
    /// The settings have changed.
    ///
    /// Indexes keep their meaning. Existing classes and tenants keep their index, and new ones are appended. A removed
    /// class or tenant stays in the settings but is no longer referred to by any request; a removed tenant has a quota
    /// of 0. Requests that were received earlier keep the settings under which they were received. Settings that are
    /// invalid, or that must not replace the current ones ([`Settings::validate_change_from`]), are ignored and
    /// reported by [`Action::Log`](crate::Action::Log).
    Reconfigured(Settings),
    /// A health check has ended.
    HealthChecked {
        /// The endpoint that was checked.
        upstream: EndpointId,
        /// How the health check ended.
        outcome: Outcome,
        /// Duration of the health check.
        duration: Duration,
        /// Load report that the endpoint sent with the answer, if any.
        load: Option<LoadReport>,
    },
    /// Another replica has sent a message to this one.
    PeerMessage {
        /// [`replica_index`](Settings::replica_index) of the replica that sent the message.
        from: u32,
        /// Content of the message, as the other replica sent it.
        content: Vec<u8>,
    },
}
