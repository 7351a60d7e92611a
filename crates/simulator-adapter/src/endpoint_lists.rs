//! Endpoint lists that the instances of a process share.
//!
//! Many instances of one process receive the same list at the same time. The simulator therefore sends the list
//! once, with a number, and the message for each instance refers to that number. An entry contains the names of
//! its zone and machine kind. The indexes of these names differ between instances, so they are looked up when
//! an instance receives the list. The module owns the lists by number.

use balancer_policy::interface::{EndpointId, ListUpdate, MachineKindId, Member, ZoneId};
use balancer_settings::NameIndexes;
use rustc_hash::FxHashMap;

use crate::error::Malformed;
use crate::fields::Fields;
use crate::wire;

/// Weight, that is relative capacity, of an endpoint whose list entry has none.
const DEFAULT_WEIGHT: f64 = 1.0;

/// All endpoint lists of the process, by number.
#[derive(Default)]
pub struct EndpointLists {
    /// Entries of each list by list number. A list that is sent again replaces the earlier one with its number.
    lists: FxHashMap<u32, Vec<ListEntry>>,
    open: Option<OpenList>,
}

/// The list whose entries are currently being read.
struct OpenList {
    number: u32,
    missing: usize,
}

/// An entry of a list whose zone and machine kind are not yet resolved to the indexes of an instance.
struct ListEntry {
    zone: String,
    machine_kind: String,
    member: Member,
}

impl EndpointLists {
    /// Checks that no list is still missing entries.
    pub fn ensure_complete(&self) -> Result<(), Malformed> {
        match self.open {
            Some(OpenList { number: list, missing }) => Err(Malformed::IncompleteList { list, missing }),
            None => Ok(()),
        }
    }

    /// Begins a list, which replaces an earlier list with the same number.
    pub fn open(&mut self, mut fields: Fields) -> Result<(), Malformed> {
        let number = fields.number("buffer")?;
        let missing = fields.number("membersList")?;
        fields.ensure_end()?;
        self.lists.insert(number, Vec::new());
        self.set_open(number, missing);
        Ok(())
    }

    /// Adds an entry to the list that was begun last.
    pub fn add(&mut self, fields: Fields) -> Result<(), Malformed> {
        let Some(OpenList { number, missing }) = self.open else { return Err(Malformed::EntryOutsideList) };
        let entry = ListEntry::read(fields)?;
        self.lists.entry(number).or_default().push(entry);
        self.set_open(number, missing - 1);
        Ok(())
    }

    fn set_open(&mut self, number: u32, missing: usize) {
        self.open = (missing > 0).then_some(OpenList { number, missing });
    }

    /// Reads an update of the endpoint list for the instance whose settings contain `names`.
    pub fn update(&self, names: &NameIndexes, fields: &mut Fields) -> Result<ListUpdate, Malformed> {
        let scope = fields.text("scope")?;
        fields.number::<u64>("version")?;
        let buffer = fields.text("buffer")?;
        if scope == "broken" {
            return Ok(ListUpdate::Broken);
        }
        let number = buffer.parse().map_err(|_| Malformed::value("buffer", buffer))?;
        let entries = self.lists.get(&number).ok_or(Malformed::UnknownList(number))?;
        let members = entries.iter().map(|entry| entry.member(names)).collect();
        match scope {
            "patch" => Ok(ListUpdate::Delta(members)),
            "whole" => Ok(ListUpdate::Snapshot(members)),
            "stale_copy" => Ok(ListUpdate::CachedSnapshot(members)),
            _ => Err(Malformed::value("scope", scope)),
        }
    }
}

impl ListEntry {
    fn read(mut fields: Fields) -> Result<Self, Malformed> {
        let id = EndpointId(fields.number("upstream")?);
        let zone = fields.optional("regionPart")?.unwrap_or_default().to_owned();
        let machine_kind = fields.optional("machine")?.unwrap_or_default().to_owned();
        let cell = fields.optional_number("cluster")?.unwrap_or_default();
        let lifecycle = wire::lifecycle(fields.text("phase")?)?;
        let weight = fields.optional("nominal")?.map_or(Ok(DEFAULT_WEIGHT), weight)?;
        let started = fields.optional_seconds("readyAtS")?.filter(|start| !start.is_zero());
        fields.ensure_end()?;
        let member = Member { id, zone: None, machine_kind: None, cell, lifecycle, weight, started };
        Ok(Self { zone, machine_kind, member })
    }

    fn member(&self, names: &NameIndexes) -> Member {
        Member {
            zone: names.zones.get(&self.zone).copied().map(ZoneId),
            machine_kind: names.machine_kinds.get(&self.machine_kind).copied().map(MachineKindId),
            ..self.member
        }
    }
}

fn weight(value: &str) -> Result<f64, Malformed> {
    let weight = value.parse().ok().filter(|weight: &f64| weight.is_finite() && *weight >= 0.0);
    weight.ok_or_else(|| Malformed::value("nominal", value))
}
