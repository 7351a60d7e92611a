//! One connection, which carries one request. It has a deadline at each step, so that a client that stops in the middle
//! of a request, or does not read its answer, holds no connection.

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

/// The header of an answer with the level of the process that answers.
pub const LEVEL: &str = "x-level";

/// The head of a request has so long to come, so that one that stops in the middle of it holds no connection.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2500);
/// A request has so long to come whole, from the connection's start.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// An answer that is no watch has so long to be made and read.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);
/// Bytes of the socket's send buffer, of which Linux reserves twice as many: what waits there is no longer merged to the
/// newest.
const SEND_BUFFER_BYTES: usize = 256 << 10;
/// Bytes of hyper's buffer: a head of a request fits well, and thousands of connections stay small.
const HTTP_BUFFER_BYTES: usize = 16 << 10;

/// What a connection's task observes beside the connection.
pub(super) struct ConnectionControl {
    /// None for a watch, which has no end of its own.
    deadline: Cell<Option<Instant>>,
    stalled: Notify,
}

impl ConnectionControl {
    fn new(deadline: Instant) -> Rc<Self> {
        Rc::new(Self { deadline: Cell::new(Some(deadline)), stalled: Notify::new() })
    }

    /// The request is read: from now on its answer has so long.
    pub(super) fn expect_response(&self) {
        self.deadline.set(Some(Instant::now() + RESPONSE_TIMEOUT));
    }

    /// The answer is a watch, which stays open.
    pub(super) fn stay_open(&self) {
        self.deadline.set(None);
    }

    /// Closes the connection, since its reader accepts nothing.
    pub(super) fn close_stalled(&self) {
        self.stalled.notify_one();
    }

    /// Waits until the deadline has passed or the reader has stalled. Cancellation safe.
    async fn expired(&self) {
        loop {
            let deadline = self.deadline.get();
            tokio::select! {
                () = self.stalled.notified() => return,
                // A new deadline is seen after the old one at the latest.
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
    /// Serves one connection to its end.
    pub(super) async fn serve_connection(self: Rc<Self>, stream: TcpStream) {
        // Lines are small and are to go at once. Where an option cannot be set, the connection is slower and works.
        let _ = stream.set_nodelay(true);
        let _ = SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES);
        let began = Instant::now();
        let control = ConnectionControl::new(began + HEAD_TIMEOUT);
        let service = service_fn(|request| {
            let (server, control) = (Rc::clone(&self), Rc::clone(&control));
            async move {
                control.deadline.set(Some(began + REQUEST_TIMEOUT));
                let mut response = server.respond(request, &control).await;
                response.headers_mut().insert(LEVEL, u16::from(server.level).into());
                Ok::<_, Infallible>(response)
            }
        });
        // Queued and not copied together: all watches share the bytes of a line, and its end is seen.
        let mut builder = http1::Builder::new();
        let builder = builder.keep_alive(false).writev(true).max_buf_size(HTTP_BUFFER_BYTES);
        let connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
        tokio::select! {
            // How it ended concerns its client alone.
            _ = connection => {}
            () = control.expired() => {}
        }
    }
}
