//! What is in force below: children's reports, and sums of them that go up.
//!
//! An operator asks one process what thousands have in force, and which of them lag. No process may need memory for each
//! balancer of the fleet, so a relay sums its children within bounds, and names only the first few.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::document::Scope;
use crate::state::State;

/// How often a child reports, and at once after a change.
pub const REPORT_EVERY: Duration = Duration::from_secs(5);
/// A child that has not reported for so long is silent and counted no more: it may have gone to another parent. So
/// nobody is counted twice for longer than this, and [`REPORT_EVERY`] more for each level that its sums go up.
pub const SILENT_AFTER: Duration = Duration::from_secs(12);
/// A child that has not reported for so long is forgotten.
pub const FORGOTTEN_AFTER: Duration = Duration::from_secs(120);
/// Balancers that report to one parent at most.
pub const MAX_CHILDREN: usize = 4096;
/// Relays that report to one parent at most; their sums are larger.
pub const MAX_RELAYS: usize = 64;
/// Scopes of one child's report at most.
pub const MAX_CHILD_SCOPES: usize = 8;
/// Scopes of sums at most.
pub const MAX_SCOPES: usize = 4096;
/// Versions of a scope that are counted each, the newest; the older are counted together.
pub const MAX_VERSIONS: usize = 4;
/// Children that are named in each list.
pub const MAX_NAMED: usize = 8;
/// Bytes of a name, and of a reason, at most.
pub const MAX_TEXT_BYTES: usize = 256;

/// What a child has in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// Its name.
    pub who: Box<str>,
    /// The version of each scope that it wants; 0 where there is none.
    pub versions: BTreeMap<Scope, u64>,
    /// A document that it received and does not apply.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refused: Option<Refused>,
}

/// A document that is not applied.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// Whose.
    pub scope: Scope,
    /// Its version.
    pub version: u64,
    /// The faults.
    pub why: Box<str>,
}

/// A child that holds another version than the one that stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Laggard {
    /// Its name.
    pub who: Box<str>,
    /// Of which scope.
    pub scope: Scope,
    /// What it holds; 0 is none.
    pub version: u64,
}

/// A child that does not apply a document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedBy {
    /// Its name.
    pub who: Box<str>,
    /// What it refused.
    pub refused: Refused,
}

/// How many hold each version of a scope.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holders {
    /// By version, the newest [`MAX_VERSIONS`]; version 0 is none.
    pub versions: BTreeMap<u64, u64>,
    /// Those that hold an older one.
    #[serde(default)]
    pub older: u64,
}

/// Sums over all that is below.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sums {
    /// Balancers that report.
    pub children: u64,
    /// By scope.
    #[serde(default)]
    pub holders: BTreeMap<Scope, Holders>,
    /// Reports of scopes past [`MAX_SCOPES`].
    #[serde(default)]
    pub scopes_left_out: u64,
    /// The first few that lag behind the state of their parent.
    #[serde(default)]
    pub laggards: Vec<Laggard>,
    /// How many refuse a document.
    #[serde(default)]
    pub refusing: u64,
    /// The first few of these.
    #[serde(default)]
    pub refused: Vec<RefusedBy>,
    /// How many are silent: children, and relays with all that is below them as one.
    #[serde(default)]
    pub silent: u64,
    /// The first few of these.
    #[serde(default)]
    pub silent_names: Vec<Box<str>>,
}

impl Sums {
    /// How many hold another version of a scope than a state has, or none of it.
    #[must_use]
    pub fn lagging(&self, state: &State, scope: &Scope) -> u64 {
        let Some(holders) = self.holders.get(scope) else { return 0 };
        let behind = holders.versions.iter().filter(|(version, _)| lags(state, scope, **version));
        behind.fold(holders.older, |sum, (_, count)| sum.saturating_add(*count))
    }

    /// Adds others, within the bounds.
    pub fn add(&mut self, other: &Self) {
        let add = |sum: &mut u64, more: u64| *sum = sum.saturating_add(more);
        add(&mut self.children, other.children);
        add(&mut self.scopes_left_out, other.scopes_left_out);
        add(&mut self.refusing, other.refusing);
        add(&mut self.silent, other.silent);
        for (scope, more) in &other.holders {
            if self.holders.len() >= MAX_SCOPES && !self.holders.contains_key(scope) {
                add(&mut self.scopes_left_out, 1);
                continue;
            }
            let holders = self.holders.entry(scope.clone()).or_default();
            add(&mut holders.older, more.older);
            for (&version, &count) in &more.versions {
                add(holders.versions.entry(version).or_default(), count);
            }
            while holders.versions.len() > MAX_VERSIONS
                && let Some((_, count)) = holders.versions.pop_first()
            {
                add(&mut holders.older, count);
            }
        }
        add_names(&mut self.laggards, &other.laggards);
        add_names(&mut self.refused, &other.refused);
        add_names(&mut self.silent_names, &other.silent_names);
    }
}

