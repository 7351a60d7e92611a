//! Identifiers and points in time that the embedding program and the policy exchange.
//!
//! The embedding program maps its own names to small integers. Each kind of identifier is a type of its own, so that
//! the compiler rejects mixing up two of them. A class, tenant, zone or kind of machine is identified by its position
//! in the [`Settings`](crate::Settings). The module has no state.

use std::time::Duration;

/// A point in time, as the duration since an arbitrary fixed origin of the embedding program's clock.
pub type Time = Duration;

/// Identifier of a request. It may be reused only after the request and all of its attempts have ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// Identifier of an endpoint, the same in every replica of the balancer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EndpointId(pub u32);

/// Index of a request class in [`Settings::classes`](crate::Settings::classes).
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClassId(pub usize);

/// Index of a tenant in [`Settings::tenants`](crate::Settings::tenants).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TenantId(pub usize);

/// Index of a zone, below [`Settings::zones`](crate::Settings::zones).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ZoneId(pub usize);

/// Index of a kind of machine, as the embedding program numbers them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MachineKindId(pub usize);

/// Number of an attempt within its request, counted from 0 in the order in which the attempts are sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptNumber(pub u32);
