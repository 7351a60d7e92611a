//! Slopes of the decisions: processor time and bytes against upstreams, tenants and calls held.
//!
//! Time is the wall time of tight loops over the real core on a machine of its own. Bytes are the growth of a fresh
//! process of this program over many cores built, as the system counts its pages.

use std::path::{Path, PathBuf};

use clap::Args;

use crate::CapacityError;
use crate::plan::Plan;
use crate::slope::{self, Point, Slope};

mod line;
mod loaded_core;
mod memory;
mod timing;

pub use line::straight;
pub use memory::resident_bytes;

use loaded_core::COPIES;
use memory::{held, held_in_child};
use timing::{list_change_ns, request_ns, timer_ns};

/// Slopes of the decisions: processor time and bytes against upstreams, tenants and calls held.
#[derive(Debug, Clone, Args)]
pub struct Arguments {
    /// A quick version: fewer sizes and plays.
    #[arg(long)]
    pub small: bool,
    /// Seed of every draw.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Where the folder `slopes` is.
    #[arg(long, default_value = "crates/capacity")]
    pub out: PathBuf,
    /// Builds cores of UPSTREAMS,TENANTS,IN_FLIGHT,COPIES in this process and prints the bytes that each one took.
    #[arg(long, hide = true, value_delimiter = ',')]
    pub hold: Vec<usize>,
}

/// Upstreams, tenants and calls in flight of a core that is measured.
#[derive(Debug, Clone, Copy)]
struct Size {
    upstreams: usize,
    tenants: usize,
    in_flight: usize,
}

/// The sizes of a slope, each with what it counts.
type Sizes<'a> = &'a [(usize, Size)];
/// Processor time of one play.
type Cost = fn(&Plan, Size, u64, bool) -> Result<f64, CapacityError>;
/// A slope of time: its name, what it is, what it grows with, its sizes, its cost and its note.
type Timed<'a> = (&'a str, &'a str, &'a str, Sizes<'a>, Cost, &'a str);
/// A slope of bytes: the same, and what calls are held.
type Held<'a> = (&'a str, &'a str, &'a str, Sizes<'a>, &'a str);

/// What a slope leaves alone: the upstreams of a large service, no tenants, the calls of a busy balancer.
const USUAL: Size = Size { upstreams: 190, tenants: 0, in_flight: 32 };
/// Bytes that the cores of one play should take in all, so that pages and the allocator's own count little...
const HELD_BYTES: usize = 96 << 20;
/// ...and in a quick version.
const HELD_BYTES_SMALL: usize = 12 << 20;

