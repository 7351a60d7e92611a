//! The faults that the environment variables specify, and the selection of the calls that they affect.

use std::env;
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::os::fd::RawFd;
use std::process::abort;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

use libc::c_int;

use crate::descriptors;

/// Seed of the selection of the calls that are affected by `every=N`.
const SEED: u64 = 0x5eed_0ffa;

/// The errors that `errno` accepts, by name.
const ERRORS: [(&str, c_int); 22] = [
    ("EACCES", libc::EACCES),
    ("EADDRINUSE", libc::EADDRINUSE),
    ("EADDRNOTAVAIL", libc::EADDRNOTAVAIL),
    ("EAGAIN", libc::EAGAIN),
    ("ECONNABORTED", libc::ECONNABORTED),
    ("ECONNREFUSED", libc::ECONNREFUSED),
    ("ECONNRESET", libc::ECONNRESET),
    ("EHOSTUNREACH", libc::EHOSTUNREACH),
    ("EINTR", libc::EINTR),
    ("EINVAL", libc::EINVAL),
    ("EIO", libc::EIO),
    ("EMFILE", libc::EMFILE),
    ("ENETDOWN", libc::ENETDOWN),
    ("ENETUNREACH", libc::ENETUNREACH),
    ("ENFILE", libc::ENFILE),
    ("ENOBUFS", libc::ENOBUFS),
    ("ENOMEM", libc::ENOMEM),
    ("ENOPROTOOPT", libc::ENOPROTOOPT),
    ("EPERM", libc::EPERM),
    ("EPIPE", libc::EPIPE),
    ("EPROTO", libc::EPROTO),
    ("ETIMEDOUT", libc::ETIMEDOUT),
];

/// A kind of system call, which one environment variable affects.
#[derive(Debug, Clone, Copy)]
pub enum Call {
    /// `accept4`; variable `FAULT_ACCEPT`.
    Accept,
    /// `socket` for IPv4 and IPv6; variable `FAULT_SOCKET`.
    Socket,
    /// `connect`; variable `FAULT_CONNECT`.
    Connect,
    /// `read`, `recv` and `recvfrom`; variable `FAULT_READ`.
    Read,
    /// `write`, `send`, `sendto`, `writev` and `sendmsg`; variable `FAULT_WRITE`.
    Write,
    /// `epoll_wait`; variable `FAULT_WAIT`.
    Wait,
    /// `getsockopt` of `SO_ERROR`; variable `FAULT_SO_ERROR`.
    SoError,
    /// `setsockopt`; variable `FAULT_SETSOCKOPT`.
    SetSockOpt,
}

/// Suffixes of the `FAULT_` environment variables that select calls, in the order of the variants of [`Call`].
const CALLS: [&str; 8] = ["ACCEPT", "SOCKET", "CONNECT", "READ", "WRITE", "WAIT", "SO_ERROR", "SETSOCKOPT"];

/// The fault that is injected into a call.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// The call is not made and fails with this error.
    Fails(c_int),
    /// The call transfers at most this number of bytes. If an error is given, all later transfers on the socket fail
    /// with it.
    Short(usize, Option<c_int>),
}

/// The faults for one kind of call, as parsed from its environment variable, and the counts of its calls so far.
#[derive(Debug, Default)]
struct Plan {
    /// Suffix of the environment variable, such as `READ`.
    name: &'static str,
    /// Errors to inject in turn, as name and number; empty if affected calls are only shortened.
    errors: Vec<(String, c_int)>,
    /// Maximum number of bytes that an affected call transfers; `None` if affected calls fail instead.
    short: Option<usize>,
    /// One in this many calls is affected.
    every: u64,
    /// Number of first calls that are not affected.
    skip: u64,
    /// Maximum number of calls that are affected.
    count: u64,
    /// Ports to which a socket must connect for its calls to be affected; empty if all sockets are meant.
    ports: Vec<u16>,
    /// Number of calls so far on sockets that match `ports`.
    calls: AtomicU64,
    /// Number of calls so far that `every` and `skip` selected, including those beyond `count`.
    affected: AtomicU64,
}

