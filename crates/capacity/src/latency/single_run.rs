//! One run: sends calls directly and through a balancer side by side, and collects the latencies of each route.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use super::placement::Placement;
use super::{Background, Bench};
use crate::CapacityError;
use crate::testbed::{
    self, Balancer, ByteRelay, Call, CallOutcome, CallResult, Counts, Discovery, Distribution,
    DurationHistogram, Route, Upstreams, Usage,
};

/// Time between two successive changes of the endpoint list or the configuration in the background.
const CHANGE_INTERVAL: Duration = Duration::from_millis(100);
/// Warm-up at the start of each run, whose calls are not counted.
const WARM_UP: Duration = Duration::from_millis(700);
/// Number of client connections on each route that are opened before the first call.
const CLIENT_CONNECTIONS: usize = 256;

/// Duration of a run after its warm-up, which is longer at low rates, where there are fewer calls.
fn span(rate: f64, small: bool) -> Duration {
    let calls = if small { 50.0 } else { 3000.0 };
    Duration::from_secs_f64((calls / rate).clamp(if small { 0.2 } else { 3.0 }, 7.0))
}

/// Quantiles of the latency for which the slopes and the breakdown have figures.
pub(super) const QUANTILES: [f64; 3] = [0.5, 0.99, 0.999];

/// Parameters of one run of the latency measurement.
#[derive(Debug, Clone, Copy)]
pub(super) struct Setup {
    /// Calls a second on each route.
    pub(super) rate: f64,
    /// Number of upstreams in the endpoint list.
    pub(super) upstreams: usize,
    pub(super) placement: Placement,
    /// Whether calls are evenly spaced; otherwise their times are those of a Poisson process.
    pub(super) even: bool,
    /// Whether calls are also sent through a byte relay.
    pub(super) relay: bool,
    /// Whether the endpoint list or the configuration changes in the background; `None` if neither does.
    pub(super) changes: Option<Changes>,
}

/// What changes in the background of a run: the endpoint list or the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Changes {
    /// An upstream of the endpoint list begins to drain, or returns.
    List,
    /// A document of the configuration is published.
    Configuration,
}

/// Results of one run of the latency measurement.
pub(super) struct Run {
    /// Latencies of direct calls.
    pub(super) direct: DurationHistogram,
    /// Latencies of calls through the balancer.
    pub(super) through: DurationHistogram,
    /// Latencies of calls through the byte relay; empty in a run without one.
    pub(super) relay: DurationHistogram,
    /// For each pair of calls: latency through the balancer less that of the direct call, or 0 if the direct call took
    /// longer.
    pub(super) difference: DurationHistogram,
    /// Number of pairs of calls whose direct call took longer than the call through the balancer.
    pub(super) inverted: usize,
    /// Delays of all calls from their scheduled time until they were sent.
    pub(super) late: DurationHistogram,
    /// Latencies of calls through the balancer that it sent on a reused upstream connection.
    pub(super) reused: DurationHistogram,
    /// Latencies of calls through the balancer that it sent on a new upstream connection.
    pub(super) new: DurationHistogram,
    /// Outcomes of the calls, and resources that the balancer used in the run.
    pub(super) stats: RunStats,
}

/// Counts of calls and changes, and resource usage, of a run.
#[derive(Debug, Clone, Copy)]
pub(super) struct RunStats {
    /// Outcomes of all calls, including those of the warm-up.
    pub(super) counts: Counts,
    /// Resources that the balancer used after the warm-up.
    pub(super) used: Usage,
    /// Duration of the run without its warm-up.
    pub(super) span: Duration,
    /// Number of connections that the stand-in upstreams accepted after the warm-up.
    pub(super) opened: u64,
    /// Number of changes of the endpoint list or the configuration that were made in the background.
    pub(super) changes: usize,
    /// Steal time after the warm-up, in ms, summed over all cores.
    pub(super) steal_time_ms: u64,
}

/// Processes and stand-in servers of a run. Fields are dropped in order, so that the balancer ends before the servers
/// that it uses.
struct Servers {
    relay: Option<ByteRelay>,
    balancer: Balancer,
    /// Origin and relay of the configuration distribution; present only in runs with changes of the configuration.
    distribution: Option<Distribution>,
    discovery: Discovery,
    upstreams: Upstreams,
}

impl Servers {
    /// Reads the steal time, the balancer's usage and the number of upstream connections so far.
    fn baseline(&self) -> UsageBaseline {
        UsageBaseline {
            steal_time_ms: testbed::steal_time_ms(),
            used: Usage::of(self.balancer.process.id()),
            opened: self.upstreams.records.opened(),
        }
    }
}

/// Totals at the end of the warm-up, which are subtracted from those at the end of the run.
struct UsageBaseline {
    /// Steal time since boot, in ms, summed over all cores.
    steal_time_ms: u64,
    /// Resources that the balancer had used by the end of the warm-up.
    used: Result<Usage, CapacityError>,
    /// Number of connections that the stand-in upstreams had accepted by the end of the warm-up.
    opened: u64,
}

