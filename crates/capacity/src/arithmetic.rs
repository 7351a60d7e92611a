//! What each role needs at the size of the plan: from the plan's figures and the measured slopes, against its budget.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use crate::CapacityError;
use crate::plan::{Plan, Reading};
use crate::slope::{Results, Slope};

/// Bytes of an empty line of a watch as one chunk of HTTP/1.1.
const BEAT_BYTES: f64 = 6.0;
/// Memory is measured in KiB, and budgets are in MB.
const MB_PER_KIB: f64 = 1.024e-3;

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
    /// Calls that are refused or fail.
    Refusals,
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
            Self::Refusals => "refusals",
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
                name: "the busiest minute of changes",
                what: format!(
                    "{} changes in a minute, the worst for all: each of the fleet's document",
                    plan.configuration.peak_per_minute.value
                ),
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

const fn ours(what: &'static str, file: &'static str, sign: &'static str) -> Mechanism {
    Mechanism::Ours { what, file, sign }
}

const DECISIONS: Mechanism =
    ours("`balancer-policy` `Balancer`", "crates/policy/src/balancer.rs", "pub struct Balancer");
const LIST_CLIENT: Mechanism =
    ours("`balancer-proxy` `discovery::watch`", "crates/proxy/src/discovery.rs", "pub async fn watch(");
const CONFIGURATION_CLIENT: Mechanism = ours(
    "`balancer-proxy` `configuration`, `balancer-policy` `Event::Reconfigured`",
    "crates/proxy/src/configuration.rs",
    "pub fn follow(",
);
const ORIGIN: Mechanism = ours(
    "`config-distribution` `Origin`",
    "crates/config-distribution/src/core/origin.rs",
    "pub struct Origin",
);
const RELAY: Mechanism = ours(
    "`config-distribution` `RelayHost`",
    "crates/config-distribution/src/host/relay.rs",
    "pub struct RelayHost",
);
const PUBLISHER: Mechanism =
    ours("`config-distribution publish`", "crates/config-distribution/src/command.rs", "Publish {");
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

/// How a slope is read.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Read {
    /// The cost at a size.
    At(f64),
    /// The cost at a size, less that at the smallest size played.
    Beyond(f64),
    /// The cost of one more, by the fit.
    OneMore,
}

/// A measured part of a need.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Term {
    /// The slope's name.
    pub slope: &'static str,
    /// How it is read.
    pub read: Read,
    /// How often it counts, with the units changed.
    pub times: f64,
}

/// A figure of a table of results: the worst of its plays.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Played {
    /// The table's name.
    pub results: &'static str,
    /// What stands in the first cell of its rows.
    pub row: &'static str,
    /// The head of its column.
    pub column: &'static str,
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
    /// Where it was played as such, which goes before its slopes.
    pub played: Option<Played>,
    /// Of the figure.
    pub unit: &'static str,
    /// What follows from the plan alone.
    pub plain: f64,
    /// What has to be measured.
    pub terms: Vec<Term>,
    /// How many times past what was played it lies in another way than by its slopes' sizes, such as by rate; 1 within.
    pub past: f64,
    /// What arithmetic on the plan gives instead, where a slope is missing.
    pub instead: Option<f64>,
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
    /// From the plan by arithmetic, in place of these slopes if any is missing.
    Reckoned(Vec<String>),
    /// Played as such: the worst of so many plays.
    Played(usize),
    /// Between measured sizes.
    Measured,
    /// By fits, this many times past the largest size played.
    Extrapolated(f64),
    /// These slopes are missing.
    NotMeasured(Vec<String>),
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

/// All that has been measured, by name.
#[derive(Debug, Default)]
pub struct Measured {
    /// Slopes.
    pub slopes: BTreeMap<String, Slope>,
    /// Tables of what was played.
    pub results: BTreeMap<String, Results>,
}

