//! Asks an origin or a relay: publishes and withdraws documents, prints what stands and what is in force.

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
use crate::host::call::{Call, call_to};

/// Bytes of a document that are read at most; the origin's bound is lower, and it is the origin that names it.
pub(super) const MAX_DOCUMENT_BYTES: u64 = 4 << 20;

/// An answer has so long to come.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);
/// A change is asked for so often, with one request id, until it has an answer.
const MAX_ATTEMPTS: u32 = 3;
/// Between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Reads a document from a file, or from standard input where it is `-`.
pub(super) fn read_document(path: &Path) -> Result<Bytes, Failure> {
    let bytes = read(path).map_err(|source| Failure::Document { path: path.to_owned(), source })?;
    if bytes.len() as u64 > MAX_DOCUMENT_BYTES {
        return Err(Failure::DocumentTooLarge { path: path.to_owned() });
    }
    Ok(bytes.into())
}

/// One byte past the bound, by which it is seen that there are more.
fn read(path: &Path) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    if path == Path::new("-") {
        if io::stdin().is_terminal() {
            eprintln!("reading the document from the terminal");
        }
        io::stdin().take(MAX_DOCUMENT_BYTES + 1).read_to_end(&mut bytes)?;
    } else {
        File::open(path)?.take(MAX_DOCUMENT_BYTES + 1).read_to_end(&mut bytes)?;
    }
    Ok(bytes)
}

/// Asks for a change, again with the same id where there is no answer, and prints its index. No body withdraws.
pub(super) async fn change(
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
        let last = match call_to(to, ANSWER_TIMEOUT, request.clone()).await {
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

/// Whether a rejection says that nothing has changed, and that a repeat would not either.
fn is_final(status: StatusCode) -> bool {
    status.is_client_error() || status == StatusCode::INSUFFICIENT_STORAGE
}

/// Prints the documents of scopes; without any, of all.
pub(super) async fn get(to: SocketAddr, scopes: &[Scope]) -> Result<(), Failure> {
    let scopes = scopes.iter().map(Scope::to_string).collect::<Vec<_>>().join(",");
    let scopes = if scopes.is_empty() { "*" } else { &scopes };
    print(to, &format!("/configuration?scopes={scopes}")).await
}

/// Prints what is in force below.
pub(super) async fn status(to: SocketAddr) -> Result<(), Failure> {
    print(to, "/configuration/report").await
}

async fn print(to: SocketAddr, path: &str) -> Result<(), Failure> {
    let request = Call { method: Method::GET, host: to.to_string(), path, headers: &[], body: Bytes::new() };
    match call_to(to, ANSWER_TIMEOUT, request).await {
        Ok((StatusCode::OK, text)) => {
            // A reader that has gone, such as `head`, is no failure.
            let _ = io::stdout().write_all(&text);
            Ok(())
        }
        Ok((status, text)) => Err(Failure::ReadRejected { to, rejection: Rejection::new(status, &text) }),
        Err(source) => Err(Failure::ReadUnanswered { to, source }),
    }
}
