//! Hollow balancers on real sockets, behind real control processes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::mpsc::{Receiver, TryRecvError, channel};
use std::thread;
use std::time::{Duration, Instant};

use clap::{Args, ValueEnum};
use config_distribution::document::Scope;
use oorandom::Rand64;

use crate::CapacityError;
use crate::plan::Plan;
use crate::slope::{Results, commit};

pub mod child;
pub mod hollow;
pub mod list;
pub mod machine;
pub mod plane;
pub mod swarm;

use hollow::{Hollow, Job, WINDOW_S};
use list::ListServer;
use plane::{Change, Machine, Plane, Role};
use swarm::{Swarm, Times};

/// Processes at most.
const PROCESSES_MOST: usize = 200;
/// Part of the machine's memory at most.
const MEMORY_PART: f64 = 0.5;
/// How long the last change may take before the play is given up.
const PATIENCE: Duration = Duration::from_secs(40);

/// What happens in a play.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Scenario {
    /// Nothing but changes.
    None,
    /// A zone's relay is killed.
    Relay,
    /// A region's relay is killed.
    RegionRelay,
    /// All relays of a zone are killed.
    Zone,
    /// A region is cut off from the others, and comes back.
    Cut,
    /// All control processes are killed and started, and all watches of the list are ended.
    Reconnect,
}

impl Scenario {
    fn name(self) -> String {
        self.to_possible_value().map_or_else(String::new, |value| value.get_name().to_owned())
    }
}

/// Plays hollow balancers on real sockets against real control processes, and times changes to the last of them.
#[derive(Debug, Args)]
pub struct Arguments {
    /// What happens: one of the scenarios; all of them, where none is named.
    #[arg(long, value_enum)]
    scenario: Vec<Scenario>,
    /// Of the draws, the first of `--seeds`.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Plays of each scenario, each with the next seed.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Changes of configuration in a play.
    #[arg(long, default_value_t = 200)]
    changes: usize,
    /// Balancers; by default the plan's upstreams.
    #[arg(long)]
    balancers: Option<usize>,
    /// Balancers to a process.
    #[arg(long, default_value_t = 100)]
    per_process: usize,
    /// Entries of each balancer's list; by default one for each balancer.
    #[arg(long)]
    list: Option<usize>,
    /// Seconds over which the changes come.
    #[arg(long, default_value_t = 24.0)]
    seconds: f64,
    /// A quick play for tests: few balancers and changes.
    #[arg(long)]
    small: bool,
    /// Keep the rows of other scenarios and seeds that the results already have.
    #[arg(long)]
    add: bool,
    /// Where `results` is written.
    #[arg(long, default_value = "crates/capacity")]
    out: PathBuf,
    /// Plays the balancers of a job on standard input: for the rig's own use.
    #[arg(long, hide = true)]
    hollow_balancers: bool,
}

