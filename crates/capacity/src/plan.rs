//! The plan of the fleet to come: figures with where they are from, checked as a whole, and what follows from them.

use std::fmt::Debug;
use std::fs;
use std::path::Path;

use serde::Deserialize;

use crate::CapacityError;

mod checks;

pub use checks::PlanFault;

/// Where a figure is from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Source {
    /// It was asked for.
    Given,
    /// It is ours, and may be wrong.
    Assumed,
}

/// A figure of the plan.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Figure<T> {
    /// Its value.
    pub value: T,
    /// Where it is from.
    pub from: Source,
    /// What it counts.
    pub unit: String,
    /// Why this much.
    #[serde(default)]
    pub why: String,
}

/// A figure of the plan as text, for the page and the command line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PrintedFigure {
    /// Its place in the file.
    pub place: String,
    /// Its value.
    pub value: String,
    /// Where it is from.
    pub from: Source,
    /// What it counts.
    pub unit: String,
    /// Why this much.
    pub why: String,
}

impl<T: Debug> Figure<T> {
    fn printed(&self, section: &str, name: &str) -> PrintedFigure {
        let value = format!("{:?}", self.value);
        PrintedFigure {
            place: format!("{section}.{name}"),
            value: value.strip_suffix(".0").unwrap_or(&value).to_owned(),
            from: self.from,
            unit: self.unit.clone(),
            why: self.why.clone(),
        }
    }
}

