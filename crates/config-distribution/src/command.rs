//! Command line of the configuration distribution. Another program can embed it with [`run`].
//!
//! This module parses the arguments and dispatches the command. `serve` runs an origin or a relay, `publisher` sends
//! requests to one, and `failure` defines the errors and their exit codes.

mod failure;
mod publisher;
mod serve;

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::str::FromStr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use self::failure::Failure;
use crate::document::Scope;
use crate::host::log::flush;
use crate::host::server::Limits;
use crate::origin::MAX_REQUEST_ID_BYTES;
use clap::{Args, Parser, Subcommand};
use thiserror::Error;
use tokio::task::LocalSet;

/// Time that unfinished disk operations are given at shutdown; a write that hangs is abandoned after it.
const DISK_SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that buffered log lines are given to be written at shutdown.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Distributes configuration documents to every balancer, with one index that never goes back.
///
/// One `origin` accepts changes and stores them on disk. `relay`s pass them on to the balancers, in trees whose levels
/// increase with the distance from the origin. `publish` and `withdraw` send a change to the origin; `get` and `status`
/// query an origin or a relay.
///
/// A document has the form `{"settings": {...}}` and contains part of a balancer's settings. A SCOPE is `fleet`,
/// `region/NAME` or `service/NAME`; where documents set the same value, the one with the narrower scope takes
/// precedence.
#[derive(Parser)]
#[command(
    version,
    after_long_help = "EXIT STATUS\n  \
    0  success; for an origin or a relay: graceful shutdown after SIGTERM or SIGINT\n  \
    1  the request was refused, with the reasons on standard error; nothing has changed\n  \
    2  invalid arguments, or a file, directory or address that cannot be used\n  \
    3  no answer; whether a change was accepted is unknown: repeat it with the same --request\n\n\
EXAMPLES\n  \
    config-distribution origin --listen 127.0.0.1:9100 --dir /var/lib/configuration\n  \
    config-distribution relay --listen 127.0.0.1:9101 --level 1 --parent 127.0.0.1:9100\n  \
    config-distribution publish --to 127.0.0.1:9100 service/api api.json --if-version 41\n  \
    config-distribution status --to 127.0.0.1:9100"
)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Accepts changes, stores them on disk, and sends them to relays and balancers
    Origin {
        /// Address to listen on; the actual address is printed once the origin listens
        #[arg(long, value_name = "ADDR")]
        listen: SocketAddr,
        /// Directory that accepted changes are stored in; created if it does not exist
        #[arg(long, value_name = "DIR")]
        dir: PathBuf,
        /// Highest index that may have been acknowledged, if the disk is known to have lost changes
        ///
        /// If the stored changes end before it, all current documents are published again with higher indexes.
        #[arg(long, value_name = "N", default_value_t = 0)]
        index_at_least: u64,
        /// Maximum number of readers; further readers are refused with status 503
        #[arg(long, value_name = "N", default_value_t = Limits::default().max_readers)]
        readers_most: usize,
    },
    /// Follows its parents and passes their documents on to relays and balancers
    Relay {
        /// Address to listen on; the actual address is printed once the relay listens
        #[arg(long, value_name = "ADDR")]
        listen: SocketAddr,
        /// Level of the relay: at least 1 and higher than the levels of all its parents, so that relays cannot form a
        /// loop
        #[arg(long, value_name = "N", value_parser = clap::value_parser!(u8).range(1..))]
        level: u8,
        /// Address of a parent; repeat the flag for each parent
        #[arg(long, value_name = "ADDR", required = true)]
        parent: Vec<SocketAddr>,
        /// Directory to store the documents in, so that the relay can serve them after a restart without a parent
        #[arg(long, value_name = "DIR")]
        dir: Option<PathBuf>,
        /// Name of the relay in its reports to its parents; by default the address it listens on
        #[arg(long, value_name = "NAME")]
        name: Option<String>,
        /// Maximum number of readers; further readers are refused with status 503
        #[arg(long, value_name = "N", default_value_t = Limits::default().max_readers)]
        readers_most: usize,
    },
    /// Publishes a document and prints the index of the change
    Publish {
        #[command(flatten)]
        target: Target,
        /// Scope of the document: fleet, region/NAME or service/NAME
        scope: Scope,
        /// File that contains the document; - for standard input
        file: PathBuf,
        #[command(flatten)]
        options: ChangeOptions,
    },
    /// Withdraws a document and prints the index of the change
    Withdraw {
        #[command(flatten)]
        target: Target,
        /// Scope of the document: fleet, region/NAME or service/NAME
        scope: Scope,
        #[command(flatten)]
        options: ChangeOptions,
    },
    /// Prints the current documents as one JSON object
    Get {
        #[command(flatten)]
        target: Target,
        /// Scopes of the documents to print; by default all
        scopes: Vec<Scope>,
    },
    /// Prints how many balancers have each version in force, and which lag, refuse a document or are silent, as one
    /// JSON object
    Status {
        #[command(flatten)]
        target: Target,
    },
}

