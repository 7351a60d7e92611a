//! Formats figures, their bases and tables as Markdown.

use crate::arithmetic::{Basis, Figure};

/// Formats a number for the page. Absolute values below 99.95 get three significant digits without trailing zeros, and
/// those below 0.0001 two digits in scientific notation. Values from 99.95 on are rounded to a whole number, which
/// keeps all its digits, with commas between groups of thousands. A value that is not finite becomes `?`.
#[must_use]
pub fn format_number(value: f64) -> String {
    let size = value.abs();
    if !value.is_finite() {
        return "?".to_owned();
    }
    if size >= 99.95 {
        let digits = format!("{value:.0}");
        let (sign, digits) = digits.strip_prefix('-').map_or(("", digits.as_str()), |digits| ("-", digits));
        let groups: Vec<&str> = digits
            .as_bytes()
            .rchunks(3)
            .rev()
            .map(|group| std::str::from_utf8(group).unwrap_or(""))
            .collect();
        return format!("{sign}{}", groups.join(","));
    }
    let text = match size {
        0.0 => return "0".to_owned(),
        9.995.. => format!("{value:.1}"),
        0.9995.. => format!("{value:.2}"),
        0.000_1.. => {
            let places = (2.0 - size.log10().floor()).max(0.0) as usize;
            format!("{value:.places$}")
        }
        _ => return format!("{value:.1e}"),
    };
    if text.contains('.') { text.trim_end_matches('0').trim_end_matches('.').to_owned() } else { text }
}

fn escape_cell(text: &str) -> String {
    text.replace('|', "\\|").replace('\n', " ")
}

pub(super) fn table(head: &[&str], rows: impl IntoIterator<Item = Vec<String>>) -> String {
    let line = |cells: Vec<String>| format!("| {} |\n", cells.join(" | "));
    let mut text = line(head.iter().map(|&text| escape_cell(text)).collect());
    text += &line(head.iter().map(|_| "---".to_owned()).collect());
    for row in rows {
        text += &line(row.iter().map(|text| escape_cell(text)).collect());
    }
    text
}

pub(super) fn figure_text(figure: &Figure, unit: &str) -> String {
    figure.value.map_or("not measured".to_owned(), |value| format!("{} {unit}", format_number(value)))
}

pub(super) fn basis_text(basis: &Basis) -> String {
    match basis {
        Basis::Calculated(missing) if missing.is_empty() => "reckoned from the plan".to_owned(),
        Basis::Calculated(missing) => format!("reckoned from the plan; not measured: {}", missing.join(", ")),
        Basis::ScenarioRuns(runs) => format!("played, the worst of {runs}"),
        Basis::Measured => "measured".to_owned(),
        Basis::Extrapolated(past) => {
            format!("extrapolated, {} times the largest size played", format_number(*past))
        }
        Basis::NotMeasured(missing) => format!("not measured: {}", missing.join(", ")),
    }
}

/// Formats a figure for a narrow cell: its value, its ratio to the budget in parentheses, and its basis as one letter.
pub(super) fn compact_figure_text(figure: &Figure) -> String {
    let Some(value) = figure.value else { return "not measured".to_owned() };
    let ratio = figure.ratio.map_or(String::new(), |ratio| format!(" ({})", format_number(ratio)));
    let basis = match &figure.basis {
        Basis::Calculated(_) => "r".to_owned(),
        Basis::ScenarioRuns(_) => "p".to_owned(),
        Basis::Measured => "m".to_owned(),
        Basis::Extrapolated(past) => format!("e{}", format_number(*past)),
        Basis::NotMeasured(_) => String::new(),
    };
    format!("{}{ratio} {basis}", format_number(value))
}
