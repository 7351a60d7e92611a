//! Kills an origin in the middle of writes, and truncates the store's file: acknowledged records must survive a kill,
//! and a truncated file must be refused.

mod hosts_common;

use std::fs::{self, OpenOptions};
use std::panic;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::{Duration, Instant};

use config_distribution::host::store::{Outcome, Store};
use hosts_common::disk::{indexes, record};
use hosts_common::{
    Directory, Process, binary, document, get, publish, request_change, run_test, unique_address, wait_for,
};
use tokio::task::spawn_local;
use tokio::time::sleep;

const FILE_NAME: &str = "configuration.redb";
/// Number of bytes at the start and at the end of the file in which every length is tested; between them only
/// multiples of `STEP_BYTES` are.
const EDGE_BYTES: usize = 8 << 10;
/// Distance in bytes between tested lengths in the middle of the file. It is not a power of two, so that pages are
/// truncated at varying offsets.
const STEP_BYTES: usize = 4093;

/// Content of a store file with three records after the store was closed normally.
fn store_file_with_three_records(directory: &Directory) -> Vec<u8> {
    let (mut store, _) = Store::open_in(directory.path()).unwrap();
    for index in 1..=3 {
        let outcome = store.write(&[record(index, &document(index))], &[], Some(index));
        assert!(matches!(outcome, Outcome::Written));
    }
    drop(store);
    fs::read(directory.path().join(FILE_NAME)).unwrap()
}

/// Lengths to which a file of `whole` bytes is truncated, in ascending order.
fn truncated_lengths(whole: usize) -> impl DoubleEndedIterator<Item = usize> {
    (0..whole).filter(move |length| {
        *length < EDGE_BYTES || *length + EDGE_BYTES >= whole || length % STEP_BYTES == 0
    })
}

/// Suppresses the panic messages of redb's assertions, which truncated files cause in large numbers.
fn silence_redb_assertions() {
    let hook = panic::take_hook();
    panic::set_hook(Box::new(move |panic| {
        if !panic.location().is_some_and(|place| place.file().contains("/redb-")) {
            hook(panic);
        }
    }));
}

#[test]
fn a_store_file_truncated_to_any_length_is_refused() {
    silence_redb_assertions();
    let (source_directory, cut) = (Directory::new("whole"), Directory::new("cut"));
    let whole = store_file_with_three_records(&source_directory);
    let path = cut.path().join(FILE_NAME);
    fs::write(&path, &whole).unwrap();
    let found = Store::open_in(cut.path()).map(|(_, found)| indexes(&found));
    assert_eq!(found.unwrap(), [1, 2, 3]);
    fs::write(&path, &whole).unwrap();
    let file = OpenOptions::new().write(true).open(&path).unwrap();
    // Truncates the same file further and further; a refused open does not change it.
    for length in truncated_lengths(whole.len()).rev() {
        file.set_len(length as u64).unwrap();
        let found = Store::open_in(cut.path()).ok().map(|(_, found)| found);
        assert!(
            found.is_none(),
            "file truncated to {length} of {} bytes was accepted: {found:?}",
            whole.len()
        );
    }
}

/// Starts a process and kills it as soon as a file in its directory is not empty.
fn kill_during_first_start(arguments: &[&str], directory: &Path) {
    let mut child = binary()
        .args(arguments)
        .args(["--listen", &unique_address().to_string()])
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let deadline = Instant::now() + hosts_common::WAIT_TIMEOUT;
    let written = |path: PathBuf| fs::metadata(path).is_ok_and(|file| file.len() > 0);
    while !fs::read_dir(directory).unwrap().flatten().any(|entry| written(entry.path())) {
        assert!(Instant::now() < deadline, "the process wrote no file in time");
    }
    child.kill().unwrap();
    child.wait().unwrap();
}

#[test]
fn an_origin_killed_during_its_first_start_can_be_started_again() {
    run_test(async {
        for round in 0..20 {
            let directory = Directory::new(&format!("first-{round}"));
            let directory_path = directory.path().to_str().unwrap();
            kill_during_first_start(&["origin", "--dir", directory_path], directory.path());
            let origin = Process::origin(&directory, unique_address());
            assert_eq!(publish(origin.address, "fleet", &document(1), "1").await, 1);
        }
    });
}

#[test]
fn ten_kills_during_publications_lose_no_acknowledged_publication() {
    run_test(async {
        let directory = Directory::new("ten-kills");
        let own = unique_address();
        let mut acknowledged = 0;
        let mut number = 0;
        for round in 0..10_u64 {
            let mut origin = Process::origin(&directory, own);
            let whole = get(own, "/configuration").await.unwrap().1;
            let index = whole["index"].as_u64().unwrap();
            assert!(
                index >= acknowledged,
                "round {round}: index {index} after a restart, {acknowledged} acknowledged before it"
            );
            // Publishes one change after another. The last one gets no answer, because the process is killed meanwhile.
            let publishing = spawn_local(async move {
                let mut last = acknowledged;
                loop {
                    number += 1;
                    let body = document(number);
                    let id = format!("{round} {number}");
                    match request_change(own, "service/api", Some(&body), &id, None).await {
                        Ok((status, answer)) if status.is_success() => {
                            let index = answer["index"].as_u64().unwrap();
                            assert!(index > last, "acknowledged index {index} after {last}");
                            last = index;
                        }
                        _ => return (last, number),
                    }
                }
            });
            sleep(Duration::from_micros(20_000 + 3_700 * round)).await;
            origin.kill();
            (acknowledged, number) =
                wait_for("the publisher to see the failed connection", publishing).await.unwrap();
        }
        assert!(acknowledged > 10, "expected more than 10 acknowledged publications, got {acknowledged}");
        let _origin = Process::origin(&directory, own);
        let whole = get(own, "/configuration").await.unwrap().1;
        assert!(
            whole["index"].as_u64().unwrap() >= acknowledged,
            "expected index {acknowledged} or later: {whole}"
        );
    });
}
