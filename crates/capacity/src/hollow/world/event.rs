//! The events of a run of the fleet. The wheel orders these by time, and the digest of a run is taken over
//! them, so that two runs can be compared to the byte.

use balancer_policy::interface::Outcome;

#[derive(Debug, Clone, Copy)]
pub(super) enum Due {
    Client,
    Again(u32),
    Wake(u32),
    Reach { hop: u64, attempt: u8 },
    Done { work: u64 },
    Reply { hop: u64, attempt: u8, outcome: Outcome },
    Timeout { hop: u64, attempt: u8 },
    List { core: u32, change: u32 },
    Whole(u32),
    Script(u32),
    Stop(u32),
    Start(u32),
    Unlist(u32),
    Look,
    LookAtSignals,
}

impl Due {
    /// For the digest.
    pub(super) fn words(&self) -> [u64; 2] {
        let tag = |tag: u64, rest: u64| tag << 56 ^ rest;
        match *self {
            Self::Client => [tag(1, 0), 0],
            Self::Again(client) => [tag(2, 0), client.into()],
            Self::Wake(core) => [tag(3, 0), core.into()],
            Self::Reach { hop, attempt } => [tag(4, attempt.into()), hop],
            Self::Done { work } => [tag(5, 0), work],
            Self::Reply { hop, attempt, outcome } => [tag(6, u64::from(attempt) << 8 | outcome as u64), hop],
            Self::Timeout { hop, attempt } => [tag(7, attempt.into()), hop],
            Self::List { core, change } => [tag(8, change.into()), core.into()],
            Self::Whole(core) => [tag(9, 0), core.into()],
            Self::Script(step) => [tag(10, 0), step.into()],
            Self::Stop(process) => [tag(11, 0), process.into()],
            Self::Start(slot) => [tag(12, 0), slot.into()],
            Self::Unlist(process) => [tag(13, 0), process.into()],
            Self::Look => [tag(14, 0), 0],
            Self::LookAtSignals => [tag(15, 0), 0],
        }
    }
}
