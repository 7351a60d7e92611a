//! The capacity page: hand-written text, with blocks between markers that the rig writes from the plan and the measured
//! figures, so that page and measurement can't part.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::fs;
use std::path::{Path, PathBuf};

use clap::Args;

use crate::CapacityError;
use crate::arithmetic::{Basis, Cost, Figure, Measured, Need, Occasion, Requirement, needs};
use crate::plan::{Plan, Reading, Source};
use crate::plots;
use crate::slope::{Results, Slope};

const BEGIN: &str = "<!-- generated: ";
const END: &str = "<!-- end -->";
/// From which part of its budget on a row is shown among the tight ones.
const TIGHT: f64 = 0.8;
/// What gives the figures that follow from the plan alone.
const PLAN_COMMAND: &str = "target/release/capacity plan";

/// Writes the generated blocks of `docs/CAPACITY.md` and its plots from the plan and what was measured, and prints what
/// is missing first.
#[derive(Debug, Args)]
pub struct Arguments {
    /// Write nothing: end with an error that names the first block or plot that differs from what it should be.
    #[arg(long)]
    pub check: bool,
    /// Where CAPACITY.md is, and its folder of plots, capacity.
    #[arg(long, default_value = "docs")]
    pub out: PathBuf,
    /// Where the folders slopes and results are.
    #[arg(long, default_value = "crates/capacity")]
    pub from: PathBuf,
    /// The checkout in which the mechanisms are looked for.
    #[arg(long, default_value = ".")]
    pub tree: PathBuf,
}

/// Does it.
///
/// # Errors
/// A file cannot be read, written or understood; a block has no marker; with `--check`, what differs.
pub fn run(arguments: &Arguments, plan: &Plan) -> Result<(), CapacityError> {
    let measured = Measured::read(&arguments.from)?;
    let blocks = blocks(plan, &measured, &arguments.tree);
    let page = arguments.out.join("CAPACITY.md");
    let before = fs::read_to_string(&page).map_err(|cause| CapacityError::file(&page, cause))?;
    let after = filled(&before, &blocks).map_err(|cause| CapacityError::file(&page, cause))?;
    let folder = arguments.out.join("capacity");
    let drawn: Vec<(PathBuf, String)> = measured
        .slopes
        .values()
        .map(|slope| Ok((folder.join(format!("{}.svg", slope.name)), plots::svg(slope)?)))
        .collect::<Result<_, CapacityError>>()?;
    let stale = stale_plots(&folder, &drawn)?;
    if arguments.check {
        let differs = |what: String| {
            Err(CapacityError::run(
                what,
                "differs from what the plan and the measurements give; run `capacity page`",
            ))
        };
        if let Some(name) = first_difference(&before, &blocks) {
            return differs(format!("{}, block {name}", page.display()));
        }
        for (path, svg) in &drawn {
            if fs::read_to_string(path).ok().as_ref() != Some(svg) {
                return differs(path.display().to_string());
            }
        }
        return match stale.first() {
            Some(path) => differs(path.display().to_string()),
            None => Ok(()),
        };
    }
    fs::create_dir_all(&folder).map_err(|cause| CapacityError::file(&folder, cause))?;
    for (path, svg) in &drawn {
        fs::write(path, svg).map_err(|cause| CapacityError::file(path, cause))?;
    }
    for path in &stale {
        fs::remove_file(path).map_err(|cause| CapacityError::file(path, cause))?;
    }
    fs::write(&page, after).map_err(|cause| CapacityError::file(&page, cause))?;
    print!("{}", ranking(plan, &measured, &arguments.tree));
    Ok(())
}

/// Plots that no slope stands behind.
fn stale_plots(folder: &Path, drawn: &[(PathBuf, String)]) -> Result<Vec<PathBuf>, CapacityError> {
    if !folder.is_dir() {
        return Ok(Vec::new());
    }
    let entries = fs::read_dir(folder).map_err(|cause| CapacityError::file(folder, cause))?;
    let all: BTreeSet<PathBuf> = entries.filter_map(Result::ok).map(|entry| entry.path()).collect();
    let is_plot = |path: &PathBuf| path.extension().is_some_and(|end| end == "svg");
    Ok(all
        .into_iter()
        .filter(|path| is_plot(path) && !drawn.iter().any(|(known, _)| known == path))
        .collect())
}

