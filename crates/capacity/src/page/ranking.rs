//! Generates the blocks that compare all needs with their budgets: the ranking of the requirements, the rows close to
//! or over their budget, and the number of figures by basis.

use std::collections::BTreeMap;
use std::path::Path;

use super::format::{basis_text, figure_text, format_number, table};
use crate::arithmetic::{Basis, Cost, Figure, LoadScenario, Measured, Need, Requirement, needs};
use crate::plan::Plan;

/// Ratio of need to budget from which a row is listed as tight.
const TIGHT_RATIO: f64 = 0.8;

/// The need that ranks highest for a requirement, over all roles and load scenarios.
struct WorstNeed {
    requirement: Requirement,
    /// Whether a mechanism that meets the need exists in the checkout.
    available: bool,
    /// Ratio of need to budget; `None` where the need has no figure or no budget.
    ratio: Option<f64>,
    need: Need,
    figure: Figure,
    /// Name of the load scenario in which the need arises.
    load_scenario: &'static str,
}

/// The requirements in order of urgency: first those with at least one need whose mechanism does not exist in the
/// checkout, then the others; in both groups by ratio of need to budget, the largest first. Each requirement is ranked
/// by one need: a need without its mechanism goes before all needs with one, then the largest ratio decides.
fn ranked_requirements(plan: &Plan, measured: &Measured, tree: &Path) -> Vec<WorstNeed> {
    let mut worst: BTreeMap<Requirement, WorstNeed> = BTreeMap::new();
    for load_scenario in LoadScenario::all(plan) {
        for need in needs(plan, &load_scenario, tree) {
            let available = need.mechanism.available(tree).is_some();
            let figure = need.figure(measured);
            let (requirement, ratio) = (need.requirement, figure.ratio);
            let rank = |available: bool, ratio: Option<f64>| (!available, ratio.unwrap_or(-1.0));
            let known = worst.get(&requirement).map(|known| rank(known.available, known.ratio));
            if known.is_none_or(|known| rank(available, ratio) > known) {
                let load_scenario = load_scenario.name;
                worst.insert(
                    requirement,
                    WorstNeed { requirement, available, ratio, need, figure, load_scenario },
                );
            }
        }
    }
    let mut ranked_requirements: Vec<WorstNeed> = worst.into_values().collect();
    let key = |worst: &WorstNeed| (worst.available, -worst.ratio.unwrap_or(-1.0));
    ranked_requirements.sort_by(|a, b| key(a).partial_cmp(&key(b)).unwrap_or(std::cmp::Ordering::Equal));
    ranked_requirements
}

/// The table of the requirements in order of urgency: first those with at least one need whose mechanism does not exist
/// in the checkout, then the others; in both groups by ratio of need to budget, the largest first.
#[must_use]
pub fn ranking(plan: &Plan, measured: &Measured, tree: &Path) -> String {
    let rows = ranked_requirements(plan, measured, tree).into_iter().enumerate().map(|(rank, worst)| {
        vec![
            (rank + 1).to_string(),
            worst.requirement.text().to_owned(),
            format!("{}, {}", worst.need.role, worst.need.cost.text()),
            worst.load_scenario.to_owned(),
            figure_text(&worst.figure, worst.need.unit),
            worst.need.budget.map_or("–".to_owned(), format_number),
            worst.ratio.map_or("–".to_owned(), format_number),
            worst.need.mechanism.available(tree).unwrap_or("none today").to_owned(),
            basis_text(&worst.figure.basis),
        ]
    });
    table(
        &[
            "rank",
            "requirement",
            "its worst row",
            "occasion",
            "need",
            "budget",
            "ratio",
            "carried by",
            "basis",
        ],
        rows,
    )
}

/// The rows that need at least [`TIGHT_RATIO`] of their budget, each in its worst load scenario, with the largest ratio
/// first.
pub(super) fn tight_block(plan: &Plan, measured: &Measured, tree: &Path) -> String {
    let mut worst: BTreeMap<(&str, Cost), (f64, Need, Figure, &str)> = BTreeMap::new();
    for load_scenario in LoadScenario::all(plan) {
        for need in needs(plan, &load_scenario, tree) {
            let figure = need.figure(measured);
            let key = (need.role, need.cost);
            let Some(ratio) = figure.ratio.filter(|&ratio| ratio >= TIGHT_RATIO) else { continue };
            if worst.get(&key).is_none_or(|known| known.0 < ratio) {
                worst.insert(key, (ratio, need, figure, load_scenario.name));
            }
        }
    }
    let mut rows: Vec<_> = worst.into_values().collect();
    rows.sort_by(|a, b| b.0.total_cmp(&a.0));
    let rows = rows.into_iter().map(|(ratio, need, figure, load_scenario)| {
        vec![
            need.role.to_owned(),
            need.cost.text().to_owned(),
            load_scenario.to_owned(),
            figure_text(&figure, need.unit),
            need.budget.map_or("–".to_owned(), format_number),
            format_number(ratio),
            if ratio > 1.0 { "not met" } else { "met" }.to_owned(),
            basis_text(&figure.basis),
        ]
    });
    table(&["role", "cost", "its worst occasion", "need", "budget", "ratio", "", "basis"], rows)
}

/// A sentence with the number of figures of each basis, over all rows and load scenarios.
pub(super) fn bases_block(plan: &Plan, measured: &Measured, tree: &Path) -> String {
    let mut counts = [0; 5];
    let mut furthest: f64 = 1.0;
    for load_scenario in LoadScenario::all(plan) {
        for need in needs(plan, &load_scenario, tree) {
            counts[match need.figure(measured).basis {
                Basis::ScenarioRuns(_) => 0,
                Basis::Measured => 1,
                Basis::Extrapolated(past) => {
                    furthest = furthest.max(past);
                    2
                }
                Basis::Calculated(_) => 3,
                Basis::NotMeasured(_) => 4,
            }] += 1;
        }
    }
    let [scenario_runs, within, past, reckoned, missing] = counts;
    format!(
        "Of {} figures, over all rows and occasions, {scenario_runs} were played as such, {within} are measured, {past} \
         extrapolated (the furthest {} times past what was played), {reckoned} reckoned and {missing} not measured.\n",
        counts.iter().sum::<u32>(),
        format_number(furthest)
    )
}