fn add_names<T: Clone>(names: &mut Vec<T>, more: &[T]) {
    let capacity = MAX_NAMED.saturating_sub(names.len());
    names.extend(more.iter().take(capacity).cloned());
}

/// Whether a version is another than the one that stands, and no newer one than the state knows of.
fn lags(state: &State, scope: &Scope, version: u64) -> bool {
    let stands = state.get(scope).map_or(0, |document| document.version);
    version != stands && version <= state.index()
}

/// The newest report of a child, and when it came.
#[derive(Debug, Clone)]
struct Received<T> {
    at: Duration,
    content: T,
}

type ByName<T> = BTreeMap<Box<str>, Received<T>>;

/// The reports of the children of one process.
#[derive(Debug, Clone, Default)]
pub struct Reports {
    children: ByName<InForce>,
    relays: ByName<Sums>,
}

impl Reports {
    /// None yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// A balancer's report. Over the bounds, names and reasons are cut and scopes left out, and one past
    /// [`MAX_CHILDREN`] is left out.
    pub fn record(&mut self, now: Duration, mut report: InForce) {
        report.who = cut(&report.who);
        while report.versions.len() > MAX_CHILD_SCOPES {
            report.versions.pop_last();
        }
        if let Some(refused) = &mut report.refused {
            refused.why = cut(&refused.why);
        }
        insert(&mut self.children, MAX_CHILDREN, now, report.who.clone(), report);
    }

    /// A relay's sums. They are bounded likewise, and one past [`MAX_RELAYS`] is left out.
    pub fn record_sums(&mut self, now: Duration, who: &str, sums: &Sums) {
        // As added to nothing they are within the bounds.
        let mut bounded = Sums::default();
        bounded.add(sums);
        for who in bounded
            .laggards
            .iter_mut()
            .map(|laggard| &mut laggard.who)
            .chain(bounded.refused.iter_mut().map(|refused| &mut refused.who))
            .chain(&mut bounded.silent_names)
        {
            *who = cut(who);
        }
        for refused in &mut bounded.refused {
            refused.refused.why = cut(&refused.refused.why);
        }
        insert(&mut self.relays, MAX_RELAYS, now, cut(who), bounded);
    }

    /// Sums over all children, as they go up.
    #[must_use]
    pub fn sums(&self, now: Duration, state: &State) -> Sums {
        let mut sums = Sums::default();
        let mut add = |who: &str, at: Duration, child_sums: &dyn Fn() -> Sums| {
            let age = now.saturating_sub(at);
            if age <= SILENT_AFTER {
                sums.add(&child_sums());
            } else if age <= FORGOTTEN_AFTER {
                sums.add(&Sums { silent: 1, silent_names: vec![who.into()], ..Sums::default() });
            }
        };
        for (who, report) in &self.children {
            add(who, report.at, &|| report.content.sums(state));
        }
        for (who, below) in &self.relays {
            add(who, below.at, &|| below.content.clone());
        }
        sums
    }
}

/// Replaces a child's report; a new child at capacity evicts those that are silent, or is left out.
fn insert<T>(reports: &mut ByName<T>, max: usize, now: Duration, who: Box<str>, content: T) {
    if reports.len() >= max && !reports.contains_key(&who) {
        reports.retain(|_, report| now.saturating_sub(report.at) <= SILENT_AFTER);
        if reports.len() >= max {
            return;
        }
    }
    reports.insert(who, Received { at: now, content });
}

impl InForce {
    /// The sums of this child alone.
    fn sums(&self, state: &State) -> Sums {
        let holders = |(scope, version): (&Scope, &u64)| {
            (scope.clone(), Holders { versions: BTreeMap::from([(*version, 1)]), older: 0 })
        };
        let lagging = self.versions.iter().filter(|(scope, version)| lags(state, scope, **version));
        let laggard = |(scope, version): (&Scope, &u64)| Laggard {
            who: self.who.clone(),
            scope: scope.clone(),
            version: *version,
        };
        let refused = self.refused.clone().map(|refused| RefusedBy { who: self.who.clone(), refused });
        Sums {
            children: 1,
            holders: self.versions.iter().map(holders).collect(),
            laggards: lagging.map(laggard).collect(),
            refusing: u64::from(refused.is_some()),
            refused: refused.into_iter().collect(),
            ..Sums::default()
        }
    }
}

fn cut(text: &str) -> Box<str> {
    let end = text
        .char_indices()
        .map(|(at, char)| at + char.len_utf8())
        .take_while(|end| *end <= MAX_TEXT_BYTES)
        .last();
    text[..end.unwrap_or(0)].into()
}
