//! Hosts that run in the test's process, on in-memory disks.

use std::future::pending;
use std::net::SocketAddr;

use config_distribution::host::origin::OriginHost;
use config_distribution::host::server::Limits;
use config_distribution::origin::Bounds;
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, spawn_local};

use super::disk::SharedDisk;
use super::unique_address;

/// An origin whose store is on `disk` and whose check accepts the settings of every document.
pub fn origin_host(disk: &SharedDisk, bounds: Bounds) -> OriginHost {
    let check = Box::new(|_: &_, _: &str| Vec::new());
    OriginHost::new(disk.open_store(), bounds, Limits::default(), 0, check, 1).expect("create the origin")
}

/// A listener on an address that no other test uses, and the address.
pub async fn bind_listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind(unique_address()).await.expect("bind the listener");
    let own = listener.local_addr().expect("the address of the listener");
    (listener, own)
}

/// Starts an origin whose store is on `disk`; returns its address and its task.
pub async fn start_origin(disk: &SharedDisk, bounds: Bounds) -> (SocketAddr, JoinHandle<()>) {
    let host = origin_host(disk, bounds);
    let (listener, own) = bind_listener().await;
    (own, spawn_local(host.run(listener, pending())))
}
