//! The types that the table of keys is made of: a key, whether it must be there, and what may stand at it.

use std::ops::RangeInclusive;

/// A key of an object.
pub struct Field {
    pub key: &'static str,
    pub presence: Presence,
    pub kind: ValueKind,
}

/// Whether a key must be there.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    Required,
    Optional,
    /// It may also be null, which says that there is none.
    Nullable,
}

/// What may be at a key.
pub enum ValueKind {
    Bool,
    /// A whole number of 32 bits, at least this.
    Integer {
        min: u32,
    },
    /// A number within these bounds.
    Number(RangeInclusive<f64>),
    /// A number above 0 up to a bound. The policy takes only normal numbers for above 0, so this does.
    PositiveNumber {
        max: f64,
    },
    OneOf(&'static [&'static str]),
    NonEmptyString,
    StringList,
    Object(&'static [Field]),
    /// A list of objects, each with a name of its own.
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
    /// What a fault says was expected.
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
