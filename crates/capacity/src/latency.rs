//! Latency that a real process adds to a call, beside a direct connection.

use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use clap::{Args, ValueEnum};
use oorandom::Rand64;

use crate::CapacityError;
use crate::plan::{Plan, Reading};
use crate::slope::{Fit, Point, Results, Slope, commit};
use crate::world::{
    self, Balancer, ByteRelay, Call, Common, Counts, Discovery, Distribution, End, Played, Times, Upstreams,
    Usage, Way,
};

/// What goes on beside the calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Beside {
    /// Nothing.
    Nothing,
    /// An entry of the list changes ten times a second.
    List,
    /// The configuration changes ten times a second.
    Configuration,
    /// Nothing, and what the added latency is made of is found out.
    MadeOf,
}

/// Latency that a real process adds to a call, beside a direct connection.
#[derive(Debug, Args)]
pub struct Arguments {
    #[command(flatten)]
    common: Common,
    /// What goes on beside the calls.
    #[arg(long, value_enum, default_value_t = Beside::Nothing)]
    beside: Beside,
    /// Calls a second through the balancer, at least two; without it the mean and the busiest of a
    /// balancer in both readings of the plan.
    #[arg(long, value_delimiter = ',')]
    rates: Vec<f64>,
    /// Plays of each rate.
    #[arg(long, default_value_t = 3)]
    plays: usize,
    /// Upstreams in the list, which as many balancers share.
    #[arg(long, default_value_t = 60)]
    upstreams: usize,
    /// Let the system choose cores for all threads. Without it the caller's thread, which spins, has core 0 for itself
    /// and all else the others (by `taskset`): what a caller wakes up would wait on its core for the system's next tick.
    #[arg(long)]
    anywhere: bool,
}

/// Calls a second at most: one caller's thread carries no more.
const RATE_MOST: f64 = 10_000.0;
/// Time between two changes.
const CHANGE_EVERY: Duration = Duration::from_millis(100);
/// What is left out at the start of each play.
const WARM: Duration = Duration::from_millis(700);
/// Connections of callers that stand beforehand.
const CALLERS: usize = 256;

/// Does it.
///
/// # Errors
/// With the place where it went wrong.
pub fn run(arguments: &Arguments, plan: &Plan) -> Result<(), CapacityError> {
    let wrong = |name, expected: String| Err(CapacityError::Argument { name, expected });
    let mut rates = arguments.rates.clone();
    if rates.is_empty() {
        // What it is made of takes many plays, so that only the higher reading is looked at.
        let readings = [Reading::Front, Reading::Hops];
        let looked_at = if arguments.beside == Beside::MadeOf { &readings[..1] } else { &readings };
        for &reading in looked_at {
            rates.extend([plan.mean_rate(reading), plan.busiest_rate(reading)]);
        }
    }
    rates.sort_by(f64::total_cmp);
    if rates.len() < 2 || !rates.iter().all(|rate| (1.0..=RATE_MOST).contains(rate)) {
        return wrong("rates", format!("two at least, each 1 to {RATE_MOST} a second"));
    }
    if !(1..=100).contains(&arguments.plays) {
        return wrong("plays", "1 to 100".to_owned());
    }
    if !(1..=2000).contains(&arguments.upstreams) {
        return wrong("upstreams", "1 to 2000".to_owned());
    }
    let cores =
        thread::available_parallelism().map_err(|cause| CapacityError::run("counting cores", cause))?.get();
    let placement =
        if arguments.anywhere || arguments.common.small { Placement::Anywhere } else { Placement::Apart };
    if placement == Placement::Apart && cores < CORES_LEAST {
        return wrong("anywhere", format!("needed with under {CORES_LEAST} cores"));
    }
    let program = arguments.common.program(world::BALANCER)?;
    let (slopes, results) = arguments.common.folders()?;
    let mut bench = Bench {
        arguments,
        plan,
        program: &program,
        cores,
        placement,
        rng: Rand64::new(u128::from(arguments.common.seed)),
    };
    if arguments.beside == Beside::MadeOf {
        let table = bench.made_of(&rates)?;
        println!("{}", table.columns.join(" | "));
        for row in &table.rows {
            println!("{}", row.join(" | "));
        }
        return table.write(&results);
    }
    for slope in bench.slopes(&rates)? {
        println!("{}", slope.name);
        for point in &slope.points {
            println!("  {:>7.1}: {:>8.1} us ({:.1} to {:.1})", point.x, point.y, point.low, point.high);
        }
        println!("  {}", slope.note);
        slope.write(&slopes)?;
    }
    Ok(())
}

