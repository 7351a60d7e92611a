//! Settings that the operator chooses: the classes of requests, the tenants' quotas, the permissions, the rules and the
//! costs.
//!
//! Invalid settings would otherwise only show much later, as wrong decisions. [`Settings`] are therefore validated
//! when they are handed over: by [`Settings::validate`], or by [`Settings::validate_change_from`] if they replace the
//! settings of a running balancer. The module has no state; the balancer keeps the current settings.

use std::time::Duration;

use thiserror::Error;

use crate::ids::ZoneId;

/// The set of endpoints that share their record of idempotency keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints share their record of idempotency keys.
    All,
    /// Endpoints of the same zone share their record of idempotency keys.
    Zone,
    /// Endpoints of the same cell share their record of idempotency keys.
    Cell,
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Idempotency {
    /// Running the request more than once does no harm.
    Idempotent,
    /// The request carries an idempotency key, by which the endpoints of a scope discard repeats for a limited time.
    IdempotencyKey {
        /// The endpoints that discard repeats of a request which one of them has run.
        scope: DeduplicationScope,
        /// How long repeats are discarded, from the first attempt that may have run.
        window: Duration,
    },
    /// The request must not run more than once.
    NotIdempotent,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Latency objective of the class. Answers within this time count with their full weight.
    pub latency_objective: Duration,
    /// Total time that a client waits for the answer to a request of the class.
    pub deadline: Duration,
    /// Fraction of the request's weight, from 0 to 1, that an answer after the latency objective still counts.
    pub late_weight: f64,
    /// Whether a request of the class may run more than once.
    pub idempotency: Idempotency,
}

/// The settings of one tenant.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Quota of the tenant in requests per second, summed over all replicas; `None` if the tenant has no quota.
    pub quota: Option<f64>,
}

/// How a replica receives the list of endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// The discovery service pushes changes without being asked.
    Push,
    /// Changes arrive over a subscription that the replica has to open.
    Subscribe,
    /// Changes arrive over a subscription to an agent on the replica's own machine, which no other replica uses. A
    /// broken subscription is therefore reopened without a backoff.
    Agent,
}

/// What the operator permits the balancer to do.
#[derive(Debug, Clone, PartialEq)]
#[allow(clippy::struct_excessive_bools, reason = "each permission is granted independently of the others")]
pub struct Permissions {
    /// Largest number of attempts of one request, including the first; at least 1.
    pub max_attempts: u32,
    /// Whether hedged requests are allowed: a second attempt sent while the first is still in flight.
    pub hedging: bool,
    /// Whether attempts in flight may be cancelled.
    pub cancel: bool,
    /// Whether health checks may be sent to endpoints.
    pub health_checks: bool,
    /// Whether replicas may send messages to each other.
    pub messages: bool,
    /// Time since its last use after which a connection to an endpoint is closed.
    pub idle_timeout: Duration,
    /// Number of requests that one connection to an endpoint can carry at the same time; at least 1.
    pub streams_per_connection: u32,
    /// Largest value of Retry-After that clients honour; `None` if refusals carry no Retry-After.
    pub max_retry_after: Option<Duration>,
}

/// Limits and durations of the rules that the balancer must keep.
#[derive(Debug, Clone, PartialEq)]
pub struct Rules {
    /// Time after the client's deadline within which a final answer still counts.
    pub answer_slack: Duration,
    /// Grace period in which attempts may still be sent to an endpoint after it was reported as draining or removed.
    pub drain_grace: Duration,
    /// Longest interval at which a replica without a subscription must poll for the list of endpoints; `None` if the
    /// list is pushed.
    pub poll_interval_max: Option<Duration>,
    /// Smallest fraction of its full capacity that an endpoint has at its start, above 0 and at most 1.
    pub slow_start_min_fraction: f64,
    /// Longest time that an endpoint takes to warm up.
    pub slow_start_window: Duration,
    /// Load, as a multiple of its current capacity, above which an endpoint that is warming up is overloaded if the
    /// load lasts for `overload_window`.
    pub overload_multiple: f64,
    /// How long a load above `overload_multiple` must last to overload an endpoint that is warming up.
    pub overload_window: Duration,
}

/// Costs that the balancer weighs against each other, as fractions of the weight of one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Costs {
    /// Cost of an attempt that is sent to another zone, where 1 is the weight of one request.
    pub cross_zone: f64,
    /// Cost of wasting the work of one request, where 1 is the weight of one request.
    pub wasted_work: f64,
    /// Cost of a request that ends without being served after its latency objective, where 1 is the weight of one
    /// request.
    pub late_failure: f64,
    /// Cost of opening a connection to an endpoint, where 1 is the weight of one request.
    pub handshake: f64,
    /// Cost of a health check that is sent to an endpoint, where 1 is the weight of one request.
    pub health_check: f64,
}

