//! Wire format of the endpoint list that discovery sends, as a snapshot or as a delta. The configuration file has its
//! list of upstreams in the same format. Depends on no other module but the log.

use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;

/// An update from discovery: the whole endpoint list, or the entries that changed.
#[derive(Debug, Clone, Deserialize)]
pub struct Update {
    /// Version of the endpoint list after this update.
    #[serde(default)]
    pub index: u64,
    /// Whether this update is the whole list, so that endpoints absent from it have been removed.
    #[serde(default)]
    pub snapshot: bool,
    /// The upstreams of the list, or those that changed.
    #[serde(default, deserialize_with = "entries")]
    pub endpoints: Vec<Endpoint>,
}

/// Deserializes each entry separately, so that a malformed entry does not lose the others, which may include a drain.
fn entries<'de, D: Deserializer<'de>>(input: D) -> Result<Vec<Endpoint>, D::Error> {
    let raw: Vec<Box<RawValue>> = Vec::deserialize(input)?;
    let read = |raw: &RawValue| {
        serde_json::from_str(raw.get())
            .inspect_err(|error| {
                crate::log(format_args!(
                    "skipped an entry of the endpoint list, its JSON is malformed: {error}"
                ));
            })
            .ok()
    };
    Ok(raw.iter().filter_map(|raw| read(raw)).collect())
}

/// An upstream as discovery lists it.
#[derive(Debug, Clone, Deserialize)]
pub struct Endpoint {
    /// Name of the upstream, the same at every balancer.
    pub name: String,
    /// Address on which the upstream listens, as `IP:PORT`.
    #[serde(default)]
    pub address: String,
    /// Name of the upstream's zone.
    #[serde(default)]
    pub zone: String,
    /// Name of the upstream's kind of machine.
    #[serde(default, rename = "type")]
    pub machine_kind: String,
    /// Number of the cell that the upstream belongs to; upstreams of a cell may share their idempotency keys.
    #[serde(default)]
    pub group: u32,
    /// State of the upstream: `ready`, `draining` or `gone`.
    pub status: String,
    /// Capacity of the upstream relative to the others.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Latest start of the upstream's process as Unix time in milliseconds; 0 if it started long ago.
    #[serde(default)]
    pub since_ms: u64,
}

fn default_weight() -> f64 {
    1.0
}
