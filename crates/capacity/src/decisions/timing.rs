//! Processor time of the operations of a decision core, measured in tight loops over one core.

use std::time::{Duration, Instant};

use balancer_policy::Event;
use balancer_policy::interface::{Lifecycle, ListUpdate, Member};

use super::Size;
use super::loaded_core::{Played, member};
use crate::CapacityError;
use crate::plan::Plan;

/// Mean time of one of `count` operations that began at `began`, in nanoseconds.
fn per_each(began: Instant, count: u64) -> f64 {
    began.elapsed().as_nanos() as f64 / count as f64
}

/// Measures the time of one request, from its arrival to the end of its attempt, in nanoseconds.
pub(super) fn request_ns(plan: &Plan, size: Size, seed: u64, small: bool) -> Result<f64, CapacityError> {
    let mut played = Played::new(plan, size, seed)?;
    played.settle(small);
    let (rounds, batch) = if small { (20, 100) } else { (400, 500) };
    let mut spent = Duration::ZERO;
    let before = played.number;
    for _ in 0..rounds {
        let began = Instant::now();
        for _ in 0..batch {
            played.step();
        }
        spent += began.elapsed();
        played.wake_when_due();
    }
    let wanted = size.in_flight.max(1);
    if played.out.len() != wanted {
        let cause = format!(
            "only {} of {wanted} requests are in flight: the core did not send some",
            played.out.len()
        );
        return Err(CapacityError::run(format!("decisions, {size:?}"), cause));
    }
    Ok(spent.as_nanos() as f64 / (played.number - before) as f64)
}

/// Measures the time to apply a change of one entry of the endpoint list, in nanoseconds.
pub(super) fn list_change_ns(plan: &Plan, size: Size, seed: u64, small: bool) -> Result<f64, CapacityError> {
    let mut played = Played::new(plan, size, seed)?;
    played.settle(small);
    let count = if small { 50 } else { 500 + 100_000 / size.upstreams as u64 };
    let zones = plan.fleet.zones.value;
    let patches: Vec<Event> = (0..count as usize)
        .map(|change| {
            // The upstreams drain and become ready again, one after the other.
            let lifecycle = if change % 2 == 0 { Lifecycle::Draining } else { Lifecycle::Ready };
            let changed = Member { lifecycle, ..member(change / 2 % size.upstreams, zones) };
            Event::List(ListUpdate::Delta(vec![changed]))
        })
        .collect();
    let now = played.time();
    let began = Instant::now();
    for patch in patches {
        played.balancer.handle(now, patch, &mut played.actions);
    }
    Ok(per_each(began, count))
}

/// Measures the time of one maintenance timer, in nanoseconds.
pub(super) fn timer_ns(plan: &Plan, size: Size, seed: u64, small: bool) -> Result<f64, CapacityError> {
    let mut played = Played::new(plan, size, seed)?;
    played.settle(small);
    let count = if small { 200 } else { 2000 + 200_000 / size.tenants.max(1) as u64 };
    let began = Instant::now();
    for _ in 0..count {
        played.now += 0.2;
        let now = played.time();
        played.balancer.handle(now, Event::MaintenanceDue, &mut played.actions);
        played.actions.clear();
    }
    Ok(per_each(began, count))
}
