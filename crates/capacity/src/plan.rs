//! Plan of the future fleet: its figures with their sources, read from a TOML file and validated together, and the
//! values derived from them.

use std::fmt::Debug;
use std::fs;
use std::path::Path;

use serde::Deserialize;

use crate::CapacityError;

mod checks;

pub use checks::PlanFault;

/// Where a figure of the plan comes from: a requirement or an estimate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Source {
    /// The figure is a requirement.
    Given,
    /// The figure is an estimate of this project and may be wrong.
    Assumed,
}

/// A figure of the plan as it is read from the file.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Figure<T> {
    /// Value of the figure.
    pub value: T,
    /// Source of the figure.
    pub from: Source,
    /// Unit of the value, with what it counts.
    pub unit: String,
    /// Reason for the value; empty where the file gives none.
    #[serde(default)]
    pub why: String,
}

/// A figure of the plan as text, for the generated page and the command line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PrintedFigure {
    /// Key of the figure in the plan file, as `section.name`.
    pub place: String,
    /// Value of the figure, without a trailing `.0`.
    pub value: String,
    /// Source of the figure.
    pub from: Source,
    /// Unit of the value, with what it counts.
    pub unit: String,
    /// Reason for the value; empty where the file gives none.
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

/// Defines a section of the plan file as a struct of figures, with a method that prints them in field order.
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
    /// Section `[fleet]` of the plan file: size of the fleet, and its distribution over regions, zones and racks.
    Fleet {
        /// Number of upstream processes, each with its own balancer.
        upstreams: usize,
        /// Number of services.
        services: usize,
        /// Number of regions.
        regions: usize,
        /// Number of zones in all regions together.
        zones: usize,
        /// Number of zones in each region.
        zones_by_region: Vec<usize>,
        /// Fraction of the upstreams in each region, 0 to 1.
        region_shares: Vec<f64>,
        /// Exponent of the service sizes: the service of rank r has a size in proportion to `r.powf(-size_skew)`.
        size_skew: f64,
        /// Number of upstreams that fail when one rack fails.
        machines_per_rack: usize,
    }
}

section! {
    /// Section `[graph]` of the plan file: shape of the graph of calls between services.
    Graph {
        /// Maximum number of calls in a chain, which is also the number of tiers.
        depth: usize,
        /// Mean number of different services that one service calls.
        destinations_mean: f64,
        /// Maximum number of different services that one service calls.
        destinations_most: usize,
        /// Fraction of the services at each depth of the call graph, 0 to 1; the front comes first.
        services_by_depth: Vec<f64>,
        /// Calls over all hops that one call at the front causes; used where `traffic.calls_per_s` counts all hops.
        hops_per_call: f64,
    }
}

section! {
    /// Section `[traffic]` of the plan file: rate and cost of the calls, and the limits on their latency and retries.
    Traffic {
        /// Calls per second, counted at the front or over all hops (see [`Reading`]).
        calls_per_s: f64,
        /// Call rate of the busiest balancer as a multiple of the mean rate.
        busiest_over_mean: f64,
        /// Processor time of one call at the upstream that serves it, in ms, without the calls that it makes in turn.
        work_ms: f64,
        /// Time that a client at the front waits for an answer, in seconds.
        deadline_s: f64,
        /// Latency objective of a call at the front, in seconds; an answer that takes longer counts as late.
        aim_s: f64,
        /// Number of tenants at the front.
        tenants: usize,
        /// Maximum number of times that a client repeats a failed call.
        client_repeats: u32,
        /// Maximum number of attempts, including the first, that a balancer makes for one call.
        attempts: u32,
        /// Maximum time that a balancer may add to a call, in ms, at the quantile `added_quantile`.
        added_ms: f64,
        /// Quantile, 0 to 1, of the latency that a balancer adds to a call, at which `added_ms` must hold.
        added_quantile: f64,
        /// Load that a service can carry, as a multiple of its usual load.
        headroom: f64,
    }
}

section! {
    /// Section `[network]` of the plan file: one-way delays within a zone, between zones and between regions.
    Network {
        /// One-way delay within a zone, in ms.
        zone_ms: f64,
        /// One-way delay between zones of a region, in ms.
        region_ms: f64,
        /// One-way delay between regions, in ms.
        far_ms: f64,
    }
}

