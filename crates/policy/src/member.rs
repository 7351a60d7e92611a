//! What service discovery says of the endpoints: the members of the list and its updates.
//!
//! Discovery services differ in their formats; the embedding program translates them into these types. The module owns
//! no state: the list itself is that of `endpoints::endpoint_list`.

use crate::ids::{EndpointId, KindId, Time, ZoneId};

/// The lifecycle of an endpoint's process, as discovery reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lifecycle {
    /// It runs.
    Ready,
    /// It finishes the requests in flight and accepts no new ones.
    Draining,
    /// It was removed.
    Removed,
}

/// One entry of the list of endpoints.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Member {
    /// The endpoint.
    pub id: EndpointId,
    /// Its zone; `None` for one that the settings do not name.
    pub zone: Option<ZoneId>,
    /// Its kind of machine; `None` for one that the settings do not name.
    pub kind: Option<KindId>,
    /// Its cell, for classes whose idempotency keys are remembered by cell.
    pub cell: u32,
    /// The state of its lifecycle.
    pub lifecycle: Lifecycle,
    /// Its capacity relative to the others; 1 where capacities are not known.
    pub weight: f64,
    /// The time of its latest start; `None` for long ago.
    pub started: Option<Time>,
}

/// An update of the list of endpoints, or the failure to get one.
#[derive(Debug, Clone, PartialEq)]
pub enum ListUpdate {
    /// A snapshot: what is absent has been removed.
    Snapshot(Vec<Member>),
    /// The latest snapshot that the replica has cached, which may be stale.
    CachedSnapshot(Vec<Member>),
    /// Changed entries only.
    Delta(Vec<Member>),
    /// The request for the list failed, or the subscription broke; the list stays as it is.
    Broken,
    /// Discovery is at another address now: as after [`ListUpdate::Broken`], but the backoff starts anew.
    Relocated,
}
