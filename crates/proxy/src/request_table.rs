//! The requests in flight with their attempts. A request stays in the table from when it is accepted until it has its final
//! answer and its last attempt has ended. The table decides nothing.

use std::rc::Rc;
use std::time::Duration;

use balancer_policy::interface::{AttemptNumber, ClassId, EndpointId, RequestId, TenantId};
use bytes::Bytes;
use rustc_hash::{FxHashMap, FxHashSet};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::socket::WeakSocket;
use crate::upstream::Call;

/// The final answer to a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// What an upstream answered.
    Served(Bytes),
    /// No attempt has had an effect: a retry is harmless.
    Refused {
        /// How long the client is to wait before it.
        retry_after: Option<Duration>,
    },
    /// Nothing is said of its effect.
    Failed,
}

/// A client's request, ready for the policy.
#[derive(Debug)]
pub struct AcceptedRequest {
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: Option<TenantId>,
    /// Its subject.
    pub subject: Option<u64>,
    /// The work expected.
    pub expected_work: Option<Duration>,
    /// The client has marked it as a retry.
    pub is_client_retry: bool,
    /// When the answer must be out.
    pub deadline: Instant,
    /// What goes on to upstreams.
    pub call: Rc<Call>,
    /// The client's connection.
    pub client: WeakSocket,
}

/// A request that awaits its answer, or has attempts out.
#[derive(Debug)]
pub struct InFlight {
    call: Rc<Call>,
    client: WeakSocket,
    deadline: Instant,
    /// Used up by the final answer.
    answer: Option<oneshot::Sender<Answer>>,
    attempts: Vec<Attempt>,
    attempts_out: u32,
}

/// An attempt of a request that is in the table.
#[derive(Debug, Default)]
struct Attempt {
    /// Where it is out to, until it has ended.
    upstream: Option<EndpointId>,
    /// Cancels it, once.
    cancel: Option<oneshot::Sender<()>>,
}

/// An attempt that has been entered into the table.
#[derive(Debug)]
pub struct StartedAttempt {
    /// Which of its request's attempts it is.
    pub number: AttemptNumber,
    /// Resolves when it is cancelled.
    pub cancelled: oneshot::Receiver<()>,
}

/// What the end of an attempt has meant for its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptResult {
    /// It has given the final answer.
    pub served: bool,
    /// The request has its final answer, from this attempt or before.
    pub finished: bool,
}

impl InFlight {
    /// What goes on to upstreams.
    #[must_use]
    pub fn call(&self) -> &Rc<Call> {
        &self.call
    }

    /// When the answer must be out.
    #[must_use]
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Whether it still lacks its final answer.
    #[must_use]
    pub fn is_unanswered(&self) -> bool {
        self.answer.is_some()
    }

    /// Enters an attempt that goes out.
    pub fn start_attempt(&mut self, upstream: EndpointId) -> StartedAttempt {
        let (cancel, cancelled) = oneshot::channel();
        let number = self.next_attempt();
        self.attempts.push(Attempt { upstream: Some(upstream), cancel: Some(cancel) });
        self.attempts_out += 1;
        StartedAttempt { number, cancelled }
    }

    /// Enters an attempt that ends before it goes out.
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

    fn is_over(&self) -> bool {
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
    /// How many requests are in flight.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether none is in flight.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// How many attempts are out.
    #[must_use]
    pub fn attempts_out(&self) -> u32 {
        self.requests.values().map(|request| request.attempts_out).sum()
    }

    /// The upstreams that attempts are out to.
    #[must_use]
    pub fn upstreams(&self) -> FxHashSet<EndpointId> {
        let attempts = self.requests.values().flat_map(|request| &request.attempts);
        attempts.filter_map(|attempt| attempt.upstream).collect()
    }

    /// Enters a request, whose final answer goes to `answer`.
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

    /// A request, if it is in flight.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut InFlight> {
        self.requests.get_mut(&id)
    }

    /// Whether a request still lacks its answer: its client may have left, or another attempt have served it.
    #[must_use]
    pub fn is_wanted(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(InFlight::is_unanswered)
    }

    /// The same, and its client is still there: asks the system, as the end of a connection may be unread in its
    /// socket while the process was suspended or other tasks ran.
    #[must_use]
    pub fn is_awaited(&self, id: RequestId) -> bool {
        let request = self.requests.get(&id).filter(|request| request.is_unanswered());
        request.is_some_and(|request| !request.client.has_ended())
    }

    /// Gives a request its final answer, and returns how many attempts it had; `None` if it had its answer before.
    pub fn answer(&mut self, id: RequestId, answer: Answer) -> Option<usize> {
        let request = self.requests.get_mut(&id)?;
        let attempts = request.attempts.len();
        let answered = request.answer.take().map(|sender| {
            // An error means that the client has just left, which its connection reports by itself.
            let _ = sender.send(answer);
            attempts
        });
        self.remove_if_over(id);
        answered
    }

    /// The client wants no answer any more. Whether it had none yet.
    pub fn abandon(&mut self, id: RequestId) -> bool {
        let abandoned = self.requests.get_mut(&id).is_some_and(|request| request.answer.take().is_some());
        if abandoned {
            self.remove_if_over(id);
        }
        abandoned
    }

    /// Cancels an attempt, if it has neither ended nor been cancelled.
    pub fn cancel(&mut self, id: RequestId, attempt: AttemptNumber) {
        let attempt =
            self.requests.get_mut(&id).and_then(|request| request.attempts.get_mut(attempt.0 as usize));
        if let Some(cancel) = attempt.and_then(|attempt| attempt.cancel.take()) {
            // An error means that it has just ended, which it reports by itself.
            let _ = cancel.send(());
        }
    }

    /// An attempt that was out has ended, with this body if it served the request; `None` if the request is unknown.
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
            // An error means that the client has just left, which its connection reports by itself.
            let _ = answer.send(Answer::Served(body));
        }
        let finished = request.answer.is_none();
        self.remove_if_over(id);
        Some(AttemptResult { served, finished })
    }

    fn remove_if_over(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(InFlight::is_over) {
            self.requests.remove(&id);
        }
    }
}
