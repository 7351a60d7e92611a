//! Counts why client connections were closed.

use std::fmt::{self, Display, Formatter};

/// Why a client connection was closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// The client ended its stream, or the connection broke, between requests.
    ClientIdle,
    /// The client ended its stream while its request was in progress, or left its last answer unread.
    ClientInRequest,
    /// HTTP ended: an answer said that it closes the connection, or what came was no HTTP.
    Http,
    /// No request came for too long.
    Idle,
    /// The first request was not complete in time.
    FirstRequest,
    /// The head of a later request was not complete in time.
    Head,
    /// Another connection needed its socket or its buffers.
    Evicted,
    /// The program is shutting down.
    Drain,
}

impl CloseReason {
    /// All reasons, in the order of the counts.
    const ALL: [Self; 8] = [
        Self::ClientIdle,
        Self::ClientInRequest,
        Self::Http,
        Self::Idle,
        Self::FirstRequest,
        Self::Head,
        Self::Evicted,
        Self::Drain,
    ];

    /// The words of the log line.
    fn words(self) -> &'static str {
        match self {
            Self::ClientIdle => "by clients between requests",
            Self::ClientInRequest => "by clients in a request",
            Self::Http => "after an answer or an error",
            Self::Idle => "idle",
            Self::FirstRequest => "first request late",
            Self::Head => "head late",
            Self::Evicted => "evicted",
            Self::Drain => "shutting down",
        }
    }
}

/// Counts of closed client connections by reason since the last line of counters.
#[derive(Debug, Default, Clone)]
pub struct Closes([u32; CloseReason::ALL.len()]);

impl Closes {
    /// Counts a connection that was closed.
    pub fn add(&mut self, reason: CloseReason) {
        self.0[reason as usize] += 1;
    }
}

impl Display for Closes {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for (position, reason) in CloseReason::ALL.into_iter().enumerate() {
            let separator = if position == 0 { "" } else { ", " };
            write!(f, "{separator}{} {}", self.0[reason as usize], reason.words())?;
        }
        Ok(())
    }
}
