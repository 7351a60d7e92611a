//! The rules on idempotency: which endpoints a retry may be sent to.
//!
//! An attempt that may have run restricts the later attempts. A request that is not idempotent must not run twice. A
//! request with an idempotency key may be repeated only at endpoints that share the record of the key and discard the
//! repeat. The module has no state.

use crate::interface::{DeduplicationScope, Idempotency, Member};
use crate::requests::attempt::Attempt;

/// Returns for how many more seconds a request may be sent to `member`, or `None` if it must not be sent there.
/// `first_possible_run` is the first attempt of the request that may have run; without one there is no restriction.
#[must_use]
pub fn may_repeat(
    now: f64,
    idempotency: Idempotency,
    first_possible_run: Option<&Attempt>,
    member: &Member,
) -> Option<f64> {
    let Some(first) = first_possible_run else { return Some(f64::MAX) };
    match idempotency {
        Idempotency::Idempotent => Some(f64::MAX),
        Idempotency::NotIdempotent => None,
        Idempotency::IdempotencyKey { scope, window } => {
            let left = first.sent + window.as_secs_f64() - now;
            (shares_scope(scope, &first.member, member) && left >= 0.0).then_some(left)
        }
    }
}

/// Whether two endpoints are known to share their record of idempotency keys.
fn shares_scope(scope: DeduplicationScope, first: &Member, other: &Member) -> bool {
    match scope {
        DeduplicationScope::All => true,
        DeduplicationScope::Zone => first.zone.is_some() && other.zone == first.zone,
        DeduplicationScope::Cell => other.cell == first.cell,
    }
}
