//! The size of a run of hollow balancers, from the command line and the plan.

use std::time::Duration;

use super::Arguments;
use crate::CapacityError;
use crate::plan::Plan;

/// Maximum number of child processes that a run may start.
const MAX_PROCESSES: usize = 200;

/// Number of hollow balancers, balancers per process, configuration changes and endpoint list entries of a run, and the
/// length of its phases.
pub(super) struct Size {
    /// Number of hollow balancers in the run.
    pub(super) balancers: usize,
    /// Number of hollow balancers in each process.
    pub(super) per_process: usize,
    /// Number of configuration changes that the run publishes.
    pub(super) changes: usize,
    /// Number of entries in the endpoint list.
    pub(super) list: usize,
    /// Length of the span over which the configuration changes are published, in seconds.
    pub(super) seconds: f64,
    /// Length of the span without configuration changes in which the idle cost is measured.
    pub(super) idle: Duration,
}

impl Size {
    pub(super) fn of(arguments: &Arguments, plan: &Plan) -> Result<Self, CapacityError> {
        let argument_error = |name, expected: String| Err(CapacityError::Argument { name, expected });
        let balancers = match arguments.balancers {
            None if arguments.small => 60,
            None => plan.fleet.upstreams.value,
            Some(balancers) => balancers,
        };
        if !(1..=plan.fleet.upstreams.value).contains(&balancers) {
            return argument_error(
                "balancers",
                format!("1 to {}, the plan's upstreams", plan.fleet.upstreams.value),
            );
        }
        let per_process = if arguments.small { 20 } else { arguments.per_process };
        if per_process == 0 {
            return argument_error("per-process", "1 at least".to_owned());
        }
        let processes = balancers.div_ceil(per_process) + plan.budget.control_machines.value + 1;
        if processes > MAX_PROCESSES {
            return argument_error(
                "per-process",
                format!("so many that {MAX_PROCESSES} processes do, not {processes}"),
            );
        }
        if arguments.changes == 0 {
            return argument_error("changes", "1 at least".to_owned());
        }
        if !(1.0..=600.0).contains(&arguments.seconds) {
            return argument_error("seconds", "1 to 600".to_owned());
        }
        if arguments.seeds == 0 || arguments.seeds > 100 {
            return argument_error("seeds", "1 to 100".to_owned());
        }
        let list = arguments.list.unwrap_or(balancers);
        if list == 0 || list > 10_000 {
            return argument_error("list", "1 to 10000".to_owned());
        }
        Ok(Self {
            balancers,
            per_process,
            changes: if arguments.small { arguments.changes.min(24) } else { arguments.changes },
            list,
            seconds: if arguments.small { arguments.seconds.min(2.0) } else { arguments.seconds },
            idle: Duration::from_millis(if arguments.small { 200 } else { 5000 }),
        })
    }
}