/// Does it.
///
/// # Errors
/// With the place where it went wrong.
pub fn run(arguments: &Arguments, plan: &Plan) -> Result<(), CapacityError> {
    if arguments.hollow_balancers {
        return hollow::run();
    }
    let size = Size::of(arguments, plan)?;
    child::heed_signals()?;
    let folder = plane::folder(&arguments.out, "results")?;
    let scenarios = match &arguments.scenario[..] {
        [] => Scenario::value_variants(),
        named => named,
    };
    let mut rows = Vec::new();
    let mut missed = Vec::new();
    for &scenario in scenarios {
        for seed in arguments.seed..arguments.seed + arguments.seeds {
            let outcome = play(scenario, seed, &size, plan)?;
            println!("{}", outcome.told());
            missed.extend(outcome.faults(plan, !arguments.small));
            rows.push(outcome.row());
        }
    }
    let before = if arguments.add { Results::read(&folder, "sockets").ok() } else { None };
    let key = |row: &Vec<String>| row[..2].to_vec();
    let mut kept: Vec<_> = before.map(|before| before.rows).unwrap_or_default();
    kept.retain(|row| rows.iter().all(|new| key(new) != key(row)));
    kept.extend(rows);
    kept.sort_by_key(|row| (scenario_place(&row[0]), row[1].parse().unwrap_or(0)));
    let Size { balancers, changes, list, .. } = size;
    Results {
        name: "sockets".to_owned(),
        what: format!(
            "{balancers} hollow balancers on real sockets behind {} control processes, {changes} changes a play",
            plan.budget.control_machines.value
        ),
        command: "target/release/capacity sockets --seeds 3".to_owned(),
        commit: commit(),
        columns: COLUMNS.map(str::to_owned).to_vec(),
        rows: kept,
        note: format!(
            "Hollow: the balancer's own client of the list with its decisions ({list} entries) and the real client of \
             the configuration, no callers. The list server is a stand-in; a list entry changes every 2 s. Changes come in \
             bunches over {:.0} s, {}. Times are from the acknowledgement; after a \
             cut, of changes made within it, from its end. Bytes are those of the connections, without TCP/IP heads. \
             Return: {:.1} s from the fault (from the end of a cut). Memory of a balancer has its part of the \
             process. All processes share one machine.",
            size.seconds,
            format_args!(
                "{:.0} times the plan's peak",
                changes as f64 / size.seconds * 60.0 / plan.configuration.peak_per_minute.value
            ),
            return_window(size.seconds).as_secs_f64(),
        ),
    }
    .write(&folder)?;
    if missed.is_empty() { Ok(()) } else { Err(CapacityError::run("sockets", missed.join("; "))) }
}

fn scenario_place(name: &str) -> usize {
    Scenario::value_variants().iter().position(|scenario| scenario.name() == name).unwrap_or(usize::MAX)
}

/// How large a play is.
struct Size {
    balancers: usize,
    per_process: usize,
    changes: usize,
    list: usize,
    seconds: f64,
    rest: Duration,
}

impl Size {
    fn of(arguments: &Arguments, plan: &Plan) -> Result<Self, CapacityError> {
        let fault = |name, expected: String| Err(CapacityError::Argument { name, expected });
        let balancers = match arguments.balancers {
            None if arguments.small => 60,
            None => plan.fleet.upstreams.value,
            Some(balancers) => balancers,
        };
        if !(1..=plan.fleet.upstreams.value).contains(&balancers) {
            return fault("balancers", format!("1 to {}, the plan's upstreams", plan.fleet.upstreams.value));
        }
        let per_process = if arguments.small { 20 } else { arguments.per_process };
        if per_process == 0 {
            return fault("per-process", "1 at least".to_owned());
        }
        let processes = balancers.div_ceil(per_process) + plan.budget.control_machines.value + 1;
        if processes > PROCESSES_MOST {
            return fault(
                "per-process",
                format!("so many that {PROCESSES_MOST} processes do, not {processes}"),
            );
        }
        if arguments.changes == 0 {
            return fault("changes", "1 at least".to_owned());
        }
        if !(1.0..=600.0).contains(&arguments.seconds) {
            return fault("seconds", "1 to 600".to_owned());
        }
        if arguments.seeds == 0 || arguments.seeds > 100 {
            return fault("seeds", "1 to 100".to_owned());
        }
        let list = arguments.list.unwrap_or(balancers);
        if list == 0 || list > 10_000 {
            return fault("list", "1 to 10000".to_owned());
        }
        Ok(Self {
            balancers,
            per_process,
            changes: if arguments.small { arguments.changes.min(24) } else { arguments.changes },
            list,
            seconds: if arguments.small { arguments.seconds.min(2.0) } else { arguments.seconds },
            rest: Duration::from_millis(if arguments.small { 200 } else { 5000 }),
        })
    }
}

/// The names of the zones.
#[must_use]
pub fn zone_names(plan: &Plan) -> Vec<String> {
    (0..plan.fleet.zones.value).map(|zone| format!("zone-{zone}")).collect()
}

