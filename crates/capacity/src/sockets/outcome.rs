//! The outcome of a run, as a row of the results table.

use super::Scenario;
use super::cost::{Busiest, Cost};
use super::hollow::WINDOW_S;
use super::swarm::Times;
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

pub(super) struct Outcome {
    pub(super) scenario: Scenario,
    pub(super) seed: u64,
    pub(super) balancers: usize,
    pub(super) changes: usize,
    pub(super) times: Times,
    pub(super) from_sending: Times,
    pub(super) index_regressions: usize,
    pub(super) missing: usize,
    pub(super) elsewhere: usize,
    pub(super) rest: Cost,
    pub(super) play: Cost,
    pub(super) return_cost: Cost,
    pub(super) most_in_window: u64,
    pub(super) balancer_mb: f64,
    pub(super) control_mb: Busiest,
}

impl Outcome {
    pub(super) fn row(&self) -> Vec<String> {
        let named = |Busiest { figure, role }: &Busiest, digits: usize| {
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
            self.elsewhere.to_string(),
            format!("{:.0}", self.rest.bytes_per_s),
            format!("{:.0}", self.play.bytes_per_s),
            format!("{:.0}", self.return_cost.bytes_per_s),
            format!("{:.0}", self.most_in_window as f64 / WINDOW_S as f64),
            format!("{:.5}", self.rest.core),
            format!("{:.5}", self.play.core),
            format!("{:.5}", self.return_cost.core),
            format!("{:.2}", self.balancer_mb),
            named(&self.rest.control_core, 4),
            named(&self.return_cost.control_core, 4),
            named(&self.return_cost.control_bytes_per_s, 0),
            named(&self.control_mb, 1),
        ]
    }

    pub(super) fn text(&self) -> String {
        COLUMNS.iter().zip(self.row()).map(|(head, value)| format!("{head}: {value}\n")).collect()
    }

    /// Lists the objectives of the plan that the run did not meet. The delay of changes is checked only if `timed` is
    /// set, because a run that shares the machine with other work has no meaningful times.
    pub(super) fn faults(&self, plan: &Plan, timed: bool) -> Vec<String> {
        let place = format!("{} {}", self.scenario.name(), self.seed);
        let within = plan.configuration.in_force_s.value;
        let mut faults = Vec::new();
        let mut want = |holds: bool, what: String| {
            if !holds {
                faults.push(format!("{place}: {what}"));
            }
        };
        want(
            self.index_regressions == 0,
            format!("the index of a balancer decreased {} times", self.index_regressions),
        );
        want(self.missing == 0, format!("{} balancers lack the last change of a scope", self.missing));
        want(
            self.elsewhere == 0,
            format!(
                "{} watches of the endpoint list did not continue from the current index",
                self.elsewhere
            ),
        );
        let last_s = self.times.quantile_ms(1.0) / 1000.0;
        want(
            !timed || last_s < within,
            format!("the last change was in force after {last_s:.1} s, over the objective of {within} s"),
        );
        faults
    }
}
