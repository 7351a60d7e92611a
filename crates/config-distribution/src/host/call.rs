//! A single HTTP request and its response, on a connection of its own, so that no request waits behind another.

use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::{Method, Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::body::{BodyError, read_body};

/// Maximum size in bytes of the response body of a call.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Why a call got no response. The server may have carried out the request all the same, except after
/// [`CallError::Connect`].
#[derive(Debug, Error)]
pub enum CallError {
    /// The connection could not be opened, so the request was not sent.
    #[error("cannot connect to the server: {0}")]
    Connect(io::Error),
    /// The connection failed before the whole response arrived.
    #[error("the connection to the server failed: {0}")]
    Http(#[from] hyper::Error),
    /// The call took longer than its time limit.
    #[error("the whole response did not arrive before the deadline")]
    TimedOut,
    /// The response body is larger than the limit.
    #[error("the response body exceeds {MAX_RESPONSE_BYTES} bytes")]
    ResponseTooLarge,
}

/// HTTP request to send with [`call`] or [`connect_and_call`].
#[derive(Debug, Clone)]
pub struct Call<'a> {
    /// HTTP method of the request.
    pub method: Method,
    /// Value of the `Host` header.
    pub host: String,
    /// Path and query of the request.
    pub path: &'a str,
    /// Names and values of further headers.
    pub headers: &'a [(&'a str, &'a str)],
    /// Body of the request, empty if it has none.
    pub body: Bytes,
}

/// Sends a request on an open connection, and returns the status and body of the response. If the future is dropped,
/// the server may still carry out the request.
///
/// # Errors
/// The connection failed, or the response body is too large.
pub async fn call<I>(stream: I, call: Call<'_>) -> Result<(StatusCode, Bytes), CallError>
where
    I: AsyncRead + AsyncWrite + Unpin,
{
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let mut connection = pin!(connection);
    let result = async {
        let mut request =
            Request::builder().method(call.method).uri(call.path).header(header::HOST, call.host);
        for (name, value) in call.headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(call.body)).unwrap_or_default();
        let response = sender.send_request(request).await?;
        let status = response.status();
        match read_body(response.into_body(), MAX_RESPONSE_BYTES).await {
            Ok(body) => Ok((status, body)),
            Err(BodyError::TooLarge) => Err(CallError::ResponseTooLarge),
            Err(BodyError::Connection(error)) => Err(error.into()),
        }
    };
    let mut result = pin!(result);
    tokio::select! {
        biased;
        result = result.as_mut() => return result,
        // The connection has ended. The request gets the response if it arrived whole, and otherwise the error.
        _ = connection.as_mut() => {}
    }
    result.await
}

/// Connects to an address, sends a request, and returns the status and body of the response. If the future is dropped,
/// the server may still carry out the request.
///
/// # Errors
/// The whole response did not arrive within `time_limit`, the connection failed, or the response body is too large.
pub async fn connect_and_call(
    address: SocketAddr,
    time_limit: Duration,
    request: Call<'_>,
) -> Result<(StatusCode, Bytes), CallError> {
    let exchange = async {
        let stream = TcpStream::connect(address).await.map_err(CallError::Connect)?;
        // The request also works without this option, only slower.
        let _ = stream.set_nodelay(true);
        call(stream, request).await
    };
    timeout(time_limit, exchange).await.map_err(|_| CallError::TimedOut)?
}
