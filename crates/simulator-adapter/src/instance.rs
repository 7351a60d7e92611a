//! An instance: its balancer, and the ids of its requests on the wire.

use balancer_policy::Balancer;
use balancer_policy::interface::RequestId;
use balancer_settings::Names;
use rustc_hash::FxHashMap;

pub struct Instance {
    pub balancer: Balancer,
    pub names: Names,
    pub ids: FxHashMap<Box<str>, RequestId>,
    pub tickets: FxHashMap<RequestId, Ticket>,
    pub next_id: u64,
}

/// A request's id on the wire, kept until nothing can name it any more.
pub struct Ticket {
    pub text: Box<str>,
    pub out: u32,
    pub ended: bool,
}

impl Instance {
    pub fn release(&mut self, id: RequestId) {
        if let Some(ticket) = self.tickets.get(&id)
            && ticket.ended
            && ticket.out == 0
        {
            self.ids.remove(&ticket.text);
            self.tickets.remove(&id);
        }
    }
}
