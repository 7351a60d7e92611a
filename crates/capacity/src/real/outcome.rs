//! The outcome of a run of real balancers, as a row of the table of results.

use std::time::Duration;

use super::single_run::Setup;
use super::{BLOCK_CHANGES, ChangeKind};
use crate::CapacityError;
use crate::testbed::{Call, CallResult, Counts, DurationHistogram};

/// Column headings of the table of results.
pub(super) const COLUMNS: [&str; 18] = [
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

/// Outcome of a run of real balancers while the endpoint list or the configuration changes.
pub(super) struct Outcome {
    pub(super) calls: Vec<Call>,
    /// Results of the calls, in the order of `calls`.
    pub(super) call_results: Vec<CallResult>,
    pub(super) counts: Counts,
    /// For each configuration change: time from its publication until it was in force at the last balancer. In a run
    /// that changes the endpoint list, for each drain: time from its publication until the last call reached the
    /// draining upstream.
    pub(super) in_force: Vec<Duration>,
}

impl Outcome {
    /// The row of the table of results, in the order of [`COLUMNS`].
    pub(super) fn row(&self, setup: &Setup<'_>) -> Result<Vec<String>, CapacityError> {
        let times = |through: bool, wanted: &dyn Fn(usize) -> bool| {
            let own = self.calls.iter().zip(&self.call_results).filter(|(call, call_result)| {
                call_result.is_right() && (call.route > 0) == through && wanted(setup.block(call.at))
            });
            DurationHistogram::of(own.map(|(call, call_result)| call_result.latency(call)))
        };
        let added = |quantile: f64, wanted: &dyn Fn(usize) -> bool| -> Result<f64, CapacityError> {
            Ok(times(true, wanted)?.us(quantile) - times(false, wanted)?.us(quantile))
        };
        let (without, with) =
            (|block: usize| block.is_multiple_of(2), |block: usize| !block.is_multiple_of(2));
        let mut p99_without_changes = Vec::new();
        for block in (0..2 * setup.size.changes.div_ceil(BLOCK_CHANGES)).step_by(2) {
            p99_without_changes.push(format!("{:.0}", added(0.99, &|other| other == block)?));
        }
        let mut in_force: Vec<f64> = self.in_force.iter().map(|span| span.as_secs_f64() * 1000.0).collect();
        in_force.sort_by(f64::total_cmp);
        let ms = |value: Option<&f64>| value.map_or("-".to_owned(), |ms| format!("{ms:.1}"));
        let counts = self.counts;
        Ok(vec![
            if setup.change_kind == ChangeKind::List { "the list" } else { "configuration" }.to_owned(),
            setup.size.balancers.to_string(),
            setup.size.changes.to_string(),
            format!("{:.2}", setup.change_interval.as_secs_f64()),
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
            p99_without_changes.join(" "),
        ])
    }
}