/// Where each of so many balancers is and what it serves, as the plan has it: those of a service lie over regions and
/// zones by their shares. A part of the fleet is each n-th balancer of it.
#[must_use]
pub fn fleet(plan: &Plan, balancers: usize) -> Vec<(usize, usize)> {
    let sizes = plan.service_sizes();
    let services: Vec<usize> =
        sizes.iter().enumerate().flat_map(|(service, &size)| std::iter::repeat_n(service, size)).collect();
    let shares: Vec<f64> = (0..plan.fleet.zones.value)
        .map(|zone| {
            let region = plane::region_of(plan, zone);
            plan.fleet.region_shares.value[region] / plan.fleet.zones_by_region.value[region] as f64
        })
        .collect();
    (0..balancers)
        .map(|number| {
            let place = number * services.len() / balancers;
            // Steps by the golden ratio fill the shares evenly, also within a service.
            let mut at = (place as f64 * 0.618_033_988_749_894_9).fract();
            let zone = shares.iter().position(|share| {
                at -= share;
                at < 0.0
            });
            (services[place], zone.unwrap_or(shares.len() - 1))
        })
        .collect()
}

/// The name of a service.
#[must_use]
pub fn service_name(service: usize) -> String {
    format!("service-{service:03}")
}

/// The name of a region.
#[must_use]
pub fn region_name(region: usize) -> String {
    format!("region-{region}")
}

/// One change to come.
struct Planned {
    at: Duration,
    scope: Scope,
    bytes: usize,
}

/// The changes of a play, in their order: bunches at drawn moments, scopes by their shares; services are drawn from
/// those that are played.
fn schedule(plan: &Plan, seed: u64, size: &Size, services: &[usize]) -> Vec<Planned> {
    let mut draws = Rand64::new(u128::from(seed) << 8);
    let configuration = &plan.configuration;
    let [fleet, region, _] = configuration.scope_shares.value[..] else { return Vec::new() };
    let mut planned = Vec::new();
    while planned.len() < size.changes {
        let at = Duration::from_secs_f64(draws.rand_float() * size.seconds);
        loop {
            let kind = draws.rand_float();
            let (scope, bytes) = if kind < fleet {
                (Scope::Fleet, configuration.fleet_bytes.value)
            } else if kind < fleet + region {
                let region = draws.rand_range(0..plan.fleet.regions.value as u64) as usize;
                (Scope::Region(region_name(region).into()), configuration.region_bytes.value)
            } else {
                let service = services[draws.rand_range(0..services.len() as u64) as usize];
                (Scope::Service(service_name(service).into()), configuration.service_bytes.value)
            };
            planned.push(Planned { at, scope, bytes });
            if planned.len() == size.changes || draws.rand_float() < 1.0 / configuration.bunch.value {
                break;
            }
        }
    }
    planned.sort_by_key(|planned| planned.at);
    planned
}

/// Publishes the changes when they are due, on a thread of its own.
fn publish_all(origin: SocketAddr, planned: Vec<Planned>) -> Receiver<Result<Change, CapacityError>> {
    let (said, changes) = channel();
    thread::spawn(move || {
        let start = Instant::now();
        for (number, Planned { at, scope, bytes }) in planned.into_iter().enumerate() {
            thread::sleep(at.saturating_sub(start.elapsed()));
            let body = plane::body(bytes, 1 + number as u64);
            let change = plane::publish(origin, &scope, &body, &format!("change-{number}"));
            let failed = change.is_err();
            if said.send(change).is_err() || failed {
                return;
            }
        }
    });
    changes
}

/// Sums at one moment.
struct Mark {
    at: Instant,
    balancers: machine::Usage,
    configuration_bytes: u64,
    list_bytes: u64,
    most_in_window: u64,
    /// By place: processor time, memory, bytes.
    control: Vec<(u64, u64, u64)>,
}

/// What a span between two marks cost.
struct Cost {
    bytes_per_s: f64,
    core: f64,
    /// The busiest control process.
    control_core: (f64, Role),
    control_bytes_per_s: (f64, Role),
}

