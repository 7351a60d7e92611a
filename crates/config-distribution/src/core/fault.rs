//! Faults of publications and documents. Each names the place of the fault, what was expected there and what was found.
//! The text of a fault is sent to the publisher in the response, and balancers log and report it.

use std::fmt::Display;

use thiserror::Error;

use crate::document::Scope;
use crate::effective::ALLOWED_KEYS;
use crate::origin::MAX_REQUEST_ID_BYTES;

/// One fault of a publication.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Fault {
    /// The request id is empty or too long.
    #[error("request id: expected 1 to {MAX_REQUEST_ID_BYTES} bytes, got {bytes}")]
    RequestId {
        /// Length of the request id in bytes.
        bytes: usize,
    },
    /// The publication withdraws a document that does not exist.
    #[error("{scope}: there is no document to withdraw")]
    NothingToWithdraw {
        /// The scope that has no document.
        scope: Scope,
    },
    /// The body does not have the form of a document.
    #[error(transparent)]
    Form(#[from] FormFault),
    /// The body is not JSON, found when its settings were checked.
    #[error(transparent)]
    Json(#[from] JsonError),
    /// A setting in the body is invalid.
    #[error(transparent)]
    Settings(#[from] balancer_settings::Fault),
    /// Further faults of the settings that the check counted but did not list.
    #[error("and {count} more")]
    Unlisted {
        /// Number of faults that are not listed.
        count: usize,
    },
}

impl Fault {
    /// Converts the faults that a check of the settings found. If the check did not list all of them, the last element
    /// is [`Fault::Unlisted`] with the number of the others.
    #[must_use]
    pub fn of_settings(faults: &balancer_settings::Faults) -> Vec<Self> {
        let listed = faults.listed().iter().cloned().map(Self::Settings);
        let unlisted = Some(faults.unlisted()).filter(|count| *count > 0);
        listed.chain(unlisted.map(|count| Self::Unlisted { count })).collect()
    }
}

/// A fault in the form of a document's body, which must be `{"settings": {...}}`.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{scope}: {kind}")]
pub struct FormFault {
    /// Scope of the document that has the fault.
    pub scope: Scope,
    /// What is wrong, and where in the body.
    pub kind: FormFaultKind,
}

/// What is wrong with the form of a document's body.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum FormFaultKind {
    /// The body is not JSON.
    #[error(transparent)]
    Json(#[from] JsonError),
    /// The body is JSON, but not an object.
    #[error("expected an object")]
    NotAnObject,
    /// The body has a key other than `settings`.
    #[error("{key}: expected nothing but settings")]
    UnknownKey {
        /// The unknown key.
        key: String,
    },
    /// The settings contain a key that may only be set in the process's own file; see [`ALLOWED_KEYS`].
    #[error("settings.{key}: a document may only hold {}", ALLOWED_KEYS.join(", "))]
    NotAllowed {
        /// The settings key that is not allowed.
        key: String,
    },
    /// The value of `settings` is not an object.
    #[error("settings: expected an object")]
    SettingsNotAnObject,
    /// The body has no `settings` key.
    #[error("settings: missing")]
    NoSettings,
}

/// Why a text is not JSON, as a value that can be cloned and compared.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{message}")]
pub struct JsonError {
    /// Line of the error in the text, counted from 1; 0 if unknown.
    pub line: usize,
    /// Column of the error in its line, counted from 1; 0 if unknown.
    pub column: usize,
    /// What was expected or found, with the line and the column.
    pub message: Box<str>,
}

impl From<serde_json::Error> for JsonError {
    fn from(error: serde_json::Error) -> Self {
        Self { line: error.line(), column: error.column(), message: error.to_string().into() }
    }
}

/// Joins faults into one line, separated by semicolons, for logs and reports.
#[must_use]
pub fn join(faults: &[impl Display]) -> String {
    faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}
