//! Helpers of the core's tests: documents by short names, and a network of processes in virtual time.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod network;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use config_distribution::document::{Document, Scope, Update};
use config_distribution::state::{State, Wanted};

/// Live documents by scope, with their version.
pub type Model = BTreeMap<Scope, (u64, Arc<str>)>;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn scope(text: &str) -> Scope {
    text.parse().expect("a scope")
}

pub fn body(number: u64) -> Arc<str> {
    format!("{{\"settings\":{{\"overShareWorth\":{number}}}}}").into()
}

pub fn document(text: &str, version: u64) -> Document {
    Document::new(scope(text), version, body(version))
}

pub fn delta(after: u64, index: u64, documents: Vec<Document>) -> Update {
    Update { index, snapshot: false, after, stale_s: 0, documents }
}

pub fn snapshot(index: u64, documents: Vec<Document>) -> Update {
    Update { index, snapshot: true, after: 0, stale_s: 0, documents }
}

pub fn live(state: &State, wanted: &Wanted) -> Model {
    let documents =
        state.documents().filter(|document| !document.is_withdrawn() && wanted.has(&document.scope));
    documents
        .map(|document| (document.scope.clone(), (document.version, Arc::clone(&document.body))))
        .collect()
}
