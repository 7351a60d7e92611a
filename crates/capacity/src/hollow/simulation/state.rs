//! The state records of a simulation run: cores, processes, slots, calls, attempts, work items and clients. They hold
//! data only; the other modules of the simulation modify them.

use std::collections::VecDeque;

use balancer_policy::Balancer;
use balancer_policy::interface::Lifecycle;
use rustc_hash::{FxHashMap, FxHashSet};

/// A decision core of an upstream's process or of a front, for one service that it calls.
#[derive(Debug)]
pub(super) struct Core {
    /// The balancer itself; `None` once its process or front has ended.
    pub(super) balancer: Option<Balancer>,
    /// Whether the core belongs to a front rather than to an upstream's process.
    pub(super) front: bool,
    /// Zone that the core runs in.
    pub(super) zone: usize,
    /// Service that the core calls.
    pub(super) service: usize,
    /// Processes to which the core has an open connection.
    pub(super) connected: FxHashSet<u32>,
    /// Time at which the core was first notified that a process is draining or removed, in ns, by process.
    pub(super) notified: FxHashMap<u32, u64>,
    /// Arrival time of the latest list update sent to the core, in ns; later updates do not arrive before it.
    pub(super) list_arrives_at: u64,
    /// Whether the core missed list updates because of a network partition.
    pub(super) missed_updates: bool,
    /// Number of ready upstreams in the first list that the core received.
    pub(super) initial_ready: usize,
}

/// Whether a process runs, and how its machine reacts to connections if it does not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum State {
    /// The process is running.
    Up,
    /// The process has ended; its machine refuses connections.
    Ended,
    /// The machine has failed and does not respond at all.
    Lost,
}

/// A process of an upstream.
#[derive(Debug)]
pub(super) struct Process {
    /// Slot that the process runs in.
    pub(super) slot: usize,
    pub(super) state: State,
    /// Lifecycle state that service discovery lists for the process.
    pub(super) lifecycle: Lifecycle,
    /// Time at which the process started cold, in ns; `None` for a process that has its full capacity from the
    /// beginning.
    pub(super) started: Option<u64>,
    /// Number of CPU cores in use.
    pub(super) busy: usize,
    /// Identifiers of the work items that wait for a CPU core.
    pub(super) queue: VecDeque<u64>,
    /// Number of work items at the process: waiting, running, or waiting for another service. The items themselves are
    /// not tracked here: when a process ends they are found by a scan over all work items, which costs less than a set.
    pub(super) in_flight: usize,
    /// Decision cores of the process, in the order of the destinations of its service.
    pub(super) cores: Vec<u32>,
    /// Arrival times in the overload window, in ns, while the process is warming up.
    pub(super) arrivals: VecDeque<u64>,
}

/// A place on a machine that runs one process of a service at a time.
#[derive(Debug)]
pub(super) struct Slot {
    pub(super) service: usize,
    pub(super) zone: usize,
    /// The process that runs in the slot, if any.
    pub(super) process: Option<usize>,
    /// Replica index of each balancer of the slot among all balancers that call the same service, in the order of the
    /// destinations of the slot's service.
    pub(super) index: Vec<u32>,
}

/// Source of a call, which its answer goes to.
#[derive(Debug, Clone, Copy)]
pub(super) enum CallSource {
    /// A client, by its index in the clients of the simulation.
    Client(u32),
    /// A work item of an upstream, by its identifier.
    WorkItem(u64),
}

/// An attempt of a call, at the balancer that sent it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Attempt {
    /// Process that the attempt was sent to.
    pub(super) process: u32,
    /// Time at which the attempt was sent, in ns.
    pub(super) sent: u64,
    /// Time that the attempt waits for a connection, in ns.
    pub(super) connect_wait: u64,
    /// Whether the attempt has ended.
    pub(super) is_over: bool,
}

/// A call from a client or from one service to another, at the decision core that handles it.
#[derive(Debug)]
pub(super) struct Hop {
    pub(super) core: u32,
    pub(super) source: CallSource,
    /// Idempotency class: 0 idempotent, 1 with an idempotency key, 2 not idempotent.
    pub(super) class: u8,
    /// Number of services still to be called in the chain, including the one that this call goes to.
    pub(super) hops_left: u8,
    pub(super) answered: bool,
    /// Number of attempts of the call that an upstream has started to execute.
    pub(super) executions: u8,
    /// Deadline of the call, in ns.
    pub(super) deadline: u64,
    pub(super) attempts: Vec<Attempt>,
}

/// A work item: an attempt's request, at the upstream that received it.
#[derive(Debug)]
pub(super) struct WorkItem {
    pub(super) process: u32,
    pub(super) hop: u64,
    /// Number of the attempt within its call.
    pub(super) attempt: u8,
    pub(super) class: u8,
    /// Number of services still to be called in the chain, including this one.
    pub(super) hops_left: u8,
    /// Whether the work item has left the queue: it is running or waiting for another service.
    pub(super) begun: bool,
    /// Deadline of the call, in ns.
    pub(super) deadline: u64,
}

/// A client's call, over all its retries.
#[derive(Debug, Clone, Copy)]
pub(super) struct Client {
    /// Time at which the client first sent the call, in ns.
    pub(super) first_sent: u64,
    pub(super) front: u32,
    /// Index of the called service in the topology's entries.
    pub(super) entry: u32,
    pub(super) tenant: u32,
    pub(super) class: u8,
    /// Number of services in the chain of the call.
    pub(super) hops_left: u8,
    /// Number of times that the client has sent the call.
    pub(super) tries: u32,
    /// Number of attempts of the call that an upstream has started to execute, over all retries.
    pub(super) executions: u32,
    pub(super) answered: bool,
}

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum End {
    /// The call was answered successfully.
    Good,
    /// A balancer refused the call.
    Refused,
    /// The call failed.
    Failed,
}
