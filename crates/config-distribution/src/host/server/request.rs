//! Routes a request by its method and path, and produces its response. All errors of requests are one type, which gives
//! each its status.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use serde_json::json;
use thiserror::Error;
use tokio::task::spawn_local;

use super::connection::ConnectionControl;
use super::query::{QueryError, WatchQuery};
use super::response::{ResponseBody, error_response, json_response};
use super::{Change, RelayReport, Server, Source};
use crate::document::{Scope, ScopeError};
use crate::host::log::log;

/// Path of watches and of requests for the current state.
const CONFIGURATION: &str = "/configuration";
/// Path of reports, and of requests for the sums over them.
const REPORT: &str = "/configuration/report";
/// Part of a publication's path before the scope.
const DOCUMENT_PREFIX: &str = "/configuration/";

/// Maximum size of a report: the sums of thousands of scopes fit.
const MAX_REPORT_BYTES: usize = 1 << 20;
/// Number of bytes beyond a body's size limit that are still read, so that the sender receives the error response
/// instead of a connection reset.
const MAX_EXCESS_BYTES: usize = 4 << 20;

/// Why a request is rejected. The texts are sent to clients in HTTP responses and are part of the protocol.
#[derive(Debug, Error)]
pub(super) enum RequestError {
    /// The path is unknown.
    #[error("no such path")]
    NoSuchPath,
    /// The path does not support the method.
    #[error("no such method here")]
    NoSuchMethod,
    /// The query of a watch is invalid.
    #[error("{0}")]
    Query(#[from] QueryError),
    /// The path of a publication does not contain a valid scope.
    #[error("{0}")]
    Scope(#[from] ScopeError),
    /// A publication has no request id.
    #[error("X-Request-Id: expected an id, so that a repeat is known")]
    NoRequestId,
    /// The `If-Match` header of a publication is not a version.
    #[error("If-Match: expected a version, got {0:?}")]
    IfMatch(String),
    /// The body of a report is neither a balancer's report nor a relay's sums.
    #[error("expected a report or sums: {0}")]
    Report(serde_json::Error),
    /// The connection failed before the whole body arrived.
    #[error("the body broke off")]
    BodyCutOff,
    /// The body is larger than `max` bytes.
    #[error("over the bound of {max} bytes")]
    BodyTooLarge { max: usize },
    /// This relay has not received a state from a parent or from disk yet.
    #[error("nothing has come from above yet")]
    NoStateYet,
    /// The server is shutting down.
    #[error("ending")]
    ShuttingDown,
    /// The maximum number of watches is open.
    #[error("too many readers")]
    TooManyWatches,
    /// The task that carried out the change panicked.
    #[error("it came to no end")]
    ChangeAborted,
}

impl RequestError {
    /// HTTP status of the response to a request with this error.
    fn status(&self) -> StatusCode {
        match self {
            Self::NoSuchPath => StatusCode::NOT_FOUND,
            Self::NoSuchMethod => StatusCode::METHOD_NOT_ALLOWED,
            Self::Query(_)
            | Self::Scope(_)
            | Self::NoRequestId
            | Self::IfMatch(_)
            | Self::Report(_)
            | Self::BodyCutOff => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoStateYet | Self::ShuttingDown | Self::TooManyWatches => StatusCode::SERVICE_UNAVAILABLE,
            Self::ChangeAborted => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }
}

impl<S: Source> Server<S> {
    /// Produces the response to a request.
    pub(super) async fn respond(
        self: &Rc<Self>,
        request: Request<Incoming>,
        control: &Rc<ConnectionControl>,
    ) -> Response<ResponseBody> {
        let response = self.route(request, control).await;
        response.unwrap_or_else(|error| error_response(error.status(), &error.to_string()))
    }

    /// Dispatches a request by method and path.
    async fn route(
        self: &Rc<Self>,
        request: Request<Incoming>,
        control: &Rc<ConnectionControl>,
    ) -> Result<Response<ResponseBody>, RequestError> {
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        match (path.as_str(), &method) {
            (CONFIGURATION, &Method::GET) => self.configuration(&request, control),
            (REPORT, &Method::GET) => {
                control.expect_response();
                Ok(json_response(StatusCode::OK, &self.sums()))
            }
            (REPORT, &Method::POST) => self.record_report(request).await,
            (_, &Method::PUT | &Method::DELETE) if path.starts_with(DOCUMENT_PREFIX) => {
                self.publish(request, control).await
            }
            (CONFIGURATION | REPORT, _) => Err(RequestError::NoSuchMethod),
            _ => Err(RequestError::NoSuchPath),
        }
    }

    /// Opens a watch, or responds with the current state in a single response.
    fn configuration(
        self: &Rc<Self>,
        request: &Request<Incoming>,
        control: &Rc<ConnectionControl>,
    ) -> Result<Response<ResponseBody>, RequestError> {
        let query: WatchQuery = request.uri().query().unwrap_or_default().parse()?;
        if self.source.with_state(|_| ()).is_none() {
            return Err(RequestError::NoStateYet);
        }
        if *self.shutdown.borrow() {
            return Err(RequestError::ShuttingDown);
        }
        if !query.follow {
            control.expect_response();
            let line = self.next_line(query.since, &query, true);
            return Ok(Response::new(ResponseBody::Complete(line.map(|line| line.bytes))));
        }
        if self.open_watches.get() >= self.limits.max_readers {
            log(format_args!(
                "refused a watch: {} are already open, raise --readers-most to allow more",
                self.open_watches.get()
            ));
            return Err(RequestError::TooManyWatches);
        }
        control.stay_open();
        Ok(Response::new(ResponseBody::Stream(self.open_watch(query, control))))
    }

    /// Records a report of a balancer, or the sums of a relay.
    async fn record_report(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, RequestError> {
        let text = read_body(request, MAX_REPORT_BYTES).await?;
        let (now, mut reports) = (self.start.elapsed(), self.reports.borrow_mut());
        match serde_json::from_slice(&text) {
            Ok(report) => reports.record(now, report),
            Err(error) => {
                let Ok(RelayReport { who, sums }) = serde_json::from_slice(&text) else {
                    let error = RequestError::Report(error);
                    log(format_args!(
                        "refused a malformed report from a balancer or relay below, none of it is recorded: {error}"
                    ));
                    return Err(error);
                };
                reports.record_sums(now, &who, &sums);
            }
        }
        Ok(json_response(StatusCode::OK, &json!({})))
    }

    /// Reads a publication and carries it out.
    async fn publish(
        &self,
        request: Request<Incoming>,
        control: &ConnectionControl,
    ) -> Result<Response<ResponseBody>, RequestError> {
        let change = read_change(request, self.source.max_body_bytes()).await?;
        control.expect_response();
        // The change runs in a task of its own, so that it completes even if the client has disconnected.
        let result = spawn_local(Rc::clone(&self.source).apply_change(change)).await;
        result.map_err(|_| RequestError::ChangeAborted)
    }
}

/// Reads a request body of at most `max` bytes.
async fn read_body(request: Request<Incoming>, max: usize) -> Result<Bytes, RequestError> {
    let mut body = request.into_body();
    let (mut bytes, mut count) = (BytesMut::new(), 0);
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return Err(RequestError::BodyCutOff) };
        let Ok(data) = frame.into_data() else { continue };
        count += data.len();
        if count <= max {
            bytes.extend_from_slice(&data);
        } else if count > max + MAX_EXCESS_BYTES {
            break;
        }
    }
    if count > max {
        return Err(RequestError::BodyTooLarge { max });
    }
    Ok(bytes.freeze())
}

/// Reads a publication. Its scope, request id and condition are checked before the body is read.
async fn read_change(request: Request<Incoming>, max_body_bytes: usize) -> Result<Change, RequestError> {
    let scope: Scope = request.uri().path().trim_start_matches(DOCUMENT_PREFIX).parse()?;
    let id = header_text(request.headers(), "x-request-id").filter(|id| !id.is_empty());
    let id = id.ok_or(RequestError::NoRequestId)?.to_owned();
    let if_version = header_text(request.headers(), "if-match").map(parse_if_match).transpose()?;
    let withdraws = request.method() == Method::DELETE;
    let body = read_body(request, max_body_bytes).await?;
    Ok(Change { scope, body: (!withdraws).then_some(body), request: id.into(), if_version })
}

/// Returns the value of a header if the request has it, or an empty string if the value is not visible ASCII text.
fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).map(|value| value.to_str().unwrap_or_default())
}

/// Parses the value of `If-Match`: a version, quoted or not.
fn parse_if_match(text: &str) -> Result<u64, RequestError> {
    text.trim_matches('"').parse().map_err(|_| RequestError::IfMatch(text.to_owned()))
}
