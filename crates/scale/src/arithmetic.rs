//! What each role needs at the size of the plan: from the plan's figures and the measured slopes, against its budget.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};

use crate::ScaleError;
use crate::plan::{Plan, Reading};
use crate::slope::Slope;

/// How often a balancer's decisions look around by themselves, a second (`SWEEP_S` of `src/decide.rs`).
const SWEEPS_PER_S: f64 = 5.0;
/// Bytes of an empty line of a watch as one chunk of HTTP/1.1.
const BEAT_BYTES: f64 = 6.0;

/// What a row counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cost {
    /// What has to be held.
    State,
    /// What goes over its connections.
    Messages,
    /// Processor time.
    Processor,
    /// Memory.
    Memory,
    /// Time until something holds, or that is added to a call.
    Time,
    /// Attempts that one call becomes.
    Repeats,
    /// Processes started anew.
    Restarts,
}

impl Cost {
    /// As the page says it.
    #[must_use]
    pub fn text(self) -> &'static str {
        match self {
            Self::State => "state",
            Self::Messages => "messages",
            Self::Processor => "processor time",
            Self::Memory => "memory",
            Self::Time => "time",
            Self::Repeats => "repeats",
            Self::Restarts => "restarts",
        }
    }
}

/// When: the ordinary day or a peak. Figures a second are over the window.
#[derive(Debug, Clone, PartialEq)]
pub struct Occasion {
    /// Its name.
    pub name: &'static str,
    /// What it is, with the plan's figures.
    pub what: String,
    /// Lines of the list that a balancer is told, a second.
    pub lines: f64,
    /// Whole lists that a balancer is told in the time that a change has.
    pub wholes: f64,
    /// Changes of configuration a second.
    pub changes: f64,
    /// How long changes come at this pace, in seconds.
    pub lasts_s: f64,
    /// Part of a change that concerns one balancer.
    pub own: f64,
    /// Bytes of a change for one balancer.
    pub own_bytes: f64,
    /// Bytes of documents that a balancer catches up with in the time that a change has.
    pub caught_up: f64,
    /// Calls of a balancer, in those of the ordinary day.
    pub rate: f64,
    /// For how long a call is held, in seconds.
    pub held_s: f64,
    /// Balancers behind one relay of a zone.
    pub zone_children: f64,
    /// Children of one relay of a region.
    pub region_children: f64,
    /// Children of the origin.
    pub origin_children: f64,
    /// Whether a tier is in trouble, so that calls are repeated.
    pub trouble: bool,
}

