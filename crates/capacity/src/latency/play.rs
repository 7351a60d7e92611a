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
/// The warm-up at the start of each play, whose calls do not count.
const WARM: Duration = Duration::from_millis(700);
/// Connections of the client to each way that are open before the first call.
const CLIENT_CONNECTIONS: usize = 256;

/// How long a play counts: longer where calls are few.
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
    pub(super) reused: Times,
    pub(super) new: Times,
    pub(super) around: Around,
}

/// What happened beside the calls of a play.
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

/// What a play runs beside its client. Fields are dropped in their order: the balancer ends before what it uses.
struct Servers {
    relay: Option<ByteRelay>,
    balancer: Balancer,
    /// Where the configuration changes.
    distribution: Option<Distribution>,
    discovery: Discovery,
    upstreams: Upstreams,
}

impl Servers {
    /// What has been used so far.
    fn mark(&self) -> Mark {
        Mark {
            stolen_ms: world::stolen_ms(),
            used: Usage::of(self.balancer.process.id()),
            opened: self.upstreams.seen.opened(),
        }
    }
}

/// What had been used when the first call that counts was sent.
struct Mark {
    /// Ms of a core that the machine under this one had taken, over all cores.
    stolen_ms: u64,
    /// By the balancer.
    used: Result<Usage, CapacityError>,
    /// Connections to upstreams.
    opened: u64,
}

/// What happened beside the calls so far.
struct Meanwhile {
    mark: Option<Mark>,
    /// Changes made.
    changes: usize,
    /// The first failure of a change of the configuration.
    published: Result<(), CapacityError>,
}

/// What the calls of a play gave, with what happened beside them.
struct Run {
    played: Vec<Played>,
    mark: Mark,
    changes: usize,
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

    /// Plays calls directly and through a balancer at once, with fresh servers.
    pub(super) fn play(&mut self, setup: &Setup) -> Result<Play, CapacityError> {
        let warm = if self.arguments.common.small { WARM / 5 } else { WARM };
        let length = span(setup.rate, self.arguments.common.small) + warm;
        let calls =
            world::paired(&mut self.rng, 2 + usize::from(setup.relay), setup.rate, length, setup.even);
        let core = setup.placement.place(self.cores, self.placement != Placement::Anywhere)?;
        let servers = self.start_servers(setup, calls.len(), core)?;
        let first_id = servers.upstreams.seen.take_ids(calls.len())?;
        let first_counted = calls.iter().position(|call| call.at >= warm).unwrap_or(calls.len());

        let Run { played, mark, changes } = self.run(setup, &servers, &calls, first_id, first_counted)?;
        let around = Around {
            counts: Counts::of(&calls, &played, &servers.upstreams.seen, first_id),
            used: Usage::of(servers.balancer.process.id())?.since(mark.used?),
            span: length - warm,
            opened: servers.upstreams.seen.opened() - mark.opened,
            changes,
            stolen_ms: world::stolen_ms().saturating_sub(mark.stolen_ms),
        };
        sort_out(&calls[first_counted..], &played[first_counted..], around)
    }

    /// Starts what a play needs beside its client; what it starts inherits this thread's cores.
    fn start_servers(
        &self,
        setup: &Setup,
        calls: usize,
        core: Option<usize>,
    ) -> Result<Servers, CapacityError> {
        let upstreams = Upstreams::start(setup.upstreams, 2, calls)?;
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
        Ok(Servers { relay, balancer, distribution, discovery, upstreams })
    }

    /// The ways that calls go, in the order of [`DIRECT`], [`THROUGH`] and [`RELAY`].
    fn ways(&self, servers: &Servers) -> Vec<Way> {
        let way = |targets| Way {
            targets,
            warm: CLIENT_CONNECTIONS,
            deadline: Duration::from_secs_f64(self.plan.traffic.deadline_s.value),
            tenants: self.plan.traffic.tenants.value,
        };
        let mut ways = vec![way(servers.upstreams.addresses.clone()), way(vec![servers.balancer.address])];
        ways.extend(servers.relay.iter().map(|relay| way(vec![relay.address])));
        ways
    }

    /// Sends the calls from a thread of their own, and meanwhile makes the changes and notes the start of what counts.
    fn run(
        &self,
        setup: &Setup,
        servers: &Servers,
        calls: &[Call],
        first_id: usize,
        first_counted: usize,
    ) -> Result<Run, CapacityError> {
        let ways = self.ways(servers);
        let progress = AtomicUsize::new(0);
        let over = AtomicBool::new(false);
        let core_0 = setup.placement != Placement::Anywhere;
        let (played, beside) = thread::scope(|scope| {
            let client = scope.spawn(|| {
                let placed = if core_0 { world::hold_to("0") } else { Ok(()) };
                let zero = Instant::now() + world::CONNECT_FIRST;
                let played = placed.and_then(|()| world::play(calls, &ways, first_id, zero, &progress));
                over.store(true, Ordering::Release);
                played
            });
            let mut beside = Meanwhile { mark: None, changes: 0, published: Ok(()) };
            let began = Instant::now();
            while !over.load(Ordering::Acquire) {
                thread::sleep(Duration::from_millis(5));
                if beside.mark.is_none() && progress.load(Ordering::Acquire) >= first_counted {
                    beside.mark = Some(servers.mark());
                }
                if let Some(kind) = setup.changes
                    && began.elapsed() > CHANGE_EVERY * (beside.changes as u32 + 1)
                {
                    self.make_change(kind, servers, &mut beside);
                }
            }
            (client.join(), beside)
        });
        let played = played.map_err(|_| CapacityError::run("calling", "the caller's thread ended"))??;
        beside.published?;
        let Some(mark) = beside.mark else {
            return Err(CapacityError::run("calling", "the play was over before its start"));
        };
        Ok(Run { played, mark, changes: beside.changes })
    }

    /// Makes the next change; once one of the configuration has failed, none is published any more.
    fn make_change(&self, kind: Changes, servers: &Servers, beside: &mut Meanwhile) {
        let number = beside.changes;
        match (kind, &servers.distribution) {
            (Changes::Configuration, Some(distribution)) => {
                if beside.published.is_ok() {
                    let (scope, document) = world::configuration_change(self.plan, number);
                    let published = distribution.publish(scope, &format!("change-{number}"), &document);
                    beside.published = published.map(drop);
                }
            }
            _ => change(&servers.upstreams, &servers.discovery, number),
        }
        beside.changes += 1;
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
        reused: on(false)?,
        new: on(true)?,
        around,
    })
}

/// The ways of calls.
const DIRECT: usize = 0;
const THROUGH: usize = 1;
const RELAY: usize = 2;
