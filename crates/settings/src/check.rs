//! Checks settings before they are applied, and reports all faults together, each with its path and the
//! expected value.
//!
//! Deserialization stops at the first fault, but a report must name all of them. A balancer that changes its
//! settings at run time must also find a fault before it has applied part of the new settings. The check
//! compares the JSON with a table of all keys ([`fields`]) and collects the differences. Rules that involve
//! several values have a function each, for example that a latency objective is not longer than its deadline,
//! or that the zone is one of the zones. A new key must be added both to the table and to `schema.rs`.

mod field;
mod fields;

use std::collections::BTreeSet;

use serde_json::{Map, Value};

use self::field::{Field, Presence, ValueKind};
use self::fields::{EFFECT_DEDUPLICATED, PER_BALANCER_FIELDS, SHARED_FIELDS, key};
use crate::fault::{Fault, Faults, Found, excerpt};

/// Path of the settings object itself, with which all paths of faults begin.
const ROOT: &str = "settings";

/// Checks a complete settings object. Unknown keys are ignored.
///
/// # Errors
/// Returns all faults, each with its path.
pub fn check(settings: &Value) -> Result<(), Faults> {
    let mut checker = Checker::new(CheckScope::Full);
    if let Some(object) = checker.object(ROOT, settings) {
        checker.fields(ROOT, object, SHARED_FIELDS, Completeness::Complete);
        checker.fields(ROOT, object, PER_BALANCER_FIELDS, Completeness::Complete);
        checker.zone(object);
    }
    checker.faults.into_result()
}

/// Checks the partial settings of a distributed document, which are later merged into a balancer's own settings.
/// Any key may be absent, except in list elements, which must be complete. Null removes an optional key. An unknown
/// key, or one that is specific to each balancer, is a fault.
///
/// # Errors
/// Returns all faults, each with its path.
pub fn check_document(settings: &Value) -> Result<(), Faults> {
    let mut checker = Checker::new(CheckScope::Document);
    if let Some(object) = checker.object(ROOT, settings) {
        checker.fields(ROOT, object, SHARED_FIELDS, Completeness::Partial);
    }
    checker.faults.into_result()
}

/// Kind of settings object that is checked.
#[derive(Clone, Copy, PartialEq, Eq)]
enum CheckScope {
    /// The complete settings of a balancer.
    Full,
    /// The partial settings of a distributed document.
    Document,
}

/// Whether required keys of an object may be absent.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Completeness {
    /// All required keys must be present.
    Complete,
    /// Any key may be absent, because the object is merged into another one.
    Partial,
}

/// Walks over a settings object and collects its faults.
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

    /// Checks a value against its kind, and records a fault if it does not fit.
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

    /// Checks an object nested in the settings. In a document it may be partial, because it is merged into the
    /// object of the same key.
    fn section(&mut self, path: &str, value: &Value, fields: &[Field]) {
        let completeness = match self.scope {
            CheckScope::Full => Completeness::Complete,
            CheckScope::Document => Completeness::Partial,
        };
        if let Some(object) = self.object(path, value) {
            self.fields(path, object, fields, completeness);
        }
    }

    /// Checks a list of named objects. A merge replaces a list as a whole, so each object must be complete, also
    /// in a document.
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

    /// Checks that the latency objective of a class is not longer than its deadline.
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

    /// Checks that a class whose repeats are discarded names the group of upstreams that discards them.
    fn check_class_dedup_scope(&mut self, path: &str, class: &Map<String, Value>) {
        let deduplicated = class.get(key::EFFECT).and_then(Value::as_str) == Some(EFFECT_DEDUPLICATED);
        let scope = class.get(key::DEDUP_SCOPE).filter(|scope| !scope.is_null());
        if deduplicated && scope.is_none() {
            let path = format!("{path}.{}", key::DEDUP_SCOPE);
            self.fault(&path, "all, zone or cell where repeats are dropped", None);
        }
    }

    /// Checks that a tenant's quota is not 0. A quota of 0 would be treated as no quota, which removes the limit.
    fn check_tenant_quota(&mut self, path: &str, tenant: &Map<String, Value>) {
        let quota = tenant.get(key::QUOTA);
        if quota.and_then(Value::as_f64) == Some(0.0) {
            let path = format!("{path}.{}", key::QUOTA);
            self.fault(&path, "a number above 0, or null for no quota", quota);
        }
    }

    /// Checks that the balancer's zone is one of the configured zones.
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
