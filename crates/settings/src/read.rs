//! Reads settings for a host: the settings of the policy, and the names that belong to the indexes in them.
//!
//! The policy identifies classes, tenants, zones and machine kinds by index only; a host needs their names to
//! interpret what it reads from the wire.

use std::time::Duration;

use balancer_policy::Settings;
use rustc_hash::FxHashMap;
use thiserror::Error;

use crate::convert;
use crate::schema::Setup;

/// Error that prevents a settings object from being read. Hosts send the texts to their parents in reports, so the
/// texts are part of the protocol.
#[derive(Debug, Error)]
pub enum ReadSettingsError {
    /// The text is not valid JSON, a required key is missing, or a value has the wrong type.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// A value has the right type but is not valid for its key.
    #[error("{name} makes no sense: {value:?}")]
    Value {
        /// Key of the invalid value, prefixed with its section where that is needed to locate it.
        name: &'static str,
        /// The invalid value, formatted as text.
        value: String,
    },
}

/// Names in the settings, mapped to their indexes in [`Settings`].
///
/// If two entries have the same name, the later one is used; [`check`](crate::check) refuses duplicate names of
/// classes and tenants.
#[derive(Debug)]
pub struct NameIndexes {
    /// Indexes of the request classes by name (`lanes`).
    pub classes: FxHashMap<String, usize>,
    /// Indexes of the tenants by name (`projects`).
    pub tenants: FxHashMap<String, usize>,
    /// Indexes of the zones by name (`zones`).
    pub zones: FxHashMap<String, usize>,
    /// Indexes of the machine kinds by name (`kinds`).
    pub machine_kinds: FxHashMap<String, usize>,
    /// Names of the values in a load report, in the order in which reports list them (`loadInfo.fields`).
    pub load_fields: Vec<String>,
}

/// Settings after conversion, as a host uses them.
#[derive(Debug)]
pub struct LoadedSettings {
    /// Settings for the policy. They are not validated yet; `Balancer::new` validates them.
    pub settings: Settings,
    /// Names of the classes, tenants, zones and machine kinds that `settings` refers to by index.
    pub names: NameIndexes,
    /// Time-out for the establishment of a connection (`caps.dialTimeoutS`). Only hosts with real sockets use
    /// it; the policy does not.
    pub connect_timeout: Duration,
}

/// Reads a settings object. Unknown keys are ignored, because the platform may add keys.
///
/// # Errors
/// Returns the first fault found: the text is not JSON of the expected form, or a value is invalid. To get all
/// faults, use [`check`](crate::check).
pub fn read(json: &str) -> Result<LoadedSettings, ReadSettingsError> {
    let setup: Setup = serde_json::from_str(json)?;
    convert::into_loaded(setup)
}
