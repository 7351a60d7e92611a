//! Tests of the plan: all its faults are reported together, each with its place, and the derived figures depend on the
//! figures in their formulas and on no others.

use std::path::Path;

use capacity::CapacityError;
use capacity::page::derived_figures;
use capacity::plan::{Plan, Reading, Source};

const PLAN: &str = include_str!("../plan.toml");

fn plan() -> Plan {
    Plan::parse(PLAN).unwrap()
}

/// The text of the plan with the value of one figure replaced.
fn replace_figure(text: &str, figure: &str, value: &str) -> String {
    let key = format!("\n{figure} = {{ value = ");
    let from = text.find(&key).unwrap_or_else(|| panic!("the plan has no figure {figure}")) + key.len();
    let until = from + text[from..].find(", from = ").unwrap();
    format!("{}{value}{}", &text[..from], &text[until..])
}

fn faults(text: &str) -> Vec<String> {
    match Plan::parse(text) {
        Err(CapacityError::Plan(faults)) => faults.iter().map(ToString::to_string).collect(),
        other => panic!("{other:?}"),
    }
}

#[test]
fn both_readings_of_the_call_rate_are_supported() {
    let plan = plan();
    assert_eq!(plan.mean_rate(Reading::Hops).round(), 74.0);
    assert_eq!(plan.mean_rate(Reading::Front).round(), 884.0);
    assert!(plan.busiest_rate(Reading::Hops) > 3.0 * plan.mean_rate(Reading::Hops));
}

#[test]
fn given_figures_are_marked_as_given() {
    let given: Vec<(String, String)> = plan()
        .printed()
        .into_iter()
        .filter(|printed| printed.from == Source::Given)
        .map(|printed| (printed.place, printed.value))
        .collect();
    for (place, value) in [
        ("fleet.upstreams", "1900"),
        ("fleet.services", "310"),
        ("fleet.regions", "3"),
        ("fleet.zones", "7"),
        ("graph.depth", "12"),
        ("traffic.calls_per_s", "140000"),
        ("traffic.added_ms", "0.65"),
        ("traffic.added_quantile", "0.99"),
        ("configuration.changes_per_day", "1300"),
        ("configuration.in_force_s", "13"),
        ("budget.core_share", "0.023"),
        ("budget.memory_mb", "256"),
        ("budget.bytes_per_s", "22000"),
        ("budget.control_machines", "19"),
        ("failures.machines_per_day", "7"),
        ("failures.replaced_per_day", "420"),
        ("failures.region_cut_s", "300"),
    ] {
        assert!(given.contains(&(place.to_owned(), value.to_owned())), "{place} = {value}");
    }
}

#[test]
fn assumptions_are_marked_and_each_figure_has_a_unit() {
    let printed = plan().printed();
    for place in [
        "fleet.size_skew",
        "fleet.region_shares",
        "fleet.zones_by_region",
        "graph.services_by_depth",
        "graph.destinations_mean",
        "list.entry_bytes",
        "configuration.bunch",
        "configuration.service_bytes",
    ] {
        let printed = printed.iter().find(|printed| printed.place == place).unwrap();
        assert_eq!(printed.from, Source::Assumed, "{place}");
    }
    assert!(printed.iter().all(|printed| !printed.unit.is_empty()));
}

#[test]
fn service_sizes_are_skewed_and_sum_to_the_upstreams() {
    let sizes = plan().service_sizes();
    assert_eq!((sizes.len(), sizes.iter().sum::<usize>()), (310, 1900));
    assert!(sizes[0] > 20 * sizes[155] && sizes.iter().all(|&size| size >= 1), "{sizes:?}");
    for (upstreams, services, skew) in
        [(310, 310, "1.0"), (311, 310, "0.0"), (1900, 22, "2.5"), (99_991, 7001, "0.8")]
    {
        let text = replace_figure(PLAN, "upstreams", &upstreams.to_string());
        let text = replace_figure(&text, "services", &services.to_string());
        let plan = Plan::parse(&replace_figure(&text, "size_skew", skew)).unwrap();
        let sizes = plan.service_sizes();
        assert_eq!((sizes.len(), sizes.iter().sum::<usize>()), (services, upstreams));
        assert!(sizes.iter().all(|&size| size >= 1), "{services} services");
    }
}

#[test]
fn all_faults_are_reported_together_with_their_places() {
    let text = [
        ("upstreams", "100"),
        ("zones_by_region", "[3, 2, 3]"),
        ("region_shares", "[0.46, 0.31, 0.33]"),
        ("added_quantile", "1.0"),
        ("zone_relays", "13"),
    ]
    .iter()
    .fold(PLAN.to_owned(), |text, (figure, value)| replace_figure(&text, figure, value));
    let faults = faults(&text);
    for place in [
        "fleet.upstreams:",
        "fleet.zones_by_region:",
        "fleet.region_shares:",
        "traffic.added_quantile:",
        "deal:",
        "deal.zone_relays:",
    ] {
        assert!(faults.iter().any(|fault| fault.starts_with(place)), "{place} in {faults:?}");
    }
}

