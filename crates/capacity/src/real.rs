//! Real balancers through changes of the list and of configuration, under load.

use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use clap::{Args, ValueEnum};
use oorandom::Rand64;

use crate::CapacityError;
use crate::plan::{Plan, Reading};
use crate::slope::{Results, commit};
use crate::world::{
    self, Balancer, Call, Common, Counts, Discovery, Distribution, Played, Times, Upstreams, Way,
};

/// What changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum What {
    /// An upstream begins to drain, or comes back.
    List,
    /// A document of the configuration.
    Configuration,
    /// One after the other.
    Both,
}

/// Real balancers through changes of the list and of configuration, under load.
#[derive(Debug, Args)]
pub struct Arguments {
    #[command(flatten)]
    common: Common,
    /// What changes.
    #[arg(long, value_enum, default_value_t = What::Both)]
    what: What,
    /// Balancers.
    #[arg(long, default_value_t = 30)]
    balancers: usize,
    /// Changes of each kind, in blocks of ten with as long a time without any before each.
    #[arg(long, default_value_t = 50)]
    changes: usize,
    /// Time between two changes, in seconds; without it 0.3 for the list, and for configuration that of the plan's busiest
    /// minute.
    #[arg(long)]
    every: Option<f64>,
    /// Calls a second through each balancer; without it the mean, where the plan's calls are those over all hops.
    #[arg(long)]
    rate: Option<f64>,
    /// Upstreams in the list.
    #[arg(long, default_value_t = 60)]
    upstreams: usize,
    /// Let the system choose cores for all threads. Without it the caller's thread, which spins, has core 0 for itself.
    #[arg(long)]
    anywhere: bool,
}

/// Changes of one block.
const BLOCK: usize = 10;
/// Calls a second at most: one caller's thread carries no more.
const RATE_MOST: f64 = 5000.0;
/// Stand-in upstreams of direct calls.
const DIRECT: usize = 8;
/// Time between two changes of the list, in seconds.
const LIST_EVERY_S: f64 = 0.3;
/// Connections of callers to each balancer that stand beforehand.
const CALLERS: usize = 8;
/// Connections to the stand-in upstreams of direct calls that stand beforehand.
const DIRECT_CONNECTIONS: usize = 64;
/// Balancers of a small play.
const BALANCERS_SMALL: usize = 3;
/// Time between two changes of a small play, in seconds.
const EVERY_SMALL_S: f64 = 0.03;

/// Does it.
///
/// # Errors
/// With the place where it went wrong; also where a call was lost, wrongly answered or ran twice though it must not,
/// after the table of it is written.
pub fn run(arguments: &Arguments, plan: &Plan) -> Result<(), CapacityError> {
    let size = Size::of(arguments, plan)?;
    let (_, results) = arguments.common.folders()?;
    let mut rng = Rand64::new(u128::from(arguments.common.seed));
    let kinds = match arguments.what {
        What::Both => vec![What::List, What::Configuration],
        one => vec![one],
    };
    let (mut rows, mut counts) = (Vec::new(), Counts::default());
    for what in kinds {
        let every = interval(arguments, plan, what);
        let setup = Setup { arguments, plan, size, what, every };
        let played = setup.play(&mut rng)?;
        counts = counts.and(played.counts);
        rows.push(played.row(&setup)?);
    }
    let table = table(arguments, &size, rows);
    for row in &table.rows {
        for (column, value) in table.columns.iter().zip(row) {
            println!("{column}: {value}");
        }
    }
    table.write(&results)?;
    if counts.wrong + counts.lost + counts.twice > 0 {
        return Err(CapacityError::run("real balancers", format!("{counts:?}")));
    }
    Ok(())
}

/// How large a play is.
#[derive(Clone, Copy)]
struct Size {
    balancers: usize,
    changes: usize,
    /// Calls a second over all balancers.
    rate: f64,
    /// Of the machine; counted before a thread is held to some of them.
    cores: usize,
}