/// The page with its blocks filled in; text outside the markers stays to the byte.
///
/// # Errors
/// A marker names no block, comes twice or has no end; a block has no marker.
pub fn filled(page: &str, blocks: &BTreeMap<&'static str, String>) -> Result<String, String> {
    let mut text = String::new();
    let mut rest = page;
    let mut seen = BTreeSet::new();
    while let Some(start) = rest.find(BEGIN) {
        let (before, from) = rest.split_at(start);
        let (name, inside) =
            from[BEGIN.len()..].split_once(" -->").ok_or("a marker without its end: expected ` -->`")?;
        let block = blocks.get(name).ok_or_else(|| format!("no block is named {name}"))?;
        if !seen.insert(name) {
            return Err(format!("block {name}: a second marker"));
        }
        let (_, behind) = inside.split_once(END).ok_or_else(|| format!("block {name}: no `{END}`"))?;
        let _ = write!(text, "{before}{BEGIN}{name} -->\n{}\n{END}", block.trim_end());
        rest = behind;
    }
    match blocks.keys().find(|name| !seen.contains(*name)) {
        Some(name) => Err(format!("block {name}: no marker")),
        None => Ok(text + rest),
    }
}

/// The first block, in the order of the page, whose text is not as it should be.
fn first_difference(page: &str, blocks: &BTreeMap<&'static str, String>) -> Option<String> {
    page.split(BEGIN).skip(1).find_map(|part| {
        let (name, inside) = part.split_once(" -->")?;
        let (text, _) = inside.split_once(END)?;
        let same = blocks.get(name).is_some_and(|block| text.trim() == block.trim());
        (!same).then(|| name.to_owned())
    })
}

/// All blocks by name.
#[must_use]
pub fn blocks(plan: &Plan, measured: &Measured, tree: &Path) -> BTreeMap<&'static str, String> {
    BTreeMap::from([
        ("plan", plan_block(plan)),
        ("derived", derived_block(plan)),
        ("deal", deal_block(plan)),
        ("ranking", ranking(plan, measured, tree)),
        ("tight", tight_block(plan, measured, tree)),
        ("bases", bases_block(plan, measured, tree)),
        ("day", day_block(plan, measured, tree)),
        ("peaks", peaks_block(plan, measured, tree)),
        ("slopes", slopes_block(plan, measured, tree)),
        ("results", results_block(measured)),
    ])
}

