//! The command line of the distribution, also for a binary that carries it beside its own.

use std::ffi::OsString;
use std::io::{IsTerminal, Read, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::document::Scope;
use crate::host::call::{Call, CallError, call_to};
use crate::host::log::{flush, log};
use crate::host::origin::OriginHost;
use crate::host::relay::{RelayHost, RelayOptions};
use crate::host::server::Limits;
use crate::host::store::Store;
use crate::origin::Bounds;
use bytes::Bytes;
use clap::{Args, Parser, Subcommand};
use hyper::{Method, StatusCode};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;
use tokio::time::sleep;

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
        #[arg(long, value_name = "N", default_value_t = Limits::default().readers_most)]
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
        #[arg(long, value_name = "N", default_value_t = Limits::default().readers_most)]
        readers_most: usize,
    },
    /// Publishes a document, and prints the index of the change
    Publish {
        #[command(flatten)]
        to: To,
        /// Whom it is for: fleet, region/NAME or service/NAME
        scope: Scope,
        /// The document; - for standard input
        file: PathBuf,
        #[command(flatten)]
        how: How,
    },
    /// Withdraws a document, and prints the index of the change
    Withdraw {
        #[command(flatten)]
        to: To,
        /// Whose: fleet, region/NAME or service/NAME
        scope: Scope,
        #[command(flatten)]
        how: How,
    },
    /// Prints the documents, as one JSON object
    Get {
        #[command(flatten)]
        to: To,
        /// Of these scopes; by default of all
        scopes: Vec<Scope>,
    },
    /// Prints which versions are in force below, how many hold each, who lags and who is silent, as one JSON object
    Status {
        #[command(flatten)]
        to: To,
    },
}

#[derive(Args)]
struct To {
    /// Whom to ask
    #[arg(long, value_name = "ADDR")]
    to: SocketAddr,
}

#[derive(Args)]
struct How {
    /// The request's id: said again with the same one, a change is made once; by default a new one
    #[arg(long, value_name = "ID", value_parser = id)]
    request: Option<String>,
    /// Only if this version stands; 0 is none
    #[arg(long, value_name = "N")]
    if_version: Option<u64>,
}

fn id(text: &str) -> Result<String, String> {
    let fits = (1..=128).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_graphic());
    if fits { Ok(text.to_owned()) } else { Err("expected 1 to 128 visible ASCII characters".to_owned()) }
}

/// Why a command did not do what was asked.
enum Failure {
    Refused(String),
    Unusable(String),
    NoAnswer(String),
}

/// An answer has so long to come.
const WITHIN: Duration = Duration::from_secs(15);
/// A change without an answer is asked for so often.
const TRIES: u32 = 3;
/// Bytes of a file that are read at most; the origin's bound is lower, and is told by it.
const FILE_MOST: u64 = 4 << 20;

/// Does what the arguments say, the first of which is the name of the command; tells the exit status.
#[must_use]
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let arguments = Arguments::parse_from(arguments);
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitCode::from(2);
        }
    };
    let ran = LocalSet::new().block_on(&runtime, obey(arguments.command));
    // A write that hangs on the disk is left behind.
    runtime.shutdown_timeout(Duration::from_secs(2));
    flush(Duration::from_secs(1));
    let (text, code) = match ran {
        Ok(()) => return ExitCode::SUCCESS,
        Err(Failure::Refused(text)) => (text, 1),
        Err(Failure::Unusable(text)) => (text, 2),
        Err(Failure::NoAnswer(text)) => (text, 3),
    };
    eprintln!("error: {text}");
    ExitCode::from(code)
}

async fn obey(command: Command) -> Result<(), Failure> {
    match command {
        Command::Origin { listen, dir, index_at_least, readers_most } => {
            let place =
                |error: &dyn std::fmt::Display| Failure::Unusable(format!("{}: {error}", dir.display()));
            let opened = Store::at(&dir).map_err(|error| place(&error))?;
            let limits = Limits { readers_most };
            let host =
                OriginHost::new(opened, Bounds::default(), limits, index_at_least, Box::new(check), seed())
                    .map_err(|error| place(&error))?;
            let listener = listening(listen).await?;
            host.run(listener, told_to_end()?).await;
            Ok(())
        }
        Command::Relay { listen, level, parent, dir, name, readers_most } => {
            let listener = bound(listen).await?;
            let address = listener.local_addr().unwrap_or(listen);
            let options = RelayOptions {
                name: name.unwrap_or_else(|| address.to_string()),
                level,
                parents: parent,
                directory: dir.clone(),
                limits: Limits { readers_most },
                seed: seed(),
            };
            let place = dir.unwrap_or_default();
            let host = RelayHost::new(options)
                .map_err(|error| Failure::Unusable(format!("{}: {error}", place.display())))?;
            say_listening(&listener);
            host.run(listener, told_to_end()?).await;
            Ok(())
        }
        Command::Publish { to, scope, file, how } => change(to.to, &scope, Some(read(&file)?), how).await,
        Command::Withdraw { to, scope, how } => change(to.to, &scope, None, how).await,
        Command::Get { to, scopes } => {
            let scopes = scopes.iter().map(Scope::to_string).collect::<Vec<_>>().join(",");
            let scopes = if scopes.is_empty() { "*" } else { &scopes };
            print(to.to, &format!("/configuration?scopes={scopes}")).await
        }
        Command::Status { to } => print(to.to, "/configuration/report").await,
    }
}

