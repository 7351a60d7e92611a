//! The events of a simulation run. The timer wheel orders them by time, and the digest of a run is calculated over
//! them, so that two runs can be compared exactly.

use balancer_policy::interface::Outcome;

/// A simulation event that is scheduled for a point in virtual time.
#[derive(Debug, Clone, Copy)]
pub(super) enum ScheduledEvent {
    /// A new client sends a call.
    Client,
    /// The client with this index retries its call.
    ClientRetry(u32),
    /// The maintenance timer of the decision core with this index fires.
    MaintenanceTimer(u32),
    /// The request of an attempt reaches its upstream.
    RequestArrival { hop: u64, attempt: u8 },
    /// A work item has finished its local processing at its upstream.
    WorkDone { work: u64 },
    /// The outcome of an attempt reaches the balancer that sent it.
    Reply { hop: u64, attempt: u8, outcome: Outcome },
    /// The timeout of an attempt expires.
    Timeout { hop: u64, attempt: u8 },
    /// An endpoint list change, by its index in `list_changes` of the simulation, reaches a core as a delta.
    List { core: u32, change: u32 },
    /// A snapshot of a full endpoint list reaches the decision core with this index.
    FullList(u32),
    /// The scenario step with this index is applied.
    Script(u32),
    /// The process with this index ends after draining.
    Stop(u32),
    /// A new process starts in the slot with this index.
    Start(u32),
    /// Service discovery removes the process with this index from the endpoint list of its service.
    Unlist(u32),
    /// The memory that the simulating process uses is checked against its limit.
    MemoryCheck,
    /// The signals of the balancers are sampled.
    SignalSample,
}

impl ScheduledEvent {
    /// The event encoded as two words for the digest.
    pub(super) fn words(&self) -> [u64; 2] {
        let tag = |tag: u64, rest: u64| tag << 56 ^ rest;
        match *self {
            Self::Client => [tag(1, 0), 0],
            Self::ClientRetry(client) => [tag(2, 0), client.into()],
            Self::MaintenanceTimer(core) => [tag(3, 0), core.into()],
            Self::RequestArrival { hop, attempt } => [tag(4, attempt.into()), hop],
            Self::WorkDone { work } => [tag(5, 0), work],
            Self::Reply { hop, attempt, outcome } => [tag(6, u64::from(attempt) << 8 | outcome as u64), hop],
            Self::Timeout { hop, attempt } => [tag(7, attempt.into()), hop],
            Self::List { core, change } => [tag(8, change.into()), core.into()],
            Self::FullList(core) => [tag(9, 0), core.into()],
            Self::Script(step) => [tag(10, 0), step.into()],
            Self::Stop(process) => [tag(11, 0), process.into()],
            Self::Start(slot) => [tag(12, 0), slot.into()],
            Self::Unlist(process) => [tag(13, 0), process.into()],
            Self::MemoryCheck => [tag(14, 0), 0],
            Self::SignalSample => [tag(15, 0), 0],
        }
    }
}
