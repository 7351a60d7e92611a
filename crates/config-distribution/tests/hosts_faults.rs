//! Failing relays and faulty parents, with real processes on loopback.

mod hosts_common;

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use config_distribution::document::{Digest, Document, Scope, Update};
use hosts_common::{
    Directory, Follower, Process, document, get, large_document, publish, run_test, seed_starting_with,
    unique_address, wait_for, wait_for_report, wait_until_served,
};
use hyper::StatusCode;
use serde_json::json;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;

const SCOPES: [&str; 3] = ["fleet", "region/north", "service/api"];

/// A connection whose reads stop after a number of bytes until its gate opens.
struct GatedConnection {
    stream: TcpStream,
    gate: Rc<Gate>,
    /// Number of bytes that can still be read while the gate is closed.
    readable_bytes: usize,
}

/// Controls when a [`GatedConnection`] reads on.
#[derive(Default)]
struct Gate {
    open: Cell<bool>,
    /// Notified when the closed gate blocks a read.
    blocked: Notify,
    /// Waker of the blocked read.
    waker: Cell<Option<std::task::Waker>>,
}

impl Gate {
    /// Opens the gate and wakes the blocked read.
    fn release(&self) {
        self.open.set(true);
        self.waker.take().into_iter().for_each(std::task::Waker::wake);
    }
}

impl AsyncRead for GatedConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        into: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.gate.open.get() {
            return Pin::new(&mut self.stream).poll_read(context, into);
        }
        if self.readable_bytes == 0 {
            self.gate.blocked.notify_one();
            self.gate.waker.set(Some(context.waker().clone()));
            return Poll::Pending;
        }
        let mut part = [0; 1024];
        let readable_bytes = self.readable_bytes.min(part.len()).min(into.remaining());
        let mut buffer = ReadBuf::new(&mut part[..readable_bytes]);
        let read = Pin::new(&mut self.stream).poll_read(context, &mut buffer);
        self.readable_bytes -= buffer.filled().len();
        into.put_slice(buffer.filled());
        read
    }
}

impl AsyncWrite for GatedConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// Connects with a small receive buffer, so that unread data stays with the sender.
async fn connect_with_small_buffer(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(4096)?;
    socket.connect(address).await
}

#[test]
fn a_child_takes_in_no_partial_update_of_a_killed_relay() {
    run_test(async {
        let directory = Directory::new("middle");
        let origin = Process::origin(&directory, unique_address());
        let mut first = Process::relay(1, &[origin.address], unique_address());
        let second = Process::relay(1, &[origin.address], unique_address());
        // Together the documents are larger than the buffers between relay and child.
        let big = large_document(250 << 10);
        for scope in SCOPES {
            publish(origin.address, scope, &big, scope).await;
        }
        wait_until_served(first.address, 3).await;
        wait_until_served(second.address, 3).await;
        let gate = Rc::new(Gate::default());
        let (parents, gate_of_connections) = ([first.address, second.address], Rc::clone(&gate));
        let connect = move |address| {
            let gate = Rc::clone(&gate_of_connections);
            async move {
                Ok(GatedConnection {
                    stream: connect_with_small_buffer(address).await?,
                    gate,
                    readable_bytes: 64 << 10,
                })
            }
        };
        let mut child =
            Follower::with_connector("slow", &parents, &SCOPES, seed_starting_with(0, 2), connect);
        child.wait_for_connect(first.address).await;
        wait_for("the reader to block in the middle of an update", gate.blocked.notified()).await;
        first.kill();
        gate.release();
        child.wait_for_connect(second.address).await;
        assert!(child.has_received_nothing(), "a partial update was applied");
        child.wait_for_index(3).await;
        for scope in SCOPES {
            assert_eq!(child.body(scope).as_ref(), Some(&big));
        }
    });
}

