//! Which endpoints the rules on effects let a retry go to.

use crate::interface::{DedupScope, Effect, Member};
use crate::requests::attempt::Attempt;

/// For how many seconds more the rules on effects let a request out again to `member`, if they do.
pub fn may_repeat(now: f64, effect: Effect, first_run: Option<&Attempt>, member: &Member) -> Option<f64> {
    let Some(first) = first_run else { return Some(f64::MAX) };
    let Effect::Keyed { scope, window } = effect else {
        return (effect == Effect::Safe).then_some(f64::MAX);
    };
    let same = match scope {
        DedupScope::All => true,
        DedupScope::Zone => first.member.zone.is_some() && member.zone == first.member.zone,
        DedupScope::Cell => member.cell == first.member.cell,
    };
    let left = first.sent + window.as_secs_f64() - now;
    (same && left >= 0.0).then_some(left)
}
