//! The client of a watch: a chunked answer over HTTP/1.1 that stays open and holds one JSON object a line, with an
//! empty line as a heartbeat. The list of upstreams and configuration come the same way, by the same client.
//!
//! A parent may fall silent without closing, or send a line without end: both end the watch, by a deadline and a bound.

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

/// Why a watch ended; `E` is why its reader would not go on.
#[derive(Debug, Error)]
pub enum WatchError<E: std::error::Error> {
    /// Nothing came for too long.
    #[error("silent for too long")]
    Silent,
    /// It was answered otherwise.
    #[error("answered {0}")]
    Status(StatusCode),
    /// The connection broke.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// It ended in order.
    #[error("ended")]
    Ended,
    /// A line over the bound, so that a broken parent cannot fill the memory.
    #[error("a line is too long")]
    LongLine,
    /// The reader found a line that it cannot use.
    #[error("{0}")]
    Line(E),
}

/// What a watch requests and how long it waits.
#[derive(Debug, Clone)]
pub struct WatchRequest {
    /// `Host`.
    pub host: String,
    /// Path and query.
    pub path: String,
    /// By when the first whole line must have come.
    pub first_by: Instant,
    /// How long the next may take from each.
    pub silence: Duration,
    /// Bytes of a line at most.
    pub max_line_bytes: usize,
}

/// Follows a watch on a connection that is up, until it ends; hands each whole line to `line`, an empty one as such.
/// Where it is dropped, the connection is closed, and a line that had come in part is lost.
///
/// # Errors
/// Always: why it ended.
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

/// As [`follow`], for a reader that looks at the answer's head first.
///
/// # Errors
/// Always: why it ended.
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
    let WatchRequest { host, path, first_by, silence, max_line_bytes } = request;
    let mut by = first_by;
    let handshake = http1::handshake::<_, Empty<Bytes>>(TokioIo::new(stream));
    let (mut sender, connection) = timeout_at(by, handshake).await.map_err(|_| WatchError::Silent)??;
    let mut connection = pin!(connection);
    let followed = async {
        let request = Request::get(path).header(header::HOST, host).body(Empty::new()).unwrap_or_default();
        let response =
            timeout_at(by, sender.send_request(request)).await.map_err(|_| WatchError::Silent)??;
        if response.status() != StatusCode::OK {
            return Err(WatchError::Status(response.status()));
        }
        head(response.headers()).map_err(WatchError::Line)?;
        let mut body = response.into_body();
        let mut lines = LineBuffer { text: Vec::new(), max: max_line_bytes };
        loop {
            let frame = timeout_at(by, body.frame()).await.map_err(|_| WatchError::Silent)?;
            let Ok(data) = frame.ok_or(WatchError::Ended)??.into_data() else { continue };
            lines.push(&data, |text| {
                line(text).map_err(WatchError::Line)?;
                // Only a whole line ends the silence.
                by = Instant::now() + silence;
                Ok(())
            })?;
        }
    };
    let mut followed = pin!(followed);
    tokio::select! {
        biased;
        ended = followed.as_mut() => return ended,
        // The connection's end; what it has read before that is still in the body.
        _ = connection.as_mut() => {}
    }
    followed.await
}

/// A line that comes in parts.
struct LineBuffer {
    text: Vec<u8>,
    /// Its bytes at most.
    max: usize,
}

impl LineBuffer {
    /// Hands on each line that these bytes end; they may hold several, or a part of one.
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

    fn append<E: std::error::Error>(&mut self, part: &[u8]) -> Result<(), WatchError<E>> {
        self.text.extend_from_slice(part);
        if self.text.len() > self.max { Err(WatchError::LongLine) } else { Ok(()) }
    }
}
