//! Splits a protocol line into its message name and fields.
//!
//! A line consists of the name of a message and its field values, separated by tabs. The protocol transmits no
//! field names; the `field` argument of each method is only used in the error for a missing or malformed value.
//! The module owns the part of one line that has not been read yet.

use std::str::FromStr;
use std::time::Duration;

use crate::error::Malformed;

/// A protocol line, split into the message name and the fields.
pub struct Line<'a> {
    /// Name of the message.
    pub name: &'a str,
    /// Fields that follow the message name.
    pub fields: Fields<'a>,
}

impl<'a> Line<'a> {
    /// Splits a line into the message name and the fields.
    pub fn split(line: &'a str) -> Self {
        match line.split_once('\t') {
            Some((name, rest)) => Self { name, fields: Fields { rest: Some(rest) } },
            None => Self { name: line, fields: Fields { rest: None } },
        }
    }
}

/// Unread fields of a line, which are read from left to right.
pub struct Fields<'a> {
    rest: Option<&'a str>,
}

impl<'a> Fields<'a> {
    /// Reads a field as text, which must not be empty.
    pub fn text(&mut self, field: &'static str) -> Result<&'a str, Malformed> {
        let rest = self.rest.ok_or(Malformed::Missing { field })?;
        let (value, rest) = match rest.split_once('\t') {
            Some((value, rest)) => (value, Some(rest)),
            None => (rest, None),
        };
        self.rest = rest;
        if value.is_empty() { Err(Malformed::Missing { field }) } else { Ok(value) }
    }

    /// Reads an optional text field; `-` means that it is absent.
    pub fn optional(&mut self, field: &'static str) -> Result<Option<&'a str>, Malformed> {
        Ok(Some(self.text(field)?).filter(|&value| value != "-"))
    }

    /// Reads a number of type `T`.
    pub fn number<T: FromStr>(&mut self, field: &'static str) -> Result<T, Malformed> {
        let value = self.text(field)?;
        value.parse().map_err(|_| Malformed::value(field, value))
    }

    /// Reads an optional number of type `T`; `-` means that it is absent.
    pub fn optional_number<T: FromStr>(&mut self, field: &'static str) -> Result<Option<T>, Malformed> {
        let value = self.optional(field)?;
        value.map(|value| value.parse().map_err(|_| Malformed::value(field, value))).transpose()
    }

    /// Reads a non-negative duration in seconds.
    pub fn seconds(&mut self, field: &'static str) -> Result<Duration, Malformed> {
        let value = self.text(field)?;
        seconds(value).ok_or_else(|| Malformed::value(field, value))
    }

    /// Reads an optional, non-negative duration in seconds; `-` means that it is absent.
    pub fn optional_seconds(&mut self, field: &'static str) -> Result<Option<Duration>, Malformed> {
        let value = self.optional(field)?;
        value.map(|value| seconds(value).ok_or_else(|| Malformed::value(field, value))).transpose()
    }

    /// Reads a flag, which is `1` for true or `0` for false.
    pub fn flag(&mut self, field: &'static str) -> Result<bool, Malformed> {
        match self.text(field)? {
            "1" => Ok(true),
            "0" => Ok(false),
            value => Err(Malformed::value(field, value)),
        }
    }

    /// Reads the rest of the line as one text, including any tabs.
    pub fn remainder(&mut self, field: &'static str) -> Result<&'a str, Malformed> {
        self.rest.take().ok_or(Malformed::Missing { field })
    }

    /// Checks that all fields of the line have been read.
    pub fn ensure_end(&self) -> Result<(), Malformed> {
        if self.rest.is_some() { Err(Malformed::TooManyValues) } else { Ok(()) }
    }
}

fn seconds(value: &str) -> Option<Duration> {
    Duration::try_from_secs_f64(value.parse().ok()?).ok()
}
