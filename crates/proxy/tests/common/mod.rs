//! A small world on loopback sockets: upstreams and a discovery that do as the test says, and a caller.
//! Everything listens on port 0; tests wait for what must happen, with limits that only a hang meets.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use balancer_proxy::config::Config;
use balancer_proxy::server::{self, Accept};
use config_distribution::document::{Document, Update};
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};
use tokio::sync::oneshot;

/// Longer than anything takes that works.
pub const LONG: Duration = Duration::from_secs(30);
/// Long enough for a close that is on its way, short beside any time-out of these tests.
pub const SOON: Duration = Duration::from_secs(3);

/// Waits until `happened` gives something.
pub fn wait_for<T>(what: &str, mut happened: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(value) = happened() {
            return value;
        }
        assert!(start.elapsed() < LONG, "never happened: {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

// --- Messages ---

/// A message as it came: first line, headers in small letters, body.
#[derive(Debug, Clone)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Bytes in all.
    pub size: usize,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(header, _)| header == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("a status line")
    }
}

/// Reads a message; `None` if the connection ends before one is whole.
pub fn read_message(stream: &mut TcpStream) -> Option<Message> {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => bytes.push(byte[0]),
            Ok(_) => return None,
            Err(error) if error.kind() == ErrorKind::WouldBlock => panic!("nothing came for too long"),
            Err(_) => return None,
        }
    }
    let head = String::from_utf8(bytes).expect("text");
    let mut lines = head.split("\r\n");
    let line = lines.next().expect("a first line").to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(": "))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned()))
        .collect();
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length.map_or(0, |(_, value)| value.parse().expect("a length"));
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(Message { line, headers, body, size: head.len() + length })
}

// --- Upstreams ---

/// What an upstream does with a request.
#[derive(Debug, Clone)]
pub enum Reply {
    /// Writes these bytes and goes on.
    Bytes(Vec<u8>),
    /// Writes these bytes and closes.
    Last(Vec<u8>),
    /// Says nothing until the balancer closes.
    Silence,
}

pub fn ok(body: &str) -> Reply {
    Reply::Bytes(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes())
}

pub fn status(line: &str) -> Reply {
    Reply::Bytes(format!("HTTP/1.1 {line}\r\nContent-Length: 0\r\n\r\n").into_bytes())
}

/// A connection as its upstream saw it.
#[derive(Debug, Clone, Copy)]
pub struct Link {
    /// Where it came from.
    pub peer: SocketAddr,
    /// A byte has come on it.
    pub spoken: bool,
    /// The balancer has closed it.
    pub closed: bool,
}

#[derive(Debug, Default)]
struct Seen {
    requests: Vec<(usize, Message)>,
    /// In the order in which they came up.
    links: Vec<Link>,
}

pub struct Upstream {
    pub address: SocketAddr,
    seen: Arc<Mutex<Seen>>,
}

impl Upstream {
    /// Starts one that answers by `script`, which is told the number of the request.
    pub fn start(script: impl Fn(usize, &Message) -> Reply + Send + Sync + 'static) -> Self {
        Self::scripted(move |number, message, _| script(number, message))
    }

    /// The same with the connection in the script's hands.
    pub fn scripted(
        script: impl Fn(usize, &Message, &mut TcpStream) -> Reply + Send + Sync + 'static,
    ) -> Self {
        Self::on(TcpListener::bind("127.0.0.1:0").expect("a free port"), Vec::new(), script)
    }

    /// The same on a listener of the test's, which itself has the connections from `own`.
    fn on(
        listener: TcpListener,
        own: Vec<SocketAddr>,
        script: impl Fn(usize, &Message, &mut TcpStream) -> Reply + Send + Sync + 'static,
    ) -> Self {
        let address = listener.local_addr().expect("bound");
        let seen = Arc::new(Mutex::new(Seen::default()));
        let (shared, script) = (Arc::clone(&seen), Arc::new(script));
        thread::spawn(move || {
            for (stream, peer) in std::iter::repeat_with(|| listener.accept()).flatten() {
                if own.contains(&peer) {
                    continue;
                }
                let (seen, script) = (Arc::clone(&shared), Arc::clone(&script));
                let connection = {
                    let mut seen = seen.lock().expect("no panic");
                    seen.links.push(Link { peer, spoken: false, closed: false });
                    seen.links.len()
                };
                thread::spawn(move || serve_upstream(stream, connection, &seen, &*script));
            }
        });
        Self { address, seen }
    }

