//! Measurement of one number of balancers that watch the configuration at one relay below an origin.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use config_distribution::document::{Scope, Update};

use super::Measured;
use crate::CapacityError;
use crate::control::TIMEOUT;
use crate::control::rig::Rig;
use crate::sockets::control_plane::{self, Change, ControlPlane, ControlProcess, Response, Role};
use crate::sockets::hollow_processes::{DelayHistogram, HollowProcesses};
use crate::sockets::machine::Usage;
use crate::sockets::{region_name, service_name};

/// Index of the origin among the control processes.
const ORIGIN: usize = 0;
/// Index of the relay among the control processes.
const RELAY: usize = 1;
/// Number of hollow balancers in one process, in a small run.
const PER_PROCESS_SMALL: usize = 20;
/// Number of services that have a configuration document, in a small run.
const SERVICES_SMALL: usize = 30;
/// Number of configuration changes over which the cost of one change is averaged.
const CHANGES: u64 = 12;
/// Like [`CHANGES`], in a small run.
const CHANGES_SMALL: u64 = 3;
/// Numbers of configuration changes that a relay has missed when it reconnects to the origin, each measured once.
const MISSED_CHANGES: [usize; 6] = [1, 3, 10, 30, 100, 300];

/// A running origin and relay, for the measurement of one number of watching balancers.
pub(super) struct RelayMeasurement<'a> {
    rig: &'a Rig<'a>,
    /// Number of balancers that watch the configuration at the relay.
    watchers: usize,
    control_plane: ControlPlane,
    /// Newest published version of the configuration document of each scope.
    newest: HashMap<Scope, u64>,
}

impl<'a> RelayMeasurement<'a> {
    /// Starts the processes of the origin and the relay.
    pub(super) fn start(rig: &'a Rig<'a>, watchers: usize) -> Result<Self, CapacityError> {
        let machine = |role, parents| ControlProcess { role, region: 0, zone: None, parents };
        let machines = vec![machine(Role::Origin, Vec::new()), machine(Role::Region, vec![ORIGIN])];
        Ok(Self { rig, watchers, control_plane: ControlPlane::start(machines)?, newest: HashMap::new() })
    }

    /// Publishes all configuration documents, then measures the balancers while the configuration does not change and
    /// through changes of it.
    pub(super) fn run(mut self, all: &mut Measured) -> Result<(), CapacityError> {
        self.publish_first()?;
        if self.watchers == self.rig.sizes[self.rig.sizes.len() - 1] {
            self.measure_catch_up(all)?;
        }
        let relay = self.control_plane.address(RELAY);
        let mut hollow_processes = self.rig.hollow_processes(self.watchers, None, &|_, _| vec![relay])?;
        self.wait_for_newest(
            &mut hollow_processes,
            "not all balancers received their configuration in time",
        )?;
        self.wait_for_reports(&mut hollow_processes)?;
        let at_rest = self.measure_rest(&mut hollow_processes, all)?;
        self.measure_changes(&mut hollow_processes, &at_rest, all)
    }

    /// Whether this is a small run of the `control` command.
    fn is_small(&self) -> bool {
        self.rig.per_process <= PER_PROCESS_SMALL
    }

    /// Publishes a configuration document of this size at the origin; `turn` makes its content and request id unique.
    fn publish(&mut self, scope: Scope, bytes: usize, turn: u64) -> Result<Change, CapacityError> {
        let id = format!("{scope}-{turn}");
        let change = control_plane::publish(
            self.control_plane.address(ORIGIN),
            &scope,
            &control_plane::body(bytes, turn),
            &id,
        )?;
        self.newest.insert(scope, change.version);
        Ok(change)
    }

    /// Publishes the first configuration document of each scope.
    fn publish_first(&mut self) -> Result<(), CapacityError> {
        let plan = self.rig.plan;
        let configuration = &plan.configuration;
        self.publish(Scope::Fleet, configuration.fleet_bytes.value, 0)?;
        for region in 0..plan.fleet.regions.value {
            let scope = Scope::Region(region_name(region).into());
            self.publish(scope, configuration.region_bytes.value, 0)?;
        }
        let services = if self.is_small() { SERVICES_SMALL } else { plan.fleet.services.value };
        for service in 0..services {
            let scope = Scope::Service(service_name(service).into());
            self.publish(scope, configuration.service_bytes.value, 0)?;
        }
        Ok(())
    }

