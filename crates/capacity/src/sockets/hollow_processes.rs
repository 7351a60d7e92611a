//! The processes of hollow balancers, and the events that they report.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::process::Command;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::{Duration, Instant};

use config_distribution::document::Scope;
use hdrhistogram::Histogram;

use super::child::{self, Child, Output};
use super::control_plane::Change;
use super::hollow::{Event, Figures, HollowBalancer, Job};
use super::machine::{self, Usage};
use crate::CapacityError;

/// Longest delay that a [`DelayHistogram`] can record, in microseconds.
const MAX_TIME_US: u64 = 600_000_000;

/// Interval of the check whether a signal has asked the run to end.
const SIGNAL_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Processes of hollow balancers, which are killed when this value is dropped.
pub struct HollowProcesses {
    children: Vec<Child>,
    output: Receiver<Output>,
    /// Whether each balancer has received its endpoint list, by the balancer's number.
    listed: Vec<bool>,
    /// Versions of the configuration document of each scope that came into force at each balancer, in the order in
    /// which they did, by the balancer's number.
    in_force: Vec<HashMap<Scope, Vec<VersionInForce>>>,
    /// Configuration scopes that each balancer subscribes to, by the balancer's number.
    wanted: Vec<[Scope; 3]>,
    /// Response of each process to the latest command `figures`; `None` until it arrives.
    figures: Vec<Option<Figures>>,
    /// How often the configuration index of any balancer decreased, which must never happen.
    pub index_regressions: usize,
}

/// A version of a configuration document that came into force at a balancer.
#[derive(Debug, Clone, Copy)]
struct VersionInForce {
    version: u64,
    /// Time at which the version came into force at the balancer, in nanoseconds on the clock of [`machine::now_ns`].
    at_ns: u64,
}

/// The time at which a balancer had a configuration change, or a newer one of the same scope, in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// Number of the balancer at which the configuration change came into force.
    pub balancer: usize,
    /// Time at which the configuration change was in force at the balancer, in nanoseconds on the clock of
    /// [`machine::now_ns`]; `None` if it never was.
    pub at_ns: Option<u64>,
}

/// Traffic of the configuration connections of all hollow balancers since their start.
#[derive(Debug, Clone, Default)]
pub struct Traffic {
    /// Bytes on the configuration connections of all balancers, in both directions.
    pub bytes: u64,
    /// Number of configuration connections that all balancers have opened.
    pub opened: u64,
    /// Bytes in both directions on the configuration connections to each parent (relay), by the address of the parent.
    pub by_parent: BTreeMap<SocketAddr, u64>,
    /// Configuration bytes of the busiest balancer in its busiest window of [`super::hollow::WINDOW_S`] seconds since
    /// the previous call of [`HollowProcesses::carried`].
    pub most_in_window: u64,
}

impl HollowProcesses {
    /// Starts processes that run `balancers`, `per_process` of them in each.
    ///
    /// # Errors
    /// A process cannot be started.
    pub fn start(balancers: &[HollowBalancer], per_process: usize, job: &Job) -> Result<Self, CapacityError> {
        let executable =
            std::env::current_exe().map_err(|cause| CapacityError::run("path of this executable", cause))?;
        let (sender, output): (Sender<_>, _) = channel();
        let balancer_count = balancers.iter().map(|balancer| balancer.number + 1).max().unwrap_or(0);
        let mut wanted = vec![[Scope::Fleet, Scope::Fleet, Scope::Fleet]; balancer_count];
        for balancer in balancers {
            wanted[balancer.number] = balancer.wanted();
        }
        let mut children = Vec::new();
        for (number, chunk) in balancers.chunks(per_process.max(1)).enumerate() {
            let name = format!("hollow balancers, process {number}");
            let mut command = Command::new(&executable);
            // The child processes do not use the plan, but the command line reads it before the command runs.
            command.args(std::env::args_os().skip_while(|arg| arg != "--plan").take(2));
            command.args(["sockets", "--hollow-balancers"]);
            let mut child = Child::start(&name, &mut command, Some((number, sender.clone())))?;
            let job = Job { balancers: chunk.to_vec(), ..job.clone() };
            let job = serde_json::to_string(&job).map_err(|cause| CapacityError::run(&name, cause))?;
            child.send_line(&job)?;
            children.push(child);
        }
        let figures = vec![None; children.len()];
        Ok(Self {
            children,
            output,
            listed: vec![false; balancer_count],
            in_force: vec![HashMap::new(); balancer_count],
            wanted,
            figures,
            index_regressions: 0,
        })
    }

    /// Iterates over the process ids of the child processes.
    pub fn pids(&self) -> impl Iterator<Item = u32> {
        self.children.iter().map(Child::pid)
    }

    /// Receives events for the duration `span`.
    ///
    /// # Errors
    /// A process has exited or has failed, or a signal has asked the run to end.
    pub fn receive_for(&mut self, span: Duration) -> Result<(), CapacityError> {
        let deadline = Instant::now() + span;
        loop {
            child::check_interrupted()?;
            let remaining = deadline.saturating_duration_since(Instant::now());
            match self.output.recv_timeout(remaining.min(SIGNAL_CHECK_INTERVAL)) {
                Ok(Output { process, line }) => self.apply(process, line)?,
                Err(RecvTimeoutError::Timeout) if remaining <= SIGNAL_CHECK_INTERVAL => return Ok(()),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => {
                    return Err(CapacityError::run("hollow balancers", "all processes have exited"));
                }
            }
        }
    }

