//! Reports of which documents are in force: children report to their parent, and relays report sums to theirs.
//!
//! An operator asks one process which versions thousands of balancers have in force, and which balancers lag behind. No
//! process may need memory for each balancer of the fleet, so a relay adds up the reports of its children within fixed
//! bounds and names only the first few children in each list.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::document::Scope;
use crate::state::State;

/// How often a child reports, to within a second. It also reports soon after a change: a balancer after a random delay
/// of up to 0.5 s, a relay at its next check, which it makes once per second.
pub const REPORT_EVERY: Duration = Duration::from_secs(5);
/// A child that has not reported for this long counts as silent and is no longer included in the sums, because it may
/// have moved to another parent. A child is therefore counted twice for at most this long, plus [`REPORT_EVERY`] for
/// each level that the sums pass on the way up.
pub const SILENT_AFTER: Duration = Duration::from_secs(12);
/// A child that has not reported for this long is no longer counted as silent either.
pub const FORGOTTEN_AFTER: Duration = Duration::from_secs(120);
/// Maximum number of balancers whose reports one parent keeps.
pub const MAX_CHILDREN: usize = 4096;
/// Maximum number of relays whose reports one parent keeps; lower than [`MAX_CHILDREN`] because sums are larger than
/// the report of one balancer.
pub const MAX_RELAYS: usize = 64;
/// Maximum number of scopes in the report of one balancer.
pub const MAX_CHILD_SCOPES: usize = 8;
/// Maximum number of scopes in one set of sums.
pub const MAX_SCOPES: usize = 4096;
/// Number of newest versions of a scope that are counted separately; all older versions are counted together.
pub const MAX_VERSIONS: usize = 4;
/// Maximum number of children named in each list of the sums.
pub const MAX_NAMED: usize = 8;
/// Maximum length in bytes of a child's name and of a reason; longer texts are truncated.
pub const MAX_TEXT_BYTES: usize = 256;

/// Report of one balancer: the versions that it has in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// Name of the reporting balancer.
    pub who: Box<str>,
    /// Version in force of each scope that the balancer uses; 0 if it has no document of that scope.
    pub versions: BTreeMap<Scope, u64>,
    /// A document that the balancer received but refused to apply, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refused: Option<Refused>,
}

/// A document version that a balancer refused to apply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// Scope of the refused document.
    pub scope: Scope,
    /// Version of the refused document.
    pub version: u64,
    /// Reason for the refusal: the faults of the document.
    pub why: Box<str>,
}

/// A balancer that lags: it holds another version of a document than the newest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Laggard {
    /// Name of the lagging balancer.
    pub who: Box<str>,
    /// Scope of the document whose version lags.
    pub scope: Scope,
    /// The version that the balancer holds; 0 if it has no document of that scope.
    pub version: u64,
}

/// A balancer that refuses to apply a document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedBy {
    /// Name of the refusing balancer.
    pub who: Box<str>,
    /// The document that the balancer refused.
    pub refused: Refused,
}

/// Number of balancers that hold each version of a scope's document.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holders {
    /// Number of balancers by version, for the newest [`MAX_VERSIONS`]; version 0 stands for no document.
    pub versions: BTreeMap<u64, u64>,
    /// Number of balancers that hold a version older than those in `versions`.
    #[serde(default)]
    pub older: u64,
}

/// Sums over the reports of all balancers below a process, directly or through relays.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sums {
    /// Number of balancers below the process whose reports are included in the sums; silent ones are not.
    pub children: u64,
    /// Number of balancers that hold each version, by scope.
    #[serde(default)]
    pub holders: BTreeMap<Scope, Holders>,
    /// How many times a scope was left out because there were already [`MAX_SCOPES`].
    #[serde(default)]
    pub scopes_left_out: u64,
    /// The first few balancers that lag behind the state of their parent, at most [`MAX_NAMED`].
    #[serde(default)]
    pub laggards: Vec<Laggard>,
    /// Number of balancers below the process that refuse a document.
    #[serde(default)]
    pub refusing: u64,
    /// The first few balancers that refuse a document, at most [`MAX_NAMED`].
    #[serde(default)]
    pub refused: Vec<RefusedBy>,
    /// Number of silent balancers and relays; a silent relay counts as one, whatever is below it.
    #[serde(default)]
    pub silent: u64,
    /// Names of the first few silent balancers and relays, at most [`MAX_NAMED`].
    #[serde(default)]
    pub silent_names: Vec<Box<str>>,
}

