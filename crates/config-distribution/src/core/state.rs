//! The documents that a process knows: the newest one of each scope, and one index that never goes back.
//!
//! A parent can lag behind, restart from an older disk or send wrong data, and a balancer must not go back to an older
//! configuration because of it. Therefore an update is either accepted completely or refused, depending on its index,
//! its digests and the documents that are already known.

use std::collections::BTreeMap;

use thiserror::Error;

use crate::document::{Document, Scope, Update};

/// Maximum number of withdrawn documents that are remembered. A reader whose index is below the version of a forgotten
/// one is sent a snapshot.
pub const MAX_WITHDRAWN: usize = 256;

/// Reason for refusing an update. A refused update changes nothing.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Refusal {
    /// The index of the update is below the index of the state.
    #[error("index {index} of the update is below the current index {have}; an index never goes back")]
    IndexWentBack {
        /// Index of the refused update: the index that the state would have after it.
        index: u64,
        /// Current index of the state.
        have: u64,
    },
    /// The update is a delta that builds on changes that the state does not have.
    #[error(
        "the update builds on index {after}, but the current index is {have}; changes in between are missing"
    )]
    MissingChanges {
        /// The index that the state must have reached for the update to apply.
        after: u64,
        /// Current index of the state.
        have: u64,
    },
    /// The digest of a document does not match its content.
    #[error("document {scope} version {version}: the digest does not match the content")]
    Damaged {
        /// Scope of the document.
        scope: Scope,
        /// Version of the damaged document.
        version: u64,
    },
    /// A document contradicts the state: its version goes back, its content or its absence differs from what is known
    /// at the same index, or it occurs twice in the update.
    #[error("document {scope}: version {version} of the update conflicts with the known version {have}")]
    Conflict {
        /// Scope of the document.
        scope: Scope,
        /// Version of the document in the update; for a document missing from a snapshot, the index of the snapshot.
        version: u64,
        /// Version of the document in the state; 0 if it has none.
        have: u64,
    },
    /// The version of a document is above the index of its update.
    #[error("document {scope}: version {version} is above the index {index} of the update")]
    VersionAboveIndex {
        /// Scope of the document.
        scope: Scope,
        /// Version of the document in the update.
        version: u64,
        /// Index of the refused update: the index that the state would have after it.
        index: u64,
    },
    /// The update has a document of a scope that the reader did not request.
    #[error("document {scope}: the update has this scope, which was not requested")]
    NotRequested {
        /// Scope of the document that was not requested.
        scope: Scope,
    },
}

/// The scopes that a reader requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Wanted {
    /// All scopes, as a relay requests.
    All,
    /// Only the listed scopes.
    These(Vec<Scope>),
}

impl Wanted {
    /// Whether a scope is among the requested ones.
    #[must_use]
    pub fn includes(&self, scope: &Scope) -> bool {
        match self {
            Self::All => true,
            Self::These(scopes) => scopes.contains(scope),
        }
    }
}

/// The newest documents of a fixed set of scopes. A reader that changes the scopes it requests starts again with an
/// empty state.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct State {
    /// Index of the newest change in the state, in the origin's sequence of all changes.
    index: u64,
    /// Lowest index from which a reader can be sent a delta. Withdrawals of earlier changes may be unknown, so a reader
    /// with a lower index is sent a snapshot.
    min_delta_base: u64,
    /// The newest document of each scope, including withdrawn ones that are remembered.
    documents: BTreeMap<Scope, Document>,
}

impl State {
    /// Index of the newest change in the state.
    #[must_use]
    pub fn index(&self) -> u64 {
        self.index
    }

    /// The newest document of a scope; `None` if there is none or it has been withdrawn.
    #[must_use]
    pub fn get(&self, scope: &Scope) -> Option<&Document> {
        self.documents.get(scope).filter(|document| !document.is_withdrawn())
    }

    /// All documents, including the withdrawn ones that are remembered.
    pub fn documents(&self) -> impl Iterator<Item = &Document> {
        self.documents.values()
    }

    /// Applies an update completely, or refuses it and leaves the state as it was. Returns the scopes that changed.
    ///
    /// # Errors
    /// The update goes back, skips changes, is damaged, has a scope that was not requested, or conflicts with the
    /// history of this state.
    pub fn apply(&mut self, update: Update, wanted: &Wanted) -> Result<Vec<Scope>, Refusal> {
        let have = self.index;
        let Update { index, snapshot, after, documents, .. } = update;
        if index < have {
            return Err(Refusal::IndexWentBack { index, have });
        }
        if !snapshot && after > have {
            return Err(Refusal::MissingChanges { after, have });
        }
        let accepted = self.check_all(documents, index, wanted)?;
        let mut changed = if snapshot { self.check_absent(index, &accepted)? } else { Vec::new() };
        changed.extend(
            accepted.values().filter(|document| self.is_change(document)).map(|each| each.scope.clone()),
        );
        if snapshot && index > have {
            // A snapshot does not contain the documents that were withdrawn since the reader's index.
            self.min_delta_base = index;
            self.documents = accepted;
        } else {
            self.documents.extend(accepted);
        }
        self.index = index;
        self.forget_oldest_withdrawn();
        Ok(changed)
    }

    /// Checks that each document of an update can be accepted, and returns the documents by scope.
    fn check_all(
        &self,
        documents: Vec<Document>,
        index: u64,
        wanted: &Wanted,
    ) -> Result<BTreeMap<Scope, Document>, Refusal> {
        let mut accepted = BTreeMap::new();
        for document in documents {
            self.check(&document, index, wanted)?;
            let (scope, version) = (document.scope.clone(), document.version);
            if accepted.contains_key(&scope) {
                return Err(self.conflict(scope, version));
            }
            accepted.insert(scope, document);
        }
        Ok(accepted)
    }

