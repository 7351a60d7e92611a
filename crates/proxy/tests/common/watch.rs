//! The server's side of a watch that the balancer has opened, which sends what the test passes to it.

use std::io::Write;
use std::net::TcpStream;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::time::Duration;

use config_distribution::document::{Document, Update};
use serde_json::{Value, json};

/// Handle that sends data on a watch. The watch ends when the handle is dropped.
pub struct Watch(Sender<Option<Vec<u8>>>);

impl Watch {
    /// Sends bytes on the watch.
    pub fn bytes(&self, bytes: &[u8]) {
        self.0.send(Some(bytes.to_vec())).expect("the watch is open");
    }

    /// Sends bytes on a watch that the balancer may have closed. Returns whether the watch was still open.
    pub fn try_bytes(&self, bytes: &[u8]) -> bool {
        self.0.send(Some(bytes.to_vec())).is_ok()
    }

    /// Sends a list of endpoints at this index, as a snapshot if `is_snapshot` is set and as a delta otherwise.
    pub fn send_endpoints(&self, index: u64, is_snapshot: bool, endpoints: &[Value]) {
        let line = json!({"index": index, "snapshot": is_snapshot, "endpoints": endpoints});
        self.bytes(format!("{line}\n").as_bytes());
    }

    /// Ends the watch.
    pub fn end(&self) {
        self.0.send(None).expect("the watch is open");
    }

    /// Sends a snapshot of all documents at this index.
    pub fn send_snapshot(&self, index: u64, documents: Vec<Document>) {
        self.updates(&Update { index, snapshot: true, after: 0, stale_s: 0, documents });
    }

    /// Sends a delta with one document, whose version is the index of the delta and follows the previous index.
    pub fn send_delta(&self, document: Document) {
        let index = document.version;
        let update =
            Update { index, snapshot: false, after: index - 1, stale_s: 0, documents: vec![document] };
        self.updates(&update);
    }

    /// Sends an update of documents.
    pub fn updates(&self, update: &Update) {
        let line = serde_json::to_string(update).expect("valid JSON");
        self.bytes(format!("{line}\n").as_bytes());
    }
}

/// Serves a watch that the balancer opened with the request line `line`, and passes its handle to the test through
/// `opened`. A heartbeat is sent whenever nothing was sent for `heartbeat_interval`.
pub fn serve_watch(
    mut stream: TcpStream,
    line: String,
    opened: &Sender<(String, Watch)>,
    heartbeat_interval: Duration,
) {
    let (sender, data) = mpsc::channel();
    // If the balancer has closed the watch already, the next write fails and ends it.
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    if opened.send((line, Watch(sender))).is_ok() {
        write_watch(stream, &data, heartbeat_interval);
    }
}

/// Writes the data that it receives from `data` to a watch as chunks, and a heartbeat whenever nothing was sent for
/// `heartbeat_interval`.
fn write_watch(mut stream: TcpStream, data: &Receiver<Option<Vec<u8>>>, heartbeat_interval: Duration) {
    loop {
        let bytes = match data.recv_timeout(heartbeat_interval) {
            Ok(Some(bytes)) => bytes,
            Err(RecvTimeoutError::Timeout) => b"\n".to_vec(),
            // The watch ends without a last chunk, as when the server fails.
            Ok(None) | Err(RecvTimeoutError::Disconnected) => return,
        };
        let chunk = [format!("{:x}\r\n", bytes.len()).as_bytes(), &bytes, b"\r\n"].concat();
        if stream.write_all(&chunk).is_err() {
            return;
        }
    }
}
