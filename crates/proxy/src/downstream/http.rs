//! The HTTP side of a client connection, with the buffers that it needs. It exists only while the connection has
//! something to read, write or answer.

use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::Service;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::time::Instant;

use super::connection_set::ConnectionSet;
use super::connection_state::{ClientConnection, IDLE_TIMEOUT};
use super::health::{check_health, is_health_check};
use super::response::respond;
use super::shutdown::Phase;
use crate::memory::BufferPermit;
use crate::socket::Socket;

/// Largest head of a request. A larger head is not a valid request, and many of them must not exhaust the memory.
const HEAD_MAX_BYTES: usize = 32 * 1024;

/// How serving the requests of a client connection ended.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum ConnectionEnd {
    /// The connection ended regularly: what was written must reach the client.
    Completed,
    /// The client has disconnected or has stopped reading.
    ClientDisconnected,
}

/// Serves HTTP on a client connection. If it is dropped between requests, the connection can be served by another one.
pub(super) struct HttpConnection<'a> {
    pub(super) connection: &'a ClientConnection,
    /// hyper's connection; `None` only while this is dropped.
    inner: Option<http1::Connection<TokioIo<Socket>, RequestService<'a>>>,
    _buffers: BufferPermit,
}

impl<'a> HttpConnection<'a> {
    pub(super) fn new(
        connections: &'a Rc<ConnectionSet>,
        connection: &'a ClientConnection,
        buffers: BufferPermit,
    ) -> Self {
        connection.buffered_since.set(Some(Instant::now()));
        let mut builder = http1::Builder::new();
        builder.timer(TokioTimer::new()).header_read_timeout(IDLE_TIMEOUT).max_buf_size(HEAD_MAX_BYTES);
        let service = RequestService { connections, connection };
        let inner = builder.serve_connection(TokioIo::new(connection.socket.clone()), service);
        Self { connection, inner: Some(inner), _buffers: buffers }
    }

    /// Serves the connection until the future `until` is ready, and returns its output.
    ///
    /// # Errors
    /// The connection has ended. It must not be served any more.
    pub(super) async fn serve_until<T>(
        &mut self,
        until: impl Future<Output = T>,
    ) -> Result<T, ConnectionEnd> {
        let served = poll_fn(|context| match &mut self.inner {
            Some(inner) => Pin::new(inner).poll(context),
            None => Poll::Pending,
        });
        tokio::select! {
            biased;
            _ = served => Err(ConnectionEnd::Completed),
            () = client_disconnected(self.connection) => Err(ConnectionEnd::ClientDisconnected),
            done = until => Ok(done),
        }
    }

    /// Closes the connection at once if it is between requests, else after the answer in progress.
    pub(super) fn shut_down_gracefully(&mut self) {
        if let Some(inner) = &mut self.inner {
            Pin::new(inner).graceful_shutdown();
        }
    }
}

impl Drop for HttpConnection<'_> {
    /// Returns to the socket what hyper has read of a next request.
    fn drop(&mut self) {
        self.connection.buffered_since.set(None);
        self.connection.socket.release_head_memory();
        if let Some(inner) = self.inner.take() {
            let unused = inner.into_parts().read_buf;
            if !unused.is_empty() {
                self.connection.socket.take_back(&unused);
            }
        }
    }
}

/// Passes the requests of a connection to [`handle_request`].
struct RequestService<'a> {
    connections: &'a Rc<ConnectionSet>,
    connection: &'a ClientConnection,
}

impl<'a> Service<Request<Incoming>> for RequestService<'a> {
    type Response = Response<Full<Bytes>>;
    type Error = Infallible;
    // Boxed so that idle connections have no memory for it.
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Infallible>> + 'a>>;

    fn call(&self, request: Request<Incoming>) -> Self::Future {
        let &Self { connections, connection } = self;
        // Called before the future is first polled, so that the connection counts as having a request in progress at
        // once.
        let body = request.body().size_hint().exact();
        let complete_by = connection.begin_request(body, is_health_check(&request));
        Box::pin(handle_request(connections, connection, request, complete_by))
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
