//! What can go wrong with a command, and the exit code that a script sees of it. The codes stand in the help as well.

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

/// Rejected, with the reasons; nothing has changed.
const EXIT_REJECTED: u8 = 1;
/// Bad arguments (clap uses the same), or a file, directory or address that cannot be used.
const EXIT_UNUSABLE: u8 = 2;
/// No answer: whether a change was accepted is unknown.
const EXIT_UNKNOWN: u8 = 3;

/// Why a command did not do what was asked.
#[derive(Debug, Error)]
pub(super) enum Failure {
    #[error("{0}")]
    Runtime(io::Error),
    #[error("signals: {0}")]
    Signals(io::Error),
    #[error("{address}: {source}")]
    Listen { address: SocketAddr, source: io::Error },
    #[error("{}: {source}", path.display())]
    Document { path: PathBuf, source: io::Error },
    #[error("{}: over {MAX_DOCUMENT_BYTES} bytes", path.display())]
    DocumentTooLarge { path: PathBuf },
    #[error("{}: {source}", directory.display())]
    Store { directory: PathBuf, source: StoreError },
    #[error("{}: {source}", directory.display())]
    Origin { directory: PathBuf, source: OriginError },
    #[error("{}: {source}", directory.display())]
    Relay { directory: PathBuf, source: RelayError },
    #[error("{0}")]
    ChangeRejected(Rejection),
    #[error("{to}: {rejection}")]
    ReadRejected { to: SocketAddr, rejection: Rejection },
    #[error("{to}: {source}")]
    ReadUnanswered { to: SocketAddr, source: CallError },
    #[error("{to}: {last}; say it again with --request {id}")]
    ChangeUnknown { to: SocketAddr, last: Unanswered, id: String },
}

impl Failure {
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

/// Why the last attempt at a change leaves open whether it was accepted.
#[derive(Debug, Error)]
pub(super) enum Unanswered {
    #[error("{0}")]
    Call(#[from] CallError),
    #[error("{0}")]
    Rejection(Rejection),
}

/// An answer that says no, as an operator reads it.
#[derive(Debug)]
pub(super) struct Rejection {
    status: StatusCode,
    answer: Value,
}

impl Rejection {
    pub(super) fn new(status: StatusCode, text: &[u8]) -> Self {
        // Of what is no JSON the status is all that can be said.
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
        write!(f, "{status}: {}", answer["error"].as_str().unwrap_or("no reason told"))
    }
}
