//! The topology of a simulated fleet: the zones of all upstreams and the calls between services, drawn at random from
//! the plan and a seed.

use oorandom::Rand64;

use crate::plan::{Plan, Reading};

/// Utilization that each service is sized for, as a fraction of the capacity left after the loss of its largest zone.
const TARGET_UTILIZATION: f64 = 0.6;
/// Number of fronts in each zone.
const FRONTS_PER_ZONE: usize = 3;
/// Number of iterations of the calculation that fits the traffic split between services to the sizes of the services.
const FIT_ITERATIONS: usize = 20;

/// A destination service with its entry in the cumulative traffic split over all destinations of the same caller.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Destination {
    /// Index of the destination in [`Topology::services`].
    pub service: usize,
    /// Cumulative fraction of the calls, 0 to 1, that go to this destination or one listed before it.
    pub until: f64,
}

/// A service of the simulated fleet.
#[derive(Debug, Clone)]
pub struct Service {
    /// Position of the service in a call chain; 1 for services that clients call directly.
    pub depth: usize,
    /// Index of the zone of each upstream of the service.
    pub zones: Vec<usize>,
    /// Number of CPU cores of each upstream of the service.
    pub cores: usize,
    /// Services that this service calls.
    pub calls: Vec<Destination>,
    /// Calls a second to the service, over all its upstreams, that it is sized for.
    pub rate: f64,
}

/// A randomly drawn fleet.
#[derive(Debug, Clone)]
pub struct Topology {
    /// The services of the fleet, those of depth 1 first.
    pub services: Vec<Service>,
    /// Services that clients call directly, with the traffic split between them.
    pub entries: Vec<Destination>,
    /// Region of each zone, indexed by zone.
    pub region_of: Vec<usize>,
    /// Cumulative fraction of the clients, 0 to 1, by zone: those in each zone or in a zone before it.
    pub clients: Vec<f64>,
    /// Index of the zone of each front.
    pub fronts: Vec<usize>,
    /// Cumulative distribution of the lengths of call chains: fraction of the calls whose chain is at most 1, 2, ...
    /// services long.
    pub chain_lengths: Vec<f64>,
    /// Calls a second that all clients together send to the fronts.
    pub front_per_s: f64,
}

/// Samples from a cumulative distribution: the index of the first of the cumulative `sums` above `draw` (0 to 1), or
/// the last index if there is none.
pub fn place(sums: impl IntoIterator<Item = f64>, draw: f64) -> usize {
    let mut last = 0;
    for (place, sum) in sums.into_iter().enumerate() {
        last = place;
        if draw < sum {
            break;
        }
    }
    last
}

/// Converts weights to a cumulative distribution that ends at 1.
fn cumulative(weights: &[f64]) -> Vec<f64> {
    let all: f64 = weights.iter().sum();
    let mut sum = 0.0;
    weights
        .iter()
        .map(|weight| {
            sum += weight / all;
            sum
        })
        .collect()
}

/// Builds the list of destinations from services and the weights of the calls to each.
fn destinations(services: &[usize], weights: &[f64]) -> Vec<Destination> {
    services.iter().zip(cumulative(weights)).map(|(&service, until)| Destination { service, until }).collect()
}

/// Fraction of the calls whose chain is at least 1, 2, ... services long, up to `depth`. Chain lengths follow a
/// truncated geometric distribution with the ratio that gives the requested `mean` length.
fn reach_fractions(depth: usize, mean: f64) -> Vec<f64> {
    let weights = |ratio: f64| -> Vec<f64> { (0..depth).map(|at| ratio.powi(at as i32)).collect() };
    let mean_of = |weights: &[f64]| {
        let all: f64 = weights.iter().sum();
        weights.iter().zip(1..).map(|(weight, length)| weight * f64::from(length)).sum::<f64>() / all
    };
    let (mut low, mut high) = (1e-3, 1e3);
    for _ in 0..100 {
        let middle = f64::sqrt(low * high);
        if mean_of(&weights(middle)) < mean { low = middle } else { high = middle }
    }
    let weights = if mean >= depth as f64 - 1e-6 {
        (1..=depth).map(|length| f64::from(u8::from(length == depth))).collect()
    } else {
        weights(high)
    };
    let all: f64 = weights.iter().sum();
    (0..depth).map(|at| weights[at..].iter().sum::<f64>() / all).collect()
}

