//! Makes the rows of one role: what its needs have in common is said once.

use super::mechanism::Mechanism;
use super::need::{Cost, Need, Requirement, Term};

/// Makes the rows of one role.
pub(super) struct Role<'a> {
    pub(super) name: &'static str,
    pub(super) mechanism: Mechanism,
    pub(super) requirement: Requirement,
    pub(super) rows: &'a mut Vec<Need>,
}

impl Role<'_> {
    pub(super) fn row(
        &mut self,
        cost: Cost,
        formula: &'static str,
        unit: &'static str,
        plain: f64,
        terms: &[Term],
        budget: Option<f64>,
    ) -> &mut Need {
        // What counts for nothing on this occasion need not be measured for it.
        let terms = terms.iter().copied().filter(|term| term.times != 0.0).collect();
        self.rows.push(Need {
            role: self.name,
            cost,
            formula,
            unit,
            plain,
            terms,
            played: None,
            past: 1.0,
            instead: None,
            budget,
            mechanism: self.mechanism,
            requirement: self.requirement,
        });
        let last = self.rows.len() - 1;
        &mut self.rows[last]
    }
}
