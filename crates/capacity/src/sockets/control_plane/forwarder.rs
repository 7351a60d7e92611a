//! Forwarders of the connections between control processes. They count bytes and can partition a region from the
//! others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::{self, JoinHandle};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::{oneshot, watch};
use tokio::task::{LocalSet, spawn_local};

use crate::CapacityError;

pub(super) struct Forwarder {
    pub(super) listener: std::net::TcpListener,
    /// Address of the control process that connections are forwarded to.
    pub(super) target: SocketAddr,
    /// Regions of the two control processes that the forwarder connects.
    pub(super) regions: [usize; 2],
    /// Bytes that the forwarder has passed on so far, in both directions.
    pub(super) bytes: Arc<AtomicU64>,
}

/// The thread that runs all forwarders, and the sender that stops it.
pub(super) type Forwarders = (oneshot::Sender<()>, JoinHandle<()>);

pub(super) fn forward_all(
    forwarders: Vec<Forwarder>,
    partitions: watch::Receiver<Option<usize>>,
) -> Result<Forwarders, CapacityError> {
    let to_error = |cause| CapacityError::run("the forwarders between control processes", cause);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(to_error)?;
    let (stop, stopped) = oneshot::channel();
    let thread = thread::spawn(move || {
        LocalSet::new().block_on(&runtime, async {
            for forwarder in forwarders {
                spawn_local(forward(forwarder, partitions.clone()));
            }
            // The sender may have been dropped instead of used; both end the forwarders.
            let _ = stopped.await;
        });
    });
    Ok((stop, thread))
}

async fn forward(forwarder: Forwarder, partitions: watch::Receiver<Option<usize>>) {
    let Forwarder { listener, target, regions, bytes } = forwarder;
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
    loop {
        let Ok((child, _)) = listener.accept().await else { continue };
        let (mut partitions, bytes) = (partitions.clone(), Arc::clone(&bytes));
        spawn_local(async move {
            wait_until_open(&mut partitions, regions).await;
            let Ok(parent) = tokio::net::TcpStream::connect(target).await else { return };
            // Disables Nagle's algorithm so that each chunk is sent as it arrives. If this fails, the connection still
            // works, only more slowly.
            let _ = (child.set_nodelay(true), parent.set_nodelay(true));
            let ((child_read, child_write), (parent_read, parent_write)) =
                (child.into_split(), parent.into_split());
            let mut to_child_partitions = partitions.clone();
            let to_parent = forward_bytes(child_read, parent_write, &mut partitions, regions, &bytes);
            let to_child = forward_bytes(parent_read, child_write, &mut to_child_partitions, regions, &bytes);
            // When one direction ends, both connections are closed.
            tokio::select! { _ = to_parent => {}, _ = to_child => {} }
        });
    }
}

/// Waits while the two regions are partitioned from each other.
async fn wait_until_open(partitions: &mut watch::Receiver<Option<usize>>, regions: [usize; 2]) {
    let is_open = |partition: &Option<usize>| {
        regions[0] == regions[1] || partition.is_none_or(|region| !regions.contains(&region))
    };
    // Waiting fails only if the sender is dropped, and it lives as long as the forwarders.
    let _ = partitions.wait_for(is_open).await;
}

async fn forward_bytes(
    mut from: impl tokio::io::AsyncRead + Unpin,
    mut target: impl tokio::io::AsyncWrite + Unpin,
    partitions: &mut watch::Receiver<Option<usize>>,
    regions: [usize; 2],
    bytes: &AtomicU64,
) -> std::io::Result<()> {
    let mut buffer = vec![0; 64 << 10];
    loop {
        wait_until_open(partitions, regions).await;
        let read = from.read(&mut buffer).await?;
        wait_until_open(partitions, regions).await;
        if read == 0 {
            return Ok(());
        }
        target.write_all(&buffer[..read]).await?;
        bytes.fetch_add(read as u64, Ordering::Relaxed);
    }
}
