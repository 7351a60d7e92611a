//! The report of a simulation run: counts by second and by depth, the signals of the balancers, and violations of
//! invariants.

/// Counts of the client calls that arrived in one second, by how they ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Second {
    /// Number of client calls that arrived in this second.
    pub calls: u64,
    /// Number of client calls of this second that were served within the latency objective.
    pub served: u64,
    /// Number of client calls of this second that were served after the latency objective but within the deadline.
    pub late: u64,
    /// Number of client calls of this second that were refused, after all retries of the client.
    pub refused: u64,
    /// Number of client calls of this second that failed, after all retries of the client.
    pub failed: u64,
}

/// Counts of the calls and attempts to the services at one depth.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Depth {
    /// Number of calls that arrived at the balancers that call this depth.
    pub calls: u64,
    /// Number of attempts that the balancers that call this depth sent.
    pub attempts: u64,
    /// Number of attempts that reached a running upstream of this depth.
    pub reached: u64,
    /// Number of calls that the balancers that call this depth refused.
    pub refused: u64,
    /// Number of calls that the balancers that call this depth refused without sending an attempt.
    pub denied: u64,
    /// Number of calls that the balancers that call this depth ended as failed.
    pub failed: u64,
    /// Sum over all calls to this depth of the time from the arrival at the balancer until the call's deadline, in
    /// seconds.
    pub left_s: f64,
    /// Number of attempts to this depth by outcome: success, error, refused by the upstream, timed out, not connected,
    /// connection reset.
    pub ends: [u64; 6],
}

/// Number of balancers that reported each signal, in one sample.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Signals {
    /// Time of the sample, in virtual seconds from the start of the run.
    pub at_s: u64,
    /// Number of balancers that were running when the sample was taken.
    pub cores: usize,
    /// Number of balancers that have reduced their limit on all calls together.
    pub limited: usize,
    /// Number of balancers that have ejected at least one upstream.
    pub ejected: usize,
    /// Number of balancers with a congested upstream.
    pub congested: usize,
}

/// Counts of violated invariants; every count is 0 in a correct run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Faults {
    /// Number of calls that got no answer although their balancer was running.
    pub unanswered: u64,
    /// Number of calls that got more than one answer.
    pub answered_twice: u64,
    /// Number of non-idempotent calls that upstreams executed more than once.
    pub run_twice: u64,
    /// Number of attempts to an upstream sent after the drain grace period, counted from when the balancer was notified
    /// that the upstream is draining or removed.
    pub after_grace: u64,
}

/// Figures collected during a simulation run.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// Counts of client calls, by the second in which they arrived.
    pub seconds: Vec<Second>,
    /// Counts of calls and attempts by depth, starting with the services that clients call directly.
    pub depths: Vec<Depth>,
    /// Number of upstream processes that crashed from overload while they were warming up.
    pub overload_crashes: u64,
    /// Number of upstream processes that started cold.
    pub cold_starts: u64,
    /// Number of endpoint list updates that all balancers received.
    pub lists: u64,
    /// Samples of the balancers' signals, one a second.
    pub signals: Vec<Signals>,
    /// Counts of violated invariants.
    pub faults: Faults,
    /// Number of attempts that crossed zones within a region.
    pub crossed_zones: u64,
    /// Number of attempts that crossed regions.
    pub crossed_regions: u64,
    /// Histogram of the times from a client's call to its successful answer, in us. The buckets are logarithmic, with
    /// eight buckets to a power of two.
    pub times: Vec<u64>,
    /// Number of decision cores at the start of the run.
    pub cores: usize,
    /// Number of simulation events processed in the run.
    pub events: u64,
    /// Hash over all simulation events and balancer actions; equal for two runs that made the same decisions.
    pub digest: u64,
    /// Maximum resident memory of the simulating process during the run, in MB.
    pub memory_mb: u64,
}

impl Report {
    /// The latency of the successful calls at `quantile` (0 to 1), in seconds: the upper bound of its histogram
    /// bucket.
    #[must_use]
    pub fn time(&self, quantile: f64) -> f64 {
        let all: u64 = self.times.iter().sum();
        let mut sum = 0;
        for (place, count) in self.times.iter().enumerate() {
            sum += count;
            if sum as f64 >= quantile * all as f64 {
                return 2f64.powf((place as f64 + 1.0) / 8.0) / 1e6;
            }
        }
        0.0
    }
}
