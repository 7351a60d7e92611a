//! A stand-in for the platform's endpoint list service, with the same wire format. Its own resource usage says nothing
//! about that of the real service.

use std::collections::HashMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

use super::machine;
use crate::CapacityError;

/// Maximum length of the HTTP request head of a watch, in bytes.
const MAX_HEAD_BYTES: usize = 8192;

struct Entry {
    text: String,
    changed: u64,
}

#[derive(Default)]
struct ListState {
    index: u64,
    entries: Vec<Entry>,
    /// Index of the endpoint list below which a watch gets a snapshot instead of the changes since its index.
    snapshot_before: u64,
    /// Cached lines that bring a watch to the current index of the endpoint list, by the index that the watch is at; a
    /// snapshot has the key 0, whichever index the watch is at. Each line is formatted once for all watches.
    line_cache: HashMap<u64, Bytes>,
}

impl ListState {
    /// Returns the line, as an HTTP chunk, that brings a watch from the index `since` of the endpoint list to the
    /// current one. For a watch that is at the current index, this is an empty line, which serves as a heartbeat.
    fn line_since(&mut self, since: u64) -> Bytes {
        let is_snapshot = since == 0 || since > self.index || since < self.snapshot_before;
        let Self { index, entries, line_cache, .. } = self;
        line_cache
            .entry(if is_snapshot { 0 } else { since })
            .or_insert_with(|| {
                if since == *index {
                    return chunk("\n");
                }
                let changed = entries.iter().filter(|entry| is_snapshot || entry.changed > since);
                let changed: Vec<&str> = changed.map(|entry| entry.text.as_str()).collect();
                let changed = changed.join(",");
                chunk(&format!(
                    "{{\"index\":{index},\"snapshot\":{is_snapshot},\"endpoints\":[{changed}]}}\n"
                ))
            })
            .clone()
    }
}

fn chunk(text: &str) -> Bytes {
    format!("{:x}\r\n{text}\r\n", text.len()).into()
}

/// Formats the list entry of an upstream as JSON, padded so that it and the comma after it have `bytes` bytes.
fn entry(number: usize, revision: u64, zones: usize, bytes: usize) -> String {
    let mut text = format!(
        "{{\"name\":\"u{number:04}\",\"address\":\"127.0.0.1:{}\",\"zone\":\"zone-{}\",\"type\":\"std\",\
         \"group\":0,\"status\":\"ready\",\"weight\":1.0,\"since_ms\":{}",
        20_000 + number,
        number % zones.max(1),
        1_700_000_000_000 + revision,
    );
    let padding = bytes.saturating_sub(text.len() + ",\"note\":\"\"},".len());
    // Writing to a string cannot fail.
    let _ = write!(text, ",\"note\":\"{:x<padding$}\"}}", "");
    text
}

/// Bytes received and sent by the list server, its number of open connections and its processor time.
#[derive(Debug, Default)]
struct Counts {
    read: AtomicU64,
    written: AtomicU64,
    connections: AtomicUsize,
    cpu_ns: AtomicU64,
}

/// Traffic and processor time of the list server since its start, and the number of connections that are open now.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes that the list server has received on all connections since its start.
    pub read: u64,
    /// Bytes that the list server has sent on all connections since its start.
    pub written: u64,
    /// Number of connections to the list server that are open now.
    pub connections: usize,
    /// Processor time of the list server's thread since its start, in nanoseconds.
    pub cpu_ns: u64,
}

struct Shared {
    state: Mutex<ListState>,
    counts: Counts,
    /// The index that each watch asked to continue from, in order of arrival.
    asked: Mutex<Vec<u64>>,
    heartbeat: Duration,
}

