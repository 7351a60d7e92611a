//! Subsetting: the part of the endpoints that one replica sends to.
//!
//! If every replica sent to every endpoint, the number of connections would be the product of both, and a replica would
//! see too few requests at each endpoint to judge its health. Each replica therefore sends to an arc of a ring of
//! endpoints. Together the arcs cover all endpoints evenly, and a change of the list changes few members. The module
//! owns the members of the subset by zone, their delays and the available fraction of the tier.

use oorandom::Rand64;

use crate::endpoints::endpoint::Endpoint;
use crate::endpoints::endpoint_list::{EndpointList, ReadyByZone};
use crate::endpoints::slow_start::WarmPeers;
use crate::interface::{Outcome, Settings};
use crate::requests::attempt::AttemptEnd;
use crate::routing::locality::Locality;

/// Lower bound of the available fraction of the tier. If more endpoints than that are ejected, the tier itself is at
/// fault and no endpoints have been lost.
const MIN_AVAILABLE: f64 = 0.5;
/// Average number of replicas that send to each endpoint.
const REPLICAS_PER_ENDPOINT: f64 = 4.0;
/// Least number of members of a subset. With fewer members, two random draws pick the same one too often.
const MIN_MEMBERS: usize = 8;
/// Distance between the arcs of replicas with consecutive indexes, as a fraction of the ring. It is the inverse of
/// the golden ratio, which spreads any number of replicas evenly.
const STRIDE_FRACTION: f64 = 0.618;
/// Weight of one request in the moving average of a group's delay.
const DELAY_WEIGHT: f64 = 0.05;

/// The members of the subset in the replica's own zone, or those in all other zones.
#[derive(Debug, Default)]
pub struct Group {
    /// Number of ready endpoints in the zones of the group, whether or not they are members of the subset.
    ready_count: usize,
    /// Slots of the members of the group.
    pub members: Vec<usize>,
    /// Rate at which the warm members of the group answer.
    pub peers: WarmPeers,
    /// Moving average of the duration of attempts to the group, in latency objectives.
    delay: f64,
}

impl Group {
    /// Average number of replicas, out of `replicas`, that send to one member of the group.
    fn sharing_replicas(&self, replicas: u32) -> f64 {
        (f64::from(replicas) * self.members.len() as f64 / self.ready_count.max(1) as f64).max(1.0)
    }

    /// Adds the duration of an attempt to the moving average of the group's delay. A failed attempt counts with at
    /// least the latency objective.
    fn record_delay(&mut self, end: &AttemptEnd) {
        let is_answered = matches!(end.outcome, Outcome::Success | Outcome::Error);
        let delay = if is_answered { end.duration } else { end.duration.max(end.latency_objective) }
            / end.latency_objective;
        self.delay += DELAY_WEIGHT * (delay - self.delay);
    }
}

/// The part of the tier's endpoints that this replica sends to.
#[derive(Debug)]
pub struct Subset {
    /// Members of the subset in the replica's own zone.
    pub local: Group,
    /// Members of the subset in other zones.
    pub remote: Group,
    /// Fraction of the requests that stays in the own zone.
    pub locality: Locality,
    /// Number of ready endpoints in the first list of endpoints that had any.
    initial_ready_count: usize,
    /// Fraction of the tier's capacity that is available, compared with the first list that had a ready endpoint.
    available_capacity: f64,
    /// Number of this replica's attempts in flight, to any endpoint.
    in_flight: u32,
}

impl Subset {
    /// Creates an empty subset, before the first list of endpoints has arrived.
    #[must_use]
    pub fn new() -> Self {
        Self {
            local: Group::default(),
            remote: Group::default(),
            locality: Locality::default(),
            initial_ready_count: 0,
            available_capacity: 1.0,
            in_flight: 0,
        }
    }

    /// The group of the own zone if `is_local`, else the group of the other zones.
    #[must_use]
    pub fn group(&self, is_local: bool) -> &Group {
        if is_local { &self.local } else { &self.remote }
    }

    fn group_mut(&mut self, is_local: bool) -> &mut Group {
        if is_local { &mut self.local } else { &mut self.remote }
    }

    /// The fraction of the tier's capacity that is available, from [`MIN_AVAILABLE`] to 1.
    #[must_use]
    pub fn available_capacity(&self) -> f64 {
        self.available_capacity
    }

    /// Number of members of the subset, in both groups together.
    fn size(&self) -> usize {
        self.local.members.len() + self.remote.members.len()
    }

    /// Average number of this replica's attempts in flight per member.
    #[must_use]
    pub fn average_in_flight(&self) -> f64 {
        f64::from(self.in_flight) / self.size().max(1) as f64
    }

    /// Records that an attempt is sent.
    pub fn begin_attempt(&mut self) {
        self.in_flight += 1;
    }

