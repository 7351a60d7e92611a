//! A network in virtual time: an origin, relays of regions and zones, balancers. Every message has a delay drawn from the
//! seed, connections keep their order, and at every step each process is compared with what was published.
//!
//! Here: the processes, the queue of events, and what a test asks of them. [`watch`] has what readers and their parents
//! do, [`publish`] the origin and its disk, [`faults`] what a test lets go wrong.

mod faults;
mod publish;
mod watch;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use config_distribution::document::{Scope, Update};
use config_distribution::origin::{Bounds, Origin, Record};
use config_distribution::parents::{HEARTBEAT_EVERY, Parents};
use config_distribution::report::{InForce, REPORT_EVERY, Reports, Sums};
use config_distribution::state::{Refusal, State, Wanted};
use oorandom::Rand64;

pub use self::faults::Action;
use super::{Model, live, ms, scope};

pub const ORIGIN: usize = 0;
pub const REGIONS: usize = 3;
pub const ZONES: usize = 7;

#[derive(Debug, Clone)]
enum Line {
    Empty,
    Update(Update),
}

#[derive(Debug, Clone)]
enum ReportBody {
    Child(InForce),
    Relay(String, Sums),
}

#[derive(Debug, Clone)]
enum Event {
    Step(u64),
    Call { from: usize, watch: u64, since: u64 },
    Line { watch: u64, line: Line },
    LineProcessed(u64),
    Closed(u64),
    Left(u64),
    Deadline(u64),
    Heartbeat(u64),
    ReportDue(u64),
    Report(ReportBody),
    DiskWriteDone(u64),
    Action(Action),
}

struct Reader {
    child: usize,
    index: u64,
    busy_since: Option<Duration>,
    last: Option<Update>,
}

pub struct Node {
    pub name: String,
    pub region: Option<usize>,
    pub level: Option<u8>,
    pub wanted: Wanted,
    pub state: State,
    pub parents: Parents,
    pub parent_nodes: Vec<usize>,
    pub up: bool,
    pub reports: Reports,
    pub muted: bool,
    run_number: u64,
    paused_until: Duration,
    watch: Option<(u64, usize)>,
    deadline: Duration,
    readers: BTreeMap<u64, Reader>,
    line_delay: Duration,
    damage_next: bool,
    repeat_next: bool,
    drop_next: bool,
    highest_index: u64,
}

impl Node {
    pub fn follows(&self) -> Option<usize> {
        self.watch.map(|(_, parent)| parent)
    }
}

pub struct Network {
    pub now: Duration,
    pub nodes: Vec<Node>,
    pub origin: Origin,
    pub records: Vec<Record>,
    pub models: BTreeMap<u64, Model>,
    pub refusals: Vec<(usize, Refusal)>,
    /// Calls: when, by whom, to whom.
    pub calls: Vec<(Duration, usize, usize)>,
    /// Lines with an update that were sent, by reader.
    pub delivered: BTreeMap<usize, u64>,
    pub rng: Rand64,
    queue: BTreeMap<(Duration, u64), (usize, Event)>,
    count: u64,
    last: BTreeMap<(u64, bool), Duration>,
    cut_regions: BTreeSet<usize>,
    cut_pairs: BTreeSet<(usize, usize)>,
    undelivered: Vec<(usize, usize, u64, Event)>,
    publish_queue: Vec<(Scope, bool)>,
    published: u64,
    disk_full: bool,
    changed: bool,
    pending_actions: usize,
    seed: u64,
}

pub fn region_relay(region: usize) -> usize {
    1 + region
}

/// Two relays a zone; zone `z` is in region `z % REGIONS`.
pub fn zone_relay(zone: usize, which: usize) -> usize {
    1 + REGIONS + 2 * zone + which
}

pub fn balancer(number: usize) -> usize {
    1 + REGIONS + 2 * ZONES + number
}

