//! The resources used in a span of a run, computed from the totals at its start and its end.

use std::time::Instant;

use super::control_plane::{ControlProcess, Role};
use super::machine;

/// Resources that all processes have used up to one moment of a run.
pub(super) struct Totals {
    /// Time at which the resource totals were read.
    pub(super) at: Instant,
    /// Sum of the usage of all processes of hollow balancers.
    pub(super) balancers: machine::Usage,
    /// Bytes on the configuration connections of all balancers, in both directions.
    pub(super) configuration_bytes: u64,
    /// Bytes on all connections of the list server, in both directions.
    pub(super) list_bytes: u64,
    /// Configuration bytes of the busiest balancer in its busiest window since the previous totals were read.
    pub(super) most_in_window: u64,
    /// Usage of each control process, by its index.
    pub(super) control: Vec<ControlUsage>,
}

/// Resources that a control process has used since its start.
pub(super) struct ControlUsage {
    /// Processor time and memory that the control process has used.
    pub(super) process: machine::Usage,
    /// Bytes in both directions on the connections of this process to other control processes and to balancers.
    pub(super) bytes: u64,
}

/// The largest value of a measure among the control processes, and the role of the process that has it.
pub(super) struct Busiest {
    pub(super) figure: f64,
    pub(super) role: Role,
}

/// The resources used per second in the span between two [`Totals`]s.
pub(super) struct Cost {
    /// Bytes per second on the configuration and endpoint list connections of one balancer, on average.
    pub(super) bytes_per_s: f64,
    /// Number of cores used by one hollow balancer, on average.
    pub(super) cpu_cores: f64,
    /// Number of cores used by the control process that used the most processor time.
    pub(super) control_cpu_cores: Busiest,
    /// Bytes per second on the connections of the control process with the most bytes, in both directions.
    pub(super) control_bytes_per_s: Busiest,
}

impl Cost {
    pub(super) fn between(from: &Totals, to: &Totals, balancers: usize, machines: &[ControlProcess]) -> Self {
        let seconds = (to.at - from.at).as_secs_f64();
        let per_second = |from: u64, to: u64| to.saturating_sub(from) as f64 / seconds;
        let busiest = |cost: &dyn Fn(usize) -> f64| {
            let costs = machines.iter().enumerate().map(|(index, machine)| (cost(index), machine.role));
            let largest = costs.max_by(|one, other| one.0.total_cmp(&other.0));
            let (figure, role) = largest.unwrap_or((0.0, Role::Origin));
            Busiest { figure, role }
        };
        let (before, after) = (&from.control, &to.control);
        Self {
            bytes_per_s: (per_second(from.configuration_bytes, to.configuration_bytes)
                + per_second(from.list_bytes, to.list_bytes))
                / balancers as f64,
            cpu_cores: per_second(from.balancers.cpu_ns, to.balancers.cpu_ns) / 1e9 / balancers as f64,
            control_cpu_cores: busiest(&|index| {
                per_second(before[index].process.cpu_ns, after[index].process.cpu_ns) / 1e9
            }),
            control_bytes_per_s: busiest(&|index| per_second(before[index].bytes, after[index].bytes)),
        }
    }
}
