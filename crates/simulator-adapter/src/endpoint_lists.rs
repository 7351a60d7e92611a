//! Endpoint lists, which instances share.
//!
//! Many instances of one process are sent the same list at the same time, so the wire sends it once,
//! numbered, and each instance's message refers to the number. An entry names its zone and its kind of
//! machine; their positions differ by instance and are looked up when the list is handed over. The module
//! owns the lists by number.

use balancer_policy::interface::{EndpointId, KindId, ListUpdate, Member, ZoneId};
use balancer_settings::Names;
use rustc_hash::FxHashMap;

use crate::error::Malformed;
use crate::fields::Fields;
use crate::wire;

/// Weight of an entry that names none.
const DEFAULT_WEIGHT: f64 = 1.0;

/// All lists of the process by their numbers.
#[derive(Default)]
pub struct EndpointLists {
    /// By number; one sent again takes the place of the one before.
    lists: FxHashMap<u32, Vec<ListEntry>>,
    open: Option<OpenList>,
}

/// The list whose entries are being read.
struct OpenList {
    number: u32,
    missing: usize,
}

/// An entry of a list before an instance's names are applied to it.
struct ListEntry {
    zone: String,
    kind: String,
    member: Member,
}

impl EndpointLists {
    /// Checks that no list lacks entries.
    pub fn ensure_complete(&self) -> Result<(), Malformed> {
        match self.open {
            Some(OpenList { number: list, missing }) => Err(Malformed::IncompleteList { list, missing }),
            None => Ok(()),
        }
    }

    /// Begins a list, in place of one with the same number.
    pub fn open(&mut self, mut fields: Fields) -> Result<(), Malformed> {
        let number = fields.number("buffer")?;
        let missing = fields.number("membersList")?;
        fields.ensure_end()?;
        self.lists.insert(number, Vec::new());
        self.set_open(number, missing);
        Ok(())
    }

    /// Adds an entry to the list that was begun.
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

    /// What discovery tells an instance with these names.
    pub fn update(&self, names: &Names, fields: &mut Fields) -> Result<ListUpdate, Malformed> {
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
        let kind = fields.optional("machine")?.unwrap_or_default().to_owned();
        let cell = fields.optional_number("cluster")?.unwrap_or_default();
        let lifecycle = wire::lifecycle(fields.text("phase")?)?;
        let weight = fields.optional("nominal")?.map_or(Ok(DEFAULT_WEIGHT), weight)?;
        let started = fields.optional_seconds("readyAtS")?.filter(|start| !start.is_zero());
        fields.ensure_end()?;
        let member = Member { id, zone: None, kind: None, cell, lifecycle, weight, started };
        Ok(Self { zone, kind, member })
    }

    fn member(&self, names: &Names) -> Member {
        Member {
            zone: names.zones.get(&self.zone).copied().map(ZoneId),
            kind: names.kinds.get(&self.kind).copied().map(KindId),
            ..self.member
        }
    }
}

fn weight(value: &str) -> Result<f64, Malformed> {
    let weight = value.parse().ok().filter(|weight: &f64| weight.is_finite() && *weight >= 0.0);
    weight.ok_or_else(|| Malformed::value("nominal", value))
}
