//! Settings with two zones and one class for each kind of idempotency, and endpoints that alternate between the zones.

use balancer_policy::Settings;
use balancer_policy::interface::*;

use crate::common::{self, millis};

pub fn settings(hedging: bool, subscribe: bool) -> Settings {
    let class = |idempotency, late_weight| Class { late_weight, ..common::class(idempotency) };
    let keyed = |scope| Idempotency::IdempotencyKey { scope, window: millis(800) };
    let mut settings = Settings::single_zone(vec![
        class(Idempotency::Idempotent, 0.0),
        class(Idempotency::NotIdempotent, 0.5),
        class(keyed(DeduplicationScope::All), 0.5),
        class(keyed(DeduplicationScope::Zone), 0.0),
        class(keyed(DeduplicationScope::Cell), 0.5),
    ]);
    settings.zones = 2;
    settings.permissions.hedging = hedging;
    settings.permissions.max_attempts = 4;
    if subscribe {
        settings.discovery = DiscoveryMode::Subscribe;
        settings.rules.poll_interval_max = Some(millis(10_000));
    }
    settings
}

pub fn member(id: u32) -> Member {
    Member { zone: Some(ZoneId(id as usize % 2)), cell: id / 3, ..common::member(id) }
}