/// The faults of a document whose form is sound.
fn check(_: &Scope, body: &str) -> Vec<String> {
    match serde_json::from_str::<serde_json::Value>(body) {
        Ok(body) => balancer_settings::check_part(&body["settings"])
            .map_or_else(|faults| faults.messages(), |()| Vec::new()),
        Err(error) => vec![error.to_string()],
    }
}

async fn bound(listen: SocketAddr) -> Result<TcpListener, Failure> {
    TcpListener::bind(listen).await.map_err(|error| Failure::Unusable(format!("{listen}: {error}")))
}

async fn listening(listen: SocketAddr) -> Result<TcpListener, Failure> {
    let listener = bound(listen).await?;
    say_listening(&listener);
    Ok(listener)
}

fn say_listening(listener: &TcpListener) {
    if let Ok(address) = listener.local_addr() {
        let mut output = std::io::stdout();
        let _ = writeln!(output, "listening on {address}").and_then(|()| output.flush());
    }
}

/// Comes to pass with SIGTERM or SIGINT.
fn told_to_end() -> Result<impl Future<Output = ()>, Failure> {
    let on = |kind| signal(kind).map_err(|error| Failure::Unusable(format!("signals: {error}")));
    let (mut terminate, mut interrupt) = (on(SignalKind::terminate())?, on(SignalKind::interrupt())?);
    Ok(async move {
        let name = tokio::select! {
            _ = terminate.recv() => "SIGTERM",
            _ = interrupt.recv() => "SIGINT",
        };
        log(format_args!("ending by {name}"));
    })
}

/// Another one for each process, so that those started at once don't draw alike.
fn seed() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let nanos = u64::try_from(time.as_nanos() & u128::from(u64::MAX)).unwrap_or_default();
    nanos ^ u64::from(std::process::id()).rotate_left(32)
}

fn read(file: &Path) -> Result<Bytes, Failure> {
    let place = |error| Failure::Unusable(format!("{}: {error}", file.display()));
    let mut bytes = Vec::new();
    if file == Path::new("-") {
        if std::io::stdin().is_terminal() {
            eprintln!("reading the document from the terminal");
        }
        std::io::stdin().take(FILE_MOST + 1).read_to_end(&mut bytes).map_err(place)?;
    } else {
        std::fs::File::open(file)
            .and_then(|file| file.take(FILE_MOST + 1).read_to_end(&mut bytes))
            .map_err(place)?;
    }
    if bytes.len() as u64 > FILE_MOST {
        return Err(Failure::Unusable(format!("{}: over {FILE_MOST} bytes", file.display())));
    }
    Ok(bytes.into())
}

/// Asks for a change, again with the same id where there is no answer.
async fn change(to: SocketAddr, scope: &Scope, body: Option<Bytes>, how: How) -> Result<(), Failure> {
    let id = how.request.unwrap_or_else(|| format!("{:016x}-{}", seed(), std::process::id()));
    let version = how.if_version.map(|version| version.to_string());
    let mut headers = vec![("x-request-id", id.as_str())];
    headers.extend(version.as_deref().map(|version| ("if-match", version)));
    let path = format!("/configuration/{scope}");
    let (method, body) = body.map_or((Method::DELETE, Bytes::new()), |body| (Method::PUT, body));
    let mut why = String::new();
    for number in 0..TRIES {
        if number > 0 {
            sleep(Duration::from_millis(500)).await;
        }
        let asked = Call {
            method: method.clone(),
            host: to.to_string(),
            path: &path,
            headers: &headers,
            body: body.clone(),
        };
        match call_to(to, WITHIN, asked).await {
            Ok((StatusCode::OK, text)) => {
                let answer: serde_json::Value = serde_json::from_slice(&text).unwrap_or_default();
                println!("{}", answer["index"]);
                return Ok(());
            }
            Ok((status, text)) if status.is_client_error() || status == StatusCode::INSUFFICIENT_STORAGE => {
                return Err(Failure::Refused(reasons(status, &text)));
            }
            Ok((status, text)) => why = reasons(status, &text),
            Err(error) => why = error.to_string(),
        }
    }
    Err(Failure::NoAnswer(format!("{to}: {why}; say it again with --request {id}")))
}

fn reasons(status: StatusCode, text: &[u8]) -> String {
    let answer: serde_json::Value = serde_json::from_slice(text).unwrap_or_default();
    if let Some(faults) = answer["faults"].as_array() {
        let faults: Vec<&str> = faults.iter().filter_map(|fault| fault.as_str()).collect();
        return format!("{status}\n{}", faults.join("\n"));
    }
    format!("{status}: {}", answer["error"].as_str().unwrap_or("no reason told"))
}

async fn print(to: SocketAddr, path: &str) -> Result<(), Failure> {
    let asked = Call { method: Method::GET, host: to.to_string(), path, headers: &[], body: Bytes::new() };
    match call_to(to, WITHIN, asked).await {
        Ok((StatusCode::OK, text)) => {
            let _ = std::io::stdout().write_all(&text);
            Ok(())
        }
        Ok((status, text)) => Err(Failure::Refused(format!("{to}: {}", reasons(status, &text)))),
        Err(error @ (CallError::Connect(_) | CallError::Http(_) | CallError::Late | CallError::TooLong)) => {
            Err(Failure::NoAnswer(format!("{to}: {error}")))
        }
    }
}