    /// Checks that a document can be accepted from an update with the given index.
    fn check(&self, document: &Document, index: u64, wanted: &Wanted) -> Result<(), Refusal> {
        let (scope, version) = (document.scope.clone(), document.version);
        if !wanted.includes(&scope) {
            return Err(Refusal::NotRequested { scope });
        }
        if !document.has_valid_digest() {
            return Err(Refusal::Damaged { scope, version });
        }
        if version > index {
            return Err(Refusal::VersionAboveIndex { scope, version, index });
        }
        // All versions up to the current index are known, but a withdrawn document may have been forgotten since.
        let is_acceptable = match self.documents.get(&scope) {
            Some(current) if version <= self.index => current == document,
            Some(_) => true,
            None => version > self.index || version > 0 && document.is_withdrawn(),
        };
        if is_acceptable { Ok(()) } else { Err(self.conflict(scope, version)) }
    }

    /// Returns the refusal of a document that conflicts with the known version of its scope.
    fn conflict(&self, scope: Scope, version: u64) -> Refusal {
        let have = self.documents.get(&scope).map_or(0, |current| current.version);
        Refusal::Conflict { scope, version, have }
    }

    /// Returns the scopes whose documents are missing from a snapshot at the given index, as they were withdrawn. At
    /// the current index none may be missing, so there the snapshot is refused.
    fn check_absent(&self, index: u64, snapshot: &BTreeMap<Scope, Document>) -> Result<Vec<Scope>, Refusal> {
        let is_absent =
            |current: &&Document| !current.is_withdrawn() && !snapshot.contains_key(&current.scope);
        let absent: Vec<Scope> =
            self.documents.values().filter(is_absent).map(|current| current.scope.clone()).collect();
        match absent.first() {
            Some(scope) if index == self.index => Err(self.conflict(scope.clone(), index)),
            _ => Ok(absent),
        }
    }

    /// Whether an accepted document changes the configuration of its scope.
    fn is_change(&self, document: &Document) -> bool {
        let current = self.documents.get(&document.scope);
        current.is_none_or(|current| current.version < document.version)
            && !(document.is_withdrawn() && current.is_none_or(Document::is_withdrawn))
    }

    /// Returns the update that brings a reader at index `since` to the current index, with only the newest version of
    /// each document: a snapshot if the reader has nothing or its index is too low for a delta, otherwise a delta, and
    /// `None` if nothing has changed. A reader with a higher index than this state is sent the index of this state, so
    /// that it refuses the update and looks for another parent.
    #[must_use]
    pub fn since(&self, since: u64, wanted: &Wanted) -> Option<Update> {
        let update = |snapshot, after, documents| {
            Some(Update { index: self.index, snapshot, after, stale_s: 0, documents })
        };
        if since > self.index {
            return update(false, self.index, Vec::new());
        }
        let snapshot = since == 0 || since < self.min_delta_base;
        let is_sent = |document: &&Document| {
            wanted.includes(&document.scope)
                && if snapshot { !document.is_withdrawn() } else { document.version > since }
        };
        let documents: Vec<Document> = self.documents.values().filter(is_sent).cloned().collect();
        if snapshot {
            update(true, 0, documents)
        } else if documents.is_empty() {
            None
        } else {
            update(false, since, documents)
        }
    }

    /// As [`State::since`], for a parent that has received nothing from its own parents for `stale_s` seconds. If there
    /// is no change and `stale_s` is not 0, returns a delta without documents that carries `stale_s`. Returns `None`
    /// only if there is no change and `stale_s` is 0; the parent then sends an empty line as a heartbeat.
    #[must_use]
    pub fn next_update(&self, since: u64, wanted: &Wanted, stale_s: u64) -> Option<Update> {
        let update = self.since(since, wanted).or_else(|| {
            let (index, documents) = (self.index, Vec::new());
            (stale_s > 0).then_some(Update { index, snapshot: false, after: since, stale_s, documents })
        })?;
        Some(Update { stale_s, ..update })
    }

    /// Creates a state from documents that are complete up to `index`, except that withdrawals before `min_delta_base`
    /// may be missing.
    pub(crate) fn restored(index: u64, min_delta_base: u64, documents: BTreeMap<Scope, Document>) -> Self {
        let mut state = Self { index, min_delta_base, documents };
        state.forget_oldest_withdrawn();
        state
    }

    /// Adds the document of the next change, whose version becomes the index of the state.
    pub(crate) fn put(&mut self, document: Document) {
        self.index = document.version;
        self.documents.insert(document.scope.clone(), document);
        self.forget_oldest_withdrawn();
    }

    /// Forgets the oldest withdrawn documents beyond [`MAX_WITHDRAWN`]. Readers whose index is below one of them are
    /// sent a snapshot from then on.
    fn forget_oldest_withdrawn(&mut self) {
        let withdrawn = |document: &&Document| document.is_withdrawn();
        let mut versions: Vec<u64> =
            self.documents.values().filter(withdrawn).map(|document| document.version).collect();
        if versions.len() <= MAX_WITHDRAWN {
            return;
        }
        versions.sort_unstable();
        let last = versions[versions.len() - MAX_WITHDRAWN - 1];
        self.documents.retain(|_, document| !document.is_withdrawn() || document.version > last);
        self.min_delta_base = self.min_delta_base.max(last);
    }
}
