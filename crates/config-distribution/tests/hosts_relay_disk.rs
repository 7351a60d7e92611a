//! Disk faults of a relay: a relay serves its in-memory state and recovers it from its disk at the start. A disk that
//! fails for a while or a damaged file must not end the relay.

mod hosts_common;

use std::fs;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use config_distribution::host::relay::{RelayHost, RelayOptions};
use config_distribution::host::server::Limits;
use config_distribution::host::store::{Outcome, Store};
use hosts_common::disk::{RecordingBackend, SharedDisk, Write, indexes, record};
use hosts_common::in_process::bind_listener;
use hosts_common::{
    Directory, Follower, Process, document, get, publish, run_test, unique_address, wait_for,
};
use redb::Builder;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::sleep;

const FILE_NAME: &str = "configuration.redb";

/// Content of a relay's store file with one document after the store was closed normally.
fn store_file_with_one_record(directory: &Directory) -> Vec<u8> {
    let (mut store, _) = Store::open_in(directory.path()).unwrap();
    assert!(matches!(store.write(&[record(3, &document(3))], &[], Some(3)), Outcome::Written));
    drop(store);
    fs::read(directory.path().join(FILE_NAME)).unwrap()
}

/// Starts a relay on a directory whose store file is `image`. No process listens at the address of its parent.
fn relay_on(directory: &Directory, image: &[u8]) -> Process {
    fs::write(directory.path().join(FILE_NAME), image).unwrap();
    let (directory_path, unused_address) = (directory.path().to_str().unwrap(), unique_address().to_string());
    Process::start(
        &["relay", "--level", "1", "--parent", &unused_address, "--dir", directory_path],
        unique_address(),
    )
}

#[test]
fn a_relay_with_a_truncated_store_file_starts_empty_and_stores_updates_again() {
    run_test(async {
        let source_directory = Directory::new("relay-whole");
        let whole = store_file_with_one_record(&source_directory);
        for length in [0, 1, 9, 300, 4096, whole.len() / 2, whole.len() - 1] {
            let directory = Directory::new(&format!("relay-cut-{length}"));
            drop(relay_on(&directory, &whole[..length]));
            let (origin_directory, relay_address) = (Directory::new("relay-cut-above"), unique_address());
            let origin = Process::origin(&origin_directory, unique_address());
            assert_eq!(publish(origin.address, "fleet", &document(7), "7").await, 1);
            let (directory_path, parent) = (directory.path().to_str().unwrap(), origin.address.to_string());
            let arguments = ["relay", "--level", "1", "--parent", &parent, "--dir", directory_path];
            let mut relay = Process::start(&arguments, relay_address);
            relay.wait_for_log("stored index 1").await;
            relay.kill();
            drop(origin);
            let relay = Process::start(&arguments, relay_address);
            let content = get(relay.address, "/configuration").await.unwrap().1;
            assert_eq!(content["index"], 1, "store file truncated to {length} bytes");
        }
    });
}

#[test]
fn a_relay_with_a_damaged_document_in_its_store_starts_empty() {
    run_test(async {
        let source_directory = Directory::new("relay-sound");
        let mut image = store_file_with_one_record(&source_directory);
        // Changes one digit of the document in every copy of its page.
        let content = document(3);
        let needle = content.as_bytes();
        let places: Vec<usize> =
            (0..image.len() - needle.len()).filter(|&at| image[at..].starts_with(needle)).collect();
        assert!(!places.is_empty());
        for place in places {
            let digit = place + content.find('3').unwrap();
            image[digit] = b'4';
        }
        let directory = Directory::new("relay-damaged");
        let relay = relay_on(&directory, &image);
        let (status, answer) = get(relay.address, "/configuration").await.unwrap();
        assert_eq!(status.as_u16(), 503, "{answer}");
    });
}

/// Starts a relay in the test process, on a disk with injected faults; returns its address and its task.
async fn start_relay(disk: &SharedDisk, parent: SocketAddr) -> (SocketAddr, JoinHandle<()>) {
    let options = RelayOptions {
        name: "relay".to_owned(),
        level: 1,
        parents: vec![parent],
        directory: None,
        limits: Limits::default(),
        seed: 1,
    };
    let disk = disk.clone();
    let opened = move || {
        let disk = disk.clone();
        Store::open_with(move || disk.open())
    };
    let host = RelayHost::with_opener(options, opened).expect("create the relay");
    let (listener, own) = bind_listener().await;
    (own, spawn_local(host.run(listener, std::future::pending())))
}

/// Waits until a document of this version is synced to the disk.
async fn wait_until_stored(disk: &SharedDisk, version: u64) {
    wait_for("the document to be synced to disk", async {
        while disk.after_power_loss().open_store().1.records.iter().all(|record| record.index != version) {
            sleep(Duration::from_millis(20)).await;
        }
    })
    .await;
}

#[test]
fn a_relay_serves_updates_while_its_disk_fails_and_stores_them_afterwards() {
    run_test(async {
        let (origin_directory, disk) = (Directory::new("relay-failing"), SharedDisk::default());
        let mut origin = Process::origin(&origin_directory, unique_address());
        publish(origin.address, "service/api", &document(1), "1").await;
        let (relay, running) = start_relay(&disk, origin.address).await;
        let mut child = Follower::start("api-1", &[relay], &["service/api"], 1);
        child.wait_for_index(1).await;
        wait_until_stored(&disk, 1).await;
        disk.lock_disk().failing_every_second_call = true;
        for number in 2..=20 {
            assert_eq!(
                publish(origin.address, "service/api", &document(number), &number.to_string()).await,
                number
            );
            child.wait_for_index(number).await;
            assert_eq!(child.body("service/api"), Some(document(number)));
        }
        disk.lock_disk().failing_every_second_call = false;
        wait_until_stored(&disk, 20).await;
        // A restarted relay without a running parent serves the newest document.
        running.abort();
        origin.kill();
        let (relay, _running) = start_relay(&disk.after_power_loss(), origin.address).await;
        let mut late = Follower::start("api-2", &[relay], &["service/api"], 1);
        late.wait_for_index(20).await;
        assert_eq!(late.body("service/api"), Some(document(20)));
    });
}

