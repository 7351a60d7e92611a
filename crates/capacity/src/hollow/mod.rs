//! The hollow fleet: the real decision cores of all balancers in one process, in virtual time.
//!
//! Each upstream of the plan has one `balancer_policy::Balancer` for each service that it calls, and each front one for each
//! service that clients come to. All else is modelled: servers, queues, cold starts, links, lists, clients. The same
//! seed gives the same run, to the byte.

use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Instant;

use clap::{Args, ValueEnum};

use crate::CapacityError;
use crate::plan::{Plan, Reading};
use crate::slope::{self, Results};

pub mod scenario;
pub mod topology;
pub mod wheel;
pub mod world;

use scenario::{CALM_S, Scenario};
use topology::Topology;
use world::{Depth, Minds, Play, Report, Second, Step, World};

/// Upstreams of a quick version.
const SMALL: usize = 120;
/// Part of the usual seconds that the front's reading is played for, as it has twelve times the calls.
const FRONT_PART: f64 = 0.2;

/// How "calls a second" is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum ReadAs {
    /// Calls at the front, each then as many as a chain is deep: played for fewer seconds.
    Front,
    /// Calls over all hops, at their full rate.
    Hops,
}

impl From<ReadAs> for Reading {
    fn from(read: ReadAs) -> Self {
        match read {
            ReadAs::Front => Self::Front,
            ReadAs::Hops => Self::Hops,
        }
    }
}

/// The hollow fleet: the real decision cores of all balancers in one process, in virtual time.
#[derive(Debug, Clone, Args)]
pub struct Arguments {
    /// What happens to the fleet; each in turn if not told.
    #[arg(long, value_enum)]
    pub scenario: Option<Scenario>,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Seeds that are played, one after another from the first.
    #[arg(long, default_value_t = 1)]
    pub seeds: u64,
    /// How "calls a second" is read.
    #[arg(long, value_enum, default_value = "hops")]
    pub reading: ReadAs,
    /// Upstreams, with services and calls in proportion; those of the plan if not told.
    #[arg(long)]
    pub upstreams: Option<usize>,
    /// Virtual seconds in which clients come; each scenario has its own.
    #[arg(long)]
    pub seconds: Option<f64>,
    /// MB that a run may use.
    #[arg(long, default_value_t = 8192)]
    pub memory_mb: u64,
    /// Runs at a time, each in a process of its own.
    #[arg(long, default_value_t = 1)]
    pub jobs: usize,
    /// A quick version: a small fleet.
    #[arg(long)]
    pub small: bool,
    /// Where the folder `results` is.
    #[arg(long, default_value = "crates/capacity")]
    pub out: PathBuf,
    /// Plays one run and prints its row.
    #[arg(long, hide = true)]
    pub row: bool,
}

/// One run: a scenario with a seed.
#[derive(Debug, Clone)]
pub struct Run {
    /// What happens.
    pub scenario: Scenario,
    /// How the rate is read.
    pub reading: Reading,
    /// Seed of all draws.
    pub seed: u64,
    /// Virtual seconds in which clients come.
    pub seconds: f64,
    /// MB that the process may use.
    pub memory_mb: u64,
}

/// What a run gave, with what it was played on.
#[derive(Debug, Clone)]
pub struct Played {
    /// What it gave.
    pub report: Report,
    /// From when to when the trouble lasted, in seconds.
    pub trouble: (f64, f64),
    /// Upstreams.
    pub upstreams: usize,
    /// Calls a second of the busiest upstream over those of the mean one, as drawn.
    pub busiest_over_mean: f64,
    /// The part of the calls that find an upstream at each step in the trouble, if some part of the fleet is lost whole.
    pub reachable: Option<f64>,
}

