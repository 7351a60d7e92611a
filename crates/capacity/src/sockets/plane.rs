//! The control processes: an origin, a standby, relays of regions and of zones, each edge between them through a
//! forwarder that counts and can be cut.

use std::fs;
use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use config_distribution::document::Scope;
use serde::Deserialize;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::{oneshot, watch};
use tokio::task::{LocalSet, spawn_local};

use super::child::{self, Child};
use super::machine::{self, Usage};
use crate::CapacityError;
use crate::plan::Plan;

/// The program that the processes are.
const PROGRAM: &str = "config-distribution";
/// Below the ports that the kernel gives to callers, so that none is taken meanwhile.
const FIRST_PORT: u16 = 7100;
/// How long a process may take to listen, and a publication to be taken.
const PATIENCE: Duration = Duration::from_secs(30);

/// What a control process is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Accepts publications.
    Origin,
    /// Holds a copy.
    Standby,
    /// Relays for a region.
    Region,
    /// Relays for a zone.
    Zone,
}

impl Role {
    /// All of them.
    pub const ALL: [Self; 4] = [Self::Origin, Self::Standby, Self::Region, Self::Zone];

    /// As it is called.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Origin => "origin",
            Self::Standby => "standby",
            Self::Region => "region relay",
            Self::Zone => "zone relay",
        }
    }

    fn level(self) -> usize {
        self as usize
    }
}

/// A control process to be.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Machine {
    /// What it is.
    pub role: Role,
    /// The number of its region.
    pub region: usize,
    /// That of its zone, of a zone's relay.
    pub zone: Option<usize>,
    /// Whom it follows, by their places.
    pub parents: Vec<usize>,
}

/// The processes as the plan deals them: the origin in the first region, the standby in the next, relays of regions
/// below both, relays of zones below their region's and the standby.
#[must_use]
pub fn deal(plan: &Plan) -> Vec<Machine> {
    let regions = plan.fleet.regions.value;
    let mut machines = Vec::new();
    let machine = |role, region, zone, parents| Machine { role, region, zone, parents };
    machines.extend((0..plan.deal.origins.value).map(|_| machine(Role::Origin, 0, None, Vec::new())));
    let origins: Vec<usize> = (0..machines.len()).collect();
    for _ in 0..plan.deal.standbys.value {
        machines.push(machine(Role::Standby, 1 % regions, None, origins.clone()));
    }
    let heads: Vec<usize> = (0..machines.len()).collect();
    let standbys = &heads[origins.len()..];
    for number in 0..plan.deal.region_relays.value {
        machines.push(machine(Role::Region, number % regions, None, heads.clone()));
    }
    let each = plan.deal.zone_relays.value / plan.fleet.zones.value.max(1);
    for zone in 0..plan.fleet.zones.value {
        let region = region_of(plan, zone);
        let above = (0..machines.len())
            .filter(|&place| machines[place].role == Role::Region && machines[place].region == region);
        let parents: Vec<usize> = above.chain(standbys.iter().copied()).collect();
        for _ in 0..each {
            machines.push(machine(Role::Zone, region, Some(zone), parents.clone()));
        }
    }
    machines
}

/// The region of a zone; zones are numbered region after region.
#[must_use]
pub fn region_of(plan: &Plan, zone: usize) -> usize {
    let mut until = 0;
    let zones = &plan.fleet.zones_by_region.value;
    zones
        .iter()
        .position(|&zones| {
            until += zones;
            zone < until
        })
        .unwrap_or(0)
}

struct Running {
    machine: Machine,
    address: SocketAddr,
    child: Option<Child>,
    /// Used by its processes before this one.
    before: u64,
    last_kb: u64,
}

struct Edge {
    child: usize,
    parent: usize,
    address: SocketAddr,
    bytes: Arc<AtomicU64>,
}

/// The running processes; they end when this is dropped.
pub struct Plane {
    running: Vec<Running>,
    edges: Vec<Edge>,
    cut: watch::Sender<Option<usize>>,
    program: PathBuf,
    directory: PathBuf,
    forwarders: Option<(oneshot::Sender<()>, JoinHandle<()>)>,
}

/// Planes that this process has started, so that each has ports and a directory of its own.
static PLANES: AtomicUsize = AtomicUsize::new(0);

