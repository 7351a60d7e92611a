//! The configuration of a balancer at its start, read from its configuration file and the environment into plain data.

use std::env;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use balancer_settings::{LoadedSettings, ReadSettingsError};
use config_distribution::document::{Scope, ScopeError};
use serde::Deserialize;
use serde_json::Value;
use serde_json::value::RawValue;
use thiserror::Error;

use crate::clock::{SystemClock, WallClock};
use crate::discovery::update::Update;

/// Minimum of `limits.sockets`. With fewer descriptors none is left to serve clients.
const MIN_SOCKETS: usize = 48;
/// Default of `limits.sockets`.
const DEFAULT_SOCKETS: usize = 1024;
/// Minimum of `limits.memory_mb`. With less memory the process could not hold its state and a few connections.
const MIN_MEMORY_MB: f64 = 8.0;
/// Maximum of `limits.memory_mb`: 1 TB, beyond which the value is a mistake.
const MAX_MEMORY_MB: f64 = 1_048_576.0;
/// Maximum number of parents. A balancer follows one at a time.
const MAX_PARENTS: usize = 16;

/// Why the configuration cannot be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// `PROXY_CONFIG` is not set.
    #[error("PROXY_CONFIG is not set; set it to the path of the configuration file")]
    NoPath,
    /// The configuration file cannot be read.
    #[error("cannot read the configuration file {path}: {cause}")]
    Read {
        /// Path of the configuration file.
        path: PathBuf,
        /// The error with which reading the configuration file failed.
        #[source]
        cause: io::Error,
    },
    /// The configuration file is not the expected JSON.
    #[error("the configuration is malformed: {0}")]
    Json(#[from] serde_json::Error),
    /// The settings in the configuration file cannot be used.
    #[error("the configuration file's settings are malformed: {0}")]
    Setup(#[from] ReadSettingsError),
    /// The region or the service cannot be the name of a scope.
    #[error("invalid region or service in `distribution` of the configuration file: {0}")]
    Scope(#[from] ScopeError),
    /// A value of the configuration is invalid.
    #[error("invalid value for {name} in the configuration file or the environment: {value:?}")]
    Value {
        /// Key of the invalid value in the configuration.
        name: &'static str,
        /// The value that is invalid for its key.
        value: String,
    },
}

/// JSON form of the configuration file.
#[derive(Deserialize)]
struct File {
    #[serde(default)]
    name: String,
    listen: Option<String>,
    discovery: Option<String>,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: Limits,
    known: Option<Update>,
    distribution: Option<DistributionSection>,
    settings: Box<RawValue>,
}

/// JSON form of the section `distribution` of the configuration file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct DistributionSection {
    parents: Vec<String>,
    region: String,
    service: String,
}

/// JSON form of the section `limits` of the configuration file.
#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
    memory_mb: Option<f64>,
}

impl Default for Limits {
    fn default() -> Self {
        Self { sockets: DEFAULT_SOCKETS, memory_mb: None }
    }
}

/// Where the balancer gets changes of its settings from.
#[derive(Debug)]
pub struct Distribution {
    /// Addresses of the parents, one of which the balancer follows at a time.
    pub parents: Vec<SocketAddr>,
    /// Scopes whose documents the balancer requests, the narrowest last: fleet, region, service.
    pub scopes: [Scope; 3],
    /// The settings object of the configuration file, over which the documents are merged.
    pub own_settings: Value,
}

/// The configuration of one balancer.
#[derive(Debug)]
pub struct Config {
    /// Name of the balancer.
    pub name: String,
    /// Address on which the balancer listens for clients.
    pub listen: SocketAddr,
    /// Address on which discovery listens.
    pub discovery: SocketAddr,
    /// Seed of the balancer's random choices.
    pub seed: u64,
    /// Maximum number of file descriptors that the process may hold.
    pub sockets: usize,
    /// Maximum resident memory of the process in MB; `None` if it is not limited.
    pub memory_mb: Option<usize>,
    /// The list of upstreams as last known, which may be stale.
    pub known: Option<Update>,
    /// The balancer's settings, read from the settings object of the configuration file.
    pub loaded: LoadedSettings,
    /// Where changes of the settings come from, if they are distributed.
    pub distribution: Option<Distribution>,
    /// Path of the file that the configuration was read from, which a reload reads again.
    pub path: Option<PathBuf>,
    /// Source of the time of day: the machine's clock, except in tests.
    pub wall_clock: Box<dyn WallClock>,
}