/// The plan with so many upstreams, and all that grows with them in proportion.
///
/// # Errors
/// The number is too small for the chains of the plan, or too large.
pub fn scaled(plan: &Plan, upstreams: usize) -> Result<Plan, CapacityError> {
    let least = plan.graph.depth.value * 2;
    if !(least..=100_000).contains(&upstreams) {
        return Err(CapacityError::Argument { name: "upstreams", expected: format!("{least} to 100000") });
    }
    let part = upstreams as f64 / plan.fleet.upstreams.value as f64;
    let mut plan = plan.clone();
    let services = (plan.fleet.services.value as f64 * part).round() as usize;
    plan.fleet.services.value = services.clamp(plan.graph.depth.value, upstreams);
    plan.fleet.upstreams.value = upstreams;
    plan.traffic.calls_per_s.value *= part;
    plan.failures.machines_per_day.value *= part;
    plan.failures.replaced_per_day.value *= part;
    Ok(plan)
}

/// Plays one run.
///
/// # Errors
/// The seconds are out of range, the plan's figures make no settings, or the memory bound is passed.
pub fn play(plan: &Plan, run: &Run) -> Result<Played, CapacityError> {
    let Run { scenario, reading, seed, seconds, memory_mb } = *run;
    if !(5.0..=3600.0).contains(&seconds) {
        return Err(CapacityError::Argument { name: "seconds", expected: "5 to 3600".to_owned() });
    }
    if plan.fleet.services.value < plan.graph.depth.value {
        let expected = "as many services as graph.depth at least, one for each depth".to_owned();
        return Err(CapacityError::Plan(vec![format!("fleet.services: {expected}")]));
    }
    let topology = Topology::draw(plan, reading, seed);
    let (script, trouble) = scenario.script(plan, &topology, seconds, seed);
    let reachable = script.iter().find_map(|&(_, step)| match step {
        Step::LoseZone(lost) => Some(topology.reachable(|zone| zone != lost)),
        Step::Cut(region) => {
            // Clients on each side have what is on their side.
            let inside = |zone: usize| topology.region_of[zone] == region;
            let mut before = 0.0;
            let here: f64 = (0..).zip(&topology.clients).fold(0.0, |sum, (zone, until)| {
                let part = until - std::mem::replace(&mut before, *until);
                if inside(zone) { sum + part } else { sum }
            });
            Some(here * topology.reachable(inside) + (1.0 - here) * topology.reachable(|zone| !inside(zone)))
        }
        _ => None,
    });
    let play = Play {
        name: scenario.name().to_owned(),
        seconds,
        seed,
        memory_mb,
        script,
        cold: scenario == Scenario::Cold,
        trouble: None,
        repeats: plan.traffic.client_repeats.value,
        effects: None,
    };
    let report = World::new(plan, &topology, &play)?.run()?;
    let upstreams = plan.fleet.upstreams.value;
    Ok(Played { report, trouble, upstreams, busiest_over_mean: topology.busiest_over_mean(), reachable })
}

