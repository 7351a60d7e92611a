//! The settings in force: a process's own, and over them the documents, the narrower last.

use serde_json::{Map, Value};

use crate::document::{Document, Scope};
use crate::fault::{FormFault, FormFaultKind};

/// The parts of the settings that a document may say something about; all else belongs to the process's own file.
pub const ALLOWED: [&str; 7] =
    ["lanes", "projects", "overShareWorth", "caps", "rules", "prices", "balancers"];

/// The settings that a document's body holds, `{"settings": {...}}`.
///
/// # Errors
/// Every fault of the body's form, with the scope and the path.
pub fn part(scope: &Scope, body: &str) -> Result<Map<String, Value>, Vec<FormFault>> {
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
            let strange = settings.keys().filter(|key| !ALLOWED.contains(&key.as_str()));
            faults.extend(strange.map(|key| fault(FormFaultKind::NotAllowed { key: key.clone() })));
            if faults.is_empty() {
                return Ok(settings);
            }
        }
        Some(_) => faults.push(fault(FormFaultKind::SettingsNotAnObject)),
        None => faults.push(fault(FormFaultKind::NoSettings)),
    }
    Err(faults)
}

/// The settings that a process's own and its documents make: JSON merge patch (RFC 7396), in the order given, which is
/// fleet, region, service. Whether the whole makes sense is for the reader of settings to check.
///
/// # Errors
/// Every fault of every document's form, with its scope and path.
pub fn effective(own_settings: &Value, documents: [Option<&Document>; 3]) -> Result<Value, Vec<FormFault>> {
    let mut settings = own_settings.clone();
    let mut faults = Vec::new();
    for document in documents.into_iter().flatten().filter(|document| !document.is_withdrawn()) {
        match part(&document.scope, &document.body) {
            Ok(part) => merge(&mut settings, Value::Object(part)),
            Err(more) => faults.extend(more),
        }
    }
    if faults.is_empty() { Ok(settings) } else { Err(faults) }
}

/// JSON merge patch, RFC 7396, section 2.
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
