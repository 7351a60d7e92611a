//! Slopes of control: bytes, processor time and memory of watches at both ends.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

use clap::{Args, ValueEnum};
use config_distribution::document::{Scope, Update};

use crate::CapacityError;
use crate::plan::Plan;
use crate::slope::{Fit, Point, Slope, commit};
use crate::sockets::child;
use crate::sockets::hollow::{self, Hollow, Job};
use crate::sockets::list::ListServer;
use crate::sockets::machine::{self, Usage};
use crate::sockets::plane::{self, Answer, Machine, Plane, Role};
use crate::sockets::swarm::{Swarm, Times};
use crate::sockets::{fleet, region_name, service_name, zone_names};

/// How long anything may take that works.
const PATIENCE: Duration = Duration::from_secs(40);
/// Of the plan's upstreams, the sizes that are played.
const PARTS: [f64; 4] = [1.0 / 19.0, 3.0 / 19.0, 10.0 / 19.0, 1.0];

/// What is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Part {
    /// Watches of the list.
    List,
    /// Watches of the configuration.
    Configuration,
}

/// Slopes of control: bytes, processor time and memory of watches at both ends.
#[derive(Debug, Args)]
pub struct Arguments {
    /// What is measured; all, where it is not named.
    #[arg(long, value_enum)]
    part: Option<Part>,
    /// Plays of each size.
    #[arg(long, default_value_t = 3)]
    plays: usize,
    /// Of the draws.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// A quick version for tests: a twentieth of the sizes.
    #[arg(long)]
    small: bool,
    /// Where `slopes` is written.
    #[arg(long, default_value = "crates/capacity")]
    out: PathBuf,
}

/// Does it.
///
/// # Errors
/// With the place where it went wrong.
pub fn run(arguments: &Arguments, plan: &Plan) -> Result<(), CapacityError> {
    if !(1..=100).contains(&arguments.plays) {
        return Err(CapacityError::Argument { name: "plays", expected: "1 to 100".to_owned() });
    }
    child::heed_signals()?;
    let rig = Rig {
        plan,
        folder: plane::folder(&arguments.out, "slopes")?,
        plays: if arguments.small { 1 } else { arguments.plays },
        seed: arguments.seed,
        sizes: PARTS.map(|part| {
            let size = (plan.fleet.upstreams.value as f64 * part).round() as usize;
            if arguments.small { size.div_ceil(20) } else { size.max(1) }
        }),
        window: Duration::from_millis(if arguments.small { 200 } else { 6000 }),
        per_process: if arguments.small { 20 } else { 100 },
    };
    if arguments.part != Some(Part::Configuration) {
        rig.lists()?;
        rig.list_watchers()?;
    }
    if arguments.part != Some(Part::List) {
        rig.configuration()?;
    }
    Ok(())
}

struct Rig<'a> {
    plan: &'a Plan,
    folder: PathBuf,
    plays: usize,
    seed: u64,
    sizes: [usize; 4],
    /// Of one play of what is measured over time.
    window: Duration,
    per_process: usize,
}

/// Plays of one kind of figure, by size.
#[derive(Default)]
struct Plays(Vec<(f64, Vec<f64>)>);

impl Plays {
    fn add(&mut self, x: usize, y: f64) {
        let x = x as f64;
        match self.0.last_mut().filter(|last| last.0 == x) {
            Some((_, plays)) => plays.push(y),
            None => self.0.push((x, vec![y])),
        }
    }
}

/// What a slope tells beside its figures.
struct About {
    name: &'static str,
    what: &'static str,
    x: &'static str,
    y: &'static str,
    note: &'static str,
}

