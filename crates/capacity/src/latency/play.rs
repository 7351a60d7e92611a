//! One play: calls directly and through a balancer side by side, and the times that each way gave.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use super::placement::Placement;
use super::{Bench, Beside};
use crate::CapacityError;
use crate::world::{
    self, Balancer, ByteRelay, Call, Counts, Discovery, Distribution, End, Played, Times, Upstreams, Usage,
    Way,
};

/// Time between two changes.
const CHANGE_EVERY: Duration = Duration::from_millis(100);
/// What is left out at the start of each play.
const WARM: Duration = Duration::from_millis(700);
/// Connections of callers that stand beforehand.
const CALLERS: usize = 256;

/// Seconds of a play: longer where calls are few.
fn span(rate: f64, small: bool) -> Duration {
    let calls = if small { 50.0 } else { 3000.0 };
    Duration::from_secs_f64((calls / rate).clamp(if small { 0.2 } else { 3.0 }, 7.0))
}

/// The quantiles that a table and a slope give.
pub(super) const QUANTILES: [f64; 3] = [0.5, 0.99, 0.999];

/// One play.
#[derive(Debug, Clone, Copy)]
pub(super) struct Setup {
    pub(super) rate: f64,
    pub(super) upstreams: usize,
    pub(super) placement: Placement,
    pub(super) even: bool,
    pub(super) relay: bool,
    pub(super) changes: Option<Changes>,
}

/// What changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Changes {
    List,
    Configuration,
}

/// What one play gave.
pub(super) struct Play {
    pub(super) direct: Times,
    pub(super) through: Times,
    /// Through the relay of bytes, where one was played.
    pub(super) relay: Times,
    /// Through the balancer less direct, pair by pair; a pair whose direct call took longer counts as nothing.
    pub(super) difference: Times,
    /// Pairs whose direct call took longer.
    pub(super) inverted: usize,
    /// How late calls were sent.
    pub(super) late: Times,
    pub(super) kept: Times,
    pub(super) new: Times,
    pub(super) around: Around,
}

/// What else there is to tell of a play.
#[derive(Debug, Clone, Copy)]
pub(super) struct Around {
    pub(super) counts: Counts,
    pub(super) used: Usage,
    pub(super) span: Duration,
    /// Connections to upstreams.
    pub(super) opened: u64,
    pub(super) changes: usize,
    /// Ms of a core that the machine under this one took meanwhile, over all cores.
    pub(super) stolen_ms: u64,
}

impl Bench<'_> {
    pub(super) fn setup(&self, rate: f64) -> Setup {
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

    pub(super) fn play(&mut self, setup: &Setup) -> Result<Play, CapacityError> {
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
