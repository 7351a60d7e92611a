//! What a run of the fleet gives: counts by second and by depth, what balancers signalled, and violations of what must
//! always hold.

/// Clients' calls that came in one second, by how they ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Second {
    /// Calls.
    pub calls: u64,
    /// Served within the latency objective.
    pub served: u64,
    /// Served within the deadline.
    pub late: u64,
    /// Refused in the end.
    pub refused: u64,
    /// Failed in the end.
    pub failed: u64,
}

/// What happened at one depth.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Depth {
    /// Calls that came to the balancers in front of it.
    pub calls: u64,
    /// Attempts that they sent.
    pub attempts: u64,
    /// Attempts that reached a service there.
    pub reached: u64,
    /// Calls that they refused.
    pub refused: u64,
    /// Of these, those without an attempt.
    pub denied: u64,
    /// Calls that they ended as failed.
    pub failed: u64,
    /// Time that the calls had left, in seconds, as a sum.
    pub left_s: f64,
    /// Attempts by how they ended: good, error, refused, timed out, not connected, broken.
    pub ends: [u64; 6],
}

/// How many balancers signalled what, at one second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Signals {
    /// The second.
    pub at_s: u64,
    /// Balancers.
    pub cores: usize,
    /// Those with a limit cut.
    pub limited: usize,
    /// Those that have ejected an upstream of theirs.
    pub ejected: usize,
    /// Those with a congested upstream.
    pub congested: usize,
}

/// What must never be.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Faults {
    /// Calls that got no answer although their balancer lived.
    pub unanswered: u64,
    /// Calls that got more than one.
    pub doubled: u64,
    /// Calls that must not run twice and did.
    pub run_twice: u64,
    /// Attempts to an upstream whose balancer had been told for longer than the grace that it drains or is gone.
    pub after_grace: u64,
}

/// What a run gave.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// Clients' calls by the second in which they came.
    pub seconds: Vec<Second>,
    /// By depth, the front first.
    pub depths: Vec<Depth>,
    /// Cold processes that fell over.
    pub pushed_over: u64,
    /// Processes that started cold.
    pub cold_starts: u64,
    /// List events that balancers took in.
    pub lists: u64,
    /// By the second.
    pub signals: Vec<Signals>,
    /// Of what must never be.
    pub faults: Faults,
    /// Attempts that crossed zones within a region.
    pub crossed_zones: u64,
    /// Attempts that crossed regions.
    pub crossed_regions: u64,
    /// Times from a client's call to its good answer, in us, by power of two and eighths.
    pub times: Vec<u64>,
    /// Decision cores at the start.
    pub cores: usize,
    /// Events of the run.
    pub events: u64,
    /// Over all events and actions.
    pub digest: u64,
    /// Resident memory at most, in MB.
    pub memory_mb: u64,
}

impl Report {
    /// The time within which a part of the good answers came, in seconds.
    #[must_use]
    pub fn time(&self, part: f64) -> f64 {
        let all: u64 = self.times.iter().sum();
        let mut sum = 0;
        for (place, count) in self.times.iter().enumerate() {
            sum += count;
            if sum as f64 >= part * all as f64 {
                return 2f64.powf((place as f64 + 1.0) / 8.0) / 1e6;
            }
        }
        0.0
    }
}