impl Sums {
    /// Number of balancers that lag: those that report a version of a scope other than the one in `state`, or no
    /// document of it. Versions newer than `state` do not count.
    #[must_use]
    pub fn lagging(&self, state: &State, scope: &Scope) -> u64 {
        let Some(holders) = self.holders.get(scope) else { return 0 };
        let behind = holders.versions.iter().filter(|(version, _)| lags(state, scope, **version));
        behind.fold(holders.older, |sum, (_, count)| sum.saturating_add(*count))
    }

    /// Adds other sums to these, within the bounds on scopes, versions and names.
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

/// Appends entries to a list of named children, up to [`MAX_NAMED`].
fn add_names<T: Clone>(names: &mut Vec<T>, more: &[T]) {
    let capacity = MAX_NAMED.saturating_sub(names.len());
    names.extend(more.iter().take(capacity).cloned());
}

/// Whether a version differs from the newest in `state` and is not newer than `state` itself.
fn lags(state: &State, scope: &Scope, version: u64) -> bool {
    let newest = state.get(scope).map_or(0, |document| document.version);
    version != newest && version <= state.index()
}

/// The newest report of a child and the time of its arrival.
#[derive(Debug, Clone)]
struct Received<T> {
    at: Duration,
    content: T,
}

/// The newest report of each child, by the name of the child.
type ByName<T> = BTreeMap<Box<str>, Received<T>>;

/// The reports of the children of one process.
#[derive(Debug, Clone, Default)]
pub struct Reports {
    /// Reports of the balancers that follow this process directly.
    children: ByName<InForce>,
    /// Sums reported by the relays that follow this process.
    relays: ByName<Sums>,
}

impl Reports {
    /// Creates an empty set of reports.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Stores the report of a balancer. Names and reasons over the bound are truncated, excess scopes are left out, and
    /// the report is dropped if it is of a new balancer and [`MAX_CHILDREN`] others are not silent.
    pub fn record(&mut self, now: Duration, mut report: InForce) {
        report.who = truncated(&report.who);
        while report.versions.len() > MAX_CHILD_SCOPES {
            report.versions.pop_last();
        }
        if let Some(refused) = &mut report.refused {
            refused.why = truncated(&refused.why);
        }
        insert(&mut self.children, MAX_CHILDREN, now, report.who.clone(), report);
    }

    /// Stores the sums of a relay. They are bounded in the same way, and dropped if they are of a new relay and
    /// [`MAX_RELAYS`] others are not silent.
    pub fn record_sums(&mut self, now: Duration, who: &str, sums: &Sums) {
        // Adding the sums to an empty set brings them within the bounds.
        let mut bounded = Sums::default();
        bounded.add(sums);
        for who in bounded
            .laggards
            .iter_mut()
            .map(|laggard| &mut laggard.who)
            .chain(bounded.refused.iter_mut().map(|refused| &mut refused.who))
            .chain(&mut bounded.silent_names)
        {
            *who = truncated(who);
        }
        for refused in &mut bounded.refused {
            refused.refused.why = truncated(&refused.refused.why);
        }
        insert(&mut self.relays, MAX_RELAYS, now, truncated(who), bounded);
    }

    /// Adds up the reports of all children, for the report to the parent and for operators.
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

/// Replaces a child's report. A new child at capacity evicts all silent children; if there are none, it is left out.
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
    /// The report of this balancer as sums over one balancer.
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

/// Truncates a text to [`MAX_TEXT_BYTES`] at a character boundary.
fn truncated(text: &str) -> Box<str> {
    let end = text
        .char_indices()
        .map(|(at, char)| at + char.len_utf8())
        .take_while(|end| *end <= MAX_TEXT_BYTES)
        .last();
    text[..end.unwrap_or(0)].into()
}
