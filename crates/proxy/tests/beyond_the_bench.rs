//! Kinds of trouble that the operators' gate plays and the bench of the kit does not, each forced on the program or, where
//! hours have to pass, on its decisions in virtual time. `docs/STANDING-RESULTS.md` lists them with their tests.

mod common;
#[path = "../../policy/tests/common/mod.rs"]
mod virtual_time;

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use balancer_policy::interface::{
    DiscoveryMode, EndpointId, Event, Idempotency, Lifecycle, ListUpdate, Member, Outcome,
};
use balancer_policy::{Action, Settings};
use common::*;
use socket2::SockRef;
use virtual_time::{Bench, class, member, millis, sent};

/// An answer must have arrived this long after its request's time at the latest.
const ANSWER_SLACK: Duration = Duration::from_millis(500);

// --- In virtual time ---

/// A copy of a fleet's first tier with eight upstreams, in a mode of having lists.
fn copy(discovery: DiscoveryMode) -> Bench {
    let mut settings = Settings::single_zone(vec![class(Idempotency::Idempotent)]);
    settings.discovery = discovery;
    settings.rules.poll_interval_max = Some(millis(10_000));
    Bench::new(settings, 11, (0..8).map(member).collect())
}

/// Sends so many requests, one each 50 ms, to upstreams of which those named fail at once: how many were served, and
/// how many attempts the failing ones got.
fn send(bench: &mut Bench, requests: u32, failing: &[u32]) -> (u32, u32) {
    let (mut served, mut failed) = (0, 0);
    for _ in 0..requests {
        let meets = |upstream: EndpointId| match failing.contains(&upstream.0) {
            true => (Outcome::ConnectFailed, millis(1)),
            false => (Outcome::Success, millis(20)),
        };
        let tried = bench.run(meets);
        served += u32::from(tried.last().is_some_and(|upstream| !failing.contains(&upstream.0)));
        failed += tried.iter().filter(|upstream| failing.contains(&upstream.0)).count() as u32;
        bench.pass(millis(30));
    }
    (served, failed)
}

/// Guards what was learned against a long rest: after six quiet hours trouble is met as it is after busy minutes.
/// Requests are served from the first one on, and upstreams that fail are set aside.
#[test]
fn trouble_after_hours_of_quiet_is_met_as_any() {
    let mut bench = copy(DiscoveryMode::Push);
    assert_eq!(send(&mut bench, 200, &[]), (200, 0));
    let (busy_served, busy_failed) = send(&mut bench, 200, &[2, 5]);
    bench.pass(Duration::from_secs(60));
    assert_eq!(send(&mut bench, 200, &[]).0, 200);
    bench.pass(Duration::from_secs(6 * 3600));
    let (served, failed) = send(&mut bench, 200, &[2, 5]);
    println!("{failed} attempts failed, {busy_failed} in busy times");
    assert!(served >= 198 && busy_served >= 198, "{served} of 200 served, {busy_served} in busy times");
    // A quarter of the tier fails: unheeded, it would get some 50 attempts and more.
    assert!(
        failed <= 12 && failed <= busy_failed + 4,
        "{failed} attempts failed, {busy_failed} in busy times"
    );
    // And the trouble's end is seen.
    bench.pass(Duration::from_secs(60));
    assert_eq!(send(&mut bench, 200, &[]).0, 200);
}

/// Plays an outage of discovery's, in which each watch breaks as soon as it is asked for: when the copy asks.
fn outage(bench: &mut Bench, length: Duration) -> Vec<Duration> {
    let end = bench.now + length;
    let mut asked = Vec::new();
    bench.tell(Event::List(ListUpdate::Broken));
    while bench.now < end {
        let actions = bench.tell(Event::MaintenanceDue);
        let wake = actions.iter().find_map(|action| match action {
            Action::ScheduleMaintenance(span) => Some(*span),
            _ => None,
        });
        if actions.contains(&Action::Subscribe) {
            asked.push(bench.now);
            bench.tell(Event::List(ListUpdate::Broken));
        }
        bench.now += wake.expect("a sweep asks for the next");
    }
    asked
}

