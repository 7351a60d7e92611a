//! Validation of a plan. A plan whose figures contradict each other would give results that look sound, so a plan is
//! validated before any simulation or measurement. All faults are reported together, each with the key of its figure.

use thiserror::Error;

use super::{ControlPlacement, MAX_UPSTREAMS, Plan};

/// Tolerance for the sum of fractions that must be 1: decimal fractions do not add up exactly in binary floating point.
const FRACTION_SUM_TOLERANCE: f64 = 1e-6;

/// A fault of a plan: a figure that contradicts another one or is out of its range.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("{place}: expected {expected}")]
pub struct PlanFault {
    /// Key of the figure in the plan file, as `section.name`; `deal` for the sum of that section.
    pub place: &'static str,
    /// Description of the values that the figure may have.
    pub expected: &'static str,
}

/// Collects the faults that the checks of a plan find.
struct Faults(Vec<PlanFault>);

impl Faults {
    /// Records a fault at `place` unless the condition `holds`.
    fn require(&mut self, holds: bool, place: &'static str, expected: &'static str) {
        if !holds {
            self.0.push(PlanFault { place, expected });
        }
    }
}

/// Returns whether `shares` are fractions of 0 to 1 whose sum is 1.
fn sums_to_one(shares: &[f64]) -> bool {
    shares.iter().all(|fraction| (0.0..=1.0).contains(fraction))
        && (shares.iter().sum::<f64>() - 1.0).abs() < FRACTION_SUM_TOLERANCE
}

impl Plan {
    /// Returns all faults of the plan: first those of each section, then figures that must be positive and are not.
    pub(super) fn faults(&self) -> Vec<PlanFault> {
        let mut faults = Faults(Vec::new());
        self.check_fleet(&mut faults);
        self.check_graph(&mut faults);
        self.check_traffic(&mut faults);
        self.check_configuration(&mut faults);
        self.check_control_machines(&mut faults);
        for (place, value) in self.positive_figures() {
            faults.require(value.is_finite() && value > 0.0, place, "greater than 0");
        }
        faults.0
    }

    fn check_fleet(&self, faults: &mut Faults) {
        let Self { fleet, .. } = self;
        faults.require(fleet.services.value >= 1, "fleet.services", "at least 1");
        faults.require(
            fleet.upstreams.value >= fleet.services.value,
            "fleet.upstreams",
            "at least fleet.services, one for each service",
        );
        faults.require(fleet.regions.value >= 1, "fleet.regions", "at least 1");
        faults.require(
            fleet.zones_by_region.value.len() == fleet.regions.value,
            "fleet.zones_by_region",
            "as many entries as fleet.regions",
        );
        faults.require(
            fleet.zones_by_region.value.iter().all(|&zones| zones > 0)
                && fleet.zones_by_region.value.iter().sum::<usize>() == fleet.zones.value,
            "fleet.zones_by_region",
            "at least 1 in each entry, with the sum fleet.zones",
        );
        faults.require(
            fleet.region_shares.value.len() == fleet.regions.value && sums_to_one(&fleet.region_shares.value),
            "fleet.region_shares",
            "as many entries as fleet.regions, each 0 to 1, with the sum 1",
        );
        faults.require((0.0..=3.0).contains(&fleet.size_skew.value), "fleet.size_skew", "0 to 3");
        faults.require(
            (1..=fleet.upstreams.value).contains(&fleet.machines_per_rack.value),
            "fleet.machines_per_rack",
            "1 to fleet.upstreams",
        );
        faults.require(fleet.upstreams.value <= MAX_UPSTREAMS, "fleet.upstreams", "at most 1000000");
    }

    fn check_graph(&self, faults: &mut Faults) {
        let Self { fleet, graph, .. } = self;
        faults.require(graph.depth.value >= 1, "graph.depth", "at least 1");
        faults.require(
            graph.services_by_depth.value.len() == graph.depth.value
                && sums_to_one(&graph.services_by_depth.value),
            "graph.services_by_depth",
            "as many entries as graph.depth, each 0 to 1, with the sum 1",
        );
        faults.require(
            graph.destinations_most.value < fleet.services.value.max(2),
            "graph.destinations_most",
            "less than fleet.services",
        );
        faults.require(
            (1.0..=graph.destinations_most.value as f64).contains(&graph.destinations_mean.value),
            "graph.destinations_mean",
            "1 to graph.destinations_most",
        );
        faults.require(
            (1.0..=graph.depth.value as f64).contains(&graph.hops_per_call.value),
            "graph.hops_per_call",
            "1 to graph.depth",
        );
    }

