//! Measurement of the cost of one client of the endpoint list.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

use super::TIMEOUT;
use crate::CapacityError;
use crate::plan::Plan;
use crate::sockets::hollow::{self, HollowBalancer};
use crate::sockets::list::ListServer;
use crate::sockets::{machine, region_name, service_name, zone_names};

/// A hollow balancer (a simulated one without real traffic) that is the only client of a list server.
pub(super) struct Client<'a> {
    pub(super) plan: &'a Plan,
    pub(super) server: &'a ListServer,
    pub(super) seed: u64,
}

/// Cost of one endpoint list client: bytes of its first snapshot, and mean CPU time to apply a snapshot and a change.
pub(super) struct Costs {
    pub(super) whole_bytes: f64,
    pub(super) whole_us: f64,
    pub(super) change_us: f64,
}

impl Client<'_> {
    /// Lets the client receive its first endpoint list, then `count` snapshots and `count` changes of it, and measures
    /// their cost.
    pub(super) fn run(&self, count: u32) -> Result<Costs, CapacityError> {
        let place = "a client of the list";
        let zones = zone_names(self.plan);
        let hollow = HollowBalancer {
            number: 0,
            service: service_name(0),
            region: region_name(0),
            zone: 0,
            parents: Vec::new(),
            seed: self.seed,
        };
        let before = self.server.carried();
        let (server, (sender, costs)) = (self.server, channel());
        // The client runs on a thread of its own, so that the CPU time of the thread is that of the client alone.
        thread::scope(|scope| {
            scope.spawn(move || {
                let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
                let runtime = match runtime {
                    Ok(runtime) => runtime,
                    Err(cause) => return sender.send(Err(cause.to_string())),
                };
                let costs = tokio::task::LocalSet::new().block_on(&runtime, async {
                    let driver = hollow::driver(server.address, &hollow, &zones)?;
                    hollow::wait_until("its first list", || driver.can_serve())
                        .await
                        .map_err(|error| error.to_string())?;
                    let after = server.carried();
                    let whole_bytes = (after.read + after.written - before.read - before.written) as f64;
                    let rest = mean_cpu_us(count, || ()).await;
                    let whole_us = mean_cpu_us(count, || server.send_snapshot()).await - rest;
                    let change_us = mean_cpu_us(count, || server.change(1)).await - rest;
                    Ok(Costs { whole_bytes, whole_us, change_us })
                });
                sender.send(costs)
            });
        });
        match costs.recv() {
            Ok(costs) => costs.map_err(|cause| CapacityError::run(place, cause)),
            Err(cause) => Err(CapacityError::run(place, cause)),
        }
    }
}

/// Mean CPU time of this thread per call of `turn`, over `count` calls 30 ms apart, in microseconds.
async fn mean_cpu_us(count: u32, mut turn: impl FnMut()) -> f64 {
    let before = machine::thread_ns();
    for _ in 0..count {
        turn();
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    (machine::thread_ns() - before) as f64 / 1e3 / f64::from(count)
}

/// Bytes of a watch of the endpoint list from the index `since` until the end of its first line, in both directions.
/// Client and server must count the same.
pub(super) fn catch_up_bytes(server: &ListServer, since: u64) -> Result<u64, CapacityError> {
    let place = format!("a catch-up of the list from {since}");
    let failed = |cause| CapacityError::run(&place, cause);
    let before = server.carried();
    let mut stream = TcpStream::connect(server.address).map_err(failed)?;
    stream.set_read_timeout(Some(TIMEOUT)).map_err(failed)?;
    let ask =
        format!("GET /catalog/members?follow=1&since={since} HTTP/1.1\r\nhost: {}\r\n\r\n", server.address);
    stream.write_all(ask.as_bytes()).map_err(failed)?;
    let mut answer = Vec::new();
    let mut part = [0; 64 << 10];
    // The chunk of a line ends with these bytes. The head also ends with an empty line, but has no `}` before it.
    while !answer.ends_with(b"}\n\r\n") {
        match stream.read(&mut part).map_err(failed)? {
            0 => return Err(CapacityError::run(&place, "the server closed the watch")),
            read => answer.extend_from_slice(&part[..read]),
        }
    }
    let client_bytes = (ask.len() + answer.len()) as u64;
    let until = Instant::now() + TIMEOUT;
    loop {
        let after = server.carried();
        let server_bytes = after.read + after.written - before.read - before.written;
        if server_bytes == client_bytes {
            return Ok(client_bytes);
        }
        // The server counts bytes only after it has written them, so that its count may lag behind.
        if Instant::now() > until {
            return Err(CapacityError::run(
                &place,
                format!("the client counted {client_bytes} bytes, the server {server_bytes}"),
            ));
        }
        thread::sleep(Duration::from_millis(1));
    }
}
