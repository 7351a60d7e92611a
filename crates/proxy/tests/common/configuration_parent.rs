//! A simulated parent in the distribution of configuration, and the documents that it publishes.

use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{self, Receiver};
use std::thread;
use std::time::{Duration, Instant};

use config_distribution::document::Document;
use serde_json::{Value, json};

use super::watch::serve_watch;
use super::{HANG_TIMEOUT, Watch, read_message};

/// A parent that sends on its watches what the test passes to it, and receives reports.
pub struct Parent {
    pub address: SocketAddr,
    /// The watches that have been opened, in order, each with its request line.
    watches: Receiver<(String, Watch)>,
    /// The reports that have been received, in order.
    reports: Receiver<Value>,
}

impl Parent {
    pub fn start() -> Self {
        Self::with_heartbeat(Duration::from_millis(500))
    }

    /// Starts a parent that sends a heartbeat on a watch when it has sent nothing for `heartbeat_interval`.
    pub fn with_heartbeat(heartbeat_interval: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port is available");
        let address = listener.local_addr().expect("the socket has a local address");
        let ((opened, watches), (report, reports)) = (mpsc::channel(), mpsc::channel());
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let (opened, report) = (opened.clone(), report.clone());
                thread::spawn(move || {
                    let Some(message) = read_message(&mut stream) else { return };
                    if message.line.starts_with("POST") {
                        assert_eq!(message.line, "POST /configuration/report HTTP/1.1");
                        let _ = report.send(serde_json::from_slice(&message.body).expect("valid JSON"));
                        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
                        return;
                    }
                    serve_watch(stream, message.line, &opened, heartbeat_interval);
                });
            }
        });
        Self { address, watches, reports }
    }

    /// Waits for the next watch that the balancer opens, and returns it with its request line.
    pub fn watch(&self) -> (String, Watch) {
        self.watches.recv_timeout(HANG_TIMEOUT).expect("the balancer opens a watch")
    }

    /// Returns the next watch and its request line, if the balancer has opened one.
    pub fn try_watch(&self) -> Option<(String, Watch)> {
        self.watches.try_recv().ok()
    }

    /// Waits for a report that satisfies `fits`, and returns it. `what` describes it in the panic message.
    pub fn wait_report(&self, what: &str, fits: impl Fn(&Value) -> bool) -> Value {
        let by = Instant::now() + HANG_TIMEOUT;
        loop {
            let left = by.saturating_duration_since(Instant::now());
            let report =
                self.reports.recv_timeout(left).unwrap_or_else(|_| panic!("timed out waiting for: {what}"));
            if fits(&report) {
                return report;
            }
        }
    }

    /// Waits for a report that this version of a scope's document is in force, and returns the report.
    pub fn wait_version(&self, scope: &str, version: u64) -> Value {
        self.wait_report(&format!("{scope} at {version}"), |report| report["versions"][scope] == version)
    }
}

/// Creates a document whose body holds these settings. For settings of `null` the body is `null`, which withdraws the
/// document of the scope.
pub fn document(scope: &str, version: u64, settings: &Value) -> Document {
    let body = if settings.is_null() { "null".to_owned() } else { json!({"settings": settings}).to_string() };
    Document::new(scope.parse().expect("a valid scope"), version, body.into())
}

/// Adds these parents to a configuration.
pub fn with_parents(configuration: &str, parents: &[SocketAddr]) -> String {
    let mut configuration: Value = serde_json::from_str(configuration).expect("valid JSON");
    let parents: Vec<String> = parents.iter().map(SocketAddr::to_string).collect();
    configuration["distribution"] = json!({"parents": parents, "region": "north", "service": "api"});
    configuration.to_string()
}
