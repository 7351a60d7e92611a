//! Service discovery: the list of each service, and the propagation of its changes to the balancers that watch it, with
//! a random delay for each balancer. A region cut off by a network partition misses the changes and asks for full
//! snapshots afterwards.

use std::mem;
use std::time::Duration;

use balancer_policy::Event;
use balancer_policy::interface::{EndpointId, Lifecycle, ListUpdate, Member, ZoneId};

use super::event::ScheduledEvent;
use super::state::Process;
use super::{FleetSimulation, ns};

/// Minimum delay of an endpoint list update on its way to a balancer, in virtual seconds.
pub(super) const LIST_DELAY_MIN_S: f64 = 0.2;
/// Maximum additional delay of an endpoint list update, in virtual seconds. It is drawn for each balancer, because
/// watches are not all served at the same time.
pub(super) const LIST_DELAY_SPREAD_S: f64 = 0.3;

impl FleetSimulation<'_> {
    /// The endpoint list entry of a process, with its current lifecycle state.
    pub(super) fn member(&self, process: u32) -> Member {
        let Process { slot, lifecycle, started, .. } = self.processes[process as usize];
        Member {
            id: EndpointId(process),
            zone: Some(ZoneId(self.slots[slot].zone)),
            machine_kind: None,
            cell: 0,
            lifecycle,
            weight: 1.0,
            started: started.map(Duration::from_nanos),
        }
    }

    /// The current endpoint list of a service.
    pub(super) fn members(&self, service: usize) -> Vec<Member> {
        self.listed[service].iter().map(|&process| self.member(process)).collect()
    }

    /// Delivers an endpoint list change to a core as a delta; `change` is its index in `list_changes`.
    pub(super) fn deliver_list_change(&mut self, core: u32, change: u32) {
        let members = self.list_changes[change as usize].clone();
        self.deliver_list(core, ListUpdate::Delta(members));
    }

    /// Delivers the current endpoint list of the service that a core calls to that core as a snapshot.
    pub(super) fn deliver_full_list(&mut self, core: u32) {
        let members = self.members(self.cores[core as usize].service);
        self.deliver_list(core, ListUpdate::Snapshot(members));
    }

    /// Passes an endpoint list update to a core, and records when the core was notified of draining and removed
    /// members.
    pub(super) fn deliver_list(&mut self, core: u32, update: ListUpdate) {
        let core_state = &mut self.cores[core as usize];
        if core_state.balancer.is_none() {
            return;
        }
        if let ListUpdate::Snapshot(members) | ListUpdate::Delta(members) = &update {
            for member in members.iter().filter(|member| member.lifecycle != Lifecycle::Ready) {
                core_state.notified.entry(member.id.0).or_insert(self.now);
            }
        }
        self.report.lists += 1;
        self.drive(core, Event::List(update));
    }

    /// Sends changed list members to all cores that watch the service, except those in a region that is cut off.
    pub(super) fn publish_list_change(&mut self, service: usize, members: Vec<Member>) {
        self.list_changed_at[service] = Some(self.now);
        let change = self.list_changes.len() as u32;
        self.list_changes.push(members);
        let mut watchers = mem::take(&mut self.watchers[service]);
        watchers.retain(|&core| self.cores[core as usize].balancer.is_some());
        for &core in &watchers {
            let region = self.topology.region_of[self.cores[core as usize].zone];
            if self.partition == Some(region) {
                self.cores[core as usize].missed_updates = true;
                continue;
            }
            let at = self.now + ns(LIST_DELAY_MIN_S + LIST_DELAY_SPREAD_S * self.rng.rand_float());
            let at = at.max(self.cores[core as usize].list_arrives_at);
            self.cores[core as usize].list_arrives_at = at;
            self.scheduled.push(at, ScheduledEvent::List { core, change });
        }
        self.watchers[service] = watchers;
    }

    /// Removes a process from the list of its service and notifies the watchers.
    pub(super) fn unlist(&mut self, process: usize) {
        let service = self.slots[self.processes[process].slot].service;
        let listed = &mut self.listed[service];
        let before = listed.len();
        listed.retain(|&other| other as usize != process);
        if listed.len() < before {
            self.processes[process].lifecycle = Lifecycle::Removed;
            self.publish_list_change(service, vec![self.member(process as u32)]);
        }
    }
}
