//! The settings object as JSON has it: keys, types and defaults.
//!
//! Keys are given by the platform and older than the terms that the code uses.
//!
//! Types are named for the sections of the JSON, since the errors of reading name them ("expected struct
//! Lane"); fields have the names of the field, with the key of the JSON beside each.

use serde::Deserialize;

/// Priority weight beyond a tenant's quota where none is given: the quota then makes no difference.
const DEFAULT_OVER_QUOTA_WEIGHT: f64 = 1.0;
/// Seconds after which an idle connection is closed where none are given.
const DEFAULT_KEEPALIVE_S: f64 = 15.0;
/// Attempts on one connection at a time where no number is given.
const DEFAULT_STREAMS_PER_CONNECTION: u32 = 100;
/// Seconds for a connection to come up where none are given.
const DEFAULT_CONNECT_TIMEOUT_S: f64 = 0.25;

/// The whole object.
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
    pub rules: RuleSettings,
    #[serde(default)]
    pub prices: PriceSettings,
    #[serde(rename = "loadInfo", default)]
    pub load_reports: LoadInfo,
}

/// A class of requests.
#[derive(Deserialize)]
pub struct Lane {
    pub name: String,
    #[serde(rename = "onTimeS")]
    pub latency_objective_s: f64,
    #[serde(rename = "hardLimitS")]
    pub deadline_s: f64,
    /// Priority weight of an answer after the latency objective.
    #[serde(rename = "lateWorth", default)]
    pub late_weight: f64,
    pub effect: EffectName,
    /// The group that discards repeats; an unknown name is refused by the conversion, and only where it
    /// matters.
    #[serde(rename = "dedupScope", default)]
    pub dedup_scope: Option<String>,
    #[serde(rename = "windowS", default)]
    pub dedup_window_s: Option<f64>,
}

/// What a repeat of a request does.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EffectName {
    Idempotent,
    Deduplicated,
    AtMostOnce,
}

/// How the endpoint list is had.
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Discovery {
    Automatic,
    Subscribe,
}

/// A tenant.
#[derive(Deserialize)]
pub struct Project {
    pub name: String,
    #[serde(rename = "quotaPerS", default)]
    pub quota_per_s: Option<f64>,
}

/// What calls from tier to tier carry.
#[derive(Deserialize, Default)]
#[serde(default)]
pub struct FamilyInfo {
    #[serde(rename = "passesDeadline")]
    pub propagates_deadline: bool,
}

/// What the site allows.
#[derive(Deserialize)]
#[allow(clippy::struct_excessive_bools, reason = "each is a key of the JSON that stands for itself")]
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

/// Figures of the rules that a balancer is measured by.
#[derive(Deserialize)]
pub struct RuleSettings {
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

/// Costs of choices, in requests of full priority weight.
#[derive(Deserialize, Default)]
#[serde(default)]
pub struct PriceSettings {
    #[serde(rename = "crossZone")]
    pub cross_zone: f64,
    #[serde(rename = "waste")]
    pub wasted_work: f64,
    #[serde(rename = "lateFail")]
    pub late_failure: f64,
    pub handshake: f64,
    #[serde(rename = "probe")]
    pub health_check: f64,
}

/// What load reports hold.
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