#[test]
fn a_child_leaves_a_paused_relay() {
    run_test(async {
        let directory = Directory::new("paused");
        let origin = Process::origin(&directory, unique_address());
        let relays = [1, 2].map(|_| Process::relay(1, &[origin.address], unique_address()));
        let parents = [relays[0].address, relays[1].address];
        publish(origin.address, "fleet", &document(1), "1").await;
        wait_until_served(parents[0], 1).await;
        wait_until_served(parents[1], 1).await;
        let mut child = Follower::start("api-1", &parents, &SCOPES, seed_starting_with(0, 2));
        child.wait_for_connect(parents[0]).await;
        child.wait_for_index(1).await;
        relays[0].signal("STOP");
        publish(origin.address, "fleet", &document(2), "2").await;
        child.wait_for_connect(parents[1]).await;
        child.wait_for_index(2).await;
        relays[0].signal("CONT");
        relays[1].signal("STOP");
        publish(origin.address, "fleet", &document(3), "3").await;
        child.wait_for_connect(parents[0]).await;
        child.wait_for_index(3).await;
        assert_eq!(child.body("fleet"), Some(document(3)));
        relays[1].signal("CONT");
    });
}

#[test]
fn children_follow_the_region_relay_when_both_zone_relays_are_killed() {
    run_test(async {
        let directory = Directory::new("zone");
        let origin = Process::origin(&directory, unique_address());
        let region = Process::relay(1, &[origin.address], unique_address());
        let mut zone = [1, 2].map(|_| Process::relay(2, &[region.address], unique_address()));
        let parents = [zone[0].address, zone[1].address, region.address];
        let start = |number: u64| Follower::start(&format!("api-{number}"), &parents, &SCOPES, number);
        let mut children: Vec<Follower> = (0..10).map(start).collect();
        publish(origin.address, "fleet", &document(1), "1").await;
        for child in &mut children {
            child.wait_for_index(1).await;
        }
        zone.iter_mut().for_each(Process::kill);
        publish(origin.address, "region/north", &document(2), "2").await;
        for child in &mut children {
            child.wait_for_index(2).await;
            assert_eq!(child.body("region/north"), Some(document(2)));
        }
    });
}

#[test]
fn all_children_can_reconnect_at_once() {
    run_test(async {
        let directory = Directory::new("all");
        let origin = Process::origin(&directory, unique_address());
        let mut relays = [1, 2].map(|_| Process::relay(1, &[origin.address], unique_address()));
        let parents = [relays[0].address, relays[1].address];
        let start = |number: u64| Follower::start(&format!("api-{number}"), &parents, &SCOPES, number);
        let mut children: Vec<Follower> = (0..100).map(start).collect();
        publish(origin.address, "fleet", &document(1), "1").await;
        for child in &mut children {
            child.wait_for_index(1).await;
        }
        relays.iter_mut().for_each(Process::kill);
        relays[0] = Process::relay(1, &[origin.address], parents[0]);
        publish(origin.address, "fleet", &document(2), "2").await;
        for child in &mut children {
            child.wait_for_index(2).await;
        }
        wait_for_report(origin.address, "all children in the summed report", |status| {
            status["children"] == 100 && status["holders"]["fleet"]["versions"] == json!({ "2": 100 })
        })
        .await;
    });
}

#[test]
fn a_relay_ends_its_watches_properly_on_sigterm() {
    run_test(async {
        let directory = Directory::new("sigterm");
        let origin = Process::origin(&directory, unique_address());
        let mut relays = [1, 2].map(|_| Process::relay(1, &[origin.address], unique_address()));
        let parents = [relays[0].address, relays[1].address];
        publish(origin.address, "fleet", &document(1), "1").await;
        wait_until_served(parents[0], 1).await;
        wait_until_served(parents[1], 1).await;
        let mut children: Vec<Follower> = (0..20)
            .map(|number| {
                Follower::start(&format!("api-{number}"), &parents, &SCOPES, seed_starting_with(0, 2))
            })
            .collect();
        for child in &mut children {
            child.wait_for_index(1).await;
        }
        let mut reader = TcpStream::connect(parents[0]).await.unwrap();
        reader.write_all(b"GET /configuration?follow=1&since=0 HTTP/1.1\r\nhost: x\r\n\r\n").await.unwrap();
        let mut text = vec![0; 4096];
        wait_for("the first update", async {
            while !String::from_utf8_lossy(&text).contains("documents") {
                assert_ne!(reader.read(&mut text).await.unwrap(), 0);
            }
        })
        .await;
        relays[0].signal("TERM");
        let mut rest = Vec::new();
        wait_for("the end of the watch stream", reader.read_to_end(&mut rest)).await.unwrap();
        // A chunked body that is terminated properly ends with this chunk.
        assert!(rest.ends_with(b"0\r\n\r\n"), "body not terminated: {:?}", String::from_utf8_lossy(&rest));
        assert!(relays[0].wait_for_exit().await.success(), "log of the failed relay: {}", relays[0].log());
        publish(origin.address, "fleet", &document(2), "2").await;
        for child in &mut children {
            child.wait_for_connect(parents[1]).await;
            child.wait_for_index(2).await;
        }
    });
}