impl Occasion {
    /// The ordinary day and the peaks.
    #[must_use]
    pub fn all(plan: &Plan) -> Vec<Self> {
        let upstreams = plan.fleet.upstreams.value as f64;
        let (region, zone) = (plan.largest_region(), plan.largest_zone());
        let within = plan.configuration.in_force_s.value;
        let failures = &plan.failures;
        let list = &plan.list;
        let regions = plan.fleet.regions.value as f64;
        let relays = plan.deal.zone_relays.value as f64 / plan.fleet.zones.value as f64;
        let zones = plan.fleet.zones_by_region.value.iter().copied().max().unwrap_or(1) as f64;
        let (own, own_bytes) = plan.own_change();
        let day = Self {
            name: "ordinary day",
            what: format!(
                "{} failures, {} replacements and {} changes, evenly over the day",
                failures.machines_per_day.value,
                failures.replaced_per_day.value,
                plan.configuration.changes_per_day.value
            ),
            lines: (failures.replaced_per_day.value * list.lines_per_replacement.value
                + failures.machines_per_day.value * list.lines_per_failure.value)
                / 86400.0,
            wholes: 0.0,
            changes: plan.configuration.changes_per_day.value / 86400.0,
            lasts_s: 86400.0,
            own,
            own_bytes,
            caught_up: 0.0,
            rate: 1.0,
            held_s: plan.held_s(),
            zone_children: zone / relays,
            region_children: zones * relays,
            origin_children: regions + plan.deal.standbys.value as f64,
            trouble: false,
        };
        let deadline = plan.traffic.deadline_s.value;
        let back = Self { wholes: 1.0, caught_up: plan.own_documents_bytes(), ..day.clone() };
        let minute = plan.configuration.peak_per_minute.value / 60.0;
        let cut = failures.region_cut_s.value;
        vec![
            day.clone(),
            Self {
                name: "rolling replacement of everything",
                what: format!(
                    "all {upstreams} replaced one after another in {} s",
                    failures.replace_all_s.value
                ),
                lines: upstreams * list.lines_per_replacement.value / failures.replace_all_s.value,
                ..day.clone()
            },
            Self {
                name: "a rack",
                what: format!("{} upstreams gone at once", plan.fleet.machines_per_rack.value),
                lines: plan.fleet.machines_per_rack.value as f64 / within,
                rate: upstreams / (upstreams - plan.fleet.machines_per_rack.value as f64).max(1.0),
                held_s: deadline,
                trouble: true,
                ..day.clone()
            },
            Self {
                name: "a zone lost and back",
                what: format!(
                    "{zone:.0} upstreams gone at once; back, they ask for everything, and each entry is told once, listed or as a line"
                ),
                lines: zone / within,
                wholes: 1.0 - zone / upstreams,
                rate: upstreams / (upstreams - zone).max(1.0),
                held_s: deadline,
                trouble: true,
                ..back.clone()
            },
            Self {
                name: "a region cut off and back",
                what: format!(
                    "{region:.0} upstreams cut off for {cut} s; back, each asks for a whole list and for the documents that changed, at most all it uses"
                ),
                held_s: deadline,
                trouble: true,
                ..back.clone()
            },
            Self {
                name: "one control machine lost",
                what: "a relay of the largest zone; its readers go to the other, with a whole list each"
                    .to_owned(),
                zone_children: if relays > 1.0 { day.zone_children * relays / (relays - 1.0) } else { 0.0 },
                ..back.clone()
            },
            Self {
                name: "a zone of control machines lost",
                what:
                    "both relays of the largest zone; its readers go to the region's, with a whole list each"
                        .to_owned(),
                region_children: day.region_children - relays + zone,
                ..back.clone()
            },
            Self {
                name: "all balancers reconnecting",
                what: format!("all {upstreams} at once, each for a whole list and its documents"),
                ..back.clone()
            },
            Self {
                name: "60 changes in a minute",
                what: format!("{minute} a second, the worst for all: every one of the fleet's document"),
                changes: minute,
                lasts_s: 60.0,
                own: 1.0,
                own_bytes: plan.configuration.fleet_bytes.value as f64,
                ..day.clone()
            },
            Self {
                name: "the whole fleet from cold",
                what: format!(
                    "all {upstreams} processes start, are listed and ask for everything within {within} s; half of the entries are there by then, half come as lines"
                ),
                lines: upstreams / within / 2.0,
                wholes: 0.5,
                held_s: deadline,
                trouble: true,
                ..back
            },
        ]
    }
}

/// What carries a need: ours, known by what its file says, or the platform's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mechanism {
    /// A type or function of this repository.
    Ours {
        /// Crate and type.
        what: &'static str,
        /// Its file.
        file: &'static str,
        /// What stands in the file if it is there.
        sign: &'static str,
    },
    /// Not of this repository.
    Platform(&'static str),
}

const DECISIONS: Mechanism =
    Mechanism::Ours { what: "`peathatch` `Balancer`", file: "src/decide.rs", sign: "pub struct Balancer" };
const LIST_CLIENT: Mechanism = Mechanism::Ours {
    what: "`dahliahead` `discovery::watch`",
    file: "dahliahead/src/discovery.rs",
    sign: "pub async fn watch(",
};
const CONFIGURATION_CLIENT: Mechanism = Mechanism::Ours {
    what: "`dahliahead` `configuration`, `peathatch` `Event::Reconfigured`",
    file: "src/interface.rs",
    sign: "Reconfigured",
};
const ORIGIN: Mechanism = Mechanism::Ours {
    what: "`fennelhatch-distribution` `Origin`",
    file: "crates/distribution/src/origin.rs",
    sign: "pub struct Origin",
};
const RELAY: Mechanism = Mechanism::Ours {
    what: "`fennelhatch-distribution` `host::relay`",
    file: "crates/distribution/src/host/relay.rs",
    sign: "pub ",
};
const PUBLISHER: Mechanism = Mechanism::Ours {
    what: "`fennelhatch-distribution` `publish`",
    file: "crates/distribution/src/main.rs",
    sign: "Publish",
};
const LIST_SERVICE: Mechanism = Mechanism::Platform("the platform's discovery, none of ours");