/// Guards the list and discovery against an outage of hours: the copy goes on with the list in hand, asks as often as it
/// owes and not without a pause, and holds a drain that it hears of with the first word after it.
#[test]
fn an_outage_of_discovery_for_hours_is_outlived() {
    // A service of many copies is asked by each every some seconds, an agent of the copy's own sooner.
    let spaced = [
        (DiscoveryMode::Subscribe, millis(1500), millis(5000)),
        (DiscoveryMode::Agent, millis(100), millis(500)),
    ];
    for (mode, least, widest) in spaced {
        let mut bench = copy(mode);
        assert_eq!(send(&mut bench, 100, &[]).0, 100);
        let length = Duration::from_secs(3 * 3600);
        let asked = outage(&mut bench, length);
        let pauses: Vec<Duration> = asked.windows(2).map(|pair| pair[1] - pair[0]).collect();
        let longest = pauses.iter().max().expect("it asks");
        println!("{mode:?}: {} asks in {length:?}, {longest:?} apart at the most", asked.len());
        assert!(*longest <= widest, "{mode:?}: {longest:?} without an ask");
        assert!(
            asked.len() as u128 <= length.as_millis() / least.as_millis(),
            "{mode:?}: {} asks",
            asked.len()
        );
        assert_eq!(send(&mut bench, 100, &[]).0, 100, "{mode:?}: the list in hand serves");
        // The first word tells that half of the tier has been replaced meanwhile.
        let told = |id| Member {
            lifecycle: if id < 4 { Lifecycle::Draining } else { Lifecycle::Ready },
            ..member(id)
        };
        bench.tell(Event::List(ListUpdate::Snapshot((0..8).map(told).collect())));
        let mut seen: BTreeMap<u32, u32> = BTreeMap::new();
        for _ in 0..200 {
            let (id, actions) = bench.offer(None);
            let upstream = sent(&actions).expect("four are ready");
            *seen.entry(upstream.0).or_default() += 1;
            bench.pass(millis(20));
            bench.end(id, 0, Outcome::Success, millis(20));
        }
        assert!(seen.keys().all(|&upstream| upstream >= 4), "{mode:?}: sent to what drains: {seen:?}");
    }
}

// --- On sockets ---

/// A request whose caller has so many seconds left.
fn timed(class: &str, body: &str, seconds: f64) -> Vec<u8> {
    let (method, key) = if class == "read" {
        ("GET", String::new())
    } else {
        ("POST", format!("Idempotency-Key: {body}\r\n"))
    };
    format!(
        "{method} /{class}?k=7f HTTP/1.1\r\nHost: a\r\nX-Request-Id: {body}\r\nX-Tenant: acme\r\n\
         X-Deadline: {seconds}\r\n{key}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Whether the connection ends with nothing more on it: each request has had its one answer.
fn ends_empty(caller: Caller) -> bool {
    caller.0.shutdown(std::net::Shutdown::Write).expect("open");
    all_of(caller.0).is_empty()
}

/// What an upstream does with a request on a connection that it has forgotten.
#[derive(Debug, Clone, Copy)]
enum Forgets {
    /// Resets it, as a host does that knows of no such connection.
    Reset,
    /// Says nothing, as where a box on the way has dropped the connection.
    Silence,
}

/// An upstream that forgets connections idle for longer than a while: where it listens, and the bodies that ran.
struct Forgetful {
    address: SocketAddr,
    ran: Arc<std::sync::Mutex<Vec<String>>>,
    forgotten: Arc<AtomicUsize>,
}

/// Idle for longer than this, a connection is forgotten.
const FORGOTTEN_AFTER: Duration = Duration::from_millis(80);

impl Forgetful {
    fn start(forgets: Forgets) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let upstream = Self { address, ran: Arc::default(), forgotten: Arc::default() };
        let (ran, forgotten) = (Arc::clone(&upstream.ran), Arc::clone(&upstream.forgotten));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (ran, forgotten) = (Arc::clone(&ran), Arc::clone(&forgotten));
                thread::spawn(move || Self::serve(stream, forgets, &ran, &forgotten));
            }
        });
        upstream
    }

    fn serve(
        mut stream: TcpStream,
        forgets: Forgets,
        ran: &std::sync::Mutex<Vec<String>>,
        forgotten: &AtomicUsize,
    ) {
        let mut answered: Option<Instant> = None;
        while let Some(message) = read_message(&mut stream) {
            if answered.is_some_and(|at| at.elapsed() > FORGOTTEN_AFTER) {
                forgotten.fetch_add(1, Ordering::Relaxed);
                match forgets {
                    Forgets::Reset => SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("set"),
                    Forgets::Silence => drop(stream.read(&mut [0])),
                }
                return;
            }
            ran.lock().expect("no panic").push(String::from_utf8(message.body).expect("text"));
            if stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").is_err() {
                return;
            }
            answered = Some(Instant::now());
        }
    }
}