/// Starts a parent that answers each watch with the bytes `response_body` and then keeps the connection open silently.
async fn faulty_parent(response_body: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind(unique_address()).await.unwrap();
    let own = listener.local_addr().unwrap();
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let response_body = response_body.clone();
            spawn_local(async move {
                let mut request = [0; 4096];
                let _ = stream.read(&mut request).await;
                let head = b"HTTP/1.1 200 OK\r\nx-level: 0\r\ntransfer-encoding: chunked\r\n\r\n";
                let _ = stream.write_all(head).await;
                if !response_body.is_empty() {
                    let size = format!("{:x}\r\n", response_body.len());
                    let _ = stream.write_all(size.as_bytes()).await;
                    let _ = stream.write_all(&response_body).await;
                    let _ = stream.write_all(b"\r\n").await;
                }
                // Keeps the connection open until the reader closes it.
                while stream.read(&mut request).await.is_ok_and(|read| read > 0) {}
            });
        }
    });
    own
}

/// Asserts that a child whose first parent sends `response_body` leaves that parent, applies nothing from it, and
/// receives the configuration from another parent.
async fn assert_child_leaves_parent(name: &str, response_body: Vec<u8>) {
    let directory = Directory::new(name);
    let origin = Process::origin(&directory, unique_address());
    publish(origin.address, "service/api", &document(1), "1").await;
    let faulty_address = faulty_parent(response_body).await;
    let parents = [faulty_address, origin.address];
    let mut child = Follower::start("api-1", &parents, &SCOPES, seed_starting_with(0, 2));
    child.wait_for_connect(faulty_address).await;
    child.wait_for_connect(origin.address).await;
    assert!(child.has_received_nothing(), "an update of the faulty parent was applied");
    child.wait_for_index(1).await;
    assert_eq!(child.state.documents().count(), 1);
    assert_eq!(child.body("service/api"), Some(document(1)));
}

/// Encodes a snapshot with one document as a line of a watch.
fn snapshot_line(scope: &str, index: u64, body: &str) -> Vec<u8> {
    let scope: Scope = scope.parse().unwrap();
    let documents = vec![Document::new(scope, index, body.into())];
    let update = Update { index, snapshot: true, after: 0, stale_s: 0, documents };
    let mut line = serde_json::to_vec(&update).unwrap();
    line.push(b'\n');
    line
}

#[test]
fn a_parent_that_sends_no_update_is_left() {
    run_test(assert_child_leaves_parent("speechless", Vec::new()));
}

#[test]
fn a_parent_that_sends_half_a_line_is_left() {
    let mut line = snapshot_line("service/api", 7, &document(7));
    line.truncate(line.len() / 2);
    run_test(assert_child_leaves_parent("half", line));
}

#[test]
fn a_parent_that_sends_garbage_is_left() {
    run_test(assert_child_leaves_parent("garbage", b"\x00\xff{]\n".to_vec()));
}

#[test]
fn a_parent_that_sends_a_document_of_one_mebibyte_is_left() {
    run_test(assert_child_leaves_parent("large", snapshot_line("service/api", 7, &large_document(1 << 20))));
}

#[test]
fn a_parent_that_sends_an_endless_line_is_left() {
    run_test(assert_child_leaves_parent("endless", vec![b' '; 4 << 20]));
}

#[test]
fn a_parent_that_sends_a_document_of_another_service_is_left() {
    run_test(assert_child_leaves_parent("another", snapshot_line("service/other", 7, &document(7))));
}

#[test]
fn a_parent_that_sends_a_damaged_document_is_left() {
    let scope: Scope = "service/api".parse().unwrap();
    let digest = Digest::of(&scope, 7, &document(7));
    let documents = vec![Document { scope, version: 7, digest, body: document(8).into() }];
    let update = Update { index: 7, snapshot: true, after: 0, stale_s: 0, documents };
    let mut line = serde_json::to_vec(&update).unwrap();
    line.push(b'\n');
    run_test(assert_child_leaves_parent("damaged", line));
}

