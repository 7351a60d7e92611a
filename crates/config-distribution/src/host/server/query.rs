//! What a watch asks for, as its query says it.

use std::str::FromStr;

use thiserror::Error;

use crate::document::{MAX_NAME_BYTES, Scope, ScopeError};
use crate::report::MAX_CHILD_SCOPES;
use crate::state::Wanted;

/// Why a query cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub(super) enum QueryError {
    #[error("since: expected an index, got {0:?}")]
    Since(String),
    #[error("scopes: {0}")]
    Scope(#[from] ScopeError),
    #[error("scopes: at most {MAX_CHILD_SCOPES}")]
    TooManyScopes,
}

/// What a watch, or a reader that wants one answer, asks for.
pub(super) struct WatchQuery {
    /// A watch, and not one answer.
    pub follow: bool,
    /// The index that the reader stands at.
    pub since: u64,
    /// As they were written, by which lines are shared.
    pub scopes: Box<str>,
    pub wanted: Wanted,
    /// Of the reader, for the log.
    pub name: Box<str>,
}

impl FromStr for WatchQuery {
    type Err = QueryError;

    /// Keys that are not known are passed over, so that newer children can ask older parents.
    fn from_str(text: &str) -> Result<Self, QueryError> {
        let mut query =
            Self { follow: false, since: 0, scopes: "*".into(), wanted: Wanted::All, name: Box::default() };
        for (name, value) in text.split('&').map(|part| part.split_once('=').unwrap_or((part, ""))) {
            match name {
                "follow" => query.follow = value == "1",
                "since" => query.since = value.parse().map_err(|_| QueryError::Since(value.to_owned()))?,
                "scopes" => {
                    let scopes = decode_separators(value);
                    query.wanted = parse_wanted(&scopes)?;
                    query.scopes = scopes.into();
                }
                "name" => query.name = value.chars().take(MAX_NAME_BYTES).collect(),
                _ => {}
            }
        }
        Ok(query)
    }
}

/// Decodes the two characters of a list of scopes that a client may have percent-encoded.
fn decode_separators(value: &str) -> String {
    value.replace("%2F", "/").replace("%2f", "/").replace("%2C", ",").replace("%2c", ",")
}

fn parse_wanted(text: &str) -> Result<Wanted, QueryError> {
    if text == "*" {
        return Ok(Wanted::All);
    }
    let scopes: Vec<Scope> =
        text.split(',').take(MAX_CHILD_SCOPES + 1).map(str::parse).collect::<Result<_, _>>()?;
    if scopes.len() > MAX_CHILD_SCOPES {
        return Err(QueryError::TooManyScopes);
    }
    Ok(Wanted::These(scopes))
}