impl Rig<'_> {
    fn write(&self, part: &str, plays: Plays, about: About) -> Result<(), CapacityError> {
        let most = plays.0.iter().map(|(_, plays)| plays.len()).max().unwrap_or(0);
        let points: Vec<Point> = plays.0.into_iter().filter_map(|(x, plays)| Point::of(x, plays)).collect();
        let fit = Fit::through(&points);
        let slope = Slope {
            name: about.name.to_owned(),
            what: about.what.to_owned(),
            x_unit: about.x.to_owned(),
            y_unit: about.y.to_owned(),
            command: format!("target/release/capacity control --part {part}"),
            commit: commit(),
            plays: most,
            points,
            fit,
            note: about.note.to_owned(),
        };
        println!("{}", slope.name);
        for Point { x, y, low, high } in &slope.points {
            println!("  {x}: {y:.3} ({low:.3} to {high:.3}) {}", slope.y_unit);
        }
        if let Some(Fit { base, each, residual }) = slope.fit {
            println!("  {base:.4} + {each:.6} each, off by {:.1}% at most", residual * 100.0);
        }
        slope.write(&self.folder)
    }

    fn server(&self, upstreams: usize) -> Result<ListServer, CapacityError> {
        ListServer::start(
            upstreams,
            self.plan.list.entry_bytes.value,
            self.plan.fleet.zones.value,
            Duration::from_secs_f64(self.plan.list.beat_s.value),
        )
    }

    /// One client of the list at a time: bytes of a whole list and of a catch-up, processor time to take them in.
    fn lists(&self) -> Result<(), CapacityError> {
        let (mut whole_bytes, mut whole_us, mut change_us) =
            (Plays::default(), Plays::default(), Plays::default());
        for &size in &self.sizes {
            let server = self.server(size)?;
            for play in 0..self.plays {
                let seed = self.seed + play as u64;
                let client = Client { plan: self.plan, server: &server, seed };
                let costs = client.play(if self.window < Duration::from_secs(1) { 2 } else { 20 })?;
                whole_bytes.add(size, costs.whole_bytes);
                whole_us.add(size, costs.whole_us);
                change_us.add(size, costs.change_us);
            }
        }
        let mut catch_up = Plays::default();
        let most = self.sizes[self.sizes.len() - 1];
        let server = self.server(most)?;
        server.change(most);
        for changes in [1, 3, 10, 30, 100, 300].map(|changes: usize| changes.min(most)) {
            let since = server.index() - changes as u64;
            catch_up.add(changes, first_line(&server, since)? as f64);
        }
        let note = "Payload of the connection both ways, heads of HTTP included, those of TCP/IP not. The server is a \
                    stand-in in the platform's form: the platform's own may write other heads, chunks and entries.";
        self.write(
            "list",
            whole_bytes,
            About {
                name: "control.list_whole_bytes_by_upstreams",
                what: "bytes of a watch of the list from its asking to the whole list",
                x: "upstreams in the list",
                y: "bytes",
                note,
            },
        )?;
        self.write(
            "list",
            catch_up,
            About {
                name: "control.list_change_bytes_by_changes",
                what: "bytes of a watch of the list that asks from where it stood, to the changes that it missed",
                x: "changes missed, each of another upstream",
                y: "bytes",
                note,
            },
        )?;
        let note = "Processor time of the client's thread with the decisions, from the socket on, less that of the same \
                    time at rest; one list or change every 30 ms.";
        self.write(
            "list",
            whole_us,
            About {
                name: "control.list_client_us_by_upstreams",
                what: "processor time of a balancer to take in a whole list that comes on its watch",
                x: "upstreams in the list",
                y: "us",
                note,
            },
        )?;
        self.write(
            "list",
            change_us,
            About {
                name: "control.list_client_change_us_by_upstreams",
                what: "processor time of a balancer to take in a change of one upstream",
                x: "upstreams in the list",
                y: "us",
                note,
            },
        )
    }

    /// Many clients of the list at rest.
    fn list_watchers(&self) -> Result<(), CapacityError> {
        let (mut bytes, mut server_core, mut server_kb) =
            (Plays::default(), Plays::default(), Plays::default());
        let (mut client_core, mut client_kb) = (Plays::default(), Plays::default());
        let entries = self.sizes[0];
        for &watchers in &self.sizes {
            let own = machine::usage(std::process::id()).unwrap_or_default().resident_kb;
            let server = self.server(entries)?;
            let mut swarm = self.swarm(watchers, Some(server.address), &|_, _| Vec::new())?;
            if !swarm.hear_until(PATIENCE, Swarm::all_listed)? {
                return Err(CapacityError::run("watches of the list", "not all have a list in time"));
            }
            swarm.hear(self.window / 6)?;
            for _ in 0..self.plays {
                let (before, used) = (server.carried(), swarm.usage());
                let start = Instant::now();
                swarm.hear(self.window)?;
                let (after, seconds) = (server.carried(), start.elapsed().as_secs_f64());
                let now = swarm.usage();
                let carried = after.read + after.written - before.read - before.written;
                bytes.add(watchers, carried as f64 / seconds);
                server_core.add(watchers, (after.cpu_ns - before.cpu_ns) as f64 / 1e9 / seconds);
                client_core.add(watchers, (now.cpu_ns - used.cpu_ns) as f64 / 1e9 / seconds);
                client_kb.add(watchers, now.resident_kb as f64);
                let grown = machine::usage(std::process::id()).unwrap_or_default().resident_kb;
                server_kb.add(watchers, grown.saturating_sub(own) as f64);
            }
        }
        let x = "watches of the list";
        let note = "An empty line every 2 s to each watch, 6 bytes as a chunk; heads of TCP/IP (some 100 bytes a beat with the \
                    acknowledgement) are not counted. The server is a stand-in: the platform's own is not told by it.";
        self.write(
            "list",
            bytes,
            About {
                name: "control.list_rest_bytes_per_s_by_watchers",
                what: "bytes a second of all watches of the list together while nothing changes",
                x,
                y: "bytes/s",
                note,
            },
        )?;
        self.write(
            "list",
            server_core,
            About {
                name: "control.list_server_core_by_watchers",
                what: "share of a core of the stand-in list server while nothing changes",
                x,
                y: "core",
                note,
            },
        )?;
        self.write(
            "list",
            server_kb,
            About {
                name: "control.list_server_kb_by_watchers",
                what: "memory that the stand-in list server grows by",
                x,
                y: "KiB",
                note,
            },
        )?;
        let note = "Each client is the balancer's own with its decisions, a hundred to a process, and a list of a \
                    nineteenth of the fleet; with the sweeps of the decisions, the line of the log, and the part of the process.";
        self.write(
            "list",
            client_core,
            About {
                name: "control.list_client_core_by_watchers",
                what: "share of a core of all clients of the list together while nothing changes",
                x,
                y: "core",
                note,
            },
        )?;
        self.write(
            "list",
            client_kb,
            About {
                name: "control.list_client_kb_by_watchers",
                what: "memory of all clients of the list together",
                x,
                y: "KiB",
                note,
            },
        )
    }

    /// So many of the fleet's balancers, in processes.
    fn swarm(
        &self,
        watchers: usize,
        list: Option<SocketAddr>,
        parents: &dyn Fn(usize, usize) -> Vec<SocketAddr>,
    ) -> Result<Swarm, CapacityError> {
        let balancers: Vec<Hollow> = fleet(self.plan, watchers)
            .into_iter()
            .enumerate()
            .map(|(number, (service, zone))| {
                let region = plane::region_of(self.plan, zone);
                Hollow {
                    number,
                    service: service_name(service),
                    region: region_name(region),
                    zone,
                    parents: parents(region, zone),
                    seed: self.seed << 16 | number as u64,
                }
            })
            .collect();
        // Reports come every 5 s from each balancer's start: spread over that, as a fleet's are.
        let apart_ms = if self.per_process > 20 { 48 } else { 0 };
        let job = Job { list, zones: zone_names(self.plan), apart_ms, balancers: Vec::new() };
        Swarm::start(&balancers, self.per_process, &job)
    }

    /// Watches of the configuration at one relay below an origin.
    fn configuration(&self) -> Result<(), CapacityError> {
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

/// One balancer's client of the list.
struct Client<'a> {
    plan: &'a Plan,
    server: &'a ListServer,
    seed: u64,
}

