//! Clocks, and the kernel's figures of processes.

use std::fs;

use rustix::time::{ClockId, Timespec, clock_gettime};

/// A clock tick of `/proc/PID/stat`, in nanoseconds.
const TICK_NS: u64 = 10_000_000;

/// The monotonic clock, which all processes of the machine share, in nanoseconds.
#[must_use]
pub fn now_ns() -> u64 {
    nanoseconds(clock_gettime(ClockId::Monotonic))
}

/// Processor time of the calling thread, in nanoseconds.
#[must_use]
pub fn thread_ns() -> u64 {
    nanoseconds(clock_gettime(ClockId::ThreadCPUTime))
}

fn nanoseconds(time: Timespec) -> u64 {
    time.tv_sec.unsigned_abs() * 1_000_000_000 + time.tv_nsec.unsigned_abs()
}

/// Resources that a process has used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Processor time, in nanoseconds.
    pub cpu_ns: u64,
    /// Resident memory, in KiB.
    pub resident_kb: u64,
}

/// The usage of a process; `None` once it has exited.
#[must_use]
pub fn usage(pid: u32) -> Option<Usage> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_ascii_whitespace().collect();
    let ticks = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
    // The scheduler's own figures are finer, but forget threads that have ended.
    let threads = fs::read_dir(format!("/proc/{pid}/task")).ok()?;
    let fine: u64 = threads
        .flatten()
        .filter_map(|thread| fs::read_to_string(thread.path().join("schedstat")).ok())
        .filter_map(|text| text.split_ascii_whitespace().next()?.parse::<u64>().ok())
        .sum();
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    Some(Usage { cpu_ns: fine.max(ticks * TICK_NS), resident_kb: kilobytes(&status, "VmRSS:")? })
}

/// Total memory of the machine, in KiB; `None` where the kernel does not say.
#[must_use]
pub fn memory_kb() -> Option<u64> {
    kilobytes(&fs::read_to_string("/proc/meminfo").ok()?, "MemTotal:")
}

fn kilobytes(text: &str, name: &str) -> Option<u64> {
    let line = text.lines().find_map(|line| line.strip_prefix(name))?;
    line.trim().trim_end_matches(" kB").parse().ok()
}
