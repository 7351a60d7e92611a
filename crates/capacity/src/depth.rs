//! The `depth` command: attempts, refusals and remaining deadline by the depth of the call graph, simulated on the
//! hollow fleet (balancers without real traffic).
//!
//! Simulates chains of services with a fault in one of them, and reports how many attempts reach the deepest service
//! for each request at the front, and how many requests are refused or fail. The remaining deadline at the deepest
//! service is a slope from chains of healthy services; the results table has the remaining deadline at the faulty
//! service.

use std::path::{Path, PathBuf};

use clap::Args;

use crate::CapacityError;
use crate::decisions::fit_line;
use crate::hollow::simulation::{
    FaultyService, FleetSimulation, IdempotencyFractions, Report, RunParameters, ServiceFault,
};
use crate::hollow::topology::Topology;
use crate::plan::Plan;
use crate::slope::{self, Point, Results, Slope};

/// Simulates chains of services and measures attempts, refusals and remaining deadline by the depth of the chain.
#[derive(Debug, Clone, Args)]
pub struct Arguments {
    /// Simulate chains of fewer depths, for a shorter time and with one seed.
    #[arg(long)]
    pub small: bool,
    /// Seed of the random draws of the first run; each further run uses the next seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Folder that contains the folders `slopes` and `results`.
    #[arg(long, default_value = "crates/capacity")]
    pub out: PathBuf,
}

/// Number of upstreams of each service in a simulated chain.
const UPSTREAMS_PER_SERVICE: usize = 8;
/// Requests per second that clients send to the front of a simulated chain.
const REQUESTS_PER_S: f64 = 400.0;
/// Simulated duration of a run, in seconds.
const RUN_S: f64 = 20.0;
/// Simulated duration of a quick (`--small`) run, in seconds.
const SMALL_RUN_S: f64 = 6.0;
/// Memory limit of the process during a simulated run, in MB.
const MEMORY_MB: u64 = 4096;

/// Faults of a service that the results table has rows for.
const FAULTS: [ServiceFault; 3] = [ServiceFault::Failing, ServiceFault::Silent, ServiceFault::Halved];

/// Column headings of the results table of the `depth` command.
const COLUMNS: [&str; 10] = [
    "trouble",
    "of the service at depth",
    "repeats by clients at most",
    "attempts there for a call at the front",
    "attempts at the deepest service",
    "attempts at all depths",
    "calls refused or failed at all depths",
    "of those at the front",
    "left of the deadline there, ms",
    "served in time %",
];

/// A simulated chain of services, with a fault in at most one of them.
#[derive(Debug, Clone, Copy)]
pub struct Chain {
    /// Number of services in the chain.
    pub depth: usize,
    /// Position of the faulty service, counted from 1 at the front, and its fault; `None` if all services are healthy.
    pub fault: Option<(usize, ServiceFault)>,
    /// Largest number of retries by a client for one request.
    pub max_client_retries: u32,
    /// Whether all requests are idempotent; otherwise the usual fractions of the hollow fleet apply.
    pub all_idempotent: bool,
    /// Seed of all random draws of the run.
    pub seed: u64,
    /// Duration of the run, in simulated seconds.
    pub seconds: f64,
}

/// Figures of one simulated run of a chain of services.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Figures {
    /// Attempts sent to the service at the examined depth, per request at the front.
    pub attempts: f64,
    /// Requests that balancers of all depths ended as refused or failed, per request at the front.
    pub refusals: f64,
    /// Requests that the balancers before the first service ended as refused or failed, per request at the front.
    pub refusals_at_front: f64,
    /// Mean time until the request's deadline when a request arrives at the balancers before the deepest service that
    /// requests reach, in ms.
    pub deadline_left_ms: f64,
    /// Fraction of the requests at the front that succeeded within the latency objective, 0 to 1.
    pub served: f64,
    /// Attempts sent at all depths together, per request at the front.
    pub all_attempts: f64,
}

