//! The accept loop: it continues whatever the error of a single accept is, and leaves free the descriptors that
//! discovery and attempts may need.

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

/// Pause after an accept that failed for lack of a resource, and between checks for a free descriptor, so that the loop
/// does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);
/// Number of idle connections closed at each check for a free descriptor. With [`ACCEPT_PAUSE`] this is about a
/// thousand a second.
const EVICTIONS_PER_CHECK: usize = 4;

/// A source of client connections, such as a listening socket.
pub trait Accept {
    /// Accepts the next connection. Cancel safe: no connection is lost if the future is dropped.
    fn accept(&self) -> impl Future<Output = io::Result<TcpStream>>;
}

impl Accept for TcpListener {
    async fn accept(&self) -> io::Result<TcpStream> {
        let (stream, _) = Self::accept(self).await?;
        Ok(stream)
    }
}

/// Accepts client connections and spawns a task for each.
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

    /// Time at which the latest failed accept occurred; `None` if no accept has failed.
    pub(super) fn last_failure(&self) -> Option<Instant> {
        self.failed.last_failed_at
    }

    /// Accepts connections until the future `until` is ready.
    pub(super) async fn run_until(&mut self, until: impl Future<Output = ()>) {
        let mut until = pin!(until);
        loop {
            let accepted = tokio::select! {
                biased;
                // `until` is polled first: in a flood there is always another connection, so it would never be polled.
                () = until.as_mut() => return,
                accepted = self.next_connection() => accepted,
            };
            match accepted {
                Ok(stream) => {
                    self.failed.succeeded();
                    self.start_connection(stream);
                }
                Err(error) => self.handle_accept_error(&error).await,
            }
        }
    }

    /// Accepts the next connection, once there is a descriptor for it that neither discovery nor an attempt may need.
    /// Cancel safe: no connection is lost if the future is dropped.
    async fn next_connection(&self) -> io::Result<TcpStream> {
        while self.connections.event_loop().pool().is_full() {
            // Evicts only a few connections at a time, because each may take a moment to close.
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
        // The socket is counted here and not in the task, so that the checks for the next connections of a burst
        // include it.
        let permit = self.connections.event_loop().pool().reserved_permit();
        let connections = Rc::clone(&self.connections);
        // The task is detached: the connection stays in the set until it ends, and a drain waits until the set is
        // empty.
        spawn_local(async move {
            handle_connection(&connections, &connection).await;
            connections.remove(number);
            drop((connection, permit));
        });
    }

    async fn handle_accept_error(&mut self, error: &io::Error) {
        let reaction = self.failed.failed(error);
        // During a drain all connections end soon, and their clients may have no other balancer to connect to.
        if reaction.evict && !self.connections.is_draining() {
            self.connections.evict_idle_connection();
        }
        if reaction.pause {
            sleep(ACCEPT_PAUSE).await;
        }
    }
}