    pub fn requests(&self) -> Vec<(usize, Message)> {
        self.seen.lock().expect("no panic").requests.clone()
    }

    pub fn connections(&self) -> usize {
        self.links().len()
    }

    pub fn links(&self) -> Vec<Link> {
        self.seen.lock().expect("no panic").links.clone()
    }

    /// All connections that came before this call, also those that have not been seen yet.
    pub fn all_links(&self) -> Vec<Link> {
        // They are taken in the order of their coming, so that one of the test's comes last.
        let last = TcpStream::connect(self.address).expect("accepted");
        let own = last.local_addr().expect("up");
        wait_for("the last connection is seen", || {
            let links = self.links();
            let place = links.iter().position(|link| link.peer == own)?;
            Some(links[..place].to_vec())
        })
    }

    /// How many requests came with this body.
    pub fn count_of(&self, body: &str) -> usize {
        self.requests().iter().filter(|(_, request)| request.body == body.as_bytes()).count()
    }

    pub fn wait_requests(&self, count: usize) {
        wait_for("requests at the upstream", || (self.requests().len() >= count).then_some(()));
    }

    pub fn wait_closed(&self, count: usize) {
        wait_for("the balancer closes", || {
            (self.links().iter().filter(|link| link.closed).count() >= count).then_some(())
        });
    }
}

fn serve_upstream(
    mut stream: TcpStream,
    connection: usize,
    seen: &Mutex<Seen>,
    script: &(dyn Fn(usize, &Message, &mut TcpStream) -> Reply + Send + Sync),
) {
    let change = |change: fn(&mut Link)| change(&mut seen.lock().expect("no panic").links[connection - 1]);
    if matches!(stream.peek(&mut [0]), Ok(1)) {
        change(|link| link.spoken = true);
    }
    while let Some(message) = read_message(&mut stream) {
        let number = {
            let mut seen = seen.lock().expect("no panic");
            seen.requests.push((connection, message.clone()));
            seen.requests.len() - 1
        };
        match script(number, &message, &mut stream) {
            Reply::Bytes(bytes) => {
                let _ = stream.write_all(&bytes);
            }
            Reply::Last(bytes) => {
                let _ = stream.write_all(&bytes);
                return;
            }
            Reply::Silence => {}
        }
    }
    change(|link| link.closed = true);
}

/// An address where nothing listens.
pub fn dead_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
}

pub fn endpoint(name: &str, address: SocketAddr, group: u32, status: &str) -> Value {
    json!({"name": name, "address": address.to_string(), "zone": "north", "type": "std", "group": group,
           "status": status, "weight": 1.0, "since_ms": 0})
}

// --- Connections that do not come up ---

/// A socket with a port of its own, to which nobody can connect yet. Its address is of this process alone: what still
/// looks for a peer of another's that has gone must not find this one.
pub fn bound() -> (Socket, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let any = SocketAddr::from(([127, high + 1, middle, low], 0));
    socket.bind(&any.into()).expect("a free port");
    let address = socket.local_addr().expect("bound").as_socket().expect("of IPv4");
    (socket, address)
}

/// The local ports of the connects to an address that are under way.
pub fn connecting(address: SocketAddr) -> Vec<u16> {
    let mut ports = listed_connecting(address);
    loop {
        // While other sockets come and go the system lists some twice, and may pass over others.
        let before = std::mem::replace(&mut ports, listed_connecting(address));
        if ports == before {
            return ports;
        }
    }
}

fn listed_connecting(address: SocketAddr) -> Vec<u16> {
    let SocketAddr::V4(address) = address else { panic!("of IPv4") };
    let remote = format!("{:08X}:{:04X}", u32::from_ne_bytes(address.ip().octets()), address.port());
    let sockets = std::fs::read_to_string("/proc/net/tcp").expect("the system lists its sockets");
    let mut ports = Vec::new();
    for line in sockets.lines().skip(1) {
        let fields: Vec<&str> = line.split_whitespace().collect();
        // A SYN is out.
        if fields[2] == remote && fields[3] == "02" {
            let port = fields[1].rsplit(':').next().expect("an address");
            ports.push(u16::from_str_radix(port, 16).expect("a port"));
        }
    }
    ports.sort_unstable();
    ports.dedup();
    ports
}

