//! The open connections of clients: which may still be owed an answer, and which gives way when sockets run short.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::Instant;

use super::connection::{ClientConnection, handle_connection};
use super::shutdown::Phase;
use crate::driver::Driver;

/// The clients' connections.
pub(super) struct ConnectionSet {
    pub(super) driver: Rc<Driver>,
    pub(super) phases: watch::Receiver<Phase>,
    /// By the order of their coming.
    pub(super) open: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    pub(super) next_number: Cell<u64>,
    /// After SIGTERM: when what still comes must be answered.
    pub(super) answer_by: Cell<Option<Instant>>,
}

impl ConnectionSet {
    pub(super) fn accept(self: &Rc<Self>, stream: TcpStream) {
        if self.driver.pool().crowded() {
            self.evict_idle_connection();
        }
        let connection = Rc::new(ClientConnection::new(stream));
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        self.open.borrow_mut().insert(number, Rc::clone(&connection));
        // Counted from here on, or a burst of connections would not see itself.
        let permit = self.driver.pool().reserved_permit();
        let connections = Rc::clone(self);
        spawn_local(async move {
            handle_connection(&connections, &connection).await;
            connections.open.borrow_mut().remove(&number);
            drop((connection, permit));
        });
    }

    /// Closes the connection that has stood idle for longest: a client's, which costs it a new one at most,
    /// or else one to an upstream. One on which a request has begun to come goes last.
    pub(super) fn evict_idle_connection(&self) {
        let open = self.open.borrow();
        let idle =
            open.values().filter(|connection| !connection.in_request.get() && !connection.evicted.get());
        if let Some(connection) = idle
            .min_by_key(|connection| (connection.socket.head_since().is_some(), connection.idle_since.get()))
        {
            // Marked, so that the next in need finds another.
            connection.evicted.set(true);
            connection.close.notify_one();
        } else {
            self.driver.pool().make_room();
        }
    }

    pub(super) fn is_draining(&self) -> bool {
        self.answer_by.get().is_some()
    }

    /// Connections on which an answer may still be owed, and those of them in a request.
    fn owed(&self) -> (usize, usize) {
        let open = self.open.borrow();
        let used = open.values().filter(|connection| connection.has_carried_request.get());
        (used.clone().count(), used.filter(|connection| connection.in_request.get()).count())
    }

    pub(super) fn log_drain(&self, stopped: Instant) {
        let ((open, in_request), since) = (self.owed(), stopped.elapsed());
        crate::log(format_args!(
            "{} ms into the drain: {open} callers, {in_request} in a request",
            since.as_millis()
        ));
    }
}
