//! Builds the answer to a request: the result that the event loop gives, or an error if the request is malformed.

use std::rc::Rc;
use std::time::Duration;

use balancer_policy::interface::RequestId;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use tokio::time::{Instant, sleep, sleep_until};

use super::connection_set::ConnectionSet;
use super::connection_state::ClientConnection;
use super::request::{BadRequest, read_request};
use crate::event_loop::{AcceptedRequest, Answer, EventLoop, PendingAnswer};
use crate::socket::{Presence, Socket};

/// How long past a request's deadline the event loop may still answer, before the request is answered as failed without
/// it.
const DECISION_GRACE: Duration = Duration::from_millis(10);

/// How long a request behind unread bytes waits before it is handed to the event loop. The client may have closed the
/// connection before the previous answer was written, and its reset is on its way.
const RESET_DELAY: Duration = Duration::from_millis(10);

/// How long past the time at which a drain needs its answers the body of a request may still arrive: even a body that
/// arrives together with its head is read a moment after it.
const LATE_BODY_GRACE: Duration = Duration::from_millis(50);

/// Reads a request, whose last byte must arrive before `complete_by`, and waits for its answer. During a drain, both end
/// when the drain needs its answers. Dropping the future while it waits cancels the request.
pub(super) async fn respond(
    connections: &ConnectionSet,
    connection: &ClientConnection,
    request: Request<Incoming>,
    complete_by: Instant,
) -> Response<Full<Bytes>> {
    let event_loop = connections.event_loop();
    let drain_overdue = async {
        connections.answer_due().await;
        sleep(LATE_BODY_GRACE).await;
    };
    let overdue = async {
        tokio::select! {
            () = sleep_until(complete_by) => {}
            () = drain_overdue => {}
        }
    };
    connection.receiving_body.set(true);
    let read = tokio::select! {
        biased;
        read = read_request(event_loop, request, &connection.socket, overdue) => read,
        () = connection.body_abandoned() => Err(BadRequest::Abandoned),
    };
    connection.receiving_body.set(false);
    match read {
        // The request was read to its end, so that the connection can carry another.
        Err(BadRequest::NoMemory) => answer_response(Answer::Refused { retry_after: None }),
        Err(error) => error_response(&error),
        // An attempt would get no socket either. Nothing has run, so the request is refused.
        Ok(_) if event_loop.pool().is_full() => answer_response(Answer::Refused { retry_after: None }),
        Ok(mut accepted) => {
            // The drain may have begun while the body was read.
            if let Some(answer_by) = connections.answer_by() {
                accepted.deadline = accepted.deadline.min(answer_by);
            }
            connection.socket.body_complete();
            connection.awaiting_answer.set(true);
            if is_client_unknown(&connection.socket) {
                sleep(RESET_DELAY).await;
            }
            let answer = await_answer(event_loop, accepted).await;
            connection.awaiting_answer.set(false);
            answer_response(answer)
        }
    }
}

/// Whether the end of the connection may be behind unread bytes. The kernel is asked only if further requests have come.
fn is_client_unknown(socket: &Socket) -> bool {
    socket.may_hold_requests() && matches!(socket.presence(), Presence::Unknown { .. })
}

/// Notifies the event loop when a client disconnects before its answer: the guard is then dropped with the request's
/// future.
struct DepartureGuard {
    event_loop: Rc<EventLoop>,
    id: RequestId,
}

impl Drop for DepartureGuard {
    fn drop(&mut self) {
        self.event_loop.client_disconnected(self.id);
    }
}

/// Hands a request to the event loop and waits for its answer. Dropping the future while it waits notifies the event
/// loop that the client has disconnected.
async fn await_answer(event_loop: &Rc<EventLoop>, accepted: AcceptedRequest) -> Answer {
    let give_up_at = accepted.deadline + DECISION_GRACE;
    let PendingAnswer { id, answer } = event_loop.accept(accepted);
    let guard = DepartureGuard { event_loop: Rc::clone(event_loop), id };
    let answer = tokio::select! {
        biased;
        answer = answer => answer.unwrap_or(Answer::Failed),
        () = sleep_until(give_up_at) => Answer::Failed,
    };
    drop(guard);
    answer
}

/// The response to a malformed request. Where the request ends is uncertain, so the connection is closed after the
/// response.
fn error_response(error: &BadRequest) -> Response<Full<Bytes>> {
    let mut response = plain_text(error.status(), error.to_string());
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

fn answer_response(answer: Answer) -> Response<Full<Bytes>> {
    match answer {
        Answer::Served(body) => Response::new(Full::new(body)),
        Answer::Refused { retry_after } => {
            let mut response = plain_text(StatusCode::SERVICE_UNAVAILABLE, "refused");
            let value = retry_after.map(|span| HeaderValue::from_str(&format!("{:.3}", span.as_secs_f64())));
            if let Some(Ok(value)) = value {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
            response
        }
        Answer::Failed => plain_text(StatusCode::BAD_GATEWAY, "failed"),
    }
}

pub(super) fn plain_text(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}
