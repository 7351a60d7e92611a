//! A relay's host: follows its parents as a child that wants everything, and serves what it has.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hyper::{Response, StatusCode};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::{JoinError, spawn_blocking};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};

use super::accept::Listen;
use super::client::{Following, report};
use super::log::log;
use super::server::{Change, Limits, RelayReport, ResponseBody, Server, Source, error_response};
use crate::document::{Document, Update};
use crate::origin::Record;
use crate::parents::Parents;
use crate::report::{REPORT_EVERY, Sums};
use crate::state::{Refusal, State, Wanted};
use crate::store::{Found, Outcome, Store, StoreError};

/// Bytes of a line to a relay at most: all documents at the origin's bound together, and what is around each.
pub const MAX_LINE_BYTES: usize = 20 << 20;
/// Sums go up this often at most.
const SUMS_EVERY: Duration = Duration::from_secs(1);
/// A disk that failed is tried again after so long.
const DISK_RETRY_PAUSE: Duration = Duration::from_secs(5);

/// What a relay is.
#[derive(Debug, Clone)]
pub struct RelayOptions {
    /// As its parents know it.
    pub name: String,
    /// Its parents' levels must be lower.
    pub level: u8,
    /// Whom it follows.
    pub parents: Vec<SocketAddr>,
    /// Where it stores what it has; without, it begins with nothing.
    pub directory: Option<PathBuf>,
    /// Of its server.
    pub limits: Limits,
    /// Of its draws.
    pub seed: u64,
}

