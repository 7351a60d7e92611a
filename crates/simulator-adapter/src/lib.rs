//! Runs balancers on the line protocol of the simulator.
//!
//! The simulator models clients, network, upstreams and discovery in virtual time, and must observe the same
//! decisions as in production. It writes events in batches, one per line, for any number of instances in one
//! process, and waits for their actions. Nothing happens between batches, and the time of the batches is the only
//! clock. This crate translates in both directions and makes no decisions.
//!
//! - [`Host`] reads lines, checks the order of batches and dispatches each event to its instance;
//! - an instance combines a balancer, the names in its settings and its table of requests;
//! - events are parsed from the fields of a line, and actions are written as lines;
//! - endpoint lists are shared by the instances.
//!
//! A malformed line ends the process with an error that contains the line number. The simulator run is invalid
//! in this case, and guessing the intended meaning would only hide that.

#![warn(clippy::pedantic)]

mod action;
mod endpoint_lists;
mod error;
mod event;
mod fields;
mod host;
mod instance;
mod requests;
mod wire;

pub use error::{HostError, Malformed};
pub use host::Host;
