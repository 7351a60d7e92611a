//! Distributes versioned configuration to every balancer.
//!
//! Operators change the settings of a fleet while it serves traffic. Each change gets the next index at one *origin*,
//! is passed down trees of *relays*, and takes effect without a restart in every balancer (a *child*) that uses it. An
//! index never goes back, and a document is applied completely or not at all. If the origin, relays or disks fail,
//! balancers keep the configuration they have. `docs/DISTRIBUTION.md` describes the guarantees, the wire format and
//! what operators can observe.
//!
//! # Layout
//!
//! | module | responsibility | must not use or do |
//! | --- | --- | --- |
//! | [`core`] | every decision | sockets, disk, clock, threads, random source |
//! | [`core::document`] | scopes, documents, digests, the format of a watch's line | |
//! | [`core::state`] | whether an update is accepted; which update a reader at an index is sent | |
//! | [`core::origin`] | the next index, repeated request ids, conflicts, limits | |
//! | [`core::parents`] | which parent to follow, and when to try the next | |
//! | [`core::report`] | which versions children have in force, which lag or are silent | |
//! | [`core::effective`] | a process's own settings merged with its documents | |
//! | [`core::fault`] | faults of publications and documents | |
//! | [`host`] | sockets and timers; carries out what the core decides | decide anything itself |
//! | [`host::server`] | watches, reports and publications over HTTP, for origin and relay | the disk |
//! | [`host::origin`] | takes a publication through the core and the disk to the readers | |
//! | [`host::relay`] | follows its parents, serves and stores their documents | accept publications |
//! | [`host::client`] | the child: follows its parents, reports to them | the disk |
//! | [`host::watch`], [`host::call`] | one watch, or one request, on a connection | depend on the content |
//! | [`host::accept`], [`host::log`] | classifies failed accepts and accepts again after them; writes the log | |
//! | [`store`] | records on disk, synced, in transactions | interpret the records |
//! | [`command`] | the command line: arguments, exit codes, signals | |
//!
//! Dependencies point one way: `command` uses `host`, and `host` uses `store` and `core`. `core` uses none of them, and
//! of `balancer-settings` only the faults of settings. `store` uses only the log of `host`.

#![warn(clippy::pedantic)]

pub mod command;
pub mod core;
pub mod host;
pub mod store;

pub use self::core::{document, effective, fault, origin, parents, report, state};