    /// Records that an attempt has ended.
    pub fn end_attempt(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Rebuilds the subset after an update of the list of endpoints or a change of the number of replicas.
    pub fn rebuild(&mut self, settings: &Settings, ready: &ReadyByZone) {
        if self.initial_ready_count == 0 {
            self.initial_ready_count = ready.local.len() + ready.remote.len();
        }
        self.local.ready_count = ready.local.len();
        self.remote.ready_count = ready.remote.len();
        // Below the first tier, requests arrive already spread over the zones by the tier above.
        let first_fraction = if settings.tier == 0 { self.even_fraction() } else { 1.0 };
        self.locality.set_initial(first_fraction);
        let replicas = f64::from(settings.replicas);
        self.local.members = arc(settings, replicas / settings.zones as f64, &ready.local);
        self.remote.members = arc(settings, replicas, &ready.remote);
    }

    /// The fraction of the ready endpoints that is in the own zone.
    fn even_fraction(&self) -> f64 {
        let (local, remote) = (self.local.ready_count as f64, self.remote.ready_count as f64);
        local / (local + remote).max(1.0)
    }

    /// Whether slow start allows another attempt to `endpoint`. Its send budget follows the rate of the warm members of
    /// its group.
    #[must_use]
    pub fn slow_start_allows(&self, now: f64, endpoint: &mut Endpoint, settings: &Settings) -> bool {
        let warm_fraction = endpoint.warm_fraction(now, &settings.rules);
        if warm_fraction >= 1.0 {
            return true;
        }
        let group = self.group(endpoint.is_local);
        let sharing_replicas = group.sharing_replicas(settings.replicas);
        endpoint.send_budget.allows_send(now, warm_fraction, &group.peers, sharing_replicas, &settings.rules)
    }

    /// Updates the slow start of `endpoint` and the delay of its group from the end of an attempt.
    pub fn record_attempt(
        &mut self,
        now: f64,
        endpoint: &mut Endpoint,
        end: &AttemptEnd,
        settings: &Settings,
    ) {
        let is_warm = endpoint.warm_fraction(now, &settings.rules) >= 1.0;
        let group = self.group_mut(endpoint.is_local);
        if end.outcome == Outcome::Success {
            endpoint.send_budget.record_answer();
            if is_warm {
                group.peers.record_answer();
            } else {
                endpoint.send_budget.earn(
                    &group.peers,
                    end.duration <= end.latency_objective,
                    &settings.rules,
                );
            }
        }
        group.record_delay(end);
    }

    /// Runs a maintenance pass: updates the available fraction of the tier, the local fraction of the requests and the
    /// answer rates of the warm members.
    pub fn maintain(&mut self, now: f64, endpoints: &EndpointList, settings: &Settings, rng: &mut Rand64) {
        let capacity = |&slot: &usize| endpoints.get(slot).available_fraction(now, &settings.rules);
        // Quotas are meant for the whole tier. While a part of it is removed, warming up or ejected, the full quotas
        // would overload the rest.
        let members = self.local.members.iter().chain(&self.remote.members);
        let member_fraction = members.map(capacity).sum::<f64>() / self.size().max(1) as f64;
        let ready = endpoints.ready().len() as f64 / self.initial_ready_count.max(1) as f64;
        self.available_capacity = (member_fraction * ready).clamp(MIN_AVAILABLE, 1.0);
        let even = self.even_fraction();
        self.locality.adapt(self.local.delay, self.remote.delay, even, settings.costs.cross_zone, rng);
        for group in [&mut self.local, &mut self.remote] {
            let warm = group.members.iter().filter(|&slot| capacity(slot) >= 1.0).count();
            group.peers.maintain(warm);
        }
    }
}

/// The slots in the arc of `ring` that this replica sends to. `sharing_replicas` is the number of replicas that divide
/// the ring among themselves.
///
/// The arcs of the replicas start at even distances. Replicas with consecutive indexes may be in the same zone, so a
/// stride spreads their arcs over the ring.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "sizes, strides and starts are non-negative integers bounded by the number of endpoints or replicas"
)]
fn arc(settings: &Settings, sharing_replicas: f64, ring: &[usize]) -> Vec<usize> {
    let (replica_index, replicas) = (u64::from(settings.replica_index), u64::from(settings.replicas));
    let count = ring.len();
    let size = (count as f64 * REPLICAS_PER_ENDPOINT / sharing_replicas.max(1.0)).ceil() as usize;
    let size = size.clamp(MIN_MEMBERS.min(count), count);
    let mut stride = (f64::from(settings.replicas) * STRIDE_FRACTION).round().max(1.0) as u64;
    while greatest_common_divisor(stride, replicas) != 1 {
        stride += 1;
    }
    let position = replica_index * stride % replicas;
    let start = (position * count as u64 / replicas) as usize;
    (0..size).map(|step| ring[(start + step) % count]).collect()
}

fn greatest_common_divisor(a: u64, b: u64) -> u64 {
    if b == 0 { a } else { greatest_common_divisor(b, a % b) }
}