/// Sends requests with pauses in which one of two upstreams forgets its connections: the statuses, in order.
fn ask_with_pauses(balancer: &Balancer, class: &str, requests: u32) -> Vec<u16> {
    let mut caller = balancer.caller();
    let mut statuses = Vec::new();
    for number in 0..requests {
        let began = Instant::now();
        caller.raw(&timed(class, &format!("{class}-{number}"), 2.0));
        statuses.push(caller.answer().expect("an answer").status());
        assert!(
            began.elapsed() < Duration::from_secs(2) + ANSWER_SLACK,
            "{class} {number}: {:?}",
            began.elapsed()
        );
        thread::sleep(FORGOTTEN_AFTER + Duration::from_millis(20));
    }
    assert!(ends_empty(caller), "{class}: more than one answer");
    statuses
}

/// A balancer with one upstream that forgets idle connections and one that does not.
fn with_one_forgetful(forgets: Forgets, aim: f64) -> (Balancer, Discovery, Forgetful, Upstream) {
    let forgetful = Forgetful::start(forgets);
    let sound = Upstream::start(|_, _| ok("ok"));
    let known = [endpoint("s-1", forgetful.address, 0, "ready"), endpoint("s-2", sound.address, 1, "ready")];
    let (balancer, discovery) = Balancer::with(&known, aim);
    (balancer, discovery, forgetful, sound)
}

/// Checks that no order of [`ask_with_pauses`] ran twice.
fn assert_each_order_ran_once(requests: u32, forgetful: &Forgetful, sound: &Upstream) {
    for number in 0..requests {
        let body = format!("order-{number}");
        let ran = forgetful.ran.lock().expect("no panic").iter().filter(|ran| **ran == body).count();
        assert!(ran + sound.count_of(&body) <= 1, "{body} ran twice");
    }
}

/// Guards requests against upstreams that know nothing of idle connections any more and reset them on the next byte:
/// what may run again does so elsewhere and is served; what must not run twice gets no connection that was idle for long
/// once that is known, and is served too.
#[test]
fn connections_reset_after_idling_cost_no_request() {
    let (balancer, _discovery, forgetful, sound) = with_one_forgetful(Forgets::Reset, 5.0);
    let reads = ask_with_pauses(&balancer, "read", 12);
    let found = forgetful.forgotten.load(Ordering::Relaxed);
    assert!(found > 0, "no connection was forgotten");
    assert!(reads.iter().all(|&status| status == 200), "{reads:?}");
    let orders = ask_with_pauses(&balancer, "order", 12);
    assert_eq!(
        forgetful.forgotten.load(Ordering::Relaxed),
        found,
        "an order went out on a forgotten connection"
    );
    assert!(orders.iter().all(|&status| status == 200), "{orders:?}");
    assert_each_order_ran_once(12, &forgetful, &sound);
}

