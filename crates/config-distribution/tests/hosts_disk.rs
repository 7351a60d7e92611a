//! Disk faults of the origin: every acknowledged publication must survive torn writes, failed syncs, a full disk,
//! power failures and kills.

mod hosts_common;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use config_distribution::host::store::{Outcome, Store};
use config_distribution::origin::Bounds;
use hosts_common::disk::{RecordingBackend, SharedDisk, Write, indexes, record};
use hosts_common::in_process::start_origin;
use hosts_common::{
    Directory, Follower, Process, document, get, large_document, publish, request_change, run_test,
    unique_address, wait_for,
};
use hyper::StatusCode;
use redb::Builder;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

#[test]
fn a_torn_last_write_leaves_all_acknowledged_records() {
    let disk = SharedDisk::default();
    let (mut store, _) = disk.open_store();
    for index in 1..=5 {
        let outcome = store.write(&[record(index, &document(index))], &[], None);
        assert!(matches!(outcome, Outcome::Written));
    }
    // Records the individual writes of the sixth record, to tear them below.
    let before = disk.lock_disk().synced.clone();
    disk.lock_disk().failing_syncs = 0;
    let recorded = Arc::new(Mutex::new(Vec::new()));
    let recording = RecordingBackend { disk: disk.clone(), recorded: Arc::clone(&recorded) };
    drop(store);
    let (mut store, found) = {
        let recording = recording.clone();
        Store::open_with(move || Builder::new().create_with_backend(recording.clone())).unwrap()
    };
    assert_eq!(indexes(&found), [1, 2, 3, 4, 5]);
    let recorded_before = recorded.lock().unwrap().len();
    let opened = disk.lock_disk().synced.clone();
    assert!(matches!(store.write(&[record(6, &large_document(20_000))], &[], None), Outcome::Written));
    let writes: Vec<Write> = recorded.lock().unwrap()[recorded_before..].to_vec();
    assert!(
        writes.len() > 2 && before.len() <= opened.len(),
        "expected several writes, got {}",
        writes.len()
    );
    let mut seen = BTreeSet::new();
    for torn in 0..writes.len() {
        for share in [0, 1, 2, 3] {
            // Applies all writes before the torn one, and a part of the torn one.
            let mut image = opened.clone();
            writes[..torn].iter().for_each(|write| write.apply(&mut image));
            if let Write::Bytes(at, bytes) = &writes[torn] {
                Write::Bytes(*at, bytes[..bytes.len() * share / 4].to_vec()).apply(&mut image);
            }
            let (mut store, found) = SharedDisk::with_image(image).open_store();
            let kept = indexes(&found);
            assert_eq!(
                kept[..5],
                [1, 2, 3, 4, 5],
                "acknowledged records lost with write {torn} of {} torn",
                writes.len()
            );
            assert!(found.records.iter().all(|record| record.document.has_valid_digest()));
            seen.insert(kept.len());
            // The store accepts further records.
            assert!(matches!(store.write(&[record(7, &document(7))], &[], None), Outcome::Written));
        }
    }
    // With a torn header the commit before it is used. A complete header that was not synced may be used.
    assert!(seen.contains(&5), "no torn write led back to 5 records: {seen:?}");
}

#[test]
fn written_records_survive_a_power_failure_and_unwritten_ones_do_not_reappear() {
    // Covers failures of one, two and three successive syncs.
    for failing in 1..=3 {
        let disk = SharedDisk::default();
        let (mut store, _) = disk.open_store();
        assert!(matches!(store.write(&[record(1, &document(1))], &[], None), Outcome::Written));
        disk.lock_disk().failing_syncs = failing;
        let outcome = store.write(&[record(2, &document(2))], &[], None);
        disk.lock_disk().failing_syncs = 0;
        let kept = indexes(&disk.after_power_loss().open_store().1);
        match outcome {
            Outcome::Written => assert_eq!(kept, [1, 2], "{failing} syncs failed"),
            Outcome::NotWritten(_) => {
                assert_eq!(kept, [1], "{failing} syncs failed");
                assert!(matches!(store.write(&[record(2, &document(3))], &[], None), Outcome::Written));
                let found = disk.after_power_loss().open_store().1;
                assert_eq!(&*found.records[1].document.body, document(3));
            }
            Outcome::Unknown(_) => {
                // Repeating the write settles it.
                assert!(matches!(store.write(&[record(2, &document(2))], &[], None), Outcome::Written));
                assert_eq!(indexes(&disk.after_power_loss().open_store().1), [1, 2]);
            }
        }
    }
}

