//! The configuration changes of a run: when each is due, and their publication.

use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

use config_distribution::document::Scope;
use oorandom::Rand64;

use super::control_plane::{self, Change};
use super::size::Size;
use super::{region_name, service_name};
use crate::CapacityError;
use crate::plan::Plan;

/// A configuration change that is to be published, with its time since the start of the publications.
pub(super) struct PlannedChange {
    at: Duration,
    scope: Scope,
    bytes: usize,
}

/// Draws the configuration changes of a run, sorted by time: bursts at random moments, with scopes by the plan's
/// shares. Services are drawn from those that have balancers in the run.
pub(super) fn schedule(plan: &Plan, seed: u64, size: &Size, services: &[usize]) -> Vec<PlannedChange> {
    let mut rng = Rand64::new(u128::from(seed) << 8);
    let configuration = &plan.configuration;
    let [fleet, region, _] = configuration.scope_shares.value[..] else { return Vec::new() };
    let mut planned = Vec::new();
    while planned.len() < size.changes {
        let at = Duration::from_secs_f64(rng.rand_float() * size.seconds);
        loop {
            let draw = rng.rand_float();
            let (scope, bytes) = if draw < fleet {
                (Scope::Fleet, configuration.fleet_bytes.value)
            } else if draw < fleet + region {
                let region = rng.rand_range(0..plan.fleet.regions.value as u64) as usize;
                (Scope::Region(region_name(region).into()), configuration.region_bytes.value)
            } else {
                let service = services[rng.rand_range(0..services.len() as u64) as usize];
                (Scope::Service(service_name(service).into()), configuration.service_bytes.value)
            };
            planned.push(PlannedChange { at, scope, bytes });
            if planned.len() == size.changes || rng.rand_float() < 1.0 / configuration.bunch.value {
                break;
            }
        }
    }
    planned.sort_by_key(|planned| planned.at);
    planned
}

/// Publishes each configuration change when it is due, on a thread of its own. Stops at the first error, which is sent
/// as the last item.
pub(super) fn publish_all(
    origin: SocketAddr,
    planned: Vec<PlannedChange>,
) -> Receiver<Result<Change, CapacityError>> {
    let (sender, changes) = channel();
    thread::spawn(move || {
        let start = Instant::now();
        for (number, PlannedChange { at, scope, bytes }) in planned.into_iter().enumerate() {
            thread::sleep(at.saturating_sub(start.elapsed()));
            let body = control_plane::body(bytes, 1 + number as u64);
            let change = control_plane::publish(origin, &scope, &body, &format!("change-{number}"));
            let failed = change.is_err();
            if sender.send(change).is_err() || failed {
                return;
            }
        }
    });
    changes
}
