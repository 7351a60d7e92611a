//! What a process knows: the newest document of each scope, and one index that never goes back.
//!
//! Parents fall behind, restart on older disks and lie; a balancer must not go back because one of them did. So an update
//! is accepted complete or refused, by rules that look at the index, the digests and what is known already.

use std::collections::BTreeMap;

use thiserror::Error;

use crate::document::{Document, Scope, Update};

/// Withdrawn documents that are remembered as such at most; a reader that stands before one that was forgotten is sent a
/// snapshot.
pub const MAX_WITHDRAWN: usize = 256;

/// Why an update was refused; nothing of it was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Refusal {
    /// It would take the index back.
    #[error("index {index} after {have}: it never goes back")]
    Older {
        /// What it said.
        index: u64,
        /// What stands.
        have: u64,
    },
    /// It builds on changes that were not seen.
    #[error("it builds on {after}, and {have} was the last seen")]
    Gap {
        /// What it builds on.
        after: u64,
        /// What stands.
        have: u64,
    },
    /// A document's digest is not that of the document.
    #[error("{scope} {version}: the digest is not the document's")]
    Damaged {
        /// Whose.
        scope: Scope,
        /// Its version.
        version: u64,
    },
    /// A document's version goes back, or it is another one than the one known at the same index, or it comes twice.
    #[error("{scope} {version} after {have}")]
    Conflict {
        /// Whose.
        scope: Scope,
        /// What it said.
        version: u64,
        /// What stands; 0 where there is none.
        have: u64,
    },
    /// A document's version lies past the index that it came with.
    #[error("{scope} {version} at index {index}")]
    Beyond {
        /// Whose.
        scope: Scope,
        /// What it said.
        version: u64,
        /// What it came with.
        index: u64,
    },
    /// A document that was not asked for.
    #[error("{scope} was not asked for")]
    Foreign {
        /// Whose.
        scope: Scope,
    },
}

/// Which scopes a reader asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Wanted {
    /// All, as a relay does.
    All,
    /// These.
    These(Vec<Scope>),
}

impl Wanted {
    /// Whether a scope is among them.
    #[must_use]
    pub fn has(&self, scope: &Scope) -> bool {
        match self {
            Self::All => true,
            Self::These(scopes) => scopes.contains(scope),
        }
    }
}

/// The newest documents. It is of one set of scopes for as long as it lives: a reader that comes to want others begins
/// with an empty one.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct State {
    index: u64,
    /// Of changes before it, withdrawals may be unknown here: a reader that stands before it is sent a snapshot.
    floor: u64,
    documents: BTreeMap<Scope, Document>,
}

impl State {
    /// The index that it stands at.
    #[must_use]
    pub fn index(&self) -> u64 {
        self.index
    }

    /// The newest document of a scope, if there is one.
    #[must_use]
    pub fn get(&self, scope: &Scope) -> Option<&Document> {
        self.documents.get(scope).filter(|document| !document.is_withdrawn())
    }

    /// All documents, also those withdrawn.
    pub fn documents(&self) -> impl Iterator<Item = &Document> {
        self.documents.values()
    }

    /// Accepts an update complete, or refuses it and stays as it was. Returns the scopes that changed.
    ///
    /// # Errors
    /// It goes back, has a gap before it, is damaged, of another service, or of another history than this state.
    pub fn apply(&mut self, update: Update, wanted: &Wanted) -> Result<Vec<Scope>, Refusal> {
        let have = self.index;
        let Update { index, snapshot, after, documents, .. } = update;
        if index < have {
            return Err(Refusal::Older { index, have });
        }
        if !snapshot && after > have {
            return Err(Refusal::Gap { after, have });
        }
        let accepted = self.check_all(documents, index, wanted)?;
        let mut changed = if snapshot { self.check_absent(index, &accepted)? } else { Vec::new() };
        changed.extend(
            accepted.values().filter(|document| self.is_change(document)).map(|each| each.scope.clone()),
        );
        if snapshot && index > have {
            // What was withdrawn on the way here is not in it.
            self.floor = index;
            self.documents = accepted;
        } else {
            self.documents.extend(accepted);
        }
        self.index = index;
        self.forget_oldest_withdrawn();
        Ok(changed)
    }

    /// The documents of an update by scope, each of which can be accepted.
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

    /// Whether a document that comes at an index can be accepted.
    fn check(&self, document: &Document, index: u64, wanted: &Wanted) -> Result<(), Refusal> {
        let (scope, version) = (document.scope.clone(), document.version);
        if !wanted.has(&scope) {
            return Err(Refusal::Foreign { scope });
        }
        if !document.is_whole() {
            return Err(Refusal::Damaged { scope, version });
        }
        if version > index {
            return Err(Refusal::Beyond { scope, version, index });
        }
        // What was made up to the index that stands has been seen; a withdrawn one may have been forgotten since.
        let is_sound = match self.documents.get(&scope) {
            Some(current) if version <= self.index => current == document,
            Some(_) => true,
            None => version > self.index || version > 0 && document.is_withdrawn(),
        };
        if is_sound { Ok(()) } else { Err(self.conflict(scope, version)) }
    }

    fn conflict(&self, scope: Scope, version: u64) -> Refusal {
        let have = self.documents.get(&scope).map_or(0, |current| current.version);
        Refusal::Conflict { scope, version, have }
    }

    /// The scopes whose documents a snapshot at an index no longer has; at the index that stands there can be none.
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

    /// Whether an accepted document changes what its scope says.
    fn is_change(&self, document: &Document) -> bool {
        let current = self.documents.get(&document.scope);
        current.is_none_or(|current| current.version < document.version)
            && !(document.is_withdrawn() && current.is_none_or(Document::is_withdrawn))
    }

    /// What a reader that stands at `since` has to be sent, merged to the newest: the whole where it has nothing or
    /// stands before what is known here, else the changes; `None` where there are none. A reader that stands past this
    /// state is sent its index, so that it refuses it and looks for another parent.
    #[must_use]
    pub fn since(&self, since: u64, wanted: &Wanted) -> Option<Update> {
        let update = |snapshot, after, documents| {
            Some(Update { index: self.index, snapshot, after, stale_s: 0, documents })
        };
        if since > self.index {
            return update(false, self.index, Vec::new());
        }
        let snapshot = since == 0 || since < self.floor;
        let is_sent = |document: &&Document| {
            wanted.has(&document.scope)
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

    /// As [`State::since`], from a parent that has received nothing from above for `stale_s` seconds: where there is
    /// nothing to send but that, a change without documents. `None`, for an empty line as a heartbeat, only where it is 0.
    #[must_use]
    pub fn next_update(&self, since: u64, wanted: &Wanted, stale_s: u64) -> Option<Update> {
        let update = self.since(since, wanted).or_else(|| {
            let (index, documents) = (self.index, Vec::new());
            (stale_s > 0).then_some(Update { index, snapshot: false, after: since, stale_s, documents })
        })?;
        Some(Update { stale_s, ..update })
    }

    /// One of documents that are known to be all up to `index`; withdrawals before `floor` may be missing.
    pub(crate) fn restored(index: u64, floor: u64, documents: BTreeMap<Scope, Document>) -> Self {
        let mut state = Self { index, floor, documents };
        state.forget_oldest_withdrawn();
        state
    }

    /// The next change.
    pub(crate) fn put(&mut self, document: Document) {
        self.index = document.version;
        self.documents.insert(document.scope.clone(), document);
        self.forget_oldest_withdrawn();
    }

    /// Forgets the oldest withdrawn documents over the bound; who stands before them is sent a snapshot.
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
        self.floor = self.floor.max(last);
    }
}
