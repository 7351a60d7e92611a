//! The topology of a simulated fleet: zones of upstreams and calls between services, drawn from the plan and a seed.

use oorandom::Rand64;

use crate::plan::{Plan, Reading};

/// Part of its capacity to which a service is used after the loss of its largest zone: what it was sized for.
const BUSY: f64 = 0.6;
/// Fronts in each zone.
const FRONTS: usize = 3;
/// Rounds in which the parts of the calls are fitted to the sizes of the services.
const FITS: usize = 20;

/// A service that calls go to, with its share among its siblings as a running sum.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Destination {
    /// Its number in the topology.
    pub service: usize,
    /// The part of the calls, 0 to 1, that go to it or to one before it.
    pub until: f64,
}

/// A service.
#[derive(Debug, Clone)]
pub struct Service {
    /// Its place in a chain, 1 for those that clients come to.
    pub depth: usize,
    /// The zone of each of its upstreams.
    pub zones: Vec<usize>,
    /// Cores of each of its upstreams.
    pub cores: usize,
    /// Services that it calls.
    pub calls: Vec<Destination>,
    /// Calls a second that it is sized for.
    pub rate: f64,
}

/// The fleet as it is drawn.
#[derive(Debug, Clone)]
pub struct Topology {
    /// The services, those of depth 1 first.
    pub services: Vec<Service>,
    /// Services that clients come to.
    pub entries: Vec<Destination>,
    /// The region of each zone.
    pub region_of: Vec<usize>,
    /// The part of the clients in each zone or one before.
    pub clients: Vec<f64>,
    /// The zone of each front.
    pub fronts: Vec<usize>,
    /// The part of the calls with chains up to 1, 2 ... long.
    pub lengths: Vec<f64>,
    /// Calls a second from clients.
    pub front_per_s: f64,
}

/// Where a draw from 0 to 1 falls among running sums.
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

/// Running sums of parts, made to end at 1.
fn running(parts: &[f64]) -> Vec<f64> {
    let all: f64 = parts.iter().sum();
    let mut sum = 0.0;
    parts
        .iter()
        .map(|part| {
            sum += part / all;
            sum
        })
        .collect()
}

/// Services with their parts of the calls.
fn destinations(services: &[usize], parts: &[f64]) -> Vec<Destination> {
    services.iter().zip(running(parts)).map(|(&service, until)| Destination { service, until }).collect()
}

/// The part of the calls that goes on for at least 1, 2 ... services: each goes on with the same chance, so that the
/// mean is the wanted one.
fn reaching(depth: usize, mean: f64) -> Vec<f64> {
    let parts = |ratio: f64| -> Vec<f64> { (0..depth).map(|at| ratio.powi(at as i32)).collect() };
    let mean_of = |parts: &[f64]| {
        let all: f64 = parts.iter().sum();
        parts.iter().zip(1..).map(|(part, length)| part * f64::from(length)).sum::<f64>() / all
    };
    let (mut low, mut high) = (1e-3, 1e3);
    for _ in 0..100 {
        let middle = f64::sqrt(low * high);
        if mean_of(&parts(middle)) < mean { low = middle } else { high = middle }
    }
    let parts = if mean >= depth as f64 - 1e-6 {
        (1..=depth).map(|length| f64::from(u8::from(length == depth))).collect()
    } else {
        parts(high)
    };
    let all: f64 = parts.iter().sum();
    (0..depth).map(|at| parts[at..].iter().sum::<f64>() / all).collect()
}

