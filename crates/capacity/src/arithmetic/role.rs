//! Builder for the rows of one role, which holds what the needs of the role have in common.

use super::mechanism::Mechanism;
use super::need::{Cost, Need, Requirement, Term};

/// Builder for the rows of one role.
pub(super) struct Role<'a> {
    /// Name of the role.
    pub(super) name: &'static str,
    /// Mechanism that provides for the needs that are added next.
    pub(super) mechanism: Mechanism,
    /// Requirement that the needs that are added next belong to.
    pub(super) requirement: Requirement,
    /// Rows of all roles, to which the needs are appended.
    pub(super) rows: &'a mut Vec<Need>,
}

impl Role<'_> {
    /// Appends a need without a direct measurement, an extrapolation factor or an estimate, and returns it so that the
    /// caller can set these.
    pub(super) fn row(
        &mut self,
        cost: Cost,
        formula: &'static str,
        unit: &'static str,
        from_plan: f64,
        terms: &[Term],
        budget: Option<f64>,
    ) -> &mut Need {
        // A term with factor 0 in this load scenario adds nothing, so its slope need not be measured for it.
        let terms = terms.iter().copied().filter(|term| term.factor != 0.0).collect();
        self.rows.push(Need {
            role: self.name,
            cost,
            formula,
            unit,
            from_plan,
            terms,
            scenario_runs: None,
            extrapolation_ratio: 1.0,
            estimate: None,
            budget,
            mechanism: self.mechanism,
            requirement: self.requirement,
        });
        let last = self.rows.len() - 1;
        &mut self.rows[last]
    }
}
