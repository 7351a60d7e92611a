//! Floods of connections, exhausted file descriptors, and a log or answers that nobody reads: the program keeps serving
//! and shuts down in time. `docs/CROSSINGS.md` lists the guarantees for each case.

mod common;

use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::*;
use socket2::{Domain, SockRef, Socket, Type};

/// Opens connections in a loop without waiting while `running` is set. Each connection is reset at once, and one that
/// finds the listen queue full is abandoned.
fn flood(address: SocketAddr, running: &AtomicBool) {
    while running.load(Ordering::Relaxed) {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.set_nonblocking(true).expect("the socket option is set");
        socket.set_linger(Some(Duration::ZERO)).expect("the socket option is set");
        let _ = socket.connect(&address.into());
    }
}

/// Guards against a drain that a flood of new connections delays: an accept loop that always finds another connection
/// must still check the time.
#[test]
fn a_flood_of_connections_does_not_delay_the_drain() {
    let discovery = Discovery::start();
    let text = configuration(discovery.address, &[], 0.2, 1024).replace("60.0", "0.5");
    let mut child = start_program(&text);
    let (address, mut log) = address(&mut child);
    let running = Arc::new(AtomicBool::new(true));
    let floods: Vec<_> = (0..6)
        .map(|_| {
            let running = Arc::clone(&running);
            thread::spawn(move || flood(address, &running))
        })
        .collect();
    signal(&child, "-TERM");
    let signalled = Instant::now();
    wait_line(&mut log, "graceful shutdown, ");
    wait_line(&mut log, "graceful shutdown, ");
    // Answers close their connections from 0.5 s after SIGTERM on; the rest of the bound allows for a busy machine.
    assert!(
        signalled.elapsed() < SHORT_TIMEOUT,
        "expected the second drain message within {SHORT_TIMEOUT:?}, it took {:?}",
        signalled.elapsed()
    );
    drop(log);
    // The program exits half a second plus the longest deadline after SIGTERM.
    let ended =
        wait_for("the program exits", || child.try_wait().expect("waited").map(|_| signalled.elapsed()));
    running.store(false, Ordering::Relaxed);
    assert!(ended < SHORT_TIMEOUT, "expected an exit within {SHORT_TIMEOUT:?} of SIGTERM, it took {ended:?}");
    for flood in floods {
        flood.join().expect("the thread does not panic");
    }
}

/// Guards against idle clients that take all descriptors while discovery is down and so keep the balancer from opening
/// its watch. Once discovery is back, the balancer must apply its list within 6 s. Meanwhile the health check of the
/// front and a client's request must succeed.
#[test]
fn idle_clients_do_not_block_the_watch_of_discovery() {
    let (old, new) = (Upstream::start(|_, _| ok("old")), Upstream::start(|_, _| ok("new")));
    let known = [endpoint("s-1", old.address, 0, "ready")];
    for mode in ["subscribe", "automatic"] {
        // The port is bound but does not listen, so it refuses connections.
        let (down, place) = bound();
        let text = configuration(place, &known, 30.0, 64).replace("subscribe", mode);
        let mut child = program_with_descriptor_limit(64, &text);
        let (address, mut log) = address(&mut child);
        let log = thread::spawn(move || {
            let mut text = String::new();
            log.read_to_string(&mut text).map(|_| text)
        });
        let done = Arc::new(AtomicBool::new(false));
        let idle: Vec<_> = (0..4)
            .map(|_| {
                let done = Arc::clone(&done);
                thread::spawn(move || {
                    let mut open_connections = std::collections::VecDeque::new();
                    while !done.load(Ordering::Relaxed) {
                        open_connections.extend(TcpStream::connect_timeout(&address, SHORT_TIMEOUT));
                        if open_connections.len() > 100 {
                            open_connections.pop_front();
                        }
                    }
                })
            })
            .collect();
        wait_for("the health check succeeds", || {
            (Client::connect(address).health() == Some(200)).then_some(())
        });
        wait_for("a client is served", || {
            let answer = Client::connect(address).try_ask("read", "")?;
            (answer.body == b"old").then_some(())
        });
        down.listen(16).expect("the socket listens");
        let discovery = Discovery::on(down.into(), Duration::from_millis(500));
        let back = Instant::now();
        let (_, watch) = discovery.watch();
        let drained = endpoint("s-1", old.address, 0, "draining");
        watch.send_endpoints(8, false, &[drained, endpoint("s-2", new.address, 1, "ready")]);
        wait_for("the list is applied", || {
            let answer = Client::connect(address).try_ask("read", "")?;
            (answer.body == b"new").then_some(())
        });
        assert!(
            back.elapsed() < Duration::from_secs(6),
            "{mode}: expected the list applied within 6 s, it took {:?}",
            back.elapsed()
        );
        done.store(true, Ordering::Relaxed);
        child.kill().expect("the program is running");
        child.wait().expect("the program exits");
        for thread in idle {
            thread.join().expect("the thread does not panic");
        }
        let log = log.join().expect("the thread does not panic").expect("the log is read");
        assert!(
            !log.contains("could not be accepted"),
            "expected accepts never to run out of descriptors, log: {log}"
        );
    }
}

/// Guards against blocking on the log: if the pipe of standard error stays open but nobody reads it, the program keeps
/// applying lists and serving, and shuts down.
#[test]
fn a_full_log_pipe_does_not_stop_the_program() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let discovery = Discovery::start();
    let known = [endpoint("s-1", upstream.address, 0, "ready")];
    let mut child = start_program(&configuration(discovery.address, &known, 30.0, 1024));
    let (address, log) = address(&mut child);
    let (_, watch) = discovery.watch();
    // Each entry causes a log line, and together they exceed the 64 KiB that a pipe holds.
    let odd: Vec<_> = (0..4000).map(|number| endpoint(&format!("odd-{number}"), address, 0, "odd")).collect();
    watch.send_endpoints(8, false, &odd);
    watch.send_endpoints(9, false, &[endpoint("s-1", upstream.address, 0, "draining")]);
    let moved = Upstream::start(|_, _| ok("moved"));
    watch.send_endpoints(10, false, &[endpoint("s-2", moved.address, 0, "ready")]);
    wait_for("the lists are applied", || {
        let mut client = Client::connect(address);
        client.0.set_read_timeout(Some(SHORT_TIMEOUT)).expect("the socket option is set");
        client.send("read", "");
        (client.answer().expect("an answer").body == b"moved").then_some(())
    });
    signal(&child, "-TERM");
    assert!(child.wait().expect("the program exits").success());
    drop(log);
}

/// Guards against a drain that a client delays by never reading its answers: they fill the socket buffers, and the
/// balancer must close the connection.
#[test]
fn a_client_that_never_reads_does_not_delay_the_drain() {
    let upstream = Upstream::start(|_, _| ok(&"x".repeat(60_000)));
    let (mut balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
    let mut client = balancer.client();
    SockRef::from(&client.0).set_recv_buffer_size(4096).expect("the socket option is set");
    client.send_bytes(&order_followed_by(b"").repeat(100));
    let mut served = 0;
    wait_for("the buffers are full and requests stop reaching the upstream", || {
        let (before, now) = (served, upstream.requests().len());
        served = now;
        thread::sleep(Duration::from_millis(200));
        (now > 10 && now == before).then_some(())
    });
    let stopped_at = Instant::now();
    balancer.stop();
    drop(balancer);
    // The drain takes 2.8 s, plus the time for which an answer may remain unread.
    assert!(
        stopped_at.elapsed() < Duration::from_secs(8),
        "expected the drain to end within 8 s, it took {:?}",
        stopped_at.elapsed()
    );
}