impl Config {
    /// Reads the file that `PROXY_CONFIG` names. `PROXY_NAME`, `PROXY_LISTEN` and `PROXY_DISCOVERY` override the values
    /// of the file.
    ///
    /// # Errors
    /// The file cannot be read, or the configuration is invalid.
    pub fn from_environment() -> Result<Self, ConfigError> {
        let path = PathBuf::from(env::var_os("PROXY_CONFIG").ok_or(ConfigError::NoPath)?);
        let config = Self::parse(&read_file(&path)?, |name| env::var(name).ok())?;
        Ok(Self { path: Some(path), ..config })
    }

    /// Reads the address of discovery from the configuration file again, for a reload. The environment is ignored,
    /// because it still has the values of the start.
    ///
    /// # Errors
    /// The file cannot be read, or the configuration is invalid.
    pub fn read_discovery_address(path: &Path) -> Result<SocketAddr, ConfigError> {
        Ok(Self::parse(&read_file(path)?, |_| None)?.discovery)
    }

    /// Reads a configuration from the text of a configuration file, with `variable` to look up environment variables.
    ///
    /// # Errors
    /// The configuration is invalid.
    pub fn parse(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let file: File = serde_json::from_str(text)?;
        let loaded = balancer_settings::read(file.settings.get())?;
        let listen = variable("PROXY_LISTEN").or(file.listen);
        let discovery = variable("PROXY_DISCOVERY").or(file.discovery);
        let name = variable("PROXY_NAME").unwrap_or(file.name);
        if file.distribution.is_some() && name.is_empty() {
            return Err(invalid("name", &name));
        }
        if file.limits.sockets < MIN_SOCKETS {
            return Err(invalid("limits.sockets", &file.limits.sockets.to_string()));
        }
        Ok(Self {
            name,
            listen: address("listen", listen)?,
            discovery: address("discovery", discovery)?,
            seed: seed(&file.seed)?,
            sockets: file.limits.sockets,
            memory_mb: file.limits.memory_mb.map(memory_limit).transpose()?,
            known: file.known,
            distribution: file
                .distribution
                .map(|section| distribution(&section, file.settings.get()))
                .transpose()?,
            loaded,
            path: None,
            wall_clock: Box::new(SystemClock),
        })
    }
}

/// Checks a memory limit in MB and rounds it down.
fn memory_limit(megabytes: f64) -> Result<usize, ConfigError> {
    if !(MIN_MEMORY_MB..=MAX_MEMORY_MB).contains(&megabytes) {
        return Err(invalid("limits.memory_mb", &megabytes.to_string()));
    }
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "the range was checked")]
    Ok(megabytes as usize)
}

fn distribution(section: &DistributionSection, settings: &str) -> Result<Distribution, ConfigError> {
    if !(1..=MAX_PARENTS).contains(&section.parents.len()) {
        return Err(invalid("distribution.parents", &format!("{} addresses", section.parents.len())));
    }
    let parent = |text: &String| text.parse().map_err(|_| invalid("distribution.parents", text));
    let named = |kind: &str, name: &str| format!("{kind}/{name}").parse::<Scope>();
    Ok(Distribution {
        parents: section.parents.iter().map(parent).collect::<Result<_, _>>()?,
        scopes: [Scope::Fleet, named("region", &section.region)?, named("service", &section.service)?],
        own_settings: serde_json::from_str(settings)?,
    })
}

fn read_file(path: &Path) -> Result<String, ConfigError> {
    fs::read_to_string(path).map_err(|cause| ConfigError::Read { path: path.to_owned(), cause })
}

/// Reads a seed from hexadecimal digits; an empty text gives 0.
fn seed(digits: &str) -> Result<u64, ConfigError> {
    if digits.is_empty() {
        return Ok(0);
    }
    u64::from_str_radix(digits, 16).map_err(|_| invalid("seed", digits))
}

fn address(name: &'static str, value: Option<String>) -> Result<SocketAddr, ConfigError> {
    let value = value.unwrap_or_default();
    value.parse().map_err(|_| invalid(name, &value))
}

fn invalid(name: &'static str, value: &str) -> ConfigError {
    ConfigError::Value { name, value: value.to_owned() }
}
