//! Helpers for the tests of the sans-IO core: short constructors for documents and updates, and a simulated network of
//! processes in virtual time.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

pub mod network;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use config_distribution::document::{Document, Scope, Update};
use config_distribution::state::{State, Wanted};

/// Documents that are not withdrawn, by scope: version and body.
pub type Model = BTreeMap<Scope, (u64, Arc<str>)>;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn scope(text: &str) -> Scope {
    text.parse().expect("a valid scope")
}

/// Valid document body whose content depends on `number`.
pub fn body(number: u64) -> Arc<str> {
    format!("{{\"settings\":{{\"overShareWorth\":{number}}}}}").into()
}

/// Valid document for the scope written as `text`; its body depends on the version.
pub fn document(text: &str, version: u64) -> Document {
    Document::new(scope(text), version, body(version))
}

/// Update that holds the documents changed after the index `after`, up to `index`.
pub fn delta(after: u64, index: u64, documents: Vec<Document>) -> Update {
    Update { index, snapshot: false, after, stale_s: 0, documents }
}

/// Update that holds all documents at `index`.
pub fn snapshot(index: u64, documents: Vec<Document>) -> Update {
    Update { index, snapshot: true, after: 0, stale_s: 0, documents }
}

/// Documents in `state` that belong to the wanted scopes and are not withdrawn.
pub fn live(state: &State, wanted: &Wanted) -> Model {
    let documents =
        state.documents().filter(|document| !document.is_withdrawn() && wanted.includes(&document.scope));
    documents
        .map(|document| (document.scope.clone(), (document.version, Arc::clone(&document.body))))
        .collect()
}
