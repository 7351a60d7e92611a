//! Simulated network in virtual time: an origin, relays of regions and zones, and balancers. Each message is delayed by
//! a random time that depends on the seed, and messages on one connection arrive in the order they were sent. After
//! every update that a process applies, its documents are compared with what was published.
//!
//! This module holds the processes, the event queue and the interface for tests. [`watch`] simulates watches between
//! children and parents, [`publish`] the origin and its disk, and [`faults`] the actions that a test schedules.

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

/// Number of the origin in [`Network::nodes`].
pub const ORIGIN: usize = 0;
/// Number of regions; each has one region relay.
pub const REGIONS: usize = 3;
/// Number of zones; each has two zone relays.
pub const ZONES: usize = 7;

/// One line that a parent sends on a watch.
#[derive(Debug, Clone)]
enum Line {
    /// Heartbeat without an update.
    Empty,
    /// Update for the child.
    Update(Update),
}

/// Report that a child sends to its parent.
#[derive(Debug, Clone)]
enum ReportBody {
    /// Versions that a balancer has in force.
    Child(InForce),
    /// Name of a relay, and the sums over the balancers below it.
    Relay(String, Sums),
}

/// Event in the queue, for one node. A run number in an event is compared with [`Node::run_number`], so that timers set
/// before a kill have no effect afterwards.
#[derive(Debug, Clone)]
enum Event {
    /// Time to choose the next parent, if no watch is open. Holds the run number.
    ChooseParent(u64),
    /// Call from a child that opens a watch with this id; `since` is the index of the child.
    Call { from: usize, watch: u64, since: u64 },
    /// Line from the parent on this watch.
    Line { watch: u64, line: Line },
    /// The child has processed the last line of this watch and is ready for the next.
    LineProcessed(u64),
    /// The parent has closed this watch, or its process is down.
    Closed(u64),
    /// The child has left this watch.
    Left(u64),
    /// Possible time-out of this watch; the current deadline is in [`Node::deadline`].
    Deadline(u64),
    /// Time for a heartbeat to all readers. Holds the run number.
    Heartbeat(u64),
    /// Time to send a report to the parent. Holds the run number.
    ReportDue(u64),
    /// Report from a child.
    Report(ReportBody),
    /// The disk of the origin has finished writing the record with this index, or has failed to.
    DiskWriteDone(u64),
    /// Action that a test has scheduled.
    Action(Action),
}

/// Open watch, as its parent sees it.
struct Reader {
    /// Number of the node that reads.
    child: usize,
    /// Index of the last update sent on this watch; before the first, the index that the child stated in its call.
    index: u64,
    /// Time when a line was sent that the child has not processed yet.
    busy_since: Option<Duration>,
    /// Last update sent on this watch, for [`Action::RepeatUpdate`].
    last: Option<Update>,
}

/// Simulated process: the origin, a relay or a balancer.
pub struct Node {
    /// Name of the process in reports and test failures.
    pub name: String,
    /// Region of the process; the origin has none.
    pub region: Option<usize>,
    /// Level of the origin or relay; a balancer has none.
    pub level: Option<u8>,
    /// Scopes that the process reads.
    pub wanted: Wanted,
    /// Documents that the process holds.
    pub state: State,
    /// Choice of the parent to follow.
    pub parents: Parents,
    /// Node numbers of the possible parents, in the numbering of `parents`.
    pub parent_nodes: Vec<usize>,
    /// Whether the process is running.
    pub is_running: bool,
    /// Reports received from children.
    pub reports: Reports,
    /// Whether the process accepts watches but sends nothing on them.
    pub muted: bool,
    /// Number of times the process was killed; identifies the run that set a timer.
    run_number: u64,
    /// End of a pause; events that arrive earlier are postponed to this time.
    paused_until: Duration,
    /// Id of the open watch and node number of its parent.
    watch: Option<(u64, usize)>,
    /// Time when the open watch ends if no line has arrived by then.
    deadline: Duration,
    /// Watches that children have opened at this process, by id.
    readers: BTreeMap<u64, Reader>,
    /// Additional delay of each line that this process reads.
    line_delay: Duration,
    /// Whether the next update with documents for this process is damaged on the way.
    damage_next: bool,
    /// Whether the previous update on the watch is sent again before the next one.
    repeat_next: bool,
    /// Whether the next update with documents for this process is lost.
    drop_next: bool,
    /// Highest index that this process has had; starts at 0 again when it starts without its disk.
    highest_index: u64,
}

