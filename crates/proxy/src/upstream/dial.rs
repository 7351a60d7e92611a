//! A dial: the connect that an attempt waits for, with its retries after local failures.

use std::future::poll_fn;
use std::io;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::Instant;

use super::acquire_error::{AcquireError, is_local_shortage};
use super::connection::{Connection, Permit, handshake};
use super::host::{Connecting, Host};
use super::pool::Pool;

/// Initial backoff before a connect that failed for lack of a local resource is retried. It is short because a lack of
/// ports or memory may pass at once.
const MIN_RETRY_BACKOFF: Duration = Duration::from_millis(2);
/// Upper bound of the backoff, which doubles with each local failure. It keeps the machine from spending its time on
/// the search for a free port while a shortage lasts.
const MAX_RETRY_BACKOFF: Duration = Duration::from_millis(64);

/// A scheduled retry of a connect that failed for lack of a local resource.
pub(super) struct Retry {
    /// The error of the failed connect.
    pub(super) error: io::Error,
    /// Time at which the failed connect is retried.
    pub(super) at: Instant,
}

/// A connect that an attempt waits for. If the dial is dropped before the connect finishes, the pool continues the
/// connect for the next attempt.
pub(super) struct Dial<'a> {
    pub(super) pool: &'a Rc<Pool>,
    pub(super) host: &'a Rc<Host>,
    pub(super) connecting: Option<Connecting>,
    /// The scheduled retry after the latest local failure; `None` once the retry has started.
    pub(super) retry: Option<Retry>,
    /// The latest backoff before a retry; zero before the first local failure.
    pub(super) backoff: Duration,
}

impl<'a> Dial<'a> {
    pub(super) fn start(pool: &'a Rc<Pool>, host: &'a Rc<Host>, permit: Permit) -> Self {
        host.waiting_attempts.set(host.waiting_attempts.get() + 1);
        let mut dial = Self { pool, host, connecting: None, retry: None, backoff: Duration::ZERO };
        dial.connect(permit);
        dial
    }

    pub(super) fn connect(&mut self, permit: Permit) {
        let stream = Box::pin(TcpStream::connect(self.host.address));
        self.connecting = Some(Connecting { stream, permit, since: Instant::now() });
    }

    pub(super) async fn connected(&mut self) -> Result<Connection, AcquireError> {
        let stream = poll_fn(|context| match &mut self.connecting {
            Some(connecting) => connecting.stream.as_mut().poll(context),
            None => Poll::Pending,
        })
        .await;
        let Some(Connecting { permit, since, .. }) = self.connecting.take() else {
            return Err(AcquireError::TimedOut);
        };
        let failed = |error| {
            if is_local_shortage(&error) {
                AcquireError::LocalShortage(error)
            } else {
                AcquireError::Failed(error)
            }
        };
        let stream = stream.map_err(failed)?;
        self.pool.record_connect(self.host, since.elapsed(), true);
        Ok(handshake(stream, permit).await?)
    }

    /// Schedules a retry of the connect after the next backoff.
    pub(super) fn retry_after(&mut self, error: io::Error) {
        self.backoff = (self.backoff * 2).clamp(MIN_RETRY_BACKOFF, MAX_RETRY_BACKOFF);
        self.retry = Some(Retry { error, at: Instant::now() + self.backoff });
    }
}

impl Drop for Dial<'_> {
    fn drop(&mut self) {
        self.host.waiting_attempts.set(self.host.waiting_attempts.get() - 1);
        if let Some(connecting) = self.connecting.take() {
            self.pool.continue_dial(self.host, connecting);
        }
    }
}
