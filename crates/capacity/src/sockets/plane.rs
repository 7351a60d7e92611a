//! The control processes: an origin, a standby, and relays of regions and of zones. Each connection between them goes
//! through a forwarder, which counts its bytes and can partition it.

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use tokio::sync::watch;

use super::child::{self, Child};
use super::machine::{self, Usage};
use crate::CapacityError;

mod deal;
mod forwarder;
mod publication;

pub use self::deal::{Machine, Role, deal, region_of};
use self::forwarder::{Forwarder, Forwarders, forward_all};
pub use self::publication::{Change, Response, body, publish, request};

/// Name of the control processes' program.
const PROGRAM: &str = "config-distribution";
/// First port of the control processes. It is below the kernel's ephemeral ports, so that no outgoing connection takes
/// a port of theirs.
const FIRST_PORT: u16 = 7100;
/// Maximum time until a process listens, and until a publication is accepted.
const TIMEOUT: Duration = Duration::from_secs(30);

struct Running {
    machine: Machine,
    address: SocketAddr,
    child: Option<Child>,
    /// Processor time used by earlier, killed processes at this place, in nanoseconds.
    before: u64,
    last_kb: u64,
}

struct Edge {
    child: usize,
    parent: usize,
    address: SocketAddr,
    bytes: Arc<AtomicU64>,
}

/// The running control processes, which are killed when this is dropped.
pub struct Plane {
    running: Vec<Running>,
    edges: Vec<Edge>,
    cut: watch::Sender<Option<usize>>,
    program: PathBuf,
    directory: PathBuf,
    forwarders: Option<Forwarders>,
}

/// Number of control planes that this process has started, which gives each of them its own ports and directory.
static PLANES: AtomicUsize = AtomicUsize::new(0);

impl Plane {
    /// Starts all processes and waits until each of them listens.
    ///
    /// # Errors
    /// The program is missing, or a process does not listen within the time-out.
    pub fn start(machines: Vec<Machine>) -> Result<Self, CapacityError> {
        let program = program()?;
        let turn = PLANES.fetch_add(1, Ordering::Relaxed);
        let pid = std::process::id();
        // A loopback address derived from the process id, so that the ports do not collide with those of another run.
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

    /// Starts the control process with the index `place`, which must not be running.
    ///
    /// # Errors
    /// The process cannot be started.
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

    /// Waits until all running processes accept connections.
    ///
    /// # Errors
    /// A process does not accept connections within the time-out, or a signal has asked the run to end.
    pub fn wait_listening(&self) -> Result<(), CapacityError> {
        let until = Instant::now() + TIMEOUT;
        for running in self.running.iter().filter(|running| running.child.is_some()) {
            while let Err(cause) = TcpStream::connect(running.address) {
                child::check_interrupted()?;
                if Instant::now() > until {
                    let place = format!("{} at {}", running.machine.role.name(), running.address);
                    return Err(CapacityError::run(place, cause));
                }
                thread::sleep(Duration::from_millis(5));
            }
        }
        Ok(())
    }

    /// Kills the control process with the index `place`, as if its machine were lost.
    pub fn kill(&mut self, place: usize) {
        let used = self.usage(place);
        let running = &mut self.running[place];
        if running.child.take().is_some() {
            running.before = used.cpu_ns;
        }
    }

    /// Iterates over the control processes of the plan, in the order of their indices.
    pub fn machines(&self) -> impl Iterator<Item = &Machine> {
        self.running.iter().map(|running| &running.machine)
    }

    /// Iterates over the process ids of the running control processes.
    pub fn pids(&self) -> impl Iterator<Item = u32> {
        self.running.iter().filter_map(|running| Some(running.child.as_ref()?.pid()))
    }

    /// Returns the address that the control process with the index `place` listens on.
    #[must_use]
    pub fn address(&self, place: usize) -> SocketAddr {
        self.running[place].address
    }

    /// Returns the addresses of the parents of a balancer: the relays of its zone and of its region.
    #[must_use]
    pub fn parents_of(&self, region: usize, zone: usize) -> Vec<SocketAddr> {
        let is_parent = |machine: &Machine| {
            machine.zone == Some(zone) || machine.role == Role::Region && machine.region == region
        };
        let parents = self.running.iter().filter(|running| is_parent(&running.machine));
        parents.map(|running| running.address).collect()
    }

    /// Returns the resources that the control process with the index `place` has used, including those before its
    /// restarts. Memory is the largest value of any call.
    pub fn usage(&mut self, place: usize) -> Usage {
        let running = &mut self.running[place];
        let now = running.child.as_ref().and_then(|child| machine::usage(child.pid()));
        let Usage { cpu_ns, resident_kb } = now.unwrap_or_default();
        running.last_kb = running.last_kb.max(resident_kb);
        Usage { cpu_ns: running.before + cpu_ns, resident_kb: running.last_kb }
    }

    /// Returns the bytes exchanged so far between the control process with the index `place` and the other control
    /// processes, in both directions.
    #[must_use]
    pub fn bytes(&self, place: usize) -> u64 {
        let edges = self.edges.iter().filter(|edge| edge.child == place || edge.parent == place);
        edges.map(|edge| edge.bytes.load(Ordering::Relaxed)).sum()
    }

    /// Partitions a region from the others, or ends the partition if `region` is `None`. Connections across the
    /// region's border stay open, but no bytes pass.
    pub fn cut(&self, region: Option<usize>) {
        self.cut.send_replace(region);
    }
}

impl Drop for Plane {
    fn drop(&mut self) {
        self.running.clear();
        if let Some((stop, thread)) = self.forwarders.take() {
            // Sending fails if the thread has already ended.
            let _ = stop.send(());
            let _ = thread.join();
        }
        // If removing fails, the files stay in the directory for temporary files, where they do no harm.
        let _ = fs::remove_dir_all(&self.directory);
    }
}

/// Finds the control processes' program in the directory of this executable or in that directory's parent.
fn program() -> Result<PathBuf, CapacityError> {
    let own =
        std::env::current_exe().map_err(|cause| CapacityError::run("path of this executable", cause))?;
    // The executables of tests are one directory further down.
    let beside = own.ancestors().skip(1).take(2).map(|folder| folder.join(PROGRAM));
    beside.into_iter().find(|path| path.is_file()).ok_or_else(|| {
        let wanted = own.with_file_name(PROGRAM);
        CapacityError::file(&wanted, "missing: build the whole workspace (cargo build --release --locked)")
    })
}

/// Creates the directory `part` below `out`, for results or slopes, and returns its path.
///
/// # Errors
/// The directory cannot be created.
pub fn folder(out: &Path, part: &str) -> Result<PathBuf, CapacityError> {
    let folder = out.join(part);
    fs::create_dir_all(&folder).map_err(|cause| CapacityError::file(&folder, cause))?;
    Ok(folder)
}
