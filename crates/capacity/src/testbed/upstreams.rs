//! Stand-in upstreams: servers that respond at once and record the requests that reached them, so that calls which ran
//! twice or not at all are detected.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU8, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::watch;

use super::message::{MAX_MESSAGE_BYTES, Message, header, message};
use super::runtime::on_runtime;
use super::{Bound, listen, lock};
use crate::CapacityError;

/// Records of the requests that reached the stand-in upstreams.
#[derive(Debug)]
pub struct RequestRecords {
    /// Number of times that each request ran at any stand-in upstream, by request id.
    runs: Vec<AtomicU8>,
    /// First request id that no run has reserved yet.
    next_id: AtomicUsize,
    /// Number of connections that all stand-in upstreams have accepted so far.
    opened: AtomicU64,
    /// Time at which the stand-in upstreams were started.
    started_at: Instant,
    /// Time from `started_at` to the latest request that reached each upstream, in nanoseconds, by upstream index; 0 if
    /// there was none.
    latest: Vec<AtomicU64>,
    /// Id of the request that is to block the thread of its upstream, and for how long; `None` if no request is to.
    stall: Mutex<Option<(usize, Duration)>>,
}

impl RequestRecords {
    /// Reserves `count` successive request ids, and returns the first.
    ///
    /// # Errors
    /// More ids are requested than were passed to [`Upstreams::start`].
    pub fn take_ids(&self, count: usize) -> Result<usize, CapacityError> {
        let first = self.next_id.fetch_add(count, Ordering::Relaxed);
        if first + count > self.runs.len() {
            return Err(CapacityError::run(
                "reserving request ids",
                format!("the upstreams record only {} ids", self.runs.len()),
            ));
        }
        Ok(first)
    }

    /// Number of times that the request with this id ran at any stand-in upstream.
    #[must_use]
    pub fn runs(&self, id: usize) -> u8 {
        self.runs.get(id).map_or(0, |runs| runs.load(Ordering::Acquire))
    }

    /// Number of connections that all stand-in upstreams have accepted so far.
    #[must_use]
    pub fn opened(&self) -> u64 {
        self.opened.load(Ordering::Relaxed)
    }

    /// Time at which the latest request reached the upstream with this index; `None` before the first.
    #[must_use]
    pub fn latest(&self, upstream: usize) -> Option<Instant> {
        let latest = self.latest.get(upstream)?.load(Ordering::Acquire);
        (latest > 0).then(|| self.started_at + Duration::from_nanos(latest))
    }

    /// Lets the request with this id block the thread of its upstream for the duration `span`.
    pub fn stall(&self, id: usize, span: Duration) {
        *lock(&self.stall) = Some((id, span));
    }

    /// Records that a request reached an upstream, and blocks the thread if the request is to stall.
    fn record(&self, id: usize, upstream: usize) {
        if let Some(runs) = self.runs.get(id) {
            runs.fetch_add(1, Ordering::AcqRel);
        }
        self.latest[upstream].store(self.started_at.elapsed().as_nanos() as u64, Ordering::Release);
        let mut stall = lock(&self.stall);
        if let Some((_, span)) = stall.take_if(|(at, _)| *at == id) {
            drop(stall);
            thread::sleep(span);
        }
    }
}

/// Stand-in upstreams, each on a port of its own. An upstream responds to each request at once with the request id, the
/// number of requests that came on the connection so far, and its own index.
#[derive(Debug)]
pub struct Upstreams {
    /// Address on which each stand-in upstream listens, by upstream index.
    pub addresses: Vec<SocketAddr>,
    /// Records of the requests that reached the upstreams.
    pub records: Arc<RequestRecords>,
    stop: watch::Sender<bool>,
    threads: Vec<JoinHandle<()>>,
}