/// Starts an origin on `disk` with one document, and a child that has received it; returns the origin's address, its
/// task and the child.
async fn origin_and_child(disk: &SharedDisk) -> (SocketAddr, JoinHandle<()>, Follower) {
    let (origin, running) = start_origin(disk, Bounds::default()).await;
    publish(origin, "service/api", &document(1), "1").await;
    let mut child = Follower::start("api-1", &[origin], &["service/api"], 1);
    child.wait_for_index(1).await;
    (origin, running, child)
}

#[test]
fn a_full_disk_is_reported_and_readers_are_still_served() {
    run_test(async {
        let disk = SharedDisk::default();
        let (origin, running, mut child) = origin_and_child(&disk).await;
        let full = disk.lock_disk().visible.len();
        disk.lock_disk().capacity_bytes = Some(full);
        let big = large_document(250_000);
        let mut refused = 0;
        // Publishes until the file would have to grow past the capacity.
        for number in 2..40 {
            let id = format!("big {number}");
            let (status, answer) =
                request_change(origin, &format!("service/s{number}"), Some(&big), &id, None).await.unwrap();
            if status == StatusCode::INSUFFICIENT_STORAGE {
                assert!(
                    answer["error"].as_str().unwrap().starts_with("not written"),
                    "unexpected error: {answer}"
                );
                refused = number;
                break;
            }
            assert_eq!(status, StatusCode::OK, "{answer}");
        }
        assert!(refused > 0, "no publication was refused for a full disk");
        // The refused document is not visible, and existing and new readers are served.
        let whole = get(origin, "/configuration").await.unwrap().1;
        let scope = format!("service/s{refused}");
        assert!(whole["documents"].as_array().unwrap().iter().all(|document| document["scope"] != scope));
        let index = whole["index"].as_u64().unwrap();
        let mut late = Follower::start("api-2", &[origin], &["service/api"], 2);
        late.wait_for_state("the first document", |state| state.documents().count() == 1).await;
        disk.lock_disk().capacity_bytes = None;
        // The repeated request is accepted and gets the next index.
        assert_eq!(publish(origin, &scope, &big, &format!("big {refused}")).await, index + 1);
        assert_eq!(publish(origin, "service/api", &document(2), "2").await, index + 2);
        child.wait_for_index(index + 2).await;
        running.abort();
        let (again, _running) = start_origin(&disk.after_power_loss(), Bounds::default()).await;
        assert_eq!(get(again, "/configuration").await.unwrap().1["index"], index + 2);
    });
}

#[test]
fn no_publication_is_accepted_while_the_outcome_of_a_write_is_unknown() {
    run_test(async {
        let disk = SharedDisk::default();
        let (origin, running, mut child) = origin_and_child(&disk).await;
        {
            let mut disk = disk.lock_disk();
            (disk.failing_syncs, disk.failing_openings) = (1, 3);
        }
        for (id, number) in [("2", 2), ("3", 3)] {
            let body = document(number);
            let (status, answer) =
                request_change(origin, "service/api", Some(&body), id, None).await.unwrap();
            assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{answer}");
            assert!(answer["error"].as_str().unwrap().contains("is unknown"), "unexpected error: {answer}");
        }
        // Readers are served the state before the failed write.
        let mut late = Follower::start("api-2", &[origin], &["service/api"], 2);
        late.wait_for_index(1).await;
        assert_eq!(late.body("service/api"), Some(document(1)));
        // The disk works again: the write with the unknown outcome is settled first, and its repeated request gets its
        // index.
        assert_eq!(publish(origin, "service/api", &document(3), "3").await, 3);
        assert_eq!(publish(origin, "service/api", &document(2), "2").await, 2);
        child.wait_for_index(3).await;
        assert_eq!(child.body("service/api"), Some(document(3)));
        running.abort();
        let found = disk.after_power_loss().open_store().1;
        assert_eq!(indexes(&found), [1, 2, 3]);
    });
}

