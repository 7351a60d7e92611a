//! Words and encodings of the wire: outcomes, phases, bytes.
//!
//! The protocol's words are older than the policy's terms; this is the one place that pairs them.
//! The module owns no state.

use balancer_policy::interface::{Lifecycle, Outcome};

use crate::error::Malformed;

/// How an attempt or a health check ended.
pub fn outcome(value: &str) -> Result<Outcome, Malformed> {
    Ok(match value {
        "GOOD" => Outcome::Success,
        "BAD" => Outcome::Error,
        "FULL" => Outcome::Refused,
        "LATE" => Outcome::TimedOut,
        "NOCONN" => Outcome::ConnectFailed,
        "RST" => Outcome::Reset,
        "CXL" => Outcome::Cancelled,
        "NOP" => Outcome::NotSent,
        _ => return Err(Malformed::value("outcome", value)),
    })
}

/// What discovery says of an upstream.
pub fn lifecycle(value: &str) -> Result<Lifecycle, Malformed> {
    Ok(match value {
        "Ready" => Lifecycle::Ready,
        "Terminating" => Lifecycle::Draining,
        "Gone" => Lifecycle::Removed,
        _ => return Err(Malformed::value("phase", value)),
    })
}

/// The bytes of a gossip message: hex digits, `-` for none.
pub fn decode_hex(value: &str) -> Result<Vec<u8>, Malformed> {
    if value == "-" {
        return Ok(Vec::new());
    }
    let digit = |byte: u8| char::from(byte).to_digit(16).and_then(|digit| u8::try_from(digit).ok());
    value
        .as_bytes()
        .chunks(2)
        .map(|pair| match *pair {
            [high, low] => Some(digit(high)? << 4 | digit(low)?),
            _ => None,
        })
        .collect::<Option<_>>()
        .ok_or_else(|| Malformed::value("content", value))
}
