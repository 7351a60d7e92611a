//! Host of a relay: follows its parents as a child that watches all scopes, and serves the state that it has received.

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

use super::accept::Listener;
use super::client::{ParentFollower, report};
use super::log::log;
use super::server::{Change, Limits, RelayReport, ResponseBody, Server, Source, error_response};
use crate::document::{Document, Update};
use crate::origin::Record;
use crate::parents::Parents;
use crate::report::{REPORT_EVERY, Sums};
use crate::state::{Refusal, State, Wanted};
use crate::store::{Outcome, Store, StoreContents, StoreError};

/// Maximum size of a line sent to a relay: all documents at the origin's limit on their total size, and the JSON around
/// each.
pub const MAX_LINE_BYTES: usize = 20 << 20;
/// Minimum interval between reports of the sums to a parent.
const SUMS_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Pause before a failed disk operation is tried again.
const DISK_RETRY_PAUSE: Duration = Duration::from_secs(5);

/// Options of a relay.
#[derive(Debug, Clone)]
pub struct RelayOptions {
    /// Name under which the parents know the relay.
    pub name: String,
    /// Level of the relay, which must be higher than the levels of its parents.
    pub level: u8,
    /// Addresses of the parents.
    pub parents: Vec<SocketAddr>,
    /// Directory in which the relay stores its state; without one it starts with no state.
    pub directory: Option<PathBuf>,
    /// Limits of the relay's server.
    pub limits: Limits,
    /// Seed of the relay's random numbers.
    pub seed: u64,
}

