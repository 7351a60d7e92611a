//! The decisions of a load balancer for services that call services.
//!
//! Which requests to admit, which endpoint to send each to, when to retry and when to eject: decisions like these
//! are hard to test where they are tangled with sockets and timers. This crate holds them alone, sans-IO. Each replica
//! of a balancer embeds one [`Balancer`]: it reports what happens as an [`Event`] and carries out the [`Action`]s that
//! it gets back. The state machine does no input or output, reads no clock and has no threads; equal settings, seed and
//! events give equal actions.
//!
//! # Modules
//!
//! Each component owns its state and knows nothing of those above it in the list:
//!
//! * `balancer` dispatches events over the components and owns the random source;
//! * `routing` selects the endpoint of an attempt: subset, locality, power of two choices;
//! * `admission` holds tenants to limits that follow congestion;
//! * `endpoints` is what is known of each endpoint: health, slow start, connections, and the list of them;
//! * `requests` holds the requests in flight, their attempts, and what lets them be retried.
//!
//! The types that an embedding program exchanges with the balancer are in [`interface`].
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//! use balancer_policy::{Action, Balancer, Event, interface::*};
//!
//! let settings = Settings::single_zone(vec![Class {
//!     latency_objective: Duration::from_millis(500),
//!     deadline: Duration::from_secs(2),
//!     late_weight: 0.0,
//!     idempotency: Idempotency::Idempotent,
//! }]);
//! let mut balancer = Balancer::new(settings, 7)?;
//! let mut actions = Vec::new();
//! let second = Duration::from_secs(1);
//!
//! // Discovery names one endpoint, then a client's request arrives and is sent there.
//! let member = Member {
//!     id: EndpointId(42),
//!     zone: Some(ZoneId(0)),
//!     kind: None,
//!     cell: 0,
//!     lifecycle: Lifecycle::Ready,
//!     weight: 1.0,
//!     started: None,
//! };
//! balancer.handle(second, Event::Started, &mut actions);
//! balancer.handle(second, Event::List(ListUpdate::Snapshot(vec![member])), &mut actions);
//! actions.clear();
//! let request = Request {
//!     id: RequestId(1),
//!     class: ClassId(0),
//!     tenant: None,
//!     subject: None,
//!     time_left: Duration::from_secs(2),
//!     expected_work: None,
//!     is_client_retry: false,
//! };
//! balancer.handle(second, Event::Request(request), &mut actions);
//! assert!(matches!(actions[0], Action::Send { upstream: EndpointId(42), .. }));
//!
//! // The answer finishes it.
//! let answer = Event::AttemptEnded {
//!     request: RequestId(1),
//!     attempt: AttemptNumber(0),
//!     outcome: Outcome::Success,
//!     duration: Duration::from_millis(80),
//!     connect_wait: Duration::ZERO,
//!     finished: true,
//!     load: None,
//! };
//! balancer.handle(second + Duration::from_millis(80), answer, &mut actions);
//! # Ok::<(), SettingsError>(())
//! ```

#![warn(clippy::pedantic)]
#![allow(
    clippy::cast_precision_loss,
    reason = "counts of endpoints, replicas and buckets lie far below 2^52, from where an f64 rounds them"
)]

mod action;
mod admission;
mod balancer;
mod endpoints;
mod event;
mod ids;
pub mod interface;
mod maintenance;
mod member;
mod outcome;
mod random;
mod requests;
mod routing;
mod settings;

pub use balancer::Balancer;
pub use interface::{Action, Event, Settings};
