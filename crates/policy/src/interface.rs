//! The vocabulary of the crate: settings, events, actions and the types that they are made of.
//!
//! An embedding program imports from here; where an item is defined inside the crate may change.

pub use crate::action::Action;
pub use crate::event::{Event, Request};
pub use crate::ids::{AttemptNumber, ClassId, KindId, RequestId, TenantId, Time, UpstreamId, ZoneId};
pub use crate::member::{ListUpdate, Member, Phase};
pub use crate::outcome::{LoadReport, Outcome};
pub use crate::settings::{
    Allowed, Class, DedupScope, DiscoveryMode, Effect, Prices, Rules, Settings, SettingsError, Tenant,
};
