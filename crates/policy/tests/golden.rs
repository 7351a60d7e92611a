//! Golden test of the balancer's decisions: fixed settings, seeds and events must give exactly the same actions.
//!
//! A refactoring that must not change behaviour keeps every hash below. The hashes also depend on the order in which
//! random numbers are drawn and on the order of floating-point sums. A change that is meant to alter decisions records
//! new hashes and says so in its commit message.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use balancer_policy::interface::*;
use balancer_policy::{Action, Balancer, Event, Settings};
use oorandom::Rand64;

/// Duration of each simulation on the virtual clock.
const RUN_DURATION: Duration = Duration::from_secs(30);
/// Time at which the clock of each simulation starts.
const START: Duration = Duration::from_secs(1000);
/// Mean time between two requests, in seconds: 120 requests per second.
const MEAN_REQUEST_INTERVAL_S: f64 = 1.0 / 120.0;

/// FNV-1a hash with 64 bits, which gives the same value on every machine.
struct Hash(u64);

impl Hash {
    fn new() -> Self {
        Self(0xcbf2_9ce4_8422_2325)
    }

    fn bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }

    fn number(&mut self, number: u64) {
        self.bytes(&number.to_le_bytes());
    }

    fn span(&mut self, span: Option<Duration>) {
        self.number(span.map_or(u64::MAX, |span| span.as_nanos() as u64));
    }

    fn action(&mut self, action: &Action) {
        match action {
            Action::Send { request, upstream, timeout, first_byte_deadline, is_last_attempt } => {
                self.number(1);
                self.number(request.0);
                self.number(u64::from(upstream.0));
                self.span(*timeout);
                self.span(*first_byte_deadline);
                self.number(u64::from(*is_last_attempt));
            }
            Action::CancelAttempt { request, attempt } => {
                self.number(2);
                self.number(request.0);
                self.number(u64::from(attempt.0));
            }
            Action::Refuse { request, retry_after } => {
                self.number(3);
                self.number(request.0);
                self.span(*retry_after);
            }
            Action::Fail { request } => {
                self.number(4);
                self.number(request.0);
            }
            Action::Subscribe => self.number(5),
            Action::HealthCheck { upstream } => {
                self.number(6);
                self.number(u64::from(upstream.0));
            }
            Action::CloseIdle { upstream } => {
                self.number(7);
                self.number(u64::from(upstream.0));
            }
            Action::ScheduleMaintenance(span) => {
                self.number(8);
                self.span(Some(*span));
            }
            Action::Log(line) => {
                self.number(9);
                self.bytes(line.as_bytes());
            }
        }
    }
}

/// Step of a simulation that is scheduled for a later time.
enum Step {
    /// Reports an event to the balancer.
    Event(Box<Event>),
    /// Sends a new request.
    Request,
    /// Changes the list of upstreams, its subscription or the settings.
    Change,
    /// Starts (`true`) or ends (`false`) a congestion, in which the upstreams are much slower.
    Congestion(bool),
}

/// Simulated clients and upstreams, drawn from a seed, with the balancer under test between them.
struct Simulation {
    balancer: Balancer,
    settings: Settings,
    rng: Rand64,
    now: Duration,
    /// Times and numbers of the scheduled steps, earliest first.
    pending: BinaryHeap<Reverse<(Duration, u64)>>,
    /// Scheduled steps by their number.
    steps: HashMap<u64, Step>,
    /// Number of steps scheduled so far.
    scheduled: u64,
    members: Vec<Member>,
    /// Requests that have not ended, each with the number of its latest attempt.
    open_requests: HashMap<RequestId, u32>,
    /// Number of requests sent so far.
    requests: u64,
    congested: bool,
    /// Number of actions returned by the balancer so far.
    actions: u64,
    /// Hash of those actions and of the stats snapshots.
    hash: Hash,
}

