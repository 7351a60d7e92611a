//! The settings in force: a process's own, and over them the documents, the narrower last.

use serde_json::{Map, Value};
use thiserror::Error;

use crate::document::{Document, Scope};

/// The parts of the settings that a document may say something about; all else belongs to the process's own file.
pub const ALLOWED: [&str; 7] =
    ["lanes", "projects", "overShareWorth", "caps", "rules", "prices", "balancers"];

/// What is wrong with the form of a document's body.
#[derive(Debug, Error)]
pub enum PartFault {
    /// It is no JSON.
    #[error("{scope}: {error}")]
    Json {
        /// Of which document.
        scope: Scope,
        /// Where and why.
        error: serde_json::Error,
    },
    /// It is JSON, and no object.
    #[error("{scope}: expected an object")]
    NoObject {
        /// Of which document.
        scope: Scope,
    },
    /// A key beside `settings`.
    #[error("{scope}: {key}: expected nothing but settings")]
    UnknownKey {
        /// Of which document.
        scope: Scope,
        /// The key.
        key: String,
    },
    /// A part of the settings that belongs to the process's own file.
    #[error("{scope}: settings.{key}: a document may only hold {}", ALLOWED.join(", "))]
    NotAllowed {
        /// Of which document.
        scope: Scope,
        /// The part.
        key: String,
    },
    /// `settings` is no object.
    #[error("{scope}: settings: expected an object")]
    SettingsNoObject {
        /// Of which document.
        scope: Scope,
    },
    /// There is no `settings`.
    #[error("{scope}: settings: missing")]
    NoSettings {
        /// Of which document.
        scope: Scope,
    },
}

/// The settings that a document's body holds, `{"settings": {...}}`.
///
/// # Errors
/// Every fault of the body's form, with the scope and the path.
pub fn part(scope: &Scope, body: &str) -> Result<Map<String, Value>, Vec<PartFault>> {
    let scope = || scope.clone();
    let mut body = match serde_json::from_str(body) {
        Ok(Value::Object(body)) => body,
        Ok(_) => return Err(vec![PartFault::NoObject { scope: scope() }]),
        Err(error) => return Err(vec![PartFault::Json { scope: scope(), error }]),
    };
    let settings = body.remove("settings");
    let mut faults: Vec<PartFault> =
        body.into_iter().map(|(key, _)| PartFault::UnknownKey { scope: scope(), key }).collect();
    match settings {
        Some(Value::Object(settings)) => {
            let strange = settings.keys().filter(|key| !ALLOWED.contains(&key.as_str()));
            faults.extend(strange.map(|key| PartFault::NotAllowed { scope: scope(), key: key.clone() }));
            if faults.is_empty() {
                return Ok(settings);
            }
        }
        Some(_) => faults.push(PartFault::SettingsNoObject { scope: scope() }),
        None => faults.push(PartFault::NoSettings { scope: scope() }),
    }
    Err(faults)
}

/// The settings that a process's own and its documents make: JSON merge patch (RFC 7396), in the order given, which is
/// fleet, region, service. Whether the whole makes sense is for the reader of settings to check.
///
/// # Errors
/// Every fault of every document's form, with its scope and path.
pub fn effective(own_settings: &Value, documents: [Option<&Document>; 3]) -> Result<Value, Vec<String>> {
    let mut settings = own_settings.clone();
    let mut faults = Vec::new();
    for document in documents.into_iter().flatten().filter(|document| !document.is_withdrawn()) {
        match part(&document.scope, &document.body) {
            Ok(part) => merge(&mut settings, Value::Object(part)),
            Err(more) => faults.extend(more.iter().map(PartFault::to_string)),
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