impl Plan {
    fn parse(name: &'static str, text: &str) -> Option<Self> {
        let mut plan = Self { name, every: 1, count: u64::MAX, ..Self::default() };
        for part in text.split(',') {
            let (key, value) = part.split_once('=')?;
            match key {
                "errno" => plan.errors = value.split('+').map(error).collect::<Option<_>>()?,
                "short" => plan.short = Some(value.parse().ok().filter(|&bytes| bytes > 0)?),
                "every" => plan.every = value.parse().ok().filter(|&every| every > 0)?,
                "skip" => plan.skip = value.parse().ok()?,
                "count" => plan.count = value.parse().ok()?,
                "ports" => {
                    plan.ports = value.split('+').map(|port| port.parse().ok()).collect::<Option<_>>()?;
                }
                _ => return None,
            }
        }
        (plan.short.is_some() || !plan.errors.is_empty()).then_some(())?;
        Some(plan)
    }

    fn next_fault(&self, port: Option<u16>) -> Option<Fault> {
        if !self.ports.is_empty() && !port.is_some_and(|port| self.ports.contains(&port)) {
            return None;
        }
        let number = self.calls.fetch_add(1, Ordering::Relaxed);
        if number < self.skip || !mix(SEED ^ number).is_multiple_of(self.every) {
            return None;
        }
        let affected = self.affected.fetch_add(1, Ordering::Relaxed);
        if affected >= self.count {
            return None;
        }
        #[allow(
            clippy::cast_possible_truncation,
            reason = "less than the number of errors, which is a usize"
        )]
        let turn = (affected % self.errors.len().max(1) as u64) as usize;
        let error = self.errors.get(turn);
        if let Some((text, _)) = error {
            log(self.name, text);
        }
        let error = error.map(|(_, error)| *error);
        match self.short {
            Some(bytes) => Some(Fault::Short(bytes, error)),
            None => error.map(Fault::Fails),
        }
    }
}

fn error(name: &str) -> Option<(String, c_int)> {
    ERRORS.iter().find(|(known, _)| *known == name).map(|(known, error)| ((*known).to_owned(), *error))
}

/// The finalizer of `SplitMix64`.
fn mix(mut value: u64) -> u64 {
    value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

fn plans() -> &'static [Option<Plan>; CALLS.len()] {
    static PLANS: OnceLock<[Option<Plan>; CALLS.len()]> = OnceLock::new();
    PLANS.get_or_init(|| {
        CALLS.map(|name| {
            let text = env::var(format!("FAULT_{name}")).ok()?;
            let plan = Plan::parse(name, &text);
            if plan.is_none() {
                eprintln!("FAULT_{name}: value cannot be parsed: {text}");
                abort();
            }
            plan
        })
    })
}

/// Counts a call and returns the fault to inject into it, if any. `port` is the port that its socket connects to.
pub fn next_fault(call: Call, port: Option<u16>) -> Option<Fault> {
    plans()[call as usize].as_ref()?.next_fault(port)
}

/// Counts a call on an existing socket and returns the fault to inject into it; `None` if the descriptor is not a TCP
/// socket.
pub fn next_fault_on(call: Call, descriptor: RawFd) -> Option<Fault> {
    // The descriptor is checked before the variables are parsed, because the message about a value that cannot be
    // parsed is itself written through this function.
    let socket = descriptors::find(descriptor)?;
    next_fault(call, socket.port)
}

/// Logs that a call transferred fewer bytes than requested.
pub fn log_short(call: Call) {
    log(CALLS[call as usize], "short");
}

fn log(call: &str, what: &str) {
    static FILE: OnceLock<Option<File>> = OnceLock::new();
    let file = FILE.get_or_init(|| {
        let path = env::var_os("FAULT_LOG")?;
        Some(
            OpenOptions::new()
                .append(true)
                .create(true)
                .open(path)
                .expect("the file of FAULT_LOG can be opened"),
        )
    });
    if let Some(mut file) = file.as_ref() {
        // The file is not a socket, so no fault is injected into this write.
        let _ = file.write_all(format!("{call} {what}\n").as_bytes());
    }
}
