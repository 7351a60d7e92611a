//! A watch that the balancer opened, and that says what the test hands over.

use std::io::Write;
use std::net::TcpStream;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::time::Duration;

use config_distribution::document::{Document, Update};
use serde_json::{Value, json};

/// What feeds a watch; it ends when this is dropped.
pub struct Watch(Sender<Option<Vec<u8>>>);

impl Watch {
    pub fn bytes(&self, bytes: &[u8]) {
        self.0.send(Some(bytes.to_vec())).expect("the watch stands");
    }

    /// The same on a watch that the balancer may have given up; tells whether it still takes bytes.
    pub fn try_bytes(&self, bytes: &[u8]) -> bool {
        self.0.send(Some(bytes.to_vec())).is_ok()
    }

    pub fn says(&self, index: u64, whole: bool, endpoints: &[Value]) {
        let line = json!({"index": index, "snapshot": whole, "endpoints": endpoints});
        self.bytes(format!("{line}\n").as_bytes());
    }

    pub fn end(&self) {
        self.0.send(None).expect("the watch stands");
    }

    /// All documents there are, at this index.
    pub fn holds(&self, index: u64, documents: Vec<Document>) {
        self.updates(&Update { index, snapshot: true, after: 0, stale_s: 0, documents });
    }

    /// A document of this version on top of the index before.
    pub fn publishes(&self, document: Document) {
        let index = document.version;
        let update =
            Update { index, snapshot: false, after: index - 1, stale_s: 0, documents: vec![document] };
        self.updates(&update);
    }

    pub fn updates(&self, update: &Update) {
        let line = serde_json::to_string(update).expect("JSON");
        self.bytes(format!("{line}\n").as_bytes());
    }
}

/// Serves a watch that the balancer opens with this request line, and hands the test what feeds it. It says every
/// `beat` that nothing has changed.
pub fn serve_watch(mut stream: TcpStream, line: String, opened: &Sender<(String, Watch)>, beat: Duration) {
    let (feed, food) = mpsc::channel();
    // A watch that is closed by now ends at its first line.
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    if opened.send((line, Watch(feed))).is_ok() {
        feed_watch(stream, &food, beat);
    }
}

fn feed_watch(mut stream: TcpStream, food: &Receiver<Option<Vec<u8>>>, beat: Duration) {
    loop {
        let bytes = match food.recv_timeout(beat) {
            Ok(Some(bytes)) => bytes,
            Err(RecvTimeoutError::Timeout) => b"\n".to_vec(),
            // Ends with no last chunk, as when discovery goes down.
            Ok(None) | Err(RecvTimeoutError::Disconnected) => return,
        };
        let chunk = [format!("{:x}\r\n", bytes.len()).as_bytes(), &bytes, b"\r\n"].concat();
        if stream.write_all(&chunk).is_err() {
            return;
        }
    }
}
