//! The side of the upstreams: attempts, and the connections that they use.
//!
//! An attempt takes a connection from the [`pool`], which has those of each process as a [`host::Host`]; a new one comes up
//! as a dial (`dial.rs`), within the time that `connect_time.rs` knows. The bytes of its request pass the [`gate`] as they are
//! written. [`idle_trust`] estimates how long a connection may have been idle for a request that must not run twice.
//!
//! Nothing here knows the event loop: an attempt queries and notifies it through the [`AttemptContext`].

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