/// Does it.
///
/// # Errors
/// With the place where it went wrong.
pub fn run(arguments: &Arguments, plan: &Plan) -> Result<(), CapacityError> {
    if !arguments.hold.is_empty() {
        let &[upstreams, tenants, in_flight, copies] = &arguments.hold[..] else {
            return Err(CapacityError::Argument {
                name: "hold",
                expected: "UPSTREAMS,TENANTS,IN_FLIGHT,COPIES".to_owned(),
            });
        };
        let size = Size { upstreams, tenants, in_flight };
        println!("{}", held(plan, size, copies, arguments.seed)?);
        return Ok(());
    }
    let folder = arguments.out.join("slopes");
    std::fs::create_dir_all(&folder).map_err(|cause| CapacityError::file(&folder, cause))?;
    let small = arguments.small;
    let upstreams: &[usize] =
        if small { &[6, 20, 60, 190] } else { &[6, 12, 20, 40, 60, 120, 190, 380, 600, 1200, 1900] };
    let tenants: &[usize] = if small { &[1, 4, 12, 40] } else { &[1, 4, 12, 40, 120, 400] };
    let in_flight: &[usize] = if small { &[1, 10, 30, 100] } else { &[1, 10, 100, 1000, 3000, 10_000] };
    let by_upstreams: Vec<(usize, Size)> =
        upstreams.iter().map(|&upstreams| (upstreams, Size { upstreams, ..USUAL })).collect();
    let by_tenants: Vec<(usize, Size)> =
        tenants.iter().map(|&tenants| (tenants, Size { tenants, ..USUAL })).collect();
    let by_in_flight: Vec<(usize, Size)> =
        in_flight.iter().map(|&in_flight| (in_flight, Size { in_flight, ..USUAL })).collect();
    let usual = format!(
        "Where not varied: {} upstreams, no tenants, {} calls in flight; {COPIES} balancers send to the tier.",
        USUAL.upstreams, USUAL.in_flight
    );
    let tenants_usual = usual.replace("no tenants, ", "");
    let timing = "Wall time of tight loops with the machine alone.";
    let timed: [Timed; 6] = [
        (
            "decisions.request_ns_by_upstreams",
            "processor time of the decisions for one request: taken, sent, and its attempt ended",
            "upstreams in the list",
            &by_upstreams,
            request_ns,
            &usual,
        ),
        (
            "decisions.list_change_ns_by_upstreams",
            "processor time of the decisions for one changed entry of the list, with the subset laid out anew",
            "upstreams in the list",
            &by_upstreams,
            list_change_ns,
            &usual,
        ),
        (
            "decisions.timer_ns_by_upstreams",
            "processor time of the decisions for one timer (five a second)",
            "upstreams in the list",
            &by_upstreams,
            timer_ns,
            &usual,
        ),
        (
            "decisions.request_ns_by_tenants",
            "processor time of the decisions for one request: taken, sent, and its attempt ended",
            "tenants",
            &by_tenants,
            request_ns,
            &tenants_usual,
        ),
        (
            "decisions.timer_ns_by_tenants",
            "processor time of the decisions for one timer (five a second)",
            "tenants",
            &by_tenants,
            timer_ns,
            &tenants_usual,
        ),
        (
            "decisions.request_ns_by_in_flight",
            "processor time of the decisions for one request: taken, sent, and its attempt ended",
            "calls in flight",
            &by_in_flight,
            request_ns,
            &usual,
        ),
    ];
    for (name, what, x_unit, sizes, cost, setting) in timed {
        let plays = if small { 2 } else { 5 };
        let points = measure(sizes, plays, |size, play| cost(plan, size, arguments.seed + play, small))?;
        let note = format!("{timing} {setting}");
        keep(&folder, arguments, (name, what), (x_unit, "ns"), plays as usize, points, note)?;
    }
    let most = if small { HELD_BYTES_SMALL } else { HELD_BYTES };
    let held: [Held; 3] = [
        (
            "decisions.bytes_by_upstreams",
            "memory of one core",
            "upstreams in the list",
            &by_upstreams,
            "no calls held",
        ),
        ("decisions.bytes_by_tenants", "memory of one core", "tenants", &by_tenants, "no calls held"),
        (
            "decisions.bytes_by_in_flight",
            "memory of one core",
            "calls in flight",
            &by_in_flight,
            "each call with one attempt out",
        ),
    ];
    for (name, what, x_unit, sizes, calls) in held {
        let plays = if small { 1 } else { 3 };
        let points = measure(sizes, plays, |mut size, play| {
            if calls == "no calls held" {
                size.in_flight = 0;
            }
            held_in_child(size, most, arguments.seed + play)
        })?;
        let note = format!(
            "Growth of the resident pages of a fresh process over as many cores as take about {} MB, divided by their number; a core with {} upstreams where not varied, {calls}. Whole pages and the allocator's own are in it.",
            most >> 20,
            USUAL.upstreams
        );
        keep(&folder, arguments, (name, what), (x_unit, "bytes"), plays as usize, points, note)?;
    }
    Ok(())
}

fn measure(
    sizes: &[(usize, Size)],
    plays: u64,
    mut cost: impl FnMut(Size, u64) -> Result<f64, CapacityError>,
) -> Result<Vec<Point>, CapacityError> {
    // Round after round over all sizes, so that what the machine does in some seconds is not one size's alone.
    let mut costs: Vec<Vec<f64>> = vec![Vec::new(); sizes.len()];
    for play in 0..plays {
        for (costs, &(_, size)) in costs.iter_mut().zip(sizes) {
            costs.push(cost(size, play)?);
        }
    }
    Ok(sizes.iter().zip(costs).filter_map(|(&(x, _), costs)| Point::of(x as f64, costs)).collect())
}

fn keep(
    folder: &Path,
    arguments: &Arguments,
    (name, what): (&str, &str),
    (x_unit, y_unit): (&str, &str),
    plays: usize,
    points: Vec<Point>,
    mut note: String,
) -> Result<(), CapacityError> {
    let fit = straight(&points, &mut note);
    for point in &points {
        println!(
            "{name} {:>6} {x_unit}: {:.0} {y_unit} ({:.0} to {:.0})",
            point.x, point.y, point.low, point.high
        );
    }
    let slope = Slope {
        name: name.to_owned(),
        what: what.to_owned(),
        x_unit: x_unit.to_owned(),
        y_unit: y_unit.to_owned(),
        command: format!(
            "target/release/capacity decisions{} --seed {}",
            if arguments.small { " --small" } else { "" },
            arguments.seed
        ),
        commit: slope::commit(),
        plays,
        points,
        fit,
        note,
    };
    slope.write(folder)
}
