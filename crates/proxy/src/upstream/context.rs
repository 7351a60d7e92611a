//! What an attempt needs of the event loop. The trait is defined here, on the side that uses it, so that the event loop
//! depends on the upstream side and not the other way round.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use balancer_policy::interface::{EndpointId, RequestId};

use super::acquire_error::AcquireError;
use super::host::Host;
use super::job::{AttemptEnd, Job};
use super::pool::Pool;

/// Answers the questions of an attempt and is notified of its progress.
pub trait AttemptContext: 'static {
    /// The connections to upstreams.
    fn pool(&self) -> &Rc<Pool>;

    /// The connections to an upstream, if discovery's latest update allows new work for it at this address.
    fn host(&self, upstream: EndpointId, address: SocketAddr) -> Option<Rc<Host>>;

    /// Whether discovery's latest update allows new work for an upstream at this address.
    fn may_send(&self, upstream: EndpointId, address: SocketAddr) -> bool;

    /// Whether a request still wants an answer: its client may have left, or another attempt have served it.
    fn is_wanted(&self, request: RequestId) -> bool;

    /// The same, and its client is still there: asks the system, as the end of a connection may be unread in its
    /// socket while the process was suspended or other tasks ran.
    fn is_awaited(&self, request: RequestId) -> bool;

    /// Whether a load report may have a value of this name.
    fn has_load_field(&self, name: &str) -> bool;

    /// A new connection to an upstream has come up.
    fn on_connected(&self);

    /// No connection to the upstream at this address could be had.
    fn on_unreachable(&self, address: SocketAddr, error: &AcquireError);

    /// A connection that had been idle for so long has carried its request, or was reset under it.
    fn on_reused(&self, idle: Duration, answered: bool);

    /// The client of a request has left.
    fn on_client_disconnected(self: &Rc<Self>, request: RequestId);

    /// An attempt is over.
    fn on_attempt_ended(self: &Rc<Self>, job: &Job, ended: AttemptEnd);
}
