//! The origin: accepts publications, gives each the next index, and makes it visible to readers once it is on disk.
//!
//! A publisher that receives no answer repeats its request, and a disk may fail between a write and its confirmation.
//! Therefore a change stays pending until the host knows whether it was stored, and a repeated request id gets the same
//! answer as before.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::document::{Digest, Document, Scope};
use crate::effective;
use crate::fault::{self, Fault};
use crate::state::State;

/// Maximum length of a request id in bytes.
pub const MAX_REQUEST_ID_BYTES: usize = 128;
/// The highest index: the largest integer up to which every JSON parser represents all integers exactly.
pub const MAX_INDEX: u64 = 1 << 53;

/// Limits of what the origin accepts and remembers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum size in bytes of a document's body.
    pub max_body_bytes: usize,
    /// Maximum number of documents, not counting withdrawn ones.
    pub max_documents: usize,
    /// Maximum number of request ids that are remembered; the oldest are forgotten first.
    pub max_request_ids: usize,
    /// Maximum total size in bytes of the bodies of all documents, which bounds the size of a snapshot.
    pub max_total_bytes: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            max_body_bytes: 256 << 10,
            max_documents: 4096,
            max_request_ids: 4096,
            max_total_bytes: 16 << 20,
        }
    }
}

/// A publisher's request to publish or withdraw a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Publication {
    /// Scope of the document.
    pub scope: Scope,
    /// The document, or `None` to withdraw it.
    pub body: Option<Arc<str>>,
    /// Request id, 1 to 128 bytes. A repeated request with the same id gets the same answer as before.
    pub request: Box<str>,
    /// If set, the publication is only accepted while this is the current version of the document; 0 stands for no
    /// document.
    pub if_version: Option<u64>,
}

/// An accepted change, as it is stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Index of the change in the origin's sequence of changes to all documents, which is also the version of its
    /// document.
    pub index: u64,
    /// The document as published; its body is `null` if the change withdraws it.
    pub document: Document,
    /// Request id of the publication; empty if the origin reissued the document itself.
    pub request: Box<str>,
}

/// Result of a publication that was accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Accepted {
    /// The publication is accepted once this record is on disk. The host writes it and then calls [`Origin::written`]
    /// or [`Origin::not_written`].
    Write(Record),
    /// The publication is a repeat of a request that was already accepted; its change has this index.
    AlreadyAccepted(u64),
}

/// Reason for refusing a publication. A refused publication changes nothing. The texts are sent to publishers in HTTP
/// responses and are part of the protocol.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PublishError {
    /// The publication has these faults.
    #[error("{}", fault::join(.0))]
    Faults(Vec<Fault>),
    /// The current version of the document is not the one that the publication requires.
    #[error("version {have} stands")]
    Conflict {
        /// Current version of the document; 0 if there is none.
        have: u64,
    },
    /// The request id was already used for a different change.
    #[error("the request id has been used for something else")]
    RequestIdReused,
    /// The body is larger than [`Bounds::max_body_bytes`].
    #[error("{bytes} bytes: at most {max}")]
    DocumentTooLarge {
        /// Size in bytes of the body in the publication.
        bytes: usize,
        /// Maximum size in bytes of a document's body.
        max: usize,
    },
    /// There are already [`Bounds::max_documents`] documents.
    #[error("at most {max} documents")]
    TooManyDocuments {
        /// Maximum number of documents, not counting withdrawn ones.
        max: usize,
    },
    /// All bodies together would be larger than [`Bounds::max_total_bytes`].
    #[error("{bytes} bytes of documents together: at most {max}")]
    TotalTooLarge {
        /// Total size of the bodies in bytes that the publication would lead to.
        bytes: usize,
        /// Maximum total size of the bodies in bytes.
        max: usize,
    },
    /// An earlier change is still being written; the publisher has to retry later.
    #[error("another change is being written")]
    Busy,
}

/// Reason why an origin cannot be restored from its records.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RestoreError {
    /// A record's index is 0 or differs from its document's version, or the digest does not match the document.
    #[error("record {index} is damaged: its index or digest does not match its document")]
    Damaged {
        /// Index of the change that the damaged record holds.
        index: u64,
    },
    /// An index is above [`MAX_INDEX`].
    #[error("index {index} of a record or of --index-at-least is above the maximum of {MAX_INDEX}")]
    TooHigh {
        /// The index of the record, or of `--index-at-least`, that is too high.
        index: u64,
    },
    /// Two records have the same index.
    #[error("there are two records with index {index}")]
    Duplicate {
        /// Index of the change that both records hold.
        index: u64,
    },
}

/// The newest change that was made with a remembered request id.
#[derive(Debug)]
struct KnownRequest {
    /// Index of the accepted change in the origin's sequence of all changes, in which each change has the next index.
    index: u64,
    /// Digest of the requested change, which tells a repeat of the request from another use of its id.
    content: Digest,
}