#[test]
fn contradictory_figure_is_named() {
    for (figure, value, place) in [
        ("services", "0", "fleet.services"),
        ("upstreams", "100000000", "fleet.upstreams"),
        ("regions", "4", "fleet.zones_by_region"),
        ("zones", "8", "fleet.zones_by_region"),
        ("zones_by_region", "[7, 0, 0]", "fleet.zones_by_region"),
        ("region_shares", "[1.5, -0.5, 0.0]", "fleet.region_shares"),
        ("region_shares", "[nan, 0.5, 0.5]", "fleet.region_shares"),
        ("size_skew", "4.0", "fleet.size_skew"),
        ("machines_per_rack", "2000", "fleet.machines_per_rack"),
        ("depth", "11", "graph.services_by_depth"),
        ("destinations_mean", "21.0", "graph.destinations_mean"),
        ("destinations_most", "310", "graph.destinations_most"),
        ("hops_per_call", "13.0", "graph.hops_per_call"),
        ("aim_s", "2.5", "traffic.aim_s"),
        ("busiest_over_mean", "1.5", "traffic.busiest_over_mean"),
        ("headroom", "0.9", "traffic.headroom"),
        ("peak_per_minute", "0.5", "configuration.peak_per_minute"),
        ("calls_per_s", "-1.0", "traffic.calls_per_s"),
        ("calls_per_s", "inf", "traffic.calls_per_s"),
        ("in_force_s", "0.0", "configuration.in_force_s"),
        ("scope_shares", "[0.5, 0.5]", "configuration.scope_shares"),
        ("control_machines", "20", "deal"),
        ("region_relays", "4", "deal.region_relays"),
        ("origins", "0", "deal.origins"),
    ] {
        let faults = faults(&replace_figure(PLAN, figure, value));
        let named = faults.iter().any(|fault| fault.starts_with(&format!("{place}:")));
        assert!(named, "{figure} {value}: {faults:?}");
    }
}

#[test]
fn unknown_or_missing_key_is_rejected_with_its_line() {
    for (from, to, message) in [
        ("[fleet]\n", "[fleet]\ncolour = { value = 1, from = \"given\", unit = \"\" }\n", "colour"),
        ("[failures]\n", "[weather]\n[failures]\n", "weather"),
        ("unit = \"services\" }", "unit = \"services\", note = \"\" }", "note"),
        ("from = \"given\", unit = \"services\"", "from = \"guessed\", unit = \"services\"", "guessed"),
        ("services = { value = 310", "services = { value = -310", "services"),
        ("beat_s = {", "# beat_s = {", "beat_s"),
    ] {
        let text = PLAN.replacen(from, to, 1);
        assert_ne!(text, PLAN, "{from}");
        let error = Plan::parse(&text).unwrap_err().to_string();
        assert!(error.contains(message) && error.contains("line "), "{message}: {error}");
    }
}

#[test]
fn unreadable_plan_names_its_file() {
    let error = Plan::read(Path::new("no/such/plan.toml")).unwrap_err().to_string();
    assert!(error.starts_with("no/such/plan.toml: "), "{error}");
}

#[test]
fn changed_figure_changes_only_the_figures_derived_from_it() {
    let before = derived_figures(&plan());
    for (figure, value, rows) in [
        ("calls_per_s", "70000.0", 10),
        ("depth", "12", 0),
        ("busiest_over_mean", "6.0", 2),
        ("hops_per_call", "5.0", 2),
        ("entry_bytes", "300", 2),
        ("changes_per_day", "2600.0", 3),
        ("bunch", "2.0", 1),
        ("fleet_bytes", "8192", 2),
        ("scope_shares", "[0.1, 0.0, 0.9]", 2),
        ("bytes_per_s", "11000.0", 1),
        ("attempts", "2", 1),
        ("destinations_mean", "5.0", 2),
        ("work_ms", "1.0", 1),
    ] {
        let after = derived_figures(&Plan::parse(&replace_figure(PLAN, figure, value)).unwrap());
        let changed: Vec<&str> = before
            .iter()
            .zip(&after)
            .filter(|(before, after)| before.value != after.value)
            .map(|(before, _)| before.name.as_str())
            .collect();
        assert_eq!(changed.len(), rows, "{figure}: {changed:?}");
    }
}

#[test]
fn cost_of_a_change_follows_from_scopes_and_sizes() {
    let plan = plan();
    let expected = 0.03 * 1900.0 + 0.07 * 1900.0 / 3.0 + 0.90 * 1900.0 / 310.0;
    assert!((plan.balancers_per_change() - expected).abs() < 1e-9);
    assert_eq!(plan.documents_bytes(), f64::from(4096 + 3 * 2048 + 310 * 6144));
    assert_eq!(plan.whole_list_bytes(), 285_000);
    assert!((plan.largest_zone_upstreams() - 1900.0 * 0.31 / 2.0).abs() < 1e-9);
}
