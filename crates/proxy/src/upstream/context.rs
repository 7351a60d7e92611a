//! The interface through which attempts use the event loop. The trait is defined here, in the module that uses it, so
//! that the event loop depends on the upstream module and not the other way round.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use balancer_policy::interface::{EndpointId, RequestId};

use super::acquire_error::AcquireError;
use super::host::Host;
use super::job::{AttemptEnd, Job};
use super::pool::Pool;

/// Provides an attempt with the state of the proxy, and is notified of the attempt's progress.
pub trait AttemptContext: 'static {
    /// The pool of connections to upstreams.
    fn pool(&self) -> &Rc<Pool>;

    /// The pooled connections to an upstream; `None` if discovery's latest update allows no new requests to it at this
    /// address.
    fn host(&self, upstream: EndpointId, address: SocketAddr) -> Option<Rc<Host>>;

    /// Whether discovery's latest update allows new requests to an upstream at this address.
    fn may_send(&self, upstream: EndpointId, address: SocketAddr) -> bool;

    /// Whether a request has no final answer yet and still needs one. A request needs none once another attempt has
    /// served it, it has been refused or has failed, its time is up, or its client has disconnected.
    fn needs_answer(&self, request: RequestId) -> bool;

    /// Whether a request still needs an answer and its client is still connected. This reads the client's socket,
    /// because the client may have closed its connection while the process was suspended or other tasks ran, without
    /// the runtime having noticed yet. Bytes that it takes out of the socket are stored and later passed to hyper.
    fn is_client_waiting(&self, request: RequestId) -> bool;

    /// Whether an attempt of a request may begin now: the request needs an answer, and its client is connected as far as
    /// that is known. This reads the client's socket like [`Self::is_client_waiting`].
    fn may_begin_attempt(&self, request: RequestId) -> bool;

    /// Whether the settings define a load report field of this name.
    fn has_load_field(&self, name: &str) -> bool;

    /// Called when an attempt has opened a new connection to an upstream.
    fn on_connected(&self);

    /// Called when an attempt could not get a connection to the upstream at this address.
    fn on_connect_failed(&self, address: SocketAddr, error: &AcquireError);

    /// Called when a connection that had been idle for `idle` was reused. `answered` is false if the connection broke
    /// before the response began.
    fn on_connection_reused(&self, idle: Duration, answered: bool);

    /// Called when an attempt finds that the client of a request has disconnected.
    fn on_client_disconnected(self: &Rc<Self>, request: RequestId);

    /// Called when an attempt has ended.
    fn on_attempt_ended(self: &Rc<Self>, job: &Job, ended: AttemptEnd);
}
