//! Every key that the settings have, and what may stand there.
//!
//! Bounds are at least as strict as those of the policy's own validation: a document that passes here must
//! not be refused by a balancer later.

use super::field::ValueKind::{
    Bool, Integer, NamedObjects, NonEmptyString, Number, Object, OneOf, PositiveNumber, StringList,
};
use super::field::{Field, ValueKind, nullable, optional, required};

/// Keys that a check of several values together reads.
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

/// The effect whose repeats a group of upstreams discards, so that the group must be named.
pub const EFFECT_DEDUPLICATED: &str = "deduplicated";

/// Classes: each costs memory until the process ends, and time in every sweep.
const MAX_CLASSES: usize = 1000;
/// Tenants, for the same reason; there is a tenant for each customer.
const MAX_TENANTS: usize = 10_000;
/// Some thirty years: clocks go no further than some hundreds.
const MAX_DURATION_S: f64 = 1e9;
/// Where there must be some time: less would be none in the clocks' nanoseconds.
const MIN_POSITIVE_DURATION_S: f64 = 1e-6;
/// Requests a second; the policy's bound.
const MAX_QUOTA_PER_S: f64 = 1e12;
/// In requests of full weight; the policy's bound.
const MAX_PRICE: f64 = 1e6;
/// The policy's bound.
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

/// What a distributed document may hold.
pub const SHARED_FIELDS: &[Field] = &[
    required("lanes", NamedObjects { fields: CLASS_FIELDS, count: 1..=MAX_CLASSES }),
    optional("projects", NamedObjects { fields: TENANT_FIELDS, count: 0..=MAX_TENANTS }),
    optional("overShareWorth", FRACTION),
    required("caps", Object(CAPS_FIELDS)),
    required("rules", Object(RULES_FIELDS)),
    optional("prices", Object(PRICES_FIELDS)),
    required("balancers", Integer { min: 1 }),
];

/// What is each balancer's own.
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