/// Guards requests against idle connections that nothing comes back on any more, nor any reset: such a connection costs
/// one request and no second one, which has its one answer in time, and what must not run twice does not.
#[test]
fn connections_silent_after_idling_cost_one_request_each() {
    let (balancer, _discovery, forgetful, sound) = with_one_forgetful(Forgets::Silence, 0.2);
    let mut statuses = ask_with_pauses(&balancer, "read", 12);
    statuses.extend(ask_with_pauses(&balancer, "order", 12));
    let forgotten = forgetful.forgotten.load(Ordering::Relaxed);
    let unserved = statuses.iter().filter(|&&status| status != 200).count();
    println!("{unserved} of {} not served, {forgotten} connections forgotten", statuses.len());
    assert!(forgotten > 0, "no connection was forgotten");
    assert_eq!(unserved, forgotten, "{statuses:?}");
    assert_each_order_ran_once(12, &forgetful, &sound);
}

/// Guards upstreams and callers against retries that fail at once: each request has its one answer at once, has no more
/// attempts than are allowed, and all together have few more attempts than there are requests.
#[test]
fn retries_that_fail_at_once_stay_few() {
    const REQUESTS: usize = 200;
    let upstreams: Vec<_> = (0..4).map(|_| Upstream::start(|_, _| Reply::Last(Vec::new()))).collect();
    let known = each_in_a_group(&upstreams);
    let (balancer, _discovery) = Balancer::with(&known, 1.0);
    let mut caller = balancer.caller();
    for number in 0..REQUESTS {
        let began = Instant::now();
        caller.raw(&timed("read", &format!("r-{number}"), 2.0));
        let status = caller.answer().expect("an answer").status();
        assert!(matches!(status, 502 | 503), "{number}: {status}");
        assert!(began.elapsed() < Duration::from_secs(1), "{number}: {:?}", began.elapsed());
    }
    assert!(ends_empty(caller), "more than one answer");
    let attempts: Vec<usize> = (0..REQUESTS)
        .map(|number| upstreams.iter().map(|upstream| upstream.count_of(&format!("r-{number}"))).sum())
        .collect();
    let most = attempts.iter().max().expect("some");
    println!("{} attempts for {REQUESTS} requests, {most} at most", attempts.iter().sum::<usize>());
    assert!(*most <= 3, "{attempts:?}");
    assert!(attempts.iter().sum::<usize>() <= REQUESTS * 3 / 2, "{attempts:?}");
}

/// Guards requests with hardly any time left against upstreams that drop them without a word, close on them or say
/// nothing: each has its one answer within its time and the slack, and what must not run twice does not.
#[test]
fn hardly_any_time_left_ends_in_one_answer() {
    const EACH: usize = 50;
    let upstreams = [
        Upstream::start(|_, _| Reply::Silence),
        Upstream::start(|_, _| Reply::Last(Vec::new())),
        Upstream::start(|_, _| ok("served")),
    ];
    let known = each_in_a_group(&upstreams);
    let (balancer, _discovery) = Balancer::with(&known, 1.0);
    let ask = |class: &'static str| {
        let mut caller = balancer.caller();
        for milliseconds in 1..=EACH {
            let time = Duration::from_millis(milliseconds as u64);
            let began = Instant::now();
            caller.raw(&timed(class, &format!("{class}-{milliseconds}"), time.as_secs_f64()));
            let status = caller.answer().expect("an answer").status();
            assert!(matches!(status, 200 | 502 | 503), "{class} with {time:?}: {status}");
            let took = began.elapsed();
            assert!(took < time + ANSWER_SLACK, "{class} with {time:?}: {took:?}");
        }
        assert!(ends_empty(caller), "{class}: more than one answer");
    };
    thread::scope(|scope| {
        for class in ["read", "pay", "order"] {
            scope.spawn(move || ask(class));
        }
    });
    for milliseconds in 1..=EACH {
        let body = format!("order-{milliseconds}");
        let ran: usize = upstreams.iter().map(|upstream| upstream.count_of(&body)).sum();
        assert!(ran <= 1, "{body} was sent {ran} times");
    }
    for (_, request) in upstreams.iter().flat_map(Upstream::requests) {
        let left: f64 = request.header("x-deadline").expect("passed on").parse().expect("a number");
        let body = String::from_utf8(request.body.clone()).expect("text");
        let milliseconds: f64 = body.rsplit('-').next().and_then(|text| text.parse().ok()).expect("a number");
        assert!(left <= milliseconds / 1000.0, "{body}: {left} s passed on");
    }
    wait_for("requests with time are served", || {
        (balancer.caller().ask("read", "").status() == 200).then_some(())
    });
}

