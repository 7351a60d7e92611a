//! Checks settings before they are taken over: every fault at once, each with its path and what was expected there.

mod field;
mod fields;

use std::collections::BTreeSet;

use serde_json::{Map, Value};

use field::Form::{Count, Flag, Named, Number, Object, Text, Texts, Word};
use field::{Field, Form, Need};
use fields::{PART, PLACE};

use crate::fault::{Fault, Faults, Found, excerpt};

/// Checks a whole settings object; keys that it does not know are passed over. Gives every fault, with its path.
///
/// # Errors
/// Whatever is wrong, all at once.
pub fn check(settings: &Value) -> Result<(), Faults> {
    let mut walk = Walk { part: false, faults: Faults::none() };
    if let Some(object) = walk.object("settings", settings) {
        walk.fields("settings", object, PART, false);
        walk.fields("settings", object, PLACE, false);
        if let (Some(zone), Some(Value::Array(zones))) = (object.get("zone"), object.get("zones"))
            && !zones.contains(zone)
        {
            walk.fault("settings.zone", "one of settings.zones", Some(zone));
        }
    }
    walk.faults.into_result()
}

/// Checks the part of the settings that a document holds, as far as it stands: a key may be absent, and null takes an
/// optional one away. Gives every fault, with its path; a key that is not known is one.
///
/// # Errors
/// Whatever is wrong, all at once.
pub fn check_part(settings: &Value) -> Result<(), Faults> {
    let mut walk = Walk { part: true, faults: Faults::none() };
    if let Some(object) = walk.object("settings", settings) {
        walk.fields("settings", object, PART, true);
    }
    walk.faults.into_result()
}

struct Walk {
    /// Of a document.
    part: bool,
    faults: Faults,
}

impl Walk {
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
                None if need == Need::Must && !merged => self.fault(&path, &form.expected(), None),
                None => {}
                Some(Value::Null) if need == Need::Null || (merged && need == Need::May) => {}
                Some(value) => self.value(&path, value, form),
            }
        }
        if self.part {
            for key in object.keys().filter(|key| fields.iter().all(|field| field.key != *key)) {
                self.unknown_key(path, key, fields);
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
            self.fault(path, &form.expected(), Some(value));
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
