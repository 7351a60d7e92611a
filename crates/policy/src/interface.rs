//! The public types of the crate: settings, events, actions and the types that they contain.
//!
//! Embedding programs import these types from here, so that items can move between the private modules of the crate
//! without breaking them. The module has no state.

pub use crate::action::Action;
pub use crate::event::{Event, Request};
pub use crate::ids::{AttemptNumber, ClassId, EndpointId, MachineKindId, RequestId, TenantId, Time, ZoneId};
pub use crate::member::{Lifecycle, ListUpdate, Member};
pub use crate::outcome::{LoadReport, Outcome};
pub use crate::settings::{
    Class, Costs, DeduplicationScope, DiscoveryMode, Idempotency, Permissions, Rules, Settings,
    SettingsError, Tenant,
};
