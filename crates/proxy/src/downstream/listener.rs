//! The accept loop: it takes in connections until the drain is over.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::path::PathBuf;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use super::accept::FailedAccepts;
use super::connection_set::ConnectionSet;
use super::shutdown::{
    ANSWER_BEFORE_KILL, CLOSE_BEFORE_KILL, DRAIN_OPEN_MIN, KILL_DEADLINE_CAP, KILL_DELAY, LATE_ACCEPT_PERIOD,
    Phase, QUIET_PERIOD, QUIET_POLL_INTERVAL,
};
use crate::config::Config;
use crate::driver::Driver;

/// Wait after an accept that failed for want of something, and between looks for room, so that this does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);
/// Idle connections closed at each such look: with [`ACCEPT_PAUSE`] a thousand in a second or so.
const EVICTIONS_PER_CHECK: usize = 4;

/// Where clients' connections come from.
pub trait Accept {
    /// The next connection. Nothing is lost if it is not waited for.
    fn accept(&self) -> impl Future<Output = io::Result<TcpStream>>;
}

impl Accept for TcpListener {
    async fn accept(&self) -> io::Result<TcpStream> {
        Ok(Self::accept(self).await?.0)
    }
}

/// Binds the address of the configuration and serves until `stop` and the drain after it are over.
///
/// # Errors
/// The address is not free, or the settings make no sense.
pub async fn serve(config: Config, stop: impl Future<Output = ()>) -> io::Result<()> {
    let listener = TcpListener::bind(config.listen).await?;
    crate::log(format_args!("{} listens on {}", config.name, listener.local_addr()?));
    serve_on(listener, config, stop).await
}

/// Serves on a listener until `stop` and the drain after it are over.
///
/// # Errors
/// The settings make no sense.
pub async fn serve_on(
    listener: impl Accept,
    config: Config,
    stop: impl Future<Output = ()>,
) -> io::Result<()> {
    let path = config.path.clone();
    let driver = Driver::start(config).map_err(io::Error::other)?;
    // The platform goes by the settings of the start.
    let longest = driver.longest();
    if let Some(path) = path {
        spawn_local(reload(Rc::clone(&driver), path, signal(SignalKind::hangup())?));
    }
    let (phase, phases) = watch::channel(Phase::Serving);
    let connections = Rc::new(ConnectionSet {
        driver,
        phases,
        open: RefCell::new(BTreeMap::new()),
        next_number: Cell::new(0),
        answer_by: Cell::new(None),
    });
    let mut failed = FailedAccepts::default();
    accept_until(&listener, &connections, &mut failed, stop).await;
    // The front still sends here, and clients keep their connections: go on as before for as long as is safe.
    let stopped = Instant::now();
    let kill = longest.min(KILL_DEADLINE_CAP) + KILL_DELAY;
    connections.answer_by.set(Some(stopped + kill.saturating_sub(ANSWER_BEFORE_KILL)));
    connections.log_drain(stopped);
    let open = kill.saturating_sub(CLOSE_BEFORE_KILL).max(DRAIN_OPEN_MIN);
    accept_until(&listener, &connections, &mut failed, sleep(open)).await;
    let _ = phase.send(Phase::Closing);
    connections.log_drain(stopped);
    accept_until(&listener, &connections, &mut failed, sleep(LATE_ACCEPT_PERIOD)).await;
    // Connections that carried a request end with its answer, and one that has not yet may have it in the socket
    // until its own time is over; a client that never takes its answer must not hold up the end.
    let mut quiet = Instant::now();
    while quiet.elapsed() < QUIET_PERIOD && stopped.elapsed() < connections.driver.longest() + DRAIN_OPEN_MIN
    {
        accept_until(&listener, &connections, &mut failed, sleep(QUIET_POLL_INTERVAL)).await;
        if !connections.open.borrow().is_empty() {
            quiet = Instant::now();
        }
        // What an accept failed to take may still stand in the queue.
        quiet = failed.latest.map_or(quiet, |latest| quiet.max(latest));
    }
    connections.log_drain(stopped);
    Ok(())
}

/// On each SIGHUP takes over where discovery listens. A file that makes no sense changes nothing.
async fn reload(driver: Rc<Driver>, path: PathBuf, mut hangup: Signal) {
    while hangup.recv().await.is_some() {
        match Config::discovery_now(&path) {
            Ok(address) => driver.move_discovery(address),
            Err(error) => crate::log(format_args!("not reloaded: {error}")),
        }
    }
}

async fn accept_until(
    listener: &impl Accept,
    connections: &Rc<ConnectionSet>,
    failed: &mut FailedAccepts,
    until: impl Future<Output = ()>,
) {
    let mut until = pin!(until);
    loop {
        let accepted = tokio::select! {
            biased;
            // First: in a flood there is always another connection, and this would never be looked at.
            () = until.as_mut() => return,
            accepted = next(connections, listener) => accepted,
        };
        match accepted {
            Ok(stream) => {
                failed.succeeded();
                connections.accept(stream);
            }
            Err(error) => {
                let reaction = failed.failed(&error);
                // In a drain all connections end soon, and those that are left may be their clients' last.
                if reaction.evict && !connections.is_draining() {
                    connections.evict_idle_connection();
                }
                if reaction.pause {
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }
}

/// The next connection, once there is a descriptor for it that neither discovery nor an attempt may need. Nothing
/// is lost if it is not waited for.
async fn next(connections: &ConnectionSet, listener: &impl Accept) -> io::Result<TcpStream> {
    while connections.driver.pool().full() {
        // A few at a time: each may take its moment to close.
        for _ in 0..EVICTIONS_PER_CHECK {
            connections.evict_idle_connection();
        }
        sleep(ACCEPT_PAUSE).await;
    }
    listener.accept().await
}