/// An endpoint list server, which runs on a thread of its own until this is dropped.
pub struct ListServer {
    /// Address that the list server listens on.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    index: watch::Sender<u64>,
    /// Counter that is incremented to close all connections of the list server.
    close_count: watch::Sender<u64>,
    stop: Option<tokio::sync::oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
    zones: usize,
    entry_bytes: usize,
    revision: AtomicU64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ListServer {
    /// Starts a server whose list has `upstreams` entries of `entry_bytes` bytes each, in `zones` zones, at index 1. It
    /// sends an empty line as a heartbeat to each watch that has received nothing for the duration `heartbeat`, and at
    /// once to a watch that connects with the current index.
    ///
    /// # Errors
    /// No port is free, or the runtime cannot be started.
    pub fn start(
        upstreams: usize,
        entry_bytes: usize,
        zones: usize,
        heartbeat: Duration,
    ) -> Result<Self, CapacityError> {
        let to_error = |cause| CapacityError::run("the stand-in list server", cause);
        let listener = std::net::TcpListener::bind("127.0.0.1:0").map_err(to_error)?;
        listener.set_nonblocking(true).map_err(to_error)?;
        let address = listener.local_addr().map_err(to_error)?;
        let entries = (0..upstreams)
            .map(|number| Entry { text: entry(number, 0, zones, entry_bytes), changed: 1 })
            .collect();
        let state =
            Mutex::new(ListState { index: 1, entries, snapshot_before: 1, line_cache: HashMap::new() });
        let shared =
            Arc::new(Shared { state, counts: Counts::default(), asked: Mutex::new(Vec::new()), heartbeat });
        let (index, indices) = watch::channel(1);
        let (close_count, close_signals) = watch::channel(0);
        let (stop, stopped) = tokio::sync::oneshot::channel();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(to_error)?;
        let server_state = Arc::clone(&shared);
        let thread = thread::spawn(move || {
            LocalSet::new().block_on(&runtime, async {
                let accept_watches = accept_watches(listener, server_state, indices, close_signals);
                tokio::select! { () = accept_watches => {}, _ = stopped => {} }
            });
        });
        let revision = AtomicU64::new(0);
        Ok(Self {
            address,
            shared,
            index,
            close_count,
            stop: Some(stop),
            thread: Some(thread),
            zones,
            entry_bytes,
            revision,
        })
    }

    /// Returns the current index of the endpoint list.
    #[must_use]
    pub fn index(&self) -> u64 {
        *self.index.borrow()
    }

    /// Changes the next `count` entries of the endpoint list in its order, starting again at the first after the last.
    /// Each change increments the index; the watches are notified once, after the last change.
    pub fn change(&self, count: usize) {
        let mut state = lock(&self.shared.state);
        for _ in 0..count {
            let revision = self.revision.fetch_add(1, Ordering::Relaxed);
            let number = revision as usize % state.entries.len().max(1);
            state.index += 1;
            let changed = state.index;
            let text = entry(number, revision + 1, self.zones, self.entry_bytes);
            if let Some(entry) = state.entries.get_mut(number) {
                *entry = Entry { text, changed };
            }
        }
        state.line_cache.clear();
        self.index.send_replace(state.index);
    }

    /// Sends a snapshot of the endpoint list to all watches, at the next index of the list.
    pub fn send_snapshot(&self) {
        let mut state = lock(&self.shared.state);
        state.index += 1;
        state.snapshot_before = state.index;
        state.line_cache.clear();
        self.index.send_replace(state.index);
    }

    /// Closes all connections of the list server at once.
    pub fn close_all(&self) {
        self.close_count.send_modify(|count| *count += 1);
    }

    /// Returns the traffic and the processor time of the list server since its start, and the number of its open
    /// connections.
    #[must_use]
    pub fn carried(&self) -> Traffic {
        let Counts { read, written, connections, cpu_ns } = &self.shared.counts;
        Traffic {
            read: read.load(Ordering::Acquire),
            written: written.load(Ordering::Acquire),
            connections: connections.load(Ordering::Acquire),
            cpu_ns: cpu_ns.load(Ordering::Acquire),
        }
    }

    /// Returns the index that each watch asked to continue from, in order of arrival.
    #[must_use]
    pub fn asked(&self) -> Vec<u64> {
        lock(&self.shared.asked).clone()
    }
}

impl Drop for ListServer {
    fn drop(&mut self) {
        if let Some(stop) = self.stop.take() {
            // Sending fails if the thread has already ended.
            let _ = stop.send(());
        }
        if let Some(thread) = self.thread.take() {
            // The result is an error if the thread panicked; there is nothing left to clean up then.
            let _ = thread.join();
        }
    }
}

async fn accept_watches(
    listener: std::net::TcpListener,
    shared: Arc<Shared>,
    indices: watch::Receiver<u64>,
    close_signals: watch::Receiver<u64>,
) {
    let Ok(listener) = TcpListener::from_std(listener) else { return };
    let timer = Arc::clone(&shared);
    spawn_local(async move {
        loop {
            timer.counts.cpu_ns.store(machine::thread_ns(), Ordering::Release);
            sleep(Duration::from_millis(100)).await;
        }
    });
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        // Disables Nagle's algorithm, which could delay a line until the client has acknowledged the previous write.
        // Each watch is notified by one write, also where one turn of the event loop notifies several watches.
        let _ = stream.set_nodelay(true);
        let (shared, indices, mut close_signals) =
            (Arc::clone(&shared), indices.clone(), close_signals.clone());
        spawn_local(async move {
            close_signals.mark_unchanged();
            shared.counts.connections.fetch_add(1, Ordering::AcqRel);
            // The connection closes when `serve_watch` returns, whether with an error or not.
            let _ = serve_watch(stream, &shared, indices, close_signals).await;
            shared.counts.connections.fetch_sub(1, Ordering::AcqRel);
        });
    }
}

async fn serve_watch(
    mut stream: TcpStream,
    shared: &Shared,
    mut indices: watch::Receiver<u64>,
    mut close_signals: watch::Receiver<u64>,
) -> std::io::Result<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") && head.len() < MAX_HEAD_BYTES {
        if stream.read_buf(&mut head).await? == 0 {
            return Ok(());
        }
    }
    shared.counts.read.fetch_add(head.len() as u64, Ordering::AcqRel);
    let head = String::from_utf8_lossy(&head);
    let since = head.split_once("since=").and_then(|(_, rest)| rest.split([' ', '&']).next()?.parse().ok());
    let Some(since) = since.filter(|_| head.starts_with("GET /catalog/members?")) else {
        return stream.write_all(b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n").await;
    };
    lock(&shared.asked).push(since);
    let response_head =
        b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n";
    stream.write_all(response_head).await?;
    shared.counts.written.fetch_add(response_head.len() as u64, Ordering::AcqRel);
    let mut sent_index = since;
    let mut ignored = [0];
    loop {
        indices.mark_unchanged();
        let line = {
            let mut state = lock(&shared.state);
            let line = state.line_since(sent_index);
            sent_index = state.index;
            line
        };
        stream.write_all(&line).await?;
        shared.counts.written.fetch_add(line.len() as u64, Ordering::AcqRel);
        tokio::select! {
            changed = indices.changed() => if changed.is_err() { return Ok(()) },
            _ = close_signals.changed() => return Ok(()),
            read = stream.read(&mut ignored) => if read? == 0 { return Ok(()) },
            () = sleep(shared.heartbeat) => {}
        }
    }
}
