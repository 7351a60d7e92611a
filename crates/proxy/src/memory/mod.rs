//! The memory that peers can make the process hold, and its limits.
//!
//! A process that exceeds its memory limit is killed, and with it all requests in progress. What a peer can make it hold
//! is therefore counted before it is held: the HTTP buffers of connections, the bodies of requests and of answers, and
//! bytes that are read before they are needed. [`plan`] divides the limit between these uses. A use that has run out
//! of its part waits or is refused; it never takes from another's part, so that requests in progress can end.

pub mod byte_budget;
pub mod plan;
pub mod request_bodies;

use std::cell::Cell;
use std::fmt::{self, Display, Formatter};
use std::rc::Rc;

pub use byte_budget::{ByteBudget, ByteReservation};
pub use plan::MemoryPlan;
pub use request_bodies::{ReceiveError, RequestBodies};

/// Size of a body, or of a head, up to which it is not counted: the part of the plan for connections includes it.
/// Requests and answers of this size need no room in a budget, so that large ones can't keep them out.
pub const UNCOUNTED_BYTES: usize = 4 * 1024;

/// The budgets of one process.
#[derive(Debug)]
pub struct Memory {
    plan: MemoryPlan,
    /// Number of client connections with HTTP buffers.
    buffered_clients: Rc<Cell<usize>>,
    /// Number of connections to upstreams, which all have HTTP buffers.
    buffered_upstreams: Rc<Cell<usize>>,
    /// Bodies of requests.
    pub request_bodies: RequestBodies,
    /// Budget of the bodies of answers.
    pub answers: ByteBudget,
    /// Budget of the bytes that are read before they are needed, and of heads.
    pub read_ahead: ByteBudget,
}

impl Memory {
    /// Creates the budgets of a plan.
    #[must_use]
    pub fn new(plan: MemoryPlan) -> Self {
        Self {
            buffered_clients: Rc::default(),
            buffered_upstreams: Rc::default(),
            request_bodies: RequestBodies::new(ByteBudget::new(plan.request_bytes)),
            answers: ByteBudget::new(plan.answer_bytes),
            read_ahead: ByteBudget::new(plan.read_ahead_bytes),
            plan,
        }
    }

    /// Counts a client connection that is about to have HTTP buffers.
    #[must_use]
    pub fn count_client_buffers(&self) -> BufferPermit {
        BufferPermit::of(&self.buffered_clients)
    }

    /// Counts a connection to an upstream that is about to have HTTP buffers.
    #[must_use]
    pub fn count_upstream_buffers(&self) -> BufferPermit {
        BufferPermit::of(&self.buffered_upstreams)
    }

    /// Whether so many connections have HTTP buffers that no more may get any.
    #[must_use]
    pub fn buffers_exhausted(&self) -> bool {
        self.buffered_clients.get() + self.buffered_upstreams.get() >= self.plan.buffered_connections
    }

    /// Whether client connections have all the HTTP buffers that they may have. The rest is left to upstream connections.
    #[must_use]
    pub fn client_buffers_exhausted(&self) -> bool {
        self.buffered_clients.get() >= self.plan.buffered_clients()
    }

    /// A snapshot of what is counted, for the log.
    #[must_use]
    pub fn usage(&self) -> MemoryUsage {
        MemoryUsage {
            limit_mb: self.plan.limit_mb,
            buffered_connections: self.buffered_clients.get() + self.buffered_upstreams.get(),
            request_bytes: self.request_bodies.reserved(),
            answer_bytes: self.answers.reserved(),
            read_ahead_bytes: self.read_ahead.reserved(),
            dropped_bodies: self.request_bodies.dropped(),
        }
    }
}

/// Counts a connection with HTTP buffers until it is dropped.
#[derive(Debug)]
pub struct BufferPermit(Rc<Cell<usize>>);

impl BufferPermit {
    fn of(connections: &Rc<Cell<usize>>) -> Self {
        connections.set(connections.get() + 1);
        Self(Rc::clone(connections))
    }
}

impl Drop for BufferPermit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// What is counted at a moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryUsage {
    /// Memory limit of the configuration in MB, if it has one.
    pub limit_mb: Option<usize>,
    /// Number of connections with HTTP buffers.
    pub buffered_connections: usize,
    /// Bytes reserved for bodies of requests.
    pub request_bytes: usize,
    /// Bytes reserved for bodies of answers.
    pub answer_bytes: usize,
    /// Bytes reserved for bytes that are read ahead and for heads.
    pub read_ahead_bytes: usize,
    /// Number of incomplete bodies that have been dropped since the start.
    pub dropped_bodies: u64,
}

impl Display for MemoryUsage {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self.limit_mb {
            Some(megabytes) => write!(f, "limit {megabytes} MB")?,
            None => write!(f, "no limit")?,
        }
        write!(
            f,
            "; {} connections with buffers, {} KiB of requests, {} KiB of answers, {} KiB read ahead; {} requests \
             refused since the start for want of memory",
            self.buffered_connections,
            self.request_bytes / 1024,
            self.answer_bytes / 1024,
            self.read_ahead_bytes / 1024,
            self.dropped_bodies,
        )
    }
}
