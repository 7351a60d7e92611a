//! Selection: the endpoint of an attempt, by the power of two choices.
//!
//! The least busy of all endpoints would be the same one for many replicas at once, and a random one may be busy. The
//! less busy of two random ones is nearly as good as the first and spreads like the second. Draws weigh endpoints by
//! size, warmth, speed and recovery, and pass over those that are ejected or stalled; those come last, when nothing
//! else is left. The module owns no state: a selection borrows what it reads.

use oorandom::Rand64;

use crate::endpoints::endpoint_list::EndpointList;
use crate::endpoints::outlier::OutlierDetector;
use crate::interface::{DeduplicationScope, Idempotency, Lifecycle, Member, Settings};
use crate::random::index;
use crate::requests::request_table::PendingRequest;
use crate::routing::subset::Subset;

/// Pairs drawn at most, until one member is no busier than the average.
const MAX_PAIRS: usize = 4;
/// Draws for each of the two candidates.
const DRAWS_PER_CANDIDATE: usize = 6;

/// The selection of an endpoint for one attempt.
#[derive(Debug)]
pub struct Selection<'a> {
    /// The time, in seconds of the clock.
    pub now: f64,
    /// The settings in force.
    pub settings: &'a Settings,
    /// The request to send.
    pub request: &'a PendingRequest,
    /// The baseline latency of its class, in seconds.
    pub baseline_s: f64,
    /// The replica's part of the tier.
    pub subset: &'a Subset,
    /// What is known of the tier.
    pub outliers: &'a OutlierDetector,
    /// The endpoints; slow start refills their budgets.
    pub endpoints: &'a mut EndpointList,
    /// The balancer's random source.
    pub rng: &'a mut Rand64,
}

impl Selection<'_> {
    /// Selects an endpoint: two draws from the own zone's members or, where locality says so, from the others; then
    /// whatever is left.
    #[must_use]
    pub fn select(mut self) -> Option<usize> {
        if let Some(members) = self.bound_members() {
            return self.less_busy_of_two(&members);
        }
        let subset = self.subset;
        let (local, remote) = (&subset.local.members, &subset.remote.members);
        let starts_local = remote.is_empty() || (!local.is_empty() && subset.locality.draw_local(self.rng));
        let (first, second) = if starts_local { (local, remote) } else { (remote, local) };
        self.less_busy_of_two(first)
            .or_else(|| self.less_busy_of_two(second))
            .or_else(|| self.least_busy_untried(first))
            .or_else(|| self.least_busy_untried(second))
    }

    /// The endpoints that a request with an idempotency key is bound to by an attempt that may have run; `None` if it
    /// may go anywhere.
    fn bound_members(&self) -> Option<Vec<usize>> {
        let Idempotency::IdempotencyKey { scope, .. } = self.request.rules().idempotency else { return None };
        let first = self.request.first_run()?.member;
        let shares_scope = |member: &Member| match scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => member.zone == first.zone,
            DeduplicationScope::Cell => member.cell == first.cell,
        };
        if scope == DeduplicationScope::All {
            return None;
        }
        let ready = self.endpoints.ready().iter().copied();
        Some(ready.filter(|&slot| shares_scope(&self.endpoints.get(slot).member)).collect())
    }

    /// The less busy of two random members, by own attempts in flight.
    ///
    /// Where both are busier than the members are on average, two others are drawn, a few times: many replicas that
    /// each see few requests would otherwise pile on an endpoint by chance until it chokes.
    fn less_busy_of_two(&mut self, from: &[usize]) -> Option<usize> {
        let average = self.subset.average_in_flight();
        let mut best: Option<usize> = None;
        for _ in 0..MAX_PAIRS {
            for _ in 0..2 {
                let Some(slot) = self.draw_candidate(from) else { continue };
                best = best.filter(|&best| self.cost(best) <= self.cost(slot)).or(Some(slot));
            }
            if best.is_none_or(|best| f64::from(self.cost(best)) <= average) {
                break;
            }
        }
        best
    }

    fn cost(&self, slot: usize) -> u32 {
        self.endpoints.get(slot).cost(self.now, self.settings)
    }

    /// Draws a member that is eligible for an attempt and likely to answer it soon.
    fn draw_candidate(&mut self, from: &[usize]) -> Option<usize> {
        if from.is_empty() {
            return None;
        }
        for _ in 0..DRAWS_PER_CANDIDATE {
            let slot = from[index(self.rng, from.len())];
            let endpoint = self.endpoints.get(slot);
            let is_avoided =
                endpoint.health.is_ejected(self.now) || endpoint.is_stalled(self.now, self.baseline_s);
            if is_avoided || !self.is_eligible(slot) {
                continue;
            }
            if self.rng.rand_float() < self.chance(slot) && self.slow_start_allows(slot) {
                return Some(slot);
            }
        }
        None
    }

    /// The chance with which a drawn member is selected.
    fn chance(&self, slot: usize) -> f64 {
        let endpoint = self.endpoints.get(slot);
        self.endpoints.relative_weight(slot)
            * endpoint.warm_fraction(self.now, &self.settings.rules)
            * endpoint.health.recovery_chance()
            * self.outliers.slowness_chance(&endpoint.health, endpoint.kind)
    }

    /// Whether an endpoint may be sent to at all and has not had this request yet.
    fn is_eligible(&self, slot: usize) -> bool {
        let member = &self.endpoints.get(slot).member;
        let is_tried = self.request.attempts.iter().any(|attempt| attempt.member.id == member.id);
        member.lifecycle == Lifecycle::Ready && !is_tried
    }

    fn slow_start_allows(&mut self, slot: usize) -> bool {
        self.subset.slow_start_allows(self.now, self.endpoints.get_mut(slot), self.settings)
    }

    /// A member that may be sent to at all, the least busy, when draws found none.
    fn least_busy_untried(&mut self, from: &[usize]) -> Option<usize> {
        let mut left: Vec<usize> = from.iter().copied().filter(|&slot| self.is_eligible(slot)).collect();
        left.sort_by_key(|&slot| self.endpoints.get(slot).in_flight);
        left.into_iter().find(|&slot| self.slow_start_allows(slot))
    }
}