/// Where threads run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Placement {
    /// Where the system puts them.
    Anywhere,
    /// The caller on core 0, all else on the others.
    Apart,
    /// The same with the balancer alone on the last.
    Alone,
}

impl Placement {
    /// Places this thread and what it starts but the caller; tells where the balancer is held to. `held` says whether
    /// another play was placed before.
    fn place(self, cores: usize, held: bool) -> Result<Option<usize>, CapacityError> {
        match self {
            Self::Anywhere if !held => Ok(None),
            Self::Anywhere => world::hold_to(&format!("0-{}", cores - 1)).map(|()| None),
            Self::Apart => world::hold_to(&format!("1-{}", cores - 1)).map(|()| None),
            Self::Alone => world::hold_to(&format!("1-{}", cores - 2)).map(|()| Some(cores - 1)),
        }
    }
}

/// With fewer cores the caller can't have one for itself.
const CORES_LEAST: usize = 4;

/// Seconds of a play: longer where calls are few.
fn span(rate: f64, small: bool) -> Duration {
    let calls = if small { 50.0 } else { 3000.0 };
    Duration::from_secs_f64((calls / rate).clamp(if small { 0.2 } else { 3.0 }, 7.0))
}

/// One play.
#[derive(Debug, Clone, Copy)]
struct Setup {
    rate: f64,
    upstreams: usize,
    placement: Placement,
    even: bool,
    relay: bool,
    changes: Option<Changes>,
}

/// What changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Changes {
    List,
    Configuration,
}

/// What one play gave.
struct Play {
    direct: Times,
    through: Times,
    /// Through the relay of bytes, where one was played.
    relay: Times,
    /// Through the balancer less direct, pair by pair; a pair whose direct call took longer counts as nothing.
    difference: Times,
    /// Pairs whose direct call took longer.
    inverted: usize,
    /// How late calls were sent.
    late: Times,
    kept: Times,
    new: Times,
    around: Around,
}

/// What else there is to tell of a play.
#[derive(Debug, Clone, Copy)]
struct Around {
    counts: Counts,
    used: Usage,
    span: Duration,
    /// Connections to upstreams.
    opened: u64,
    changes: usize,
    /// Ms of a core that the machine under this one took meanwhile, over all cores.
    stolen_ms: u64,
}

struct Bench<'a> {
    arguments: &'a Arguments,
    plan: &'a Plan,
    program: &'a Path,
    cores: usize,
    placement: Placement,
    rng: Rand64,
}

