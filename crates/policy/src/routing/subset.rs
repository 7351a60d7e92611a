//! The part of the endpoints that one replica sends to.

use std::mem::take;
use std::sync::Arc;

use oorandom::Rand64;

use crate::maintenance::MAINTENANCE_PERIOD_S;
use crate::random::between;
use crate::routing::locality::{STAY_STEPS, WORSE};

/// Least part of a tier that counts as had: more set aside is a trouble of the tier, no loss of servers.
pub const HAD_LEAST: f64 = 0.5;
/// Copies that cover each upstream, on average.
pub const COVER: f64 = 4.0;
/// Members of a subset, at least: two draws out of fewer meet too often.
pub const SUBSET_LEAST: usize = 8;

/// The copy's part of the tier.
#[derive(Debug, Default)]
pub struct Subset {
    /// Members of the own zone.
    pub local: Group,
    /// Members of other zones.
    pub remote: Group,
    /// The part of the calls that stays in the own zone; `None` before the first list.
    pub local_fraction: Option<f64>,
    /// Members in all.
    pub size: usize,
    /// Upstreams ready in the first list, and the part of their capacity that is still had.
    pub first: usize,
    pub available: f64,
    /// Own calls in flight, to members or not.
    pub in_flight: u32,
}

#[derive(Debug, Default)]
pub struct Group {
    /// Upstreams of the group's zones, members or not.
    pub listed: usize,
    pub members: Arc<[usize]>,
    /// Calls a second that a warm member serves, for the cold ones to go by: over all copies no more than it can do,
    /// however many it is sent.
    pub warm_rate: f64,
    /// Calls served by warm members since the last sweep.
    pub warm_served: u32,
    /// No member is warm: cold ones go by their own answers, and `warm_rate` is that of before.
    pub all_warming_up: bool,
    /// Time that calls take, failed ones at what they took, in parts of their aims.
    pub delay: f64,
}

impl Group {
    /// Learns what a warm member serves from the calls since the last sweep. Where none is warm, the latest is the best
    /// there is.
    pub fn learn_warm_rate(&mut self, warm: usize) {
        let served = f64::from(take(&mut self.warm_served));
        self.all_warming_up = warm == 0;
        if warm > 0 {
            self.warm_rate += 0.2 * (served / MAINTENANCE_PERIOD_S / warm as f64 - self.warm_rate);
        }
    }

    /// Of all copies, those that send to one member of the group, on average.
    pub fn sharers(&self, copies: u32) -> f64 {
        (f64::from(copies) * self.members.len() as f64 / self.listed.max(1) as f64).max(1.0)
    }
}

impl Subset {
    /// A site prices each crossing of zones, yet one zone may have more calls than its upstreams can carry,
    /// and no copy is told: from an even spread on, more stays at home for as long as home is no slower than
    /// elsewhere.
    pub fn adapt_local_fraction(&mut self, price: f64, rng: &mut Rand64) {
        let even = self.even();
        let Some(local_fraction) = &mut self.local_fraction else { return };
        let worse = self.local.delay > self.remote.delay + WORSE.0 + price * WORSE.1;
        let step = if worse { -STAY_STEPS.1 } else { STAY_STEPS.0 };
        *local_fraction = (*local_fraction + step * between(rng, 0.5..1.5)).clamp(even.min(1.0), 1.0);
    }

    pub fn even(&self) -> f64 {
        let (local, remote) = (self.local.listed as f64, self.remote.listed as f64);
        local / (local + remote).max(1.0)
    }
}

/// The part of `count` upstreams that copy `index` of `copies` sends to: an arc of a ring. The starts of the
/// copies are evenly spaced; a stride spreads neighbours in number, which may share a zone, over the ring.
pub fn arc(index: u32, copies: u32, sharers: f64, count: usize) -> impl Iterator<Item = usize> {
    let size =
        ((count as f64 * COVER / sharers.max(1.0)).ceil() as usize).clamp(SUBSET_LEAST.min(count), count);
    let mut stride = (f64::from(copies) * 0.618).round().max(1.0) as u64;
    while gcd(stride, u64::from(copies)) != 1 {
        stride += 1;
    }
    let place = u64::from(index) * stride % u64::from(copies);
    let start = (place * count as u64 / u64::from(copies)) as usize;
    (0..size).map(move |step| (start + step) % count)
}

pub fn gcd(a: u64, b: u64) -> u64 {
    if b == 0 { a } else { gcd(b, a % b) }
}
