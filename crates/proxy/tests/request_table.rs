//! The request table: how long requests and their attempts stay in it.

mod common;

use std::net::TcpStream;
use std::time::Duration;

use balancer_policy::interface::{AttemptNumber, ClassId, EndpointId, RequestId};
use balancer_proxy::request_table::{Answer, AttemptResult, RequestTable};
use balancer_proxy::socket::Socket;
use bytes::Bytes;
use common::{accepted_request, call, connected_pair};
use tokio::sync::oneshot;
use tokio::time::Instant;

const UPSTREAM: EndpointId = EndpointId(7);

/// A request table with one request, whose client is connected.
struct Fixture {
    table: RequestTable,
    /// ID of the request in the table.
    request: RequestId,
    /// Receiver of the final answer to the request.
    answer: oneshot::Receiver<Answer>,
    /// The balancer's side and the client's side of the client connection, which stays open with them.
    _client: (Socket, TcpStream),
}

impl Fixture {
    fn new() -> Self {
        let (client, server_side) = connected_pair();
        let deadline = Instant::now() + Duration::from_secs(1);
        let accepted = accepted_request(ClassId(0), None, call("read", Bytes::new()), &server_side, deadline);
        let (sender, answer) = oneshot::channel();
        let mut table = RequestTable::default();
        let request = table.insert(accepted, sender);
        Self { table, request, answer, _client: (server_side, client) }
    }

    /// Starts an attempt, and returns its number and a receiver that resolves when the attempt is cancelled.
    fn start_attempt(&mut self) -> (AttemptNumber, oneshot::Receiver<()>) {
        let attempt =
            self.table.get_mut(self.request).expect("the request is in flight").start_attempt(UPSTREAM);
        (attempt.number, attempt.cancelled)
    }

    /// Returns the upstreams to which attempts are in progress.
    fn upstreams(&self) -> Vec<EndpointId> {
        self.table.upstreams().into_iter().collect()
    }
}

/// Runs a test on a new runtime.
fn run(test: impl Future<Output = ()>) {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime starts")
        .block_on(test);
}

/// Guards against an attempt that is removed when it is cancelled: its upstream counts as in use until it has ended.
#[test]
fn a_cancelled_attempt_stays_in_progress_until_it_ends() {
    run(async {
        let mut fixture = Fixture::new();
        let (number, mut cancelled) = fixture.start_attempt();
        fixture.table.cancel(fixture.request, number);
        assert_eq!(cancelled.try_recv(), Ok(()));
        assert_eq!((fixture.upstreams(), fixture.table.attempts_out()), (vec![UPSTREAM], 1));
        let result = fixture.table.end_attempt(fixture.request, number, None);
        assert_eq!(result, Some(AttemptResult { served: false, request_finished: false }));
        assert_eq!((fixture.upstreams(), fixture.table.attempts_out()), (vec![], 0));
        assert!(
            fixture.table.is_client_waiting(fixture.request),
            "expected the client to wait for its answer still"
        );
    });
}

/// Guards against a request that is removed with its answer although another of its attempts is in progress, and
/// against a second answer.
#[test]
fn an_answered_request_stays_while_an_attempt_is_in_progress() {
    run(async {
        let mut fixture = Fixture::new();
        let (first, _cancelled) = fixture.start_attempt();
        let (second, _cancelled) = fixture.start_attempt();
        let result = fixture.table.end_attempt(fixture.request, first, Some(Bytes::from_static(b"ok")));
        assert_eq!(result, Some(AttemptResult { served: true, request_finished: true }));
        assert_eq!(fixture.answer.try_recv(), Ok(Answer::Served(Bytes::from_static(b"ok"))));
        assert!(!fixture.table.needs_answer(fixture.request));
        assert_eq!((fixture.upstreams(), fixture.table.len()), (vec![UPSTREAM], 1));
        assert_eq!(fixture.table.answer(fixture.request, Answer::Failed), None, "expected no second answer");
        let result = fixture.table.end_attempt(fixture.request, second, Some(Bytes::new()));
        assert_eq!(result, Some(AttemptResult { served: false, request_finished: true }));
        assert!(fixture.table.is_empty());
    });
}

/// Guards against a request without attempts in progress that stays in the table after its client has disconnected.
#[test]
fn an_abandoned_request_without_an_attempt_is_removed_at_once() {
    run(async {
        let mut fixture = Fixture::new();
        fixture.table.get_mut(fixture.request).expect("the request is in flight").skip_attempt();
        assert!(fixture.table.abandon(fixture.request));
        assert!(fixture.table.is_empty());
        assert!(!fixture.table.abandon(fixture.request), "expected a request to be abandoned only once");
    });
}
