//! The wrapped functions. Each has the signature and the contract of the C library function of the same name. It calls
//! that function with the same arguments, or with fewer bytes, unless the call is to fail.

use std::ffi::CStr;
use std::mem::transmute;
use std::ptr;
use std::sync::OnceLock;

use libc::{
    c_int, c_void, clockid_t, epoll_event, iovec, msghdr, size_t, sockaddr, socklen_t, ssize_t, timespec,
};

use crate::clock;
use crate::descriptors::{self, EpollRegistration};
use crate::faults::{self, Call, Fault, log_short};
use crate::send_buffer;

/// Returns the address of the C library function of this name.
fn address_of(name: &CStr) -> usize {
    // SAFETY: the name is a C string, and a call with `RTLD_NEXT` has no further requirement.
    let address = unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) };
    assert!(!address.is_null(), "function not found in the C library: {name:?}");
    address as usize
}

/// Calls the C library function of a name: `real!(name(argument => type, ...) -> type)`.
macro_rules! real {
    ($name:ident($($argument:expr => $type:ty),*) -> $result:ty) => {{
        static ADDRESS: OnceLock<usize> = OnceLock::new();
        let Ok(name) = CStr::from_bytes_with_nul(concat!(stringify!($name), "\0").as_bytes()) else {
            unreachable!("the name has no zero byte")
        };
        let address = *ADDRESS.get_or_init(|| address_of(name));
        // SAFETY: the function of this name has this signature. The wrapper has the same contract, so its caller has
        // ensured that the arguments are valid.
        unsafe {
            transmute::<usize, unsafe extern "C" fn($($type),*) -> $result>(address)($($argument),*)
        }
    }};
}

/// Sets `errno` to this error and returns -1.
fn fail(error: c_int) -> c_int {
    // SAFETY: the location belongs to this thread and is valid for the lifetime of the thread.
    unsafe { *libc::__errno_location() = error };
    -1
}

/// Triggers a new edge for a descriptor after a shortened call, because the runtime takes the descriptor to be not
/// ready after a transfer of fewer bytes than requested.
fn trigger_edge(descriptor: c_int) {
    let watched = descriptors::find(descriptor).and_then(|socket| socket.watched);
    if let Some(EpollRegistration { epoll, events, data }) = watched {
        let mut event = epoll_event { events, u64: data };
        real!(epoll_ctl(
            epoll => c_int, libc::EPOLL_CTL_MOD => c_int, descriptor => c_int, &raw mut event => *mut epoll_event
        ) -> c_int);
    }
}

/// Performs a transfer of `length` bytes with the fault that applies to it, if any. `call_real` calls the C library
/// for the given number of bytes.
fn transfer(call: Call, descriptor: c_int, length: usize, call_real: impl Fn(usize) -> ssize_t) -> ssize_t {
    if let Some(error) = descriptors::find(descriptor).and_then(|socket| socket.broken) {
        return fail(error) as ssize_t;
    }
    let (limit, error) = match faults::next_fault_on(call, descriptor) {
        Some(Fault::Fails(error)) => return fail(error) as ssize_t,
        Some(Fault::Short(limit, error)) if limit < length || limit == length && error.is_some() => {
            (limit, error)
        }
        _ => return call_real(length),
    };
    let returned = call_real(limit);
    // A call that transferred even fewer bytes found that the socket was not ready any more, so no edge is missing.
    if returned == limit.cast_signed() {
        log_short(call);
        if let Some(error) = error {
            descriptors::record_error(descriptor, error);
        }
        trigger_edge(descriptor);
    }
    returned
}

/// Returns the error with which a call other than a transfer is to fail.
fn error_of(fault: Option<Fault>) -> Option<c_int> {
    match fault? {
        Fault::Fails(error) => Some(error),
        Fault::Short(..) => None,
    }
}

// --- Sockets ---

/// Wrapper that replaces the C library's `socket(2)`: for IPv4 and IPv6 it injects the fault that `FAULT_SOCKET`
/// selects; otherwise it calls the original and adds the new IPv4 or IPv6 socket to the table of sockets.
///
/// # Safety
/// As for the C library function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    let internet = domain == libc::AF_INET || domain == libc::AF_INET6;
    if internet && let Some(error) = error_of(faults::next_fault(Call::Socket, None)) {
        return fail(error);
    }
    let descriptor = real!(socket(domain => c_int, kind => c_int, protocol => c_int) -> c_int);
    if internet && descriptor >= 0 {
        descriptors::record_opened(descriptor);
        send_buffer::limit(descriptor);
    }
    descriptor
}

