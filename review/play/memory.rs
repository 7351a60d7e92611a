//! Clients whose bodies of 64 KiB come in small chunks: what the balancer keeps of them, against its limit of memory.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::parts::{Act, Balancer, Connection, Limits, discovery, list, member, ms, upstream};
use crate::settings::ATHENS_MAIN;
use crate::{Stage, Verdict};

const LIMITS: Limits = Limits { memory_mb: 32, sockets: 256 };
/// Clients with a request at the same time: at most a third of the descriptors.
const CLIENTS: usize = 80;
/// Bytes of a body: the most that a body holds.
const BODY: usize = 64 * 1024;
/// Bytes of each chunk of a body.
const CHUNK: usize = 4;
/// What the clients tell as `X-Deadline`.
const DEADLINE: Duration = Duration::from_millis(2000);

pub fn play(stage: &Stage) -> Verdict {
    let Stage { record, root, trouble } = stage;
    let trouble = *trouble;
    let members: Vec<String> = (0..6)
        .map(|number| {
            let name = format!("s-{number}");
            let address = upstream(&name, record, |request| {
                Act::Serve(ms(100), format!("{} bytes came", request.body.len()))
            });
            member(&name, address, number, "athens-dc1", "front-fast")
        })
        .collect();
    let known = list(&members);
    let Some(mut balancer) =
        Balancer::start(record, root, LIMITS, discovery(known.clone()), &known, ATHENS_MAIN)
    else {
        return Verdict::NotRun;
    };
    let address = balancer.address;
    record.line(format!("memory of the balancer before any request: {} KiB", balancer.memory_kib()));
    let answered = Arc::new(AtomicUsize::new(0));
    let start = Instant::now() + ms(500);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, answered) = (record.clone(), Arc::clone(&answered));
            spawn(move || {
                let mut connection = Connection::open(address).ok()?;
                let mut request = format!(
                    "POST /alert-order/{number} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: r{number:02}\r\n\
                     X-Tenant: ionian-ferries\r\nX-Deadline: {:.3}\r\n",
                    DEADLINE.as_secs_f64()
                );
                if trouble {
                    request += "Transfer-Encoding: chunked\r\n\r\n";
                    request += &format!("{CHUNK:x}\r\n{}\r\n", "b".repeat(CHUNK)).repeat(BODY / CHUNK);
                    request += "0\r\n\r\n";
                } else {
                    request += &format!("Content-Length: {BODY}\r\n\r\n{}", "b".repeat(BODY));
                }
                sleep(start.saturating_duration_since(Instant::now()));
                connection.stream.write_all(request.as_bytes()).ok()?;
                let sent = Instant::now();
                record.line(format!("client {number}: r{number:02} written whole, {} bytes", request.len()));
                let answer = connection.read(sent + DEADLINE + ms(600));
                answered.fetch_add(usize::from(answer.is_ok()), Ordering::SeqCst);
                record.line(format!(
                    "client {number}: r{number:02} {} after {:.3} s",
                    answer.map_or_else(|why| format!("got no answer: {why:?}"), |answer| answer.status().to_string()),
                    sent.elapsed().as_secs_f64()
                ));
                Some(())
            })
        })
        .collect();
    // The platform: it kills the balancer over its limit of memory.
    let mut most = 0;
    let mut is_over = false;
    while !clients.iter().all(|client| client.is_finished()) {
        most = most.max(balancer.memory_kib());
        if most > LIMITS.memory_mb * 1024 && !is_over {
            is_over = true;
            record.line(format!("memory of the balancer: {most} KiB, over {} MB: killed", LIMITS.memory_mb));
            balancer.signal("KILL");
        }
        sleep(ms(2));
    }
    let sent = clients.into_iter().filter_map(|client| client.join().unwrap_or(None)).count();
    let crashed = balancer.has_ended();
    record.line(format!(
        "most memory seen: {most} KiB of {} KiB; {sent} requests written, {} answered; the balancer {}",
        LIMITS.memory_mb * 1024,
        answered.load(Ordering::SeqCst),
        if crashed { "is dead" } else { "runs" }
    ));
    match (is_over || crashed, sent) {
        (true, _) => Verdict::Broken,
        (false, CLIENTS) => Verdict::Held,
        _ => Verdict::NotRun,
    }
}
