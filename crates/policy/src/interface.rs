//! The vocabulary of the crate: settings, events, actions and the types that they are made of.
//!
//! An embedding program must not depend on how the crate is divided into modules: it imports from here, and where an
//! item is defined inside the crate may change. The module owns no state.

pub use crate::action::Action;
pub use crate::event::{Event, Request};
pub use crate::ids::{AttemptNumber, ClassId, EndpointId, KindId, RequestId, TenantId, Time, ZoneId};
pub use crate::member::{Lifecycle, ListUpdate, Member};
pub use crate::outcome::{LoadReport, Outcome};
pub use crate::settings::{
    Class, Costs, DeduplicationScope, DiscoveryMode, Idempotency, Permissions, Rules, Settings,
    SettingsError, Tenant,
};
