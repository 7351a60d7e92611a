//! Slopes of watches of the list.

use std::time::{Duration, Instant};

use super::PATIENCE;
use super::list_client::{Client, first_line};
use super::rig::{About, Plays, Rig};
use crate::CapacityError;
use crate::sockets::machine;
use crate::sockets::swarm::Swarm;

impl Rig<'_> {
    /// One client of the list at a time: bytes of a whole list and of a catch-up, processor time to take them in.
    pub(super) fn lists(&self) -> Result<(), CapacityError> {
        let (mut whole_bytes, mut whole_us, mut change_us) =
            (Plays::default(), Plays::default(), Plays::default());
        for &size in &self.sizes {
            let server = self.server(size)?;
            for play in 0..self.plays {
                let seed = self.seed + play as u64;
                let client = Client { plan: self.plan, server: &server, seed };
                let costs = client.play(if self.window < Duration::from_secs(1) { 2 } else { 20 })?;
                whole_bytes.add(size, costs.whole_bytes);
                whole_us.add(size, costs.whole_us);
                change_us.add(size, costs.change_us);
            }
        }
        let mut catch_up = Plays::default();
        let most = self.sizes[self.sizes.len() - 1];
        let server = self.server(most)?;
        server.change(most);
        for changes in [1, 3, 10, 30, 100, 300].map(|changes: usize| changes.min(most)) {
            let since = server.index() - changes as u64;
            catch_up.add(changes, first_line(&server, since)? as f64);
        }
        let note = "Payload of the connection both ways, heads of HTTP included, those of TCP/IP not. The server is a \
                    stand-in in the platform's form: the platform's own may write other heads, chunks and entries.";
        self.write(
            "list",
            whole_bytes,
            About {
                name: "control.list_whole_bytes_by_upstreams",
                what: "bytes of a watch of the list from its asking to the whole list",
                x: "upstreams in the list",
                y: "bytes",
                note,
            },
        )?;
        self.write(
            "list",
            catch_up,
            About {
                name: "control.list_change_bytes_by_changes",
                what: "bytes of a watch of the list that asks from where it stood, to the changes that it missed",
                x: "changes missed, each of another upstream",
                y: "bytes",
                note,
            },
        )?;
        let note = "Processor time of the client's thread with the decisions, from the socket on, less that of the same \
                    time at rest; one list or change every 30 ms.";
        self.write(
            "list",
            whole_us,
            About {
                name: "control.list_client_us_by_upstreams",
                what: "processor time of a balancer to take in a whole list that comes on its watch",
                x: "upstreams in the list",
                y: "us",
                note,
            },
        )?;
        self.write(
            "list",
            change_us,
            About {
                name: "control.list_client_change_us_by_upstreams",
                what: "processor time of a balancer to take in a change of one upstream",
                x: "upstreams in the list",
                y: "us",
                note,
            },
        )
    }

    /// Many clients of the list at rest.
    pub(super) fn list_watchers(&self) -> Result<(), CapacityError> {
        let (mut bytes, mut server_core, mut server_kb) =
            (Plays::default(), Plays::default(), Plays::default());
        let (mut client_core, mut client_kb) = (Plays::default(), Plays::default());
        let entries = self.sizes[0];
        for &watchers in &self.sizes {
            let own = machine::usage(std::process::id()).unwrap_or_default().resident_kb;
            let server = self.server(entries)?;
            let mut swarm = self.swarm(watchers, Some(server.address), &|_, _| Vec::new())?;
            if !swarm.hear_until(PATIENCE, Swarm::all_listed)? {
                return Err(CapacityError::run("watches of the list", "not all have a list in time"));
            }
            swarm.hear(self.window / 6)?;
            for _ in 0..self.plays {
                let (before, used) = (server.carried(), swarm.usage());
                let start = Instant::now();
                swarm.hear(self.window)?;
                let (after, seconds) = (server.carried(), start.elapsed().as_secs_f64());
                let now = swarm.usage();
                let carried = after.read + after.written - before.read - before.written;
                bytes.add(watchers, carried as f64 / seconds);
                server_core.add(watchers, (after.cpu_ns - before.cpu_ns) as f64 / 1e9 / seconds);
                client_core.add(watchers, (now.cpu_ns - used.cpu_ns) as f64 / 1e9 / seconds);
                client_kb.add(watchers, now.resident_kb as f64);
                let grown = machine::usage(std::process::id()).unwrap_or_default().resident_kb;
                server_kb.add(watchers, grown.saturating_sub(own) as f64);
            }
        }
        let x = "watches of the list";
        let note = "An empty line every 2 s to each watch, 6 bytes as a chunk; heads of TCP/IP (some 100 bytes a beat with the \
                    acknowledgement) are not counted. The server is a stand-in: the platform's own is not told by it.";
        self.write(
            "list",
            bytes,
            About {
                name: "control.list_rest_bytes_per_s_by_watchers",
                what: "bytes a second of all watches of the list together while nothing changes",
                x,
                y: "bytes/s",
                note,
            },
        )?;
        self.write(
            "list",
            server_core,
            About {
                name: "control.list_server_core_by_watchers",
                what: "share of a core of the stand-in list server while nothing changes",
                x,
                y: "core",
                note,
            },
        )?;
        self.write(
            "list",
            server_kb,
            About {
                name: "control.list_server_kb_by_watchers",
                what: "memory that the stand-in list server grows by",
                x,
                y: "KiB",
                note,
            },
        )?;
        let note = "Each client is the balancer's own with its decisions, a hundred to a process, and a list of a \
                    nineteenth of the fleet; with the sweeps of the decisions, the line of the log, and the part of the process.";
        self.write(
            "list",
            client_core,
            About {
                name: "control.list_client_core_by_watchers",
                what: "share of a core of all clients of the list together while nothing changes",
                x,
                y: "core",
                note,
            },
        )?;
        self.write(
            "list",
            client_kb,
            About {
                name: "control.list_client_kb_by_watchers",
                what: "memory of all clients of the list together",
                x,
                y: "KiB",
                note,
            },
        )
    }
}
