//! Checks settings before they are taken over: every fault at once, each with its path and what was expected there.

use std::collections::BTreeSet;

use serde_json::{Map, Value};

/// Faults told by name; of further ones only how many there are.
const FAULTS_MOST: usize = 100;
/// Classes at most, and tenants: each costs memory for life, and time in every sweep.
const LANES_MOST: usize = 1000;
const PROJECTS_MOST: usize = 10_000;
/// Seconds at most, some thirty years: clocks go no further than some hundreds.
const SECONDS_MOST: f64 = 1e9;
/// Seconds at least where there must be some: less would be none in the clocks' nanoseconds.
const SECONDS_LEAST: f64 = 1e-6;

/// What may stand at a key.
#[derive(Clone, Copy)]
enum Form {
    Flag,
    /// From this on.
    Count(u32),
    /// From the one up to the other.
    Number(f64, f64),
    /// One of these words.
    Word(&'static [&'static str]),
    /// Not empty.
    Text,
    Texts,
    Object(&'static [Field]),
    /// So many at least and at most, each with a name of its own.
    Named(&'static [Field], usize, usize),
}

use Form::{Count, Flag, Named, Number, Object, Text, Texts, Word};

#[derive(Clone, Copy)]
struct Field {
    key: &'static str,
    need: Need,
    form: Form,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Need {
    Must,
    May,
    /// It may also be null, which says that there is none.
    Null,
}

const fn must(key: &'static str, form: Form) -> Field {
    Field { key, need: Need::Must, form }
}

const fn may(key: &'static str, form: Form) -> Field {
    Field { key, need: Need::May, form }
}

const fn null(key: &'static str, form: Form) -> Field {
    Field { key, need: Need::Null, form }
}

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
const PART: &[Field] = &[
    must("lanes", Named(LANE, 1, LANES_MOST)),
    may("projects", Named(PROJECT, 0, PROJECTS_MOST)),
    may("overShareWorth", SHARE),
    must("caps", Object(CAPS)),
    must("rules", Object(RULES)),
    may("prices", Object(PRICES)),
    must("balancers", Count(1)),
];

/// What belongs to a balancer's own place.
const PLACE: &[Field] = &[
    must("me", Count(0)),
    may("tier", Count(0)),
    must("zone", Text),
    must("zones", Texts),
    may("kinds", Texts),
    must("discovery", Word(&["automatic", "subscribe"])),
    may("familyInfo", Object(&[may("passesDeadline", Flag)])),
    may("loadInfo", Object(&[may("fields", Texts)])),
];

/// Checks a whole settings object; keys that it does not know are passed over. Gives every fault, with its path.
#[must_use]
pub fn check(settings: &Value) -> Vec<String> {
    let mut walk = Walk { part: false, faults: Vec::new(), more: 0 };
    if let Some(object) = walk.object("settings", settings) {
        walk.fields("settings", object, PART, false);
        walk.fields("settings", object, PLACE, false);
        if let (Some(zone), Some(Value::Array(zones))) = (object.get("zone"), object.get("zones"))
            && !zones.contains(zone)
        {
            walk.fault("settings.zone", "one of settings.zones", Some(zone));
        }
    }
    walk.end()
}

/// Checks the part of the settings that a document holds, as far as it stands: a key may be absent, and null takes an
/// optional one away. Gives every fault, with its path; a key that is not known is one.
#[must_use]
pub fn check_part(settings: &Value) -> Vec<String> {
    let mut walk = Walk { part: true, faults: Vec::new(), more: 0 };
    if let Some(object) = walk.object("settings", settings) {
        walk.fields("settings", object, PART, true);
    }
    walk.end()
}

struct Walk {
    /// Of a document.
    part: bool,
    faults: Vec<String>,
    /// Faults beyond those told.
    more: usize,
}

impl Walk {
    fn tell(&mut self, fault: impl FnOnce() -> String) {
        if self.faults.len() < FAULTS_MOST {
            self.faults.push(fault());
        } else {
            self.more += 1;
        }
    }

    fn fault(&mut self, path: &str, expected: &str, found: Option<&Value>) {
        self.tell(|| match found {
            Some(found) => {
                let text: String = found.to_string().chars().take(60).collect();
                format!("{path}: expected {expected}, found {text}")
            }
            None => format!("{path}: missing, expected {expected}"),
        });
    }

    fn end(mut self) -> Vec<String> {
        if self.more > 0 {
            self.faults.push(format!("and {} more", self.more));
        }
        self.faults
    }

    fn object<'a>(&mut self, path: &str, value: &'a Value) -> Option<&'a Map<String, Value>> {
        if value.as_object().is_none() {
            self.fault(path, "an object", Some(value));
        }
        value.as_object()
    }

    /// Checks an object's fields; in one that is merged into another each may be absent.
    fn fields(&mut self, path: &str, object: &Map<String, Value>, fields: &[Field], merged: bool) {
        for &Field { key, need, form } in fields {
            let path = format!("{path}.{key}");
            match object.get(key) {
                None if need == Need::Must && !merged => self.fault(&path, &expected(form), None),
                None => {}
                Some(Value::Null) if need == Need::Null || (merged && need == Need::May) => {}
                Some(value) => self.value(&path, value, form),
            }
        }
        if self.part {
            for key in object.keys().filter(|key| fields.iter().all(|field| field.key != *key)) {
                let known: Vec<_> = fields.iter().map(|field| field.key).collect();
                let key: String = key.chars().take(60).collect();
                self.tell(|| format!("{path}.{key}: not known, expected one of {}", known.join(", ")));
            }
        }
    }

    fn value(&mut self, path: &str, value: &Value, form: Form) {
        let sound = match form {
            Flag => value.is_boolean(),
            Count(least) => {
                value.as_u64().is_some_and(|count| (u64::from(least)..=u64::from(u32::MAX)).contains(&count))
            }
            Number(least, most) => value.as_f64().is_some_and(|number| (least..=most).contains(&number)),
            Word(words) => value.as_str().is_some_and(|word| words.contains(&word)),
            Text => value.as_str().is_some_and(|text| !text.is_empty()),
            Texts => value.as_array().is_some_and(|texts| texts.iter().all(Value::is_string)),
            Object(fields) => {
                if let Some(object) = self.object(path, value) {
                    self.fields(path, object, fields, self.part);
                }
                true
            }
            Named(fields, least, most) => {
                let list = value.as_array().filter(|list| (least..=most).contains(&list.len()));
                if let Some(list) = list {
                    self.named(path, list, fields);
                }
                list.is_some()
            }
        };
        if !sound {
            self.fault(path, &expected(form), Some(value));
        }
    }

    /// Checks a list of objects with names. A list takes the place of another whole.
    fn named(&mut self, path: &str, list: &[Value], fields: &[Field]) {
        let mut names = BTreeSet::new();
        for (place, value) in list.iter().enumerate() {
            let path = format!("{path}[{place}]");
            let Some(object) = self.object(&path, value) else { continue };
            self.fields(&path, object, fields, false);
            if let Some(name) = object.get("name").and_then(Value::as_str)
                && !names.insert(name)
            {
                self.fault(&format!("{path}.name"), "a name of its own", object.get("name"));
            }
            self.lane(&path, object);
            if self.part && object.get("quotaPerS").and_then(Value::as_f64) == Some(0.0) {
                // It would be taken for none at all, which lifts the limit.
                self.fault(
                    &format!("{path}.quotaPerS"),
                    "a number above 0, or null for no quota",
                    object.get("quotaPerS"),
                );
            }
        }
    }

    /// Checks what a class's fields say together.
    fn lane(&mut self, path: &str, lane: &Map<String, Value>) {
        let seconds = |key: &str| lane.get(key).and_then(Value::as_f64);
        if let (Some(aim), Some(deadline)) = (seconds("onTimeS"), seconds("hardLimitS"))
            && aim > deadline
        {
            let expected = format!("no more than hardLimitS, {deadline}");
            self.fault(&format!("{path}.onTimeS"), &expected, lane.get("onTimeS"));
        }
        let scope = lane.get("dedupScope").filter(|scope| !scope.is_null());
        if lane.get("effect").and_then(Value::as_str) == Some("deduplicated") && scope.is_none() {
            self.fault(&format!("{path}.dedupScope"), "all, zone or cell where repeats are dropped", scope);
        }
    }
}

fn expected(form: Form) -> String {
    match form {
        Flag => "true or false".to_owned(),
        Count(least) => format!("a whole number from {least} to {}", u32::MAX),
        Number(least, most) if least == f64::MIN_POSITIVE => format!("a number above 0, up to {most}"),
        Number(least, most) => format!("a number from {least} to {most}"),
        Word(words) => format!("one of {}", words.join(", ")),
        Text => "a text that is not empty".to_owned(),
        Texts => "a list of texts".to_owned(),
        Object(_) => "an object".to_owned(),
        Named(_, least, most) => format!("a list of {least} to {most}"),
    }
}
