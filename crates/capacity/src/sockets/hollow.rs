//! Hollow balancers (simulated, without real traffic), many in one process. Each runs the balancer's own endpoint list
//! client with the balancer's decisions, and the real configuration client, but has no listener and no clients.

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

/// Length in seconds of the window in which the bytes of the busiest balancer are counted: the time within which a
/// change must be in force.
pub const WINDOW_S: usize = 13;

/// The job of a process of hollow balancers: the first line of its standard input, as JSON.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Job {
    /// Address of the list server; `None` if the balancers do not watch an endpoint list.
    pub list: Option<SocketAddr>,
    /// Names of the fleet's zones, by zone number.
    pub zones: Vec<String>,
    /// Delay between the starts of two successive hollow balancers of the process, in ms.
    pub apart_ms: u64,
    /// Hollow balancers that the process runs.
    pub balancers: Vec<HollowBalancer>,
}

/// Identity and parents of one hollow balancer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HollowBalancer {
    /// Number of the balancer in the fleet.
    pub number: usize,
    /// Name of the balancer's service.
    pub service: String,
    /// Name of the balancer's region.
    pub region: String,
    /// Number of the balancer's zone: its index in [`Job::zones`].
    pub zone: usize,
    /// Addresses of the relays that the balancer gets its configuration from; if empty, it runs no configuration
    /// client.
    pub parents: Vec<SocketAddr>,
    /// Seed of the balancer's random number generator.
    pub seed: u64,
}

impl HollowBalancer {
    /// Returns the scopes whose documents the balancer subscribes to.
    #[must_use]
    pub fn wanted(&self) -> [Scope; 3] {
        [
            Scope::Fleet,
            Scope::Region(self.region.as_str().into()),
            Scope::Service(self.service.as_str().into()),
        ]
    }
}

/// A message from a process of hollow balancers, as a JSON object on one line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// The balancer with this number has received its endpoint list.
    Listed(usize),
    /// A balancer has a version of a configuration document in force.
    InForce {
        /// Number of the balancer that has the document in force.
        balancer: usize,
        /// Scope of the configuration document that came into force.
        scope: Scope,
        /// Version of the configuration document that came into force.
        version: u64,
        /// Time at which the configuration document came into force at the balancer, in nanoseconds on the clock of
        /// [`machine::now_ns`].
        at_ns: u64,
    },
    /// The index of a balancer's configuration decreased.
    Back {
        /// Number of the balancer whose configuration index decreased.
        balancer: usize,
        /// Configuration index of the balancer before the decrease.
        from: u64,
        /// Configuration index of the balancer after the decrease.
        to: u64,
    },
    /// Response to the command `figures`.
    Figures(Figures),
    /// The process of hollow balancers cannot continue, for the given reason.
    Failed(String),
}

/// Traffic of the configuration connections of a process since its start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Figures {
    /// Bytes received on the configuration connections by all balancers of the process since its start.
    pub read: u64,
    /// Bytes sent on the configuration connections by all balancers of the process since its start.
    pub written: u64,
    /// Number of configuration connections opened by all balancers of the process since its start.
    pub opened: u64,
    /// Bytes in both directions on the configuration connections to each parent (relay) since the process started, by
    /// the address of the parent.
    pub by_parent: BTreeMap<SocketAddr, u64>,
    /// Largest number of configuration bytes that one balancer sent and received within [`WINDOW_S`] seconds, since the
    /// previous response to `figures`.
    pub most_in_window: u64,
}

#[derive(Default)]
struct Counts {
    read: Cell<u64>,
    written: Cell<u64>,
    opened: Cell<u64>,
    by_parent: RefCell<BTreeMap<SocketAddr, u64>>,
}

/// A configuration connection to a parent (relay) whose bytes are counted.
struct CountingStream {
    stream: TcpStream,
    parent: SocketAddr,
    counts: Rc<Counts>,
}

impl CountingStream {
    fn count(&self, read: usize, written: usize) {
        self.counts.read.set(self.counts.read.get() + read as u64);
        self.counts.written.set(self.counts.written.get() + written as u64);
        *self.counts.by_parent.borrow_mut().entry(self.parent).or_default() += (read + written) as u64;
    }
}