/// Does it.
///
/// # Errors
/// With the place where it went wrong.
pub fn run(arguments: &Arguments, plan: &Plan) -> Result<(), CapacityError> {
    let upstreams = arguments.upstreams.or(arguments.small.then_some(SMALL));
    let scaled_plan = upstreams.map(|upstreams| scaled(plan, upstreams)).transpose()?;
    let plan = scaled_plan.as_ref().unwrap_or(plan);
    if arguments.seeds == 0 {
        return Err(CapacityError::Argument { name: "seeds", expected: "1 at least".to_owned() });
    }
    let seeds = || arguments.seed..arguments.seed.saturating_add(arguments.seeds);
    let runs: Vec<Run> = arguments
        .scenario
        .map_or(Scenario::ALL.to_vec(), |scenario| vec![scenario])
        .into_iter()
        .flat_map(|scenario| seeds().map(move |seed| (scenario, seed)))
        .map(|(scenario, seed)| {
            let part = if arguments.reading == ReadAs::Front { FRONT_PART } else { 1.0 };
            let usual = if arguments.small { scenario.seconds() / 2.0 } else { scenario.seconds() };
            let seconds = arguments.seconds.unwrap_or(usual * part);
            Run { scenario, reading: arguments.reading.into(), seed, seconds, memory_mb: arguments.memory_mb }
        })
        .collect();
    if arguments.row {
        let [run] = &runs[..] else {
            return Err(CapacityError::Argument {
                name: "row",
                expected: "one scenario and seed".to_owned(),
            });
        };
        let began = Instant::now();
        let played = play(plan, run)?;
        let row = row(run, &played, began.elapsed().as_secs_f64());
        let text = serde_json::to_string(&row).map_err(|cause| CapacityError::run("hollow", cause))?;
        println!("{text}");
        return Ok(());
    }
    let mut rows = Vec::new();
    let mut waiting = runs.iter();
    let mut out: Vec<(&Run, Child)> = Vec::new();
    // Each in a process of its own, so that its memory is its own.
    loop {
        while out.len() < arguments.jobs.max(1) {
            let Some(run) = waiting.next() else { break };
            out.push((run, start(arguments, run, upstreams)?));
        }
        if out.is_empty() {
            break;
        }
        let (run, child) = out.remove(0);
        let place = format!("hollow fleet, {} with seed {}", run.scenario.name(), run.seed);
        let done = child.wait_with_output().map_err(|cause| CapacityError::run(&place, cause))?;
        if !done.status.success() {
            for (_, mut child) in out {
                // The others would play on for nobody.
                let _ = child.kill();
                let _ = child.wait();
            }
            return Err(CapacityError::run(place, String::from_utf8_lossy(&done.stderr).trim()));
        }
        let row: Vec<String> =
            serde_json::from_slice(&done.stdout).map_err(|cause| CapacityError::run(&place, cause))?;
        for (column, cell) in COLUMNS.iter().zip(&row) {
            println!("{column}: {cell}");
        }
        println!();
        rows.push(row);
    }
    let folder = arguments.out.join("results");
    std::fs::create_dir_all(&folder).map_err(|cause| CapacityError::file(&folder, cause))?;
    // Runs of other scenarios, seeds and readings stay, as a full table takes longer than one sitting at the machine.
    let mut all = Results::read(&folder, "hollow").map_or_else(|_| Vec::new(), |before| before.rows);
    let key = |row: &Vec<String>| row.iter().take(KEY).cloned().collect::<Vec<String>>();
    all.retain(|old| old.len() == COLUMNS.len() && !rows.iter().any(|new| key(new) == key(old)));
    all.extend(rows);
    let order = |row: &Vec<String>| {
        let scenario = Scenario::ALL
            .iter()
            .position(|scenario| Some(scenario.name()) == row.first().map(|s| s.as_str()));
        (scenario, row.get(1).cloned(), row.get(3).cloned(), row.get(2).cloned())
    };
    all.sort_by_key(order);
    let small = if arguments.small { " --small" } else { "" };
    Results {
        name: "hollow".to_owned(),
        what: "scenarios of the fleet in virtual time, on the real decision cores".to_owned(),
        command: format!(
            "target/release/capacity hollow{small} --scenario SCENARIO --reading READING --seed SEED --jobs 3"
        ),
        commit: slope::commit(),
        columns: COLUMNS.map(str::to_owned).to_vec(),
        rows: all,
        note: NOTE.to_owned(),
    }
    .write(&folder)
}

/// Starts a run in a process of its own.
fn start(arguments: &Arguments, run: &Run, upstreams: Option<usize>) -> Result<Child, CapacityError> {
    let place = format!("hollow fleet, {} with seed {}", run.scenario.name(), run.seed);
    let program = std::env::current_exe().map_err(|cause| CapacityError::run(&place, cause))?;
    // The plan may be named on the command line, which the child must be told too.
    let named: Vec<String> = std::env::args().skip_while(|word| word != "--plan").take(2).collect();
    let reading = if arguments.reading == ReadAs::Front { "front" } else { "hops" };
    let mut command = Command::new(program);
    command
        .args(named)
        .args(["hollow", "--row", "--scenario", run.scenario.name(), "--reading", reading])
        .args(["--seed", &run.seed.to_string(), "--seconds", &run.seconds.to_string()])
        .args(["--memory-mb", &run.memory_mb.to_string()])
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    if let Some(upstreams) = upstreams {
        command.args(["--upstreams", &upstreams.to_string()]);
    }
    command.spawn().map_err(|cause| CapacityError::run(place, cause))
}