impl Chain {
    /// Simulates the chain.
    ///
    /// # Errors
    /// The plan's figures give no valid settings, or the memory limit is exceeded.
    pub fn simulate(&self, plan: &Plan) -> Result<Report, CapacityError> {
        let mut plan = plan.clone();
        plan.graph.depth.value = self.depth;
        // A single tenant, so that the figures show the course of a request and not the quotas of many tenants.
        plan.traffic.tenants.value = 1;
        let topology = Topology::chain(&plan, self.depth, UPSTREAMS_PER_SERVICE, REQUESTS_PER_S);
        let parameters = RunParameters {
            name: format!("a chain of {}", self.depth),
            seconds: self.seconds,
            seed: self.seed,
            memory_mb: MEMORY_MB,
            script: Vec::new(),
            starts_warming_up: false,
            fault: self.fault.map(|(depth, fault)| FaultyService { service: depth - 1, fault }),
            max_client_retries: self.max_client_retries,
            idempotency_fractions: self
                .all_idempotent
                .then_some(IdempotencyFractions { free: 1.0, keyed: 0.0 }),
        };
        FleetSimulation::new(&plan, &topology, &parameters)?.run()
    }

    /// Figures of a report, with the attempts of the service at the depth `at`, counted from 1 at the front.
    #[must_use]
    pub fn figures(&self, report: &Report, at: usize) -> Figures {
        let calls: u64 = report.seconds.iter().map(|second| second.calls).sum();
        let served: u64 = report.seconds.iter().map(|second| second.served).sum();
        let per_front_request = |count: u64| count as f64 / calls.max(1) as f64;
        let unsuccessful: Vec<u64> = report.depths.iter().map(|depth| depth.refused + depth.failed).collect();
        let deepest = report.depths.iter().rev().find(|depth| depth.calls > 0);
        Figures {
            attempts: per_front_request(report.depths[at - 1].attempts),
            refusals: per_front_request(unsuccessful.iter().sum()),
            refusals_at_front: per_front_request(unsuccessful[0]),
            deadline_left_ms: deepest.map_or(0.0, |depth| depth.left_s / depth.calls as f64 * 1e3),
            served: per_front_request(served),
            all_attempts: per_front_request(report.depths.iter().map(|depth| depth.attempts).sum()),
        }
    }
}

/// Runs the `depth` command: simulates the chains and writes the slopes and the results table.
///
/// # Errors
/// A run fails, or a file cannot be written.
pub fn run(arguments: &Arguments, plan: &Plan) -> Result<(), CapacityError> {
    let session = Session::new(arguments, plan);
    session.write_slopes()?;
    session.write_table()
}

/// State of one run of the `depth` command: what is simulated, and the texts that its output files share.
struct Session<'a> {
    arguments: &'a Arguments,
    plan: &'a Plan,
    /// Simulated duration of each run, in seconds.
    seconds: f64,
    /// Number of runs for each point of a slope, each with its own seed.
    runs: u64,
    /// Lengths of the chains for the slopes, and positions of the faulty service for the table.
    depths: Vec<usize>,
    /// Number of services in the longest chain.
    longest_chain: usize,
    /// Largest number of retries by a client for one request, from the plan.
    max_client_retries: u32,
    /// Description of the simulated chains for the notes of the output files.
    description: String,
    /// Command line that repeats the measurement.
    command: String,
}

/// Points of all slopes of the `depth` command, with the attempts without client retries for a note.
#[derive(Default)]
struct Points {
    attempts: Vec<Point>,
    /// Requests that were refused or failed, at all depths together, per request at the front.
    refusals: Vec<Point>,
    deadline_left_ms: Vec<Point>,
    /// Attempts at the deepest service if clients do not retry but balancers still do, one text `depth: attempts` for
    /// each depth.
    attempts_without_retries: Vec<String>,
}

/// Texts of a slope: its name, the quantity that it shows, the unit of that quantity, and the note.
struct SlopeText {
    name: &'static str,
    what: &'static str,
    unit: &'static str,
    note: String,
}

