//! A balancer that is held up, between reading its clock and writing or at any other moment.

mod common;

use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use common::*;
use dahliahead::config::Config;
use dahliahead::discovery::Update;
use dahliahead::driver::{Answer, Driver, Taken};
use dahliahead::socket::Socket;
use dahliahead::upstream::Call;
use hyper::header::HeaderValue;
use hyper::{Method, Uri};
use serde_json::json;
use tokio::sync::oneshot;
use tokio::task::{LocalSet, spawn_local};

/// For how long a balancer may be held up.
const HOLD_UP: Duration = Duration::from_millis(150);
// --- Between the hand-over of a request and its writing ---

/// Runs on a runtime of its own, with a driver of this configuration.
fn drive(configuration: &str, test: impl AsyncFnOnce(&Rc<Driver>)) {
    let config = Config::parse(configuration, |_| None).expect("a sound configuration");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("starts");
    LocalSet::new().block_on(&runtime, async {
        let driver = Driver::start(config).expect("sound settings");
        test(&driver).await;
    });
}

/// A client that stays, and the balancer's side of its connection.
fn client() -> (TcpStream, Socket) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let client = TcpStream::connect(listener.local_addr().expect("bound")).expect("accepted");
    let (near, _) = listener.accept().expect("a connection");
    near.set_nonblocking(true).expect("set");
    let near = tokio::net::TcpStream::from_std(near).expect("an open socket");
    (client, Socket::new(near))
}

/// Takes a request of a class that may be repeated.
fn take(driver: &Rc<Driver>, near: &Socket, deadline: tokio::time::Instant) -> oneshot::Receiver<Answer> {
    let offered = driver.offered();
    let call = Call {
        method: Method::GET,
        uri: Uri::from_static("/read"),
        host: HeaderValue::from_static("origin.svc"),
        id: HeaderValue::from_static("r-1"),
        key: None,
        body: Bytes::new(),
        once: false,
    };
    let taken = Taken {
        class: offered.class("read").expect("it is offered").0,
        tenant: offered.tenant("acme"),
        key: None,
        expected_work: None,
        repeat: false,
        deadline,
        call: Rc::new(call),
        client: near.downgrade(),
    };
    driver.take(taken).1
}

/// Waits until a connection that has just carried an answer may carry the next request.
async fn wait_for_rest() {
    tokio::time::sleep(Duration::from_millis(30)).await;
}

/// Guards the deadline that is passed on: it is worked out when the bytes are written, however long the process was
/// held up since the request was handed over.
#[test]
fn the_deadline_passed_on_counts_from_the_write() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let known = [endpoint("s-1", upstream.address, 0, "ready")];
    let discovery = Discovery::start();
    drive(&configuration(discovery.address, &known, 50.0, 1024), async |driver| {
        let (_client, near) = client();
        let deadline = tokio::time::Instant::now() + Duration::from_secs(20);
        assert!(take(driver, &near, deadline).await.is_ok());
        wait_for_rest().await;
        let answer = take(driver, &near, deadline);
        // Runs after the attempt, and before the connection that the attempt wakes.
        let held_up = spawn_local(async move {
            thread::sleep(HOLD_UP);
            deadline.saturating_duration_since(tokio::time::Instant::now())
        });
        assert!(answer.await.is_ok());
        let left = held_up.await.expect("no panic").as_secs_f64();
        let requests = upstream.requests();
        assert_eq!((requests.len(), upstream.connections()), (2, 1));
        let passed_on: f64 =
            requests[1].1.header("x-deadline").and_then(|text| text.parse().ok()).expect("a time");
        assert!(passed_on <= left, "{passed_on} s passed on, {left} s left before it was written");
    });
}

/// Guards drains: one that is told between the hand-over and the writing holds.
#[test]
fn a_drain_told_before_the_write_holds() {
    for status in ["draining", "gone"] {
        let upstream = Upstream::start(|_, _| ok("served"));
        let known = [endpoint("s-1", upstream.address, 0, "ready")];
        let discovery = Discovery::start();
        drive(&configuration(discovery.address, &known, 50.0, 1024), async |driver| {
            let (_client, near) = client();
            let deadline = tokio::time::Instant::now() + Duration::from_secs(20);
            assert!(take(driver, &near, deadline).await.is_ok());
            wait_for_rest().await;
            let answer = take(driver, &near, deadline);
            let word = json!({"index": 8, "snapshot": false,
                              "endpoints": [endpoint("s-1", upstream.address, 0, status)]});
            let word: Update = serde_json::from_value(word).expect("a word of discovery");
            let told = Rc::clone(driver);
            spawn_local(async move { told.learn(word) });
            assert!(!matches!(answer.await, Ok(Answer::Served(_))), "{status}");
        });
        assert_eq!(upstream.requests().len(), 1, "{status}");
    }
}
