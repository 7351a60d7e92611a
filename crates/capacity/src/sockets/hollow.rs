//! Hollow balancers, many to a process: the balancer's own endpoint list client with its decisions, and the real
//! configuration client, without a listener and without clients.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::net::SocketAddr;
use std::pin::Pin;
use std::process;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::thread;
use std::time::Duration;

use balancer_proxy::config::Config;
use balancer_proxy::event_loop::EventLoop;
use config_distribution::document::Scope;
use config_distribution::host::client::{self, Client};
use config_distribution::report::InForce;
use config_distribution::state::State;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, interval, sleep};

use super::machine;
use crate::CapacityError;

/// Seconds of the window in which the busiest balancer's bytes are counted: the time in which a change must be in
/// force.
pub const WINDOW_S: usize = 13;

/// What a process of hollow balancers plays: the first line of its standard input, as JSON.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Job {
    /// The address of the list server; `None` where the balancers do not watch a list.
    pub list: Option<SocketAddr>,
    /// The names of the fleet's zones.
    pub zones: Vec<String>,
    /// Time between the starts of two balancers, in ms.
    pub apart_ms: u64,
    /// The balancers.
    pub balancers: Vec<Hollow>,
}

/// One hollow balancer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Hollow {
    /// Its number in the fleet.
    pub number: usize,
    /// The name of its service.
    pub service: String,
    /// The name of its region.
    pub region: String,
    /// The number of its zone.
    pub zone: usize,
    /// The relays that it gets its configuration from; without any it has no configuration client.
    pub parents: Vec<SocketAddr>,
    /// The seed of its random numbers.
    pub seed: u64,
}

impl Hollow {
    /// The scopes that it subscribes to.
    #[must_use]
    pub fn wanted(&self) -> [Scope; 3] {
        [
            Scope::Fleet,
            Scope::Region(self.region.as_str().into()),
            Scope::Service(self.service.as_str().into()),
        ]
    }
}

/// What a process of hollow balancers reports, as a JSON object on a line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// The balancer of this number has received its endpoint list.
    Listed(usize),
    /// A balancer has a document in force.
    InForce {
        /// Its number.
        balancer: usize,
        /// The document's scope.
        scope: Scope,
        /// Its version.
        version: u64,
        /// When, on [`machine::now_ns`]'s clock.
        at_ns: u64,
    },
    /// A balancer's index decreased.
    Back {
        /// Its number.
        balancer: usize,
        /// The index before.
        from: u64,
        /// The index after.
        to: u64,
    },
    /// The answer to the command `figures`.
    Figures(Figures),
    /// The process cannot continue, for this reason.
    Failed(String),
}

/// Traffic of a process's configuration connections since its start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Figures {
    /// Bytes received.
    pub read: u64,
    /// Bytes sent.
    pub written: u64,
    /// Connections opened.
    pub opened: u64,
    /// Bytes of both ways, by the parent's address.
    pub by_parent: BTreeMap<SocketAddr, u64>,
    /// The most bytes of one balancer within [`WINDOW_S`] seconds since the previous figures.
    pub most_in_window: u64,
}

#[derive(Default)]
struct Counts {
    read: Cell<u64>,
    written: Cell<u64>,
    opened: Cell<u64>,
    by_parent: RefCell<BTreeMap<SocketAddr, u64>>,
}

/// A connection whose bytes are counted.
struct Counted {
    stream: TcpStream,
    parent: SocketAddr,
    counts: Rc<Counts>,
}

impl Counted {
    fn count(&self, read: usize, written: usize) {
        self.counts.read.set(self.counts.read.get() + read as u64);
        self.counts.written.set(self.counts.written.get() + written as u64);
        *self.counts.by_parent.borrow_mut().entry(self.parent).or_default() += (read + written) as u64;
    }
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let done = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.count(buf.filled().len() - before, 0);
        done
    }
}

