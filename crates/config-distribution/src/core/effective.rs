//! Computes the settings in force: a process's own settings, overridden by the documents from the widest scope to the
//! narrowest.

use serde_json::{Map, Value};

use crate::document::{Document, Scope};
use crate::fault::{FormFault, FormFaultKind};

/// Top-level settings keys that a document may contain; all other keys may only be set in the process's own file.
pub const ALLOWED_KEYS: [&str; 7] =
    ["lanes", "projects", "overShareWorth", "caps", "rules", "prices", "balancers"];

/// Extracts the settings from a document's body, which has the form `{"settings": {...}}`.
///
/// # Errors
/// All faults in the form of the body, with the scope and the path of each.
pub fn parse_settings(scope: &Scope, body: &str) -> Result<Map<String, Value>, Vec<FormFault>> {
    let fault = |kind| FormFault { scope: scope.clone(), kind };
    let mut body = match serde_json::from_str(body) {
        Ok(Value::Object(body)) => body,
        Ok(_) => return Err(vec![fault(FormFaultKind::NotAnObject)]),
        Err(error) => return Err(vec![fault(FormFaultKind::Json(error.into()))]),
    };
    let settings = body.remove("settings");
    let mut faults: Vec<FormFault> =
        body.into_iter().map(|(key, _)| fault(FormFaultKind::UnknownKey { key })).collect();
    match settings {
        Some(Value::Object(settings)) => {
            let disallowed = settings.keys().filter(|key| !ALLOWED_KEYS.contains(&key.as_str()));
            faults.extend(disallowed.map(|key| fault(FormFaultKind::NotAllowed { key: key.clone() })));
            if faults.is_empty() {
                return Ok(settings);
            }
        }
        Some(_) => faults.push(fault(FormFaultKind::SettingsNotAnObject)),
        None => faults.push(fault(FormFaultKind::NoSettings)),
    }
    Err(faults)
}

/// Applies the documents to a process's own settings as JSON merge patches (RFC 7396), in the order given: fleet,
/// region, service. The result is not validated; the code that reads the settings does that.
///
/// # Errors
/// All faults in the form of all documents, with the scope and the path of each.
pub fn effective(own_settings: &Value, documents: [Option<&Document>; 3]) -> Result<Value, Vec<FormFault>> {
    let mut settings = own_settings.clone();
    let mut faults = Vec::new();
    for document in documents.into_iter().flatten().filter(|document| !document.is_withdrawn()) {
        match parse_settings(&document.scope, &document.body) {
            Ok(overrides) => merge(&mut settings, Value::Object(overrides)),
            Err(more) => faults.extend(more),
        }
    }
    if faults.is_empty() { Ok(settings) } else { Err(faults) }
}

/// Applies a JSON merge patch to `target` (RFC 7396, section 2).
fn merge(target: &mut Value, patch: Value) {
    let Value::Object(patch) = patch else {
        *target = patch;
        return;
    };
    if !target.is_object() {
        *target = Value::Object(Map::new());
    }
    let Value::Object(target) = target else { return };
    for (key, value) in patch {
        if value.is_null() {
            target.remove(&key);
        } else {
            merge(target.entry(key).or_insert(Value::Null), value);
        }
    }
}
