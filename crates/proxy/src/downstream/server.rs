//! The life of the program on the side of clients: it serves until it is to stop, drains, and ends.

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
    let event_loop = EventLoop::start(config).map_err(io::Error::other)?;
    // The platform goes by the settings of the start.
    let schedule = DrainSchedule::new(event_loop.longest_deadline());
    // Aborted as this returns.
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

/// From SIGTERM to the end. The front still sends here, and clients keep their connections: it goes on as before for
/// as long as is safe.
async fn drain(
    accept_loop: &mut AcceptLoop<impl Accept>,
    schedule: &DrainSchedule,
    phase: &watch::Sender<Phase>,
) {
    let connections = Rc::clone(accept_loop.connections());
    let stopped = Instant::now();
    connections.start_drain(stopped + schedule.answer_by);
    connections.log_drain(stopped);
    accept_loop.run_until(sleep(schedule.close_from)).await;
    phase.send_replace(Phase::Closing);
    connections.log_drain(stopped);
    accept_loop.run_until(sleep(schedule.late_accepts)).await;
    // Connections that carried a request end with its answer, and one that has not yet may have it in the socket
    // until its own time is over.
    let mut quiet_since = Instant::now();
    while quiet_since.elapsed() < QUIET_PERIOD
        && stopped.elapsed() < DrainSchedule::give_up_after(connections.event_loop().longest_deadline())
    {
        accept_loop.run_until(sleep(QUIET_POLL_INTERVAL)).await;
        if !connections.is_empty() {
            quiet_since = Instant::now();
        }
        // What an accept failed to take may still stand in the queue.
        if let Some(failed) = accept_loop.last_failure() {
            quiet_since = quiet_since.max(failed);
        }
    }
    connections.log_drain(stopped);
}

/// On each SIGHUP takes over where discovery listens. A file that makes no sense changes nothing.
async fn reload_on_hangup(event_loop: Rc<EventLoop>, path: PathBuf, mut hangup: Signal) {
    while hangup.recv().await.is_some() {
        match Config::discovery_now(&path) {
            Ok(address) => event_loop.move_discovery(address),
            Err(error) => crate::log(format_args!("not reloaded: {error}")),
        }
    }
}
