//! Slopes of the cost of balancers that watch the configuration.

use super::rig::{Rig, Samples, SlopeInfo};
use crate::CapacityError;

mod relay;

use self::relay::RelayMeasurement;

/// Value of `--part` that measures watches of the configuration.
const PART: &str = "configuration";

/// Unit of the sizes of the slopes by watchers.
const BALANCERS: &str = "balancers at the relay";
/// Note of the slopes that are measured while the configuration does not change.
const AT_REST_NOTE: &str = "One relay below an origin, balancers a hundred to a process, all on one machine. At rest: a sign of life every 2 s \
     and a report of what is in force every 5 s, on a connection of its own; payload both ways with the heads \
     of HTTP, without those of TCP/IP.";
/// Note of the slopes that are measured over changes of the configuration.
const CHANGE_NOTE: &str = "Changes of the fleet's document, told to every balancer, one after another; a play is a change. From the \
     acknowledgement where nothing else is said. One relay below an origin, all on one machine: a fleet's \
     zone relays share this work.";

const REST_BYTES: SlopeInfo = SlopeInfo {
    name: "control.configuration_rest_bytes_per_s_by_watchers",
    what: "bytes a second of all watches of the configuration together, with their reports, while nothing changes",
    x: BALANCERS,
    y: "bytes/s",
    note: AT_REST_NOTE,
};
const SERVER_CORE: SlopeInfo = SlopeInfo {
    name: "control.configuration_server_core_by_watchers",
    what: "share of a core of a relay while nothing changes",
    x: BALANCERS,
    y: "core",
    note: AT_REST_NOTE,
};
const SERVER_MEMORY: SlopeInfo = SlopeInfo {
    name: "control.configuration_server_kb_by_watchers",
    what: "memory of a relay",
    x: BALANCERS,
    y: "KiB",
    note: AT_REST_NOTE,
};
const CLIENT_CORE: SlopeInfo = SlopeInfo {
    name: "control.configuration_client_core_by_watchers",
    what: "share of a core of all clients of the configuration together while nothing changes",
    x: BALANCERS,
    y: "core",
    note: AT_REST_NOTE,
};
const CLIENT_MEMORY: SlopeInfo = SlopeInfo {
    name: "control.configuration_client_kb_by_watchers",
    what: "memory of all clients of the configuration together, with their processes",
    x: BALANCERS,
    y: "KiB",
    note: AT_REST_NOTE,
};
const CHANGE_MEDIAN: SlopeInfo = SlopeInfo {
    name: "control.change_p50_ms_by_watchers",
    what: "time from a change's acknowledgement until it is in force at half of the balancers",
    x: BALANCERS,
    y: "ms",
    note: CHANGE_NOTE,
};
const CHANGE_P99: SlopeInfo = SlopeInfo {
    name: "control.change_p99_ms_by_watchers",
    what: "time from a change's acknowledgement until it is in force at 99 in 100 balancers",
    x: BALANCERS,
    y: "ms",
    note: CHANGE_NOTE,
};
const CHANGE_LAST: SlopeInfo = SlopeInfo {
    name: "control.change_last_ms_by_watchers",
    what: "time from a change's acknowledgement until it is in force at the last balancer",
    x: BALANCERS,
    y: "ms",
    note: CHANGE_NOTE,
};
const CHANGE_SENT_LAST: SlopeInfo = SlopeInfo {
    name: "control.change_sent_last_ms_by_watchers",
    what: "time from a change's sending until it is in force at the last balancer",
    x: BALANCERS,
    y: "ms",
    note: CHANGE_NOTE,
};
const CHANGE_BYTES: SlopeInfo = SlopeInfo {
    name: "control.configuration_change_bytes_by_watchers",
    what: "bytes of one change to all balancers, with their reports, less those at rest",
    x: BALANCERS,
    y: "bytes",
    note: CHANGE_NOTE,
};
const CHANGE_SERVER_TIME: SlopeInfo = SlopeInfo {
    name: "control.configuration_change_server_us_by_watchers",
    what: "processor time of a relay for one change to all balancers, with their reports, less that at rest",
    x: BALANCERS,
    y: "us",
    note: CHANGE_NOTE,
};
const CHANGE_CLIENT_TIME: SlopeInfo = SlopeInfo {
    name: "control.configuration_change_client_us_by_watchers",
    what: "processor time of all clients for one change, with their reports, less that at rest",
    x: BALANCERS,
    y: "us",
    note: CHANGE_NOTE,
};
const CATCH_UP_BYTES: SlopeInfo = SlopeInfo {
    name: "control.configuration_catch_up_bytes_by_changes",
    what: "bytes of a relay that asks the origin from where it stood, to the changes that it missed",
    x: "changes missed, each of another document",
    y: "bytes",
    note: "Merged to the newest. A parent that came up after the index asked from tells the whole instead. A balancer has three \
     documents at most, however many changes it missed.",
};

impl Rig<'_> {
    /// Measures watches of the configuration at one relay below an origin, and writes their slopes.
    pub(super) fn configuration(&self) -> Result<(), CapacityError> {
        let mut all = Measured::default();
        for &watchers in &self.sizes {
            RelayMeasurement::start(self, watchers)?.run(&mut all)?;
        }
        self.write_rest(&all)?;
        self.write_changes(&all)?;
        self.write(PART, &all.catch_up, CATCH_UP_BYTES)
    }

    /// Writes the slopes that were measured while the configuration did not change.
    fn write_rest(&self, all: &Measured) -> Result<(), CapacityError> {
        self.write(PART, &all.rest_bytes, REST_BYTES)?;
        self.write(PART, &all.server_core, SERVER_CORE)?;
        self.write(PART, &all.server_kb, SERVER_MEMORY)?;
        self.write(PART, &all.client_core, CLIENT_CORE)?;
        self.write(PART, &all.client_kb, CLIENT_MEMORY)
    }

    /// Writes the slopes that were measured over changes of the configuration.
    fn write_changes(&self, all: &Measured) -> Result<(), CapacityError> {
        self.write(PART, &all.p50, CHANGE_MEDIAN)?;
        self.write(PART, &all.p99, CHANGE_P99)?;
        self.write(PART, &all.last, CHANGE_LAST)?;
        self.write(PART, &all.sent_last, CHANGE_SENT_LAST)?;
        self.write(PART, &all.change_bytes, CHANGE_BYTES)?;
        self.write(PART, &all.change_server_us, CHANGE_SERVER_TIME)?;
        self.write(PART, &all.change_client_us, CHANGE_CLIENT_TIME)
    }
}

/// Samples of all figures of balancers that watch the configuration, by the number of balancers or of missed changes.
#[derive(Default)]
struct Measured {
    rest_bytes: Samples,
    server_core: Samples,
    server_kb: Samples,
    client_core: Samples,
    client_kb: Samples,
    p50: Samples,
    p99: Samples,
    last: Samples,
    sent_last: Samples,
    change_bytes: Samples,
    change_server_us: Samples,
    change_client_us: Samples,
    catch_up: Samples,
}
