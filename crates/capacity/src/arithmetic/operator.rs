//! Needs of the operator who publishes a configuration change, including the time until the change is in force.

use std::path::Path;

use super::load_scenario::LoadScenario;
use super::mechanism::{CONFIGURATION_CLIENT, PUBLISHER};
use super::need::{Cost, Need, Requirement, ScenarioRuns, SlopeRead, Term};
use super::role::Role;
use crate::plan::Plan;

/// Adds the rows of the operator who publishes configuration changes.
pub(super) fn operator(plan: &Plan, scenario: &LoadScenario, tree: &Path, rows: &mut Vec<Need>) {
    let changes = &plan.configuration;
    let mut role = Role {
        name: "operator who publishes",
        mechanism: PUBLISHER,
        requirement: Requirement::Configuration,
        rows,
    };
    role.row(
        Cost::State,
        "a request id and a document at a time",
        "bytes",
        changes.service_bytes.value as f64,
        &[],
        None,
    );
    role.row(
        Cost::Messages,
        "changes/s x bytes of a document, to the origin",
        "bytes/s",
        scenario.changes * plan.change_bytes(),
        &[],
        Some(plan.budget.machine_bytes_per_s.value),
    );
    role.row(
        Cost::Processor,
        "changes/s x time of the origin to check, keep and answer",
        "cores",
        0.0,
        &[Term::of(
            "control.publish_us_by_bytes",
            SlopeRead::At(plan.change_bytes()),
            scenario.changes / 1e6,
        )],
        Some(plan.budget.machine_cores.value),
    );
    role.row(Cost::Memory, "a document at a time", "MB", changes.service_bytes.value as f64 / 1e6, &[], None);
    time_in_force(plan, scenario, &mut role);
    restarts(plan, scenario, tree, &mut role);
}

/// Adds the row of the time until a change is in force everywhere. The figure was measured directly if the load
/// scenario is one of those that the `sockets` command runs.
fn time_in_force(plan: &Plan, scenario: &LoadScenario, role: &mut Role) {
    role.row(
        Cost::Time,
        "from a change's acknowledgement to the last balancer, as played; else from its sending, one relay for all",
        "s",
        0.0,
        &[Term::of("control.change_sent_last_ms_by_watchers", SlopeRead::At(plan.fleet.upstreams.value as f64), 1e-3)],
        Some(plan.configuration.in_force_s.value),
    )
    .scenario_runs = Some(ScenarioRuns {
        results: "sockets",
        row: match scenario.name {
            "a region cut off and back" => "cut",
            "one control machine lost" => "relay",
            "a zone of control machines lost" => "zone",
            "all balancers reconnecting" => "reconnect",
            _ => "none",
        },
        column: "last, ms",
        factor: 1e-3,
    });
}

/// Adds the row of the restarts that configuration changes would require if balancers could not apply a configuration
/// while they run.
fn restarts(plan: &Plan, scenario: &LoadScenario, tree: &Path, role: &mut Role) {
    // No restart is needed if balancers can apply a configuration while they serve calls.
    let available = CONFIGURATION_CLIENT.available(tree).is_some();
    role.mechanism = CONFIGURATION_CLIENT;
    role.row(
        Cost::Restarts,
        "changes x balancers that each concerns, were a restart the only way; budget: those planned for a day",
        "restarts",
        if available {
            0.0
        } else {
            scenario.changes
                * scenario.duration_s
                * scenario.concerned_fraction
                * plan.fleet.upstreams.value as f64
        },
        &[],
        Some(plan.failures.replaced_per_day.value),
    );
}
