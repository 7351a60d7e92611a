//! Slopes of the cost of watches of the endpoint list.

use std::time::{Duration, Instant};

use super::TIMEOUT;
use super::list_client::{Client, catch_up_bytes};
use super::rig::{Rig, Samples, SlopeInfo};
use crate::CapacityError;
use crate::sockets::hollow_processes::HollowProcesses;
use crate::sockets::list::ListServer;
use crate::sockets::machine;

/// Value of `--part` that measures watches of the endpoint list.
const PART: &str = "list";
/// Number of snapshots, and of changes of the endpoint list, that one client receives, over which its CPU time is
/// averaged.
const TURNS: u32 = 20;
/// Like [`TURNS`], in a small run.
const TURNS_SMALL: u32 = 2;
/// Numbers of endpoint list changes that a watch has missed when it reconnects, each measured once.
const MISSED_CHANGES: [usize; 6] = [1, 3, 10, 30, 100, 300];

/// Note of the slopes of the bytes of one watch of the endpoint list.
const BYTES_NOTE: &str = "Payload of the connection both ways, heads of HTTP included, those of TCP/IP not. The server is a \
     stand-in in the platform's form: the platform's own may write other heads, chunks and entries.";
/// Note of the slopes of the CPU time of one endpoint list client.
const CLIENT_TIME_NOTE: &str = "Processor time of the client's thread with the decisions, from the socket on, less that of the same \
     time at rest; one list or change every 30 ms.";
/// Note of the slopes of the connections and of the list server while the endpoint list does not change.
const AT_REST_NOTE: &str = "An empty line every 2 s to each watch, 6 bytes as a chunk; heads of TCP/IP (some 100 bytes a beat with the \
     acknowledgement) are not counted. The server is a stand-in: the platform's own is not told by it.";
/// Note of the slopes of many endpoint list clients while the list does not change.
const CLIENTS_NOTE: &str = "Each client is the balancer's own with its decisions, a hundred to a process, and a list of a \
     nineteenth of the fleet; with the sweeps of the decisions, the line of the log, and the part of the process.";

const WHOLE_BYTES: SlopeInfo = SlopeInfo {
    name: "control.list_whole_bytes_by_upstreams",
    what: "bytes of a watch of the list from its asking to the whole list",
    x: "upstreams in the list",
    y: "bytes",
    note: BYTES_NOTE,
};
const CATCH_UP_BYTES: SlopeInfo = SlopeInfo {
    name: "control.list_change_bytes_by_changes",
    what: "bytes of a watch of the list that asks from where it stood, to the changes that it missed",
    x: "changes missed, each of another upstream",
    y: "bytes",
    note: BYTES_NOTE,
};
const WHOLE_TIME: SlopeInfo = SlopeInfo {
    name: "control.list_client_us_by_upstreams",
    what: "processor time of a balancer to take in a whole list that comes on its watch",
    x: "upstreams in the list",
    y: "us",
    note: CLIENT_TIME_NOTE,
};
const CHANGE_TIME: SlopeInfo = SlopeInfo {
    name: "control.list_client_change_us_by_upstreams",
    what: "processor time of a balancer to take in a change of one upstream",
    x: "upstreams in the list",
    y: "us",
    note: CLIENT_TIME_NOTE,
};
const REST_BYTES: SlopeInfo = SlopeInfo {
    name: "control.list_rest_bytes_per_s_by_watchers",
    what: "bytes a second of all watches of the list together while nothing changes",
    x: "watches of the list",
    y: "bytes/s",
    note: AT_REST_NOTE,
};
const SERVER_CORE: SlopeInfo = SlopeInfo {
    name: "control.list_server_core_by_watchers",
    what: "share of a core of the stand-in list server while nothing changes",
    x: "watches of the list",
    y: "core",
    note: AT_REST_NOTE,
};
const SERVER_MEMORY: SlopeInfo = SlopeInfo {
    name: "control.list_server_kb_by_watchers",
    what: "memory that the stand-in list server grows by",
    x: "watches of the list",
    y: "KiB",
    note: AT_REST_NOTE,
};
const CLIENT_CORE: SlopeInfo = SlopeInfo {
    name: "control.list_client_core_by_watchers",
    what: "share of a core of all clients of the list together while nothing changes",
    x: "watches of the list",
    y: "core",
    note: CLIENTS_NOTE,
};
const CLIENT_MEMORY: SlopeInfo = SlopeInfo {
    name: "control.list_client_kb_by_watchers",
    what: "memory of all clients of the list together",
    x: "watches of the list",
    y: "KiB",
    note: CLIENTS_NOTE,
};

/// Samples of the cost of one client of the endpoint list, by list size.
#[derive(Default)]
struct ClientSamples {
    whole_bytes: Samples,
    whole_us: Samples,
    change_us: Samples,
}