struct Costs {
    whole_bytes: f64,
    whole_us: f64,
    change_us: f64,
}

impl Client<'_> {
    /// Takes in its first list, then so many whole ones and changes.
    fn play(&self, count: u32) -> Result<Costs, CapacityError> {
        let place = "a client of the list";
        let zones = zone_names(self.plan);
        let hollow = Hollow {
            number: 0,
            service: service_name(0),
            region: region_name(0),
            zone: 0,
            parents: Vec::new(),
            seed: self.seed,
        };
        let before = self.server.carried();
        let (server, (said, costs)) = (self.server, channel());
        // A thread of its own, so that its processor time is the client's alone.
        thread::scope(|scope| {
            scope.spawn(move || {
                let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
                let runtime = match runtime {
                    Ok(runtime) => runtime,
                    Err(cause) => return said.send(Err(cause.to_string())),
                };
                let costs = tokio::task::LocalSet::new().block_on(&runtime, async {
                    let driver = hollow::driver(server.address, &hollow, &zones)?;
                    hollow::wait_until("its first list", || driver.can_serve())
                        .await
                        .map_err(|error| error.to_string())?;
                    let after = server.carried();
                    let whole_bytes = (after.read + after.written - before.read - before.written) as f64;
                    let rest = spent(count, || ()).await;
                    let whole_us = spent(count, || server.tell_whole()).await - rest;
                    let change_us = spent(count, || server.change(1)).await - rest;
                    Ok(Costs { whole_bytes, whole_us, change_us })
                });
                said.send(costs)
            });
        });
        match costs.recv() {
            Ok(costs) => costs.map_err(|cause| CapacityError::run(place, cause)),
            Err(cause) => Err(CapacityError::run(place, cause)),
        }
    }
}