/// The configuration with a longest deadline of 3 s, as after SIGTERM the platform waits for that and 0.7 s.
fn with_short_deadlines(configuration: &str) -> String {
    let usual = "\"hardLimitS\":60.0";
    assert!(configuration.contains(usual));
    configuration.replace(usual, "\"hardLimitS\":3.0")
}

/// `drainGraceS` of the tests' settings.
const DRAIN_GRACE: Duration = Duration::from_secs(1);
/// After SIGTERM the platform kills no sooner, with that longest deadline.
const EARLIEST_KILL: Duration = Duration::from_millis(3700);

/// Guards a shutdown against upstreams that hang all through it: whatever was read before or after SIGTERM has its
/// answer, and the program ends before it would be killed.
#[test]
fn a_drain_with_every_upstream_hanging_ends_in_time() {
    let upstreams: Vec<_> = (0..3).map(|_| Upstream::start(|_, _| Reply::Silence)).collect();
    let known = each_in_a_group(&upstreams);
    let discovery = Discovery::start();
    let text = with_short_deadlines(&configuration(discovery.address, &known, 3.0, 1024));
    let mut child = program(&text);
    let (address, mut log) = address(&mut child);
    let mut kept: Vec<Caller> = (0..6).map(|_| Caller::connect(address)).collect();
    for caller in &mut kept {
        // Ready or not yet: it is a request, after which the connection is kept.
        assert!(matches!(caller.health(), Some(200 | 503)));
    }
    let classes = ["read", "pay", "order"];
    let mut callers: Vec<Caller> = Vec::new();
    for number in 0..12 {
        let mut caller = Caller::connect(address);
        caller.raw(&timed(classes[number % 3], &format!("before-{number}"), 3.0));
        callers.push(caller);
    }
    wait_for("requests hang", || {
        (upstreams.iter().map(|upstream| upstream.requests().len()).sum::<usize>() >= 6).then_some(())
    });
    let stopped = Instant::now();
    signal(&child, "-TERM");
    wait_line(&mut log, "into the drain");
    // Callers go on coming for as long as the front goes on sending.
    while stopped.elapsed() < Duration::from_millis(400) {
        let mut caller = Caller::connect(address);
        caller.raw(&timed(classes[callers.len() % 3], &format!("after-{}", callers.len()), 3.0));
        callers.push(caller);
        thread::sleep(Duration::from_millis(20));
    }
    // Clients go on using the connections they have; these have time past the earliest kill.
    thread::sleep(Duration::from_millis(1500).saturating_sub(stopped.elapsed()));
    for mut caller in kept {
        caller.raw(&timed(classes[callers.len() % 3], &format!("late-{}", callers.len()), 3.0));
        callers.push(caller);
    }
    for (number, mut caller) in callers.into_iter().enumerate() {
        let answer = caller.answer().unwrap_or_else(|| panic!("request {number} has no answer"));
        assert!(matches!(answer.status(), 502 | 503), "{number}: {}", answer.line);
        assert!(ends_empty(caller), "{number}: more than one answer");
    }
    let answered = stopped.elapsed();
    assert!(child.wait().expect("ends").success());
    println!("answered {answered:?} after SIGTERM, ended {:?} after it", stopped.elapsed());
    assert!(stopped.elapsed() < EARLIEST_KILL, "ended {:?} after SIGTERM", stopped.elapsed());
}

