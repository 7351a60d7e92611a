//! The environment of real balancers under test, on loopback sockets: stand-in upstreams and discovery, the balancer
//! as a process, and a client that sends calls at random times, independent of the responses to earlier calls.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::{Mutex, PoisonError};

use clap::Args;

pub use self::balancer::{BALANCER, Balancer};
pub use self::call::{Call, Class, Counts, End, Played, paired};
pub use self::child::Process;
pub use self::client::{CONNECT_FIRST, Way, play};
pub use self::configuration::{configuration, configuration_change, settings};
pub use self::discovery::Discovery;
pub use self::distribution::{DISTRIBUTION, Distribution};
pub use self::relay::ByteRelay;
pub use self::times::Times;
pub use self::upstreams::{Seen, Upstreams, entry};
pub use self::usage::{Usage, hold_to, memory_kb, stolen_ms};
use crate::CapacityError;

mod balancer;
mod call;
mod child;
mod client;
mod configuration;
mod discovery;
mod distribution;
mod message;
mod relay;
mod runtime;
mod times;
mod upstreams;
mod usage;

/// The address to listen on: any free port of the loopback interface.
const ANYWHERE: (Ipv4Addr, u16) = (Ipv4Addr::LOCALHOST, 0);
/// The most balancers that a play may start.
pub const BALANCERS_MOST: usize = 150;

/// What the parts that play real processes are told alike.
#[derive(Debug, Clone, Args)]
pub struct Common {
    /// Folder that gets `slopes/` and `results/`.
    #[arg(long, default_value = "crates/capacity")]
    pub out: PathBuf,
    /// Seed of all that is drawn.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// A quick version with few sizes and calls, whose figures are none.
    #[arg(long)]
    pub small: bool,
    /// The balancer's program; without it `balancer-proxy` beside this one.
    #[arg(long)]
    pub program: Option<PathBuf>,
}

impl Common {
    /// The path of the balancer's program, or of the program `name` beside it.
    ///
    /// # Errors
    /// There is no such program.
    pub fn program(&self, name: &'static str) -> Result<PathBuf, CapacityError> {
        let beside = |folder: &Path| folder.join(name);
        let path = match (&self.program, std::env::current_exe()) {
            (Some(path), _) if name == BALANCER => path.clone(),
            (Some(path), _) => beside(path.parent().unwrap_or(Path::new("."))),
            (None, Ok(own)) => beside(own.parent().unwrap_or(Path::new("."))),
            (None, Err(cause)) => return Err(CapacityError::run("finding this program", cause)),
        };
        if path.is_file() {
            Ok(path)
        } else {
            let expected = format!("no program at {}: build it, or name it", path.display());
            Err(CapacityError::Argument { name: "program", expected })
        }
    }

    /// Creates the folders of slopes and of results, and gives them in this order.
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

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A listener and its address.
struct Bound {
    listener: TcpListener,
    address: SocketAddr,
}

fn listen() -> Result<Bound, CapacityError> {
    TcpListener::bind(ANYWHERE)
        .and_then(|listener| listener.local_addr().map(|address| Bound { listener, address }))
        .map_err(|cause| CapacityError::run("listening on a free port", cause))
}
