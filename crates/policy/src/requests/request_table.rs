//! The requests that are not over.

use std::sync::Arc;

use rustc_hash::FxHashMap;

use crate::interface::{Action, AttemptNumber, Class, ClassId, RequestId, Settings};
use crate::requests::attempt::Attempt;

#[derive(Debug)]
pub struct PendingRequest {
    /// Those that it was taken under: no later ones let more of its attempts run.
    pub settings: Arc<Settings>,
    pub class: ClassId,
    pub tenant: usize,
    pub arrived: f64,
    pub deadline: f64,
    pub attempts: Vec<Attempt>,
    /// Time that they spent without a connection.
    pub connecting: f64,
    pub in_flight: u32,
    pub closed: bool,
    pub streaming: bool,
}

impl PendingRequest {
    pub fn rules(&self) -> &Class {
        &self.settings.classes[self.class.0]
    }

    /// The time until which an answer is worth waiting for.
    pub fn useful_until(&self) -> f64 {
        let aim = self.arrived + self.rules().aim.as_secs_f64();
        // Where no deadline is passed on, a caller's slot would be held for a client long gone.
        let blind = self.settings.tier > 0 && !self.settings.passes_deadline;
        if self.rules().late_worth > 0.0 && !blind { self.deadline } else { self.deadline.min(aim) }
    }

    /// The first attempt not proved never to have run: it binds those that follow.
    pub fn first_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.ended.is_none_or(|outcome| !outcome.never_ran()))
    }

    /// Calls off the attempts still out, but for the one to keep.
    pub fn withdraw(&mut self, id: RequestId, keep: Option<AttemptNumber>, actions: &mut Vec<Action>) {
        for (number, attempt) in (0..).map(AttemptNumber).zip(&mut self.attempts) {
            if Some(number) != keep && attempt.ended.is_none() && !attempt.withdrawn {
                attempt.withdrawn = true;
                actions.push(Action::Withdraw { request: id, attempt: number });
            }
        }
    }
}

/// The requests held, and the budgets for further attempts.
#[derive(Debug, Default)]
pub struct RequestTable {
    pub by_id: FxHashMap<RequestId, PendingRequest>,
    /// What is saved up for repeats and for reroutes.
    pub budgets: [f64; 2],
}
