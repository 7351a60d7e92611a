//! Slopes of the decisions: processor time and bytes against upstreams, tenants and calls held.
//!
//! Time is the wall time of tight loops over the real core on a machine of its own. Bytes are the growth of a fresh
//! process of this program over many cores built, as the system counts its pages.

use std::collections::VecDeque;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

use balancer_policy::interface::{
    AttemptNumber, Class, ClassId, EndpointId, Idempotency, Lifecycle, ListUpdate, Member, Outcome, Request,
    RequestId, SettingsError, Tenant, TenantId, Time, ZoneId,
};
use balancer_policy::{Action, Balancer, Event, Settings};
use clap::Args;

use crate::CapacityError;
use crate::plan::Plan;
use crate::slope::{self, Fit, Point, Slope};

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
/// Virtual seconds that a call takes.
const CALL_S: f64 = 0.05;
/// Balancers that send to the same tier.
const COPIES: u32 = 100;
/// Bytes that the cores of one play should take in all, so that pages and the allocator's own count little...
const HELD_BYTES: usize = 96 << 20;
/// ...and in a quick version.
const HELD_BYTES_SMALL: usize = 12 << 20;
/// Residual over which a straight line is no answer.
const STRAIGHT: f64 = 0.25;

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

/// The straight line through the points where one holds; where none does the note says what does.
pub fn straight(points: &[Point], note: &mut String) -> Option<Fit> {
    let fit = Fit::through(points)?;
    if fit.residual <= STRAIGHT {
        return Some(fit);
    }
    let logs: Vec<(f64, f64)> = points
        .iter()
        .filter(|point| point.x > 0.0 && point.y > 0.0)
        .map(|point| (point.x.ln(), point.y.ln()))
        .collect();
    note.push_str(&format!(
        " Not a straight line (one would be off by up to {:.0}%), so read between the sizes.",
        fit.residual * 100.0
    ));
    let (Some(first), Some(last)) = (logs.first(), logs.last()) else { return None };
    if logs.len() < 2 || last.0 <= first.0 {
        return None;
    }
    let count = logs.len() as f64;
    let (mean_x, mean_y) = (
        logs.iter().map(|log| log.0).sum::<f64>() / count,
        logs.iter().map(|log| log.1).sum::<f64>() / count,
    );
    let over: f64 = logs.iter().map(|log| (log.0 - mean_x) * (log.1 - mean_y)).sum();
    let under: f64 = logs.iter().map(|log| (log.0 - mean_x).powi(2)).sum();
    let power = over / under;
    let off = logs
        .iter()
        .map(|log| ((mean_y + power * (log.0 - mean_x) - log.1).exp() - 1.0).abs())
        .fold(0.0, f64::max);
    note.push_str(&format!(
        " A power fits it: {:.3e} x size^{power:.2}, off by up to {:.0}%.",
        (mean_y - power * mean_x).exp(),
        off * 100.0
    ));
    let (a, b) = (points[points.len() - 2], points[points.len() - 1]);
    note.push_str(&format!(" Between the last two sizes one more costs {:.2}.", (b.y - a.y) / (b.x - a.x)));
    None
}

// --- One core ---

/// A core at work: calls come in evenly, each ends after [`CALL_S`].
struct Played {
    balancer: Balancer,
    now: f64,
    wake: f64,
    size: Size,
    number: u64,
    out: VecDeque<RequestId>,
    actions: Vec<Action>,
}

fn member(number: usize, zones: usize) -> Member {
    Member {
        id: EndpointId(number as u32 + 1),
        zone: Some(ZoneId(number % zones)),
        kind: None,
        cell: 0,
        lifecycle: Lifecycle::Ready,
        weight: 1.0,
        started: None,
    }
}

fn settings(plan: &Plan, size: Size) -> Settings {
    let class = Class {
        latency_objective: Duration::from_secs_f64(plan.traffic.aim_s.value),
        deadline: Duration::from_secs_f64(plan.traffic.deadline_s.value),
        late_weight: 0.3,
        idempotency: Idempotency::Idempotent,
    };
    // Quotas that no tenant reaches: what is measured is the way of a request that is served.
    let rate = 100.0 * size.in_flight.max(1) as f64 / CALL_S * f64::from(COPIES);
    let tenants =
        (0..size.tenants).map(|_| Tenant { quota: Some(rate / size.tenants.max(1) as f64) }).collect();
    Settings {
        replicas: COPIES,
        replica_index: 17,
        zones: plan.fleet.zones.value,
        tier: usize::from(size.tenants == 0),
        tenants,
        over_quota_weight: 0.3,
        ..Settings::single_zone(vec![class])
    }
}

