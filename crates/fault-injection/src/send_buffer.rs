//! The size of the send buffers of TCP sockets, as set by `FAULT_SEND_BUFFER`. Accepted sockets inherit it from their
//! listener.

use std::env;
use std::process::abort;
use std::sync::OnceLock;

use libc::{c_int, c_void, socklen_t};

/// Returns the size from the environment; `None` if it is not set.
fn size() -> Option<c_int> {
    static SIZE: OnceLock<Option<c_int>> = OnceLock::new();
    *SIZE.get_or_init(|| {
        let text = env::var("FAULT_SEND_BUFFER").ok()?;
        let Ok(size) = text.parse() else { abort() };
        Some(size)
    })
}

/// Sets the size of the send buffer of a socket, if the environment has one.
pub fn limit(descriptor: c_int) {
    let Some(size) = size() else { return };
    #[allow(clippy::cast_possible_truncation, reason = "an integer has a few bytes")]
    let length = size_of::<c_int>() as socklen_t;
    // SAFETY: the pointer is to a value of the given length that lives as long as the call.
    let set = unsafe {
        libc::syscall(
            libc::SYS_setsockopt,
            descriptor,
            libc::SOL_SOCKET,
            libc::SO_SNDBUF,
            (&raw const size).cast::<c_void>(),
            length,
        )
    };
    if set != 0 {
        abort();
    }
}
