//! The outcome of a run with configuration changes, as a row of the results table.

use super::Scenario;
use super::cost::{Busiest, Cost};
use super::hollow::WINDOW_S;
use super::hollow_processes::DelayHistogram;
use crate::plan::Plan;

/// Column headings of the results table.
pub(super) const COLUMNS: [&str; 24] = [
    "scenario",
    "seed",
    "balancers",
    "changes",
    "changes in force at balancers",
    "median, ms",
    "99 in 100, ms",
    "last, ms",
    "last from sending, ms",
    "indices that went back",
    "balancers without the last change",
    "watches of the list that stood elsewhere at the end",
    "balancer at rest, bytes/s",
    "balancer during changes, bytes/s",
    "balancer in the return, bytes/s",
    "busiest balancer, configuration over 13 s in the return, bytes/s",
    "balancer at rest, core",
    "balancer during changes, core",
    "balancer in the return, core",
    "balancer, MB",
    "control at rest, busiest, core",
    "control in the return, busiest, core",
    "control in the return, busiest, bytes/s",
    "control, largest, MB",
];

/// Outcome of a run: how the configuration changes came into force, and what resources the processes used.
pub(super) struct Outcome {
    pub(super) scenario: Scenario,
    pub(super) seed: u64,
    pub(super) balancers: usize,
    pub(super) changes: usize,
    /// Delays from the origin's acknowledgement of a configuration change, or the end of a partition if that is later,
    /// until it was in force at a balancer.
    pub(super) times: DelayHistogram,
    /// Delays from the first sending of a configuration change to the origin, or the end of a partition if that is
    /// later, until it was in force at a balancer.
    pub(super) from_sending: DelayHistogram,
    /// How often during the run the configuration index of any balancer decreased.
    pub(super) index_regressions: usize,
    /// Number of balancers that lack the last configuration change of a scope at the end of the run.
    pub(super) missing: usize,
    /// Number of endpoint list watches that did not continue from the list's current index when they reconnected at the
    /// end of the run.
    pub(super) watches_at_wrong_index: usize,
    /// Resources used per second in a span without configuration changes.
    pub(super) idle: Cost,
    /// Resources used per second from the end of the idle span until all balancers have the last configuration changes.
    pub(super) during_changes: Cost,
    /// Resources used per second in the recovery window after the scenario's fault.
    pub(super) recovery: Cost,
    /// Configuration bytes of the busiest balancer in its busiest window of the recovery.
    pub(super) most_in_window: u64,
    /// Average resident memory of a hollow balancer, in MiB.
    pub(super) balancer_mb: f64,
    /// Resident memory of the control process that uses the most, in MiB.
    pub(super) control_mb: Busiest,
}

impl Outcome {
    pub(super) fn row(&self) -> Vec<String> {
        let with_role = |Busiest { figure, role }: &Busiest, digits: usize| {
            format!("{figure:.digits$} ({})", role.name())
        };
        vec![
            self.scenario.name(),
            self.seed.to_string(),
            self.balancers.to_string(),
            self.changes.to_string(),
            self.times.count().to_string(),
            format!("{:.1}", self.times.quantile_ms(0.5)),
            format!("{:.1}", self.times.quantile_ms(0.99)),
            format!("{:.1}", self.times.quantile_ms(1.0)),
            format!("{:.1}", self.from_sending.quantile_ms(1.0)),
            self.index_regressions.to_string(),
            self.missing.to_string(),
            self.watches_at_wrong_index.to_string(),
            format!("{:.0}", self.idle.bytes_per_s),
            format!("{:.0}", self.during_changes.bytes_per_s),
            format!("{:.0}", self.recovery.bytes_per_s),
            format!("{:.0}", self.most_in_window as f64 / WINDOW_S as f64),
            format!("{:.5}", self.idle.cpu_cores),
            format!("{:.5}", self.during_changes.cpu_cores),
            format!("{:.5}", self.recovery.cpu_cores),
            format!("{:.2}", self.balancer_mb),
            with_role(&self.idle.control_cpu_cores, 4),
            with_role(&self.recovery.control_cpu_cores, 4),
            with_role(&self.recovery.control_bytes_per_s, 0),
            with_role(&self.control_mb, 1),
        ]
    }

    pub(super) fn text(&self) -> String {
        COLUMNS.iter().zip(self.row()).map(|(head, value)| format!("{head}: {value}\n")).collect()
    }

    /// Lists the objectives of the plan that the run did not meet. The delay of configuration changes is checked only
    /// if `timed` is set, because a run that shares the machine with other work has no meaningful times.
    pub(super) fn unmet_objectives(&self, plan: &Plan, timed: bool) -> Vec<String> {
        let place = format!("{} {}", self.scenario.name(), self.seed);
        let limit_s = plan.configuration.in_force_s.value;
        let mut unmet_objectives = Vec::new();
        let mut require = |holds: bool, what: String| {
            if !holds {
                unmet_objectives.push(format!("{place}: {what}"));
            }
        };
        require(
            self.index_regressions == 0,
            format!("the index of a balancer decreased {} times", self.index_regressions),
        );
        require(self.missing == 0, format!("{} balancers lack the last change of a scope", self.missing));
        require(
            self.watches_at_wrong_index == 0,
            format!(
                "{} watches of the endpoint list did not continue from the current index",
                self.watches_at_wrong_index
            ),
        );
        let last_s = self.times.quantile_ms(1.0) / 1000.0;
        require(
            !timed || last_s < limit_s,
            format!("the last change was in force after {last_s:.1} s, over the objective of {limit_s} s"),
        );
        unmet_objectives
    }
}
