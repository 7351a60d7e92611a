//! Runs the client side of the proxy: serves until the stop signal, then drains and returns.

use std::future::Future;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;

use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use super::connection_set::ConnectionSet;
use super::listener::{Accept, AcceptLoop};
use super::shutdown::{DrainSchedule, Phase, QUIET_PERIOD, QUIET_POLL_INTERVAL};
use crate::config::Config;
use crate::event_loop::EventLoop;

/// Binds the listen address of the configuration and serves until `stop` is ready and the following drain is complete.
///
/// # Errors
/// The address cannot be bound, or the settings are invalid.
pub async fn serve(config: Config, stop: impl Future<Output = ()>) -> io::Result<()> {
    let listener = TcpListener::bind(config.listen).await?;
    crate::log(format_args!("{} listens on {}", config.name, listener.local_addr()?));
    serve_on(listener, config, stop).await
}

/// Serves connections from a listener until `stop` is ready and the following drain is complete.
///
/// # Errors
/// The settings are invalid, or the handler of SIGHUP cannot be installed.
pub async fn serve_on(
    listener: impl Accept,
    config: Config,
    stop: impl Future<Output = ()>,
) -> io::Result<()> {
    let path = config.path.clone();
    let event_loop = EventLoop::start(config).map_err(io::Error::other)?;
    // The platform bases the time of its kill on the settings at the start.
    let schedule = DrainSchedule::new(event_loop.longest_deadline());
    // These tasks are aborted when this function returns.
    let mut background_tasks = JoinSet::new();
    if let Some(path) = path {
        background_tasks.spawn_local(reload_on_hangup(
            Rc::clone(&event_loop),
            path,
            signal(SignalKind::hangup())?,
        ));
    }
    let (phase, phases) = watch::channel(Phase::Serving);
    let mut accept_loop = AcceptLoop::new(listener, Rc::new(ConnectionSet::new(event_loop, phases)));
    accept_loop.run_until(stop).await;
    drain(&mut accept_loop, &schedule, &phase).await;
    Ok(())
}

/// Runs the graceful shutdown from SIGTERM to the end of the program. The front still sends requests to this process
/// and clients keep their connections, so it serves as before for as long as is safe.
async fn drain(
    accept_loop: &mut AcceptLoop<impl Accept>,
    schedule: &DrainSchedule,
    phase: &watch::Sender<Phase>,
) {
    let connections = Rc::clone(accept_loop.connections());
    let drain_started_at = Instant::now();
    connections.start_drain(drain_started_at + schedule.answer_by);
    connections.log_drain(drain_started_at);
    accept_loop.run_until(sleep(schedule.close_from)).await;
    phase.send_replace(Phase::Closing);
    connections.log_drain(drain_started_at);
    accept_loop.run_until(sleep(schedule.late_accepts)).await;
    // A connection with a request in progress ends with its answer. A connection that has not carried a request may
    // have one in its socket, and ends at the latest when its own timeout expires.
    let mut quiet_since = Instant::now();
    while quiet_since.elapsed() < QUIET_PERIOD
        && drain_started_at.elapsed()
            < DrainSchedule::give_up_after(connections.event_loop().longest_deadline())
    {
        accept_loop.run_until(sleep(QUIET_POLL_INTERVAL)).await;
        if !connections.is_empty() {
            quiet_since = Instant::now();
        }
        // After a failed accept the connection may still be in the accept queue.
        if let Some(failed) = accept_loop.last_failure() {
            quiet_since = quiet_since.max(failed);
        }
    }
    connections.log_drain(drain_started_at);
}

/// Reloads the address of discovery from the configuration file on each SIGHUP. An invalid file changes nothing.
async fn reload_on_hangup(event_loop: Rc<EventLoop>, path: PathBuf, mut hangup: Signal) {
    while hangup.recv().await.is_some() {
        match Config::read_discovery_address(&path) {
            Ok(address) => event_loop.set_discovery_address(address),
            Err(error) => crate::log(format_args!("not reloaded: {error}; nothing is changed")),
        }
    }
}
