//! A byte relay, whose cost is the minimum that any process between clients and upstreams adds on this machine. The
//! balancer is compared with it.

use std::net::SocketAddr;
use std::thread::{self, JoinHandle};

use tokio::sync::watch;

use super::runtime::on_runtime;
use super::{Bound, listen};
use crate::CapacityError;

/// A relay that copies bytes between clients and upstreams on the same kind of runtime as the balancer, and does
/// nothing else.
#[derive(Debug)]
pub struct ByteRelay {
    /// Address on which the byte relay accepts client connections.
    pub address: SocketAddr,
    stop: watch::Sender<bool>,
    thread: Option<JoinHandle<()>>,
}

impl ByteRelay {
    /// Starts a byte relay that connects its client connections to `upstreams` in turn.
    ///
    /// # Errors
    /// No port is free, or the thread does not start.
    pub fn start(upstreams: Vec<SocketAddr>) -> Result<Self, CapacityError> {
        let Bound { listener, address } = listen()?;
        let (stop, stopped) = watch::channel(false);
        let thread = thread::Builder::new().name("relay".to_owned()).spawn(move || {
            on_runtime(stopped, || {
                listener.set_nonblocking(true)?;
                let listener = tokio::net::TcpListener::from_std(listener)?;
                tokio::task::spawn_local(async move {
                    for upstream in upstreams.iter().cycle() {
                        let Ok((mut near, _)) = listener.accept().await else { return };
                        let upstream = *upstream;
                        tokio::task::spawn_local(async move {
                            let Ok(mut far) = tokio::net::TcpStream::connect(upstream).await else { return };
                            // Without `TCP_NODELAY` the connections still work, only slower.
                            let _ = (near.set_nodelay(true), far.set_nodelay(true));
                            // Both connections are closed after the copy ends, also after an error.
                            let _ = tokio::io::copy_bidirectional(&mut near, &mut far).await;
                        });
                    }
                });
                Ok(())
            });
        });
        let thread = thread.map_err(|cause| CapacityError::run("starting a byte relay", cause))?;
        Ok(Self { address, stop, thread: Some(thread) })
    }
}

impl Drop for ByteRelay {
    fn drop(&mut self) {
        // The thread may have ended already.
        let _ = self.stop.send(true);
        if let Some(thread) = self.thread.take() {
            // A thread that panicked has nothing left to clean up.
            let _ = thread.join();
        }
    }
}
