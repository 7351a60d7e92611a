//! Checks settings before they are applied: every fault at once, each with its path and what was expected
//! there.
//!
//! Reading stops at the first fault, and settings that are changed while a balancer runs must not be found
//! wrong half way. The check walks the JSON beside a table of all keys ([`fields`]) and gathers what does not
//! fit; what values say together (an objective within its deadline, a zone among the zones) has a function
//! each. Whoever adds a key adds it to the table and to `schema.rs`.

mod field;
mod fields;

use std::collections::BTreeSet;

use serde_json::{Map, Value};

use self::field::{Field, Presence, ValueKind};
use self::fields::{EFFECT_DEDUPLICATED, PER_BALANCER_FIELDS, SHARED_FIELDS, key};
use crate::fault::{Fault, Faults, Found, excerpt};

/// The path of the settings object itself.
const ROOT: &str = "settings";

/// Checks a whole settings object; keys that it does not know are passed over. Gives every fault, with its
/// path.
///
/// # Errors
/// Whatever is wrong, all at once.
pub fn check(settings: &Value) -> Result<(), Faults> {
    let mut checker = Checker::new(CheckScope::Full);
    if let Some(object) = checker.object(ROOT, settings) {
        checker.fields(ROOT, object, SHARED_FIELDS, Completeness::Complete);
        checker.fields(ROOT, object, PER_BALANCER_FIELDS, Completeness::Complete);
        checker.zone(object);
    }
    checker.faults.into_result()
}

/// Checks the part of the settings that a distributed document holds, before it is merged into a balancer's
/// own: a key may be absent, and null takes an optional one away. Gives every fault, with its path; a key
/// that is not known, or that belongs to each balancer's own place, is one.
///
/// # Errors
/// Whatever is wrong, all at once.
pub fn check_part(settings: &Value) -> Result<(), Faults> {
    let mut checker = Checker::new(CheckScope::Document);
    if let Some(object) = checker.object(ROOT, settings) {
        checker.fields(ROOT, object, SHARED_FIELDS, Completeness::Partial);
    }
    checker.faults.into_result()
}

/// What is checked.
#[derive(Clone, Copy, PartialEq, Eq)]
enum CheckScope {
    /// All settings of a balancer.
    Full,
    /// The part that a document holds.
    Document,
}

/// How much of an object is there.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Completeness {
    /// All of it.
    Complete,
    /// What changes in another that it is merged into: any key may be absent.
    Partial,
}

/// A walk over settings that gathers faults.
struct Checker {
    scope: CheckScope,
    faults: Faults,
}

impl Checker {
    fn new(scope: CheckScope) -> Self {
        Self { scope, faults: Faults::empty() }
    }

    fn fault(&mut self, path: &str, expected: &str, found: Option<&Value>) {
        self.faults.add(|| Fault {
            path: path.to_owned(),
            expected: expected.to_owned(),
            found: found.map_or(Found::Missing, |found| Found::Value(excerpt(&found.to_string()))),
        });
    }

    fn unknown_key(&mut self, path: &str, key: &str, fields: &[Field]) {
        self.faults.add(|| {
            let known: Vec<_> = fields.iter().map(|field| field.key).collect();
            Fault {
                path: format!("{path}.{}", excerpt(key)),
                expected: format!("one of {}", known.join(", ")),
                found: Found::UnknownKey,
            }
        });
    }

