//! What service discovery reports about the endpoints: the members of the list and updates of the list.
//!
//! Discovery services use different formats, which the embedding program translates into these types. The module has
//! no state; the list itself is kept by `endpoints::endpoint_list`.

use crate::ids::{EndpointId, MachineKindId, Time, ZoneId};

/// The lifecycle of an endpoint's process, as discovery reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lifecycle {
    /// The endpoint runs and accepts requests.
    Ready,
    /// The endpoint finishes its requests in flight and accepts no new ones.
    Draining,
    /// The endpoint was removed from the list.
    Removed,
}

/// One entry of the list of endpoints.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Member {
    /// Identifier of the endpoint.
    pub id: EndpointId,
    /// Zone of the endpoint; `None` if the settings do not name that zone.
    pub zone: Option<ZoneId>,
    /// Kind of machine that the endpoint runs on; `None` if the settings do not name that kind.
    pub machine_kind: Option<MachineKindId>,
    /// Number of the endpoint's cell, for classes whose idempotency keys are shared within a cell.
    pub cell: u32,
    /// Lifecycle state of the endpoint.
    pub lifecycle: Lifecycle,
    /// Capacity of the endpoint relative to the others; 1 if capacities are not known.
    pub weight: f64,
    /// Time on the policy's clock at which the endpoint's process last started; `None` if that was long ago.
    pub started: Option<Time>,
}

/// An update of the list of endpoints, or a failure to get one.
#[derive(Debug, Clone, PartialEq)]
pub enum ListUpdate {
    /// The complete list. Endpoints that are absent from it have been removed.
    Snapshot(Vec<Member>),
    /// The complete list that the replica cached last, which may be stale.
    CachedSnapshot(Vec<Member>),
    /// A delta of the list: only the entries that have changed.
    Delta(Vec<Member>),
    /// The request for the list failed, or the subscription broke. The list stays as it is.
    Broken,
    /// The address of the discovery service has changed. Handled like [`ListUpdate::Broken`], but the backoff starts
    /// from its minimum again.
    Relocated,
}