/// Wrapper that replaces the C library's `accept4(2)`: fails with the error that `FAULT_ACCEPT` selects, or calls the
/// original and adds the accepted socket to the table of sockets.
///
/// # Safety
/// As for the C library function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    listener: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if let Some(error) = error_of(faults::next_fault_on(Call::Accept, listener)) {
        return fail(error);
    }
    let descriptor = real!(accept4(
        listener => c_int, address => *mut sockaddr, length => *mut socklen_t, flags => c_int
    ) -> c_int);
    if descriptor >= 0 && descriptors::find(listener).is_some() {
        descriptors::record_opened(descriptor);
    }
    descriptor
}

/// Returns the port of an address; `None` if it is neither an IPv4 nor an IPv6 address.
///
/// # Safety
/// `address` points to an address that has the length required by its family.
#[allow(clippy::cast_ptr_alignment, reason = "the program under test passes a complete, aligned address")]
unsafe fn port_of(address: *const sockaddr) -> Option<u16> {
    // SAFETY: every address begins with its family, and the caller ensures that it has the length of that family.
    unsafe {
        match c_int::from((*address).sa_family) {
            libc::AF_INET => Some(u16::from_be((*address.cast::<libc::sockaddr_in>()).sin_port)),
            libc::AF_INET6 => Some(u16::from_be((*address.cast::<libc::sockaddr_in6>()).sin6_port)),
            _ => None,
        }
    }
}

/// Wrapper that replaces the C library's `connect(2)`: records the port of an IPv4 or IPv6 address, and fails with the
/// error that `FAULT_CONNECT` selects or calls the original.
///
/// # Safety
/// As for the C library function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(descriptor: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    // SAFETY: the caller passes an address of this length.
    if let Some(port) = unsafe { port_of(address) } {
        descriptors::record_port(descriptor, port);
        if let Some(error) = error_of(faults::next_fault_on(Call::Connect, descriptor)) {
            return fail(error);
        }
    }
    real!(connect(descriptor => c_int, address => *const sockaddr, length => socklen_t) -> c_int)
}

/// Wrapper that replaces the C library's `close(2)`: removes the descriptor from the table of sockets and calls the
/// original. No variable makes it fail.
///
/// # Safety
/// As for the C library function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn close(descriptor: c_int) -> c_int {
    descriptors::record_closed(descriptor);
    real!(close(descriptor => c_int) -> c_int)
}

/// Wrapper that replaces the C library's `getsockopt(2)`: always calls the original, and for `SO_ERROR` replaces the
/// returned value by the error that `FAULT_SO_ERROR` selects, if any.
///
/// # Safety
/// As for the C library function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn getsockopt(
    descriptor: c_int,
    level: c_int,
    name: c_int,
    value: *mut c_void,
    length: *mut socklen_t,
) -> c_int {
    let returned = real!(getsockopt(
        descriptor => c_int, level => c_int, name => c_int, value => *mut c_void, length => *mut socklen_t
    ) -> c_int);
    if returned == 0
        && (level, name) == (libc::SOL_SOCKET, libc::SO_ERROR)
        && let Some(error) = error_of(faults::next_fault_on(Call::SoError, descriptor))
    {
        // SAFETY: the value of this option is a C integer, which the call has just written there.
        unsafe { *value.cast::<c_int>() = error };
    }
    returned
}

/// Wrapper that replaces the C library's `setsockopt(2)`: fails with the error that `FAULT_SETSOCKOPT` selects, or
/// calls the original.
///
/// # Safety
/// As for the C library function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn setsockopt(
    descriptor: c_int,
    level: c_int,
    name: c_int,
    value: *const c_void,
    length: socklen_t,
) -> c_int {
    if let Some(error) = error_of(faults::next_fault_on(Call::SetSockOpt, descriptor)) {
        return fail(error);
    }
    real!(setsockopt(
        descriptor => c_int, level => c_int, name => c_int, value => *const c_void, length => socklen_t
    ) -> c_int)
}

