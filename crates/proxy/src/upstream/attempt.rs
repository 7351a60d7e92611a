//! Runs one attempt: sends its request on a connection from the pool, and reports the outcome. An attempt never retries
//! by itself; the policy decides whether another attempt follows.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use balancer_policy::interface::{EndpointId, Outcome, RequestId};
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep_until, timeout};

use super::acquire::Acquired;
use super::acquire_error::AcquireError;
use super::call::size_on_wire;
use super::connection::Connection;
use super::context::AttemptContext;
use super::gate::WriteCheck;
use super::host::Host;
use super::job::{AttemptEnd, Job};
use super::progress::Progress;
use super::response::read_response;

/// How long a connection may take to become ready for another request after a response. A connection whose upstream
/// responded without reading the whole request never becomes ready.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(1);

/// The conditions under which the bytes of an attempt's request may be written, checked at each write.
struct AttemptWriteCheck<C> {
    context: Rc<C>,
    request: RequestId,
    upstream: EndpointId,
    address: SocketAddr,
    write_deadline: Option<Instant>,
    attempt_deadline: Instant,
}

impl<C: AttemptContext> AttemptWriteCheck<C> {
    fn of(context: &Rc<C>, job: &Job) -> Self {
        let &Job { request, upstream, address, write_deadline, attempt_deadline, .. } = job;
        Self { context: Rc::clone(context), request, upstream, address, write_deadline, attempt_deadline }
    }

    /// Whether the window in which upstreams deduplicate a repeated request has ended.
    fn is_past_write_deadline(&self) -> bool {
        self.write_deadline.is_some_and(|by| Instant::now() > by)
    }

    /// The outcome of an attempt that must not send its request any more; `None` if it may.
    fn refusal(&self) -> Option<Outcome> {
        // While the attempt connected, the upstream may have begun to drain or have been removed from the list. No new
        // request is sent to such an upstream.
        if !self.context.may_send(self.upstream, self.address) {
            return Some(Outcome::ConnectFailed);
        }
        // Meanwhile the client may have disconnected, or another attempt may have served the request.
        (!self.context.needs_answer(self.request) || self.is_past_write_deadline())
            .then_some(Outcome::NotSent)
    }
}

impl<C: AttemptContext> WriteCheck for AttemptWriteCheck<C> {
    fn time_left_to_begin(&self) -> Option<Duration> {
        let may_begin = self.refusal().is_none() && self.context.may_begin_attempt(self.request);
        may_begin.then(|| self.attempt_deadline.saturating_duration_since(Instant::now()))
    }

    fn may_continue(&self) -> bool {
        !self.is_past_write_deadline() && self.context.is_client_waiting(self.request)
    }
}

/// The result of sending a request and reading its response.
struct ExchangeResult {
    end: AttemptEnd,
    /// The connection, if it may carry another request; `None` if it is closed.
    connection: Option<Connection>,
}

impl From<Outcome> for ExchangeResult {
    /// The result without a connection: the attempt's connection, if it had one, is closed.
    fn from(outcome: Outcome) -> Self {
        Self { end: outcome.into(), connection: None }
    }
}

/// Runs an attempt and notifies the context of its outcome.
pub async fn attempt<C: AttemptContext>(context: Rc<C>, job: Job, cancelled: oneshot::Receiver<()>) {
    let Some(host) = context.host(job.upstream, job.address) else {
        // The upstream began to drain or was removed after the policy chose it.
        context.on_attempt_ended(&job, Outcome::ConnectFailed.into());
        return;
    };
    let progress = Progress::default();
    let exchange = exchange(&context, &job, &host, &progress);
    let ExchangeResult { end, connection } = tokio::select! {
        biased;
        done = exchange => done,
        // The exchange is dropped, which closes its connection.
        () = overdue(&job, &progress) => outcome_at_deadline(&progress).into(),
        Ok(()) = cancelled => Outcome::Cancelled.into(),
    };
    context.on_attempt_ended(&job, AttemptEnd { connect_wait: progress.connect_wait.get(), ..end });
    // The client gets its response first; then this task waits until the connection can carry another request.
    if let Some(mut connection) = connection
        && let Ok(Ok(())) = timeout(SETTLE_TIMEOUT, connection.sender.ready()).await
    {
        context.pool().release(&host, connection);
    }
}