/// An upstream to which connections do not come up until [`Late::open`]: the system takes no more than its queue
/// holds, and tries again a second later.
pub struct Late {
    listener: Socket,
    pub address: SocketAddr,
    queue: Vec<TcpStream>,
}

impl Late {
    pub fn start() -> Self {
        let mut late = Self::with_room_for_one();
        late.close_up();
        late
    }

    /// One that takes a connection as long as none waits to be accepted.
    pub fn with_room_for_one() -> Self {
        let (listener, address) = bound();
        // A queue of no length holds one.
        listener.listen(0).expect("listens");
        listener.set_read_timeout(Some(LONG)).expect("set");
        Self { listener, address, queue: Vec::new() }
    }

    /// The next connection, which leaves its place in the queue.
    pub fn accept(&self) -> TcpStream {
        self.listener.accept().expect("a connection").0.into()
    }

    /// From here on no connection comes up.
    pub fn close_up(&mut self) {
        self.queue.push(TcpStream::connect(self.address).expect("the queue takes it"));
    }

    /// Waits until the balancer has asked for so many connections.
    pub fn wait_connecting(&self, count: usize) {
        wait_for("connects are under way", || (connecting(self.address).len() >= count).then_some(()));
    }

    /// Waits until so many connects are left under way.
    pub fn wait_connecting_falls(&self, count: usize) {
        wait_for("connects are let go of", || (connecting(self.address).len() <= count).then_some(()));
    }

    /// Lets connections come up, and gives those of the balancer as they come.
    pub fn open(self) -> mpsc::Receiver<TcpStream> {
        let (report, came) = mpsc::channel();
        let (listener, own) = self.lift();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !own.contains(&stream.peer_addr().expect("up")) && report.send(stream).is_err() {
                    return;
                }
            }
        });
        came
    }

    /// Lets connections come up, and serves them.
    pub fn serve(self, script: impl Fn(usize, &Message) -> Reply + Send + Sync + 'static) -> Upstream {
        let (listener, own) = self.lift();
        Upstream::on(listener, own, move |number, message, _| script(number, message))
    }

    /// The listener with room for connections, and where the test's own ones come from.
    fn lift(self) -> (TcpListener, Vec<SocketAddr>) {
        let own = self.queue.iter().map(|own| own.local_addr().expect("up")).collect();
        // Room for all of them: one that finds none would be left half open.
        self.listener.listen(1024).expect("listens");
        self.listener.set_read_timeout(None).expect("set");
        (self.listener.into(), own)
    }
}

/// What comes on a connection up to its end.
pub fn all_of(mut stream: TcpStream) -> Vec<u8> {
    stream.set_read_timeout(Some(LONG)).expect("set");
    let mut bytes = Vec::new();
    match stream.read_to_end(&mut bytes) {
        Ok(_) => bytes,
        Err(error) if error.kind() == ErrorKind::ConnectionReset => bytes,
        Err(error) => panic!("never closed: {error}"),
    }
}

// --- Discovery ---

/// A discovery whose watches say what the test hands over.
pub struct Discovery {
    pub address: SocketAddr,
    /// The request lines of the watches, in order, each with what feeds it.
    watches: Receiver<(String, Sender<Option<Vec<u8>>>)>,
}

impl Discovery {
    pub fn start() -> Self {
        Self::beating(Duration::from_millis(500))
    }

    /// One whose watches say so every `beat` that nothing has changed.
    pub fn beating(beat: Duration) -> Self {
        Self::on(TcpListener::bind("127.0.0.1:0").expect("a free port"), beat)
    }

    /// The same on a listener of the test's.
    pub fn on(listener: TcpListener, beat: Duration) -> Self {
        let address = listener.local_addr().expect("bound");
        let (report, watches) = mpsc::channel();
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let report = report.clone();
                thread::spawn(move || {
                    let Some(message) = read_message(&mut stream) else { return };
                    let (feed, food) = mpsc::channel();
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    if report.send((message.line, feed)).is_ok() {
                        feed_watch(stream, &food, beat);
                    }
                });
            }
        });
        Self { address, watches }
    }

    /// The next watch that the balancer opens.
    pub fn watch(&self) -> (String, Watch) {
        let (line, feed) = self.watches.recv_timeout(LONG).expect("the balancer opens a watch");
        (line, Watch(feed))
    }
}