impl Node {
    /// Node number of the parent at which this process has a watch open.
    pub fn follows(&self) -> Option<usize> {
        self.watch.map(|(_, parent)| parent)
    }
}

/// All simulated processes with the connections between them.
pub struct Network {
    /// Current virtual time.
    pub now: Duration,
    /// All processes: the origin, region relays, zone relays, balancers, then those that a test has added.
    pub nodes: Vec<Node>,
    /// Publishing logic of the origin.
    pub origin: Origin,
    /// Records written to the disk of the origin.
    pub records: Vec<Record>,
    /// Documents that are published and not withdrawn, by the index of the origin.
    pub models: BTreeMap<u64, Model>,
    /// Updates that were refused: node number of the child, and the reason.
    pub refusals: Vec<(usize, Refusal)>,
    /// Calls that open a watch: time, node number of the child, node number of the parent.
    pub calls: Vec<(Duration, usize, usize)>,
    /// Number of lines with an update sent to each child, by its node number.
    pub delivered: BTreeMap<usize, u64>,
    /// Random numbers of the simulation.
    pub rng: Rand64,
    /// Events by time, and by order of scheduling at the same time, with the node number of the receiver.
    queue: BTreeMap<(Duration, u64), (usize, Event)>,
    /// Last number given out, to an event or as id of a watch.
    last_id: u64,
    /// Arrival time of the last message in each direction of a watch, so that messages keep their order.
    last_arrivals: BTreeMap<(u64, bool), Duration>,
    /// Regions that are cut off from everything outside them.
    cut_regions: BTreeSet<usize>,
    /// Pairs of nodes that cannot reach each other, lower number first.
    cut_pairs: BTreeSet<(usize, usize)>,
    /// Messages held back by a cut: sender, receiver, id of the watch, event.
    undelivered: Vec<(usize, usize, u64, Event)>,
    /// Publications that are not written yet: scope, and whether its document is withdrawn.
    publish_queue: Vec<(Scope, bool)>,
    /// Number of publications written.
    published: u64,
    /// Whether the next write of the origin fails.
    disk_full: bool,
    /// Whether anything has changed since it was last checked which processes lag.
    changed: bool,
    /// Number of scheduled actions that have not been performed yet.
    pending_actions: usize,
    /// Seed of the whole simulation.
    seed: u64,
}

/// Node number of the relay of a region.
pub fn region_relay(region: usize) -> usize {
    1 + region
}

/// Node number of one of the two relays of a zone (`which` is 0 or 1). Zone `z` is in region `z % REGIONS`.
pub fn zone_relay(zone: usize, which: usize) -> usize {
    1 + REGIONS + 2 * zone + which
}

/// Node number of a balancer; balancer `n` is in zone `n % ZONES`.
pub fn balancer(number: usize) -> usize {
    1 + REGIONS + 2 * ZONES + number
}