/// State of the background changes and measurements while the client sends calls.
struct BackgroundState {
    /// Totals at the end of the warm-up; `None` before that.
    baseline: Option<UsageBaseline>,
    /// Number of changes of the endpoint list or the configuration made so far.
    changes: usize,
    /// `Ok`, or the error of the first configuration change whose publication failed.
    published: Result<(), CapacityError>,
}

/// Results of the calls of a run, and what was recorded in the background meanwhile.
struct SentCalls {
    call_results: Vec<CallResult>,
    baseline: UsageBaseline,
    changes: usize,
}

impl Bench<'_> {
    /// Parameters of a run at this rate, with the arguments of the command.
    pub(super) fn setup(&self, rate: f64) -> Setup {
        Setup {
            rate,
            upstreams: self.arguments.upstreams,
            placement: self.placement,
            even: false,
            relay: false,
            changes: match self.arguments.background {
                Background::List => Some(Changes::List),
                Background::Configuration => Some(Changes::Configuration),
                Background::Nothing | Background::Breakdown => None,
            },
        }
    }

    /// Starts new servers, and sends calls directly and through the balancer at the same time.
    pub(super) fn measure(&mut self, setup: &Setup) -> Result<Run, CapacityError> {
        let warm_up = if self.arguments.common.small { WARM_UP / 5 } else { WARM_UP };
        let length = span(setup.rate, self.arguments.common.small) + warm_up;
        let calls =
            testbed::paired(&mut self.rng, 2 + usize::from(setup.relay), setup.rate, length, setup.even);
        let core = setup.placement.place(self.cores, self.placement != Placement::Anywhere)?;
        let servers = self.start_servers(setup, calls.len(), core)?;
        let first_id = servers.upstreams.records.take_ids(calls.len())?;
        let first_counted = calls.iter().position(|call| call.at >= warm_up).unwrap_or(calls.len());

        let SentCalls { call_results, baseline, changes } =
            self.run(setup, &servers, &calls, first_id, first_counted)?;
        let stats = RunStats {
            counts: Counts::of(&calls, &call_results, &servers.upstreams.records, first_id),
            used: Usage::of(servers.balancer.process.id())?.since(baseline.used?),
            span: length - warm_up,
            opened: servers.upstreams.records.opened() - baseline.opened,
            changes,
            steal_time_ms: testbed::steal_time_ms().saturating_sub(baseline.steal_time_ms),
        };
        summarize(&calls[first_counted..], &call_results[first_counted..], stats)
    }

    /// Starts the processes and stand-in servers of a run. They inherit the cores that this thread is pinned to.
    fn start_servers(
        &self,
        setup: &Setup,
        calls: usize,
        core: Option<usize>,
    ) -> Result<Servers, CapacityError> {
        let upstreams = Upstreams::start(setup.upstreams, 2, calls)?;
        let beat = Duration::from_secs_f64(self.plan.list.beat_s.value);
        let discovery = Discovery::start(upstreams.entries(), beat)?;
        let settings = testbed::settings(self.plan, setup.upstreams);
        let mut configuration =
            testbed::configuration("b0", discovery.address, &upstreams.entries(), &settings);
        let distribution = match setup.changes {
            Some(Changes::Configuration) => {
                let program = self.arguments.common.program(testbed::DISTRIBUTION)?;
                let distribution = Distribution::start(&program, 1)?;
                configuration["distribution"] = distribution.configuration_section();
                Some(distribution)
            }
            _ => None,
        };
        let balancer = Balancer::start(self.program, &configuration, core, |_| ())?;
        let relay = if setup.relay { Some(ByteRelay::start(upstreams.addresses.clone())?) } else { None };
        Ok(Servers { relay, balancer, distribution, discovery, upstreams })
    }

    /// Routes of the calls, in the order of [`DIRECT`], [`THROUGH`] and [`RELAY`].
    fn routes(&self, servers: &Servers) -> Vec<Route> {
        let route = |targets| Route {
            targets,
            initial_connections: CLIENT_CONNECTIONS,
            deadline: Duration::from_secs_f64(self.plan.traffic.deadline_s.value),
            tenants: self.plan.traffic.tenants.value,
        };
        let mut routes =
            vec![route(servers.upstreams.addresses.clone()), route(vec![servers.balancer.address])];
        routes.extend(servers.relay.iter().map(|relay| route(vec![relay.address])));
        routes
    }

    /// Sends the calls from a thread of their own. Meanwhile makes the background changes of `setup`, if it has any,
    /// and records the usage at the end of the warm-up.
    fn run(
        &self,
        setup: &Setup,
        servers: &Servers,
        calls: &[Call],
        first_id: usize,
        first_counted: usize,
    ) -> Result<SentCalls, CapacityError> {
        let routes = self.routes(servers);
        let progress = AtomicUsize::new(0);
        let finished = AtomicBool::new(false);
        let core_0 = setup.placement != Placement::Anywhere;
        let (call_results, background) = thread::scope(|scope| {
            let client = scope.spawn(|| {
                let placed = if core_0 { testbed::pin_to_cores("0") } else { Ok(()) };
                let start_time = Instant::now() + testbed::CONNECT_LEAD_TIME;
                let call_results = placed
                    .and_then(|()| testbed::send_calls(calls, &routes, first_id, start_time, &progress));
                finished.store(true, Ordering::Release);
                call_results
            });
            let mut background = BackgroundState { baseline: None, changes: 0, published: Ok(()) };
            let began = Instant::now();
            while !finished.load(Ordering::Acquire) {
                thread::sleep(Duration::from_millis(5));
                if background.baseline.is_none() && progress.load(Ordering::Acquire) >= first_counted {
                    background.baseline = Some(servers.baseline());
                }
                if let Some(kind) = setup.changes
                    && began.elapsed() > CHANGE_INTERVAL * (background.changes as u32 + 1)
                {
                    self.make_change(kind, servers, &mut background);
                }
            }
            (client.join(), background)
        });
        let call_results =
            call_results.map_err(|_| CapacityError::run("calling", "the client's thread panicked"))??;
        background.published?;
        let Some(baseline) = background.baseline else {
            return Err(CapacityError::run("calling", "the run ended before its warm-up did"));
        };
        Ok(SentCalls { call_results, baseline, changes: background.changes })
    }

    /// Makes the next change of the endpoint list or the configuration in the background. Once a configuration change
    /// has failed, no more are published.
    fn make_change(&self, kind: Changes, servers: &Servers, background: &mut BackgroundState) {
        let number = background.changes;
        match (kind, &servers.distribution) {
            (Changes::Configuration, Some(distribution)) => {
                if background.published.is_ok() {
                    let (scope, document) = testbed::configuration_change(self.plan, number);
                    let published = distribution.publish(scope, &format!("change-{number}"), &document);
                    background.published = published.map(drop);
                }
            }
            _ => change(&servers.upstreams, &servers.discovery, number),
        }
        background.changes += 1;
    }
}

