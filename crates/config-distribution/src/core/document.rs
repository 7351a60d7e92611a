//! Documents: what is published, by scope, each at a version and with a digest over the whole of it.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;
use std::sync::Arc;

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::value::RawValue;
use thiserror::Error;

/// Bytes of a scope's name at most.
pub const MAX_NAME_BYTES: usize = 64;

/// Whom a document is for. The narrower goes before the wider where both say something.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Scope {
    /// Every balancer.
    Fleet,
    /// Those of a region.
    Region(Box<str>),
    /// Those of a service.
    Service(Box<str>),
}

/// Why a text names no scope.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error(
    "{0:?} is no scope: expected fleet, region/NAME or service/NAME, with 1 to 64 letters, digits, '-', '_' or '.' in NAME"
)]
pub struct ScopeError(String);

impl FromStr for Scope {
    type Err = ScopeError;

    fn from_str(text: &str) -> Result<Self, ScopeError> {
        let sound = |name: &str| {
            let fits = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
            (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(fits)
        };
        match text.split_once('/') {
            None if text == "fleet" => Ok(Self::Fleet),
            Some(("region", name)) if sound(name) => Ok(Self::Region(name.into())),
            Some(("service", name)) if sound(name) => Ok(Self::Service(name.into())),
            _ => Err(ScopeError(text.chars().take(2 * MAX_NAME_BYTES).collect())),
        }
    }
}

impl Display for Scope {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Fleet => f.write_str("fleet"),
            Self::Region(name) => write!(f, "region/{name}"),
            Self::Service(name) => write!(f, "service/{name}"),
        }
    }
}

impl Serialize for Scope {
    fn serialize<S: Serializer>(&self, output: S) -> Result<S::Ok, S::Error> {
        output.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Scope {
    fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
        String::deserialize(input)?.parse().map_err(D::Error::custom)
    }
}

/// A digest over a document: its scope, version and body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Of a document's parts; a withdrawn one has the body `null`.
    #[must_use]
    pub fn of(scope: &Scope, version: u64, body: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(format!("{scope}\n{version}\n").as_bytes());
        hasher.update(body.as_bytes());
        Self(*hasher.finalize().as_bytes())
    }
}

impl Display for Digest {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, output: S) -> Result<S::Ok, S::Error> {
        output.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
        let text = String::deserialize(input)?;
        let hash = blake3::Hash::from_hex(&text).map_err(D::Error::custom)?;
        Ok(Self(*hash.as_bytes()))
    }
}

/// A document at one version. Its body is the text as the origin took it in, on one line and to the byte the same for
/// everyone: a JSON object, or `null` once it has been withdrawn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Document {
    /// Whom it is for.
    pub scope: Scope,
    /// The index of the change that made it.
    pub version: u64,
    /// Over scope, version and body.
    pub digest: Digest,
    /// JSON text.
    pub body: Arc<str>,
}

impl Document {
    /// One with its digest.
    #[must_use]
    pub fn new(scope: Scope, version: u64, body: Arc<str>) -> Self {
        let digest = Digest::of(&scope, version, &body);
        Self { scope, version, digest, body }
    }

    /// Whether the digest is that of the document.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.digest == Digest::of(&self.scope, self.version, &self.body)
    }

    /// Whether it says that there is none any more.
    #[must_use]
    pub fn is_withdrawn(&self) -> bool {
        &*self.body == "null"
    }
}

#[derive(Serialize, Deserialize)]
struct Wire {
    scope: Scope,
    version: u64,
    digest: Digest,
    body: Box<RawValue>,
}

impl Serialize for Document {
    fn serialize<S: Serializer>(&self, output: S) -> Result<S::Ok, S::Error> {
        use serde::ser::Error as _;
        let body = RawValue::from_string(self.body.to_string()).map_err(S::Error::custom)?;
        Wire { scope: self.scope.clone(), version: self.version, digest: self.digest, body }.serialize(output)
    }
}

impl<'de> Deserialize<'de> for Document {
    fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
        let Wire { scope, version, digest, body } = Wire::deserialize(input)?;
        Ok(Self { scope, version, digest, body: body.get().into() })
    }
}

/// A line of a watch: the form of the platform's list, with documents for its entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The index that the reader stands at with it.
    pub index: u64,
    /// All documents of the reader's scopes: what is absent has been withdrawn.
    #[serde(default)]
    pub snapshot: bool,
    /// The index that a change builds on; a reader that stands before it has missed something.
    #[serde(default)]
    pub after: u64,
    /// For how many seconds the sender itself has received nothing from above; 0 while it receives.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub stale_s: u64,
    /// The documents, each at its newest version.
    #[serde(default)]
    pub documents: Vec<Document>,
}

#[allow(clippy::trivially_copy_pass_by_ref, reason = "serde passes a field by reference")]
fn is_zero(value: &u64) -> bool {
    *value == 0
}