impl Plane {
    /// Starts them all and waits until each listens.
    ///
    /// # Errors
    /// The program is missing, or a process does not come up.
    pub fn start(machines: Vec<Machine>) -> Result<Self, CapacityError> {
        let program = program()?;
        let turn = PLANES.fetch_add(1, Ordering::Relaxed);
        let pid = std::process::id();
        // An address of this run's own, so that no other run has its ports.
        let [_, high, middle, low] = pid.to_be_bytes();
        let ip = IpAddr::V4(Ipv4Addr::new(127, 64 + high % 64, middle, low));
        let port = |place: usize| FIRST_PORT + ((turn % 64) * 128 + place) as u16;
        let directory = std::env::temp_dir().join(format!("capacity-{pid}-{turn}"));
        fs::create_dir_all(&directory).map_err(|cause| CapacityError::file(&directory, cause))?;
        let (cut, cuts) = watch::channel(None);
        let mut edges = Vec::new();
        let mut forwarders = Vec::new();
        for (child, machine) in machines.iter().enumerate() {
            for &parent in &machine.parents {
                let wrong = |cause| CapacityError::run("a forwarder between control processes", cause);
                let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).map_err(wrong)?;
                listener.set_nonblocking(true).map_err(wrong)?;
                let address = listener.local_addr().map_err(wrong)?;
                let bytes = Arc::new(AtomicU64::new(0));
                let ends = [machine.region, machines[parent].region];
                let to = SocketAddr::new(ip, port(parent));
                forwarders.push(Forwarder { listener, to, ends, bytes: Arc::clone(&bytes) });
                edges.push(Edge { child, parent, address, bytes });
            }
        }
        let running = machines
            .into_iter()
            .enumerate()
            .map(|(place, machine)| Running {
                machine,
                address: SocketAddr::new(ip, port(place)),
                child: None,
                before: 0,
                last_kb: 0,
            })
            .collect::<Vec<_>>();
        let forwarders = Some(forward_all(forwarders, cuts)?);
        let mut plane = Self { running, edges, cut, program, directory, forwarders };
        for place in 0..plane.running.len() {
            plane.launch(place)?;
        }
        plane.wait_listening()?;
        Ok(plane)
    }

    /// Starts one that does not run.
    ///
    /// # Errors
    /// It cannot be started.
    pub fn launch(&mut self, place: usize) -> Result<(), CapacityError> {
        let running = &self.running[place];
        let role = running.machine.role;
        let name = format!("{} {place}", role.name());
        let mut command = Command::new(&self.program);
        let directory = self.directory.join(place.to_string());
        if role == Role::Origin {
            command.arg("origin");
        } else {
            command.args(["relay", "--level", &role.level().to_string()]);
            for edge in self.edges.iter().filter(|edge| edge.child == place) {
                command.args(["--parent", &edge.address.to_string()]);
            }
        }
        command.args(["--listen", &running.address.to_string()]);
        if matches!(role, Role::Origin | Role::Standby) {
            command.arg("--dir").arg(&directory);
        }
        let child = Child::start(&name, &mut command, None)?;
        self.running[place].child = Some(child);
        Ok(())
    }

    /// Waits until all that run take connections.
    ///
    /// # Errors
    /// One does not in time.
    pub fn wait_listening(&self) -> Result<(), CapacityError> {
        let until = Instant::now() + PATIENCE;
        for running in self.running.iter().filter(|running| running.child.is_some()) {
            while let Err(cause) = TcpStream::connect(running.address) {
                child::go_on()?;
                if Instant::now() > until {
                    let place = format!("{} at {}", running.machine.role.name(), running.address);
                    return Err(CapacityError::run(place, cause));
                }
                thread::sleep(Duration::from_millis(5));
            }
        }
        Ok(())
    }

    /// Ends one at once, as when its machine is lost.
    pub fn kill(&mut self, place: usize) {
        let used = self.usage(place);
        let running = &mut self.running[place];
        if running.child.take().is_some() {
            running.before = used.cpu_ns;
        }
    }

    /// The machines, by place.
    pub fn machines(&self) -> impl Iterator<Item = &Machine> {
        self.running.iter().map(|running| &running.machine)
    }

    /// Their numbers at the kernel.
    pub fn pids(&self) -> impl Iterator<Item = u32> {
        self.running.iter().filter_map(|running| Some(running.child.as_ref()?.pid()))
    }

    /// Where one listens.
    #[must_use]
    pub fn address(&self, place: usize) -> SocketAddr {
        self.running[place].address
    }

    /// Whom a balancer of a zone follows: the relays of its zone and of its region.
    #[must_use]
    pub fn parents_of(&self, region: usize, zone: usize) -> Vec<SocketAddr> {
        let is_parent = |machine: &Machine| {
            machine.zone == Some(zone) || machine.role == Role::Region && machine.region == region
        };
        let parents = self.running.iter().filter(|running| is_parent(&running.machine));
        parents.map(|running| running.address).collect()
    }

    /// What one has used, over all its processes.
    pub fn usage(&mut self, place: usize) -> Usage {
        let running = &mut self.running[place];
        let now = running.child.as_ref().and_then(|child| machine::usage(child.pid()));
        let Usage { cpu_ns, resident_kb } = now.unwrap_or_default();
        running.last_kb = running.last_kb.max(resident_kb);
        Usage { cpu_ns: running.before + cpu_ns, resident_kb: running.last_kb }
    }

    /// Bytes between one and the other control processes so far, both ways.
    #[must_use]
    pub fn bytes(&self, place: usize) -> u64 {
        let edges = self.edges.iter().filter(|edge| edge.child == place || edge.parent == place);
        edges.map(|edge| edge.bytes.load(Ordering::Relaxed)).sum()
    }

    /// Cuts a region off from the others, or none: nothing is said any more on connections over its border, which stay open.
    pub fn cut(&self, region: Option<usize>) {
        self.cut.send_replace(region);
    }
}

