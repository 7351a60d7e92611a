//! Published configuration documents. Each belongs to a scope and has a version and a digest over its whole content.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;
use std::sync::Arc;

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::value::RawValue;
use thiserror::Error;

/// Maximum length in bytes of the name in a region or service scope.
pub const MAX_NAME_BYTES: usize = 64;

/// The set of balancers that a document applies to. Where two documents set the same value, the one with the narrower
/// scope takes precedence.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Scope {
    /// Every balancer of the fleet.
    Fleet,
    /// The balancers of the named region.
    Region(Box<str>),
    /// The balancers of the named service.
    Service(Box<str>),
}

/// Error returned when a text is not a valid scope; contains the start of that text.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error(
    "{0:?} is no scope: expected fleet, region/NAME or service/NAME, with 1 to 64 letters, digits, '-', '_' or '.' in NAME"
)]
pub struct ScopeError(String);

impl FromStr for Scope {
    type Err = ScopeError;

    fn from_str(text: &str) -> Result<Self, ScopeError> {
        let is_valid = |name: &str| {
            let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
            (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(is_allowed)
        };
        match text.split_once('/') {
            None if text == "fleet" => Ok(Self::Fleet),
            Some(("region", name)) if is_valid(name) => Ok(Self::Region(name.into())),
            Some(("service", name)) if is_valid(name) => Ok(Self::Service(name.into())),
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

/// BLAKE3 digest over a document's scope, version and body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Computes the digest of a document from its scope, version and body; the body of a withdrawn document is `null`.
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

/// One version of a document. The body is the text that the origin accepted, on one line and byte for byte the same in
/// every process: a JSON object, or `null` if the document has been withdrawn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Document {
    /// The balancers that the document applies to.
    pub scope: Scope,
    /// Version of the document: the index of the change that published or withdrew it.
    pub version: u64,
    /// Digest over the document's scope, version and body.
    pub digest: Digest,
    /// JSON text of the document; `null` if it has been withdrawn.
    pub body: Arc<str>,
}

impl Document {
    /// Creates a document and computes its digest.
    #[must_use]
    pub fn new(scope: Scope, version: u64, body: Arc<str>) -> Self {
        let digest = Digest::of(&scope, version, &body);
        Self { scope, version, digest, body }
    }

    /// Whether the digest matches the document's scope, version and body.
    #[must_use]
    pub fn has_valid_digest(&self) -> bool {
        self.digest == Digest::of(&self.scope, self.version, &self.body)
    }

    /// Whether this version marks the document as withdrawn.
    #[must_use]
    pub fn is_withdrawn(&self) -> bool {
        &*self.body == "null"
    }
}

/// JSON form of a [`Document`], with the body as raw JSON.
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

/// One line of a watch, in the same format as an update of the platform's endpoint list, with documents as its entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The reader's index after it has applied this update: that of the newest change that the reader then has.
    pub index: u64,
    /// Whether the update contains all documents of the reader's scopes, so that a document missing from it has been
    /// withdrawn. Otherwise the update is a delta.
    #[serde(default)]
    pub snapshot: bool,
    /// The index that a delta builds on; a reader with a lower index has missed a change.
    #[serde(default)]
    pub after: u64,
    /// Seconds since the sender last received anything from its own parent; 0 while its parent is up to date.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub stale_s: u64,
    /// The documents of this update, each at its newest version.
    #[serde(default)]
    pub documents: Vec<Document>,
}

#[allow(clippy::trivially_copy_pass_by_ref, reason = "serde passes a field by reference")]
fn is_zero(value: &u64) -> bool {
    *value == 0
}
