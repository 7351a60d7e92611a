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

mod forwarder;
mod placement;
mod publication;

use self::forwarder::{Forwarder, Forwarders, forward_all};
pub use self::placement::{ControlProcess, Role, control_processes, region_of};
pub use self::publication::{Change, Response, body, publish, request};

/// Name of the control processes' program.
const PROGRAM: &str = "config-distribution";
/// First port of the control processes. It is below the kernel's ephemeral ports, so that no outgoing connection takes
/// a port of theirs.
const FIRST_PORT: u16 = 7100;
/// Maximum time until a control process listens, and until the origin accepts a publication.
const TIMEOUT: Duration = Duration::from_secs(30);

/// A control process of the plan, with its child process while it runs.
struct Running {
    machine: ControlProcess,
    /// Address that the process listens on.
    address: SocketAddr,
    /// The child process; `None` while the control process is killed.
    child: Option<Child>,
    /// Processor time used by earlier, killed processes of this entry, in nanoseconds.
    earlier_cpu_ns: u64,
    /// Largest resident memory of the process that [`ControlPlane::usage`] has read, in KiB.
    max_resident_kb: u64,
}

/// A connection from a control process to one of its parents, through a forwarder.
struct Edge {
    /// Index of the control process that connects.
    child: usize,
    /// Index of the control process that is connected to: the parent.
    parent: usize,
    /// Address of the forwarder that the connection goes through.
    address: SocketAddr,
    /// Bytes that the forwarder has passed on, in both directions.
    bytes: Arc<AtomicU64>,
}

/// The running control processes, which are killed when this is dropped.
pub struct ControlPlane {
    running: Vec<Running>,
    edges: Vec<Edge>,
    /// Region that is partitioned from the others, for the forwarders; `None` without a partition.
    partition: watch::Sender<Option<usize>>,
    /// Path of the control processes' program.
    program: PathBuf,
    /// Directory for the stored data of the origin and the standbys.
    directory: PathBuf,
    forwarders: Option<Forwarders>,
}

/// Number of control planes that this process has started, which gives each of them its own ports and directory.
static CONTROL_PLANE_COUNT: AtomicUsize = AtomicUsize::new(0);

