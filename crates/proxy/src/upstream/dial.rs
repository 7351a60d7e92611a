//! A connection that an attempt waits for.

use std::future::poll_fn;
use std::io;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::Instant;

use super::acquire_error::{AcquireError, is_local};
use super::connection::{Connection, Permit, handshake};
use super::host::{Connecting, Host};
use super::pool::Pool;

/// Wait before a connect that failed on this machine is tried again, at first: a lack of ports or memory may pass at once.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(2);
/// The same after some such failures, as it doubles: a lack that lasts must not keep the machine busy with the search for
/// a port.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(64);

/// A connect that failed on this machine, and is to be tried again.
pub(super) struct Retry {
    pub(super) error: io::Error,
    pub(super) at: Instant,
}

/// A connection that an attempt waits for. Dropped before it is up, it continues for the next attempt.
pub(super) struct Dial<'a> {
    pub(super) pool: &'a Rc<Pool>,
    pub(super) host: &'a Rc<Host>,
    pub(super) connecting: Option<Connecting>,
    /// The latest connect that failed on this machine, until the next one is under way.
    pub(super) retry: Option<Retry>,
    /// The latest pause before another try.
    pub(super) pause: Duration,
}

impl<'a> Dial<'a> {
    pub(super) fn start(pool: &'a Rc<Pool>, host: &'a Rc<Host>, permit: Permit) -> Self {
        host.waiting.set(host.waiting.get() + 1);
        let mut dial = Self { pool, host, connecting: None, retry: None, pause: Duration::ZERO };
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
            if is_local(&error) { AcquireError::Local(error) } else { AcquireError::Failed(error) }
        };
        let stream = stream.map_err(failed)?;
        self.pool.record_connect(self.host, since.elapsed(), true);
        Ok(handshake(stream, permit).await?)
    }

    /// Connects again after a pause.
    pub(super) fn retry_after(&mut self, error: io::Error) {
        self.pause = (self.pause * 2).clamp(MIN_RETRY_PAUSE, MAX_RETRY_PAUSE);
        self.retry = Some(Retry { error, at: Instant::now() + self.pause });
    }
}

impl Drop for Dial<'_> {
    fn drop(&mut self) {
        self.host.waiting.set(self.host.waiting.get() - 1);
        if let Some(connecting) = self.connecting.take() {
            self.pool.continue_dial(self.host, connecting);
        }
    }
}
