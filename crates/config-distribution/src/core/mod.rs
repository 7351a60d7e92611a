//! Sans-IO core of the configuration distribution: it makes every decision and does no input or output. The caller
//! passes in times, events and random seeds and carries out the results. The same code therefore runs in production and
//! in tests that simulate thousands of children in virtual time.

pub mod document;
pub mod effective;
pub mod fault;
pub mod origin;
pub mod parents;
pub mod report;
pub mod state;