#[test]
fn publications_continue_after_a_failed_sync() {
    run_test(async {
        let disk = SharedDisk::default();
        let (origin, _running) = start_origin(&disk, Bounds::default()).await;
        publish(origin, "service/api", &document(1), "1").await;
        disk.lock_disk().failing_syncs = 1;
        let body = document(2);
        let (status, answer) = request_change(origin, "service/api", Some(&body), "2", None).await.unwrap();
        let index = publish(origin, "service/api", &body, "2").await;
        assert_eq!(index, 2, "first answer: {status} {answer}");
        assert_eq!(publish(origin, "service/api", &document(3), "3").await, 3);
        assert_eq!(indexes(&disk.after_power_loss().open_store().1), [1, 2, 3]);
    });
}

#[test]
fn unneeded_records_are_deleted() {
    run_test(async {
        let disk = SharedDisk::default();
        let bounds = Bounds { max_request_ids: 3, ..Bounds::default() };
        let (origin, running) = start_origin(&disk, bounds).await;
        publish(origin, "fleet", &document(1), "1").await;
        for number in 2..=20 {
            publish(origin, "service/api", &document(number), &number.to_string()).await;
        }
        running.abort();
        let found = disk.after_power_loss().open_store().1;
        let kept = indexes(&found);
        // Kept are the newest record of each scope, the records of the remembered request ids, and those that became
        // unneeded only with the last write.
        assert!(
            kept.len() <= 5 && kept.contains(&1) && kept.ends_with(&[18, 19, 20]),
            "unexpected records kept: {kept:?}"
        );
        let (again, _running) = start_origin(&disk.after_power_loss(), Bounds::default()).await;
        assert_eq!(publish(again, "service/api", &document(20), "20").await, 20);
        assert_eq!(publish(again, "service/api", &document(21), "21").await, 21);
    });
}

#[test]
fn an_origin_killed_right_after_an_acknowledgement_keeps_the_publication() {
    run_test(async {
        let directory = Directory::new("acknowledged");
        let mut origin = Process::origin(&directory, unique_address());
        let mut child = Follower::start("api-1", &[origin.address], &["service/api"], 1);
        for number in 1..=5 {
            assert_eq!(
                publish(origin.address, "service/api", &document(number), &number.to_string()).await,
                number
            );
            origin.kill();
            origin = Process::origin(&directory, origin.address);
            let whole = get(origin.address, "/configuration").await.unwrap().1;
            assert_eq!(whole["index"], number);
            assert_eq!(whole["documents"][0]["body"]["settings"]["prices"]["crossZone"], number);
        }
        child.wait_for_index(5).await;
    });
}

#[test]
fn a_second_origin_on_the_same_directory_does_not_start() {
    let directory = Directory::new("second");
    let _origin = Process::origin(&directory, unique_address());
    let output = hosts_common::binary()
        .args([
            "origin",
            "--listen",
            &unique_address().to_string(),
            "--dir",
            directory.path().to_str().unwrap(),
        ])
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2), "stderr: {}", String::from_utf8_lossy(&output.stderr));
}

