//! The JSON form of the settings object: keys, types and defaults.
//!
//! The platform defines the keys; they are older than the terms that the code uses.
//!
//! Types are named after the sections of the JSON, because deserialization errors show these names ("expected
//! struct Lane") and the errors are sent to peers in reports; the names must not change. Fields use the terms of the
//! code, and a `rename` attribute gives the JSON key.

use serde::Deserialize;

/// Default priority weight of requests beyond their tenant's quota. At full weight, the quota has no effect.
const DEFAULT_OVER_QUOTA_WEIGHT: f64 = 1.0;
/// Default time in seconds without use after which a connection to an upstream is closed.
const DEFAULT_KEEPALIVE_S: f64 = 15.0;
/// Default number of concurrent attempts on one connection to an upstream.
const DEFAULT_STREAMS_PER_CONNECTION: u32 = 100;
/// Default time-out in seconds for the establishment of a connection to an upstream.
const DEFAULT_CONNECT_TIMEOUT_S: f64 = 0.25;

/// The complete settings object of one balancer.
#[derive(Deserialize)]
pub struct Setup {
    #[serde(rename = "balancers")]
    pub replicas: u32,
    #[serde(rename = "me")]
    pub index: u32,
    #[serde(default)]
    pub tier: usize,
    pub zone: String,
    pub zones: Vec<String>,
    #[serde(rename = "kinds", default)]
    pub machine_kinds: Vec<String>,
    #[serde(rename = "lanes")]
    pub classes: Vec<Lane>,
    #[serde(rename = "projects", default)]
    pub tenants: Vec<Project>,
    #[serde(rename = "overShareWorth", default = "default_over_quota_weight")]
    pub over_quota_weight: f64,
    pub discovery: Discovery,
    #[serde(rename = "familyInfo", default)]
    pub family: FamilyInfo,
    #[serde(rename = "caps")]
    pub capabilities: Caps,
    pub rules: RuleFigures,
    #[serde(default)]
    pub prices: PriceFigures,
    #[serde(rename = "loadInfo", default)]
    pub load_reports: LoadInfo,
}

/// A class of requests, with its latency objective, deadline and idempotency.
#[derive(Deserialize)]
pub struct Lane {
    pub name: String,
    #[serde(rename = "onTimeS")]
    pub latency_objective_s: f64,
    #[serde(rename = "hardLimitS")]
    pub deadline_s: f64,
    /// Priority weight of a response after the latency objective but before the deadline.
    #[serde(rename = "lateWorth", default)]
    pub late_weight: f64,
    pub effect: EffectName,
    /// Name of the group of upstreams that discards repeats of a request. The conversion refuses an unknown
    /// name, and only for a class whose effect is `deduplicated`.
    #[serde(rename = "dedupScope", default)]
    pub dedup_scope: Option<String>,
    #[serde(rename = "windowS", default)]
    pub dedup_window_s: Option<f64>,
}

/// Effect of running a request of a class more than once.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EffectName {
    Idempotent,
    Deduplicated,
    AtMostOnce,
}

/// How a balancer receives the endpoint list.
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Discovery {
    Automatic,
    Subscribe,
}

/// A tenant with its optional quota.
#[derive(Deserialize)]
pub struct Project {
    pub name: String,
    #[serde(rename = "quotaPerS", default)]
    pub quota_per_s: Option<f64>,
}

/// Information that calls from one tier to the next carry.
#[derive(Deserialize, Default)]
#[serde(default)]
pub struct FamilyInfo {
    #[serde(rename = "passesDeadline")]
    pub propagates_deadline: bool,
}

/// Capabilities that the site grants to a balancer, with their limits.
#[derive(Deserialize)]
#[allow(clippy::struct_excessive_bools, reason = "each is an independent key of the JSON")]
pub struct Caps {
    #[serde(rename = "tryLimit")]
    pub max_attempts: u32,
    #[serde(rename = "secondCopies", default)]
    pub hedging: bool,
    #[serde(rename = "cancel", default)]
    pub cancellation: bool,
    #[serde(rename = "mayProbe", default)]
    pub health_checks: bool,
    #[serde(rename = "mayTell", default)]
    pub gossip: bool,
    #[serde(rename = "retryAfter", default)]
    pub retry_after: bool,
    #[serde(rename = "maxRetryAfterS", default)]
    pub max_retry_after_s: f64,
    #[serde(rename = "keepaliveS", default = "default_keepalive_s")]
    pub keepalive_s: f64,
    #[serde(rename = "multiplex", default = "default_streams_per_connection")]
    pub streams_per_connection: u32,
    #[serde(rename = "dialTimeoutS", default = "default_connect_timeout_s")]
    pub connect_timeout_s: f64,
}

/// Parameters of the rules by which a balancer is evaluated.
#[derive(Deserialize)]
pub struct RuleFigures {
    #[serde(rename = "answerSlackS", default)]
    pub answer_slack_s: f64,
    #[serde(rename = "drainGraceS", default)]
    pub drain_grace_s: f64,
    #[serde(rename = "askWithinS", default)]
    pub poll_within_s: Option<f64>,
    #[serde(rename = "coldShare")]
    pub slow_start_fraction: f64,
    #[serde(rename = "coldS")]
    pub slow_start_s: f64,
    #[serde(rename = "fallMultiple")]
    pub overload_multiple: f64,
    #[serde(rename = "overloadForS")]
    pub overload_window_s: f64,
}

/// Costs of balancing decisions, in units of one request of full priority weight.
#[derive(Deserialize, Default)]
#[serde(default)]
pub struct PriceFigures {
    /// Cost of an attempt that is sent to another zone, in units of one request of full priority weight.
    #[serde(rename = "crossZone")]
    pub cross_zone: f64,
    /// Cost of wasting the work of one request, in units of one request of full priority weight.
    #[serde(rename = "waste")]
    pub wasted_work: f64,
    /// Cost of a request that ends without being served after its latency objective, in units of one request of full
    /// priority weight.
    #[serde(rename = "lateFail")]
    pub late_failure: f64,
    /// Cost of opening a connection to an upstream, in units of one request of full priority weight.
    pub handshake: f64,
    /// Cost of a health check, in units of one request of full priority weight.
    #[serde(rename = "probe")]
    pub health_check: f64,
}

/// Names of the values in the load reports of upstreams, in their order.
#[derive(Deserialize, Default)]
#[serde(default)]
pub struct LoadInfo {
    pub fields: Vec<String>,
}

fn default_over_quota_weight() -> f64 {
    DEFAULT_OVER_QUOTA_WEIGHT
}

fn default_keepalive_s() -> f64 {
    DEFAULT_KEEPALIVE_S
}

fn default_streams_per_connection() -> u32 {
    DEFAULT_STREAMS_PER_CONNECTION
}

fn default_connect_timeout_s() -> f64 {
    DEFAULT_CONNECT_TIMEOUT_S
}
