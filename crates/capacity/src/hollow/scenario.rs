//! The scenarios of the hollow fleet: which replacements, failures and network partitions each one contains, and when.

use clap::ValueEnum;
use oorandom::Rand64;

use super::simulation::{DRAIN_S, Step, TimedStep};
use super::topology::Topology;
use crate::plan::Plan;

/// Virtual seconds from the start of a run until the events of the scenarios `ordinary` and `replacement` begin, in
/// which the balancers learn the normal state. The events of `rack`, `zone` and `region` begin at a fraction of the
/// run's duration, which may be earlier in a short run. The totals in the results table leave out this time, except for
/// `cold`.
pub const LEARNING_S: f64 = 3.0;
/// Number of waves in which the scenario `replacement` replaces the whole fleet; each replaces one upstream in eight.
const REPLACEMENT_STEPS: usize = 8;
/// Minimum virtual seconds between two planned replacements within a service in the scenario `ordinary`. The scenario
/// `replacement` does not use it: its waves divide the run, and a wave may replace several upstreams of a service.
const REPLACEMENT_GAP_MIN_S: f64 = 12.0;

/// A scenario: the sequence of events that the fleet goes through.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Scenario {
    /// No failures or replacements; the baseline for the other scenarios.
    Calm,
    /// A normal day's failures and replacements, compressed into less than a minute.
    Ordinary,
    /// The whole fleet is replaced, one upstream in eight at a time.
    Replacement,
    /// A rack fails, with all its upstreams.
    Rack,
    /// A whole zone fails, and later restarts with cold processes.
    Zone,
    /// A network partition separates a region from the others, and later heals.
    Region,
    /// All processes of the fleet have just started.
    Cold,
}

/// A span of virtual time, measured from the start of the run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Span {
    /// Start of the span, in virtual seconds from the start of the run.
    pub from_s: f64,
    /// End of the span, exclusive, in virtual seconds from the start of the run.
    pub until_s: f64,
}

/// The timed events that a scenario applies to the fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct Script {
    /// Events of the scenario (replacements, failures and network partitions), ordered by time.
    pub steps: Vec<TimedStep>,
    /// Time span of the scenario's fault, or of its replacements if it has none; empty for `calm`. For `cold` it is the
    /// first 10 s of the run.
    pub fault: Span,
}

impl Scenario {
    /// All scenarios, in the order in which they run and in which the results table lists them.
    pub const ALL: [Self; 7] =
        [Self::Calm, Self::Ordinary, Self::Replacement, Self::Rack, Self::Zone, Self::Region, Self::Cold];

    /// Name of the scenario on the command line and in the results table.
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

    /// Duration of a full run of the scenario, in virtual seconds.
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

    /// Draws the events of the scenario for a run of `seconds` virtual seconds, and the time span of its fault or
    /// of its replacements.
    #[must_use]
    pub fn script(self, plan: &Plan, topology: &Topology, seconds: f64, seed: u64) -> Script {
        let mut writer = ScriptWriter::new(plan, topology, seconds, seed);
        let fault = match self {
            Self::Calm => Span { from_s: seconds, until_s: seconds },
            Self::Ordinary => writer.ordinary(),
            Self::Replacement => writer.replacement(),
            Self::Rack => writer.rack(),
            Self::Zone => writer.zone(),
            Self::Region => writer.region(),
            Self::Cold => Span { from_s: 0.0, until_s: 10.0 },
        };
        let mut script = writer.script;
        script.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
        Script { steps: script, fault }
    }
}

/// Builder of a scenario's script. The method of each scenario adds its events and returns the time span of its fault
/// or of its replacements.
struct ScriptWriter<'a> {
    plan: &'a Plan,
    topology: &'a Topology,
    /// Duration of the scenario's run, in virtual seconds.
    seconds: f64,
    rng: Rand64,
    /// Zone of each slot, by slot index.
    zones: Vec<usize>,
    /// Service of each slot, by slot index.
    services: Vec<usize>,
    script: Vec<TimedStep>,
}

