//! Memory of a decision core, measured as the growth of a process that builds many cores.

use std::path::Path;
use std::process::Command;

use super::Size;
use super::loaded_core::{LoadedCore, REQUEST_DURATION_S};
use crate::CapacityError;
use crate::plan::Plan;

/// Resident memory of this process, in bytes.
///
/// # Errors
/// `/proc/self/status` cannot be read or has no resident size.
pub fn resident_bytes() -> Result<u64, CapacityError> {
    let path = Path::new("/proc/self/status");
    let text = std::fs::read_to_string(path).map_err(|cause| CapacityError::file(path, cause))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|rest| rest.split_whitespace().next()).and_then(|word| word.parse::<u64>().ok());
    kib.map(|kib| kib * 1024).ok_or_else(|| CapacityError::file(path, "no VmRSS line with a size in kB"))
}

/// Builds `count` decision cores in this process and returns their mean size in bytes.
pub(super) fn core_bytes(plan: &Plan, size: Size, count: usize, seed: u64) -> Result<u64, CapacityError> {
    let mut cores = Vec::with_capacity(count);
    let mut build = |number: u64| -> Result<(), CapacityError> {
        let mut core = LoadedCore::new(plan, size, seed + number)?;
        for _ in 0..size.in_flight {
            core.now += REQUEST_DURATION_S / size.in_flight as f64;
            core.start_request();
        }
        if core.outstanding.len() != size.in_flight {
            return Err(CapacityError::run(
                format!("decisions, {size:?}"),
                "the core did not send all requests",
            ));
        }
        cores.push(core.balancer);
        Ok(())
    };
    // The first core is built before the measurement, as it also brings in memory that is needed only once, such as
    // pages of code.
    build(0)?;
    let before = resident_bytes()?;
    for number in 1..=count as u64 {
        build(number)?;
    }
    let after = resident_bytes()?;
    drop(cores);
    Ok(after.saturating_sub(before) / count.max(1) as u64)
}

/// Measures the bytes of a decision core in a fresh process, which builds as many cores as take about `target_bytes`
/// bytes.
pub(super) fn core_bytes_in_child(size: Size, target_bytes: usize, seed: u64) -> Result<f64, CapacityError> {
    let place = format!("decisions, bytes of {size:?}");
    let estimated_core_bytes = 2500 + size.upstreams * 250 + size.tenants * 400 + size.in_flight * 300;
    let count = (target_bytes / estimated_core_bytes).max(4);
    let Size { upstreams, tenants, in_flight } = size;
    let program = std::env::current_exe().map_err(|cause| CapacityError::run(&place, cause))?;
    // A `--plan` argument of this process is passed on to the child.
    let plan_arguments: Vec<String> = std::env::args().skip_while(|word| word != "--plan").take(2).collect();
    let child_output = Command::new(program)
        .args(plan_arguments)
        .args(["decisions", "--seed", &seed.to_string(), "--hold"])
        .arg(format!("{upstreams},{tenants},{in_flight},{count}"))
        .output()
        .map_err(|cause| CapacityError::run(&place, cause))?;
    if !child_output.status.success() {
        return Err(CapacityError::run(place, String::from_utf8_lossy(&child_output.stderr).trim()));
    }
    let text = String::from_utf8_lossy(&child_output.stdout);
    text.trim()
        .parse()
        .map_err(|_| CapacityError::run(place, format!("the child process printed no number: {text}")))
}