impl ControlPlane {
    /// Starts all control processes and waits until each of them listens.
    ///
    /// # Errors
    /// The program is missing, or a process does not listen within the time-out.
    pub fn start(machines: Vec<ControlProcess>) -> Result<Self, CapacityError> {
        let program = program()?;
        let control_plane_number = CONTROL_PLANE_COUNT.fetch_add(1, Ordering::Relaxed);
        let pid = std::process::id();
        // A loopback address derived from the process id, so that the ports do not collide with those of another run.
        let [_, high, middle, low] = pid.to_be_bytes();
        let ip = IpAddr::V4(Ipv4Addr::new(127, 64 + high % 64, middle, low));
        let port =
            |process_index: usize| FIRST_PORT + ((control_plane_number % 64) * 128 + process_index) as u16;
        let directory = std::env::temp_dir().join(format!("capacity-{pid}-{control_plane_number}"));
        fs::create_dir_all(&directory).map_err(|cause| CapacityError::file(&directory, cause))?;
        let (partition, partitions) = watch::channel(None);
        let mut edges = Vec::new();
        let mut forwarders = Vec::new();
        for (child, machine) in machines.iter().enumerate() {
            for &parent in &machine.parents {
                let to_error = |cause| CapacityError::run("a forwarder between control processes", cause);
                let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).map_err(to_error)?;
                listener.set_nonblocking(true).map_err(to_error)?;
                let address = listener.local_addr().map_err(to_error)?;
                let bytes = Arc::new(AtomicU64::new(0));
                let regions = [machine.region, machines[parent].region];
                let target = SocketAddr::new(ip, port(parent));
                forwarders.push(Forwarder { listener, target, regions, bytes: Arc::clone(&bytes) });
                edges.push(Edge { child, parent, address, bytes });
            }
        }
        let running = machines
            .into_iter()
            .enumerate()
            .map(|(process_index, machine)| Running {
                machine,
                address: SocketAddr::new(ip, port(process_index)),
                child: None,
                earlier_cpu_ns: 0,
                max_resident_kb: 0,
            })
            .collect::<Vec<_>>();
        let forwarders = Some(forward_all(forwarders, partitions)?);
        let mut control_plane = Self { running, edges, partition, program, directory, forwarders };
        for process_index in 0..control_plane.running.len() {
            control_plane.launch(process_index)?;
        }
        control_plane.wait_listening()?;
        Ok(control_plane)
    }

    /// Starts the control process `process_index`, which must not be running.
    ///
    /// # Errors
    /// The process cannot be started.
    pub fn launch(&mut self, process_index: usize) -> Result<(), CapacityError> {
        let running = &self.running[process_index];
        let role = running.machine.role;
        let name = format!("{} {process_index}", role.name());
        let mut command = Command::new(&self.program);
        let directory = self.directory.join(process_index.to_string());
        if role == Role::Origin {
            command.arg("origin");
        } else {
            command.args(["relay", "--level", &role.level().to_string()]);
            for edge in self.edges.iter().filter(|edge| edge.child == process_index) {
                command.args(["--parent", &edge.address.to_string()]);
            }
        }
        command.args(["--listen", &running.address.to_string()]);
        if matches!(role, Role::Origin | Role::Standby) {
            command.arg("--dir").arg(&directory);
        }
        let child = Child::start(&name, &mut command, None)?;
        self.running[process_index].child = Some(child);
        Ok(())
    }

    /// Waits until all running control processes accept connections.
    ///
    /// # Errors
    /// A process does not accept connections within the time-out, or a signal has asked the run to end.
    pub fn wait_listening(&self) -> Result<(), CapacityError> {
        let deadline = Instant::now() + TIMEOUT;
        for running in self.running.iter().filter(|running| running.child.is_some()) {
            while let Err(cause) = TcpStream::connect(running.address) {
                child::check_interrupted()?;
                if Instant::now() > deadline {
                    let label = format!("{} at {}", running.machine.role.name(), running.address);
                    return Err(CapacityError::run(label, cause));
                }
                thread::sleep(Duration::from_millis(5));
            }
        }
        Ok(())
    }

    /// Kills the control process `process_index`, as if its machine were lost.
    pub fn kill(&mut self, process_index: usize) {
        let used = self.usage(process_index);
        let running = &mut self.running[process_index];
        if running.child.take().is_some() {
            running.earlier_cpu_ns = used.cpu_ns;
        }
    }

    /// Iterates over the control processes of the plan, in the order of their indices.
    pub fn machines(&self) -> impl Iterator<Item = &ControlProcess> {
        self.running.iter().map(|running| &running.machine)
    }

    /// Iterates over the process ids of the running control processes.
    pub fn pids(&self) -> impl Iterator<Item = u32> {
        self.running.iter().filter_map(|running| Some(running.child.as_ref()?.pid()))
    }

    /// Returns the address that the control process `process_index` listens on.
    #[must_use]
    pub fn address(&self, process_index: usize) -> SocketAddr {
        self.running[process_index].address
    }

    /// Returns the addresses of the parents of a balancer: the relays of its zone and of its region.
    #[must_use]
    pub fn parents_of(&self, region: usize, zone: usize) -> Vec<SocketAddr> {
        let is_parent = |machine: &ControlProcess| {
            machine.zone == Some(zone) || machine.role == Role::Region && machine.region == region
        };
        let parents = self.running.iter().filter(|running| is_parent(&running.machine));
        parents.map(|running| running.address).collect()
    }

    /// Returns the resources that the control process `process_index` has used, including those before its
    /// restarts. Memory is the largest value of any call.
    pub fn usage(&mut self, process_index: usize) -> Usage {
        let running = &mut self.running[process_index];
        let now = running.child.as_ref().and_then(|child| machine::usage(child.pid()));
        let Usage { cpu_ns, resident_kb } = now.unwrap_or_default();
        running.max_resident_kb = running.max_resident_kb.max(resident_kb);
        Usage { cpu_ns: running.earlier_cpu_ns + cpu_ns, resident_kb: running.max_resident_kb }
    }

    /// Returns the bytes exchanged so far between the control process `process_index` and the other control
    /// processes, in both directions.
    #[must_use]
    pub fn bytes(&self, process_index: usize) -> u64 {
        let edges =
            self.edges.iter().filter(|edge| edge.child == process_index || edge.parent == process_index);
        edges.map(|edge| edge.bytes.load(Ordering::Relaxed)).sum()
    }

    /// Partitions a region from the others, or ends the partition if `region` is `None`. Connections across the
    /// region's border stay open, but no bytes pass.
    pub fn partition(&self, region: Option<usize>) {
        self.partition.send_replace(region);
    }
}

impl Drop for ControlPlane {
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
    let executable =
        std::env::current_exe().map_err(|cause| CapacityError::run("path of this executable", cause))?;
    // The executables of tests are one directory further down.
    let candidates = executable.ancestors().skip(1).take(2).map(|folder| folder.join(PROGRAM));
    candidates.into_iter().find(|path| path.is_file()).ok_or_else(|| {
        let expected_path = executable.with_file_name(PROGRAM);
        CapacityError::file(
            &expected_path,
            "missing: build the whole workspace (cargo build --release --locked)",
        )
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
