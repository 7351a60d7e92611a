//! A relay of bytes: the floor of what any process between clients and upstreams costs on this machine, which the
//! balancer is compared with.

use std::net::SocketAddr;
use std::thread::{self, JoinHandle};

use tokio::sync::watch;

use super::runtime::on_runtime;
use super::{Bound, listen};
use crate::CapacityError;

/// Copies bytes between clients and upstreams, on the same kind of runtime as the balancer, and does nothing else:
/// what any process between the two costs on this machine.
#[derive(Debug)]
pub struct ByteRelay {
    /// The address that it listens on.
    pub address: SocketAddr,
    stop: watch::Sender<bool>,
    thread: Option<JoinHandle<()>>,
}

impl ByteRelay {
    /// Starts a relay that assigns its connections to `upstreams` in turn.
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
                            // Without it the connection still works, only slower.
                            let _ = (near.set_nodelay(true), far.set_nodelay(true));
                            // However the copy ends, both connections are closed with it.
                            let _ = tokio::io::copy_bidirectional(&mut near, &mut far).await;
                        });
                    }
                });
                Ok(())
            });
        });
        let thread = thread.map_err(|cause| CapacityError::run("starting a relay", cause))?;
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
