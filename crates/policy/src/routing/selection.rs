//! Selection of the endpoint of an attempt, by the power of two choices.
//!
//! The least loaded of all endpoints would be the same for many replicas at the same time, and a random one may be
//! loaded. The less loaded of two random endpoints is nearly as good as the least loaded one, and spreads the requests
//! of many replicas like a random one. The probability of an endpoint depends on its weight, slow start, slowness and
//! recovery after an ejection. Ejected and stalled endpoints are never drawn. If the draws find no endpoint, the least
//! loaded eligible one is taken, even if it is ejected or stalled. The module has no state: a selection borrows what it
//! reads.

use oorandom::Rand64;

use crate::endpoints::endpoint_list::EndpointList;
use crate::endpoints::outlier::OutlierDetector;
use crate::interface::{DeduplicationScope, Idempotency, Lifecycle, Member, Settings};
use crate::random::index;
use crate::requests::request_table::PendingRequest;
use crate::routing::subset::Subset;

/// Largest number of pairs that are drawn in search of a member that is no more loaded than the average.
const MAX_PAIRS: usize = 4;
/// Largest number of draws for each of the two candidates of a pair.
const DRAWS_PER_CANDIDATE: usize = 6;

/// The selection of an endpoint for one attempt.
#[derive(Debug)]
pub struct Selection<'a> {
    /// Current time, in seconds of the clock.
    pub now: f64,
    /// Settings in force.
    pub settings: &'a Settings,
    /// Request that the attempt belongs to.
    pub request: &'a PendingRequest,
    /// Baseline latency of the request's class, in seconds.
    pub baseline_s: f64,
    /// Subset of the endpoints that this replica sends to.
    pub subset: &'a Subset,
    /// Outlier detector, which knows how slow the endpoints are compared with the tier.
    pub outliers: &'a OutlierDetector,
    /// All endpoints; mutable, since a check of slow start refills the endpoint's send budget.
    pub endpoints: &'a mut EndpointList,
    /// Random number generator of the balancer.
    pub rng: &'a mut Rand64,
}

impl Selection<'_> {
    /// Selects an endpoint and returns its slot, or `None` if there is none that the attempt may be sent to.
    ///
    /// Depending on the locality, the members of the own zone or those of the other zones come first. Two random
    /// members of the first group are compared, then two of the second group. If that finds none, the least loaded
    /// eligible member of the first group or else of the second one is taken. A request that is restricted to a
    /// deduplication scope is different: two random members of the scope are compared, and there are no groups and no
    /// least loaded member to fall back to.
    #[must_use]
    pub fn select(mut self) -> Option<usize> {
        if let Some(members) = self.members_in_scope() {
            return self.less_loaded_of_two(&members);
        }
        let subset = self.subset;
        let (local, remote) = (&subset.local.members, &subset.remote.members);
        let starts_local = remote.is_empty() || (!local.is_empty() && subset.locality.draw_local(self.rng));
        let (first, second) = if starts_local { (local, remote) } else { (remote, local) };
        self.less_loaded_of_two(first)
            .or_else(|| self.less_loaded_of_two(second))
            .or_else(|| self.least_loaded_untried(first))
            .or_else(|| self.least_loaded_untried(second))
    }

    /// The ready endpoints in the deduplication scope of a request with an idempotency key, once an attempt of it may
    /// have run; `None` if no scope restricts the selection. That includes a request that must not be repeated at all,
    /// which [`may_repeat`](crate::requests::idempotency::may_repeat) refuses after the selection.
    fn members_in_scope(&self) -> Option<Vec<usize>> {
        let Idempotency::IdempotencyKey { scope, .. } = self.request.rules().idempotency else { return None };
        let first = self.request.first_possible_run()?.member;
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

    /// The less loaded of two random members of `from`, by this replica's attempts in flight.
    ///
    /// If both are more loaded than the average member, another pair is drawn, up to [`MAX_PAIRS`] pairs in all.
    /// Otherwise many replicas that each see few requests could overload an endpoint by chance.
    fn less_loaded_of_two(&mut self, from: &[usize]) -> Option<usize> {
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

    /// Draws a member of `from` that is eligible for an attempt and is neither ejected nor stalled. Members that have a
    /// low weight, warm up, recover or are slow are drawn with a lower probability, and a member that warms up only if
    /// its send budget allows another send.
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
            if self.rng.rand_float() < self.acceptance_probability(slot) && self.slow_start_allows(slot) {
                return Some(slot);
            }
        }
        None
    }

    /// Probability with which the endpoint in `slot` is accepted when it is drawn.
    fn acceptance_probability(&self, slot: usize) -> f64 {
        let endpoint = self.endpoints.get(slot);
        self.endpoints.relative_weight(slot)
            * endpoint.warm_fraction(self.now, &self.settings.rules)
            * endpoint.health.recovery_chance()
            * self.outliers.slowness_chance(&endpoint.health, endpoint.machine_kind)
    }

    /// Whether the endpoint in `slot` is ready and no attempt of this request has been sent to it yet.
    fn is_eligible(&self, slot: usize) -> bool {
        let member = &self.endpoints.get(slot).member;
        let is_tried = self.request.attempts.iter().any(|attempt| attempt.member.id == member.id);
        member.lifecycle == Lifecycle::Ready && !is_tried
    }

    fn slow_start_allows(&mut self, slot: usize) -> bool {
        self.subset.slow_start_allows(self.now, self.endpoints.get_mut(slot), self.settings)
    }

    /// The least loaded eligible member of `from` to which slow start allows an attempt. It may be ejected or stalled.
    fn least_loaded_untried(&mut self, from: &[usize]) -> Option<usize> {
        let mut left: Vec<usize> = from.iter().copied().filter(|&slot| self.is_eligible(slot)).collect();
        left.sort_by_key(|&slot| self.endpoints.get(slot).in_flight);
        left.into_iter().find(|&slot| self.slow_start_allows(slot))
    }
}