impl Network {
    /// All up, nothing published, `balancers` of them in `services`.
    pub fn new(seed: u64, balancers: usize, services: usize) -> Self {
        let mut network = Self {
            now: Duration::ZERO,
            nodes: Vec::new(),
            origin: Origin::restore(Bounds::default(), [], 0).expect("nothing to restore"),
            records: Vec::new(),
            models: BTreeMap::from([(0, Model::new())]),
            refusals: Vec::new(),
            calls: Vec::new(),
            delivered: BTreeMap::new(),
            rng: Rand64::new(u128::from(seed)),
            queue: BTreeMap::new(),
            count: 0,
            last: BTreeMap::new(),
            cut_regions: BTreeSet::new(),
            cut_pairs: BTreeSet::new(),
            undelivered: Vec::new(),
            publish_queue: Vec::new(),
            published: 0,
            disk_full: false,
            changed: true,
            pending_actions: 0,
            seed,
        };
        network.add("origin".into(), None, Some(0), Wanted::All, vec![]);
        for region in 0..REGIONS {
            network.add(format!("region {region}"), Some(region), Some(1), Wanted::All, vec![ORIGIN]);
        }
        for zone in 0..ZONES {
            let region = zone % REGIONS;
            for which in 0..2 {
                let parent_nodes = vec![region_relay(region), region_relay((region + 1) % REGIONS)];
                network.add(format!("zone {zone} {which}"), Some(region), Some(2), Wanted::All, parent_nodes);
            }
        }
        for number in 0..balancers {
            let zone = number % ZONES;
            let region = zone % REGIONS;
            let wanted = [
                Scope::Fleet,
                scope(&format!("region/r{region}")),
                scope(&format!("service/s{}", number / ZONES % services)),
            ];
            let parent_nodes = vec![zone_relay(zone, 0), zone_relay(zone, 1), region_relay(region)];
            network.add(
                format!("balancer {number}"),
                Some(region),
                None,
                Wanted::These(wanted.to_vec()),
                parent_nodes,
            );
        }
        network
    }

    pub fn add(
        &mut self,
        name: String,
        region: Option<usize>,
        level: Option<u8>,
        wanted: Wanted,
        parent_nodes: Vec<usize>,
    ) -> usize {
        let node = self.nodes.len();
        let parents = Parents::new(parent_nodes.len(), self.seed * 10_000 + node as u64);
        self.nodes.push(Node {
            name,
            region,
            level,
            wanted,
            state: State::default(),
            parents,
            parent_nodes,
            up: true,
            reports: Reports::new(),
            muted: false,
            run_number: 0,
            paused_until: Duration::ZERO,
            watch: None,
            deadline: Duration::ZERO,
            readers: BTreeMap::new(),
            line_delay: Duration::ZERO,
            damage_next: false,
            repeat_next: false,
            drop_next: false,
            highest_index: 0,
        });
        self.schedule_timers(node);
        node
    }

    fn schedule_timers(&mut self, node: usize) {
        let run_number = self.nodes[node].run_number;
        let heartbeat = self.random_duration(HEARTBEAT_EVERY);
        let report = self.random_duration(REPORT_EVERY);
        if !self.nodes[node].parent_nodes.is_empty() {
            self.push(node, self.now, Event::Step(run_number));
            self.push(node, self.now + report, Event::ReportDue(run_number));
        }
        if self.nodes[node].level.is_some() {
            self.push(node, self.now + heartbeat, Event::Heartbeat(run_number));
        }
    }

    pub fn random_duration(&mut self, upper_bound: Duration) -> Duration {
        upper_bound.mul_f64(self.rng.rand_float())
    }

    pub fn random_below(&mut self, below: usize) -> usize {
        self.rng.rand_range(0..below as u64) as usize
    }

    fn push(&mut self, node: usize, at: Duration, event: Event) {
        self.count += 1;
        self.queue.insert((at, self.count), (node, event));
    }

    pub fn schedule(&mut self, at: Duration, action: Action) {
        self.pending_actions += 1;
        self.push(ORIGIN, at, Event::Action(action));
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        if self.cut_pairs.contains(&(a.min(b), a.max(b))) {
            return true;
        }
        let (a, b) = (self.nodes[a].region, self.nodes[b].region);
        a != b && [a, b].into_iter().flatten().any(|region| self.cut_regions.contains(&region))
    }

    /// A message on a connection: in order with those before it; one into a cut comes once it is healed.
    fn send(&mut self, from: usize, to: usize, watch: u64, event: Event) {
        if self.is_cut(from, to) {
            self.undelivered.push((from, to, watch, event));
            return;
        }
        let cross_region = self.nodes[from].region != self.nodes[to].region;
        let min_delay = if cross_region { ms(20) } else { Duration::from_micros(200) };
        let jitter = self.random_duration(if cross_region { ms(60) } else { ms(2) });
        let line_delay =
            if matches!(event, Event::Line { .. }) { self.nodes[to].line_delay } else { Duration::ZERO };
        let last = self.last.entry((watch, from < to)).or_default();
        *last = (self.now + min_delay + jitter + line_delay).max(*last + Duration::from_micros(1));
        let at = *last;
        self.push(to, at, event);
    }

    /// Plays up to a time.
    pub fn run_until(&mut self, until: Duration) {
        while let Some(entry) = self.queue.first_entry()
            && entry.key().0 <= until
        {
            self.step();
        }
        self.now = until;
    }

