//! The `decisions` command: measures how the cost of the decision core grows with the number of upstreams, tenants and
//! requests in flight, and writes each relation as a slope.
//!
//! Processor time is the wall time of tight loops over the real decision core, on a machine without other load. Memory
//! is the growth of the resident memory of a fresh process of this program while it builds many cores.

use std::path::PathBuf;

use clap::Args;

use crate::CapacityError;
use crate::plan::Plan;
use crate::slope::{self, Point, Slope};

mod linear_fit;
mod loaded_core;
mod memory;
mod timing;

pub use linear_fit::fit_line;
pub use memory::resident_bytes;

use loaded_core::REPLICAS;
use memory::{core_bytes, core_bytes_in_child};
use timing::{list_change_ns, request_ns, timer_ns};

/// Measures processor time and memory of the decision core by upstreams, tenants and requests in flight.
#[derive(Debug, Clone, Args)]
pub struct Arguments {
    /// Measure fewer sizes, with fewer runs of each.
    #[arg(long)]
    pub small: bool,
    /// Seed of all random draws.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Folder that contains the folder `slopes`.
    #[arg(long, default_value = "crates/capacity")]
    pub out: PathBuf,
    /// Build decision cores of the size UPSTREAMS,TENANTS,IN_FLIGHT in this process, COPIES of them, and print the
    /// bytes of memory per core.
    #[arg(long, hide = true, value_delimiter = ',')]
    pub hold: Vec<usize>,
}

/// Size of a decision core under measurement: its numbers of upstreams, tenants and requests in flight.
#[derive(Debug, Clone, Copy)]
struct Size {
    upstreams: usize,
    tenants: usize,
    in_flight: usize,
}

/// Core sizes that a slope is measured at, each with its x value: the count that the slope varies.
type Sizes<'a> = &'a [(usize, Size)];

/// Texts of a slope: its name, the quantity that it shows, and the units of both axes.
struct SlopeText<'a> {
    name: &'a str,
    what: &'a str,
    x_unit: &'a str,
    y_unit: &'a str,
}

/// Definition of a slope of processor time.
struct TimeSlope<'a> {
    name: &'a str,
    what: &'a str,
    x_unit: &'a str,
    sizes: Sizes<'a>,
    /// Measures one operation in nanoseconds, given the plan, the size of the core, the seed, and whether this is a
    /// quick (`--small`) run.
    cost: fn(&Plan, Size, u64, bool) -> Result<f64, CapacityError>,
    /// Sentence for the slope's note that gives the counts that the slope does not vary.
    fixed_counts: &'a str,
}

/// Definition of a slope of memory.
struct MemorySlope<'a> {
    name: &'a str,
    x_unit: &'a str,
    sizes: Sizes<'a>,
    /// Whether each core is measured with the requests in flight of its size; otherwise it has none in flight.
    in_flight: bool,
}

/// Size of a core in the counts that a slope does not vary: the upstreams of a large service, no tenants, and the
/// requests in flight of a busy balancer.
const DEFAULT_SIZE: Size = Size { upstreams: 190, tenants: 0, in_flight: 32 };
/// Approximate memory that the cores of one run take together: large enough that rounding to whole pages and the
/// allocator's own memory matter little.
const RUN_MEMORY_BYTES: usize = 96 << 20;
/// Approximate memory that the cores of one run take together in a quick (`--small`) measurement.
const SMALL_RUN_MEMORY_BYTES: usize = 12 << 20;

/// Runs the `decisions` command: measures all slopes of the decision core and writes each to its file. With `--hold`
/// prints the memory of one core instead.
///
/// # Errors
/// `--hold` is malformed, a measurement fails, or a file cannot be written.
pub fn run(arguments: &Arguments, plan: &Plan) -> Result<(), CapacityError> {
    if !arguments.hold.is_empty() {
        return print_core_bytes(arguments, plan);
    }
    let folder = arguments.out.join("slopes");
    std::fs::create_dir_all(&folder).map_err(|cause| CapacityError::file(&folder, cause))?;
    let session = Session::new(arguments, plan, folder);
    session.write_time_slopes()?;
    session.write_memory_slopes()
}

