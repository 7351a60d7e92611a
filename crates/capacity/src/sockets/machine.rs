//! Clocks and what the kernel tells of a process.

use std::fs;

use rustix::time::{ClockId, Timespec, clock_gettime};

/// A tick of the kernel's processor time, in nanoseconds.
const TICK_NS: u64 = 10_000_000;

/// Nanoseconds on a clock that all processes of the machine share and nobody sets.
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

/// What a process has used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Processor time, in nanoseconds.
    pub cpu_ns: u64,
    /// Memory that is resident, in KiB.
    pub resident_kb: u64,
}

/// Of a process; `None` once it has gone.
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

/// Memory of the machine, in KiB.
#[must_use]
pub fn memory_kb() -> Option<u64> {
    kilobytes(&fs::read_to_string("/proc/meminfo").ok()?, "MemTotal:")
}

fn kilobytes(text: &str, name: &str) -> Option<u64> {
    let line = text.lines().find_map(|line| line.strip_prefix(name))?;
    line.trim().trim_end_matches(" kB").parse().ok()
}
