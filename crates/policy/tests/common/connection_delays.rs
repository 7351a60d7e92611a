//! Simulated host whose attempts wait for their connections, some of which are established late or never.
#![allow(dead_code, reason = "each test file uses only some of these items")]

use std::collections::BTreeMap;
use std::time::Duration;

use balancer_policy::interface::*;
use balancer_policy::{Action, Event, Settings};
use oorandom::Rand64;

use crate::common::{Bench, class, member, sent_upstream};

/// Simulated course of an attempt: the time until its connection is established (`None` if it never is), the outcome,
/// and the time from the connection to that outcome.
pub type AttemptCourse = (Option<Duration>, Outcome, Duration);

/// Simulated host of one balancer. An attempt waits for its connection until the connect timeout `connect_timeout` or the
/// attempt's own timeout, whichever is shorter.
pub struct SimulatedHost {
    pub bench: Bench,
    pub connect_timeout: Duration,
    /// Whether the host reports connections that are established after the attempts waiting for them have ended.
    pub reports_late_connections: bool,
    pub rng: Rand64,
    /// Scheduled events by their time and, for equal times, the order in which they were scheduled.
    pub pending: BTreeMap<(Duration, u64), Pending>,
    pub next: u64,
}

impl SimulatedHost {
    pub fn new(settings: Settings, seed: u64, upstreams: u32, connect_timeout: Duration) -> Self {
        Self {
            bench: Bench::new(settings, seed, (0..upstreams).map(member).collect()),
            connect_timeout,
            reports_late_connections: true,
            rng: Rand64::new(u128::from(seed)),
            pending: BTreeMap::new(),
            next: 0,
        }
    }

    pub fn schedule(&mut self, after: Duration, pending: Pending) {
        self.next += 1;
        self.pending.insert((self.bench.now + after, self.next), pending);
    }

    /// Offers requests at random times, `rate` per second on average, for `seconds` seconds, and runs until all of them
    /// have ended. `draw_attempt` draws the course of each attempt. Returns the counts of this run.
    pub fn run(
        &mut self,
        rate: f64,
        seconds: u64,
        mut draw_attempt: impl FnMut(EndpointId, &mut Rand64) -> AttemptCourse,
    ) -> RunCounts {
        let mut counts = RunCounts { limit: f64::MAX, ..RunCounts::default() };
        let end = self.bench.now + Duration::from_secs(seconds);
        self.schedule(Duration::ZERO, Pending::Call);
        while let Some(((at, _), pending)) = self.pending.pop_first() {
            self.bench.advance(at - self.bench.now);
            match pending {
                Pending::Call => {
                    let gap = -(1.0 - self.rng.rand_float()).ln() / rate;
                    if at < end {
                        self.schedule(Duration::from_secs_f64(gap), Pending::Call);
                        let (request, actions) = self.bench.offer(Some(0));
                        counts.offered += 1;
                        counts.admitted += u32::from(sent_upstream(&actions).is_some());
                        self.send(request, 0, &actions, &mut counts, &mut draw_attempt);
                    }
                }
                Pending::End { request, number, outcome, duration, connect_wait } => {
                    let actions =
                        self.bench.end_with_connect_wait(request, number, outcome, duration, connect_wait);
                    counts.served += u32::from(outcome == Outcome::Success);
                    self.send(request, number + 1, &actions, &mut counts, &mut draw_attempt);
                }
                Pending::Connected(upstream) => assert_eq!(self.bench.report(Event::Connected(upstream)), []),
            }
            counts.congestion = counts.congestion.max(self.stat("crowding "));
            counts.limit = counts.limit.min(self.stat("limits "));
        }
        counts
    }

    /// Simulates the attempt that `actions` send, if any: schedules its end and the late connection.
    pub fn send(
        &mut self,
        request: RequestId,
        number: u32,
        actions: &[Action],
        counts: &mut RunCounts,
        draw_attempt: &mut impl FnMut(EndpointId, &mut Rand64) -> AttemptCourse,
    ) {
        let Some(Action::Send { upstream, timeout, .. }) =
            actions.iter().find(|action| matches!(action, Action::Send { .. }))
        else {
            return;
        };
        *counts.sent.entry(upstream.0).or_default() += 1;
        let max_time =
            timeout.expect("every attempt should have a timeout, as its class has a latency objective");
        let (connect_time, outcome, service_time) = draw_attempt(*upstream, &mut self.rng);
        let connect_timeout = self.connect_timeout.min(max_time);
        let end = match connect_time {
            Some(connect_wait)
                if connect_wait < connect_timeout && connect_wait + service_time < max_time =>
            {
                Pending::End { request, number, outcome, duration: connect_wait + service_time, connect_wait }
            }
            Some(connect_wait) if connect_wait < connect_timeout => {
                Pending::End { request, number, outcome: Outcome::TimedOut, duration: max_time, connect_wait }
            }
            _ => {
                let outcome = Outcome::ConnectTimedOut;
                Pending::End {
                    request,
                    number,
                    outcome,
                    duration: connect_timeout,
                    connect_wait: connect_timeout,
                }
            }
        };
        if let Some(connected_after) = connect_time
            .filter(|&connect_wait| connect_wait >= connect_timeout && self.reports_late_connections)
        {
            self.schedule(connected_after, Pending::Connected(*upstream));
        }
        let Pending::End { duration, .. } = end else { return };
        self.schedule(duration, end);
    }