impl Cost {
    fn between(from: &Mark, to: &Mark, balancers: usize, machines: &[Machine]) -> Self {
        let seconds = (to.at - from.at).as_secs_f64();
        let each = |from: u64, to: u64| to.saturating_sub(from) as f64 / seconds;
        let busiest = |cost: &dyn Fn(usize) -> f64| {
            let costs = machines.iter().enumerate().map(|(place, machine)| (cost(place), machine.role));
            costs.max_by(|one, other| one.0.total_cmp(&other.0)).unwrap_or((0.0, Role::Origin))
        };
        let (before, after) = (&from.control, &to.control);
        Self {
            bytes_per_s: (each(from.configuration_bytes, to.configuration_bytes)
                + each(from.list_bytes, to.list_bytes))
                / balancers as f64,
            core: each(from.balancers.cpu_ns, to.balancers.cpu_ns) / 1e9 / balancers as f64,
            control_core: busiest(&|place| each(before[place].0, after[place].0) / 1e9),
            control_bytes_per_s: busiest(&|place| each(before[place].2, after[place].2)),
        }
    }
}

/// The heads of the columns.
const COLUMNS: [&str; 24] = [
    "scenario",
    "seed",
    "balancers",
    "changes",
    "changes in force at balancers",
    "median, ms",
    "99 in 100, ms",
    "last, ms",
    "last from sending, ms",
    "indices that went back",
    "balancers without the last change",
    "watches of the list that stood elsewhere at the end",
    "balancer at rest, bytes/s",
    "balancer during changes, bytes/s",
    "balancer in the return, bytes/s",
    "busiest balancer, configuration over 13 s in the return, bytes/s",
    "balancer at rest, core",
    "balancer during changes, core",
    "balancer in the return, core",
    "balancer, MB",
    "control at rest, busiest, core",
    "control in the return, busiest, core",
    "control in the return, busiest, bytes/s",
    "control, largest, MB",
];

struct Outcome {
    scenario: Scenario,
    seed: u64,
    balancers: usize,
    changes: usize,
    times: Times,
    from_sending: Times,
    back: usize,
    missing: usize,
    elsewhere: usize,
    rest: Cost,
    play: Cost,
    back_again: Cost,
    most_in_window: u64,
    balancer_mb: f64,
    control_mb: (f64, Role),
}

impl Outcome {
    fn row(&self) -> Vec<String> {
        let named =
            |(figure, role): (f64, Role), digits: usize| format!("{figure:.digits$} ({})", role.name());
        vec![
            self.scenario.name(),
            self.seed.to_string(),
            self.balancers.to_string(),
            self.changes.to_string(),
            self.times.count().to_string(),
            format!("{:.1}", self.times.at(0.5)),
            format!("{:.1}", self.times.at(0.99)),
            format!("{:.1}", self.times.at(1.0)),
            format!("{:.1}", self.from_sending.at(1.0)),
            self.back.to_string(),
            self.missing.to_string(),
            self.elsewhere.to_string(),
            format!("{:.0}", self.rest.bytes_per_s),
            format!("{:.0}", self.play.bytes_per_s),
            format!("{:.0}", self.back_again.bytes_per_s),
            format!("{:.0}", self.most_in_window as f64 / WINDOW_S as f64),
            format!("{:.5}", self.rest.core),
            format!("{:.5}", self.play.core),
            format!("{:.5}", self.back_again.core),
            format!("{:.2}", self.balancer_mb),
            named(self.rest.control_core, 4),
            named(self.back_again.control_core, 4),
            named(self.back_again.control_bytes_per_s, 0),
            named(self.control_mb, 1),
        ]
    }

    fn told(&self) -> String {
        COLUMNS.iter().zip(self.row()).map(|(head, value)| format!("{head}: {value}\n")).collect()
    }

