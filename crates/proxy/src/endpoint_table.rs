//! The endpoints that discovery lists: the id by which the policy knows each of them, its address, and whether new work
//! may be sent to it. The table applies the updates of discovery, including updates older than the current list. It
//! makes no decisions: the resulting list goes to the policy, and the event loop closes connections.

use std::net::SocketAddr;

use balancer_policy::interface::{EndpointId, Lifecycle, ListUpdate, MachineKindId, Member, Time, ZoneId};
use balancer_settings::NameIndexes;
use rustc_hash::{FxHashMap, FxHashSet};

use crate::clock::{ListTime, MAX_PAST_STARTS, StartTimes, WallClock};
use crate::discovery::update::{Endpoint, Update};

/// Minimum number of remembered names at which unused names are removed. It is more than one name for each past start
/// that the clock remembers, so that pruning examines only a few names per new name on average.
pub const MIN_NAMES_TO_PRUNE: usize = 2 * MAX_PAST_STARTS;

/// An endpoint that is on the list and has not been removed.
#[derive(Debug)]
pub struct ListedEndpoint {
    /// Address on which the endpoint listens.
    pub address: SocketAddr,
    /// Zone of the endpoint, if the settings name it.
    pub zone: Option<ZoneId>,
    /// Unix time in milliseconds of the latest start of the endpoint's process, as discovery gives it; 0 if it started
    /// long ago.
    since_ms: u64,
    /// Whether new work may be sent to the endpoint; it drains otherwise.
    ready: bool,
}

/// Source and form of a list of endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListSource {
    /// The complete list, from discovery.
    Snapshot,
    /// Changed entries only, from discovery.
    Delta,
    /// The complete list, from the configuration; it may be stale.
    Configuration,
}

/// Result of applying a list.
#[derive(Debug)]
pub struct AppliedList {
    /// Update of the list of endpoints to pass to the policy.
    pub update: ListUpdate,
    /// Endpoints whose process has been replaced by a new one, so that connections to the old process are dead.
    pub restarted: Vec<EndpointId>,
}

/// An entry of a list, converted for the policy.
struct AppliedEntry {
    member: Member,
    /// Whether the process of the endpoint has been replaced by a new one.
    restarted: bool,
}

/// The current list of endpoints, with their ids and start times.
#[derive(Debug)]
pub struct EndpointTable {
    ids: EndpointIds,
    listed: FxHashMap<EndpointId, ListedEndpoint>,
    starts: StartTimes,
    /// Version of the current list of endpoints, as discovery numbers it.
    index: u64,
    /// Whether any list of endpoints has been applied, from the configuration or from discovery.
    has_list: bool,
    /// Whether discovery has sent an update of the list of endpoints.
    has_update: bool,
}

impl EndpointTable {
    /// Creates a table without a list. `index` is the version of the list that will be applied first, or 0.
    #[must_use]
    pub fn new(wall_clock: Box<dyn WallClock>, index: u64) -> Self {
        Self {
            ids: EndpointIds::new(),
            listed: FxHashMap::default(),
            starts: StartTimes::new(wall_clock),
            index,
            has_list: false,
            has_update: false,
        }
    }

    /// Returns the version of the current list.
    #[must_use]
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Whether any list has been applied, from the configuration or from discovery.
    #[must_use]
    pub fn has_list(&self) -> bool {
        self.has_list
    }

    /// Whether discovery has sent an update, which takes precedence over the list of the configuration.
    #[must_use]
    pub fn has_update(&self) -> bool {
        self.has_update
    }

    /// Number of listed endpoints, including those that drain.
    #[must_use]
    pub fn listed(&self) -> usize {
        self.listed.len()
    }

    /// Number of endpoints that new work may be sent to.
    #[must_use]
    pub fn ready(&self) -> usize {
        self.listed.values().filter(|endpoint| endpoint.ready).count()
    }

    /// Returns an endpoint, if it is listed and new work may be sent to it.
    #[must_use]
    pub fn ready_endpoint(&self, id: EndpointId) -> Option<&ListedEndpoint> {
        self.listed.get(&id).filter(|endpoint| endpoint.ready)
    }

