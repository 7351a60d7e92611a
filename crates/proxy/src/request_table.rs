//! The requests in flight and their attempts. A request stays in the table from when it is accepted until it has its
//! final answer and its last attempt has ended. The table makes no decisions.

use std::rc::Rc;
use std::time::Duration;

use balancer_policy::interface::{AttemptNumber, ClassId, EndpointId, RequestId, TenantId};
use bytes::Bytes;
use rustc_hash::{FxHashMap, FxHashSet};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::socket::{Presence, WeakSocket};
use crate::upstream::Call;

/// Time after a client's close within which an attempt may still begin.
const DEPARTURE_GRACE: Duration = Duration::from_millis(100);

/// The final answer to a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The request was served, with this body of the answer of an upstream.
    Served(Bytes),
    /// The request was refused: no attempt has had an effect, so a retry is safe.
    Refused {
        /// How long the client should wait before it retries.
        retry_after: Option<Duration>,
    },
    /// The request failed: it may or may not have had an effect at an upstream.
    Failed,
}

/// A client's request, ready for the policy.
#[derive(Debug)]
pub struct AcceptedRequest {
    /// Class of the request.
    pub class: ClassId,
    /// Tenant of the request, if it names one.
    pub tenant: Option<TenantId>,
    /// Subject of the request, if it has one.
    pub subject: Option<u64>,
    /// Expected work of the request as time on a standard core, if known.
    pub expected_work: Option<Duration>,
    /// Whether the client has marked the request as a retry.
    pub is_client_retry: bool,
    /// Time by which the answer must have been sent to the client.
    pub deadline: Instant,
    /// The part of the request that is forwarded to upstreams.
    pub call: Rc<Call>,
    /// Connection on which the client sent the request.
    pub client: WeakSocket,
}

/// A request that awaits its answer or has attempts in progress.
#[derive(Debug)]
pub struct InFlight {
    call: Rc<Call>,
    client: WeakSocket,
    deadline: Instant,
    /// Sends the final answer; `None` once the request has it or needs none.
    answer: Option<oneshot::Sender<Answer>>,
    /// All attempts of the request so far, including ended ones, indexed by attempt number.
    attempts: Vec<Attempt>,
    /// Number of attempts of the request that have been started and have not ended.
    attempts_out: u32,
}

/// An attempt of a request that is in the table.
#[derive(Debug, Default)]
struct Attempt {
    /// Upstream that the attempt was sent to; `None` once the attempt has ended.
    upstream: Option<EndpointId>,
    /// Cancels the attempt; `None` once the attempt has been cancelled or has ended.
    cancel: Option<oneshot::Sender<()>>,
}

/// An attempt that has been added to the table.
#[derive(Debug)]
pub struct StartedAttempt {
    /// Number of the attempt among those of its request.
    pub number: AttemptNumber,
    /// Resolves when the attempt is cancelled.
    pub cancelled: oneshot::Receiver<()>,
}

/// Effect of the end of an attempt on its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptResult {
    /// Whether this attempt gave the request its final answer.
    pub served: bool,
    /// Whether the request has its final answer or needs none, by this attempt or before.
    pub request_finished: bool,
}

impl InFlight {
    /// Returns the part of the request that is forwarded to upstreams.
    #[must_use]
    pub fn call(&self) -> &Rc<Call> {
        &self.call
    }

    /// Returns when the answer must have been sent to the client.
    #[must_use]
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Whether the request still awaits its final answer.
    #[must_use]
    pub fn is_unanswered(&self) -> bool {
        self.answer.is_some()
    }

    /// Adds an attempt that is about to be sent.
    pub fn start_attempt(&mut self, upstream: EndpointId) -> StartedAttempt {
        let (cancel, cancelled) = oneshot::channel();
        let number = self.next_attempt();
        self.attempts.push(Attempt { upstream: Some(upstream), cancel: Some(cancel) });
        self.attempts_out += 1;
        StartedAttempt { number, cancelled }
    }

    /// Adds an attempt that has ended without being sent.
    pub fn skip_attempt(&mut self) -> AttemptNumber {
        let number = self.next_attempt();
        self.attempts.push(Attempt::default());
        number
    }

    #[allow(
        clippy::cast_possible_truncation,
        reason = "a request has a handful of attempts, bounded by the settings"
    )]
    fn next_attempt(&self) -> AttemptNumber {
        AttemptNumber(self.attempts.len() as u32)
    }

    fn is_complete(&self) -> bool {
        self.answer.is_none() && self.attempts_out == 0
    }
}

/// The requests in flight.
#[derive(Debug, Default)]
pub struct RequestTable {
    requests: FxHashMap<RequestId, InFlight>,
    next_id: u64,
}