    /// Plays until all that was asked for is done and everyone that runs holds the newest, at most up to a time; tells when
    /// it came to that.
    pub fn run_until_converged(&mut self, by: Duration) -> Option<Duration> {
        self.changed = true;
        loop {
            if self.pending_actions == 0
                && self.publish_queue.is_empty()
                && std::mem::take(&mut self.changed)
                && self.lagging().is_empty()
            {
                return Some(self.now);
            }
            if self.queue.first_key_value().is_none_or(|((at, _), _)| *at > by) {
                return None;
            }
            self.step();
        }
    }

    pub fn step(&mut self) {
        let Some(((at, _), (node, event))) = self.queue.pop_first() else { return };
        self.now = at;
        if let Event::Action(action) = event {
            return self.perform(action);
        }
        let paused_until = self.nodes[node].paused_until;
        if paused_until > at {
            return self.push(node, paused_until, event);
        }
        if !self.nodes[node].up {
            if let Event::Call { from, watch, .. } = event {
                self.send(node, from, watch, Event::Closed(watch));
            }
            return;
        }
        self.handle(node, event);
    }

    fn handle(&mut self, node: usize, event: Event) {
        let now = self.now;
        match event {
            Event::Step(run_number) => {
                if self.nodes[node].run_number == run_number && self.nodes[node].watch.is_none() {
                    self.follow_next(node);
                }
            }
            Event::Call { from, watch, since } => self.accept_watch(node, from, watch, since),
            Event::Line { watch, line } => self.line(node, watch, line),
            Event::LineProcessed(watch) => {
                if let Some(reader) = self.nodes[node].readers.get_mut(&watch) {
                    reader.busy_since = None;
                    self.send_if_ready(node, watch, false);
                }
            }
            Event::Closed(watch) => {
                if self.nodes[node].watch.is_some_and(|(own, _)| own == watch) {
                    self.watch_ended(node, false);
                }
            }
            Event::Left(watch) => {
                self.nodes[node].readers.remove(&watch);
            }
            Event::Deadline(watch) => {
                if self.nodes[node].watch.is_some_and(|(own, _)| own == watch) {
                    let deadline = self.nodes[node].deadline;
                    if now >= deadline {
                        self.watch_ended(node, true);
                    } else {
                        self.push(node, deadline, Event::Deadline(watch));
                    }
                }
            }
            Event::Heartbeat(run_number) => {
                if self.nodes[node].run_number == run_number {
                    self.heartbeat(node);
                    self.push(node, now + HEARTBEAT_EVERY, Event::Heartbeat(run_number));
                }
            }
            Event::ReportDue(run_number) => {
                if self.nodes[node].run_number == run_number {
                    self.report(node);
                    self.push(node, now + REPORT_EVERY, Event::ReportDue(run_number));
                }
            }
            Event::Report(up) => match up {
                ReportBody::Child(in_force) => self.nodes[node].reports.record(now, in_force),
                ReportBody::Relay(who, sums) => self.nodes[node].reports.record_sums(now, &who, &sums),
            },
            Event::DiskWriteDone(index) => self.disk_write_done(index),
            Event::Action(_) => unreachable!("done before"),
        }
    }

    /// Who runs and does not hold the newest.
    pub fn lagging(&self) -> Vec<String> {
        let Some((_, newest)) = self.models.last_key_value() else { return Vec::new() };
        let lags = |node: &&Node| {
            let newest = newest.iter().filter(|(scope, _)| node.wanted.has(scope));
            node.up && !live(&node.state, &node.wanted).iter().eq(newest)
        };
        self.nodes.iter().filter(lags).map(|node| node.name.clone()).collect()
    }

    pub fn publish(&mut self, at: Duration, text: &str) {
        self.schedule(at, Action::Publish { scope: scope(text), withdraw: false });
    }

    pub fn withdraw(&mut self, at: Duration, text: &str) {
        self.schedule(at, Action::Publish { scope: scope(text), withdraw: true });
    }

    /// Calls of a node since a time.
    pub fn calls_of(&self, node: usize, since: Duration) -> usize {
        self.calls.iter().filter(|(at, from, _)| *from == node && *at >= since).count()
    }

    /// Everyone up, fresh and at the newest of a few documents, at 20 s.
    pub fn settled(seed: u64, balancers: usize, services: usize) -> Self {
        let mut network = Self::new(seed, balancers, services);
        network.publish(ms(1), "fleet");
        for region in 0..REGIONS {
            network.publish(ms(2), &format!("region/r{region}"));
        }
        for service in 0..services {
            network.publish(ms(3), &format!("service/s{service}"));
        }
        network.run_until(ms(20_000));
        assert_eq!(network.lagging(), Vec::<String>::new());
        network.calls.clear();
        network.refusals.clear();
        network
    }
}
