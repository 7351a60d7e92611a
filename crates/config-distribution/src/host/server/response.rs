//! Response bodies, and the progress of sending a line of a watch to its reader.

use std::cell::Cell;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::{Buf, Bytes};
use hyper::body::{Body, Frame, SizeHint};
use hyper::{Response, StatusCode, header};
use serde::Serialize;
use serde_json::json;
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;

/// Bytes being sent to one reader: a line of a watch, or a whole response body.
pub(crate) struct Line {
    bytes: Bytes,
    delivery: Rc<Delivery>,
}

/// Progress of sending a line.
pub(super) struct Delivery {
    /// Notified when the line has been written to the socket, or dropped with its connection.
    finished: Notify,
    /// Time at which the socket last accepted bytes of the line.
    last_progress: Cell<Instant>,
}

impl Delivery {
    /// Waits until the line has been written to the socket, or dropped with its connection. This method is cancel safe.
    pub(super) async fn finished(&self) {
        self.finished.notified().await;
    }

    /// Returns the time at which the socket last accepted bytes of the line, or at first the time at which the line was
    /// created.
    pub(super) fn last_progress(&self) -> Instant {
        self.last_progress.get()
    }
}

impl Line {
    pub(super) fn new(bytes: Bytes) -> Self {
        let delivery = Delivery { finished: Notify::new(), last_progress: Cell::new(Instant::now()) };
        Self { bytes, delivery: Rc::new(delivery) }
    }

    /// Returns a handle to the progress of sending this line.
    pub(super) fn delivery(&self) -> Rc<Delivery> {
        Rc::clone(&self.delivery)
    }
}

impl Buf for Line {
    fn remaining(&self) -> usize {
        self.bytes.remaining()
    }

    fn chunk(&self) -> &[u8] {
        self.bytes.chunk()
    }

    fn advance(&mut self, count: usize) {
        self.delivery.last_progress.set(Instant::now());
        self.bytes.advance(count);
    }
}

impl Drop for Line {
    fn drop(&mut self) {
        self.delivery.finished.notify_one();
    }
}

/// Body of a response.
pub(crate) enum ResponseBody {
    /// Whole body of a single response; `None` once hyper has taken it.
    Complete(Option<Bytes>),
    /// Lines of a watch, each sent as it arrives on the channel.
    Stream(mpsc::Receiver<Line>),
}

impl Body for ResponseBody {
    type Data = Line;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Line>, Infallible>>> {
        match &mut *self {
            Self::Complete(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(Line::new(bytes))))),
            Self::Stream(lines) => {
                lines.poll_recv(context).map(|line| line.map(|line| Ok(Frame::data(line))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Complete(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// Creates a response whose body is one JSON object and a line break.
pub(crate) fn json_response(status: StatusCode, content: &impl Serialize) -> Response<ResponseBody> {
    let mut text = serde_json::to_vec(content).unwrap_or_default();
    text.push(b'\n');
    let mut response = Response::new(ResponseBody::Complete(Some(text.into())));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, header::HeaderValue::from_static("application/json"));
    response
}

/// Creates an error response with the reason `why`.
pub(crate) fn error_response(status: StatusCode, why: &str) -> Response<ResponseBody> {
    json_response(status, &json!({ "error": why }))
}