impl Bench<'_> {
    fn setup(&self, rate: f64) -> Setup {
        Setup {
            rate,
            upstreams: self.arguments.upstreams,
            placement: self.placement,
            even: false,
            relay: false,
            changes: match self.arguments.beside {
                Beside::List => Some(Changes::List),
                Beside::Configuration => Some(Changes::Configuration),
                Beside::Nothing | Beside::MadeOf => None,
            },
        }
    }

    fn play(&mut self, setup: &Setup) -> Result<Play, CapacityError> {
        let warm = if self.arguments.common.small { WARM / 5 } else { WARM };
        let length = span(setup.rate, self.arguments.common.small) + warm;
        let calls =
            world::paired(&mut self.rng, 2 + usize::from(setup.relay), setup.rate, length, setup.even);
        let core = setup.placement.place(self.cores, self.placement != Placement::Anywhere)?;
        let upstreams = Upstreams::start(setup.upstreams, 2, calls.len())?;
        let beat = Duration::from_secs_f64(self.plan.list.beat_s.value);
        let discovery = Discovery::start(upstreams.entries(), beat)?;
        let settings = world::settings(self.plan, setup.upstreams);
        let mut configuration =
            world::configuration("b0", discovery.address, &upstreams.entries(), &settings);
        let distribution = match setup.changes {
            Some(Changes::Configuration) => {
                let program = self.arguments.common.program(world::DISTRIBUTION)?;
                let distribution = Distribution::start(&program, 1)?;
                configuration["distribution"] = distribution.named();
                Some(distribution)
            }
            _ => None,
        };
        let balancer = Balancer::start(self.program, &configuration, core, |_| ())?;
        let relay = if setup.relay { Some(ByteRelay::start(upstreams.addresses.clone())?) } else { None };
        let way = |targets| Way {
            targets,
            warm: CALLERS,
            deadline: Duration::from_secs_f64(self.plan.traffic.deadline_s.value),
            tenants: self.plan.traffic.tenants.value,
        };
        let mut ways = vec![way(upstreams.addresses.clone()), way(vec![balancer.address])];
        ways.extend(relay.iter().map(|relay| way(vec![relay.address])));
        let first = upstreams.seen.take_ids(calls.len())?;
        let begins = calls.iter().position(|call| call.at >= warm).unwrap_or(calls.len());

        let progress = AtomicUsize::new(0);
        let over = AtomicBool::new(false);
        let core_0 = setup.placement != Placement::Anywhere;
        let (played, marks, changes) = thread::scope(|scope| {
            let caller = scope.spawn(|| {
                let placed = if core_0 { world::hold_to("0") } else { Ok(()) };
                let zero = Instant::now() + world::CONNECT_FIRST;
                let played = placed.and_then(|()| world::play(&calls, &ways, first, zero, &progress));
                over.store(true, Ordering::Release);
                played
            });
            let (mut marks, mut changes, began) = (None, 0, Instant::now());
            let mut published = Ok(0);
            while !over.load(Ordering::Acquire) {
                thread::sleep(Duration::from_millis(5));
                if marks.is_none() && progress.load(Ordering::Acquire) >= begins {
                    marks =
                        Some((world::stolen_ms(), Usage::of(balancer.process.id()), upstreams.seen.opened()));
                }
                let Some(kind) = setup.changes else { continue };
                if began.elapsed() > CHANGE_EVERY * (changes as u32 + 1) {
                    match (kind, &distribution) {
                        (Changes::Configuration, Some(distribution)) => {
                            let (scope, document) = world::configuration_change(self.plan, changes);
                            published = published.and_then(|_| {
                                distribution.publish(scope, &format!("change-{changes}"), &document)
                            });
                        }
                        _ => change(&upstreams, &discovery, changes),
                    }
                    changes += 1;
                }
            }
            (caller.join(), marks, published.map(|_| changes))
        });
        let played = played.map_err(|_| CapacityError::run("calling", "the caller's thread ended"))??;
        let changes = changes?;
        let Some((stolen, before, opened)) = marks else {
            return Err(CapacityError::run("calling", "the play was over before its start"));
        };
        let used = Usage::of(balancer.process.id())?.since(before?);
        let counts = Counts::of(&calls, &played, &upstreams.seen, first);
        let opened = upstreams.seen.opened() - opened;
        let stolen_ms = world::stolen_ms().saturating_sub(stolen);
        let around = Around { counts, used, span: length - warm, opened, changes, stolen_ms };
        sort_out(&calls[begins..], &played[begins..], around)
    }

    /// Added latency against the rate.
    fn slopes(&mut self, rates: &[f64]) -> Result<Vec<Slope>, CapacityError> {
        let plays = if self.arguments.common.small { 1 } else { self.arguments.plays };
        let mut figures: [Vec<Point>; 4] = [const { Vec::new() }; 4];
        let mut told = Vec::new();
        for &rate in rates {
            let mut of_rate: [Vec<f64>; 4] = [const { Vec::new() }; 4];
            let (mut counts, mut changes, mut busy, mut late) = (Counts::default(), 0, 0.0, 0.0_f64);
            let mut stolen = 0.0;
            for _ in 0..plays {
                let play = self.play(&self.setup(rate))?;
                for (place, quantile) in QUANTILES.into_iter().enumerate() {
                    of_rate[place].push(play.through.us(quantile) - play.direct.us(quantile));
                }
                of_rate[3].push(play.direct.us(0.99));
                counts = counts.and(play.around.counts);
                changes += play.around.changes;
                busy += play.around.used.cpu_ns as f64 / play.around.span.as_nanos() as f64 / plays as f64;
                stolen += play.around.stolen_ms as f64 / play.around.span.as_millis() as f64 / plays as f64;
                late = late.max(play.late.us(0.99));
            }
            for (points, plays) in figures.iter_mut().zip(of_rate) {
                points.extend(Point::of(rate, plays));
            }
            told.push(format!(
                "{rate:.0} a second: {} calls, {} not answered rightly, {} ran twice, {changes} changes, {:.3} of a core, \
                 99 in 100 sent within {late:.0} us of their time, {stolen:.2} cores taken by the machine below",
                counts.calls,
                counts.calls - counts.right,
                counts.twice + counts.repeated,
                busy,
            ));
        }
        let [p50, p99, p999, direct] = figures;
        let (suffix, meanwhile) = match self.arguments.beside {
            Beside::List => ("_list", ", while an entry of the list drains or returns every 0.1 s"),
            Beside::Configuration => ("_configuration", ", while its configuration changes every 0.1 s"),
            Beside::Nothing | Beside::MadeOf => ("", ""),
        };
        let note = format!(
            "The quantile of calls through the balancer less the same quantile of calls that went directly in the same \
             play, each call's time counted from when it was to be sent. One caller's thread, which spins; the same \
             {} stand-in upstreams, which answer at once; each pair of calls 1 to 3 ms apart in drawn order; {}. {}",
            self.arguments.upstreams,
            match self.placement {
                Placement::Anywhere => "the system chooses the cores",
                _ => "the caller's thread on core 0, all else on the others (by taskset)",
            },
            told.join(". ")
        );
        let slope = |name: String, what: String, points: Vec<Point>| Slope {
            name,
            what,
            x_unit: "calls a second through one balancer".to_owned(),
            y_unit: "us".to_owned(),
            command: self.command(),
            commit: commit(),
            plays,
            fit: Fit::through(&points),
            points,
            note: note.clone(),
        };
        let mut written = Vec::new();
        for (name, in_words, points) in [("p50", "50", p50), ("p99", "99", p99), ("p999", "99.9", p999)] {
            let what = format!("Latency that a balancer adds to a call, at {in_words} in 100{meanwhile}.");
            written.push(slope(format!("latency.added_{name}_us_by_rate{suffix}"), what, points));
        }
        if suffix.is_empty() {
            let what = "Latency of a direct call at 99 in 100: what the machine's own spread is.".to_owned();
            written.push(slope("latency.direct_p99_us_by_rate".to_owned(), what, direct));
        }
        Ok(written)
    }

    fn command(&self) -> String {
        let beside = self.arguments.beside.to_possible_value();
        let beside = beside.as_ref().map_or("", |value| value.get_name());
        let rates: Vec<String> = self.arguments.rates.iter().map(f64::to_string).collect();
        let rates = if rates.is_empty() { String::new() } else { format!(" --rates {}", rates.join(",")) };
        let anywhere = if self.arguments.anywhere { " --anywhere" } else { "" };
        format!(
            "target/release/capacity latency --beside {beside} --plays {}{rates}{anywhere} --seed {}",
            self.arguments.plays, self.arguments.common.seed
        )
    }

    /// What runs by itself: the watch, the decisions' timers, the sweeps of connections, the log.
    fn timers(&self) -> Result<Vec<String>, CapacityError> {
        let upstreams = Upstreams::start(self.arguments.upstreams, 1, 0)?;
        let discovery =
            Discovery::start(upstreams.entries(), Duration::from_secs_f64(self.plan.list.beat_s.value))?;
        let settings = world::settings(self.plan, self.arguments.upstreams);
        let configuration = world::configuration("b0", discovery.address, &upstreams.entries(), &settings);
        let balancer = Balancer::start(self.program, &configuration, None, |_| ())?;
        let span = Duration::from_secs(if self.arguments.common.small { 1 } else { 6 });
        thread::sleep(span / 6);
        let before = Usage::of(balancer.process.id())?;
        thread::sleep(span);
        let used = Usage::of(balancer.process.id())?.since(before);
        let tells = format!(
            "woken {:.1} times a second, {:.0} us of a core each time: {:.3} in 100 of all time",
            used.slices as f64 / span.as_secs_f64(),
            used.cpu_ns as f64 / 1000.0 / used.slices.max(1) as f64,
            used.cpu_ns as f64 * 100.0 / span.as_nanos() as f64,
        );
        Ok(["0", "timers at rest", "-", "-", "-", "0", &tells].map(str::to_owned).to_vec())
    }

    /// What the added latency is made of.
    fn made_of(&mut self, rates: &[f64]) -> Result<Results, CapacityError> {
        let mut rows = vec![self.timers()?];
        for &rate in rates {
            let plain = Setup { relay: true, ..self.setup(rate) };
            let play = self.play(&plain)?;
            let mut row = |part: &str, times: &Times, tells: String| {
                rows.push(row_of(rate, part, [0.5, 0.99, 0.999].map(|q| times.us(q)), times.count(), &tells));
            };
            row("direct", &play.direct, "the upstream, the caller and the machine".to_owned());
            row(
                "through a relay of bytes",
                &play.relay,
                "the same runtime, no HTTP, no decisions, no choice of connection".to_owned(),
            );
            row("through the balancer", &play.through, format!("{:?}", play.around.counts));
            row(
                "of these on kept connections",
                &play.kept,
                format!("to upstreams, of {}", play.through.count()),
            );
            row(
                "of these on new connections",
                &play.new,
                format!("{} opened in {:.0} s", play.around.opened, play.around.span.as_secs_f64()),
            );
            row(
                "through less direct, pair by pair",
                &play.difference,
                format!("{} pairs the other way round count as 0", play.inverted),
            );
            row(
                "sent after its time",
                &play.late,
                "the caller's own lateness, in all of the above".to_owned(),
            );
            let added = |play: &Play| QUANTILES.map(|q| play.through.us(q) - play.direct.us(q));
            rows.push(row_of(
                rate,
                "relay less direct",
                QUANTILES.map(|q| play.relay.us(q) - play.direct.us(q)),
                play.relay.count(),
                "what any process between costs here",
            ));
            rows.push(row_of(rate, "added", added(&play), play.through.count(), &usage(&play)));
            for (part, setup) in [
                ("added, calls evenly spaced", Setup { even: true, ..plain }),
                ("added, 6 upstreams", Setup { upstreams: 6, ..plain }),
                (
                    "added, 1900 upstreams",
                    Setup { upstreams: if self.arguments.common.small { 90 } else { 1900 }, ..plain },
                ),
                ("added, balancer alone on a core", Setup { placement: Placement::Alone, ..plain }),
                ("added, caller anywhere", Setup { placement: Placement::Anywhere, ..plain }),
            ] {
                if self.arguments.common.small && setup.placement != plain.placement {
                    continue;
                }
                let play = self.play(&Setup { relay: false, ..setup })?;
                rows.push(row_of(rate, part, added(&play), play.through.count(), &usage(&play)));
            }
        }
        Ok(Results {
            name: "latency_made_of".to_owned(),
            what: "What the latency that a balancer adds is made of, by rate.".to_owned(),
            command: self.command(),
            commit: commit(),
            columns: ["calls a second", "part", "50 in 100, us", "99 in 100, us", "99.9 in 100, us", "calls", "beside it"]
                .map(str::to_owned)
                .to_vec(),
            rows,
            note: "One play each. Times count from when a call was to be sent. `added` is the quantile through the balancer \
                   less that of direct calls in the same play. A relay of bytes is a thread of the rig that copies between \
                   two sockets on the balancer's kind of runtime."
                .to_owned(),
        })
    }
}

