//! Makes the rows of one role: what its needs have in common is said once.

use super::mechanism::Mechanism;
use super::need::{Cost, Need, Read, Requirement, Term};

/// A slope, how it is read, and how often it counts.
pub(super) type Part = (&'static str, Read, f64);

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
        terms: &[Part],
        budget: Option<f64>,
    ) -> &mut Need {
        let terms = terms.iter().map(|&(slope, read, times)| Term { slope, read, times });
        // What counts for nothing on this occasion need not be measured for it.
        let terms = terms.filter(|term| term.times != 0.0).collect();
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
