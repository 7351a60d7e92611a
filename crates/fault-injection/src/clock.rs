//! The offset of the wall clock.

use std::ffi::OsString;
use std::sync::OnceLock;
use std::{env, fs};

use libc::timespec;

const NANOS_PER_SECOND: i64 = 1_000_000_000;
const NANOS_PER_MILLISECOND: i64 = 1_000_000;

/// Reads the offset from the file that `FAULT_CLOCK` names, in milliseconds; 0 if the variable is not set or the file
/// cannot be read or parsed.
fn offset_ms() -> i64 {
    static PATH: OnceLock<Option<OsString>> = OnceLock::new();
    let path = PATH.get_or_init(|| env::var_os("FAULT_CLOCK"));
    let text = path.as_ref().and_then(|path| fs::read_to_string(path).ok());
    text.and_then(|text| text.trim().parse().ok()).unwrap_or(0)
}

/// Adds the current offset of the wall clock to a time.
pub fn shifted(time: timespec) -> timespec {
    let offset = offset_ms();
    let nanos = time.tv_nsec + offset % 1000 * NANOS_PER_MILLISECOND;
    timespec {
        tv_sec: time.tv_sec + offset / 1000 + nanos.div_euclid(NANOS_PER_SECOND),
        tv_nsec: nanos.rem_euclid(NANOS_PER_SECOND),
    }
}
