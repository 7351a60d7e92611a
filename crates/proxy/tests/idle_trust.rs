//! How long a connection may have stood idle and still carry a request that must not run twice.

use std::time::Duration;

use balancer_proxy::upstream::idle_trust::{ANSWERS_BEFORE_DOUBLING, IdleTrust, MIN_TRUSTED_IDLE};

/// Guards both ways: one reset is enough to distrust, and trust comes back in steps, up to where it was.
#[test]
fn trust_falls_at_once_and_returns_with_answers() {
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