/// Splits `count` into whole numbers proportional to `shares`, each of them at least 1.
fn apportion(shares: &[f64], count: usize) -> Vec<usize> {
    let mut numbers: Vec<usize> =
        shares.iter().map(|fraction| ((fraction * count as f64).floor() as usize).max(1)).collect();
    while numbers.iter().sum::<usize>() != count {
        let missing = |place: &usize| shares[*place] * count as f64 - numbers[*place] as f64;
        let places = 0..shares.len();
        if numbers.iter().sum::<usize>() < count {
            let Some(most) = places.max_by(|a, b| missing(a).total_cmp(&missing(b))) else { break };
            numbers[most] += 1;
        } else {
            let spare = places.filter(|&place| numbers[place] > 1);
            let Some(least) = spare.min_by(|a, b| missing(a).total_cmp(&missing(b))) else { break };
            numbers[least] -= 1;
        }
    }
    numbers
}

impl Topology {
    /// Draws a fleet at random. The plan must have at least as many services as its chains are deep.
    #[must_use]
    pub fn draw(plan: &Plan, reading: Reading, seed: u64) -> Self {
        let mut rng = Rand64::new(u128::from(seed) << 8 | 1);
        let depth = plan.graph.depth.value;
        let mean = match reading {
            Reading::Front => depth as f64,
            Reading::Hops => plan.graph.hops_per_call.value,
        };
        let reach_fractions = reach_fractions(depth, mean);
        let front_per_s = plan.front_per_s(reading);
        // Each service size is assigned to the depth with the fewest upstreams for its share of the calls, so that no
        // depth consists only of small services.
        let numbers = apportion(&plan.graph.services_by_depth.value, plan.fleet.services.value);
        let mut sizes: Vec<Vec<usize>> = vec![Vec::new(); depth];
        for size in plan.service_sizes() {
            let assigned = |at: usize| {
                (sizes[at].iter().sum::<usize>() as f64 + 1.0) / reach_fractions[at]
                    * (0.8 + 0.4 * rng.rand_float())
            };
            let mut assigned = (0..depth).map(assigned).collect::<Vec<f64>>();
            for at in 0..depth {
                if sizes[at].len() >= numbers[at] {
                    assigned[at] = f64::INFINITY;
                }
            }
            if let Some(at) = (0..depth).min_by(|&a, &b| assigned[a].total_cmp(&assigned[b])) {
                sizes[at].push(size);
            }
        }
        let (region_of, zone_shares) = zones(plan);
        let mut services = Vec::new();
        let mut levels: Vec<Vec<usize>> = Vec::new();
        for (at, sizes) in sizes.iter().enumerate() {
            levels.push((services.len()..services.len() + sizes.len()).collect());
            for &size in sizes {
                let zones = assign_zones(size, &zone_shares, &mut rng);
                services.push(Service { depth: at + 1, zones, cores: 1, calls: Vec::new(), rate: 0.0 });
            }
        }
        let weights: Vec<f64> =
            levels[0].iter().map(|&service| services[service].zones.len() as f64).collect();
        let entries = destinations(&levels[0], &weights);
        for (&entry, weight) in levels[0].iter().zip(weights) {
            services[entry].rate = weight;
        }
        for level in levels.windows(2) {
            connect_depths(&mut services, &level[0], &level[1], plan, &mut rng);
        }
        let fronts = (0..region_of.len()).flat_map(|zone| [zone; FRONTS_PER_ZONE]).collect();
        let chain_lengths: Vec<f64> =
            (0..depth).map(|at| 1.0 - reach_fractions.get(at + 1).copied().unwrap_or(0.0)).collect();
        let clients = cumulative(&zone_shares);
        let mut topology = Self { services, entries, region_of, clients, fronts, chain_lengths, front_per_s };
        topology.size(&reach_fractions, plan.traffic.work_ms.value / 1e3);
        topology
    }

