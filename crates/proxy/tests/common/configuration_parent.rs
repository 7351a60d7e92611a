//! A stand-in for a parent in the distribution of configuration, and the documents that it publishes.

use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{self, Receiver};
use std::thread;
use std::time::{Duration, Instant};

use config_distribution::document::Document;
use serde_json::{Value, json};

use super::watch::serve_watch;
use super::{LONG, Watch, read_message};

/// A parent whose watches say what the test hands over, and that takes reports.
pub struct Parent {
    pub address: SocketAddr,
    watches: Receiver<(String, Watch)>,
    reports: Receiver<Value>,
}

impl Parent {
    pub fn start() -> Self {
        Self::beating(Duration::from_millis(500))
    }

    /// One whose watches say so every `beat` that nothing has changed.
    pub fn beating(beat: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let ((opened, watches), (report, reports)) = (mpsc::channel(), mpsc::channel());
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let (opened, report) = (opened.clone(), report.clone());
                thread::spawn(move || {
                    let Some(message) = read_message(&mut stream) else { return };
                    if message.line.starts_with("POST") {
                        assert_eq!(message.line, "POST /configuration/report HTTP/1.1");
                        let _ = report.send(serde_json::from_slice(&message.body).expect("JSON"));
                        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
                        return;
                    }
                    serve_watch(stream, message.line, &opened, beat);
                });
            }
        });
        Self { address, watches, reports }
    }

    /// The next watch that the balancer opens.
    pub fn watch(&self) -> (String, Watch) {
        self.watches.recv_timeout(LONG).expect("the balancer opens a watch")
    }

    /// The same, if it has opened one.
    pub fn try_watch(&self) -> Option<(String, Watch)> {
        self.watches.try_recv().ok()
    }

    /// Waits for a report that `fits`.
    pub fn wait_report(&self, what: &str, fits: impl Fn(&Value) -> bool) -> Value {
        let by = Instant::now() + LONG;
        loop {
            let left = by.saturating_duration_since(Instant::now());
            let report = self.reports.recv_timeout(left).unwrap_or_else(|_| panic!("never reported: {what}"));
            if fits(&report) {
                return report;
            }
        }
    }

    /// Waits until this version of a scope's document is reported as in force.
    pub fn wait_version(&self, scope: &str, version: u64) -> Value {
        self.wait_report(&format!("{scope} {version}"), |report| report["versions"][scope] == version)
    }
}

/// A document whose body holds these settings; `null` withdraws it.
pub fn document(scope: &str, version: u64, settings: &Value) -> Document {
    let body = if settings.is_null() { "null".to_owned() } else { json!({"settings": settings}).to_string() };
    Document::new(scope.parse().expect("a scope"), version, body.into())
}

/// The same configuration with these parents.
pub fn with_parents(configuration: &str, parents: &[SocketAddr]) -> String {
    let mut configuration: Value = serde_json::from_str(configuration).expect("JSON");
    let parents: Vec<String> = parents.iter().map(SocketAddr::to_string).collect();
    configuration["distribution"] = json!({"parents": parents, "region": "north", "service": "api"});
    configuration.to_string()
}