impl Mechanism {
    /// Its name, where it is there; `None` where nothing carries the need today.
    #[must_use]
    pub fn carried(self, tree: &Path) -> Option<&'static str> {
        match self {
            Self::Platform(what) => Some(what),
            Self::Ours { what, file, sign } => {
                fs::read_to_string(tree.join(file)).is_ok_and(|text| text.contains(sign)).then_some(what)
            }
        }
    }
}

/// What is asked for, over the roles.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Requirement {
    /// A change of configuration comes to be in force.
    Configuration,
    /// Lists reach every balancer.
    Lists,
    /// Repeats stay bounded.
    Repeats,
    /// Time added to a call.
    Added,
    /// A process carries its calls.
    Calls,
    /// Control of one balancer stays in its budget.
    Control,
}

impl Requirement {
    /// As the page says it.
    #[must_use]
    pub fn text(self) -> &'static str {
        match self {
            Self::Configuration => {
                "a change of configuration is in force everywhere in time, without a restart"
            }
            Self::Lists => "lists reach every balancer, also all of them at once",
            Self::Repeats => "repeats stay bounded over all tiers",
            Self::Added => "the time added to a call",
            Self::Calls => "a process carries its calls",
            Self::Control => "control of a balancer stays within its budget",
        }
    }
}

/// A measured part of a need.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Term {
    /// The slope's name.
    pub slope: &'static str,
    /// The size at which it is read.
    pub at: f64,
    /// How often it counts, with the units changed.
    pub times: f64,
}

/// What a role needs of something.
#[derive(Debug, Clone, PartialEq)]
pub struct Need {
    /// Whose.
    pub role: &'static str,
    /// Of what.
    pub cost: Cost,
    /// How the figure is made.
    pub formula: &'static str,
    /// Of the figure.
    pub unit: &'static str,
    /// What follows from the plan alone.
    pub plain: f64,
    /// What has to be measured.
    pub terms: Vec<Term>,
    /// What arithmetic alone bounds it by, where a slope is missing.
    pub bound: Option<f64>,
    /// What it may be; `None` where nobody gave one.
    pub budget: Option<f64>,
    /// What carries it.
    pub mechanism: Mechanism,
    /// What it is part of.
    pub requirement: Requirement,
}

