//! The control processes of the plan, with their roles, locations and parents.

use crate::plan::Plan;

/// Role of a control process. The order of the variants is from the origin down to the zone relays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Accepts publications of configuration documents.
    Origin,
    /// Replicates the origin's configuration documents, and can replace the origin.
    Standby,
    /// Relays configuration documents to a region.
    Region,
    /// Relays configuration documents to a zone.
    Zone,
}

impl Role {
    /// All roles of control processes, from the origin down.
    pub const ALL: [Self; 4] = [Self::Origin, Self::Standby, Self::Region, Self::Zone];

    /// Returns the name of the role, as used in results and messages.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Origin => "origin",
            Self::Standby => "standby",
            Self::Region => "region relay",
            Self::Zone => "zone relay",
        }
    }

    pub(super) fn level(self) -> usize {
        self as usize
    }
}

/// A control process of the plan, with its location and its parents.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlProcess {
    /// Role of the control process.
    pub role: Role,
    /// Number of the region that the control process runs in.
    pub region: usize,
    /// Number of the zone that the control process serves; only a zone relay has one.
    pub zone: Option<usize>,
    /// Indices of the control processes that this control process gets its documents from.
    pub parents: Vec<usize>,
}

/// Lists the control processes of the plan: the origin in the first region, the standby in the next, the region relays,
/// which follow both, and the zone relays, which follow the relays of their region and the standby.
#[must_use]
pub fn control_processes(plan: &Plan) -> Vec<ControlProcess> {
    let regions = plan.fleet.regions.value;
    let mut machines = Vec::new();
    let machine = |role, region, zone, parents| ControlProcess { role, region, zone, parents };
    machines.extend(
        (0..plan.control_placement.origins.value).map(|_| machine(Role::Origin, 0, None, Vec::new())),
    );
    let origins: Vec<usize> = (0..machines.len()).collect();
    for _ in 0..plan.control_placement.standbys.value {
        machines.push(machine(Role::Standby, 1 % regions, None, origins.clone()));
    }
    let origins_and_standbys: Vec<usize> = (0..machines.len()).collect();
    let standbys = &origins_and_standbys[origins.len()..];
    for number in 0..plan.control_placement.region_relays.value {
        machines.push(machine(Role::Region, number % regions, None, origins_and_standbys.clone()));
    }
    let per_zone = plan.control_placement.zone_relays.value / plan.fleet.zones.value.max(1);
    for zone in 0..plan.fleet.zones.value {
        let region = region_of(plan, zone);
        let region_parents = (0..machines.len())
            .filter(|&index| machines[index].role == Role::Region && machines[index].region == region);
        let parents: Vec<usize> = region_parents.chain(standbys.iter().copied()).collect();
        for _ in 0..per_zone {
            machines.push(machine(Role::Zone, region, Some(zone), parents.clone()));
        }
    }
    machines
}

/// Returns the region of a zone; zones are numbered region by region.
#[must_use]
pub fn region_of(plan: &Plan, zone: usize) -> usize {
    let mut end = 0;
    let zones = &plan.fleet.zones_by_region.value;
    zones
        .iter()
        .position(|&zones| {
            end += zones;
            zone < end
        })
        .unwrap_or(0)
}
