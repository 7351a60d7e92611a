//! Acquires a connection for an attempt: an idle connection if there is one, else whichever is ready first of the
//! attempt's own dial and any other connection to the same upstream that becomes free.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep_until};

use super::acquire_error::AcquireError;
use super::connection::Connection;
use super::dial::Dial;
use super::host::Host;
use super::pool::Pool;

/// A connection that an attempt has acquired from the pool.
#[derive(Debug)]
pub struct Acquired {
    /// The acquired connection, ready to carry a request.
    pub connection: Connection,
    /// How long the connection had been idle; `None` if it is new.
    pub idle: Option<Duration>,
}

impl Pool {
    /// Acquires a connection for an attempt. A connect that fails for lack of a local resource is retried, because a
    /// connect to another upstream would fail too: until `attempt_deadline`, and for at most the connect timeout of the
    /// settings.
    ///
    /// # Errors
    /// No connection is available within the timeout derived from earlier connects to the zone or, if
    /// `is_last_attempt`, within the whole connect timeout of the settings.
    pub async fn acquire(
        self: &Rc<Self>,
        host: &Rc<Host>,
        must_not_repeat: bool,
        is_last_attempt: bool,
        attempt_deadline: Instant,
    ) -> Result<Acquired, AcquireError> {
        if let Some(acquired) = self.take_idle(host, must_not_repeat) {
            return Ok(acquired);
        }
        let limit = self.connect_timeout();
        let mut since = Instant::now();
        let local_retry_deadline = attempt_deadline.min(since + limit);
        let attempt_connect_timeout =
            if is_last_attempt { limit } else { self.attempt_connect_timeout(host) };
        let mut dial = Dial::start(self, host, self.permit().ok_or(AcquireError::SocketBudgetExhausted)?);
        loop {
            let give_up_at =
                if dial.retry.is_some() { local_retry_deadline } else { since + attempt_connect_timeout };
            // A connection in its reuse delay is likely to be free before a new connection is established.
            let check_at = host.earliest_reuse().unwrap_or(give_up_at);
            let retry_at = dial.retry.as_ref().map_or(check_at, |retry| retry.at);
            tokio::select! {
                biased;
                connected = dial.connected() => match connected {
                    Ok(connection) => return Ok(Acquired { connection, idle: None }),
                    Err(AcquireError::LocalShortage(error)) => dial.retry_after(error),
                    Err(error) => return Err(error),
                },
                () = host.changed.notified() => {}
                () = sleep_until(check_at.min(retry_at)) => {}
            }
            if host.closed.get() {
                return Err(AcquireError::EndpointRemoved);
            }
            if let Some(acquired) = self.take_idle(host, must_not_repeat) {
                return Ok(acquired);
            }
            let now = Instant::now();
            if let Some(retry) = dial.retry.take_if(|retry| now >= retry.at.min(local_retry_deadline)) {
                if now >= local_retry_deadline {
                    return Err(AcquireError::LocalShortage(retry.error));
                }
                dial.connect(self.permit().ok_or(AcquireError::SocketBudgetExhausted)?);
                since = now;
            } else if dial.retry.is_none()
                && host.earliest_reuse().is_none()
                && now >= since + attempt_connect_timeout
            {
                self.record_connect(host, since.elapsed(), false);
                return Err(AcquireError::TimedOut);
            }
        }
    }

    /// Takes the most recently used free connection out of the pool. For a request that must not run twice, connections
    /// that have been idle for longer than the trusted idle time are closed, and the attempt dials a new one.
    fn take_idle(&self, host: &Host, must_not_repeat: bool) -> Option<Acquired> {
        let limit = if must_not_repeat { self.trusted_idle() } else { self.idle_limit() };
        let now = Instant::now();
        let mut idle_connections = host.idle.borrow_mut();
        while let Some(index) = idle_connections.iter().rposition(|idle| idle.reusable_at <= now) {
            let candidate = idle_connections.remove(index);
            let idle = candidate.since.elapsed();
            if candidate.connection.is_free() && idle < self.idle_limit() {
                return (idle <= limit)
                    .then_some(Acquired { connection: candidate.connection, idle: Some(idle) });
            }
        }
        None
    }
}
