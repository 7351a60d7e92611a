//! The `process` command: measures memory, start time and processor time of a real balancer process by the length of
//! its endpoint list, and writes each relation as a slope.

use std::path::Path;
use std::sync::atomic::AtomicUsize;
use std::thread;
use std::time::{Duration, Instant};

use clap::{Args, ValueEnum};
use oorandom::Rand64;

use crate::CapacityError;
use crate::plan::{Plan, Reading};
use crate::slope::{Fit, Point, Slope, commit};
use crate::testbed::{self, Balancer, CommonArguments, Counts, Discovery, Route, Upstreams, Usage};

/// Selection of the measurements of the `process` command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Part {
    /// Start time and memory of processes that have not served a request.
    Start,
    /// Processor time and memory of processes that serve requests.
    Request,
    /// Processor time of idle processes, as a fraction of a core.
    Idle,
    /// All measurements of the `process` command.
    All,
}

/// Measures memory, start time and processor time of a real balancer process by the length of its endpoint list.
#[derive(Debug, Args)]
pub struct Arguments {
    #[command(flatten)]
    common: CommonArguments,
    /// Measurements to run.
    #[arg(long, value_enum, default_value_t = Part::All)]
    part: Part,
    /// Lengths of the endpoint list to measure, at least two.
    #[arg(long, value_delimiter = ',', default_values_t = [6, 60, 190, 600, 1900])]
    sizes: Vec<usize>,
    /// Number of runs for each length of the endpoint list.
    #[arg(long, default_value_t = 5)]
    plays: usize,
    /// Requests per second; by default the mean rate of a balancer, with the plan's requests taken as those at the
    /// front.
    #[arg(long)]
    rate: Option<f64>,
}

/// Interval between heartbeats of an idle watch of the endpoint list, from the plan.
fn heartbeat_interval(plan: &Plan) -> Duration {
    Duration::from_secs_f64(plan.list.beat_s.value)
}

/// Largest length of the endpoint list: with more upstreams, ports and file descriptors could run out.
const MAX_LIST_LENGTH: usize = 4000;
/// Largest rate of requests to a balancer, in requests per second.
const MAX_REQUESTS_PER_S: f64 = 10_000.0;

/// Runs the `process` command: takes the selected measurements, prints their slopes and writes them to files.
///
/// # Errors
/// An argument is invalid, a process does not start or serve, or a file cannot be written.
pub fn run(arguments: &Arguments, plan: &Plan) -> Result<(), CapacityError> {
    let invalid_argument = |name, expected: String| Err(CapacityError::Argument { name, expected });
    let mut sizes = arguments.sizes.clone();
    sizes.sort_unstable();
    sizes.dedup();
    if sizes.len() < 2 || sizes[0] < 1 || sizes[sizes.len() - 1] > MAX_LIST_LENGTH {
        return invalid_argument("sizes", format!("at least two lengths, each from 1 to {MAX_LIST_LENGTH}"));
    }
    if !(1..=100).contains(&arguments.plays) {
        return invalid_argument("plays", "1 to 100 runs".to_owned());
    }
    let rate = arguments.rate.unwrap_or_else(|| plan.mean_rate(Reading::Front));
    if !(1.0..=MAX_REQUESTS_PER_S).contains(&rate) {
        return invalid_argument("rate", format!("1 to {MAX_REQUESTS_PER_S} requests per second"));
    }
    let program = arguments.common.program(testbed::BALANCER)?;
    let (slopes, _) = arguments.common.folders()?;
    let (sizes, runs) = if arguments.common.small { (vec![6, 60], 1) } else { (sizes, arguments.plays) };
    let bench = Bench { arguments, plan, program: &program, sizes, runs, rate };
    let is_selected = |part| arguments.part == part || arguments.part == Part::All;
    let mut measured = Vec::new();
    if is_selected(Part::Start) {
        measured.extend(bench.start()?);
    }
    if is_selected(Part::Idle) {
        measured.extend(bench.idle()?);
    }
    if is_selected(Part::Request) {
        measured.extend(bench.request()?);
    }
    for slope in measured {
        println!("{}", slope.name);
        for point in &slope.points {
            println!(
                "  {:>6}: {:>10.5} {} ({:.5} to {:.5})",
                point.x, point.y, slope.y_unit, point.low, point.high
            );
        }
        if let Some(fit) = slope.fit {
            println!("  {:.4} + {:.6} each, residual {:.3}", fit.base, fit.each, fit.residual);
        }
        slope.write(&slopes)?;
    }
    Ok(())
}

