//! What a process holds: the newest document of each scope and one index that never goes back.

use std::collections::BTreeMap;

use thiserror::Error;

use crate::document::{Document, Scope, Update};

/// Withdrawn documents that are kept as such at most; a reader that stands before one that was let go is told the whole.
pub const WITHDRAWN_MOST: usize = 256;

/// Why an update was refused; nothing of it was taken in.
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
    /// A document's version goes back, or it is another one than the one held at the same index, or it comes twice.
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

/// The newest documents. It is of one set of scopes for as long as it is kept: a reader that comes to want others begins
/// with an empty one.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct State {
    index: u64,
    /// Of changes before it, withdrawals may be unknown here: a reader that stands before it is told the whole.
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

    /// Takes in an update whole, or refuses it and stays as it was. Tells the scopes that changed.
    ///
    /// # Errors
    /// It goes back, has a gap before it, is damaged, of another service, or of another history than this state.
    pub fn take(&mut self, update: Update, wanted: &Wanted) -> Result<Vec<Scope>, Refusal> {
        let have = self.index;
        let Update { index, snapshot, after, documents, .. } = update;
        if index < have {
            return Err(Refusal::Older { index, have });
        }
        if !snapshot && after > have {
            return Err(Refusal::Gap { after, have });
        }
        let mut told = BTreeMap::new();
        for document in documents {
            let Document { scope, version, .. } = &document;
            let (scope, version) = (scope.clone(), *version);
            if !wanted.has(&scope) {
                return Err(Refusal::Foreign { scope });
            }
            if !document.is_whole() {
                return Err(Refusal::Damaged { scope, version });
            }
            if version > index {
                return Err(Refusal::Beyond { scope, version, index });
            }
            let held = self.documents.get(&scope);
            // What was made up to the index that stands has been seen; a withdrawn one may have been let go since.
            let sound = match held {
                Some(held) if version <= have => *held == document,
                Some(_) => true,
                None => version > have || version > 0 && document.is_withdrawn(),
            };
            if !sound || told.contains_key(&scope) {
                return Err(Refusal::Conflict { scope, version, have: held.map_or(0, |held| held.version) });
            }
            told.insert(scope, document);
        }
        let mut changed = Vec::new();
        if snapshot {
            for held in self.documents.values().filter(|held| !held.is_withdrawn()) {
                if told.contains_key(&held.scope) {
                    continue;
                }
                if index == have {
                    let (scope, version) = (held.scope.clone(), index);
                    return Err(Refusal::Conflict { scope, version, have: held.version });
                }
                changed.push(held.scope.clone());
            }
        }
        for (scope, document) in &told {
            let held = self.documents.get(scope);
            if held.is_none_or(|held| held.version < document.version)
                && !(document.is_withdrawn() && held.is_none_or(Document::is_withdrawn))
            {
                changed.push(scope.clone());
            }
        }
        if snapshot && index > have {
            // What was withdrawn on the way here is not in it.
            self.floor = index;
            self.documents = told;
        } else {
            self.documents.extend(told);
        }
        self.index = index;
        self.let_go();
        Ok(changed)
    }

    /// What a reader that stands at `since` has to be told, merged to the newest: the whole where it has nothing or
    /// stands before what is known here, else the changes; `None` where there are none. A reader that stands past this
    /// state is told its index, so that it refuses it and looks for another parent.
    #[must_use]
    pub fn since(&self, since: u64, wanted: &Wanted) -> Option<Update> {
        let update = |snapshot, after, documents| {
            Some(Update { index: self.index, snapshot, after, stale_s: 0, documents })
        };
        if since > self.index {
            return update(false, self.index, Vec::new());
        }
        let snapshot = since == 0 || since < self.floor;
        let told = |document: &&Document| {
            wanted.has(&document.scope)
                && if snapshot { !document.is_withdrawn() } else { document.version > since }
        };
        let documents: Vec<Document> = self.documents.values().filter(told).cloned().collect();
        if snapshot {
            update(true, 0, documents)
        } else if documents.is_empty() {
            None
        } else {
            update(false, since, documents)
        }
    }

    /// As [`State::since`], from a parent that has heard nothing from above for `stale_s` seconds: where there is nothing to
    /// tell but that, a change without documents. `None`, for an empty line as a sign of life, only where it is 0.
    #[must_use]
    pub fn tell(&self, since: u64, wanted: &Wanted, stale_s: u64) -> Option<Update> {
        let update = self.since(since, wanted).or_else(|| {
            let (index, documents) = (self.index, Vec::new());
            (stale_s > 0).then_some(Update { index, snapshot: false, after: since, stale_s, documents })
        })?;
        Some(Update { stale_s, ..update })
    }

    /// One of documents that are known to be all up to `index`; withdrawals before `floor` may be missing.
    pub(crate) fn restored(index: u64, floor: u64, documents: BTreeMap<Scope, Document>) -> Self {
        let mut state = Self { index, floor, documents };
        state.let_go();
        state
    }

    /// The next change.
    pub(crate) fn put(&mut self, document: Document) {
        self.index = document.version;
        self.documents.insert(document.scope.clone(), document);
        self.let_go();
    }

    /// Lets the oldest withdrawn documents go over the bound.
    fn let_go(&mut self) {
        let withdrawn = |document: &&Document| document.is_withdrawn();
        let mut versions: Vec<u64> =
            self.documents.values().filter(withdrawn).map(|document| document.version).collect();
        if versions.len() <= WITHDRAWN_MOST {
            return;
        }
        versions.sort_unstable();
        let last = versions[versions.len() - WITHDRAWN_MOST - 1];
        self.documents.retain(|_, document| !document.is_withdrawn() || document.version > last);
        self.floor = self.floor.max(last);
    }
}