impl Upstreams {
    /// Starts `count` upstreams on `threads` threads, which record the requests of at most `calls` ids.
    ///
    /// # Errors
    /// No port is free, or a thread does not start.
    pub fn start(count: usize, threads: usize, calls: usize) -> Result<Self, CapacityError> {
        let mut listeners = Vec::new();
        for _ in 0..count {
            listeners.push(listen()?);
        }
        let addresses = listeners.iter().map(|bound: &Bound| bound.address).collect();
        let records = Arc::new(RequestRecords {
            runs: (0..calls).map(|_| AtomicU8::new(0)).collect(),
            next_id: AtomicUsize::new(0),
            opened: AtomicU64::new(0),
            started_at: Instant::now(),
            latest: (0..count).map(|_| AtomicU64::new(0)).collect(),
            stall: Mutex::new(None),
        });
        let (stop, stopped) = watch::channel(false);
        let mut parts: Vec<Vec<(usize, TcpListener)>> = (0..threads).map(|_| Vec::new()).collect();
        for (number, Bound { listener, .. }) in listeners.into_iter().enumerate() {
            parts[number % threads].push((number, listener));
        }
        let mut started = Self { addresses, records, stop, threads: Vec::new() };
        for part in parts {
            let (records, stopped) = (Arc::clone(&started.records), stopped.clone());
            let thread = thread::Builder::new().name("upstreams".to_owned());
            let thread = thread.spawn(move || on_runtime(stopped, || serve_upstreams(part, &records)));
            started.threads.push(thread.map_err(|cause| CapacityError::run("starting upstreams", cause))?);
        }
        Ok(started)
    }

    /// Entries of the endpoint list for all upstreams, with the status `ready`.
    #[must_use]
    pub fn entries(&self) -> Vec<Value> {
        (0..self.addresses.len()).map(|number| self.entry(number, "ready", 0)).collect()
    }

    /// Entry of the endpoint list for the upstream with this index, whose status has held since `since_ms`
    /// (milliseconds since the epoch).
    #[must_use]
    pub fn entry(&self, number: usize, status: &str, since_ms: u64) -> Value {
        entry(number, self.addresses[number], status, since_ms)
    }
}

impl Drop for Upstreams {
    fn drop(&mut self) {
        // The threads may have ended already.
        let _ = self.stop.send(true);
        for thread in self.threads.drain(..) {
            // A thread that panicked has nothing left to clean up.
            let _ = thread.join();
        }
    }
}

/// An entry of the endpoint list, as service discovery writes it.
#[must_use]
pub fn entry(number: usize, address: SocketAddr, status: &str, since_ms: u64) -> Value {
    json!({"name": format!("api-{number:05}"), "address": address.to_string(), "zone": "north-1",
           "type": "std", "group": number % 8, "status": status, "weight": 1.0, "since_ms": since_ms})
}

/// Accepts connections to the upstreams of one thread. Each upstream is given with its index.
fn serve_upstreams(part: Vec<(usize, TcpListener)>, records: &Arc<RequestRecords>) -> std::io::Result<()> {
    for (number, listener) in part {
        listener.set_nonblocking(true)?;
        let listener = tokio::net::TcpListener::from_std(listener)?;
        let records = Arc::clone(records);
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                records.opened.fetch_add(1, Ordering::Relaxed);
                tokio::task::spawn_local(serve(stream, number, Arc::clone(&records)));
            }
        });
    }
    Ok(())
}

/// Responds to the requests of one connection until it is closed or a message is too long.
async fn serve(mut stream: tokio::net::TcpStream, number: usize, records: Arc<RequestRecords>) {
    // Without `TCP_NODELAY` the connection still works, only slower.
    let _ = stream.set_nodelay(true);
    let (mut bytes, mut count) = (Vec::with_capacity(1024), 0);
    loop {
        while let Some(Message { head, end, .. }) = message(&bytes) {
            let id = header(head, "x-request-id").and_then(|id| id.parse().ok()).unwrap_or(usize::MAX);
            bytes.drain(..end);
            records.record(id, number);
            count += 1;
            let body = format!("{id} {count} {number}");
            let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
        if bytes.len() > MAX_MESSAGE_BYTES || !matches!(stream.read_buf(&mut bytes).await, Ok(1..)) {
            return;
        }
    }
}