impl RequestTable {
    /// Number of requests in flight.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request is in flight.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Number of attempts in progress, of all requests.
    #[must_use]
    pub fn attempts_out(&self) -> u32 {
        self.requests.values().map(|request| request.attempts_out).sum()
    }

    /// Returns the upstreams to which attempts are in progress.
    #[must_use]
    pub fn upstreams(&self) -> FxHashSet<EndpointId> {
        let attempts = self.requests.values().flat_map(|request| &request.attempts);
        attempts.filter_map(|attempt| attempt.upstream).collect()
    }

    /// Adds an accepted request, whose final answer is to be sent to `answer`, and returns its id.
    pub fn insert(&mut self, accepted: AcceptedRequest, answer: oneshot::Sender<Answer>) -> RequestId {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        let request = InFlight {
            call: accepted.call,
            client: accepted.client,
            deadline: accepted.deadline,
            answer: Some(answer),
            attempts: Vec::new(),
            attempts_out: 0,
        };
        self.requests.insert(id, request);
        id
    }

    /// Returns a request, if it is in flight.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut InFlight> {
        self.requests.get_mut(&id)
    }

    /// Whether a request still awaits its final answer. It is false once another attempt has served the request, the
    /// request has been refused or has failed, its time is up, or its client has disconnected.
    #[must_use]
    pub fn needs_answer(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(InFlight::is_unanswered)
    }

    /// Whether a request still awaits its answer and its client is still connected. This reads the client's socket,
    /// because the close may be unread there after the process was suspended or while other tasks ran. Bytes that it
    /// takes out of the socket are stored and later passed to hyper.
    #[must_use]
    pub fn is_client_waiting(&self, id: RequestId) -> bool {
        let request = self.requests.get(&id).filter(|request| request.is_unanswered());
        request.is_some_and(|request| !request.client.has_ended())
    }

    /// Whether an attempt of a request may begin: the request still awaits its answer, and its client is connected or has
    /// been seen within the last 0.1 s. This reads the client's socket like [`Self::is_client_waiting`].
    #[must_use]
    pub fn may_begin_attempt(&self, id: RequestId) -> bool {
        let request = self.requests.get(&id).filter(|request| request.is_unanswered());
        request.is_some_and(|request| match request.client.presence() {
            Presence::Connected => true,
            Presence::Gone => false,
            Presence::Unknown { last_seen } => last_seen.elapsed() <= DEPARTURE_GRACE,
        })
    }

    /// Sends a request its final answer and returns the number of its attempts; `None` if the request needs no answer.
    pub fn answer(&mut self, id: RequestId, answer: Answer) -> Option<usize> {
        let request = self.requests.get_mut(&id)?;
        let attempts = request.attempts.len();
        let answered = request.answer.take().map(|sender| {
            // An error means that the client has just disconnected, which its connection reports separately.
            let _ = sender.send(answer);
            attempts
        });
        self.remove_if_complete(id);
        answered
    }

    /// Marks a request as needing no answer, because its client has gone. Returns whether it still awaited its answer.
    pub fn abandon(&mut self, id: RequestId) -> bool {
        let abandoned = self.requests.get_mut(&id).is_some_and(|request| request.answer.take().is_some());
        if abandoned {
            self.remove_if_complete(id);
        }
        abandoned
    }

    /// Cancels an attempt, if it has neither ended nor been cancelled.
    pub fn cancel(&mut self, id: RequestId, attempt: AttemptNumber) {
        let attempt =
            self.requests.get_mut(&id).and_then(|request| request.attempts.get_mut(attempt.0 as usize));
        if let Some(cancel) = attempt.and_then(|attempt| attempt.cancel.take()) {
            // An error means that the attempt has just ended, which it reports separately.
            let _ = cancel.send(());
        }
    }

    /// Ends an attempt that was in progress. `body` is the answer to the client, if the attempt succeeded. Returns
    /// `None` if the request is unknown.
    pub fn end_attempt(
        &mut self,
        id: RequestId,
        attempt: AttemptNumber,
        body: Option<Bytes>,
    ) -> Option<AttemptResult> {
        let request = self.requests.get_mut(&id)?;
        request.attempts_out -= 1;
        if let Some(attempt) = request.attempts.get_mut(attempt.0 as usize) {
            *attempt = Attempt::default();
        }
        let mut served = false;
        if let Some(body) = body
            && let Some(answer) = request.answer.take()
        {
            served = true;
            // An error means that the client has just disconnected, which its connection reports separately.
            let _ = answer.send(Answer::Served(body));
        }
        let request_finished = request.answer.is_none();
        self.remove_if_complete(id);
        Some(AttemptResult { served, request_finished })
    }

    fn remove_if_complete(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(InFlight::is_complete) {
            self.requests.remove(&id);
        }
    }
}