    /// First number after `word` in the stats snapshot of the balancer.
    pub fn stat(&self, word: &str) -> f64 {
        let stats_snapshot = self.bench.balancer.stats_snapshot();
        let stat =
            stats_snapshot.split(word).nth(1).and_then(|rest| rest.split([',', ' ']).find(|s| !s.is_empty()));
        stat.and_then(|stat| stat.parse().ok())
            .expect("the stats snapshot should have a number after the word")
    }
}

/// Event that the simulated host has scheduled: the next request, the end of an attempt, or a late connection.
pub enum Pending {
    Call,
    End { request: RequestId, number: u32, outcome: Outcome, duration: Duration, connect_wait: Duration },
    Connected(EndpointId),
}

/// Counts of the requests of one run and of their attempts, with the extremes of the stats snapshot.
#[derive(Debug, Default)]
pub struct RunCounts {
    pub offered: u32,
    pub admitted: u32,
    pub served: u32,
    /// Number of attempts sent to each upstream, by the upstream's identifier.
    pub sent: BTreeMap<u32, u32>,
    /// Highest congestion level seen in the run.
    pub congestion: f64,
    /// Lowest limit seen in the run, in requests per second.
    pub limit: f64,
}

impl RunCounts {
    /// Fraction of the offered requests that was admitted.
    pub fn admitted(&self) -> f64 {
        f64::from(self.admitted) / f64::from(self.offered)
    }

    /// Fraction of the offered requests that was answered successfully.
    pub fn served(&self) -> f64 {
        f64::from(self.served) / f64::from(self.offered)
    }

    /// Number of attempts of the upstream that was sent the fewest, as a fraction of the mean per upstream.
    pub fn least_sent_fraction(&self, upstreams: u32) -> f64 {
        let all: u32 = self.sent.values().sum();
        let least = (0..upstreams).map(|id| self.sent.get(&id).copied().unwrap_or(0)).min();
        f64::from(least.expect("there should be at least one upstream") * upstreams) / f64::from(all)
    }

    /// Fraction of all attempts that was sent to these upstreams.
    pub fn fraction_sent_to(&self, upstreams: std::ops::Range<u32>) -> f64 {
        let all: u32 = self.sent.values().sum();
        f64::from(self.sent.range(upstreams).map(|(_, sent)| sent).sum::<u32>()) / f64::from(all)
    }
}

/// Settings of one of `replicas` replicas whose only tenant has a quota of `part` requests per second for each replica.
pub fn settings(replicas: u32, part: f64) -> Settings {
    let mut settings = Settings::single_zone(vec![class(Idempotency::NotIdempotent)]);
    settings.replicas = replicas;
    settings.tenants = vec![Tenant { quota: Some(part * f64::from(replicas)) }];
    settings.over_quota_weight = 0.2;
    settings
}

/// Draws the latency of an upstream with little load: 15 to 30 ms.
pub fn low_load_latency(rng: &mut Rand64) -> Duration {
    Duration::from_secs_f64(0.015 + 0.015 * rng.rand_float())
}

/// Draws the time until a connection is established. A third of the connections are late, by up to 1.5 s.
pub fn third_late(rng: &mut Rand64) -> Option<Duration> {
    let late = rng.rand_float() < 1.0 / 3.0;
    Some(if late { Duration::from_secs_f64(0.1 + 1.4 * rng.rand_float()) } else { Duration::ZERO })
}

/// Course of an attempt at an upstream with little load whose connection is established at once.
pub fn idle(_: EndpointId, rng: &mut Rand64) -> AttemptCourse {
    (Some(Duration::ZERO), Outcome::Success, low_load_latency(rng))
}

/// Course of an attempt at an upstream with little load, where a third of the connections are late.
pub fn idle_third_late(_: EndpointId, rng: &mut Rand64) -> AttemptCourse {
    (third_late(rng), Outcome::Success, low_load_latency(rng))
}