#[test]
fn a_relay_started_while_its_disk_fails_serves_its_parents_updates_and_stores_them_later() {
    run_test(async {
        let (origin_directory, disk) = (Directory::new("relay-begins"), SharedDisk::default());
        let origin = Process::origin(&origin_directory, unique_address());
        publish(origin.address, "fleet", &document(1), "1").await;
        disk.lock_disk().failing_openings = 1;
        let (relay, _running) = start_relay(&disk, origin.address).await;
        let mut child = Follower::start("api-1", &[relay], &["fleet"], 1);
        child.wait_for_index(1).await;
        wait_until_stored(&disk, 1).await;
    });
}

#[test]
fn a_relay_loads_its_stored_state_once_its_disk_works_again() {
    run_test(async {
        let (disk, unused_address) = (SharedDisk::default(), unique_address());
        let (mut store, _) = disk.open_store();
        assert!(matches!(store.write(&[record(3, &document(3))], &[], Some(3)), Outcome::Written));
        drop(store);
        disk.lock_disk().failing_openings = 1;
        let (relay, _running) = start_relay(&disk, unused_address).await;
        let mut child = Follower::start("api-1", &[relay], &["service/api"], 1);
        child.wait_for_index(3).await;
        assert_eq!(child.body("service/api"), Some(document(3)));
    });
}

/// Size in bytes of the longest write that is torn at every byte; a write of a header is at most as long.
const HEADER_BYTES: usize = 512;
/// Distance in bytes between the places at which a longer write is torn; not every byte, since each place opens a
/// store.
const STEP_BYTES: usize = 61;

#[test]
fn a_relays_torn_write_leaves_either_the_previous_or_the_new_state() {
    let disk = SharedDisk::default();
    let (mut store, _) = disk.open_store();
    assert!(matches!(store.write(&[record(1, &document(1))], &[], Some(1)), Outcome::Written));
    drop(store);
    let recorded = Arc::new(Mutex::new(Vec::new()));
    let recording = RecordingBackend { disk: disk.clone(), recorded: Arc::clone(&recorded) };
    let (mut store, _) =
        Store::open_with(move || Builder::new().create_with_backend(recording.clone())).unwrap();
    let (recorded_before, before) = (recorded.lock().unwrap().len(), disk.lock_disk().visible.clone());
    assert!(matches!(store.write(&[record(2, &document(2))], &[1], Some(2)), Outcome::Written));
    let writes: Vec<Write> = recorded.lock().unwrap()[recorded_before..].to_vec();
    let mut image = before;
    let mut tested = 0;
    for write in &writes {
        if let Write::Bytes(at, bytes) = write {
            let step = if bytes.len() <= HEADER_BYTES { 1 } else { STEP_BYTES };
            for length in (0..bytes.len()).step_by(step) {
                let mut torn = image.clone();
                Write::Bytes(*at, bytes[..length].to_vec()).apply(&mut torn);
                let (_, found) = SharedDisk::with_image(torn).open_store();
                // The index and the document come from the same write.
                assert!(found.records.iter().all(|record| record.document.has_valid_digest()));
                assert_eq!(
                    indexes(&found),
                    [found.index],
                    "index and records differ after a write torn at {length} of {} bytes",
                    bytes.len()
                );
                tested += 1;
            }
        }
        write.apply(&mut image);
    }
    assert!(tested > HEADER_BYTES, "expected more than {HEADER_BYTES} torn writes, got {tested}");
}

#[test]
fn ten_kills_of_a_relay_during_updates_leave_a_complete_state_and_never_an_older_one() {
    run_test(async {
        let (origin_directory, directory) =
            (Directory::new("relay-kills-above"), Directory::new("relay-kills"));
        let origin = Process::origin(&origin_directory, unique_address());
        let to = origin.address;
        let directory_path = directory.path().to_str().unwrap().to_owned();
        let started = |parent: SocketAddr| {
            let parent = parent.to_string();
            Process::start(
                &["relay", "--level", "1", "--parent", &parent, "--dir", &directory_path],
                unique_address(),
            )
        };
        publish(to, "service/api", &document(1), "1").await;
        let publishing = spawn_local(async move {
            for number in 2.. {
                assert_eq!(publish(to, "service/api", &document(number), &number.to_string()).await, number);
            }
        });
        let mut stored_index = 0;
        for round in 0..10_u64 {
            let mut relay = started(to);
            relay.wait_for_log("stored index").await;
            sleep(Duration::from_micros(20_000 + 3_700 * round)).await;
            relay.kill();
            // No process listens at the address of its parent, so the relay serves what it stored.
            let restarted = started(unique_address());
            let whole = get(restarted.address, "/configuration").await.unwrap().1;
            let index = whole["index"].as_u64().unwrap();
            assert!(index > stored_index, "round {round}: index {index} after {stored_index}");
            assert_eq!(whole["documents"][0]["version"], index);
            assert_eq!(whole["documents"][0]["body"]["settings"]["prices"]["crossZone"], index);
            stored_index = index;
        }
        publishing.abort();
    });
}