const QUANTILES: [f64; 3] = [0.5, 0.99, 0.999];

fn row_of(rate: f64, part: &str, us: [f64; 3], calls: u64, tells: &str) -> Vec<String> {
    let [p50, p99, p999] = us.map(|us| format!("{us:.0}"));
    vec![format!("{rate:.0}"), part.to_owned(), p50, p99, p999, calls.to_string(), tells.to_owned()]
}

/// What the balancer used in a play.
fn usage(play: &Play) -> String {
    let calls = play.through.count().max(1) as f64;
    format!(
        "{:.0} us of a core a call, {:.3} of a core; woken {:.1} times a call, waited {:.1} us for a core each time; \
         {} connections opened to upstreams; {} ms of a core taken by the machine below",
        play.around.used.cpu_ns as f64 / 1000.0 / calls,
        play.around.used.cpu_ns as f64 / play.around.span.as_nanos() as f64,
        play.around.used.slices as f64 / calls,
        play.around.used.waited_ns as f64 / 1000.0 / play.around.used.slices.max(1) as f64,
        play.around.opened,
        play.around.stolen_ms,
    )
}

/// The next change of the list: an upstream begins to drain, or comes back from its drain as a new process.
fn change(upstreams: &Upstreams, discovery: &Discovery, number: usize) {
    let upstream = (number / 2) % upstreams.addresses.len();
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    let (status, since) = if number.is_multiple_of(2) { ("draining", 0) } else { ("ready", now) };
    discovery.change(upstream, upstreams.entry(upstream, status, since));
}

