//! Serves one client connection: reads and answers its requests one at a time, and closes it so that the last answer
//! reaches the client.

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
use tokio::time::{Instant, sleep_until};

use super::connection_set::ConnectionSet;
use super::connection_state::ClientConnection;
use super::health::{check_health, is_health_check};
use super::response::respond;
use super::shutdown::Phase;
use crate::socket::Socket;

/// Idle time after which a connection that has carried a request is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// How long a connection that is shut down waits for its client to close, while reading and discarding incoming bytes.
/// Closing a socket with unread bytes resets the connection, and the client could lose the answer.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);
/// Largest head of a request. A larger head is not a valid request, and many of them must not exhaust the memory.
const HEAD_MAX_BYTES: usize = 32 * 1024;

/// Serves a client connection until it is closed.
pub(super) async fn handle_connection(connections: &Rc<ConnectionSet>, connection: &Rc<ClientConnection>) {
    let end = serve_requests(connections, connection).await;
    if end == ConnectionEnd::Completed {
        // When sockets are scarce, it discards the bytes that have arrived but does not wait for the client to close.
        let sockets_scarce = connections.event_loop().pool().is_nearly_full();
        let linger = if sockets_scarce { Duration::ZERO } else { LINGER_TIMEOUT };
        connection.socket.clone().close(linger).await;
    }
}

/// How serving the requests of a client connection ended.
#[derive(Debug, PartialEq, Eq)]
enum ConnectionEnd {
    /// The connection ended regularly: what was written must reach the client.
    Completed,
    /// The client has disconnected or has stopped reading.
    ClientDisconnected,
}

async fn serve_requests(connections: &Rc<ConnectionSet>, connection: &Rc<ClientConnection>) -> ConnectionEnd {
    let service = service_fn(|request: Request<Incoming>| {
        // Called before the future is first polled, so that the connection counts as having a request in progress at
        // once.
        let body = request.body().size_hint().exact();
        let complete_by = connection.begin_request(body, is_health_check(&request));
        // Boxed so that idle connections have no memory for it.
        Box::pin(handle_request(connections, connection, request, complete_by))
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(IDLE_TIMEOUT).max_buf_size(HEAD_MAX_BYTES);
    let mut http_connection =
        pin!(builder.serve_connection(TokioIo::new(connection.socket.clone()), service));
    let close_reason = wait_for_close_reason(connections, connection);
    if let Some(end) = serve_until(http_connection.as_mut(), connection, close_reason).await {
        return end;
    }
    connection.socket.stop_reading_ahead();
    // Bytes that arrived while the process was delayed are in the socket, but hyper has not been notified of them yet.
    let readiness_polled = yield_for_socket_readiness(&connection.socket);
    if let Some(end) = serve_until(http_connection.as_mut(), connection, readiness_polled).await {
        return end;
    }
    if let Some(end) = serve_until(http_connection.as_mut(), connection, idle_or_unread(connection)).await {
        return end;
    }
    // hyper would close a connection without a request in progress at once, although a request may be on its way, in
    // the socket or partly read. Such a request gets a grace period, after which the connection is closed like the
    // others.
    if let Some(until) = connection.grace_until() {
        if let Some(end) = serve_until(http_connection.as_mut(), connection, sleep_until(until)).await {
            return end;
        }
        if !connection.has_carried_request.get() {
            return ConnectionEnd::Completed;
        }
        if let Some(end) = serve_until(http_connection.as_mut(), connection, idle_or_unread(connection)).await
        {
            return end;
        }
    }
    // This closes the connection at once if it is between requests, else after the answer in progress.
    http_connection.as_mut().graceful_shutdown();
    let unread_timeout = connection.unread_answer_overdue();
    serve_until(http_connection, connection, unread_timeout)
        .await
        .unwrap_or(ConnectionEnd::ClientDisconnected)
}

/// Serves the connection until it ends, and returns how, or until the future `until` is ready. Cancel safe as long as
/// `http_connection` is kept: serving can then be resumed.
async fn serve_until<T>(
    http_connection: Pin<&mut impl Future<Output = T>>,
    connection: &ClientConnection,
    until: impl Future<Output = ()>,
) -> Option<ConnectionEnd> {
    tokio::select! {
        biased;
        _ = http_connection => Some(ConnectionEnd::Completed),
        () = client_disconnected(connection) => Some(ConnectionEnd::ClientDisconnected),
        () = until => None,
    }
}

/// Waits until a client that awaits an answer disconnects. hyper does not detect this if the client has sent further
/// bytes before the end of its connection, because it does not read them yet. Cancel safe.
async fn client_disconnected(connection: &ClientConnection) {
    poll_fn(|context| {
        if connection.awaiting_answer.get() {
            connection.socket.poll_disconnected(context)
        } else {
            Poll::Pending
        }
    })
    .await;
}

/// Waits until there is a reason to close the connection once it is between requests. Cancel safe except that the
/// notification of an eviction may be consumed; [`ClientConnection`] still records the eviction.
async fn wait_for_close_reason(connections: &ConnectionSet, connection: &ClientConnection) {
    let mut phases = connections.phases();
    tokio::select! {
        // An error means that the program is shutting down.
        _ = phases.wait_for(|&phase| phase == Phase::Closing) => {}
        () = connection.evicted() => {}
        () = connection.first_request_overdue() => {}
        () = connection.head_overdue() => {}
    }
}

/// Waits until all requests that have been read are answered, or until the client has left an answer unread for too
/// long. It must be polled after the HTTP connection in the same task, which then makes all the changes that it waits
/// for. Cancel safe.
async fn idle_or_unread(connection: &ClientConnection) {
    let idle = poll_fn(|_| if connection.is_idle() { Poll::Ready(()) } else { Poll::Pending });
    tokio::select! {
        () = idle => {}
        () = connection.unread_answer_overdue() => {}
    }
}

/// Yields to the runtime if the socket has bytes to read, so that the runtime polls the kernel for them. Cancel safe.
async fn yield_for_socket_readiness(socket: &Socket) {
    if !socket.has_nothing_to_read() {
        yield_now().await;
    }
}

/// Answers a request, whose last byte must arrive before `complete_by`. If the client disconnects, the future is dropped
/// with the connection; `respond` handles this case.
async fn handle_request(
    connections: &ConnectionSet,
    connection: &ClientConnection,
    request: Request<Incoming>,
    complete_by: Instant,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let event_loop = connections.event_loop();
    // The request's attempt needs a socket too, and idle clients must not keep it from getting one.
    if event_loop.pool().is_nearly_full() {
        connections.evict_idle_connection();
    }
    let mut response = if is_health_check(&request) {
        check_health(event_loop)
    } else {
        respond(connections, connection, request, complete_by).await
    };
    connection.end_request();
    let is_to_close =
        connections.phase() != Phase::Serving || event_loop.pool().is_full() || connection.socket.discards();
    // Requests that have been read are answered before the connection is closed.
    if is_to_close && connection.is_idle() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}