/// Samples of the cost of many clients of the endpoint list while the list does not change, by number of watches.
#[derive(Default)]
struct IdleSamples {
    bytes: Samples,
    server_core: Samples,
    server_kb: Samples,
    client_core: Samples,
    client_kb: Samples,
}

impl Rig<'_> {
    /// Measures one client of the list at a time: the bytes of a snapshot and of a catch-up, and the CPU time to apply
    /// a snapshot and a change.
    pub(super) fn lists(&self) -> Result<(), CapacityError> {
        let one = self.measure_list_clients()?;
        let catch_up = self.measure_list_catch_up()?;
        self.write(PART, &one.whole_bytes, WHOLE_BYTES)?;
        self.write(PART, &catch_up, CATCH_UP_BYTES)?;
        self.write(PART, &one.whole_us, WHOLE_TIME)?;
        self.write(PART, &one.change_us, CHANGE_TIME)
    }

    /// Measures one endpoint list client with lists of all sizes.
    fn measure_list_clients(&self) -> Result<ClientSamples, CapacityError> {
        let mut all = ClientSamples::default();
        let turns = if self.window < Duration::from_secs(1) { TURNS_SMALL } else { TURNS };
        for &size in &self.sizes {
            let server = self.server(size)?;
            for run in 0..self.runs {
                let seed = self.seed + run as u64;
                let costs = Client { plan: self.plan, server: &server, seed }.run(turns)?;
                all.whole_bytes.add(size, costs.whole_bytes);
                all.whole_us.add(size, costs.whole_us);
                all.change_us.add(size, costs.change_us);
            }
        }
        Ok(all)
    }

    /// Measures the bytes of an endpoint list watch that reconnects after it has missed changes.
    fn measure_list_catch_up(&self) -> Result<Samples, CapacityError> {
        let mut catch_up = Samples::default();
        let largest = self.sizes[self.sizes.len() - 1];
        let server = self.server(largest)?;
        server.change(largest);
        for changes in MISSED_CHANGES.map(|changes| changes.min(largest)) {
            let since = server.index() - changes as u64;
            catch_up.add(changes, catch_up_bytes(&server, since)? as f64);
        }
        Ok(catch_up)
    }

    /// Measures many clients of the endpoint list while the list does not change.
    pub(super) fn list_watchers(&self) -> Result<(), CapacityError> {
        let mut all = IdleSamples::default();
        for &watchers in &self.sizes {
            self.measure_list_watchers(watchers, &mut all)?;
        }
        self.write(PART, &all.bytes, REST_BYTES)?;
        self.write(PART, &all.server_core, SERVER_CORE)?;
        self.write(PART, &all.server_kb, SERVER_MEMORY)?;
        self.write(PART, &all.client_core, CLIENT_CORE)?;
        self.write(PART, &all.client_kb, CLIENT_MEMORY)
    }

    /// Measures `watchers` clients of the endpoint list while the list does not change, in all runs.
    fn measure_list_watchers(&self, watchers: usize, all: &mut IdleSamples) -> Result<(), CapacityError> {
        let own_memory_kb_before = own_memory_kb();
        let server = self.server(self.sizes[0])?;
        let mut hollow_processes =
            self.hollow_processes(watchers, Some(server.address), &|_, _| Vec::new())?;
        if !hollow_processes.receive_until(TIMEOUT, HollowProcesses::all_listed)? {
            return Err(CapacityError::run("watches of the list", "not all have a list in time"));
        }
        hollow_processes.receive_for(self.window / 6)?;
        for _ in 0..self.runs {
            self.measure_list_rest(watchers, &server, &mut hollow_processes, all)?;
            all.server_kb.add(watchers, own_memory_kb().saturating_sub(own_memory_kb_before) as f64);
        }
        Ok(())
    }

    /// Measures bytes, CPU time and memory of the list server and its clients over one window without list changes.
    fn measure_list_rest(
        &self,
        watchers: usize,
        server: &ListServer,
        hollow_processes: &mut HollowProcesses,
        all: &mut IdleSamples,
    ) -> Result<(), CapacityError> {
        let (before, used) = (server.carried(), hollow_processes.usage());
        let start = Instant::now();
        hollow_processes.receive_for(self.window)?;
        let (after, seconds) = (server.carried(), start.elapsed().as_secs_f64());
        let now = hollow_processes.usage();
        let carried = after.read + after.written - before.read - before.written;
        all.bytes.add(watchers, carried as f64 / seconds);
        all.server_core.add(watchers, (after.cpu_ns - before.cpu_ns) as f64 / 1e9 / seconds);
        all.client_core.add(watchers, (now.cpu_ns - used.cpu_ns) as f64 / 1e9 / seconds);
        all.client_kb.add(watchers, now.resident_kb as f64);
        Ok(())
    }
}

/// Resident memory of this process, in KiB.
fn own_memory_kb() -> u64 {
    machine::usage(std::process::id()).unwrap_or_default().resident_kb
}
