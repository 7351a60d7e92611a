//! From a request's method and path to its answer. What is wrong with a request is one type, which knows its status.

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

const CONFIGURATION: &str = "/configuration";
const REPORT: &str = "/configuration/report";
/// Before the scope in the path of a publication.
const DOCUMENT_PREFIX: &str = "/configuration/";

/// Bytes of a report at most: sums of thousands of scopes fit.
const MAX_REPORT_BYTES: usize = 1 << 20;
/// Bytes of a body over its bound that are still read, so that the sender reads why it is rejected and not a reset.
const MAX_EXCESS_BYTES: usize = 4 << 20;

/// Why a request is rejected.
#[derive(Debug, Error)]
pub(super) enum RequestError {
    #[error("no such path")]
    NoSuchPath,
    #[error("no such method here")]
    NoSuchMethod,
    #[error("{0}")]
    Query(#[from] QueryError),
    #[error("{0}")]
    Scope(#[from] ScopeError),
    #[error("X-Request-Id: expected an id, so that a repeat is known")]
    NoRequestId,
    #[error("If-Match: expected a version, got {0:?}")]
    IfMatch(String),
    #[error("expected a report or sums: {0}")]
    Report(serde_json::Error),
    #[error("the body broke off")]
    BodyCutOff,
    #[error("over the bound of {max} bytes")]
    BodyTooLarge { max: usize },
    #[error("nothing has come from above yet")]
    NoStateYet,
    #[error("ending")]
    ShuttingDown,
    #[error("too many readers")]
    TooManyWatches,
    /// The change's task panicked.
    #[error("it came to no end")]
    ChangeAborted,
}

impl RequestError {
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
    /// The answer to a request.
    pub(super) async fn respond(
        self: &Rc<Self>,
        request: Request<Incoming>,
        control: &Rc<ConnectionControl>,
    ) -> Response<ResponseBody> {
        let response = self.route(request, control).await;
        response.unwrap_or_else(|error| error_response(error.status(), &error.to_string()))
    }

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

    /// A watch, or the state in one answer.
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
            log(format_args!("refused a reader: {} are here", self.open_watches.get()));
            return Err(RequestError::TooManyWatches);
        }
        control.stay_open();
        Ok(Response::new(ResponseBody::Stream(self.open_watch(query, control))))
    }

    /// A report of a balancer, or the sums of a relay.
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
                    log(format_args!("refused a report: {error}"));
                    return Err(error);
                };
                reports.record_sums(now, &who, &sums);
            }
        }
        Ok(json_response(StatusCode::OK, &json!({})))
    }

    async fn publish(
        &self,
        request: Request<Incoming>,
        control: &ConnectionControl,
    ) -> Result<Response<ResponseBody>, RequestError> {
        let change = read_change(request, self.source.max_body_bytes()).await?;
        control.expect_response();
        // By itself, so that it comes to its end also when who asked for it has gone.
        let made = spawn_local(Rc::clone(&self.source).change(change)).await;
        made.map_err(|_| RequestError::ChangeAborted)
    }
}

/// Reads a body up to a bound.
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

/// Reads a publication: its scope, its request id, its condition, and only then its body.
async fn read_change(request: Request<Incoming>, max_body_bytes: usize) -> Result<Change, RequestError> {
    let scope: Scope = request.uri().path().trim_start_matches(DOCUMENT_PREFIX).parse()?;
    let id = header_text(request.headers(), "x-request-id").filter(|id| !id.is_empty());
    let id = id.ok_or(RequestError::NoRequestId)?.to_owned();
    let if_version = header_text(request.headers(), "if-match").map(parse_if_match).transpose()?;
    let withdraws = request.method() == Method::DELETE;
    let body = read_body(request, max_body_bytes).await?;
    Ok(Change { scope, body: (!withdraws).then_some(body), request: id.into(), if_version })
}

/// A header's text; empty where it is no text.
fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).map(|value| value.to_str().unwrap_or_default())
}

fn parse_if_match(text: &str) -> Result<u64, RequestError> {
    text.trim_matches('"').parse().map_err(|_| RequestError::IfMatch(text.to_owned()))
}
