//! A network in virtual time: an origin, relays of regions and zones, balancers. Every message has a delay drawn from the
//! seed, connections keep their order, and at every step each process is compared with what was published.

#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use config_distribution::document::{Document, Scope, Update};
use config_distribution::origin::{Accepted, Bounds, Origin, Publication, PublishError, Record};
use config_distribution::parents::{FIRST_LINE, HEARTBEAT_EVERY, Parents, SILENCE, Step, Verdict, may_serve};
use config_distribution::report::{InForce, REPORT_EVERY, Reports, Sums};
use config_distribution::state::{Refusal, State, Wanted};
use oorandom::Rand64;

pub const ORIGIN: usize = 0;
pub const REGIONS: usize = 3;
pub const ZONES: usize = 7;
const STALLED: Duration = Duration::from_secs(10);

/// Live documents by scope, with their version.
pub type Model = BTreeMap<Scope, (u64, Arc<str>)>;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn scope(text: &str) -> Scope {
    text.parse().expect("a scope")
}

pub fn body(number: u64) -> Arc<str> {
    format!("{{\"settings\":{{\"overShareWorth\":{number}}}}}").into()
}

pub fn document(text: &str, version: u64) -> Document {
    Document::new(scope(text), version, body(version))
}

pub fn change(after: u64, index: u64, documents: Vec<Document>) -> Update {
    Update { index, snapshot: false, after, stale_s: 0, documents }
}

pub fn snapshot(index: u64, documents: Vec<Document>) -> Update {
    Update { index, snapshot: true, after: 0, stale_s: 0, documents }
}

pub fn live(state: &State, wanted: &Wanted) -> Model {
    let documents =
        state.documents().filter(|document| !document.is_withdrawn() && wanted.has(&document.scope));
    documents
        .map(|document| (document.scope.clone(), (document.version, Arc::clone(&document.body))))
        .collect()
}

