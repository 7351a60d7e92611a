//! The connections to one process of an upstream between attempts: those that are idle, and the dial that continues though
//! no attempt waits for it.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use balancer_policy::interface::{EndpointId, ZoneId};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use super::connection::{Connection, Permit};

/// A connection between two attempts.
pub(super) struct IdleConnection {
    pub(super) connection: Connection,
    pub(super) since: Instant,
    /// When it may carry the next request.
    pub(super) free_at: Instant,
}

/// A connect that is under way.
pub(super) struct Connecting {
    pub(super) stream: Pin<Box<dyn Future<Output = io::Result<TcpStream>>>>,
    pub(super) permit: Permit,
    pub(super) since: Instant,
}

/// A dial that continues though the attempt that began it does not wait for it any more.
pub(super) struct LateDial {
    pub(super) connecting: Connecting,
    /// Waits for it; `None` for the moment before it is started.
    pub(super) task: Option<AbortHandle>,
}

impl Drop for LateDial {
    fn drop(&mut self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
    }
}

/// The connections to one process of an upstream, for as long as the list has it ready at that address.
pub struct Host {
    pub(super) id: EndpointId,
    pub(super) address: SocketAddr,
    pub(super) zone: Option<ZoneId>,
    /// The most recently used last.
    pub(super) idle: RefCell<Vec<IdleConnection>>,
    /// At most one, so that an unreachable upstream uses no more sockets than this.
    pub(super) late: RefCell<Option<LateDial>>,
    /// Attempts that wait for a connection.
    pub(super) waiting: Cell<usize>,
    pub(super) closed: Cell<bool>,
    /// Notifies those that wait of a change.
    pub(super) changed: Notify,
}

impl Host {
    /// When the next connection has rested, if one rests.
    pub(super) fn next_free(&self) -> Option<Instant> {
        self.idle.borrow().iter().map(|idle| idle.free_at).min()
    }

    pub(super) fn add_idle(&self, connection: Connection, rest: Duration) {
        let since = Instant::now();
        self.idle.borrow_mut().push(IdleConnection { connection, since, free_at: since + rest });
        self.changed.notify_waiters();
    }

    pub(super) fn close(&self) {
        self.closed.set(true);
        self.idle.take();
        self.late.take();
        self.changed.notify_waiters();
    }
}
