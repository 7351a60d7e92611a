//! What the embedding program reports to a [`Balancer`](crate::Balancer).
//!
//! The same decisions run in service, in the simulator and in tests, so they see the world through one set of messages.
//! Events are plain data: time is handed over beside them, and nothing here decides anything. The module owns no state.

use std::time::Duration;

use crate::ids::{AttemptNumber, ClassId, EndpointId, RequestId, TenantId};
use crate::member::ListUpdate;
use crate::outcome::{LoadReport, Outcome};
use crate::settings::Settings;

/// A request received from a client.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Request {
    /// The request.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, if it has one.
    pub tenant: Option<TenantId>,
    /// The subject of the request, where requests carry one.
    pub subject: Option<u64>,
    /// How long the client still waits.
    pub time_left: Duration,
    /// The work expected, as time on a standard core, where it is known.
    pub expected_work: Option<Duration>,
    /// The client has marked it as a retry of its own.
    pub is_client_retry: bool,
}

/// What happens at a replica of the balancer.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The replica has started; it may subscribe to the list of endpoints.
    Started,
    /// Service discovery has sent an update, or failed to.
    List(ListUpdate),
    /// A request was received.
    Request(Request),
    /// A streamed answer has begun: its attempt can no longer be retried or cancelled.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// The attempt that answers.
        attempt: AttemptNumber,
    },
    /// An attempt is over.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// How it ended.
        outcome: Outcome,
        /// How long it took.
        duration: Duration,
        /// For how long of that it waited for a connection, which is no part of the endpoint's latency.
        connect_wait: Duration,
        /// The request has ended with it, or before.
        finished: bool,
        /// The endpoint's load report, if one came.
        load: Option<LoadReport>,
    },
    /// A connection has come up that no attempt waits for any more: the endpoint is reachable.
    Connected(EndpointId),
    /// The client has closed its connection, or the final answer is overdue: no answer is owed any more.
    ClientDisconnected(RequestId),
    /// The maintenance pass asked for by [`Action::ScheduleMaintenance`](crate::Action::ScheduleMaintenance) is due.
    MaintenanceDue,
    /// The settings have changed.
    ///
    /// Positions keep their meaning: classes and tenants known before stand where they stood, new ones behind them, and
    /// removed ones stay as they were, referred to by no request any more; the quota of a removed tenant is 0. Requests
    /// already received keep the rules that they were received under. Settings that are invalid, or that may not follow
    /// those in force ([`Settings::may_follow`]), change nothing and are reported by
    /// [`Action::Log`](crate::Action::Log).
    Reconfigured(Settings),
    /// The result of a health check.
    HealthChecked {
        /// The endpoint.
        upstream: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// How long it took.
        duration: Duration,
        /// The endpoint's load report, if one came.
        load: Option<LoadReport>,
    },
    /// Another replica has sent a message.
    PeerMessage {
        /// The sender's [`replica_index`](Settings::replica_index).
        from: u32,
        /// What it sent.
        content: Vec<u8>,
    },
}