impl Drop for Plane {
    fn drop(&mut self) {
        self.running.clear();
        if let Some((stop, thread)) = self.forwarders.take() {
            // The thread may have ended.
            let _ = stop.send(());
            let _ = thread.join();
        }
        // What is left of it lies among temporary files.
        let _ = fs::remove_dir_all(&self.directory);
    }
}

/// The program, beside this one.
fn program() -> Result<PathBuf, CapacityError> {
    let own = std::env::current_exe().map_err(|cause| CapacityError::run("this program's place", cause))?;
    // Tests lie one folder further down.
    let beside = own.ancestors().skip(1).take(2).map(|folder| folder.join(PROGRAM));
    beside.into_iter().find(|path| path.is_file()).ok_or_else(|| {
        let wanted = own.with_file_name(PROGRAM);
        CapacityError::file(&wanted, "missing: build the whole workspace (cargo build --release --locked)")
    })
}

// --- Forwarders ---

struct Forwarder {
    listener: std::net::TcpListener,
    to: SocketAddr,
    /// The regions of its ends.
    ends: [usize; 2],
    bytes: Arc<AtomicU64>,
}

type Forwarders = (oneshot::Sender<()>, JoinHandle<()>);

fn forward_all(
    forwarders: Vec<Forwarder>,
    cuts: watch::Receiver<Option<usize>>,
) -> Result<Forwarders, CapacityError> {
    let wrong = |cause| CapacityError::run("the forwarders between control processes", cause);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(wrong)?;
    let (stop, stopped) = oneshot::channel();
    let thread = thread::spawn(move || {
        LocalSet::new().block_on(&runtime, async {
            for forwarder in forwarders {
                spawn_local(forward(forwarder, cuts.clone()));
            }
            // Its other end may have gone.
            let _ = stopped.await;
        });
    });
    Ok((stop, thread))
}

async fn forward(forwarder: Forwarder, cuts: watch::Receiver<Option<usize>>) {
    let Forwarder { listener, to, ends, bytes } = forwarder;
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
    loop {
        let Ok((near, _)) = listener.accept().await else { continue };
        let (mut cuts, bytes) = (cuts.clone(), Arc::clone(&bytes));
        spawn_local(async move {
            open(&mut cuts, ends).await;
            let Ok(far) = tokio::net::TcpStream::connect(to).await else { return };
            // Each chunk goes on as it comes.
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            let ((near_read, near_write), (far_read, far_write)) = (near.into_split(), far.into_split());
            let mut back_cuts = cuts.clone();
            let there = pass(near_read, far_write, &mut cuts, ends, &bytes);
            let back = pass(far_read, near_write, &mut back_cuts, ends, &bytes);
            // Either end closes both.
            tokio::select! { _ = there => {}, _ = back => {} }
        });
    }
}

/// Waits while there is a cut between the regions.
async fn open(cuts: &mut watch::Receiver<Option<usize>>, ends: [usize; 2]) {
    let open = |cut: &Option<usize>| ends[0] == ends[1] || cut.is_none_or(|region| !ends.contains(&region));
    // The sender lives as long as the forwarders.
    let _ = cuts.wait_for(open).await;
}

