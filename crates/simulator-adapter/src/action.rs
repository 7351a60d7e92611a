//! Converts the actions of the policy to lines of the simulator's protocol.
//!
//! Two fields of an attempt have no counterpart in the protocol and are omitted: the deadline for its first byte,
//! and whether it is the last attempt. The module owns no state.

use std::io::{self, Write};
use std::time::Duration;

use balancer_policy::Action;
use balancer_policy::interface::RequestId;

use crate::requests::RequestTable;

/// Returns the id of the request that an action refers to, if any.
pub fn request_id(action: &Action) -> Option<RequestId> {
    match *action {
        Action::Send { request, .. }
        | Action::CancelAttempt { request, .. }
        | Action::Refuse { request, .. }
        | Action::Fail { request } => Some(request),
        Action::Subscribe
        | Action::HealthCheck { .. }
        | Action::CloseIdle { .. }
        | Action::ScheduleMaintenance(_)
        | Action::Log(_) => None,
    }
}

/// Writes an action as one line of the protocol.
pub fn write_action(requests: &RequestTable, action: &Action, output: &mut impl Write) -> io::Result<()> {
    let ticket = request_id(action).and_then(|id| requests.wire_id(id)).unwrap_or("-");
    match action {
        Action::Send { upstream, timeout, .. } => {
            write!(output, "CALL_OUT\t{ticket}\t{}\t", upstream.0)?;
            write_seconds(*timeout, output)
        }
        Action::CancelAttempt { attempt, .. } => writeln!(output, "WITHDRAW\t{ticket}\t{}", attempt.0),
        Action::Refuse { retry_after, .. } => {
            write!(output, "DENY\t{ticket}\t")?;
            write_seconds(*retry_after, output)
        }
        Action::Fail { .. } => writeln!(output, "ABORT\t{ticket}"),
        Action::Subscribe => writeln!(output, "OBSERVE\t1"),
        Action::HealthCheck { upstream } => writeln!(output, "POLL\t{}", upstream.0),
        Action::CloseIdle { upstream } => writeln!(output, "DROP_CONNS\t{}", upstream.0),
        Action::ScheduleMaintenance(span) => writeln!(output, "AFTER\t{:.6}\tsweep", span.as_secs_f64()),
        Action::Log(text) => writeln!(output, "DEBUG\t{text}"),
    }
}

fn write_seconds(span: Option<Duration>, output: &mut impl Write) -> io::Result<()> {
    match span {
        Some(span) => writeln!(output, "{:.6}", span.as_secs_f64()),
        None => writeln!(output, "-"),
    }
}