/// Processor time of this thread for each of so many turns, in microseconds.
async fn spent(count: u32, mut turn: impl FnMut()) -> f64 {
    let before = machine::thread_ns();
    for _ in 0..count {
        turn();
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    (machine::thread_ns() - before) as f64 / 1e3 / f64::from(count)
}

/// Bytes of a watch of the list that asks from `since`, to the end of its first line, as both ends count them.
fn first_line(server: &ListServer, since: u64) -> Result<u64, CapacityError> {
    let place = format!("a catch-up of the list from {since}");
    let wrong = |cause| CapacityError::run(&place, cause);
    let before = server.carried();
    let mut stream = TcpStream::connect(server.address).map_err(wrong)?;
    stream.set_read_timeout(Some(PATIENCE)).map_err(wrong)?;
    let ask =
        format!("GET /catalog/members?follow=1&since={since} HTTP/1.1\r\nhost: {}\r\n\r\n", server.address);
    stream.write_all(ask.as_bytes()).map_err(wrong)?;
    let mut answer = Vec::new();
    let mut part = [0; 64 << 10];
    // A chunk ends with an empty line; so does the head.
    while !answer.ends_with(b"}\n\r\n") {
        match stream.read(&mut part).map_err(wrong)? {
            0 => return Err(CapacityError::run(&place, "the watch has ended")),
            read => answer.extend_from_slice(&part[..read]),
        }
    }
    let here = (ask.len() + answer.len()) as u64;
    let until = Instant::now() + PATIENCE;
    loop {
        let after = server.carried();
        let there = after.read + after.written - before.read - before.written;
        if there == here {
            return Ok(here);
        }
        // The server counts once it has written.
        if Instant::now() > until {
            return Err(CapacityError::run(&place, format!("{here} bytes here, {there} at the server")));
        }
        thread::sleep(Duration::from_millis(1));
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