/// A figure with three digits that count, thousands apart.
#[must_use]
pub fn show(value: f64) -> String {
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

fn cell(text: &str) -> String {
    text.replace('|', "\\|").replace('\n', " ")
}

fn table(head: &[&str], rows: impl IntoIterator<Item = Vec<String>>) -> String {
    let line = |cells: Vec<String>| format!("| {} |\n", cells.join(" | "));
    let mut text = line(head.iter().map(|&text| cell(text)).collect());
    text += &line(head.iter().map(|_| "---".to_owned()).collect());
    for row in rows {
        text += &line(row.iter().map(|text| cell(text)).collect());
    }
    text
}

fn plan_block(plan: &Plan) -> String {
    let rows = plan.told().into_iter().map(|told| {
        let from = if told.from == Source::Given { "given" } else { "assumed" };
        vec![format!("`{}`", told.place), told.value, told.unit, from.to_owned(), told.why]
    });
    table(&["figure", "value", "unit", "source", "why"], rows)
}

/// What follows from the plan, as name, figure and how it is made.
#[must_use]
pub fn derived(plan: &Plan) -> Vec<[String; 3]> {
    let mut rows = Vec::new();
    let mut row =
        |what: &str, figure: String, how: &str| rows.push([what.to_owned(), figure, how.to_owned()]);
    for (reading, name) in [(Reading::Front, "rate at the front"), (Reading::Hops, "rate over all hops")] {
        let of = |what: &str| format!("{name}: {what}");
        row(
            &of("calls a second over all hops"),
            show(plan.hops_per_s(reading)),
            match reading {
                Reading::Front => "traffic.calls_per_s x graph.depth",
                Reading::Hops => "traffic.calls_per_s",
            },
        );
        row(
            &of("calls a second at the front"),
            show(plan.front_per_s(reading)),
            match reading {
                Reading::Front => "traffic.calls_per_s",
                Reading::Hops => "traffic.calls_per_s / graph.hops_per_call",
            },
        );
        row(
            &of("calls a second of a balancer, mean"),
            show(plan.mean_rate(reading)),
            "over all hops / fleet.upstreams",
        );
        row(
            &of("calls a second of the busiest"),
            show(plan.busiest_rate(reading)),
            "mean x traffic.busiest_over_mean",
        );
        row(
            &of("calls a second of a front, mean"),
            show(plan.front_per_s(reading) / plan.fronts()),
            "at the front / upstreams of the first depth",
        );
    }
    let sizes = plan.service_sizes();
    let counted = |most: usize| sizes.iter().filter(|&&size| size <= most).count();
    row(
        "upstreams of a service: largest, tenth, middle, least",
        format!(
            "{}, {}, {}, {}",
            sizes.first().copied().unwrap_or(0),
            sizes.get(9).copied().unwrap_or(0),
            sizes.get(sizes.len() / 2).copied().unwrap_or(0),
            sizes.last().copied().unwrap_or(0)
        ),
        "fleet.size_skew, one at least each, fleet.upstreams in sum",
    );
    row("services of one upstream, of three at most", format!("{}, {}", counted(1), counted(3)), "the same");
    row("upstreams at the front", show(plan.fronts()), "fleet.upstreams x graph.services_by_depth[0]");
    row(
        "upstreams of the largest region",
        show(plan.largest_region()),
        "fleet.upstreams x fleet.region_shares",
    );
    row("upstreams of the largest zone", show(plan.largest_zone()), "largest region share / its zones");
    row(
        "a call that meets no trouble is held, ms",
        show(plan.held_s() * 1e3),
        "graph.depth x (traffic.work_ms + 2 x network.region_ms)",
    );
    row("bytes of a whole list", show(plan.whole_list_bytes() as f64), "fleet.upstreams x list.entry_bytes");
    let control = plan.budget.bytes_per_s.value;
    row(
        "seconds that a whole list takes of a balancer's bytes",
        show(plan.whole_list_bytes() as f64 / control),
        "whole list / budget.bytes_per_s",
    );
    row(
        "bytes of the documents of one balancer",
        show(plan.own_documents_bytes()),
        "fleet's + region's + service's",
    );
    row("bytes of all documents", show(plan.documents_bytes()), "fleet's + regions' + services'");
    row(
        "changes a minute, mean",
        show(plan.configuration.changes_per_day.value / 1440.0),
        "configuration.changes_per_day / 1440",
    );
    row(
        "moments a day at which changes come",
        show(plan.configuration.changes_per_day.value / plan.configuration.bunch.value),
        "configuration.changes_per_day / configuration.bunch",
    );
    row(
        "balancers that a change concerns, mean",
        show(plan.told_by_change()),
        "configuration.scope_shares, regions and services alike",
    );
    row(
        "restarts a day, were a change a restart",
        show(plan.told_by_change() * plan.configuration.changes_per_day.value),
        "the row above x configuration.changes_per_day",
    );
    row(
        "balancers that a process needs, mean",
        show(plan.graph.destinations_mean.value),
        "graph.destinations_mean: a balancer serves the list of one tier, so a process that calls several services needs one for each today",
    );
    row(
        "balancers in all, were it so",
        show(plan.graph.destinations_mean.value * plan.fleet.upstreams.value as f64),
        "the row above x fleet.upstreams; the rows below count one for each upstream, as was given",
    );
    row(
        "attempts at the deepest tier for one call, bound",
        show(f64::from(plan.traffic.attempts.value).powf(plan.graph.depth.value as f64)),
        "traffic.attempts to the power of graph.depth",
    );
    rows
}

fn derived_block(plan: &Plan) -> String {
    table(&["what follows", "figure", "from"], derived(plan).into_iter().map(Vec::from))
}

fn deal_block(plan: &Plan) -> String {
    let day = Occasion::all(plan).swap_remove(0);
    let deal = &plan.deal;
    let relays = deal.zone_relays.value / plan.fleet.zones.value;
    let region_relays = deal.region_relays.value / plan.fleet.regions.value;
    let mut text = table(
        &["kind", "machines", "where", "children of one at most", "what the loss of one costs"],
        [
            vec![
                "origin".into(),
                deal.origins.value.to_string(),
                "the first region".into(),
                format!("{} relays", show(day.origin_children)),
                "nothing can be published; everything in force stays".into(),
            ],
            vec![
                "standby".into(),
                deal.standbys.value.to_string(),
                "the second region".into(),
                "none".into(),
                "no copy outside the origin's region but the relays' own".into(),
            ],
            vec![
                "relay of a region".into(),
                deal.region_relays.value.to_string(),
                format!("{region_relays} in each region"),
                format!("{} relays of zones", show(day.region_children)),
                "its zones' relays ask the origin".into(),
            ],
            vec![
                "relay of a zone".into(),
                deal.zone_relays.value.to_string(),
                format!("{relays} in each zone"),
                format!("{} balancers", show(day.zone_children)),
                "its balancers go to the other of the zone; with both lost, to the region's".into(),
            ],
        ],
    );
    text.push('\n');
    let zones = plan.fleet.zones_by_region.value.iter().zip(&plan.fleet.region_shares.value).enumerate();
    text += &table(
        &["region", "zones", "upstreams", "upstreams a zone", "control machines"],
        zones.map(|(region, (&zones, share))| {
            let upstreams = plan.fleet.upstreams.value as f64 * share;
            let origins = if region == 0 { deal.origins.value } else { 0 };
            let standbys = if region == 1 { deal.standbys.value } else { 0 };
            vec![
                (region + 1).to_string(),
                zones.to_string(),
                show(upstreams),
                show(upstreams / zones as f64),
                (origins + standbys + region_relays + zones * relays).to_string(),
            ]
        }),
    );
    text
}

/// The worst figure of a requirement.
struct Worst {
    requirement: Requirement,
    carried: bool,
    ratio: Option<f64>,
    need: Need,
    figure: Figure,
    occasion: &'static str,
}

/// Requirements by what is missing first: those that nothing carries today, then by the largest ratio of need to budget.
fn ranked(plan: &Plan, measured: &Measured, tree: &Path) -> Vec<Worst> {
    let mut worst: BTreeMap<Requirement, Worst> = BTreeMap::new();
    for occasion in Occasion::all(plan) {
        for need in needs(plan, &occasion, tree) {
            let carried = need.mechanism.carried(tree).is_some();
            let figure = need.figure(measured);
            let (requirement, ratio) = (need.requirement, figure.ratio);
            let rank = |carried: bool, ratio: Option<f64>| (!carried, ratio.unwrap_or(-1.0));
            let known = worst.get(&requirement).map(|known| rank(known.carried, known.ratio));
            if known.is_none_or(|known| rank(carried, ratio) > known) {
                let occasion = occasion.name;
                worst.insert(requirement, Worst { requirement, carried, ratio, need, figure, occasion });
            }
        }
    }
    let mut ranked: Vec<Worst> = worst.into_values().collect();
    let key = |worst: &Worst| (worst.carried, -worst.ratio.unwrap_or(-1.0));
    ranked.sort_by(|a, b| key(a).partial_cmp(&key(b)).unwrap_or(std::cmp::Ordering::Equal));
    ranked
}

/// The table of what is missing first.
#[must_use]
pub fn ranking(plan: &Plan, measured: &Measured, tree: &Path) -> String {
    let rows = ranked(plan, measured, tree).into_iter().enumerate().map(|(rank, worst)| {
        vec![
            (rank + 1).to_string(),
            worst.requirement.text().to_owned(),
            format!("{}, {}", worst.need.role, worst.need.cost.text()),
            worst.occasion.to_owned(),
            figure_text(&worst.figure, worst.need.unit),
            worst.need.budget.map_or("–".to_owned(), show),
            worst.ratio.map_or("–".to_owned(), show),
            worst.need.mechanism.carried(tree).unwrap_or("none today").to_owned(),
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

/// Rows that need most of their budget or more, each on its worst occasion, the largest ratio first.
fn tight_block(plan: &Plan, measured: &Measured, tree: &Path) -> String {
    let mut worst: BTreeMap<(&str, Cost), (f64, Need, Figure, &str)> = BTreeMap::new();
    for occasion in Occasion::all(plan) {
        for need in needs(plan, &occasion, tree) {
            let figure = need.figure(measured);
            let key = (need.role, need.cost);
            let Some(ratio) = figure.ratio.filter(|&ratio| ratio >= TIGHT) else { continue };
            if worst.get(&key).is_none_or(|known| known.0 < ratio) {
                worst.insert(key, (ratio, need, figure, occasion.name));
            }
        }
    }
    let mut rows: Vec<_> = worst.into_values().collect();
    rows.sort_by(|a, b| b.0.total_cmp(&a.0));
    let rows = rows.into_iter().map(|(ratio, need, figure, occasion)| {
        vec![
            need.role.to_owned(),
            need.cost.text().to_owned(),
            occasion.to_owned(),
            figure_text(&figure, need.unit),
            need.budget.map_or("–".to_owned(), show),
            show(ratio),
            if ratio > 1.0 { "not met" } else { "met" }.to_owned(),
            basis_text(&figure.basis),
        ]
    });
    table(&["role", "cost", "its worst occasion", "need", "budget", "ratio", "", "basis"], rows)
}

/// How many figures, of all rows on all occasions, have which basis.
fn bases_block(plan: &Plan, measured: &Measured, tree: &Path) -> String {
    let mut counts = [0; 5];
    let mut furthest: f64 = 1.0;
    for occasion in Occasion::all(plan) {
        for need in needs(plan, &occasion, tree) {
            counts[match need.figure(measured).basis {
                Basis::Played(_) => 0,
                Basis::Measured => 1,
                Basis::Extrapolated(past) => {
                    furthest = furthest.max(past);
                    2
                }
                Basis::Reckoned(_) => 3,
                Basis::NotMeasured(_) => 4,
            }] += 1;
        }
    }
    let [played, within, past, reckoned, missing] = counts;
    format!(
        "Of {} figures, over all rows and occasions, {played} were played as such, {within} are measured, {past} \
         extrapolated (the furthest {} times past what was played), {reckoned} reckoned and {missing} not measured.\n",
        counts.iter().sum::<u32>(),
        show(furthest)
    )
}

fn figure_text(figure: &Figure, unit: &str) -> String {
    figure.value.map_or("not measured".to_owned(), |value| format!("{} {unit}", show(value)))
}

fn basis_text(basis: &Basis) -> String {
    match basis {
        Basis::Reckoned(missing) if missing.is_empty() => "reckoned from the plan".to_owned(),
        Basis::Reckoned(missing) => format!("reckoned from the plan; not measured: {}", missing.join(", ")),
        Basis::Played(plays) => format!("played, the worst of {plays}"),
        Basis::Measured => "measured".to_owned(),
        Basis::Extrapolated(past) => format!("extrapolated, {} times the largest size played", show(*past)),
        Basis::NotMeasured(missing) => format!("not measured: {}", missing.join(", ")),
    }
}

/// The table that a need is read from, where it was played as such.
fn table_of<'a>(need: &Need, measured: &'a Measured) -> Option<&'a Results> {
    let played = need.played.filter(|_| matches!(need.figure(measured).basis, Basis::Played(_)))?;
    measured.results.get(played.results)
}

fn command_text(need: &Need, measured: &Measured) -> String {
    if let Some(table) = table_of(need, measured) {
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
    if let Some(table) = table_of(need, measured) {
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

/// The roles, in the order of their needs.
fn roles(needs: &[Need]) -> Vec<&'static str> {
    let mut roles: Vec<&'static str> = Vec::new();
    for need in needs {
        if !roles.contains(&need.role) {
            roles.push(need.role);
        }
    }
    roles
}

/// For each role a table: a row a cost.
fn day_block(plan: &Plan, measured: &Measured, tree: &Path) -> String {
    let all = needs(plan, &Occasion::all(plan).swap_remove(0), tree);
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
                need.budget.map_or("–".to_owned(), show),
                figure.ratio.map_or("–".to_owned(), show),
                need.mechanism.carried(tree).unwrap_or("none today").to_owned(),
                basis_text(&figure.basis),
                need.breaks().to_owned(),
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

/// For each role a table: a row an occasion, a column a cost.
fn peaks_block(plan: &Plan, measured: &Measured, tree: &Path) -> String {
    let occasions = Occasion::all(plan);
    let mut text = table(
        &["peak", "what it is"],
        occasions.iter().map(|occasion| vec![occasion.name.to_owned(), occasion.what.clone()]),
    );
    let by_occasion: Vec<Vec<Need>> = occasions.iter().map(|on| needs(plan, on, tree)).collect();
    let Some(first) = by_occasion.first() else { return text };
    for role in roles(first) {
        let of_role: Vec<(usize, &Need)> =
            first.iter().enumerate().filter(|(_, need)| need.role == role).collect();
        let _ = write!(text, "\n### {}, at each peak\n\n", heading(role));
        let head: Vec<String> = std::iter::once("occasion".to_owned())
            .chain(of_role.iter().map(|(_, need)| format!("{}, {}", need.cost.text(), need.unit)))
            .collect();
        let head: Vec<&str> = head.iter().map(String::as_str).collect();
        let rows = occasions.iter().zip(&by_occasion).map(|(occasion, needs)| {
            let cells =
                of_role.iter().filter_map(|&(at, _)| needs.get(at)).map(|need| short(&need.figure(measured)));
            std::iter::once(occasion.name.to_owned()).chain(cells).collect()
        });
        text += &table(&head, rows);
    }
    text
}

/// A figure, its ratio in parentheses, and its basis as one letter.
fn short(figure: &Figure) -> String {
    let Some(value) = figure.value else { return "not measured".to_owned() };
    let ratio = figure.ratio.map_or(String::new(), |ratio| format!(" ({})", show(ratio)));
    let basis = match &figure.basis {
        Basis::Reckoned(_) => "r".to_owned(),
        Basis::Played(_) => "p".to_owned(),
        Basis::Measured => "m".to_owned(),
        Basis::Extrapolated(past) => format!("e{}", show(*past)),
        Basis::NotMeasured(_) => String::new(),
    };
    format!("{}{ratio} {basis}", show(value))
}

fn slopes_block(plan: &Plan, measured: &Measured, tree: &Path) -> String {
    let fit = |slope: &Slope| {
        slope.fit.map_or(["no straight line".to_owned(), "–".to_owned()], |fit| {
            [format!("{} + {} x", show(fit.base), show(fit.each)), format!("{:.1}%", fit.residual * 100.0)]
        })
    };
    let rows = measured.slopes.values().map(|slope| {
        let sizes: Vec<String> = slope.points.iter().map(|point| show(point.x)).collect();
        let middles: Vec<String> = slope.points.iter().map(|point| show(point.y)).collect();
        let spreads: Vec<String> =
            slope.points.iter().map(|point| format!("{}–{}", show(point.low), show(point.high))).collect();
        let [line, residual] = fit(slope);
        vec![
            format!("[{}](capacity/{}.svg)", slope.name, slope.name),
            slope.what.clone(),
            format!("{} ({})", sizes.join(", "), slope.x_unit),
            format!("{} ({})", middles.join(", "), slope.y_unit),
            spreads.join(", "),
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
    let wanted: BTreeSet<&str> = Occasion::all(plan)
        .iter()
        .flat_map(|occasion| needs(plan, occasion, tree))
        .flat_map(|need| need.terms.into_iter().map(|term| term.slope))
        .collect();
    let missing: Vec<&str> = wanted.into_iter().filter(|name| !measured.slopes.contains_key(*name)).collect();
    if !missing.is_empty() {
        let _ = write!(text, "\nNot measured, and asked for by the rows above: {}.\n", missing.join(", "));
    }
    text
}

fn results_block(measured: &Measured) -> String {
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

/// Prints what `scale plan` tells.
pub fn print_plan(plan: &Plan) {
    for told in plan.told() {
        let from = if told.from == Source::Given { "given" } else { "assumed" };
        println!("{:<36} {:<60} {from}; {}", told.place, told.value, told.unit);
    }
    println!();
    for [what, figure, how] in derived(plan) {
        println!("{what:<52} {figure:<24} {how}");
    }
    println!();
    println!("{}", deal_block(plan));
    for need in needs(plan, &Occasion::all(plan).swap_remove(0), Path::new(".")) {
        if need.terms.is_empty() && need.cost != Cost::Repeats {
            println!(
                "{}, {}: {} {} ({})",
                need.role,
                need.cost.text(),
                show(need.plain),
                need.unit,
                need.formula
            );
        }
    }
}
