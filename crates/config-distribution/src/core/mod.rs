//! All decisions of the distribution, without input or output: times, events and draws come in, verdicts go out. So the
//! same code runs in service, and in tests in virtual time with thousands of children.

pub mod document;
pub mod effective;
pub mod fault;
pub mod origin;
pub mod parents;
pub mod report;
pub mod state;
