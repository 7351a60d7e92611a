//! Parses the query of a watch, or of a request for the current state.

use std::str::FromStr;

use thiserror::Error;

use crate::document::{MAX_NAME_BYTES, Scope, ScopeError};
use crate::report::MAX_CHILD_SCOPES;
use crate::state::Wanted;

/// Why a query is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub(super) enum QueryError {
    /// `since` is not an index.
    #[error("since: expected an index, got {0:?}")]
    Since(String),
    /// `scopes` contains a text that is not a scope.
    #[error("scopes: {0}")]
    Scope(#[from] ScopeError),
    /// `scopes` lists more scopes than a child may use.
    #[error("scopes: at most {MAX_CHILD_SCOPES}")]
    TooManyScopes,
}

/// Query of a watch, or of a request for the current state.
pub(super) struct WatchQuery {
    /// Whether the request is a watch, and not one for a single response.
    pub follow: bool,
    /// Index of the newest change that the reader has; 0 if it has no state.
    pub since: u64,
    /// Scopes as written in the query, by which watches share encoded lines.
    pub scopes: Box<str>,
    /// Parsed scopes, whose documents the reader is sent.
    pub wanted: Wanted,
    /// Name of the reader, for the log.
    pub name: Box<str>,
}

impl FromStr for WatchQuery {
    type Err = QueryError;

    /// Parses a query. Unknown keys are ignored, so that newer children can use older parents.
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

/// Decodes `/` and `,` in a list of scopes, the two characters that a client may have percent-encoded.
fn decode_separators(value: &str) -> String {
    value.replace("%2F", "/").replace("%2f", "/").replace("%2C", ",").replace("%2c", ",")
}

/// Parses a list of scopes separated by commas; `*` stands for all scopes.
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
