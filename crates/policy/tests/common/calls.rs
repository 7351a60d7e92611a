//! Calls of one tenant at an even rate, and the part of them that is admitted.
#![allow(dead_code, reason = "each test file uses a part of it")]

use balancer_policy::Settings;
use balancer_policy::interface::*;

use crate::common::{Bench, class, member, millis, sent};

/// The latency objective of the class that the tests use.
pub const LATENCY_OBJECTIVE: std::time::Duration = millis(1000);

/// A first-tier replica whose only tenant is limited to 10 calls a second: a third of 25 and a standard
/// deviation of its chance over the window.
pub fn ten_a_second() -> Bench {
    let mut settings = Settings::single_zone(vec![class(Idempotency::Idempotent)]);
    settings.tenants = vec![Tenant { quota: Some(25.0 / 3.0) }];
    settings.over_quota_weight = 0.0;
    Bench::new(settings, 5, (0..4).map(member).collect())
}

/// Offers `rate` calls a second for `seconds`; the part that is admitted after `warm_up` seconds.
pub fn admitted(bench: &mut Bench, rate: f64, warm_up: f64, seconds: f64, outcome: Outcome) -> f64 {
    let gap = std::time::Duration::from_secs_f64(1.0 / rate);
    let (mut offered, mut passed) = (0, 0);
    for call in 0..(rate * seconds) as u32 {
        bench.pass(gap);
        let (id, actions) = bench.offer(Some(0));
        let counted = f64::from(call) / rate >= warm_up;
        offered += u32::from(counted);
        if sent(&actions).is_some() {
            passed += u32::from(counted);
            // What times out has waited for the whole latency objective.
            bench.end(
                id,
                0,
                outcome,
                if outcome == Outcome::TimedOut { LATENCY_OBJECTIVE } else { millis(20) },
            );
        }
    }
    f64::from(passed) / f64::from(offered)
}
