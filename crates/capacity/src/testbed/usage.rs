//! Resource usage of a process as the kernel reports it: CPU time, time waiting for a core, and memory. Also pins
//! threads to cores, without which such figures are not comparable.

use std::fs;
use std::path::PathBuf;
use std::process::Command;

use crate::CapacityError;

/// CPU time and scheduling statistics, summed over all threads of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// CPU time that all threads of the process have used, in nanoseconds.
    pub cpu_ns: u64,
    /// Time in which threads of the process were runnable and waited for a core, summed over them, in nanoseconds.
    pub waited_ns: u64,
    /// Number of times that a thread of the process was scheduled on a core.
    pub slices: u64,
}

impl Usage {
    /// Usage of the process with this id since its start.
    ///
    /// # Errors
    /// There is no such process, or the kernel's figures cannot be read.
    pub fn of(process: u32) -> Result<Self, CapacityError> {
        let folder = PathBuf::from(format!("/proc/{process}/task"));
        let mut usage = Self { cpu_ns: 0, waited_ns: 0, slices: 0 };
        for thread in fs::read_dir(&folder).map_err(|cause| CapacityError::file(&folder, cause))? {
            let path = thread.map_err(|cause| CapacityError::file(&folder, cause))?.path().join("schedstat");
            let text = fs::read_to_string(&path).map_err(|cause| CapacityError::file(&path, cause))?;
            let figures: Vec<u64> = text.split_whitespace().filter_map(|part| part.parse().ok()).collect();
            let &[cpu, waited, slices] = figures.as_slice() else {
                return Err(CapacityError::file(&path, "expected three figures"));
            };
            usage.cpu_ns += cpu;
            usage.waited_ns += waited;
            usage.slices += slices;
        }
        Ok(usage)
    }

    /// Difference between this usage and the earlier usage `before`.
    #[must_use]
    pub fn since(self, before: Self) -> Self {
        Self {
            cpu_ns: self.cpu_ns.saturating_sub(before.cpu_ns),
            waited_ns: self.waited_ns.saturating_sub(before.waited_ns),
            slices: self.slices.saturating_sub(before.slices),
        }
    }
}

/// Resident memory of a process, in KiB.
///
/// # Errors
/// There is no such process, or the kernel's figures cannot be read.
pub fn memory_kb(process: u32) -> Result<u64, CapacityError> {
    let path = PathBuf::from(format!("/proc/{process}/status"));
    let text = fs::read_to_string(&path).map_err(|cause| CapacityError::file(&path, cause))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next())
        .and_then(|value| value.parse().ok())
        .ok_or_else(|| CapacityError::file(&path, "no VmRSS"))
}

/// Pins this thread, and all threads and processes that it starts from now on, to `cores`, a list in the syntax of
/// `taskset`.
///
/// # Errors
/// `taskset` is missing or fails.
pub fn pin_to_cores(cores: &str) -> Result<(), CapacityError> {
    let place = format!("pinning a thread to cores {cores}");
    let own = fs::read_link("/proc/thread-self").map_err(|cause| CapacityError::run(&place, cause))?;
    let thread = own.file_name().unwrap_or_default();
    let done = Command::new("taskset").args(["-c", "-p", cores]).arg(thread).output();
    let done = done.map_err(|cause| CapacityError::run(&place, cause))?;
    if done.status.success() {
        Ok(())
    } else {
        Err(CapacityError::run(place, String::from_utf8_lossy(&done.stderr).trim()))
    }
}

/// Steal time since boot, in ms, summed over all cores: the time in which the hypervisor ran something else on the
/// cores of this machine; 0 if the kernel does not report it.
#[must_use]
pub fn steal_time_ms() -> u64 {
    // Steal time is the eighth figure of the first line, in hundredths of a second.
    let text = fs::read_to_string("/proc/stat").unwrap_or_default();
    let stolen = text.lines().next().and_then(|line| line.split_whitespace().nth(8)?.parse::<u64>().ok());
    stolen.unwrap_or(0) * 10
}