impl Measured {
    /// Reads the folders `slopes` and `results` of a folder; nothing where they are missing.
    ///
    /// # Errors
    /// A file makes no sense, or is of another name than what it holds.
    pub fn read(folder: &Path) -> Result<Self, CapacityError> {
        let (slopes, results) = (folder.join("slopes"), folder.join("results"));
        Ok(Self {
            slopes: named(&slopes, Slope::read, |slope| &slope.name)?,
            results: named(&results, Results::read, |results| &results.name)?,
        })
    }

    /// The cost at a size, and how many times past the largest size played that lies (1 within): measured where the
    /// size lies between two that were played, by the fit otherwise. `None` where it is not measured or has no fit there.
    #[must_use]
    pub fn at(&self, name: &str, x: f64) -> Option<(f64, f64)> {
        let slope = self.slopes.get(name)?;
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

    /// The worst of a figure's plays, and how many there are; `None` where there are none.
    fn worst(&self, played: Played) -> Option<(f64, usize)> {
        let table = self.results.get(played.results)?;
        let at = table.columns.iter().position(|column| column == played.column)?;
        let rows = table.rows.iter().filter(|row| row.first().is_some_and(|first| first == played.row));
        let figures: Vec<f64> = rows.filter_map(|row| row.get(at)?.parse().ok()).collect();
        let worst = figures.iter().copied().reduce(f64::max)?;
        Some((worst * played.times, figures.len()))
    }

    fn read_as(&self, name: &str, read: Read) -> Option<(f64, f64)> {
        match read {
            Read::At(x) => self.at(name, x),
            Read::Beyond(x) => {
                let smallest =
                    self.slopes.get(name)?.points.iter().map(|point| point.x).fold(f64::MAX, f64::min);
                let (least, _) = self.at(name, smallest)?;
                self.at(name, x.max(smallest)).map(|(cost, past)| (cost - least, past))
            }
            Read::OneMore => Some((self.slopes.get(name)?.fit?.each.max(0.0), 1.0)),
        }
    }

    /// What to say of a slope that gave no figure.
    fn gap(&self, name: &str) -> String {
        match self.slopes.get(name) {
            None => name.to_owned(),
            Some(slope) => format!("{name} (played up to {}, and no straight line fits it)", slope.largest()),
        }
    }
}

fn named<T>(
    folder: &Path,
    read: fn(&Path, &str) -> Result<T, CapacityError>,
    name_of: fn(&T) -> &str,
) -> Result<BTreeMap<String, T>, CapacityError> {
    if !folder.is_dir() {
        return Ok(BTreeMap::new());
    }
    let entries = fs::read_dir(folder).map_err(|cause| CapacityError::file(folder, cause))?;
    let paths = entries.filter_map(Result::ok).map(|entry| entry.path());
    paths
        .filter(|path| path.extension().is_some_and(|end| end == "json"))
        .map(|path| {
            let name = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
            let held = read(folder, &name)?;
            if name_of(&held) != name {
                return Err(CapacityError::file(&path, format!("it holds {}", name_of(&held))));
            }
            Ok((name, held))
        })
        .collect()
}

impl Need {
    /// What would break the figure.
    #[must_use]
    pub fn breaks(&self) -> &'static str {
        let of = |start: &str| self.terms.iter().any(|term| term.slope.starts_with(start));
        match self.cost {
            Cost::Time if of("latency.") => "a core or a queue that fills: the time then rises without bound",
            Cost::Time if of("depth.") => "work and ways that take longer than assumed",
            Cost::Time => "distance, loss, machines of their own: all was played on one",
            Cost::Repeats | Cost::Refusals => "several services in trouble at once, clients that repeat more",
            Cost::Restarts => "changes that are more for all, or less",
            Cost::State => "longer entries and documents, calls held longer",
            Cost::Messages if of("control.") => {
                "longer entries and documents, other heads of HTTP, encryption"
            }
            Cost::Messages => "a busier balancer than assumed",
            Cost::Processor if of("process.request") => {
                "connections opened anew for calls, long bodies, answers that come slowly, encryption"
            }
            Cost::Processor if of("process.") => {
                "lines that come faster than they were played, another processor"
            }
            Cost::Processor => "longer documents, more scopes, slow readers, another processor",
            Cost::Memory if of("decisions.") => {
                "bodies held with the calls, more connections than were played"
            }
            Cost::Memory => "longer entries and documents, slow readers",
        }
    }