/// Why a relay cannot start.
#[derive(Debug, Error)]
pub enum RelayError {
    /// The store failed.
    #[error("{0}")]
    Store(#[from] StoreError),
    /// The records on disk cannot be restored as a state.
    #[error("the stored records are not a valid state: {0}")]
    Damaged(#[from] Refusal),
}

/// Relay that is ready to serve.
pub struct RelayHost {
    options: RelayOptions,
    disk: Option<RelayDisk>,
    server: Rc<Server<RelaySource>>,
}

/// Opens the relay's store, and returns it with the records found in it.
type OpenStore = Arc<dyn Fn() -> Result<(Store, StoreContents), StoreError> + Send + Sync>;

/// Store of a relay, and the function that opens it.
struct RelayDisk {
    open: OpenStore,
    /// `None` until the store has been opened, while the disk fails.
    store: Option<Store>,
}

/// State that a relay has accepted from its parents, and the choice of the parent to follow.
struct RelaySource {
    /// Start of the clock of `parents`, which counts time from this instant.
    start: Instant,
    state: RefCell<State>,
    parents: RefCell<Parents>,
    /// Whether `state` has been received from a parent or read from disk, so that it can be sent as a snapshot.
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

    async fn apply_change(self: Rc<Self>, _: Change) -> Response<ResponseBody> {
        error_response(StatusCode::METHOD_NOT_ALLOWED, "a relay takes no publication: publish at the origin")
    }
}

impl RelaySource {
    /// Accepts the state found on disk, unless the current state is at least as new. Returns whether the state changed,
    /// so that watches must be notified.
    fn restore(&self, found: StoreContents) -> Result<bool, Refusal> {
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

/// Opens the store at the start. Returns `None` if the disk has a fault that may be temporary.
fn open_at_start(source: &RelaySource, open: &OpenStore) -> Result<Option<Store>, RelayError> {
    match open() {
        Ok((store, found)) => {
            source.restore(found)?;
            Ok(Some(store))
        }
        Err(error) if error.is_transient() => {
            log(format_args!(
                "cannot open the relay's store, starting without a stored state and trying again later: {error}"
            ));
            Ok(None)
        }
        Err(error) => Err(error.into()),
    }
}

impl RelayHost {
    /// Creates a relay with the state that its directory holds. The relay starts without a state if the file there is
    /// damaged, or if the disk has a fault that may be temporary.
    ///
    /// # Errors
    /// The directory cannot be used, or the records in it are not those of a relay.
    pub fn new(options: RelayOptions) -> Result<Self, RelayError> {
        let Some(directory) = options.directory.clone() else { return Self::create(options, None) };
        Self::with_opener(options, move || Store::open_or_recreate(&directory))
    }

    /// Creates a relay with the store that `open` opens, instead of one in a directory. `open` is called again for as
    /// long as the disk fails.
    ///
    /// # Errors
    /// As for [`RelayHost::new`].
    pub fn with_opener(
        options: RelayOptions,
        open: impl Fn() -> Result<(Store, StoreContents), StoreError> + Send + Sync + 'static,
    ) -> Result<Self, RelayError> {
        let open: OpenStore = Arc::new(open);
        Self::create(options, Some(open))
    }

    /// Creates a relay, with a store if `open` is given.
    fn create(options: RelayOptions, open: Option<OpenStore>) -> Result<Self, RelayError> {
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
        log(format_args!("relay {} starts at index {}", options.name, source.state.borrow().index()));
        let server = Server::new(Rc::new(source), options.level, options.limits, !options.seed);
        Ok(Self { options, disk, server })
    }

    /// Serves until `stop` completes, then ends all watches and waits a limited time for the connections to close. Must
    /// run within a `LocalSet`. If the future is dropped, a write of the store continues in its thread.
    pub async fn run(self, listener: impl Listener, stop: impl Future<Output = ()>) {
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
            // Never finishes: it waits forever without a disk, and `store_changes` ends only when `server` is dropped.
            () = stored => {}
            never = report_sums(&server, &options.name, &current) => match never {},
        }
    }
}

/// Opens a connection to a parent.
async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Follows the parents without end, and applies their updates to the state. Sets `current` to the parent whose watch is
/// open.
async fn follow_parents(
    server: &Server<RelaySource>,
    options: &RelayOptions,
    current: &Cell<Option<SocketAddr>>,
) -> Infallible {
    let source = &server.source;
    let following = ParentFollower {
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
            log(format_args!(
                "relay {} is now at index {index}, {} documents changed",
                options.name,
                scopes.len()
            ));
            server.notify_changed();
        }
        Ok(())
    };
    following.run(&connect, || source.state.borrow().index(), accept).await
}

/// Reports the sums over the processes below this relay to the parent whose watch is open: when they have changed, and
/// as a heartbeat after `REPORT_EVERY`.
async fn report_sums(
    server: &Server<RelaySource>,
    name: &str,
    current: &Cell<Option<SocketAddr>>,
) -> Infallible {
    let mut ticker = interval(SUMS_REPORT_INTERVAL);
    ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last: Option<(Sums, Instant)> = None;
    loop {
        ticker.tick().await;
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

/// Stores the state after each change. A state is served before it is stored: one that is lost is received again from a
/// parent.
async fn store_changes(server: &Server<RelaySource>, disk: RelayDisk) {
    let mut changes = server.subscribe();
    let store = match disk.store {
        Some(store) => store,
        None => retry_open(server, &disk.open).await,
    };
    let store = Arc::new(Mutex::new(store));
    while changes.changed().await.is_ok() {
        while let Err(error) = store_state(&server.source, &store).await {
            log(format_args!("{error}"));
            sleep(DISK_RETRY_PAUSE).await;
        }
    }
}

/// Error of storing a state, after which it is not known to be on disk.
#[derive(Debug, Error)]
#[error(
    "the state at index {index} may not be stored on disk, it is served and will be written again: {cause}"
)]
struct StoreStateError {
    /// Index of the newest change in the state that was to be stored.
    index: u64,
    cause: StoreStateCause,
}

/// Why a state is not known to be on disk.
#[derive(Debug, Error)]
enum StoreStateCause {
    /// The store failed.
    #[error("{0}")]
    Store(#[from] StoreError),
    /// The thread that wrote the state panicked.
    #[error("the write was aborted: {0}")]
    Aborted(#[from] JoinError),
}

/// Writes the current state to disk.
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
            log(format_args!("stored index {index} on disk"));
            Ok(())
        }
        Ok(Outcome::NotWritten(error) | Outcome::Unknown(error)) => {
            Err(StoreStateError { index, cause: error.into() })
        }
        Err(error) => Err(StoreStateError { index, cause: error.into() }),
    }
}

/// Writes the documents that the store does not have yet and the index, and deletes the documents that are no longer in
/// the state.
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

/// Retries to open a store that could not be opened at the start, until it succeeds, and accepts the state found in it.
async fn retry_open(server: &Server<RelaySource>, open: &OpenStore) -> Store {
    loop {
        sleep(DISK_RETRY_PAUSE).await;
        let open = Arc::clone(open);
        match spawn_blocking(move || open()).await {
            Ok(Ok((store, found))) => {
                match server.source.restore(found) {
                    Ok(true) => server.notify_changed(),
                    Ok(false) => {}
                    Err(refusal) => log(format_args!(
                        "ignoring the state in the relay's store, the state from the parents will replace it: {refusal}"
                    )),
                }
                return store;
            }
            Ok(Err(error)) => log(format_args!(
                "still cannot open the relay's store, trying again; nothing is stored until then: {error}"
            )),
            Err(error) => log(format_args!(
                "the task that opens the relay's store panicked or was cancelled (the disk may be fine), trying again; \
                 nothing is stored until the store is open: {error}"
            )),
        }
    }
}