/// The process that a request is sent to.
#[derive(Args)]
struct Target {
    /// Address of the origin or relay
    #[arg(long, value_name = "ADDR")]
    to: SocketAddr,
}

/// Flags of the commands that change a document.
#[derive(Args)]
struct ChangeOptions {
    /// Request id; a change that is repeated with the same id is made only once; by default a new id is generated
    #[arg(long, value_name = "ID")]
    request: Option<RequestId>,
    /// Make the change only if this is the current version of the document; 0 if there must be no document
    #[arg(long, value_name = "N")]
    if_version: Option<u64>,
}

/// A request id that can be sent in an HTTP header.
#[derive(Debug, Clone, PartialEq, Eq)]
struct RequestId(String);

/// Error returned when a text is not a valid request id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("expected 1 to {MAX_REQUEST_ID_BYTES} visible ASCII characters")]
struct RequestIdError;

impl FromStr for RequestId {
    type Err = RequestIdError;

    fn from_str(text: &str) -> Result<Self, RequestIdError> {
        let is_valid = (1..=MAX_REQUEST_ID_BYTES).contains(&text.len())
            && text.bytes().all(|byte| byte.is_ascii_graphic());
        if is_valid { Ok(Self(text.to_owned())) } else { Err(RequestIdError) }
    }
}

impl RequestId {
    /// Generates an id that no other process generates.
    fn generate() -> Self {
        Self(format!("{:016x}-{}", seed(), std::process::id()))
    }
}

/// Runs the command given by the arguments and returns the exit status. The first argument is the program's own name.
#[must_use]
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let arguments = Arguments::parse_from(arguments);
    match run_to_end(arguments.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("error: {failure}");
            ExitCode::from(failure.exit_code())
        }
    }
}

/// Runs a command on a new async runtime, then shuts the runtime down and flushes the log.
fn run_to_end(command: Command) -> Result<(), Failure> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(Failure::Runtime)?;
    let result = LocalSet::new().block_on(&runtime, dispatch(command));
    runtime.shutdown_timeout(DISK_SHUTDOWN_TIMEOUT);
    flush(FLUSH_TIMEOUT);
    result
}

async fn dispatch(command: Command) -> Result<(), Failure> {
    match command {
        Command::Origin { listen, dir, index_at_least, readers_most } => {
            serve::origin(listen, &dir, index_at_least, Limits { max_readers: readers_most }).await
        }
        Command::Relay { listen, level, parent, dir, name, readers_most } => {
            let relay = serve::Relay { level, parents: parent, directory: dir, name };
            serve::relay(listen, relay, Limits { max_readers: readers_most }).await
        }
        Command::Publish { target, scope, file, options } => {
            let document = publisher::read_document(&file)?;
            publisher::send_change(target.to, &scope, Some(document), options).await
        }
        Command::Withdraw { target, scope, options } => {
            publisher::send_change(target.to, &scope, None, options).await
        }
        Command::Get { target, scopes } => publisher::get(target.to, &scopes).await,
        Command::Status { target } => publisher::status(target.to).await,
    }
}

/// Returns a seed that differs between processes, including those started at the same time.
fn seed() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let nanos = u64::try_from(time.as_nanos() & u128::from(u64::MAX)).unwrap_or_default();
    nanos ^ u64::from(std::process::id()).rotate_left(32)
}
