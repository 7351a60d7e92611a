//! The decisions of a load balancer for services that call services.
//!
//! The crate decides which requests to admit, which endpoint to send each request to, when to retry and when to eject
//! an endpoint. It is sans-IO, so that these decisions can be tested without sockets and timers. Each replica of the
//! load balancer embeds one [`Balancer`]: it reports what happens as an [`Event`] and carries out the [`Action`]s that
//! the balancer returns. The state machine does no input or output, reads no clock and has no threads. Equal settings,
//! seeds and events give equal actions.
//!
//! # Modules
//!
//! Each component owns its state and does not depend on the components above it in this list:
//!
//! * `balancer` dispatches events to the components and owns the random number generator;
//! * `routing` selects the endpoint of an attempt by subset, locality and the power of two choices;
//! * `admission` keeps tenants to rate limits that adapt to congestion;
//! * `endpoints` keeps the list of endpoints and the health, slow start and connections of each one;
//! * `requests` keeps the requests in flight, their attempts, and the rules and budgets for retries.
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
//! // Service discovery lists one endpoint. Then a client's request arrives and is sent to it.
//! let member = Member {
//!     id: EndpointId(42),
//!     zone: Some(ZoneId(0)),
//!     machine_kind: None,
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
//! // The answer ends the attempt and its request.
//! let answer = Event::AttemptEnded {
//!     request: RequestId(1),
//!     attempt: AttemptNumber(0),
//!     outcome: Outcome::Success,
//!     duration: Duration::from_millis(80),
//!     connect_wait: Duration::ZERO,
//!     request_finished: true,
//!     load: None,
//! };
//! balancer.handle(second + Duration::from_millis(80), answer, &mut actions);
//! # Ok::<(), SettingsError>(())
//! ```

#![warn(clippy::pedantic)]
#![allow(
    clippy::cast_precision_loss,
    reason = "counts of endpoints, replicas and buckets are far below 2^52, above which an f64 rounds integers"
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
