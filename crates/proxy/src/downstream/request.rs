//! Reads a client's request to its last byte and checks it against the settings.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use balancer_policy::interface::{ClassId, Idempotency, TenantId};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, StatusCode, Uri};
use thiserror::Error;

use crate::event_loop::{AcceptedRequest, EventLoop};
use crate::memory::{ReceiveError, RequestBodies};
use crate::reconfiguration::{ClassEntry, NameRegistry};
use crate::socket::Socket;
use crate::upstream::{Call, MAX_BODY_BYTES};

/// Time subtracted from a client's deadline, so that the answer arrives before the deadline.
const RESPONSE_MARGIN: Duration = Duration::from_millis(30);

/// The reason why a client's request is not accepted. The error texts are sent to the client.
#[derive(Debug, Error, PartialEq, Eq)]
pub(super) enum BadRequest {
    #[error("no such class")]
    UnknownClass,
    #[error("no such tenant")]
    UnknownTenant,
    #[error("the deadline is not a time in seconds")]
    InvalidDeadline,
    #[error("no request id")]
    MissingRequestId,
    #[error("the method does not fit the class")]
    Method,
    #[error("the class wants an idempotency key")]
    MissingIdempotencyKey,
    #[error("the body is too large")]
    TooLarge,
    #[error("the body broke off")]
    Body,
    #[error("the body came too slowly")]
    BodyTimedOut,
    /// The request made no progress, and the memory of its connection is needed for others.
    #[error("refused, as the body came too slowly")]
    Abandoned,
    /// The request is valid and was read to its end, but there was no room to keep it.
    #[error("no memory is left for its body")]
    NoMemory,
}

