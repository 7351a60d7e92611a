//! The requests of an instance, by their ids on the wire and in the policy.
//!
//! The wire's ids are texts, the policy's small integers, and a message may name a request after its final
//! answer: the end of an attempt that was cancelled, say. So a request stays in the table until it has ended
//! and its last attempt has, and no longer: an instance must not grow with the requests that it has served.
//! The module owns both ids of each request, and how many of its attempts are in flight.

use balancer_policy::interface::RequestId;
use rustc_hash::FxHashMap;

/// Requests that a line or an action may still name.
#[derive(Default)]
pub struct RequestTable {
    ids_by_wire_id: FxHashMap<Box<str>, RequestId>,
    requests: FxHashMap<RequestId, TrackedRequest>,
    /// Ids are never used again.
    next_id: u64,
}

struct TrackedRequest {
    wire_id: Box<str>,
    attempts_in_flight: u32,
    ended: bool,
}

impl RequestTable {
    /// Whether a request has this id on the wire.
    pub fn contains(&self, wire_id: &str) -> bool {
        self.ids_by_wire_id.contains_key(wire_id)
    }

    /// The policy's id of a request; `None` for one that is over or was never seen.
    pub fn id(&self, wire_id: &str) -> Option<RequestId> {
        self.ids_by_wire_id.get(wire_id).copied()
    }

    /// The id of a request on the wire.
    pub fn wire_id(&self, id: RequestId) -> Option<&str> {
        self.requests.get(&id).map(|request| &*request.wire_id)
    }

    /// Adds a request and gives out its id.
    pub fn add(&mut self, wire_id: &str) -> RequestId {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        self.ids_by_wire_id.insert(wire_id.into(), id);
        self.requests
            .insert(id, TrackedRequest { wire_id: wire_id.into(), attempts_in_flight: 0, ended: false });
        id
    }

    /// An attempt was sent.
    pub fn attempt_sent(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts_in_flight += 1;
        }
    }

    /// An attempt is over.
    pub fn attempt_ended(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts_in_flight = request.attempts_in_flight.saturating_sub(1);
        }
    }

    /// The request has its final answer, or nobody waits for one.
    pub fn ended(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.ended = true;
        }
    }

    /// Removes a request that has ended and has no attempt in flight: nothing names it any more.
    pub fn remove_if_finished(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get(&id)
            && request.ended
            && request.attempts_in_flight == 0
        {
            self.ids_by_wire_id.remove(&request.wire_id);
            self.requests.remove(&id);
        }
    }
}
