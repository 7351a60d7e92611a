//! Needs of the data path: a balancer and a front at their call rates, and one call over all tiers.

use super::MB_PER_KIB;
use super::load_scenario::LoadScenario;
use super::mechanism::DECISIONS;
use super::need::{Cost, Need, Requirement, SlopeRead, Term};
use super::role::Role;
use crate::plan::{Plan, Reading};

/// Adds the rows of the balancer role `name`, which carries `rate` calls per second on an ordinary day.
pub(super) fn data_path(
    plan: &Plan,
    scenario: &LoadScenario,
    rows: &mut Vec<Need>,
    name: &'static str,
    rate: f64,
    tenants: f64,
    upstreams: f64,
) {
    let rate = rate * scenario.rate;
    let in_flight = rate * scenario.call_in_flight_s;
    let memory = plan.budget.memory_mb.value;
    let mut role = Role { name, mechanism: DECISIONS, requirement: Requirement::Calls, rows };
    role.row(
        Cost::State,
        "upstreams listed + tenants + calls a second x time that one is held",
        "entries",
        upstreams + tenants + in_flight,
        &[],
        None,
    );
    role.row(Cost::Messages, "calls a second", "calls/s", rate, &[], None);
    role.row(
        Cost::Processor,
        "calls/s x time of one at all upstreams, which was played at the mean rate at the front; budget: its one thread",
        "cores",
        0.0,
        &[Term::of("process.request_us_by_upstreams", SlopeRead::At(upstreams), rate / 1e6)],
        Some(1.0),
    )
    .extrapolation_ratio = (rate / plan.mean_rate(Reading::Front)).max(1.0);
    role.row(
        Cost::Memory,
        "process at all upstreams + tenants + calls held; budget: that of control, as none is given",
        "MB",
        0.0,
        &[
            Term::of("process.memory_loaded_kb_by_upstreams", SlopeRead::At(upstreams), MB_PER_KIB),
            Term::of("decisions.bytes_by_tenants", SlopeRead::AboveSmallest(tenants), 1e-6),
            Term::of("decisions.bytes_by_in_flight", SlopeRead::AboveSmallest(in_flight), 1e-6),
        ],
        Some(memory),
    );
    role.requirement = Requirement::Added;
    let slope = match scenario.name {
        "the busiest minute of changes" => "latency.added_p99_us_by_rate_configuration",
        "ordinary day" => "latency.added_p99_us_by_rate",
        _ => "latency.added_p99_us_by_rate_list",
    };
    role.row(
        Cost::Time,
        "added to a call, 99 in 100, at this rate",
        "ms",
        0.0,
        &[Term::of(slope, SlopeRead::At(rate), 1e-3)],
        Some(plan.traffic.added_ms.value),
    );
}

/// Adds the rows of one call that passes through all tiers.
pub(super) fn all_tiers(plan: &Plan, scenario: &LoadScenario, rows: &mut Vec<Need>) {
    let mut role = Role {
        name: "one call, over all tiers",
        mechanism: DECISIONS,
        requirement: Requirement::Repeats,
        rows,
    };
    let depth = plan.graph.depth.value as f64;
    let headroom = Some(plan.traffic.headroom.value);
    let formula = "attempts at the deepest tier for one call at the front, while that tier fails all; reckoned: attempts to the power of depth";
    if scenario.tier_faulty {
        let slope = Term::of("depth.attempts_by_depth", SlopeRead::At(depth), 1.0);
        role.row(Cost::Repeats, formula, "attempts", 0.0, &[slope], headroom).estimate =
            Some(f64::from(plan.traffic.attempts.value).powf(depth));
        role.row(
            Cost::Refusals,
            "calls refused or failed at all tiers for one call at the front, while the deepest fails all",
            "calls",
            0.0,
            &[Term::of("depth.refusals_by_depth", SlopeRead::At(depth), 1.0)],
            None,
        );
    } else {
        role.row(
            Cost::Repeats,
            "an attempt at each tier, where nothing is in trouble",
            "attempts",
            1.0,
            &[],
            headroom,
        );
        role.row(Cost::Refusals, "none, where nothing is in trouble", "calls", 0.0, &[], None);
    }
    role.row(
        Cost::Time,
        "what the deadline told leaves to a call before the deepest tier, where nothing is in trouble",
        "ms",
        0.0,
        &[Term::of("depth.deadline_ms_by_depth", SlopeRead::At(depth), 1.0)],
        None,
    );
}
