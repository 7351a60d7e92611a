//! What a check finds: faults, each with its place, what was expected there and what was found.
//!
//! An operator who publishes a document reads these lines at a prompt, and the distribution passes them on in
//! its answers, so they are short, bounded in number and size, and say what to write instead.

use std::error::Error;
use std::fmt::{self, Display, Formatter};

/// Faults that are listed one by one; of further ones only how many there are. A document of garbage would
/// else give an answer many times its own size.
const MAX_LISTED_FAULTS: usize = 100;

/// Characters of a value or a strange key that a fault repeats.
const MAX_EXCERPT_CHARS: usize = 60;

/// One fault of a settings object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The place, as in `settings.lanes[1].onTimeS`.
    pub path: String,
    /// What may stand there.
    pub expected: String,
    /// What does.
    pub found: Found,
}

/// What stands at the place of a fault.
#[derive(Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub enum Found {
    /// Nothing, where something must.
    Missing,
    /// A key that the settings do not have.
    UnknownKey,
    /// A value of the wrong kind or out of its range: the beginning of its JSON.
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

/// All faults of a settings object, at least one. Written out, they stand in one line, with semicolons between.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Faults {
    listed: Vec<Fault>,
    unlisted: usize,
}

impl Faults {
    /// The faults in the order in which the check met them, up to a bound.
    #[must_use]
    pub fn listed(&self) -> &[Fault] {
        &self.listed
    }

    /// How many there are beyond those listed.
    #[must_use]
    pub fn unlisted(&self) -> usize {
        self.unlisted
    }

    /// A line for each fault listed, and one that counts the others if there are any.
    #[must_use]
    pub fn messages(&self) -> Vec<String> {
        let mut messages: Vec<String> = self.listed.iter().map(Fault::to_string).collect();
        if self.unlisted > 0 {
            messages.push(format!("and {} more", self.unlisted));
        }
        messages
    }

    /// As a check begins.
    pub(crate) fn empty() -> Self {
        Self { listed: Vec::new(), unlisted: 0 }
    }

    /// Adds a fault, which is only put together if it is to be listed.
    pub(crate) fn add(&mut self, fault: impl FnOnce() -> Fault) {
        if self.listed.len() < MAX_LISTED_FAULTS {
            self.listed.push(fault());
        } else {
            self.unlisted += 1;
        }
    }

    /// `Ok` if there is none.
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

/// The beginning of a text that may be long, for a fault.
pub(crate) fn excerpt(text: &str) -> String {
    text.chars().take(MAX_EXCERPT_CHARS).collect()
}
