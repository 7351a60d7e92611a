//! Client of a watch: a chunked HTTP/1.1 response that stays open and carries one JSON object per line, with an empty
//! line as a heartbeat. The list of upstreams and the configuration are both received with this client.
//!
//! A server may stop sending without closing the connection, or send a line that never ends. A deadline for each line
//! and a limit on its length end the watch in these cases.

use std::convert::Infallible;
use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper::{HeaderMap, Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time::{Instant, timeout_at};

/// Why a watch ended. `E` is the reason for which its reader rejected the response or one of its lines.
#[derive(Debug, Error)]
pub enum WatchError<E: std::error::Error> {
    /// No whole line, or no response, arrived before the deadline.
    #[error("no line arrived before the deadline")]
    Silent,
    /// The response status was not 200.
    #[error("the response status was {0} instead of 200 OK")]
    Status(StatusCode),
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Http(#[from] hyper::Error),
    /// The server ended the response in order.
    #[error("the server ended the watch")]
    Ended,
    /// A line exceeded the size limit, which keeps a faulty server from filling the memory.
    #[error("a received line exceeds the size limit")]
    LineTooLong,
    /// The reader rejected the response's headers or a line.
    #[error("{0}")]
    Line(E),
}

/// Request of a watch, with its deadlines and limits.
#[derive(Debug, Clone)]
pub struct WatchRequest {
    /// Value of the `Host` header.
    pub host: String,
    /// Path and query of the request.
    pub path: String,
    /// Deadline for the first whole line of the watch.
    pub first_line_deadline: Instant,
    /// Longest time from one whole line of the watch to the next, after which the watch ends.
    pub silence_timeout: Duration,
    /// Maximum size in bytes of a line of the watch.
    pub max_line_bytes: usize,
}

/// Follows a watch on an open connection until it ends, and passes each whole line to `line`, empty lines included. If
/// the future is dropped, the connection is closed and a partly received line is discarded.
///
/// # Errors
/// Always returns an error, which says why the watch ended.
pub async fn follow<I, E>(
    stream: I,
    request: WatchRequest,
    line: impl FnMut(&[u8]) -> Result<(), E>,
) -> Result<Infallible, WatchError<E>>
where
    I: AsyncRead + AsyncWrite + Unpin,
    E: std::error::Error,
{
    follow_checked(stream, request, |_| Ok(()), line).await
}

/// Follows a watch as [`follow`] does, but first passes the response's headers to `head`, which may reject them.
///
/// # Errors
/// Always returns an error, which says why the watch ended.
pub async fn follow_checked<I, E>(
    stream: I,
    request: WatchRequest,
    head: impl FnOnce(&HeaderMap) -> Result<(), E>,
    mut line: impl FnMut(&[u8]) -> Result<(), E>,
) -> Result<Infallible, WatchError<E>>
where
    I: AsyncRead + AsyncWrite + Unpin,
    E: std::error::Error,
{
    let WatchRequest { host, path, first_line_deadline, silence_timeout, max_line_bytes } = request;
    let mut deadline = first_line_deadline;
    let handshake = http1::handshake::<_, Empty<Bytes>>(TokioIo::new(stream));
    let (mut sender, connection) =
        timeout_at(deadline, handshake).await.map_err(|_| WatchError::Silent)??;
    let mut connection = pin!(connection);
    let followed = async {
        let request = Request::get(path).header(header::HOST, host).body(Empty::new()).unwrap_or_default();
        let response =
            timeout_at(deadline, sender.send_request(request)).await.map_err(|_| WatchError::Silent)??;
        if response.status() != StatusCode::OK {
            return Err(WatchError::Status(response.status()));
        }
        head(response.headers()).map_err(WatchError::Line)?;
        let mut body = response.into_body();
        let mut lines = LineBuffer { text: Vec::new(), max_bytes: max_line_bytes };
        loop {
            let frame = timeout_at(deadline, body.frame()).await.map_err(|_| WatchError::Silent)?;
            let Ok(data) = frame.ok_or(WatchError::Ended)??.into_data() else { continue };
            lines.push(&data, |text| {
                line(text).map_err(WatchError::Line)?;
                // Only a whole line extends the deadline, not a part of one.
                deadline = Instant::now() + silence_timeout;
                Ok(())
            })?;
        }
    };
    let mut followed = pin!(followed);
    tokio::select! {
        biased;
        ended = followed.as_mut() => return ended,
        // The connection has ended, but data received before its end may still be in the body.
        _ = connection.as_mut() => {}
    }
    followed.await
}

/// Buffer that assembles lines from the parts in which they arrive.
struct LineBuffer {
    /// Bytes of the current, incomplete line.
    text: Vec<u8>,
    /// Maximum size in bytes of a line of the watch.
    max_bytes: usize,
}

impl LineBuffer {
    /// Appends received bytes, which may hold several lines or a part of one, and passes each completed line to `line`.
    fn push<E: std::error::Error>(
        &mut self,
        bytes: &[u8],
        mut line: impl FnMut(&[u8]) -> Result<(), WatchError<E>>,
    ) -> Result<(), WatchError<E>> {
        let mut rest = bytes;
        while let Some(end) = rest.iter().position(|&byte| byte == b'\n') {
            self.append(&rest[..end])?;
            rest = &rest[end + 1..];
            line(self.text.trim_ascii())?;
            self.text.clear();
        }
        self.append(rest)
    }

    /// Appends a part of the current line; fails if the line becomes too long.
    fn append<E: std::error::Error>(&mut self, part: &[u8]) -> Result<(), WatchError<E>> {
        self.text.extend_from_slice(part);
        if self.text.len() > self.max_bytes { Err(WatchError::LineTooLong) } else { Ok(()) }
    }
}
