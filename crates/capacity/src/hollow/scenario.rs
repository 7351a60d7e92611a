//! What happens to the fleet in each scenario.

use clap::ValueEnum;
use oorandom::Rand64;

use super::topology::Topology;
use super::world::{DRAIN_S, Step, TimedStep};
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

/// Virtual seconds from the start, from when to when something lasts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Span {
    /// The first second.
    pub from_s: f64,
    /// The second at which it is over.
    pub until_s: f64,
}

/// What a scenario does to the fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct Script {
    /// The steps, in the order of time.
    pub steps: Vec<TimedStep>,
    /// From when to when the trouble lasts.
    pub trouble: Span,
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

    /// What happens, in the order of time, and from when to when the trouble lasts.
    #[must_use]
    pub fn script(self, plan: &Plan, topology: &Topology, seconds: f64, seed: u64) -> Script {
        let mut writer = ScriptWriter::new(plan, topology, seconds, seed);
        let trouble = match self {
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
        Script { steps: script, trouble }
    }
}

/// Draws the script of a scenario. Each scenario adds its steps and gives from when to when its trouble lasts.
struct ScriptWriter<'a> {
    plan: &'a Plan,
    topology: &'a Topology,
    /// Virtual seconds of the run.
    seconds: f64,
    rng: Rand64,
    /// The zone of each slot.
    zones: Vec<usize>,
    /// The service of each slot.
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

    /// A draw from 0 to under `count`.
    fn draw(&mut self, count: usize) -> usize {
        self.rng.rand_range(0..count.max(1) as u64) as usize
    }

    fn ordinary(&mut self) -> Span {
        let (from, until) = (CALM_S, self.seconds * 0.85);
        self.planned_replacements(from, until);
        let failed = (self.plan.failures.machines_per_day.value.round() as usize).max(1);
        for _ in 0..failed {
            let at = from + (until - from) * self.draw(1000) as f64 / 1000.0;
            let slot = self.draw(self.zones.len());
            self.add(at, Step::Fail(slot));
        }
        Span { from_s: from, until_s: until }
    }

    /// A day's planned replacements, evenly over the time.
    fn planned_replacements(&mut self, from: f64, until: f64) {
        let replaced = self.plan.failures.replaced_per_day.value.round() as usize;
        let mut latest = vec![f64::MIN; self.topology.services.len()];
        for number in 0..replaced {
            let at = from + (until - from) * number as f64 / replaced as f64;
            // Who replaces takes one of a service after another.
            let free = (0..50).find_map(|_| {
                let slot = self.draw(self.zones.len());
                (at - latest[self.services[slot]] >= APART_S).then_some(slot)
            });
            if let Some(slot) = free {
                latest[self.services[slot]] = at;
                self.add(at, Step::Replace(slot));
            }
        }
    }

    fn replacement(&mut self) -> Span {
        let each = (self.seconds - CALM_S - DRAIN_S) / STEPS as f64;
        let mut before = vec![0; self.topology.services.len()];
        for slot in 0..self.services.len() {
            let service = self.services[slot];
            let step = (before[service] + service) % STEPS;
            before[service] += 1;
            // Within a step they go one after another over a second.
            let at = CALM_S + each * step as f64 + self.draw(1000) as f64 / 1000.0;
            self.add(at, Step::Replace(slot));
        }
        Span { from_s: CALM_S, until_s: self.seconds }
    }

    fn rack(&mut self) -> Span {
        let at = self.seconds * 0.2;
        let zone = self.draw(self.topology.region_of.len());
        let mut here: Vec<usize> = (0..self.zones.len()).filter(|&slot| self.zones[slot] == zone).collect();
        for _ in 0..self.plan.fleet.machines_per_rack.value.min(here.len()) {
            let slot = here.swap_remove(self.draw(here.len()));
            self.add(at, Step::Fail(slot));
        }
        Span { from_s: at, until_s: self.seconds * 0.7 }
    }

    fn zone(&mut self) -> Span {
        let zone = self.draw(self.topology.region_of.len());
        let (from, until) = (self.seconds * 0.2, self.seconds * 0.55);
        self.add(from, Step::LoseZone(zone));
        self.add(until, Step::ReturnZone(zone));
        Span { from_s: from, until_s: until }
    }

    fn region(&mut self) -> Span {
        let regions = self.topology.region_of.iter().max().map_or(1, |last| last + 1);
        let region = self.draw(regions);
        let (from, until) = (self.seconds * 0.15, self.seconds * 0.45);
        self.add(from, Step::Cut(region));
        self.add(until, Step::Heal(region));
        Span { from_s: from, until_s: until }
    }
}
