//! The upstream side of the proxy: attempts, and the connections that they use.
//!
//! An attempt takes a connection from the [`pool`], which keeps the connections to each upstream process in a
//! [`host::Host`]. A new connection is opened by a dial (`dial.rs`), with a timeout that `connect_time.rs` derives from
//! earlier connects. The [`gate`] checks immediately before each write whether the bytes of the request may still be
//! sent. [`idle_trust`] estimates for how long a connection may have been idle to carry a request that must not run
//! twice.
//!
//! This module does not depend on the event loop: an attempt queries and notifies it through the [`AttemptContext`]
//! trait.

pub mod acquire;
pub mod acquire_error;
pub mod attempt;
pub mod call;
mod connect_time;
pub mod connection;
pub mod context;
mod dial;
pub mod gate;
pub mod host;
pub mod idle_trust;
pub mod job;
pub mod pool;
pub mod progress;
mod response;

pub use acquire_error::AcquireError;
pub use attempt::attempt;
pub use call::{Call, MAX_BODY_BYTES, size_on_wire};
pub use context::AttemptContext;
pub use job::{AttemptEnd, Job};
pub use progress::Progress;
