//! Hosts balancers on the simulator's line protocol.
//!
//! The simulator plays clients, network, upstreams and discovery in virtual time and wants to see the same
//! decisions as in service. It writes events in batches, a line each, for any number of instances in one
//! process, and waits for their actions; between batches nothing happens, and the only clock is that of the
//! batches. This crate translates both ways and decides nothing.
//!
//! - [`Host`] reads lines, keeps batches in order and hands each event to its instance;
//! - an instance joins a balancer, the names in its settings and its table of requests;
//! - events are read from a line's fields, actions are written as lines; endpoint lists are shared by the instances.
//!
//! A line that makes no sense ends the process with the line's number: the simulator's run is void then, and
//! a guess at what was meant would only hide it.

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
