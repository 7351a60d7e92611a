//! Which endpoints the rules on idempotency let a retry go to.
//!
//! An attempt that may have run binds those that follow: an unsafe request must never run twice, and one with an
//! idempotency key only where the endpoints that remember the key discard the repeat. The module owns no state.

use crate::interface::{DeduplicationScope, Idempotency, Member};
use crate::requests::attempt::Attempt;

/// For how many seconds more a request may go to `member`, after `first_run`, the first of its attempts that may have
/// run; `None` if it may not. Without such an attempt it may at any time.
#[must_use]
pub fn may_repeat(
    now: f64,
    idempotency: Idempotency,
    first_run: Option<&Attempt>,
    member: &Member,
) -> Option<f64> {
    let Some(first) = first_run else { return Some(f64::MAX) };
    match idempotency {
        Idempotency::Idempotent => Some(f64::MAX),
        Idempotency::NotIdempotent => None,
        Idempotency::IdempotencyKey { scope, window } => {
            let left = first.sent + window.as_secs_f64() - now;
            (shares_scope(scope, &first.member, member) && left >= 0.0).then_some(left)
        }
    }
}

/// Whether two endpoints surely share what they remember of idempotency keys.
fn shares_scope(scope: DeduplicationScope, first: &Member, other: &Member) -> bool {
    match scope {
        DeduplicationScope::All => true,
        DeduplicationScope::Zone => first.zone.is_some() && other.zone == first.zone,
        DeduplicationScope::Cell => other.cell == first.cell,
    }
}
