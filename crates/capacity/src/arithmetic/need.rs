//! Needs of the roles: how the figure of a need is calculated from the plan and the measured slopes, and on which basis
//! it rests.

use super::measured::{CostAt, Measured, WorstRun};
use super::mechanism::Mechanism;

/// Kind of cost that a row counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cost {
    /// Bytes or entries that have to be stored.
    State,
    /// Data or calls that go over the role's connections.
    Messages,
    /// Processor time, in cores.
    Processor,
    /// Memory, in MB.
    Memory,
    /// Time until a state is reached, time added to a call, or time left of its deadline.
    Time,
    /// Attempts that one call at the front causes at the deepest tier.
    Repeats,
    /// Calls that are refused or fail.
    Refusals,
    /// Process restarts.
    Restarts,
}

impl Cost {
    /// Returns the name of the kind of cost on the generated page.
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

/// Requirement on the fleet. The needs of several roles can belong to one requirement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Requirement {
    /// A configuration change is in force everywhere in time and without a restart.
    Configuration,
    /// Upstream lists reach every balancer, also all balancers at once.
    Lists,
    /// Repeated attempts stay bounded over all tiers.
    Repeats,
    /// The time that a balancer adds to a call stays within its limit.
    Added,
    /// One process carries its rate of calls.
    Calls,
    /// The control traffic of one balancer stays within its budget.
    Control,
}

impl Requirement {
    /// Returns the description of the requirement on the generated page.
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

/// Way of reading a cost from a slope.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SlopeRead {
    /// The cost at this size.
    At(f64),
    /// The cost at this size, minus the cost at the smallest measured size.
    AboveSmallest(f64),
    /// The cost of one additional unit of size: the gradient of the linear fit, or 0 if it is negative.
    Marginal,
}

/// Part of a need that is calculated from a measured slope.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Term {
    /// Name of the slope.
    pub slope: &'static str,
    /// Way of reading the cost from the slope.
    pub read: SlopeRead,
    /// Factor on the cost, including the conversion from the slope's unit to the unit of the need.
    pub factor: f64,
}

impl Term {
    /// Creates the term that reads the cost of `slope` as `read` says and multiplies the cost by `factor`.
    pub(super) const fn of(slope: &'static str, read: SlopeRead, factor: f64) -> Self {
        Self { slope, read, factor }
    }
}

/// Reference to a figure of a result table. The figure is the largest value over the runs in the matching rows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ScenarioRuns {
    /// Name of the result table.
    pub results: &'static str,
    /// Text of the first cell of the matching rows.
    pub row: &'static str,
    /// Heading of the column that holds the figure.
    pub column: &'static str,
    /// Factor on the figure, including the conversion from the table's unit to the unit of the need.
    pub factor: f64,
}

/// Need of a role for one kind of cost: a row of the page.
#[derive(Debug, Clone, PartialEq)]
pub struct Need {
    /// Name of the role that has the need.
    pub role: &'static str,
    /// Kind of cost that the role needs.
    pub cost: Cost,
    /// Description of how the figure is calculated, as the page shows it.
    pub formula: &'static str,
    /// Result of scenario runs that measured the figure directly; if present, it takes precedence over `terms`.
    pub scenario_runs: Option<ScenarioRuns>,
    /// Unit of the figure.
    pub unit: &'static str,
    /// Part of the figure that follows from the plan alone.
    pub from_plan: f64,
    /// Parts of the figure that are calculated from measured slopes.
    pub terms: Vec<Term>,
    /// Extrapolation factor in a dimension other than the sizes of the slopes, such as the call rate: the ratio of the
    /// need's value to the measured one, 1 where it is not beyond.
    pub extrapolation_ratio: f64,
    /// Estimate of the figure from the plan alone, used where a slope is missing.
    pub estimate: Option<f64>,
    /// Budget of the figure in its unit; `None` where no budget is set.
    pub budget: Option<f64>,
    /// Mechanism that provides for the need.
    pub mechanism: Mechanism,
    /// Requirement that the need belongs to.
    pub requirement: Requirement,
}

/// Basis of a figure.
#[derive(Debug, Clone, PartialEq)]
pub enum Basis {
    /// Calculated from the plan alone; the field describes the missing slopes in whose place it was calculated, if any.
    Calculated(Vec<String>),
    /// Measured directly in scenario runs; the field is the number of runs, of which the figure is the largest value.
    ScenarioRuns(usize),
    /// Calculated from slopes, without extrapolation beyond the measured sizes.
    Measured,
    /// Extrapolated with linear fits; the field is the largest ratio to a measured size or rate.
    Extrapolated(f64),
    /// Not calculated, because slopes are missing; the field describes them.
    NotMeasured(Vec<String>),
}

/// Calculated figure of a need, with its basis.
#[derive(Debug, Clone, PartialEq)]
pub struct Figure {
    /// Value of the figure in the unit of the need; `None` if it is not measured.
    pub value: Option<f64>,
    /// Ratio of the value to the budget; `None` without a value or a budget.
    pub ratio: Option<f64>,
    /// Basis of the value.
    pub basis: Basis,
}

impl Need {
    /// Describes the circumstances in which the figure would no longer hold.
    #[must_use]
    pub fn validity_limits(&self) -> &'static str {
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

    /// Calculates the figure of the need from the measurements.
    #[must_use]
    pub fn figure(&self, measured: &Measured) -> Figure {
        if let Some(WorstRun { value, runs }) =
            self.scenario_runs.and_then(|scenario_runs| measured.worst(scenario_runs))
        {
            let ratio = self.budget.map(|budget| value / budget);
            return Figure { value: Some(value), ratio, basis: Basis::ScenarioRuns(runs) };
        }
        let mut value = self.from_plan;
        let mut extrapolation_ratio = self.extrapolation_ratio;
        let mut missing: Vec<String> = Vec::new();
        for &Term { slope, read, factor } in &self.terms {
            match measured.cost_of(slope, read) {
                Some(CostAt { cost, size_ratio }) => {
                    value += cost * factor;
                    extrapolation_ratio = extrapolation_ratio.max(size_ratio);
                }
                None => {
                    let missing_slope = measured.missing_slope(slope);
                    if !missing.contains(&missing_slope) {
                        missing.push(missing_slope);
                    }
                }
            }
        }
        let (value, basis) = match (missing.is_empty(), self.estimate) {
            (true, _) if self.terms.is_empty() => (Some(value), Basis::Calculated(Vec::new())),
            (true, _) if extrapolation_ratio > 1.0 => (Some(value), Basis::Extrapolated(extrapolation_ratio)),
            (true, _) => (Some(value), Basis::Measured),
            (false, Some(estimate)) => (Some(estimate), Basis::Calculated(missing)),
            (false, None) => (None, Basis::NotMeasured(missing)),
        };
        let ratio = value.zip(self.budget).map(|(value, budget)| value / budget);
        Figure { value, ratio, basis }
    }
}