    /// The figure that the measurements give.
    #[must_use]
    pub fn figure(&self, measured: &Measured) -> Figure {
        if let Some((value, plays)) = self.played.and_then(|played| measured.worst(played)) {
            let ratio = self.budget.map(|budget| value / budget);
            return Figure { value: Some(value), ratio, basis: Basis::Played(plays) };
        }
        let mut value = self.plain;
        let mut past = self.past;
        let mut missing: Vec<String> = Vec::new();
        for &Term { slope, read, times } in &self.terms {
            match measured.read_as(slope, read) {
                Some((cost, times_past)) => {
                    value += cost * times;
                    past = past.max(times_past);
                }
                None => {
                    let gap = measured.gap(slope);
                    if !missing.contains(&gap) {
                        missing.push(gap);
                    }
                }
            }
        }
        let (value, basis) = match (missing.is_empty(), self.instead) {
            (true, _) if self.terms.is_empty() => (Some(value), Basis::Reckoned(Vec::new())),
            (true, _) if past > 1.0 => (Some(value), Basis::Extrapolated(past)),
            (true, _) => (Some(value), Basis::Measured),
            (false, Some(instead)) => (Some(instead), Basis::Reckoned(missing)),
            (false, None) => (None, Basis::NotMeasured(missing)),
        };
        let ratio = value.zip(self.budget).map(|(value, budget)| value / budget);
        Figure { value, ratio, basis }
    }
}

