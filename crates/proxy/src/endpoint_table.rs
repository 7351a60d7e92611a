//! The endpoints that discovery lists: the number by which the policy knows each, and whether new work may go to it at its
//! address. Applies the updates of discovery, also one that is older than the list in hand. The table decides nothing: the
//! numbers go to the policy, and connections are closed by the event loop.

use std::net::SocketAddr;

use balancer_policy::interface::{EndpointId, KindId, Lifecycle, ListUpdate, Member, Time, ZoneId};
use balancer_settings::Names;
use rustc_hash::{FxHashMap, FxHashSet};

use crate::clock::{MAX_PAST_STARTS, Moment, StartTimes, WallClock};
use crate::discovery::update::{Endpoint, Update};

/// Names that are remembered before any is forgotten: more than one for each past start that the clock remembers, so that
/// what is looked through to forget some is, on average, a few names for each new one.
pub const MIN_NAMES_TO_PRUNE: usize = 2 * MAX_PAST_STARTS;

/// An endpoint that is listed and not gone.
#[derive(Debug)]
pub struct ListedEndpoint {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone, if the settings know it.
    pub zone: Option<ZoneId>,
    since_ms: u64,
    ready: bool,
}

/// How a list came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListSource {
    /// From discovery, the complete list.
    Snapshot,
    /// From discovery, changed entries only.
    Delta,
    /// From the configuration, complete and maybe old.
    Configuration,
}

/// What of a list goes to the policy, and what to the connections.
#[derive(Debug)]
pub struct AppliedList {
    /// For the policy.
    pub update: ListUpdate,
    /// Endpoints whose process is a new one; the connections to the old one are dead.
    pub restarted: Vec<EndpointId>,
}

/// An entry of a list in the form of the policy.
struct AppliedEntry {
    member: Member,
    restarted: bool,
}

/// The endpoints and their list.
#[derive(Debug)]
pub struct EndpointTable {
    ids: EndpointIds,
    listed: FxHashMap<EndpointId, ListedEndpoint>,
    starts: StartTimes,
    index: u64,
    has_list: bool,
    has_update: bool,
}

impl EndpointTable {
    /// A table without a list, to which `index` is the version known.
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

    /// The version of the list in hand.
    #[must_use]
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Whether some list has come, with the configuration or from discovery.
    #[must_use]
    pub fn has_list(&self) -> bool {
        self.has_list
    }

    /// Whether discovery has sent an update, which goes before the list of the configuration.
    #[must_use]
    pub fn has_update(&self) -> bool {
        self.has_update
    }

    /// How many endpoints are listed, draining ones among them.
    #[must_use]
    pub fn listed(&self) -> usize {
        self.listed.len()
    }

    /// How many endpoints new work may go to.
    #[must_use]
    pub fn ready(&self) -> usize {
        self.listed.values().filter(|endpoint| endpoint.ready).count()
    }

    /// An endpoint that new work may go to.
    #[must_use]
    pub fn ready_endpoint(&self, id: EndpointId) -> Option<&ListedEndpoint> {
        self.listed.get(&id).filter(|endpoint| endpoint.ready)
    }

    /// The same, if it is still at this address.
    #[must_use]
    pub fn ready_endpoint_at(&self, id: EndpointId, address: SocketAddr) -> Option<&ListedEndpoint> {
        self.ready_endpoint(id).filter(|endpoint| endpoint.address == address)
    }

    /// How many names of endpoints are remembered.
    #[must_use]
    pub fn names(&self) -> usize {
        self.ids.by_name.len()
    }

    /// Forgets the names of endpoints that are neither listed, nor have an attempt out, nor a start that is remembered.
    /// Where names never repeat they would fill the memory otherwise. A name that returns gets its number again, as that
    /// is the hash of the name; only of two names that meet the later one may get another number, when nothing is left
    /// that it was known by.
    fn prune_names(&mut self, in_attempts: &FxHashSet<EndpointId>) {
        let remembered = self.starts.remembered();
        let listed = &self.listed;
        self.ids.retain(|id| listed.contains_key(id) || in_attempts.contains(id) || remembered.contains(id));
    }

