//! The answer to a request: the decisions', or an error of the request itself.

use std::rc::Rc;
use std::time::Duration;

use balancer_policy::interface::RequestId;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use tokio::time::{Instant, sleep_until};

use super::connection::ClientConnection;
use super::health::{HEALTH_PATH, check_health};
use super::request::{BadRequest, read_request};
use super::socket::WeakSocket;
use crate::driver::{Answer, Driver, Taken};

/// Left to the decisions for a last word past that, before the answer is given for them.
const DECISION_GRACE: Duration = Duration::from_millis(10);

pub(super) async fn respond(
    driver: &Rc<Driver>,
    request: Request<Incoming>,
    client: WeakSocket,
    complete_by: Instant,
    answer_by: Option<Instant>,
    connection: &ClientConnection,
) -> Response<Full<Bytes>> {
    if request.uri().path() == HEALTH_PATH {
        return check_health(driver);
    }
    let answer = match read_request(driver, request, client, complete_by).await {
        // No socket is left for an attempt either; nothing has run.
        Ok(_) if driver.pool().full() => Answer::Refused { retry_after: None },
        Ok(mut received) => {
            received.deadline = answer_by.map_or(received.deadline, |by| received.deadline.min(by));
            connection.socket.body_complete();
            connection.awaiting_answer.set(true);
            let answer = await_answer(driver, received).await;
            connection.awaiting_answer.set(false);
            answer
        }
        Err(error) => {
            let status = match error {
                BadRequest::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
                BadRequest::Slow => StatusCode::REQUEST_TIMEOUT,
                _ => StatusCode::BAD_REQUEST,
            };
            // The end of its request is not to be trusted.
            let mut response = plain_text(status, error.to_string());
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            return response;
        }
    };
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

/// Tells the driver of a client that leaves before its answer: the connection drops this with the request.
struct DepartureGuard {
    driver: Rc<Driver>,
    id: RequestId,
}

impl Drop for DepartureGuard {
    fn drop(&mut self) {
        self.driver.caller_left(self.id);
    }
}

async fn await_answer(driver: &Rc<Driver>, received: Taken) -> Answer {
    let overdue = received.deadline + DECISION_GRACE;
    let (id, answer) = driver.take(received);
    let guard = DepartureGuard { driver: Rc::clone(driver), id };
    let answer = tokio::select! {
        biased;
        answer = answer => answer.unwrap_or(Answer::Failed),
        () = sleep_until(overdue) => Answer::Failed,
    };
    drop(guard);
    answer
}