/// The settings of a replica. They are passed at its start and, when they change, with
/// [`Event::Reconfigured`](crate::Event::Reconfigured).
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Index of this replica among the replicas that send to the same tier, counted from 0.
    pub replica_index: u32,
    /// Number of replicas that send to the same tier, including this one.
    pub replicas: u32,
    /// Tier that this replica sends to; 0 is the tier that the clients' requests reach first.
    pub tier: usize,
    /// Zone in which this replica runs.
    pub zone: ZoneId,
    /// Number of zones that the settings name; each zone's index is below it.
    pub zones: usize,
    /// Number of kinds of machine that the settings name; each kind's index is below it.
    pub machine_kinds: usize,
    /// The classes of requests; at least one.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Fraction of a request's weight, from 0 to 1, that still counts if the request is beyond its tenant's quota.
    pub over_quota_weight: f64,
    /// How this replica receives the list of endpoints.
    pub discovery: DiscoveryMode,
    /// Whether requests between tiers carry the time left until the client's deadline.
    pub propagates_deadline: bool,
    /// What the operator permits the balancer to do.
    pub permissions: Permissions,
    /// Limits and durations of the rules that the balancer must keep.
    pub rules: Rules,
    /// Costs that the balancer weighs against each other.
    pub costs: Costs,
}

/// Why [`Settings`] are rejected. Hosts send the texts to their parents in reports, so the texts are part of the
/// protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// The list of classes is empty.
    #[error("there is no class of requests")]
    NoClass,
    /// The index of the replica's own zone is not below the number of zones.
    #[error("the zone of this copy is not among the zones")]
    UnknownZone,
    /// The number of replicas is 0.
    #[error("the number of copies is 0")]
    NoReplicas,
    /// The largest number of attempts of a request is 0.
    #[error("no attempt is allowed")]
    NoAttempts,
    /// The class with this index has a latency objective of 0 or one above its deadline.
    #[error("class {0}: the aim and the deadline must be above 0, the aim not past the deadline")]
    ClassTimes(usize),
    /// There are fewer classes or tenants than in the current settings. The indexes of classes and tenants must keep
    /// their meaning, so none may be removed from the list.
    #[error("there are fewer classes or tenants than before")]
    PositionsRemoved,
    /// The replica index, tier, zone, number of zones or number of kinds of machine differs from the current settings.
    #[error("they are those of another place: its number, tier, zone, zones and kinds stay for life")]
    IdentityChanged,
    /// The setting that this text names is outside its valid range.
    #[error("{0} is out of range")]
    OutOfRange(&'static str),
}

impl Settings {
    /// Default settings for a single replica in a single zone, with no tenants. Callers overwrite the fields that
    /// differ in their case.
    #[must_use]
    pub fn single_zone(classes: Vec<Class>) -> Self {
        Self {
            replica_index: 0,
            replicas: 1,
            tier: 0,
            zone: ZoneId(0),
            zones: 1,
            machine_kinds: 1,
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
                idle_timeout: Duration::from_secs(15),
                streams_per_connection: 100,
                max_retry_after: None,
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

    /// Checks that the settings are valid.
    ///
    /// # Errors
    /// Returns the first fault that was found in the settings.
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
            check_range(class.late_weight, 0.0, 1.0, "late worth")?;
        }
        for quota in self.tenants.iter().filter_map(|tenant| tenant.quota) {
            check_range(quota, 0.0, 1e12, "quota")?;
        }
        check_range(self.over_quota_weight, 0.0, 1.0, "over-share worth")?;
        check_range(self.rules.slow_start_min_fraction, f64::MIN_POSITIVE, 1.0, "cold share")?;
        check_range(self.rules.overload_multiple, f64::MIN_POSITIVE, 1e6, "overload multiple")?;
        let Costs { cross_zone, wasted_work, late_failure, handshake, health_check } = self.costs;
        for cost in [cross_zone, wasted_work, late_failure, handshake, health_check] {
            check_range(cost, 0.0, 1e6, "price")?;
        }
        Ok(())
    }

    /// Checks that these settings are valid and that a running replica may change to them from the settings `current`.
    ///
    /// # Errors
    /// Returns the first fault that was found in the settings.
    pub fn validate_change_from(&self, current: &Self) -> Result<(), SettingsError> {
        let identity = |of: &Self| (of.replica_index, of.tier, of.zone, of.zones, of.machine_kinds);
        if identity(self) != identity(current) {
            return Err(SettingsError::IdentityChanged);
        }
        if self.classes.len() < current.classes.len() || self.tenants.len() < current.tenants.len() {
            return Err(SettingsError::PositionsRemoved);
        }
        self.validate()
    }
}

fn check_range(value: f64, low: f64, high: f64, name: &'static str) -> Result<(), SettingsError> {
    if (low..=high).contains(&value) { Ok(()) } else { Err(SettingsError::OutOfRange(name)) }
}
