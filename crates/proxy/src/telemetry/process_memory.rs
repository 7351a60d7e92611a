//! The resident memory of this process, as the kernel reports it.

use std::fmt::{self, Display, Formatter};
use std::fs;

/// The resident memory of this process in KiB.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessMemory {
    /// Resident memory now.
    resident_kib: usize,
    /// Largest resident memory since the start.
    peak_kib: usize,
}

impl ProcessMemory {
    /// Reads the resident memory; `None` if the kernel does not report it, for example for want of a descriptor.
    #[must_use]
    pub fn read() -> Option<Self> {
        Self::parse(&fs::read_to_string("/proc/self/status").ok()?)
    }

    fn parse(status: &str) -> Option<Self> {
        let value = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name))?;
            line.trim().trim_end_matches(" kB").parse().ok()
        };
        Some(Self { resident_kib: value("VmRSS:")?, peak_kib: value("VmHWM:")? })
    }
}

impl Display for ProcessMemory {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} MiB resident, {} at most", self.resident_kib / 1024, self.peak_kib / 1024)
    }
}