impl Played {
    fn new(plan: &Plan, size: Size, seed: u64) -> Result<Self, CapacityError> {
        let wrong = |cause: SettingsError| CapacityError::run("decisions", cause);
        let mut balancer = Balancer::new(settings(plan, size), seed).map_err(wrong)?;
        let mut actions = Vec::new();
        let members = (0..size.upstreams).map(|number| member(number, plan.fleet.zones.value)).collect();
        balancer.handle(Duration::ZERO, Event::Started, &mut actions);
        balancer.handle(Duration::ZERO, Event::List(ListUpdate::Snapshot(members)), &mut actions);
        actions.clear();
        Ok(Self { balancer, now: 1.0, wake: 1.2, size, number: 0, out: VecDeque::new(), actions })
    }

    fn time(&self) -> Time {
        Duration::from_secs_f64(self.now)
    }

    fn take(&mut self) {
        self.number += 1;
        let id = RequestId(self.number);
        let tenant =
            (self.size.tenants > 0).then(|| TenantId((self.number % self.size.tenants as u64) as usize));
        let request = Request {
            id,
            class: ClassId(0),
            tenant,
            subject: None,
            time_left: Duration::from_secs(2),
            expected_work: None,
            is_client_retry: false,
        };
        self.balancer.handle(self.time(), Event::Request(request), &mut self.actions);
        if self.actions.iter().any(|action| matches!(action, Action::Send { .. })) {
            self.out.push_back(id);
        }
        self.actions.clear();
    }

    fn end_oldest(&mut self) {
        let Some(request) = self.out.pop_front() else { return };
        let ended = Event::AttemptEnded {
            request,
            attempt: AttemptNumber(0),
            outcome: Outcome::Success,
            duration: Duration::from_secs_f64(CALL_S),
            connect_wait: Duration::ZERO,
            finished: true,
            load: None,
        };
        self.balancer.handle(self.time(), ended, &mut self.actions);
        self.actions.clear();
    }

    /// One call in and, once as many as wanted are out, one ended; the clock moves on.
    fn step(&mut self) {
        self.now += CALL_S / self.size.in_flight.max(1) as f64;
        self.take();
        while self.out.len() > self.size.in_flight.max(1) {
            self.end_oldest();
        }
    }

    fn wake_when_due(&mut self) {
        if self.now >= self.wake {
            self.balancer.handle(self.time(), Event::MaintenanceDue, &mut self.actions);
            self.actions.clear();
            self.wake = self.now + 0.2;
        }
    }

    /// Until windows and latencies have filled.
    fn settle(&mut self, small: bool) {
        let steps = self.size.in_flight.max(1) * if small { 4 } else { 20 } + 2000;
        for _ in 0..steps {
            self.step();
            self.wake_when_due();
        }
    }
}

fn per_each(began: Instant, count: u64) -> f64 {
    began.elapsed().as_nanos() as f64 / count as f64
}

fn request_ns(plan: &Plan, size: Size, seed: u64, small: bool) -> Result<f64, CapacityError> {
    let mut played = Played::new(plan, size, seed)?;
    played.settle(small);
    let (rounds, batch) = if small { (20, 100) } else { (400, 500) };
    let mut spent = Duration::ZERO;
    let before = played.number;
    for _ in 0..rounds {
        let began = Instant::now();
        for _ in 0..batch {
            played.step();
        }
        spent += began.elapsed();
        played.wake_when_due();
    }
    let wanted = size.in_flight.max(1);
    if played.out.len() != wanted {
        let cause = format!("{} calls of {wanted} were out: some were not sent", played.out.len());
        return Err(CapacityError::run(format!("decisions, {size:?}"), cause));
    }
    Ok(spent.as_nanos() as f64 / (played.number - before) as f64)
}

