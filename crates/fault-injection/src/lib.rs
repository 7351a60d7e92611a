//! A preload library for tests. It makes system calls of the program under test fail, or transfer fewer bytes than
//! requested, as set by environment variables. It is loaded through `LD_PRELOAD`; no program is linked with it.
//!
//! Faults are injected by a preload library rather than by hooks in the program, so that the tests cover how the
//! runtime, the standard library and the HTTP code react to a failed call, and run the same program that is deployed.
//!
//! | Variable | Calls that are affected, or file |
//! | --- | --- |
//! | `FAULT_ACCEPT` | `accept4` |
//! | `FAULT_SOCKET` | `socket` for IPv4 and IPv6 |
//! | `FAULT_CONNECT` | `connect` |
//! | `FAULT_READ` | `read`, `recv`, `recvfrom` on TCP sockets, except with `MSG_PEEK` |
//! | `FAULT_WRITE` | `write`, `send`, `sendto`, `writev`, `sendmsg` on TCP sockets |
//! | `FAULT_WAIT` | `epoll_wait` |
//! | `FAULT_SO_ERROR` | `getsockopt` of `SO_ERROR`, which succeeds and returns the error as the option's value |
//! | `FAULT_SETSOCKOPT` | `setsockopt` |
//! | `FAULT_SEND_BUFFER` | size in bytes of the send buffers of all TCP sockets, so that a peer that reads slowly blocks writes |
//! | `FAULT_LOG` | file to which a line is appended for each fault: the variable's suffix and the error or `short` |
//! | `FAULT_CLOCK` | file with the offset that is added to `CLOCK_REALTIME`, in milliseconds, possibly negative |
//!
//! A variable that selects calls holds parts of the form `name=value`, separated by commas:
//!
//! | Part | Meaning |
//! | --- | --- |
//! | `errno=A+B` | an affected call is not made and fails, with each of these errors in turn |
//! | `short=N` | an affected call transfers N bytes at most; with `errno`, all later transfers on its socket fail |
//! | `every=N` | one call in N is affected, selected by a hash of its number with a fixed seed; default: every call |
//! | `skip=N` | the first N calls are not affected |
//! | `count=N` | at most N calls are affected |
//! | `ports=A+B` | only calls on sockets that the program connects to one of these ports are affected |
//!
//! Calls on sockets that do not match `ports` are not counted. A value that cannot be parsed aborts the program, so
//! that a test cannot pass because its fault was misspelt.
//!
//! The runtime concludes from a read or write of fewer bytes than requested that the socket is not ready any more, as
//! epoll(7) states for edge-triggered events, and waits for the next edge. After a shortened call this library triggers
//! that edge by `EPOLL_CTL_MOD`.

#![warn(clippy::pedantic)]

mod clock;
mod descriptors;
mod faults;
mod send_buffer;
mod wrappers;