#[test]
fn a_publication_repeated_after_a_lost_answer_is_applied_once() {
    run_test(async {
        let directory = Directory::new("repeated");
        let mut origin = Process::origin(&directory, unique_address());
        let body = document(1);
        // The publisher disconnects before it receives the answer.
        let mut stream = TcpStream::connect(origin.address).await.unwrap();
        let request = format!(
            "PUT /configuration/service/api HTTP/1.1\r\nhost: x\r\nx-request-id: one\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(request.as_bytes()).await.unwrap();
        drop(stream);
        assert_eq!(publish(origin.address, "service/api", &body, "one").await, 1);
        assert_eq!(publish(origin.address, "service/api", &document(2), "two").await, 2);
        assert_eq!(publish(origin.address, "service/api", &body, "one").await, 1);
        origin.kill();
        let origin = Process::origin(&directory, origin.address);
        assert_eq!(publish(origin.address, "service/api", &body, "one").await, 1);
        let (status, answer) =
            request_change(origin.address, "service/api", Some(&document(3)), "one", None).await.unwrap();
        assert_eq!(status, StatusCode::CONFLICT, "{answer}");
        let whole = get(origin.address, "/configuration").await.unwrap().1;
        assert_eq!(whole["index"], 2);
        assert_eq!(whole["documents"][0]["body"], json!({ "settings": { "prices": { "crossZone": 2 } } }));
    });
}

#[test]
fn of_two_concurrent_conditional_publications_exactly_one_is_accepted() {
    run_test(async {
        let directory = Directory::new("crossing");
        let origin = Process::origin(&directory, unique_address());
        let mut version = publish(origin.address, "fleet", &document(0), "0").await;
        for round in 1..=10 {
            let (left, right) = (document(2 * round), document(2 * round + 1));
            let (left_id, right_id) = (format!("left {round}"), format!("right {round}"));
            let to = origin.address;
            let (left, right) = tokio::join!(
                request_change(to, "fleet", Some(&left), &left_id, Some(version)),
                request_change(to, "fleet", Some(&right), &right_id, Some(version)),
            );
            let mut answers = [left.unwrap(), right.unwrap()];
            answers.sort_by_key(|(status, _)| *status);
            assert_eq!(answers[0], (StatusCode::OK, json!({ "index": version + 1 })));
            assert_eq!((answers[1].0, &answers[1].1["have"]), (StatusCode::CONFLICT, &json!(version + 1)));
            version += 1;
        }
        // Without `If-Match` both publications are accepted, one after the other.
        let (left, right) = (document(1), document(2));
        let (left, right) = tokio::join!(
            publish(origin.address, "fleet", &left, "left"),
            publish(origin.address, "service/api", &right, "right")
        );
        assert_eq!(BTreeSet::from([left, right]), BTreeSet::from([version + 1, version + 2]));
        let mut rest = Vec::new();
        let mut stream = TcpStream::connect(origin.address).await.unwrap();
        stream.write_all(b"GET /configuration HTTP/1.1\r\nhost: x\r\n\r\n").await.unwrap();
        wait_for("an answer", stream.read_to_end(&mut rest)).await.unwrap();
        assert!(rest.starts_with(b"HTTP/1.1 200"));
    });
}

/// While every second disk operation fails, the origin acknowledges some publications and refuses at least one. All
/// that it acknowledged stay visible, and it recovers once the disk no longer fails.
#[test]
fn an_origin_refuses_some_publications_while_its_disk_fails_and_recovers_by_itself() {
    run_test(async {
        let disk = SharedDisk::default();
        let (origin, running, mut child) = origin_and_child(&disk).await;
        disk.lock_disk().failing_every_second_call = true;
        let (mut acknowledged, mut refused) = (1, 0);
        for number in 2..=60 {
            let body = document(number);
            let (status, answer) =
                request_change(origin, "service/api", Some(&body), &number.to_string(), None).await.unwrap();
            if status == StatusCode::OK {
                let index = answer["index"].as_u64().unwrap();
                assert!(index > acknowledged, "acknowledged index {index} after {acknowledged}");
                acknowledged = index;
            } else {
                let expected_statuses = [StatusCode::SERVICE_UNAVAILABLE, StatusCode::INSUFFICIENT_STORAGE];
                assert!(expected_statuses.contains(&status), "unexpected answer: {status} {answer}");
                refused += 1;
            }
            // Readers are still served everything that was acknowledged.
            let whole = get(origin, "/configuration").await.unwrap().1;
            assert!(
                whole["index"].as_u64().unwrap() >= acknowledged,
                "expected index {acknowledged} or later: {whole}"
            );
        }
        assert!(refused > 0, "no publication was refused");
        disk.lock_disk().failing_every_second_call = false;
        let last = publish(origin, "service/api", &document(61), "61").await;
        assert!(last > acknowledged, "index {last} after acknowledged index {acknowledged}");
        child.wait_for_index(last).await;
        assert_eq!(child.body("service/api"), Some(document(61)));
        running.abort();
        let found = disk.after_power_loss().open_store().1;
        assert_eq!(indexes(&found).last(), Some(&last));
        assert!(found.records.iter().all(|record| record.document.has_valid_digest()));
    });
}