    /// What was promised and is not so; the times only of a play that has the machine to itself.
    fn faults(&self, plan: &Plan, timed: bool) -> Vec<String> {
        let place = format!("{} {}", self.scenario.name(), self.seed);
        let within = plan.configuration.in_force_s.value;
        let mut faults = Vec::new();
        let mut want = |holds: bool, what: String| {
            if !holds {
                faults.push(format!("{place}: {what}"));
            }
        };
        want(self.back == 0, format!("{} indices went back", self.back));
        want(self.missing == 0, format!("{} balancers miss the last change", self.missing));
        want(self.elsewhere == 0, format!("{} watches of the list stand elsewhere", self.elsewhere));
        let last_s = self.times.at(1.0) / 1000.0;
        want(!timed || last_s < within, format!("the last change took {last_s:.1} s, over {within} s"));
        faults
    }
}

struct Play<'a> {
    size: &'a Size,
    plane: Plane,
    swarm: Swarm,
    list: ListServer,
    memory_most_kb: u64,
    place: String,
}

impl Play<'_> {
    fn mark(&mut self) -> Result<Mark, CapacityError> {
        let carried = self.swarm.carried()?;
        let places = self.plane.machines().count();
        let control = (0..places)
            .map(|place| {
                let used = self.plane.usage(place);
                let below = carried.by_parent.get(&self.plane.address(place)).copied().unwrap_or(0);
                (used.cpu_ns, used.resident_kb, self.plane.bytes(place) + below)
            })
            .collect();
        let list = self.list.carried();
        let mark = Mark {
            at: Instant::now(),
            balancers: self.swarm.usage(),
            configuration_bytes: carried.bytes,
            list_bytes: list.read + list.written,
            most_in_window: carried.most_in_window,
            control,
        };
        let own = machine::usage(std::process::id()).unwrap_or_default().resident_kb;
        let used: u64 = own + mark.balancers.resident_kb + mark.control.iter().map(|one| one.1).sum::<u64>();
        if used > self.memory_most_kb {
            return Err(CapacityError::Memory {
                place: self.place.clone(),
                used_mb: used / 1024,
                bound_mb: self.memory_most_kb / 1024,
            });
        }
        Ok(mark)
    }

    /// Kills the control processes of these places.
    fn kill(&mut self, which: impl Fn(&Machine) -> bool) {
        let places: Vec<usize> = self
            .plane
            .machines()
            .enumerate()
            .filter_map(|(place, machine)| which(machine).then_some(place))
            .collect();
        for place in places {
            self.plane.kill(place);
        }
    }
}

/// What is drawn for a play's fault.
struct Target {
    zone: usize,
    region: usize,
    /// Not the origin's.
    far_region: usize,
}

