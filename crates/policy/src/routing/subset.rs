//! Subsetting: the part of the endpoints that one replica sends to.
//!
//! If every replica sent to every endpoint, connections would grow with their product, and a replica would see too few
//! requests of each endpoint to judge it. Each replica sends to an arc of the ring of endpoints, so that together
//! they cover all of them evenly and a change of the list moves few. The module owns the members of the subset by zone,
//! their delays and what of the tier is available.

use oorandom::Rand64;

use crate::endpoints::endpoint::Endpoint;
use crate::endpoints::endpoint_list::{EndpointList, ReadyByZone};
use crate::endpoints::slow_start::WarmPeers;
use crate::interface::{Outcome, Settings};
use crate::requests::attempt::AttemptEnd;
use crate::routing::locality::Locality;

/// Least part of a tier that counts as available: more ejected is a fault of the tier, no loss of servers.
const MIN_AVAILABLE: f64 = 0.5;
/// Replicas that cover each endpoint, on average.
const REPLICAS_PER_ENDPOINT: f64 = 4.0;
/// Members of a subset, at least: two draws out of fewer meet too often.
const MIN_MEMBERS: usize = 8;
/// Part of the ring by which the arcs of replicas with neighbouring numbers lie apart: the golden section, which
/// spreads any count of them.
const STRIDE: f64 = 0.618;
/// Weight of one request in a group's delay.
const DELAY_WEIGHT: f64 = 0.05;

/// The members of the subset in one zone, or in all other zones.
#[derive(Debug, Default)]
pub struct Group {
    /// Endpoints of the group's zones, members or not.
    listed: usize,
    /// Slots of the members.
    pub members: Vec<usize>,
    /// What the warm members answer.
    pub peers: WarmPeers,
    /// Time that requests take, failed ones at their duration, in latency objectives.
    delay: f64,
}

impl Group {
    /// The replicas of `replicas` that send to one member of the group, on average.
    fn sharers(&self, replicas: u32) -> f64 {
        (f64::from(replicas) * self.members.len() as f64 / self.listed.max(1) as f64).max(1.0)
    }

    /// Takes the time of an attempt into the group's delay; a failed one counts as no less than its latency objective.
    fn record_delay(&mut self, end: &AttemptEnd) {
        let is_answered = matches!(end.outcome, Outcome::Success | Outcome::Error);
        let delay = if is_answered { end.duration } else { end.duration.max(end.latency_objective) }
            / end.latency_objective;
        self.delay += DELAY_WEIGHT * (delay - self.delay);
    }
}

/// The replica's part of the tier.
#[derive(Debug)]
pub struct Subset {
    /// Members of the own zone.
    pub local: Group,
    /// Members of other zones.
    pub remote: Group,
    /// How much stays in the own zone.
    pub locality: Locality,
    /// Endpoints ready in the first list.
    first_ready: usize,
    /// The part of their capacity that is still available.
    available: f64,
    /// Attempts of this replica in flight, to members or not.
    in_flight: u32,
}

impl Subset {
    /// Empty, before the first list.
    #[must_use]
    pub fn new() -> Self {
        Self {
            local: Group::default(),
            remote: Group::default(),
            locality: Locality::default(),
            first_ready: 0,
            available: 1.0,
            in_flight: 0,
        }
    }

    /// The group of the own zone or of the others.
    #[must_use]
    pub fn group(&self, is_local: bool) -> &Group {
        if is_local { &self.local } else { &self.remote }
    }

    fn group_mut(&mut self, is_local: bool) -> &mut Group {
        if is_local { &mut self.local } else { &mut self.remote }
    }

    /// The part of the tier's capacity that is available.
    #[must_use]
    pub fn available(&self) -> f64 {
        self.available
    }

    /// Members in all.
    fn size(&self) -> usize {
        self.local.members.len() + self.remote.members.len()
    }

    /// Attempts in flight to a member, on average.
    #[must_use]
    pub fn average_in_flight(&self) -> f64 {
        f64::from(self.in_flight) / self.size().max(1) as f64
    }

    /// An attempt is sent.
    pub fn begin_attempt(&mut self) {
        self.in_flight += 1;
    }

