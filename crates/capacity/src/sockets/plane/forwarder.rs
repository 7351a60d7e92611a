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
    pub(super) to: SocketAddr,
    /// Regions of the two processes that the forwarder connects.
    pub(super) ends: [usize; 2],
    pub(super) bytes: Arc<AtomicU64>,
}

pub(super) type Forwarders = (oneshot::Sender<()>, JoinHandle<()>);

pub(super) fn forward_all(
    forwarders: Vec<Forwarder>,
    cuts: watch::Receiver<Option<usize>>,
) -> Result<Forwarders, CapacityError> {
    let wrong = |cause| CapacityError::run("the forwarders between control processes", cause);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(wrong)?;
    let (stop, stopped) = oneshot::channel();
    let thread = thread::spawn(move || {
        LocalSet::new().block_on(&runtime, async {
            for forwarder in forwarders {
                spawn_local(forward(forwarder, cuts.clone()));
            }
            // The sender may have been dropped instead of used; both end the forwarders.
            let _ = stopped.await;
        });
    });
    Ok((stop, thread))
}

async fn forward(forwarder: Forwarder, cuts: watch::Receiver<Option<usize>>) {
    let Forwarder { listener, to, ends, bytes } = forwarder;
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
    loop {
        let Ok((near, _)) = listener.accept().await else { continue };
        let (mut cuts, bytes) = (cuts.clone(), Arc::clone(&bytes));
        spawn_local(async move {
            open(&mut cuts, ends).await;
            let Ok(far) = tokio::net::TcpStream::connect(to).await else { return };
            // Disables Nagle's algorithm so that each chunk is sent as it arrives. If this fails, the connection still
            // works, only more slowly.
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            let ((near_read, near_write), (far_read, far_write)) = (near.into_split(), far.into_split());
            let mut back_cuts = cuts.clone();
            let there = pass(near_read, far_write, &mut cuts, ends, &bytes);
            let back = pass(far_read, near_write, &mut back_cuts, ends, &bytes);
            // When one direction ends, both connections are closed.
            tokio::select! { _ = there => {}, _ = back => {} }
        });
    }
}

/// Waits while the two regions are partitioned from each other.
async fn open(cuts: &mut watch::Receiver<Option<usize>>, ends: [usize; 2]) {
    let open = |cut: &Option<usize>| ends[0] == ends[1] || cut.is_none_or(|region| !ends.contains(&region));
    // Waiting fails only if the sender is dropped, and it lives as long as the forwarders.
    let _ = cuts.wait_for(open).await;
}

async fn pass(
    mut from: impl tokio::io::AsyncRead + Unpin,
    mut to: impl tokio::io::AsyncWrite + Unpin,
    cuts: &mut watch::Receiver<Option<usize>>,
    ends: [usize; 2],
    bytes: &AtomicU64,
) -> std::io::Result<()> {
    let mut buffer = vec![0; 64 << 10];
    loop {
        open(cuts, ends).await;
        let read = from.read(&mut buffer).await?;
        open(cuts, ends).await;
        if read == 0 {
            return Ok(());
        }
        to.write_all(&buffer[..read]).await?;
        bytes.fetch_add(read as u64, Ordering::Relaxed);
    }
}
