//! Publication of configuration documents to the origin over HTTP.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use config_distribution::document::Scope;
use serde::Deserialize;

use super::TIMEOUT;
use crate::CapacityError;
use crate::sockets::machine;

/// A change of a configuration document that the origin has accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Scope of the changed configuration document.
    pub scope: Scope,
    /// Version that the origin assigned to the changed configuration document.
    pub version: u64,
    /// Time at which the publication of the change was first sent to the origin, in nanoseconds on the clock of
    /// [`machine::now_ns`].
    pub sent_ns: u64,
    /// Time at which the origin acknowledged the publication of the change, in nanoseconds on the clock of
    /// [`machine::now_ns`].
    pub acknowledged_ns: u64,
}

#[derive(Deserialize)]
struct Acknowledged {
    index: u64,
}

/// Publishes a configuration document, and repeats the request under the same id while the origin is unavailable.
///
/// # Errors
/// The origin rejects the document, or is unavailable for 30 s.
pub fn publish(origin: SocketAddr, scope: &Scope, body: &str, id: &str) -> Result<Change, CapacityError> {
    let sent_ns = machine::now_ns();
    let deadline = Instant::now() + TIMEOUT;
    let head = format!("PUT /configuration/{scope} HTTP/1.1\r\nX-Request-Id: {id}\r\n");
    loop {
        let last_error = match request(origin, &head, body) {
            Ok(Response { status: 200, body: text, .. }) => {
                let acknowledged_ns = machine::now_ns();
                let Acknowledged { index } = serde_json::from_str(&text).map_err(|cause| {
                    CapacityError::run(format!("publication of {scope}: {text:?}"), cause)
                })?;
                return Ok(Change { scope: scope.clone(), version: index, sent_ns, acknowledged_ns });
            }
            Ok(Response { status: 503, body: text, .. }) => text,
            Ok(Response { status, body: text, .. }) => {
                return Err(CapacityError::run(
                    format!("publication of {scope}"),
                    format!("the origin responded with status {status}: {text}"),
                ));
            }
            Err(cause) => cause.to_string(),
        };
        if Instant::now() > deadline {
            return Err(CapacityError::run(format!("publication of {scope}"), last_error));
        }
        thread::sleep(Duration::from_millis(50));
    }
}

/// An HTTP/1.1 response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// Status code of the response.
    pub status: u16,
    /// Body of the response.
    pub body: String,
    /// Length of the HTTP request and its response together, in bytes.
    pub bytes: usize,
}

/// Sends an HTTP/1.1 request on a new connection.
///
/// # Errors
/// The connection fails, or the response cannot be parsed.
pub fn request(address: SocketAddr, head: &str, body: &str) -> std::io::Result<Response> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let length = body.len();
    let text =
        format!("{head}Host: {address}\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes())?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response)?;
    let bytes = text.len() + response.len();
    let response = String::from_utf8_lossy(&response);
    let malformed = || std::io::Error::new(ErrorKind::InvalidData, "malformed HTTP/1.1 response");
    let (head, body) = response.split_once("\r\n\r\n").ok_or_else(malformed)?;
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).ok_or_else(malformed)?;
    Ok(Response { status, body: body.to_owned(), bytes })
}

/// Returns the body of a configuration document, of at most `bytes` bytes; its content differs for each `revision`.
#[must_use]
pub fn body(bytes: usize, revision: u64) -> String {
    let mut text = format!(
        "{{\"settings\":{{\"projects\":[{{\"name\":\"tenant-0\",\"quotaPerS\":{}.0}}",
        1000 + revision
    );
    let mut number = 1;
    loop {
        let entry = format!(",{{\"name\":\"tenant-{number}\",\"quotaPerS\":250.0}}");
        if text.len() + entry.len() + "]}}".len() > bytes {
            return text + "]}}";
        }
        text += &entry;
        number += 1;
    }
}