    /// Receives events until `done`, which is checked every 5 ms, returns true, or until the duration `timeout` has
    /// passed; returns whether `done` returned true in time.
    ///
    /// # Errors
    /// A process has exited or has failed, or a signal has asked the run to end.
    pub fn receive_until(
        &mut self,
        timeout: Duration,
        mut done: impl FnMut(&Self) -> bool,
    ) -> Result<bool, CapacityError> {
        let deadline = Instant::now() + timeout;
        loop {
            if done(self) {
                return Ok(true);
            }
            if Instant::now() > deadline {
                return Ok(false);
            }
            self.receive_for(Duration::from_millis(5))?;
        }
    }

    fn apply(&mut self, process: usize, line: Option<String>) -> Result<(), CapacityError> {
        let process_name = || format!("hollow balancers, process {process}");
        let Some(line) = line else {
            return Err(CapacityError::run(process_name(), "the process has exited"));
        };
        match serde_json::from_str(&line).map_err(|cause| CapacityError::run(process_name(), cause))? {
            Event::Listed(balancer) => self.listed[balancer] = true,
            Event::InForce { balancer, scope, version, at_ns } => {
                self.in_force[balancer].entry(scope).or_default().push(VersionInForce { version, at_ns });
            }
            Event::Back { .. } => self.index_regressions += 1,
            Event::Figures(figures) => self.figures[process] = Some(figures),
            Event::Failed(cause) => return Err(CapacityError::run(process_name(), cause)),
        }
        Ok(())
    }

    /// Returns whether all balancers have received their endpoint list.
    #[must_use]
    pub fn all_listed(&self) -> bool {
        self.listed.iter().all(|listed| *listed)
    }

    /// Returns the number of balancers that lack the newest version of a configuration scope that they subscribe to.
    #[must_use]
    pub fn missing(&self, newest: &HashMap<Scope, u64>) -> usize {
        let has = |balancer: usize, scope: &Scope| {
            let Some(&version) = newest.get(scope) else { return true };
            self.last(balancer, scope).is_some_and(|last| last.version >= version)
        };
        (0..self.wanted.len())
            .filter(|&balancer| !self.wanted[balancer].iter().all(|scope| has(balancer, scope)))
            .count()
    }

    fn last(&self, balancer: usize, scope: &Scope) -> Option<VersionInForce> {
        self.in_force[balancer].get(scope)?.last().copied()
    }

    /// Returns, for each balancer that subscribes to the scope of the configuration change, when the change or a newer
    /// one was in force.
    pub fn times<'a>(&'a self, change: &'a Change) -> impl Iterator<Item = Arrival> + 'a {
        (0..self.wanted.len()).filter(|&balancer| self.wanted[balancer].contains(&change.scope)).map(
            |balancer| {
                let versions = self.in_force[balancer].get(&change.scope);
                let at = versions.and_then(|versions| {
                    versions.iter().find(|candidate| candidate.version >= change.version)
                });
                Arrival { balancer, at_ns: at.map(|version| version.at_ns) }
            },
        )
    }

    /// Returns the traffic of the balancers' configuration connections since the start.
    ///
    /// # Errors
    /// A process does not respond within 20 s, has exited or has failed, or a signal has asked the run to end.
    pub fn carried(&mut self) -> Result<Traffic, CapacityError> {
        self.figures.iter_mut().for_each(|figures| *figures = None);
        for child in &mut self.children {
            child.send_line("figures")?;
        }
        let all = |hollow_processes: &Self| hollow_processes.figures.iter().all(Option::is_some);
        if !self.receive_until(Duration::from_secs(20), all)? {
            return Err(CapacityError::run(
                "hollow balancers",
                "a process did not report its traffic within 20 s",
            ));
        }
        let mut sum = Traffic::default();
        for figures in self.figures.iter().flatten() {
            sum.bytes += figures.read + figures.written;
            sum.opened += figures.opened;
            for (&parent, bytes) in &figures.by_parent {
                *sum.by_parent.entry(parent).or_default() += bytes;
            }
            sum.most_in_window = sum.most_in_window.max(figures.most_in_window);
        }
        Ok(sum)
    }

    /// Returns the sum of the resources that the processes of hollow balancers have used.
    #[must_use]
    pub fn usage(&self) -> Usage {
        let each = self.pids().filter_map(machine::usage);
        each.fold(Usage::default(), |sum, one| Usage {
            cpu_ns: sum.cpu_ns + one.cpu_ns,
            resident_kb: sum.resident_kb + one.resident_kb,
        })
    }
}

/// A histogram of the delays until configuration changes were in force at the balancers.
#[derive(Debug, Clone)]
pub struct DelayHistogram(Histogram<u64>);

impl DelayHistogram {
    /// Creates an empty histogram.
    ///
    /// # Errors
    /// None, because the bounds of the histogram are valid.
    pub fn new() -> Result<Self, CapacityError> {
        let histogram = Histogram::new_with_bounds(1, MAX_TIME_US, 3);
        histogram.map(Self).map_err(|cause| CapacityError::run("histogram", cause))
    }

    /// Records a delay given in nanoseconds.
    pub fn add(&mut self, ns: u64) {
        self.0.saturating_record((ns / 1000).max(1));
    }

    /// Returns the delay at a quantile from 0 to 1, in ms; 1 gives the exact maximum.
    #[must_use]
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        if quantile >= 1.0 {
            self.0.max() as f64 / 1000.0
        } else {
            self.0.value_at_quantile(quantile) as f64 / 1000.0
        }
    }

    /// Returns the number of recorded delays.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.0.len()
    }
}
