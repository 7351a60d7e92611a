//! Endpoint names in the endpoint table: the number of remembered names is bounded, and an endpoint that is listed
//! again gets its previous id.

mod common;

use std::collections::HashSet;
use std::time::Duration;

use balancer_policy::interface::{EndpointId, ListUpdate, Time};
use balancer_proxy::clock::{MAX_PAST_STARTS, SystemClock};
use balancer_proxy::discovery::Update;
use balancer_proxy::endpoint_table::{EndpointTable, ListSource, MIN_NAMES_TO_PRUNE};
use balancer_settings::NameIndexes;
use common::settings;
use rustc_hash::FxHashSet;
use serde_json::json;

/// Number of names that a test lists and removes, many times the number that the table remembers.
const MANY_NAMES: usize = 10 * MIN_NAMES_TO_PRUNE;
/// Stamp, in Unix milliseconds, of a start that no list has named before.
const NEW_START_MS: u64 = 1_700_000_000_000;

/// An endpoint table to which the test applies deltas, and the endpoints that have attempts in flight.
struct TestTable {
    table: EndpointTable,
    names: NameIndexes,
    now: Time,
    /// Endpoints with attempts in flight; the table must keep their names.
    in_attempts: FxHashSet<EndpointId>,
}

impl TestTable {
    fn new() -> Self {
        let names = balancer_settings::read(&settings(50.0).to_string()).expect("valid settings").names;
        let table = EndpointTable::new(Box::new(SystemClock), 0);
        Self { table, names, now: Duration::from_secs(3600), in_attempts: FxHashSet::default() }
    }

    /// Applies a delta with one entry and returns the endpoint's id and start time.
    fn apply_delta(&mut self, name: &str, status: &str, since_ms: u64) -> (EndpointId, Option<Time>) {
        let entry = json!({ "name": name, "address": "127.0.0.1:9", "status": status, "since_ms": since_ms });
        let update: Update = serde_json::from_value(json!({ "endpoints": [entry] })).expect("a valid update");
        self.now += Duration::from_millis(1);
        let in_attempts = || self.in_attempts.clone();
        let applied =
            self.table.apply(self.now, &update.endpoints, ListSource::Delta, &self.names, in_attempts);
        let ListUpdate::Delta(members) = applied.update else {
            panic!("expected a delta, got {:?}", applied.update)
        };
        (members[0].id, members[0].started)
    }

    /// Lists [`MANY_NAMES`] names and removes each of them at once, and checks the number of remembered names after
    /// each.
    fn list_and_remove_many(&mut self, since_ms: u64) {
        for number in 0..MANY_NAMES {
            let name = format!("passing-{since_ms}-{number}");
            self.apply_delta(&name, "ready", since_ms);
            let needed = self.table.listed() + self.in_attempts.len() + MAX_PAST_STARTS;
            self.apply_delta(&name, "gone", since_ms);
            assert!(
                self.table.names() <= 2 * needed,
                "the table remembers {} names, expected at most twice the {needed} needed",
                self.table.names()
            );
        }
    }
}

#[test]
fn names_that_never_repeat_are_forgotten() {
    let mut test_table = TestTable::new();
    test_table.list_and_remove_many(0);
    // Names whose starts are remembered are kept longer.
    test_table.list_and_remove_many(NEW_START_MS);
}

#[test]
fn a_name_that_is_listed_again_gets_its_previous_id() {
    let mut test_table = TestTable::new();
    let names: Vec<String> = (0..100).map(|number| format!("s-{number}")).collect();
    let first: Vec<EndpointId> =
        names.iter().map(|name| test_table.apply_delta(name, "ready", 0).0).collect();
    for name in &names {
        test_table.apply_delta(name, "gone", 0);
    }
    test_table.list_and_remove_many(0);
    let again: Vec<EndpointId> =
        names.iter().map(|name| test_table.apply_delta(name, "ready", 0).0).collect();
    assert_eq!(again, first);
}

/// Ids are hashes of the names. `costarring` and `liquid` have the same hash, so the one listed later gets another id,
/// which it must keep while it is listed or has an attempt in flight.
#[test]
fn names_with_the_same_hash_keep_their_ids_while_in_use() {
    let listed = |test_table: &mut TestTable| {
        test_table.apply_delta("costarring", "ready", 0);
        test_table.apply_delta("liquid", "ready", 0).0
    };
    let mut test_table = TestTable::new();
    let later = listed(&mut test_table);
    test_table.apply_delta("costarring", "gone", 0);
    test_table.list_and_remove_many(0);
    assert_eq!(
        test_table.apply_delta("liquid", "ready", 0).0,
        later,
        "the id changed while the endpoint was listed"
    );

    let mut test_table = TestTable::new();
    let later = listed(&mut test_table);
    test_table.in_attempts.insert(later);
    test_table.apply_delta("costarring", "gone", 0);
    test_table.apply_delta("liquid", "gone", 0);
    test_table.list_and_remove_many(0);
    assert_eq!(
        test_table.apply_delta("liquid", "ready", 0).0,
        later,
        "the id changed while an attempt was in flight"
    );
}

#[test]
fn names_with_remembered_starts_keep_their_ids_and_starts() {
    let mut test_table = TestTable::new();
    test_table.apply_delta("older", "ready", 0);
    let before: Vec<_> = (0..MAX_PAST_STARTS)
        .map(|number| {
            let started = test_table.apply_delta(&format!("s-{number}"), "ready", NEW_START_MS);
            test_table.apply_delta(&format!("s-{number}"), "gone", NEW_START_MS);
            started
        })
        .collect();
    // These endpoints have no stamp, so they add no remembered starts that would displace the ones above.
    test_table.list_and_remove_many(0);
    test_table.now += Duration::from_secs(60);
    for (number, before) in before.into_iter().enumerate() {
        assert_eq!(test_table.apply_delta(&format!("s-{number}"), "ready", NEW_START_MS), before);
    }
}

/// Guards against a bound that removes names in use: a listed endpoint is never forgotten, however many are listed.
#[test]
fn listed_names_are_kept_beyond_the_bound() {
    let mut test_table = TestTable::new();
    let ids: HashSet<EndpointId> = (0..2 * MIN_NAMES_TO_PRUNE)
        .map(|number| test_table.apply_delta(&format!("s-{number}"), "ready", 0).0)
        .collect();
    assert_eq!(ids.len(), 2 * MIN_NAMES_TO_PRUNE);
    assert_eq!(test_table.table.names(), 2 * MIN_NAMES_TO_PRUNE);
}
