//! What happens to the fleet in each scenario.

use clap::ValueEnum;
use oorandom::Rand64;

use super::topology::Topology;
use super::world::{DRAIN_S, Step};
use crate::plan::Plan;

/// Seconds before anything happens, in which the balancers learn.
pub const CALM_S: f64 = 3.0;
/// Steps in which everything is replaced: each takes one upstream of eight.
const STEPS: usize = 8;
/// Seconds between planned replacements within a service, at least.
const APART_S: f64 = 12.0;

/// What happens to the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Scenario {
    /// Nothing, to hold the others against.
    Calm,
    /// A day's failures and replacements in less than a minute.
    Ordinary,
    /// Everything is replaced, one upstream of eight at a time.
    Replacement,
    /// A rack is lost.
    Rack,
    /// A zone is lost whole and comes back cold.
    Zone,
    /// A region is cut off from the others and comes back.
    Region,
    /// The whole fleet has just started.
    Cold,
}

impl Scenario {
    /// All of them.
    pub const ALL: [Self; 7] =
        [Self::Calm, Self::Ordinary, Self::Replacement, Self::Rack, Self::Zone, Self::Region, Self::Cold];

    /// Its name on the command line.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Calm => "calm",
            Self::Ordinary => "ordinary",
            Self::Replacement => "replacement",
            Self::Rack => "rack",
            Self::Zone => "zone",
            Self::Region => "region",
            Self::Cold => "cold",
        }
    }

    /// Virtual seconds of a full run.
    #[must_use]
    pub fn seconds(self) -> f64 {
        match self {
            Self::Calm => 20.0,
            Self::Ordinary => 45.0,
            Self::Replacement => 85.0,
            Self::Rack => 30.0,
            Self::Zone => 45.0,
            Self::Region => 60.0,
            Self::Cold => 24.0,
        }
    }

    /// What happens, at seconds from the start, and from when to when the trouble lasts.
    #[must_use]
    pub fn script(
        self,
        plan: &Plan,
        topology: &Topology,
        seconds: f64,
        seed: u64,
    ) -> (Vec<(f64, Step)>, (f64, f64)) {
        let mut rng = Rand64::new(u128::from(seed) << 8 | 3);
        let mut script = Vec::new();
        let zones: Vec<usize> =
            topology.services.iter().flat_map(|service| service.zones.iter().copied()).collect();
        let services: Vec<usize> = topology
            .services
            .iter()
            .enumerate()
            .flat_map(|(number, service)| vec![number; service.zones.len()])
            .collect();
        let mut upto = |count: usize| rng.rand_range(0..count.max(1) as u64) as usize;
        let trouble = match self {
            Self::Calm => (seconds, seconds),
            Self::Ordinary => {
                let (from, until) = (CALM_S, seconds * 0.85);
                let replaced = plan.failures.replaced_per_day.value.round() as usize;
                let failed = (plan.failures.machines_per_day.value.round() as usize).max(1);
                let mut latest = vec![f64::MIN; topology.services.len()];
                for number in 0..replaced {
                    let at = from + (until - from) * number as f64 / replaced as f64;
                    // Who replaces takes one of a service after another.
                    let free = (0..50).map(|_| upto(zones.len())).find(|&slot| {
                        let service = services[slot];
                        at - latest[service] >= APART_S
                    });
                    if let Some(slot) = free {
                        latest[services[slot]] = at;
                        script.push((at, Step::Replace(slot)));
                    }
                }
                for _ in 0..failed {
                    let at = from + (until - from) * upto(1000) as f64 / 1000.0;
                    script.push((at, Step::Fail(upto(zones.len()))));
                }
                (from, until)
            }
            Self::Replacement => {
                let each = (seconds - CALM_S - DRAIN_S) / STEPS as f64;
                let mut before = vec![0; topology.services.len()];
                for (slot, &service) in services.iter().enumerate() {
                    let step = (before[service] + service) % STEPS;
                    before[service] += 1;
                    // Within a step they go one after another over a second.
                    let at = CALM_S + each * step as f64 + upto(1000) as f64 / 1000.0;
                    script.push((at, Step::Replace(slot)));
                }
                (CALM_S, seconds)
            }
            Self::Rack => {
                let at = seconds * 0.2;
                let zone = upto(topology.region_of.len());
                let mut here: Vec<usize> = (0..zones.len()).filter(|&slot| zones[slot] == zone).collect();
                for _ in 0..plan.fleet.machines_per_rack.value.min(here.len()) {
                    let slot = here.swap_remove(upto(here.len()));
                    script.push((at, Step::Fail(slot)));
                }
                (at, seconds * 0.7)
            }
            Self::Zone => {
                let zone = upto(topology.region_of.len());
                let (from, until) = (seconds * 0.2, seconds * 0.55);
                script.push((from, Step::LoseZone(zone)));
                script.push((until, Step::ReturnZone(zone)));
                (from, until)
            }
            Self::Region => {
                let regions = topology.region_of.iter().max().map_or(1, |last| last + 1);
                let region = upto(regions);
                let (from, until) = (seconds * 0.15, seconds * 0.45);
                script.push((from, Step::Cut(region)));
                script.push((until, Step::Heal(region)));
                (from, until)
            }
            Self::Cold => (0.0, 10.0),
        };
        script.sort_by(|a, b| a.0.total_cmp(&b.0));
        (script, trouble)
    }
}
