//! Configuration by version to every balancer.
//!
//! Operators change the settings of a fleet while it serves. Each change gets the next index at one *origin*, goes
//! down trees of *relays*, and is in force in every balancer (a *child*) that uses it, without a restart; an index never
//! goes back, a document is applied complete or not at all, and any part that is missing leaves a balancer as it is.
//! `docs/DISTRIBUTION.md` has the promises, the form on the wire and the operators' signs.
//!
//! # Layout
//!
//! | module | concern | may not touch |
//! | --- | --- | --- |
//! | [`core`] | every decision | sockets, disk, clock, threads, random source |
//! | [`core::document`] | scopes, documents, digests, the line of a watch | |
//! | [`core::state`] | whether an update is accepted; what a reader at an index is sent | |
//! | [`core::origin`] | the next index, repeats of a request id, conflicts, bounds | |
//! | [`core::parents`] | which parent to follow, and when to try the next | |
//! | [`core::report`] | what is in force below, who lags, who is silent | |
//! | [`core::effective`] | the settings that a process's own and its documents make | |
//! | [`core::fault`] | what can be wrong with a publication or a document | |
//! | [`host`] | sockets and timers; carries out what the core decides | a decision of its own |
//! | [`host::server`] | watches, reports and publications over HTTP, for origin and relay | the disk |
//! | [`host::origin`] | a publication's way: core, disk, readers | |
//! | [`host::relay`] | follows its parents, serves and stores what it has | publications |
//! | [`host::client`] | a child's side: follows parents, reports up | the disk |
//! | [`host::watch`], [`host::call`] | one watch, or one request, on a connection | what is asked |
//! | [`host::accept`], [`host::log`] | kinds of failed accepts, accepting after them; lines for the operator | |
//! | [`store`] | records on disk, synced, all or nothing | what records mean |
//! | [`command`] | the command line: arguments, exit codes, signals | |
//!
//! Dependencies point one way: `command` uses `host`, `host` uses `store` and `core`, and `core` knows none of them, and of
//! `balancer-settings` the faults of settings alone. Of
//! `host`, `store` uses the log alone.

#![warn(clippy::pedantic)]

pub mod command;
pub mod core;
pub mod host;
pub mod store;

pub use self::core::{document, effective, fault, origin, parents, report, state};