/// How a figure was had.
#[derive(Debug, Clone, PartialEq)]
pub enum Basis {
    /// From the plan by arithmetic.
    Reckoned,
    /// A bound by arithmetic, in place of slopes that are missing.
    Bound(Vec<&'static str>),
    /// Between measured sizes.
    Measured,
    /// By fits, this many times past the largest size played.
    Extrapolated(f64),
    /// These slopes are missing.
    NotMeasured(Vec<&'static str>),
}

/// A figure with its basis.
#[derive(Debug, Clone, PartialEq)]
pub struct Figure {
    /// The figure, unless it is not measured.
    pub value: Option<f64>,
    /// In parts of the budget.
    pub ratio: Option<f64>,
    /// How it was had.
    pub basis: Basis,
}

/// All slopes that have been measured.
#[derive(Debug, Default)]
pub struct Slopes(pub BTreeMap<String, Slope>);

impl Slopes {
    /// Reads those of a folder; none where it is missing.
    ///
    /// # Errors
    /// A file makes no sense, or its name is not the slope's.
    pub fn read(folder: &Path) -> Result<Self, ScaleError> {
        let mut slopes = BTreeMap::new();
        for path in json_files(folder)? {
            let name = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
            let slope = Slope::read(folder, &name)?;
            if slope.name != name {
                return Err(ScaleError::file(&path, format!("it holds the slope {}", slope.name)));
            }
            slopes.insert(name, slope);
        }
        Ok(Self(slopes))
    }

    /// The cost at a size, and how many times past the largest size played that lies (1 within): measured where the
    /// size lies between two that were played, by the fit otherwise. `None` where it is not measured or has no fit there.
    #[must_use]
    pub fn at(&self, name: &str, x: f64) -> Option<(f64, f64)> {
        let slope = self.0.get(name)?;
        let mut points = slope.points.clone();
        points.sort_by(|a, b| a.x.total_cmp(&b.x));
        if let Some(point) = points.iter().find(|point| point.x == x) {
            return Some((point.y, 1.0));
        }
        let between = points.windows(2).find(|pair| pair[0].x < x && x < pair[1].x);
        if let Some([a, b]) = between {
            return Some((a.y + (b.y - a.y) * (x - a.x) / (b.x - a.x), 1.0));
        }
        let largest = slope.largest();
        slope
            .fit
            .map(|fit| (fit.at(x).max(0.0), if x > largest && largest > 0.0 { x / largest } else { 1.0 }))
    }
}

/// The JSON files of a folder, in the order of their names; none where it is missing.
///
/// # Errors
/// The folder cannot be read.
pub fn json_files(folder: &Path) -> Result<Vec<PathBuf>, ScaleError> {
    if !folder.is_dir() {
        return Ok(Vec::new());
    }
    let entries = fs::read_dir(folder).map_err(|cause| ScaleError::file(folder, cause))?;
    let paths: BTreeSet<PathBuf> = entries
        .filter_map(Result::ok)
        .map(|entry| entry.path())
        .filter(|path| path.extension().is_some_and(|end| end == "json"))
        .collect();
    Ok(paths.into_iter().collect())
}

impl Need {
    /// The figure that the slopes give.
    #[must_use]
    pub fn figure(&self, slopes: &Slopes) -> Figure {
        let mut value = self.plain;
        let mut past: f64 = 1.0;
        let mut missing = Vec::new();
        for &Term { slope, at, times } in &self.terms {
            match slopes.at(slope, at) {
                Some((cost, times_past)) => {
                    value += cost * times;
                    past = past.max(times_past);
                }
                None => missing.push(slope),
            }
        }
        let (value, basis) = match (missing.is_empty(), self.bound) {
            (true, _) if self.terms.is_empty() => (Some(value), Basis::Reckoned),
            (true, _) if past > 1.0 => (Some(value), Basis::Extrapolated(past)),
            (true, _) => (Some(value), Basis::Measured),
            (false, Some(bound)) => (Some(bound), Basis::Bound(missing)),
            (false, None) => (None, Basis::NotMeasured(missing)),
        };
        let ratio = value.zip(self.budget).map(|(value, budget)| value / budget);
        Figure { value, ratio, basis }
    }
}

/// Makes the rows of one role.
struct Role<'a> {
    name: &'static str,
    mechanism: Mechanism,
    requirement: Requirement,
    rows: &'a mut Vec<Need>,
}

impl Role<'_> {
    fn row(
        &mut self,
        cost: Cost,
        formula: &'static str,
        unit: &'static str,
        plain: f64,
        terms: &[(&'static str, f64, f64)],
        budget: Option<f64>,
    ) -> &mut Need {
        let terms = terms.iter().map(|&(slope, at, times)| Term { slope, at, times }).collect();
        self.rows.push(Need {
            role: self.name,
            cost,
            formula,
            unit,
            plain,
            terms,
            bound: None,
            budget,
            mechanism: self.mechanism,
            requirement: self.requirement,
        });
        let last = self.rows.len() - 1;
        &mut self.rows[last]
    }
}

/// All needs on one occasion, always in the same order.
#[must_use]
pub fn needs(plan: &Plan, on: &Occasion, tree: &Path) -> Vec<Need> {
    let mut rows = Vec::new();
    let upstreams = plan.fleet.upstreams.value as f64;
    let tenants = plan.traffic.tenants.value as f64;
    for (reading, path, front) in [
        (Reading::Front, "balancer, data path (rate at the front)", "front (rate at the front)"),
        (Reading::Hops, "balancer, data path (rate over all hops)", "front (rate over all hops)"),
    ] {
        data_path(plan, on, &mut rows, path, plan.busiest_rate(reading), tenants, upstreams);
        data_path(plan, on, &mut rows, front, plan.front_per_s(reading) / plan.fronts(), tenants, upstreams);
    }
    balancer_control(plan, on, &mut rows);
    control_machines(plan, on, &mut rows);
    registrant(plan, &mut rows);
    operator(plan, on, tree, &mut rows);
    rows
}

fn data_path(
    plan: &Plan,
    on: &Occasion,
    rows: &mut Vec<Need>,
    name: &'static str,
    rate: f64,
    tenants: f64,
    upstreams: f64,
) {
    let rate = rate * on.rate;
    let held = rate * on.held_s;
    let memory = plan.budget.memory_mb.value;
    let mut role = Role { name, mechanism: DECISIONS, requirement: Requirement::Calls, rows };
    role.row(
        Cost::State,
        "upstreams listed + tenants + calls a second x time that one is held",
        "entries",
        upstreams + tenants + held,
        &[],
        None,
    );
    role.row(Cost::Messages, "calls a second", "calls/s", rate, &[], None);
    role.row(
        Cost::Processor,
        "calls/s x time of one at all upstreams + time at rest; budget: the one thread that it has",
        "cores",
        0.0,
        &[
            ("process.request_us_by_upstreams", upstreams, rate / 1e6),
            ("process.idle_core_by_upstreams", upstreams, 1.0),
        ],
        Some(1.0),
    );
    role.row(
        Cost::Memory,
        "process at all upstreams + tenants + calls held; budget: that of control, as none is given",
        "MB",
        0.0,
        &[
            ("process.memory_kb_by_upstreams", upstreams, 1e-3),
            ("decisions.bytes_by_tenants", tenants, 1e-6),
            ("decisions.bytes_by_in_flight", held, 1e-6),
        ],
        Some(memory),
    );
    role.requirement = Requirement::Added;
    let slope = match on.name {
        "60 changes in a minute" => "latency.added_p99_us_by_rate_configuration",
        "ordinary day" => "latency.added_p99_us_by_rate",
        _ => "latency.added_p99_us_by_rate_list",
    };
    role.row(
        Cost::Time,
        "added to a call, 99 in 100, at this rate",
        "ms",
        0.0,
        &[(slope, rate, 1e-3)],
        Some(plan.traffic.added_ms.value),
    );
    role.requirement = Requirement::Repeats;
    let depth = plan.graph.depth.value as f64;
    let headroom = Some(plan.traffic.headroom.value);
    let formula =
        "attempts at the deepest tier for one call at the front; bound: attempts to the power of depth";
    if on.trouble {
        role.row(
            Cost::Repeats,
            formula,
            "attempts",
            0.0,
            &[("depth.attempts_by_depth", depth, 1.0)],
            headroom,
        )
        .bound = Some(f64::from(plan.traffic.attempts.value).powf(depth));
    } else {
        role.row(Cost::Repeats, formula, "attempts", 1.0, &[], headroom);
    }
}

fn balancer_control(plan: &Plan, on: &Occasion, rows: &mut Vec<Need>) {
    let upstreams = plan.fleet.upstreams.value as f64;
    let within = plan.configuration.in_force_s.value;
    let beat = BEAT_BYTES / plan.list.beat_s.value;
    let (bytes, core, memory) = (
        Some(plan.budget.bytes_per_s.value),
        Some(plan.budget.core_share.value),
        Some(plan.budget.memory_mb.value),
    );
    let whole = plan.whole_list_bytes() as f64;
    let list_bytes = beat + on.lines * plan.list.entry_bytes.value as f64 + on.wholes * whole / within;
    let own_documents = plan.own_documents_bytes();
    let configuration_bytes = beat + on.changes * on.own_bytes + on.caught_up / within;
    let list_core = [
        ("control.list_client_us_by_upstreams", upstreams, on.wholes / within / 1e6),
        ("control.list_client_change_us_by_upstreams", upstreams, on.lines / 1e6),
        ("decisions.list_change_ns_by_upstreams", upstreams, (on.lines + on.wholes / within) / 1e9),
        ("decisions.timer_ns_by_upstreams", upstreams, SWEEPS_PER_S / 1e9),
    ];
    let configuration_core = [(
        "control.configuration_client_us_by_bytes",
        own_documents,
        (on.changes * on.own + on.caught_up / own_documents / within) / 1e6,
    )];
    let list_memory = [("process.memory_kb_by_upstreams", upstreams, 1e-3)];

    let mut role = Role {
        name: "balancer, its list client",
        mechanism: LIST_CLIENT,
        requirement: Requirement::Lists,
        rows: &mut *rows,
    };
    role.row(Cost::State, "upstreams x bytes of an entry", "bytes", whole, &[], None);
    role.row(
        Cost::Messages,
        "beats + lines/s x bytes of an entry + whole lists x their bytes / time that a change has",
        "bytes/s",
        list_bytes,
        &[],
        bytes,
    );
    role.row(
        Cost::Processor,
        "whole lists and lines/s taken in and decided on + sweeps/s, at all upstreams",
        "cores",
        0.0,
        &list_core,
        core,
    );
    role.row(Cost::Memory, "the whole process at all upstreams", "MB", 0.0, &list_memory, memory);

    let mut role = Role {
        name: "balancer, its configuration",
        mechanism: CONFIGURATION_CLIENT,
        requirement: Requirement::Configuration,
        rows: &mut *rows,
    };
    role.row(Cost::State, "three documents", "bytes", own_documents, &[], None);
    role.row(
        Cost::Messages,
        "beats + changes/s x bytes for this balancer + documents caught up with / time that a change has",
        "bytes/s",
        configuration_bytes,
        &[],
        bytes,
    );
    role.row(
        Cost::Processor,
        "changes/s for this balancer x time to take one in",
        "cores",
        0.0,
        &configuration_core,
        core,
    );
    role.row(
        Cost::Memory,
        "three documents as text, as settings and once more while they change",
        "MB",
        3.0 * own_documents / 1e6,
        &[],
        memory,
    );

    let mut role = Role {
        name: "balancer, all its control",
        mechanism: LIST_CLIENT,
        requirement: Requirement::Control,
        rows,
    };
    role.row(Cost::State, "list + documents", "bytes", whole + own_documents, &[], None);
    role.row(Cost::Messages, "list + configuration", "bytes/s", list_bytes + configuration_bytes, &[], bytes);
    let both: Vec<_> = list_core.into_iter().chain(configuration_core).collect();
    role.row(Cost::Processor, "list + configuration", "cores", 0.0, &both, core);
    role.row(Cost::Memory, "process + documents", "MB", 3.0 * own_documents / 1e6, &list_memory, memory);
}

fn control_machines(plan: &Plan, on: &Occasion, rows: &mut Vec<Need>) {
    let within = plan.configuration.in_force_s.value;
    let budget = &plan.budget;
    let (bytes, core, memory) = (
        Some(budget.machine_bytes_per_s.value),
        Some(budget.machine_cores.value),
        Some(budget.machine_memory_mb.value),
    );
    let documents = plan.documents_bytes();
    let whole = plan.whole_list_bytes() as f64;
    let beat = BEAT_BYTES / plan.list.beat_s.value;
    // A relay asks for all scopes, a balancer for its own.
    let to_relay = beat + on.changes * plan.change_bytes().max(on.own_bytes * on.own);
    let to_balancer = beat + on.changes * on.own_bytes + on.caught_up / within;
    let relays = plan.deal.zone_relays.value as f64 / plan.fleet.zones.value as f64;
    let zones = plan.fleet.zones_by_region.value.iter().copied().max().unwrap_or(1) as f64;
    let relay_children = on.region_children.min(relays * zones);
    let kinds = [
        ("control: origin", ORIGIN, on.origin_children, on.origin_children * to_relay),
        ("control: standby of the origin", RELAY, 0.0, to_relay),
        (
            "control: relay of a region",
            RELAY,
            on.region_children,
            relay_children * to_relay + (on.region_children - relay_children) * to_balancer,
        ),
        ("control: relay of a zone", RELAY, on.zone_children, on.zone_children * to_balancer),
    ];
    for (name, mechanism, children, out) in kinds {
        let mut role = Role { name, mechanism, requirement: Requirement::Configuration, rows: &mut *rows };
        role.row(Cost::State, "all documents", "bytes", documents, &[], None);
        role.row(Cost::Messages, "children x what each is told", "bytes/s", out, &[], bytes);
        role.row(
            Cost::Processor,
            "its children's watches, as measured with their changes",
            "cores",
            0.0,
            &[("control.configuration_server_core_by_watchers", children, 1.0)],
            core,
        );
        role.row(
            Cost::Memory,
            "its children's watches and all documents, as measured",
            "MB",
            documents / 1e6,
            &[("control.configuration_server_kb_by_watchers", children, 1e-3)],
            memory,
        );
    }
    let mut role = Role {
        name: "control: lists, on the zone relays' machines",
        mechanism: LIST_SERVICE,
        requirement: Requirement::Lists,
        rows,
    };
    let children = on.zone_children.max(on.region_children);
    let told = beat + on.lines * plan.list.entry_bytes.value as f64 + on.wholes * whole / within;
    role.row(Cost::State, "the whole list", "bytes", whole, &[], None);
    role.row(
        Cost::Messages,
        "readers of the busiest x what each is told",
        "bytes/s",
        children * told,
        &[],
        bytes,
    );
    role.row(
        Cost::Processor,
        "its readers' watches",
        "cores",
        0.0,
        &[("control.list_server_core_by_watchers", children, 1.0)],
        core,
    );
    role.row(
        Cost::Memory,
        "its readers' watches",
        "MB",
        0.0,
        &[("control.list_server_kb_by_watchers", children, 1e-3)],
        memory,
    );
}

fn registrant(plan: &Plan, rows: &mut Vec<Need>) {
    let entry = plan.list.entry_bytes.value as f64;
    let mut role =
        Role { name: "registrant", mechanism: LIST_SERVICE, requirement: Requirement::Lists, rows };
    role.row(Cost::State, "its own entry", "bytes", entry, &[], None);
    role.row(
        Cost::Messages,
        "its entry / time between renewals",
        "bytes/s",
        entry / plan.list.renew_s.value,
        &[],
        Some(plan.budget.bytes_per_s.value),
    );
    let unknown = [("control.registrant_core_by_rate", 1.0 / plan.list.renew_s.value, 1.0)];
    role.row(Cost::Processor, "renewals", "cores", 0.0, &unknown, Some(plan.budget.core_share.value));
    role.row(Cost::Memory, "its own entry", "MB", entry / 1e6, &[], Some(plan.budget.memory_mb.value));
}

fn operator(plan: &Plan, on: &Occasion, tree: &Path, rows: &mut Vec<Need>) {
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
        on.changes * plan.change_bytes(),
        &[],
        Some(plan.budget.machine_bytes_per_s.value),
    );
    role.row(
        Cost::Processor,
        "changes/s x time of the origin to check, keep and answer",
        "cores",
        0.0,
        &[("control.publish_us_by_bytes", plan.change_bytes(), on.changes / 1e6)],
        Some(plan.budget.machine_cores.value),
    );
    role.row(Cost::Memory, "a document at a time", "MB", changes.service_bytes.value as f64 / 1e6, &[], None);
    role.row(
        Cost::Time,
        "from a change to the last of all balancers, without faults",
        "s",
        0.0,
        &[("control.change_last_ms_by_watchers", plan.fleet.upstreams.value as f64, 1e-3)],
        Some(changes.in_force_s.value),
    );
    let carried = PUBLISHER.carried(tree).and(CONFIGURATION_CLIENT.carried(tree)).is_some();
    role.row(
        Cost::Restarts,
        "changes x balancers that each concerns, were a restart the only way; budget: those planned for a day",
        "restarts",
        if carried { 0.0 } else { on.changes * on.lasts_s * on.own * plan.fleet.upstreams.value as f64 },
        &[],
        Some(plan.failures.replaced_per_day.value),
    );
}
