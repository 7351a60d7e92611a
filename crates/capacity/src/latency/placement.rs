//! Placement of the threads of a run on the cores of the machine.

use crate::CapacityError;
use crate::testbed;

/// Placement of the threads of a run on cores.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Placement {
    /// The operating system chooses the cores of all threads.
    Anywhere,
    /// The client has core 0 to itself; all other threads run on the other cores.
    Apart,
    /// The client has core 0 and the balancer the last core to itself; all other threads run on the remaining cores.
    Alone,
}

impl Placement {
    /// Pins this thread, and so all that it starts except the client, to cores. Returns the core of the balancer if it
    /// has one to itself. `placed_before` tells whether an earlier run may have pinned this thread.
    pub(super) fn place(self, cores: usize, placed_before: bool) -> Result<Option<usize>, CapacityError> {
        match self {
            Self::Anywhere if !placed_before => Ok(None),
            Self::Anywhere => testbed::pin_to_cores(&format!("0-{}", cores - 1)).map(|()| None),
            Self::Apart => testbed::pin_to_cores(&format!("1-{}", cores - 1)).map(|()| None),
            Self::Alone => testbed::pin_to_cores(&format!("1-{}", cores - 2)).map(|()| Some(cores - 1)),
        }
    }
}

/// Minimum number of cores for a placement that gives the client a core to itself.
pub(super) const MIN_CORES: usize = 4;