fn list_change_ns(plan: &Plan, size: Size, seed: u64, small: bool) -> Result<f64, CapacityError> {
    let mut played = Played::new(plan, size, seed)?;
    played.settle(small);
    let count = if small { 50 } else { 500 + 100_000 / size.upstreams as u64 };
    let zones = plan.fleet.zones.value;
    let patches: Vec<Event> = (0..count as usize)
        .map(|change| {
            // Each of some upstreams leaves and comes back.
            let lifecycle = if change % 2 == 0 { Lifecycle::Draining } else { Lifecycle::Ready };
            let changed = Member { lifecycle, ..member(change / 2 % size.upstreams, zones) };
            Event::List(ListUpdate::Delta(vec![changed]))
        })
        .collect();
    let now = played.time();
    let began = Instant::now();
    for patch in patches {
        played.balancer.handle(now, patch, &mut played.actions);
    }
    Ok(per_each(began, count))
}

fn timer_ns(plan: &Plan, size: Size, seed: u64, small: bool) -> Result<f64, CapacityError> {
    let mut played = Played::new(plan, size, seed)?;
    played.settle(small);
    let count = if small { 200 } else { 2000 + 200_000 / size.tenants.max(1) as u64 };
    let began = Instant::now();
    for _ in 0..count {
        played.now += 0.2;
        let now = played.time();
        played.balancer.handle(now, Event::MaintenanceDue, &mut played.actions);
        played.actions.clear();
    }
    Ok(per_each(began, count))
}

// --- Memory ---

/// Resident bytes of this process.
///
/// # Errors
/// The system does not tell.
pub fn resident_bytes() -> Result<u64, CapacityError> {
    let path = Path::new("/proc/self/status");
    let text = std::fs::read_to_string(path).map_err(|cause| CapacityError::file(path, cause))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|rest| rest.split_whitespace().next()).and_then(|word| word.parse::<u64>().ok());
    kib.map(|kib| kib * 1024).ok_or_else(|| CapacityError::file(path, "no line VmRSS in kB"))
}

/// Bytes of each of so many cores built here.
fn held(plan: &Plan, size: Size, copies: usize, seed: u64) -> Result<u64, CapacityError> {
    let mut cores = Vec::with_capacity(copies);
    let mut build = |number: u64| -> Result<(), CapacityError> {
        let mut played = Played::new(plan, size, seed + number)?;
        for _ in 0..size.in_flight {
            played.now += CALL_S / size.in_flight as f64;
            played.take();
        }
        if played.out.len() != size.in_flight {
            return Err(CapacityError::run(format!("decisions, {size:?}"), "some calls were not sent"));
        }
        cores.push(played.balancer);
        Ok(())
    };
    // The first one brings in what is there once, such as the code.
    build(0)?;
    let before = resident_bytes()?;
    for number in 1..=copies as u64 {
        build(number)?;
    }
    let after = resident_bytes()?;
    drop(cores);
    Ok(after.saturating_sub(before) / copies.max(1) as u64)
}

/// The same in a fresh process, with as many cores as take about `most` bytes.
fn held_in_child(size: Size, most: usize, seed: u64) -> Result<f64, CapacityError> {
    let place = format!("decisions, bytes of {size:?}");
    let about = 2500 + size.upstreams * 250 + size.tenants * 400 + size.in_flight * 300;
    let copies = (most / about).max(4);
    let Size { upstreams, tenants, in_flight } = size;
    let program = std::env::current_exe().map_err(|cause| CapacityError::run(&place, cause))?;
    // The plan may be named on the command line, which the child must be told too.
    let named: Vec<String> = std::env::args().skip_while(|word| word != "--plan").take(2).collect();
    let done = Command::new(program)
        .args(named)
        .args(["decisions", "--seed", &seed.to_string(), "--hold"])
        .arg(format!("{upstreams},{tenants},{in_flight},{copies}"))
        .output()
        .map_err(|cause| CapacityError::run(&place, cause))?;
    if !done.status.success() {
        return Err(CapacityError::run(place, String::from_utf8_lossy(&done.stderr).trim()));
    }
    let text = String::from_utf8_lossy(&done.stdout);
    text.trim().parse().map_err(|_| CapacityError::run(place, format!("no number: {text}")))
}
