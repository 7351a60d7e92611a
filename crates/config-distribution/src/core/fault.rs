//! What can be wrong with a publication or a document: each fault names its place, and says what was expected there and
//! what was found. Its text is what a publisher reads in the answer and what a balancer logs and reports.

use std::fmt::Display;

use thiserror::Error;

use crate::document::Scope;
use crate::effective::ALLOWED;
use crate::origin::MAX_REQUEST_ID_BYTES;

/// One fault of a publication.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Fault {
    /// The request id is empty or too long.
    #[error("request id: expected 1 to {MAX_REQUEST_ID_BYTES} bytes, got {bytes}")]
    RequestId {
        /// The bytes that it has.
        bytes: usize,
    },
    /// A document is to be withdrawn where there is none.
    #[error("{scope}: there is no document to withdraw")]
    NothingToWithdraw {
        /// Where.
        scope: Scope,
    },
    /// The body has not the form of a document.
    #[error(transparent)]
    Form(#[from] FormFault),
    /// A check of the settings cannot read the body.
    #[error(transparent)]
    Json(#[from] JsonError),
    /// The settings in the body have a fault.
    #[error(transparent)]
    Settings(#[from] balancer_settings::Fault),
    /// Further faults of the settings, which the check did not list.
    #[error("and {count} more")]
    Unlisted {
        /// How many.
        count: usize,
    },
}

impl Fault {
    /// The faults that a check of the settings found, the last of which counts those that it did not list.
    #[must_use]
    pub fn of_settings(faults: &balancer_settings::Faults) -> Vec<Self> {
        let listed = faults.listed().iter().cloned().map(Self::Settings);
        let unlisted = Some(faults.unlisted()).filter(|count| *count > 0);
        listed.chain(unlisted.map(|count| Self::Unlisted { count })).collect()
    }
}

/// A fault of the form of a document's body, which is to be `{"settings": {...}}`.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{scope}: {kind}")]
pub struct FormFault {
    /// Of which document.
    pub scope: Scope,
    /// What is wrong, and where in the body.
    pub kind: FormFaultKind,
}

/// What is wrong with the form of a document's body.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum FormFaultKind {
    /// It is not JSON.
    #[error(transparent)]
    Json(#[from] JsonError),
    /// It is JSON, but not an object.
    #[error("expected an object")]
    NotAnObject,
    /// It has a key beside `settings`.
    #[error("{key}: expected nothing but settings")]
    UnknownKey {
        /// The key.
        key: String,
    },
    /// It has a part of the settings that belongs to the process's own file.
    #[error("settings.{key}: a document may only hold {}", ALLOWED.join(", "))]
    NotAllowed {
        /// The part.
        key: String,
    },
    /// Its `settings` is not an object.
    #[error("settings: expected an object")]
    SettingsNotAnObject,
    /// It has no `settings`.
    #[error("settings: missing")]
    NoSettings,
}

/// Why a text is not JSON, as a value that can be cloned and compared.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{message}")]
pub struct JsonError {
    /// The line of the text, from 1; 0 where none is known.
    pub line: usize,
    /// The column, from 1; 0 where none is known.
    pub column: usize,
    /// What was expected or found there, with the line and the column.
    pub message: Box<str>,
}

impl From<serde_json::Error> for JsonError {
    fn from(error: serde_json::Error) -> Self {
        Self { line: error.line(), column: error.column(), message: error.to_string().into() }
    }
}

/// Faults on one line, with semicolons between, as logs and reports have them.
#[must_use]
pub fn join(faults: &[impl Display]) -> String {
    faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}