    /// Discovery has sent a line, be it an empty one: a start that a later line names lies after it.
    pub fn note_heartbeat(&mut self, now: Time) {
        self.starts.note_line(now);
    }

    /// Whether an update of discovery is to be applied. One older than the list in hand, as from a discovery that lags
    /// behind the one used before, must not end a drain: changes from then are passed over; a snapshot is what there is
    /// now, but for endpoints that drain, which only a new start brings back, and those entries are changed here.
    #[must_use]
    pub fn admit(&mut self, now: Time, update: &mut Update) -> bool {
        self.has_update = true;
        if update.index < self.index {
            crate::log(format_args!("an older list: {} after {}", update.index, self.index));
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

    /// Whether an endpoint is listed as draining, and the entry of an older list names no new start of it.
    fn drains(&self, now: Time, entry: &Endpoint) -> bool {
        let Some(id) = self.ids.get(&entry.name) else { return false };
        let drains = self.listed.get(&id).is_some_and(|endpoint| !endpoint.ready);
        drains && !self.starts.is_new_start(now, id, entry.since_ms)
    }

    /// Applies the entries of a list. Malformed ones are logged and skipped. `in_attempts` gives the endpoints that
    /// attempts are out to, whose names must not be forgotten; it is called now and then.
    pub fn apply(
        &mut self,
        now: Time,
        entries: &[Endpoint],
        source: ListSource,
        names: &Names,
        in_attempts: impl FnOnce() -> FxHashSet<EndpointId>,
    ) -> AppliedList {
        let newest_ms = entries.iter().map(|entry| entry.since_ms).max().unwrap_or(0);
        let moment = self.starts.moment(now, newest_ms);
        let mut members = Vec::with_capacity(entries.len());
        let mut restarted = Vec::new();
        for entry in entries {
            let Some(applied) = self.apply_entry(&moment, entry, names) else {
                crate::log(format_args!("passed over a malformed entry of the list: {entry:?}"));
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

    fn apply_entry(&mut self, moment: &Moment, entry: &Endpoint, names: &Names) -> Option<AppliedEntry> {
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
            // A drain applies, whatever has become of the address.
            let known =
                self.listed.get(&id).filter(|_| lifecycle == Lifecycle::Draining).map(|known| known.address);
            let address = entry.address.parse().ok().or(known)?;
            let (since_ms, ready) = (entry.since_ms, lifecycle == Lifecycle::Ready);
            let before = self.listed.insert(id, ListedEndpoint { address, zone, since_ms, ready });
            restarted = before.is_some_and(|before| before.since_ms != since_ms);
        }
        let started = self.starts.listed(moment, id, entry.since_ms);
        if lifecycle == Lifecycle::Removed {
            self.starts.left(id);
        }
        let weight = entry.weight;
        let member = Member {
            id,
            zone,
            kind: names.kinds.get(&entry.kind).copied().map(KindId),
            cell: entry.group,
            lifecycle,
            weight: if weight.is_finite() && weight >= 0.0 { weight } else { 1.0 },
            started,
        };
        Some(AppliedEntry { member, restarted })
    }
}

/// The numbers of endpoints, by name.
#[derive(Debug)]
struct EndpointIds {
    by_name: FxHashMap<Box<str>, EndpointId>,
    assigned: FxHashSet<EndpointId>,
    /// From so many names on those not needed are removed: twice the number that the last removal has left.
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

    /// The number of an endpoint: from its name alone, so that all balancers sort them alike. Should two names meet, the
    /// later one takes the next free number.
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

/// The 32-bit FNV-1a hash.
fn fnv1a(name: &str) -> u32 {
    const OFFSET_BASIS: u32 = 2_166_136_261;
    const PRIME: u32 = 16_777_619;
    name.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(PRIME))
}
