//! A balancer under test as a process, from its start until it serves.

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

use super::child::{Listening, Process, START_TIMEOUT, own_path};
use crate::CapacityError;

/// The name of the balancer's program.
pub const BALANCER: &str = "balancer-proxy";

/// A running balancer that is ready to serve.
#[derive(Debug)]
pub struct Balancer {
    /// The process.
    pub process: Process,
    /// The address that clients connect to.
    pub address: SocketAddr,
    /// Time from the start of its process until it listened.
    pub listens_after: Duration,
    /// Time from the start of its process until its health check first returned 200.
    pub serves_after: Duration,
}

impl Balancer {
    /// Starts a balancer with this configuration, pinned to `core` where one is given, and waits until it serves.
    /// `line` is called with each line of its log.
    ///
    /// # Errors
    /// The process does not start, or does not serve in time.
    pub fn start(
        program: &Path,
        configuration: &Value,
        core: Option<usize>,
        line: impl Fn(&str) + Send + Sync + 'static,
    ) -> Result<Self, CapacityError> {
        let file = own_path("balancer.json");
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
                let cause = format!("it does not serve: {}", process.last_words());
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
    // Only a duration of zero is rejected.
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let sent = stream.write_all(b"GET /_health HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    let mut status = [0; 12];
    sent.is_ok() && stream.read_exact(&mut status).is_ok() && status.ends_with(b"200")
}
