//! The set of open client connections: which are in use during a graceful shutdown, and which is evicted when sockets
//! run short.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::{Mutex, watch};
use tokio::time::{Instant, sleep, sleep_until};

use super::connection_state::ClientConnection;
use super::shutdown::Phase;
use crate::event_loop::EventLoop;
use crate::memory::BufferPermit;

/// Interval between checks for free HTTP buffers, and number of connections that give up theirs at each.
const BUFFER_CHECK_INTERVAL: Duration = Duration::from_millis(5);
const BUFFERS_PER_CHECK: usize = 4;

/// The open client connections and the state that they share, such as the phase of the graceful shutdown.
pub(super) struct ConnectionSet {
    event_loop: Rc<EventLoop>,
    phases: watch::Receiver<Phase>,
    /// Open connections by number; numbers ascend in the order in which connections were accepted.
    open: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    next_number: Cell<u64>,
    /// Deadline for answers to requests that arrive after SIGTERM; `None` before SIGTERM.
    answer_by: watch::Sender<Option<Instant>>,
    /// Held by the connection whose turn it is to get HTTP buffers.
    buffer_turn: Mutex<()>,
}

/// A connection that has been inserted into the set, with its number.
pub(super) struct InsertedConnection {
    /// Number of the connection, with which it is removed from the set.
    pub(super) number: u64,
    pub(super) connection: Rc<ClientConnection>,
}

/// Numbers of connections that have carried a request, which a graceful shutdown reports.
struct DrainProgress {
    /// Number of open connections that have carried a request.
    open: usize,
    /// Number of those connections with a request in progress.
    in_request: usize,
}

impl ConnectionSet {
    pub(super) fn new(event_loop: Rc<EventLoop>, phases: watch::Receiver<Phase>) -> Self {
        Self {
            event_loop,
            phases,
            open: RefCell::new(BTreeMap::new()),
            next_number: Cell::new(0),
            answer_by: watch::Sender::new(None),
            buffer_turn: Mutex::new(()),
        }
    }

    pub(super) fn event_loop(&self) -> &Rc<EventLoop> {
        &self.event_loop
    }

    /// A receiver that is notified of each change of the shutdown phase.
    pub(super) fn phases(&self) -> watch::Receiver<Phase> {
        self.phases.clone()
    }

    pub(super) fn phase(&self) -> Phase {
        *self.phases.borrow()
    }

    /// Inserts an accepted client connection into the set.
    pub(super) fn insert(&self, stream: TcpStream) -> InsertedConnection {
        let connection = Rc::new(ClientConnection::new(stream, &self.event_loop.memory().read_ahead));
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

    /// Closes the client connection that has been idle for longest, which at most makes its client open a new one.
    /// Connections on which the head of a request has begun to arrive are chosen last. If no client connection is idle,
    /// it closes an unused connection to an upstream.
    pub(super) fn evict_idle_connection(&self) {
        let open = self.open.borrow();
        let idle = open.values().filter(|connection| connection.may_be_evicted());
        let longest_idle = idle.min_by_key(|connection| connection.eviction_order());
        match longest_idle {
            Some(connection) => connection.evict(),
            None => {
                self.event_loop.pool().close_unused();
            }
        }
    }

    /// Waits for HTTP buffers for a client connection, in the order in which connections ask for them. If there are none,
    /// connections that make no progress give up theirs. Cancel safe.
    pub(super) async fn acquire_buffers(&self) -> BufferPermit {
        let _turn = self.buffer_turn.lock().await;
        let (pool, memory) = (self.event_loop.pool(), self.event_loop.memory());
        loop {
            if !memory.client_buffers_exhausted() && (!memory.buffers_exhausted() || pool.close_unused()) {
                return memory.count_client_buffers();
            }
            self.free_buffers();
            sleep(BUFFER_CHECK_INTERVAL).await;
        }
    }

    fn free_buffers(&self) {
        let now = Instant::now();
        let open = self.open.borrow();
        let mut holders: Vec<_> =
            open.values().filter(|connection| connection.may_free_buffers(now)).collect();
        holders.sort_by_key(|connection| connection.buffer_order());
        for connection in holders.into_iter().take(BUFFERS_PER_CHECK) {
            connection.free_buffers();
        }
    }

    /// Starts the drain: requests that arrive from now on must be answered by `answer_by`.
    pub(super) fn start_drain(&self, answer_by: Instant) {
        self.answer_by.send_replace(Some(answer_by));
    }

    pub(super) fn is_draining(&self) -> bool {
        self.answer_by.borrow().is_some()
    }

    /// Deadline for the answer to a request that arrives during the drain; `None` if there is no drain.
    pub(super) fn answer_by(&self) -> Option<Instant> {
        *self.answer_by.borrow()
    }

    /// Waits until a request that arrives during a drain must have its answer, for ever if no drain begins. Cancel safe.
    pub(super) async fn answer_due(&self) {
        let mut answer_by = self.answer_by.subscribe();
        match answer_by.wait_for(Option::is_some).await.map(|answer_by| *answer_by) {
            Ok(Some(answer_by)) => sleep_until(answer_by).await,
            // The sender is a field of this set and is not dropped while this waits.
            Ok(None) | Err(_) => pending().await,
        }
    }

    fn drain_progress(&self) -> DrainProgress {
        let open = self.open.borrow();
        let in_use = open.values().filter(|connection| connection.has_carried_request.get());
        let in_request = in_use.clone().filter(|connection| connection.in_request.get());
        DrainProgress { open: in_use.count(), in_request: in_request.count() }
    }

    /// Logs the progress of the graceful shutdown that began at `drain_started_at`.
    pub(super) fn log_drain(&self, drain_started_at: Instant) {
        let DrainProgress { open, in_request } = self.drain_progress();
        let elapsed_ms = drain_started_at.elapsed().as_millis();
        crate::log(format_args!(
            "graceful shutdown, {elapsed_ms} ms in: {open} client connections in use, {in_request} with a \
             request in progress"
        ));
    }
}
