//! Table of all settings keys, with the values that are valid for each.
//!
//! Ranges are at least as strict as those of the policy's own validation, so that a document that passes this
//! check is never refused by a balancer later.

use super::field::ValueKind::{
    Bool, Integer, NamedObjects, NonEmptyString, Number, Object, OneOf, PositiveNumber, StringList,
};
use super::field::{Field, ValueKind, nullable, optional, required};

/// Names of the keys that checks across several values refer to.
pub mod key {
    pub const NAME: &str = "name";
    pub const LATENCY_OBJECTIVE: &str = "onTimeS";
    pub const DEADLINE: &str = "hardLimitS";
    pub const EFFECT: &str = "effect";
    pub const DEDUP_SCOPE: &str = "dedupScope";
    pub const QUOTA: &str = "quotaPerS";
    pub const ZONE: &str = "zone";
    pub const ZONES: &str = "zones";
}

/// Value of `effect` for a class whose repeats are discarded by a group of upstreams. Such a class must name the
/// group in `dedupScope`.
pub const EFFECT_DEDUPLICATED: &str = "deduplicated";

/// Maximum number of classes: each one takes memory until the process ends, and time in every maintenance pass.
const MAX_CLASSES: usize = 1000;
/// Maximum number of tenants, limited for the same reason as [`MAX_CLASSES`] but higher, since each customer is a
/// tenant.
const MAX_TENANTS: usize = 10_000;
/// Maximum duration of about thirty years, well below the few hundred years that clocks can represent.
const MAX_DURATION_S: f64 = 1e9;
/// Minimum for durations that must not be zero: the clocks count nanoseconds, and smaller values could round to 0.
const MIN_POSITIVE_DURATION_S: f64 = 1e-6;
/// Maximum quota in requests per second; the policy's validation has the same limit.
const MAX_QUOTA_PER_S: f64 = 1e12;
/// Maximum cost, in units of one request of full weight; the policy's validation has the same limit.
const MAX_PRICE: f64 = 1e6;
/// Maximum overload multiple; the policy's validation has the same limit.
const MAX_OVERLOAD_MULTIPLE: f64 = 1e6;

const DURATION_S: ValueKind = Number(0.0..=MAX_DURATION_S);
const POSITIVE_DURATION_S: ValueKind = Number(MIN_POSITIVE_DURATION_S..=MAX_DURATION_S);
const FRACTION: ValueKind = Number(0.0..=1.0);
const PRICE: ValueKind = Number(0.0..=MAX_PRICE);

const CLASS_FIELDS: &[Field] = &[
    required(key::NAME, NonEmptyString),
    required(key::LATENCY_OBJECTIVE, POSITIVE_DURATION_S),
    required(key::DEADLINE, POSITIVE_DURATION_S),
    optional("lateWorth", FRACTION),
    required(key::EFFECT, OneOf(&["idempotent", EFFECT_DEDUPLICATED, "at_most_once"])),
    nullable(key::DEDUP_SCOPE, OneOf(&["all", "zone", "cell"])),
    nullable("windowS", DURATION_S),
];

const TENANT_FIELDS: &[Field] =
    &[required(key::NAME, NonEmptyString), nullable(key::QUOTA, Number(0.0..=MAX_QUOTA_PER_S))];

const CAPS_FIELDS: &[Field] = &[
    required("tryLimit", Integer { min: 1 }),
    optional("secondCopies", Bool),
    optional("cancel", Bool),
    optional("mayProbe", Bool),
    optional("mayTell", Bool),
    optional("retryAfter", Bool),
    optional("maxRetryAfterS", DURATION_S),
    optional("keepaliveS", POSITIVE_DURATION_S),
    optional("multiplex", Integer { min: 1 }),
    optional("dialTimeoutS", POSITIVE_DURATION_S),
];

const RULES_FIELDS: &[Field] = &[
    optional("answerSlackS", DURATION_S),
    optional("drainGraceS", DURATION_S),
    nullable("askWithinS", DURATION_S),
    required("coldShare", PositiveNumber { max: 1.0 }),
    required("coldS", DURATION_S),
    required("fallMultiple", PositiveNumber { max: MAX_OVERLOAD_MULTIPLE }),
    required("overloadForS", DURATION_S),
];

const PRICES_FIELDS: &[Field] = &[
    optional("crossZone", PRICE),
    optional("waste", PRICE),
    optional("lateFail", PRICE),
    optional("handshake", PRICE),
    optional("probe", PRICE),
];

/// Settings that all balancers share; only these may be set in a distributed document.
pub const SHARED_FIELDS: &[Field] = &[
    required("lanes", NamedObjects { fields: CLASS_FIELDS, count: 1..=MAX_CLASSES }),
    optional("projects", NamedObjects { fields: TENANT_FIELDS, count: 0..=MAX_TENANTS }),
    optional("overShareWorth", FRACTION),
    required("caps", Object(CAPS_FIELDS)),
    required("rules", Object(RULES_FIELDS)),
    optional("prices", Object(PRICES_FIELDS)),
    required("balancers", Integer { min: 1 }),
];

/// Settings that are specific to each balancer and must not be set in a distributed document.
pub const PER_BALANCER_FIELDS: &[Field] = &[
    required("me", Integer { min: 0 }),
    optional("tier", Integer { min: 0 }),
    required(key::ZONE, NonEmptyString),
    required(key::ZONES, StringList),
    optional("kinds", StringList),
    required("discovery", OneOf(&["automatic", "subscribe"])),
    optional("familyInfo", Object(&[optional("passesDeadline", Bool)])),
    optional("loadInfo", Object(&[optional("fields", StringList)])),
];
