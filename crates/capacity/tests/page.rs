//! Tests of the capacity page: its blocks and plots match the plan and the measurements, and a figure without a
//! measurement is reported as not measured.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

use capacity::arithmetic::{
    Basis, Cost, CostAt, LoadScenario, Measured, Need, ScenarioRuns, SlopeRead, Term, needs,
};
use capacity::page::{self, Arguments, blocks, fill_blocks, format_number, ranking};
use capacity::plan::Plan;
use capacity::plots;
use capacity::slope::{Fit, Point, Results, Slope};

/// The root of the checkout.
fn tree() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn plan() -> Plan {
    Plan::parse(include_str!("../plan.toml")).unwrap()
}

/// A slope with the cost `of(x)` at each size.
fn slope(name: &str, sizes: &[f64], of: impl Fn(f64) -> f64) -> Slope {
    let points: Vec<Point> =
        sizes.iter().map(|&x| Point { x, y: of(x), low: of(x) * 0.9, high: of(x) * 1.1 }).collect();
    Slope {
        name: name.into(),
        what: "A test.".into(),
        x_unit: "things".into(),
        y_unit: "us".into(),
        command: format!("target/release/capacity {name}"),
        commit: "0".into(),
        plays: 3,
        fit: Fit::through(&points),
        points,
        note: String::new(),
    }
}

fn slopes(all: impl IntoIterator<Item = Slope>) -> Measured {
    let slopes = all.into_iter().map(|slope| (slope.name.clone(), slope)).collect();
    Measured { slopes, results: BTreeMap::new() }
}

/// A temporary folder of one test, which is removed on drop.
struct TempDir(PathBuf);

impl TempDir {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("fennelhatch-page-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(path.join("slopes")).unwrap();
        Self(path)
    }

