//! Sends the requests of one tenant at a constant rate and measures the fraction that is admitted.
#![allow(dead_code, reason = "each test file uses only some of these items")]

use balancer_policy::Settings;
use balancer_policy::interface::*;

use crate::common::{Bench, class, member, millis, sent_upstream};

/// Latency objective of the only request class in these tests.
pub const LATENCY_OBJECTIVE: std::time::Duration = millis(1000);

/// Creates a first-tier replica whose only tenant is limited to 10 requests per second: a quota of a third of 25
/// requests per second, plus one standard deviation of random variation over the window.
pub fn ten_per_second() -> Bench {
    let mut settings = Settings::single_zone(vec![class(Idempotency::Idempotent)]);
    settings.tenants = vec![Tenant { quota: Some(25.0 / 3.0) }];
    settings.over_quota_weight = 0.0;
    Bench::new(settings, 5, (0..4).map(member).collect())
}

/// Offers `rate` requests per second for `seconds` seconds, ends each admitted request with `outcome`, and returns the
/// fraction admitted among the requests that are offered after the first `warm_up` seconds.
pub fn admitted_fraction(bench: &mut Bench, rate: f64, warm_up: f64, seconds: f64, outcome: Outcome) -> f64 {
    let gap = std::time::Duration::from_secs_f64(1.0 / rate);
    let (mut offered, mut passed) = (0, 0);
    for call in 0..(rate * seconds) as u32 {
        bench.advance(gap);
        let (id, actions) = bench.offer(Some(0));
        let counted = f64::from(call) / rate >= warm_up;
        offered += u32::from(counted);
        if sent_upstream(&actions).is_some() {
            passed += u32::from(counted);
            // An attempt that times out lasts for the whole latency objective.
            bench.end_attempt(
                id,
                0,
                outcome,
                if outcome == Outcome::TimedOut { LATENCY_OBJECTIVE } else { millis(20) },
            );
        }
    }
    f64::from(passed) / f64::from(offered)
}
