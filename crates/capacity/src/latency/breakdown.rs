//! Breakdown of the latency that the balancer adds: a table of runs, each of which leaves out or changes one condition.

use std::thread;
use std::time::Duration;

use super::Bench;
use super::placement::Placement;
use super::single_run::{QUANTILES, Run, RunStats, Setup};
use crate::CapacityError;
use crate::slope::{Results, commit};
use crate::testbed::{self, Balancer, Discovery, DurationHistogram, Upstreams, Usage};

impl Bench<'_> {
    /// The row with the CPU usage of an idle balancer: its watch, the timers of its decisions, the sweeps of its
    /// connections and its log.
    fn timers(&self) -> Result<Vec<String>, CapacityError> {
        let upstreams = Upstreams::start(self.arguments.upstreams, 1, 0)?;
        let discovery =
            Discovery::start(upstreams.entries(), Duration::from_secs_f64(self.plan.list.beat_s.value))?;
        let settings = testbed::settings(self.plan, self.arguments.upstreams);
        let configuration = testbed::configuration("b0", discovery.address, &upstreams.entries(), &settings);
        let balancer = Balancer::start(self.program, &configuration, None, |_| ())?;
        let span = Duration::from_secs(if self.arguments.common.small { 1 } else { 6 });
        thread::sleep(span / 6);
        let before = Usage::of(balancer.process.id())?;
        thread::sleep(span);
        let used = Usage::of(balancer.process.id())?.since(before);
        let last_column = format!(
            "woken {:.1} times a second, {:.0} us of a core each time: {:.3} in 100 of all time",
            used.slices as f64 / span.as_secs_f64(),
            used.cpu_ns as f64 / 1000.0 / used.slices.max(1) as f64,
            used.cpu_ns as f64 * 100.0 / span.as_nanos() as f64,
        );
        Ok(["0", "timers at rest", "-", "-", "-", "0", &last_column].map(str::to_owned).to_vec())
    }

    /// Measures the breakdown of the added latency at each rate of calls.
    pub(super) fn breakdown(&mut self, rates: &[f64]) -> Result<Results, CapacityError> {
        let mut rows = vec![self.timers()?];
        for &rate in rates {
            let unchanged = Setup { relay: true, ..self.setup(rate) };
            let run = self.measure(&unchanged)?;
            rows.extend(route_rows(rate, &run));
            rows.extend(added_by_process(rate, &run));
            rows.extend(self.variations(&unchanged)?);
        }
        Ok(Results {
            name: "latency_made_of".to_owned(),
            what: "What the latency that a balancer adds is made of, by rate.".to_owned(),
            command: self.command(),
            commit: commit(),
            columns: COLUMNS.map(str::to_owned).to_vec(),
            rows,
            note: NOTE.to_owned(),
        })
    }

    /// The rows of runs without the byte relay, each of which changes one parameter of `unchanged`.
    fn variations(&mut self, unchanged: &Setup) -> Result<Vec<Vec<String>>, CapacityError> {
        let small = self.arguments.common.small;
        let mut rows = Vec::new();
        for (part, setup) in [
            ("added, calls evenly spaced", Setup { even: true, ..*unchanged }),
            ("added, 6 upstreams", Setup { upstreams: 6, ..*unchanged }),
            ("added, 1900 upstreams", Setup { upstreams: if small { 90 } else { 1900 }, ..*unchanged }),
            ("added, balancer alone on a core", Setup { placement: Placement::Alone, ..*unchanged }),
            ("added, caller anywhere", Setup { placement: Placement::Anywhere, ..*unchanged }),
        ] {
            if small && setup.placement != unchanged.placement {
                continue;
            }
            let run = self.measure(&Setup { relay: false, ..setup })?;
            rows.push(row_of(unchanged.rate, part, added(&run), run.through.count(), &usage(&run)));
        }
        Ok(rows)
    }
}

/// Column headings of the breakdown table.
const COLUMNS: [&str; 7] =
    ["calls a second", "part", "50 in 100, us", "99 in 100, us", "99.9 in 100, us", "calls", "beside it"];

/// Note below the breakdown table.
const NOTE: &str = "One play each. Times count from when a call was to be sent. `added` is the quantile through the balancer \
    less that of direct calls in the same play. A relay of bytes is a thread of the rig that copies between \
    two sockets on the balancer's kind of runtime.";

/// The rows for each route of the calls of a run, and for the differences between them.
fn route_rows(rate: f64, run: &Run) -> Vec<Vec<String>> {
    let row = |part: &str, times: &DurationHistogram, remark: &str| {
        row_of(rate, part, QUANTILES.map(|q| times.us(q)), times.count(), remark)
    };
    let RunStats { counts, opened, span, .. } = run.stats;
    vec![
        row("direct", &run.direct, "the upstream, the caller and the machine"),
        row(
            "through a relay of bytes",
            &run.relay,
            "the same runtime, no HTTP, no decisions, no choice of connection",
        ),
        row("through the balancer", &run.through, &format!("{counts:?}")),
        row(
            "of these on kept connections",
            &run.reused,
            &format!("to upstreams, of {}", run.through.count()),
        ),
        row(
            "of these on new connections",
            &run.new,
            &format!("{opened} opened in {:.0} s", span.as_secs_f64()),
        ),
        row(
            "through less direct, pair by pair",
            &run.difference,
            &format!("{} pairs the other way round count as 0", run.inverted),
        ),
        row("sent after its time", &run.late, "the caller's own lateness, in all of the above"),
    ]
}

/// The rows of the latency that the byte relay and the balancer add to a direct call.
fn added_by_process(rate: f64, run: &Run) -> [Vec<String>; 2] {
    let relay_less_direct = QUANTILES.map(|q| run.relay.us(q) - run.direct.us(q));
    let costs = "what any process between costs here";
    [
        row_of(rate, "relay less direct", relay_less_direct, run.relay.count(), costs),
        row_of(rate, "added", added(run), run.through.count(), &usage(run)),
    ]
}

/// Latency that the balancer adds at each of [`QUANTILES`], in microseconds.
fn added(run: &Run) -> [f64; 3] {
    QUANTILES.map(|q| run.through.us(q) - run.direct.us(q))
}

/// A row of the breakdown table; `us` has the latencies at [`QUANTILES`], and `last_column` is the text of the last
/// column.
fn row_of(rate: f64, part: &str, us: [f64; 3], calls: u64, last_column: &str) -> Vec<String> {
    let [p50, p99, p999] = us.map(|us| format!("{us:.0}"));
    vec![format!("{rate:.0}"), part.to_owned(), p50, p99, p999, calls.to_string(), last_column.to_owned()]
}

/// Text on the resources that the balancer used in a run.
fn usage(run: &Run) -> String {
    let calls = run.through.count().max(1) as f64;
    format!(
        "{:.0} us of a core a call, {:.3} of a core; woken {:.1} times a call, waited {:.1} us for a core each time; \
         {} connections opened to upstreams; {} ms of a core taken by the machine below",
        run.stats.used.cpu_ns as f64 / 1000.0 / calls,
        run.stats.used.cpu_ns as f64 / run.stats.span.as_nanos() as f64,
        run.stats.used.slices as f64 / calls,
        run.stats.used.waited_ns as f64 / 1000.0 / run.stats.used.slices.max(1) as f64,
        run.stats.opened,
        run.stats.steal_time_ms,
    )
}