impl BadRequest {
    pub(super) fn status(&self) -> StatusCode {
        match self {
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimedOut => StatusCode::REQUEST_TIMEOUT,
            Self::NoMemory | Self::Abandoned => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Parses a decimal number of seconds from a header.
fn parse_seconds(value: &str) -> Option<Duration> {
    value.trim().parse().ok().and_then(|seconds| Duration::try_from_secs_f64(seconds).ok())
}

/// The parts of a request's head that the balancer uses. They are copies, because the head that hyper delivers keeps the
/// whole read buffer of its connection alive.
struct RequestHead {
    method: Method,
    uri: Uri,
    host: Option<HeaderValue>,
    id: Option<HeaderValue>,
    key: Option<HeaderValue>,
    tenant: Option<HeaderValue>,
    deadline: Option<HeaderValue>,
    expected_work: Option<Duration>,
    is_client_retry: bool,
}

/// What a head says under the settings in force.
struct CheckedHead {
    class: ClassId,
    tenant: Option<TenantId>,
    /// How long the client waits for the answer.
    client_timeout: Duration,
    /// Whether the request must not run twice, because its class is not idempotent.
    must_not_repeat: bool,
}

impl RequestHead {
    fn copy_of(head: &Parts) -> Self {
        let header = |name: &str| head.headers.get(name).map(copied_value);
        let cost = header_text(&head.headers, "x-cost-hint").and_then(|value| value.trim().parse().ok());
        Self {
            method: head.method.clone(),
            uri: origin_form(&head.uri),
            host: head.headers.get(HOST).map(copied_value),
            id: header("x-request-id"),
            key: header("idempotency-key"),
            tenant: header("x-tenant"),
            deadline: header("x-deadline"),
            expected_work: cost.map(Duration::from_micros),
            is_client_retry: header_text(&head.headers, "x-retry") == Some("1"),
        }
    }

    fn check(&self, name_registry: &NameRegistry) -> Result<CheckedHead, BadRequest> {
        let class = self.uri.path().trim_start_matches('/').split('/').next().unwrap_or_default();
        let ClassEntry { id: class, parameters } =
            name_registry.class(class).ok_or(BadRequest::UnknownClass)?;
        self.check_method(parameters.idempotency)?;
        let tenant = match self.tenant.as_ref().and_then(|value| value.to_str().ok()) {
            Some(name) => Some(name_registry.tenant(name).ok_or(BadRequest::UnknownTenant)?),
            None if name_registry.has_no_tenants() => None,
            None => return Err(BadRequest::UnknownTenant),
        };
        // A client that sends no deadline is assumed to wait for as long as its class allows.
        let client_timeout = match &self.deadline {
            Some(value) => value.to_str().ok().and_then(parse_seconds).ok_or(BadRequest::InvalidDeadline)?,
            None => parameters.deadline,
        };
        let must_not_repeat = parameters.idempotency == Idempotency::NotIdempotent;
        Ok(CheckedHead {
            class,
            tenant,
            client_timeout: client_timeout.min(parameters.deadline * 10),
            must_not_repeat,
        })
    }

    /// Checks that the method fits the idempotency of the class, and that the idempotency key is present if the class
    /// needs one.
    fn check_method(&self, idempotency: Idempotency) -> Result<(), BadRequest> {
        match idempotency {
            Idempotency::Idempotent if self.method != Method::GET => Err(BadRequest::Method),
            Idempotency::IdempotencyKey { .. } if self.key.is_none() => {
                Err(BadRequest::MissingIdempotencyKey)
            }
            Idempotency::IdempotencyKey { .. } | Idempotency::NotIdempotent
                if self.method != Method::POST =>
            {
                Err(BadRequest::Method)
            }
            _ => Ok(()),
        }
    }
}

/// Copies a header value into memory of its own.
fn copied_value(value: &HeaderValue) -> HeaderValue {
    // The bytes of a header value are always valid as such.
    HeaderValue::from_bytes(value.as_bytes()).unwrap_or_else(|_| value.clone())
}

/// Reads a request to its last byte, which must arrive before the future `overdue` is ready. Not cancel safe: the part of
/// the body that was read is lost, and the connection cannot be used any more.
pub(super) async fn read_request(
    event_loop: &EventLoop,
    request: Request<Incoming>,
    client: &Socket,
    overdue: impl Future<Output = ()>,
) -> Result<AcceptedRequest, BadRequest> {
    let (head, body) = request.into_parts();
    let head = RequestHead::copy_of(&head);
    let name_registry = event_loop.name_registry();
    let mut checked = head.check(&name_registry)?;
    let id = head.id.clone().ok_or(BadRequest::MissingRequestId)?;
    let body = receive_body_unless(overdue, body, &event_loop.memory().request_bodies).await;
    let body = body.inspect_err(|error| event_loop.log_unaccepted(&id, error))?;
    // The settings may have changed while the body was read; the request is accepted under the settings now in force.
    let latest = event_loop.name_registry();
    if !Rc::ptr_eq(&name_registry, &latest) {
        checked = head.check(&latest)?;
    }
    let CheckedHead { class, tenant, client_timeout, must_not_repeat } = checked;
    Ok(AcceptedRequest {
        class,
        tenant,
        subject: affinity_key(head.uri.query()),
        expected_work: head.expected_work,
        is_client_retry: head.is_client_retry,
        // Requests that were sent together are read one after another; the time of each counts from its last byte.
        deadline: client.received_at() + client_timeout.saturating_sub(RESPONSE_MARGIN),
        client: client.downgrade(),
        call: Rc::new(Call {
            method: head.method,
            host: head.host.unwrap_or(HeaderValue::from_static("upstream")),
            uri: head.uri,
            id,
            key: head.key,
            body,
            must_not_repeat,
        }),
    })
}

async fn receive_body_unless(
    overdue: impl Future<Output = ()>,
    body: Incoming,
    bodies: &RequestBodies,
) -> Result<Bytes, BadRequest> {
    tokio::select! {
        biased;
        body = bodies.receive(body, MAX_BODY_BYTES) => body.map_err(|error| match error {
            ReceiveError::TooLarge => BadRequest::TooLarge,
            ReceiveError::NoMemory => BadRequest::NoMemory,
            ReceiveError::Connection(_) => BadRequest::Body,
        }),
        () = overdue => Err(BadRequest::BodyTimedOut),
    }
}

/// Copies a request target in origin form (path and query), as only that is forwarded.
fn origin_form(uri: &Uri) -> Uri {
    let target = uri.path_and_query().map_or("/", PathAndQuery::as_str);
    // A part of a valid target is valid.
    Uri::try_from(target).unwrap_or_default()
}

/// The key for subject affinity, from the hexadecimal query parameter `k`.
fn affinity_key(query: Option<&str>) -> Option<u64> {
    let value = query?.split('&').find_map(|pair| pair.strip_prefix("k="))?;
    u64::from_str_radix(value, 16).ok()
}