/// State of the origin, the one process that accepts changes.
#[derive(Debug)]
pub struct Origin {
    bounds: Bounds,
    /// The documents that readers see, without the changes in `pending`.
    state: State,
    /// Remembered request ids, by the index of the newest change that was made with each.
    requests: BTreeMap<u64, Box<str>>,
    /// The newest change of each remembered request id.
    by_request: HashMap<Box<str>, KnownRequest>,
    /// Records that must be written before the next change is accepted: one change, or all reissued documents.
    pending: Vec<Record>,
}

impl Origin {
    /// Restores the origin from the records on disk, given in any order. If the disk is known to have lost acknowledged
    /// changes, `index_at_least` is the highest index that readers may have seen. If the records end before it, all
    /// current documents are reissued with indexes above it, so that readers that have a lost change accept them
    /// instead. The reissued records are in [`Origin::pending`] and must be written in one transaction before anything
    /// is published; until then readers see what was on disk.
    ///
    /// # Errors
    /// A record is damaged or occurs twice, or an index is too high.
    pub fn restore(
        bounds: Bounds,
        records: impl IntoIterator<Item = Record>,
        index_at_least: u64,
    ) -> Result<Self, RestoreError> {
        let mut indexes = BTreeSet::new();
        let mut documents: BTreeMap<Scope, Document> = BTreeMap::new();
        let mut origin = Self {
            bounds,
            state: State::default(),
            requests: BTreeMap::new(),
            by_request: HashMap::new(),
            pending: Vec::new(),
        };
        for record in records {
            let Record { index, document, .. } = &record;
            if *index > MAX_INDEX {
                return Err(RestoreError::TooHigh { index: *index });
            }
            if *index == 0 || document.version != *index || !document.has_valid_digest() {
                return Err(RestoreError::Damaged { index: *index });
            }
            if !indexes.insert(*index) {
                return Err(RestoreError::Duplicate { index: *index });
            }
            origin.remember_request(&record);
            if documents.get(&document.scope).is_none_or(|newest| newest.version < *index) {
                documents.insert(document.scope.clone(), record.document);
            }
        }
        let last = indexes.last().copied().unwrap_or(0);
        // All changes after the last missing index are known, so a reader with a higher index can be sent a delta.
        let consecutive =
            indexes.iter().rev().zip((1..=last).rev()).take_while(|(index, next)| **index == *next).count();
        let missing = last - consecutive as u64;
        let min_delta_base = if missing == 0 { 0 } else { missing + 1 };
        origin.state = State::restored(last, min_delta_base, documents);
        if index_at_least > MAX_INDEX {
            return Err(RestoreError::TooHigh { index: index_at_least });
        }
        if last < index_at_least {
            origin.reissue(index_at_least);
        }
        Ok(origin)
    }

    /// Makes new records of all current documents pending, with indexes above `past`, which readers may have seen.
    fn reissue(&mut self, past: u64) {
        let mut live: Vec<(Scope, Arc<str>)> = self
            .state
            .documents()
            .filter(|document| !document.is_withdrawn())
            .map(|document| (document.scope.clone(), Arc::clone(&document.body)))
            .collect();
        if live.is_empty() {
            // At least one record is needed to raise the index, so the empty fleet scope is withdrawn.
            live.push((Scope::Fleet, "null".into()));
        }
        // Index `past + 1` is left out, so that no reader can be at the index before the first reissued record.
        for (index, (scope, body)) in (past + 2..).zip(live) {
            self.pending.push(Record {
                index,
                document: Document::new(scope, index, body),
                request: Box::default(),
            });
        }
    }

