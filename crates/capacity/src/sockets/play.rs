//! One play, from the start of its processes to its outcome.

use std::collections::HashMap;
use std::sync::mpsc::TryRecvError;
use std::time::{Duration, Instant};

use config_distribution::document::Scope;
use oorandom::Rand64;

use super::cost::{Cost, Mark};
use super::hollow::{Hollow, Job, WINDOW_S};
use super::list::ListServer;
use super::outcome::Outcome;
use super::plane::{self, Change, Machine, Plane, Role};
use super::schedule::{Planned, publish_all, schedule};
use super::size::Size;
use super::swarm::{Swarm, Times};
use super::{Scenario, fleet, machine, region_name, service_name, zone_names};
use crate::CapacityError;
use crate::plan::Plan;

/// Part of the machine's memory at most.
const MEMORY_PART: f64 = 0.5;
/// How long the last change may take before the play is given up.
const PATIENCE: Duration = Duration::from_secs(40);

struct Play<'a> {
    size: &'a Size,
    plane: Plane,
    swarm: Swarm,
    list: ListServer,
    memory_most_kb: u64,
    place: String,
}

impl Play<'_> {
    fn mark(&mut self) -> Result<Mark, CapacityError> {
        let carried = self.swarm.carried()?;
        let places = self.plane.machines().count();
        let control = (0..places)
            .map(|place| {
                let used = self.plane.usage(place);
                let below = carried.by_parent.get(&self.plane.address(place)).copied().unwrap_or(0);
                (used.cpu_ns, used.resident_kb, self.plane.bytes(place) + below)
            })
            .collect();
        let list = self.list.carried();
        let mark = Mark {
            at: Instant::now(),
            balancers: self.swarm.usage(),
            configuration_bytes: carried.bytes,
            list_bytes: list.read + list.written,
            most_in_window: carried.most_in_window,
            control,
        };
        let own = machine::usage(std::process::id()).unwrap_or_default().resident_kb;
        let used: u64 = own + mark.balancers.resident_kb + mark.control.iter().map(|one| one.1).sum::<u64>();
        if used > self.memory_most_kb {
            return Err(CapacityError::Memory {
                place: self.place.clone(),
                used_mb: used / 1024,
                bound_mb: self.memory_most_kb / 1024,
            });
        }
        Ok(mark)
    }

    /// Kills the control processes of these places.
    fn kill(&mut self, which: impl Fn(&Machine) -> bool) {
        let places: Vec<usize> = self
            .plane
            .machines()
            .enumerate()
            .filter_map(|(place, machine)| which(machine).then_some(place))
            .collect();
        for place in places {
            self.plane.kill(place);
        }
    }
}

/// What is drawn for a play's fault.
struct Target {
    zone: usize,
    region: usize,
    /// Not the origin's.
    far_region: usize,
}

