//! Parses the encoded values of the simulator's protocol: outcomes, lifecycle phases and hex-encoded bytes.
//!
//! The words of the protocol are older than the terms of the policy; only this module maps one to the other.
//! The module owns no state.

use balancer_policy::interface::{Lifecycle, Outcome};

use crate::error::Malformed;

/// Parses the outcome of an attempt or a health check.
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

/// Parses the lifecycle phase of an upstream as discovery reports it.
pub fn lifecycle(value: &str) -> Result<Lifecycle, Malformed> {
    Ok(match value {
        "Ready" => Lifecycle::Ready,
        "Terminating" => Lifecycle::Draining,
        "Gone" => Lifecycle::Removed,
        _ => return Err(Malformed::value("phase", value)),
    })
}

/// Decodes the content of a gossip message from hex digits; `-` stands for empty content.
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
