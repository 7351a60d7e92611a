//! Reads an upstream's response: the outcome, the body and the load report.

use balancer_policy::interface::{LoadReport, Outcome};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};

use super::call::MAX_BODY_BYTES;
use super::context::AttemptContext;
use super::job::AttemptEnd;
use super::progress::Progress;
use crate::memory::{ByteBudget, UNCOUNTED_BYTES};

/// Reads a response to its end; `None` if the connection breaks before that.
pub(super) async fn read_response(
    context: &impl AttemptContext,
    progress: &Progress,
    response: Response<Incoming>,
) -> Option<AttemptEnd> {
    let (head, body) = response.into_parts();
    progress.record_answer();
    let load = head.headers.get("x-load").and_then(|value| parse_load_report(context, value));
    // A request that got a 503 without `x-not-run`, from the upstream itself or from a tier behind it, may have run.
    let not_run = matches!(head.status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT)
        && head.headers.get("x-not-run").is_some_and(|value| value.as_bytes() == b"1");
    let body = match read_body(body, progress, &context.pool().memory().answers).await {
        Ok(body) => body,
        // A body that is too large to forward is still a response of the upstream.
        Err(AnswerBodyError::TooLarge) => return Some(Outcome::Error.into()),
        // The head says that the request has not run, so it counts as refused although the rest of the response is
        // lost.
        Err(AnswerBodyError::Connection) if not_run => Bytes::new(),
        Err(AnswerBodyError::Connection) => return None,
    };
    let outcome = match head.status {
        StatusCode::OK => Outcome::Success,
        _ if not_run => Outcome::Refused,
        // A malformed request of a client says nothing about the upstream.
        StatusCode::BAD_REQUEST | StatusCode::NOT_FOUND => Outcome::InvalidRequest,
        _ => Outcome::Error,
    };
    Some(AttemptEnd { body: (outcome == Outcome::Success).then_some(body), load, ..outcome.into() })
}

/// Why the body of a response was not read to its end.
enum AnswerBodyError {
    /// The body is larger than [`MAX_BODY_BYTES`].
    TooLarge,
    /// The connection failed before the end of the body.
    Connection,
}

/// Reads a body within the budget. If the budget has no room, it waits, and the rest of the body stays in the socket.
/// The room for a whole body is reserved at once, so that two bodies never wait for each other.
async fn read_body(
    mut body: Incoming,
    progress: &Progress,
    budget: &ByteBudget,
) -> Result<Bytes, AnswerBodyError> {
    let announced = body.size_hint();
    if announced.lower() > MAX_BODY_BYTES as u64 {
        return Err(AnswerBodyError::TooLarge);
    }
    let expected = announced.exact().and_then(|bytes| usize::try_from(bytes).ok()).unwrap_or(MAX_BODY_BYTES);
    let mut reservation = budget.reservation();
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(piece) = frame.map_err(|_| AnswerBodyError::Connection)?.into_data() else { continue };
        progress.record_answer();
        let needed = bytes.len() + piece.len();
        if needed > MAX_BODY_BYTES {
            return Err(AnswerBodyError::TooLarge);
        }
        if needed > UNCOUNTED_BYTES {
            progress.set_awaits_memory(true);
            reservation.grow_to(expected).await;
            progress.set_awaits_memory(false);
        }
        if needed > bytes.capacity() {
            let capacity = needed.max(2 * bytes.capacity()).min(expected.max(needed));
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(&piece);
    }
    bytes.shrink_to_fit();
    reservation.shrink_to(bytes.len().saturating_sub(UNCOUNTED_BYTES));
    Ok(reservation.attach(bytes))
}

/// Parses a load report of the form `name=value,name=value`, ignoring fields that the settings do not define.
fn parse_load_report(context: &impl AttemptContext, value: &HeaderValue) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    for part in value.to_str().ok()?.split(',') {
        let (name, value) = part.split_once('=')?;
        let name = name.trim();
        let value: f64 = value.trim().parse().ok().filter(|value: &f64| value.is_finite())?;
        if context.has_load_field(name) {
            balancer_settings::set_load_field(&mut report, name, value);
        }
    }
    Some(report)
}
