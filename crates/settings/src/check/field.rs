//! Types for the table of settings keys: a key, whether it is required, and which values are valid.

use std::ops::RangeInclusive;

/// Table entry for one key of a JSON object.
pub struct Field {
    pub key: &'static str,
    pub presence: Presence,
    pub kind: ValueKind,
}

/// Whether a key is required, and whether its value may be null.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    Required,
    Optional,
    /// The key may be absent or null; null means that no value is set.
    Nullable,
}

/// Type and range of the values that are valid for a key.
pub enum ValueKind {
    Bool,
    /// An unsigned 32-bit integer that is at least `min`.
    Integer {
        min: u32,
    },
    /// A number within an inclusive range.
    Number(RangeInclusive<f64>),
    /// A number above 0 and up to `max`. Subnormal numbers are refused, as the policy refuses them too.
    PositiveNumber {
        max: f64,
    },
    OneOf(&'static [&'static str]),
    NonEmptyString,
    StringList,
    Object(&'static [Field]),
    /// A list of objects, each with a unique name; `count` is the range of valid lengths.
    NamedObjects {
        fields: &'static [Field],
        count: RangeInclusive<usize>,
    },
}

pub const fn required(key: &'static str, kind: ValueKind) -> Field {
    Field { key, presence: Presence::Required, kind }
}

pub const fn optional(key: &'static str, kind: ValueKind) -> Field {
    Field { key, presence: Presence::Optional, kind }
}

pub const fn nullable(key: &'static str, kind: ValueKind) -> Field {
    Field { key, presence: Presence::Nullable, kind }
}

impl ValueKind {
    /// Description of the valid values, for the `expected` part of a fault. The text is part of the protocol.
    pub fn expected(&self) -> String {
        match self {
            Self::Bool => "true or false".to_owned(),
            Self::Integer { min } => format!("a whole number from {min} to {}", u32::MAX),
            Self::Number(range) => format!("a number from {} to {}", range.start(), range.end()),
            Self::PositiveNumber { max } => format!("a number above 0, up to {max}"),
            Self::OneOf(words) => format!("one of {}", words.join(", ")),
            Self::NonEmptyString => "a text that is not empty".to_owned(),
            Self::StringList => "a list of texts".to_owned(),
            Self::Object(_) => "an object".to_owned(),
            Self::NamedObjects { count, .. } => format!("a list of {} to {}", count.start(), count.end()),
        }
    }
}
