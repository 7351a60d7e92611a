//! Waiting for conditions, and time-outs.

use std::thread;
use std::time::{Duration, Instant};

/// Time-out after which an expected event counts as missing. Anything that works takes less time.
pub const HANG_TIMEOUT: Duration = Duration::from_secs(30);
/// Time within which a connection that is being closed is closed. It is short compared to the time-outs that the tests
/// configure.
pub const SHORT_TIMEOUT: Duration = Duration::from_secs(3);

/// Waits until `happened` returns a value, and returns that. `what` describes the condition in the panic message.
pub fn wait_for<T>(what: &str, mut happened: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(value) = happened() {
            return value;
        }
        assert!(start.elapsed() < HANG_TIMEOUT, "timed out waiting for: {what}");
        thread::sleep(Duration::from_millis(2));
    }
}
