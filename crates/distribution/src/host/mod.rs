//! Hosts around the core: sockets, timers, disk.

pub mod watch;