/// Why a relay cannot begin.
#[derive(Debug, Error)]
pub enum RelayError {
    /// The disk.
    #[error("{0}")]
    Store(#[from] StoreError),
    /// What is on disk makes no state.
    #[error("what is on disk is damaged: {0}")]
    Damaged(#[from] Refusal),
}

/// A relay, ready to serve.
pub struct RelayHost {
    options: RelayOptions,
    disk: Option<RelayDisk>,
    server: Rc<Server<RelaySource>>,
}

type Open = Arc<dyn Fn() -> Result<(Store, Found), StoreError> + Send + Sync>;

/// Where a relay stores what it has.
struct RelayDisk {
    open: Open,
    /// None while the disk fails.
    store: Option<Store>,
}

/// What a relay has accepted from above, and whom it follows.
struct RelaySource {
    start: Instant,
    state: RefCell<State>,
    parents: RefCell<Parents>,
    /// There is something to be sent as a snapshot: from disk, or from a parent.
    has_state: Cell<bool>,
}

impl Source for RelaySource {
    fn with_state<T>(&self, read: impl FnOnce(&State) -> T) -> Option<T> {
        self.has_state.get().then(|| read(&self.state.borrow()))
    }

    fn stale_s(&self) -> u64 {
        self.parents.borrow().stale_s(self.start.elapsed())
    }

    fn max_body_bytes(&self) -> usize {
        0
    }

    async fn change(self: Rc<Self>, _: Change) -> Response<ResponseBody> {
        error_response(StatusCode::METHOD_NOT_ALLOWED, "a relay takes no publication: publish at the origin")
    }
}

impl RelaySource {
    /// Accepts what was found on disk, unless the state is as new. Returns whether watches have to be notified.
    fn restore(&self, found: Found) -> Result<bool, Refusal> {
        let last = found.records.iter().map(|record| record.index).max().unwrap_or(0);
        let index = last.max(found.index);
        let mut state = self.state.borrow_mut();
        if index <= state.index() {
            return Ok(false);
        }
        let live = found.records.into_iter().map(|record| record.document);
        let documents = live.filter(|document| !document.is_withdrawn()).collect();
        state.apply(Update { index, snapshot: true, after: 0, stale_s: 0, documents }, &Wanted::All)?;
        self.has_state.set(true);
        Ok(true)
    }
}

/// Opens the store at the start; `None` where the disk fails in a way that may pass.
fn open_at_start(source: &RelaySource, open: &Open) -> Result<Option<Store>, RelayError> {
    match open() {
        Ok((store, found)) => {
            source.restore(found)?;
            Ok(Some(store))
        }
        Err(error) if error.may_pass() => {
            log(format_args!("beginning with nothing, the disk fails: {error}"));
            Ok(None)
        }
        Err(error) => Err(error.into()),
    }
}

impl RelayHost {
    /// With what its directory holds. It begins with nothing where that is damaged, or the disk fails for the time being.
    ///
    /// # Errors
    /// The directory cannot be used, or what is on it is no relay's.
    pub fn new(options: RelayOptions) -> Result<Self, RelayError> {
        let Some(directory) = options.directory.clone() else { return Self::with(options, None) };
        Self::over(options, move || Store::at_or_anew(&directory))
    }

    /// Over what `open` opens in place of the directory; it is asked again while the disk fails.
    ///
    /// # Errors
    /// As [`RelayHost::new`].
    pub fn over(
        options: RelayOptions,
        open: impl Fn() -> Result<(Store, Found), StoreError> + Send + Sync + 'static,
    ) -> Result<Self, RelayError> {
        let open: Open = Arc::new(open);
        Self::with(options, Some(open))
    }

    fn with(options: RelayOptions, open: Option<Open>) -> Result<Self, RelayError> {
        let source = RelaySource {
            start: Instant::now(),
            has_state: Cell::new(false),
            state: RefCell::default(),
            parents: RefCell::new(Parents::new(options.parents.len(), options.seed)),
        };
        let disk = match open {
            Some(open) => Some(RelayDisk { store: open_at_start(&source, &open)?, open }),
            None => None,
        };
        log(format_args!("relay {} at index {}", options.name, source.state.borrow().index()));
        let server = Server::new(Rc::new(source), options.level, options.limits, !options.seed);
        Ok(Self { options, disk, server })
    }

    /// Serves until `stop`, then ends all watches in order. Within a `LocalSet`. Where it is dropped, a write of the store
    /// goes on in its thread.
    pub async fn run(self, listener: impl Listen, stop: impl Future<Output = ()>) {
        let Self { options, disk, server } = self;
        let current = Cell::new(None);
        let stored = async {
            match disk {
                Some(disk) => store_changes(&server, disk).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = Rc::clone(&server).run(listener, stop) => {}
            never = follow_parents(&server, &options, &current) => match never {},
            () = stored => {}
            never = report_sums(&server, &options.name, &current) => match never {},
        }
    }
}

async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Follows the parents for ever; `current` is the one whose watch is up.
async fn follow_parents(
    server: &Server<RelaySource>,
    options: &RelayOptions,
    current: &Cell<Option<SocketAddr>>,
) -> Infallible {
    let source = &server.source;
    let following = Following {
        name: &options.name,
        addresses: &options.parents,
        scopes: "*",
        level: Some(options.level),
        max_line_bytes: MAX_LINE_BYTES,
        start: source.start,
        parents: &source.parents,
        current,
    };
    let accept = |update: Option<Update>| {
        let Some(update) = update else { return Ok(()) };
        let mut state = source.state.borrow_mut();
        let before = state.index();
        let scopes = state.apply(update, &Wanted::All)?;
        let index = state.index();
        drop(state);
        if !source.has_state.replace(true) || index != before || !scopes.is_empty() {
            log(format_args!("{}: index {index}, {} documents changed", options.name, scopes.len()));
            server.notify_changed();
        }
        Ok(())
    };
    following.run(&connect, || source.state.borrow().index(), accept).await
}

/// Reports the sums of what is below to the parent whose watch is up: where they have changed, and as a heartbeat.
async fn report_sums(
    server: &Server<RelaySource>,
    name: &str,
    current: &Cell<Option<SocketAddr>>,
) -> Infallible {
    let mut every = interval(SUMS_EVERY);
    every.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last: Option<(Sums, Instant)> = None;
    loop {
        every.tick().await;
        let Some(parent) = current.get() else { continue };
        let sums = server.sums();
        let is_due = last.as_ref().is_none_or(|(before, at)| *before != sums || at.elapsed() >= REPORT_EVERY);
        if !is_due {
            continue;
        }
        let content = RelayReport { who: name.into(), sums };
        if report(&connect, parent, &content).await {
            last = Some((content.sums, Instant::now()));
        }
    }
}

/// Stores the state after each change. It is served before it is stored: what is lost comes again from above.
async fn store_changes(server: &Server<RelaySource>, disk: RelayDisk) {
    let mut changes = server.subscribe();
    let store = match disk.store {
        Some(store) => store,
        None => open_later(server, &disk.open).await,
    };
    let store = Arc::new(Mutex::new(store));
    while changes.changed().await.is_ok() {
        while let Err(error) = store_state(&server.source, &store).await {
            log(format_args!("{error}"));
            sleep(DISK_RETRY_PAUSE).await;
        }
    }
}

/// A state that is not known to be on disk.
#[derive(Debug, Error)]
#[error("index {index} is not kept on disk: {cause}")]
struct StoreStateError {
    index: u64,
    cause: StoreStateCause,
}

#[derive(Debug, Error)]
enum StoreStateCause {
    #[error("{0}")]
    Store(#[from] StoreError),
    #[error("{0}")]
    Aborted(#[from] JoinError),
}

/// Writes the state as it is now.
async fn store_state(source: &RelaySource, store: &Arc<Mutex<Store>>) -> Result<(), StoreStateError> {
    let (index, documents) = {
        let state = source.state.borrow();
        (state.index(), state.documents().cloned().collect::<Vec<Document>>())
    };
    let store = Arc::clone(store);
    let written = spawn_blocking(move || {
        let mut store = store.lock().unwrap_or_else(PoisonError::into_inner);
        write_state(&mut store, index, documents)
    });
    match written.await {
        Ok(Outcome::Written) => {
            log(format_args!("kept index {index} on disk"));
            Ok(())
        }
        Ok(Outcome::NotWritten(error) | Outcome::Unknown(error)) => {
            Err(StoreStateError { index, cause: error.into() })
        }
        Err(error) => Err(StoreStateError { index, cause: error.into() }),
    }
}

/// Writes the documents that the store does not have, and deletes those that are no longer in the state.
fn write_state(store: &mut Store, index: u64, documents: Vec<Document>) -> Outcome {
    let stored: Vec<u64> = store.indexes().collect();
    let in_state = |index: &u64| documents.iter().any(|document| document.version == *index);
    let obsolete: Vec<u64> = stored.iter().copied().filter(|index| !in_state(index)).collect();
    let new: Vec<Record> = documents
        .into_iter()
        .filter(|document| !stored.contains(&document.version))
        .map(|document| Record { index: document.version, document, request: Box::default() })
        .collect();
    store.write(&new, &obsolete, Some(index))
}

/// Opens the store of a disk that failed at the start as soon as it can be, and accepts what is in it.
async fn open_later(server: &Server<RelaySource>, open: &Open) -> Store {
    loop {
        sleep(DISK_RETRY_PAUSE).await;
        let open = Arc::clone(open);
        match spawn_blocking(move || open()).await {
            Ok(Ok((store, found))) => {
                match server.source.restore(found) {
                    Ok(true) => server.notify_changed(),
                    Ok(false) => {}
                    Err(refusal) => log(format_args!("what is on disk is not taken: {refusal}")),
                }
                return store;
            }
            Ok(Err(error)) => log(format_args!("the disk still fails: {error}")),
            Err(error) => log(format_args!("the disk still fails: {error}")),
        }
    }
}