pub(super) fn play(
    scenario: Scenario,
    seed: u64,
    size: &Size,
    plan: &Plan,
) -> Result<Outcome, CapacityError> {
    let place = format!("sockets {} {seed}", scenario.name());
    let machines = plane::deal(plan);
    let regions = plan.fleet.regions.value;
    let mut draws = Rand64::new(u128::from(seed) << 8 | 1);
    let target = Target {
        zone: draws.rand_range(0..plan.fleet.zones.value as u64) as usize,
        region: draws.rand_range(0..regions as u64) as usize,
        far_region: (1 + draws.rand_range(0..regions.max(2) as u64 - 1) as usize) % regions,
    };
    let dealt = fleet(plan, size.balancers);
    let mut services: Vec<usize> = dealt.iter().map(|&(service, _)| service).collect();
    services.dedup();
    let plane = Plane::start(machines.clone())?;
    let origin = plane.address(0);

    // All documents stand before the balancers come.
    let mut newest = HashMap::new();
    let configuration = &plan.configuration;
    let mut first = vec![(Scope::Fleet, configuration.fleet_bytes.value)];
    first.extend(
        (0..regions)
            .map(|region| (Scope::Region(region_name(region).into()), configuration.region_bytes.value)),
    );
    first.extend(
        services.iter().map(|&service| {
            (Scope::Service(service_name(service).into()), configuration.service_bytes.value)
        }),
    );
    for (number, (scope, bytes)) in first.into_iter().enumerate() {
        let change = plane::publish(origin, &scope, &plane::body(bytes, 0), &format!("first-{number}"))?;
        newest.insert(scope, change.version);
    }

    let list = ListServer::start(
        size.list,
        plan.list.entry_bytes.value,
        plan.fleet.zones.value,
        Duration::from_secs_f64(plan.list.beat_s.value),
    )?;
    let balancers: Vec<Hollow> = dealt
        .iter()
        .enumerate()
        .map(|(number, &(service, zone))| {
            let region = plane::region_of(plan, zone);
            Hollow {
                number,
                service: service_name(service),
                region: region_name(region),
                zone,
                parents: plane.parents_of(region, zone),
                seed: seed << 16 | number as u64,
            }
        })
        .collect();
    let job = Job {
        list: Some(list.address),
        zones: zone_names(plan),
        apart_ms: if size.per_process > 20 { 20 } else { 0 },
        balancers: Vec::new(),
    };
    let swarm = Swarm::start(&balancers, size.per_process, &job)?;
    let memory_most_kb = (machine::memory_kb().unwrap_or(u64::MAX) as f64 * MEMORY_PART) as u64;
    let mut play = Play { size, plane, swarm, list, memory_most_kb, place: place.clone() };
    let up = play.swarm.hear_until(PATIENCE, |swarm| swarm.all_listed() && swarm.missing(&newest) == 0)?;
    if !up {
        let missing = play.swarm.missing(&newest);
        return Err(CapacityError::run(
            place,
            format!("{missing} balancers have no configuration at the start"),
        ));
    }

    // Lists and documents of the start are behind them.
    play.swarm.hear(play.size.rest / 2)?;
    let rest_from = play.mark()?;
    play.swarm.hear(play.size.rest)?;
    let rest_to = play.mark()?;
    let Played { changes, cut_ns, return_from, return_to } =
        play_changes(&mut play, scenario, &target, schedule(plan, seed, size, &services))?;
    for change in &changes {
        newest.insert(change.scope.clone(), change.version);
    }
    play.swarm.hear_until(PATIENCE, |swarm| swarm.missing(&newest) == 0)?;
    let missing = play.swarm.missing(&newest);
    let end = play.mark()?;

    // Each watch of the list asks anew from where it stands.
    let (asked, index) = (play.list.asked().len(), play.list.index());
    play.list.close_all();
    let again = |list: &ListServer| list.asked().len().saturating_sub(asked);
    let list = &play.list;
    play.swarm.hear_until(PATIENCE, |_| again(list) >= size.balancers)?;
    let stood = play.list.asked();
    let elsewhere = size.balancers.abs_diff(stood[asked..].iter().filter(|&&since| since == index).count());

    let (mut times, mut from_sending) = (Times::new()?, Times::new()?);
    for change in &changes {
        for (balancer, at_ns) in play.swarm.times(change) {
            let Some(at_ns) = at_ns else { continue };
            let zone = dealt[balancer].1;
            let behind = plane::region_of(plan, zone) == target.far_region;
            // What was published within the cut could be told from its end on.
            let held = cut_ns.filter(|cut| behind && cut.contains(&change.acknowledged_ns));
            let floor = held.map_or(0, |cut| cut.end);
            times.add(at_ns.saturating_sub(change.acknowledged_ns.max(floor)));
            from_sending.add(at_ns.saturating_sub(change.sent_ns.max(floor)));
        }
    }
    let largest = end.control.iter().zip(&machines).map(|(one, machine)| (one.1, machine.role)).max();
    let (largest_kb, role) = largest.unwrap_or((0, Role::Origin));
    let cost = |from, to| Cost::between(from, to, size.balancers, &machines);
    Ok(Outcome {
        scenario,
        seed,
        balancers: size.balancers,
        changes: changes.len(),
        times,
        from_sending,
        back: play.swarm.back,
        missing,
        elsewhere,
        rest: cost(&rest_from, &rest_to),
        play: cost(&rest_to, &end),
        back_again: cost(&return_from, &return_to),
        most_in_window: return_to.most_in_window,
        balancer_mb: end.balancers.resident_kb as f64 / 1024.0 / size.balancers as f64,
        control_mb: (largest_kb as f64 / 1024.0, role),
    })
}