impl Simulation {
    fn new(settings: Settings, seed: u64, upstreams: u32) -> Self {
        let balancer = Balancer::new(settings.clone(), seed).expect("the settings should be valid");
        let mut simulation = Self {
            balancer,
            settings,
            rng: Rand64::new(u128::from(seed) + 99),
            now: START,
            pending: BinaryHeap::new(),
            steps: HashMap::new(),
            scheduled: 0,
            members: Vec::new(),
            open_requests: HashMap::new(),
            requests: 0,
            congested: false,
            actions: 0,
            hash: Hash::new(),
        };
        for id in 0..upstreams {
            let started = (id % 4 == 0).then(|| START - Duration::from_secs(u64::from(id)));
            let member = simulation.member(id, started);
            simulation.members.push(member);
        }
        simulation.schedule_event(Duration::ZERO, Event::Started);
        simulation
            .schedule_event(Duration::ZERO, Event::List(ListUpdate::Snapshot(simulation.members.clone())));
        simulation.schedule(Duration::ZERO, Step::Request);
        simulation.schedule(Duration::from_millis(700), Step::Change);
        for (at, congested) in [(10, true), (14, false), (20, true), (22, false)] {
            simulation.schedule(Duration::from_secs(at), Step::Congestion(congested));
        }
        simulation
    }

    fn member(&mut self, id: u32, started: Option<Duration>) -> Member {
        Member {
            id: EndpointId(id),
            zone: (id % 7 != 6).then_some(ZoneId(id as usize % self.settings.zones)),
            machine_kind: (id % 5 != 4).then_some(MachineKindId(id as usize % self.settings.machine_kinds)),
            cell: id % 4,
            lifecycle: Lifecycle::Ready,
            weight: 1.0 + f64::from(id % 3),
            started,
        }
    }

    fn schedule(&mut self, after: Duration, pending: Step) {
        self.scheduled += 1;
        self.pending.push(Reverse((self.now + after, self.scheduled)));
        self.steps.insert(self.scheduled, pending);
    }

    fn schedule_event(&mut self, after: Duration, event: Event) {
        self.schedule(after, Step::Event(Box::new(event)));
    }

    fn chance(&mut self, probability: f64) -> bool {
        self.rng.rand_float() < probability
    }

    fn random_index(&mut self, bound: usize) -> usize {
        self.rng.rand_range(0..bound as u64) as usize
    }

    /// Runs the simulation to its end and returns the number of actions and the hash.
    fn run(mut self) -> (u64, u64) {
        while let Some(Reverse((at, number))) = self.pending.pop() {
            if at > START + RUN_DURATION {
                break;
            }
            self.now = at;
            match self.steps.remove(&number).expect("each scheduled step should run once") {
                Step::Event(event) => self.handle(*event),
                Step::Request => self.request(),
                Step::Change => self.change(),
                Step::Congestion(congested) => self.congested = congested,
            }
        }
        (self.actions, self.hash.0)
    }

    fn handle(&mut self, event: Event) {
        if let Event::AttemptEnded { request, request_finished: true, .. }
        | Event::ClientDisconnected(request) = event
        {
            self.open_requests.remove(&request);
        }
        let is_maintenance = event == Event::MaintenanceDue;
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        if is_maintenance {
            self.hash.bytes(self.balancer.stats_snapshot().as_bytes());
        }
        for action in actions {
            self.actions += 1;
            self.hash.action(&action);
            self.execute(action);
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send { request, upstream, timeout, .. } => self.attempt(request, upstream, timeout),
            Action::CancelAttempt { request, attempt } => {
                let duration = Duration::from_millis(30);
                self.end_attempt(
                    Duration::ZERO,
                    (request, attempt),
                    Outcome::Cancelled,
                    duration,
                    Duration::ZERO,
                );
            }
            Action::Refuse { request, .. } | Action::Fail { request } => {
                self.open_requests.remove(&request);
            }
            Action::ScheduleMaintenance(span) => self.schedule_event(span, Event::MaintenanceDue),
            Action::Subscribe if self.chance(0.4) => {
                self.schedule_event(Duration::from_millis(5), Event::List(ListUpdate::Broken));
            }
            Action::Subscribe => {
                let list = ListUpdate::Snapshot(self.members.clone());
                self.schedule_event(Duration::from_millis(5), Event::List(list));
            }
            Action::HealthCheck { .. } | Action::CloseIdle { .. } | Action::Log(_) => {}
        }
    }

