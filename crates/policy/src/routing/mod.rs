//! Which endpoint an attempt goes to.

pub mod locality;
pub mod selection;
pub mod subset;