/// What callers of a load were told: how many orders each sent, and how many were answered with 200.
struct Load {
    callers: Vec<thread::JoinHandle<(usize, usize)>>,
    over: Arc<AtomicBool>,
}

impl Load {
    /// Starts callers that send orders, each with a body of its own, on a kept connection until that closes, and then
    /// one more on a new connection, as the front opens none later in a drain; or until the load is over.
    fn start(address: SocketAddr, callers: usize) -> Self {
        let over = Arc::new(AtomicBool::new(false));
        let callers = (0..callers)
            .map(|caller| {
                let over = Arc::clone(&over);
                thread::spawn(move || Self::send(address, caller, &over))
            })
            .collect();
        Self { callers, over }
    }

    fn send(address: SocketAddr, number: usize, over: &AtomicBool) -> (usize, usize) {
        let (mut sent, mut served) = (0, 0);
        let mut kept = Caller::connect(address);
        while !over.load(Ordering::Relaxed) {
            let Some(answer) = Self::ask(&mut kept, &format!("{number}-{sent}")) else {
                // It crossed the end of its connection, and counts as not sent.
                return Self::ask_anew(address, number, sent, served);
            };
            sent += 1;
            served += usize::from(answer.status() == 200);
            if answer.header("connection") == Some("close") {
                return Self::ask_anew(address, number, sent, served);
            }
            thread::sleep(Duration::from_millis(4));
        }
        (sent, served)
    }

    fn ask_anew(address: SocketAddr, number: usize, sent: usize, served: usize) -> (usize, usize) {
        let answer = Self::ask(&mut Caller::connect(address), &format!("{number}-anew"));
        (sent + 1, served + usize::from(answer.is_some_and(|answer| answer.status() == 200)))
    }

    fn ask(caller: &mut Caller, body: &str) -> Option<Message> {
        caller.0.write_all(&timed("order", body, 2.0)).ok()?;
        caller.answer()
    }

    /// Ends it: orders answered at all, and those served.
    fn end(self) -> (usize, usize) {
        self.over.store(true, Ordering::Relaxed);
        let each = self.callers.into_iter().map(|caller| caller.join().expect("no panic"));
        each.fold((0, 0), |(sent, served), one| (sent + one.0, served + one.1))
    }
}

/// Checks that no body came to these upstreams twice.
fn assert_nothing_ran_twice(upstreams: &[&Upstream]) {
    let mut ran: BTreeMap<Vec<u8>, usize> = BTreeMap::new();
    for (_, request) in upstreams.iter().flat_map(|upstream| upstream.requests()) {
        *ran.entry(request.body).or_default() += 1;
    }
    assert!(ran.values().all(|&times| times == 1), "something ran twice");
}

/// Guards reloads in quick succession under load: each SIGHUP names another discovery, the last one's list is in force
/// within 4 s, words of the earlier ones are not heard any more, and no request is lost.
#[test]
fn of_reloads_in_quick_succession_the_last_counts() {
    const RELOADS: usize = 8;
    let (old, new) = (Upstream::start(|_, _| ok("old")), Upstream::start(|_, _| ok("new")));
    let places: Vec<Discovery> = (0..RELOADS).map(|_| Discovery::start()).collect();
    let known = [endpoint("s-1", old.address, 0, "ready")];
    let first = Discovery::start();
    let mut child = program(&configuration(first.address, &known, 5.0, 1024));
    let (address, _log) = address(&mut child);
    let (_, mut earlier) = first.watch();
    let load = Load::start(address, 4);
    old.wait_requests(20);
    for (number, place) in places.iter().enumerate() {
        write_configuration(&configuration(place.address, &known, 5.0, 1024));
        signal(&child, "-HUP");
        // Every other one follows before the one before it can have been taken up.
        if number % 2 == 1 && number + 1 < RELOADS {
            earlier = place.watch().1;
        }
    }
    let told = Instant::now();
    let (_, last) = places[RELOADS - 1].watch();
    let gone = endpoint("s-1", old.address, 0, "gone");
    last.says(20, true, &[gone, endpoint("s-2", new.address, 1, "ready")]);
    new.wait_requests(1);
    assert!(told.elapsed() < Duration::from_secs(4), "{:?}", told.elapsed());
    let before = old.requests().len();
    // A word of before, with a later index.
    earlier.try_bytes(
        format!("{}\n", serde_json::json!({"index": 30, "snapshot": true, "endpoints": known})).as_bytes(),
    );
    let now = new.requests().len();
    new.wait_requests(now + 200);
    let (sent, served) = load.end();
    println!("{sent} orders under {RELOADS} reloads, {served} served");
    assert_eq!(sent, served, "an order was lost");
    assert_eq!(old.requests().len(), before, "sent to what is gone");
    assert_nothing_ran_twice(&[&old, &new]);
    child.kill().expect("it runs");
    child.wait().expect("ends");
}