fn play(scenario: Scenario, seed: u64, size: &Size, plan: &Plan) -> Result<Outcome, CapacityError> {
    let place = format!("sockets {} {seed}", scenario.name());
    let machines = plane::deal(plan);
    let regions = plan.fleet.regions.value;
    let mut draws = Rand64::new(u128::from(seed) << 8 | 1);
    let target = Target {
        zone: draws.rand_range(0..plan.fleet.zones.value as u64) as usize,
        region: draws.rand_range(0..regions as u64) as usize,
        far_region: (1 + draws.rand_range(0..regions.max(2) as u64 - 1) as usize) % regions,
    };
    let dealt = fleet(plan, size.balancers);
    let mut services: Vec<usize> = dealt.iter().map(|&(service, _)| service).collect();
    services.dedup();
    let plane = Plane::start(machines.clone())?;
    let origin = plane.address(0);

    // All documents stand before the balancers come.
    let mut newest = HashMap::new();
    let configuration = &plan.configuration;
    let mut first = vec![(Scope::Fleet, configuration.fleet_bytes.value)];
    first.extend(
        (0..regions)
            .map(|region| (Scope::Region(region_name(region).into()), configuration.region_bytes.value)),
    );
    first.extend(
        services.iter().map(|&service| {
            (Scope::Service(service_name(service).into()), configuration.service_bytes.value)
        }),
    );
    for (number, (scope, bytes)) in first.into_iter().enumerate() {
        let change = plane::publish(origin, &scope, &plane::body(bytes, 0), &format!("first-{number}"))?;
        newest.insert(scope, change.version);
    }

    let list = ListServer::start(
        size.list,
        plan.list.entry_bytes.value,
        plan.fleet.zones.value,
        Duration::from_secs_f64(plan.list.beat_s.value),
    )?;
    let balancers: Vec<Hollow> = dealt
        .iter()
        .enumerate()
        .map(|(number, &(service, zone))| {
            let region = plane::region_of(plan, zone);
            Hollow {
                number,
                service: service_name(service),
                region: region_name(region),
                zone,
                parents: plane.parents_of(region, zone),
                seed: seed << 16 | number as u64,
            }
        })
        .collect();
    let job = Job {
        list: Some(list.address),
        zones: zone_names(plan),
        apart_ms: if size.per_process > 20 { 20 } else { 0 },
        balancers: Vec::new(),
    };
    let swarm = Swarm::start(&balancers, size.per_process, &job)?;
    let memory_most_kb = (machine::memory_kb().unwrap_or(u64::MAX) as f64 * MEMORY_PART) as u64;
    let mut play = Play { size, plane, swarm, list, memory_most_kb, place: place.clone() };
    let up = play.swarm.hear_until(PATIENCE, |swarm| swarm.all_listed() && swarm.missing(&newest) == 0)?;
    if !up {
        let missing = play.swarm.missing(&newest);
        return Err(CapacityError::run(
            place,
            format!("{missing} balancers have no configuration at the start"),
        ));
    }

    // Lists and documents of the start are behind them.
    play.swarm.hear(play.size.rest / 2)?;
    let rest_from = play.mark()?;
    play.swarm.hear(play.size.rest)?;
    let rest_to = play.mark()?;
    let Played { changes, cut_ns, return_from, return_to } =
        play_changes(&mut play, scenario, &target, schedule(plan, seed, size, &services))?;
    for change in &changes {
        newest.insert(change.scope.clone(), change.version);
    }
    play.swarm.hear_until(PATIENCE, |swarm| swarm.missing(&newest) == 0)?;
    let missing = play.swarm.missing(&newest);
    let end = play.mark()?;

    // Each watch of the list asks anew from where it stands.
    let (asked, index) = (play.list.asked().len(), play.list.index());
    play.list.close_all();
    let again = |list: &ListServer| list.asked().len().saturating_sub(asked);
    let list = &play.list;
    play.swarm.hear_until(PATIENCE, |_| again(list) >= size.balancers)?;
    let stood = play.list.asked();
    let elsewhere = size.balancers.abs_diff(stood[asked..].iter().filter(|&&since| since == index).count());

    let (mut times, mut from_sending) = (Times::new()?, Times::new()?);
    for change in &changes {
        for (balancer, at_ns) in play.swarm.times(change) {
            let Some(at_ns) = at_ns else { continue };
            let zone = dealt[balancer].1;
            let behind = plane::region_of(plan, zone) == target.far_region;
            // What was published within the cut could be told from its end on.
            let held = cut_ns.filter(|cut| behind && cut.contains(&change.acknowledged_ns));
            let floor = held.map_or(0, |cut| cut.end);
            times.add(at_ns.saturating_sub(change.acknowledged_ns.max(floor)));
            from_sending.add(at_ns.saturating_sub(change.sent_ns.max(floor)));
        }
    }
    let largest = end.control.iter().zip(&machines).map(|(one, machine)| (one.1, machine.role)).max();
    let (largest_kb, role) = largest.unwrap_or((0, Role::Origin));
    let cost = |from, to| Cost::between(from, to, size.balancers, &machines);
    Ok(Outcome {
        scenario,
        seed,
        balancers: size.balancers,
        changes: changes.len(),
        times,
        from_sending,
        back: play.swarm.back,
        missing,
        elsewhere,
        rest: cost(&rest_from, &rest_to),
        play: cost(&rest_to, &end),
        back_again: cost(&return_from, &return_to),
        most_in_window: return_to.most_in_window,
        balancer_mb: end.balancers.resident_kb as f64 / 1024.0 / size.balancers as f64,
        control_mb: (largest_kb as f64 / 1024.0, role),
    })
}

