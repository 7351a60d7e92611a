//! Serves one client connection: reads and answers its requests one at a time, and closes it so that the last answer
//! reaches the client.

use std::future::poll_fn;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until};

use super::connection_set::ConnectionSet;
use super::connection_state::ClientConnection;
use super::http::{ConnectionEnd, HttpConnection};
use super::shutdown::Phase;
use crate::memory::BufferPermit;
use crate::socket::{Input, Socket};
use crate::telemetry::closes::CloseReason;

/// How long a connection that is shut down waits for its client to close, while reading and discarding incoming bytes.
/// Closing a socket with unread bytes resets the connection, and the client could lose the answer.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);

/// Serves a client connection until it is closed.
pub(super) async fn handle_connection(connections: &Rc<ConnectionSet>, connection: &Rc<ClientConnection>) {
    let Closing { end, reason } = serve_requests(connections, connection).await;
    connections.event_loop().count_close(reason);
    if end == ConnectionEnd::Completed {
        // When sockets are scarce, it discards the bytes that have arrived but does not wait for the client to close.
        let sockets_scarce = connections.event_loop().pool().is_nearly_full();
        let linger = if sockets_scarce { Duration::ZERO } else { LINGER_TIMEOUT };
        connection.socket.clone().close(linger).await;
    }
}

/// How a connection is closed, and why.
struct Closing {
    end: ConnectionEnd,
    reason: CloseReason,
}

impl Closing {
    /// The connection ended regularly, for this reason.
    fn completed(reason: CloseReason) -> Self {
        Self { end: ConnectionEnd::Completed, reason }
    }
}

/// Serves the requests of a connection. It has HTTP buffers only while there is something to read, write or answer.
async fn serve_requests(connections: &Rc<ConnectionSet>, connection: &Rc<ClientConnection>) -> Closing {
    let mut close_reason = pin!(wait_for_close_reason(connections, connection));
    loop {
        let buffers = tokio::select! {
            biased;
            buffers = buffers_for_input(connections, connection) => buffers,
            reason = close_reason.as_mut() => {
                let end = close_idle(connections, connection).await;
                return Closing { end, reason };
            }
            () = connection.idle_overdue() => return Closing::completed(CloseReason::Idle),
        };
        let Some(buffers) = buffers else { return Closing::completed(CloseReason::ClientIdle) };
        let mut http = HttpConnection::new(connections, connection, buffers);
        let until = async {
            tokio::select! {
                biased;
                reason = close_reason.as_mut() => Interruption::Close(reason),
                () = connection.buffers_unused() => Interruption::Idle,
            }
        };
        match http.serve_until(until).await {
            Err(end) => return Closing { reason: reason_of_end(&end, connection), end },
            Ok(Interruption::Close(reason)) => {
                let end = close(http, None).await;
                return Closing { end, reason };
            }
            Ok(Interruption::Idle) => {}
        }
    }
}

/// The reason for an end that HTTP came to by itself.
fn reason_of_end(end: &ConnectionEnd, connection: &ClientConnection) -> CloseReason {
    match end {
        ConnectionEnd::ClientDisconnected => CloseReason::ClientInRequest,
        ConnectionEnd::Completed if connection.socket.has_ended() => CloseReason::ClientIdle,
        ConnectionEnd::Completed => CloseReason::Http,
    }
}

/// Why serving requests on an HTTP connection is interrupted.
enum Interruption {
    /// The client connection is to be closed.
    Close(CloseReason),
    /// The client connection is idle, so that it needs no HTTP buffers.
    Idle,
}

/// Waits until the client has sent something and there are HTTP buffers for it; `None` if it has disconnected. Cancel
/// safe.
async fn buffers_for_input(
    connections: &ConnectionSet,
    connection: &ClientConnection,
) -> Option<BufferPermit> {
    match connection.socket.input().await {
        Input::End => None,
        Input::Bytes => Some(connections.acquire_buffers().await),
    }
}

/// Closes a connection that has no HTTP buffers, unless a request arrives in its grace period.
async fn close_idle(connections: &Rc<ConnectionSet>, connection: &Rc<ClientConnection>) -> ConnectionEnd {
    connection.socket.stop_reading_ahead();
    let grace_until = connection.grace_until();
    // Bytes that arrived while the process was delayed are in the socket, but the runtime has not reported them yet.
    yield_for_socket_readiness(&connection.socket).await;
    if connection.socket.has_nothing_to_read() && !connection.socket.may_hold_requests() {
        let Some(until) = grace_until else { return ConnectionEnd::Completed };
        tokio::select! {
            biased;
            _ = connection.socket.input() => {}
            () = sleep_until(until) => return ConnectionEnd::Completed,
        }
    }
    let buffers = connections.event_loop().memory().count_client_buffers();
    close(HttpConnection::new(connections, connection, buffers), grace_until).await
}

/// Closes a connection once the requests that have been read are answered. A request that is not complete gets a grace
/// period: until `grace_until` if that is given.
async fn close(mut http: HttpConnection<'_>, grace_until: Option<Instant>) -> ConnectionEnd {
    match close_after_requests(&mut http, grace_until).await {
        Ok(end) | Err(end) => end,
    }
}

async fn close_after_requests(
    http: &mut HttpConnection<'_>,
    grace_until: Option<Instant>,
) -> Result<ConnectionEnd, ConnectionEnd> {
    let connection = http.connection;
    connection.socket.stop_reading_ahead();
    // Bytes that arrived while the process was delayed are in the socket, but hyper has not been notified of them yet.
    http.serve_until(yield_for_socket_readiness(&connection.socket)).await?;
    http.serve_until(idle_or_unread(connection)).await?;
    // hyper would close a connection without a request in progress at once, although a request may be on its way, in
    // the socket or partly read. Such a request gets a grace period, after which the connection is closed like the
    // others.
    if let Some(until) = grace_until.or_else(|| connection.grace_until()) {
        http.serve_until(sleep_until(until)).await?;
        if !connection.has_carried_request.get() {
            return Ok(ConnectionEnd::Completed);
        }
        http.serve_until(idle_or_unread(connection)).await?;
    }
    // This closes the connection at once if it is between requests, else after the answer in progress.
    http.shut_down_gracefully();
    http.serve_until(connection.unread_answer_overdue()).await?;
    Ok(ConnectionEnd::ClientDisconnected)
}

/// Waits until there is a reason to close the connection once it is between requests. Cancel safe except that the
/// notification of an eviction may be consumed; [`ClientConnection`] still records the eviction.
async fn wait_for_close_reason(connections: &ConnectionSet, connection: &ClientConnection) -> CloseReason {
    let mut phases = connections.phases();
    tokio::select! {
        // An error means that the program is shutting down.
        _ = phases.wait_for(|&phase| phase == Phase::Closing) => CloseReason::Drain,
        () = connection.evicted() => CloseReason::Evicted,
        () = connection.first_request_overdue() => CloseReason::FirstRequest,
        () = connection.head_overdue() => CloseReason::Head,
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
