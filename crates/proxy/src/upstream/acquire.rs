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
    /// connect to another upstream would fail too: until `until`, and for at most the connect timeout of the settings.
    ///
    /// # Errors
    /// No connection is available within the timeout derived from earlier connects to the zone or, if
    /// `is_last_attempt`, within the whole connect timeout of the settings.
    pub async fn acquire(
        self: &Rc<Self>,
        host: &Rc<Host>,
        must_not_repeat: bool,
        is_last_attempt: bool,
        until: Instant,
    ) -> Result<Acquired, AcquireError> {
        if let Some(acquired) = self.take_idle(host, must_not_repeat) {
            return Ok(acquired);
        }
        let most = self.connect_timeout();
        let mut since = Instant::now();
        let local_until = until.min(since + most);
        let patience = if is_last_attempt { most } else { self.patience(host) };
        let mut dial = Dial::start(self, host, self.permit().ok_or(AcquireError::NoSocket)?);
        loop {
            let give_up_at = if dial.retry.is_some() { local_until } else { since + patience };
            // A connection in its reuse delay is likely to be free before a new connection is established.
            let check_at = host.next_free().unwrap_or(give_up_at);
            let retry_at = dial.retry.as_ref().map_or(check_at, |retry| retry.at);
            tokio::select! {
                biased;
                connected = dial.connected() => match connected {
                    Ok(connection) => return Ok(Acquired { connection, idle: None }),
                    Err(AcquireError::Local(error)) => dial.retry_after(error),
                    Err(error) => return Err(error),
                },
                () = host.changed.notified() => {}
                () = sleep_until(check_at.min(retry_at)) => {}
            }
            if host.closed.get() {
                return Err(AcquireError::Gone);
            }
            if let Some(acquired) = self.take_idle(host, must_not_repeat) {
                return Ok(acquired);
            }
            let now = Instant::now();
            if let Some(retry) = dial.retry.take_if(|retry| now >= retry.at.min(local_until)) {
                if now >= local_until {
                    return Err(AcquireError::Local(retry.error));
                }
                dial.connect(self.permit().ok_or(AcquireError::NoSocket)?);
                since = now;
            } else if dial.retry.is_none() && host.next_free().is_none() && now >= since + patience {
                self.record_connect(host, since.elapsed(), false);
                return Err(AcquireError::TimedOut);
            }
        }
    }

    /// Takes the most recently used free connection out of the pool. For a request that must not run twice, connections
    /// that have been idle for longer than the trusted idle time are closed, and the attempt dials a new one.
    fn take_idle(&self, host: &Host, must_not_repeat: bool) -> Option<Acquired> {
        let most = if must_not_repeat { self.trusted_idle() } else { self.idle_limit() };
        let now = Instant::now();
        let mut idle_connections = host.idle.borrow_mut();
        while let Some(place) = idle_connections.iter().rposition(|idle| idle.free_at <= now) {
            let last = idle_connections.remove(place);
            let idle = last.since.elapsed();
            if last.connection.is_free() && idle < self.idle_limit() {
                return (idle <= most).then_some(Acquired { connection: last.connection, idle: Some(idle) });
            }
        }
        None
    }
}
