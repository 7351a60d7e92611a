//! The settings object of a balancer: read into the terms of `balancer-policy`, and checked.

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
