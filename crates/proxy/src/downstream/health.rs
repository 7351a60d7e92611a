//! The health check: whether the front may send requests here.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode};

use super::response::plain_text;
use crate::event_loop::EventLoop;

/// Where the front asks whether it may send here.
const HEALTH_PATH: &str = "/_health";

pub(super) fn is_health_check<B>(request: &Request<B>) -> bool {
    request.uri().path() == HEALTH_PATH
}

pub(super) fn check_health(event_loop: &EventLoop) -> Response<Full<Bytes>> {
    let status = if event_loop.can_serve() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    plain_text(status, "")
}