impl<'a> ScriptWriter<'a> {
    fn new(plan: &'a Plan, topology: &'a Topology, seconds: f64, seed: u64) -> Self {
        let services = topology.services.iter();
        Self {
            plan,
            topology,
            seconds,
            rng: Rand64::new(u128::from(seed) << 8 | 3),
            zones: services.clone().flat_map(|service| service.zones.iter().copied()).collect(),
            services: services
                .enumerate()
                .flat_map(|(number, service)| vec![number; service.zones.len()])
                .collect(),
            script: Vec::new(),
        }
    }

    fn add(&mut self, at_s: f64, step: Step) {
        self.script.push(TimedStep { at_s, step });
    }

    /// Draws a random number from 0 to `count` - 1.
    fn draw(&mut self, count: usize) -> usize {
        self.rng.rand_range(0..count.max(1) as u64) as usize
    }

    fn ordinary(&mut self) -> Span {
        let (from, until) = (LEARNING_S, self.seconds * 0.85);
        self.planned_replacements(from, until);
        let failed = (self.plan.failures.machines_per_day.value.round() as usize).max(1);
        for _ in 0..failed {
            let at = from + (until - from) * self.draw(1000) as f64 / 1000.0;
            let slot = self.draw(self.zones.len());
            self.add(at, Step::FailMachine(slot));
        }
        Span { from_s: from, until_s: until }
    }

    /// Adds a day's planned replacements, spread evenly over the time from `from` to `until`, in virtual seconds.
    fn planned_replacements(&mut self, from: f64, until: f64) {
        let replaced = self.plan.failures.replaced_per_day.value.round() as usize;
        let mut latest = vec![f64::MIN; self.topology.services.len()];
        for number in 0..replaced {
            let at = from + (until - from) * number as f64 / replaced as f64;
            // In this scenario, the upstreams of a service are replaced one after another, at least
            // `REPLACEMENT_GAP_MIN_S` apart.
            let eligible = (0..50).find_map(|_| {
                let slot = self.draw(self.zones.len());
                (at - latest[self.services[slot]] >= REPLACEMENT_GAP_MIN_S).then_some(slot)
            });
            if let Some(slot) = eligible {
                latest[self.services[slot]] = at;
                self.add(at, Step::Replace(slot));
            }
        }
    }

    fn replacement(&mut self) -> Span {
        let each = (self.seconds - LEARNING_S - DRAIN_S) / REPLACEMENT_STEPS as f64;
        let mut before = vec![0; self.topology.services.len()];
        for slot in 0..self.services.len() {
            let service = self.services[slot];
            let step = (before[service] + service) % REPLACEMENT_STEPS;
            before[service] += 1;
            // Within a wave, the replacements are spread over one second.
            let at = LEARNING_S + each * step as f64 + self.draw(1000) as f64 / 1000.0;
            self.add(at, Step::Replace(slot));
        }
        Span { from_s: LEARNING_S, until_s: self.seconds }
    }

    fn rack(&mut self) -> Span {
        let at = self.seconds * 0.2;
        let zone = self.draw(self.topology.region_of.len());
        let mut slots_in_zone: Vec<usize> =
            (0..self.zones.len()).filter(|&slot| self.zones[slot] == zone).collect();
        for _ in 0..self.plan.fleet.machines_per_rack.value.min(slots_in_zone.len()) {
            let slot = slots_in_zone.swap_remove(self.draw(slots_in_zone.len()));
            self.add(at, Step::FailMachine(slot));
        }
        Span { from_s: at, until_s: self.seconds * 0.7 }
    }

    fn zone(&mut self) -> Span {
        let zone = self.draw(self.topology.region_of.len());
        let (from, until) = (self.seconds * 0.2, self.seconds * 0.55);
        self.add(from, Step::FailZone(zone));
        self.add(until, Step::RestoreZone(zone));
        Span { from_s: from, until_s: until }
    }

    fn region(&mut self) -> Span {
        let regions = self.topology.region_of.iter().max().map_or(1, |last| last + 1);
        let region = self.draw(regions);
        let (from, until) = (self.seconds * 0.15, self.seconds * 0.45);
        self.add(from, Step::PartitionRegion(region));
        self.add(until, Step::HealRegion(region));
        Span { from_s: from, until_s: until }
    }
}