impl Network {
    /// Creates a network in which all processes run and nothing is published, with this many balancers and services.
    pub fn new(seed: u64, balancers: usize, services: usize) -> Self {
        let mut network = Self {
            now: Duration::ZERO,
            nodes: Vec::new(),
            origin: Origin::restore(Bounds::default(), [], 0).expect("restoring without records succeeds"),
            records: Vec::new(),
            models: BTreeMap::from([(0, Model::new())]),
            refusals: Vec::new(),
            calls: Vec::new(),
            delivered: BTreeMap::new(),
            rng: Rand64::new(u128::from(seed)),
            queue: BTreeMap::new(),
            last_id: 0,
            last_arrivals: BTreeMap::new(),
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

    /// Adds a running process and returns its node number. Its seed depends on that number.
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
            is_running: true,
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

    /// Starts the timers of a process that begins to run.
    fn schedule_timers(&mut self, node: usize) {
        let run_number = self.nodes[node].run_number;
        let heartbeat = self.random_duration(HEARTBEAT_EVERY);
        let report = self.random_duration(REPORT_EVERY);
        if !self.nodes[node].parent_nodes.is_empty() {
            self.push(node, self.now, Event::ChooseParent(run_number));
            self.push(node, self.now + report, Event::ReportDue(run_number));
        }
        if self.nodes[node].level.is_some() {
            self.push(node, self.now + heartbeat, Event::Heartbeat(run_number));
        }
    }

    /// Random time below `upper_bound`.
    pub fn random_duration(&mut self, upper_bound: Duration) -> Duration {
        upper_bound.mul_f64(self.rng.rand_float())
    }

    /// Random number below `below`.
    pub fn random_below(&mut self, below: usize) -> usize {
        self.rng.rand_range(0..below as u64) as usize
    }

    /// Adds an event to the queue.
    fn push(&mut self, node: usize, at: Duration, event: Event) {
        self.last_id += 1;
        self.queue.insert((at, self.last_id), (node, event));
    }

    /// Schedules an action of the test.
    pub fn schedule(&mut self, at: Duration, action: Action) {
        self.pending_actions += 1;
        self.push(ORIGIN, at, Event::Action(action));
    }

    /// Whether a cut separates two nodes.
    fn is_cut(&self, a: usize, b: usize) -> bool {
        if self.cut_pairs.contains(&(a.min(b), a.max(b))) {
            return true;
        }
        let (a, b) = (self.nodes[a].region, self.nodes[b].region);
        a != b && [a, b].into_iter().flatten().any(|region| self.cut_regions.contains(&region))
    }

    /// Sends a message on the connection of a watch, where it arrives after all earlier ones. While a cut separates the
    /// two nodes the message is held back.
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
        let last = self.last_arrivals.entry((watch, from < to)).or_default();
        *last = (self.now + min_delay + jitter + line_delay).max(*last + Duration::from_micros(1));
        let at = *last;
        self.push(to, at, event);
    }

    /// Handles all events up to a time.
    pub fn run_until(&mut self, until: Duration) {
        while let Some(entry) = self.queue.first_entry()
            && entry.key().0 <= until
        {
            self.step();
        }
        self.now = until;
    }

    /// Handles events until all scheduled actions and publications are done and every running process holds the newest
    /// documents. Returns the time of that, or `None` if it is not reached by `by`.
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

    /// Handles the next event: performs an action, postpones an event for a paused process, closes a call to a process
    /// that is down.
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
        if !self.nodes[node].is_running {
            if let Event::Call { from, watch, .. } = event {
                self.send(node, from, watch, Event::Closed(watch));
            }
            return;
        }
        self.handle(node, event);
    }

    /// Handles an event for a process that is running.
    fn handle(&mut self, node: usize, event: Event) {
        let now = self.now;
        match event {
            Event::ChooseParent(run_number) => {
                if self.nodes[node].run_number == run_number && self.nodes[node].watch.is_none() {
                    self.follow_next(node);
                }
            }
            Event::Call { from, watch, since } => self.accept_watch(node, from, watch, since),
            Event::Line { watch, line } => self.receive_line(node, watch, line),
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
            Event::Report(report_body) => match report_body {
                ReportBody::Child(in_force) => self.nodes[node].reports.record(now, in_force),
                ReportBody::Relay(who, sums) => self.nodes[node].reports.record_sums(now, &who, &sums),
            },
            Event::DiskWriteDone(index) => self.disk_write_done(index),
            Event::Action(_) => unreachable!("step performs actions itself"),
        }
    }

    /// Names of the running processes that do not hold the newest documents.
    pub fn lagging(&self) -> Vec<String> {
        let Some((_, newest)) = self.models.last_key_value() else { return Vec::new() };
        let lags = |node: &&Node| {
            let newest = newest.iter().filter(|(scope, _)| node.wanted.includes(scope));
            node.is_running && !live(&node.state, &node.wanted).iter().eq(newest)
        };
        self.nodes.iter().filter(lags).map(|node| node.name.clone()).collect()
    }

    /// Schedules the publication of a new document for a scope.
    pub fn publish(&mut self, at: Duration, text: &str) {
        self.schedule(at, Action::Publish { scope: scope(text), withdraw: false });
    }

    /// Schedules the withdrawal of the document of a scope.
    pub fn withdraw(&mut self, at: Duration, text: &str) {
        self.schedule(at, Action::Publish { scope: scope(text), withdraw: true });
    }

    /// Number of calls that a node has made since a time.
    pub fn calls_of(&self, node: usize, since: Duration) -> usize {
        self.calls.iter().filter(|(at, from, _)| *from == node && *at >= since).count()
    }

    /// Creates a network and runs it to 20 s, when all processes hold the documents of the fleet, of each region and of
    /// each service. Calls and refusals up to then are forgotten.
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
