//! Service discovery: the list of each service, and its changes on their way to the balancers that watch it, each late
//! by its own time. A region that is cut off misses them and asks for whole lists after.

use std::mem;
use std::time::Duration;

use balancer_policy::Event;
use balancer_policy::interface::{EndpointId, Lifecycle, ListUpdate, Member, ZoneId};

use super::event::Due;
use super::state::Process;
use super::{World, ns};

/// Seconds that a list takes to each balancer at least.
pub(super) const LIST_DELAY_MIN_S: f64 = 0.2;
/// Seconds that it takes longer at most, drawn for each balancer, as watches are not served all at once.
pub(super) const LIST_DELAY_SPREAD_S: f64 = 0.3;

impl World<'_> {
    pub(super) fn member(&self, process: u32) -> Member {
        let Process { slot, lifecycle, started, .. } = self.processes[process as usize];
        Member {
            id: EndpointId(process),
            zone: Some(ZoneId(self.slots[slot].zone)),
            kind: None,
            cell: 0,
            lifecycle,
            weight: 1.0,
            started: started.map(Duration::from_nanos),
        }
    }

    pub(super) fn members(&self, service: usize) -> Vec<Member> {
        self.listed[service].iter().map(|&process| self.member(process)).collect()
    }

    pub(super) fn changed_list_arrives(&mut self, core: u32, change: u32) {
        let members = self.changes[change as usize].clone();
        self.tell(core, ListUpdate::Delta(members));
    }

    pub(super) fn whole_list_arrives(&mut self, core: u32) {
        let members = self.members(self.cores[core as usize].service);
        self.tell(core, ListUpdate::Snapshot(members));
    }

    /// A core takes in a list.
    pub(super) fn tell(&mut self, core: u32, update: ListUpdate) {
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

    /// Sends changed entries to all that watch the list.
    pub(super) fn spread(&mut self, service: usize, members: Vec<Member>) {
        self.changed[service] = Some(self.now);
        let change = self.changes.len() as u32;
        self.changes.push(members);
        let mut watchers = mem::take(&mut self.watchers[service]);
        watchers.retain(|&core| self.cores[core as usize].balancer.is_some());
        for &core in &watchers {
            let region = self.topology.region_of[self.cores[core as usize].zone];
            if self.cut == Some(region) {
                self.cores[core as usize].missed = true;
                continue;
            }
            let at = self.now + ns(LIST_DELAY_MIN_S + LIST_DELAY_SPREAD_S * self.rng.rand_float());
            let at = at.max(self.cores[core as usize].listed_at);
            self.cores[core as usize].listed_at = at;
            self.due.push(at, Due::List { core, change });
        }
        self.watchers[service] = watchers;
    }

    pub(super) fn unlist(&mut self, process: usize) {
        let service = self.slots[self.processes[process].slot].service;
        let listed = &mut self.listed[service];
        let before = listed.len();
        listed.retain(|&other| other as usize != process);
        if listed.len() < before {
            self.processes[process].lifecycle = Lifecycle::Removed;
            self.spread(service, vec![self.member(process as u32)]);
        }
    }
}