    fn arguments(&self, check: bool) -> Arguments {
        Arguments { check, out: self.0.clone(), from: self.0.clone(), tree: self.0.clone() }
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A page that has the markers of all blocks, with nothing between them.
fn empty_page(plan: &Plan) -> String {
    let blocks = blocks(plan, &Measured::default(), Path::new("."));
    let parts =
        blocks.keys().map(|name| format!("by hand, {name}\n<!-- generated: {name} -->\n<!-- end -->\n"));
    parts.collect::<String>() + "the end\n"
}

/// The ordinary day, which is the first load scenario.
fn day(plan: &Plan) -> LoadScenario {
    LoadScenario::all(plan).swap_remove(0)
}

fn need(plan: &Plan, on: &LoadScenario, role: &str, cost: Cost) -> Need {
    let all = needs(plan, on, &tree());
    all.into_iter().find(|need| need.role == role && need.cost == cost).unwrap()
}

#[test]
fn page_matches_plan_and_measurements() {
    let arguments = Arguments {
        check: true,
        out: tree().join("docs"),
        from: tree().join("crates/capacity"),
        tree: tree(),
    };
    page::run(&arguments, &plan()).unwrap();
}

#[test]
fn check_names_the_first_block_that_differs() {
    let (folder, plan) = (TempDir::new("differs"), plan());
    let path = folder.0.join("CAPACITY.md");
    fs::write(&path, empty_page(&plan)).unwrap();
    slope("latency.added_p99_us_by_rate", &[50.0, 5000.0], |x| x).write(&folder.0.join("slopes")).unwrap();
    let error = |place: &str| {
        let error = page::run(&folder.arguments(true), &plan).unwrap_err().to_string();
        assert!(error.contains(place), "{place}: {error}");
    };
    error("CAPACITY.md, block bases");
    page::run(&folder.arguments(false), &plan).unwrap();
    page::run(&folder.arguments(true), &plan).unwrap();
    let generated = fs::read_to_string(&path).unwrap();
    assert!(generated.contains("by hand, plan\n") && generated.ends_with("the end\n"));

    let edited = generated.replace("`fleet.upstreams` | 1900", "`fleet.upstreams` | 1901");
    fs::write(&path, edited.replace("1,680,000", "1,680,001")).unwrap();
    error("CAPACITY.md, block derived");
    fs::write(&path, edited).unwrap();
    error("CAPACITY.md, block plan");
    fs::write(&path, &generated).unwrap();
    let plot = folder.0.join("capacity/latency.added_p99_us_by_rate.svg");
    let svg = fs::read_to_string(&plot).unwrap();
    fs::write(&plot, svg.replacen("width", "height", 1)).unwrap();
    error("latency.added_p99_us_by_rate.svg");
    fs::write(&plot, svg).unwrap();
    fs::write(folder.0.join("capacity/old.svg"), "").unwrap();
    error("old.svg");
    page::run(&folder.arguments(false), &plan).unwrap();
    page::run(&folder.arguments(true), &plan).unwrap();
    assert_eq!(fs::read_to_string(&path).unwrap(), generated);
}

#[test]
fn check_fails_after_a_measurement_changed() {
    let (folder, plan) = (TempDir::new("measured"), plan());
    fs::write(folder.0.join("CAPACITY.md"), empty_page(&plan)).unwrap();
    let measured = |each: f64| {
        slope("control.change_sent_last_ms_by_watchers", &[100.0, 300.0, 1000.0, 1900.0], |x| each * x)
            .write(&folder.0.join("slopes"))
            .unwrap();
    };
    measured(1.0);
    page::run(&folder.arguments(false), &plan).unwrap();
    measured(1.1);
    page::run(&folder.arguments(true), &plan).unwrap_err();
}

#[test]
fn invalid_markers_are_named_in_the_error() {
    let blocks = BTreeMap::from([("one", "text".to_owned())]);
    for (page, expected) in [
        ("nothing", "block one: missing marker in the page"),
        ("<!-- generated: two -->\n<!-- end -->", "marker for unknown block two"),
        ("<!-- generated: one -->\n", "block one: missing end marker `<!-- end -->`"),
        ("<!-- generated: one", "unterminated marker: expected ` -->`"),
        (
            "<!-- generated: one --><!-- end --><!-- generated: one --><!-- end -->",
            "block one: duplicate marker",
        ),
    ] {
        let error = fill_blocks(page, &blocks).unwrap_err();
        assert!(error.starts_with(expected), "{page}: {error}");
    }
    let page = "a\n<!-- generated: one -->old<!-- end -->\nb";
    assert_eq!(fill_blocks(page, &blocks).unwrap(), "a\n<!-- generated: one -->\ntext\n<!-- end -->\nb");
}

#[test]
fn need_without_measurement_has_no_figure() {
    let plan = plan();
    let need = need(&plan, &day(&plan), "operator who publishes", Cost::Time);
    let figure = need.figure(&Measured::default());
    assert_eq!((figure.value, figure.ratio), (None, None));
    assert_eq!(figure.basis, Basis::NotMeasured(vec!["control.change_sent_last_ms_by_watchers".to_owned()]));
}

#[test]
fn extrapolated_figure_reports_its_distance_from_the_largest_size() {
    let plan = plan();
    let need = need(&plan, &day(&plan), "operator who publishes", Cost::Time);
    let of = |sizes: &[f64]| {
        need.figure(&slopes([slope("control.change_sent_last_ms_by_watchers", sizes, |x| 10.0 + x)]))
    };
    let within = of(&[100.0, 300.0, 1000.0, 1900.0]);
    assert!((within.value.unwrap() - 1.91).abs() < 1e-9 && within.basis == Basis::Measured, "{within:?}");
    let past = of(&[10.0, 30.0, 100.0, 190.0]);
    assert_eq!(past.basis, Basis::Extrapolated(10.0));
    assert!((past.value.unwrap() - 1.91).abs() < 1e-6 && (past.ratio.unwrap() - 1.91 / 13.0).abs() < 1e-6);
}

#[test]
fn cost_between_two_sizes_is_interpolated_from_the_points() {
    let nonlinear = slopes([slope("x", &[10.0, 20.0, 200.0], |x| if x > 15.0 { 100.0 } else { 1.0 })]);
    assert_eq!(nonlinear.at("x", 15.0), Some(CostAt { cost: 50.5, size_ratio: 1.0 }));
    assert_eq!(nonlinear.at("x", 200.0), Some(CostAt { cost: 100.0, size_ratio: 1.0 }));
    assert_eq!(nonlinear.at("y", 200.0), None);
}

#[test]
fn slope_is_read_at_a_size_beyond_the_smallest_or_per_unit() {
    let plan = plan();
    let measured = slopes([slope("x", &[10.0, 100.0, 1000.0], |x| 50.0 + 2.0 * x)]);
    let mut need = need(&plan, &day(&plan), "operator who publishes", Cost::Processor);
    need.from_plan = 1.0;
    let mut read_value = |read, factor| {
        need.terms = vec![Term { slope: "x", read, factor }];
        need.figure(&measured).value.unwrap()
    };
    for (read, factor, value) in [
        (SlopeRead::At(100.0), 1.0, 251.0),
        (SlopeRead::At(2000.0), 1.0, 4051.0),
        (SlopeRead::AboveSmallest(100.0), 1.0, 181.0),
        (SlopeRead::AboveSmallest(1.0), 1.0, 1.0),
        (SlopeRead::Marginal, 100.0, 201.0),
    ] {
        let got = read_value(read, factor);
        assert!((got - value).abs() < 1e-6, "{read:?}: {got}");
    }
}

#[test]
fn rate_that_was_not_measured_is_an_extrapolation() {
    let plan = plan();
    let measured = slopes([slope("process.request_us_by_upstreams", &[6.0, 1900.0], |_| 100.0)]);
    let need = need(&plan, &day(&plan), "balancer, data path (rate at the front)", Cost::Processor);
    let figure = need.figure(&measured);
    assert_eq!(figure.basis, Basis::Extrapolated(plan.traffic.busiest_over_mean.value));
    assert!((figure.value.unwrap() - 0.442).abs() < 0.001, "{figure:?}");
}

#[test]
fn slope_without_fit_is_not_extrapolated() {
    let plan = plan();
    let mut nonlinear = slope("latency.added_p99_us_by_rate", &[50.0, 900.0], |x| x);
    nonlinear.fit = None;
    let need = need(&plan, &day(&plan), "balancer, data path (rate at the front)", Cost::Time);
    let figure = need.figure(&slopes([nonlinear]));
    let expected = "latency.added_p99_us_by_rate (played up to 900, and no straight line fits it)";
    assert_eq!((figure.value, figure.basis), (None, Basis::NotMeasured(vec![expected.to_owned()])));
}

#[test]
fn worst_scenario_run_takes_precedence_over_slope() {
    let plan = plan();
    let cells = |row: [&str; 3]| row.map(str::to_owned).to_vec();
    let table = Results {
        name: "sockets".into(),
        what: "A test".into(),
        command: "target/release/capacity sockets".into(),
        commit: "0".into(),
        columns: cells(["scenario", "seed", "last, ms"]),
        rows: vec![
            cells(["relay", "1", "700.5"]),
            cells(["relay", "2", "900.5"]),
            cells(["zone", "1", "9000"]),
        ],
        note: String::new(),
    };
    let mut measured = slopes([slope("control.change_sent_last_ms_by_watchers", &[100.0, 1900.0], |x| x)]);
    measured.results.insert(table.name.clone(), table);
    let all = LoadScenario::all(&plan);
    let figure = |name: &str| {
        let on = all.iter().find(|on| on.name == name).unwrap();
        need(&plan, on, "operator who publishes", Cost::Time).figure(&measured)
    };
    let lost = figure("one control machine lost");
    assert_eq!((lost.value, lost.basis), (Some(0.9005), Basis::ScenarioRuns(2)));
    assert_eq!(figure("a zone of control machines lost").value, Some(9.0));
    assert_eq!(figure("ordinary day").basis, Basis::Measured);
    let unknown = ScenarioRuns { results: "sockets", row: "relay", column: "first, ms", factor: 1.0 };
    let mut without = need(&plan, &all[0], "operator who publishes", Cost::Time);
    without.scenario_runs = Some(unknown);
    assert_eq!(without.figure(&measured).basis, Basis::Measured);
}

#[test]
fn every_role_has_a_row_for_each_cost_in_every_load_scenario() {
    let plan = plan();
    let load_scenarios = LoadScenario::all(&plan);
    assert_eq!(load_scenarios.len(), 10);
    let first = needs(&plan, &load_scenarios[0], &tree());
    for role in [
        "balancer, data path (rate at the front)",
        "balancer, data path (rate over all hops)",
        "balancer, its list client",
        "balancer, its configuration",
        "balancer, all its control",
        "control: origin",
        "control: standby of the origin",
        "control: relay of a region",
        "control: relay of a zone",
        "control: lists, on the zone relays' machines",
        "registrant",
        "front (rate at the front)",
        "front (rate over all hops)",
        "operator who publishes",
    ] {
        for cost in [Cost::State, Cost::Messages, Cost::Processor, Cost::Memory] {
            let matching = first.iter().filter(|need| need.role == role && need.cost == cost);
            assert_eq!(matching.count(), 1, "{role}, {cost:?}");
        }
    }
    let kinds = |needs: &[Need]| needs.iter().map(|need| (need.role, need.cost)).collect::<Vec<_>>();
    for load_scenario in &load_scenarios {
        assert_eq!(kinds(&needs(&plan, load_scenario, &tree())), kinds(&first), "{}", load_scenario.name);
    }
}

#[test]
fn full_list_and_documents_exceed_the_byte_budget_of_a_reconnect() {
    let plan = plan();
    let all = LoadScenario::all(&plan);
    let on = all.iter().find(|on| on.name == "all balancers reconnecting").unwrap();
    let figure = need(&plan, on, "balancer, all its control", Cost::Messages).figure(&Measured::default());
    let bytes = (285_000.0 + 12_288.0) / 13.0;
    assert!((figure.value.unwrap() - bytes).abs() < 20.0 && figure.ratio.unwrap() > 1.0, "{figure:?}");
    assert!(matches!(figure.basis, Basis::Calculated(_)), "{figure:?}");
}

#[test]
fn ranking_lists_unimplemented_requirements_first_then_by_ratio() {
    let (plan, tree) = (plan(), TempDir::new("ranking"));
    let rows = || -> Vec<String> {
        let table = ranking(&plan, &Measured::default(), &tree.0);
        table.lines().skip(2).map(str::to_owned).collect()
    };
    let add_source = |file: &str, text: &str| {
        let path = tree.0.join(file);
        fs::create_dir_all(path.parent().unwrap()).unwrap();
        fs::write(path, text).unwrap();
    };
    add_source("crates/policy/src/balancer.rs", "pub struct Balancer;");
    add_source("crates/proxy/src/discovery/watch.rs", "pub async fn watch(");
    let today = rows();
    assert!(today[0].contains("a change of configuration") && today[0].contains("none today"), "{today:#?}");
    assert!(today[0].contains("138,904 restarts"), "{today:#?}");
    assert!(today[1..].iter().all(|row| !row.contains("none today")), "{today:#?}");
    assert!(today[1].contains("repeats stay bounded"), "{today:#?}");

    add_source("crates/config-distribution/src/core/origin.rs", "pub struct Origin");
    add_source("crates/config-distribution/src/host/relay.rs", "pub struct RelayHost");
    add_source("crates/config-distribution/src/command.rs", "Publish {");
    assert_eq!(rows()[0], today[0], "no balancer applies configuration changes yet");
    add_source("crates/proxy/src/reconfiguration.rs", "pub fn follow(");
    let then = rows();
    assert!(then.iter().all(|row| !row.contains("none today") && !row.contains("restarts")), "{then:#?}");
    assert!(then[0].contains("repeats stay bounded"), "{then:#?}");
}

#[test]
fn figures_are_rounded_by_magnitude() {
    for (value, text) in [
        (0.0, "0"),
        (0.023, "0.023"),
        (0.650_4, "0.65"),
        (1.0, "1"),
        (1.996, "2"),
        (13.04, "13"),
        (73.68, "73.7"),
        (884.2, "884"),
        (1_680_000.0, "1,680,000"),
        (999.96, "1,000"),
        (-1234.0, "-1,234"),
        (0.000_012_3, "1.2e-5"),
    ] {
        assert_eq!(format_number(value), text);
    }
}

#[test]
fn plot_is_deterministic_and_shows_points_and_fit() {
    let by_powers = slope("a.b_by_c", &[6.0, 60.0, 600.0, 1900.0], |x| 3.0 + x);
    let svg = plots::svg(&by_powers).unwrap();
    assert_eq!(svg, plots::svg(&by_powers).unwrap());
    assert!(svg.contains("a.b_by_c") && svg.contains("<polyline"));
    assert_eq!(svg.matches("<circle").count(), 4);
    let from_zero = slope("a.b_by_d", &[0.0, 1.0, 2.0, 3.0], |x| x);
    assert_eq!(plots::svg(&from_zero).unwrap().matches("<circle").count(), 4);
    let one = slope("a.b_by_e", &[1.0], |x| x);
    assert!(plots::svg(&one).unwrap().contains("<circle"));
    let error = plots::svg(&slope("a.b_by_f", &[], |x| x)).unwrap_err().to_string();
    assert!(error.contains("plot of a.b_by_f"), "{error}");
}

#[test]
fn slope_file_with_a_different_name_is_rejected() {
    let folder = TempDir::new("name");
    let slopes = folder.0.join("slopes");
    slope("a.b_by_c", &[1.0, 2.0], |x| x).write(&slopes).unwrap();
    fs::rename(slopes.join("a.b_by_c.json"), slopes.join("a.b_by_d.json")).unwrap();
    let error = Measured::read(&folder.0).unwrap_err().to_string();
    assert!(error.contains("a.b_by_d.json: it holds a.b_by_c"), "{error}");
}
