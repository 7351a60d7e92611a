//! What a host gets from the settings: the policy's settings, and the names behind the positions in them.
//!
//! The policy knows classes, tenants, zones and kinds of machine by position only; a host needs their names
//! for what it reads from the wire.

use std::time::Duration;

use balancer_policy::Settings;
use rustc_hash::FxHashMap;
use thiserror::Error;

use crate::convert;
use crate::schema::Setup;

/// Why the settings cannot be used.
#[derive(Debug, Error)]
pub enum SetupError {
    /// The text is not JSON, or a section lacks a key or has a value of another type.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// A value that has the right type and makes no sense.
    #[error("{name} makes no sense: {value:?}")]
    Value {
        /// Its key, with the section's before it where that is needed to find it.
        name: &'static str,
        /// The value as text.
        value: String,
    },
}

/// Names in the settings, with their positions in [`Settings`].
///
/// Of two entries with one name the later counts; [`check`](crate::check) refuses such classes and tenants.
#[derive(Debug)]
pub struct Names {
    /// Classes of requests (`lanes`).
    pub classes: FxHashMap<String, usize>,
    /// Tenants (`projects`).
    pub tenants: FxHashMap<String, usize>,
    /// Zones (`zones`).
    pub zones: FxHashMap<String, usize>,
    /// Kinds of machine (`kinds`).
    pub kinds: FxHashMap<String, usize>,
    /// Names of the values of a load report, in the order in which reports hold them (`loadInfo.fields`).
    pub load_fields: Vec<String>,
}

/// Settings as a host uses them.
#[derive(Debug)]
pub struct Loaded {
    /// What the policy is given. Not validated yet: `Balancer::new` does that.
    pub settings: Settings,
    /// The names behind the positions in it.
    pub names: Names,
    /// How long a connection may take to come up (`caps.dialTimeoutS`); hosts with sockets need it, the
    /// policy does not.
    pub connect_timeout: Duration,
}

/// Reads a settings object. Keys that are not known are passed over, since the platform may add some.
///
/// # Errors
/// The text is not JSON of the expected form, or a value makes no sense: the first that is met. To name all
/// of them, use [`check`](crate::check).
pub fn read(json: &str) -> Result<Loaded, SetupError> {
    let setup: Setup = serde_json::from_str(json)?;
    convert::into_loaded(setup)
}