#[derive(Debug, Clone)]
pub enum Act {
    Publish {
        scope: Scope,
        withdraw: bool,
    },
    Kill(usize),
    Start {
        node: usize,
        disk: bool,
    },
    Pause(usize, Duration),
    Cut(usize),
    Heal(usize),
    /// Two nodes lose each other.
    CutPair(usize, usize),
    HealPair(usize, usize),
    /// A connection to the parent is reset.
    Reset(usize),
    /// The next line that a node is told has a body that was changed on the way.
    Damage(usize),
    /// The next line that a node is told is one that it has been told before.
    Repeat(usize),
    /// The next change that a node is told is swallowed: its parent lies.
    Swallow(usize),
    /// A parent takes calls and says nothing, from now on or no more.
    Mute(usize, bool),
    /// A node takes lines at this pace.
    Slow(usize, Duration),
    /// The disk refuses the next record.
    DiskFull,
}

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
                Up::Child(in_force) => self.nodes[node].reports.take(now, in_force),
                Up::Relay(who, sums) => self.nodes[node].reports.take_sums(now, &who, sums),
            },
            Event::Disk(index) => self.disk(index),
            Event::Act(_) => unreachable!("done before"),
        }
    }

    fn follow_next(&mut self, node: usize) {
        match self.nodes[node].parents.next(self.now) {
            Step::Wait(wait) => {
                let life = self.nodes[node].life;
                self.push(node, self.now + wait, Event::Step(life));
            }
            Step::Follow(number) => {
                let parent = self.nodes[node].above[number];
                self.count += 1;
                let watch = self.count;
                self.calls.push((self.now, node, parent));
                let deadline = self.now + FIRST_LINE + self.nodes[node].slow;
                self.nodes[node].watch = Some((watch, parent));
                self.nodes[node].deadline = deadline;
                self.push(node, deadline, Event::Deadline(watch));
                let since = self.nodes[node].state.index();
                self.send(node, parent, watch, Event::Call { from: node, watch, since });
            }
        }
    }

    fn watch_ended(&mut self, node: usize, tell: bool) {
        let Some((watch, parent)) = self.nodes[node].watch.take() else { return };
        if tell {
            self.send(node, parent, watch, Event::Left(watch));
        }
        let now = self.now;
        self.nodes[node].parents.ended(now);
        self.follow_next(node);
    }

    fn called(&mut self, node: usize, from: usize, watch: u64, since: u64) {
        let level = self.nodes[node].level.expect("a balancer is no parent");
        if !may_serve(level, self.nodes[from].level) {
            return self.send(node, from, watch, Event::Closed(watch));
        }
        let reader = Reader { child: from, index: since, busy_since: None, last: None };
        self.nodes[node].readers.insert(watch, reader);
        self.feed(node, watch, true);
    }

    /// Tells a reader what is new, if it is ready; `always` also where nothing is.
    fn feed(&mut self, node: usize, watch: u64, always: bool) {
        let now = self.now;
        let Node { state, parents, readers, above, muted, .. } = &mut self.nodes[node];
        let stale_s = if above.is_empty() { 0 } else { parents.stale_s(now) };
        let (state, muted) = (state.clone(), *muted);
        let Some(reader) = readers.get_mut(&watch) else { return };
        if reader.busy_since.is_some() || muted {
            return;
        }
        let child = reader.child;
        let wanted = self.nodes[child].wanted.clone();
        let Some(reader) = self.nodes[node].readers.get_mut(&watch) else { return };
        let update = if always {
            state.tell(reader.index, &wanted, stale_s)
        } else if state.index() > reader.index {
            state.since(reader.index, &wanted).map(|update| Update { stale_s, ..update })
        } else {
            None
        };
        let line = match update {
            None if !always => return,
            None => Line::Empty,
            Some(update) => {
                reader.index = update.index;
                Line::Update(update)
            }
        };
        reader.busy_since = Some(now);
        let line = self.spoil(child, node, watch, line);
        if let Some(line) = line {
            if matches!(line, Line::Update(_)) {
                *self.told.entry(child).or_default() += 1;
            }
            self.send(node, child, watch, Event::Line { watch, line });
        } else if let Some(reader) = self.nodes[node].readers.get_mut(&watch) {
            reader.busy_since = None;
        }
    }

    /// What a line becomes on the way where a fault was asked for.
    fn spoil(&mut self, child: usize, node: usize, watch: u64, line: Line) -> Option<Line> {
        let before = self.nodes[node].readers.get_mut(&watch).and_then(|reader| {
            let before = reader.last.clone();
            if let Line::Update(update) = &line {
                reader.last = Some(update.clone());
            }
            before
        });
        let number = child;
        let child = &mut self.nodes[child];
        let Line::Update(mut update) = line else { return Some(line) };
        if child.damage && !update.documents.is_empty() {
            child.damage = false;
            update.documents[0].body = body(999_999_999);
        } else if child.repeat
            && let Some(before) = before
        {
            child.repeat = false;
            // It comes before the one that is due.
            let line = Line::Update(before);
            self.send(node, number, watch, Event::Line { watch, line });
        } else if child.swallow && !update.documents.is_empty() {
            child.swallow = false;
            return None;
        }
        Some(Line::Update(update))
    }

    fn beat(&mut self, node: usize) {
        let watches: Vec<u64> = self.nodes[node].readers.keys().copied().collect();
        for watch in watches {
            let reader = &self.nodes[node].readers[&watch];
            let child = reader.child;
            if reader.busy_since.is_some_and(|since| self.now - since > STALLED) {
                self.nodes[node].readers.remove(&watch);
                self.send(node, child, watch, Event::Closed(watch));
            } else {
                self.feed(node, watch, true);
            }
        }
    }

    fn line(&mut self, node: usize, watch: u64, line: Line) {
        let Some((own, parent)) = self.nodes[node].watch else { return };
        if own != watch {
            return;
        }
        let now = self.now;
        let mut stale_s = 0;
        if let Line::Update(update) = line {
            stale_s = update.stale_s;
            let Node { state, wanted, .. } = &mut self.nodes[node];
            match state.take(update, wanted) {
                Ok(changed) => self.taken(node, !changed.is_empty()),
                Err(refusal) => {
                    self.refusals.push((node, refusal));
                    return self.watch_ended(node, true);
                }
            }
        }
        self.nodes[node].deadline = now + SILENCE + self.nodes[node].slow;
        self.send(node, parent, watch, Event::Taken(watch));
        if self.nodes[node].parents.line(now, stale_s) == Verdict::Leave {
            self.watch_ended(node, true);
        }
    }

    /// After each update: whole, published, and never back.
    fn taken(&mut self, node: usize, changed: bool) {
        let Node { state, wanted, name, seen, .. } = &mut self.nodes[node];
        assert!(state.index() >= *seen, "{name} went back from {seen} to {}", state.index());
        *seen = state.index();
        let model = self
            .models
            .get(&state.index())
            .unwrap_or_else(|| panic!("{name} at {} before it was written", state.index()));
        let model: Model = model
            .iter()
            .filter(|(scope, _)| wanted.has(scope))
            .map(|(scope, held)| (scope.clone(), held.clone()))
            .collect();
        assert_eq!(live(state, wanted), model, "{name} at {} holds something else", state.index());
        self.changed |= changed;
        if self.nodes[node].level.is_some() {
            self.feed_all(node);
        }
    }

    fn feed_all(&mut self, node: usize) {
        let watches: Vec<u64> = self.nodes[node].readers.keys().copied().collect();
        for watch in watches {
            self.feed(node, watch, false);
        }
    }

    fn report(&mut self, node: usize) {
        let Some((watch, parent)) = self.nodes[node].watch else { return };
        let child = &self.nodes[node];
        let up = match &child.wanted {
            Wanted::All => Up::Relay(child.name.clone(), child.reports.sums(self.now, &child.state)),
            Wanted::These(scopes) => {
                let version = |scope: &Scope| child.state.get(scope).map_or(0, |document| document.version);
                Up::Child(InForce {
                    who: child.name.as_str().into(),
                    versions: scopes.iter().map(|scope| (scope.clone(), version(scope))).collect(),
                    refused: None,
                })
            }
        };
        self.send(node, parent, watch, Event::Report(up));
    }

    fn publish_next(&mut self) {
        while let Some((scope, withdraw)) = self.waiting.first().cloned() {
            let request = format!("request {}", self.published).into();
            let body = (!withdraw).then(|| body(self.published));
            let publication = Publication { scope, body, request, if_version: None };
            match self.origin.publish(publication, |_, _| Vec::new()) {
                Ok(Accepted::Write(record)) => {
                    let sync = ms(2) + self.draw(ms(30));
                    self.push(ORIGIN, self.now + sync, Event::Disk(record.index));
                    return;
                }
                // What was never there cannot be withdrawn.
                Err(PublishError::Faults(_)) => {}
                Err(PublishError::Busy) => return,
                other => panic!("{other:?}"),
            }
            self.waiting.remove(0);
        }
    }

    fn disk(&mut self, index: u64) {
        if std::mem::take(&mut self.disk_full) {
            let before = self.origin.state().clone();
            self.origin.not_written(index);
            assert_eq!(*self.origin.state(), before);
            // The publisher asks again.
            return self.publish_next();
        }
        let record = self.origin.pending()[0].clone();
        let before = self.origin.state().index();
        self.records.push(record.clone());
        self.origin.written(index);
        self.waiting.remove(0);
        self.published += 1;
        assert_eq!(self.origin.state().index(), before + 1);
        let mut model = self.models[&before].clone();
        if record.document.is_withdrawn() {
            model.remove(&record.document.scope);
        } else {
            model.insert(record.document.scope.clone(), (index, record.document.body));
        }
        self.models.insert(index, model);
        self.nodes[ORIGIN].state = self.origin.state().clone();
        self.taken(ORIGIN, true);
        self.publish_next();
    }

    fn do_act(&mut self, act: Act) {
        self.acts -= 1;
        match act {
            Act::Publish { scope, withdraw } => {
                self.waiting.push((scope, withdraw));
                self.publish_next();
            }
            Act::Kill(node) => self.kill(node),
            Act::Start { node, disk } => self.start(node, disk),
            Act::Pause(node, time) => {
                let until = self.now + time;
                let paused_until = &mut self.nodes[node].paused_until;
                *paused_until = until.max(*paused_until);
            }
            Act::Cut(region) => {
                self.cut.insert(region);
            }
            Act::Heal(region) => {
                self.cut.remove(&region);
                self.send_held();
            }
            Act::CutPair(a, b) => {
                self.cut_pairs.insert((a.min(b), a.max(b)));
            }
            Act::HealPair(a, b) => {
                self.cut_pairs.remove(&(a.min(b), a.max(b)));
                self.send_held();
            }
            Act::Reset(node) => {
                if let Some((watch, parent)) = self.nodes[node].watch {
                    self.send(node, parent, watch, Event::Left(watch));
                    self.send(parent, node, watch, Event::Closed(watch));
                }
            }
            Act::Damage(node) => self.nodes[node].damage = true,
            Act::Repeat(node) => self.nodes[node].repeat = true,
            Act::Swallow(node) => self.nodes[node].swallow = true,
            Act::Mute(node, muted) => self.nodes[node].muted = muted,
            Act::Slow(node, slow) => {
                self.nodes[node].slow = slow;
                self.nodes[node].deadline += slow;
            }
            Act::DiskFull => self.disk_full = true,
        }
    }

    fn kill(&mut self, node: usize) {
        if !std::mem::take(&mut self.nodes[node].up) {
            return;
        }
        self.changed = true;
        self.nodes[node].life += 1;
        self.nodes[node].paused_until = Duration::ZERO;
        for (watch, reader) in std::mem::take(&mut self.nodes[node].readers) {
            self.send(node, reader.child, watch, Event::Closed(watch));
        }
        if let Some((watch, parent)) = self.nodes[node].watch.take() {
            self.send(node, parent, watch, Event::Left(watch));
        }
    }

    fn start(&mut self, node: usize, disk: bool) {
        if self.nodes[node].up {
            return;
        }
        self.changed = true;
        let seed = self.draws.rand_u64();
        let own = &mut self.nodes[node];
        own.up = true;
        own.parents = Parents::new(own.above.len(), seed);
        own.reports = Reports::new();
        let before = std::mem::take(&mut own.state);
        if disk {
            let whole = before.since(0, &Wanted::All).expect("the whole");
            own.state.take(whole, &own.wanted).expect("its own");
        } else {
            own.seen = 0;
        }
        self.begin(node);
    }

    fn send_held(&mut self) {
        let held = std::mem::take(&mut self.held);
        for (from, to, watch, event) in held {
            self.send(from, to, watch, event);
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
