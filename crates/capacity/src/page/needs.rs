//! Generates the blocks with a table for each role: its needs on the ordinary day, and at each peak.

use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::path::Path;

use super::format::{basis_text, compact_figure_text, figure_text, format_number, table};
use crate::arithmetic::{Basis, LoadScenario, Measured, Need, needs};
use crate::plan::Plan;
use crate::slope::Results;

/// The command that prints the figures calculated from the plan alone.
const PLAN_COMMAND: &str = "target/release/capacity plan";

/// The table of results that the figure of a need is read from; `None` where it is not read from a scenario's results.
fn results_table<'a>(need: &Need, measured: &'a Measured) -> Option<&'a Results> {
    let scenario_runs =
        need.scenario_runs.filter(|_| matches!(need.figure(measured).basis, Basis::ScenarioRuns(_)))?;
    measured.results.get(scenario_runs.results)
}

fn command_text(need: &Need, measured: &Measured) -> String {
    if let Some(table) = results_table(need, measured) {
        return format!("`{}`", table.command);
    }
    if need.terms.is_empty() {
        return format!("`{PLAN_COMMAND}`");
    }
    let known = need.terms.iter().filter_map(|term| measured.slopes.get(term.slope));
    let commands: BTreeSet<&str> = known.map(|slope| slope.command.as_str()).collect();
    if commands.is_empty() {
        return "none yet".to_owned();
    }
    commands.iter().map(|command| format!("`{command}`")).collect::<Vec<_>>().join("; ")
}

fn slope_text(need: &Need, measured: &Measured) -> String {
    if let Some(table) = results_table(need, measured) {
        return format!("[{}](#{})", table.name, table.name);
    }
    if need.terms.is_empty() {
        return "–".to_owned();
    }
    let name = |slope: &str| {
        if measured.slopes.contains_key(slope) {
            format!("[{slope}](capacity/{slope}.svg)")
        } else {
            slope.to_owned()
        }
    };
    let names: BTreeSet<&str> = need.terms.iter().map(|term| term.slope).collect();
    names.into_iter().map(name).collect::<Vec<_>>().join(", ")
}

/// The distinct roles of the needs, in the order in which they first occur.
fn roles(needs: &[Need]) -> Vec<&'static str> {
    let mut roles: Vec<&'static str> = Vec::new();
    for need in needs {
        if !roles.contains(&need.role) {
            roles.push(need.role);
        }
    }
    roles
}

/// The needs on the ordinary day: a table for each role, with a row for each cost.
pub(super) fn day_block(plan: &Plan, measured: &Measured, tree: &Path) -> String {
    let all = needs(plan, &LoadScenario::all(plan).swap_remove(0), tree);
    let head = [
        "cost",
        "formula",
        "slope",
        "figure",
        "budget",
        "ratio",
        "carried by",
        "basis",
        "what would break it",
        "command",
    ];
    let mut text = String::new();
    for role in roles(&all) {
        let rows = all.iter().filter(|need| need.role == role).map(|need| {
            let figure = need.figure(measured);
            vec![
                need.cost.text().to_owned(),
                need.formula.to_owned(),
                slope_text(need, measured),
                figure_text(&figure, need.unit),
                need.budget.map_or("–".to_owned(), format_number),
                figure.ratio.map_or("–".to_owned(), format_number),
                need.mechanism.available(tree).unwrap_or("none today").to_owned(),
                basis_text(&figure.basis),
                need.validity_limits().to_owned(),
                command_text(need, measured),
            ]
        });
        let _ = write!(text, "### {}\n\n{}\n", heading(role), table(&head, rows));
    }
    text
}

fn heading(role: &str) -> String {
    let mut letters = role.chars();
    letters.next().map_or(String::new(), |first| first.to_uppercase().chain(letters).collect())
}

/// The needs at the peaks: a table for each role, with a row for each load scenario and a column for each cost.
pub(super) fn peaks_block(plan: &Plan, measured: &Measured, tree: &Path) -> String {
    let load_scenarios = LoadScenario::all(plan);
    let mut text = table(
        &["peak", "what it is"],
        load_scenarios
            .iter()
            .map(|load_scenario| vec![load_scenario.name.to_owned(), load_scenario.what.clone()]),
    );
    let needs_by_load_scenario: Vec<Vec<Need>> =
        load_scenarios.iter().map(|load_scenario| needs(plan, load_scenario, tree)).collect();
    let Some(first) = needs_by_load_scenario.first() else { return text };
    for role in roles(first) {
        let of_role: Vec<(usize, &Need)> =
            first.iter().enumerate().filter(|(_, need)| need.role == role).collect();
        let _ = write!(text, "\n### {}, at each peak\n\n", heading(role));
        let head: Vec<String> = std::iter::once("occasion".to_owned())
            .chain(of_role.iter().map(|(_, need)| format!("{}, {}", need.cost.text(), need.unit)))
            .collect();
        let head: Vec<&str> = head.iter().map(String::as_str).collect();
        let rows = load_scenarios.iter().zip(&needs_by_load_scenario).map(|(load_scenario, needs)| {
            let cells = of_role
                .iter()
                .filter_map(|&(at, _)| needs.get(at))
                .map(|need| compact_figure_text(&need.figure(measured)));
            std::iter::once(load_scenario.name.to_owned()).chain(cells).collect()
        });
        text += &table(&head, rows);
    }
    text
}
