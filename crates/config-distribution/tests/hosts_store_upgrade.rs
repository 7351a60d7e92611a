//! Opens store files written by an earlier version: an upgrade must not lose acknowledged publications.

mod hosts_common;

use std::fs;

use config_distribution::document::{Document, Scope};
use config_distribution::host::store::{Store, StoreContents};
use hosts_common::{Directory, Process, get, publish, run_test, unique_address};
use serde_json::json;

/// Store file of an origin, run-length encoded; see `data/README.md`.
const ORIGIN_STORE: &[u8] = include_bytes!("data/origin-store.redb.runs");
/// Store file of a relay, run-length encoded; see `data/README.md`.
const RELAY_STORE: &[u8] = include_bytes!("data/relay-store.redb.runs");
/// Size of each decoded store file, in bytes.
const FILE_BYTES: usize = 4_755_456;

/// Removes a little-endian 32-bit count from the front of `runs` and returns it.
fn take_count(runs: &mut &[u8]) -> usize {
    let (count, rest) = runs.split_first_chunk().expect("a count of four bytes");
    *runs = rest;
    u32::from_le_bytes(*count) as usize
}

/// Decodes a run-length encoded file: each run is a count and the byte that it repeats, then a count of literal bytes
/// and those bytes.
fn decode_runs(mut runs: &[u8]) -> Vec<u8> {
    let mut file = Vec::new();
    while !runs.is_empty() {
        let repeats = take_count(&mut runs);
        let (byte, rest) = runs.split_first().expect("the repeated byte");
        file.resize(file.len() + repeats, *byte);
        runs = rest;
        let literals = take_count(&mut runs);
        let (literal, rest) = runs.split_at(literals);
        file.extend_from_slice(literal);
        runs = rest;
    }
    file
}

/// A directory with the store file that the earlier version left.
fn directory_with(name: &str, runs: &[u8]) -> Directory {
    let file = decode_runs(runs);
    assert_eq!(file.len(), FILE_BYTES);
    let directory = Directory::new(name);
    fs::write(directory.path().join("configuration.redb"), file).unwrap();
    directory
}

/// A document of this scope and version whose `crossZone` setting is `cross_zone`.
fn document(scope: &str, version: u64, cross_zone: u64) -> Document {
    let body = format!("{{\"settings\": {{\"prices\": {{\"crossZone\": {cross_zone}}}}}}}");
    Document::new(scope.parse().unwrap(), version, body.into())
}

/// A withdrawn document of this scope and version.
fn withdrawn(scope: &str, version: u64) -> Document {
    Document::new(scope.parse().unwrap(), version, "null".into())
}

/// Opens the store in a directory and returns its content.
fn found_in(directory: &Directory) -> StoreContents {
    Store::open_in(directory.path()).unwrap().1
}

fn documents(found: &StoreContents) -> Vec<Document> {
    found.records.iter().map(|record| record.document.clone()).collect()
}

#[test]
fn an_origin_store_of_an_earlier_version_has_all_its_records() {
    let found = found_in(&directory_with("stored-origin", ORIGIN_STORE));
    let requests: Vec<&str> = found.records.iter().map(|record| &*record.request).collect();
    let fleet = document("fleet", 1, 1);
    let api = document("service/api", 2, 2);
    let north = document("region/north", 4, 4);
    assert_eq!(documents(&found), [fleet, api, withdrawn("service/api", 3), north]);
    assert_eq!(requests, ["first", "second", "third", "fourth"]);
    assert_eq!(found.index, 0, "an origin stores no index of its own");
}

#[test]
fn a_relay_store_of_an_earlier_version_has_its_documents_and_its_index() {
    let found = found_in(&directory_with("stored-relay", RELAY_STORE));
    let fleet = document("fleet", 1, 1);
    let north = document("region/north", 4, 4);
    assert_eq!(documents(&found), [fleet, withdrawn("service/api", 3), north]);
    assert_eq!(found.index, 4);
}

#[test]
fn an_origin_continues_from_the_store_of_an_earlier_version() {
    run_test(async {
        let directory = directory_with("stored-origin-goes-on", ORIGIN_STORE);
        let origin = Process::origin(&directory, unique_address());
        let snapshot = get(origin.address, "/configuration").await.unwrap().1;
        assert_eq!(snapshot["index"], 4);
        let scopes: Vec<&str> = snapshot["documents"]
            .as_array()
            .unwrap()
            .iter()
            .map(|each| each["scope"].as_str().unwrap())
            .collect();
        assert_eq!(scopes, ["fleet", "region/north"]);
        // A request id stored by the earlier version is still recognized, and a new one gets the next index.
        let repeated = r#"{"settings": {"prices": {"crossZone": 4}}}"#;
        assert_eq!(publish(origin.address, "region/north", repeated, "fourth").await, 4);
        assert_eq!(publish(origin.address, "region/north", repeated, "fifth").await, 5);
    });
}

#[test]
fn a_relay_without_a_parent_serves_the_store_of_an_earlier_version() {
    run_test(async {
        let directory = directory_with("stored-relay-serves", RELAY_STORE);
        let (directory_path, unused_address) =
            (directory.path().to_str().unwrap(), unique_address().to_string());
        let arguments = ["relay", "--level", "1", "--parent", &unused_address, "--dir", directory_path];
        let relay = Process::start(&arguments, unique_address());
        let snapshot = get(relay.address, "/configuration").await.unwrap().1;
        let fleet: Scope = "fleet".parse().unwrap();
        assert_eq!(snapshot["index"], 4);
        assert_eq!(snapshot["documents"][0]["scope"], json!(fleet));
        assert_eq!(snapshot["documents"].as_array().map(Vec::len), Some(2));
    });
}