    fn check_traffic(&self, faults: &mut Faults) {
        let Self { traffic, .. } = self;
        faults.require(
            (0.0..1.0).contains(&traffic.added_quantile.value),
            "traffic.added_quantile",
            "at least 0 and less than 1",
        );
        faults.require(
            traffic.aim_s.value <= traffic.deadline_s.value,
            "traffic.aim_s",
            "at most traffic.deadline_s",
        );
        faults.require(traffic.attempts.value >= 1, "traffic.attempts", "at least 1");
        faults.require(traffic.tenants.value >= 1, "traffic.tenants", "at least 1");
        faults.require(traffic.headroom.value >= 1.0, "traffic.headroom", "at least 1");
        faults.require(
            self.tier_loads_over_mean().into_iter().all(|tier| tier <= traffic.busiest_over_mean.value),
            "traffic.busiest_over_mean",
            "at least the load of each tier over the mean, by graph.services_by_depth and the calls per tier",
        );
    }

    fn check_configuration(&self, faults: &mut Faults) {
        let Self { list, configuration, .. } = self;
        faults.require(
            configuration.peak_per_minute.value >= configuration.changes_per_day.value / 1440.0,
            "configuration.peak_per_minute",
            "at least the mean number of changes per minute, configuration.changes_per_day / 1440",
        );
        faults.require(list.entry_bytes.value >= 1, "list.entry_bytes", "at least 1");
        faults.require(
            configuration.scope_shares.value.len() == 3 && sums_to_one(&configuration.scope_shares.value),
            "configuration.scope_shares",
            "three entries, each 0 to 1, with the sum 1",
        );
    }

    fn check_control_machines(&self, faults: &mut Faults) {
        let Self { fleet, budget, control_placement, .. } = self;
        let ControlPlacement { origins, standbys, region_relays, zone_relays } = control_placement;
        faults.require(origins.value >= 1, "deal.origins", "at least 1");
        faults.require(
            origins.value + standbys.value + region_relays.value + zone_relays.value
                == budget.control_machines.value,
            "deal",
            "a sum of machines equal to budget.control_machines",
        );
        faults.require(
            region_relays.value.is_multiple_of(fleet.regions.value.max(1)) && region_relays.value > 0,
            "deal.region_relays",
            "a positive multiple of fleet.regions, for the same number in each region",
        );
        faults.require(
            zone_relays.value.is_multiple_of(fleet.zones.value.max(1)) && zone_relays.value > 0,
            "deal.zone_relays",
            "a positive multiple of fleet.zones, for the same number in each zone",
        );
    }

    /// Returns the figures that must be positive, each with its key in the plan file.
    fn positive_figures(&self) -> [(&'static str, f64); 30] {
        let Self { traffic, network, list, configuration, budget, failures, .. } = self;
        [
            ("traffic.calls_per_s", traffic.calls_per_s.value),
            ("traffic.busiest_over_mean", traffic.busiest_over_mean.value),
            ("traffic.work_ms", traffic.work_ms.value),
            ("traffic.deadline_s", traffic.deadline_s.value),
            ("traffic.aim_s", traffic.aim_s.value),
            ("traffic.added_ms", traffic.added_ms.value),
            ("network.zone_ms", network.zone_ms.value),
            ("network.region_ms", network.region_ms.value),
            ("network.far_ms", network.far_ms.value),
            ("list.beat_s", list.beat_s.value),
            ("list.lines_per_replacement", list.lines_per_replacement.value),
            ("list.lines_per_failure", list.lines_per_failure.value),
            ("list.renew_s", list.renew_s.value),
            ("configuration.changes_per_day", configuration.changes_per_day.value),
            ("configuration.in_force_s", configuration.in_force_s.value),
            ("configuration.peak_per_minute", configuration.peak_per_minute.value),
            ("configuration.bunch", configuration.bunch.value),
            ("budget.core_share", budget.core_share.value),
            ("budget.memory_mb", budget.memory_mb.value),
            ("budget.bytes_per_s", budget.bytes_per_s.value),
            ("budget.machine_cores", budget.machine_cores.value),
            ("budget.machine_memory_mb", budget.machine_memory_mb.value),
            ("budget.machine_bytes_per_s", budget.machine_bytes_per_s.value),
            ("failures.machines_per_day", failures.machines_per_day.value),
            ("failures.replaced_per_day", failures.replaced_per_day.value),
            ("failures.racks_per_year", failures.racks_per_year.value),
            ("failures.zones_per_year", failures.zones_per_year.value),
            ("failures.region_cuts_per_year", failures.region_cuts_per_year.value),
            ("failures.region_cut_s", failures.region_cut_s.value),
            ("failures.replace_all_s", failures.replace_all_s.value),
        ]
    }
}
