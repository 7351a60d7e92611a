//! An instance: a balancer, the names in its settings and its requests.
//!
//! The simulator starts, kills and restarts many in one process; each has its own names and ids, and shares
//! nothing with the others but the endpoint lists. The module owns the balancer, names and requests of one.

use std::io::{self, Write};

use balancer_policy::interface::{RequestId, SettingsError, Time};
use balancer_policy::{Action, Balancer, Event};
use balancer_settings::{Loaded, Names};

use crate::action::{request_id, write_action};
use crate::requests::RequestTable;

/// A balancer of the simulator.
pub struct Instance {
    balancer: Balancer,
    /// Names in its settings, for what is read from the wire.
    pub names: Names,
    /// Requests by their ids.
    pub requests: RequestTable,
}

impl Instance {
    /// Starts a balancer; its first actions are added to `actions`.
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

    /// Hands an event over; the actions that answer it go to `actions`, which are written before the next
    /// event.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        let ended = maybe_ended_request(&event);
        self.balancer.handle(now, event, actions);
        for action in &*actions {
            self.track(action);
        }
        // Actions that follow these events name the request: then it is removed once they are written.
        if let Some(id) = ended
            && actions.is_empty()
        {
            self.requests.remove_if_finished(id);
        }
    }

    /// Keeps the requests in step with the actions of the balancer.
    fn track(&mut self, action: &Action) {
        match *action {
            Action::Send { request, .. } => self.requests.attempt_sent(request),
            Action::Refuse { request, .. } | Action::Fail { request } => self.requests.ended(request),
            _ => {}
        }
    }

    /// Writes the actions, and removes requests that are over with them.
    pub fn write(
        &mut self,
        actions: impl Iterator<Item = Action>,
        output: &mut impl Write,
    ) -> io::Result<()> {
        for action in actions {
            write_action(&self.requests, &action, output)?;
            if let Some(id) = request_id(&action) {
                self.requests.remove_if_finished(id);
            }
        }
        Ok(())
    }
}

/// The request that may be over with an event.
fn maybe_ended_request(event: &Event) -> Option<RequestId> {
    match *event {
        Event::ClientDisconnected(id) | Event::AttemptEnded { request: id, .. } => Some(id),
        _ => None,
    }
}
