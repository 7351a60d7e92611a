//! The origin: accepts publications, gives each the next index, and shows it once it is on disk.
//!
//! A publisher that has no answer repeats its request, and a disk may fail between a write and its confirmation. So a change
//! is pending until the host knows that it is stored or that it is not, and a request id gets the answer of before.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::document::{Digest, Document, Scope};
use crate::effective;
use crate::fault::{self, Fault};
use crate::state::State;

/// Bytes of a request id at most.
pub const MAX_REQUEST_ID_BYTES: usize = 128;
/// The highest index: the largest integer that every reader of JSON has exactly.
pub const MAX_INDEX: u64 = 1 << 53;

/// What the origin accepts at most.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Bytes of a document's body.
    pub max_body_bytes: usize,
    /// Documents that stand.
    pub max_documents: usize,
    /// Request ids that are remembered, the newest.
    pub max_request_ids: usize,
    /// Bytes of all bodies that stand together, so that a snapshot has a bound.
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

/// What a publisher asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Publication {
    /// Whom the document is for.
    pub scope: Scope,
    /// The document, or `None` to withdraw it.
    pub body: Option<Arc<str>>,
    /// Said again, it gets the answer of before. 1 to 128 bytes.
    pub request: Box<str>,
    /// Only if this version stands; 0 is none.
    pub if_version: Option<u64>,
}

/// An accepted change, as it is stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The change's index, which is the document's version.
    pub index: u64,
    /// The document.
    pub document: Document,
    /// The request id that it was asked for with; empty where the origin reissued it.
    pub request: Box<str>,
}

/// What became of a publication.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Accepted {
    /// It is accepted once this is on disk; [`Origin::written`] or [`Origin::not_written`] must follow.
    Write(Record),
    /// It had been accepted before, at this index.
    Known(u64),
}

/// Why a publication was refused; nothing of it remains.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PublishError {
    /// All that is wrong with it.
    #[error("{}", fault::join(.0))]
    Faults(Vec<Fault>),
    /// Another version stands than the one named.
    #[error("version {have} stands")]
    Conflict {
        /// The version that stands; 0 where there is none.
        have: u64,
    },
    /// The request id has been used for something else.
    #[error("the request id has been used for something else")]
    Reused,
    /// The body is over its bound.
    #[error("{bytes} bytes: at most {most}")]
    TooLarge {
        /// Its bytes.
        bytes: usize,
        /// The bound.
        most: usize,
    },
    /// There would be too many documents.
    #[error("at most {most} documents")]
    TooMany {
        /// The bound.
        most: usize,
    },
    /// All bodies together would be over their bound.
    #[error("{bytes} bytes of documents together: at most {most}")]
    Full {
        /// What it would come to.
        bytes: usize,
        /// The bound.
        most: usize,
    },
    /// The one before is being written: ask again after it.
    #[error("another change is being written")]
    Busy,
}

/// Why records make no origin.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RestoreError {
    /// A record's digest or index is not its document's.
    #[error("record {index} is damaged")]
    Damaged {
        /// Its index.
        index: u64,
    },
    /// An index past the highest.
    #[error("index {index}: at most {MAX_INDEX}")]
    TooHigh {
        /// The index.
        index: u64,
    },
    /// Two records have one index.
    #[error("record {index} comes twice")]
    Twice {
        /// Their index.
        index: u64,
    },
}

/// A request id that is remembered: its newest change.
#[derive(Debug)]
struct KnownRequest {
    index: u64,
    /// Over what was asked, by which a repeat differs from another use of the id.
    content: Digest,
}

/// The one process that accepts changes.
#[derive(Debug)]
pub struct Origin {
    bounds: Bounds,
    state: State,
    /// Request ids that are remembered, by the index of their change.
    requests: BTreeMap<u64, Box<str>>,
    by_request: HashMap<Box<str>, KnownRequest>,
    /// What is to be written before anything else: one record, or all documents reissued.
    pending: Vec<Record>,
}

