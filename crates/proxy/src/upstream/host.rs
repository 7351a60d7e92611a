//! The connections to one upstream process that no attempt uses: the idle connections, and the dial that continues in
//! the background after its attempt stopped waiting for it.

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

/// An idle connection, which waits in the pool for the next attempt.
pub(super) struct IdleConnection {
    pub(super) connection: Connection,
    /// Time at which the connection became idle.
    pub(super) since: Instant,
    /// Time at which the connection may carry the next request, after its reuse delay.
    pub(super) reusable_at: Instant,
}

/// A TCP connect in progress.
pub(super) struct Connecting {
    pub(super) stream: Pin<Box<dyn Future<Output = io::Result<TcpStream>>>>,
    pub(super) permit: Permit,
    /// Time at which the connect started.
    pub(super) since: Instant,
}

/// A background dial: it continues although the attempt that started it no longer waits for it.
pub(super) struct BackgroundDial {
    pub(super) connecting: Connecting,
    /// The task that waits for the connect; `None` until the task has been spawned.
    pub(super) task: Option<AbortHandle>,
}

impl Drop for BackgroundDial {
    fn drop(&mut self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
    }
}

/// The connections to one upstream process, kept for as long as discovery's list has it ready at this address.
pub struct Host {
    pub(super) id: EndpointId,
    pub(super) address: SocketAddr,
    pub(super) zone: Option<ZoneId>,
    /// Idle connections, the most recently used last.
    pub(super) idle: RefCell<Vec<IdleConnection>>,
    /// The background dial. There is at most one, so that an unreachable upstream uses only one socket.
    pub(super) background_dial: RefCell<Option<BackgroundDial>>,
    /// Number of attempts that wait for a connection to this host.
    pub(super) waiting_attempts: Cell<usize>,
    /// Whether the upstream has been removed from the pool, so that no connection to it is kept.
    pub(super) closed: Cell<bool>,
    /// Notifies waiting attempts that an idle connection was added or the host was closed.
    pub(super) changed: Notify,
}

impl Host {
    /// The earliest time at which an idle connection may be reused; `None` if there is no idle connection.
    pub(super) fn earliest_reuse(&self) -> Option<Instant> {
        self.idle.borrow().iter().map(|idle| idle.reusable_at).min()
    }

    pub(super) fn add_idle(&self, connection: Connection, reuse_delay: Duration) {
        let since = Instant::now();
        self.idle.borrow_mut().push(IdleConnection { connection, since, reusable_at: since + reuse_delay });
        self.changed.notify_waiters();
    }

    pub(super) fn close(&self) {
        self.closed.set(true);
        self.idle.take();
        self.background_dial.take();
        self.changed.notify_waiters();
    }
}
