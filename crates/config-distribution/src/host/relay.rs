//! A relay's host: follows its parents as a child that wants everything, and serves what it has.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hyper::{Response, StatusCode};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::spawn_blocking;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};

use super::accept::Listen;
use super::client::{Following, report};
use super::log::log;
use super::server::{Answer, Below, Change, Limits, Server, Source, refuse};
use super::store::{Found, Outcome, Store, StoreError};
use crate::document::{Document, Update};
use crate::origin::Record;
use crate::parents::Parents;
use crate::report::REPORT_EVERY;
use crate::state::{Refusal, State, Wanted};

/// Bytes of a line to a relay at most: all documents at the origin's bound together, and what is around each.
pub const LINE_MOST: usize = 20 << 20;
/// Sums go up this often at most.
const SUMS_EVERY: Duration = Duration::from_secs(1);
/// A write that failed is tried again after so long.
const KEEP_AGAIN: Duration = Duration::from_secs(5);

/// What a relay is.
#[derive(Debug, Clone)]
pub struct RelayOptions {
    /// As it is told to its parents.
    pub name: String,
    /// Its parents' levels must be lower.
    pub level: u8,
    /// Whom it follows.
    pub parents: Vec<SocketAddr>,
    /// Where it keeps what it has; without, it begins with nothing.
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
    server: Rc<Server<Held>>,
}

type Open = Arc<dyn Fn() -> Result<(Store, Found), StoreError> + Send + Sync>;

/// Where a relay keeps what it has.
struct RelayDisk {
    open: Open,
    /// None while the disk fails.
    store: Option<Store>,
}

struct Held {
    start: Instant,
    state: RefCell<State>,
    parents: RefCell<Parents>,
    /// There is something to be told as the whole: from disk, or a parent has spoken.
    spoken: Cell<bool>,
}

impl Source for Held {
    fn see<T>(&self, look: impl FnOnce(&State) -> T) -> Option<T> {
        self.spoken.get().then(|| look(&self.state.borrow()))
    }

    fn stale_s(&self) -> u64 {
        self.parents.borrow().stale_s(self.start.elapsed())
    }

    fn body_most(&self) -> usize {
        0
    }

    async fn change(self: Rc<Self>, _: Change) -> Response<Answer> {
        refuse(StatusCode::METHOD_NOT_ALLOWED, "a relay takes no publication: publish at the origin")
    }
}

impl Held {
    /// Takes in what was found on disk, unless what it holds is as new. Tells whether readers have to be told.
    fn restore(&self, found: Found) -> Result<bool, Refusal> {
        let last = found.records.iter().map(|record| record.index).max().unwrap_or(0);
        let index = last.max(found.index);
        let mut state = self.state.borrow_mut();
        if index <= state.index() {
            return Ok(false);
        }
        let live = found.records.into_iter().map(|record| record.document);
        let documents = live.filter(|document| !document.is_withdrawn()).collect();
        state.take(Update { index, snapshot: true, after: 0, stale_s: 0, documents }, &Wanted::All)?;
        self.spoken.set(true);
        Ok(true)
    }
}

