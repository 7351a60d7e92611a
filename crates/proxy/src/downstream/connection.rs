//! One client's connection: its requests are read and answered one at a time, and it ends so that an answer arrives.

use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::task::yield_now;
use tokio::time::sleep_until;

use super::connection_set::ConnectionSet;
use super::connection_state::ClientConnection;
use super::health::{check_health, is_health_check};
use super::response::{Limits, respond};
use super::shutdown::Phase;
use crate::socket::Socket;

/// A connection that has carried a request is closed after this long without the next.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// How long a closed connection waits for its client to close too, reading out what still comes: closing over unread
/// bytes would reset it and could take the answer along.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);
/// Bytes of a request's head at most: more is no proper request, and many such must not fill the memory.
const HEAD_MAX_BYTES: usize = 32 * 1024;

/// Serves a connection to its end.
pub(super) async fn handle_connection(connections: &Rc<ConnectionSet>, connection: &Rc<ClientConnection>) {
    let ending = serve_requests(connections, connection).await;
    if ending == Ending::InOrder {
        // Short of sockets it reads out what has come, and does not wait for more.
        let congested = connections.event_loop().pool().is_nearly_full();
        let linger = if congested { Duration::ZERO } else { LINGER_TIMEOUT };
        connection.socket.clone().close(linger).await;
    }
}

/// How the requests of a client ended.
#[derive(Debug, PartialEq, Eq)]
enum Ending {
    /// In order: what was written must reach the client.
    InOrder,
    /// The client has gone, or reads nothing more.
    ClientGone,
}

async fn serve_requests(connections: &Rc<ConnectionSet>, connection: &Rc<ClientConnection>) -> Ending {
    let service = service_fn(|request: Request<Incoming>| {
        // Before the first poll, so that the connection counts as in a request from here on.
        let body = request.body().size_hint().exact();
        let complete_by = connection.begin_request(body, is_health_check(&request));
        let limits = Limits { complete_by, answer_by: connections.answer_by() };
        handle_request(connections, connection, request, limits)
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(IDLE_TIMEOUT).max_buf_size(HEAD_MAX_BYTES);
    let mut served = pin!(builder.serve_connection(TokioIo::new(connection.socket.clone()), service));
    let due = should_close(connections, connection);
    if let Some(ending) = serve_until(served.as_mut(), connection, due).await {
        return ending;
    }
    // What came while the program was held up is in the socket, and the server has not been told of it.
    let caught_up = runtime_catches_up(&connection.socket);
    if let Some(ending) = serve_until(served.as_mut(), connection, caught_up).await {
        return ending;
    }
    // The server would end one that is not in a request at once, though one may be on its way, in the socket or there
    // in part: that one gets a moment, and its connection is then closed like the others.
    if let Some(until) = connection.grace_until() {
        if let Some(ending) = serve_until(served.as_mut(), connection, sleep_until(until)).await {
            return ending;
        }
        if !connection.has_carried_request.get() {
            return Ending::InOrder;
        }
    }
    // It ends now if it is between requests.
    served.as_mut().graceful_shutdown();
    let unread = connection.answer_left_unread();
    serve_until(served, connection, unread).await.unwrap_or(Ending::ClientGone)
}

/// Serves until the connection ends, and tells how, or until the future is ready. Cancel safe as far as `served` is
/// kept: it goes on from where it stood.
async fn serve_until<T>(
    served: Pin<&mut impl Future<Output = T>>,
    connection: &ClientConnection,
    until: impl Future<Output = ()>,
) -> Option<Ending> {
    tokio::select! {
        biased;
        _ = served => Some(Ending::InOrder),
        () = client_gone(connection) => Some(Ending::ClientGone),
        () = until => None,
    }
}

/// Waits until a client leaves that is owed an answer. The server does not look past bytes that it has no use for yet,
/// and the client's end may be behind them. Cancel safe.
async fn client_gone(connection: &ClientConnection) {
    poll_fn(|context| {
        if connection.awaiting_answer.get() { connection.socket.poll_gone(context) } else { Poll::Pending }
    })
    .await;
}

/// Waits until the connection is to be closed once it is between requests. Cancel safe but for an eviction that it has
/// heard of, which [`ClientConnection`] keeps.
async fn should_close(connections: &ConnectionSet, connection: &ClientConnection) {
    let mut phases = connections.phases();
    tokio::select! {
        // An error means that the program is ending.
        _ = phases.wait_for(|&phase| phase == Phase::Closing) => {}
        () = connection.evicted() => {}
        () = connection.first_request_overdue() => {}
        () = connection.head_overdue() => {}
    }
}

/// Waits until the runtime has heard from the system of what is in the socket. Cancel safe.
async fn runtime_catches_up(socket: &Socket) {
    if !socket.is_silent() {
        yield_now().await;
    }
}

/// Answers a request. Its future is dropped with the connection where the client leaves: `respond` says what then.
async fn handle_request(
    connections: &ConnectionSet,
    connection: &ClientConnection,
    request: Request<Incoming>,
    limits: Limits,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let event_loop = connections.event_loop();
    // Its attempt wants a socket too, which clients that only stand by must not keep from it.
    if event_loop.pool().is_nearly_full() {
        connections.evict_idle_connection();
    }
    let mut response = if is_health_check(&request) {
        check_health(event_loop)
    } else {
        respond(event_loop, connection, request, limits).await
    };
    connection.end_request();
    if connections.phase() != Phase::Serving || event_loop.pool().is_full() || connection.socket.overflowed()
    {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}
