//! The origin's host: publications go through the core to the disk, and then to readers.

use std::cell::RefCell;
use std::future::Future;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};

use hyper::{Response, StatusCode};
use serde_json::json;
use thiserror::Error;
use tokio::task::spawn_blocking;

use super::accept::Listen;
use super::log::log;
use super::server::{Answer, Change, Limits, Server, Source, answer, refuse};
use super::store::{Found, Outcome, Store, StoreError};
use crate::document::Scope;
use crate::origin::{Accepted, Bounds, Origin, Publication, PublishError, Record, RestoreError};
use crate::state::State;

/// Publications that may wait for their turn.
const WAITING_MOST: usize = 64;
/// Records that are deleted with one write at most, so that none takes long.
const DELETED_MOST: usize = 64;

/// Tells the faults of a document whose form is sound.
pub type Check = Box<dyn Fn(&Scope, &str) -> Vec<String>>;

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
    server: Rc<Server<Held>>,
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
        let first: Vec<Record> = origin.pending().to_vec();
        if !first.is_empty() {
            match store.write(&first, &[], None) {
                // All at once, by the last.
                Outcome::Written => first.last().into_iter().for_each(|record| origin.written(record.index)),
                Outcome::NotWritten(error) | Outcome::Unknown(error) => {
                    return Err(OriginError::First(error));
                }
            }
        }
        log(format_args!("origin at index {}", origin.state().index()));
        let held = Held {
            origin: RefCell::new(origin),
            body_most: bounds.body_most,
            store: Arc::new(Mutex::new(store)),
            turn: tokio::sync::Mutex::new(()),
            waiting: tokio::sync::Semaphore::new(WAITING_MOST),
            check,
            changed: RefCell::new(None),
        };
        let server = Server::new(Rc::new(held), 0, limits, seed);
        let notified = Rc::downgrade(&server);
        let changed = move || {
            if let Some(server) = notified.upgrade() {
                server.changed();
            }
        };
        *server.source.changed.borrow_mut() = Some(Box::new(changed));
        Ok(Self { server })
    }

    /// Serves until `stop`, then ends all watches in order. Within a `LocalSet`.
    pub async fn run(self, listener: impl Listen, stop: impl Future<Output = ()>) {
        self.server.run(listener, stop).await;
    }
}

struct Held {
    origin: RefCell<Origin>,
    body_most: usize,
    store: Arc<Mutex<Store>>,
    /// One publication at a time.
    turn: tokio::sync::Mutex<()>,
    waiting: tokio::sync::Semaphore,
    check: Check,
    changed: RefCell<Option<Box<dyn Fn()>>>,
}

impl Held {
    /// Writes what the core waits for, and tells it.
    async fn write(&self, records: Vec<Record>) -> Result<(), Response<Answer>> {
        let store = Arc::clone(&self.store);
        let indexes: Vec<u64> = records.iter().map(|record| record.index).collect();
        let spare = self.spare();
        let written = spawn_blocking(move || {
            // After a panic in there the store opens the file anew with the next failure.
            store.lock().unwrap_or_else(PoisonError::into_inner).write(&records, &spare, None)
        });
        let Ok(outcome) = written.await else {
            log(format_args!("a write came to no end; nothing is accepted until it has been made"));
            return Err(refuse(StatusCode::SERVICE_UNAVAILABLE, "the write came to no end: ask again"));
        };
        let mut origin = self.origin.borrow_mut();
        match outcome {
            Outcome::Written => {
                indexes.last().into_iter().for_each(|&index| origin.written(index));
                drop(origin);
                if let Some(changed) = &*self.changed.borrow() {
                    changed();
                }
                Ok(())
            }
            Outcome::NotWritten(error) => {
                indexes.iter().for_each(|&index| origin.not_written(index));
                log(format_args!("{indexes:?} not written: {error}"));
                let status = if error.is_full() {
                    StatusCode::INSUFFICIENT_STORAGE
                } else {
                    StatusCode::SERVICE_UNAVAILABLE
                };
                Err(refuse(status, &format!("not written: {error}")))
            }
            Outcome::Unknown(error) => {
                log(format_args!(
                    "whether {indexes:?} is written is unknown, nothing is accepted until it is: {error}"
                ));
                let why = format!(
                    "whether it is written is unknown: {error}; nothing is accepted until it is known"
                );
                Err(refuse(StatusCode::SERVICE_UNAVAILABLE, &why))
            }
        }
    }

    /// Records on disk that nothing needs any more, the oldest.
    fn spare(&self) -> Vec<u64> {
        let origin = self.origin.borrow();
        let Ok(store) = self.store.lock() else { return Vec::new() };
        store.indexes().filter(|&index| !origin.needs(index)).take(DELETED_MOST).collect()
    }

    async fn publish(&self, publication: Publication) -> Response<Answer> {
        // What a failed disk left open comes first: written again, it is known.
        let open = self.origin.borrow().pending().to_vec();
        if !open.is_empty()
            && let Err(refused) = self.write(open).await
            && !self.origin.borrow().pending().is_empty()
        {
            return refused;
        }
        let accepted = self.origin.borrow_mut().publish(publication, &self.check);
        let index = match accepted {
            Ok(Accepted::Known(index)) => index,
            Ok(Accepted::Write(record)) => {
                let index = record.index;
                log(format_args!("{} at index {index}, request {:?}", record.document.scope, record.request));
                if let Err(refused) = self.write(vec![record]).await {
                    return refused;
                }
                index
            }
            Err(error) => return refused(&error),
        };
        answer(StatusCode::OK, &json!({ "index": index }))
    }
}

fn refused(error: &PublishError) -> Response<Answer> {
    let status = match error {
        PublishError::Faults(faults) => return answer(StatusCode::BAD_REQUEST, &json!({ "faults": faults })),
        PublishError::Conflict { have } => {
            return answer(StatusCode::CONFLICT, &json!({ "error": error.to_string(), "have": have }));
        }
        PublishError::Reused => StatusCode::CONFLICT,
        PublishError::TooLarge { .. } | PublishError::TooMany { .. } | PublishError::Full { .. } => {
            StatusCode::PAYLOAD_TOO_LARGE
        }
        PublishError::Busy => StatusCode::SERVICE_UNAVAILABLE,
    };
    refuse(status, &error.to_string())
}

impl Source for Held {
    fn see<T>(&self, look: impl FnOnce(&State) -> T) -> Option<T> {
        Some(look(self.origin.borrow().state()))
    }

    fn stale_s(&self) -> u64 {
        0
    }

    fn body_most(&self) -> usize {
        self.body_most
    }

    async fn change(self: Rc<Self>, change: Change) -> Response<Answer> {
        let Change { scope, body, request, if_version } = change;
        let body = match body.map(|body| String::from_utf8(body.into())).transpose() {
            Ok(body) => body.map(Into::into),
            Err(_) => return refuse(StatusCode::BAD_REQUEST, "the body is no UTF-8"),
        };
        let Ok(_waiting) = self.waiting.try_acquire() else {
            return refuse(StatusCode::SERVICE_UNAVAILABLE, "too many publications wait");
        };
        let _turn = self.turn.lock().await;
        self.publish(Publication { scope, body, request, if_version }).await
    }
}