impl Size {
    /// Of these arguments.
    ///
    /// # Errors
    /// One is outside its range.
    fn of(arguments: &Arguments, plan: &Plan) -> Result<Self, CapacityError> {
        let wrong = |name, expected: String| Err(CapacityError::Argument { name, expected });
        let small = arguments.common.small;
        if !(1..=world::BALANCERS_MOST).contains(&arguments.balancers) {
            return wrong("balancers", format!("1 to {}", world::BALANCERS_MOST));
        }
        if !(1..=1000).contains(&arguments.changes) {
            return wrong("changes", "1 to 1000".to_owned());
        }
        if !(0.01..=60.0).contains(&arguments.every.unwrap_or(LIST_EVERY_S)) {
            return wrong("every", "0.01 to 60 s".to_owned());
        }
        if !(2..=2000).contains(&arguments.upstreams) {
            return wrong("upstreams", "2 to 2000".to_owned());
        }
        let balancers = if small { BALANCERS_SMALL } else { arguments.balancers };
        let rate = arguments.rate.unwrap_or_else(|| plan.mean_rate(Reading::Hops)) * balancers as f64;
        if !(1.0..=RATE_MOST).contains(&rate) {
            return wrong("rate", format!("1 to {RATE_MOST} a second, over all balancers"));
        }
        let cores = thread::available_parallelism().map_or(1, usize::from);
        if cores < 2 && !arguments.anywhere && !small {
            return wrong("anywhere", "needed with one core".to_owned());
        }
        let changes = if small { BLOCK.min(arguments.changes) } else { arguments.changes };
        Ok(Self { balancers, changes, rate, cores })
    }
}

/// The time between two changes.
fn interval(arguments: &Arguments, plan: &Plan, what: What) -> Duration {
    let usual_s =
        if what == What::List { LIST_EVERY_S } else { 60.0 / plan.configuration.peak_per_minute.value };
    let small = arguments.common.small;
    Duration::from_secs_f64(if small { EVERY_SMALL_S } else { arguments.every.unwrap_or(usual_s) })
}

fn table(arguments: &Arguments, size: &Size, rows: Vec<Vec<String>>) -> Results {
    let Size { balancers, changes, rate, .. } = size;
    Results {
        name: "real".to_owned(),
        what: "Real balancers under load through changes of the list and of configuration.".to_owned(),
        command: format!(
            "target/release/capacity real --balancers {balancers} --changes {changes}{} --seed {}",
            arguments.every.map_or(String::new(), |every| format!(" --every {every}")),
            arguments.common.seed
        ),
        commit: commit(),
        columns: COLUMNS.map(str::to_owned).to_vec(),
        rows,
        note: format!(
            "{rate:.0} calls a second over all balancers at drawn times, each beside a direct call in the same play; \
             {} stand-in upstreams, which answer at once and count each call by its id. Blocks of {BLOCK} changes, told how far \
             apart, alternate with blocks of the same length without any. A change of configuration is in force \
             when the balancer's log says so, counted from before it is published to the origin, over one of two relays; \
             a drain is when the last call has come to its upstream, 0 where none came after it was published. Added: the quantile through the \
             balancers less that of direct calls, in us; the blocks without changes have the spread that is told.",
            arguments.upstreams,
        ),
    }
}

const COLUMNS: [&str; 18] = [
    "changes of",
    "balancers",
    "changes",
    "s between two",
    "calls",
    "answered rightly",
    "refused, not run",
    "answered wrongly",
    "lost",
    "ran twice and must not",
    "ran twice and may",
    "in force at the last one, middle, ms",
    "in force at the last one, most, ms",
    "added p50 without changes, us",
    "added p50 with changes, us",
    "added p99 without changes, us",
    "added p99 with changes, us",
    "added p99 by block without changes, us",
];

struct Setup<'a> {
    arguments: &'a Arguments,
    plan: &'a Plan,
    size: Size,
    what: What,
    every: Duration,
}