// --- Reads ---

/// Wrapper that replaces the C library's `read(2)`: on a TCP socket it fails or reads fewer bytes as `FAULT_READ`
/// selects; otherwise it calls the original unchanged.
///
/// # Safety
/// As for the C library function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn read(descriptor: c_int, buffer: *mut c_void, length: size_t) -> ssize_t {
    transfer(
        Call::Read,
        descriptor,
        length,
        |length| real!(read(descriptor => c_int, buffer => *mut c_void, length => size_t) -> ssize_t),
    )
}

/// Wrapper that replaces the C library's `recv(2)`: on a TCP socket it fails or reads fewer bytes as `FAULT_READ`
/// selects; otherwise, and with `MSG_PEEK`, it calls the original unchanged.
///
/// # Safety
/// As for the C library function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(
    descriptor: c_int,
    buffer: *mut c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    let call_real = |length| {
        real!(recv(
            descriptor => c_int, buffer => *mut c_void, length => size_t, flags => c_int
        ) -> ssize_t)
    };
    if flags & libc::MSG_PEEK != 0 {
        return call_real(length);
    }
    transfer(Call::Read, descriptor, length, call_real)
}

/// Wrapper that replaces the C library's `recvfrom(2)`: on a TCP socket it fails or reads fewer bytes as `FAULT_READ`
/// selects; otherwise, and with `MSG_PEEK`, it calls the original unchanged.
///
/// # Safety
/// As for the C library function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recvfrom(
    descriptor: c_int,
    buffer: *mut c_void,
    length: size_t,
    flags: c_int,
    address: *mut sockaddr,
    address_length: *mut socklen_t,
) -> ssize_t {
    let call_real = |length| {
        real!(recvfrom(
            descriptor => c_int, buffer => *mut c_void, length => size_t, flags => c_int,
            address => *mut sockaddr, address_length => *mut socklen_t
        ) -> ssize_t)
    };
    if flags & libc::MSG_PEEK != 0 {
        return call_real(length);
    }
    transfer(Call::Read, descriptor, length, call_real)
}

// --- Writes ---

/// Wrapper that replaces the C library's `write(2)`: on a TCP socket it fails or writes fewer bytes as `FAULT_WRITE`
/// selects; otherwise it calls the original unchanged.
///
/// # Safety
/// As for the C library function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(descriptor: c_int, buffer: *const c_void, length: size_t) -> ssize_t {
    transfer(
        Call::Write,
        descriptor,
        length,
        |length| real!(write(descriptor => c_int, buffer => *const c_void, length => size_t) -> ssize_t),
    )
}

/// Wrapper that replaces the C library's `send(2)`: on a TCP socket it fails or writes fewer bytes as `FAULT_WRITE`
/// selects; otherwise it calls the original unchanged.
///
/// # Safety
/// As for the C library function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(
    descriptor: c_int,
    buffer: *const c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    transfer(Call::Write, descriptor, length, |length| {
        real!(send(
            descriptor => c_int, buffer => *const c_void, length => size_t, flags => c_int
        ) -> ssize_t)
    })
}

/// Wrapper that replaces the C library's `sendto(2)`: on a TCP socket it fails or writes fewer bytes as `FAULT_WRITE`
/// selects; otherwise it calls the original unchanged.
///
/// # Safety
/// As for the C library function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn sendto(
    descriptor: c_int,
    buffer: *const c_void,
    length: size_t,
    flags: c_int,
    address: *const sockaddr,
    address_length: socklen_t,
) -> ssize_t {
    transfer(Call::Write, descriptor, length, |length| {
        real!(sendto(
            descriptor => c_int, buffer => *const c_void, length => size_t, flags => c_int,
            address => *const sockaddr, address_length => socklen_t
        ) -> ssize_t)
    })
}

/// Returns the total length of the buffers, and a copy of them that is truncated to `limit` bytes in all.
///
/// # Safety
/// `parts` points to `count` buffers.
unsafe fn truncated(parts: *const iovec, count: usize, limit: usize) -> (usize, Vec<iovec>) {
    let (mut length, mut first) = (0, Vec::new());
    for place in 0..count {
        // SAFETY: `parts` points to `count` buffers, and `place` is less than that.
        let mut part = unsafe { *parts.add(place) };
        let left = limit.saturating_sub(length);
        length += part.iov_len;
        part.iov_len = part.iov_len.min(left);
        first.push(part);
    }
    (length, first)
}