    /// Measures the bytes of catch-ups of a relay that has missed configuration changes. Each change so far has
    /// published another document, so that no changes merge.
    fn measure_catch_up(&self, all: &mut Measured) -> Result<(), CapacityError> {
        let index = self.newest.values().copied().max().unwrap_or(0);
        for missed in MISSED_CHANGES.map(|missed| missed.min(self.newest.len())) {
            let bytes = catch_up(self.control_plane.address(ORIGIN), index, index - missed as u64)?;
            all.catch_up.add(missed, bytes as f64);
        }
        Ok(())
    }

    /// Waits until all balancers have the newest configuration version of each scope; `timeout_message` is the error if
    /// they do not within [`TIMEOUT`].
    fn wait_for_newest(
        &self,
        hollow_processes: &mut HollowProcesses,
        timeout_message: &str,
    ) -> Result<(), CapacityError> {
        if hollow_processes
            .receive_until(TIMEOUT, |hollow_processes| hollow_processes.missing(&self.newest) == 0)?
        {
            return Ok(());
        }
        Err(CapacityError::run(format!("configuration to {} balancers", self.watchers), timeout_message))
    }

    /// Waits for the balancers' reports of a configuration change, which follow within half a second. The wait is a
    /// sixth of the measurement window: 1 s in a full run, but only 33 ms in a small one, which may miss some reports.
    fn wait_for_reports(&self, hollow_processes: &mut HollowProcesses) -> Result<(), CapacityError> {
        hollow_processes.receive_for(self.rig.window / 6)
    }

    /// Measures what the relay and the balancers use while the configuration does not change, and returns the rates of
    /// each run.
    fn measure_rest(
        &mut self,
        hollow_processes: &mut HollowProcesses,
        all: &mut Measured,
    ) -> Result<Vec<Rates>, CapacityError> {
        let mut at_rest = Vec::new();
        for _ in 0..self.rig.runs {
            let from = UsageTotals::of(hollow_processes, &mut self.control_plane)?;
            hollow_processes.receive_for(self.rig.window)?;
            let to = UsageTotals::of(hollow_processes, &mut self.control_plane)?;
            let rest = from.until(&to);
            all.rest_bytes.add(self.watchers, rest.bytes);
            all.server_core.add(self.watchers, rest.server / 1e9);
            all.server_kb.add(self.watchers, to.server.resident_kb as f64);
            all.client_core.add(self.watchers, rest.clients / 1e9);
            all.client_kb.add(self.watchers, to.clients.resident_kb as f64);
            at_rest.push(rest);
        }
        Ok(at_rest)
    }

    /// Measures the cost of changes of the fleet's configuration document beyond the cost `at_rest`, which is that
    /// without changes.
    fn measure_changes(
        &mut self,
        hollow_processes: &mut HollowProcesses,
        at_rest: &[Rates],
        all: &mut Measured,
    ) -> Result<(), CapacityError> {
        let changes = if self.is_small() { CHANGES_SMALL } else { CHANGES };
        let from = UsageTotals::of(hollow_processes, &mut self.control_plane)?;
        for turn in 1..=changes {
            self.measure_change(hollow_processes, turn, all)?;
            self.wait_for_reports(hollow_processes)?;
        }
        let to = UsageTotals::of(hollow_processes, &mut self.control_plane)?;
        let rates = from.until(&to);
        let seconds = (to.at - from.at).as_secs_f64() / changes as f64;
        let mean = |cost: fn(&Rates) -> f64| at_rest.iter().map(cost).sum::<f64>() / at_rest.len() as f64;
        let beyond_rest = |cost: fn(&Rates) -> f64| (cost(&rates) - mean(cost)) * seconds;
        all.change_bytes.add(self.watchers, beyond_rest(|rates| rates.bytes));
        all.change_server_us.add(self.watchers, beyond_rest(|rates| rates.server) / 1e3);
        all.change_client_us.add(self.watchers, beyond_rest(|rates| rates.clients) / 1e3);
        Ok(())
    }

