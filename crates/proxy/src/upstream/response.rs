//! Reads an upstream's response: the outcome, the body and the load report.

use balancer_policy::interface::{LoadReport, Outcome};
use bytes::Bytes;
use config_distribution::host::body::{BodyError, read_body};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};

use super::call::MAX_BODY_BYTES;
use super::context::AttemptContext;
use super::job::AttemptEnd;

/// Reads a response to its end; `None` if the connection breaks before that.
pub(super) async fn read_response(
    context: &impl AttemptContext,
    response: Response<Incoming>,
) -> Option<AttemptEnd> {
    let (head, body) = response.into_parts();
    let load = head.headers.get("x-load").and_then(|value| parse_load_report(context, value));
    // A request that got a 503 without `x-not-run`, from the upstream itself or from a tier behind it, may have run.
    let not_run = matches!(head.status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT)
        && head.headers.get("x-not-run").is_some_and(|value| value.as_bytes() == b"1");
    let body = match read_body(body, MAX_BODY_BYTES).await {
        Ok(body) => body,
        // A body that is too large to forward is still a response of the upstream.
        Err(BodyError::TooLarge) => return Some(Outcome::Error.into()),
        // The head says that the request has not run, so it counts as refused although the rest of the response is
        // lost.
        Err(_) if not_run => Bytes::new(),
        Err(_) => return None,
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
