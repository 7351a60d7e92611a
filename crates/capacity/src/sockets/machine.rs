//! Clocks, and the resource usage of processes as the kernel reports it.

use std::fs;

use rustix::time::{ClockId, Timespec, clock_gettime};

/// Length of a clock tick in `/proc/PID/stat`, in nanoseconds.
const TICK_NS: u64 = 10_000_000;

/// Reads the monotonic clock, which all processes of the machine share, in nanoseconds.
#[must_use]
pub fn now_ns() -> u64 {
    nanoseconds(clock_gettime(ClockId::Monotonic))
}

/// Returns the processor time that the calling thread has used, in nanoseconds.
#[must_use]
pub fn thread_ns() -> u64 {
    nanoseconds(clock_gettime(ClockId::ThreadCPUTime))
}

fn nanoseconds(time: Timespec) -> u64 {
    time.tv_sec.unsigned_abs() * 1_000_000_000 + time.tv_nsec.unsigned_abs()
}

/// Resources used by a process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Processor time that the process has used since its start, in nanoseconds.
    pub cpu_ns: u64,
    /// Resident memory of the process, in KiB.
    pub resident_kb: u64,
}

/// Returns the resources used by a process; `None` if it has exited.
#[must_use]
pub fn usage(pid: u32) -> Option<Usage> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_ascii_whitespace().collect();
    let ticks = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
    // `schedstat` has a finer resolution than the ticks in `stat`, but does not include threads that have ended.
    let threads = fs::read_dir(format!("/proc/{pid}/task")).ok()?;
    let schedstat_ns: u64 = threads
        .flatten()
        .filter_map(|thread| fs::read_to_string(thread.path().join("schedstat")).ok())
        .filter_map(|text| text.split_ascii_whitespace().next()?.parse::<u64>().ok())
        .sum();
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    Some(Usage { cpu_ns: schedstat_ns.max(ticks * TICK_NS), resident_kb: kb_field(&status, "VmRSS:")? })
}

/// Returns the total memory of the machine in KiB; `None` if the kernel does not report it.
#[must_use]
pub fn memory_kb() -> Option<u64> {
    kb_field(&fs::read_to_string("/proc/meminfo").ok()?, "MemTotal:")
}

fn kb_field(text: &str, name: &str) -> Option<u64> {
    let line = text.lines().find_map(|line| line.strip_prefix(name))?;
    line.trim().trim_end_matches(" kB").parse().ok()
}