#[test]
fn a_relay_that_never_reached_a_parent_serves_no_empty_snapshot() {
    run_test(async {
        let directory = Directory::new("wordless");
        let unused_address = unique_address();
        let relay = Process::relay(1, &[unused_address], unique_address());
        for path in ["/configuration", "/configuration?follow=1&since=0"] {
            let (status, answer) = get(relay.address, path).await.unwrap();
            assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{answer}");
        }
        let mut child = Follower::start("api-1", &[relay.address], &SCOPES, 1);
        child.wait_for_connect(relay.address).await;
        child.wait_for_connect(relay.address).await;
        assert!(child.has_received_nothing());
        let origin = Process::origin(&directory, unused_address);
        publish(origin.address, "fleet", &document(1), "1").await;
        child.wait_for_index(1).await;
    });
}

#[test]
fn a_relay_without_a_parent_serves_its_stored_state_and_reports_it_as_stale() {
    run_test(async {
        let (directory, relay_directory) = (Directory::new("cut-origin"), Directory::new("cut-relay"));
        let mut origin = Process::origin(&directory, unique_address());
        publish(origin.address, "fleet", &document(1), "1").await;
        publish(origin.address, "service/api", &document(2), "2").await;
        let (parent_address, own) = (origin.address.to_string(), unique_address());
        let directory_path = relay_directory.path().to_str().unwrap();
        let arguments = ["relay", "--level", "1", "--parent", &parent_address, "--dir", directory_path];
        let mut relay = Process::start(&arguments, own);
        let mut child = Follower::start("api-1", &[own], &SCOPES, 1);
        child.wait_for_index(2).await;
        relay.wait_for_log("stored index 2").await;
        origin.kill();
        relay.kill();
        let _relay = Process::start(&arguments, own);
        let mut late = Follower::start("api-2", &[own], &SCOPES, 1);
        late.wait_for_index(2).await;
        assert_eq!(late.body("service/api"), Some(document(2)));
        wait_for("the relay to report that it is stale", async {
            loop {
                let path = "/configuration?since=2";
                let (status, answer) = get(own, path).await.unwrap();
                assert_eq!(status, StatusCode::OK);
                if answer["stale_s"].as_u64().unwrap_or(0) > 0 {
                    assert_eq!((&answer["index"], &answer["documents"]), (&json!(2), &json!([])));
                    return;
                }
                tokio::task::yield_now().await;
            }
        })
        .await;
        // An origin on a copy of the relay's directory continues from the stored index.
        let copy = Directory::new("cut-copy");
        for entry in std::fs::read_dir(relay_directory.path()).unwrap() {
            let entry = entry.unwrap();
            std::fs::copy(entry.path(), copy.path().join(entry.file_name())).unwrap();
        }
        let origin = Process::origin(&copy, origin.address);
        assert_eq!(publish(origin.address, "fleet", &document(3), "3").await, 3);
        late.wait_for_index(3).await;
        assert_eq!(late.body("fleet"), Some(document(3)));
        assert_eq!(late.body("service/api"), Some(document(2)));
    });
}

#[test]
fn relays_that_are_each_others_parents_do_not_form_a_loop() {
    run_test(async {
        let directory = Directory::new("loop");
        let origin = Process::origin(&directory, unique_address());
        let (one, other) = (unique_address(), unique_address());
        // Both relays have level 2, so each refuses the other as its parent and reads from the origin.
        let first = Process::relay(2, &[other, origin.address], one);
        let second = Process::relay(2, &[one, origin.address], other);
        publish(origin.address, "fleet", &document(1), "1").await;
        for relay in [&first, &second] {
            let mut child = Follower::start("api-1", &[relay.address], &SCOPES, 1);
            child.wait_for_index(1).await;
        }
        // The only parent of this relay has a higher level, so it follows none and has no state to serve.
        let alone = Process::relay(1, &[one], unique_address());
        alone.wait_for_log("the parent's level is not below the level of this relay, or is unknown").await;
        let (status, _) = get(alone.address, "/configuration").await.unwrap();
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    });
}
