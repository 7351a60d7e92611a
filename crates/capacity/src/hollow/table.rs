//! The results table of the hollow fleet: its columns, the note below it, and the conversion of a run's report to a
//! row.

use super::scenario::{LEARNING_S, Scenario, Span};
use super::simulation::{Depth, Faults, Report, Second, Signals};
use super::{Run, RunResult, sum};
use crate::plan::Reading;

/// Number of leading columns of the results table that identify a run.
pub(super) const KEY_COLUMNS: usize = 4;

/// Column headings of the results table.
pub(super) const COLUMNS: [&str; 33] = [
    "scenario",
    "calls a second read as",
    "upstreams",
    "seed",
    "virtual s",
    "balancer cores",
    "busiest upstream / mean",
    "calls at the front",
    "attempts",
    "served in time %",
    "served late %",
    "refused %",
    "failed %",
    "served in time before / in / after the trouble %",
    "worst second: served in time %",
    "with an upstream at each step in the trouble %",
    "seconds with under half served in time",
    "s after the trouble until 99 % of what was served before",
    "median ms",
    "99 in 100 ms",
    "attempts a call by depth",
    "refused in 10000 calls by depth",
    "failed in 10000 calls by depth",
    "attempts ended good / error / turned away / timed out / not connected / broken",
    "crossed zones / regions %",
    "cold starts",
    "cold pushed over",
    "limits cut (most of the balancers, at s; first to last s)",
    "upstreams set aside (balancers that did)",
    "met a crowd (balancers)",
    "list events",
    "faults",
    "wall s / MB / events / digest",
];

/// Explanation of the model and of the columns, written below the table.
pub(super) const NOTE: &str = "Virtual time: the decisions are the real ones, the servers, links, lists and clients are modelled. \
    A chain goes on with the same chance at each depth, so that the mean is that of the plan (hops) or the whole depth \
    (front). Services have cores for their calls at 60% use after the loss of their largest zone. Cold: 0.3 of the \
    capacity, all of it after 8 s; over 2.8 times what it can do for 1.6 s, as N + 2 root of N + 2 over all balancers, it \
    falls over. Times are shortened: an ordinary day's 7 failures and 420 replacements come in about 35 s, a failed \
    machine is back after 6 s, a zone after 35% of the run, a region's cut takes 30% of it and not 300 s. Lists come 0.2 \
    to 0.5 s late, a silent machine leaves them after 1.5 s. Configuration does not change in these runs. The first 3 s \
    are not counted but for `cold`. With an upstream at each step: the most that any routing could serve. Limits cut, set aside and crowd are read off the operator's vitals each second; set \
    aside only where no upstream of the list is cold, as both lower the same figure. Where runs were played side by side \
    the wall time is longer than alone.";

fn percent(part: u64, all: u64) -> String {
    if all == 0 { "-".to_owned() } else { format!("{:.2}", 100.0 * part as f64 / all as f64) }
}

/// Fraction of the client calls of one second that were served within the latency objective; NaN if there were no
/// calls.
fn served_fraction(second: &Second) -> f64 {
    second.served as f64 / second.calls as f64
}

/// A count divided by the number of calls, scaled to `times` calls.
fn per_call(part: u64, calls: u64, times: f64) -> f64 {
    part as f64 * times / calls.max(1) as f64
}

/// Percentages of the client calls that were served within the latency objective before, during and after the fault.
fn phases(report: &Report, from: f64, fault: Span) -> String {
    let phases = [(from, fault.from_s), (fault.from_s, fault.until_s), (fault.until_s, f64::MAX)];
    phases
        .map(|(from, until)| {
            let Second { calls, served, .. } = sum(&report.seconds, from, until);
            percent(served, calls)
        })
        .join(" / ")
}

/// The second with the smallest fraction of client calls served within the latency objective, with that percentage.
fn worst_second(report: &Report, from: f64) -> String {
    let worst = (0..)
        .zip(&report.seconds)
        .filter(|&(at, second): &(u32, _)| f64::from(at) >= from && second.calls > 0)
        .min_by(|a, b| served_fraction(a.1).total_cmp(&served_fraction(b.1)));
    worst.map_or("-".to_owned(), |(at, second)| format!("{} at {at} s", percent(second.served, second.calls)))
}

/// Number of seconds in which less than half of the client calls were served within the latency objective.
fn seconds_under_half(report: &Report) -> usize {
    report.seconds.iter().filter(|second| second.calls > 0 && 2 * second.served < second.calls).count()
}

