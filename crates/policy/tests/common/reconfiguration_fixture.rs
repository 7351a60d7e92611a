//! Fixtures for tests that change the settings of a running balancer: initial settings, requests and a test bench.
#![allow(dead_code, reason = "each test file uses only some of these items")]

use balancer_policy::Settings;
use balancer_policy::interface::*;

use crate::common::{Bench, class, member, millis};

/// Settings with two zones, one class of each idempotency, and three tenants with quotas.
pub fn settings() -> Settings {
    let keyed = Idempotency::IdempotencyKey { scope: DeduplicationScope::Cell, window: millis(800) };
    Settings {
        replicas: 4,
        zones: 2,
        tenants: [30.0, 20.0, 10.0].map(|quota| Tenant { quota: Some(quota * 4.0) }).to_vec(),
        over_quota_weight: 0.1,
        discovery: DiscoveryMode::Subscribe,
        ..Settings::single_zone(vec![
            class(Idempotency::Idempotent),
            class(keyed),
            class(Idempotency::NotIdempotent),
        ])
    }
}

/// Settings with one zone and one class of the given idempotency, which allow four attempts per request.
pub fn single(idempotency: Idempotency) -> Settings {
    let settings = Settings::single_zone(vec![class(idempotency)]);
    Settings { permissions: Permissions { max_attempts: 4, ..settings.permissions.clone() }, ..settings }
}

pub fn request(id: u64, class: usize, tenant: Option<usize>) -> Request {
    Request {
        id: RequestId(id),
        class: ClassId(class),
        tenant: tenant.map(TenantId),
        subject: None,
        time_left: millis(2500),
        expected_work: None,
        is_client_retry: false,
    }
}

/// Creates a test bench with these settings and eight upstreams, two in each of four cells.
pub fn bench(settings: Settings) -> Bench {
    let members = (0..8).map(|id| Member { cell: id % 4, ..member(id) }).collect();
    Bench::new(settings, 7, members)
}