/// A slope, how it is read, and how often it counts.
type Part = (&'static str, Read, f64);

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
        terms: &[Part],
        budget: Option<f64>,
    ) -> &mut Need {
        let terms = terms.iter().map(|&(slope, read, times)| Term { slope, read, times });
        // What counts for nothing on this occasion need not be measured for it.
        let terms = terms.filter(|term| term.times != 0.0).collect();
        self.rows.push(Need {
            role: self.name,
            cost,
            formula,
            unit,
            plain,
            terms,
            played: None,
            past: 1.0,
            instead: None,
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
    all_tiers(plan, on, &mut rows);
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
        "calls/s x time of one at all upstreams, which was played at the mean rate at the front; budget: its one thread",
        "cores",
        0.0,
        &[("process.request_us_by_upstreams", Read::At(upstreams), rate / 1e6)],
        Some(1.0),
    )
    .past = (rate / plan.mean_rate(Reading::Front)).max(1.0);
    role.row(
        Cost::Memory,
        "process at all upstreams + tenants + calls held; budget: that of control, as none is given",
        "MB",
        0.0,
        &[
            ("process.memory_loaded_kb_by_upstreams", Read::At(upstreams), MB_PER_KIB),
            ("decisions.bytes_by_tenants", Read::Beyond(tenants), 1e-6),
            ("decisions.bytes_by_in_flight", Read::Beyond(held), 1e-6),
        ],
        Some(memory),
    );
    role.requirement = Requirement::Added;
    let slope = match on.name {
        "the busiest minute of changes" => "latency.added_p99_us_by_rate_configuration",
        "ordinary day" => "latency.added_p99_us_by_rate",
        _ => "latency.added_p99_us_by_rate_list",
    };
    role.row(
        Cost::Time,
        "added to a call, 99 in 100, at this rate",
        "ms",
        0.0,
        &[(slope, Read::At(rate), 1e-3)],
        Some(plan.traffic.added_ms.value),
    );
}

fn all_tiers(plan: &Plan, on: &Occasion, rows: &mut Vec<Need>) {
    let mut role = Role {
        name: "one call, over all tiers",
        mechanism: DECISIONS,
        requirement: Requirement::Repeats,
        rows,
    };
    let depth = plan.graph.depth.value as f64;
    let headroom = Some(plan.traffic.headroom.value);
    let formula = "attempts at the deepest tier for one call at the front, while that tier fails all; reckoned: attempts to the power of depth";
    if on.trouble {
        let slope = ("depth.attempts_by_depth", Read::At(depth), 1.0);
        role.row(Cost::Repeats, formula, "attempts", 0.0, &[slope], headroom).instead =
            Some(f64::from(plan.traffic.attempts.value).powf(depth));
        role.row(
            Cost::Refusals,
            "calls refused or failed at all tiers for one call at the front, while the deepest fails all",
            "calls",
            0.0,
            &[("depth.refusals_by_depth", Read::At(depth), 1.0)],
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
        &[("depth.deadline_ms_by_depth", Read::At(depth), 1.0)],
        None,
    );
}

/// What lists and configuration cost on the wire on an occasion, for so many balancers.
struct Told {
    list: [Part; 3],
    list_reckoned: f64,
    configuration: [Part; 2],
    /// What is by the plan in either case: documents caught up with, and those longer than the measured one.
    configuration_plain: f64,
    configuration_reckoned: f64,
    /// Changes a second that they take in, with those that they catch up with.
    taken: f64,
}

impl Told {
    fn of(plan: &Plan, on: &Occasion, balancers: f64) -> Self {
        let upstreams = plan.fleet.upstreams.value as f64;
        let within = plan.configuration.in_force_s.value;
        let beat = BEAT_BYTES / plan.list.beat_s.value;
        let whole = plan.whole_list_bytes() as f64;
        // The measured change is one of the fleet's document.
        let longer = on.changes * (on.own_bytes - on.own * plan.configuration.fleet_bytes.value as f64);
        let caught_up = on.caught_up / within;
        let lines = on.lines * plan.list.entry_bytes.value as f64;
        let wholes = on.wholes / within;
        let changes = on.changes * on.own;
        Self {
            list: [
                ("control.list_rest_bytes_per_s_by_watchers", Read::OneMore, balancers),
                ("control.list_change_bytes_by_changes", Read::OneMore, balancers * on.lines),
                ("control.list_whole_bytes_by_upstreams", Read::At(upstreams), balancers * wholes),
            ],
            list_reckoned: balancers * (beat + lines + wholes * whole),
            configuration: [
                ("control.configuration_rest_bytes_per_s_by_watchers", Read::OneMore, balancers),
                ("control.configuration_change_bytes_by_watchers", Read::OneMore, balancers * changes),
            ],
            configuration_plain: balancers * (longer + caught_up),
            configuration_reckoned: balancers * (beat + on.changes * on.own_bytes + caught_up),
            taken: balancers * (changes + if on.caught_up > 0.0 { 1.0 / within } else { 0.0 }),
        }
    }
}

fn balancer_control(plan: &Plan, on: &Occasion, rows: &mut Vec<Need>) {
    let upstreams = plan.fleet.upstreams.value as f64;
    let within = plan.configuration.in_force_s.value;
    let (bytes, core, memory) = (
        Some(plan.budget.bytes_per_s.value),
        Some(plan.budget.core_share.value),
        Some(plan.budget.memory_mb.value),
    );
    let whole = plan.whole_list_bytes() as f64;
    let own_documents = plan.own_documents_bytes();
    let told = Told::of(plan, on, 1.0);
    let list_core: [Part; 3] = [
        ("process.idle_core_by_upstreams", Read::At(upstreams), 1.0),
        ("control.list_client_us_by_upstreams", Read::At(upstreams), on.wholes / within / 1e6),
        ("control.list_client_change_us_by_upstreams", Read::At(upstreams), on.lines / 1e6),
    ];
    let configuration_core: [Part; 2] = [
        ("control.configuration_client_core_by_watchers", Read::OneMore, 1.0),
        ("control.configuration_change_client_us_by_watchers", Read::OneMore, told.taken / 1e6),
    ];
    let list_memory: [Part; 1] = [("process.memory_kb_by_upstreams", Read::At(upstreams), MB_PER_KIB)];
    let configuration_memory: [Part; 1] =
        [("control.configuration_client_kb_by_watchers", Read::OneMore, MB_PER_KIB)];

    let mut role = Role {
        name: "balancer, its list client",
        mechanism: LIST_CLIENT,
        requirement: Requirement::Lists,
        rows: &mut *rows,
    };
    role.row(Cost::State, "upstreams x bytes of an entry", "bytes", whole, &[], None);
    role.row(
        Cost::Messages,
        "beats + lines/s x bytes of one + whole lists x their bytes / time that a change has",
        "bytes/s",
        0.0,
        &told.list,
        bytes,
    )
    .instead = Some(told.list_reckoned);
    role.row(
        Cost::Processor,
        "a process at rest + whole lists and lines/s taken in and decided on, at all upstreams",
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
        "beats and reports + changes/s for it x bytes of one + documents caught up with / time that a change has",
        "bytes/s",
        told.configuration_plain,
        &told.configuration,
        bytes,
    )
    .instead = Some(told.configuration_reckoned);
    role.row(
        Cost::Processor,
        "a client at rest + changes/s for it x time to take one in and report it",
        "cores",
        0.0,
        &configuration_core,
        core,
    );
    role.row(
        Cost::Memory,
        "one more client; reckoned: three documents as text, as settings and once more while they change",
        "MB",
        0.0,
        &configuration_memory,
        memory,
    )
    .instead = Some(3.0 * own_documents / 1e6);

    let mut role = Role {
        name: "balancer, all its control",
        mechanism: LIST_CLIENT,
        requirement: Requirement::Control,
        rows,
    };
    role.row(Cost::State, "list + documents", "bytes", whole + own_documents, &[], None);
    role.row(
        Cost::Messages,
        "list + configuration",
        "bytes/s",
        told.configuration_plain,
        &[&told.list[..], &told.configuration].concat(),
        bytes,
    )
    .instead = Some(told.list_reckoned + told.configuration_reckoned);
    let both = [&list_core[..], &configuration_core].concat();
    role.row(Cost::Processor, "list + configuration", "cores", 0.0, &both, core);
    let both = [&list_memory[..], &configuration_memory].concat();
    role.row(Cost::Memory, "process + one more client of the configuration", "MB", 0.0, &both, memory);
}

fn control_machines(plan: &Plan, on: &Occasion, rows: &mut Vec<Need>) {
    let budget = &plan.budget;
    let (bytes, core, memory) = (
        Some(budget.machine_bytes_per_s.value),
        Some(budget.machine_cores.value),
        Some(budget.machine_memory_mb.value),
    );
    let documents = plan.documents_bytes();
    // A relay asks for all scopes and catches up with all documents at worst, a balancer for its own.
    let for_relays = Occasion {
        own: 1.0,
        own_bytes: plan.change_bytes().max(on.own_bytes),
        caught_up: if on.caught_up > 0.0 { documents } else { 0.0 },
        ..on.clone()
    };
    let relays = plan.deal.zone_relays.value as f64 / plan.fleet.zones.value as f64;
    let zones = plan.fleet.zones_by_region.value.iter().copied().max().unwrap_or(1) as f64;
    let below_region = on.region_children.min(relays * zones);
    // With how many relays each has a watch, its own above among them, and how many balancers.
    for (name, mechanism, above, below, balancers) in [
        ("control: origin", ORIGIN, 0.0, on.origin_children, 0.0),
        ("control: standby of the origin", RELAY, 1.0, 0.0, 0.0),
        ("control: relay of a region", RELAY, 1.0, below_region, on.region_children - below_region),
        ("control: relay of a zone", RELAY, 1.0, 0.0, on.zone_children),
    ] {
        let (to_relays, to_balancers) =
            (Told::of(plan, &for_relays, above + below), Told::of(plan, on, balancers));
        let mut role = Role { name, mechanism, requirement: Requirement::Configuration, rows: &mut *rows };
        role.row(Cost::State, "all documents", "bytes", documents, &[], None);
        role.row(
            Cost::Messages,
            "its watches, above and below, x what each is told and reports",
            "bytes/s",
            to_relays.configuration_plain + to_balancers.configuration_plain,
            &[to_relays.configuration, to_balancers.configuration].concat(),
            bytes,
        )
        .instead = Some(to_relays.configuration_reckoned + to_balancers.configuration_reckoned);
        role.row(
            Cost::Processor,
            "its children's watches at rest + changes/s told, above and below, x time for one more told",
            "cores",
            0.0,
            &[
                ("control.configuration_server_core_by_watchers", Read::At(below + balancers), 1.0),
                (
                    "control.configuration_change_server_us_by_watchers",
                    Read::OneMore,
                    (to_relays.taken + to_balancers.taken) / 1e6,
                ),
            ],
            core,
        );
        role.row(
            Cost::Memory,
            "a relay with so many children and all documents",
            "MB",
            0.0,
            &[("control.configuration_server_kb_by_watchers", Read::At(below + balancers), MB_PER_KIB)],
            memory,
        );
    }
    let mut role = Role {
        name: "control: lists, on the zone relays' machines",
        mechanism: LIST_SERVICE,
        requirement: Requirement::Lists,
        rows,
    };
    let readers = on.zone_children.max(on.region_children);
    let told = Told::of(plan, on, readers);
    role.row(Cost::State, "the whole list", "bytes", plan.whole_list_bytes() as f64, &[], None);
    role.row(
        Cost::Messages,
        "readers of the busiest x what each is told",
        "bytes/s",
        0.0,
        &told.list,
        bytes,
    )
    .instead = Some(told.list_reckoned);
    role.row(
        Cost::Processor,
        "its readers' watches at rest, at a stand-in, + lines/s told",
        "cores",
        0.0,
        &[
            ("control.list_server_core_by_watchers", Read::At(readers), 1.0),
            ("control.list_change_server_us_by_watchers", Read::OneMore, readers * on.lines / 1e6),
        ],
        core,
    );
    role.row(
        Cost::Memory,
        "its readers' watches, at a stand-in",
        "MB",
        0.0,
        &[("control.list_server_kb_by_watchers", Read::At(readers), MB_PER_KIB)],
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
    let unknown: [Part; 1] =
        [("control.registrant_core_by_rate", Read::At(1.0 / plan.list.renew_s.value), 1.0)];
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
        &[("control.publish_us_by_bytes", Read::At(plan.change_bytes()), on.changes / 1e6)],
        Some(plan.budget.machine_cores.value),
    );
    role.row(Cost::Memory, "a document at a time", "MB", changes.service_bytes.value as f64 / 1e6, &[], None);
    role.row(
        Cost::Time,
        "from a change's acknowledgement to the last balancer, as played; else from its sending, one relay for all",
        "s",
        0.0,
        &[("control.change_sent_last_ms_by_watchers", Read::At(plan.fleet.upstreams.value as f64), 1e-3)],
        Some(changes.in_force_s.value),
    )
    .played = Some(Played {
        results: "sockets",
        row: match on.name {
            "a region cut off and back" => "cut",
            "one control machine lost" => "relay",
            "a zone of control machines lost" => "zone",
            "all balancers reconnecting" => "reconnect",
            _ => "none",
        },
        column: "last, ms",
        times: 1e-3,
    });
    // A balancer that takes in a configuration while it serves is what spares the restarts.
    let carried = CONFIGURATION_CLIENT.carried(tree).is_some();
    role.mechanism = CONFIGURATION_CLIENT;
    role.row(
        Cost::Restarts,
        "changes x balancers that each concerns, were a restart the only way; budget: those planned for a day",
        "restarts",
        if carried { 0.0 } else { on.changes * on.lasts_s * on.own * plan.fleet.upstreams.value as f64 },
        &[],
        Some(plan.failures.replaced_per_day.value),
    );
}