/// The processes and stand-ins of a play; the balancers end first.
struct Running {
    balancers: Vec<Balancer>,
    distribution: Option<Distribution>,
    discovery: Discovery,
    upstreams: Upstreams,
    /// What the balancers' logs say is in force.
    says: mpsc::Receiver<InForce>,
}

/// What a play gave.
struct Outcome {
    calls: Vec<Call>,
    played: Vec<Played>,
    counts: Counts,
    /// By change, from its publication until it was in force at the last balancer.
    in_force: Vec<Duration>,
}

/// A balancer's word that a version of a scope is in force.
struct InForce {
    balancer: usize,
    scope: String,
    version: u64,
    at: Instant,
}

/// The changes of a play.
struct Changes {
    /// Those of configuration.
    published: Vec<Published>,
    /// How long each drain took to be in force.
    drained: Vec<Duration>,
}

/// A change that was published.
struct Published {
    scope: &'static str,
    version: u64,
    at: Instant,
}

impl Setup<'_> {
    /// The block that a time lies in; changes are made in every other one, beginning with the second.
    fn block(&self, at: Duration) -> usize {
        (at.as_secs_f64() / self.every.as_secs_f64() / BLOCK as f64) as usize
    }

    fn length(&self) -> Duration {
        self.every * (2 * BLOCK * self.size.changes.div_ceil(BLOCK)) as u32
    }

    fn play(&self, rng: &mut Rand64) -> Result<Outcome, CapacityError> {
        let program = self.arguments.common.program(world::BALANCER)?;
        if self.is_apart() {
            world::hold_to(&format!("1-{}", self.size.cores - 1))?;
        }
        let calls = self.draw_calls(rng);
        let running = self.start(&program, calls.len())?;
        let first = running.upstreams.seen.take_ids(calls.len())?;
        let (played, changes) = self.call_through_changes(&running, &calls, first)?;
        let Changes { published, drained: mut in_force } = changes;
        if running.distribution.is_some() {
            let words = words(&running.says, &published, self.size.balancers);
            for change in &published {
                in_force.push(self.last(change, &words)?);
            }
        }
        let counts = Counts::of(&calls, &played, &running.upstreams.seen, first);
        Ok(Outcome { calls, played, counts, in_force })
    }

    /// Whether the caller's thread has a core for itself.
    fn is_apart(&self) -> bool {
        !self.arguments.anywhere && !self.arguments.common.small
    }

    /// Pairs of a direct call and one through a drawn balancer.
    fn draw_calls(&self, rng: &mut Rand64) -> Vec<Call> {
        let mut calls = world::paired(rng, 2, self.size.rate, self.length(), false);
        for call in calls.iter_mut().filter(|call| call.way > 0) {
            call.way = 1 + rng.rand_range(0..self.size.balancers as u64) as usize;
        }
        calls
    }

    /// Starts everything that the calls need.
    fn start(&self, program: &Path, calls: usize) -> Result<Running, CapacityError> {
        // Direct calls go to some that no list has, so that a call to one that drains is a balancer's.
        let listed = self.arguments.upstreams;
        let upstreams = Upstreams::start(listed + DIRECT, 2, calls)?;
        let entries = &upstreams.entries()[..listed];
        let beat = Duration::from_secs_f64(self.plan.list.beat_s.value);
        let discovery = Discovery::start(entries.to_vec(), beat)?;
        let distribution = match self.what {
            What::Configuration => {
                Some(Distribution::start(&self.arguments.common.program(world::DISTRIBUTION)?, 2)?)
            }
            _ => None,
        };
        let settings = world::settings(self.plan, self.size.balancers);
        let (said, says) = mpsc::channel();
        let mut balancers = Vec::new();
        for number in 0..self.size.balancers {
            let name = format!("b{number}");
            let mut configuration = world::configuration(&name, discovery.address, entries, &settings);
            configuration["settings"]["me"] = number.into();
            configuration["seed"] = format!("{:x}", 0x8c1f + number).into();
            if let Some(distribution) = &distribution {
                configuration["distribution"] = distribution.named();
            }
            let line = reporter(number, said.clone());
            balancers.push(Balancer::start(program, &configuration, None, line)?);
        }
        Ok(Running { balancers, distribution, discovery, upstreams, says })
    }

    /// The way of direct calls, then that of each balancer.
    fn ways(&self, running: &Running) -> Vec<Way> {
        let way = |targets, warm| Way {
            targets,
            warm,
            deadline: Duration::from_secs_f64(self.plan.traffic.deadline_s.value),
            tenants: self.plan.traffic.tenants.value,
        };
        let direct = running.upstreams.addresses[self.arguments.upstreams..].to_vec();
        let mut ways = vec![way(direct, DIRECT_CONNECTIONS)];
        ways.extend(running.balancers.iter().map(|balancer| way(vec![balancer.address], CALLERS)));
        ways
    }

    /// Makes the calls on a thread of their own, and the changes meanwhile.
    fn call_through_changes(
        &self,
        running: &Running,
        calls: &[Call],
        first: usize,
    ) -> Result<(Vec<Played>, Changes), CapacityError> {
        let ways = self.ways(running);
        let zero = Instant::now() + world::CONNECT_FIRST * 2;
        let over = AtomicBool::new(false);
        thread::scope(|scope| {
            let caller = scope.spawn(|| {
                let placed = if self.is_apart() { world::hold_to("0") } else { Ok(()) };
                let progress = AtomicUsize::new(0);
                let played = placed.and_then(|()| world::play(calls, &ways, first, zero, &progress));
                over.store(true, Ordering::Release);
                played
            });
            let changes = self.make_changes(zero, &over, running);
            let ended = |_| CapacityError::run("calling", "the caller's thread ended");
            let played = caller.join().map_err(ended)??;
            Ok((played, changes?))
        })
    }

    /// Makes the changes at their times; tells those of configuration, and how long each drain took to be in force.
    fn make_changes(
        &self,
        zero: Instant,
        over: &AtomicBool,
        running: &Running,
    ) -> Result<Changes, CapacityError> {
        let Running { upstreams, discovery, distribution, .. } = running;
        let (mut published, mut drained) = (Vec::new(), Vec::new());
        let mut drains: Option<(usize, Instant)> = None;
        for number in 0..self.size.changes {
            // The first block of each two is without.
            let slot = number / BLOCK * 2 * BLOCK + BLOCK + number % BLOCK;
            let at = zero + self.every * slot as u32;
            while Instant::now() < at && !over.load(Ordering::Acquire) {
                thread::sleep(Duration::from_millis(1));
            }
            let at = Instant::now();
            if let Some(distribution) = distribution {
                let (scope, document) = world::configuration_change(self.plan, number);
                let version = distribution.publish(scope, &format!("change-{number}"), &document)?;
                published.push(Published { scope, version, at });
            } else if let Some((upstream, since)) = drains.take() {
                let last = upstreams.seen.latest(upstream).unwrap_or(since);
                drained.push(last.saturating_duration_since(since));
                let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
                discovery.change(upstream, upstreams.entry(upstream, "ready", now.as_millis() as u64));
            } else {
                let upstream = number / 2 % self.arguments.upstreams;
                discovery.change(upstream, upstreams.entry(upstream, "draining", 0));
                drains = Some((upstream, at));
            }
        }
        Ok(Changes { published, drained })
    }

    /// When a change was in force at the last balancer: that version, or a later one of its scope.
    fn last(&self, change: &Published, words: &[InForce]) -> Result<Duration, CapacityError> {
        let mut last = Duration::ZERO;
        for balancer in 0..self.size.balancers {
            let word = words.iter().find(|word| {
                word.balancer == balancer && word.scope == change.scope && word.version >= change.version
            });
            let Some(word) = word else {
                let cause =
                    format!("{} {} never came to be in force at b{balancer}", change.scope, change.version);
                return Err(CapacityError::run("changes of configuration", cause));
            };
            last = last.max(word.at.saturating_duration_since(change.at));
        }
        Ok(last)
    }
}

