//! Processor time of the operations of a decision core, measured in tight loops over one core.

use std::time::{Duration, Instant};

use balancer_policy::Event;
use balancer_policy::interface::{Lifecycle, ListUpdate, Member};

use super::Size;
use super::loaded_core::{LoadedCore, member};
use crate::CapacityError;
use crate::plan::Plan;

/// Mean time of one of `count` operations that began at `began`, in nanoseconds.
fn mean_ns(began: Instant, count: u64) -> f64 {
    began.elapsed().as_nanos() as f64 / count as f64
}

/// Measures the time of one request, from its arrival to the end of its attempt, in nanoseconds.
pub(super) fn request_ns(plan: &Plan, size: Size, seed: u64, small: bool) -> Result<f64, CapacityError> {
    let mut core = LoadedCore::new(plan, size, seed)?;
    core.warm_up(small);
    let (rounds, batch) = if small { (20, 100) } else { (400, 500) };
    let mut total = Duration::ZERO;
    let before = core.number;
    for _ in 0..rounds {
        let began = Instant::now();
        for _ in 0..batch {
            core.step();
        }
        total += began.elapsed();
        core.run_maintenance_when_due();
    }
    let expected = size.in_flight.max(1);
    if core.outstanding.len() != expected {
        let cause = format!(
            "only {} of {expected} requests are in flight: the core did not send some",
            core.outstanding.len()
        );
        return Err(CapacityError::run(format!("decisions, {size:?}"), cause));
    }
    Ok(total.as_nanos() as f64 / (core.number - before) as f64)
}

/// Measures the time to apply a change of one entry of the endpoint list, in nanoseconds.
pub(super) fn list_change_ns(plan: &Plan, size: Size, seed: u64, small: bool) -> Result<f64, CapacityError> {
    let mut core = LoadedCore::new(plan, size, seed)?;
    core.warm_up(small);
    let count = if small { 50 } else { 500 + 100_000 / size.upstreams as u64 };
    let zones = plan.fleet.zones.value;
    let deltas: Vec<Event> = (0..count as usize)
        .map(|change| {
            // Each pair of changes drains one upstream and then makes it ready again.
            let lifecycle = if change % 2 == 0 { Lifecycle::Draining } else { Lifecycle::Ready };
            let changed = Member { lifecycle, ..member(change / 2 % size.upstreams, zones) };
            Event::List(ListUpdate::Delta(vec![changed]))
        })
        .collect();
    let now = core.time();
    let began = Instant::now();
    for delta in deltas {
        core.balancer.handle(now, delta, &mut core.actions);
    }
    Ok(mean_ns(began, count))
}

/// Measures the time of one maintenance timer, in nanoseconds.
pub(super) fn timer_ns(plan: &Plan, size: Size, seed: u64, small: bool) -> Result<f64, CapacityError> {
    let mut core = LoadedCore::new(plan, size, seed)?;
    core.warm_up(small);
    let count = if small { 200 } else { 2000 + 200_000 / size.tenants.max(1) as u64 };
    let began = Instant::now();
    for _ in 0..count {
        core.now += 0.2;
        let now = core.time();
        core.balancer.handle(now, Event::MaintenanceDue, &mut core.actions);
        core.actions.clear();
    }
    Ok(mean_ns(began, count))
}
