//! Slopes of watches of the configuration.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use config_distribution::document::{Scope, Update};

use super::PATIENCE;
use super::rig::{About, Plays, Rig};
use crate::CapacityError;
use crate::sockets::machine::Usage;
use crate::sockets::plane::{self, Answer, Machine, Plane, Role};
use crate::sockets::swarm::{Swarm, Times};
use crate::sockets::{region_name, service_name};

impl Rig<'_> {
    pub(super) fn configuration(&self) -> Result<(), CapacityError> {
        let mut all = Measured::default();
        for &watchers in &self.sizes {
            self.relay(watchers, &mut all)?;
        }
        let x = "balancers at the relay";
        let note = "One relay below an origin, balancers a hundred to a process, all on one machine. At rest: a sign of life every 2 s \
                    and a report of what is in force every 5 s, on a connection of its own; payload both ways with the heads \
                    of HTTP, without those of TCP/IP.";
        let abouts = [
            (
                "control.configuration_rest_bytes_per_s_by_watchers",
                "bytes a second of all watches of the configuration together, with their reports, while nothing changes",
                "bytes/s",
            ),
            (
                "control.configuration_server_core_by_watchers",
                "share of a core of a relay while nothing changes",
                "core",
            ),
            ("control.configuration_server_kb_by_watchers", "memory of a relay", "KiB"),
            (
                "control.configuration_client_core_by_watchers",
                "share of a core of all clients of the configuration together while nothing changes",
                "core",
            ),
            (
                "control.configuration_client_kb_by_watchers",
                "memory of all clients of the configuration together, with their processes",
                "KiB",
            ),
        ];
        let rests = [all.rest_bytes, all.server_core, all.server_kb, all.client_core, all.client_kb];
        for ((name, what, y), plays) in abouts.into_iter().zip(rests) {
            self.write("configuration", plays, About { name, what, x, y, note })?;
        }
        let note = "Changes of the fleet's document, told to every balancer, one after another; a play is a change. From the \
                    acknowledgement where nothing else is said. One relay below an origin, all on one machine: a fleet's \
                    zone relays share this work.";
        let abouts = [
            (
                "control.change_p50_ms_by_watchers",
                "time from a change's acknowledgement until it is in force at half of the balancers",
                "ms",
            ),
            (
                "control.change_p99_ms_by_watchers",
                "time from a change's acknowledgement until it is in force at 99 in 100 balancers",
                "ms",
            ),
            (
                "control.change_last_ms_by_watchers",
                "time from a change's acknowledgement until it is in force at the last balancer",
                "ms",
            ),
            (
                "control.change_sent_last_ms_by_watchers",
                "time from a change's sending until it is in force at the last balancer",
                "ms",
            ),
            (
                "control.configuration_change_bytes_by_watchers",
                "bytes of one change to all balancers, with their reports, less those at rest",
                "bytes",
            ),
            (
                "control.configuration_change_server_us_by_watchers",
                "processor time of a relay for one change to all balancers, with their reports, less that at rest",
                "us",
            ),
            (
                "control.configuration_change_client_us_by_watchers",
                "processor time of all clients for one change, with their reports, less that at rest",
                "us",
            ),
        ];
        let changes = [
            all.p50,
            all.p99,
            all.last,
            all.sent_last,
            all.change_bytes,
            all.change_server_us,
            all.change_client_us,
        ];
        for ((name, what, y), plays) in abouts.into_iter().zip(changes) {
            self.write("configuration", plays, About { name, what, x, y, note })?;
        }
        self.write(
            "configuration",
            all.catch_up,
            About {
                name: "control.configuration_catch_up_bytes_by_changes",
                what: "bytes of a relay that asks the origin from where it stood, to the changes that it missed",
                x: "changes missed, each of another document",
                y: "bytes",
                note: "Merged to the newest. A parent that came up after the index asked from tells the whole instead. A balancer has three \
                       documents at most, however many changes it missed.",
            },
        )
    }

    fn relay(&self, watchers: usize, all: &mut Measured) -> Result<(), CapacityError> {
        let place = format!("configuration to {watchers} balancers");
        let machine = |role, parents| Machine { role, region: 0, zone: None, parents };
        let mut plane =
            Plane::start(vec![machine(Role::Origin, Vec::new()), machine(Role::Region, vec![0])])?;
        let (origin, relay) = (plane.address(0), plane.address(1));
        let configuration = &self.plan.configuration;
        let mut newest = HashMap::new();
        let mut publish = |scope: Scope, bytes, turn: u64| {
            let id = format!("{scope}-{turn}");
            let change = plane::publish(origin, &scope, &plane::body(bytes, turn), &id)?;
            newest.insert(scope, change.version);
            Ok::<_, CapacityError>((change, newest.clone()))
        };
        publish(Scope::Fleet, configuration.fleet_bytes.value, 0)?;
        for region in 0..self.plan.fleet.regions.value {
            publish(Scope::Region(region_name(region).into()), configuration.region_bytes.value, 0)?;
        }
        let services = if self.per_process > 20 { self.plan.fleet.services.value } else { 30 };
        let mut last = HashMap::new();
        for service in 0..services {
            let scope = Scope::Service(service_name(service).into());
            (_, last) = publish(scope, configuration.service_bytes.value, 0)?;
        }
        if watchers == self.sizes[self.sizes.len() - 1] {
            // Each change up to now made another document.
            let index = last.values().copied().max().unwrap_or(0);
            for missed in [1, 3, 10, 30, 100, 300].map(|missed: usize| missed.min(last.len())) {
                all.catch_up.add(missed, catch_up(origin, index, index - missed as u64)? as f64);
            }
        }
        let mut swarm = self.swarm(watchers, None, &|_, _| vec![relay])?;
        if !swarm.hear_until(PATIENCE, |swarm| swarm.missing(&last) == 0)? {
            return Err(CapacityError::run(place, "not all have a configuration in time"));
        }
        swarm.hear(self.window / 6)?;
        let mut at_rest = Vec::new();
        for _ in 0..self.plays {
            let from = Moment::of(&mut swarm, &mut plane)?;
            swarm.hear(self.window)?;
            let to = Moment::of(&mut swarm, &mut plane)?;
            let rest = from.until(&to);
            all.rest_bytes.add(watchers, rest.bytes);
            all.server_core.add(watchers, rest.server / 1e9);
            all.server_kb.add(watchers, to.server.resident_kb as f64);
            all.client_core.add(watchers, rest.clients / 1e9);
            all.client_kb.add(watchers, to.clients.resident_kb as f64);
            at_rest.push(rest);
        }
        let mean = |cost: fn(&Rates) -> f64| at_rest.iter().map(cost).sum::<f64>() / at_rest.len() as f64;
        let changes = if self.per_process > 20 { 12 } else { 3 };
        let from = Moment::of(&mut swarm, &mut plane)?;
        for turn in 1..=changes {
            let (change, last) = publish(Scope::Fleet, configuration.fleet_bytes.value, turn)?;
            if !swarm.hear_until(PATIENCE, |swarm| swarm.missing(&last) == 0)? {
                return Err(CapacityError::run(place, "a change has not come to all in time"));
            }
            let (mut times, mut sent) = (Times::new()?, Times::new()?);
            for (_, at_ns) in swarm.times(&change) {
                let Some(at_ns) = at_ns else { continue };
                times.add(at_ns.saturating_sub(change.acknowledged_ns));
                sent.add(at_ns.saturating_sub(change.sent_ns));
            }
            all.p50.add(watchers, times.at(0.5));
            all.p99.add(watchers, times.at(0.99));
            all.last.add(watchers, times.at(1.0));
            all.sent_last.add(watchers, sent.at(1.0));
            // The reports of a change follow within half a second.
            swarm.hear(self.window / 6)?;
        }
        let to = Moment::of(&mut swarm, &mut plane)?;
        let rates = from.until(&to);
        let seconds = (to.at - from.at).as_secs_f64() / changes as f64;
        all.change_bytes.add(watchers, (rates.bytes - mean(|rest| rest.bytes)) * seconds);
        all.change_server_us.add(watchers, (rates.server - mean(|rest| rest.server)) * seconds / 1e3);
        all.change_client_us.add(watchers, (rates.clients - mean(|rest| rest.clients)) * seconds / 1e3);
        Ok(())
    }
}