/// Sends on what a balancer's log says is in force.
fn reporter(balancer: usize, said: mpsc::Sender<InForce>) -> impl Fn(&str) {
    move |line| {
        for (scope, version) in in_force(line) {
            let at = Instant::now();
            // Once the play has ended, nobody wants to know.
            let _ = said.send(InForce { balancer, scope, version, at });
        }
    }
}

/// The scopes and versions that a line of a balancer's log says are in force.
fn in_force(line: &str) -> Vec<(String, u64)> {
    let Some((_, list)) = line.split_once("in force over the file's own settings: ") else {
        return Vec::new();
    };
    let read = |part: &str| {
        let (scope, version) = part.trim().split_once(' ')?;
        Some((scope.to_owned(), version.parse().ok()?))
    };
    list.split(',').filter_map(read).collect()
}

/// What the balancers said, until each has said so of the last change of each scope or for long enough.
fn words(says: &mpsc::Receiver<InForce>, published: &[Published], balancers: usize) -> Vec<InForce> {
    let newest =
        |scope: &str| published.iter().filter(|change| change.scope == scope).map(|c| c.version).max();
    let mut scopes: Vec<&str> = published.iter().map(|change| change.scope).collect();
    scopes.sort_unstable();
    scopes.dedup();
    let (mut words, mut done) = (Vec::new(), 0);
    let by = Instant::now() + Duration::from_secs(20);
    while done < scopes.len() * balancers
        && let Ok(word) = says.recv_timeout(by.saturating_duration_since(Instant::now()))
    {
        let is_new = !words.iter().any(|w: &InForce| {
            w.balancer == word.balancer && w.scope == word.scope && w.version == word.version
        });
        done += usize::from(is_new && newest(&word.scope) == Some(word.version));
        if is_new {
            words.push(word);
        }
    }
    words
}