/// Wrapper that replaces the C library's `writev(2)`: on a TCP socket it fails or writes fewer bytes as `FAULT_WRITE`
/// selects; otherwise it calls the original unchanged.
///
/// # Safety
/// As for the C library function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn writev(descriptor: c_int, parts: *const iovec, count: c_int) -> ssize_t {
    let number = usize::try_from(count).unwrap_or(0);
    // SAFETY: the caller passes an array of `count` buffers.
    let (length, _) = unsafe { truncated(parts, number, 0) };
    transfer(Call::Write, descriptor, length, |limit| {
        // SAFETY: the buffers are still those of the caller.
        let (_, first) = unsafe { truncated(parts, number, limit) };
        real!(writev(descriptor => c_int, first.as_ptr() => *const iovec, count => c_int) -> ssize_t)
    })
}

/// Wrapper that replaces the C library's `sendmsg(2)`: on a TCP socket it fails or writes fewer bytes as `FAULT_WRITE`
/// selects; otherwise it calls the original unchanged.
///
/// # Safety
/// As for the C library function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn sendmsg(descriptor: c_int, message: *const msghdr, flags: c_int) -> ssize_t {
    // SAFETY: the caller passes a valid message with as many buffers as it states.
    let (original, (length, _)) =
        unsafe { (*message, truncated((*message).msg_iov, (*message).msg_iovlen, 0)) };
    transfer(Call::Write, descriptor, length, |limit| {
        // SAFETY: the buffers are still those of the caller.
        let (_, mut first) = unsafe { truncated(original.msg_iov, original.msg_iovlen, limit) };
        let message = msghdr { msg_iov: first.as_mut_ptr(), ..original };
        real!(sendmsg(descriptor => c_int, &raw const message => *const msghdr, flags => c_int) -> ssize_t)
    })
}

// --- Events ---

/// Wrapper that replaces the C library's `epoll_ctl(2)`: calls the original and records the socket's registration, with
/// which an edge is triggered after a shortened transfer. No variable makes it fail.
///
/// # Safety
/// As for the C library function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_ctl(
    epoll: c_int,
    operation: c_int,
    descriptor: c_int,
    event: *mut epoll_event,
) -> c_int {
    let returned = real!(epoll_ctl(
        epoll => c_int, operation => c_int, descriptor => c_int, event => *mut epoll_event
    ) -> c_int);
    if returned == 0 {
        let watched = (operation != libc::EPOLL_CTL_DEL).then(|| {
            // SAFETY: the call has succeeded and every operation but a removal requires a valid event, which may be
            // unaligned.
            let event = unsafe { ptr::read_unaligned(event) };
            EpollRegistration { epoll, events: event.events, data: event.u64 }
        });
        descriptors::watched(descriptor, watched);
    }
    returned
}

/// Wrapper that replaces the C library's `epoll_wait(2)`: fails with the error that `FAULT_WAIT` selects, or calls the
/// original.
///
/// # Safety
/// As for the C library function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_wait(
    epoll: c_int,
    events: *mut epoll_event,
    limit: c_int,
    timeout_ms: c_int,
) -> c_int {
    if let Some(error) = error_of(faults::next_fault(Call::Wait, None)) {
        return fail(error);
    }
    real!(epoll_wait(
        epoll => c_int, events => *mut epoll_event, limit => c_int, timeout_ms => c_int
    ) -> c_int)
}

// --- Clock ---

/// Wrapper that replaces the C library's `clock_gettime(2)`: calls the original, and adds the offset in the file that
/// `FAULT_CLOCK` names to the time of `CLOCK_REALTIME`.
///
/// # Safety
/// As for the C library function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    let returned = real!(clock_gettime(clock => clockid_t, time => *mut timespec) -> c_int);
    if returned == 0 && clock == libc::CLOCK_REALTIME {
        // SAFETY: the call has just written the time there.
        unsafe { *time = clock::shifted(*time) };
    }
    returned
}