// --- The table ---

/// Columns that tell one run from another.
const KEY: usize = 4;

/// The heads of the table.
const COLUMNS: [&str; 33] = [
    "scenario",
    "calls a second read as",
    "upstreams",
    "seed",
    "virtual s",
    "balancer cores",
    "busiest upstream / mean",
    "calls at the front",
    "attempts",
    "served in time %",
    "served late %",
    "refused %",
    "failed %",
    "served in time before / in / after the trouble %",
    "worst second: served in time %",
    "with an upstream at each step in the trouble %",
    "seconds with under half served in time",
    "s after the trouble until 99 % of what was served before",
    "median ms",
    "99 in 100 ms",
    "attempts a call by depth",
    "refused in 10000 calls by depth",
    "failed in 10000 calls by depth",
    "attempts ended good / error / turned away / timed out / not connected / broken",
    "crossed zones / regions %",
    "cold starts",
    "cold pushed over",
    "limits cut (most of the balancers, at s; first to last s)",
    "upstreams set aside (balancers that did)",
    "met a crowd (balancers)",
    "list events",
    "faults",
    "wall s / MB / events / digest",
];

const NOTE: &str = "Virtual time: the decisions are the real ones, the servers, links, lists and clients are modelled. \
    A chain goes on with the same chance at each depth, so that the mean is that of the plan (hops) or the whole depth \
    (front). Services have cores for their calls at 60% use after the loss of their largest zone. Cold: 0.3 of the \
    capacity, all of it after 8 s; over 2.8 times what it can do for 1.6 s, as N + 2 root of N + 2 over all balancers, it \
    falls over. Times are shortened: an ordinary day's 7 failures and 420 replacements come in about 35 s, a failed \
    machine is back after 6 s, a zone after 35% of the run, a region's cut takes 30% of it and not 300 s. Lists come 0.2 \
    to 0.5 s late, a silent machine leaves them after 1.5 s. Configuration does not change in these runs. The first 3 s \
    are not counted but for `cold`. With an upstream at each step: the most that any routing could serve. Limits cut, set aside and crowd are read off the operator's vitals each second; set \
    aside only where no upstream of the list is cold, as both lower the same figure. Where runs were played side by side \
    the wall time is longer than alone.";

fn percent(part: u64, all: u64) -> String {
    if all == 0 { "-".to_owned() } else { format!("{:.2}", 100.0 * part as f64 / all as f64) }
}

/// The sum over the seconds from one time until another.
#[must_use]
pub fn sum(seconds: &[Second], from: f64, until: f64) -> Second {
    let mut all = Second::default();
    for (_, second) in
        (0..).zip(seconds).filter(|&(at, _)| f64::from(at) + 0.5 >= from && f64::from(at) + 0.5 < until)
    {
        all.calls += second.calls;
        all.served += second.served;
        all.late += second.late;
        all.refused += second.refused;
        all.failed += second.failed;
    }
    all
}