/// Makes the next change of the endpoint list: an upstream begins to drain, or returns as a new process.
fn change(upstreams: &Upstreams, discovery: &Discovery, number: usize) {
    let upstream = (number / 2) % upstreams.addresses.len();
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    let (status, since) = if number.is_multiple_of(2) { ("draining", 0) } else { ("ready", now) };
    discovery.change(upstream, upstreams.entry(upstream, status, since));
}

/// Computes the results of a run from its counted calls.
fn summarize(calls: &[Call], call_results: &[CallResult], stats: RunStats) -> Result<Run, CapacityError> {
    // A call without its own response has no latency; the counts tell how many there are.
    let right = || calls.iter().zip(call_results).filter(|(_, call_result)| call_result.is_right());
    let latencies_of_route = |route: usize| {
        DurationHistogram::of(
            right()
                .filter(|(call, _)| call.route == route)
                .map(|(call, call_result)| call_result.latency(call)),
        )
    };
    let latencies_by_connection = |new: bool| {
        let own = right().filter(|(call, call_result)| {
            call.route == THROUGH && call_result.end == CallOutcome::Right { new_connection: new }
        });
        DurationHistogram::of(own.map(|(call, call_result)| call_result.latency(call)))
    };
    let pairs = calls.iter().map(|call| call.pair + 1).max().unwrap_or(0);
    let mut paired: Vec<[Option<Duration>; 2]> = vec![[None; 2]; pairs];
    for (call, call_result) in right().filter(|(call, _)| call.route <= THROUGH) {
        paired[call.pair][call.route] = Some(call_result.latency(call));
    }
    let both: Vec<(Duration, Duration)> =
        paired.into_iter().filter_map(|[direct, through]| Some((direct?, through?))).collect();
    Ok(Run {
        direct: latencies_of_route(DIRECT)?,
        through: latencies_of_route(THROUGH)?,
        relay: latencies_of_route(RELAY)?,
        inverted: both.iter().filter(|(direct, through)| through < direct).count(),
        difference: DurationHistogram::of(
            both.iter().map(|(direct, through)| through.saturating_sub(*direct)),
        )?,
        late: DurationHistogram::of(
            calls
                .iter()
                .zip(call_results)
                .map(|(call, call_result)| call_result.sent.saturating_sub(call.at)),
        )?,
        reused: latencies_by_connection(false)?,
        new: latencies_by_connection(true)?,
        stats,
    })
}

/// Index of the route of direct calls.
const DIRECT: usize = 0;
/// Index of the route of calls through the balancer.
const THROUGH: usize = 1;
/// Index of the route of calls through the byte relay.
const RELAY: usize = 2;
