//! The settings object of a balancer: read into the types of `balancer-policy`, and checked.
//!
//! The same JSON object reaches a balancer in three ways: in the configuration file of a real balancer, in a
//! document of the configuration distribution, which holds the part that balancers share, and in the first
//! message of the simulator. All of them must understand it alike, and whoever publishes a document wants to
//! see every fault before it is in force anywhere. So there is one place that knows the keys, with two
//! entries:
//!
//! - [`read`] converts an object for use and stops at the first value that makes no sense;
//! - [`check`] and [`check_part`] convert nothing and name every fault with its path. What passes [`check`] can be read,
//!   and the policy accepts it.
//!
//! ```
//! use serde_json::json;
//!
//! let faults = balancer_settings::check_part(&json!({"caps": {"tryLimit": 0}, "balancers": "3"})).unwrap_err();
//! assert_eq!(
//!     faults.messages(),
//!     [
//!         "settings.caps.tryLimit: expected a whole number from 1 to 4294967295, found 0",
//!         "settings.balancers: expected a whole number from 1 to 4294967295, found \"3\"",
//!     ]
//! );
//! ```
//!
//! The crate depends on the policy for its types alone. It knows no host, and does no input or output.

#![warn(clippy::pedantic)]

mod check;
mod convert;
mod fault;
mod load_report;
mod read;
mod schema;

pub use check::{check, check_part};
pub use fault::{Fault, Faults, Found};
pub use load_report::set_load_field;
pub use read::{Loaded, Names, SetupError, read};
