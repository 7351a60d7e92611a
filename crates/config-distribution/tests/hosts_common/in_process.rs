//! Hosts in the test's own process, over disks in memory.

use std::future::pending;
use std::net::SocketAddr;

use config_distribution::host::origin::OriginHost;
use config_distribution::host::server::Limits;
use config_distribution::origin::Bounds;
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, spawn_local};

use super::address;
use super::disk::Shared;

/// An origin over a disk, which finds no fault in the settings of a document.
pub fn origin_host(disk: &Shared, bounds: Bounds) -> OriginHost {
    let check = Box::new(|_: &_, _: &str| Vec::new());
    OriginHost::new(disk.store(), bounds, Limits::default(), 0, check, 1).expect("it begins")
}

/// A listener at an address of this test's own.
pub async fn listening() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind(address()).await.expect("it is free");
    let own = listener.local_addr().expect("it has an address");
    (listener, own)
}

/// An origin over a disk, and its task.
pub async fn origin_over(disk: &Shared, bounds: Bounds) -> (SocketAddr, JoinHandle<()>) {
    let host = origin_host(disk, bounds);
    let (listener, own) = listening().await;
    (own, spawn_local(host.run(listener, pending())))
}