    /// Draws the course of an attempt that was sent, and schedules its end.
    fn attempt(&mut self, request: RequestId, upstream: EndpointId, timeout: Option<Duration>) {
        let attempt =
            AttemptNumber(*self.open_requests.entry(request).and_modify(|sent| *sent += 1).or_insert(0));
        let timeout = timeout.unwrap_or(Duration::from_secs(3));
        let slow = if self.congested { 9.0 } else { 1.0 } * if upstream.0 % 5 == 1 { 2.5 } else { 1.0 };
        let work = Duration::from_secs_f64((0.02 + 0.08 * self.rng.rand_float()) * slow);
        let is_connect_late = self.chance(if upstream.0 == 3 { 0.6 } else { 0.02 });
        let connect_wait = Duration::from_millis(if self.chance(0.1) { 40 } else { 0 });
        let failure_probability = if upstream.0 == 8 { 0.5 } else { 0.01 };
        let outcome = if is_connect_late {
            Outcome::ConnectTimedOut
        } else if self.chance(failure_probability) {
            let failures =
                [Outcome::Error, Outcome::Refused, Outcome::ConnectFailed, Outcome::Reset, Outcome::NotSent];
            failures[self.random_index(failures.len())]
        } else if self.chance(0.01) {
            Outcome::InvalidRequest
        } else if self.congested && self.chance(0.2) {
            Outcome::Refused
        } else {
            Outcome::Success
        };
        let duration = match outcome {
            Outcome::ConnectTimedOut => Duration::from_millis(120),
            Outcome::Refused | Outcome::ConnectFailed | Outcome::NotSent => Duration::from_millis(2),
            _ => connect_wait + work,
        };
        if is_connect_late && self.chance(0.5) {
            self.schedule_event(duration + Duration::from_millis(200), Event::Connected(upstream));
        }
        if duration > timeout {
            self.end_attempt(
                timeout,
                (request, attempt),
                Outcome::TimedOut,
                timeout,
                connect_wait.min(timeout),
            );
            return;
        }
        if outcome == Outcome::Success && self.chance(0.05) {
            self.schedule_event(duration / 2, Event::StreamStarted { request, attempt });
        }
        self.end_attempt(duration, (request, attempt), outcome, duration, connect_wait.min(duration));
    }

    fn end_attempt(
        &mut self,
        after: Duration,
        (request, attempt): (RequestId, AttemptNumber),
        outcome: Outcome,
        duration: Duration,
        connect_wait: Duration,
    ) {
        let request_finished = outcome == Outcome::Success || !self.open_requests.contains_key(&request);
        let load = None;
        let end =
            Event::AttemptEnded { request, attempt, outcome, duration, connect_wait, request_finished, load };
        self.schedule_event(after, end);
    }

    fn request(&mut self) {
        let id = RequestId(self.requests);
        self.requests += 1;
        let class = ClassId(self.random_index(self.settings.classes.len()));
        let tenant = (!self.settings.tenants.is_empty()).then(|| {
            // The first tenant sends several times as many requests as any other.
            let first = self.chance(0.6);
            TenantId(if first { 0 } else { self.random_index(self.settings.tenants.len()) })
        });
        let time_left = Duration::from_secs_f64(0.05 + 2.0 * self.rng.rand_float());
        let request = Request {
            id,
            class,
            tenant,
            subject: None,
            time_left,
            expected_work: None,
            is_client_retry: false,
        };
        if self.chance(0.02) {
            let disconnects_after = Duration::from_secs_f64(0.1 * self.rng.rand_float());
            self.schedule_event(disconnects_after, Event::ClientDisconnected(id));
        }
        let until_next_request =
            Duration::from_secs_f64(2.0 * MEAN_REQUEST_INTERVAL_S * self.rng.rand_float());
        self.schedule(until_next_request, Step::Request);
        self.handle(Event::Request(request));
    }

    /// Draws one change of the list, of its subscription or of the settings, and schedules the next change.
    fn change(&mut self) {
        let position = self.random_index(self.members.len());
        let kind = self.random_index(8);
        let list = match kind {
            0 => {
                self.members[position].lifecycle = Lifecycle::Draining;
                ListUpdate::Delta(vec![self.members[position]])
            }
            1 => {
                self.members[position].lifecycle = Lifecycle::Removed;
                ListUpdate::Delta(vec![self.members[position]])
            }
            2..=4 => {
                // A restarted process takes the place of the earlier one.
                self.members[position].lifecycle = Lifecycle::Ready;
                self.members[position].started = Some(self.now);
                ListUpdate::Delta(vec![self.members[position]])
            }
            5 => {
                let listed = self.members.iter().filter(|member| member.lifecycle == Lifecycle::Ready);
                let list = listed.copied().collect();
                if self.chance(0.5) { ListUpdate::CachedSnapshot(list) } else { ListUpdate::Snapshot(list) }
            }
            6 => {
                if self.chance(0.5) {
                    ListUpdate::Broken
                } else {
                    ListUpdate::Relocated
                }
            }
            _ => {
                self.reconfigure();
                ListUpdate::Delta(Vec::new())
            }
        };
        self.handle(Event::List(list));
        self.schedule(Duration::from_millis(700), Step::Change);
    }

