//! Identifiers and time, as the embedding program and the policy exchange them.
//!
//! Names are long, and each program has its own; a mix-up of two plain integers would go unseen. Identifiers are small
//! integers with a type each, which the embedding program assigns. A class, tenant, zone or kind of machine is
//! identified by its position in the [`Settings`](crate::Settings). The module owns no state.

use std::time::Duration;

/// A point in time: the time since any fixed moment of the embedding program's clock.
pub type Time = Duration;

/// Identifies a request; not to be used again before the request has ended and its attempts are over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// Identifies an endpoint; the same at every replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EndpointId(pub u32);

/// Position of a class in [`Settings::classes`](crate::Settings::classes).
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClassId(pub usize);

/// Position of a tenant in [`Settings::tenants`](crate::Settings::tenants).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TenantId(pub usize);

/// Position of a zone among [`Settings::zones`](crate::Settings::zones).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ZoneId(pub usize);

/// Position of a kind of machine among those the embedding program knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KindId(pub usize);

/// Number of an attempt of a request, from 0 in the order sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptNumber(pub u32);