fn sort_out(calls: &[Call], played: &[Played], around: Around) -> Result<Play, CapacityError> {
    // A call without its own answer has no latency; how many there are is told beside it.
    let right = || calls.iter().zip(played).filter(|(_, played)| played.is_right());
    let of = |way: usize| {
        Times::of(right().filter(|(call, _)| call.way == way).map(|(call, played)| played.latency(call)))
    };
    let on = |new: bool| {
        let own = right()
            .filter(|(call, played)| call.way == THROUGH && played.end == End::Right { new_connection: new });
        Times::of(own.map(|(call, played)| played.latency(call)))
    };
    let pairs = calls.iter().map(|call| call.pair + 1).max().unwrap_or(0);
    let mut paired: Vec<[Option<Duration>; 2]> = vec![[None; 2]; pairs];
    for (call, played) in right().filter(|(call, _)| call.way <= THROUGH) {
        paired[call.pair][call.way] = Some(played.latency(call));
    }
    let both: Vec<(Duration, Duration)> =
        paired.into_iter().filter_map(|[direct, through]| Some((direct?, through?))).collect();
    Ok(Play {
        direct: of(DIRECT)?,
        through: of(THROUGH)?,
        relay: of(RELAY)?,
        inverted: both.iter().filter(|(direct, through)| through < direct).count(),
        difference: Times::of(both.iter().map(|(direct, through)| through.saturating_sub(*direct)))?,
        late: Times::of(calls.iter().zip(played).map(|(call, played)| played.sent.saturating_sub(call.at)))?,
        kept: on(false)?,
        new: on(true)?,
        around,
    })
}

/// The ways of calls.
const DIRECT: usize = 0;
const THROUGH: usize = 1;
const RELAY: usize = 2;