    /// Checks a publication and gives it the next index. `check` returns the faults in the settings of a body whose
    /// form is valid.
    ///
    /// # Errors
    /// The reason why the publication is refused; the origin is unchanged.
    pub fn publish(
        &mut self,
        publication: Publication,
        check: impl FnOnce(&Scope, &str) -> Vec<Fault>,
    ) -> Result<Accepted, PublishError> {
        let Publication { scope, body, request, if_version } = publication;
        if !(1..=MAX_REQUEST_ID_BYTES).contains(&request.len()) {
            return Err(PublishError::Faults(vec![Fault::RequestId { bytes: request.len() }]));
        }
        if let Some(bytes) =
            body.as_ref().map(|body| body.len()).filter(|bytes| *bytes > self.bounds.max_body_bytes)
        {
            return Err(PublishError::DocumentTooLarge { bytes, max: self.bounds.max_body_bytes });
        }
        let withdraws = body.is_none();
        let body: Arc<str> = body.map_or_else(|| "null".into(), |body| on_one_line(&body));
        if let Some(known) = self.by_request.get(&request) {
            let same = known.content == Digest::of(&scope, 0, &body);
            return if same {
                Ok(Accepted::AlreadyAccepted(known.index))
            } else {
                Err(PublishError::RequestIdReused)
            };
        }
        if !self.pending.is_empty() {
            return Err(PublishError::Busy);
        }
        if !withdraws {
            let faults = match effective::parse_settings(&scope, &body) {
                Ok(_) => check(&scope, &body),
                Err(faults) => faults.into_iter().map(Fault::Form).collect(),
            };
            if !faults.is_empty() {
                return Err(PublishError::Faults(faults));
            }
        }
        let current = self.state.get(&scope);
        let have = current.map_or(0, |current| current.version);
        if if_version.is_some_and(|version| version != have) {
            return Err(PublishError::Conflict { have });
        }
        if withdraws && current.is_none() {
            return Err(PublishError::Faults(vec![Fault::NothingToWithdraw { scope }]));
        }
        self.check_capacity(current, &body, withdraws)?;
        let index = self.state.index() + 1;
        let record = Record { index, document: Document::new(scope, index, body), request };
        self.pending.push(record.clone());
        Ok(Accepted::Write(record))
    }

    /// Checks that the limits allow `body` in place of the current document of its scope.
    fn check_capacity(
        &self,
        current: Option<&Document>,
        body: &str,
        withdraws: bool,
    ) -> Result<(), PublishError> {
        let live = self.state.documents().filter(|document| !document.is_withdrawn());
        let (count, bytes) =
            live.fold((0, 0), |(count, bytes), document| (count + 1, bytes + document.body.len()));
        if current.is_none() && count >= self.bounds.max_documents {
            return Err(PublishError::TooManyDocuments { max: self.bounds.max_documents });
        }
        let bytes = bytes + body.len() - current.map_or(0, |current| current.body.len());
        if !withdraws && bytes > self.bounds.max_total_bytes {
            return Err(PublishError::TotalTooLarge { bytes, max: self.bounds.max_total_bytes });
        }
        Ok(())
    }

    /// The host calls this once the pending records are on disk and synced; `index` is that of the last one. From then
    /// on readers see the change, and it may be acknowledged to the publisher.
    pub fn written(&mut self, index: u64) {
        if self.pending.last().is_none_or(|record| record.index != index) {
            return;
        }
        let pending = std::mem::take(&mut self.pending);
        if let Some(first) = pending.first().filter(|record| record.request.is_empty()) {
            let first = first.index;
            let documents =
                pending.into_iter().map(|record| (record.document.scope.clone(), record.document));
            self.state = State::restored(index, first, documents.collect());
            return;
        }
        for record in pending {
            self.remember_request(&record);
            self.state.put(record.document);
        }
    }

    /// The host calls this once it has checked that a record is not on disk and will not be. The change is dropped as
    /// if it had not been requested, and its index is used for the next one. Reissued records stay pending.
    pub fn not_written(&mut self, index: u64) {
        self.pending.retain(|record| record.index != index || record.request.is_empty());
    }

    /// Records that the host has to write in one transaction, and that readers do not see yet.
    #[must_use]
    pub fn pending(&self) -> &[Record] {
        &self.pending
    }

    /// Whether a record on disk is still needed, because it is pending, its document is the newest of its scope or its
    /// request id is remembered. Other records may be deleted, the oldest first.
    #[must_use]
    pub fn needs(&self, index: u64) -> bool {
        self.requests.contains_key(&index)
            || self.state.documents().any(|document| document.version == index)
            || self.pending.iter().any(|record| record.index == index)
    }

    /// The documents that readers see.
    #[must_use]
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Remembers the request id of a record and forgets the oldest ids beyond the limit.
    fn remember_request(&mut self, record: &Record) {
        let Record { index, document, request } = record;
        if request.is_empty() {
            return;
        }
        let content = Digest::of(&document.scope, 0, &document.body);
        self.requests.insert(*index, request.clone());
        // Records can have the same id, as an id can be used again after it was forgotten.
        if self.by_request.get(request).is_none_or(|known| known.index < *index) {
            self.by_request.insert(request.clone(), KnownRequest { index: *index, content });
        }
        while self.requests.len() > self.bounds.max_request_ids
            && let Some((index, oldest)) = self.requests.pop_first()
        {
            if self.by_request.get(&oldest).is_some_and(|known| known.index == index) {
                self.by_request.remove(&oldest);
            }
        }
    }
}

/// Returns a body on one line, as it is sent to readers. Replacing line breaks by spaces does not change the JSON
/// value, because JSON allows line breaks only between its tokens.
fn on_one_line(body: &str) -> Arc<str> {
    body.trim().replace(['\n', '\r'], " ").into()
}