macro_rules! section {
    ($(#[$about:meta])* $name:ident { $($(#[$doc:meta])* $field:ident: $type:ty),+ $(,)? }) => {
        $(#[$about])*
        #[derive(Debug, Clone, PartialEq, Deserialize)]
        #[serde(deny_unknown_fields)]
        pub struct $name {
            $($(#[$doc])* pub $field: Figure<$type>,)+
        }

        impl $name {
            fn printed(&self, section: &str, printed: &mut Vec<PrintedFigure>) {
                $(printed.push(self.$field.printed(section, stringify!($field)));)+
            }
        }
    };
}

section! {
    /// How many there are, and where.
    Fleet {
        /// Upstreams, each with its balancer.
        upstreams: usize,
        /// Services.
        services: usize,
        /// Regions.
        regions: usize,
        /// Zones in all.
        zones: usize,
        /// Zones of each region.
        zones_by_region: Vec<usize>,
        /// Part of the upstreams in each region.
        region_shares: Vec<f64>,
        /// Exponent by which services shrink with their rank.
        size_skew: f64,
        /// Upstreams that fail with one rack.
        machines_per_rack: usize,
    }
}

section! {
    /// Who calls whom.
    Graph {
        /// Calls in a chain at most.
        depth: usize,
        /// Services that one service calls, on average.
        destinations_mean: f64,
        /// The same at most.
        destinations_most: usize,
        /// Part of the services at each depth, the front first.
        services_by_depth: Vec<f64>,
        /// Calls in all for one at the front, where the rate is read as over all hops.
        hops_per_call: f64,
    }
}

section! {
    /// What they carry.
    Traffic {
        /// Calls a second, read in two ways.
        calls_per_s: f64,
        /// The busiest balancer over the mean.
        busiest_over_mean: f64,
        /// Work of one call, in ms of a core.
        work_ms: f64,
        /// How long a client waits, in seconds.
        deadline_s: f64,
        /// The latency objective, in seconds: an answer after it counts as late.
        aim_s: f64,
        /// Tenants at the front.
        tenants: usize,
        /// Repeats by a client at most.
        client_repeats: u32,
        /// Attempts by a balancer at most.
        attempts: u32,
        /// Time added to a call at most, in ms...
        added_ms: f64,
        /// ...for this part of the calls.
        added_quantile: f64,
        /// What a service can carry, in its usual load.
        headroom: f64,
    }
}

section! {
    /// Delays one way, in ms.
    Network {
        /// Within a zone.
        zone_ms: f64,
        /// Between zones of a region.
        region_ms: f64,
        /// Between regions.
        far_ms: f64,
    }
}

section! {
    /// The list of upstreams on the wire.
    List {
        /// Bytes of an entry.
        entry_bytes: usize,
        /// Seconds between signs of life.
        beat_s: f64,
        /// Lines that the replacement of an upstream makes.
        lines_per_replacement: f64,
        /// Lines that the failure of an upstream makes, with its return.
        lines_per_failure: f64,
        /// Seconds between renewals by a registrant.
        renew_s: f64,
    }
}

section! {
    /// Configuration and how it changes.
    Configuration {
        /// Changes a day.
        changes_per_day: f64,
        /// Seconds until a change is in force everywhere.
        in_force_s: f64,
        /// Changes in the busiest minute.
        peak_per_minute: f64,
        /// Part of the changes that are for the fleet, a region, a service.
        scope_shares: Vec<f64>,
        /// Changes that come together, on average.
        bunch: f64,
        /// Bytes of the fleet's document.
        fleet_bytes: usize,
        /// Bytes of a region's document.
        region_bytes: usize,
        /// Bytes of a service's document.
        service_bytes: usize,
    }
}

section! {
    /// What control may cost.
    Budget {
        /// Part of a core, a balancer.
        core_share: f64,
        /// MB, a balancer.
        memory_mb: f64,
        /// Bytes a second, a balancer.
        bytes_per_s: f64,
        /// Machines reserved for control.
        control_machines: usize,
        /// Cores of each.
        machine_cores: f64,
        /// MB of each.
        machine_memory_mb: f64,
        /// Bytes a second of each.
        machine_bytes_per_s: f64,
    }
}

section! {
    /// How the control machines are dealt.
    Deal {
        /// Those that accept publications.
        origins: usize,
        /// Replicas of the origin that can take over.
        standbys: usize,
        /// One a region.
        region_relays: usize,
        /// Those that serve the balancers of a zone.
        zone_relays: usize,
    }
}

section! {
    /// What fails, and how often.
    Failures {
        /// Machines that fail on an ordinary day.
        machines_per_day: f64,
        /// Machines restarted or replaced on an ordinary day.
        replaced_per_day: f64,
        /// Racks a year.
        racks_per_year: f64,
        /// Zones a year.
        zones_per_year: f64,
        /// Cuts between regions a year.
        region_cuts_per_year: f64,
        /// Seconds of the cut that is planned for.
        region_cut_s: f64,
        /// Seconds in which everything is replaced.
        replace_all_s: f64,
    }
}

/// The whole plan.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// How many there are, and where.
    pub fleet: Fleet,
    /// Who calls whom.
    pub graph: Graph,
    /// What they carry.
    pub traffic: Traffic,
    /// Delays.
    pub network: Network,
    /// The list on the wire.
    pub list: List,
    /// Configuration and how it changes.
    pub configuration: Configuration,
    /// What control may cost.
    pub budget: Budget,
    /// How the control machines are dealt.
    pub deal: Deal,
    /// What fails.
    pub failures: Failures,
}

/// Upstreams of a plan at most, so that a mistyped figure does not use up the memory.
const UPSTREAMS_MOST: usize = 1_000_000;

/// How "calls a second" is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reading {
    /// Calls at the front, each then `depth` calls in all.
    Front,
    /// Calls over all hops.
    Hops,
}

/// What of a change of configuration concerns one balancer, on average.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OwnChange {
    /// Part of the changes that concern it, 0 to 1.
    pub part: f64,
    /// Bytes of documents that it is sent for one change.
    pub bytes: f64,
}

impl Plan {
    /// Reads and checks the plan.
    ///
    /// # Errors
    /// The file cannot be read or is malformed, or the plan contradicts itself: all faults at once, each with its place.
    pub fn read(path: &Path) -> Result<Self, CapacityError> {
        let text = fs::read_to_string(path).map_err(|cause| CapacityError::file(path, cause))?;
        Self::parse(&text).map_err(|error| match error {
            CapacityError::Text(cause) => CapacityError::file(path, cause),
            other => other,
        })
    }

    /// The same from its text.
    ///
    /// # Errors
    /// As for [`Self::read`].
    pub fn parse(text: &str) -> Result<Self, CapacityError> {
        let plan: Self = toml::from_str(text).map_err(|cause| CapacityError::Text(cause.to_string()))?;
        let faults = plan.faults();
        if faults.is_empty() { Ok(plan) } else { Err(CapacityError::Plan(faults)) }
    }

    /// All its figures as text, in the order of the file.
    #[must_use]
    pub fn printed(&self) -> Vec<PrintedFigure> {
        let mut printed = Vec::new();
        self.fleet.printed("fleet", &mut printed);
        self.graph.printed("graph", &mut printed);
        self.traffic.printed("traffic", &mut printed);
        self.network.printed("network", &mut printed);
        self.list.printed("list", &mut printed);
        self.configuration.printed("configuration", &mut printed);
        self.budget.printed("budget", &mut printed);
        self.deal.printed("deal", &mut printed);
        self.failures.printed("failures", &mut printed);
        printed
    }

    /// Calls a second over all hops.
    #[must_use]
    pub fn hops_per_s(&self, reading: Reading) -> f64 {
        match reading {
            Reading::Front => self.traffic.calls_per_s.value * self.graph.depth.value as f64,
            Reading::Hops => self.traffic.calls_per_s.value,
        }
    }

    /// Calls a second at the front.
    #[must_use]
    pub fn front_per_s(&self, reading: Reading) -> f64 {
        match reading {
            Reading::Front => self.traffic.calls_per_s.value,
            Reading::Hops => self.traffic.calls_per_s.value / self.graph.hops_per_call.value,
        }
    }

    /// Calls a second that a balancer carries at the mean.
    #[must_use]
    pub fn mean_rate(&self, reading: Reading) -> f64 {
        self.hops_per_s(reading) / self.fleet.upstreams.value as f64
    }

    /// Calls a second that the busiest balancer carries.
    #[must_use]
    pub fn busiest_rate(&self, reading: Reading) -> f64 {
        self.mean_rate(reading) * self.traffic.busiest_over_mean.value
    }

    /// What an upstream of a tier carries, in the mean of all: of each tier where all calls go to the full depth, then of
    /// the front where the rate is over all hops.
    fn tiers_over_mean(&self) -> Vec<f64> {
        let Graph { depth, services_by_depth, hops_per_call, .. } = &self.graph;
        let deep = services_by_depth.value.iter().map(|share| 1.0 / (depth.value as f64 * share.max(1e-9)));
        let front =
            services_by_depth.value.first().map(|share| 1.0 / (hops_per_call.value * share.max(1e-9)));
        deep.chain(front).collect()
    }

    /// Upstreams of the services at the front.
    #[must_use]
    pub fn fronts(&self) -> f64 {
        let share = self.graph.services_by_depth.value.first().copied().unwrap_or(1.0);
        (self.fleet.upstreams.value as f64 * share).max(1.0)
    }

    /// Upstreams of the largest region.
    #[must_use]
    pub fn largest_region(&self) -> f64 {
        self.fleet.upstreams.value as f64 * self.fleet.region_shares.value.iter().copied().fold(0.0, f64::max)
    }

    /// Upstreams of the largest zone: zones of a region are alike.
    #[must_use]
    pub fn largest_zone(&self) -> f64 {
        let regions = self.fleet.region_shares.value.iter().zip(&self.fleet.zones_by_region.value);
        let shares = regions.map(|(share, &zones)| share / zones.max(1) as f64);
        self.fleet.upstreams.value as f64 * shares.fold(0.0, f64::max)
    }

    /// Bytes of all documents: the fleet's, each region's, each service's.
    #[must_use]
    pub fn documents_bytes(&self) -> f64 {
        let Configuration { fleet_bytes, region_bytes, service_bytes, .. } = &self.configuration;
        (fleet_bytes.value
            + self.fleet.regions.value * region_bytes.value
            + self.fleet.services.value * service_bytes.value) as f64
    }

    /// Bytes of the documents that one balancer uses.
    #[must_use]
    pub fn own_documents_bytes(&self) -> f64 {
        let Configuration { fleet_bytes, region_bytes, service_bytes, .. } = &self.configuration;
        (fleet_bytes.value + region_bytes.value + service_bytes.value) as f64
    }

    /// Bytes of the document of a change, on average.
    #[must_use]
    pub fn change_bytes(&self) -> f64 {
        let Configuration { scope_shares, fleet_bytes, region_bytes, service_bytes, .. } =
            &self.configuration;
        let bytes = [fleet_bytes.value, region_bytes.value, service_bytes.value];
        scope_shares.value.iter().zip(bytes).map(|(share, bytes)| share * bytes as f64).sum()
    }

    /// What of a change concerns one balancer, on average: regions and services change alike.
    #[must_use]
    pub fn own_change(&self) -> OwnChange {
        let Configuration { scope_shares, fleet_bytes, region_bytes, service_bytes, .. } =
            &self.configuration;
        let one_of = [1.0, self.fleet.regions.value as f64, self.fleet.services.value as f64];
        let bytes = [fleet_bytes.value, region_bytes.value, service_bytes.value];
        let parts = scope_shares.value.iter().zip(one_of).map(|(share, all)| share / all);
        let lengths = parts.clone().zip(bytes).map(|(part, bytes)| part * bytes as f64);
        OwnChange { part: parts.sum(), bytes: lengths.sum() }
    }

    /// Balancers that a change of configuration concerns, on average.
    #[must_use]
    pub fn balancers_per_change(&self) -> f64 {
        self.own_change().part * self.fleet.upstreams.value as f64
    }

    /// How long a call is in flight where no service is in trouble, in seconds: all tiers work, and each has its way there
    /// and back.
    #[must_use]
    pub fn call_in_flight_s(&self) -> f64 {
        self.graph.depth.value as f64 * (self.traffic.work_ms.value + 2.0 * self.network.region_ms.value)
            / 1000.0
    }

    /// Upstreams of each service, the largest first: skewed, one at least each, and all of them in sum.
    #[must_use]
    pub fn service_sizes(&self) -> Vec<usize> {
        let (services, upstreams) = (self.fleet.services.value, self.fleet.upstreams.value);
        let weights: Vec<f64> =
            (1..=services).map(|rank| (rank as f64).powf(-self.fleet.size_skew.value)).collect();
        let spare = (upstreams - services) as f64;
        let all: f64 = weights.iter().sum();
        // Cut where the running sum passes whole numbers, so that the parts make the whole.
        let (mut sum, mut before) = (0.0, 0);
        weights
            .iter()
            .map(|weight| {
                sum += weight / all * spare;
                let until = (sum + 1e-6).floor() as usize;
                let size = 1 + until - before;
                before = until;
                size
            })
            .collect()
    }

    /// Bytes of the whole list of the fleet.
    #[must_use]
    pub fn whole_list_bytes(&self) -> usize {
        self.fleet.upstreams.value * self.list.entry_bytes.value
    }
}