fn feed_watch(mut stream: TcpStream, food: &Receiver<Option<Vec<u8>>>, beat: Duration) {
    loop {
        let bytes = match food.recv_timeout(beat) {
            Ok(Some(bytes)) => bytes,
            Err(RecvTimeoutError::Timeout) => b"\n".to_vec(),
            // Ends with no last chunk, as when discovery goes down.
            Ok(None) | Err(RecvTimeoutError::Disconnected) => return,
        };
        let chunk = [format!("{:x}\r\n", bytes.len()).as_bytes(), &bytes, b"\r\n"].concat();
        if stream.write_all(&chunk).is_err() {
            return;
        }
    }
}

// --- Distribution of settings ---

/// A parent whose watches say what the test hands over, and that takes reports.
pub struct Parent {
    pub address: SocketAddr,
    watches: Receiver<(String, Sender<Option<Vec<u8>>>)>,
    reports: Receiver<Value>,
}

impl Parent {
    pub fn start() -> Self {
        Self::beating(Duration::from_millis(500))
    }

    /// One whose watches say so every `beat` that nothing has changed.
    pub fn beating(beat: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let ((report_watch, watches), (report, reports)) = (mpsc::channel(), mpsc::channel());
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let (report_watch, report) = (report_watch.clone(), report.clone());
                thread::spawn(move || {
                    let Some(message) = read_message(&mut stream) else { return };
                    if message.line.starts_with("POST") {
                        assert_eq!(message.line, "POST /configuration/report HTTP/1.1");
                        let _ = report.send(serde_json::from_slice(&message.body).expect("JSON"));
                        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
                        return;
                    }
                    let (feed, food) = mpsc::channel();
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    let _ = report_watch.send((message.line, feed));
                    feed_watch(stream, &food, beat);
                });
            }
        });
        Self { address, watches, reports }
    }

    /// The next watch that the balancer opens.
    pub fn watch(&self) -> (String, Watch) {
        let (line, feed) = self.watches.recv_timeout(LONG).expect("the balancer opens a watch");
        (line, Watch(feed))
    }

    /// The same, if it has opened one.
    pub fn try_watch(&self) -> Option<(String, Watch)> {
        self.watches.try_recv().ok().map(|(line, feed)| (line, Watch(feed)))
    }

    /// Waits for a report that `fits`.
    pub fn wait_report(&self, what: &str, fits: impl Fn(&Value) -> bool) -> Value {
        let by = Instant::now() + LONG;
        loop {
            let left = by.saturating_duration_since(Instant::now());
            let report = self.reports.recv_timeout(left).unwrap_or_else(|_| panic!("never reported: {what}"));
            if fits(&report) {
                return report;
            }
        }
    }

    /// Waits until this version of a scope's document is reported as in force.
    pub fn wait_version(&self, scope: &str, version: u64) -> Value {
        self.wait_report(&format!("{scope} {version}"), |report| report["versions"][scope] == version)
    }
}

/// A document whose body holds these settings; `null` withdraws it.
pub fn document(scope: &str, version: u64, settings: &Value) -> Document {
    let body = if settings.is_null() { "null".to_owned() } else { json!({"settings": settings}).to_string() };
    Document::new(scope.parse().expect("a scope"), version, body.into())
}

/// The same configuration with these parents.
pub fn with_parents(configuration: &str, parents: &[SocketAddr]) -> String {
    let mut configuration: Value = serde_json::from_str(configuration).expect("JSON");
    let parents: Vec<String> = parents.iter().map(SocketAddr::to_string).collect();
    configuration["distribution"] = json!({"parents": parents, "region": "north", "service": "api"});
    configuration.to_string()
}

pub struct Watch(Sender<Option<Vec<u8>>>);

impl Watch {
    pub fn bytes(&self, bytes: &[u8]) {
        self.0.send(Some(bytes.to_vec())).expect("the watch stands");
    }

    /// The same on a watch that the balancer may have given up; tells whether it still takes bytes.
    pub fn try_bytes(&self, bytes: &[u8]) -> bool {
        self.0.send(Some(bytes.to_vec())).is_ok()
    }

    pub fn says(&self, index: u64, whole: bool, endpoints: &[Value]) {
        let line = json!({"index": index, "snapshot": whole, "endpoints": endpoints});
        self.bytes(format!("{line}\n").as_bytes());
    }