#[derive(Default)]
struct Measured {
    rest_bytes: Plays,
    server_core: Plays,
    server_kb: Plays,
    client_core: Plays,
    client_kb: Plays,
    p50: Plays,
    p99: Plays,
    last: Plays,
    sent_last: Plays,
    change_bytes: Plays,
    change_server_us: Plays,
    change_client_us: Plays,
    catch_up: Plays,
}

/// Sums at one moment.
struct Moment {
    at: Instant,
    bytes: u64,
    server: Usage,
    clients: Usage,
}

/// Each a second: bytes, nanoseconds of processor time.
struct Rates {
    bytes: f64,
    server: f64,
    clients: f64,
}

impl Moment {
    fn of(swarm: &mut Swarm, plane: &mut Plane) -> Result<Self, CapacityError> {
        let bytes = swarm.carried()?.bytes;
        Ok(Self { at: Instant::now(), bytes, server: plane.usage(1), clients: swarm.usage() })
    }

    fn until(&self, to: &Self) -> Rates {
        let seconds = (to.at - self.at).as_secs_f64();
        let each = |from: u64, to: u64| to.saturating_sub(from) as f64 / seconds;
        Rates {
            bytes: each(self.bytes, to.bytes),
            server: each(self.server.cpu_ns, to.server.cpu_ns),
            clients: each(self.clients.cpu_ns, to.clients.cpu_ns),
        }
    }
}

/// Bytes of a relay's question to the origin from `since`, which stands at `index`.
fn catch_up(origin: SocketAddr, index: u64, since: u64) -> Result<u64, CapacityError> {
    let place = format!("a catch-up of the configuration from {since}");
    let head = format!("GET /configuration?since={since}&scopes=* HTTP/1.1\r\n");
    let until = Instant::now() + PATIENCE;
    loop {
        let Answer { status, body, bytes } =
            plane::ask(origin, &head, "").map_err(|cause| CapacityError::run(&place, cause))?;
        match serde_json::from_str::<Update>(body.trim()) {
            Ok(update) if status == 200 && update.index == index => return Ok(bytes as u64),
            _ if Instant::now() < until => thread::sleep(Duration::from_millis(10)),
            _ => return Err(CapacityError::run(&place, format!("answered {status}"))),
        }
    }
}
