//! Requests to an origin or a relay: publishes and withdraws documents, and prints the documents and the report of the
//! versions in force.

use std::fs::File;
use std::io::{self, IsTerminal, Read, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use serde_json::Value;
use tokio::time::sleep;

use super::failure::{Failure, Rejection, Unanswered};
use super::{ChangeOptions, RequestId};
use crate::document::Scope;
use crate::host::call::{Call, connect_and_call};

/// Maximum size in bytes of a document that is read. The origin's limit is lower, and its refusal states that limit.
pub(super) const MAX_DOCUMENT_BYTES: u64 = 4 << 20;

/// How long a response to one request may take.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum number of attempts at a change, all with the same request id, until there is an answer.
const MAX_ATTEMPTS: u32 = 3;
/// Pause between two attempts at a change.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Reads a document from a file, or from standard input if the path is `-`.
pub(super) fn read_document(path: &Path) -> Result<Bytes, Failure> {
    let bytes = read(path).map_err(|source| Failure::Document { path: path.to_owned(), source })?;
    if bytes.len() as u64 > MAX_DOCUMENT_BYTES {
        return Err(Failure::DocumentTooLarge { path: path.to_owned() });
    }
    Ok(bytes.into())
}

/// Reads at most one byte more than [`MAX_DOCUMENT_BYTES`], which shows the caller that the document is too large.
fn read(path: &Path) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    if path == Path::new("-") {
        if io::stdin().is_terminal() {
            eprintln!("reading the document from the terminal; press Ctrl-D to end it");
        }
        io::stdin().take(MAX_DOCUMENT_BYTES + 1).read_to_end(&mut bytes)?;
    } else {
        File::open(path)?.take(MAX_DOCUMENT_BYTES + 1).read_to_end(&mut bytes)?;
    }
    Ok(bytes)
}

/// Publishes a document, or withdraws it if `body` is `None`, and prints the index of the change. Repeats the request
/// with the same id if there is no answer.
pub(super) async fn send_change(
    to: SocketAddr,
    scope: &Scope,
    body: Option<Bytes>,
    options: ChangeOptions,
) -> Result<(), Failure> {
    let RequestId(id) = options.request.unwrap_or_else(RequestId::generate);
    let version = options.if_version.map(|version| version.to_string());
    let mut headers = vec![("x-request-id", id.as_str())];
    headers.extend(version.as_deref().map(|version| ("if-match", version)));
    let path = format!("/configuration/{scope}");
    let (method, body) = body.map_or((Method::DELETE, Bytes::new()), |body| (Method::PUT, body));
    let request = Call { method, host: to.to_string(), path: &path, headers: &headers, body };
    let mut attempt = 1;
    loop {
        let last = match connect_and_call(to, ANSWER_TIMEOUT, request.clone()).await {
            Ok((StatusCode::OK, text)) => {
                let answer: Value = serde_json::from_slice(&text).unwrap_or_default();
                println!("{}", answer["index"]);
                return Ok(());
            }
            Ok((status, text)) if is_final(status) => {
                return Err(Failure::ChangeRejected(Rejection::new(status, &text)));
            }
            Ok((status, text)) => Unanswered::Rejection(Rejection::new(status, &text)),
            Err(error) => error.into(),
        };
        if attempt == MAX_ATTEMPTS {
            return Err(Failure::ChangeUnknown { to, last, id });
        }
        attempt += 1;
        sleep(RETRY_PAUSE).await;
    }
}

/// Whether a response with this status means that nothing has changed and that repeating the request would be refused
/// too.
fn is_final(status: StatusCode) -> bool {
    status.is_client_error() || status == StatusCode::INSUFFICIENT_STORAGE
}

/// Prints the documents of the given scopes, or of all scopes if none is given.
pub(super) async fn get(to: SocketAddr, scopes: &[Scope]) -> Result<(), Failure> {
    let scopes = scopes.iter().map(Scope::to_string).collect::<Vec<_>>().join(",");
    let scopes = if scopes.is_empty() { "*" } else { &scopes };
    print(to, &format!("/configuration?scopes={scopes}")).await
}

/// Prints the report of the versions that balancers have in force.
pub(super) async fn status(to: SocketAddr) -> Result<(), Failure> {
    print(to, "/configuration/report").await
}

/// Sends a GET request and prints the body of the response.
async fn print(to: SocketAddr, path: &str) -> Result<(), Failure> {
    let request = Call { method: Method::GET, host: to.to_string(), path, headers: &[], body: Bytes::new() };
    match connect_and_call(to, ANSWER_TIMEOUT, request).await {
        Ok((StatusCode::OK, text)) => {
            // A closed standard output, as with `| head`, is not an error.
            let _ = io::stdout().write_all(&text);
            Ok(())
        }
        Ok((status, text)) => Err(Failure::ReadRejected { to, rejection: Rejection::new(status, &text) }),
        Err(source) => Err(Failure::ReadUnanswered { to, source }),
    }
}
