//! The event loop as the context of attempts: answers their queries and records their progress.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use balancer_policy::Event;
use balancer_policy::interface::{EndpointId, RequestId};

use super::EventLoop;
use crate::upstream::host::Host;
use crate::upstream::pool::Pool;
use crate::upstream::{AcquireError, AttemptContext, AttemptEnd, Job};

impl AttemptContext for EventLoop {
    fn pool(&self) -> &Rc<Pool> {
        &self.pool
    }

    fn host(&self, upstream: EndpointId, address: SocketAddr) -> Option<Rc<Host>> {
        let state = self.state.borrow();
        let endpoint = state.endpoints.ready_endpoint_at(upstream, address)?;
        Some(self.pool.host(upstream, address, endpoint.zone))
    }

    fn may_send(&self, upstream: EndpointId, address: SocketAddr) -> bool {
        self.state.borrow().endpoints.ready_endpoint_at(upstream, address).is_some()
    }

    fn needs_answer(&self, request: RequestId) -> bool {
        self.state.borrow().requests.needs_answer(request)
    }

    fn is_client_waiting(&self, request: RequestId) -> bool {
        self.state.borrow().requests.is_client_waiting(request)
    }

    fn may_begin_attempt(&self, request: RequestId) -> bool {
        self.state.borrow().requests.may_begin_attempt(request)
    }

    fn has_load_field(&self, name: &str) -> bool {
        self.names.load_fields.iter().any(|field| field == name)
    }

    fn on_connected(&self) {
        self.state.borrow_mut().counters.opened += 1;
    }

    /// Logs the error at most once between two lines of counters, because upstreams may be unreachable for a long time.
    fn on_connect_failed(&self, address: SocketAddr, error: &AcquireError) {
        if !std::mem::replace(&mut self.state.borrow_mut().counters.unreachable_logged, true) {
            crate::log(format_args!("could not connect to upstream {address}: {error}"));
        }
    }

    fn on_connection_reused(&self, idle: Duration, answered: bool) {
        self.pool.record_reuse(idle, answered);
        self.state.borrow_mut().counters.reused_reset += u32::from(!answered);
    }

    fn on_client_disconnected(self: &Rc<Self>, request: RequestId) {
        self.client_disconnected(request);
    }

    fn on_attempt_ended(self: &Rc<Self>, job: &Job, ended: AttemptEnd) {
        let duration = job.requested_at.elapsed();
        let result = {
            let mut state = self.state.borrow_mut();
            let result = state.requests.end_attempt(job.request, job.attempt, ended.body);
            let Some(result) = result else { return };
            state.counters.attempt(ended.outcome, duration);
            state.counters.served += u32::from(result.served);
            result
        };
        self.handle(Event::AttemptEnded {
            request: job.request,
            attempt: job.attempt,
            outcome: ended.outcome,
            duration,
            connect_wait: ended.connect_wait.unwrap_or(duration),
            request_finished: result.request_finished,
            load: ended.load,
        });
    }
}