    /// Publishes one change of the fleet's configuration document, and measures the times until it is in force at the
    /// balancers.
    fn measure_change(
        &mut self,
        hollow_processes: &mut HollowProcesses,
        turn: u64,
        all: &mut Measured,
    ) -> Result<(), CapacityError> {
        let bytes = self.rig.plan.configuration.fleet_bytes.value;
        let change = self.publish(Scope::Fleet, bytes, turn)?;
        self.wait_for_newest(hollow_processes, "a change did not reach all balancers in time")?;
        let (mut times, mut sent) = (DelayHistogram::new()?, DelayHistogram::new()?);
        for arrival in hollow_processes.times(&change) {
            let Some(at_ns) = arrival.at_ns else { continue };
            times.add(at_ns.saturating_sub(change.acknowledged_ns));
            sent.add(at_ns.saturating_sub(change.sent_ns));
        }
        all.p50.add(self.watchers, times.quantile_ms(0.5));
        all.p99.add(self.watchers, times.quantile_ms(0.99));
        all.last.add(self.watchers, times.quantile_ms(1.0));
        all.sent_last.add(self.watchers, sent.quantile_ms(1.0));
        Ok(())
    }
}

/// Resources that the relay and the balancers have used from their start until one moment.
struct UsageTotals {
    at: Instant,
    /// Bytes that the balancers have sent and received on their configuration connections.
    bytes: u64,
    /// Processor time and memory that the relay, the server of the balancers' watches, has used.
    server: Usage,
    /// Processor time and memory that all processes of hollow balancers have used.
    clients: Usage,
}

/// Resources that the relay and the balancers use per second.
struct Rates {
    /// Bytes per second that all balancers together sent and received on their configuration connections.
    bytes: f64,
    /// CPU time of the relay, the server of the balancers' watches, in nanoseconds per second.
    server: f64,
    /// CPU time of all processes of balancers, in nanoseconds per second.
    clients: f64,
}

impl UsageTotals {
    /// Reads what the relay and the balancers have used until now.
    fn of(
        hollow_processes: &mut HollowProcesses,
        control_plane: &mut ControlPlane,
    ) -> Result<Self, CapacityError> {
        let bytes = hollow_processes.carried()?.bytes;
        Ok(Self {
            at: Instant::now(),
            bytes,
            server: control_plane.usage(RELAY),
            clients: hollow_processes.usage(),
        })
    }

    /// Rates of usage between this time and the later `to`.
    fn until(&self, to: &Self) -> Rates {
        let seconds = (to.at - self.at).as_secs_f64();
        let rate = |from: u64, to: u64| to.saturating_sub(from) as f64 / seconds;
        Rates {
            bytes: rate(self.bytes, to.bytes),
            server: rate(self.server.cpu_ns, to.server.cpu_ns),
            clients: rate(self.clients.cpu_ns, to.clients.cpu_ns),
        }
    }
}

/// Bytes of a relay's request for the configuration changes after the index `since`, and of the response of an origin
/// whose index is `index`. Retries until the origin responds with that index.
fn catch_up(origin: SocketAddr, index: u64, since: u64) -> Result<u64, CapacityError> {
    let place = format!("a catch-up of the configuration from {since}");
    let head = format!("GET /configuration?since={since}&scopes=* HTTP/1.1\r\n");
    let until = Instant::now() + TIMEOUT;
    loop {
        let Response { status, body, bytes } =
            control_plane::request(origin, &head, "").map_err(|cause| CapacityError::run(&place, cause))?;
        match serde_json::from_str::<Update>(body.trim()) {
            Ok(update) if status == 200 && update.index == index => return Ok(bytes as u64),
            _ if Instant::now() < until => thread::sleep(Duration::from_millis(10)),
            _ => return Err(CapacityError::run(&place, format!("responded with {status}"))),
        }
    }
}
