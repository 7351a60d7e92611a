//! The records that a run keeps of cores, processes, slots, calls, attempts, works and clients. They hold data only; the
//! modules beside this one change them.

use std::collections::VecDeque;

use balancer_policy::Balancer;
use balancer_policy::interface::Lifecycle;
use rustc_hash::{FxHashMap, FxHashSet};

/// One decision core: of a process, or of a front, for one service that it calls.
#[derive(Debug)]
pub(super) struct Core {
    /// `None` once its process has ended.
    pub(super) balancer: Option<Balancer>,
    /// It is a front's, and not a process's.
    pub(super) front: bool,
    pub(super) zone: usize,
    pub(super) service: usize,
    /// Upstreams to which it has a connection.
    pub(super) connected: FxHashSet<u32>,
    /// When it was notified that an upstream drains or is removed, in ns, by process.
    pub(super) notified: FxHashMap<u32, u64>,
    /// When its latest list event comes.
    pub(super) listed_at: u64,
    /// Lists passed it by while it was cut off.
    pub(super) missed: bool,
    /// Upstreams ready in its first list.
    pub(super) first: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum State {
    Up,
    /// Ended: the machine turns connections down.
    Ended,
    /// The machine says nothing.
    Lost,
}

#[derive(Debug)]
pub(super) struct Process {
    pub(super) slot: usize,
    pub(super) state: State,
    pub(super) lifecycle: Lifecycle,
    pub(super) started: Option<u64>,
    pub(super) busy: usize,
    pub(super) queue: VecDeque<u64>,
    pub(super) in_flight: usize,
    /// All works that it holds are of it while it is up; a set would cost more than a look at each.
    pub(super) cores: Vec<u32>,
    /// Arrivals in the window of overload, while it is cold.
    pub(super) window: VecDeque<u64>,
}

/// A place for one process after another.
#[derive(Debug)]
pub(super) struct Slot {
    pub(super) service: usize,
    pub(super) zone: usize,
    pub(super) process: Option<usize>,
    /// Its balancers' number among those that call a service, by the place of that service in its calls.
    pub(super) index: Vec<u32>,
}

#[derive(Debug, Clone, Copy)]
pub(super) enum Parent {
    Client(u32),
    Work(u64),
}

#[derive(Debug, Clone, Copy)]
pub(super) struct Attempt {
    pub(super) process: u32,
    pub(super) sent: u64,
    pub(super) connect_wait: u64,
    pub(super) over: bool,
}

/// A call from one service to another, or from a client, at the core that carries it.
#[derive(Debug)]
pub(super) struct Hop {
    pub(super) core: u32,
    pub(super) parent: Parent,
    pub(super) class: u8,
    /// Services still to be called in the chain, this one's among them.
    pub(super) left: u8,
    pub(super) answered: bool,
    /// Attempts of it that began to run.
    pub(super) ran: u8,
    pub(super) deadline: u64,
    pub(super) attempts: Vec<Attempt>,
}

/// An attempt at its upstream.
#[derive(Debug)]
pub(super) struct Work {
    pub(super) process: u32,
    pub(super) hop: u64,
    pub(super) attempt: u8,
    pub(super) class: u8,
    pub(super) left: u8,
    /// It runs, or waits for another service.
    pub(super) begun: bool,
    pub(super) deadline: u64,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct Client {
    pub(super) came: u64,
    pub(super) front: u32,
    pub(super) entry: u32,
    pub(super) tenant: u32,
    pub(super) class: u8,
    pub(super) left: u8,
    pub(super) tries: u32,
    pub(super) ran: u32,
    pub(super) answered: bool,
}

/// How a client's call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum End {
    Good,
    Refused,
    Failed,
}
