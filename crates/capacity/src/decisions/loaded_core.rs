//! A decision core under a load of evenly spaced requests, in virtual time.

use std::collections::VecDeque;
use std::time::Duration;

use balancer_policy::interface::{
    AttemptNumber, Class, ClassId, EndpointId, Idempotency, Lifecycle, ListUpdate, Member, Outcome, Request,
    RequestId, SettingsError, Tenant, TenantId, Time, ZoneId,
};
use balancer_policy::{Action, Balancer, Event, Settings};

use super::Size;
use crate::CapacityError;
use crate::plan::Plan;

/// Virtual time from the start of a request to its end, in seconds.
pub(super) const REQUEST_DURATION_S: f64 = 0.05;
/// Number of balancers that send requests to the same tier.
pub(super) const REPLICAS: u32 = 100;

/// A decision core with its load: requests arrive evenly, and each ends after [`REQUEST_DURATION_S`].
pub(super) struct LoadedCore {
    pub(super) balancer: Balancer,
    /// Virtual time, in seconds.
    pub(super) now: f64,
    /// Virtual time of the next maintenance timer, in seconds.
    pub(super) next_maintenance_s: f64,
    pub(super) size: Size,
    /// Number of requests so far, which is also the id of the latest.
    pub(super) number: u64,
    /// Ids of the requests that the core sent and that have not ended, oldest first.
    pub(super) outstanding: VecDeque<RequestId>,
    /// Buffer for the actions of the core, cleared after each event.
    pub(super) actions: Vec<Action>,
}

/// List entry of the upstream with this number, a ready upstream in one of `zones` zones.
pub(super) fn member(number: usize, zones: usize) -> Member {
    Member {
        id: EndpointId(number as u32 + 1),
        zone: Some(ZoneId(number % zones)),
        machine_kind: None,
        cell: 0,
        lifecycle: Lifecycle::Ready,
        weight: 1.0,
        started: None,
    }
}

fn settings(plan: &Plan, size: Size) -> Settings {
    let class = Class {
        latency_objective: Duration::from_secs_f64(plan.traffic.aim_s.value),
        deadline: Duration::from_secs_f64(plan.traffic.deadline_s.value),
        late_weight: 0.3,
        idempotency: Idempotency::Idempotent,
    };
    // The quotas are higher than any tenant's rate, so that the measured path is that of an admitted request.
    let rate = 100.0 * size.in_flight.max(1) as f64 / REQUEST_DURATION_S * f64::from(REPLICAS);
    let tenants =
        (0..size.tenants).map(|_| Tenant { quota: Some(rate / size.tenants.max(1) as f64) }).collect();
    Settings {
        replicas: REPLICAS,
        replica_index: 17,
        zones: plan.fleet.zones.value,
        tier: usize::from(size.tenants == 0),
        tenants,
        over_quota_weight: 0.3,
        ..Settings::single_zone(vec![class])
    }
}

impl LoadedCore {
    pub(super) fn new(plan: &Plan, size: Size, seed: u64) -> Result<Self, CapacityError> {
        let invalid_settings = |cause: SettingsError| CapacityError::run("decisions", cause);
        let mut balancer = Balancer::new(settings(plan, size), seed).map_err(invalid_settings)?;
        let mut actions = Vec::new();
        let members = (0..size.upstreams).map(|number| member(number, plan.fleet.zones.value)).collect();
        balancer.handle(Duration::ZERO, Event::Started, &mut actions);
        balancer.handle(Duration::ZERO, Event::List(ListUpdate::Snapshot(members)), &mut actions);
        actions.clear();
        Ok(Self {
            balancer,
            now: 1.0,
            next_maintenance_s: 1.2,
            size,
            number: 0,
            outstanding: VecDeque::new(),
            actions,
        })
    }

    pub(super) fn time(&self) -> Time {
        Duration::from_secs_f64(self.now)
    }

    /// Starts a request at the core, and counts it as in flight if the core sends it.
    pub(super) fn start_request(&mut self) {
        self.number += 1;
        let id = RequestId(self.number);
        let tenant =
            (self.size.tenants > 0).then(|| TenantId((self.number % self.size.tenants as u64) as usize));
        let request = Request {
            id,
            class: ClassId(0),
            tenant,
            subject: None,
            time_left: Duration::from_secs(2),
            expected_work: None,
            is_client_retry: false,
        };
        self.balancer.handle(self.time(), Event::Request(request), &mut self.actions);
        if self.actions.iter().any(|action| matches!(action, Action::Send { .. })) {
            self.outstanding.push_back(id);
        }
        self.actions.clear();
    }

    /// Ends the oldest request in flight with success.
    pub(super) fn end_oldest(&mut self) {
        let Some(request) = self.outstanding.pop_front() else { return };
        let ended = Event::AttemptEnded {
            request,
            attempt: AttemptNumber(0),
            outcome: Outcome::Success,
            duration: Duration::from_secs_f64(REQUEST_DURATION_S),
            connect_wait: Duration::ZERO,
            request_finished: true,
            load: None,
        };
        self.balancer.handle(self.time(), ended, &mut self.actions);
        self.actions.clear();
    }

    /// Advances the clock by one interval between requests, starts a request, and ends the oldest ones beyond the
    /// number that should be in flight.
    pub(super) fn step(&mut self) {
        self.now += REQUEST_DURATION_S / self.size.in_flight.max(1) as f64;
        self.start_request();
        while self.outstanding.len() > self.size.in_flight.max(1) {
            self.end_oldest();
        }
    }

    /// Runs the maintenance timer of the core if its time has come, and schedules the next one 0.2 s later.
    pub(super) fn run_maintenance_when_due(&mut self) {
        if self.now >= self.next_maintenance_s {
            self.balancer.handle(self.time(), Event::MaintenanceDue, &mut self.actions);
            self.actions.clear();
            self.next_maintenance_s = self.now + 0.2;
        }
    }

    /// Applies load until the time windows and latency estimates of the core are filled.
    pub(super) fn warm_up(&mut self, small: bool) {
        let steps = self.size.in_flight.max(1) * if small { 4 } else { 20 } + 2000;
        for _ in 0..steps {
            self.step();
            self.run_maintenance_when_due();
        }
    }
}