impl Origin {
    /// From what the disk has, in any order. Where the disk is known to have lost acknowledged changes, `index_at_least`
    /// is the highest index that may have been seen: if the records end before it, all documents that stand are
    /// reissued past it, so that whoever has a lost change accepts them instead. These are [`Origin::pending`] and must be
    /// written, in one transaction, before anything is published; until then readers see what the disk had.
    ///
    /// # Errors
    /// A record is damaged or comes twice, or an index is too high.
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
            if *index == 0 || document.version != *index || !document.is_whole() {
                return Err(RestoreError::Damaged { index: *index });
            }
            if !indexes.insert(*index) {
                return Err(RestoreError::Twice { index: *index });
            }
            origin.remember(&record);
            if documents.get(&document.scope).is_none_or(|newest| newest.version < *index) {
                documents.insert(document.scope.clone(), record.document);
            }
        }
        let last = indexes.last().copied().unwrap_or(0);
        // After the last index that is missing every change is known.
        let run =
            indexes.iter().rev().zip((1..=last).rev()).take_while(|(index, next)| **index == *next).count();
        let missing = last - run as u64;
        let floor = if missing == 0 { 0 } else { missing + 1 };
        origin.state = State::restored(last, floor, documents);
        if index_at_least > MAX_INDEX {
            return Err(RestoreError::TooHigh { index: index_at_least });
        }
        if last < index_at_least {
            origin.reissue(index_at_least);
        }
        Ok(origin)
    }

    /// All documents that stand, past an index that may have been seen.
    fn reissue(&mut self, past: u64) {
        let mut standing: Vec<(Scope, Arc<str>)> = self
            .state
            .documents()
            .filter(|document| !document.is_withdrawn())
            .map(|document| (document.scope.clone(), Arc::clone(&document.body)))
            .collect();
        if standing.is_empty() {
            // Something has to carry the index.
            standing.push((Scope::Fleet, "null".into()));
        }
        // One index stays free, so that nobody can stand at the one before.
        for (index, (scope, body)) in (past + 2..).zip(standing) {
            self.pending.push(Record {
                index,
                document: Document::new(scope, index, body),
                request: Box::default(),
            });
        }
    }

    /// Checks a publication and gives it the next index. `check` returns the faults of a body whose form is sound.
    ///
    /// # Errors
    /// Why it is refused; nothing remains of it.
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
            return Err(PublishError::TooLarge { bytes, most: self.bounds.max_body_bytes });
        }
        let withdraws = body.is_none();
        let body: Arc<str> = body.map_or_else(|| "null".into(), |body| on_one_line(&body));
        if let Some(known) = self.by_request.get(&request) {
            let same = known.content == Digest::of(&scope, 0, &body);
            return if same { Ok(Accepted::Known(known.index)) } else { Err(PublishError::Reused) };
        }
        if !self.pending.is_empty() {
            return Err(PublishError::Busy);
        }
        if !withdraws {
            let faults = match effective::part(&scope, &body) {
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

    /// Whether there is capacity for a body in place of the document that stands.
    fn check_capacity(
        &self,
        current: Option<&Document>,
        body: &str,
        withdraws: bool,
    ) -> Result<(), PublishError> {
        let standing = self.state.documents().filter(|document| !document.is_withdrawn());
        let (count, bytes) =
            standing.fold((0, 0), |(count, bytes), document| (count + 1, bytes + document.body.len()));
        if current.is_none() && count >= self.bounds.max_documents {
            return Err(PublishError::TooMany { most: self.bounds.max_documents });
        }
        let bytes = bytes + body.len() - current.map_or(0, |current| current.body.len());
        if !withdraws && bytes > self.bounds.max_total_bytes {
            return Err(PublishError::Full { bytes, most: self.bounds.max_total_bytes });
        }
        Ok(())
    }

    /// What was pending is on disk, synced, and `index` is that of its last record: readers see it from now on, and it may
    /// be acknowledged.
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
            self.remember(&record);
            self.state.put(record.document);
        }
    }

    /// A record is not on disk and will not be; the host has looked. It is as if it had not been asked for, and its index
    /// is given again. What was reissued stays pending.
    pub fn not_written(&mut self, index: u64) {
        self.pending.retain(|record| record.index != index || record.request.is_empty());
    }

    /// What is to be written, in one transaction, and is not visible yet.
    #[must_use]
    pub fn pending(&self) -> &[Record] {
        &self.pending
    }

    /// Whether a record on disk is needed still: its document stands or its request id is remembered. Others may be
    /// deleted, the oldest first.
    #[must_use]
    pub fn needs(&self, index: u64) -> bool {
        self.requests.contains_key(&index)
            || self.state.documents().any(|document| document.version == index)
            || self.pending.iter().any(|record| record.index == index)
    }

    /// What readers see.
    #[must_use]
    pub fn state(&self) -> &State {
        &self.state
    }

    fn remember(&mut self, record: &Record) {
        let Record { index, document, request } = record;
        if request.is_empty() {
            return;
        }
        let content = Digest::of(&document.scope, 0, &document.body);
        self.requests.insert(*index, request.clone());
        // An id that was forgotten may have been used again.
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

/// A body as it goes out, on a line of its own: line breaks stand between the parts of JSON only.
fn on_one_line(body: &str) -> Arc<str> {
    body.trim().replace(['\n', '\r'], " ").into()
}
