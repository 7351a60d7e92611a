//! Slopes of the latency that a balancer adds to a call, by the rate of calls.

use super::placement::Placement;
use super::single_run::{QUANTILES, Run};
use super::{Background, Bench};
use crate::CapacityError;
use crate::slope::{Fit, Point, Slope, commit};
use crate::testbed::Counts;

impl Bench<'_> {
    /// Measures the latency that the balancer adds at each rate of calls.
    pub(super) fn slopes(&mut self, rates: &[f64]) -> Result<Vec<Slope>, CapacityError> {
        let runs = if self.arguments.common.small { 1 } else { self.arguments.plays };
        let mut points = Points::default();
        let mut rate_notes = Vec::new();
        for &rate in rates {
            let rate_runs = self.measure_rate(rate, runs)?;
            rate_notes.push(rate_runs.note(rate));
            points.add(rate, rate_runs);
        }
        Ok(self.to_slopes(points, runs, &self.note(&rate_notes)))
    }

    /// Measures the added latency at one rate of calls in `runs` runs.
    fn measure_rate(&mut self, rate: f64, runs: usize) -> Result<RateRuns, CapacityError> {
        let mut rate_runs = RateRuns::default();
        for _ in 0..runs {
            rate_runs.add(&self.measure(&self.setup(rate))?, runs as f64);
        }
        Ok(rate_runs)
    }

    /// The note of the slopes: the conditions of the measurement, and the counts and resource usage at each rate.
    fn note(&self, rate_notes: &[String]) -> String {
        format!(
            "The quantile of calls through the balancer less the same quantile of calls that went directly in the same \
             play, each call's time counted from when it was to be sent. One caller's thread, which spins; the same \
             {} stand-in upstreams, which answer at once; each pair of calls 1 to 3 ms apart in drawn order; {}. {}",
            self.arguments.upstreams,
            match self.placement {
                Placement::Anywhere => "the system chooses the cores",
                _ => "the caller's thread on core 0, all else on the others (by taskset)",
            },
            rate_notes.join(". ")
        )
    }

    /// The slopes of the points, including that of direct calls if there is no activity in the background.
    fn to_slopes(&self, points: Points, runs: usize, note: &str) -> Vec<Slope> {
        let (suffix, meanwhile) = match self.arguments.background {
            Background::List => ("_list", ", while an entry of the list drains or returns every 0.1 s"),
            Background::Configuration => ("_configuration", ", while its configuration changes every 0.1 s"),
            // `Breakdown` does not get here: `latency::run` writes its table instead of slopes.
            Background::Nothing | Background::Breakdown => ("", ""),
        };
        let slope = |name: String, what: String, points: Vec<Point>| Slope {
            name,
            what,
            x_unit: "calls a second through one balancer".to_owned(),
            y_unit: "us".to_owned(),
            command: self.command(),
            commit: commit(),
            plays: runs,
            fit: Fit::through(&points),
            points,
            note: note.to_owned(),
        };
        let [p50, p99, p999] = points.added;
        let mut written = Vec::new();
        for (name, in_words, points) in [("p50", "50", p50), ("p99", "99", p99), ("p999", "99.9", p999)] {
            let what = format!("Latency that a balancer adds to a call, at {in_words} in 100{meanwhile}.");
            written.push(slope(format!("latency.added_{name}_us_by_rate{suffix}"), what, points));
        }
        if suffix.is_empty() {
            let what = "Latency of a direct call at 99 in 100: what the machine's own spread is.".to_owned();
            written.push(slope("latency.direct_p99_us_by_rate".to_owned(), what, points.direct_p99));
        }
        written
    }
}

/// Points of the slopes: latencies in microseconds, by the number of calls a second on each route.
#[derive(Default)]
struct Points {
    /// Latency that the balancer added at each of [`QUANTILES`], in microseconds.
    added: [Vec<Point>; 3],
    /// Latency of direct calls at the 99th percentile, in microseconds.
    direct_p99: Vec<Point>,
}

impl Points {
    /// Adds the points of the runs at one rate of calls.
    fn add(&mut self, rate: f64, runs: RateRuns) {
        for (points, runs) in self.added.iter_mut().zip(runs.added) {
            points.extend(Point::of(rate, runs));
        }
        self.direct_p99.extend(Point::of(rate, runs.direct_p99));
    }
}

/// Results of all runs at one rate of calls.
#[derive(Default)]
struct RateRuns {
    /// Latency that the balancer added, in microseconds: for each of [`QUANTILES`], one value per run.
    added: [Vec<f64>; 3],
    /// Latency of direct calls at the 99th percentile, in microseconds: one value per run.
    direct_p99: Vec<f64>,
    /// Numbers of the calls of all runs, by outcome.
    counts: Counts,
    /// Number of changes of the endpoint list or the configuration in the background of all runs.
    changes: usize,
    /// Number of cores that the balancer used, averaged over the runs.
    busy_cores: f64,
    /// Steal time (time that the hypervisor gave to others) as a number of cores, averaged over the runs.
    stolen_cores: f64,
    /// Delay from the scheduled time until a call was sent, at the 99th percentile of the worst run, in microseconds.
    sent_late_us: f64,
}

impl RateRuns {
    /// Adds the results of one of `runs` runs.
    fn add(&mut self, run: &Run, runs: f64) {
        let stats = &run.stats;
        for (added, quantile) in self.added.iter_mut().zip(QUANTILES) {
            added.push(run.through.us(quantile) - run.direct.us(quantile));
        }
        self.direct_p99.push(run.direct.us(0.99));
        self.counts = self.counts.and(stats.counts);
        self.changes += stats.changes;
        self.busy_cores += stats.used.cpu_ns as f64 / stats.span.as_nanos() as f64 / runs;
        self.stolen_cores += stats.steal_time_ms as f64 / stats.span.as_millis() as f64 / runs;
        self.sent_late_us = self.sent_late_us.max(run.late.us(0.99));
    }

    /// The sentence of the slopes' note on the runs at this rate of calls.
    fn note(&self, rate: f64) -> String {
        let Self { counts, changes, busy_cores, stolen_cores, sent_late_us, .. } = self;
        format!(
            "{rate:.0} a second: {} calls, {} not answered rightly, {} ran twice, {changes} changes, {busy_cores:.3} of a core, \
             99 in 100 sent within {sent_late_us:.0} us of their time, {stolen_cores:.2} cores taken by the machine below",
            counts.calls,
            counts.calls - counts.right,
            counts.twice + counts.repeated,
        )
    }
}
