//! Table of the requests of an instance, by protocol id and by policy id.
//!
//! Request ids are texts in the protocol and integers in the policy. A message may refer to a request after its
//! final response, for example when a cancelled attempt ends. A request therefore stays in the table until both
//! the request and its last attempt have ended. It is then removed, so that memory use does not grow with the
//! number of requests served.
//! The module owns both ids of each request, and the number of its attempts in flight.

use balancer_policy::interface::RequestId;
use rustc_hash::FxHashMap;

/// Requests that a message or an action may still refer to.
#[derive(Default)]
pub struct RequestTable {
    ids_by_wire_id: FxHashMap<Box<str>, RequestId>,
    requests: FxHashMap<RequestId, TrackedRequest>,
    /// Policy id that the next request added to the table is given. Ids are never reused.
    next_id: u64,
}

struct TrackedRequest {
    wire_id: Box<str>,
    attempts_in_flight: u32,
    ended: bool,
}

impl RequestTable {
    /// Returns whether the table contains a request with this protocol id.
    pub fn contains(&self, wire_id: &str) -> bool {
        self.ids_by_wire_id.contains_key(wire_id)
    }

    /// Returns the policy id of a request; `None` if it was removed or is unknown.
    pub fn id(&self, wire_id: &str) -> Option<RequestId> {
        self.ids_by_wire_id.get(wire_id).copied()
    }

    /// Returns the protocol id of a request; `None` if it was removed or is unknown.
    pub fn wire_id(&self, id: RequestId) -> Option<&str> {
        self.requests.get(&id).map(|request| &*request.wire_id)
    }

    /// Adds a request and returns its new policy id.
    pub fn add(&mut self, wire_id: &str) -> RequestId {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        self.ids_by_wire_id.insert(wire_id.into(), id);
        self.requests
            .insert(id, TrackedRequest { wire_id: wire_id.into(), attempts_in_flight: 0, ended: false });
        id
    }

    /// Records that an attempt of a request was sent.
    pub fn attempt_sent(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts_in_flight += 1;
        }
    }

    /// Records that an attempt of a request has ended.
    pub fn attempt_ended(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts_in_flight = request.attempts_in_flight.saturating_sub(1);
        }
    }

    /// Records that a request has its final response, or that its client no longer waits for one.
    pub fn ended(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.ended = true;
        }
    }

    /// Removes a request if it has ended and has no attempt in flight, since no message refers to it any more.
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
