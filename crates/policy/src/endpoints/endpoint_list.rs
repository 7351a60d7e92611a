//! The list of endpoints reported by service discovery.
//!
//! Attempts may end long after their endpoint was removed from the list. Each endpoint therefore has a slot, by which
//! the rest of the policy refers to it. A slot is reused only after its endpoint was removed and the last attempt to it
//! has ended. The module owns the endpoints by slot.

use oorandom::Rand64;
use rustc_hash::FxHashMap;

use crate::endpoints::endpoint::Endpoint;
use crate::interface::{EndpointId, Lifecycle, MachineKindId, Member, Settings};

/// Lower bound of the largest weight, so that relative weights are never divided by 0.
const MIN_WEIGHT: f64 = 1e-9;

/// Slots of the ready endpoints by zone, each list ordered by endpoint id.
#[derive(Debug, Default)]
pub struct ReadyByZone {
    /// Slots of the ready endpoints in the replica's own zone.
    pub local: Vec<usize>,
    /// Slots of the ready endpoints in other zones.
    pub remote: Vec<usize>,
}

/// The known endpoints, by slot.
#[derive(Debug)]
pub struct EndpointList {
    endpoints: Vec<Endpoint>,
    slot_by_id: FxHashMap<EndpointId, usize>,
    free_slots: Vec<usize>,
    /// Slots of the ready endpoints, ordered by endpoint id.
    ready: Vec<usize>,
    largest_weight: f64,
}

impl EndpointList {
    /// Creates an empty list.
    #[must_use]
    pub fn new() -> Self {
        Self {
            endpoints: Vec::new(),
            slot_by_id: FxHashMap::default(),
            free_slots: Vec::new(),
            ready: Vec::new(),
            largest_weight: 1.0,
        }
    }

    /// Endpoint in the given slot.
    #[must_use]
    pub fn get(&self, slot: usize) -> &Endpoint {
        &self.endpoints[slot]
    }

    /// Endpoint in the given slot, for changes.
    pub fn get_mut(&mut self, slot: usize) -> &mut Endpoint {
        &mut self.endpoints[slot]
    }

    /// Endpoint with the given id; `None` if the id is unknown.
    pub fn by_id_mut(&mut self, id: EndpointId) -> Option<&mut Endpoint> {
        let slot = *self.slot_by_id.get(&id)?;
        Some(&mut self.endpoints[slot])
    }

    /// Iterates over the endpoints of all slots, including free ones.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Endpoint> {
        self.endpoints.iter_mut()
    }

    /// Slots of the ready endpoints, ordered by endpoint id.
    #[must_use]
    pub fn ready(&self) -> &[usize] {
        &self.ready
    }

    /// Weight of an endpoint relative to the largest weight of a ready endpoint.
    #[must_use]
    pub fn relative_weight(&self, slot: usize) -> f64 {
        self.endpoints[slot].member.weight / self.largest_weight
    }

    /// Applies a snapshot. Endpoints that it does not contain are marked as removed.
    pub fn replace(&mut self, now: f64, members: Vec<Member>, rng: &mut Rand64) {
        for endpoint in &mut self.endpoints {
            endpoint.member.lifecycle = Lifecycle::Removed;
        }
        self.apply_delta(now, members, rng);
    }

    /// Applies a delta, which contains the changed entries only.
    pub fn apply_delta(&mut self, now: f64, members: Vec<Member>, rng: &mut Rand64) {
        for member in members {
            self.update_member(now, member, rng);
        }
    }

    fn update_member(&mut self, now: f64, member: Member, rng: &mut Rand64) {
        if let Some(endpoint) = self.by_id_mut(member.id) {
            endpoint.update(member, now, rng);
        } else if member.lifecycle != Lifecycle::Removed {
            let endpoint = Endpoint::new(member, now, rng);
            let slot = self.insert(endpoint);
            self.slot_by_id.insert(member.id, slot);
        }
    }

    /// Stores an endpoint in a free slot, or in a new slot at the end.
    fn insert(&mut self, endpoint: Endpoint) -> usize {
        if let Some(slot) = self.free_slots.pop() {
            self.endpoints[slot] = endpoint;
            return slot;
        }
        self.endpoints.push(endpoint);
        self.endpoints.len() - 1
    }

    /// Rebuilds the ordered list of ready endpoints after updates. Frees the slots of removed endpoints without
    /// attempts in flight, and returns the ready endpoints by zone.
    pub fn rebuild_ready(&mut self, settings: &Settings) -> ReadyByZone {
        let mut order: Vec<(EndpointId, usize)> =
            self.slot_by_id.iter().map(|(&id, &slot)| (id, slot)).collect();
        order.sort_unstable();
        self.ready.clear();
        self.largest_weight = MIN_WEIGHT;
        let mut by_zone = ReadyByZone::default();
        for (id, slot) in order {
            let endpoint = &mut self.endpoints[slot];
            if endpoint.member.lifecycle != Lifecycle::Ready {
                if endpoint.member.lifecycle == Lifecycle::Removed && endpoint.in_flight == 0 {
                    self.slot_by_id.remove(&id);
                    self.free_slots.push(slot);
                }
                continue;
            }
            endpoint.is_local = endpoint.member.zone == Some(settings.zone);
            endpoint.machine_kind =
                endpoint.member.machine_kind.map_or(settings.machine_kinds, |MachineKindId(machine_kind)| {
                    machine_kind.min(settings.machine_kinds)
                });
            self.largest_weight = self.largest_weight.max(endpoint.member.weight);
            self.ready.push(slot);
            let zone = if endpoint.is_local { &mut by_zone.local } else { &mut by_zone.remote };
            zone.push(slot);
        }
        by_zone
    }
}
