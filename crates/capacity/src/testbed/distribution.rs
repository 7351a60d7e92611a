//! Configuration distribution as child processes, an origin and relays, which publish changes to balancers under test.

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

use serde_json::{Value, json};

use super::child::{Listening, Process, unique_temp_path};
use crate::CapacityError;

/// File name of the program that distributes configuration.
pub const DISTRIBUTION: &str = "config-distribution";

/// An origin and the relays below it, as child processes.
#[derive(Debug)]
pub struct Distribution {
    /// Address on which the origin listens.
    pub origin: SocketAddr,
    /// Addresses on which the relays listen.
    pub relays: Vec<SocketAddr>,
    /// The processes of the origin and the relays, which are killed before the origin's data folder is removed.
    processes: Vec<Process>,
    folder: PathBuf,
}

impl Distribution {
    /// Starts an origin, and `relays` relays whose parent it is.
    ///
    /// # Errors
    /// A process does not start, or does not listen in time.
    pub fn start(program: &Path, relays: usize) -> Result<Self, CapacityError> {
        let folder = unique_temp_path("origin");
        let command = |arguments: &[&str]| {
            let mut command = Command::new(program);
            command.args(arguments).args(["--listen", "127.0.0.1:0"]);
            command
        };
        let mut origin = command(&["origin"]);
        origin.arg("--dir").arg(&folder);
        let Listening { process, address, .. } = Process::listening(origin, None, |_| ())?;
        let mut started = Self { origin: address, relays: Vec::new(), processes: vec![process], folder };
        for _ in 0..relays {
            let relay = command(&["relay", "--level", "1", "--parent", &address.to_string()]);
            let Listening { process, address, .. } = Process::listening(relay, None, |_| ())?;
            started.processes.push(process);
            started.relays.push(address);
        }
        Ok(started)
    }

    /// The `distribution` section of a balancer's configuration, with the relays as its parents.
    #[must_use]
    pub fn configuration_section(&self) -> Value {
        let parents: Vec<String> = self.relays.iter().map(SocketAddr::to_string).collect();
        json!({"parents": parents, "region": "north", "service": "api"})
    }

    /// Publishes a configuration document at the origin, and returns the index of the change once the origin
    /// acknowledges it.
    ///
    /// # Errors
    /// The origin rejects the document, or does not respond within 5 s.
    pub fn publish(&self, scope: &str, request: &str, document: &Value) -> Result<u64, CapacityError> {
        let failed = |cause: String| CapacityError::run(format!("publishing {scope} {document}"), cause);
        let body = document.to_string();
        let text = format!(
            "PUT /configuration/{scope} HTTP/1.1\r\nHost: origin\r\nX-Request-Id: {request}\r\n\
             Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let mut answer = String::new();
        let exchanged = TcpStream::connect(self.origin).and_then(|mut stream| {
            stream.set_read_timeout(Some(Duration::from_secs(5)))?;
            stream.write_all(text.as_bytes())?;
            stream.read_to_string(&mut answer)
        });
        exchanged.map_err(|cause| failed(cause.to_string()))?;
        let index = answer
            .split_once("\r\n\r\n")
            .filter(|_| answer.split(' ').nth(1) == Some("200"))
            .and_then(|(_, body)| serde_json::from_str::<Value>(body).ok())
            .and_then(|body| body["index"].as_u64());
        index.ok_or_else(|| failed(answer))
    }
}

impl Drop for Distribution {
    fn drop(&mut self) {
        self.processes.clear();
        // A folder that cannot be removed is left in the temporary folder.
        let _ = fs::remove_dir_all(&self.folder);
    }
}
