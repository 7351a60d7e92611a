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
    /// Zone that the decision core runs in.
    pub(super) zone: usize,
    /// Service that the decision core calls.
    pub(super) service: usize,
    /// Indices of the processes to which the core has an open connection.
    pub(super) connected: FxHashSet<u32>,
    /// Virtual time at which the core was first notified that a process is draining or removed, in ns, by process
    /// index.
    pub(super) notified: FxHashMap<u32, u64>,
    /// Virtual time at which the latest endpoint list update sent to the core arrives, in ns; later updates do not
    /// arrive before it.
    pub(super) list_arrives_at: u64,
    /// Whether the core missed endpoint list updates because of a network partition.
    pub(super) missed_updates: bool,
    /// Number of ready upstreams in the first endpoint list that the core received.
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
    /// Index of the slot that the process runs in.
    pub(super) slot: usize,
    pub(super) state: State,
    /// Lifecycle state that service discovery lists for the process.
    pub(super) lifecycle: Lifecycle,
    /// Virtual time at which the process started cold, in ns; `None` for a process that has its full capacity from the
    /// beginning.
    pub(super) started: Option<u64>,
    /// Number of CPU cores of the process that are in use.
    pub(super) busy: usize,
    /// Identifiers of the work items that wait for a CPU core.
    pub(super) queue: VecDeque<u64>,
    /// Number of work items at the process: waiting, running, or waiting for another service. The items themselves are
    /// not tracked here: when a process ends they are found by a scan over all work items, which costs less than a set.
    pub(super) in_flight: usize,
    /// Indices of the decision cores of the process, in the order of the destinations of its service.
    pub(super) cores: Vec<u32>,
    /// Virtual times, in ns, at which requests arrived within the overload window, while the process is warming up.
    pub(super) arrivals: VecDeque<u64>,
}

/// A place on a machine that runs one process of a service at a time.
#[derive(Debug)]
pub(super) struct Slot {
    pub(super) service: usize,
    pub(super) zone: usize,
    /// Index of the process that runs in the slot; `None` if there is none.
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
    /// Index of the process that the attempt was sent to.
    pub(super) process: u32,
    /// Virtual time at which the attempt was sent, in ns.
    pub(super) sent: u64,
    /// Duration for which the attempt waits for a connection, in ns.
    pub(super) connect_wait: u64,
    /// Whether the attempt has ended.
    pub(super) is_over: bool,
}

/// A call from a client or from one service to another, at the decision core that handles it.
#[derive(Debug)]
pub(super) struct Hop {
    pub(super) core: u32,
    pub(super) source: CallSource,
    /// Idempotency class of the call: 0 idempotent, 1 with an idempotency key, 2 not idempotent.
    pub(super) class: u8,
    /// Number of services still to be called in the call chain, including the one that this call goes to.
    pub(super) hops_left: u8,
    pub(super) answered: bool,
    /// Number of attempts of this call that upstreams have started to execute.
    pub(super) executions: u8,
    /// Virtual time of the deadline of the call, in ns.
    pub(super) deadline: u64,
    pub(super) attempts: Vec<Attempt>,
}

/// A work item: an attempt's request, at the upstream that received it.
#[derive(Debug)]
pub(super) struct WorkItem {
    pub(super) process: u32,
    pub(super) hop: u64,
    /// Number of the work item's attempt within its call.
    pub(super) attempt: u8,
    pub(super) class: u8,
    /// Number of services still to be called in the call chain, including the one that the work item runs at.
    pub(super) hops_left: u8,
    /// Whether the work item has left the queue: it is running or waiting for another service.
    pub(super) begun: bool,
    /// Virtual time of the deadline of the call, in ns.
    pub(super) deadline: u64,
}

/// A client's call, over all its retries.
#[derive(Debug, Clone, Copy)]
pub(super) struct Client {
    /// Virtual time at which the client first sent the call, in ns.
    pub(super) first_sent: u64,
    pub(super) front: u32,
    /// Index of the called service in the topology's entries.
    pub(super) entry: u32,
    pub(super) tenant: u32,
    pub(super) class: u8,
    /// Number of services in the chain of the client's call.
    pub(super) hops_left: u8,
    /// Number of times that the client has sent the call.
    pub(super) tries: u32,
    /// Number of attempts of the client's call that upstreams have started to execute, over all retries.
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