impl AsyncRead for CountingStream {
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

impl AsyncWrite for CountingStream {
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
    // A failed write means that the parent process has closed the pipe, so there is nothing left to do.
    if writeln!(io::stdout().lock(), "{line}").is_err() {
        process::exit(0);
    }
}

/// Runs the balancers of the [`Job`] on standard input, and exits the process when standard input closes.
///
/// # Errors
/// The job cannot be parsed, or the runtime cannot be started.
pub fn run() -> Result<(), CapacityError> {
    let mut job_line = String::new();
    io::stdin()
        .lock()
        .read_line(&mut job_line)
        .map_err(|cause| CapacityError::run("hollow balancers: job", cause))?;
    let job: Job = serde_json::from_str(&job_line)
        .map_err(|cause| CapacityError::run("hollow balancers: job", cause))?;
    let (sender, commands) = mpsc::channel(16);
    thread::spawn(move || {
        for line in io::stdin().lock().lines().map_while(Result::ok) {
            if sender.blocking_send(line).is_err() {
                break;
            }
        }
        // Standard input closes when the parent process has ended or has dropped this child.
        process::exit(0);
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|cause| CapacityError::run("hollow balancers", cause))?;
    LocalSet::new().block_on(&runtime, run_balancers(job, commands));
    Ok(())
}

async fn run_balancers(job: Job, mut commands: mpsc::Receiver<String>) {
    let mut all_counts: Vec<Rc<Counts>> = Vec::new();
    for hollow in &job.balancers {
        let counts = Rc::new(Counts::default());
        all_counts.push(Rc::clone(&counts));
        if let Some(list) = job.list {
            match driver(list, hollow, &job.zones) {
                Ok(driver) => drop(spawn_local(report_list_received(driver, hollow.number))),
                Err(cause) => send_event(&Event::Failed(cause)),
            }
        }
        if !hollow.parents.is_empty() {
            spawn_local(run_configuration_client(hollow.clone(), counts));
        }
        sleep(Duration::from_millis(job.apart_ms)).await;
    }
    // For each balancer, its total bytes at each of the last WINDOW_S seconds.
    let mut totals_by_second: Vec<Vec<u64>> = vec![vec![0; WINDOW_S]; all_counts.len()];
    let (mut ticks, mut busiest_bytes) = (0, 0);
    let mut second_ticks = interval(Duration::from_secs(1));
    loop {
        tokio::select! {
            command = commands.recv() => match command.as_deref() {
                Some("figures") => {
                    send_event(&Event::Figures(sum_counts(&all_counts, busiest_bytes)));
                    busiest_bytes = 0;
                }
                _ => return,
            },
            _ = second_ticks.tick() => {
                for (counts, totals_by_second) in all_counts.iter().zip(&mut totals_by_second) {
                    let now = counts.read.get() + counts.written.get();
                    let Some(oldest) = totals_by_second.get_mut(ticks % WINDOW_S) else { continue };
                    // Until WINDOW_S seconds have passed, the window covers all bytes since the start.
                    busiest_bytes = busiest_bytes.max(now - *oldest);
                    *oldest = now;
                }
                ticks += 1;
            }
        }
    }
}

fn sum_counts(all_counts: &[Rc<Counts>], most_in_window: u64) -> Figures {
    let mut sum = Figures { most_in_window, ..Figures::default() };
    for counts in all_counts {
        sum.read += counts.read.get();
        sum.written += counts.written.get();
        sum.opened += counts.opened.get();
        for (&parent, bytes) in &*counts.by_parent.borrow() {
            *sum.by_parent.entry(parent).or_default() += bytes;
        }
    }
    sum
}

/// Starts a balancer's event loop with its endpoint list client and its decisions, in the same way as the balancer
/// itself does.
///
/// # Errors
/// The settings are invalid, or the event loop cannot be started.
pub fn driver(list: SocketAddr, hollow: &HollowBalancer, zones: &[String]) -> Result<Rc<EventLoop>, String> {
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

async fn report_list_received(driver: Rc<EventLoop>, number: usize) {
    while !driver.can_serve() {
        sleep(Duration::from_millis(10)).await;
    }
    send_event(&Event::Listed(number));
    // Keeps a reference to the event loop explicitly, although the event loop also holds one to itself.
    std::future::pending::<()>().await;
}

async fn run_configuration_client(hollow: HollowBalancer, counts: Rc<Counts>) {
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
            Ok(CountingStream { stream, parent, counts })
        }
    };
    let mut index = 0;
    let apply_update = |state: &State, changed: &[Scope]| {
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
    match client::run(client, connect, apply_update).await {}
}

/// Waits until `done` returns true, for one minute at most.
///
/// # Errors
/// `done` has not returned true within the minute.
pub async fn wait_until(place: &str, mut done: impl FnMut() -> bool) -> Result<(), CapacityError> {
    let deadline = Instant::now() + Duration::from_secs(60);
    while !done() {
        if Instant::now() > deadline {
            return Err(CapacityError::run(place, "timed out after 60 s"));
        }
        sleep(Duration::from_millis(1)).await;
    }
    Ok(())
}
