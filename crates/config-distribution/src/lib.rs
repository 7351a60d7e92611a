//! Configuration by version to every balancer.
//!
//! The core ([`document`], [`state`], [`origin`], [`parents`], [`report`], [`effective`]) has no input or output, no clock
//! and no random source of its own; the hosts around it ([`host`]) hold sockets, timers and the disk, and decide nothing.

pub mod command;
pub mod document;
pub mod effective;
pub mod host;
pub mod origin;
pub mod parents;
pub mod report;
pub mod state;
