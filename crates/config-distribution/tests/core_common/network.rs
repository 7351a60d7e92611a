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

pub use self::faults::Act;
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
enum Up {
    Child(InForce),
    Relay(String, Sums),
}

#[derive(Debug, Clone)]
enum Event {
    Step(u64),
    Call { from: usize, watch: u64, since: u64 },
    Line { watch: u64, line: Line },
    Taken(u64),
    Closed(u64),
    Left(u64),
    Deadline(u64),
    Beat(u64),
    ReportDue(u64),
    Report(Up),
    Disk(u64),
    Act(Act),
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
    pub above: Vec<usize>,
    pub up: bool,
    pub reports: Reports,
    pub muted: bool,
    life: u64,
    paused_until: Duration,
    watch: Option<(u64, usize)>,
    deadline: Duration,
    readers: BTreeMap<u64, Reader>,
    slow: Duration,
    damage: bool,
    repeat: bool,
    swallow: bool,
    seen: u64,
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
    pub told: BTreeMap<usize, u64>,
    pub draws: Rand64,
    queue: BTreeMap<(Duration, u64), (usize, Event)>,
    count: u64,
    last: BTreeMap<(u64, bool), Duration>,
    cut: BTreeSet<usize>,
    cut_pairs: BTreeSet<(usize, usize)>,
    held: Vec<(usize, usize, u64, Event)>,
    waiting: Vec<(Scope, bool)>,
    published: u64,
    disk_full: bool,
    changed: bool,
    acts: usize,
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
            told: BTreeMap::new(),
            draws: Rand64::new(u128::from(seed)),
            queue: BTreeMap::new(),
            count: 0,
            last: BTreeMap::new(),
            cut: BTreeSet::new(),
            cut_pairs: BTreeSet::new(),
            held: Vec::new(),
            waiting: Vec::new(),
            published: 0,
            disk_full: false,
            changed: true,
            acts: 0,
            seed,
        };
        network.add("origin".into(), None, Some(0), Wanted::All, vec![]);
        for region in 0..REGIONS {
            network.add(format!("region {region}"), Some(region), Some(1), Wanted::All, vec![ORIGIN]);
        }
        for zone in 0..ZONES {
            let region = zone % REGIONS;
            for which in 0..2 {
                let above = vec![region_relay(region), region_relay((region + 1) % REGIONS)];
                network.add(format!("zone {zone} {which}"), Some(region), Some(2), Wanted::All, above);
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
            let above = vec![zone_relay(zone, 0), zone_relay(zone, 1), region_relay(region)];
            network.add(
                format!("balancer {number}"),
                Some(region),
                None,
                Wanted::These(wanted.to_vec()),
                above,
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
        above: Vec<usize>,
    ) -> usize {
        let node = self.nodes.len();
        let parents = Parents::new(above.len(), self.seed * 10_000 + node as u64);
        self.nodes.push(Node {
            name,
            region,
            level,
            wanted,
            state: State::default(),
            parents,
            above,
            up: true,
            reports: Reports::new(),
            muted: false,
            life: 0,
            paused_until: Duration::ZERO,
            watch: None,
            deadline: Duration::ZERO,
            readers: BTreeMap::new(),
            slow: Duration::ZERO,
            damage: false,
            repeat: false,
            swallow: false,
            seen: 0,
        });
        self.begin(node);
        node
    }

    fn begin(&mut self, node: usize) {
        let life = self.nodes[node].life;
        let beat = self.draw(HEARTBEAT_EVERY);
        let report = self.draw(REPORT_EVERY);
        if !self.nodes[node].above.is_empty() {
            self.push(node, self.now, Event::Step(life));
            self.push(node, self.now + report, Event::ReportDue(life));
        }
        if self.nodes[node].level.is_some() {
            self.push(node, self.now + beat, Event::Beat(life));
        }
    }

    pub fn draw(&mut self, most: Duration) -> Duration {
        most.mul_f64(self.draws.rand_float())
    }

    pub fn pick(&mut self, below: usize) -> usize {
        self.draws.rand_range(0..below as u64) as usize
    }

    fn push(&mut self, node: usize, at: Duration, event: Event) {
        self.count += 1;
        self.queue.insert((at, self.count), (node, event));
    }

    pub fn act(&mut self, at: Duration, act: Act) {
        self.acts += 1;
        self.push(ORIGIN, at, Event::Act(act));
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        if self.cut_pairs.contains(&(a.min(b), a.max(b))) {
            return true;
        }
        let (a, b) = (self.nodes[a].region, self.nodes[b].region);
        a != b && [a, b].into_iter().flatten().any(|region| self.cut.contains(&region))
    }

    /// A message on a connection: in order with those before it; one into a cut comes once it is healed.
    fn send(&mut self, from: usize, to: usize, watch: u64, event: Event) {
        if self.is_cut(from, to) {
            self.held.push((from, to, watch, event));
            return;
        }
        let far = self.nodes[from].region != self.nodes[to].region;
        let least = if far { ms(20) } else { Duration::from_micros(200) };
        let more = self.draw(if far { ms(60) } else { ms(2) });
        let slow = if matches!(event, Event::Line { .. }) { self.nodes[to].slow } else { Duration::ZERO };
        let last = self.last.entry((watch, from < to)).or_default();
        *last = (self.now + least + more + slow).max(*last + Duration::from_micros(1));
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
            if self.acts == 0
                && self.waiting.is_empty()
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
        if let Event::Act(act) = event {
            return self.do_act(act);
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
            Event::Step(life) => {
                if self.nodes[node].life == life && self.nodes[node].watch.is_none() {
                    self.follow_next(node);
                }
            }
            Event::Call { from, watch, since } => self.called(node, from, watch, since),
            Event::Line { watch, line } => self.line(node, watch, line),
            Event::Taken(watch) => {
                if let Some(reader) = self.nodes[node].readers.get_mut(&watch) {
                    reader.busy_since = None;
                    self.feed(node, watch, false);
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
            Event::Beat(life) => {
                if self.nodes[node].life == life {
                    self.beat(node);
                    self.push(node, now + HEARTBEAT_EVERY, Event::Beat(life));
                }
            }
            Event::ReportDue(life) => {
                if self.nodes[node].life == life {
                    self.report(node);
                    self.push(node, now + REPORT_EVERY, Event::ReportDue(life));
                }
            }
            Event::Report(up) => match up {
                Up::Child(in_force) => self.nodes[node].reports.record(now, in_force),
                Up::Relay(who, sums) => self.nodes[node].reports.record_sums(now, &who, &sums),
            },
            Event::Disk(index) => self.disk(index),
            Event::Act(_) => unreachable!("done before"),
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
        self.act(at, Act::Publish { scope: scope(text), withdraw: false });
    }

    pub fn withdraw(&mut self, at: Duration, text: &str) {
        self.act(at, Act::Publish { scope: scope(text), withdraw: true });
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
