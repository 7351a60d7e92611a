//! What the operator decides before the first request arrives: the classes of requests, the tenants' quotas, what the
//! site allows, and the figures of its rules.
//!
//! Settings that make no sense would show as odd decisions much later. So [`Settings`] are validated once, by
//! [`Settings::validate`], or by [`Settings::may_follow`] where they replace others in a running balancer. The module
//! owns no state: the balancer has the settings in force.

use std::time::Duration;

use thiserror::Error;

use crate::ids::ZoneId;

/// The endpoints that share what they remember of idempotency keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Idempotency {
    /// Idempotent: repeating it does no harm.
    Idempotent,
    /// Idempotent by its key: the endpoints of a scope discard repeats for a while.
    IdempotencyKey {
        /// The endpoints that discard repeats.
        scope: DeduplicationScope,
        /// For how long after the first attempt that may have run.
        window: Duration,
    },
    /// Must never run twice.
    NotIdempotent,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// The latency objective: answers within this time earn the full weight.
    pub latency_objective: Duration,
    /// How long a client waits in all.
    pub deadline: Duration,
    /// The fraction of its weight that an answer past the latency objective still earns, 0 to 1.
    pub late_weight: f64,
    /// Whether it may run more than once.
    pub idempotency: Idempotency,
}

/// A tenant with its quota.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Requests a second, over all replicas, that lie within its quota; `None` without one.
    pub quota: Option<f64>,
}

/// How the list of endpoints is received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Changes are pushed.
    Push,
    /// Changes come over a subscription, which the replica has to open.
    Subscribe,
    /// Changes come over a subscription to an agent on the replica's own machine, which it shares with nobody: a broken
    /// one is opened anew without a backoff.
    Agent,
}

/// What a site permits the balancer to do.
#[derive(Debug, Clone, PartialEq)]
#[allow(
    clippy::struct_excessive_bools,
    reason = "each is a permission of its own, granted apart from the others"
)]
pub struct Permissions {
    /// Attempts that a request may have in all, at least 1.
    pub max_attempts: u32,
    /// Hedged requests: a second attempt may be sent while the first is in flight.
    pub hedging: bool,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Health checks may be sent.
    pub health_checks: bool,
    /// Replicas may send each other messages.
    pub messages: bool,
    /// Idle connections are closed after this.
    pub keepalive: Duration,
    /// Concurrent streams of one connection.
    pub streams_per_connection: u32,
    /// The longest Retry-After that clients honour; `None` if they are sent none.
    pub retry_after: Option<Duration>,
}

/// Figures of the rules that bind the balancer.
#[derive(Debug, Clone, PartialEq)]
pub struct Rules {
    /// Time past the client's deadline in which a final answer still counts.
    pub answer_slack: Duration,
    /// Grace within which sends to an endpoint that was reported draining or gone must end.
    pub drain_grace: Duration,
    /// A replica without a subscription must poll for the list at least this often; `None` if lists are pushed.
    pub poll_interval_max: Option<Duration>,
    /// The least fraction of its capacity with which an endpoint starts, above 0 and up to 1.
    pub slow_start_min_fraction: f64,
    /// The longest time that an endpoint takes to warm up.
    pub slow_start_window: Duration,
    /// An endpoint that is warming up is overloaded by more than this many times its present capacity...
    pub overload_multiple: f64,
    /// ...when it is sent that for this long.
    pub overload_window: Duration,
}

/// Costs that bear on choices, in parts of the weight of one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Costs {
    /// An attempt that crosses zones.
    pub cross_zone: f64,
    /// The work of one request wasted.
    pub wasted_work: f64,
    /// A request that ends unserved past its latency objective.
    pub late_failure: f64,
    /// A connection opened.
    pub handshake: f64,
    /// A health check.
    pub health_check: f64,
}

/// The settings of a replica, given at its start, and again with
/// [`Event::Reconfigured`](crate::Event::Reconfigured) when they change.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// This replica's number, from 0.
    pub replica_index: u32,
    /// How many replicas send to this tier.
    pub replicas: u32,
    /// The tier sent to, 0 for the one that clients reach.
    pub tier: usize,
    /// This replica's zone.
    pub zone: ZoneId,
    /// How many zones there are.
    pub zones: usize,
    /// How many kinds of machine there are.
    pub kinds: usize,
    /// The classes of requests, at least one.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// The fraction of its weight that a request keeps beyond its tenant's quota, 0 to 1.
    pub over_quota_weight: f64,
    /// How the list of endpoints is received.
    pub discovery: DiscoveryMode,
    /// Calls from tier to tier carry the time left until the client's deadline.
    pub propagates_deadline: bool,
    /// What a site permits the balancer to do.
    pub permissions: Permissions,
    /// Figures of the rules that bind the balancer.
    pub rules: Rules,
    /// Costs that bear on choices.
    pub costs: Costs,
}

