//! Load scenarios: the ordinary day and the peaks. A control plane that is sized for the mean load fails when a zone
//! recovers or at a peak of changes, so each need is calculated for every scenario.

use crate::plan::{ChangePerBalancer, Plan};

/// Seconds of a day: the plan gives the figures of an ordinary day per day, and rates here are per second.
const DAY_S: f64 = 86400.0;

/// Load scenario for which needs are calculated: the ordinary day or a peak. Rates are means over its duration.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadScenario {
    /// Name of the scenario.
    pub name: &'static str,
    /// Description of the scenario, with figures of the plan.
    pub what: String,
    /// Updates (lines) of the upstream list per second that a balancer receives.
    pub lines: f64,
    /// Whole lists that a balancer receives within `configuration.in_force_s`; less than 1 if only some of the entries
    /// are sent as a list.
    pub whole_lists: f64,
    /// Configuration changes per second in the whole fleet.
    pub changes: f64,
    /// Duration for which configuration changes come at this rate, in seconds.
    pub duration_s: f64,
    /// Fraction of the configuration changes that concern one balancer, 0 to 1.
    pub concerned_fraction: f64,
    /// Mean bytes that one balancer receives per configuration change, counting changes that do not concern it as 0.
    pub bytes_per_balancer: f64,
    /// Bytes of documents that a balancer catches up with within `configuration.in_force_s`.
    pub catch_up_bytes: f64,
    /// Call rate of a balancer as a multiple of its rate on the ordinary day.
    pub rate: f64,
    /// Time that a call is in flight at a balancer, in seconds.
    pub call_in_flight_s: f64,
    /// Number of balancers that watch one relay of a zone.
    pub zone_children: f64,
    /// Number of relays and balancers that watch one relay of a region.
    pub region_children: f64,
    /// Number of relays and standbys that watch the origin.
    pub origin_children: f64,
    /// Whether a tier is faulty, so that calls are repeated.
    pub tier_faulty: bool,
}

/// Returns the number of relays in one zone.
fn relays_of_zone(plan: &Plan) -> f64 {
    plan.control_placement.zone_relays.value as f64 / plan.fleet.zones.value as f64
}

impl LoadScenario {
    /// Returns all scenarios: the ordinary day first, then the peaks.
    #[must_use]
    pub fn all(plan: &Plan) -> Vec<Self> {
        let day = Self::ordinary_day(plan);
        // Balancers that reconnect request a whole list and their documents.
        let resync = Self { whole_lists: 1.0, catch_up_bytes: plan.own_documents_bytes(), ..day.clone() };
        vec![
            day.clone(),
            Self::rolling_replacement(plan, &day),
            Self::rack_lost(plan, &day),
            Self::zone_lost(plan, &resync),
            Self::region_partition(plan, &resync),
            Self::control_machine_lost(plan, &resync),
            Self::control_zone_lost(plan, &resync),
            Self::reconnecting(plan, &resync),
            Self::busiest_minute(plan, &day),
            Self::cold_start(plan, &resync),
        ]
    }

    fn ordinary_day(plan: &Plan) -> Self {
        let ChangePerBalancer { fraction: concerned_fraction, bytes: bytes_per_balancer } =
            plan.change_per_balancer();
        let zone = plan.largest_zone_upstreams();
        let failures = &plan.failures;
        let list = &plan.list;
        let relays = relays_of_zone(plan);
        let zones = plan.fleet.zones_by_region.value.iter().copied().max().unwrap_or(1) as f64;
        let regions = plan.fleet.regions.value as f64;
        Self {
            name: "ordinary day",
            what: format!(
                "{} failures, {} replacements and {} changes, evenly over the day",
                failures.machines_per_day.value,
                failures.replaced_per_day.value,
                plan.configuration.changes_per_day.value
            ),
            lines: (failures.replaced_per_day.value * list.lines_per_replacement.value
                + failures.machines_per_day.value * list.lines_per_failure.value)
                / DAY_S,
            whole_lists: 0.0,
            changes: plan.configuration.changes_per_day.value / DAY_S,
            duration_s: DAY_S,
            concerned_fraction,
            bytes_per_balancer,
            catch_up_bytes: 0.0,
            rate: 1.0,
            call_in_flight_s: plan.call_in_flight_s(),
            zone_children: zone / relays,
            region_children: zones * relays,
            origin_children: regions + plan.control_placement.standbys.value as f64,
            tier_faulty: false,
        }
    }