impl<'a> Session<'a> {
    fn new(arguments: &'a Arguments, plan: &'a Plan) -> Self {
        let small = arguments.small;
        let seconds = if small { SMALL_RUN_S } else { RUN_S };
        let longest_chain = plan.graph.depth.value;
        let depths = if small {
            [1, 2, 6, longest_chain].into_iter().filter(|&depth| depth <= longest_chain).collect()
        } else {
            (1..=longest_chain).collect()
        };
        let description = format!(
            "A chain of services of {UPSTREAMS_PER_SERVICE} upstreams each, {REQUESTS_PER_S} calls a second at the front, {seconds} virtual s, each balancer with up to {} attempts",
            plan.traffic.attempts.value
        );
        let command = format!(
            "target/release/capacity depth{} --seed {}",
            if small { " --small" } else { "" },
            arguments.seed
        );
        Self {
            arguments,
            plan,
            seconds,
            runs: if small { 1 } else { 3 },
            depths,
            longest_chain,
            max_client_retries: plan.traffic.client_repeats.value,
            description,
            command,
        }
    }

    /// A chain of `depth` services without a fault, in which all requests are idempotent.
    fn healthy(&self, depth: usize, run_index: u64) -> Chain {
        Chain {
            depth,
            fault: None,
            max_client_retries: self.max_client_retries,
            all_idempotent: true,
            seed: self.arguments.seed + run_index,
            seconds: self.seconds,
        }
    }

    /// A chain of `depth` services whose last service fails each request at once; all requests are idempotent.
    fn failing(&self, depth: usize, run_index: u64) -> Chain {
        Chain { fault: Some((depth, ServiceFault::Failing)), ..self.healthy(depth, run_index) }
    }

    /// Creates the folder `name` below the output folder if it is missing, and returns its path.
    fn folder(&self, name: &str) -> Result<PathBuf, CapacityError> {
        let folder = self.arguments.out.join(name);
        std::fs::create_dir_all(&folder).map_err(|cause| CapacityError::file(&folder, cause))?;
        Ok(folder)
    }

    /// Simulates chains of each depth and returns the points of the slopes.
    fn points(&self) -> Result<Points, CapacityError> {
        let mut points = Points::default();
        for &depth in &self.depths {
            let (mut attempts, mut refusals, mut deadline_left_ms) = (Vec::new(), Vec::new(), Vec::new());
            for run_index in 0..self.runs {
                let failing = self.failing(depth, run_index);
                let figures = failing.figures(&failing.simulate(self.plan)?, depth);
                let healthy = self.healthy(depth, run_index);
                attempts.push(figures.attempts);
                refusals.push(figures.refusals);
                deadline_left_ms.push(healthy.figures(&healthy.simulate(self.plan)?, depth).deadline_left_ms);
            }
            // Only the clients do not retry; the balancers still do.
            let no_retries = Chain { max_client_retries: 0, ..self.failing(depth, 0) };
            let no_retries = no_retries.figures(&no_retries.simulate(self.plan)?, depth);
            points.attempts_without_retries.push(format!("{depth}: {:.2}", no_retries.attempts));
            let x = depth as f64;
            points.attempts.extend(Point::of(x, attempts));
            points.refusals.extend(Point::of(x, refusals));
            points.deadline_left_ms.extend(Point::of(x, deadline_left_ms));
        }
        Ok(points)
    }

    fn write_slopes(&self) -> Result<(), CapacityError> {
        let Points { attempts, refusals, deadline_left_ms, attempts_without_retries } = self.points()?;
        let [of_attempts, of_refusals, of_left] = self.slope_texts(&attempts_without_retries);
        let folder = self.folder("slopes")?;
        self.write_slope(&folder, of_attempts, attempts)?;
        self.write_slope(&folder, of_refusals, refusals)?;
        self.write_slope(&folder, of_left, deadline_left_ms)
    }