/// Whole numbers in the proportions of `shares`, one at least each, `count` in all.
fn shared_out(shares: &[f64], count: usize) -> Vec<usize> {
    let mut numbers: Vec<usize> =
        shares.iter().map(|share| ((share * count as f64).floor() as usize).max(1)).collect();
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
    /// Draws a fleet. The plan has at least as many services as its chains are deep.
    #[must_use]
    pub fn draw(plan: &Plan, reading: Reading, seed: u64) -> Self {
        let mut rng = Rand64::new(u128::from(seed) << 8 | 1);
        let depth = plan.graph.depth.value;
        let mean = match reading {
            Reading::Front => depth as f64,
            Reading::Hops => plan.graph.hops_per_call.value,
        };
        let reaching = reaching(depth, mean);
        let front_per_s = plan.front_per_s(reading);
        // Sizes go where most calls are short of upstreams, so that no depth is all small services.
        let numbers = shared_out(&plan.graph.services_by_depth.value, plan.fleet.services.value);
        let mut sizes: Vec<Vec<usize>> = vec![Vec::new(); depth];
        for size in plan.service_sizes() {
            let had = |at: usize| {
                (sizes[at].iter().sum::<usize>() as f64 + 1.0) / reaching[at] * (0.8 + 0.4 * rng.rand_float())
            };
            let mut had = (0..depth).map(had).collect::<Vec<f64>>();
            for at in 0..depth {
                if sizes[at].len() >= numbers[at] {
                    had[at] = f64::INFINITY;
                }
            }
            if let Some(at) = (0..depth).min_by(|&a, &b| had[a].total_cmp(&had[b])) {
                sizes[at].push(size);
            }
        }
        let (region_of, zone_shares) = zones(plan);
        let mut services = Vec::new();
        let mut levels: Vec<Vec<usize>> = Vec::new();
        for (at, sizes) in sizes.iter().enumerate() {
            levels.push((services.len()..services.len() + sizes.len()).collect());
            for &size in sizes {
                let zones = spread(size, &zone_shares, &mut rng);
                services.push(Service { depth: at + 1, zones, cores: 1, calls: Vec::new(), rate: 0.0 });
            }
        }
        let parts: Vec<f64> = levels[0].iter().map(|&service| services[service].zones.len() as f64).collect();
        let entries = destinations(&levels[0], &parts);
        for (&entry, part) in levels[0].iter().zip(parts) {
            services[entry].rate = part;
        }
        for level in levels.windows(2) {
            join(&mut services, &level[0], &level[1], plan, &mut rng);
        }
        let fronts = (0..region_of.len()).flat_map(|zone| [zone; FRONTS]).collect();
        let lengths: Vec<f64> =
            (0..depth).map(|at| 1.0 - reaching.get(at + 1).copied().unwrap_or(0.0)).collect();
        let clients = running(&zone_shares);
        let mut topology = Self { services, entries, region_of, clients, fronts, lengths, front_per_s };
        topology.size(&reaching, plan.traffic.work_ms.value / 1e3);
        topology
    }

    /// One service after another, all of one size, in a single zone.
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
        let mut lengths = vec![0.0; depth];
        lengths[depth - 1] = 1.0;
        let mut topology = Self {
            services,
            entries: vec![Destination { service: 0, until: 1.0 }],
            region_of: vec![0],
            clients: vec![1.0],
            fronts: vec![0; FRONTS],
            lengths,
            front_per_s,
        };
        topology.size(&vec![1.0; depth], plan.traffic.work_ms.value / 1e3);
        topology
    }

    /// Rates of the services from the front down, and cores for them.
    fn size(&mut self, reaching: &[f64], work_s: f64) {
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
            let on = reaching.get(depth).map_or(0.0, |below| below / reaching[depth - 1]);
            let mut before = 0.0;
            for Destination { service: called, until } in calls.clone() {
                self.services[called].rate += rate * on * (until - before);
                before = until;
            }
        }
        for service in &mut self.services {
            let in_zone = |zone: usize| service.zones.iter().filter(|&&other| other == zone).count();
            let largest = (0..self.region_of.len()).map(in_zone).max().unwrap_or(0);
            let left = (service.zones.len() - largest).max(service.zones.len().div_ceil(2));
            service.cores = ((service.rate * work_s / BUSY / left as f64).ceil() as usize).max(1);
        }
    }

    /// The part of the calls that find an upstream at each step of their chain, where only those of some zones are up.
    #[must_use]
    pub fn reachable(&self, up: impl Fn(usize) -> bool) -> f64 {
        let longer = |than: usize| 1.0 - than.checked_sub(1).map_or(0.0, |at| self.lengths[at]);
        let parted = |calls: &[Destination], found: &[f64]| {
            let mut before = 0.0;
            calls.iter().fold(0.0, |sum, &Destination { service: called, until }| {
                let part = until - before;
                before = until;
                sum + part * found[called]
            })
        };
        let mut found = vec![0.0; self.services.len()];
        for (number, service) in self.services.iter().enumerate().rev() {
            if service.zones.iter().any(|&zone| up(zone)) {
                let on = longer(service.depth) / longer(service.depth - 1).max(1e-12);
                found[number] = 1.0 - on + on * parted(&service.calls, &found);
            }
        }
        parted(&self.entries, &found)
    }

    /// Calls a second of the busiest upstream over those of the mean one, as it is sized.
    #[must_use]
    pub fn busiest_over_mean(&self) -> f64 {
        let upstreams: usize = self.services.iter().map(|service| service.zones.len()).sum();
        let mean = self.services.iter().map(|service| service.rate).sum::<f64>() / upstreams as f64;
        let most =
            self.services.iter().map(|service| service.rate / service.zones.len() as f64).fold(0.0, f64::max);
        most / mean
    }
}