/// Arguments and limits that all measurements of one run of the command share.
struct Bench<'a> {
    arguments: &'a Arguments,
    plan: &'a Plan,
    /// Path of the balancer's program.
    program: &'a Path,
    /// Lengths of the endpoint list to measure, in ascending order.
    sizes: Vec<usize>,
    /// Number of runs for each length of the endpoint list.
    runs: usize,
    /// Rate of requests to the balancer in the measurements under load, in requests per second.
    rate: f64,
}

/// Values of one figure measured for each length of the endpoint list, one value per run.
type ValuesBySize = Vec<(usize, Vec<f64>)>;

impl Bench<'_> {
    /// Makes the slope `name` of the values measured for each length of the endpoint list, with the command that
    /// repeats the measurement. The command omits `--sizes`, `--rate`, `--small`, `--program`, `--out` and `--plan`, so
    /// that values other than the defaults have to be added by hand.
    fn slope(
        &self,
        part: &str,
        name: &str,
        what: &str,
        unit: &str,
        values_by_size: ValuesBySize,
        note: &str,
    ) -> Slope {
        let points: Vec<Point> =
            values_by_size.into_iter().filter_map(|(size, values)| Point::of(size as f64, values)).collect();
        Slope {
            name: format!("process.{name}_by_upstreams"),
            what: what.to_owned(),
            x_unit: "upstreams in the list".to_owned(),
            y_unit: unit.to_owned(),
            command: format!(
                "target/release/capacity process --part {part} --plays {} --seed {}",
                self.runs, self.arguments.common.seed
            ),
            commit: commit(),
            plays: self.runs,
            fit: Fit::through(&points),
            points,
            note: note.to_owned(),
        }
    }

    /// Starts a balancer that gets the same list of upstreams from its configuration and from discovery.
    fn balancer(&self, upstreams: &Upstreams, discovery: &Discovery) -> Result<Balancer, CapacityError> {
        let entries = upstreams.entries();
        let settings = testbed::settings(self.plan, entries.len());
        let configuration = testbed::configuration("b0", discovery.address, &entries, &settings);
        Balancer::start(self.program, &configuration, None, |_| ())
    }

    /// Starts the servers around a balancer: `size` stand-in upstreams, for at most `calls` requests, and a stand-in
    /// discovery with their list.
    fn start_servers(&self, size: usize, calls: usize) -> Result<(Upstreams, Discovery), CapacityError> {
        let upstreams = Upstreams::start(size, 2, calls)?;
        let discovery = Discovery::start(upstreams.entries(), heartbeat_interval(self.plan))?;
        Ok((upstreams, discovery))
    }

    /// Measures start time and memory of processes that have not served a request, one process after the other.
    fn start(&self) -> Result<Vec<Slope>, CapacityError> {
        let (mut listens, mut serves, mut memory) =
            (ValuesBySize::new(), ValuesBySize::new(), ValuesBySize::new());
        for &size in &self.sizes {
            let (upstreams, discovery) = self.start_servers(size, 0)?;
            let mut samples = [const { Vec::new() }; 3];
            for _ in 0..self.runs {
                let balancer = self.balancer(&upstreams, &discovery)?;
                // Gives the balancer time to apply the list from discovery too.
                thread::sleep(Duration::from_millis(300));
                samples[0].push(balancer.listens_after.as_secs_f64() * 1000.0);
                samples[1].push(balancer.serves_after.as_secs_f64() * 1000.0);
                samples[2].push(testbed::memory_kb(balancer.process.id())? as f64);
            }
            let [listens_ms, serves_ms, kb] = samples;
            listens.push((size, listens_ms));
            serves.push((size, serves_ms));
            memory.push((size, kb));
        }
        let list = "The same list comes with the configuration and, whole, from a stand-in discovery that answers at once; \
                    as many balancers share it as it has upstreams.";
        Ok(vec![
            self.slope(
                "start",
                "memory_kb",
                "Resident memory of a balancer that serves nobody yet, 0.3 s after it could.",
                "KiB",
                memory,
                list,
            ),
            self.slope(
                "start",
                "start_ms",
                "From the start of a balancer's process to its first 200 for its health.",
                "ms",
                serves,
                &format!("{list} Asked for every 0.2 ms."),
            ),
            self.slope(
                "start",
                "listening_ms",
                "From the start of a balancer's process to its line that it listens.",
                "ms",
                listens,
                list,
            ),
        ])
    }

    /// Measures the processor time of idle processes. The processes of all lengths run at once, as idle processes
    /// hardly affect each other.
    fn idle(&self) -> Result<Vec<Slope>, CapacityError> {
        let span = Duration::from_secs(if self.arguments.common.small { 1 } else { 6 });
        let mut core_fractions: ValuesBySize = self.sizes.iter().map(|&size| (size, Vec::new())).collect();
        let mut environments = Vec::new();
        for &size in &self.sizes {
            let (upstreams, discovery) = self.start_servers(size, 0)?;
            let balancer = self.balancer(&upstreams, &discovery)?;
            environments.push((upstreams, discovery, balancer));
        }
        thread::sleep(Duration::from_millis(500));
        for _ in 0..self.runs {
            let before = self.usages(&environments)?;
            thread::sleep(span);
            for ((before, after), (_, core_fractions)) in
                before.iter().zip(self.usages(&environments)?).zip(&mut core_fractions)
            {
                core_fractions.push(after.since(*before).cpu_ns as f64 / span.as_nanos() as f64);
            }
        }
        let note = format!(
            "Of all its threads, over {} s: the watch stands and says an empty line every {} s, the decisions' timers \
             run, a line of counts is written every 5 s; no calls, no changes.",
            span.as_secs(),
            self.plan.list.beat_s.value
        );
        Ok(vec![self.slope(
            "idle",
            "idle_core",
            "Share of a core of a balancer at rest.",
            "of a core",
            core_fractions,
            &note,
        )])
    }

    /// Resource usage so far of the balancer process of each environment.
    fn usages(&self, environments: &[(Upstreams, Discovery, Balancer)]) -> Result<Vec<Usage>, CapacityError> {
        environments.iter().map(|(_, _, balancer)| Usage::of(balancer.process.id())).collect()
    }

    /// Measures processor time and memory of processes that serve requests, one length after the other, with a new
    /// process for each run. The notes of the slopes list, for each length, the mean over the runs of the number of new
    /// connections to upstreams.
    fn request(&self) -> Result<Vec<Slope>, CapacityError> {
        let (warm_up_s, span_s) = if self.arguments.common.small { (0.2, 0.5) } else { (1.5, 2.0) };
        let (mut request, mut memory, mut opened) = (ValuesBySize::new(), ValuesBySize::new(), Vec::new());
        let mut rng = Rand64::new(u128::from(self.arguments.common.seed));
        for &size in &self.sizes {
            let (mut request_us, mut memory_kb, mut new_connections) = (Vec::new(), Vec::new(), 0);
            for _ in 0..self.runs {
                let cost = self.serve(size, &mut rng, warm_up_s, span_s)?;
                request_us.push(cost.request_us);
                memory_kb.push(cost.memory_kb);
                new_connections += cost.new_connections;
            }
            request.push((size, request_us));
            memory.push((size, memory_kb));
            opened.push(format!("{size}: {:.1}", new_connections as f64 / self.runs as f64));
        }
        let note = format!(
            "Of all its threads, timers and log with it, at {:.0} calls a second (drawn times) for {span_s} s after {warm_up_s} s \
             of the same; its upstreams answer at once, callers keep their connections. New connections to upstreams \
             in that time, by length of the list: {}.",
            self.rate,
            opened.join(", ")
        );
        Ok(vec![
            self.slope(
                "request",
                "request_us",
                "Processor time of a balancer for one call.",
                "us",
                request,
                &note,
            ),
            self.slope(
                "request",
                "memory_loaded_kb",
                "Resident memory of a balancer that has served calls.",
                "KiB",
                memory,
                &note,
            ),
        ])
    }

    /// Starts a balancer and measures what it uses while it serves requests for `span_s` seconds, after a warm-up of
    /// `warm_up_s` seconds under the same load. The measured processor time includes 32 new client connections and the
    /// [`testbed::CONNECT_LEAD_TIME`] of 0.2 s before the first request.
    fn serve(
        &self,
        size: usize,
        rng: &mut Rand64,
        warm_up_s: f64,
        span_s: f64,
    ) -> Result<RequestCost, CapacityError> {
        let max_calls = (self.rate * 10.0) as usize + 1000;
        let (upstreams, discovery) = self.start_servers(size, max_calls)?;
        let balancer = self.balancer(&upstreams, &discovery)?;
        self.send_requests(size, &upstreams, &balancer, rng, Duration::from_secs_f64(warm_up_s))?;
        let (before, opened) = (Usage::of(balancer.process.id())?, upstreams.records.opened());
        let calls = self.send_requests(size, &upstreams, &balancer, rng, Duration::from_secs_f64(span_s))?;
        let used = Usage::of(balancer.process.id())?.since(before);
        Ok(RequestCost {
            request_us: used.cpu_ns as f64 / 1000.0 / calls as f64,
            new_connections: upstreams.records.opened() - opened,
            memory_kb: testbed::memory_kb(balancer.process.id())? as f64,
        })
    }

    /// Sends requests through a balancer for the duration `span` and returns their number. Fails unless each request
    /// gets its own response.
    fn send_requests(
        &self,
        size: usize,
        upstreams: &Upstreams,
        balancer: &Balancer,
        rng: &mut Rand64,
        span: Duration,
    ) -> Result<usize, CapacityError> {
        let routes = [Route {
            targets: vec![balancer.address],
            initial_connections: 32,
            deadline: Duration::from_secs_f64(self.plan.traffic.deadline_s.value),
            tenants: self.plan.traffic.tenants.value,
        }];
        let calls = testbed::paired(rng, 1, self.rate, span, false);
        let first = upstreams.records.take_ids(calls.len())?;
        let zero = Instant::now() + testbed::CONNECT_LEAD_TIME;
        let call_results = testbed::send_calls(&calls, &routes, first, zero, &AtomicUsize::new(0))?;
        let counts = Counts::of(&calls, &call_results, &upstreams.records, first);
        if counts.right < counts.calls {
            let place = format!("sending requests to a balancer with {size} upstreams");
            return Err(CapacityError::run(place, format!("{counts:?}")));
        }
        Ok(calls.len())
    }
}

/// Resources that a balancer used after the warm-up in one run under load.
struct RequestCost {
    /// Processor time of the balancer per request, in microseconds.
    request_us: f64,
    /// Resident memory of the balancer process at the end of the run, in KiB.
    memory_kb: f64,
    /// Number of connections to upstreams that the balancer opened after the warm-up.
    new_connections: u64,
}