section! {
    /// Section `[list]` of the plan file: size of the upstream list, and how often it is updated and renewed.
    List {
        /// Bytes of one upstream's entry in the list.
        entry_bytes: usize,
        /// Interval between the heartbeats (empty lines) of a watch of the upstream list, in seconds.
        beat_s: f64,
        /// Number of upstream list updates (lines) that the planned replacement of one upstream causes.
        lines_per_replacement: f64,
        /// Number of upstream list updates (lines) that the failure of one upstream and its return cause.
        lines_per_failure: f64,
        /// Interval at which a registrant renews its entry in the upstream list, in seconds.
        renew_s: f64,
    }
}

section! {
    /// Section `[configuration]` of the plan file: sizes of the configuration documents, and how often they change.
    Configuration {
        /// Number of configuration changes per day.
        changes_per_day: f64,
        /// Time from the publication of a configuration change within which it must be in force at all balancers, in
        /// seconds.
        in_force_s: f64,
        /// Number of configuration changes in the busiest minute.
        peak_per_minute: f64,
        /// Fractions of the configuration changes that concern the whole fleet, one region and one service, in this
        /// order.
        scope_shares: Vec<f64>,
        /// Mean number of configuration changes that are published together in one burst.
        bunch: f64,
        /// Bytes of the configuration document for the whole fleet.
        fleet_bytes: usize,
        /// Bytes of the configuration document of one region.
        region_bytes: usize,
        /// Bytes of the configuration document of one service.
        service_bytes: usize,
    }
}

section! {
    /// Section `[budget]` of the plan file: resources that upstream lists and configuration may use.
    Budget {
        /// Fraction of a core, 0 to 1, that control traffic (upstream list and configuration) may use in one balancer.
        core_share: f64,
        /// Memory that control traffic (upstream list and configuration) may use in one balancer, in MB.
        memory_mb: f64,
        /// Bytes per second of control traffic (upstream list and configuration) that one balancer may send and
        /// receive.
        bytes_per_s: f64,
        /// Number of machines reserved for control processes: the origins, standbys and relays of the configuration
        /// distribution.
        control_machines: usize,
        /// Number of cores of one machine that is reserved for control processes.
        machine_cores: f64,
        /// Memory of one machine that is reserved for control processes, in MB.
        machine_memory_mb: f64,
        /// Network capacity of one machine that is reserved for control processes, in bytes per second.
        machine_bytes_per_s: f64,
    }
}

section! {
    /// Section `[deal]` of the plan file: number of machines in each role of the configuration distribution.
    ControlPlacement {
        /// Number of origins, which accept publications of configuration documents.
        origins: usize,
        /// Number of standbys: replicas of the configuration origin that can take over from it.
        standbys: usize,
        /// Number of configuration relays that serve a region, in all regions together.
        region_relays: usize,
        /// Number of configuration relays that serve the balancers of a zone, in all zones together.
        zone_relays: usize,
    }
}

section! {
    /// Section `[failures]` of the plan file: planned-for failures and replacements, and how often they happen.
    Failures {
        /// Number of machines in the whole fleet that fail on an ordinary day.
        machines_per_day: f64,
        /// Number of planned restarts or replacements of machines in the whole fleet on an ordinary day.
        replaced_per_day: f64,
        /// Number of rack failures per year.
        racks_per_year: f64,
        /// Number of zone failures per year.
        zones_per_year: f64,
        /// Number of network partitions between regions per year.
        region_cuts_per_year: f64,
        /// Duration, in seconds, of the network partition between one region and the others that the fleet is planned
        /// for.
        region_cut_s: f64,
        /// Time in which a rolling replacement replaces every upstream, in seconds.
        replace_all_s: f64,
    }
}

/// The plan file with all its sections.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Section `[fleet]` of the plan file: size of the fleet, and its distribution over regions, zones and racks.
    pub fleet: Fleet,
    /// Section `[graph]` of the plan file: shape of the graph of calls between services.
    pub graph: Graph,
    /// Section `[traffic]` of the plan file: rate and cost of the calls, and the limits on their latency and retries.
    pub traffic: Traffic,
    /// Section `[network]` of the plan file: one-way delays within a zone, between zones and between regions.
    pub network: Network,
    /// Section `[list]` of the plan file: size of the upstream list, and how often it is updated and renewed.
    pub list: List,
    /// Section `[configuration]` of the plan file: sizes of the configuration documents, and how often they change.
    pub configuration: Configuration,
    /// Section `[budget]` of the plan file: resources that upstream lists and configuration may use.
    pub budget: Budget,
    /// Section `[deal]` of the plan file: number of machines in each role of the configuration distribution.
    #[serde(rename = "deal")]
    pub control_placement: ControlPlacement,
    /// Section `[failures]` of the plan file: planned-for failures and replacements, and how often they happen.
    pub failures: Failures,
}

