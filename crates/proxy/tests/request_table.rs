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
struct World {
    table: RequestTable,
    /// ID of the request in the table.
    request: RequestId,
    /// Receiver of the final answer to the request.
    answer: oneshot::Receiver<Answer>,
    /// The balancer's side and the client's side of the client connection, which stays open with them.
    _client: (Socket, TcpStream),
}

impl World {
    fn new() -> Self {
        let (far, near) = connected_pair();
        let deadline = Instant::now() + Duration::from_secs(1);
        let accepted = accepted_request(ClassId(0), None, call("read", Bytes::new()), &near, deadline);
        let (sender, answer) = oneshot::channel();
        let mut table = RequestTable::default();
        let request = table.insert(accepted, sender);
        Self { table, request, answer, _client: (near, far) }
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
        let mut world = World::new();
        let (number, mut cancelled) = world.start_attempt();
        world.table.cancel(world.request, number);
        assert_eq!(cancelled.try_recv(), Ok(()));
        assert_eq!((world.upstreams(), world.table.attempts_out()), (vec![UPSTREAM], 1));
        let result = world.table.end_attempt(world.request, number, None);
        assert_eq!(result, Some(AttemptResult { served: false, request_finished: false }));
        assert_eq!((world.upstreams(), world.table.attempts_out()), (vec![], 0));
        assert!(
            world.table.is_client_waiting(world.request),
            "expected the client to wait for its answer still"
        );
    });
}

/// Guards against a request that is removed with its answer although another of its attempts is in progress, and
/// against a second answer.
#[test]
fn an_answered_request_stays_while_an_attempt_is_in_progress() {
    run(async {
        let mut world = World::new();
        let (first, _withdrawn) = world.start_attempt();
        let (second, _withdrawn) = world.start_attempt();
        let result = world.table.end_attempt(world.request, first, Some(Bytes::from_static(b"ok")));
        assert_eq!(result, Some(AttemptResult { served: true, request_finished: true }));
        assert_eq!(world.answer.try_recv(), Ok(Answer::Served(Bytes::from_static(b"ok"))));
        assert!(!world.table.needs_answer(world.request));
        assert_eq!((world.upstreams(), world.table.len()), (vec![UPSTREAM], 1));
        assert_eq!(world.table.answer(world.request, Answer::Failed), None, "expected no second answer");
        let result = world.table.end_attempt(world.request, second, Some(Bytes::new()));
        assert_eq!(result, Some(AttemptResult { served: false, request_finished: true }));
        assert!(world.table.is_empty());
    });
}

/// Guards against a request without attempts in progress that stays in the table after its client has disconnected.
#[test]
fn an_abandoned_request_without_an_attempt_is_removed_at_once() {
    run(async {
        let mut world = World::new();
        world.table.get_mut(world.request).expect("the request is in flight").skip_attempt();
        assert!(world.table.abandon(world.request));
        assert!(world.table.is_empty());
        assert!(!world.table.abandon(world.request), "expected a request to be abandoned only once");
    });
}
