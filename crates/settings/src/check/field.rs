//! What may stand at a key of the settings.

/// What may stand at a key.
#[derive(Clone, Copy)]
pub enum Form {
    Flag,
    /// From this on.
    Count(u32),
    /// From the one up to the other.
    Number(f64, f64),
    /// One of these words.
    Word(&'static [&'static str]),
    /// Not empty.
    Text,
    Texts,
    Object(&'static [Field]),
    /// So many at least and at most, each with a name of its own.
    Named(&'static [Field], usize, usize),
}

#[derive(Clone, Copy)]
pub struct Field {
    pub key: &'static str,
    pub need: Need,
    pub form: Form,
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Need {
    Must,
    May,
    /// It may also be null, which says that there is none.
    Null,
}

pub const fn must(key: &'static str, form: Form) -> Field {
    Field { key, need: Need::Must, form }
}

pub const fn may(key: &'static str, form: Form) -> Field {
    Field { key, need: Need::May, form }
}

pub const fn null(key: &'static str, form: Form) -> Field {
    Field { key, need: Need::Null, form }
}

impl Form {
    /// What stands in a fault as expected.
    pub fn expected(self) -> String {
        match self {
            Self::Flag => "true or false".to_owned(),
            Self::Count(least) => format!("a whole number from {least} to {}", u32::MAX),
            Self::Number(least, most) if least == f64::MIN_POSITIVE => {
                format!("a number above 0, up to {most}")
            }
            Self::Number(least, most) => format!("a number from {least} to {most}"),
            Self::Word(words) => format!("one of {}", words.join(", ")),
            Self::Text => "a text that is not empty".to_owned(),
            Self::Texts => "a list of texts".to_owned(),
            Self::Object(_) => "an object".to_owned(),
            Self::Named(_, least, most) => format!("a list of {least} to {most}"),
        }
    }
}