fn row(run: &Run, played: &Played, wall_s: f64) -> Vec<String> {
    let Played { report, trouble, upstreams, busiest_over_mean, reachable } = played;
    let from = if run.scenario == Scenario::Cold { 0.0 } else { CALM_S };
    let all = sum(&report.seconds, from, f64::MAX);
    let phases = [(from, trouble.0), *trouble, (trouble.1, f64::MAX)].map(|(from, until)| {
        let Second { calls, served, .. } = sum(&report.seconds, from, until);
        percent(served, calls)
    });
    let share = |second: &Second| second.served as f64 / second.calls as f64;
    let worst = (0..)
        .zip(&report.seconds)
        .filter(|&(at, second): &(u32, _)| f64::from(at) >= from && second.calls > 0)
        .min_by(|a, b| share(a.1).total_cmp(&share(b.1)));
    let worst = worst
        .map_or("-".to_owned(), |(at, second)| format!("{} at {at} s", percent(second.served, second.calls)));
    let under_half =
        report.seconds.iter().filter(|second| second.calls > 0 && 2 * second.served < second.calls).count();
    // From the first second on after which none falls under it again.
    let calm = share(&sum(&report.seconds, from, trouble.0));
    let wanted = 0.99 * if calm.is_nan() { 1.0 } else { calm };
    let back = || {
        let low = |(_, second): &(u32, &Second)| second.calls > 0 && share(second) < wanted;
        let last =
            (0..).zip(&report.seconds).filter(low).map(|(at, _)| f64::from(at) + 1.0).last().unwrap_or(0.0);
        let over = last >= report.seconds.len() as f64;
        if over { "not in the run".to_owned() } else { format!("{:.0}", (last - trouble.1).max(0.0)) }
    };
    let back = if trouble.1 < run.seconds { back() } else { "-".to_owned() };
    let by_depth = |figure: &dyn Fn(&Depth) -> String| {
        report.depths.iter().filter(|depth| depth.calls > 0).map(figure).collect::<Vec<_>>().join(" ")
    };
    let each = |part: u64, calls: u64, times: f64| part as f64 * times / calls.max(1) as f64;
    let attempts: u64 = report.depths.iter().map(|depth| depth.attempts).sum();
    let mut ends = [0; 6];
    for depth in &report.depths {
        for (sum, count) in ends.iter_mut().zip(depth.ends) {
            *sum += count;
        }
    }
    let minds = |figure: &dyn Fn(&Minds) -> usize| {
        let seen = || report.minds.iter().filter(|minds| minds.at_s as f64 >= from && figure(minds) > 0);
        let Some(most) = seen().max_by_key(|minds| (figure(minds), u64::MAX - minds.at_s)) else {
            return "none".to_owned();
        };
        let at = |minds: Option<&Minds>| minds.map_or(0, |minds| minds.at_s);
        format!(
            "{} of {} at {} s; {} to {} s",
            figure(most),
            most.cores,
            most.at_s,
            at(seen().next()),
            at(seen().next_back())
        )
    };
    let world::Faults { unanswered, doubled, run_twice, after_grace } = report.faults;
    let faults = if unanswered + doubled + run_twice + after_grace == 0 {
        "none".to_owned()
    } else {
        format!(
            "{unanswered} unanswered, {doubled} answered twice, {run_twice} run twice, {after_grace} after the grace"
        )
    };
    vec![
        run.scenario.name().to_owned(),
        if run.reading == Reading::Front { "front" } else { "hops" }.to_owned(),
        upstreams.to_string(),
        run.seed.to_string(),
        format!("{}", run.seconds),
        report.cores.to_string(),
        format!("{busiest_over_mean:.1}"),
        report.seconds.iter().map(|second| second.calls).sum::<u64>().to_string(),
        attempts.to_string(),
        percent(all.served, all.calls),
        percent(all.late, all.calls),
        percent(all.refused, all.calls),
        percent(all.failed, all.calls),
        phases.join(" / "),
        worst,
        reachable.map_or("-".to_owned(), |part| format!("{:.2}", part * 100.0)),
        under_half.to_string(),
        back,
        format!("{:.0}", report.time(0.5) * 1e3),
        format!("{:.0}", report.time(0.99) * 1e3),
        by_depth(&|depth| format!("{:.3}", each(depth.attempts, depth.calls, 1.0))),
        by_depth(&|depth| format!("{:.1}", each(depth.refused, depth.calls, 1e4))),
        by_depth(&|depth| format!("{:.1}", each(depth.failed, depth.calls, 1e4))),
        ends.map(|count| count.to_string()).join(" / "),
        format!("{} / {}", percent(report.crossed.0, attempts), percent(report.crossed.1, attempts)),
        report.cold_starts.to_string(),
        report.pushed_over.to_string(),
        minds(&|minds| minds.limited),
        minds(&|minds| minds.aside),
        minds(&|minds| minds.crowded),
        report.lists.to_string(),
        faults,
        format!("{wall_s:.1} / {} / {} / {:016x}", report.memory_mb, report.events, report.digest),
    ]
}
