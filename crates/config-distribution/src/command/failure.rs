//! Errors of commands and their exit codes. The command line's help lists the exit codes too.

use std::fmt::{self, Display, Formatter};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use hyper::StatusCode;
use serde_json::Value;
use thiserror::Error;

use super::publisher::MAX_DOCUMENT_BYTES;
use crate::host::call::CallError;
use crate::host::origin::OriginError;
use crate::host::relay::RelayError;
use crate::store::StoreError;

/// Exit code if the request was refused; nothing has changed.
const EXIT_REJECTED: u8 = 1;
/// Exit code for invalid arguments (clap uses the same code), or a file, directory or address that cannot be used.
const EXIT_UNUSABLE: u8 = 2;
/// Exit code if there was no answer, so that it is unknown whether a change was accepted.
const EXIT_UNKNOWN: u8 = 3;

/// Error of a command.
#[derive(Debug, Error)]
pub(super) enum Failure {
    #[error("cannot start the async runtime: {0}")]
    Runtime(io::Error),
    #[error("cannot install the signal handlers: {0}")]
    Signals(io::Error),
    #[error("cannot listen on {address}: {source}")]
    Listen { address: SocketAddr, source: io::Error },
    #[error("cannot read the document from {}: {source}", path.display())]
    Document { path: PathBuf, source: io::Error },
    #[error("the document in {} is larger than {MAX_DOCUMENT_BYTES} bytes", path.display())]
    DocumentTooLarge { path: PathBuf },
    #[error("cannot open the store in {}: {source}", directory.display())]
    Store { directory: PathBuf, source: StoreError },
    #[error("cannot start the origin from the store in {}: {source}", directory.display())]
    Origin { directory: PathBuf, source: OriginError },
    #[error("cannot start the relay from the store in {}: {source}", directory.display())]
    Relay { directory: PathBuf, source: RelayError },
    /// The change was refused.
    #[error("the change was refused and nothing was changed: {0}")]
    ChangeRejected(Rejection),
    /// The request for documents or for the report was refused.
    #[error("{to} refused the request: {rejection}")]
    ReadRejected { to: SocketAddr, rejection: Rejection },
    /// The request for documents or for the report had no usable answer.
    #[error("the request to {to} failed: {source}")]
    ReadUnanswered { to: SocketAddr, source: CallError },
    /// No attempt at the change had a conclusive answer, so it is unknown whether the change was accepted.
    #[error(
        "{to} gave no conclusive answer, the change may have been made: {last}; repeat it with --request {id}"
    )]
    ChangeUnknown { to: SocketAddr, last: Unanswered, id: String },
}

impl Failure {
    /// Exit code of the program for this error.
    pub(super) fn exit_code(&self) -> u8 {
        match self {
            Self::ChangeRejected(_) | Self::ReadRejected { .. } => EXIT_REJECTED,
            Self::Runtime(_)
            | Self::Signals(_)
            | Self::Listen { .. }
            | Self::Document { .. }
            | Self::DocumentTooLarge { .. }
            | Self::Store { .. }
            | Self::Origin { .. }
            | Self::Relay { .. } => EXIT_UNUSABLE,
            Self::ReadUnanswered { .. } | Self::ChangeUnknown { .. } => EXIT_UNKNOWN,
        }
    }
}

/// Result of the last attempt at a change that leaves open whether the change was accepted.
#[derive(Debug, Error)]
pub(super) enum Unanswered {
    #[error("{0}")]
    Call(#[from] CallError),
    #[error("{0}")]
    Rejection(Rejection),
}

/// A response that refuses a request, formatted for the operator.
#[derive(Debug)]
pub(super) struct Rejection {
    status: StatusCode,
    /// The JSON body of the response; null if the body is not JSON.
    answer: Value,
}

impl Rejection {
    pub(super) fn new(status: StatusCode, text: &[u8]) -> Self {
        // If the body is not JSON, only the status is shown.
        Self { status, answer: serde_json::from_slice(text).unwrap_or_default() }
    }
}

impl Display for Rejection {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self { status, answer } = self;
        if let Some(faults) = answer["faults"].as_array() {
            let faults: Vec<&str> = faults.iter().filter_map(Value::as_str).collect();
            return write!(f, "{status}\n{}", faults.join("\n"));
        }
        write!(f, "{status}: {}", answer["error"].as_str().unwrap_or("no reason given"))
    }
}