/// Opens the store at the start; `None` where the disk fails in a way that may pass.
fn first_opening(held: &Held, open: &Open) -> Result<Option<Store>, RelayError> {
    match open() {
        Ok((store, found)) => {
            held.restore(found)?;
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
        let held = Held {
            start: Instant::now(),
            spoken: Cell::new(false),
            state: RefCell::default(),
            parents: RefCell::new(Parents::new(options.parents.len(), options.seed)),
        };
        let disk = match open {
            Some(open) => Some(RelayDisk { store: first_opening(&held, &open)?, open }),
            None => None,
        };
        log(format_args!("relay {} at index {}", options.name, held.state.borrow().index()));
        let server = Server::new(Rc::new(held), options.level, options.limits, !options.seed);
        Ok(Self { options, disk, server })
    }

    /// Serves until `stop`, then ends all watches in order. Within a `LocalSet`.
    pub async fn run(self, listener: impl Listen, stop: impl Future<Output = ()>) {
        let Self { options, disk, server } = self;
        let held = Rc::clone(&server.source);
        let current = Cell::new(None);
        let following = Following {
            name: &options.name,
            addresses: &options.parents,
            scopes: "*",
            level: Some(options.level),
            line_most: LINE_MOST,
            start: held.start,
            parents: &held.parents,
            current: &current,
        };
        let connect = |address| async move {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            Ok(stream)
        };
        let followed = following.run(
            &connect,
            || held.state.borrow().index(),
            |update| {
                let Some(update) = update else { return Ok(()) };
                let before = held.state.borrow().index();
                let taken = held.state.borrow_mut().take(update, &Wanted::All);
                let scopes = taken?;
                let index = held.state.borrow().index();
                if !held.spoken.replace(true) || index != before || !scopes.is_empty() {
                    log(format_args!("{}: index {index}, {} documents changed", options.name, scopes.len()));
                    server.changed();
                }
                Ok(())
            },
        );
        let kept = async {
            match disk {
                Some(disk) => keep(&server, disk).await,
                None => std::future::pending().await,
            }
        };
        let summed = async {
            let mut every = interval(SUMS_EVERY);
            every.set_missed_tick_behavior(MissedTickBehavior::Delay);
            let mut last = None;
            loop {
                every.tick().await;
                let Some(address) = current.get() else { continue };
                let sums = server.sums();
                let due = last.as_ref().is_none_or(|(before, at): &(_, Instant)| {
                    *before != sums || at.elapsed() >= REPORT_EVERY
                });
                let word = || Below { who: options.name.as_str().into(), sums: sums.clone() };
                if due && report(&connect, address, &word()).await {
                    last = Some((sums, Instant::now()));
                }
            }
        };
        tokio::select! {
            () = Rc::clone(&server).run(listener, stop) => {}
            never = followed => match never {},
            () = kept => {}
            () = summed => {}
        }
    }
}

/// Keeps what is held on disk, as of each change. It is served before it is kept: what is lost comes again from above.
async fn keep(server: &Server<Held>, disk: RelayDisk) {
    let mut changes = server.changes();
    let held = &server.source;
    let store = match disk.store {
        Some(store) => store,
        None => opened_later(server, &disk.open).await,
    };
    let store = Arc::new(Mutex::new(store));
    loop {
        if changes.changed().await.is_err() {
            return;
        }
        loop {
            let (index, documents) = {
                let state = held.state.borrow();
                (state.index(), state.documents().cloned().collect::<Vec<Document>>())
            };
            let store = Arc::clone(&store);
            let written = spawn_blocking(move || {
                let mut store = store.lock().unwrap_or_else(PoisonError::into_inner);
                let have: Vec<u64> = store.indexes().collect();
                let held = |index: &u64| documents.iter().any(|document| document.version == *index);
                let gone: Vec<u64> = have.iter().copied().filter(|index| !held(index)).collect();
                let new: Vec<Record> = documents
                    .into_iter()
                    .filter(|document| !have.contains(&document.version))
                    .map(|document| Record { index: document.version, document, request: Box::default() })
                    .collect();
                store.write(&new, &gone, Some(index))
            });
            match written.await {
                Ok(Outcome::Written) => {
                    log(format_args!("kept index {index} on disk"));
                    break;
                }
                Ok(Outcome::NotWritten(error) | Outcome::Unknown(error)) => {
                    log(format_args!("index {index} is not kept on disk: {error}"));
                }
                Err(error) => log(format_args!("index {index} is not kept on disk: {error}")),
            }
            sleep(KEEP_AGAIN).await;
        }
    }
}

/// The store of a disk that failed at the start, once it does no more, with what it holds taken in.
async fn opened_later(server: &Server<Held>, open: &Open) -> Store {
    loop {
        sleep(KEEP_AGAIN).await;
        let open = Arc::clone(open);
        match spawn_blocking(move || open()).await {
            Ok(Ok((store, found))) => {
                match server.source.restore(found) {
                    Ok(true) => server.changed(),
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
