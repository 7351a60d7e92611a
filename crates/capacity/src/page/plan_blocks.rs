//! Generates the blocks that need only the plan: its figures, the figures derived from them, and the placement of the
//! control processes on machines.

use std::path::Path;

use super::format::{format_number, table};
use crate::arithmetic::{Cost, LoadScenario, needs};
use crate::plan::{Plan, Reading, Source};

pub(super) fn plan_block(plan: &Plan) -> String {
    let rows = plan.printed().into_iter().map(|printed| {
        let from = if printed.from == Source::Given { "given" } else { "assumed" };
        vec![format!("`{}`", printed.place), printed.value, printed.unit, from.to_owned(), printed.why]
    });
    table(&["figure", "value", "unit", "source", "why"], rows)
}

/// A figure calculated from the figures of the plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DerivedFigure {
    /// Name of the figure, with its unit.
    pub name: String,
    /// Value of the figure, formatted for the page.
    pub value: String,
    /// Description of how the value follows from the plan: a formula, the names of the figures that it depends on, or a
    /// reference to another row.
    pub formula: String,
}

fn row(name: &str, value: String, formula: &str) -> DerivedFigure {
    DerivedFigure { name: name.to_owned(), value, formula: formula.to_owned() }
}

/// All figures calculated from the plan, in the order of the page.
#[must_use]
pub fn derived_figures(plan: &Plan) -> Vec<DerivedFigure> {
    let mut rows = Vec::from(rates(plan, Reading::Front, "rate at the front"));
    rows.extend(rates(plan, Reading::Hops, "rate over all hops"));
    rows.extend(sizes(plan));
    rows.extend(bytes(plan));
    rows.extend(changes(plan));
    rows.extend(balancers_and_attempts(plan));
    rows
}

/// The call rates under one reading of the plan's calls per second: as calls at the front, or over all hops.
fn rates(plan: &Plan, reading: Reading, name: &str) -> [DerivedFigure; 5] {
    let (over_all_hops, at_the_front) = match reading {
        Reading::Front => ("traffic.calls_per_s x graph.depth", "traffic.calls_per_s"),
        Reading::Hops => ("traffic.calls_per_s", "traffic.calls_per_s / graph.hops_per_call"),
    };
    let rate =
        |what: &str, figure: f64, how: &str| row(&format!("{name}: {what}"), format_number(figure), how);
    [
        rate("calls a second over all hops", plan.hops_per_s(reading), over_all_hops),
        rate("calls a second at the front", plan.front_per_s(reading), at_the_front),
        rate(
            "calls a second of a balancer, mean",
            plan.mean_rate(reading),
            "over all hops / fleet.upstreams",
        ),
        rate("calls a second of the busiest", plan.busiest_rate(reading), "mean x traffic.busiest_over_mean"),
        rate(
            "calls a second of a front, mean",
            plan.front_per_s(reading) / plan.front_upstreams(),
            "at the front / upstreams of the first depth",
        ),
    ]
}

/// Numbers of upstreams of services, of the front, of the largest region and of the largest zone, the numbers of
/// services with one and with at most three upstreams, and the time that a call is in flight.
fn sizes(plan: &Plan) -> [DerivedFigure; 6] {
    let sizes = plan.service_sizes();
    let services_up_to = |max_size: usize| sizes.iter().filter(|&&size| size <= max_size).count();
    let size_at_rank = |rank: usize| sizes.get(rank).copied().unwrap_or(0);
    let smallest = sizes.last().copied().unwrap_or(0);
    [
        row(
            "upstreams of a service: largest, tenth, middle, least",
            format!(
                "{}, {}, {}, {smallest}",
                size_at_rank(0),
                size_at_rank(9),
                size_at_rank(sizes.len() / 2)
            ),
            "fleet.size_skew, one at least each, fleet.upstreams in sum",
        ),
        row(
            "services of one upstream, of three at most",
            format!("{}, {}", services_up_to(1), services_up_to(3)),
            "the same",
        ),
        row(
            "upstreams at the front",
            format_number(plan.front_upstreams()),
            "fleet.upstreams x graph.services_by_depth[0]",
        ),
        row(
            "upstreams of the largest region",
            format_number(plan.largest_region_upstreams()),
            "fleet.upstreams x fleet.region_shares",
        ),
        row(
            "upstreams of the largest zone",
            format_number(plan.largest_zone_upstreams()),
            "largest region share / its zones",
        ),
        row(
            "a call that meets no trouble is held, ms",
            format_number(plan.call_in_flight_s() * 1e3),
            "graph.depth x (traffic.work_ms + 2 x network.region_ms)",
        ),
    ]
}

/// Sizes in bytes of endpoint lists and configuration documents.
fn bytes(plan: &Plan) -> [DerivedFigure; 4] {
    let whole_list = plan.whole_list_bytes() as f64;
    [
        row("bytes of a whole list", format_number(whole_list), "fleet.upstreams x list.entry_bytes"),
        row(
            "seconds that a whole list takes of a balancer's bytes",
            format_number(whole_list / plan.budget.bytes_per_s.value),
            "whole list / budget.bytes_per_s",
        ),
        row(
            "bytes of the documents of one balancer",
            format_number(plan.own_documents_bytes()),
            "fleet's + region's + service's",
        ),
        row(
            "bytes of all documents",
            format_number(plan.documents_bytes()),
            "fleet's + regions' + services'",
        ),
    ]
}

