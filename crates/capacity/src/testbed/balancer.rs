//! A balancer under test as a child process, from its start until its health check passes.

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

use super::child::{Listening, Process, START_TIMEOUT, unique_temp_path};
use crate::CapacityError;

/// File name of the balancer program.
pub const BALANCER: &str = "balancer-proxy";

/// A running balancer process that has passed its health check.
#[derive(Debug)]
pub struct Balancer {
    /// Child process that runs the balancer.
    pub process: Process,
    /// Address on which the balancer accepts client connections.
    pub address: SocketAddr,
    /// Time from the start of the process until the balancer listened on its address.
    pub listens_after: Duration,
    /// Time from the start of the process until the balancer's health check first returned 200.
    pub serves_after: Duration,
}

impl Balancer {
    /// Starts a balancer with this configuration, pinned to `core` if one is given, and waits until its health check
    /// passes. `line` is called with each line of the balancer's log.
    ///
    /// # Errors
    /// The process does not start, or its health check does not pass within 20 s.
    pub fn start(
        program: &Path,
        configuration: &Value,
        core: Option<usize>,
        line: impl Fn(&str) + Send + Sync + 'static,
    ) -> Result<Self, CapacityError> {
        let file = unique_temp_path("balancer.json");
        fs::write(&file, configuration.to_string()).map_err(|cause| CapacityError::file(&file, cause))?;
        let mut command = match core {
            Some(core) => {
                let mut command = Command::new("taskset");
                command.args(["-c", &core.to_string()]).arg(program);
                command
            }
            None => Command::new(program),
        };
        command.env_clear().env("PROXY_CONFIG", &file);
        if let Some(path) = std::env::var_os("PATH") {
            command.env("PATH", path);
        }
        let began = Instant::now();
        let Listening { mut process, address, at } = Process::listening(command, Some(file), line)?;
        while !health(address) {
            if process.has_ended() || began.elapsed() > START_TIMEOUT {
                let cause =
                    format!("its health check did not return 200; its log: {}", process.kill_and_read_log());
                return Err(CapacityError::run("starting a balancer", cause));
            }
            thread::sleep(Duration::from_micros(200));
        }
        let serves_after = began.elapsed();
        Ok(Self { process, address, listens_after: at - began, serves_after })
    }
}

/// Whether the balancer's health check returns 200.
fn health(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(address) else { return false };
    // `set_read_timeout` fails only for a duration of zero.
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let sent = stream.write_all(b"GET /_health HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    let mut status = [0; 12];
    sent.is_ok() && stream.read_exact(&mut status).is_ok() && status.ends_with(b"200")
}
