//! The command line of the distribution, also for a binary that carries it beside its own.
//!
//! This module parses and dispatches; `serve` runs an origin or a relay, `publisher` asks one for something, and
//! `failure` says what can go wrong and which exit code that has.

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

/// At the end, what still runs on the disk has so long; a write that hangs there is left behind.
const DISK_SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);
/// At the end, lines of the log have so long to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Configuration to every balancer, by scope and by one index that never goes back.
///
/// One `origin` accepts changes and keeps them on disk; `relay`s stand between it and the balancers, in trees whose
/// levels grow away from the origin. `publish`, `withdraw`, `get` and `status` ask an origin or a relay.
///
/// A document is `{"settings": {...}}`, a part of a balancer's settings; a SCOPE is `fleet`, `region/NAME` or
/// `service/NAME`, and the narrower goes before the wider.
#[derive(Parser)]
#[command(
    version,
    after_long_help = "EXIT STATUS\n  \
    0  done; an origin or a relay: ended by SIGTERM or SIGINT, in order\n  \
    1  refused, with the reasons on standard error; nothing has changed\n  \
    2  bad arguments, or a file or directory that cannot be used\n  \
    3  no answer: whether the change was accepted is unknown; say it again with the same --request\n\n\
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
    /// Accepts changes, keeps them on disk, and tells them to its readers
    Origin {
        /// Where it listens; its address is printed once it does
        #[arg(long, value_name = "ADDR")]
        listen: SocketAddr,
        /// Where it keeps what it acknowledged; made if need be
        #[arg(long, value_name = "DIR")]
        dir: PathBuf,
        /// The highest index that may have been acknowledged, where the disk is known to have lost some
        ///
        /// All documents that stand are then published again past it.
        #[arg(long, value_name = "N", default_value_t = 0)]
        index_at_least: u64,
        /// Readers at most; further ones are refused with 503
        #[arg(long, value_name = "N", default_value_t = Limits::default().max_readers)]
        readers_most: usize,
    },
    /// Follows its parents and tells their documents on
    Relay {
        /// Where it listens; its address is printed once it does
        #[arg(long, value_name = "ADDR")]
        listen: SocketAddr,
        /// Its level: 1 or more, and over those of its parents, so that no loop can form
        #[arg(long, value_name = "N", value_parser = clap::value_parser!(u8).range(1..))]
        level: u8,
        /// A parent; given once for each
        #[arg(long, value_name = "ADDR", required = true)]
        parent: Vec<SocketAddr>,
        /// Where it keeps what it has, so that it can serve it after a restart while it is cut off
        #[arg(long, value_name = "DIR")]
        dir: Option<PathBuf>,
        /// Its name to its parents; by default the address that it listens at
        #[arg(long, value_name = "NAME")]
        name: Option<String>,
        /// Readers at most; further ones are refused with 503
        #[arg(long, value_name = "N", default_value_t = Limits::default().max_readers)]
        readers_most: usize,
    },
    /// Publishes a document, and prints the index of the change
    Publish {
        #[command(flatten)]
        target: Target,
        /// Whom it is for: fleet, region/NAME or service/NAME
        scope: Scope,
        /// The document; - for standard input
        file: PathBuf,
        #[command(flatten)]
        options: ChangeOptions,
    },
    /// Withdraws a document, and prints the index of the change
    Withdraw {
        #[command(flatten)]
        target: Target,
        /// Whose: fleet, region/NAME or service/NAME
        scope: Scope,
        #[command(flatten)]
        options: ChangeOptions,
    },
    /// Prints the documents, as one JSON object
    Get {
        #[command(flatten)]
        target: Target,
        /// Of these scopes; by default of all
        scopes: Vec<Scope>,
    },
    /// Prints which versions are in force below, how many hold each, who lags and who is silent, as one JSON object
    Status {
        #[command(flatten)]
        target: Target,
    },
}

#[derive(Args)]
struct Target {
    /// Whom to ask
    #[arg(long, value_name = "ADDR")]
    to: SocketAddr,
}

#[derive(Args)]
struct ChangeOptions {
    /// The request's id: said again with the same one, a change is made once; by default a new one
    #[arg(long, value_name = "ID")]
    request: Option<RequestId>,
    /// Only if this version stands; 0 is none
    #[arg(long, value_name = "N")]
    if_version: Option<u64>,
}

/// A request id that fits in a header.
#[derive(Debug, Clone, PartialEq, Eq)]
struct RequestId(String);

/// Why a text is no request id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("expected 1 to {MAX_REQUEST_ID_BYTES} visible ASCII characters")]
struct RequestIdError;

impl FromStr for RequestId {
    type Err = RequestIdError;

    fn from_str(text: &str) -> Result<Self, RequestIdError> {
        let is_sound = (1..=MAX_REQUEST_ID_BYTES).contains(&text.len())
            && text.bytes().all(|byte| byte.is_ascii_graphic());
        if is_sound { Ok(Self(text.to_owned())) } else { Err(RequestIdError) }
    }
}

impl RequestId {
    /// One that no other process makes.
    fn generate() -> Self {
        Self(format!("{:016x}-{}", seed(), std::process::id()))
    }
}

/// Runs the command that the arguments name, the first of which is the program's own name; returns the exit status.
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

fn run_to_end(command: Command) -> Result<(), Failure> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(Failure::Runtime)?;
    let ended = LocalSet::new().block_on(&runtime, dispatch(command));
    runtime.shutdown_timeout(DISK_SHUTDOWN_TIMEOUT);
    flush(FLUSH_TIMEOUT);
    ended
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
            publisher::change(target.to, &scope, Some(document), options).await
        }
        Command::Withdraw { target, scope, options } => {
            publisher::change(target.to, &scope, None, options).await
        }
        Command::Get { target, scopes } => publisher::get(target.to, &scopes).await,
        Command::Status { target } => publisher::status(target.to).await,
    }
}

/// Another one for each process, so that those started at once don't draw alike.
fn seed() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let nanos = u64::try_from(time.as_nanos() & u128::from(u64::MAX)).unwrap_or_default();
    nanos ^ u64::from(std::process::id()).rotate_left(32)
}