/// Builds the decision cores that `--hold` describes in this process and prints the bytes of memory per core.
fn print_core_bytes(arguments: &Arguments, plan: &Plan) -> Result<(), CapacityError> {
    let &[upstreams, tenants, in_flight, count] = &arguments.hold[..] else {
        return Err(CapacityError::Argument {
            name: "hold",
            expected: "UPSTREAMS,TENANTS,IN_FLIGHT,COPIES".to_owned(),
        });
    };
    let size = Size { upstreams, tenants, in_flight };
    println!("{}", core_bytes(plan, size, count, arguments.seed)?);
    Ok(())
}

/// State of one run of the `decisions` command: the sizes to measure and the folder for the slopes.
struct Session<'a> {
    arguments: &'a Arguments,
    plan: &'a Plan,
    folder: PathBuf,
    by_upstreams: Vec<(usize, Size)>,
    by_tenants: Vec<(usize, Size)>,
    by_in_flight: Vec<(usize, Size)>,
}

impl<'a> Session<'a> {
    fn new(arguments: &'a Arguments, plan: &'a Plan, folder: PathBuf) -> Self {
        let small = arguments.small;
        let upstreams: &[usize] =
            if small { &[6, 20, 60, 190] } else { &[6, 12, 20, 40, 60, 120, 190, 380, 600, 1200, 1900] };
        let tenants: &[usize] = if small { &[1, 4, 12, 40] } else { &[1, 4, 12, 40, 120, 400] };
        let in_flight: &[usize] = if small { &[1, 10, 30, 100] } else { &[1, 10, 100, 1000, 3000, 10_000] };
        Self {
            arguments,
            plan,
            folder,
            by_upstreams: sizes_by_count(upstreams, |upstreams| Size { upstreams, ..DEFAULT_SIZE }),
            by_tenants: sizes_by_count(tenants, |tenants| Size { tenants, ..DEFAULT_SIZE }),
            by_in_flight: sizes_by_count(in_flight, |in_flight| Size { in_flight, ..DEFAULT_SIZE }),
        }
    }

    fn write_time_slopes(&self) -> Result<(), CapacityError> {
        let defaults_text = format!(
            "Where not varied: {} upstreams, no tenants, {} calls in flight; {REPLICAS} balancers send to the tier.",
            DEFAULT_SIZE.upstreams, DEFAULT_SIZE.in_flight
        );
        let defaults_text_by_tenants = defaults_text.replace("no tenants, ", "");
        for slope in self.time_slopes(&defaults_text, &defaults_text_by_tenants) {
            self.write_time_slope(&slope)?;
        }
        Ok(())
    }

