//! The name and the values of a line.
//!
//! A line is a message's name and its values, parted by tabs. Values have no names on the wire; the name
//! given to each call here is for the error that a malformed one ends in. The module owns the part of one line
//! that is not read yet.

use std::str::FromStr;
use std::time::Duration;

use crate::error::Malformed;

/// A line of the wire, split at the end of its name.
pub struct Line<'a> {
    /// The message's name.
    pub name: &'a str,
    /// What follows the name.
    pub fields: Fields<'a>,
}

impl<'a> Line<'a> {
    /// Splits the name of the message off a line.
    pub fn split(line: &'a str) -> Self {
        match line.split_once('\t') {
            Some((name, rest)) => Self { name, fields: Fields { rest: Some(rest) } },
            None => Self { name: line, fields: Fields { rest: None } },
        }
    }
}

/// The values of a line, read from left to right.
pub struct Fields<'a> {
    rest: Option<&'a str>,
}

impl<'a> Fields<'a> {
    /// Any text but an empty one.
    pub fn text(&mut self, field: &'static str) -> Result<&'a str, Malformed> {
        let rest = self.rest.ok_or(Malformed::Missing { field })?;
        let (value, rest) = match rest.split_once('\t') {
            Some((value, rest)) => (value, Some(rest)),
            None => (rest, None),
        };
        self.rest = rest;
        if value.is_empty() { Err(Malformed::Missing { field }) } else { Ok(value) }
    }

    /// A value that `-` marks as absent.
    pub fn optional(&mut self, field: &'static str) -> Result<Option<&'a str>, Malformed> {
        Ok(Some(self.text(field)?).filter(|&value| value != "-"))
    }

    /// A number of the type that the call names.
    pub fn number<T: FromStr>(&mut self, field: &'static str) -> Result<T, Malformed> {
        let value = self.text(field)?;
        value.parse().map_err(|_| Malformed::value(field, value))
    }

    /// A number that `-` marks as absent.
    pub fn optional_number<T: FromStr>(&mut self, field: &'static str) -> Result<Option<T>, Malformed> {
        let value = self.optional(field)?;
        value.map(|value| value.parse().map_err(|_| Malformed::value(field, value))).transpose()
    }

    /// A span in seconds, not negative.
    pub fn seconds(&mut self, field: &'static str) -> Result<Duration, Malformed> {
        let value = self.text(field)?;
        seconds(value).ok_or_else(|| Malformed::value(field, value))
    }

    /// A span in seconds that `-` marks as absent.
    pub fn optional_seconds(&mut self, field: &'static str) -> Result<Option<Duration>, Malformed> {
        let value = self.optional(field)?;
        value.map(|value| seconds(value).ok_or_else(|| Malformed::value(field, value))).transpose()
    }

    /// `1` or `0`.
    pub fn flag(&mut self, field: &'static str) -> Result<bool, Malformed> {
        match self.text(field)? {
            "1" => Ok(true),
            "0" => Ok(false),
            value => Err(Malformed::value(field, value)),
        }
    }

    /// Text to the end of the line, tabs and all.
    pub fn remainder(&mut self, field: &'static str) -> Result<&'a str, Malformed> {
        self.rest.take().ok_or(Malformed::Missing { field })
    }

    /// Checks that no value is left.
    pub fn ensure_end(&self) -> Result<(), Malformed> {
        if self.rest.is_some() { Err(Malformed::TooManyValues) } else { Ok(()) }
    }
}

fn seconds(value: &str) -> Option<Duration> {
    Duration::try_from_secs_f64(value.parse().ok()?).ok()
}