    /// Texts of the slopes of attempts, refusals and remaining deadline. `attempts_without_retries` has the attempts
    /// without client retries by depth.
    fn slope_texts(&self, attempts_without_retries: &[String]) -> [SlopeText; 3] {
        let Self { description, max_client_retries: max_retries, plan, .. } = self;
        let by_depth = attempts_without_retries;
        let failing = "its last service fails each call at once, all calls may be repeated freely";
        [
            SlopeText {
                name: "depth.attempts_by_depth",
                what: "attempts at the deepest service for one call at the front, which fails all of them",
                unit: "attempts",
                note: format!(
                    "{description}; {failing}, clients come again up to {max_retries} times (a new call at the front each time). Where clients don't, by depth: {}.",
                    by_depth.join(", ")
                ),
            },
            SlopeText {
                name: "depth.refusals_by_depth",
                what: "calls that balancers of all depths end as refused or failed, for one call at the front, with the deepest service failing",
                unit: "calls",
                note: format!("{description}; {failing}, clients come again up to {max_retries} times."),
            },
            SlopeText {
                name: "depth.deadline_ms_by_depth",
                what: "time that is left to a call when it comes to the balancer before the deepest service",
                unit: "ms",
                note: format!(
                    "{description}; nothing is in trouble, all in one zone; clients wait {} s.",
                    plan.traffic.deadline_s.value
                ),
            },
        ]
    }

    fn write_slope(&self, folder: &Path, text: SlopeText, points: Vec<Point>) -> Result<(), CapacityError> {
        let SlopeText { name, what, unit, mut note } = text;
        let fit = fit_line(&points, &mut note);
        for point in &points {
            println!("{name} {}: {:.3} {unit} ({:.3} to {:.3})", point.x, point.y, point.low, point.high);
        }
        Slope {
            name: name.to_owned(),
            what: what.to_owned(),
            x_unit: "services in the chain".to_owned(),
            y_unit: unit.to_owned(),
            command: self.command.clone(),
            commit: slope::commit(),
            plays: self.runs as usize,
            points,
            fit,
            note,
        }
        .write(folder)
    }

    /// Simulates the longest chain with this fault in its service at `depth`, and returns its row of the results table.
    fn row(
        &self,
        fault: ServiceFault,
        depth: usize,
        max_client_retries: u32,
    ) -> Result<Vec<String>, CapacityError> {
        let longest_chain = self.longest_chain;
        let fault_at = Some((depth, fault));
        let chain = Chain {
            fault: fault_at,
            max_client_retries,
            all_idempotent: false,
            ..self.healthy(longest_chain, 0)
        };
        let report = chain.simulate(self.plan)?;
        let figures = chain.figures(&report, depth);
        let calls: u64 = report.seconds.iter().map(|second| second.calls).sum();
        let per_request = |count: u64| format!("{:.3}", count as f64 / calls.max(1) as f64);
        let totals = report.depths[depth - 1];
        Ok(vec![
            fault_name(fault).to_owned(),
            depth.to_string(),
            max_client_retries.to_string(),
            format!("{:.3}", figures.attempts),
            per_request(report.depths[longest_chain - 1].attempts),
            format!("{:.2}", figures.all_attempts),
            format!("{:.3}", figures.refusals),
            format!("{:.3}", figures.refusals_at_front),
            format!("{:.0}", totals.left_s / totals.calls.max(1) as f64 * 1e3),
            format!("{:.2}", figures.served * 100.0),
        ])
    }

    fn write_table(&self) -> Result<(), CapacityError> {
        let mut rows = Vec::new();
        for fault in FAULTS {
            for &depth in &self.depths {
                for max_client_retries in [0, self.max_client_retries] {
                    let row = self.row(fault, depth, max_client_retries)?;
                    println!("{}", row.join("  "));
                    rows.push(row);
                }
            }
        }
        let description = &self.description;
        Results {
            name: "depth".to_owned(),
            what: format!("a chain of {} services with one in trouble", self.longest_chain),
            command: self.command.clone(),
            commit: slope::commit(),
            columns: COLUMNS.map(str::to_owned).to_vec(),
            rows,
            note: format!(
            "{description}; 70% of the calls may be repeated freely, 15% with a key, 15% never. One play of each. failing: each call there is answered with an error at once. silent: no call there is ever answered. halved: half of the upstreams there are lost, and no list says so."
            ),
        }
        .write(&self.folder("results")?)
    }
}

/// Name of a fault in the results table.
fn fault_name(fault: ServiceFault) -> &'static str {
    match fault {
        ServiceFault::Failing => "failing",
        ServiceFault::Silent => "silent",
        ServiceFault::Halved => "halved",
    }
}
