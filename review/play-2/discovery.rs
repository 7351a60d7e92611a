//! A stand-in of discovery: a list with versions, and watches on it.

use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Reader;
use crate::record::Record;

/// An entry of the list.
#[derive(Clone)]
pub struct Entry {
    pub name: &'static str,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub group: u32,
    pub status: &'static str,
    pub weight: f64,
    pub since_ms: u64,
}

impl Entry {
    pub fn json(&self) -> String {
        let Self { name, address, zone, group, status, weight, since_ms } = self;
        format!(
            "{{\"name\":\"{name}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"type\":\"two\",\"group\":{group},\
             \"status\":\"{status}\",\"weight\":{weight:.2},\"since_ms\":{since_ms}}}"
        )
    }
}

/// A whole list or a change, in discovery's form.
pub fn list(index: u64, snapshot: bool, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!("{{\"index\":{index},\"snapshot\":{snapshot},\"endpoints\":[{}]}}", entries.join(","))
}

struct State {
    version: u64,
    /// The present entries, with the version of their latest change.
    entries: Vec<(u64, Entry)>,
    /// Each change, with its version and the entries that it names.
    changes: Vec<(u64, Vec<Entry>)>,
}

struct Shared {
    name: &'static str,
    state: Mutex<State>,
    changed: Condvar,
    /// How long a call waits for its first line.
    answer_after: Duration,
    closed: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
    record: Record,
}

pub struct Discovery {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Discovery {
    pub fn start(
        name: &'static str,
        record: &Record,
        version: u64,
        entries: &[Entry],
        answer_after: Duration,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let entries = entries.iter().map(|entry| (version, entry.clone())).collect();
        let shared = Arc::new(Shared {
            name,
            state: Mutex::new(State { version, entries, changes: Vec::new() }),
            changed: Condvar::new(),
            answer_after,
            closed: AtomicBool::new(false),
            open: Mutex::default(),
            record: record.clone(),
        });
        let server = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if server.closed.load(Ordering::SeqCst) {
                    return;
                }
                let server = Arc::clone(&server);
                thread::spawn(move || {
                    let ended = server.serve(stream);
                    server.record.line(format_args!("{}: a watch ended: {ended:?}", server.name));
                });
            }
        });
        Ok(Self { address, shared })
    }

    /// Makes a change: the next version of the list has these entries. An entry that is gone leaves the list.
    pub fn change(&self, version: u64, entries: &[Entry]) {
        let mut state = self.shared.state();
        state.version = version;
        for entry in entries {
            state.entries.retain(|(_, known)| known.name != entry.name);
            if entry.status != "gone" {
                state.entries.push((version, entry.clone()));
            }
        }
        state.changes.push((version, entries.to_vec()));
        drop(state);
        self.shared.changed.notify_all();
    }

    /// Takes no new connections; the open ones are closed after 1.5 s, as the terms say of the old address.
    pub fn retire(&self) {
        self.shared.closed.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts, which closes the listener.
        let _ = TcpStream::connect(self.address);
        let shared = Arc::clone(&self.shared);
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(1500));
            for stream in shared.open.lock().unwrap_or_else(PoisonError::into_inner).drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
            shared.record.line(format_args!("{}: open watches are closed", shared.name));
        });
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        self.open.lock().unwrap_or_else(PoisonError::into_inner).push(stream.try_clone()?);
        let (mut writer, mut reader) = (stream.try_clone()?, Reader::new(stream));
        let Some(call) = reader.message()? else { return Ok(()) };
        self.record.line(format_args!("{}: called: {}", self.name, call.first));
        let since = call
            .second()
            .split(['?', '&'])
            .find_map(|part| part.strip_prefix("since="))
            .and_then(|value| value.parse::<u64>().ok())
            .unwrap_or(0);
        thread::sleep(self.answer_after);
        write!(writer, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let mut sent = self.first(&mut writer, since)?;
        let mut beat = Instant::now() + Duration::from_secs(2);
        loop {
            let state = self.state();
            let wait = beat.saturating_duration_since(Instant::now());
            let (state, _) = self
                .changed
                .wait_timeout_while(state, wait, |state| state.version <= sent)
                .unwrap_or_else(PoisonError::into_inner);
            let news: Vec<_> = state.changes.iter().filter(|(version, _)| *version > sent).cloned().collect();
            drop(state);
            if news.is_empty() {
                self.send(&mut writer, "")?;
            }
            for (version, entries) in news {
                self.send(&mut writer, &list(version, false, &entries))?;
                sent = version;
            }
            beat = Instant::now() + Duration::from_secs(2);
        }
    }

    /// Sends the first object of a watch: what changed after `since`, or the whole list where that is not known.
    fn first(&self, writer: &mut TcpStream, since: u64) -> io::Result<u64> {
        let state = self.state();
        let version = state.version;
        let known_from = state.changes.first().map_or(version, |(first, _)| first - 1);
        let line = if since == version {
            String::new()
        } else if since > version || since < known_from {
            let all: Vec<Entry> = state.entries.iter().map(|(_, entry)| entry.clone()).collect();
            list(version, true, &all)
        } else {
            // The newest entry of each name that changed, those that are gone included.
            let mut entries: Vec<Entry> = Vec::new();
            for (_, changed) in state.changes.iter().filter(|(version, _)| *version > since) {
                for entry in changed {
                    entries.retain(|known| known.name != entry.name);
                    entries.push(entry.clone());
                }
            }
            list(version, false, &entries)
        };
        drop(state);
        self.send(writer, &line)?;
        Ok(version)
    }

    fn send(&self, writer: &mut TcpStream, line: &str) -> io::Result<()> {
        writer.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes())?;
        self.record.line(format_args!(
            "{}: told: {}",
            self.name,
            if line.is_empty() { "(empty line)" } else { line }
        ));
        Ok(())
    }
}
