//! The open connections of clients: which may still be owed an answer, and which gives way when sockets run short.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;

use super::connection_state::ClientConnection;
use super::shutdown::Phase;
use crate::event_loop::EventLoop;

/// The clients' connections, and what the whole of them goes by.
pub(super) struct ConnectionSet {
    event_loop: Rc<EventLoop>,
    phases: watch::Receiver<Phase>,
    /// By number, which is the order of their coming.
    open: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    next_number: Cell<u64>,
    /// After SIGTERM: when what still comes must be answered.
    answer_by: Cell<Option<Instant>>,
}

/// A connection that has been entered into the set.
pub(super) struct InsertedConnection {
    /// Removes it from the set.
    pub(super) number: u64,
    pub(super) connection: Rc<ClientConnection>,
}

/// Connections on which an answer may still be owed.
struct Owed {
    open: usize,
    in_request: usize,
}

impl ConnectionSet {
    pub(super) fn new(event_loop: Rc<EventLoop>, phases: watch::Receiver<Phase>) -> Self {
        Self {
            event_loop,
            phases,
            open: RefCell::new(BTreeMap::new()),
            next_number: Cell::new(0),
            answer_by: Cell::new(None),
        }
    }

    pub(super) fn event_loop(&self) -> &Rc<EventLoop> {
        &self.event_loop
    }

    /// Notified of each change of the phase.
    pub(super) fn phases(&self) -> watch::Receiver<Phase> {
        self.phases.clone()
    }

    pub(super) fn phase(&self) -> Phase {
        *self.phases.borrow()
    }

    /// Enters a client's connection that has come up.
    pub(super) fn insert(&self, stream: TcpStream) -> InsertedConnection {
        let connection = Rc::new(ClientConnection::new(stream));
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        self.open.borrow_mut().insert(number, Rc::clone(&connection));
        InsertedConnection { number, connection }
    }

    pub(super) fn remove(&self, number: u64) {
        self.open.borrow_mut().remove(&number);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.open.borrow().is_empty()
    }

    /// Closes the connection that has stood idle for longest: a client's, which costs it a new one at most,
    /// or else one to an upstream. One on which a request has begun to come goes last.
    pub(super) fn evict_idle_connection(&self) {
        let open = self.open.borrow();
        let idle = open.values().filter(|connection| connection.may_be_evicted());
        let longest = idle.min_by_key(|connection| connection.eviction_order());
        match longest {
            Some(connection) => connection.evict(),
            None => {
                self.event_loop.pool().close_unused();
            }
        }
    }

    /// From now on what comes must be answered by then.
    pub(super) fn start_drain(&self, answer_by: Instant) {
        self.answer_by.set(Some(answer_by));
    }

    pub(super) fn is_draining(&self) -> bool {
        self.answer_by.get().is_some()
    }

    /// In a drain: when a request that comes must have its answer.
    pub(super) fn answer_by(&self) -> Option<Instant> {
        self.answer_by.get()
    }

    fn owed(&self) -> Owed {
        let open = self.open.borrow();
        let used = open.values().filter(|connection| connection.has_carried_request.get());
        let in_request = used.clone().filter(|connection| connection.in_request.get());
        Owed { open: used.count(), in_request: in_request.count() }
    }

    pub(super) fn log_drain(&self, stopped: Instant) {
        let Owed { open, in_request } = self.owed();
        let since = stopped.elapsed().as_millis();
        crate::log(format_args!("{since} ms into the drain: {open} callers, {in_request} in a request"));
    }
}