impl AsyncWrite for Counted {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let done = Pin::new(&mut self.stream).poll_write(cx, bytes);
        if let Poll::Ready(Ok(written)) = done {
            self.count(0, written);
        }
        done
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

fn send_event(event: &Event) {
    let Ok(line) = serde_json::to_string(event) else { return };
    // Nobody listens any more: there is nothing left to do.
    if writeln!(io::stdout().lock(), "{line}").is_err() {
        process::exit(0);
    }
}

/// Plays the balancers of the [`Job`] on standard input, and exits the process when standard input closes.
///
/// # Errors
/// The job cannot be parsed, or the runtime cannot be started.
pub fn run() -> Result<(), CapacityError> {
    let mut first = String::new();
    io::stdin()
        .lock()
        .read_line(&mut first)
        .map_err(|cause| CapacityError::run("hollow balancers: job", cause))?;
    let job: Job =
        serde_json::from_str(&first).map_err(|cause| CapacityError::run("hollow balancers: job", cause))?;
    let (sender, commands) = mpsc::channel(16);
    thread::spawn(move || {
        for line in io::stdin().lock().lines().map_while(Result::ok) {
            if sender.blocking_send(line).is_err() {
                break;
            }
        }
        // Whoever started this has gone.
        process::exit(0);
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|cause| CapacityError::run("hollow balancers", cause))?;
    LocalSet::new().block_on(&runtime, play(job, commands));
    Ok(())
}

async fn play(job: Job, mut commands: mpsc::Receiver<String>) {
    let mut all: Vec<Rc<Counts>> = Vec::new();
    for hollow in &job.balancers {
        let counts = Rc::new(Counts::default());
        all.push(Rc::clone(&counts));
        if let Some(list) = job.list {
            match driver(list, hollow, &job.zones) {
                Ok(driver) => drop(spawn_local(listed(driver, hollow.number))),
                Err(cause) => send_event(&Event::Failed(cause)),
            }
        }
        if !hollow.parents.is_empty() {
            spawn_local(configured(hollow.clone(), counts));
        }
        sleep(Duration::from_millis(job.apart_ms)).await;
    }
    // By balancer: its bytes at the last WINDOW_S seconds.
    let mut seconds: Vec<Vec<u64>> = vec![vec![0; WINDOW_S]; all.len()];
    let (mut turn, mut most) = (0, 0);
    let mut each_second = interval(Duration::from_secs(1));
    loop {
        tokio::select! {
            command = commands.recv() => match command.as_deref() {
                Some("figures") => {
                    send_event(&Event::Figures(figures(&all, most)));
                    most = 0;
                }
                _ => return,
            },
            _ = each_second.tick() => {
                for (counts, seconds) in all.iter().zip(&mut seconds) {
                    let now = counts.read.get() + counts.written.get();
                    let Some(then) = seconds.get_mut(turn % WINDOW_S) else { continue };
                    // The first window lies in the start, where it holds the whole.
                    most = most.max(now - *then);
                    *then = now;
                }
                turn += 1;
            }
        }
    }
}

fn figures(all: &[Rc<Counts>], most_in_window: u64) -> Figures {
    let mut sum = Figures { most_in_window, ..Figures::default() };
    for counts in all {
        sum.read += counts.read.get();
        sum.written += counts.written.get();
        sum.opened += counts.opened.get();
        for (&parent, bytes) in &*counts.by_parent.borrow() {
            *sum.by_parent.entry(parent).or_default() += bytes;
        }
    }
    sum
}

/// Starts a balancer's event loop, with its endpoint list client and its decisions, as the balancer itself does.
///
/// # Errors
/// The settings are invalid, or the event loop cannot be started.
pub fn driver(list: SocketAddr, hollow: &Hollow, zones: &[String]) -> Result<Rc<EventLoop>, String> {
    let settings = json!({
        "balancers": 1, "me": 0, "tier": 0, "zone": zones.get(hollow.zone), "zones": zones, "kinds": ["std"],
        "lanes": [
            {"name": "read", "onTimeS": 1.0, "hardLimitS": 2.0, "effect": "idempotent"},
            {"name": "order", "onTimeS": 1.0, "hardLimitS": 2.0, "effect": "at_most_once"}],
        "projects": [{"name": "tenant-0"}], "overShareWorth": 0.1, "discovery": "subscribe",
        "caps": {"tryLimit": 3, "cancel": true, "keepaliveS": 15.0, "multiplex": 1, "dialTimeoutS": 1.0},
        "rules": {"coldShare": 0.2, "coldS": 10.0, "fallMultiple": 3.0, "overloadForS": 2.0}});
    let text = json!({
        "name": format!("balancer-{}", hollow.number), "listen": "127.0.0.1:0", "discovery": list.to_string(),
        "seed": format!("{:x}", hollow.seed), "settings": settings});
    let config = Config::parse(&text.to_string(), |_| None).map_err(|cause| cause.to_string())?;
    EventLoop::start(config).map_err(|cause| cause.to_string())
}

async fn listed(driver: Rc<EventLoop>, number: usize) {
    while !driver.can_serve() {
        sleep(Duration::from_millis(10)).await;
    }
    send_event(&Event::Listed(number));
    // The driver holds itself; this keeps the intent plain.
    std::future::pending::<()>().await;
}

async fn configured(hollow: Hollow, counts: Rc<Counts>) {
    let who: Box<str> = format!("balancer-{}", hollow.number).into();
    let client = Client {
        name: who.to_string(),
        parents: hollow.parents.clone(),
        wanted: hollow.wanted().to_vec(),
        seed: hollow.seed,
    };
    let connect = |parent: SocketAddr| {
        let counts = Rc::clone(&counts);
        async move {
            let stream = TcpStream::connect(parent).await?;
            counts.opened.set(counts.opened.get() + 1);
            Ok(Counted { stream, parent, counts })
        }
    };
    let mut index = 0;
    let take = |state: &State, changed: &[Scope]| {
        let at_ns = machine::now_ns();
        if state.index() < index {
            send_event(&Event::Back { balancer: hollow.number, from: index, to: state.index() });
        }
        index = state.index();
        for scope in changed {
            if let Some(document) = state.get(scope) {
                let (scope, version) = (scope.clone(), document.version);
                send_event(&Event::InForce { balancer: hollow.number, scope, version, at_ns });
            }
        }
        let versions = hollow.wanted().into_iter();
        let versions = versions.filter_map(|scope| Some((scope.clone(), state.get(&scope)?.version)));
        InForce { who: who.clone(), versions: versions.collect(), refused: None }
    };
    match client::run(client, connect, take).await {}
}

/// Waits until `done`, for a minute at most.
///
/// # Errors
/// It is not done within the minute.
pub async fn wait_until(place: &str, mut done: impl FnMut() -> bool) -> Result<(), CapacityError> {
    let until = Instant::now() + Duration::from_secs(60);
    while !done() {
        if Instant::now() > until {
            return Err(CapacityError::run(place, "not within a minute"));
        }
        sleep(Duration::from_millis(1)).await;
    }
    Ok(())
}