async fn pass(
    mut from: impl tokio::io::AsyncRead + Unpin,
    mut to: impl tokio::io::AsyncWrite + Unpin,
    cuts: &mut watch::Receiver<Option<usize>>,
    ends: [usize; 2],
    bytes: &AtomicU64,
) -> std::io::Result<()> {
    let mut buffer = vec![0; 64 << 10];
    loop {
        open(cuts, ends).await;
        let read = from.read(&mut buffer).await?;
        open(cuts, ends).await;
        if read == 0 {
            return Ok(());
        }
        to.write_all(&buffer[..read]).await?;
        bytes.fetch_add(read as u64, Ordering::Relaxed);
    }
}

// --- Publications ---

/// A change as it was published.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Whose document.
    pub scope: Scope,
    /// The version that it got.
    pub version: u64,
    /// When it was first sent, on [`machine::now_ns`]'s clock.
    pub sent_ns: u64,
    /// When it was acknowledged.
    pub acknowledged_ns: u64,
}

#[derive(Deserialize)]
struct Acknowledged {
    index: u64,
}

/// Publishes a document, again under the same id while the origin cannot be reached.
///
/// # Errors
/// It is refused, or not taken for half a minute.
pub fn publish(origin: SocketAddr, scope: &Scope, body: &str, id: &str) -> Result<Change, CapacityError> {
    let sent_ns = machine::now_ns();
    let until = Instant::now() + PATIENCE;
    let head = format!("PUT /configuration/{scope} HTTP/1.1\r\nX-Request-Id: {id}\r\n");
    loop {
        let failed = match ask(origin, &head, body) {
            Ok(Answer { status: 200, body: text, .. }) => {
                let acknowledged_ns = machine::now_ns();
                let Acknowledged { index } = serde_json::from_str(&text).map_err(|cause| {
                    CapacityError::run(format!("publication of {scope}: {text:?}"), cause)
                })?;
                return Ok(Change { scope: scope.clone(), version: index, sent_ns, acknowledged_ns });
            }
            Ok(Answer { status: 503, body: text, .. }) => text,
            Ok(Answer { status, body: text, .. }) => {
                return Err(CapacityError::run(
                    format!("publication of {scope}"),
                    format!("answered {status}: {text}"),
                ));
            }
            Err(cause) => cause.to_string(),
        };
        if Instant::now() > until {
            return Err(CapacityError::run(format!("publication of {scope}"), failed));
        }
        thread::sleep(Duration::from_millis(50));
    }
}

/// What was answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The body.
    pub body: String,
    /// Bytes of question and answer.
    pub bytes: usize,
}

/// One question of HTTP/1.1 on a connection of its own.
///
/// # Errors
/// The connection breaks, or what comes is not understood.
pub fn ask(address: SocketAddr, head: &str, body: &str) -> std::io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let length = body.len();
    let text =
        format!("{head}Host: {address}\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes())?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer)?;
    let bytes = text.len() + answer.len();
    let answer = String::from_utf8_lossy(&answer);
    let wrong = || std::io::Error::new(ErrorKind::InvalidData, "no answer of HTTP/1.1");
    let (head, body) = answer.split_once("\r\n\r\n").ok_or_else(wrong)?;
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).ok_or_else(wrong)?;
    Ok(Answer { status, body: body.to_owned(), bytes })
}

/// A document's body of about so many bytes, another one with each `turn`.
#[must_use]
pub fn body(bytes: usize, turn: u64) -> String {
    let mut text =
        format!("{{\"settings\":{{\"projects\":[{{\"name\":\"tenant-0\",\"quotaPerS\":{}.0}}", 1000 + turn);
    let mut number = 1;
    loop {
        let more = format!(",{{\"name\":\"tenant-{number}\",\"quotaPerS\":250.0}}");
        if text.len() + more.len() + "]}}".len() > bytes {
            return text + "]}}";
        }
        text += &more;
        number += 1;
    }
}

/// Whether a path is a directory's that can be written to; the rig's own results go there.
///
/// # Errors
/// It is not.
pub fn folder(out: &Path, part: &str) -> Result<PathBuf, CapacityError> {
    let folder = out.join(part);
    fs::create_dir_all(&folder).map_err(|cause| CapacityError::file(&folder, cause))?;
    Ok(folder)
}
