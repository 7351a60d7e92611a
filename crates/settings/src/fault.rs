//! Faults that a check of settings reports: each has a path, the expected value and the value found.
//!
//! Operators who publish a document read these messages in a terminal, and the configuration distribution
//! includes them in its responses and in the reports of balancers. They are therefore short, limited in number and
//! size, and state which value is expected; their texts are part of the protocol.

use std::error::Error;
use std::fmt::{self, Display, Formatter};

/// Maximum number of faults that are listed individually; further faults are only counted. Without a limit, a
/// malformed document could produce a response many times its own size.
const MAX_LISTED_FAULTS: usize = 100;

/// Maximum number of characters of a value or an unknown key that a fault quotes.
const MAX_EXCERPT_CHARS: usize = 60;

/// A fault at one path of a settings object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Path of the value or key at fault, for example `settings.lanes[1].onTimeS`.
    pub path: String,
    /// Description of the values that are valid at the path.
    pub expected: String,
    /// What the settings contain at the path.
    pub found: Found,
}

/// What a settings object contains at the path of a fault.
#[derive(Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub enum Found {
    /// A required key is missing.
    Missing,
    /// The key is not a settings key, or it must not be set in a distributed document.
    UnknownKey,
    /// The value has the wrong type or is out of range. Holds the beginning of its JSON text.
    Value(String),
}

impl Display for Fault {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let Self { path, expected, found } = self;
        match found {
            Found::Missing => write!(formatter, "{path}: missing, expected {expected}"),
            Found::UnknownKey => write!(formatter, "{path}: not known, expected {expected}"),
            Found::Value(value) => write!(formatter, "{path}: expected {expected}, found {value}"),
        }
    }
}

impl Error for Fault {}

/// All faults of a settings object, at least one. `Display` writes them on one line, separated by semicolons.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Faults {
    listed: Vec<Fault>,
    unlisted: usize,
}

impl Faults {
    /// The faults in the order in which the check found them, up to the maximum that is listed.
    #[must_use]
    pub fn listed(&self) -> &[Fault] {
        &self.listed
    }

    /// Number of faults found in addition to the listed ones.
    #[must_use]
    pub fn unlisted(&self) -> usize {
        self.unlisted
    }

    /// One message for each listed fault, and a final one with the number of unlisted faults if there are any.
    #[must_use]
    pub fn messages(&self) -> Vec<String> {
        let mut messages: Vec<String> = self.listed.iter().map(Fault::to_string).collect();
        if self.unlisted > 0 {
            messages.push(format!("and {} more", self.unlisted));
        }
        messages
    }

    /// Creates an empty collection, to which a check adds faults.
    pub(crate) fn empty() -> Self {
        Self { listed: Vec::new(), unlisted: 0 }
    }

    /// Adds a fault. The closure that builds it is only called if the fault will be listed.
    pub(crate) fn add(&mut self, fault: impl FnOnce() -> Fault) {
        if self.listed.len() < MAX_LISTED_FAULTS {
            self.listed.push(fault());
        } else {
            self.unlisted += 1;
        }
    }

    /// Returns `Ok` if there are no faults, otherwise the faults as an error.
    pub(crate) fn into_result(self) -> Result<(), Self> {
        if self.listed.is_empty() { Ok(()) } else { Err(self) }
    }
}

impl Display for Faults {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.messages().join("; "))
    }
}

impl Error for Faults {}

/// Returns the beginning of a text, shortened to the length that a fault may quote.
pub(crate) fn excerpt(text: &str) -> String {
    text.chars().take(MAX_EXCERPT_CHARS).collect()
}
