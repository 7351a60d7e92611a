//! Runs an origin or a relay until a signal stops it.

use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};

use super::failure::Failure;
use super::seed;
use crate::document::Scope;
use crate::fault::Fault;
use crate::host::log::log;
use crate::host::origin::OriginHost;
use crate::host::relay::{RelayHost, RelayOptions};
use crate::host::server::Limits;
use crate::origin::Bounds;
use crate::store::Store;

/// Command-line options of a relay.
pub(super) struct Relay {
    pub level: u8,
    pub parents: Vec<SocketAddr>,
    pub directory: Option<PathBuf>,
    /// Name of the relay in its reports; the address it listens on if `None`.
    pub name: Option<String>,
}

/// Runs an origin on the store in `directory`.
pub(super) async fn origin(
    listen: SocketAddr,
    directory: &Path,
    index_at_least: u64,
    limits: Limits,
) -> Result<(), Failure> {
    let opened = Store::open_in(directory)
        .map_err(|source| Failure::Store { directory: directory.to_owned(), source })?;
    let host =
        OriginHost::new(opened, Bounds::default(), limits, index_at_least, Box::new(check_settings), seed())
            .map_err(|source| Failure::Origin { directory: directory.to_owned(), source })?;
    let listener = bind(listen).await?;
    print_address(&listener);
    host.run(listener, shutdown_signal()?).await;
    Ok(())
}

/// Runs a relay.
pub(super) async fn relay(listen: SocketAddr, relay: Relay, limits: Limits) -> Result<(), Failure> {
    let Relay { level, parents, directory, name } = relay;
    let listener = bind(listen).await?;
    let address = listener.local_addr().unwrap_or(listen);
    let options = RelayOptions {
        name: name.unwrap_or_else(|| address.to_string()),
        level,
        parents,
        directory: directory.clone(),
        limits,
        seed: seed(),
    };
    let host = RelayHost::new(options)
        .map_err(|source| Failure::Relay { directory: directory.unwrap_or_default(), source })?;
    print_address(&listener);
    host.run(listener, shutdown_signal()?).await;
    Ok(())
}

/// Returns the faults in the settings of a document whose form is valid.
fn check_settings(_: &Scope, body: &str) -> Vec<Fault> {
    let body: serde_json::Value = match serde_json::from_str(body) {
        Ok(body) => body,
        Err(error) => return vec![Fault::Json(error.into())],
    };
    match balancer_settings::check_document(&body["settings"]) {
        Ok(()) => Vec::new(),
        Err(faults) => Fault::of_settings(&faults),
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Failure> {
    TcpListener::bind(address).await.map_err(|source| Failure::Listen { address, source })
}

/// Prints the address, so that whoever started the process with port 0 learns the port.
fn print_address(listener: &TcpListener) {
    if let Ok(address) = listener.local_addr() {
        let mut output = std::io::stdout();
        // The process also runs if its standard output is closed.
        let _ = writeln!(output, "listening on {address}").and_then(|()| output.flush());
    }
}

/// Returns a future that completes on SIGTERM or SIGINT.
fn shutdown_signal() -> Result<impl Future<Output = ()>, Failure> {
    let mut terminate = signal(SignalKind::terminate()).map_err(Failure::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(Failure::Signals)?;
    Ok(async move {
        let name = tokio::select! {
            _ = terminate.recv() => "SIGTERM",
            _ = interrupt.recv() => "SIGINT",
        };
        log(format_args!("received {name}, shutting down"));
    })
}
