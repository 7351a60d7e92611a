//! One run of real balancers: its processes, its calls and its changes of the endpoint list or the configuration.

use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use oorandom::Rand64;

use super::in_force::{InForce, collect_reports, reporter};
use super::outcome::Outcome;
use super::{Arguments, BLOCK_CHANGES, ChangeKind, Size};
use crate::CapacityError;
use crate::plan::Plan;
use crate::testbed::{self, Balancer, Call, CallResult, Counts, Discovery, Distribution, Route, Upstreams};

/// Number of stand-in upstreams that receive direct calls only.
const DIRECT_UPSTREAMS: usize = 8;
/// Number of connections for direct calls to stand-in upstreams that are opened before the first call.
const DIRECT_CONNECTIONS: usize = 64;
/// Number of client connections to each balancer that are opened before the first call.
const CONNECTIONS_PER_BALANCER: usize = 8;

/// Parameters of one run of real balancers.
pub(super) struct Setup<'a> {
    pub(super) arguments: &'a Arguments,
    pub(super) plan: &'a Plan,
    pub(super) size: Size,
    /// Whether the run changes the endpoint list or the configuration.
    pub(super) change_kind: ChangeKind,
    /// Time between two successive changes of the endpoint list or the configuration in a block with changes.
    pub(super) change_interval: Duration,
}

/// Processes and stand-in servers of a run. Fields are dropped in order, so that the balancers end first.
struct Running {
    balancers: Vec<Balancer>,
    /// Origin and relays of the configuration distribution; present only in runs with changes of the configuration.
    distribution: Option<Distribution>,
    discovery: Discovery,
    upstreams: Upstreams,
    /// Receiver of the reports, read from the balancers' logs, that a configuration version is in force.
    reports: mpsc::Receiver<InForce>,
}

/// Changes of the configuration or the endpoint list that a run made, with the times needed to compute how long each
/// took to come into force.
struct Changes {
    /// Changes of the configuration, in the order of their publication; empty in a run that changes the endpoint list.
    published: Vec<Published>,
    /// For each endpoint list change that made an upstream drain: time from sending the change to the watches until the
    /// last call reached that upstream.
    drained: Vec<Duration>,
}

/// A published change of the configuration.
pub(super) struct Published {
    pub(super) scope: &'static str,
    pub(super) version: u64,
    /// Time just before the configuration change was sent to the origin.
    pub(super) at: Instant,
}