/// Recovery time: seconds from the end of the fault until the last second in which the fraction of client calls served
/// within the latency objective is below 99 % of that before the fault.
fn recovery(run: &Run, report: &Report, from: f64, fault: Span) -> String {
    if fault.until_s >= run.seconds {
        return "-".to_owned();
    }
    let before_fault = served_fraction(&sum(&report.seconds, from, fault.from_s));
    let target = 0.99 * if before_fault.is_nan() { 1.0 } else { before_fault };
    let below_target = |(_, second): &(u32, &Second)| second.calls > 0 && served_fraction(second) < target;
    let last = (0..)
        .zip(&report.seconds)
        .filter(below_target)
        .map(|(at, _)| f64::from(at) + 1.0)
        .last()
        .unwrap_or(0.0);
    if last >= report.seconds.len() as f64 {
        return "not in the run".to_owned();
    }
    format!("{:.0}", (last - fault.until_s).max(0.0))
}

/// Formats one figure for each depth that calls reached, separated by spaces.
fn by_depth(report: &Report, figure: impl Fn(&Depth) -> String) -> String {
    report.depths.iter().filter(|depth| depth.calls > 0).map(figure).collect::<Vec<_>>().join(" ")
}

/// Numbers of attempts at all depths together, by outcome, in the order of [`Depth::ends`].
fn ends(report: &Report) -> String {
    let mut ends = [0; 6];
    for depth in &report.depths {
        for (sum, count) in ends.iter_mut().zip(depth.ends) {
            *sum += count;
        }
    }
    ends.map(|count| count.to_string()).join(" / ")
}

/// The maximum number of balancers that reported a signal at the same time, when that was, and the first and last
/// second with the signal.
fn signal(report: &Report, from: f64, figure: impl Fn(&Signals) -> usize) -> String {
    let seen = || report.signals.iter().filter(|signals| signals.at_s as f64 >= from && figure(signals) > 0);
    let Some(peak) = seen().max_by_key(|signals| (figure(signals), u64::MAX - signals.at_s)) else {
        return "none".to_owned();
    };
    let at = |signals: Option<&Signals>| signals.map_or(0, |signals| signals.at_s);
    format!(
        "{} of {} at {} s; {} to {} s",
        figure(peak),
        peak.cores,
        peak.at_s,
        at(seen().next()),
        at(seen().next_back())
    )
}

fn faults_text(faults: Faults) -> String {
    let Faults { unanswered, answered_twice, run_twice, after_grace } = faults;
    if faults == Faults::default() {
        return "none".to_owned();
    }
    format!(
        "{unanswered} unanswered, {answered_twice} answered twice, {run_twice} run twice, {after_grace} after the grace"
    )
}

/// The results table row of a run, in the order of [`COLUMNS`]; `wall_s` is the wall-clock time that the run took, in
/// seconds.
pub(super) fn row(run: &Run, run_result: &RunResult, wall_s: f64) -> Vec<String> {
    let &RunResult { ref report, fault, upstreams, busiest_over_mean, reachable } = run_result;
    let from = if run.scenario == Scenario::Cold { 0.0 } else { LEARNING_S };
    let all = sum(&report.seconds, from, f64::MAX);
    let attempts: u64 = report.depths.iter().map(|depth| depth.attempts).sum();
    let calls_at_front: u64 = report.seconds.iter().map(|second| second.calls).sum();
    vec![
        run.scenario.name().to_owned(),
        if run.reading == Reading::Front { "front" } else { "hops" }.to_owned(),
        upstreams.to_string(),
        run.seed.to_string(),
        format!("{}", run.seconds),
        report.cores.to_string(),
        format!("{busiest_over_mean:.1}"),
        calls_at_front.to_string(),
        attempts.to_string(),
        percent(all.served, all.calls),
        percent(all.late, all.calls),
        percent(all.refused, all.calls),
        percent(all.failed, all.calls),
        phases(report, from, fault),
        worst_second(report, from),
        reachable.map_or("-".to_owned(), |part| format!("{:.2}", part * 100.0)),
        seconds_under_half(report).to_string(),
        recovery(run, report, from, fault),
        format!("{:.0}", report.time(0.5) * 1e3),
        format!("{:.0}", report.time(0.99) * 1e3),
        by_depth(report, |depth| format!("{:.3}", per_call(depth.attempts, depth.calls, 1.0))),
        by_depth(report, |depth| format!("{:.1}", per_call(depth.refused, depth.calls, 1e4))),
        by_depth(report, |depth| format!("{:.1}", per_call(depth.failed, depth.calls, 1e4))),
        ends(report),
        format!(
            "{} / {}",
            percent(report.crossed_zones, attempts),
            percent(report.crossed_regions, attempts)
        ),
        report.cold_starts.to_string(),
        report.overload_crashes.to_string(),
        signal(report, from, |signals| signals.limited),
        signal(report, from, |signals| signals.ejected),
        signal(report, from, |signals| signals.congested),
        report.lists.to_string(),
        faults_text(report.faults),
        format!("{wall_s:.1} / {} / {} / {:016x}", report.memory_mb, report.events, report.digest),
    ]
}
