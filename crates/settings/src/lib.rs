//! The settings object of a balancer: read into the terms of `balancer-policy`, and checked.

mod check;
mod read;

pub use check::{check, check_part};
pub use read::{Loaded, Names, SetupError, read, set_load_field};