/// Waits until the attempt is to be given up: at its deadline, or later if its answer is still coming then.
async fn overdue(job: &Job, progress: &Progress) {
    sleep_until(job.attempt_deadline).await;
    while let Some(until) = progress.answer_expected_until(job.answer_deadline) {
        sleep_until(until).await;
    }
}

/// The outcome of an attempt that was given up at its deadline.
fn outcome_at_deadline(progress: &Progress) -> Outcome {
    if progress.is_complete() {
        Outcome::TimedOut
    } else if progress.connect_wait.get().is_none() {
        Outcome::ConnectTimedOut
    } else {
        // The connection is closed before the last byte of the request was written, so the request cannot run.
        Outcome::ConnectFailed
    }
}

/// Sends the request and reads the response. If an idle connection turns out to be closed, it uses another connection.
async fn exchange<C: AttemptContext>(
    context: &Rc<C>,
    job: &Job,
    host: &Rc<Host>,
    progress: &Progress,
) -> ExchangeResult {
    loop {
        let acquired = match acquire(context, job, host).await {
            Ok(acquired) => acquired,
            Err(outcome) => return outcome.into(),
        };
        progress.connect_wait.set(Some(job.requested_at.elapsed()));
        if let Some(result) = exchange_on(acquired, context, job, progress).await {
            return result;
        }
    }
}

/// Acquires a connection for the attempt, or returns the outcome of an attempt without a connection.
async fn acquire<C: AttemptContext>(
    context: &Rc<C>,
    job: &Job,
    host: &Rc<Host>,
) -> Result<Acquired, Outcome> {
    match context
        .pool()
        .acquire(host, job.call.must_not_repeat, job.is_last_attempt, job.attempt_deadline)
        .await
    {
        Ok(acquired) => {
            if acquired.idle.is_none() {
                context.on_connected();
            }
            Ok(acquired)
        }
        Err(error) => {
            if !matches!(error, AcquireError::SocketBudgetExhausted) {
                context.on_connect_failed(job.address, &error);
            }
            Err(match error {
                AcquireError::SocketBudgetExhausted | AcquireError::LocalShortage(_) => Outcome::NotSent,
                AcquireError::TimedOut => Outcome::ConnectTimedOut,
                _ => Outcome::ConnectFailed,
            })
        }
    }
}

/// Sends the request on the given connection and reads the response. Returns `None` if the connection was idle and
/// turns out to be closed before any byte of the request was written.
async fn exchange_on<C: AttemptContext>(
    acquired: Acquired,
    context: &Rc<C>,
    job: &Job,
    progress: &Progress,
) -> Option<ExchangeResult> {
    let Acquired { mut connection, idle } = acquired;
    let write_check = AttemptWriteCheck::of(context, job);
    if let Some(outcome) = write_check.refusal() {
        return Some(outcome.into());
    }
    let request = job.call.request(job.attempt_deadline.saturating_duration_since(Instant::now()));
    connection.written.set(0);
    connection.gate.set(Box::new(write_check));
    progress.start(&connection.written, size_on_wire(&request, job.call.body.len()));
    let Ok(response) = connection.sender.send_request(request).await else {
        return outcome_of_broken_connection(&connection, idle, context, job, progress)
            .map(ExchangeResult::from);
    };
    if let Some(idle) = idle {
        context.on_connection_reused(idle, true);
    }
    let end = read_response(&**context, progress, response).await;
    connection.gate.clear();
    let Some(end) = end else { return Some(Outcome::Reset.into()) };
    Some(ExchangeResult { end, connection: Some(connection) })
}

/// The outcome of an attempt whose connection broke before its response began; `None` if the connection was idle and no
/// byte of the request was written.
fn outcome_of_broken_connection<C: AttemptContext>(
    connection: &Connection,
    idle: Option<Duration>,
    context: &Rc<C>,
    job: &Job,
    progress: &Progress,
) -> Option<Outcome> {
    if connection.gate.has_refused() {
        if !context.is_client_waiting(job.request) {
            context.on_client_disconnected(job.request);
        }
        return Some(AttemptWriteCheck::of(context, job).refusal().unwrap_or(Outcome::NotSent));
    }
    if let Some(idle) = idle {
        context.on_connection_reused(idle, false);
        // The connection was closed, or had unexpected bytes to read, before anything was sent.
        if !progress.has_begun() {
            return None;
        }
    }
    Some(if progress.is_complete() { Outcome::Reset } else { Outcome::ConnectFailed })
}
