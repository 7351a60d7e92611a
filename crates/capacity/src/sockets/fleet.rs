//! Placement of the plan's balancers on services, regions and zones.

use std::net::SocketAddr;

use super::control_plane;
use super::hollow::HollowBalancer;
use crate::plan::Plan;

/// Fractional part of the golden ratio. Steps of this size modulo 1 spread the balancers evenly over the shares of the
/// zones, also within one service.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_894_9;

/// The service and the zone that a balancer belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Placement {
    /// Number of the balancer's service.
    pub service: usize,
    /// Number of the balancer's zone.
    pub zone: usize,
}

/// Returns the names of the plan's zones, by number.
#[must_use]
pub fn zone_names(plan: &Plan) -> Vec<String> {
    (0..plan.fleet.zones.value).map(|zone| format!("zone-{zone}")).collect()
}

/// Places `balancers` balancers as the plan defines: those of a service are spread over regions and zones by the shares
/// of these. If `balancers` is smaller than the fleet, the balancers are taken from it at equal distances.
#[must_use]
pub fn fleet(plan: &Plan, balancers: usize) -> Vec<Placement> {
    let sizes = plan.service_sizes();
    let services: Vec<usize> =
        sizes.iter().enumerate().flat_map(|(service, &size)| std::iter::repeat_n(service, size)).collect();
    let fractions: Vec<f64> = (0..plan.fleet.zones.value)
        .map(|zone| {
            let region = control_plane::region_of(plan, zone);
            plan.fleet.region_shares.value[region] / plan.fleet.zones_by_region.value[region] as f64
        })
        .collect();
    (0..balancers)
        .map(|number| {
            let fleet_index = number * services.len() / balancers;
            let mut offset = (fleet_index as f64 * GOLDEN_RATIO).fract();
            let zone = fractions.iter().position(|fraction| {
                offset -= fraction;
                offset < 0.0
            });
            Placement { service: services[fleet_index], zone: zone.unwrap_or(fractions.len() - 1) }
        })
        .collect()
}

/// Creates the hollow balancers for these placements; `parents` returns the addresses of the parents for a region and a
/// zone.
#[must_use]
pub fn hollow_balancers(
    plan: &Plan,
    placements: &[Placement],
    seed: u64,
    parents: &dyn Fn(usize, usize) -> Vec<SocketAddr>,
) -> Vec<HollowBalancer> {
    let balancer = |(number, &Placement { service, zone }): (usize, &Placement)| {
        let region = control_plane::region_of(plan, zone);
        HollowBalancer {
            number,
            service: service_name(service),
            region: region_name(region),
            zone,
            parents: parents(region, zone),
            seed: seed << 16 | number as u64,
        }
    };
    placements.iter().enumerate().map(balancer).collect()
}

/// Returns the name of the service with this number.
#[must_use]
pub fn service_name(service: usize) -> String {
    format!("service-{service:03}")
}

/// Returns the name of the region with this number.
#[must_use]
pub fn region_name(region: usize) -> String {
    format!("region-{region}")
}
