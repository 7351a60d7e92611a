//! Resource needs of each role (balancer, control machine, operator and so on) at the size of the plan, calculated from
//! the plan's figures and the measured slopes, and compared with the role's budget.

use std::path::Path;

use self::control::{balancer_control, control_machines, registrant};
use self::data_path::{all_tiers, data_path};
pub use self::load_scenario::LoadScenario;
pub use self::measured::{CostAt, Measured};
pub use self::mechanism::Mechanism;
pub use self::need::{Basis, Cost, Figure, Need, Requirement, ScenarioRuns, SlopeRead, Term};
use self::operator::operator;
use crate::plan::{Plan, Reading};

mod control;
mod data_path;
mod load_scenario;
mod measured;
mod mechanism;
mod need;
mod operator;
mod role;

/// Converts memory from KiB, the unit of the measurements, to MB, the unit of the budgets.
const MB_PER_KIB: f64 = 1.024e-3;

/// Returns the needs of all roles in a load scenario. The order of the rows is the same for every scenario.
/// `tree` is the checkout in which mechanisms are looked up.
#[must_use]
pub fn needs(plan: &Plan, scenario: &LoadScenario, tree: &Path) -> Vec<Need> {
    let mut rows = Vec::new();
    let upstreams = plan.fleet.upstreams.value as f64;
    let tenants = plan.traffic.tenants.value as f64;
    for (reading, path, front) in [
        (Reading::Front, "balancer, data path (rate at the front)", "front (rate at the front)"),
        (Reading::Hops, "balancer, data path (rate over all hops)", "front (rate over all hops)"),
    ] {
        data_path(plan, scenario, &mut rows, path, plan.busiest_rate(reading), tenants, upstreams);
        data_path(
            plan,
            scenario,
            &mut rows,
            front,
            plan.front_per_s(reading) / plan.front_upstreams(),
            tenants,
            upstreams,
        );
    }
    all_tiers(plan, scenario, &mut rows);
    balancer_control(plan, scenario, &mut rows);
    control_machines(plan, scenario, &mut rows);
    registrant(plan, &mut rows);
    operator(plan, scenario, tree, &mut rows);
    rows
}