    pub fn end(&self) {
        self.0.send(None).expect("the watch stands");
    }

    /// All documents there are, at this index.
    pub fn holds(&self, index: u64, documents: Vec<Document>) {
        self.updates(&Update { index, snapshot: true, after: 0, stale_s: 0, documents });
    }

    /// A document of this version on top of the index before.
    pub fn publishes(&self, document: Document) {
        let index = document.version;
        let update =
            Update { index, snapshot: false, after: index - 1, stale_s: 0, documents: vec![document] };
        self.updates(&update);
    }

    pub fn updates(&self, update: &Update) {
        let line = serde_json::to_string(update).expect("JSON");
        self.bytes(format!("{line}\n").as_bytes());
    }
}

// --- The balancer ---

/// The settings of the tests: three classes, answers wanted within `aim` seconds.
pub fn settings(aim: f64) -> Value {
    json!({
        "balancers": 1, "me": 0, "tier": 0, "zone": "north", "zones": ["north"], "kinds": ["std"],
        "lanes": [
            {"name": "read", "onTimeS": aim, "hardLimitS": 60.0, "effect": "idempotent"},
            {"name": "pay", "onTimeS": aim, "hardLimitS": 60.0, "effect": "deduplicated",
             "dedupScope": "cell", "windowS": 10.0},
            {"name": "order", "onTimeS": aim, "hardLimitS": 60.0, "effect": "at_most_once"}],
        "projects": [{"name": "acme"}], "overShareWorth": 0.1, "discovery": "subscribe",
        "caps": {"tryLimit": 3, "secondCopies": false, "cancel": true, "retryAfter": true,
                 "maxRetryAfterS": 1.5, "keepaliveS": 15.0, "multiplex": 1, "dialTimeoutS": 5.0},
        "rules": {"answerSlackS": 0.02, "askWithinS": 10.0, "coldShare": 0.2, "coldS": 10.0,
                  "drainGraceS": 1.0, "fallMultiple": 3.0, "overloadForS": 2.0}})
}

/// The text of a configuration whose list in hand is `known`.
pub fn configuration(discovery: SocketAddr, known: &[Value], aim: f64, sockets: usize) -> String {
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "8c1f",
           "limits": {"sockets": sockets},
           "known": {"index": 7, "snapshot": true, "endpoints": known}, "settings": settings(aim)})
    .to_string()
}

/// The same where an attempt waits so long for a connection at the most.
pub fn with_dial_timeout(configuration: &str, seconds: f64) -> String {
    let usual = "\"dialTimeoutS\":5.0";
    assert!(configuration.contains(usual));
    configuration.replace(usual, &format!("\"dialTimeoutS\":{seconds:?}"))
}

/// The configuration that this text gives.
pub fn parsed(configuration: &str) -> Config {
    Config::parse(configuration, |_| None).expect("a sound configuration")
}

/// A balancer on a thread of its own; it drains when dropped.
pub struct Balancer {
    pub address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Balancer {
    /// Starts one with this configuration on a free port.
    pub fn start(configuration: &str) -> Self {
        Self::start_on(parsed(configuration), |listener| listener)
    }

    /// The same on a listener that is made of a real one.
    pub fn start_on<A: Accept>(
        config: Config,
        make_listener: impl FnOnce(tokio::net::TcpListener) -> A + Send + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        listener.set_nonblocking(true).expect("set");
        let address = listener.local_addr().expect("bound");
        let (stop, stopped) = oneshot::channel();
        let thread = thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("starts");
            let served = tokio::task::LocalSet::new().block_on(&runtime, async {
                let listener = tokio::net::TcpListener::from_std(listener)?;
                let stop = async {
                    // The sender's end is the signal, sent or dropped.
                    let _ = stopped.await;
                };
                server::serve_on(make_listener(listener), config, stop).await
            });
            served.expect("serves");
        });
        Self { address, stop: Some(stop), thread: Some(thread) }
    }

    /// With these upstreams, answers wanted within `aim` seconds, and a discovery that has nothing to add.
    pub fn with(known: &[Value], aim: f64) -> (Self, Discovery) {
        let discovery = Discovery::start();
        (Self::start(&configuration(discovery.address, known, aim, 1024)), discovery)
    }

    pub fn caller(&self) -> Caller {
        Caller::connect(self.address)
    }

    /// What the front is told.
    pub fn health(&self) -> u16 {
        let mut caller = self.caller();
        caller.raw(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
        caller.answer().expect("an answer").status()
    }

    /// Begins the drain, and does not wait for its end.
    pub fn stop(&mut self) {
        self.stop.take();
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.stop.take();
        if let Some(thread) = self.thread.take() {
            let ended = thread.join();
            assert!(ended.is_ok() || thread::panicking(), "the balancer panicked");
        }
    }
}

