//! Reads the body of an HTTP message into one buffer of bounded size.
//!
//! The peer decides into how many pieces it divides a body. A list of the pieces can take a multiple of the body's
//! size: each piece has an entry of its own and keeps alive the buffer that it was read into, with the chunk framing
//! around it. The pieces are therefore copied as they arrive.

use std::pin::pin;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use thiserror::Error;

/// Why a body was not read to its end. `E` is the error of the connection.
#[derive(Debug, Error)]
pub enum BodyError<E> {
    /// The body is larger than the limit.
    #[error("the body exceeds the size limit")]
    TooLarge,
    /// The connection failed before the end of the body.
    #[error("the connection failed before the end of the body: {0}")]
    Connection(E),
}

/// Reads a body of at most `max_bytes` bytes and ignores trailers. A body whose announced length exceeds the limit is
/// not read. If the future is dropped, the part that was read is lost.
///
/// # Errors
/// The body is larger than `max_bytes`, or the connection failed before its end.
pub async fn read_body<B>(body: B, max_bytes: usize) -> Result<Bytes, BodyError<B::Error>>
where
    B: Body<Data = Bytes>,
{
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(BodyError::TooLarge);
    }
    let mut body = pin!(body);
    // Grows with what has arrived: a peer that only announces a large body takes no memory for it.
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(BodyError::Connection)?.into_data() else { continue };
        if data.len() > max_bytes - bytes.len() {
            return Err(BodyError::TooLarge);
        }
        bytes.extend_from_slice(&data);
    }
    bytes.shrink_to_fit();
    Ok(bytes.into())
}