    /// Definitions of the slopes of processor time. `defaults_text` and `defaults_text_by_tenants` are the sentences of
    /// their notes that give the counts that are not varied; `defaults_text_by_tenants` is for the slopes that vary the
    /// number of tenants.
    fn time_slopes<'b>(
        &'b self,
        defaults_text: &'b str,
        defaults_text_by_tenants: &'b str,
    ) -> [TimeSlope<'b>; 6] {
        let request = "processor time of the decisions for one request: taken, sent, and its attempt ended";
        let timer = "processor time of the decisions for one timer (five a second)";
        let list_change = "processor time of the decisions for one changed entry of the list, with the subset laid out anew";
        let by_upstreams = |name, what, cost| TimeSlope {
            name,
            what,
            x_unit: "upstreams in the list",
            sizes: &self.by_upstreams,
            cost,
            fixed_counts: defaults_text,
        };
        let by_tenants = |name, what, cost| TimeSlope {
            name,
            what,
            x_unit: "tenants",
            sizes: &self.by_tenants,
            cost,
            fixed_counts: defaults_text_by_tenants,
        };
        [
            by_upstreams("decisions.request_ns_by_upstreams", request, request_ns),
            by_upstreams("decisions.list_change_ns_by_upstreams", list_change, list_change_ns),
            by_upstreams("decisions.timer_ns_by_upstreams", timer, timer_ns),
            by_tenants("decisions.request_ns_by_tenants", request, request_ns),
            by_tenants("decisions.timer_ns_by_tenants", timer, timer_ns),
            TimeSlope {
                name: "decisions.request_ns_by_in_flight",
                what: request,
                x_unit: "calls in flight",
                sizes: &self.by_in_flight,
                cost: request_ns,
                fixed_counts: defaults_text,
            },
        ]
    }

    fn write_time_slope(&self, slope: &TimeSlope) -> Result<(), CapacityError> {
        let &TimeSlope { name, what, x_unit, sizes, cost, fixed_counts } = slope;
        let Arguments { small, seed, .. } = *self.arguments;
        let runs = if small { 2 } else { 5 };
        let points = measure(sizes, runs, |size, run_index| cost(self.plan, size, seed + run_index, small))?;
        let note = format!("Wall time of tight loops with the machine alone. {fixed_counts}");
        let text = SlopeText { name, what, x_unit, y_unit: "ns" };
        self.write_slope(&text, runs as usize, points, note)
    }

    fn write_memory_slopes(&self) -> Result<(), CapacityError> {
        let slopes = [
            MemorySlope {
                name: "decisions.bytes_by_upstreams",
                x_unit: "upstreams in the list",
                sizes: &self.by_upstreams,
                in_flight: false,
            },
            MemorySlope {
                name: "decisions.bytes_by_tenants",
                x_unit: "tenants",
                sizes: &self.by_tenants,
                in_flight: false,
            },
            MemorySlope {
                name: "decisions.bytes_by_in_flight",
                x_unit: "calls in flight",
                sizes: &self.by_in_flight,
                in_flight: true,
            },
        ];
        slopes.iter().try_for_each(|slope| self.write_memory_slope(slope))
    }

    fn write_memory_slope(&self, slope: &MemorySlope) -> Result<(), CapacityError> {
        let &MemorySlope { name, x_unit, sizes, in_flight } = slope;
        let Arguments { small, seed, .. } = *self.arguments;
        let runs = if small { 1 } else { 3 };
        let target_bytes = if small { SMALL_RUN_MEMORY_BYTES } else { RUN_MEMORY_BYTES };
        let points = measure(sizes, runs, |mut size, run_index| {
            if !in_flight {
                size.in_flight = 0;
            }
            core_bytes_in_child(size, target_bytes, seed + run_index)
        })?;
        let calls = if in_flight { "each call with one attempt out" } else { "no calls held" };
        let note = format!(
            "Growth of the resident pages of a fresh process over as many cores as take about {} MB, divided by their number; a core with {} upstreams where not varied, {calls}. Whole pages and the allocator's own are in it.",
            target_bytes >> 20,
            DEFAULT_SIZE.upstreams
        );
        let text = SlopeText { name, what: "memory of one core", x_unit, y_unit: "bytes" };
        self.write_slope(&text, runs as usize, points, note)
    }

    /// Prints the points of a slope and writes the slope to its file, with a linear fit where the points are close to a
    /// straight line.
    fn write_slope(
        &self,
        text: &SlopeText,
        runs: usize,
        points: Vec<Point>,
        mut note: String,
    ) -> Result<(), CapacityError> {
        let &SlopeText { name, what, x_unit, y_unit } = text;
        let fit = fit_line(&points, &mut note);
        for point in &points {
            println!(
                "{name} {:>6} {x_unit}: {:.0} {y_unit} ({:.0} to {:.0})",
                point.x, point.y, point.low, point.high
            );
        }
        let small = if self.arguments.small { " --small" } else { "" };
        let slope = Slope {
            name: name.to_owned(),
            what: what.to_owned(),
            x_unit: x_unit.to_owned(),
            y_unit: y_unit.to_owned(),
            command: format!("target/release/capacity decisions{small} --seed {}", self.arguments.seed),
            commit: slope::commit(),
            plays: runs,
            points,
            fit,
            note,
        };
        slope.write(&self.folder)
    }
}

/// Sizes of a slope that varies one count: each of `counts` with the size that `size_of` makes of it.
fn sizes_by_count(counts: &[usize], size_of: impl Fn(usize) -> Size) -> Vec<(usize, Size)> {
    counts.iter().map(|&count| (count, size_of(count))).collect()
}

/// Measures each size `runs` times with `cost`, which is given the size and the number of the run. Returns a point for
/// each size, with the median and the range of its costs.
fn measure(
    sizes: &[(usize, Size)],
    runs: u64,
    mut cost: impl FnMut(Size, u64) -> Result<f64, CapacityError>,
) -> Result<Vec<Point>, CapacityError> {
    // Each round measures all sizes once, so that a disturbance of some seconds on the machine affects all sizes and
    // not only one.
    let mut costs: Vec<Vec<f64>> = vec![Vec::new(); sizes.len()];
    for run_index in 0..runs {
        for (costs, &(_, size)) in costs.iter_mut().zip(sizes) {
            costs.push(cost(size, run_index)?);
        }
    }
    Ok(sizes.iter().zip(costs).filter_map(|(&(x, _), costs)| Point::of(x as f64, costs)).collect())
}