    fn object<'a>(&mut self, path: &str, value: &'a Value) -> Option<&'a Map<String, Value>> {
        let object = value.as_object();
        if object.is_none() {
            self.fault(path, &ValueKind::Object(&[]).expected(), Some(value));
        }
        object
    }

    fn fields(
        &mut self,
        path: &str,
        object: &Map<String, Value>,
        fields: &[Field],
        completeness: Completeness,
    ) {
        for field in fields {
            self.field(path, object, field, completeness);
        }
        if self.scope == CheckScope::Document {
            for key in object.keys().filter(|key| fields.iter().all(|field| field.key != *key)) {
                self.unknown_key(path, key, fields);
            }
        }
    }

    fn field(&mut self, path: &str, object: &Map<String, Value>, field: &Field, completeness: Completeness) {
        let path = format!("{path}.{}", field.key);
        let partial = completeness == Completeness::Partial;
        match (object.get(field.key), field.presence) {
            (None, Presence::Required) if !partial => self.fault(&path, &field.kind.expected(), None),
            (None, _) | (Some(Value::Null), Presence::Nullable) => {}
            (Some(Value::Null), Presence::Optional) if partial => {}
            (Some(value), _) => self.value(&path, value, &field.kind),
        }
    }

    fn value(&mut self, path: &str, value: &Value, kind: &ValueKind) {
        let valid = match kind {
            ValueKind::Bool => value.is_boolean(),
            ValueKind::Integer { min } => is_integer(value, *min),
            ValueKind::Number(range) => value.as_f64().is_some_and(|number| range.contains(&number)),
            ValueKind::PositiveNumber { max } => {
                value.as_f64().is_some_and(|number| (f64::MIN_POSITIVE..=*max).contains(&number))
            }
            ValueKind::OneOf(words) => value.as_str().is_some_and(|word| words.contains(&word)),
            ValueKind::NonEmptyString => value.as_str().is_some_and(|text| !text.is_empty()),
            ValueKind::StringList => value.as_array().is_some_and(|texts| texts.iter().all(Value::is_string)),
            ValueKind::Object(fields) => return self.section(path, value, fields),
            ValueKind::NamedObjects { fields, count } => {
                let list = value.as_array().filter(|list| count.contains(&list.len()));
                if let Some(list) = list {
                    self.named_objects(path, list, fields);
                }
                list.is_some()
            }
        };
        if !valid {
            self.fault(path, &kind.expected(), Some(value));
        }
    }

    /// Checks an object within the settings, which a document's is merged into.
    fn section(&mut self, path: &str, value: &Value, fields: &[Field]) {
        let completeness = match self.scope {
            CheckScope::Full => Completeness::Complete,
            CheckScope::Document => Completeness::Partial,
        };
        if let Some(object) = self.object(path, value) {
            self.fields(path, object, fields, completeness);
        }
    }

    /// Checks a list of objects with names. A list takes the place of another whole, so that each is
    /// complete.
    fn named_objects(&mut self, path: &str, list: &[Value], fields: &[Field]) {
        let mut names = BTreeSet::new();
        for (position, value) in list.iter().enumerate() {
            let path = format!("{path}[{position}]");
            let Some(object) = self.object(&path, value) else { continue };
            self.fields(&path, object, fields, Completeness::Complete);
            if let Some(name) = object.get(key::NAME).and_then(Value::as_str)
                && !names.insert(name)
            {
                self.fault(&format!("{path}.{}", key::NAME), "a name of its own", object.get(key::NAME));
            }
            self.check_class_durations(&path, object);
            self.check_class_dedup_scope(&path, object);
            if self.scope == CheckScope::Document {
                self.check_tenant_quota(&path, object);
            }
        }
    }

    /// A class's latency objective lies within its deadline.
    fn check_class_durations(&mut self, path: &str, class: &Map<String, Value>) {
        let seconds = |key: &str| class.get(key).and_then(Value::as_f64);
        if let (Some(latency_objective), Some(deadline)) =
            (seconds(key::LATENCY_OBJECTIVE), seconds(key::DEADLINE))
            && latency_objective > deadline
        {
            let path = format!("{path}.{}", key::LATENCY_OBJECTIVE);
            let expected = format!("no more than {}, {deadline}", key::DEADLINE);
            self.fault(&path, &expected, class.get(key::LATENCY_OBJECTIVE));
        }
    }

    /// A class whose repeats are discarded names the group that does.
    fn check_class_dedup_scope(&mut self, path: &str, class: &Map<String, Value>) {
        let deduplicated = class.get(key::EFFECT).and_then(Value::as_str) == Some(EFFECT_DEDUPLICATED);
        let scope = class.get(key::DEDUP_SCOPE).filter(|scope| !scope.is_null());
        if deduplicated && scope.is_none() {
            let path = format!("{path}.{}", key::DEDUP_SCOPE);
            self.fault(&path, "all, zone or cell where repeats are dropped", None);
        }
    }

    /// A quota of 0 would count as none at all, which lifts the limit.
    fn check_tenant_quota(&mut self, path: &str, tenant: &Map<String, Value>) {
        let quota = tenant.get(key::QUOTA);
        if quota.and_then(Value::as_f64) == Some(0.0) {
            let path = format!("{path}.{}", key::QUOTA);
            self.fault(&path, "a number above 0, or null for no quota", quota);
        }
    }

    /// The balancer's zone is one of the zones.
    fn zone(&mut self, settings: &Map<String, Value>) {
        if let (Some(zone), Some(Value::Array(zones))) = (settings.get(key::ZONE), settings.get(key::ZONES))
            && !zones.contains(zone)
        {
            let path = format!("{ROOT}.{}", key::ZONE);
            self.fault(&path, &format!("one of {ROOT}.{}", key::ZONES), Some(zone));
        }
    }
}

fn is_integer(value: &Value, min: u32) -> bool {
    let range = u64::from(min)..=u64::from(u32::MAX);
    value.as_u64().is_some_and(|number| range.contains(&number))
}
