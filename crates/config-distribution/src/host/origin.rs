//! Host of the origin: passes publications through the core, writes them to disk, and then notifies the readers.

use std::cell::RefCell;
use std::future::Future;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};

use hyper::{Response, StatusCode};
use serde_json::json;
use thiserror::Error;
use tokio::sync::Semaphore;
use tokio::task::spawn_blocking;

use super::accept::Listener;
use super::log::log;
use super::server::{Change, Limits, ResponseBody, Server, Source, error_response, json_response};
use crate::document::Scope;
use crate::fault::Fault;
use crate::origin::{Accepted, Bounds, Origin, Publication, PublishError, Record, RestoreError};
use crate::state::State;
use crate::store::{Outcome, Store, StoreContents, StoreError};

/// Maximum number of publications in the queue, with the one being processed.
const MAX_QUEUED_PUBLICATIONS: usize = 64;
/// Maximum number of records deleted in one write, so that no write takes long.
const MAX_DELETED_RECORDS: usize = 64;

/// Checks the content of a document that is well-formed, and returns its faults.
pub type DocumentCheck = Box<dyn Fn(&Scope, &str) -> Vec<Fault>>;

/// Why an origin cannot start.
#[derive(Debug, Error)]
pub enum OriginError {
    /// The records on disk cannot be restored as the state of an origin.
    #[error("{0}")]
    Restore(#[from] RestoreError),
    /// The store failed.
    #[error("{0}")]
    Store(#[from] StoreError),
    /// The documents that the core reissued at the start could not be written.
    #[error("cannot write the documents that are published again at the start: {0}")]
    Reissue(StoreError),
}

/// Origin that has restored its state and is ready to serve.
pub struct OriginHost {
    server: Rc<Server<OriginSource>>,
}

impl OriginHost {
    /// Restores an origin from a store and the records found in it. If the disk is known to have lost acknowledged
    /// changes, `index_at_least` is the highest index that may have been acknowledged; otherwise it is 0.
    ///
    /// # Errors
    /// The records cannot be restored as the state of an origin, or the reissued documents cannot be written.
    pub fn new(
        (mut store, found): (Store, StoreContents),
        bounds: Bounds,
        limits: Limits,
        index_at_least: u64,
        check: DocumentCheck,
        seed: u64,
    ) -> Result<Self, OriginError> {
        let at_least = index_at_least.max(found.index);
        let mut origin = Origin::restore(bounds, found.records, at_least)?;
        write_reissued(&mut origin, &mut store)?;
        log(format_args!("origin starts at index {}", origin.state().index()));
        let source = OriginSource {
            origin: RefCell::new(origin),
            max_body_bytes: bounds.max_body_bytes,
            store: Arc::new(Mutex::new(store)),
            publish_lock: tokio::sync::Mutex::new(()),
            queue: Semaphore::new(MAX_QUEUED_PUBLICATIONS),
            check,
            notify_changed: RefCell::new(None),
        };
        let server = Server::new(Rc::new(source), 0, limits, seed);
        let weak_server = Rc::downgrade(&server);
        let notify_changed = move || {
            if let Some(server) = weak_server.upgrade() {
                server.notify_changed();
            }
        };
        *server.source.notify_changed.borrow_mut() = Some(Box::new(notify_changed));
        Ok(Self { server })
    }

    /// Serves until `stop` completes, then ends all watches in order. Must run within a `LocalSet`. If the future is
    /// dropped, a change that is being written may be on disk although its request got no response; when the request is
    /// repeated, the response is the index of that change.
    pub async fn run(self, listener: impl Listener, stop: impl Future<Output = ()>) {
        self.server.run(listener, stop).await;
    }
}

/// Writes the documents that the core reissued at the start, in one transaction.
fn write_reissued(origin: &mut Origin, store: &mut Store) -> Result<(), OriginError> {
    let reissued: Vec<Record> = origin.pending().to_vec();
    let Some(last) = reissued.last().map(|record| record.index) else { return Ok(()) };
    match store.write(&reissued, &[], None) {
        Outcome::Written => {
            origin.written(last);
            Ok(())
        }
        Outcome::NotWritten(error) | Outcome::Unknown(error) => Err(OriginError::Reissue(error)),
    }
}

/// Why a change is not acknowledged. The texts are sent to publishers in HTTP responses and are part of the protocol.
#[derive(Debug, Error)]
enum ChangeError {
    /// The document's body is not valid UTF-8.
    #[error("the body is no UTF-8")]
    NotUtf8,
    /// The queue of publications is full.
    #[error("too many publications wait")]
    QueueFull,
    /// The core rejected the publication.
    #[error("{0}")]
    Rejected(#[from] PublishError),
    /// The change could not be written, or it is unknown whether it was.
    #[error("{0}")]
    Write(#[from] WriteError),
}

/// Why a change is not known to be on disk. The texts are sent to publishers in HTTP responses and are part of the
/// protocol.
#[derive(Debug, Error)]
enum WriteError {
    /// The thread that wrote the change panicked.
    #[error("the write came to no end: ask again")]
    Aborted,
    /// The change is not on disk: the store read the file again after the failure.
    #[error("not written: {0}")]
    NotWritten(StoreError),
    /// The store could not find out whether the change is on disk.
    #[error("whether it is written is unknown: {0}; nothing is accepted until it is known")]
    Unknown(StoreError),
}

impl ChangeError {
    /// HTTP status of the response to a change that failed for this reason.
    fn status(&self) -> StatusCode {
        match self {
            Self::NotUtf8 | Self::Rejected(PublishError::Faults(_)) => StatusCode::BAD_REQUEST,
            Self::Rejected(PublishError::Conflict { .. } | PublishError::RequestIdReused) => {
                StatusCode::CONFLICT
            }
            Self::Rejected(
                PublishError::DocumentTooLarge { .. }
                | PublishError::TooManyDocuments { .. }
                | PublishError::TotalTooLarge { .. },
            ) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Write(WriteError::NotWritten(error)) if error.is_full() => StatusCode::INSUFFICIENT_STORAGE,
            Self::QueueFull | Self::Rejected(PublishError::Busy) | Self::Write(_) => {
                StatusCode::SERVICE_UNAVAILABLE
            }
        }
    }

    /// Response to a change that failed for this reason.
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

/// Core and store of the origin, as the server sees them.
struct OriginSource {
    origin: RefCell<Origin>,
    /// Maximum size in bytes of a document's body.
    max_body_bytes: usize,
    store: Arc<Mutex<Store>>,
    /// Held while a publication is processed, so that only one is at a time.
    publish_lock: tokio::sync::Mutex<()>,
    /// Permits of the publications that are queued or being processed.
    queue: Semaphore,
    /// Checks the content of each document to be published.
    check: DocumentCheck,
    /// Notifies the watches that the state has changed; set once the server exists.
    notify_changed: RefCell<Option<Box<dyn Fn()>>>,
}

impl OriginSource {
    /// Writes records that are pending in the core, and passes the outcome to the core.
    async fn write(&self, records: Vec<Record>) -> Result<(), WriteError> {
        let store = Arc::clone(&self.store);
        let indexes: Vec<u64> = records.iter().map(|record| record.index).collect();
        let obsolete = self.obsolete_records();
        let written = spawn_blocking(move || {
            // A lock poisoned by a panic is used all the same: the store reopens the file after the next failure.
            store.lock().unwrap_or_else(PoisonError::into_inner).write(&records, &obsolete, None)
        });
        let Ok(outcome) = written.await else {
            log(format_args!(
                "the write of a change was aborted by a panic; the next change repeats it first, \
                 none is accepted until the write has been repeated"
            ));
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
                log(format_args!(
                    "changes {indexes:?} are dropped, because they were not written to the store: {error}"
                ));
                Err(WriteError::NotWritten(error))
            }
            Outcome::Unknown(error) => {
                log(format_args!(
                    "whether changes {indexes:?} are on disk is unknown; the next change writes them again \
                     first, none is accepted until it is known: {error}"
                ));
                Err(WriteError::Unknown(error))
            }
        }
    }

    /// Indexes of the oldest records on disk that are no longer needed, at most `MAX_DELETED_RECORDS`.
    fn obsolete_records(&self) -> Vec<u64> {
        let origin = self.origin.borrow();
        let Ok(store) = self.store.lock() else { return Vec::new() };
        store.indexes().filter(|&index| !origin.needs(index)).take(MAX_DELETED_RECORDS).collect()
    }

    /// Queues a change, publishes it once the changes before it are done, and returns its index.
    async fn queue_and_publish(&self, change: Change) -> Result<u64, ChangeError> {
        let Change { scope, body, request, if_version } = change;
        let body = body.map(|body| String::from_utf8(body.into())).transpose();
        let body = body.map_err(|_| ChangeError::NotUtf8)?.map(Into::into);
        let _queue_permit = self.queue.try_acquire().map_err(|_| ChangeError::QueueFull)?;
        let _publish_guard = self.publish_lock.lock().await;
        self.publish(Publication { scope, body, request, if_version }).await
    }

    /// Publishes a change: the core checks it and gives it an index, then it is written to disk. Returns its index.
    async fn publish(&self, publication: Publication) -> Result<u64, ChangeError> {
        // Records whose write had an unknown outcome come first: writing them again settles it.
        let unresolved = self.origin.borrow().pending().to_vec();
        if !unresolved.is_empty()
            && let Err(error) = self.write(unresolved).await
            && !self.origin.borrow().pending().is_empty()
        {
            return Err(error.into());
        }
        let accepted = self.origin.borrow_mut().publish(publication, &self.check)?;
        match accepted {
            Accepted::AlreadyAccepted(index) => Ok(index),
            Accepted::Write(record) => {
                let index = record.index;
                log(format_args!(
                    "publishing {} at index {index}, request id {:?}",
                    record.document.scope, record.request
                ));
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

    async fn apply_change(self: Rc<Self>, change: Change) -> Response<ResponseBody> {
        match self.queue_and_publish(change).await {
            Ok(index) => json_response(StatusCode::OK, &json!({ "index": index })),
            Err(error) => error.response(),
        }
    }
}