    /// Returns an endpoint, if it is listed at this address and new work may be sent to it.
    #[must_use]
    pub fn ready_endpoint_at(&self, id: EndpointId, address: SocketAddr) -> Option<&ListedEndpoint> {
        self.ready_endpoint(id).filter(|endpoint| endpoint.address == address)
    }

    /// Number of endpoint names that are remembered.
    #[must_use]
    pub fn names(&self) -> usize {
        self.ids.by_name.len()
    }

    /// Forgets the names of endpoints that are not listed, have no attempt in progress and no remembered start. Without
    /// this, names that never repeat would fill the memory. A name that returns gets the same id again, because the id
    /// is the hash of the name. Only where the hashes of two names collide may the later name get another id, and only
    /// once everything that used its old id is forgotten.
    fn prune_names(&mut self, in_attempts: &FxHashSet<EndpointId>) {
        let remembered = self.starts.remembered();
        let listed = &self.listed;
        self.ids.retain(|id| listed.contains_key(id) || in_attempts.contains(id) || remembered.contains(id));
    }

    /// Records that discovery has sent a line, empty or not, after the line's update has been applied. If a later line
    /// names a start that no line before has named, the start lies after this time.
    pub fn note_heartbeat(&mut self, now: Time) {
        self.starts.note_line(now);
    }

    /// Prepares an update from discovery, and returns whether it is to be applied.
    ///
    /// An update older than the current list, for example from an instance of discovery that lags behind the one used
    /// before, must not end a drain. An older delta is ignored. An older snapshot is applied, except that endpoints
    /// that drain stay draining unless the snapshot names a new start of them; their entries in `update` are changed
    /// here.
    #[must_use]
    pub fn accept_update(&mut self, now: Time, update: &mut Update) -> bool {
        self.has_update = true;
        if update.index < self.index {
            crate::log(format_args!(
                "discovery sent version {} of the endpoint list, older than version {} in use: an older delta is \
                 ignored, an older snapshot is applied but ends no drain",
                update.index, self.index
            ));
            if !update.snapshot {
                self.starts.note_line(now);
                return false;
            }
            for endpoint in update.endpoints.iter_mut().filter(|endpoint| self.drains(now, endpoint)) {
                "draining".clone_into(&mut endpoint.status);
            }
        }
        self.index = update.index;
        true
    }

    /// Whether the endpoint of an older list's entry is listed as draining, and the entry names no new start of it.
    fn drains(&self, now: Time, entry: &Endpoint) -> bool {
        let Some(id) = self.ids.get(&entry.name) else { return false };
        let drains = self.listed.get(&id).is_some_and(|endpoint| !endpoint.ready);
        drains && !self.starts.is_new_start(now, id, entry.since_ms)
    }

    /// Applies the entries of a list. Malformed entries are logged and skipped. `in_attempts` returns the endpoints
    /// that have attempts in progress, whose names must not be forgotten; it is called only when names are pruned.
    pub fn apply(
        &mut self,
        now: Time,
        entries: &[Endpoint],
        source: ListSource,
        names: &NameIndexes,
        in_attempts: impl FnOnce() -> FxHashSet<EndpointId>,
    ) -> AppliedList {
        let newest_ms = entries.iter().map(|entry| entry.since_ms).max().unwrap_or(0);
        let list_time = self.starts.list_time(now, newest_ms);
        let mut members = Vec::with_capacity(entries.len());
        let mut restarted = Vec::new();
        for entry in entries {
            let Some(applied) = self.apply_entry(&list_time, entry, names) else {
                crate::log(format_args!(
                    "skipped an entry of the endpoint list, its status or address is invalid: {entry:?}"
                ));
                continue;
            };
            if applied.restarted {
                restarted.push(applied.member.id);
            }
            members.push(applied.member);
        }
        self.has_list |= !members.is_empty() || source != ListSource::Configuration;
        if source != ListSource::Delta {
            let seen: FxHashSet<EndpointId> = members.iter().map(|member| member.id).collect();
            self.listed.retain(|id, _| seen.contains(id));
            self.starts.retain(&seen);
        }
        if self.names() >= self.ids.prune_at {
            self.prune_names(&in_attempts());
        }
        let update = match source {
            ListSource::Snapshot => ListUpdate::Snapshot(members),
            ListSource::Delta => ListUpdate::Delta(members),
            ListSource::Configuration => ListUpdate::CachedSnapshot(members),
        };
        AppliedList { update, restarted }
    }

