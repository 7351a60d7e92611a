//! A test bench for real balancer processes on loopback sockets: stand-in upstreams and service discovery, the balancer
//! as a child process, and an open-loop client, which sends each call at its scheduled time whether or not earlier
//! calls were answered.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::{Mutex, PoisonError};

use clap::Args;

pub use self::balancer::{BALANCER, Balancer};
pub use self::call::{Call, CallOutcome, CallResult, Class, Counts, paired};
pub use self::child::Process;
pub use self::client::{CONNECT_LEAD_TIME, Route, send_calls};
pub use self::configuration::{configuration, configuration_change, settings};
pub use self::discovery::Discovery;
pub use self::distribution::{DISTRIBUTION, Distribution};
pub use self::histogram::DurationHistogram;
pub use self::relay::ByteRelay;
pub use self::upstreams::{RequestRecords, Upstreams, entry};
pub use self::usage::{Usage, memory_kb, pin_to_cores, steal_time_ms};
use crate::CapacityError;

mod balancer;
mod call;
mod child;
mod client;
mod configuration;
mod discovery;
mod distribution;
mod histogram;
mod message;
mod relay;
mod runtime;
mod upstreams;
mod usage;

/// Listen address of the bench's servers: any free port of the loopback interface.
const ANY_LOOPBACK_PORT: (Ipv4Addr, u16) = (Ipv4Addr::LOCALHOST, 0);
/// Maximum number of balancer processes that one run may start.
pub const MAX_BALANCERS: usize = 150;

/// Command-line arguments that all commands which run real balancer processes share.
#[derive(Debug, Clone, Args)]
pub struct CommonArguments {
    /// Folder in which `slopes/` and `results/` are written.
    #[arg(long, default_value = "crates/capacity")]
    pub out: PathBuf,
    /// Seed of the random numbers.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Quick version for tests, with few sizes and calls; its figures are not usable as measurements.
    #[arg(long)]
    pub small: bool,
    /// Path of the balancer program; by default `balancer-proxy` in the folder of this program.
    #[arg(long)]
    pub program: Option<PathBuf>,
}

impl CommonArguments {
    /// Path of the balancer program, or of the program `name` in the same folder.
    ///
    /// # Errors
    /// The path is not a file, or the path of this program cannot be determined.
    pub fn program(&self, name: &'static str) -> Result<PathBuf, CapacityError> {
        let sibling = |folder: &Path| folder.join(name);
        let path = match (&self.program, std::env::current_exe()) {
            (Some(path), _) if name == BALANCER => path.clone(),
            (Some(path), _) => sibling(path.parent().unwrap_or(Path::new("."))),
            (None, Ok(own)) => sibling(own.parent().unwrap_or(Path::new("."))),
            (None, Err(cause)) => return Err(CapacityError::run("locating this program", cause)),
        };
        if path.is_file() {
            Ok(path)
        } else {
            let expected = format!("no program at {}: build it, or give its path", path.display());
            Err(CapacityError::Argument { name: "program", expected })
        }
    }

    /// Creates the folders for slopes and for results, and returns their paths in this order.
    ///
    /// # Errors
    /// A folder cannot be created.
    pub fn folders(&self) -> Result<(PathBuf, PathBuf), CapacityError> {
        let (slopes, results) = (self.out.join("slopes"), self.out.join("results"));
        for folder in [&slopes, &results] {
            fs::create_dir_all(folder).map_err(|cause| CapacityError::file(folder, cause))?;
        }
        Ok((slopes, results))
    }
}

/// Locks a mutex, also one that a panicked thread has poisoned.
fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A listening socket and the address that it is bound to.
struct Bound {
    listener: TcpListener,
    address: SocketAddr,
}

/// Listens on a free loopback port.
fn listen() -> Result<Bound, CapacityError> {
    TcpListener::bind(ANY_LOOPBACK_PORT)
        .and_then(|listener| listener.local_addr().map(|address| Bound { listener, address }))
        .map_err(|cause| CapacityError::run("listening on a free port", cause))
}
