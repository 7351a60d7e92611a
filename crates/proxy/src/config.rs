//! What does a balancer know at its start? What its configuration file and the environment say, as plain data.

use std::env;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use balancer_settings::{Loaded, SetupError};
use config_distribution::document::{Scope, ScopeError};
use serde::Deserialize;
use serde_json::Value;
use serde_json::value::RawValue;
use thiserror::Error;

use crate::clock::{SystemClock, WallClock};
use crate::discovery::update::Update;

/// Fewer descriptors than this leave none to serve anybody.
const MIN_SOCKETS: usize = 48;
/// Descriptors that the process may hold where the file does not say.
const DEFAULT_SOCKETS: usize = 1024;
/// Parents at most: a balancer follows one at a time.
const MAX_PARENTS: usize = 16;

/// Why the configuration cannot be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// `PROXY_CONFIG` is not set.
    #[error("PROXY_CONFIG is not set: it names the configuration file")]
    NoPath,
    /// The file cannot be read.
    #[error("cannot read the configuration {path}: {cause}")]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        #[source]
        cause: io::Error,
    },
    /// The file is not the JSON that is expected.
    #[error("the configuration is malformed: {0}")]
    Json(#[from] serde_json::Error),
    /// The settings in it cannot be used.
    #[error("the settings are malformed: {0}")]
    Setup(#[from] SetupError),
    /// The region or the service is no name of a scope.
    #[error("distribution: {0}")]
    Scope(#[from] ScopeError),
    /// A value makes no sense.
    #[error("{name} makes no sense: {value:?}")]
    Value {
        /// Where it stands.
        name: &'static str,
        /// What stands there.
        value: String,
    },
}

/// The configuration file.
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

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct DistributionSection {
    parents: Vec<String>,
    region: String,
    service: String,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { sockets: DEFAULT_SOCKETS }
    }
}

/// Where changes of the settings come from.
#[derive(Debug)]
pub struct Distribution {
    /// Whom this balancer may follow.
    pub parents: Vec<SocketAddr>,
    /// Whose documents it wants, the narrower last: fleet, region, service.
    pub wanted: [Scope; 3],
    /// The settings object of the file, over which the documents go.
    pub own_settings: Value,
}

/// The configuration of one balancer.
#[derive(Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery listens.
    pub discovery: SocketAddr,
    /// Seeds the random choices.
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// The upstreams as last known, maybe old.
    pub known: Option<Update>,
    /// The settings object.
    pub loaded: Loaded,
    /// Where changes of it come from, if from anywhere.
    pub distribution: Option<Distribution>,
    /// The file it was read from, which a reload reads again.
    pub path: Option<PathBuf>,
    /// Returns the time of day: the machine's clock, except in a test.
    pub wall_clock: Box<dyn WallClock>,
}

impl Config {
    /// Reads the file that `PROXY_CONFIG` names; `PROXY_NAME`, `PROXY_LISTEN` and `PROXY_DISCOVERY` go
    /// before what the file says.
    ///
    /// # Errors
    /// The file is missing or makes no sense.
    pub fn from_environment() -> Result<Self, ConfigError> {
        let path = PathBuf::from(env::var_os("PROXY_CONFIG").ok_or(ConfigError::NoPath)?);
        let config = Self::parse(&read_file(&path)?, |name| env::var(name).ok())?;
        Ok(Self { path: Some(path), ..config })
    }

    /// Reads again where discovery listens; the file alone counts, as the environment is that of the start.
    ///
    /// # Errors
    /// The file is missing or makes no sense.
    pub fn discovery_now(path: &Path) -> Result<SocketAddr, ConfigError> {
        Ok(Self::parse(&read_file(path)?, |_| None)?.discovery)
    }

    /// Reads a configuration from its text, with `variable` in place of the environment.
    ///
    /// # Errors
    /// The text makes no sense.
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

fn distribution(section: &DistributionSection, settings: &str) -> Result<Distribution, ConfigError> {
    if !(1..=MAX_PARENTS).contains(&section.parents.len()) {
        return Err(invalid("distribution.parents", &format!("{} addresses", section.parents.len())));
    }
    let parent = |text: &String| text.parse().map_err(|_| invalid("distribution.parents", text));
    let named = |kind: &str, name: &str| format!("{kind}/{name}").parse::<Scope>();
    Ok(Distribution {
        parents: section.parents.iter().map(parent).collect::<Result<_, _>>()?,
        wanted: [Scope::Fleet, named("region", &section.region)?, named("service", &section.service)?],
        own_settings: serde_json::from_str(settings)?,
    })
}

fn read_file(path: &Path) -> Result<String, ConfigError> {
    fs::read_to_string(path).map_err(|cause| ConfigError::Read { path: path.to_owned(), cause })
}

/// A seed in hexadecimal digits; none is 0.
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