/// Maximum number of upstreams in a plan, so that a mistyped figure cannot exhaust memory.
const MAX_UPSTREAMS: usize = 1_000_000;

/// Interpretation of `traffic.calls_per_s`, which the requirement leaves open. A hop is one call in a chain: the call
/// at the front, or a call from one service to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reading {
    /// The rate counts calls at the front; each of them causes `graph.depth` calls over all hops.
    Front,
    /// The rate counts the calls over all hops.
    Hops,
}

/// Mean fraction of the configuration changes, and mean bytes of one change, that concern one balancer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ChangePerBalancer {
    /// Fraction of all configuration changes of the fleet that concern the balancer, 0 to 1.
    pub fraction: f64,
    /// Mean bytes of configuration documents that the balancer receives per configuration change of the fleet, counting
    /// changes that do not concern it as 0.
    pub bytes: f64,
}

impl Plan {
    /// Reads and validates the plan file at `path`.
    ///
    /// # Errors
    /// The file cannot be read or is malformed, or its figures contradict each other. In the last case the error lists
    /// all faults, each with the key of its figure.
    pub fn read(path: &Path) -> Result<Self, CapacityError> {
        let text = fs::read_to_string(path).map_err(|cause| CapacityError::file(path, cause))?;
        Self::parse(&text).map_err(|error| match error {
            CapacityError::Text(cause) => CapacityError::file(path, cause),
            other => other,
        })
    }

    /// Parses and validates the text of a plan file.
    ///
    /// # Errors
    /// The text is malformed, or its figures contradict each other, as for [`Self::read`].
    pub fn parse(text: &str) -> Result<Self, CapacityError> {
        let plan: Self = toml::from_str(text).map_err(|cause| CapacityError::Text(cause.to_string()))?;
        let faults = plan.faults();
        if faults.is_empty() { Ok(plan) } else { Err(CapacityError::Plan(faults)) }
    }

