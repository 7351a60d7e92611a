//! One attempt: its request on a connection from the pool, and what became of it. An attempt never tries again by itself:
//! whether another may follow is the policy's decision.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use balancer_policy::interface::{EndpointId, Outcome, RequestId};
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout, timeout_at};

use super::acquire::Acquired;
use super::acquire_error::AcquireError;
use super::call::size_on_wire;
use super::connection::Connection;
use super::context::AttemptContext;
use super::gate::Clearance;
use super::host::Host;
use super::job::{AttemptEnd, Job};
use super::progress::Progress;
use super::response::read_response;

/// How long a connection may take to be ready again after an answer. One whose upstream answered without
/// reading the request to its end never is.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(1);

/// What must hold as the bytes of an attempt's request are written.
struct Bounds<C> {
    context: Rc<C>,
    request: RequestId,
    upstream: EndpointId,
    address: SocketAddr,
    begin_by: Option<Instant>,
    until: Instant,
}

impl<C: AttemptContext> Bounds<C> {
    fn of(context: &Rc<C>, job: &Job) -> Self {
        let &Job { request, upstream, address, begin_by, until, .. } = job;
        Self { context: Rc::clone(context), request, upstream, address, begin_by, until }
    }

    /// Whether the time is over in which upstreams drop a repeat.
    fn is_late(&self) -> bool {
        self.begin_by.is_some_and(|by| Instant::now() > by)
    }

    /// Why the attempt must not begin, if it must not.
    fn refusal(&self) -> Option<Outcome> {
        // While it connected, the upstream may have begun to drain, or gone: nothing new goes there.
        if !self.context.may_send(self.upstream, self.address) {
            return Some(Outcome::ConnectFailed);
        }
        // Its caller may have gone meanwhile, or another attempt have served it.
        (!self.context.is_wanted(self.request) || self.is_late()).then_some(Outcome::NotSent)
    }
}

impl<C: AttemptContext> Clearance for Bounds<C> {
    fn begin(&self) -> Option<Duration> {
        let may = self.refusal().is_none() && self.context.is_awaited(self.request);
        may.then(|| self.until.saturating_duration_since(Instant::now()))
    }

    fn go_on(&self) -> bool {
        !self.is_late() && self.context.is_awaited(self.request)
    }
}

/// Makes an attempt and notifies the context of how it ended.
pub async fn attempt<C: AttemptContext>(context: Rc<C>, job: Job, cancelled: oneshot::Receiver<()>) {
    let progress = Progress::default();
    let ended = match context.host(job.upstream, job.address) {
        Some(host) => {
            let exchange = exchange(&context, &job, &host, &progress);
            tokio::select! {
                biased;
                done = timeout_at(job.until, exchange) => match done {
                    Ok(done) => Some(done),
                    // The exchange is dropped, and its connection closed with it.
                    Err(_) if progress.whole() => Some((Outcome::TimedOut.into(), None)),
                    Err(_) if progress.connect_wait.get().is_none() => {
                        Some((Outcome::ConnectTimedOut.into(), None))
                    }
                    // Closed before its last byte was written, it can't run any more.
                    Err(_) => Some((Outcome::ConnectFailed.into(), None)),
                },
                Ok(()) = cancelled => Some((Outcome::Cancelled.into(), None)),
            }
            .map(|(ended, connection)| (ended, connection.map(|connection| (host, connection))))
        }
        // It drained, or went, between the decision and now.
        None => Some((Outcome::ConnectFailed.into(), None)),
    };
    let Some((ended, connection)) = ended else { return };
    context.on_attempt_ended(&job, AttemptEnd { connect_wait: progress.connect_wait.get(), ..ended });
    // The answer goes out first; then the connection is made ready for the next request.
    if let Some((host, mut connection)) = connection
        && let Ok(Ok(())) = timeout(SETTLE_TIMEOUT, connection.sender.ready()).await
    {
        context.pool().release(&host, connection);
    }
}

async fn exchange<C: AttemptContext>(
    context: &Rc<C>,
    job: &Job,
    host: &Rc<Host>,
    progress: &Progress,
) -> (AttemptEnd, Option<Connection>) {
    loop {
        let acquired = context.pool().acquire(host, job.call.once, job.is_last_attempt, job.until).await;
        let Acquired { mut connection, idle } = match acquired {
            Ok(acquired) => acquired,
            Err(error) => {
                let outcome = match error {
                    AcquireError::NoSocket | AcquireError::Local(_) => Outcome::NotSent,
                    AcquireError::TimedOut => Outcome::ConnectTimedOut,
                    _ => Outcome::ConnectFailed,
                };
                if !matches!(error, AcquireError::NoSocket) {
                    context.on_unreachable(job.address, &error);
                }
                return (outcome.into(), None);
            }
        };
        if idle.is_none() {
            context.on_connected();
        }
        progress.connect_wait.set(Some(job.requested_at.elapsed()));
        let bounds = Bounds::of(context, job);
        if let Some(outcome) = bounds.refusal() {
            return (outcome.into(), None);
        }
        let request = job.call.request(job.until.saturating_duration_since(Instant::now()));
        connection.written.set(0);
        connection.gate.set(Box::new(bounds));
        progress.on(&connection.written, size_on_wire(&request, job.call.body.len()));
        if let Ok(response) = connection.sender.send_request(request).await {
            if let Some(idle) = idle {
                context.on_reused(idle, true);
            }
            let ended = read_response(&**context, response).await;
            connection.gate.clear();
            return match ended {
                Some(ended) => (ended, Some(connection)),
                None => (Outcome::Reset.into(), None),
            };
        }
        if connection.gate.has_refused() {
            if !context.is_awaited(job.request) {
                context.on_client_disconnected(job.request);
            }
            let outcome = Bounds::of(context, job).refusal().unwrap_or(Outcome::NotSent);
            return (outcome.into(), None);
        }
        if let Some(idle) = idle {
            context.on_reused(idle, false);
        }
        // A kept connection that turns out closed, or to hold what nobody asked for, before a byte went out has sent
        // nothing.
        if idle.is_some() && !progress.begun() {
            continue;
        }
        let outcome = if progress.whole() { Outcome::Reset } else { Outcome::ConnectFailed };
        return (outcome.into(), None);
    }
}
