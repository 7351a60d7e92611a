//! A preload library for tests: system calls of the program under test fail, or do less than they were asked for, as
//! its environment says. It is set as `LD_PRELOAD` of a program; no program is linked with it.
//!
//! A preload library and not a seam in the program: what the runtime, the standard library and the HTTP code make of a
//! failing call is part of what is tested, and the program under test is the one that is deployed.
//!
//! | Variable | Calls |
//! | --- | --- |
//! | `FAULT_ACCEPT` | `accept4` |
//! | `FAULT_SOCKET` | `socket`, of the internet families |
//! | `FAULT_CONNECT` | `connect` |
//! | `FAULT_READ` | `read`, `recv`, `recvfrom` on TCP sockets, but for a look ahead (`MSG_PEEK`) |
//! | `FAULT_WRITE` | `write`, `send`, `sendto`, `writev`, `sendmsg` on TCP sockets |
//! | `FAULT_WAIT` | `epoll_wait` |
//! | `FAULT_SO_ERROR` | `getsockopt` of `SO_ERROR`, which succeeds and gives the error |
//! | `FAULT_SETSOCKOPT` | `setsockopt` |
//! | `FAULT_LOG` | file to which a line is added for each fault: the variable's last part and the error or `short` |
//! | `FAULT_CLOCK` | file with the milliseconds, possibly negative, by which `CLOCK_REALTIME` is off |
//!
//! A variable that names calls holds parts `name=value`, separated by commas:
//!
//! | Part | Meaning |
//! | --- | --- |
//! | `errno=A+B` | the call is not made and fails with these errors in turn |
//! | `short=N` | the call reads or writes N bytes at most; with `errno`, later ones on its socket fail |
//! | `every=N` | one call in N is affected, drawn by its number from a fixed seed; all without this part |
//! | `skip=N` | the first N calls are not affected |
//! | `count=N` | no more than N calls are affected |
//! | `ports=A+B` | only sockets that the program connects to one of these ports |
//!
//! A call that does not fit the `ports` is not numbered. A word that is not understood ends the program: a test must
//! not pass since its fault was spelt wrong.
//!
//! The runtime takes a read or write that did less than asked for as a sign that the socket is used up, as epoll(7)
//! says for edge-triggered events, and waits for the next edge. After a call that was cut short that edge is brought
//! about by `EPOLL_CTL_MOD`.

#![warn(clippy::pedantic)]

mod clock;
mod descriptors;
mod faults;
mod wrappers;
