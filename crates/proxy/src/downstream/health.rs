//! The health check, which tells the front whether it may send requests to this process.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode};

use super::response::plain_text;
use crate::event_loop::EventLoop;

/// Path of the health check that the front requests.
const HEALTH_PATH: &str = "/_health";

pub(super) fn is_health_check<B>(request: &Request<B>) -> bool {
    request.uri().path() == HEALTH_PATH
}

pub(super) fn check_health(event_loop: &EventLoop) -> Response<Full<Bytes>> {
    let status = if event_loop.can_serve() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    plain_text(status, "")
}