impl Setup<'_> {
    /// Index of the block (a span of [`BLOCK_CHANGES`] change intervals) that contains the time `at` since the start of
    /// the run. Changes of the endpoint list or the configuration are made in every other block, beginning with the
    /// second.
    pub(super) fn block(&self, at: Duration) -> usize {
        (at.as_secs_f64() / self.change_interval.as_secs_f64() / BLOCK_CHANGES as f64) as usize
    }

    /// Duration of the run: as many blocks without changes of the endpoint list or the configuration as with them.
    fn length(&self) -> Duration {
        self.change_interval * (2 * BLOCK_CHANGES * self.size.changes.div_ceil(BLOCK_CHANGES)) as u32
    }

    /// Starts the processes, sends the calls while the endpoint list or the configuration changes, and collects the
    /// results.
    pub(super) fn measure(&self, rng: &mut Rand64) -> Result<Outcome, CapacityError> {
        let program = self.arguments.common.program(testbed::BALANCER)?;
        if self.client_has_own_core() {
            testbed::pin_to_cores(&format!("1-{}", self.size.cores - 1))?;
        }
        let calls = self.draw_calls(rng);
        let running = self.start(&program, calls.len())?;
        let first = running.upstreams.records.take_ids(calls.len())?;
        let (call_results, changes) = self.call_through_changes(&running, &calls, first)?;
        let Changes { published, drained: mut in_force } = changes;
        if running.distribution.is_some() {
            let reports = collect_reports(&running.reports, &published, self.size.balancers);
            for change in &published {
                in_force.push(self.time_to_last(change, &reports)?);
            }
        }
        let counts = Counts::of(&calls, &call_results, &running.upstreams.records, first);
        Ok(Outcome { calls, call_results, counts, in_force })
    }

    /// Whether the client's thread has a core to itself.
    fn client_has_own_core(&self) -> bool {
        !self.arguments.anywhere && !self.arguments.common.small
    }

    /// Draws pairs of a direct call and a call through a random balancer.
    fn draw_calls(&self, rng: &mut Rand64) -> Vec<Call> {
        let mut calls = testbed::paired(rng, 2, self.size.rate, self.length(), false);
        for call in calls.iter_mut().filter(|call| call.route > 0) {
            call.route = 1 + rng.rand_range(0..self.size.balancers as u64) as usize;
        }
        calls
    }

    /// Starts the processes and stand-in servers for this number of calls.
    fn start(&self, program: &Path, calls: usize) -> Result<Running, CapacityError> {
        // Direct calls go to upstreams that are not in the list, so that any call which reaches a draining upstream was
        // sent by a balancer.
        let listed = self.arguments.upstreams;
        let upstreams = Upstreams::start(listed + DIRECT_UPSTREAMS, 2, calls)?;
        let entries = &upstreams.entries()[..listed];
        let beat = Duration::from_secs_f64(self.plan.list.beat_s.value);
        let discovery = Discovery::start(entries.to_vec(), beat)?;
        let distribution = match self.change_kind {
            ChangeKind::Configuration => {
                Some(Distribution::start(&self.arguments.common.program(testbed::DISTRIBUTION)?, 2)?)
            }
            _ => None,
        };
        let settings = testbed::settings(self.plan, self.size.balancers);
        let (sender, reports) = mpsc::channel();
        let mut balancers = Vec::new();
        for number in 0..self.size.balancers {
            let name = format!("b{number}");
            let mut configuration = testbed::configuration(&name, discovery.address, entries, &settings);
            configuration["settings"]["me"] = number.into();
            configuration["seed"] = format!("{:x}", 0x8c1f + number).into();
            if let Some(distribution) = &distribution {
                configuration["distribution"] = distribution.configuration_section();
            }
            let line = reporter(number, sender.clone());
            balancers.push(Balancer::start(program, &configuration, None, line)?);
        }
        Ok(Running { balancers, distribution, discovery, upstreams, reports })
    }

    /// Routes of the calls: the direct one, then one through each balancer.
    fn routes(&self, running: &Running) -> Vec<Route> {
        let route = |targets, initial_connections| Route {
            targets,
            initial_connections,
            deadline: Duration::from_secs_f64(self.plan.traffic.deadline_s.value),
            tenants: self.plan.traffic.tenants.value,
        };
        let direct = running.upstreams.addresses[self.arguments.upstreams..].to_vec();
        let mut routes = vec![route(direct, DIRECT_CONNECTIONS)];
        routes.extend(
            running.balancers.iter().map(|balancer| route(vec![balancer.address], CONNECTIONS_PER_BALANCER)),
        );
        routes
    }

    /// Sends the calls from a thread of their own, and meanwhile changes the endpoint list or the configuration.
    fn call_through_changes(
        &self,
        running: &Running,
        calls: &[Call],
        first: usize,
    ) -> Result<(Vec<CallResult>, Changes), CapacityError> {
        let routes = self.routes(running);
        let start_time = Instant::now() + testbed::CONNECT_LEAD_TIME * 2;
        let finished = AtomicBool::new(false);
        thread::scope(|scope| {
            let client = scope.spawn(|| {
                let placed = if self.client_has_own_core() { testbed::pin_to_cores("0") } else { Ok(()) };
                let progress = AtomicUsize::new(0);
                let call_results =
                    placed.and_then(|()| testbed::send_calls(calls, &routes, first, start_time, &progress));
                finished.store(true, Ordering::Release);
                call_results
            });
            let changes = self.make_changes(start_time, &finished, running);
            let ended = |_| CapacityError::run("calling", "the client's thread panicked");
            let call_results = client.join().map_err(ended)??;
            Ok((call_results, changes?))
        })
    }

    /// Makes each change of the endpoint list or the configuration at its scheduled time, or at once when the calls are
    /// over.
    fn make_changes(
        &self,
        start_time: Instant,
        finished: &AtomicBool,
        running: &Running,
    ) -> Result<Changes, CapacityError> {
        let Running { upstreams, discovery, distribution, .. } = running;
        let (mut published, mut drained) = (Vec::new(), Vec::new());
        let mut draining: Option<(usize, Instant)> = None;
        for number in 0..self.size.changes {
            // The first of every two blocks is without changes.
            let slot = number / BLOCK_CHANGES * 2 * BLOCK_CHANGES + BLOCK_CHANGES + number % BLOCK_CHANGES;
            let at = start_time + self.change_interval * slot as u32;
            while Instant::now() < at && !finished.load(Ordering::Acquire) {
                thread::sleep(Duration::from_millis(1));
            }
            let at = Instant::now();
            if let Some(distribution) = distribution {
                let (scope, document) = testbed::configuration_change(self.plan, number);
                let version = distribution.publish(scope, &format!("change-{number}"), &document)?;
                published.push(Published { scope, version, at });
            } else if let Some((upstream, since)) = draining.take() {
                let last = upstreams.records.latest(upstream).unwrap_or(since);
                drained.push(last.saturating_duration_since(since));
                let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
                discovery.change(upstream, upstreams.entry(upstream, "ready", now.as_millis() as u64));
            } else {
                let upstream = number / 2 % self.arguments.upstreams;
                discovery.change(upstream, upstreams.entry(upstream, "draining", 0));
                draining = Some((upstream, at));
            }
        }
        Ok(Changes { published, drained })
    }

    /// Time from the publication of a configuration change until its version, or a later one of its scope, was in force
    /// at the last balancer.
    fn time_to_last(&self, change: &Published, reports: &[InForce]) -> Result<Duration, CapacityError> {
        let mut last = Duration::ZERO;
        for balancer in 0..self.size.balancers {
            let report = reports.iter().find(|report| {
                report.balancer == balancer
                    && report.scope == change.scope
                    && report.version >= change.version
            });
            let Some(report) = report else {
                let cause =
                    format!("{} {} did not come into force at b{balancer}", change.scope, change.version);
                return Err(CapacityError::run("changes of configuration", cause));
            };
            last = last.max(report.at.saturating_duration_since(change.at));
        }
        Ok(last)
    }
}
