//! Sampling of the balancers' signals: once a second, the number of balancers with a reduced limit, ejected upstreams
//! or congested upstreams.

use balancer_policy::interface::Lifecycle;

use super::event::ScheduledEvent;
use super::lists::{LIST_DELAY_MIN_S, LIST_DELAY_SPREAD_S};
use super::report::Signals;
use super::settings::QUOTA_MULTIPLE;
use super::upstreams::SLOW_START_WINDOW_S;
use super::{FleetSimulation, SIGNAL_SAMPLE_INTERVAL_S, ns};

impl FleetSimulation<'_> {
    /// Takes one sample of the signals from the stats snapshots of all running balancers.
    pub(super) fn sample_signals(&mut self) {
        self.scheduled.push(self.now + ns(SIGNAL_SAMPLE_INTERVAL_S), ScheduledEvent::SignalSample);
        let mut signals = Signals { at_s: (self.now + 500_000_000) / 1_000_000_000, ..Signals::default() };
        // The figure `had` of the stats snapshot drops not only when upstreams are ejected, but also while a list is
        // changing or one of its members is warming up. Ejections from the lists of such services are not counted.
        let late = ns(LIST_DELAY_MIN_S + LIST_DELAY_SPREAD_S);
        let uncertain: Vec<bool> = (0..self.listed.len())
            .map(|service| {
                let is_warming_up = |&process: &u32| {
                    let started = self.processes[process as usize].started;
                    started.is_some_and(|started| self.now < started + ns(SLOW_START_WINDOW_S) + late)
                };
                self.partition.is_some()
                    || self.list_changed_at[service].is_some_and(|at| self.now < at + 2 * late)
                    || self.listed[service].iter().any(is_warming_up)
            })
            .collect();
        for core in &self.cores {
            let Some(balancer) = &core.balancer else { continue };
            signals.cores += 1;
            let stats_snapshot = balancer.stats_snapshot();
            let figure = |name: &str| -> f64 {
                let rest = stats_snapshot.split_once(name).map_or("", |(_, rest)| rest);
                rest.split([' ', ',']).find_map(|word| word.parse().ok()).unwrap_or(0.0)
            };
            signals.congested += usize::from(figure("crowding ") > 0.2);
            // The last of the limits is the limit on all calls together; it is 1000000 if there is none.
            let limits = stats_snapshot.split_once("limits ").map_or("", |(_, rest)| rest);
            let limits = limits.split_once(", usual").map_or("", |(limits, _)| limits);
            let all = limits.split(' ').filter_map(|word| word.parse::<f64>().ok()).next_back();
            let full_limit = QUOTA_MULTIPLE * self.topology.services[core.service].rate
                / self.topology.fronts.len() as f64;
            let full_limit = if core.front { full_limit } else { 1e6 };
            signals.limited += usize::from(all.is_some_and(|all| all < full_limit * 0.99));
            let is_ready = |&&process: &&u32| self.processes[process as usize].lifecycle == Lifecycle::Ready;
            let ready = self.listed[core.service].iter().filter(is_ready).count() as f64;
            let ready = ready / core.initial_ready.max(1) as f64;
            let expected_fraction = ready.clamp(0.5, 1.0);
            signals.ejected +=
                usize::from(!uncertain[core.service] && figure("had ") < expected_fraction - 0.01);
        }
        self.report.signals.push(signals);
    }
}