    fn reconfigure(&mut self) {
        match self.random_index(4) {
            0 => self.settings.replicas += 1,
            1 if !self.settings.tenants.is_empty() && self.settings.tenants.len() < 5 => {
                self.settings.tenants.push(Tenant { quota: Some(15.0) });
            }
            2 if !self.settings.tenants.is_empty() => {
                let quota = 10.0 + 60.0 * self.rng.rand_float();
                self.settings.tenants[0].quota = Some(quota);
            }
            _ => {
                let mut wrong = self.settings.clone();
                wrong.classes.pop();
                self.handle(Event::Reconfigured(wrong));
            }
        }
        self.handle(Event::Reconfigured(self.settings.clone()));
    }
}

fn classes() -> Vec<Class> {
    let idempotencies = [
        Idempotency::Idempotent,
        Idempotency::NotIdempotent,
        Idempotency::IdempotencyKey { scope: DeduplicationScope::All, window: Duration::from_millis(400) },
        Idempotency::IdempotencyKey { scope: DeduplicationScope::Zone, window: Duration::from_millis(400) },
        Idempotency::IdempotencyKey { scope: DeduplicationScope::Cell, window: Duration::from_millis(400) },
    ];
    let class = |(number, idempotency): (usize, Idempotency)| Class {
        latency_objective: Duration::from_millis(400 + 100 * number as u64),
        deadline: Duration::from_secs(2),
        late_weight: if number % 2 == 0 { 0.5 } else { 0.0 },
        idempotency,
    };
    idempotencies.into_iter().enumerate().map(class).collect()
}

fn first_tier() -> Settings {
    let mut settings = Settings::single_zone(classes());
    settings.replica_index = 1;
    settings.replicas = 4;
    settings.zones = 3;
    settings.machine_kinds = 2;
    settings.tenants =
        vec![Tenant { quota: Some(120.0) }, Tenant { quota: Some(60.0) }, Tenant { quota: None }];
    settings.over_quota_weight = 0.2;
    settings.discovery = DiscoveryMode::Subscribe;
    settings.rules.poll_interval_max = Some(Duration::from_secs(4));
    settings.permissions.hedging = true;
    settings.permissions.max_retry_after = Some(Duration::from_millis(250));
    settings.costs.cross_zone = 0.05;
    settings.costs.handshake = 0.01;
    settings
}

#[track_caller]
fn check(settings: Settings, seed: u64, upstreams: u32, recorded: (u64, u64)) {
    let actual = Simulation::new(settings, seed, upstreams).run();
    assert_eq!(actual, recorded, "(actions, hash); the hash of this run is {:#x}", actual.1);
}

#[test]
fn three_zones_with_quotas_match_the_recorded_hash() {
    check(first_tier(), 1, 24, (4036, 0xf85e1da52e161db7));
    check(first_tier(), 2, 24, (3969, 0xd57eadd668c00872));
}

#[test]
fn a_single_zone_without_quotas_matches_the_recorded_hash() {
    check(Settings::single_zone(classes()), 3, 10, (4538, 0x9831ce64647e0326));
}

#[test]
fn a_lower_tier_with_an_agent_matches_the_recorded_hash() {
    let mut settings = first_tier();
    settings.tier = 1;
    settings.tenants.clear();
    settings.discovery = DiscoveryMode::Agent;
    settings.propagates_deadline = false;
    settings.permissions.streams_per_connection = 1;
    settings.permissions.hedging = false;
    settings.permissions.cancel = false;
    check(settings, 4, 40, (4569, 0x91e6ea3b696f58a0));
}

#[test]
fn many_replicas_match_the_recorded_hash() {
    let mut settings = first_tier();
    settings.replicas = 40;
    settings.over_quota_weight = 1.0;
    settings.tenants = vec![Tenant { quota: Some(2000.0) }, Tenant { quota: Some(1500.0) }];
    check(settings, 5, 60, (3910, 0xb8033d2a3c305e4d));
}

#[test]
fn a_restart_of_all_upstreams_matches_the_recorded_hash() {
    let mut simulation = Simulation::new(first_tier(), 6, 24);
    for member in &mut simulation.members {
        member.started = Some(START);
    }
    simulation.schedule_event(Duration::ZERO, Event::List(ListUpdate::Snapshot(simulation.members.clone())));
    assert_eq!(simulation.run(), (3853, 0xf30defdbb8cd0fb8));
}