impl Outcome {
    fn row(&self, setup: &Setup<'_>) -> Result<Vec<String>, CapacityError> {
        let times = |through: bool, wanted: &dyn Fn(usize) -> bool| {
            let own = self.calls.iter().zip(&self.played).filter(|(call, played)| {
                played.is_right() && (call.way > 0) == through && wanted(setup.block(call.at))
            });
            Times::of(own.map(|(call, played)| played.latency(call)))
        };
        let added = |quantile: f64, wanted: &dyn Fn(usize) -> bool| -> Result<f64, CapacityError> {
            Ok(times(true, wanted)?.us(quantile) - times(false, wanted)?.us(quantile))
        };
        let (without, with) =
            (|block: usize| block.is_multiple_of(2), |block: usize| !block.is_multiple_of(2));
        let mut quiet = Vec::new();
        for block in (0..2 * setup.size.changes.div_ceil(BLOCK)).step_by(2) {
            quiet.push(format!("{:.0}", added(0.99, &|other| other == block)?));
        }
        let mut in_force: Vec<f64> = self.in_force.iter().map(|span| span.as_secs_f64() * 1000.0).collect();
        in_force.sort_by(f64::total_cmp);
        let ms = |value: Option<&f64>| value.map_or("-".to_owned(), |ms| format!("{ms:.1}"));
        let counts = self.counts;
        Ok(vec![
            if setup.what == What::List { "the list" } else { "configuration" }.to_owned(),
            setup.size.balancers.to_string(),
            setup.size.changes.to_string(),
            format!("{:.2}", setup.every.as_secs_f64()),
            counts.calls.to_string(),
            counts.right.to_string(),
            counts.refused.to_string(),
            counts.wrong.to_string(),
            counts.lost.to_string(),
            counts.twice.to_string(),
            counts.repeated.to_string(),
            ms(in_force.get(in_force.len() / 2)),
            ms(in_force.last()),
            format!("{:.0}", added(0.5, &without)?),
            format!("{:.0}", added(0.5, &with)?),
            format!("{:.0}", added(0.99, &without)?),
            format!("{:.0}", added(0.99, &with)?),
            quiet.join(" "),
        ])
    }
}
