//! Requests whose own time would end after the program does: each gets its answer before SIGKILL would come, although
//! no upstream answers.

mod common;

use std::time::{Duration, Instant};
use std::{process, thread};

use common::*;

/// Time that the platform adds to the longest deadline, or to [`KILL_DEADLINE_CAP`] if that is shorter, before it sends
/// SIGKILL.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// Longest deadline that delays SIGKILL.
const KILL_DEADLINE_CAP: Duration = Duration::from_secs(3);

/// A balancer process in a drain. Its only upstream reads requests and never answers.
struct HangingDrain {
    child: process::Child,
    log: std::io::BufReader<process::ChildStderr>,
    upstream: Upstream,
    _discovery: Discovery,
    /// Time from SIGTERM to the earliest SIGKILL.
    earliest_kill: Duration,
    signalled_at: Instant,
}

impl HangingDrain {
    /// Starts a balancer whose classes have this deadline, and lets `begin` open a client before SIGTERM is sent.
    fn start(
        deadline: Duration,
        begin: impl FnOnce(std::net::SocketAddr, &Upstream) -> Client,
    ) -> (Self, Client) {
        let upstream = Upstream::start(|_, _| Reply::Silence);
        let discovery = Discovery::start();
        let known = [endpoint("s-1", upstream.address, 0, "ready")];
        let seconds = deadline.as_secs_f64();
        let text = with_deadline(&configuration(discovery.address, &known, seconds, 1024), seconds);
        let mut child = start_program(&text);
        let (address, mut log) = address(&mut child);
        let client = begin(address, &upstream);
        let signalled_at = Instant::now();
        signal(&child, "-TERM");
        wait_line(&mut log, "graceful shutdown, ");
        let earliest_kill = deadline.min(KILL_DEADLINE_CAP) + KILL_DELAY;
        (Self { child, log, upstream, _discovery: discovery, earliest_kill, signalled_at }, client)
    }

    /// Waits until this time has passed since SIGTERM.
    fn wait_until(&self, since_sigterm: Duration) {
        thread::sleep(since_sigterm.saturating_sub(self.signalled_at.elapsed()));
    }

    /// Checks that the client gets one answer with one of these status codes, and that the program exits, both before
    /// SIGKILL would come.
    fn assert_answered_before_kill(mut self, mut client: Client, statuses: &[u16]) {
        let answer = client.answer().expect("an answer before the connection ends");
        let answered_after = self.signalled_at.elapsed();
        assert!(statuses.contains(&answer.status()), "expected one of {statuses:?}, got {}", answer.line);
        assert!(closes_without_data(client), "expected one answer, got more");
        drop(self.log);
        assert!(self.child.wait().expect("the program exits").success());
        let ended_after = self.signalled_at.elapsed();
        println!("answered {answered_after:?} after SIGTERM, ended {ended_after:?} after it");
        assert!(
            ended_after < self.earliest_kill,
            "expected an answer and an exit within {:?} of SIGTERM, they took {answered_after:?} and {ended_after:?}",
            self.earliest_kill
        );
    }
}

/// Returns the request of an order, divided before the last bytes of its body.
fn order_in_two_parts(deadline: Duration) -> (Vec<u8>, Vec<u8>) {
    let mut request = request_with_deadline("order", "an order in two parts", deadline.as_secs_f64());
    let tail = request.split_off(request.len() - 9);
    (request, tail)
}

/// Guards against requests that a planned restart cuts off: the limit on the time of answers in a drain was applied to
/// requests whose head came after SIGTERM, so that one whose head came before and whose last byte came after it waited
/// for its upstream past the end of the program.
#[test]
fn a_request_completed_after_sigterm_is_answered_before_sigkill() {
    thread::scope(|scope| {
        for deadline in [1, 3, 60].map(Duration::from_secs) {
            scope.spawn(move || {
                let (head, tail) = order_in_two_parts(deadline);
                let (drain, mut client) = HangingDrain::start(deadline, |address, _| {
                    let mut client = Client::connect(address);
                    client.send_bytes(&head);
                    client
                });
                // A request of which the last byte comes this late must have its answer before SIGKILL.
                drain.wait_until(KILL_DELAY + Duration::from_millis(100));
                client.send_bytes(&tail);
                drain.upstream.wait_requests(1);
                drain.assert_answered_before_kill(client, &[502]);
            });
        }
    });
}

/// Guards against a request whose last byte comes in the last moments of the program: while its body is incomplete, it
/// gets an error at the time by which requests in a drain must be answered, and not only 2 s after its head.
#[test]
fn an_incomplete_body_gets_an_error_before_sigkill() {
    let deadline = Duration::from_secs(3);
    let (head, _) = order_in_two_parts(deadline);
    let mut address_of_balancer = None;
    let (drain, idle) = HangingDrain::start(deadline, |address, _| {
        address_of_balancer = Some(address);
        Client::connect(address)
    });
    drop(idle);
    drain.wait_until(Duration::from_secs(2));
    let mut client = Client::connect(address_of_balancer.expect("the balancer has started"));
    client.send_bytes(&head);
    drain.assert_answered_before_kill(client, &[408]);
}

/// Guards against requests that the program's own end cuts off: the program stops waiting for connections by the longest
/// deadline of a class, and a client that says that it waits for longer has its answer by then.
#[test]
fn a_request_of_a_patient_client_is_answered_before_the_program_ends() {
    let deadline = Duration::from_millis(500);
    let (drain, client) = HangingDrain::start(deadline, |address, upstream| {
        let mut client = Client::connect(address);
        client.send_bytes(&request_with_deadline("order", "patient", 10.0 * deadline.as_secs_f64()));
        upstream.wait_requests(1);
        client
    });
    drain.assert_answered_before_kill(client, &[502]);
}
