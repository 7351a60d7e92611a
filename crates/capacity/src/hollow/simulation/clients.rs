//! The model of clients: the fronts that their calls arrive at, their retries, and how each call is counted at its end.

use super::event::ScheduledEvent;
use super::report::Second;
use super::state::{CallSource, Client, End};
use super::{FleetSimulation, IdempotencyFractions, ns};
use crate::hollow::topology::place;

/// Default fractions of the clients' calls by idempotency class.
const DEFAULT_IDEMPOTENCY_FRACTIONS: IdempotencyFractions = IdempotencyFractions { free: 0.7, keyed: 0.15 };
/// Minimum pause of a client before a retry, in virtual seconds; the pause is drawn between this and twice as long.
const RETRY_PAUSE_MIN_S: f64 = 0.1;

impl FleetSimulation<'_> {
    /// Starts a client call, and schedules the next one after an exponentially distributed gap (a Poisson process)
    /// unless that is at `last` (ns) or later.
    pub(super) fn next_client(&mut self, last: u64) {
        let gap = -(1.0 - self.rng.rand_float()).ln() / self.topology.front_per_s;
        let next = self.now + ns(gap).max(1);
        if next < last {
            self.scheduled.push(next, ScheduledEvent::Client);
        }
        self.start_client_call();
    }

    /// Draws the properties of a new client call and sends it.
    fn start_client_call(&mut self) {
        let topology = self.topology;
        let mut zone = place(topology.clients.iter().copied(), self.rng.rand_float());
        // Clients of a failed zone call the fronts of the next zone.
        if self.failed_zone == Some(zone) {
            zone = (zone + 1) % topology.region_of.len();
        }
        let here: Vec<usize> =
            (0..topology.fronts.len()).filter(|&front| topology.fronts[front] == zone).collect();
        let front = here[self.rng.rand_range(0..here.len() as u64) as usize];
        let entry = place(topology.entries.iter().map(|entry| entry.until), self.rng.rand_float());
        let hops_left = 1 + place(topology.chain_lengths.iter().copied(), self.rng.rand_float());
        let draw = self.rng.rand_float();
        let IdempotencyFractions { free, keyed } =
            self.parameters.idempotency_fractions.unwrap_or(DEFAULT_IDEMPOTENCY_FRACTIONS);
        let class = u8::from(draw >= free) + u8::from(draw >= free + keyed);
        let client = Client {
            first_sent: self.now,
            front: front as u32,
            entry: entry as u32,
            tenant: place(self.tenants.iter().copied(), self.rng.rand_float()) as u32,
            class,
            hops_left: hops_left as u8,
            tries: 0,
            executions: 0,
            answered: false,
        };
        let second = (self.now / 1_000_000_000) as usize;
        if self.report.seconds.len() <= second {
            self.report.seconds.resize(second + 1, Second::default());
        }
        self.report.seconds[second].calls += 1;
        let number = if let Some(number) = self.clients_free.pop() {
            self.clients[number as usize] = client;
            number
        } else {
            self.clients.push(client);
            self.clients.len() as u32 - 1
        };
        self.call(number);
    }

    /// Sends the first attempt or a retry of a client's call to its front.
    pub(super) fn call(&mut self, number: u32) {
        let client = &mut self.clients[number as usize];
        client.tries += 1;
        let Client { first_sent, front, entry, class, hops_left, .. } = *client;
        let deadline = first_sent + ns(self.plan.traffic.deadline_s.value);
        if !self.front_up[front as usize] {
            return self.client_answered(number, End::Failed);
        }
        let core = self.fronts[front as usize][entry as usize];
        self.start_call(core, CallSource::Client(number), class, hops_left, deadline);
    }

    /// Handles the answer to a client: schedules a retry, or counts the call as ended.
    pub(super) fn client_answered(&mut self, number: u32, end: End) {
        let now = self.now;
        let client = &mut self.clients[number as usize];
        if client.answered {
            self.report.faults.answered_twice += 1;
            return;
        }
        let pause = ns(RETRY_PAUSE_MIN_S * (1.0 + self.rng.rand_float()));
        let Client { first_sent, class, tries, .. } = *client;
        let deadline = first_sent + ns(self.plan.traffic.deadline_s.value);
        let may_retry = end == End::Refused || (end == End::Failed && class < 2);
        if may_retry && tries <= self.parameters.max_client_retries && now + pause < deadline {
            return self.scheduled.push(now + pause, ScheduledEvent::ClientRetry(number));
        }
        client.answered = true;
        if class == 2 && client.executions > 1 {
            self.report.faults.run_twice += 1;
        }
        let took = now - first_sent;
        let second = &mut self.report.seconds[(first_sent / 1_000_000_000) as usize];
        match end {
            End::Good if took <= ns(self.plan.traffic.aim_s.value) => second.served += 1,
            End::Good => second.late += 1,
            End::Refused => second.refused += 1,
            End::Failed => second.failed += 1,
        }
        if end == End::Good {
            let place = ((took as f64 / 1e3).max(1.0).log2() * 8.0) as usize;
            let last = self.report.times.len() - 1;
            self.report.times[place.min(last)] += 1;
        }
        self.clients_free.push(number);
    }
}