/// From its begin to its end, on [`machine::now_ns`]'s clock.
#[derive(Clone, Copy)]
struct Cut {
    begin: u64,
    end: u64,
}

impl Cut {
    fn contains(&self, at_ns: &u64) -> bool {
        (self.begin..self.end).contains(at_ns)
    }
}

struct Played {
    changes: Vec<Change>,
    cut_ns: Option<Cut>,
    return_from: Mark,
    return_to: Mark,
}

/// For how long the return is looked at.
pub(super) fn return_window(seconds: f64) -> Duration {
    Duration::from_secs_f64((seconds * 0.35).min(WINDOW_S as f64))
}

fn play_changes(
    play: &mut Play,
    scenario: Scenario,
    target: &Target,
    planned: Vec<Planned>,
) -> Result<Played, CapacityError> {
    let count = planned.len();
    let published = publish_all(play.plane.address(0), planned);
    let start = Instant::now();
    let after = |part: f64| Duration::from_secs_f64(play.size.seconds * part);
    // The fault comes after a quarter; a cut holds from there for two fifths.
    let (fault, return_at) = (after(0.25), if scenario == Scenario::Cut { after(0.65) } else { after(0.25) });
    let window = return_window(play.size.seconds);
    let list_every = Duration::from_secs(2);
    let (mut list_at, mut done) = (Duration::ZERO, false);
    let (mut begin, mut cut_ns) = (0, None);
    let (mut return_from, mut return_to) = (None, None);
    let mut changes = Vec::new();
    while changes.len() < count || return_to.is_none() {
        loop {
            match published.try_recv() {
                Ok(change) => changes.push(change?),
                Err(TryRecvError::Empty) => break,
                Err(TryRecvError::Disconnected) if changes.len() < count => {
                    return Err(CapacityError::run(&play.place, "the publisher has ended early"));
                }
                Err(TryRecvError::Disconnected) => break,
            }
        }
        let now = start.elapsed();
        if now >= list_at {
            play.list.change(1);
            list_at += list_every;
        }
        if now >= fault && !done {
            done = true;
            begin = machine::now_ns();
            if scenario != Scenario::Cut {
                return_from = Some(play.mark()?);
            }
            match scenario {
                Scenario::None => {}
                Scenario::Relay => {
                    let first = play.plane.machines().position(|machine| machine.zone == Some(target.zone));
                    if let Some(place) = first {
                        play.plane.kill(place);
                    }
                }
                Scenario::RegionRelay => {
                    play.kill(|machine| machine.role == Role::Region && machine.region == target.region)
                }
                Scenario::Zone => play.kill(|machine| machine.zone == Some(target.zone)),
                Scenario::Cut => play.plane.cut(Some(target.far_region)),
                Scenario::Reconnect => {
                    play.kill(|_| true);
                    play.list.close_all();
                    for place in 0..play.plane.machines().count() {
                        play.plane.launch(place)?;
                    }
                }
            }
        }
        if scenario == Scenario::Cut && now >= return_at && cut_ns.is_none() {
            return_from = Some(play.mark()?);
            cut_ns = Some(Cut { begin, end: machine::now_ns() });
            play.plane.cut(None);
        }
        if return_to.is_none() && now >= return_at + window {
            return_to = Some(play.mark()?);
        }
        play.swarm.hear(Duration::from_millis(10))?;
    }
    let missing = || CapacityError::run(&play.place, "the play ended before its fault");
    Ok(Played {
        changes,
        cut_ns,
        return_from: return_from.ok_or_else(missing)?,
        return_to: return_to.ok_or_else(missing)?,
    })
}