/// Why [`Settings`] are refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// There is no class.
    #[error("there is no class of requests")]
    NoClass,
    /// There is no zone, or the replica's own is not among them.
    #[error("the zone of this copy is not among the zones")]
    UnknownZone,
    /// The number of replicas is 0.
    #[error("the number of copies is 0")]
    NoReplicas,
    /// No attempt is allowed.
    #[error("no attempt is allowed")]
    NoAttempts,
    /// A class's latency objective or deadline is 0, or the objective lies past the deadline.
    #[error("class {0}: the aim and the deadline must be above 0, the aim not past the deadline")]
    ClassTimes(usize),
    /// There are fewer classes or tenants than in the settings in force: positions never change their meaning.
    #[error("there are fewer classes or tenants than before")]
    PositionsRemoved,
    /// They are of another replica, tier, zone or kinds than the settings in force.
    #[error("they are those of another place: its number, tier, zone, zones and kinds stay for life")]
    DifferentPlace,
    /// A fraction or a figure lies outside its range.
    #[error("{0} is out of range")]
    OutOfRange(&'static str),
}

impl Settings {
    /// Settings of a lone replica in a single zone, with common rules and no tenants; change what
    /// differs.
    #[must_use]
    pub fn single_zone(classes: Vec<Class>) -> Self {
        Self {
            replica_index: 0,
            replicas: 1,
            tier: 0,
            zone: ZoneId(0),
            zones: 1,
            kinds: 1,
            classes,
            tenants: Vec::new(),
            over_quota_weight: 1.0,
            discovery: DiscoveryMode::Push,
            propagates_deadline: true,
            permissions: Permissions {
                max_attempts: 3,
                hedging: false,
                cancel: true,
                health_checks: false,
                messages: false,
                keepalive: Duration::from_secs(15),
                streams_per_connection: 100,
                retry_after: None,
            },
            rules: Rules {
                answer_slack: Duration::from_millis(20),
                drain_grace: Duration::from_secs(1),
                poll_interval_max: None,
                slow_start_min_fraction: 0.1,
                slow_start_window: Duration::from_secs(30),
                overload_multiple: 3.0,
                overload_window: Duration::from_secs(2),
            },
            costs: Costs {
                cross_zone: 0.0,
                wasted_work: 0.0,
                late_failure: 0.0,
                handshake: 0.0,
                health_check: 0.0,
            },
        }
    }

    /// Checks that the settings make sense.
    ///
    /// # Errors
    /// The first thing found wrong.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClass);
        }
        if self.zone.0 >= self.zones {
            return Err(SettingsError::UnknownZone);
        }
        if self.replicas == 0 {
            return Err(SettingsError::NoReplicas);
        }
        if self.permissions.max_attempts == 0 {
            return Err(SettingsError::NoAttempts);
        }
        if self.permissions.streams_per_connection == 0 {
            return Err(SettingsError::OutOfRange("streams"));
        }
        for (number, class) in self.classes.iter().enumerate() {
            if class.latency_objective.is_zero() || class.latency_objective > class.deadline {
                return Err(SettingsError::ClassTimes(number));
            }
            in_range(class.late_weight, 0.0, 1.0, "late worth")?;
        }
        for quota in self.tenants.iter().filter_map(|tenant| tenant.quota) {
            in_range(quota, 0.0, 1e12, "quota")?;
        }
        in_range(self.over_quota_weight, 0.0, 1.0, "over-share worth")?;
        in_range(self.rules.slow_start_min_fraction, f64::MIN_POSITIVE, 1.0, "cold share")?;
        in_range(self.rules.overload_multiple, f64::MIN_POSITIVE, 1e6, "overload multiple")?;
        let Costs { cross_zone, wasted_work, late_failure, handshake, health_check } = self.costs;
        for cost in [cross_zone, wasted_work, late_failure, handshake, health_check] {
            in_range(cost, 0.0, 1e6, "price")?;
        }
        Ok(())
    }

    /// Checks that a running replica may go over to these from `before`.
    ///
    /// # Errors
    /// The first thing found wrong.
    pub fn may_follow(&self, before: &Self) -> Result<(), SettingsError> {
        let place = |of: &Self| (of.replica_index, of.tier, of.zone, of.zones, of.kinds);
        if place(self) != place(before) {
            return Err(SettingsError::DifferentPlace);
        }
        if self.classes.len() < before.classes.len() || self.tenants.len() < before.tenants.len() {
            return Err(SettingsError::PositionsRemoved);
        }
        self.validate()
    }
}

fn in_range(value: f64, low: f64, high: f64, name: &'static str) -> Result<(), SettingsError> {
    if (low..=high).contains(&value) { Ok(()) } else { Err(SettingsError::OutOfRange(name)) }
}
