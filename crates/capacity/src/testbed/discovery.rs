//! A stand-in for service discovery: balancers under test watch a list of upstreams that the test can change.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use serde_json::{Value, json};

use super::message::{MAX_MESSAGE_BYTES, head_end};
use super::{Bound, listen, lock};
use crate::CapacityError;

/// The endpoint list of the discovery server, and the watches that receive its changes.
#[derive(Debug)]
struct List {
    index: u64,
    entries: Vec<Value>,
    watches: Vec<Sender<Arc<[u8]>>>,
}

/// A stand-in for service discovery. It sends each watch a snapshot of the list, then each change, and an empty line as
/// a heartbeat while nothing changes.
#[derive(Debug)]
pub struct Discovery {
    /// Address on which the discovery server listens.
    pub address: SocketAddr,
    list: Arc<Mutex<List>>,
    stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Discovery {
    /// Starts a discovery server with this endpoint list at index 1, which sends a heartbeat to each watch after each
    /// `beat` without a change.
    ///
    /// # Errors
    /// No port is free, or the thread does not start.
    pub fn start(entries: Vec<Value>, beat: Duration) -> Result<Self, CapacityError> {
        let Bound { listener, address } = listen()?;
        let list = Arc::new(Mutex::new(List { index: 1, entries, watches: Vec::new() }));
        let stopped = Arc::new(AtomicBool::new(false));
        let (shared, stop) = (Arc::clone(&list), Arc::clone(&stopped));
        let thread = thread::Builder::new().name("discovery".to_owned()).spawn(move || {
            for stream in listener.incoming().flatten() {
                if stop.load(Ordering::Acquire) {
                    return;
                }
                let list = Arc::clone(&shared);
                thread::spawn(move || serve_watch(stream, &list, beat));
            }
        });
        let thread = thread.map_err(|cause| CapacityError::run("starting a discovery server", cause))?;
        Ok(Self { address, list, stopped, thread: Some(thread) })
    }

    /// Number of watches of the endpoint list that are registered with the discovery server.
    #[must_use]
    pub fn watches(&self) -> usize {
        lock(&self.list).watches.len()
    }

    /// Replaces the entry at position `number` of the endpoint list, and sends the change to all watches.
    pub fn change(&self, number: usize, entry: Value) {
        let mut list = lock(&self.list);
        list.index += 1;
        let line = json!({"index": list.index, "snapshot": false, "endpoints": [entry]}).to_string();
        if let Some(place) = list.entries.get_mut(number) {
            *place = entry;
        }
        let line: Arc<[u8]> = (line + "\n").into_bytes().into();
        list.watches.retain(|watch| watch.send(Arc::clone(&line)).is_ok());
    }
}

impl Drop for Discovery {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Release);
        lock(&self.list).watches.clear();
        // This connection unblocks the thread that waits in `accept`, so that it sees `stopped`.
        let _ = TcpStream::connect(self.address);
        if let Some(thread) = self.thread.take() {
            // A thread that panicked has nothing left to clean up.
            let _ = thread.join();
        }
    }
}

/// Serves one watch of the endpoint list: reads its request, then sends the snapshot, the changes and the heartbeats
/// until either side closes.
fn serve_watch(mut stream: TcpStream, list: &Mutex<List>, beat: Duration) {
    let mut head = Vec::new();
    let mut part = [0; 512];
    while head_end(&head).is_none() {
        match stream.read(&mut part) {
            Ok(count @ 1..) if head.len() < MAX_MESSAGE_BYTES => head.extend_from_slice(&part[..count]),
            _ => return,
        }
    }
    let (snapshot, changes): (String, Receiver<Arc<[u8]>>) = {
        let mut list = lock(list);
        let (watch, changes) = mpsc::channel();
        list.watches.push(watch);
        (
            json!({"index": list.index, "snapshot": true, "endpoints": list.entries}).to_string() + "\n",
            changes,
        )
    };
    // Without `TCP_NODELAY` the connection still works, only slower.
    let _ = stream.set_nodelay(true);
    if stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n").is_err() {
        return;
    }
    let mut chunk = |bytes: &[u8]| {
        let framed = [format!("{:x}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat();
        stream.write_all(&framed)
    };
    if chunk(snapshot.as_bytes()).is_err() {
        return;
    }
    loop {
        let sent = match changes.recv_timeout(beat) {
            Ok(line) => chunk(&line),
            Err(RecvTimeoutError::Timeout) => chunk(b"\n"),
            Err(RecvTimeoutError::Disconnected) => return,
        };
        if sent.is_err() {
            return;
        }
    }
}