    /// Builds a chain of `depth` services with `size` upstreams each, all in a single zone.
    #[must_use]
    pub fn chain(plan: &Plan, depth: usize, size: usize, front_per_s: f64) -> Self {
        let services = (0..depth)
            .map(|at| Service {
                depth: at + 1,
                zones: vec![0; size],
                cores: 1,
                calls: if at + 1 < depth {
                    vec![Destination { service: at + 1, until: 1.0 }]
                } else {
                    Vec::new()
                },
                rate: 0.0,
            })
            .collect();
        let mut chain_lengths = vec![0.0; depth];
        chain_lengths[depth - 1] = 1.0;
        let mut topology = Self {
            services,
            entries: vec![Destination { service: 0, until: 1.0 }],
            region_of: vec![0],
            clients: vec![1.0],
            fronts: vec![0; FRONTS_PER_ZONE],
            chain_lengths,
            front_per_s,
        };
        topology.size(&vec![1.0; depth], plan.traffic.work_ms.value / 1e3);
        topology
    }

    /// Calculates the call rate of each service from the front down, and the CPU cores that its upstreams need for it.
    fn size(&mut self, reach_fractions: &[f64], work_s: f64) {
        for service in &mut self.services {
            service.rate = 0.0;
        }
        let mut before = 0.0;
        for &Destination { service, until } in &self.entries {
            self.services[service].rate += self.front_per_s * (until - before);
            before = until;
        }
        for service in 0..self.services.len() {
            let Service { depth, rate, ref calls, .. } = self.services[service];
            let continuing =
                reach_fractions.get(depth).map_or(0.0, |below| below / reach_fractions[depth - 1]);
            let mut before = 0.0;
            for Destination { service: called, until } in calls.clone() {
                self.services[called].rate += rate * continuing * (until - before);
                before = until;
            }
        }
        for service in &mut self.services {
            let in_zone = |zone: usize| service.zones.iter().filter(|&&other| other == zone).count();
            let largest = (0..self.region_of.len()).map(in_zone).max().unwrap_or(0);
            let left = (service.zones.len() - largest).max(service.zones.len().div_ceil(2));
            service.cores =
                ((service.rate * work_s / TARGET_UTILIZATION / left as f64).ceil() as usize).max(1);
        }
    }

    /// Fraction of the calls that find an upstream at each step of their chain when only the zones for which `up`
    /// returns true are available.
    #[must_use]
    pub fn reachable(&self, up: impl Fn(usize) -> bool) -> f64 {
        let fraction_longer =
            |than: usize| 1.0 - than.checked_sub(1).map_or(0.0, |at| self.chain_lengths[at]);
        let weighted_mean = |calls: &[Destination], found: &[f64]| {
            let mut before = 0.0;
            calls.iter().fold(0.0, |sum, &Destination { service: called, until }| {
                let weight = until - before;
                before = until;
                sum + weight * found[called]
            })
        };
        let mut found = vec![0.0; self.services.len()];
        for (number, service) in self.services.iter().enumerate().rev() {
            if service.zones.iter().any(|&zone| up(zone)) {
                let continuing =
                    fraction_longer(service.depth) / fraction_longer(service.depth - 1).max(1e-12);
                found[number] = 1.0 - continuing + continuing * weighted_mean(&service.calls, &found);
            }
        }
        weighted_mean(&self.entries, &found)
    }

    /// Calls a second of the busiest upstream divided by the mean over all upstreams, from the rates that the services
    /// are sized for.
    #[must_use]
    pub fn busiest_over_mean(&self) -> f64 {
        let upstreams: usize = self.services.iter().map(|service| service.zones.len()).sum();
        let mean = self.services.iter().map(|service| service.rate).sum::<f64>() / upstreams as f64;
        let busiest =
            self.services.iter().map(|service| service.rate / service.zones.len() as f64).fold(0.0, f64::max);
        busiest / mean
    }
}

