//! The origin's host: publications go through the core to the disk, and then to readers.

use std::cell::RefCell;
use std::future::Future;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};

use hyper::{Response, StatusCode};
use serde_json::json;
use thiserror::Error;
use tokio::sync::Semaphore;
use tokio::task::spawn_blocking;

use super::accept::Listen;
use super::log::log;
use super::server::{Change, Limits, ResponseBody, Server, Source, error_response, json_response};
use crate::document::Scope;
use crate::fault::Fault;
use crate::origin::{Accepted, Bounds, Origin, Publication, PublishError, Record, RestoreError};
use crate::state::State;
use crate::store::{Found, Outcome, Store, StoreError};

/// Publications that may wait for their turn.
const MAX_QUEUED: usize = 64;
/// Records that are deleted with one write at most, so that none takes long.
const MAX_DELETED: usize = 64;

/// Returns the faults of a document whose form is sound.
pub type Check = Box<dyn Fn(&Scope, &str) -> Vec<Fault>>;

/// Why an origin cannot begin.
#[derive(Debug, Error)]
pub enum OriginError {
    /// What is on disk makes no origin.
    #[error("{0}")]
    Restore(#[from] RestoreError),
    /// The disk.
    #[error("{0}")]
    Store(#[from] StoreError),
    /// What has to be written first cannot be.
    #[error("the first write failed: {0}")]
    First(StoreError),
}

/// An origin, ready to serve.
pub struct OriginHost {
    server: Rc<Server<OriginSource>>,
}

impl OriginHost {
    /// Over a store and what was found in it. `index_at_least` is the highest index that may have been acknowledged
    /// where the disk is known to have lost some.
    ///
    /// # Errors
    /// What is on disk makes no origin, or cannot be brought in order.
    pub fn new(
        (mut store, found): (Store, Found),
        bounds: Bounds,
        limits: Limits,
        index_at_least: u64,
        check: Check,
        seed: u64,
    ) -> Result<Self, OriginError> {
        let at_least = index_at_least.max(found.index);
        let mut origin = Origin::restore(bounds, found.records, at_least)?;
        write_reissued(&mut origin, &mut store)?;
        log(format_args!("origin at index {}", origin.state().index()));
        let source = OriginSource {
            origin: RefCell::new(origin),
            max_body_bytes: bounds.max_body_bytes,
            store: Arc::new(Mutex::new(store)),
            turn: tokio::sync::Mutex::new(()),
            queue: Semaphore::new(MAX_QUEUED),
            check,
            notify_changed: RefCell::new(None),
        };
        let server = Server::new(Rc::new(source), 0, limits, seed);
        let notified = Rc::downgrade(&server);
        let notify_changed = move || {
            if let Some(server) = notified.upgrade() {
                server.notify_changed();
            }
        };
        *server.source.notify_changed.borrow_mut() = Some(Box::new(notify_changed));
        Ok(Self { server })
    }

    /// Serves until `stop`, then ends all watches in order. Within a `LocalSet`. Where it is dropped, a change that is
    /// being written may be on disk without an answer; its repeat is answered with its index.
    pub async fn run(self, listener: impl Listen, stop: impl Future<Output = ()>) {
        self.server.run(listener, stop).await;
    }
}

/// Writes what the core reissued at its start, all at once.
fn write_reissued(origin: &mut Origin, store: &mut Store) -> Result<(), OriginError> {
    let reissued: Vec<Record> = origin.pending().to_vec();
    let Some(last) = reissued.last().map(|record| record.index) else { return Ok(()) };
    match store.write(&reissued, &[], None) {
        Outcome::Written => {
            origin.written(last);
            Ok(())
        }
        Outcome::NotWritten(error) | Outcome::Unknown(error) => Err(OriginError::First(error)),
    }
}

/// Why a change is not acknowledged.
#[derive(Debug, Error)]
enum ChangeError {
    #[error("the body is no UTF-8")]
    NoText,
    #[error("too many publications wait")]
    QueueFull,
    #[error("{0}")]
    Rejected(#[from] PublishError),
    #[error("{0}")]
    Write(#[from] WriteError),
}

/// Why a change is not known to be on disk.
#[derive(Debug, Error)]
enum WriteError {
    /// The write's thread panicked.
    #[error("the write came to no end: ask again")]
    Aborted,
    #[error("not written: {0}")]
    NotWritten(StoreError),
    #[error("whether it is written is unknown: {0}; nothing is accepted until it is known")]
    Unknown(StoreError),
}

impl ChangeError {
    fn status(&self) -> StatusCode {
        match self {
            Self::NoText | Self::Rejected(PublishError::Faults(_)) => StatusCode::BAD_REQUEST,
            Self::Rejected(PublishError::Conflict { .. } | PublishError::Reused) => StatusCode::CONFLICT,
            Self::Rejected(
                PublishError::TooLarge { .. } | PublishError::TooMany { .. } | PublishError::Full { .. },
            ) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Write(WriteError::NotWritten(error)) if error.is_full() => StatusCode::INSUFFICIENT_STORAGE,
            Self::QueueFull | Self::Rejected(PublishError::Busy) | Self::Write(_) => {
                StatusCode::SERVICE_UNAVAILABLE
            }
        }
    }

    fn response(&self) -> Response<ResponseBody> {
        match self {
            Self::Rejected(PublishError::Faults(faults)) => {
                let faults: Vec<String> = faults.iter().map(Fault::to_string).collect();
                json_response(self.status(), &json!({ "faults": faults }))
            }
            Self::Rejected(error @ PublishError::Conflict { have }) => {
                json_response(self.status(), &json!({ "error": error.to_string(), "have": have }))
            }
            error => error_response(error.status(), &error.to_string()),
        }
    }
}

/// The origin's core and its disk, behind the server.
struct OriginSource {
    origin: RefCell<Origin>,
    max_body_bytes: usize,
    store: Arc<Mutex<Store>>,
    /// One publication at a time.
    turn: tokio::sync::Mutex<()>,
    /// Publications that wait for their turn, and the one whose turn it is.
    queue: Semaphore,
    check: Check,
    notify_changed: RefCell<Option<Box<dyn Fn()>>>,
}

impl OriginSource {
    /// Writes what the core waits for, and notifies it of the outcome.
    async fn write(&self, records: Vec<Record>) -> Result<(), WriteError> {
        let store = Arc::clone(&self.store);
        let indexes: Vec<u64> = records.iter().map(|record| record.index).collect();
        let obsolete = self.obsolete_records();
        let written = spawn_blocking(move || {
            // After a panic in there the store opens the file anew with the next failure.
            store.lock().unwrap_or_else(PoisonError::into_inner).write(&records, &obsolete, None)
        });
        let Ok(outcome) = written.await else {
            log(format_args!("a write came to no end; nothing is accepted until it has been made"));
            return Err(WriteError::Aborted);
        };
        match outcome {
            Outcome::Written => {
                if let Some(&last) = indexes.last() {
                    self.origin.borrow_mut().written(last);
                }
                if let Some(notify_changed) = &*self.notify_changed.borrow() {
                    notify_changed();
                }
                Ok(())
            }
            Outcome::NotWritten(error) => {
                let mut origin = self.origin.borrow_mut();
                for &index in &indexes {
                    origin.not_written(index);
                }
                log(format_args!("{indexes:?} not written: {error}"));
                Err(WriteError::NotWritten(error))
            }
            Outcome::Unknown(error) => {
                log(format_args!(
                    "whether {indexes:?} is written is unknown, nothing is accepted until it is: {error}"
                ));
                Err(WriteError::Unknown(error))
            }
        }
    }

    /// Records on disk that nothing needs any more, the oldest.
    fn obsolete_records(&self) -> Vec<u64> {
        let origin = self.origin.borrow();
        let Ok(store) = self.store.lock() else { return Vec::new() };
        store.indexes().filter(|&index| !origin.needs(index)).take(MAX_DELETED).collect()
    }

    /// Takes the change's turn and publishes it; returns its index.
    async fn accept(&self, change: Change) -> Result<u64, ChangeError> {
        let Change { scope, body, request, if_version } = change;
        let body = body.map(|body| String::from_utf8(body.into())).transpose();
        let body = body.map_err(|_| ChangeError::NoText)?.map(Into::into);
        let _queued = self.queue.try_acquire().map_err(|_| ChangeError::QueueFull)?;
        let _turn = self.turn.lock().await;
        self.publish(Publication { scope, body, request, if_version }).await
    }

    async fn publish(&self, publication: Publication) -> Result<u64, ChangeError> {
        // What a failed disk left open comes first: written again, it is known.
        let open = self.origin.borrow().pending().to_vec();
        if !open.is_empty()
            && let Err(error) = self.write(open).await
            && !self.origin.borrow().pending().is_empty()
        {
            return Err(error.into());
        }
        let accepted = self.origin.borrow_mut().publish(publication, &self.check)?;
        match accepted {
            Accepted::Known(index) => Ok(index),
            Accepted::Write(record) => {
                let index = record.index;
                log(format_args!("{} at index {index}, request {:?}", record.document.scope, record.request));
                self.write(vec![record]).await?;
                Ok(index)
            }
        }
    }
}

impl Source for OriginSource {
    fn with_state<T>(&self, read: impl FnOnce(&State) -> T) -> Option<T> {
        Some(read(self.origin.borrow().state()))
    }

    fn stale_s(&self) -> u64 {
        0
    }

    fn max_body_bytes(&self) -> usize {
        self.max_body_bytes
    }

    async fn change(self: Rc<Self>, change: Change) -> Response<ResponseBody> {
        match self.accept(change).await {
            Ok(index) => json_response(StatusCode::OK, &json!({ "index": index })),
            Err(error) => error.response(),
        }
    }
}
