//! A connection, which carries a single request. Each step has a deadline, so that a client that stops in the middle of
//! a request, or does not read the response, cannot keep the connection open.

use std::cell::Cell;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

use super::{Server, Source};

/// Response header with the level of the process that sends the response.
pub const LEVEL_HEADER: &str = "x-level";

/// Time limit for receiving the head of an HTTP request, so that a client that stops in the middle of it cannot keep
/// the connection open.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time limit for receiving the whole request, counted from the start of the connection.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit for producing a response that is not a watch, and for the client to read it.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);
/// Size of the socket's send buffer, of which Linux reserves twice as much. It is limited because updates that wait in
/// the buffer can no longer be merged into newer ones.
const SEND_BUFFER_BYTES: usize = 256 << 10;
/// Size of hyper's buffer for a connection: large enough for the head of a request, and small enough for thousands of
/// connections.
const HTTP_BUFFER_BYTES: usize = 16 << 10;

/// Deadline and stall signal, which the task of a connection observes beside the connection.
pub(super) struct ConnectionControl {
    /// Time at which the connection is closed; `None` for a watch, which may stay open.
    deadline: Cell<Option<Instant>>,
    /// Notified when the reader of a watch accepts no data, so that the connection is closed.
    stalled: Notify,
}

impl ConnectionControl {
    fn new(deadline: Instant) -> Rc<Self> {
        Rc::new(Self { deadline: Cell::new(Some(deadline)), stalled: Notify::new() })
    }

    /// Starts the time limit of the response; called once the request has been read.
    pub(super) fn expect_response(&self) {
        self.deadline.set(Some(Instant::now() + RESPONSE_TIMEOUT));
    }

    /// Removes the deadline, because the response is a watch, which stays open.
    pub(super) fn stay_open(&self) {
        self.deadline.set(None);
    }

    /// Closes the connection, because its reader accepts no data.
    pub(super) fn close_stalled(&self) {
        self.stalled.notify_one();
    }

    /// Waits until the deadline has passed or the reader has stalled. This method is cancel safe.
    async fn expired(&self) {
        loop {
            let deadline = self.deadline.get();
            tokio::select! {
                () = self.stalled.notified() => return,
                // A changed deadline is seen when the old one has passed, at the latest.
                () = sleep_until(deadline.unwrap_or_else(|| Instant::now() + RESPONSE_TIMEOUT)) => {
                    if self.deadline.get().is_some_and(|deadline| deadline <= Instant::now()) {
                        return;
                    }
                }
            }
        }
    }
}

impl<S: Source> Server<S> {
    /// Serves a connection until it ends or its deadline passes.
    pub(super) async fn serve_connection(self: Rc<Self>, stream: TcpStream) {
        // Lines are small and are to be sent at once. If a socket option cannot be set, the connection works all the
        // same, only slower.
        let _ = stream.set_nodelay(true);
        let _ = SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES);
        let began = Instant::now();
        let control = ConnectionControl::new(began + HEAD_TIMEOUT);
        let service = service_fn(|request| {
            let (server, control) = (Rc::clone(&self), Rc::clone(&control));
            async move {
                control.deadline.set(Some(began + REQUEST_TIMEOUT));
                let mut response = server.respond(request, &control).await;
                response.headers_mut().insert(LEVEL_HEADER, u16::from(server.level).into());
                Ok::<_, Infallible>(response)
            }
        });
        // Vectored writes queue a line instead of copying it: all watches share its bytes, and its drop shows when it
        // has been written.
        let mut builder = http1::Builder::new();
        let builder = builder.keep_alive(false).writev(true).max_buf_size(HTTP_BUFFER_BYTES);
        let connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
        tokio::select! {
            // An error of the connection concerns only its client and is ignored.
            _ = connection => {}
            () = control.expired() => {}
        }
    }
}
