//! Where the threads of a play run: on which cores of the machine.

use crate::CapacityError;
use crate::world;

/// Where threads run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Placement {
    /// Where the system puts them.
    Anywhere,
    /// The client on core 0, all else on the others.
    Apart,
    /// The same with the balancer alone on the last.
    Alone,
}

impl Placement {
    /// Binds this thread, and all that it starts apart from the client, to cores: the core of the balancer, where it has one
    /// for itself. `placed_before` says whether an earlier play may have bound this thread.
    pub(super) fn place(self, cores: usize, placed_before: bool) -> Result<Option<usize>, CapacityError> {
        match self {
            Self::Anywhere if !placed_before => Ok(None),
            Self::Anywhere => world::hold_to(&format!("0-{}", cores - 1)).map(|()| None),
            Self::Apart => world::hold_to(&format!("1-{}", cores - 1)).map(|()| None),
            Self::Alone => world::hold_to(&format!("1-{}", cores - 2)).map(|()| Some(cores - 1)),
        }
    }
}

/// Cores that the placement needs: with fewer the client can't have one for itself.
pub(super) const CORES_LEAST: usize = 4;