/// Guards a shutdown during which an upstream is replaced: what callers go on sending is served, by the new one once the
/// old one drains, nothing goes to that past its grace, and nothing runs twice.
#[test]
fn an_upstream_replaced_while_the_balancer_drains_costs_no_request() {
    let (old, other) = (Upstream::start(|_, _| ok("old")), Upstream::start(|_, _| ok("other")));
    let replacement = Upstream::start(|_, _| ok("replacement"));
    let discovery = Discovery::start();
    let known = [endpoint("s-1", old.address, 0, "ready"), endpoint("s-2", other.address, 1, "ready")];
    let text = with_short_deadlines(&configuration(discovery.address, &known, 2.0, 1024));
    let mut child = program(&text);
    let (address, mut log) = address(&mut child);
    let (_, watch) = discovery.watch();
    let load = Load::start(address, 6);
    old.wait_requests(50);
    let stopped = Instant::now();
    signal(&child, "-TERM");
    wait_line(&mut log, "into the drain");
    watch.says(
        8,
        false,
        &[
            endpoint("s-1", old.address, 0, "draining"),
            endpoint("s-2", other.address, 1, "draining"),
            endpoint("s-1b", replacement.address, 2, "ready"),
        ],
    );
    replacement.wait_requests(1);
    thread::sleep(DRAIN_GRACE.saturating_sub(stopped.elapsed()));
    let before = old.requests().len() + other.requests().len();
    assert!(child.wait().expect("ends").success());
    assert!(stopped.elapsed() < EARLIEST_KILL, "ended {:?} after SIGTERM", stopped.elapsed());
    let (sent, served) = load.end();
    println!("{sent} orders, {served} served, {} by the replacement", replacement.requests().len());
    assert_eq!(old.requests().len() + other.requests().len(), before, "sent to what drains, past its grace");
    assert_eq!(sent, served, "an order was not served");
    assert_nothing_ran_twice(&[&old, &other, &replacement]);
}

/// Guards answers whose length nobody tells: those that come whole, and end with their connection, are forwarded, also
/// where they come in pieces.
#[test]
fn answers_without_a_length_that_come_whole_are_forwarded() {
    const ANSWERS: usize = 40;
    let upstream = Upstream::scripted(|number, _, stream| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n");
        if number % 4 == 3 {
            thread::sleep(Duration::from_millis(10));
        }
        let _ = stream.write_all(&vec![b'a'; number * 100]);
        Reply::Last(b"end".to_vec())
    });
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 5.0);
    let mut caller = balancer.caller();
    let mut forwarded = 0;
    for asked in 0..ANSWERS {
        let answer = caller.ask("order", "one");
        if answer.status() != 200 {
            continue;
        }
        forwarded += 1;
        assert!(
            answer.body.ends_with(b"end") && (answer.body.len() - 3) % 100 == 0,
            "{asked}: {:?}",
            answer.body
        );
    }
    println!("{forwarded} of {ANSWERS} forwarded");
    assert!(forwarded * 2 >= ANSWERS, "{forwarded} of {ANSWERS} forwarded");
}
