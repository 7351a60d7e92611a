//! Generates the blocks for the measurements: the slopes and the tables of results.

use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::path::Path;

use super::format::{format_number, table};
use crate::arithmetic::{LoadScenario, Measured, needs};
use crate::plan::Plan;
use crate::slope::{Results, Slope};

pub(super) fn slopes_block(plan: &Plan, measured: &Measured, tree: &Path) -> String {
    let fit = |slope: &Slope| {
        slope.fit.map_or(["no straight line".to_owned(), "–".to_owned()], |fit| {
            [
                format!("{} + {} x", format_number(fit.base), format_number(fit.each)),
                format!("{:.1}%", fit.residual * 100.0),
            ]
        })
    };
    let rows = measured.slopes.values().map(|slope| {
        let sizes: Vec<String> = slope.points.iter().map(|point| format_number(point.x)).collect();
        let medians: Vec<String> = slope.points.iter().map(|point| format_number(point.y)).collect();
        let ranges: Vec<String> = slope
            .points
            .iter()
            .map(|point| format!("{}–{}", format_number(point.low), format_number(point.high)))
            .collect();
        let [line, residual] = fit(slope);
        vec![
            format!("[{}](capacity/{}.svg)", slope.name, slope.name),
            slope.what.clone(),
            format!("{} ({})", sizes.join(", "), slope.x_unit),
            format!("{} ({})", medians.join(", "), slope.y_unit),
            ranges.join(", "),
            slope.plays.to_string(),
            line,
            residual,
            slope.commit.clone(),
            format!("`{}`", slope.command),
            slope.note.clone(),
        ]
    });
    let mut text = if measured.slopes.is_empty() {
        "None has been measured yet.\n".to_owned()
    } else {
        table(
            &[
                "slope",
                "what",
                "sizes",
                "middle",
                "least–most",
                "plays",
                "fit",
                "residual",
                "commit",
                "command",
                "note",
            ],
            rows,
        )
    };
    let required: BTreeSet<&str> = LoadScenario::all(plan)
        .iter()
        .flat_map(|load_scenario| needs(plan, load_scenario, tree))
        .flat_map(|need| need.terms.into_iter().map(|term| term.slope))
        .collect();
    let missing: Vec<&str> =
        required.into_iter().filter(|name| !measured.slopes.contains_key(*name)).collect();
    if !missing.is_empty() {
        let _ = write!(text, "\nNot measured, and asked for by the rows above: {}.\n", missing.join(", "));
    }
    text
}

pub(super) fn results_block(measured: &Measured) -> String {
    let mut text = String::new();
    for result in measured.results.values() {
        let Results { name, what, command, commit, columns, rows, note } = result;
        let _ = write!(text, "### {name}\n\n{what}. At {commit}, `{command}`.");
        if !note.is_empty() {
            let _ = write!(text, " {note}");
        }
        text.push_str("\n\n");
        let head: Vec<&str> = columns.iter().map(String::as_str).collect();
        text += &table(&head, rows.iter().cloned());
        text.push('\n');
    }
    if text.is_empty() { "None has been played yet.\n".to_owned() } else { text }
}
