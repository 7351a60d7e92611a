//! Errors that stop the adapter.
//!
//! The reader of these messages has a simulator run that was aborted, so each message states the input line and
//! the field at fault. The module owns no state.

use std::io;

use balancer_policy::interface::SettingsError;
use balancer_settings::ReadSettingsError;
use thiserror::Error;

/// Maximum number of characters of a value that an error message quotes.
const MAX_EXCERPT_CHARS: usize = 80;

/// Error that stops the adapter before the end of its input.
#[derive(Debug, Error)]
pub enum HostError {
    /// An input line is malformed or not allowed at its position.
    #[error("line {line}: {cause}")]
    Line {
        /// Number of the malformed input line, counted from 1.
        line: u64,
        /// Reason why the line was rejected.
        #[source]
        cause: Malformed,
    },
    /// Standard input or output failed, most often because the simulator has exited.
    #[error("cannot read standard input or write standard output: {0}")]
    Io(#[from] io::Error),
}

/// Reason why an input line is rejected.
#[derive(Debug, Error)]
pub enum Malformed {
    /// The line is not valid UTF-8.
    #[error("the line is not UTF-8 text")]
    NotText,
    /// The line ends before a required field, or the field is empty.
    #[error("field {field} is missing or empty")]
    Missing {
        /// Name of the missing field.
        field: &'static str,
    },
    /// A field has a value that cannot be parsed or is not valid.
    #[error("field {field} is malformed: {value:?}")]
    Value {
        /// Name of the field with the malformed value.
        field: &'static str,
        /// Beginning of the malformed value.
        value: String,
    },
    /// The line has more fields than its message defines.
    #[error("the line has more values than its message defines")]
    TooManyValues,
    /// The line begins with a message name that the protocol does not define.
    #[error("unknown message {0:?}")]
    UnknownMessage(String),
    /// A message is at the wrong position relative to a batch: outside one, or a `TURN` inside one.
    #[error("{0} outside a batch")]
    OutsideBatch(&'static str),
    /// The input ends before the current batch does.
    #[error("the input ends within a batch, before its YOUR_TURN line")]
    IncompleteBatch,
    /// The clock of a batch is earlier than that of the previous batch.
    #[error("the clock is earlier than in the previous batch, it must not go back")]
    ClockWentBack,
    /// An event precedes the first `TO` line of its batch, so that its recipient is unknown.
    #[error("the batch has no TO line before its first event")]
    NoRecipient,
    /// An event is addressed to an instance that has not received a `START` message.
    #[error("instance {0} has not started, its first message must be START")]
    NotStarted(u32),
    /// A message refers to an endpoint list that has not been sent.
    #[error("endpoint list {0} has not been sent, an INVENTORY line must precede this message")]
    UnknownList(u32),
    /// Another message follows before all entries of an endpoint list have been received.
    #[error("endpoint list {list} is missing {missing} of its entries, which must follow its INVENTORY line")]
    IncompleteList {
        /// Number of the incomplete endpoint list.
        list: u32,
        /// Number of entries of the list that have not been received.
        missing: usize,
    },
    /// A list entry follows no list header, or exceeds the number of entries in the header.
    #[error("endpoint list entry outside a list, no INVENTORY line announces it")]
    EntryOutsideList,
    /// A new request has the id of a request that has not ended or still has attempts in flight.
    #[error("duplicate request {0}: the earlier one has not ended or has attempts in flight")]
    DuplicateRequest(String),
    /// The settings of an instance cannot be read.
    #[error("setup: {0}")]
    Setup(#[from] ReadSettingsError),
    /// The policy rejects the settings of an instance.
    #[error("setup: {0}")]
    Settings(#[from] SettingsError),
}

impl Malformed {
    /// Creates the error for a malformed value, shortened to the length that a message may quote.
    pub(crate) fn value(field: &'static str, value: &str) -> Self {
        Self::Value { field, value: excerpt(value) }
    }

    /// Creates the error for an unknown message name, shortened to the length that a message may quote.
    pub(crate) fn unknown_message(name: &str) -> Self {
        Self::UnknownMessage(excerpt(name))
    }
}

/// Error in the processing of one line, without the line number.
#[derive(Debug, Error)]
pub(crate) enum LineError {
    #[error(transparent)]
    Malformed(#[from] Malformed),
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl LineError {
    /// Adds the line number to the error.
    pub fn at_line(self, line: u64) -> HostError {
        match self {
            Self::Malformed(cause) => HostError::Line { line, cause },
            Self::Io(error) => HostError::Io(error),
        }
    }
}

/// Returns the beginning of a value, shortened to the length that an error message may quote.
fn excerpt(value: &str) -> String {
    value.chars().take(MAX_EXCERPT_CHARS).collect()
}
