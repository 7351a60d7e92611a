//! What a role needs of something, how the figure is made from the plan and the measured slopes, and on which basis.

use super::measured::{CostAt, Measured, Worst};
use super::mechanism::Mechanism;

/// What a row counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cost {
    /// Bytes or entries that have to be stored.
    State,
    /// What goes over its connections.
    Messages,
    /// Processor time.
    Processor,
    /// Memory.
    Memory,
    /// Time until something holds, or that is added to a call.
    Time,
    /// Attempts that one call becomes.
    Repeats,
    /// Calls that are refused or fail.
    Refusals,
    /// Processes started anew.
    Restarts,
}

impl Cost {
    /// As the page says it.
    #[must_use]
    pub fn text(self) -> &'static str {
        match self {
            Self::State => "state",
            Self::Messages => "messages",
            Self::Processor => "processor time",
            Self::Memory => "memory",
            Self::Time => "time",
            Self::Repeats => "repeats",
            Self::Refusals => "refusals",
            Self::Restarts => "restarts",
        }
    }
}

/// What is asked for, over the roles.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Requirement {
    /// A change of configuration comes to be in force.
    Configuration,
    /// Lists reach every balancer.
    Lists,
    /// Repeats stay bounded.
    Repeats,
    /// Time added to a call.
    Added,
    /// A process carries its calls.
    Calls,
    /// Control of one balancer stays in its budget.
    Control,
}

impl Requirement {
    /// As the page says it.
    #[must_use]
    pub fn text(self) -> &'static str {
        match self {
            Self::Configuration => {
                "a change of configuration is in force everywhere in time, without a restart"
            }
            Self::Lists => "lists reach every balancer, also all of them at once",
            Self::Repeats => "repeats stay bounded over all tiers",
            Self::Added => "the time added to a call",
            Self::Calls => "a process carries its calls",
            Self::Control => "control of a balancer stays within its budget",
        }
    }
}

/// How a slope is read.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Read {
    /// The cost at a size.
    At(f64),
    /// The cost at a size, less that at the smallest size played.
    Beyond(f64),
    /// The cost of one more, by the fit.
    OneMore,
}

/// A measured part of a need.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Term {
    /// The slope's name.
    pub slope: &'static str,
    /// How it is read.
    pub read: Read,
    /// How often it counts, with the units changed.
    pub times: f64,
}

impl Term {
    /// A term of a slope, read in this way and counted so often.
    pub(super) const fn of(slope: &'static str, read: Read, times: f64) -> Self {
        Self { slope, read, times }
    }
}

/// A figure of a table of results: the worst of its plays.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Played {
    /// The table's name.
    pub results: &'static str,
    /// What stands in the first cell of its rows.
    pub row: &'static str,
    /// The head of its column.
    pub column: &'static str,
    /// How often it counts, with the units changed.
    pub times: f64,
}

/// What a role needs of something.
#[derive(Debug, Clone, PartialEq)]
pub struct Need {
    /// Whose.
    pub role: &'static str,
    /// Of what.
    pub cost: Cost,
    /// How the figure is made.
    pub formula: &'static str,
    /// Where it was played as such, which goes before its slopes.
    pub played: Option<Played>,
    /// Of the figure.
    pub unit: &'static str,
    /// What follows from the plan alone.
    pub plain: f64,
    /// What has to be measured.
    pub terms: Vec<Term>,
    /// How many times past what was played it lies in another way than by its slopes' sizes, such as by rate; 1 within.
    pub past: f64,
    /// What arithmetic on the plan gives instead, where a slope is missing.
    pub instead: Option<f64>,
    /// What it may be; `None` where nobody gave one.
    pub budget: Option<f64>,
    /// What carries it.
    pub mechanism: Mechanism,
    /// What it is part of.
    pub requirement: Requirement,
}

/// What a figure rests on.
#[derive(Debug, Clone, PartialEq)]
pub enum Basis {
    /// From the plan by arithmetic, in place of these slopes if any is missing.
    Reckoned(Vec<String>),
    /// Played as such: the worst of so many plays.
    Played(usize),
    /// Between measured sizes.
    Measured,
    /// By fits, this many times past the largest size played.
    Extrapolated(f64),
    /// These slopes are missing.
    NotMeasured(Vec<String>),
}

/// A figure with its basis.
#[derive(Debug, Clone, PartialEq)]
pub struct Figure {
    /// The figure, unless it is not measured.
    pub value: Option<f64>,
    /// In parts of the budget.
    pub ratio: Option<f64>,
    /// What it rests on.
    pub basis: Basis,
}

impl Need {
    /// What would break the figure.
    #[must_use]
    pub fn breaks(&self) -> &'static str {
        let of = |start: &str| self.terms.iter().any(|term| term.slope.starts_with(start));
        match self.cost {
            Cost::Time if of("latency.") => "a core or a queue that fills: the time then rises without bound",
            Cost::Time if of("depth.") => "work and ways that take longer than assumed",
            Cost::Time => "distance, loss, machines of their own: all was played on one",
            Cost::Repeats | Cost::Refusals => "several services in trouble at once, clients that repeat more",
            Cost::Restarts => "changes that are more for all, or less",
            Cost::State => "longer entries and documents, calls held longer",
            Cost::Messages if of("control.") => {
                "longer entries and documents, other heads of HTTP, encryption"
            }
            Cost::Messages => "a busier balancer than assumed",
            Cost::Processor if of("process.request") => {
                "connections opened anew for calls, long bodies, answers that come slowly, encryption"
            }
            Cost::Processor if of("process.") => {
                "lines that come faster than they were played, another processor"
            }
            Cost::Processor => "longer documents, more scopes, slow readers, another processor",
            Cost::Memory if of("decisions.") => {
                "bodies held with the calls, more connections than were played"
            }
            Cost::Memory => "longer entries and documents, slow readers",
        }
    }

    /// The figure that the measurements give.
    #[must_use]
    pub fn figure(&self, measured: &Measured) -> Figure {
        if let Some(Worst { value, plays }) = self.played.and_then(|played| measured.worst(played)) {
            let ratio = self.budget.map(|budget| value / budget);
            return Figure { value: Some(value), ratio, basis: Basis::Played(plays) };
        }
        let mut value = self.plain;
        let mut past = self.past;
        let mut missing: Vec<String> = Vec::new();
        for &Term { slope, read, times } in &self.terms {
            match measured.read_as(slope, read) {
                Some(CostAt { cost, times_past }) => {
                    value += cost * times;
                    past = past.max(times_past);
                }
                None => {
                    let gap = measured.gap(slope);
                    if !missing.contains(&gap) {
                        missing.push(gap);
                    }
                }
            }
        }
        let (value, basis) = match (missing.is_empty(), self.instead) {
            (true, _) if self.terms.is_empty() => (Some(value), Basis::Reckoned(Vec::new())),
            (true, _) if past > 1.0 => (Some(value), Basis::Extrapolated(past)),
            (true, _) => (Some(value), Basis::Measured),
            (false, Some(instead)) => (Some(instead), Basis::Reckoned(missing)),
            (false, None) => (None, Basis::NotMeasured(missing)),
        };
        let ratio = value.zip(self.budget).map(|(value, budget)| value / budget);
        Figure { value, ratio, basis }
    }
}
