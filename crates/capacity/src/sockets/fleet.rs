//! The balancers of the plan, with their services, regions and zones.

use std::net::SocketAddr;

use super::hollow::Hollow;
use super::plane;
use crate::plan::Plan;

/// The fractional part of the golden ratio: steps by it fill the shares of the zones evenly, also within a service.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_894_9;

/// The service and the zone of a balancer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Placement {
    /// The number of its service.
    pub service: usize,
    /// The number of its zone.
    pub zone: usize,
}

/// The names of the zones.
#[must_use]
pub fn zone_names(plan: &Plan) -> Vec<String> {
    (0..plan.fleet.zones.value).map(|zone| format!("zone-{zone}")).collect()
}

/// The placements of `balancers` balancers, by the plan: those of a service are spread over regions and zones by their
/// shares. Where these are only a part of the fleet, they are each n-th balancer of it.
#[must_use]
pub fn fleet(plan: &Plan, balancers: usize) -> Vec<Placement> {
    let sizes = plan.service_sizes();
    let services: Vec<usize> =
        sizes.iter().enumerate().flat_map(|(service, &size)| std::iter::repeat_n(service, size)).collect();
    let fractions: Vec<f64> = (0..plan.fleet.zones.value)
        .map(|zone| {
            let region = plane::region_of(plan, zone);
            plan.fleet.region_shares.value[region] / plan.fleet.zones_by_region.value[region] as f64
        })
        .collect();
    (0..balancers)
        .map(|number| {
            let place = number * services.len() / balancers;
            let mut at = (place as f64 * GOLDEN_RATIO).fract();
            let zone = fractions.iter().position(|fraction| {
                at -= fraction;
                at < 0.0
            });
            Placement { service: services[place], zone: zone.unwrap_or(fractions.len() - 1) }
        })
        .collect()
}

/// The hollow balancers at these placements; `parents` gives those of a region and a zone.
#[must_use]
pub fn hollow_balancers(
    plan: &Plan,
    placements: &[Placement],
    seed: u64,
    parents: &dyn Fn(usize, usize) -> Vec<SocketAddr>,
) -> Vec<Hollow> {
    let balancer = |(number, &Placement { service, zone }): (usize, &Placement)| {
        let region = plane::region_of(plan, zone);
        Hollow {
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

/// The name of a service.
#[must_use]
pub fn service_name(service: usize) -> String {
    format!("service-{service:03}")
}

/// The name of a region.
#[must_use]
pub fn region_name(region: usize) -> String {
    format!("region-{region}")
}