/// The region of each zone, and each zone's part of the fleet.
fn zones(plan: &Plan) -> (Vec<usize>, Vec<f64>) {
    let mut region_of = Vec::new();
    let mut shares = Vec::new();
    let by_region = plan.fleet.zones_by_region.value.iter().zip(&plan.fleet.region_shares.value);
    for (region, (&zones, share)) in by_region.enumerate() {
        region_of.extend(vec![region; zones]);
        shares.extend(vec![share / zones as f64; zones]);
    }
    (region_of, shares)
}

/// Zones of a service's upstreams: as even as the shares allow, from a drawn start.
fn spread(size: usize, shares: &[f64], rng: &mut Rand64) -> Vec<usize> {
    let mut had: Vec<f64> = shares.iter().map(|_| rng.rand_float()).collect();
    (0..size)
        .map(|_| {
            let over = |zone: &usize| had[*zone] / shares[*zone].max(1e-9);
            let zone = (0..shares.len()).min_by(|a, b| over(a).total_cmp(&over(b))).unwrap_or(0);
            had[zone] += 1.0;
            zone
        })
        .collect()
}

/// Draws which services of a depth call which of the next.
fn join(services: &mut [Service], upper: &[usize], lower: &[usize], plan: &Plan, rng: &mut Rand64) {
    let mean = plan.graph.destinations_mean.value;
    let most = plan.graph.destinations_most.value.min(lower.len());
    // Few services have many destinations, the largest ones: one, and each further one with the same chance.
    let mut counts: Vec<usize> =
        upper.iter().map(|_| 1 + (1..most).take_while(|_| rng.rand_float() * mean >= 1.0).count()).collect();
    counts.sort_unstable();
    let mut order: Vec<usize> = (0..upper.len()).collect();
    order.sort_by_key(|&at| services[upper[at]].zones.len());
    let size = |service: usize| services[service].zones.len() as f64;
    let sums = running(&lower.iter().map(|&below| size(below)).collect::<Vec<f64>>());
    let mut called: Vec<Vec<usize>> = vec![Vec::new(); upper.len()];
    for (at, wanted) in order.into_iter().zip(counts) {
        while called[at].len() < wanted {
            let below = lower[place(sums.iter().copied(), rng.rand_float())];
            if !called[at].contains(&below) {
                called[at].push(below);
            }
        }
    }
    // Each has a caller.
    let uppers = running(&upper.iter().map(|&above| size(above)).collect::<Vec<f64>>());
    for &below in lower {
        if !called.iter().any(|called| called.contains(&below)) {
            called[place(uppers.iter().copied(), rng.rand_float())].push(below);
        }
    }
    // Larger services are called more. Some callers have few to choose from, so the parts are fitted until each service
    // has about the calls that its size is for.
    let wanted: Vec<f64> =
        lower.iter().map(|&below| services[below].zones.len() as f64 * (0.5 + rng.rand_float())).collect();
    let mut parts: Vec<Vec<f64>> = called.iter().map(|called| vec![1.0; called.len()]).collect();
    let rates: Vec<f64> = upper.iter().map(|&above| services[above].rate).collect();
    let got = |parts: &[Vec<f64>]| {
        let mut got = vec![0.0; lower.len()];
        for ((called, parts), rate) in called.iter().zip(parts).zip(&rates) {
            let all: f64 = parts.iter().sum();
            for (below, part) in called.iter().zip(parts) {
                got[below - lower[0]] += rate * part / all;
            }
        }
        got
    };
    for _ in 0..FITS {
        let got = got(&parts);
        for (called, parts) in called.iter().zip(&mut parts) {
            for (below, part) in called.iter().zip(parts) {
                let place = below - lower[0];
                *part = (*part * wanted[place] / got[place].max(1e-9)).clamp(1e-3, 1e3);
            }
        }
    }
    for (&below, rate) in lower.iter().zip(got(&parts)) {
        services[below].rate = rate;
    }
    for ((&above, called), parts) in upper.iter().zip(called).zip(parts) {
        services[above].calls = destinations(&called, &parts);
    }
}
