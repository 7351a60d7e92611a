//! The parts of a client's request that are forwarded to upstreams, and the size of the forwarded request.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HOST, HeaderValue};
use hyper::{Method, Request, Uri};

/// Largest body that is accepted, of a request or of a response.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// The parts of a client's request that are forwarded to upstreams, which are the same in each attempt.
#[derive(Debug)]
pub struct Call {
    /// The request method.
    pub method: Method,
    /// The path and query of the request.
    pub uri: Uri,
    /// Value of the `Host` header.
    pub host: HeaderValue,
    /// Value of the `X-Request-Id` header.
    pub id: HeaderValue,
    /// Value of the `Idempotency-Key` header, if the client sent one.
    pub key: Option<HeaderValue>,
    /// The request body.
    pub body: Bytes,
    /// Whether the request must not run twice, because its class is not idempotent.
    pub must_not_repeat: bool,
}

impl Call {
    /// Builds the request of an attempt that waits at most `time_left`, which is sent as its deadline.
    #[must_use]
    pub fn request(&self, time_left: Duration) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let headers = request.headers_mut();
        headers.insert(HOST, self.host.clone());
        headers.insert("x-request-id", self.id.clone());
        if let Some(key) = &self.key {
            headers.insert("idempotency-key", key.clone());
        }
        if let Ok(value) = HeaderValue::from_str(&format!("{:.3}", time_left.as_secs_f64())) {
            headers.insert("x-deadline", value);
        }
        if self.method != Method::GET {
            headers.insert(hyper::header::CONTENT_LENGTH, HeaderValue::from(self.body.len()));
        }
        request
    }
}

/// The least number of bytes that a request can take on the socket. A lower bound makes a request whose write was
/// incomplete by a few bytes count as one that may have run, which is the safe side.
#[must_use]
pub fn size_on_wire(request: &Request<Full<Bytes>>, body: usize) -> u64 {
    let path = request.uri().path_and_query().map_or(1, |path| path.as_str().len());
    let line = request.method().as_str().len() + 1 + path + " HTTP/1.1\r\n".len();
    let headers: usize = request
        .headers()
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len())
        .sum();
    (line + headers + "\r\n".len() + body) as u64
}