    fn rolling_replacement(plan: &Plan, day: &Self) -> Self {
        let upstreams = plan.fleet.upstreams.value as f64;
        let failures = &plan.failures;
        let list = &plan.list;
        Self {
            name: "rolling replacement of everything",
            what: format!("all {upstreams} replaced one after another in {} s", failures.replace_all_s.value),
            lines: upstreams * list.lines_per_replacement.value / failures.replace_all_s.value,
            ..day.clone()
        }
    }

    fn rack_lost(plan: &Plan, day: &Self) -> Self {
        let upstreams = plan.fleet.upstreams.value as f64;
        let within = plan.configuration.in_force_s.value;
        let deadline = plan.traffic.deadline_s.value;
        Self {
            name: "a rack",
            what: format!("{} upstreams gone at once", plan.fleet.machines_per_rack.value),
            lines: plan.fleet.machines_per_rack.value as f64 / within,
            rate: upstreams / (upstreams - plan.fleet.machines_per_rack.value as f64).max(1.0),
            call_in_flight_s: deadline,
            tier_faulty: true,
            ..day.clone()
        }
    }

    fn zone_lost(plan: &Plan, resync: &Self) -> Self {
        let upstreams = plan.fleet.upstreams.value as f64;
        let zone = plan.largest_zone_upstreams();
        let within = plan.configuration.in_force_s.value;
        let deadline = plan.traffic.deadline_s.value;
        Self {
            name: "a zone lost and back",
            what: format!(
                "{zone:.0} upstreams gone at once; back, they ask for everything, and each entry is told once, listed or as a line"
            ),
            lines: zone / within,
            whole_lists: 1.0 - zone / upstreams,
            rate: upstreams / (upstreams - zone).max(1.0),
            call_in_flight_s: deadline,
            tier_faulty: true,
            ..resync.clone()
        }
    }

    fn region_partition(plan: &Plan, resync: &Self) -> Self {
        let region = plan.largest_region_upstreams();
        let deadline = plan.traffic.deadline_s.value;
        let cut = plan.failures.region_cut_s.value;
        Self {
            name: "a region cut off and back",
            what: format!(
                "{region:.0} upstreams cut off for {cut} s; back, each asks for a whole list and for the documents that changed, at most all it uses"
            ),
            call_in_flight_s: deadline,
            tier_faulty: true,
            ..resync.clone()
        }
    }

    fn control_machine_lost(plan: &Plan, resync: &Self) -> Self {
        let relays = relays_of_zone(plan);
        Self {
            name: "one control machine lost",
            what: "a relay of the largest zone; its readers go to the other, with a whole list each"
                .to_owned(),
            zone_children: if relays > 1.0 { resync.zone_children * relays / (relays - 1.0) } else { 0.0 },
            ..resync.clone()
        }
    }

    fn control_zone_lost(plan: &Plan, resync: &Self) -> Self {
        let zone = plan.largest_zone_upstreams();
        let relays = relays_of_zone(plan);
        Self {
            name: "a zone of control machines lost",
            what: "both relays of the largest zone; its readers go to the region's, with a whole list each"
                .to_owned(),
            region_children: resync.region_children - relays + zone,
            ..resync.clone()
        }
    }

    fn reconnecting(plan: &Plan, resync: &Self) -> Self {
        let upstreams = plan.fleet.upstreams.value as f64;
        Self {
            name: "all balancers reconnecting",
            what: format!("all {upstreams} at once, each for a whole list and its documents"),
            ..resync.clone()
        }
    }

    fn busiest_minute(plan: &Plan, day: &Self) -> Self {
        let minute = plan.configuration.peak_per_minute.value / 60.0;
        Self {
            name: "the busiest minute of changes",
            what: format!(
                "{} changes in a minute, the worst for all: each of the fleet's document",
                plan.configuration.peak_per_minute.value
            ),
            changes: minute,
            duration_s: 60.0,
            concerned_fraction: 1.0,
            bytes_per_balancer: plan.configuration.fleet_bytes.value as f64,
            ..day.clone()
        }
    }

    fn cold_start(plan: &Plan, resync: &Self) -> Self {
        let upstreams = plan.fleet.upstreams.value as f64;
        let within = plan.configuration.in_force_s.value;
        let deadline = plan.traffic.deadline_s.value;
        Self {
            name: "the whole fleet from cold",
            what: format!(
                "all {upstreams} processes start, are listed and ask for everything within {within} s; half of the entries are there by then, half come as lines"
            ),
            lines: upstreams / within / 2.0,
            whole_lists: 0.5,
            call_in_flight_s: deadline,
            tier_faulty: true,
            ..resync.clone()
        }
    }
}
