//! Where the threads of a play run: on which cores of the machine.

use crate::CapacityError;
use crate::world;

/// Where threads run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Placement {
    /// Where the system puts them.
    Anywhere,
    /// The caller on core 0, all else on the others.
    Apart,
    /// The same with the balancer alone on the last.
    Alone,
}

impl Placement {
    /// Places this thread and what it starts but the caller; tells where the balancer is held to. `held` says whether
    /// another play was placed before.
    pub(super) fn place(self, cores: usize, held: bool) -> Result<Option<usize>, CapacityError> {
        match self {
            Self::Anywhere if !held => Ok(None),
            Self::Anywhere => world::hold_to(&format!("0-{}", cores - 1)).map(|()| None),
            Self::Apart => world::hold_to(&format!("1-{}", cores - 1)).map(|()| None),
            Self::Alone => world::hold_to(&format!("1-{}", cores - 2)).map(|()| Some(cores - 1)),
        }
    }
}

/// With fewer cores the caller can't have one for itself.
pub(super) const CORES_LEAST: usize = 4;