    /// Returns all figures of the plan as text, in the order of the sections and fields of this module.
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
        self.control_placement.printed("deal", &mut printed);
        self.failures.printed("failures", &mut printed);
        printed
    }

    /// Returns the calls per second over all hops: the calls at the front and the calls between services.
    #[must_use]
    pub fn hops_per_s(&self, reading: Reading) -> f64 {
        match reading {
            Reading::Front => self.traffic.calls_per_s.value * self.graph.depth.value as f64,
            Reading::Hops => self.traffic.calls_per_s.value,
        }
    }

    /// Returns the calls per second at the front.
    #[must_use]
    pub fn front_per_s(&self, reading: Reading) -> f64 {
        match reading {
            Reading::Front => self.traffic.calls_per_s.value,
            Reading::Hops => self.traffic.calls_per_s.value / self.graph.hops_per_call.value,
        }
    }

    /// Returns the calls per second of a balancer, as the mean over all balancers.
    #[must_use]
    pub fn mean_rate(&self, reading: Reading) -> f64 {
        self.hops_per_s(reading) / self.fleet.upstreams.value as f64
    }

    /// Returns the calls per second of the busiest balancer.
    #[must_use]
    pub fn busiest_rate(&self, reading: Reading) -> f64 {
        self.mean_rate(reading) * self.traffic.busiest_over_mean.value
    }

    /// Returns the load of an upstream as a multiple of the mean load over all upstreams: one value per tier if every
    /// call at the front passes through all tiers, and as the last element the value for the front if each call at the
    /// front causes `graph.hops_per_call` calls in all, as for [`Reading::Hops`].
    fn tier_loads_over_mean(&self) -> Vec<f64> {
        let Graph { depth, services_by_depth, hops_per_call, .. } = &self.graph;
        let deep =
            services_by_depth.value.iter().map(|fraction| 1.0 / (depth.value as f64 * fraction.max(1e-9)));
        let front =
            services_by_depth.value.first().map(|fraction| 1.0 / (hops_per_call.value * fraction.max(1e-9)));
        deep.chain(front).collect()
    }

    /// Returns the number of upstreams of the services at the front, at least 1.
    #[must_use]
    pub fn front_upstreams(&self) -> f64 {
        let fraction = self.graph.services_by_depth.value.first().copied().unwrap_or(1.0);
        (self.fleet.upstreams.value as f64 * fraction).max(1.0)
    }

    /// Returns the number of upstreams of the largest region.
    #[must_use]
    pub fn largest_region_upstreams(&self) -> f64 {
        self.fleet.upstreams.value as f64 * self.fleet.region_shares.value.iter().copied().fold(0.0, f64::max)
    }

    /// Returns the number of upstreams of the largest zone. All zones of a region are taken to be of the same size.
    #[must_use]
    pub fn largest_zone_upstreams(&self) -> f64 {
        let regions = self.fleet.region_shares.value.iter().zip(&self.fleet.zones_by_region.value);
        let shares = regions.map(|(fraction, &zones)| fraction / zones.max(1) as f64);
        self.fleet.upstreams.value as f64 * shares.fold(0.0, f64::max)
    }

    /// Returns the bytes of all configuration documents together: the fleet's, each region's and each service's.
    #[must_use]
    pub fn documents_bytes(&self) -> f64 {
        let Configuration { fleet_bytes, region_bytes, service_bytes, .. } = &self.configuration;
        (fleet_bytes.value
            + self.fleet.regions.value * region_bytes.value
            + self.fleet.services.value * service_bytes.value) as f64
    }

    /// Returns the bytes of the configuration documents that one balancer uses: the fleet's, its region's and its
    /// service's.
    #[must_use]
    pub fn own_documents_bytes(&self) -> f64 {
        let Configuration { fleet_bytes, region_bytes, service_bytes, .. } = &self.configuration;
        (fleet_bytes.value + region_bytes.value + service_bytes.value) as f64
    }

    /// Returns the mean bytes of the configuration document that a configuration change replaces.
    #[must_use]
    pub fn change_bytes(&self) -> f64 {
        let Configuration { scope_shares, fleet_bytes, region_bytes, service_bytes, .. } =
            &self.configuration;
        let bytes = [fleet_bytes.value, region_bytes.value, service_bytes.value];
        scope_shares.value.iter().zip(bytes).map(|(fraction, bytes)| fraction * bytes as f64).sum()
    }

    /// Returns the mean fraction of the configuration changes that concern one balancer, and the mean bytes that it
    /// receives per configuration change of the fleet. The configurations of all regions are taken to change equally
    /// often, and so are those of all services.
    #[must_use]
    pub fn change_per_balancer(&self) -> ChangePerBalancer {
        let Configuration { scope_shares, fleet_bytes, region_bytes, service_bytes, .. } =
            &self.configuration;
        let scope_counts = [1.0, self.fleet.regions.value as f64, self.fleet.services.value as f64];
        let bytes = [fleet_bytes.value, region_bytes.value, service_bytes.value];
        let fractions = scope_shares.value.iter().zip(scope_counts).map(|(fraction, all)| fraction / all);
        let lengths = fractions.clone().zip(bytes).map(|(fraction, bytes)| fraction * bytes as f64);
        ChangePerBalancer { fraction: fractions.sum(), bytes: lengths.sum() }
    }

    /// Returns the mean number of balancers that a configuration change concerns.
    #[must_use]
    pub fn balancers_per_change(&self) -> f64 {
        self.change_per_balancer().fraction * self.fleet.upstreams.value as f64
    }

    /// Returns the time that a call at the front is in flight while no service is faulty, in seconds: the sum over all
    /// tiers of the processor time and of the network delay to the tier and back.
    #[must_use]
    pub fn call_in_flight_s(&self) -> f64 {
        self.graph.depth.value as f64 * (self.traffic.work_ms.value + 2.0 * self.network.region_ms.value)
            / 1000.0
    }

    /// Returns the number of upstreams of each service, the largest service first. Sizes follow `fleet.size_skew`, each
    /// service has at least one upstream, and the sum is `fleet.upstreams`.
    #[must_use]
    pub fn service_sizes(&self) -> Vec<usize> {
        let (services, upstreams) = (self.fleet.services.value, self.fleet.upstreams.value);
        let weights: Vec<f64> =
            (1..=services).map(|rank| (rank as f64).powf(-self.fleet.size_skew.value)).collect();
        let spare = (upstreams - services) as f64;
        let all: f64 = weights.iter().sum();
        // The running sum of the exact sizes is rounded down, so that the whole-numbered sizes add up to the total.
        let (mut sum, mut assigned) = (0.0, 0);
        weights
            .iter()
            .map(|weight| {
                sum += weight / all * spare;
                let assigned_now = (sum + 1e-6).floor() as usize;
                let size = 1 + assigned_now - assigned;
                assigned = assigned_now;
                size
            })
            .collect()
    }

    /// Returns the bytes of the complete upstream list of the fleet.
    #[must_use]
    pub fn whole_list_bytes(&self) -> usize {
        self.fleet.upstreams.value * self.list.entry_bytes.value
    }
}
