//! The accept loop: it accepts connections for as long as it is asked to, whatever a single accept fails of, and keeps
//! the descriptors that discovery and attempts may need.

use std::future::Future;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use super::accept::FailedAccepts;
use super::connection::handle_connection;
use super::connection_set::{ConnectionSet, InsertedConnection};

/// Wait after an accept that failed for want of something, and between looks for a free descriptor, so that this does
/// not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);
/// Idle connections closed at each such look: with [`ACCEPT_PAUSE`] a thousand in a second or so.
const EVICTIONS_PER_CHECK: usize = 4;

/// Where clients' connections come from.
pub trait Accept {
    /// The next connection. Cancel safe: no connection is lost if the future is dropped.
    fn accept(&self) -> impl Future<Output = io::Result<TcpStream>>;
}

impl Accept for TcpListener {
    async fn accept(&self) -> io::Result<TcpStream> {
        let (stream, _) = Self::accept(self).await?;
        Ok(stream)
    }
}

/// Accepts connections and starts a task for each.
pub(super) struct AcceptLoop<A> {
    listener: A,
    connections: Rc<ConnectionSet>,
    failed: FailedAccepts,
}

impl<A: Accept> AcceptLoop<A> {
    pub(super) fn new(listener: A, connections: Rc<ConnectionSet>) -> Self {
        Self { listener, connections, failed: FailedAccepts::default() }
    }

    pub(super) fn connections(&self) -> &Rc<ConnectionSet> {
        &self.connections
    }

    /// When the latest accept that failed did so.
    pub(super) fn last_failure(&self) -> Option<Instant> {
        self.failed.latest
    }

    /// Accepts until the future is ready.
    pub(super) async fn run_until(&mut self, until: impl Future<Output = ()>) {
        let mut until = pin!(until);
        loop {
            let accepted = tokio::select! {
                biased;
                // First: in a flood there is always another connection, and this would never be looked at.
                () = until.as_mut() => return,
                accepted = self.next() => accepted,
            };
            match accepted {
                Ok(stream) => {
                    self.failed.succeeded();
                    self.start_connection(stream);
                }
                Err(error) => self.recover(&error).await,
            }
        }
    }

    /// The next connection, once there is a descriptor for it that neither discovery nor an attempt may need. Cancel
    /// safe: no connection is lost if the future is dropped.
    async fn next(&self) -> io::Result<TcpStream> {
        while self.connections.event_loop().pool().is_full() {
            // A few at a time: each may take its moment to close.
            for _ in 0..EVICTIONS_PER_CHECK {
                self.connections.evict_idle_connection();
            }
            sleep(ACCEPT_PAUSE).await;
        }
        self.listener.accept().await
    }

    fn start_connection(&self, stream: TcpStream) {
        if self.connections.event_loop().pool().is_nearly_full() {
            self.connections.evict_idle_connection();
        }
        let InsertedConnection { number, connection } = self.connections.insert(stream);
        // Counted from here on, or a burst of connections would not see itself.
        let permit = self.connections.event_loop().pool().reserved_permit();
        let connections = Rc::clone(&self.connections);
        // Detached: the set of connections knows it until it ends, and a drain waits for the set.
        spawn_local(async move {
            handle_connection(&connections, &connection).await;
            connections.remove(number);
            drop((connection, permit));
        });
    }

    async fn recover(&mut self, error: &io::Error) {
        let reaction = self.failed.failed(error);
        // In a drain all connections end soon, and those that are left may be their clients' last.
        if reaction.evict && !self.connections.is_draining() {
            self.connections.evict_idle_connection();
        }
        if reaction.pause {
            sleep(ACCEPT_PAUSE).await;
        }
    }
}
