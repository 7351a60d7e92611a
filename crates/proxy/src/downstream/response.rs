//! Builds the answer to a request: the result that the event loop gives, or an error if the request is malformed.

use std::rc::Rc;
use std::time::Duration;

use balancer_policy::interface::RequestId;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use tokio::time::{Instant, sleep_until};

use super::connection_state::ClientConnection;
use super::request::{BadRequest, read_request};
use crate::event_loop::{AcceptedRequest, Answer, EventLoop, PendingAnswer};

/// How long past a request's deadline the event loop may still answer, before the request is answered as failed without
/// it.
const DECISION_GRACE: Duration = Duration::from_millis(10);

/// The deadlines of a request.
pub(super) struct RequestDeadlines {
    /// Deadline by which the last byte of the request must have arrived.
    pub(super) complete_by: Instant,
    /// Deadline for the answer during a drain, in addition to the request's own deadline; `None` if there is no drain.
    pub(super) answer_by: Option<Instant>,
}

/// Reads a request and waits for its answer. Dropping the future while it waits cancels the request.
pub(super) async fn respond(
    event_loop: &Rc<EventLoop>,
    connection: &ClientConnection,
    request: Request<Incoming>,
    deadlines: RequestDeadlines,
) -> Response<Full<Bytes>> {
    let client = connection.socket.downgrade();
    match read_request(event_loop, request, client, deadlines.complete_by).await {
        Err(error) => error_response(&error),
        // An attempt would get no socket either. Nothing has run, so the request is refused.
        Ok(_) if event_loop.pool().is_full() => answer_response(Answer::Refused { retry_after: None }),
        Ok(mut accepted) => {
            if let Some(answer_by) = deadlines.answer_by {
                accepted.deadline = accepted.deadline.min(answer_by);
            }
            connection.socket.body_complete();
            connection.awaiting_answer.set(true);
            let answer = await_answer(event_loop, accepted).await;
            connection.awaiting_answer.set(false);
            answer_response(answer)
        }
    }
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