    fn apply_entry(
        &mut self,
        list_time: &ListTime,
        entry: &Endpoint,
        names: &NameIndexes,
    ) -> Option<AppliedEntry> {
        let lifecycle = match entry.status.as_str() {
            "ready" => Lifecycle::Ready,
            "draining" => Lifecycle::Draining,
            "gone" => Lifecycle::Removed,
            _ => return None,
        };
        let id = self.ids.get_or_assign(&entry.name);
        let zone = names.zones.get(&entry.zone).copied().map(ZoneId);
        let mut restarted = false;
        if lifecycle == Lifecycle::Removed {
            self.listed.remove(&id);
        } else {
            // A drain applies even if its entry has no valid address: the known address is used then.
            let known =
                self.listed.get(&id).filter(|_| lifecycle == Lifecycle::Draining).map(|known| known.address);
            let address = entry.address.parse().ok().or(known)?;
            let (since_ms, ready) = (entry.since_ms, lifecycle == Lifecycle::Ready);
            let before = self.listed.insert(id, ListedEndpoint { address, zone, since_ms, ready });
            restarted = before.is_some_and(|before| before.since_ms != since_ms);
        }
        let started = self.starts.note_listed(list_time, id, entry.since_ms);
        if lifecycle == Lifecycle::Removed {
            self.starts.delist(id);
        }
        let weight = entry.weight;
        let member = Member {
            id,
            zone,
            machine_kind: names.machine_kinds.get(&entry.machine_kind).copied().map(MachineKindId),
            cell: entry.group,
            lifecycle,
            weight: if weight.is_finite() && weight >= 0.0 { weight } else { 1.0 },
            started,
        };
        Some(AppliedEntry { member, restarted })
    }
}

/// Ids of endpoints by name.
#[derive(Debug)]
struct EndpointIds {
    by_name: FxHashMap<Box<str>, EndpointId>,
    /// All ids that are assigned to a name in `by_name`.
    assigned: FxHashSet<EndpointId>,
    /// Number of names in `by_name` at which unused ones are removed: twice the number that the last removal left, but
    /// at least [`MIN_NAMES_TO_PRUNE`].
    prune_at: usize,
}

impl EndpointIds {
    fn new() -> Self {
        Self { by_name: FxHashMap::default(), assigned: FxHashSet::default(), prune_at: MIN_NAMES_TO_PRUNE }
    }

    fn retain(&mut self, is_needed: impl Fn(&EndpointId) -> bool) {
        self.by_name.retain(|_, id| is_needed(id));
        self.assigned.retain(is_needed);
        self.prune_at = (2 * self.by_name.len()).max(MIN_NAMES_TO_PRUNE);
    }

    fn get(&self, name: &str) -> Option<EndpointId> {
        self.by_name.get(name).copied()
    }

    /// Returns the id of an endpoint, assigning one if it has none. The id is the hash of the name, so that all
    /// balancers order the endpoints alike. If the hashes of two names collide, the later name gets the next free id.
    fn get_or_assign(&mut self, name: &str) -> EndpointId {
        if let Some(id) = self.get(name) {
            return id;
        }
        let mut number = fnv1a(name);
        while !self.assigned.insert(EndpointId(number)) {
            number = number.wrapping_add(1);
        }
        self.by_name.insert(name.into(), EndpointId(number));
        EndpointId(number)
    }
}

/// Returns the 32-bit FNV-1a hash of a name.
fn fnv1a(name: &str) -> u32 {
    const OFFSET_BASIS: u32 = 2_166_136_261;
    const PRIME: u32 = 16_777_619;
    name.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(PRIME))
}
