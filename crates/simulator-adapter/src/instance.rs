//! An instance: a balancer, the names in its settings and its requests.

use std::io::{self, Write};

use balancer_policy::interface::{RequestId, SettingsError, Time};
use balancer_policy::{Action, Balancer, Event};
use balancer_settings::{Loaded, Names};

use crate::action::{request_of, write_action};
use crate::requests::RequestTable;

/// A balancer of the simulator.
pub struct Instance {
    balancer: Balancer,
    pub names: Names,
    pub requests: RequestTable,
}

impl Instance {
    /// Starts a balancer; what it asks for goes to `actions`.
    pub fn start(
        loaded: Loaded,
        seed: u64,
        now: Time,
        actions: &mut Vec<Action>,
    ) -> Result<Self, SettingsError> {
        let Loaded { settings, names, .. } = loaded;
        let mut balancer = Balancer::new(settings, seed)?;
        balancer.handle(now, Event::Started, actions);
        Ok(Self { balancer, names, requests: RequestTable::default() })
    }

    /// Hands an event over; what the balancer asks for goes to `actions`, which are written before the next event.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        let ended = request_ended(&event);
        self.balancer.handle(now, event, actions);
        for action in &*actions {
            self.track(action);
        }
        // Else it is removed once the actions are written, which may still name it.
        if let Some(id) = ended
            && actions.is_empty()
        {
            self.requests.remove_if_over(id);
        }
    }

    /// Keeps the requests in step with what the balancer has asked for.
    fn track(&mut self, action: &Action) {
        match *action {
            Action::Send { request, .. } => self.requests.attempt_sent(request),
            Action::Refuse { request, .. } | Action::Fail { request } => self.requests.ended(request),
            _ => {}
        }
    }

    /// Writes the actions.
    pub fn write(
        &mut self,
        actions: impl Iterator<Item = Action>,
        output: &mut impl Write,
    ) -> io::Result<()> {
        for action in actions {
            write_action(&self.requests, &action, output)?;
            if let Some(id) = request_of(&action) {
                self.requests.remove_if_over(id);
            }
        }
        Ok(())
    }
}

/// The request that may be over with an event.
fn request_ended(event: &Event) -> Option<RequestId> {
    match *event {
        Event::ClientLeft(id) | Event::AttemptEnded { request: id, .. } => Some(id),
        _ => None,
    }
}