/// From its begin to its end, on [`machine::now_ns`]'s clock.
#[derive(Clone, Copy)]
struct Cut {
    begin: u64,
    end: u64,
}

impl Cut {
    fn contains(&self, at_ns: &u64) -> bool {
        (self.begin..self.end).contains(at_ns)
    }
}

struct Played {
    changes: Vec<Change>,
    cut_ns: Option<Cut>,
    return_from: Mark,
    return_to: Mark,
}

/// For how long the return is looked at.
fn return_window(seconds: f64) -> Duration {
    Duration::from_secs_f64((seconds * 0.35).min(WINDOW_S as f64))
}

fn play_changes(
    play: &mut Play,
    scenario: Scenario,
    target: &Target,
    planned: Vec<Planned>,
) -> Result<Played, CapacityError> {
    let count = planned.len();
    let published = publish_all(play.plane.address(0), planned);
    let start = Instant::now();
    let after = |part: f64| Duration::from_secs_f64(play.size.seconds * part);
    // The fault comes after a quarter; a cut holds from there for two fifths.
    let (fault, return_at) = (after(0.25), if scenario == Scenario::Cut { after(0.65) } else { after(0.25) });
    let window = return_window(play.size.seconds);
    let list_every = Duration::from_secs(2);
    let (mut list_at, mut done) = (Duration::ZERO, false);
    let (mut begin, mut cut_ns) = (0, None);
    let (mut return_from, mut return_to) = (None, None);
    let mut changes = Vec::new();
    while changes.len() < count || return_to.is_none() {
        loop {
            match published.try_recv() {
                Ok(change) => changes.push(change?),
                Err(TryRecvError::Empty) => break,
                Err(TryRecvError::Disconnected) if changes.len() < count => {
                    return Err(CapacityError::run(&play.place, "the publisher has ended early"));
                }
                Err(TryRecvError::Disconnected) => break,
            }
        }
        let now = start.elapsed();
        if now >= list_at {
            play.list.change(1);
            list_at += list_every;
        }
        if now >= fault && !done {
            done = true;
            begin = machine::now_ns();
            if scenario != Scenario::Cut {
                return_from = Some(play.mark()?);
            }
            match scenario {
                Scenario::None => {}
                Scenario::Relay => {
                    let first = play.plane.machines().position(|machine| machine.zone == Some(target.zone));
                    if let Some(place) = first {
                        play.plane.kill(place);
                    }
                }
                Scenario::RegionRelay => {
                    play.kill(|machine| machine.role == Role::Region && machine.region == target.region)
                }
                Scenario::Zone => play.kill(|machine| machine.zone == Some(target.zone)),
                Scenario::Cut => play.plane.cut(Some(target.far_region)),
                Scenario::Reconnect => {
                    play.kill(|_| true);
                    play.list.close_all();
                    for place in 0..play.plane.machines().count() {
                        play.plane.launch(place)?;
                    }
                }
            }
        }
        if scenario == Scenario::Cut && now >= return_at && cut_ns.is_none() {
            return_from = Some(play.mark()?);
            cut_ns = Some(Cut { begin, end: machine::now_ns() });
            play.plane.cut(None);
        }
        if return_to.is_none() && now >= return_at + window {
            return_to = Some(play.mark()?);
        }
        play.swarm.hear(Duration::from_millis(10))?;
    }
    let missing = || CapacityError::run(&play.place, "the play ended before its fault");
    Ok(Played {
        changes,
        cut_ns,
        return_from: return_from.ok_or_else(missing)?,
        return_to: return_to.ok_or_else(missing)?,
    })
}
