//! A request: read to its last byte and checked against the settings.

use std::rc::Rc;
use std::time::Duration;

use balancer_policy::interface::{ClassId, Idempotency, TenantId};
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HOST, HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Request, StatusCode, Uri};
use thiserror::Error;
use tokio::time::{Instant, timeout_at};

use crate::event_loop::{AcceptedRequest, EventLoop};
use crate::reconfiguration::{Offered, OfferedClass};
use crate::socket::WeakSocket;
use crate::upstream::{Call, MAX_BODY_BYTES};

/// Subtracted from the time that a client waits: the answer must arrive before that is up.
const MARGIN: Duration = Duration::from_millis(30);

/// What is wrong with a client's request.
#[derive(Debug, Error, PartialEq, Eq)]
pub(super) enum BadRequest {
    #[error("no such class")]
    Class,
    #[error("no such tenant")]
    Tenant,
    #[error("the deadline is not a time in seconds")]
    Deadline,
    #[error("no request id")]
    Id,
    #[error("the method does not fit the class")]
    Method,
    #[error("the class wants an idempotency key")]
    Key,
    #[error("the body is too large")]
    TooLarge,
    #[error("the body broke off")]
    Body,
    #[error("the body came too slowly")]
    Slow,
}

impl BadRequest {
    pub(super) fn status(&self) -> StatusCode {
        match self {
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Slow => StatusCode::REQUEST_TIMEOUT,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Seconds as a client writes them.
fn parse_seconds(value: &str) -> Option<Duration> {
    value.trim().parse().ok().and_then(|seconds| Duration::try_from_secs_f64(seconds).ok())
}

/// What the head of a request asks for.
struct RequestHead {
    class: ClassId,
    tenant: Option<TenantId>,
    /// How long its client waits.
    client_timeout: Duration,
    /// It must not run twice.
    must_not_repeat: bool,
}

impl RequestHead {
    fn read(head: &Parts, offered: &Offered) -> Result<Self, BadRequest> {
        let class = head.uri.path().trim_start_matches('/').split('/').next().unwrap_or_default();
        let OfferedClass { id: class, figures } = offered.class(class).ok_or(BadRequest::Class)?;
        check_method(figures.idempotency, head)?;
        let tenant = match header_text(&head.headers, "x-tenant") {
            Some(name) => Some(offered.tenant(name).ok_or(BadRequest::Tenant)?),
            None if offered.has_no_tenants() => None,
            None => return Err(BadRequest::Tenant),
        };
        // A client that does not say how long it waits is held to wait as long as its class allows.
        let client_timeout = match head.headers.get("x-deadline") {
            Some(value) => value.to_str().ok().and_then(parse_seconds).ok_or(BadRequest::Deadline)?,
            None => figures.deadline,
        };
        let must_not_repeat = figures.idempotency == Idempotency::NotIdempotent;
        Ok(Self { class, tenant, client_timeout: client_timeout.min(figures.deadline * 10), must_not_repeat })
    }
}

/// Whether the method fits what the class does, and the key that it may want is there.
fn check_method(idempotency: Idempotency, head: &Parts) -> Result<(), BadRequest> {
    match idempotency {
        Idempotency::Idempotent if head.method != Method::GET => Err(BadRequest::Method),
        Idempotency::IdempotencyKey { .. } if !head.headers.contains_key("idempotency-key") => {
            Err(BadRequest::Key)
        }
        Idempotency::IdempotencyKey { .. } | Idempotency::NotIdempotent if head.method != Method::POST => {
            Err(BadRequest::Method)
        }
        _ => Ok(()),
    }
}

/// Reads a request to its last byte, which must come by then. Not cancel safe: what was read of the body is lost, and
/// the connection with it.
pub(super) async fn read_request(
    event_loop: &EventLoop,
    request: Request<Incoming>,
    client: WeakSocket,
    complete_by: Instant,
) -> Result<AcceptedRequest, BadRequest> {
    let (head, body) = request.into_parts();
    let offered = event_loop.offered();
    let mut checked = RequestHead::read(&head, &offered)?;
    let key = head.headers.get("idempotency-key").cloned();
    let id = head.headers.get("x-request-id").cloned().ok_or(BadRequest::Id)?;
    let body = read_body(body, complete_by).await?;
    // While the rest of it came the settings may have changed, and it is taken under those in force now.
    let latest = event_loop.offered();
    if !Rc::ptr_eq(&offered, &latest) {
        checked = RequestHead::read(&head, &latest)?;
    }
    let RequestHead { class, tenant, client_timeout, must_not_repeat } = checked;
    let now = Instant::now();
    let cost = header_text(&head.headers, "x-cost-hint").and_then(|value| value.trim().parse().ok());
    Ok(AcceptedRequest {
        class,
        tenant,
        subject: affinity_key(head.uri.query()),
        expected_work: cost.map(Duration::from_micros),
        is_client_retry: header_text(&head.headers, "x-retry") == Some("1"),
        deadline: now + client_timeout.saturating_sub(MARGIN),
        client,
        call: Rc::new(Call {
            method: head.method,
            host: head.headers.get(HOST).cloned().unwrap_or(HeaderValue::from_static("upstream")),
            uri: origin_form(head.uri),
            id,
            key,
            body,
            must_not_repeat,
        }),
    })
}

async fn read_body(body: Incoming, complete_by: Instant) -> Result<Bytes, BadRequest> {
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(BadRequest::TooLarge);
    }
    match timeout_at(complete_by, Limited::new(body, MAX_BODY_BYTES).collect()).await {
        Err(_) => Err(BadRequest::Slow),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(BadRequest::TooLarge),
        Ok(Err(_)) => Err(BadRequest::Body),
    }
}

/// What goes on is the path, also of a request that names its host there.
fn origin_form(uri: Uri) -> Uri {
    if uri.scheme().is_none() {
        return uri;
    }
    uri.into_parts().path_and_query.map(Uri::from).unwrap_or_default()
}

/// What a request is about, from the query parameter `k`.
fn affinity_key(query: Option<&str>) -> Option<u64> {
    let value = query?.split('&').find_map(|pair| pair.strip_prefix("k="))?;
    u64::from_str_radix(value, 16).ok()
}
