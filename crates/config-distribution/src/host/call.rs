//! One request and its answer, on a connection of its own, so that nothing of one waits behind another.

use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::client::conn::http1;
use hyper::{Method, Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Bytes of an answer at most.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Why there is no answer. What was asked for may have come to pass all the same.
#[derive(Debug, Error)]
pub enum CallError {
    /// No connection, so that nothing was asked.
    #[error("no connection: {0}")]
    Connect(io::Error),
    /// The connection broke.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// It took too long.
    #[error("no answer in time")]
    Late,
    /// The answer is too long.
    #[error("the answer is over {MAX_ANSWER_BYTES} bytes")]
    TooLong,
}

/// What is asked.
#[derive(Debug, Clone)]
pub struct Call<'a> {
    /// The method.
    pub method: Method,
    /// `Host`.
    pub host: String,
    /// Path and query.
    pub path: &'a str,
    /// Further headers.
    pub headers: &'a [(&'a str, &'a str)],
    /// The body.
    pub body: Bytes,
}

/// Asks on a connection that is up. Where it is dropped, what was asked for may still be done.
///
/// # Errors
/// There is no whole answer.
pub async fn call<I>(stream: I, call: Call<'_>) -> Result<(StatusCode, Bytes), CallError>
where
    I: AsyncRead + AsyncWrite + Unpin,
{
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let mut connection = pin!(connection);
    let answer = async {
        let mut request =
            Request::builder().method(call.method).uri(call.path).header(header::HOST, call.host);
        for (name, value) in call.headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(call.body)).unwrap_or_default();
        let response = sender.send_request(request).await?;
        let status = response.status();
        match Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await {
            Ok(body) => Ok((status, body.to_bytes())),
            Err(error) if error.is::<LengthLimitError>() => Err(CallError::TooLong),
            Err(error) => {
                Err(error.downcast::<hyper::Error>().map_or(CallError::Late, |error| (*error).into()))
            }
        }
    };
    let mut answer = pin!(answer);
    tokio::select! {
        biased;
        answer = answer.as_mut() => return answer,
        _ = connection.as_mut() => {}
    }
    answer.await
}

/// Connects and asks. Where it is dropped, what was asked for may still be done.
///
/// # Errors
/// There is no whole answer within `within`.
pub async fn call_to(
    address: SocketAddr,
    within: Duration,
    request: Call<'_>,
) -> Result<(StatusCode, Bytes), CallError> {
    let whole = async {
        let stream = TcpStream::connect(address).await.map_err(CallError::Connect)?;
        // Without it the request is slower and works.
        let _ = stream.set_nodelay(true);
        call(stream, request).await
    };
    timeout(within, whole).await.map_err(|_| CallError::Late)?
}