/// The region of each zone, and the fraction of the fleet in each zone.
fn zones(plan: &Plan) -> (Vec<usize>, Vec<f64>) {
    let mut region_of = Vec::new();
    let mut shares = Vec::new();
    let by_region = plan.fleet.zones_by_region.value.iter().zip(&plan.fleet.region_shares.value);
    for (region, (&zones, fraction)) in by_region.enumerate() {
        region_of.extend(vec![region; zones]);
        shares.extend(vec![fraction / zones as f64; zones]);
    }
    (region_of, shares)
}

/// Assigns each upstream of a service to a zone, as close to the `shares` of the zones as possible, from a random
/// start.
fn assign_zones(size: usize, shares: &[f64], rng: &mut Rand64) -> Vec<usize> {
    let mut assigned: Vec<f64> = shares.iter().map(|_| rng.rand_float()).collect();
    (0..size)
        .map(|_| {
            let over = |zone: &usize| assigned[*zone] / shares[*zone].max(1e-9);
            let zone = (0..shares.len()).min_by(|a, b| over(a).total_cmp(&over(b))).unwrap_or(0);
            assigned[zone] += 1.0;
            zone
        })
        .collect()
}

/// Draws which services of one depth (`upper`) call which services of the next depth (`lower`), and the traffic split
/// between them.
fn connect_depths(services: &mut [Service], upper: &[usize], lower: &[usize], plan: &Plan, rng: &mut Rand64) {
    let mean = plan.graph.destinations_mean.value;
    let max_destinations = plan.graph.destinations_most.value.min(lower.len());
    // The number of destinations is geometrically distributed: one, and each further one with the same probability. The
    // largest services get the most destinations.
    let mut counts: Vec<usize> = upper
        .iter()
        .map(|_| 1 + (1..max_destinations).take_while(|_| rng.rand_float() * mean >= 1.0).count())
        .collect();
    counts.sort_unstable();
    let mut order: Vec<usize> = (0..upper.len()).collect();
    order.sort_by_key(|&at| services[upper[at]].zones.len());
    let size = |service: usize| services[service].zones.len() as f64;
    let sums = cumulative(&lower.iter().map(|&below| size(below)).collect::<Vec<f64>>());
    let mut called: Vec<Vec<usize>> = vec![Vec::new(); upper.len()];
    for (at, target) in order.into_iter().zip(counts) {
        while called[at].len() < target {
            let below = lower[place(sums.iter().copied(), rng.rand_float())];
            if !called[at].contains(&below) {
                called[at].push(below);
            }
        }
    }
    // Every lower service gets at least one caller.
    let upper_sums = cumulative(&upper.iter().map(|&above| size(above)).collect::<Vec<f64>>());
    for &below in lower {
        if !called.iter().any(|called| called.contains(&below)) {
            called[place(upper_sums.iter().copied(), rng.rand_float())].push(below);
        }
    }
    // Larger services get more calls. As some callers have few destinations, the traffic split is fitted iteratively
    // until each service gets about the number of calls that matches its size.
    let target: Vec<f64> =
        lower.iter().map(|&below| services[below].zones.len() as f64 * (0.5 + rng.rand_float())).collect();
    let mut weights: Vec<Vec<f64>> = called.iter().map(|called| vec![1.0; called.len()]).collect();
    let rates: Vec<f64> = upper.iter().map(|&above| services[above].rate).collect();
    let received = |weights: &[Vec<f64>]| {
        let mut received = vec![0.0; lower.len()];
        for ((called, weights), rate) in called.iter().zip(weights).zip(&rates) {
            let all: f64 = weights.iter().sum();
            for (below, weight) in called.iter().zip(weights) {
                received[below - lower[0]] += rate * weight / all;
            }
        }
        received
    };
    for _ in 0..FIT_ITERATIONS {
        let received = received(&weights);
        for (called, weights) in called.iter().zip(&mut weights) {
            for (below, weight) in called.iter().zip(weights) {
                let place = below - lower[0];
                *weight = (*weight * target[place] / received[place].max(1e-9)).clamp(1e-3, 1e3);
            }
        }
    }
    for (&below, rate) in lower.iter().zip(received(&weights)) {
        services[below].rate = rate;
    }
    for ((&above, called), weights) in upper.iter().zip(called).zip(weights) {
        services[above].calls = destinations(&called, &weights);
    }
}
