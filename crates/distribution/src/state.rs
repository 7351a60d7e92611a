//! What a process holds: the newest document of each scope and one index that never goes back.

use std::collections::BTreeMap;

use thiserror::Error;

use crate::document::{Document, Scope, Update};

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
    /// A document's version goes back, or says another thing at the same version.
    #[error("{scope} {version} after {have}")]
    Conflict {
        /// Whose.
        scope: Scope,
        /// What it said.
        version: u64,
        /// What stands.
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

/// The newest documents.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct State {
    index: u64,
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
    /// It goes back, has a gap before it, is damaged or of another service.
    pub fn take(&mut self, update: Update, wanted: &Wanted) -> Result<Vec<Scope>, Refusal> {
        let have = self.index;
        if update.index < have {
            return Err(Refusal::Older { index: update.index, have });
        }
        if !update.snapshot && update.after > have {
            return Err(Refusal::Gap { after: update.after, have });
        }
        for document in &update.documents {
            let Document { scope, version, .. } = document;
            let (scope, version) = (scope.clone(), *version);
            if !wanted.has(&scope) {
                return Err(Refusal::Foreign { scope });
            }
            if !document.is_whole() {
                return Err(Refusal::Damaged { scope, version });
            }
            if version > update.index {
                return Err(Refusal::Beyond { scope, version, index: update.index });
            }
            if let Some(held) = self.documents.get(&scope)
                && (version < held.version || version == held.version && document.digest != held.digest)
            {
                return Err(Refusal::Conflict { scope, version, have: held.version });
            }
        }
        let mut changed = Vec::new();
        if update.snapshot {
            let named = |scope: &Scope| update.documents.iter().any(|document| document.scope == *scope);
            let gone: Vec<Scope> = self.documents.keys().filter(|scope| !named(scope)).cloned().collect();
            for scope in gone {
                let before = self
                    .documents
                    .insert(scope.clone(), Document::new(scope.clone(), update.index, "null".into()));
                if before.is_some_and(|before| !before.is_withdrawn()) {
                    changed.push(scope);
                }
            }
        }
        for document in update.documents {
            let newer =
                self.documents.get(&document.scope).is_none_or(|held| held.version < document.version);
            if newer {
                changed.push(document.scope.clone());
                self.documents.insert(document.scope.clone(), document);
            }
        }
        self.index = update.index;
        Ok(changed)
    }

    /// What a reader that stands at `since` has to be told, merged to the newest: the whole where it has nothing or
    /// stands past this state, else the changes; `None` where there are none.
    #[must_use]
    pub fn since(&self, since: u64, wanted: &Wanted) -> Option<Update> {
        let snapshot = since == 0;
        let documents: Vec<Document> = self
            .documents
            .values()
            .filter(|document| wanted.has(&document.scope) && document.version > since)
            .filter(|document| !snapshot || !document.is_withdrawn())
            .cloned()
            .collect();
        (snapshot || !documents.is_empty()).then_some(Update {
            index: self.index,
            snapshot,
            after: if snapshot { 0 } else { since },
            stale_s: 0,
            documents,
        })
    }
}
