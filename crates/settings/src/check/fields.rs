//! Every key that the settings have, and what may stand there.

use super::field::Form::{Count, Flag, Named, Number, Object, Text, Texts, Word};
use super::field::{Field, Form, may, must, null};

/// Classes at most, and tenants: each costs memory for life, and time in every sweep.
const LANES_MOST: usize = 1000;
const PROJECTS_MOST: usize = 10_000;
/// Seconds at most, some thirty years: clocks go no further than some hundreds.
const SECONDS_MOST: f64 = 1e9;
/// Seconds at least where there must be some: less would be none in the clocks' nanoseconds.
const SECONDS_LEAST: f64 = 1e-6;

const SPAN: Form = Number(0.0, SECONDS_MOST);
const SOME_TIME: Form = Number(SECONDS_LEAST, SECONDS_MOST);
const SHARE: Form = Number(0.0, 1.0);
const PRICE: Form = Number(0.0, 1e6);

const LANE: &[Field] = &[
    must("name", Text),
    must("onTimeS", SOME_TIME),
    must("hardLimitS", SOME_TIME),
    may("lateWorth", SHARE),
    must("effect", Word(&["idempotent", "deduplicated", "at_most_once"])),
    null("dedupScope", Word(&["all", "zone", "cell"])),
    null("windowS", SPAN),
];

const PROJECT: &[Field] = &[must("name", Text), null("quotaPerS", Number(0.0, 1e12))];

const CAPS: &[Field] = &[
    must("tryLimit", Count(1)),
    may("secondCopies", Flag),
    may("cancel", Flag),
    may("mayProbe", Flag),
    may("mayTell", Flag),
    may("retryAfter", Flag),
    may("maxRetryAfterS", SPAN),
    may("keepaliveS", SOME_TIME),
    may("multiplex", Count(1)),
    may("dialTimeoutS", SOME_TIME),
];

const RULES: &[Field] = &[
    may("answerSlackS", SPAN),
    may("drainGraceS", SPAN),
    null("askWithinS", SPAN),
    must("coldShare", Number(f64::MIN_POSITIVE, 1.0)),
    must("coldS", SPAN),
    must("fallMultiple", Number(f64::MIN_POSITIVE, 1e6)),
    must("overloadForS", SPAN),
];

const PRICES: &[Field] = &[
    may("crossZone", PRICE),
    may("waste", PRICE),
    may("lateFail", PRICE),
    may("handshake", PRICE),
    may("probe", PRICE),
];

/// What a document may hold.
pub const PART: &[Field] = &[
    must("lanes", Named(LANE, 1, LANES_MOST)),
    may("projects", Named(PROJECT, 0, PROJECTS_MOST)),
    may("overShareWorth", SHARE),
    must("caps", Object(CAPS)),
    must("rules", Object(RULES)),
    may("prices", Object(PRICES)),
    must("balancers", Count(1)),
];

/// What belongs to a balancer's own place.
pub const PLACE: &[Field] = &[
    must("me", Count(0)),
    may("tier", Count(0)),
    must("zone", Text),
    must("zones", Texts),
    may("kinds", Texts),
    must("discovery", Word(&["automatic", "subscribe"])),
    may("familyInfo", Object(&[may("passesDeadline", Flag)])),
    may("loadInfo", Object(&[may("fields", Texts)])),
];
