//! Settings of a simulated balancer: the plan's figures, and constants for the settings that the plan does not define.

use std::mem;
use std::time::Duration;

use balancer_policy::interface::{
    Class, Costs, DeduplicationScope, DiscoveryMode, Idempotency, Permissions, Rules, Settings, Tenant,
    ZoneId,
};

use super::FleetSimulation;
use super::upstreams::{OVERLOAD_MULTIPLE, OVERLOAD_WINDOW_S, SLOW_START_MIN_FRACTION, SLOW_START_WINDOW_S};

/// Grace period after the notification that an upstream is draining or removed, in seconds; after it, a balancer must
/// send no further attempts to the upstream.
pub(super) const DRAIN_GRACE_S: f64 = 1.0;
/// Sum of the quotas of all tenants divided by the rate of calls that the called service is sized for.
pub(super) const QUOTA_MULTIPLE: f64 = 1.5;

impl FleetSimulation<'_> {
    /// Settings of the balancer with the replica index `index` that calls `service` from `zone`.
    pub(super) fn settings(&self, service: usize, zone: usize, index: u32) -> Settings {
        let traffic = &self.plan.traffic;
        let tier = self.topology.services[service].depth - 1;
        let class = |idempotency| Class {
            latency_objective: Duration::from_secs_f64(traffic.aim_s.value),
            deadline: Duration::from_secs_f64(traffic.deadline_s.value),
            late_weight: 0.3,
            idempotency,
        };
        let keyed =
            Idempotency::IdempotencyKey { scope: DeduplicationScope::All, window: Duration::from_secs(10) };
        let mut before = 0.0;
        let quota = |&until: &f64| {
            let fraction = until - mem::replace(&mut before, until);
            Tenant { quota: Some(fraction * QUOTA_MULTIPLE * self.topology.services[service].rate) }
        };
        Settings {
            replica_index: index,
            replicas: self.replicas[service],
            tier,
            zone: ZoneId(zone),
            zones: self.topology.region_of.len(),
            machine_kinds: 1,
            classes: vec![class(Idempotency::Idempotent), class(keyed), class(Idempotency::NotIdempotent)],
            tenants: if tier == 0 { self.tenants.iter().map(quota).collect() } else { Vec::new() },
            over_quota_weight: 0.3,
            discovery: DiscoveryMode::Push,
            propagates_deadline: true,
            permissions: Permissions {
                max_attempts: traffic.attempts.value,
                hedging: false,
                cancel: true,
                health_checks: false,
                messages: false,
                idle_timeout: Duration::from_secs(30),
                streams_per_connection: 1,
                max_retry_after: None,
            },
            rules: Rules {
                answer_slack: Duration::from_millis(20),
                drain_grace: Duration::from_secs_f64(DRAIN_GRACE_S),
                poll_interval_max: None,
                slow_start_min_fraction: SLOW_START_MIN_FRACTION,
                slow_start_window: Duration::from_secs_f64(SLOW_START_WINDOW_S),
                overload_multiple: OVERLOAD_MULTIPLE,
                overload_window: Duration::from_secs_f64(OVERLOAD_WINDOW_S),
            },
            costs: Costs {
                cross_zone: 0.02,
                wasted_work: 0.0,
                late_failure: 0.0,
                handshake: 0.0,
                health_check: 0.0,
            },
        }
    }
}
