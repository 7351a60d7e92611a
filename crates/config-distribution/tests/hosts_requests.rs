//! Invalid requests, and requests and readers that exceed the limits.

mod hosts_common;

use std::net::SocketAddr;

use config_distribution::report::Sums;
use hosts_common::{
    Directory, Follower, Process, document, get, large_document, padded_document, publish, request_change,
    run_test, unique_address, wait_for, wait_until_served,
};
use hyper::StatusCode;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

/// Sends bytes on a new connection and returns everything received until the connection closes.
async fn response_to(to: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(to).await.unwrap();
    // The host may close the connection before all bytes are sent.
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let _ = wait_for("an answer", stream.read_to_end(&mut answer)).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// Opens a connection and sends a watch request with this query.
async fn open_watch(to: SocketAddr, query: &str) -> TcpStream {
    let mut stream = TcpStream::connect(to).await.unwrap();
    let request = format!("GET /configuration?follow=1&{query} HTTP/1.1\r\nhost: x\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    stream
}

#[test]
fn a_document_of_one_mebibyte_is_refused_and_one_of_the_maximum_size_accepted() {
    run_test(async {
        let directory = Directory::new("mebibyte");
        let origin = Process::origin(&directory, unique_address());
        let body = large_document(1 << 20);
        let (status, answer) =
            request_change(origin.address, "service/api", Some(&body), "1", None).await.unwrap();
        assert_eq!(status, StatusCode::PAYLOAD_TOO_LARGE);
        assert!(answer["error"].as_str().unwrap().contains("262144"), "limit not named: {answer}");
        assert_eq!(get(origin.address, "/configuration").await.unwrap().1["index"], 0);
        // A document of exactly the maximum size reaches a child.
        let empty = large_document(0).len();
        let body = large_document((256 << 10) - empty);
        let mut child = Follower::start("api-1", &[origin.address], &["service/api"], 1);
        assert_eq!(publish(origin.address, "service/api", &body, "2").await, 1);
        child.wait_for_index(1).await;
        assert_eq!(child.body("service/api"), Some(body));
    });
}

#[test]
fn invalid_requests_are_refused_and_change_nothing() {
    run_test(async {
        let directory = Directory::new("garbage");
        let origin = Process::origin(&directory, unique_address());
        let to = origin.address;
        let put = |path: &str, more: &str, body: &[u8]| {
            let head =
                format!("PUT {path} HTTP/1.1\r\nhost: x\r\n{more}content-length: {}\r\n\r\n", body.len());
            [head.as_bytes(), body].concat()
        };
        let id = "x-request-id: 1\r\n";
        let document = document(1);
        for (request, status, reason) in [
            (put("/configuration/service/api", "", document.as_bytes()), 400, "X-Request-Id"),
            (put("/configuration/service/", id, document.as_bytes()), 400, "is no scope"),
            (put("/configuration/service/a%20b", id, document.as_bytes()), 400, "is no scope"),
            (put("/configuration/service/api", &format!("{id}if-match: *\r\n"), b"{}"), 400, "If-Match"),
            (put("/configuration/service/api", id, b"\xff\xfe"), 400, "UTF-8"),
            (put("/configuration/service/api", id, b"{\"settings\":"), 400, "faults"),
            (put("/configuration/service/api", id, b"[]"), 400, "faults"),
            (
                put("/configuration/service/api", id, b"{\"settings\":{\"rules\":{\"coldS\":-1}}}"),
                400,
                "settings.rules.coldS",
            ),
            (put("/configuration/service/api", id, &b"[".repeat(100_000)), 400, "faults"),
            (put("/other", id, document.as_bytes()), 404, "no such path"),
            (put("/configuration", id, document.as_bytes()), 405, "no such method"),
            (b"GET /configuration?since=-1 HTTP/1.1\r\nhost: x\r\n\r\n".to_vec(), 400, "since"),
            (b"GET /configuration?scopes=some HTTP/1.1\r\nhost: x\r\n\r\n".to_vec(), 400, "scopes"),
            (
                format!("GET /configuration?scopes={} HTTP/1.1\r\nhost: x\r\n\r\n", ["fleet"; 9].join(","))
                    .into(),
                400,
                "at most 8",
            ),
            (
                b"POST /configuration/report HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\n{}".to_vec(),
                400,
                "report",
            ),
            (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n".to_vec(), 400, ""),
            (format!("GET /{} HTTP/1.1\r\n\r\n", "x".repeat(100_000)).into(), 4, ""),
            (format!("GET / HTTP/1.1\r\n{}\r\n", "x: y\r\n".repeat(1000)).into(), 4, ""),
        ] {
            let answer = response_to(to, &request).await;
            let start = String::from_utf8_lossy(&request[..request.len().min(60)]).into_owned();
            assert!(
                answer.starts_with(&format!("HTTP/1.1 {status}")),
                "expected status {status} for {start:?}, got {answer:?}"
            );
            assert!(answer.contains(reason), "expected {reason:?} for {start:?}, got {answer:?}");
        }
        let whole = get(to, "/configuration").await.unwrap().1;
        assert_eq!(whole, json!({ "index": 0, "snapshot": true, "after": 0, "documents": [] }));
        assert_eq!(publish(to, "service/api", &document, "1").await, 1);
    });
}

#[test]
fn the_connection_of_a_sender_that_is_too_slow_is_closed() {
    run_test(async {
        let directory = Directory::new("slow-sender");
        let origin = Process::origin(&directory, unique_address());
        let head =
            b"PUT /configuration/fleet HTTP/1.1\r\nhost: x\r\nx-request-id: 1\r\ncontent-length: 9\r\n\r\n{";
        let (one, other, none) = tokio::join!(
            response_to(origin.address, b"GET /configuration HT"),
            response_to(origin.address, head),
            response_to(origin.address, b""),
        );
        assert_eq!((one.as_str(), other.as_str(), none.as_str()), ("", "", ""));
        assert_eq!(get(origin.address, "/configuration").await.unwrap().1["index"], 0);
    });
}

#[test]
fn readers_beyond_the_limit_are_refused() {
    run_test(async {
        let directory = Directory::new("readers");
        let directory_path = directory.path().to_str().unwrap();
        let origin =
            Process::start(&["origin", "--dir", directory_path, "--readers-most", "2"], unique_address());
        let mut readers = Vec::new();
        for _ in 0..2 {
            let mut reader = open_watch(origin.address, "since=0").await;
            // Any bytes of the response show that the reader was accepted.
            let mut text = [0; 1024];
            assert_ne!(wait_for("the first update", reader.read(&mut text)).await.unwrap(), 0);
            readers.push(reader);
        }
        let third = get(origin.address, "/configuration?follow=1&since=0").await.unwrap();
        assert_eq!(third, (StatusCode::SERVICE_UNAVAILABLE, json!({ "error": "too many readers" })));
        // One reader disconnects. The follower tries until it is accepted in its place.
        readers.pop();
        let mut child = Follower::start("api-1", &[origin.address], &["fleet"], 1);
        publish(origin.address, "fleet", &document(1), "1").await;
        child.wait_for_index(1).await;
    });
}

#[test]
fn a_stalled_reader_is_closed_and_delays_no_other_reader() {
    run_test(async {
        let directory = Directory::new("stalled");
        let origin = Process::origin(&directory, unique_address());
        let big = large_document(250 << 10);
        for number in 0..12 {
            publish(origin.address, &format!("service/s{number}"), &big, &number.to_string()).await;
        }
        // The reader requests all documents, which exceed the buffers, and reads nothing.
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(4096).unwrap();
        let mut stalled = socket.connect(origin.address).await.unwrap();
        stalled
            .write_all(b"GET /configuration?follow=1&since=0&name=sleepy HTTP/1.1\r\nhost: x\r\n\r\n")
            .await
            .unwrap();
        let mut child = Follower::start("api-1", &[origin.address], &["service/s0"], 1);
        child.wait_for_state("the first document", |state| state.documents().count() == 1).await;
        publish(origin.address, "service/s0", &document(1), "last").await;
        child.wait_for_index(13).await;
        origin.wait_for_log("closed the watch of reader \"sleepy\"").await;
        // The stalled reader receives an incomplete body.
        let mut rest = Vec::new();
        let _ = wait_for("the connection to close", stalled.read_to_end(&mut rest)).await;
        assert!(
            rest.len() < 12 * big.len() && !rest.ends_with(b"\n\r\n"),
            "body complete or too long: {} bytes",
            rest.len()
        );
    });
}

#[test]
fn a_slow_reader_receives_the_newest_version_but_not_every_one() {
    run_test(async {
        let directory = Directory::new("merged");
        let origin = Process::origin(&directory, unique_address());
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(4096).unwrap();
        let mut slow = socket.connect(origin.address).await.unwrap();
        slow.write_all(b"GET /configuration?follow=1&since=0&scopes=fleet HTTP/1.1\r\nhost: x\r\n\r\n")
            .await
            .unwrap();
        let changes = 40;
        for number in 1..=changes {
            let body = padded_document(number, 100 << 10);
            assert_eq!(publish(origin.address, "fleet", &body, &number.to_string()).await, number);
        }
        let mut text = String::new();
        wait_for("the newest version", async {
            let mut part = vec![0; 64 << 10];
            while !text.contains(&format!("\"version\":{changes},")) || !text.ends_with('\n') {
                let read = slow.read(&mut part).await.unwrap();
                assert_ne!(read, 0);
                text.push_str(std::str::from_utf8(&part[..read]).unwrap());
            }
        })
        .await;
        let sent = text.matches("\"version\":").count();
        assert!((1..20).contains(&sent), "expected 1 to 19 versions to be sent, got {sent} of {changes}");
    });
}

#[test]
fn heartbeats_arrive_and_are_spread_over_time() {
    run_test(async {
        let directory = Directory::new("signs");
        let origin = Process::origin(&directory, unique_address());
        publish(origin.address, "fleet", &document(1), "1").await;
        let start = tokio::time::Instant::now();
        let mut heartbeats = Vec::new();
        for _ in 0..20 {
            let mut reader = open_watch(origin.address, "since=1").await;
            heartbeats.push(tokio::task::spawn_local(async move {
                let (mut text, mut part) = (Vec::new(), [0; 512]);
                // The first empty line is the first answer, the second the heartbeat.
                while text.windows(6).filter(|part| part == b"1\r\n\n\r\n").count() < 2 {
                    let read = reader.read(&mut part).await.unwrap();
                    assert_ne!(read, 0);
                    text.extend_from_slice(&part[..read]);
                }
                start.elapsed()
            }));
        }
        let mut times = Vec::new();
        for heartbeat in heartbeats {
            times.push(wait_for("a heartbeat", heartbeat).await.unwrap());
        }
        times.sort();
        let apart = times[19] - times[0];
        assert!(apart.as_millis() > 500, "heartbeats not spread by more than 500 ms: {times:?}");
    });
}

#[test]
fn reports_of_children_and_relays_are_summed() {
    run_test(async {
        let directory = Directory::new("reports");
        let origin = Process::origin(&directory, unique_address());
        let relay = Process::relay(1, &[origin.address], unique_address());
        publish(origin.address, "fleet", &document(1), "1").await;
        wait_until_served(relay.address, 1).await;
        let start =
            |number: u64, parent| Follower::start(&format!("api-{number}"), &[parent], &["fleet"], number);
        let _children: Vec<Follower> = (0..6)
            .map(|number| start(number, if number < 2 { origin.address } else { relay.address }))
            .collect();
        hosts_common::wait_for_report(origin.address, "all six children in the summed report", |status| {
            let sums: Sums = serde_json::from_value(status.clone()).unwrap();
            sums.children == 6 && sums.holders.values().all(|holders| holders.versions[&1] == 6)
        })
        .await;
    });
}
