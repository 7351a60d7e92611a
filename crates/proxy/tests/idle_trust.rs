//! The trusted idle time: how long a connection may have been idle to carry a request that must not run twice.

use std::time::Duration;

use balancer_proxy::upstream::idle_trust::{ANSWERS_BEFORE_DOUBLING, IdleTrust, MIN_TRUSTED_IDLE};

/// Guards against a trusted idle time that stays too long or too short: one reset is enough to reduce it to half the
/// idle time of the reset connection, and runs of answers double it step by step up to its initial value.
#[test]
fn a_reset_reduces_the_trusted_idle_time_and_answers_restore_it() {
    let most = Duration::from_secs(21);
    let mut trust = IdleTrust::new(most);
    trust.record_answer(Duration::from_secs(20));
    assert_eq!(trust.trusted(), most);
    trust.record_reset(Duration::from_millis(240));
    assert_eq!(trust.trusted(), Duration::from_millis(120));
    trust.record_reset(Duration::from_secs(3));
    assert_eq!(trust.trusted(), Duration::from_millis(120));
    trust.record_reset(Duration::from_millis(5));
    assert_eq!(trust.trusted(), Duration::from_millis(120));
    trust.record_reset(Duration::from_millis(80));
    assert_eq!(trust.trusted(), MIN_TRUSTED_IDLE);
    for _ in 0..ANSWERS_BEFORE_DOUBLING * 2 {
        trust.record_answer(Duration::ZERO);
    }
    assert_eq!(trust.trusted(), MIN_TRUSTED_IDLE);
    for _ in 0..ANSWERS_BEFORE_DOUBLING {
        trust.record_answer(Duration::from_secs(1));
    }
    assert_eq!(trust.trusted(), MIN_TRUSTED_IDLE * 2);
    for _ in 0..ANSWERS_BEFORE_DOUBLING * 20 {
        trust.record_answer(most);
    }
    assert_eq!(trust.trusted(), most);
}