    /// An attempt has ended.
    pub fn end_attempt(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Lays out the subset anew, after an update of the list or with another number of replicas.
    pub fn lay_out(&mut self, settings: &Settings, ready: &ReadyByZone) {
        if self.first_ready == 0 {
            self.first_ready = ready.local.len() + ready.remote.len();
        }
        self.local.listed = ready.local.len();
        self.remote.listed = ready.remote.len();
        // Below the first tier the clients stand where the tier above was spread to.
        let first_fraction = if settings.tier == 0 { self.even_fraction() } else { 1.0 };
        self.locality.begin(first_fraction);
        let replicas = f64::from(settings.replicas);
        self.local.members = arc(settings, replicas / settings.zones as f64, &ready.local);
        self.remote.members = arc(settings, replicas, &ready.remote);
    }

    /// The fraction of the endpoints that is of the own zone.
    fn even_fraction(&self) -> f64 {
        let (local, remote) = (self.local.listed as f64, self.remote.listed as f64);
        local / (local + remote).max(1.0)
    }

    /// Whether slow start lets another attempt go to `endpoint`, beside the warm members of its group.
    #[must_use]
    pub fn slow_start_allows(&self, now: f64, endpoint: &mut Endpoint, settings: &Settings) -> bool {
        let warm_fraction = endpoint.warm_fraction(now, &settings.rules);
        if warm_fraction >= 1.0 {
            return true;
        }
        let group = self.group(endpoint.is_local);
        let sharers = group.sharers(settings.replicas);
        endpoint.send_budget.allows_send(now, warm_fraction, &group.peers, sharers, &settings.rules)
    }

    /// Learns from the end of an attempt to `endpoint` what it tells of slow start and of its group's delay.
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

    /// The subset's part of a maintenance pass: measures what of the tier is available, and how much stays local.
    pub fn maintain(&mut self, now: f64, endpoints: &EndpointList, settings: &Settings, rng: &mut Rand64) {
        let capacity = |&slot: &usize| endpoints.get(slot).available_fraction(now, &settings.rules);
        // Quotas are parts of a whole tier: while some is gone, warming up or ejected, the rest would choke.
        let members = self.local.members.iter().chain(&self.remote.members);
        let part = members.map(capacity).sum::<f64>() / self.size().max(1) as f64;
        let ready = endpoints.ready().len() as f64 / self.first_ready.max(1) as f64;
        self.available = (part * ready).clamp(MIN_AVAILABLE, 1.0);
        let even = self.even_fraction();
        self.locality.adapt(self.local.delay, self.remote.delay, even, settings.costs.cross_zone, rng);
        for group in [&mut self.local, &mut self.remote] {
            let warm = group.members.iter().filter(|&slot| capacity(slot) >= 1.0).count();
            group.peers.maintain(warm);
        }
    }
}

/// The arc of a ring of endpoints that this replica sends to, where each is shared by `sharers` replicas if it is in
/// all arcs.
///
/// The starts of the replicas are evenly spaced; a stride spreads neighbours in number, which may share a zone, over
/// the ring.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "sizes, strides and starts are whole, not negative and bounded by the endpoints or the replicas"
)]
fn arc(settings: &Settings, sharers: f64, ring: &[usize]) -> Vec<usize> {
    let (replica_index, replicas) = (u64::from(settings.replica_index), u64::from(settings.replicas));
    let count = ring.len();
    let size = (count as f64 * REPLICAS_PER_ENDPOINT / sharers.max(1.0)).ceil() as usize;
    let size = size.clamp(MIN_MEMBERS.min(count), count);
    let mut stride = (f64::from(settings.replicas) * STRIDE).round().max(1.0) as u64;
    while greatest_common_divisor(stride, replicas) != 1 {
        stride += 1;
    }
    let place = replica_index * stride % replicas;
    let start = (place * count as u64 / replicas) as usize;
    (0..size).map(|step| ring[(start + step) % count]).collect()
}

fn greatest_common_divisor(a: u64, b: u64) -> u64 {
    if b == 0 { a } else { greatest_common_divisor(b, a % b) }
}