// --- The program as a process ---

pub fn program(configuration: &str) -> Child {
    program_within(1024, configuration)
}

/// Writes the configuration file of the test that runs on this thread.
pub fn write_configuration(configuration: &str) -> PathBuf {
    let mut file = std::env::temp_dir();
    file.push(format!("balancer-proxy-{}-{:?}.json", std::process::id(), std::thread::current().id()));
    std::fs::File::create(&file)
        .and_then(|mut file| file.write_all(configuration.as_bytes()))
        .expect("written");
    file
}

pub fn signal(child: &Child, name: &str) {
    let sent = Command::new("kill").args([name, &child.id().to_string()]).status().expect("sent");
    assert!(sent.success());
}

/// Starts the program where descriptors really run out.
pub fn program_within(descriptors: usize, configuration: &str) -> Child {
    program_on(descriptors, &write_configuration(configuration))
}

/// The same on a file that is there.
pub fn program_on(descriptors: usize, file: &Path) -> Child {
    Command::new("/bin/sh")
        .args(["-c", &format!("ulimit -n {descriptors}; exec \"$0\""), env!("CARGO_BIN_EXE_balancer-proxy")])
        .env_clear()
        .env("PROXY_CONFIG", file)
        // A failed test leaves it behind, which must not keep the test's own output open.
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .expect("starts")
}

/// Where the program says that it listens; its log stays open with the reader.
pub fn address(child: &mut Child) -> (SocketAddr, BufReader<ChildStderr>) {
    let mut log = BufReader::new(child.stderr.take().expect("piped"));
    let mut line = String::new();
    log.read_line(&mut line).expect("a line");
    let address = line.trim().rsplit(' ').next().and_then(|text| text.parse().ok()).expect("an address");
    (address, log)
}

/// Waits for a line of the log that holds `part`.
pub fn wait_line(log: &mut BufReader<ChildStderr>, part: &str) {
    let mut line = String::new();
    wait_for(part, || {
        line.clear();
        log.read_line(&mut line).expect("a line");
        line.contains(part).then_some(())
    });
}

// --- Callers ---

/// The text of a request as callers write it.
fn request(class: &str, body: &str) -> String {
    let (method, key) = if class == "read" { ("GET", "") } else { ("POST", "Idempotency-Key: k-1\r\n") };
    format!(
        "{method} /{class}?k=7f HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: r-1\r\nX-Tenant: acme\r\n\
         X-Deadline: 50\r\n{key}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A caller's request with these bytes behind it.
pub fn order_with(extra: &[u8]) -> Vec<u8> {
    let head = "POST /order?k=7f HTTP/1.1\r\nHost: a\r\nX-Request-Id: r\r\nX-Tenant: acme\r\n\
                Content-Length: 3\r\n\r\none";
    [head.as_bytes(), extra].concat()
}

/// A caller's connection.
pub struct Caller(pub TcpStream);

impl Caller {
    pub fn connect(address: SocketAddr) -> Self {
        Self::new(TcpStream::connect(address).expect("accepted"))
    }

    pub fn new(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(LONG)).expect("set");
        Self(stream)
    }

    /// Asks on a connection that may be closed by now.
    pub fn try_ask(&mut self, class: &str, body: &str) -> Option<Message> {
        self.0.write_all(request(class, body).as_bytes()).ok()?;
        self.answer()
    }

    pub fn send(&mut self, class: &str, body: &str) {
        self.raw(request(class, body).as_bytes());
    }

    pub fn raw(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).expect("written");
    }

    /// The answer, if one comes before the connection ends.
    pub fn answer(&mut self) -> Option<Message> {
        read_message(&mut self.0)
    }

    pub fn ask(&mut self, class: &str, body: &str) -> Message {
        self.send(class, body);
        self.answer().expect("an answer")
    }
}