/// Rates of configuration changes, and the number of balancers that a change concerns.
fn changes(plan: &Plan) -> [DerivedFigure; 4] {
    let changes_per_day = plan.configuration.changes_per_day.value;
    [
        row(
            "changes a minute, mean",
            format_number(changes_per_day / 1440.0),
            "configuration.changes_per_day / 1440",
        ),
        row(
            "moments a day at which changes come",
            format_number(changes_per_day / plan.configuration.bunch.value),
            "configuration.changes_per_day / configuration.bunch",
        ),
        row(
            "balancers that a change concerns, mean",
            format_number(plan.balancers_per_change()),
            "configuration.scope_shares, regions and services alike",
        ),
        row(
            "restarts a day, were a change a restart",
            format_number(plan.balancers_per_change() * changes_per_day),
            "the row above x configuration.changes_per_day",
        ),
    ]
}

/// The number of balancers if a process had one for each service that it calls, and the upper bound of the attempts for
/// one call.
fn balancers_and_attempts(plan: &Plan) -> [DerivedFigure; 3] {
    let destinations = plan.graph.destinations_mean.value;
    [
        row(
            "balancers that a process needs, mean",
            format_number(destinations),
            "graph.destinations_mean: a balancer serves the list of one tier, so a process that calls several services needs one for each today",
        ),
        row(
            "balancers in all, were it so",
            format_number(destinations * plan.fleet.upstreams.value as f64),
            "the row above x fleet.upstreams; the rows below count one for each upstream, as was given",
        ),
        row(
            "attempts at the deepest tier for one call, bound",
            format_number(f64::from(plan.traffic.attempts.value).powf(plan.graph.depth.value as f64)),
            "traffic.attempts to the power of graph.depth",
        ),
    ]
}

pub(super) fn derived_block(plan: &Plan) -> String {
    table(
        &["what follows", "figure", "from"],
        derived_figures(plan)
            .into_iter()
            .map(|DerivedFigure { name, value, formula }| vec![name, value, formula]),
    )
}

pub(super) fn placement_block(plan: &Plan) -> String {
    let day = LoadScenario::all(plan).swap_remove(0);
    let placement = &plan.control_placement;
    let relays = placement.zone_relays.value / plan.fleet.zones.value;
    let region_relays = placement.region_relays.value / plan.fleet.regions.value;
    let mut text = table(
        &["kind", "machines", "where", "children of one at most", "what the loss of one costs"],
        [
            vec![
                "origin".into(),
                placement.origins.value.to_string(),
                "the first region".into(),
                format!("{} relays", format_number(day.origin_children)),
                "nothing can be published; everything in force stays".into(),
            ],
            vec![
                "standby".into(),
                placement.standbys.value.to_string(),
                "the second region".into(),
                "none".into(),
                "no copy outside the origin's region but the relays' own".into(),
            ],
            vec![
                "relay of a region".into(),
                placement.region_relays.value.to_string(),
                format!("{region_relays} in each region"),
                format!("{} relays of zones", format_number(day.region_children)),
                "its zones' relays ask the origin".into(),
            ],
            vec![
                "relay of a zone".into(),
                placement.zone_relays.value.to_string(),
                format!("{relays} in each zone"),
                format!("{} balancers", format_number(day.zone_children)),
                "its balancers go to the other of the zone; with both lost, to the region's".into(),
            ],
        ],
    );
    text.push('\n');
    let zones = plan.fleet.zones_by_region.value.iter().zip(&plan.fleet.region_shares.value).enumerate();
    text += &table(
        &["region", "zones", "upstreams", "upstreams a zone", "control machines"],
        zones.map(|(region, (&zones, fraction))| {
            let upstreams = plan.fleet.upstreams.value as f64 * fraction;
            let origins = if region == 0 { placement.origins.value } else { 0 };
            let standbys = if region == 1 { placement.standbys.value } else { 0 };
            vec![
                (region + 1).to_string(),
                zones.to_string(),
                format_number(upstreams),
                format_number(upstreams / zones as f64),
                (origins + standbys + region_relays + zones * relays).to_string(),
            ]
        }),
    );
    text
}

/// Prints the output of `capacity plan`: the plan, and the figures calculated from it alone.
pub fn print_plan(plan: &Plan) {
    for printed in plan.printed() {
        let from = if printed.from == Source::Given { "given" } else { "assumed" };
        println!("{:<36} {:<60} {from}; {}", printed.place, printed.value, printed.unit);
    }
    println!();
    for DerivedFigure { name, value, formula } in derived_figures(plan) {
        println!("{name:<52} {value:<24} {formula}");
    }
    println!();
    println!("{}", placement_block(plan));
    for need in needs(plan, &LoadScenario::all(plan).swap_remove(0), Path::new(".")) {
        if need.terms.is_empty() && need.cost != Cost::Repeats {
            println!(
                "{}, {}: {} {} ({})",
                need.role,
                need.cost.text(),
                format_number(need.from_plan),
                need.unit,
                need.formula
            );
        }
    }
}
