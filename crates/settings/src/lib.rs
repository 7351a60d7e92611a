//! Reads the settings object of a balancer into the types of `balancer-policy`, and checks it for faults.
//!
//! The same JSON object reaches a balancer in three ways: in the configuration file of a real balancer; in a
//! document of the configuration distribution, which holds the settings that all balancers share; and in the
//! first message of the simulator. All three must be interpreted in the same way, and an operator who publishes
//! a document needs to see every fault before any balancer applies it. This crate is therefore the only place
//! that knows the keys. It has two sets of entry points:
//!
//! - [`read`] converts an object for use and stops at the first invalid value;
//! - [`check`] and [`check_document`] convert nothing and report every fault with its path. Settings that pass
//!   [`check`] can be read, and the policy accepts them.
//!
//! ```
//! use serde_json::json;
//!
//! let faults = balancer_settings::check_document(&json!({"caps": {"tryLimit": 0}, "balancers": "3"})).unwrap_err();
//! assert_eq!(
//!     faults.messages(),
//!     [
//!         "settings.caps.tryLimit: expected a whole number from 1 to 4294967295, found 0",
//!         "settings.balancers: expected a whole number from 1 to 4294967295, found \"3\"",
//!     ]
//! );
//! ```
//!
//! The crate depends on the policy only for its types. It depends on no host and performs no input or output.

#![warn(clippy::pedantic)]

mod check;
mod convert;
mod fault;
mod load_report;
mod read;
mod schema;

pub use check::{check, check_document};
pub use fault::{Fault, Faults, Found};
pub use load_report::set_load_field;
pub use read::{LoadedSettings, NameIndexes, ReadSettingsError, read};
