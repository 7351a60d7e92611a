//! A small world on loopback sockets to play real balancers in: stand-in upstreams and discovery, the balancer as a
//! process, and callers that send at drawn times whatever became of the calls before.

use std::collections::VecDeque;
use std::fs;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use clap::Args;
use hdrhistogram::Histogram;
use oorandom::Rand64;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::watch;

use crate::CapacityError;
use crate::plan::Plan;

/// Where everything listens: a free port of this machine alone.
const ANYWHERE: (Ipv4Addr, u16) = (Ipv4Addr::LOCALHOST, 0);
/// Longest wait for a process to come up.
const START_MOST: Duration = Duration::from_secs(20);
/// How long after the last call its answer is waited for.
const ANSWER_MOST: Duration = Duration::from_secs(6);
/// Lines of a process's log that are kept.
const LOG_LINES: usize = 200;
/// Bytes of a message at most.
const MESSAGE_MOST: usize = 64 * 1024;
/// Balancers that are started at most.
pub const BALANCERS_MOST: usize = 150;

/// What the parts that play real processes are told alike.
#[derive(Debug, Clone, Args)]
pub struct Common {
    /// Folder that gets `slopes/` and `results/`.
    #[arg(long, default_value = "crates/capacity")]
    pub out: PathBuf,
    /// Seed of all that is drawn.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// A quick version with few sizes and calls, whose figures are none.
    #[arg(long)]
    pub small: bool,
    /// The balancer's program; without it `balancer-proxy` beside this one.
    #[arg(long)]
    pub program: Option<PathBuf>,
}

impl Common {
    /// The balancer's program, or another one beside it.
    ///
    /// # Errors
    /// There is no such file.
    pub fn program(&self, name: &'static str) -> Result<PathBuf, CapacityError> {
        let beside = |folder: &Path| folder.join(name);
        let path = match (&self.program, std::env::current_exe()) {
            (Some(path), _) if name == BALANCER => path.clone(),
            (Some(path), _) => beside(path.parent().unwrap_or(Path::new("."))),
            (None, Ok(own)) => beside(own.parent().unwrap_or(Path::new("."))),
            (None, Err(cause)) => return Err(CapacityError::run("finding this program", cause)),
        };
        if path.is_file() {
            Ok(path)
        } else {
            let expected = format!("no program at {}: build it, or name it", path.display());
            Err(CapacityError::Argument { name: "program", expected })
        }
    }

    /// Where slopes and results go; the folders are made.
    ///
    /// # Errors
    /// They cannot be made.
    pub fn folders(&self) -> Result<(PathBuf, PathBuf), CapacityError> {
        let (slopes, results) = (self.out.join("slopes"), self.out.join("results"));
        for folder in [&slopes, &results] {
            fs::create_dir_all(folder).map_err(|cause| CapacityError::file(folder, cause))?;
        }
        Ok((slopes, results))
    }
}

/// The balancer's program.
pub const BALANCER: &str = "balancer-proxy";
/// The distribution's program.
pub const DISTRIBUTION: &str = "config-distribution";

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn listen() -> Result<(TcpListener, SocketAddr), CapacityError> {
    TcpListener::bind(ANYWHERE)
        .and_then(|listener| listener.local_addr().map(|address| (listener, address)))
        .map_err(|cause| CapacityError::run("listening on a free port", cause))
}

// --- Messages ---

/// The length of a message's head with the empty line, once it is whole.
fn head_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(4).position(|four| four == b"\r\n\r\n").map(|at| at + 4)
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.split("\r\n").skip(1).find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// A whole message at the start of some bytes: its head and where its body ends.
fn message(bytes: &[u8]) -> Option<(&str, usize, usize)> {
    let head_end = head_end(bytes)?;
    let head = std::str::from_utf8(&bytes[..head_end]).ok()?;
    let length: usize = header(head, "content-length").map_or(Some(0), |value| value.parse().ok())?;
    (bytes.len() >= head_end + length).then_some((head, head_end, head_end + length))
}

// --- Upstreams ---

/// What the stand-in upstreams saw.
#[derive(Debug)]
pub struct Seen {
    /// How many times each request ran, by its id.
    runs: Vec<AtomicU8>,
    next_id: AtomicUsize,
    /// Connections that came up.
    opened: AtomicU64,
    zero: Instant,
    /// By upstream: nanoseconds from `zero` to its latest request, 0 for none.
    latest: Vec<AtomicU64>,
    stall: Mutex<Option<(usize, Duration)>>,
}

impl Seen {
    /// Ids for so many calls: the first of them.
    ///
    /// # Errors
    /// More than was reckoned with.
    pub fn take_ids(&self, count: usize) -> Result<usize, CapacityError> {
        let first = self.next_id.fetch_add(count, Ordering::Relaxed);
        if first + count > self.runs.len() {
            return Err(CapacityError::run(
                "giving ids to calls",
                format!("only {} are there", self.runs.len()),
            ));
        }
        Ok(first)
    }

    /// How many times a request ran.
    #[must_use]
    pub fn runs(&self, id: usize) -> u8 {
        self.runs.get(id).map_or(0, |runs| runs.load(Ordering::Acquire))
    }

    /// Connections that came up until now.
    #[must_use]
    pub fn opened(&self) -> u64 {
        self.opened.load(Ordering::Relaxed)
    }

    /// When the latest request came to an upstream.
    #[must_use]
    pub fn latest(&self, upstream: usize) -> Option<Instant> {
        let latest = self.latest.get(upstream)?.load(Ordering::Acquire);
        (latest > 0).then(|| self.zero + Duration::from_nanos(latest))
    }

    /// The request of that id holds up its upstream's thread for so long.
    pub fn stall(&self, id: usize, span: Duration) {
        *lock(&self.stall) = Some((id, span));
    }

    fn note(&self, id: usize, upstream: usize) {
        if let Some(runs) = self.runs.get(id) {
            runs.fetch_add(1, Ordering::AcqRel);
        }
        self.latest[upstream].store(self.zero.elapsed().as_nanos() as u64, Ordering::Release);
        let mut stall = lock(&self.stall);
        if let Some((_, span)) = stall.take_if(|(at, _)| *at == id) {
            drop(stall);
            thread::sleep(span);
        }
    }
}

/// Stand-in upstreams: each a port that answers each request at once with its id, how many its connection has had,
/// and its own number.
#[derive(Debug)]
pub struct Upstreams {
    /// Where they listen.
    pub addresses: Vec<SocketAddr>,
    /// What they saw.
    pub seen: Arc<Seen>,
    stop: watch::Sender<bool>,
    threads: Vec<JoinHandle<()>>,
}

impl Upstreams {
    /// Starts so many on so many threads, for at most so many calls in all.
    ///
    /// # Errors
    /// No port is free, or a thread does not start.
    pub fn start(count: usize, threads: usize, calls: usize) -> Result<Self, CapacityError> {
        let mut listeners = Vec::new();
        for _ in 0..count {
            listeners.push(listen()?);
        }
        let addresses = listeners.iter().map(|(_, address)| *address).collect();
        let seen = Arc::new(Seen {
            runs: (0..calls).map(|_| AtomicU8::new(0)).collect(),
            next_id: AtomicUsize::new(0),
            opened: AtomicU64::new(0),
            zero: Instant::now(),
            latest: (0..count).map(|_| AtomicU64::new(0)).collect(),
            stall: Mutex::new(None),
        });
        let (stop, stopped) = watch::channel(false);
        let mut parts: Vec<Vec<(usize, TcpListener)>> = (0..threads).map(|_| Vec::new()).collect();
        for (number, (listener, _)) in listeners.into_iter().enumerate() {
            parts[number % threads].push((number, listener));
        }
        let mut started = Self { addresses, seen, stop, threads: Vec::new() };
        for part in parts {
            let (seen, stopped) = (Arc::clone(&started.seen), stopped.clone());
            let thread = thread::Builder::new().name("upstreams".to_owned());
            let thread = thread.spawn(move || on_runtime(stopped, || serve_part(part, &seen)));
            started.threads.push(thread.map_err(|cause| CapacityError::run("starting upstreams", cause))?);
        }
        Ok(started)
    }

    /// Their entries of the list, all ready.
    #[must_use]
    pub fn entries(&self) -> Vec<Value> {
        (0..self.addresses.len()).map(|number| self.entry(number, "ready", 0)).collect()
    }

    /// The entry of one, as it stands now.
    #[must_use]
    pub fn entry(&self, number: usize, status: &str, since_ms: u64) -> Value {
        entry(number, self.addresses[number], status, since_ms)
    }
}

impl Drop for Upstreams {
    fn drop(&mut self) {
        let _ = self.stop.send(true);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// An entry of a list, as discovery writes it.
#[must_use]
pub fn entry(number: usize, address: SocketAddr, status: &str, since_ms: u64) -> Value {
    json!({"name": format!("api-{number:05}"), "address": address.to_string(), "zone": "north-1",
           "type": "std", "group": number % 8, "status": status, "weight": 1.0, "since_ms": since_ms})
}

/// Runs tasks on a runtime of this thread until told to stop.
fn on_runtime(mut stopped: watch::Receiver<bool>, tasks: impl FnOnce() -> std::io::Result<()>) {
    let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_io().build() else { return };
    tokio::task::LocalSet::new().block_on(&runtime, async {
        if tasks().is_ok() {
            let _ = stopped.wait_for(|stopped| *stopped).await;
        }
    });
}

fn serve_part(part: Vec<(usize, TcpListener)>, seen: &Arc<Seen>) -> std::io::Result<()> {
    for (number, listener) in part {
        listener.set_nonblocking(true)?;
        let listener = tokio::net::TcpListener::from_std(listener)?;
        let seen = Arc::clone(seen);
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                seen.opened.fetch_add(1, Ordering::Relaxed);
                tokio::task::spawn_local(serve(stream, number, Arc::clone(&seen)));
            }
        });
    }
    Ok(())
}

async fn serve(mut stream: tokio::net::TcpStream, number: usize, seen: Arc<Seen>) {
    let _ = stream.set_nodelay(true);
    let (mut bytes, mut count) = (Vec::with_capacity(1024), 0);
    loop {
        while let Some((head, _, end)) = message(&bytes) {
            let id = header(head, "x-request-id").and_then(|id| id.parse().ok()).unwrap_or(usize::MAX);
            bytes.drain(..end);
            seen.note(id, number);
            count += 1;
            let body = format!("{id} {count} {number}");
            let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
        if bytes.len() > MESSAGE_MOST || !matches!(stream.read_buf(&mut bytes).await, Ok(1..)) {
            return;
        }
    }
}

// --- A relay of bytes ---

/// Passes bytes on between callers and upstreams, on the same kind of runtime as the balancer, and does nothing else:
/// what any process between the two costs on this machine.
#[derive(Debug)]
pub struct ByteRelay {
    /// Where it listens.
    pub address: SocketAddr,
    stop: watch::Sender<bool>,
    thread: Option<JoinHandle<()>>,
}

impl ByteRelay {
    /// Starts one that deals its connections to these in turn.
    ///
    /// # Errors
    /// No port is free, or the thread does not start.
    pub fn start(upstreams: Vec<SocketAddr>) -> Result<Self, CapacityError> {
        let (listener, address) = listen()?;
        let (stop, stopped) = watch::channel(false);
        let thread = thread::Builder::new().name("relay".to_owned()).spawn(move || {
            on_runtime(stopped, || {
                listener.set_nonblocking(true)?;
                let listener = tokio::net::TcpListener::from_std(listener)?;
                tokio::task::spawn_local(async move {
                    for upstream in upstreams.iter().cycle() {
                        let Ok((mut near, _)) = listener.accept().await else { return };
                        let upstream = *upstream;
                        tokio::task::spawn_local(async move {
                            let Ok(mut far) = tokio::net::TcpStream::connect(upstream).await else { return };
                            let _ = (near.set_nodelay(true), far.set_nodelay(true));
                            let _ = tokio::io::copy_bidirectional(&mut near, &mut far).await;
                        });
                    }
                });
                Ok(())
            });
        });
        let thread = thread.map_err(|cause| CapacityError::run("starting a relay", cause))?;
        Ok(Self { address, stop, thread: Some(thread) })
    }
}

impl Drop for ByteRelay {
    fn drop(&mut self) {
        let _ = self.stop.send(true);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

// --- Discovery ---

#[derive(Debug)]
struct List {
    index: u64,
    entries: Vec<Value>,
    watches: Vec<Sender<Arc<[u8]>>>,
}

/// A stand-in discovery: tells each watch the whole list, then each change, and an empty line every beat.
#[derive(Debug)]
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    list: Arc<Mutex<List>>,
    stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Discovery {
    /// Starts one with this list at index 1.
    ///
    /// # Errors
    /// No port is free, or the thread does not start.
    pub fn start(entries: Vec<Value>, beat: Duration) -> Result<Self, CapacityError> {
        let (listener, address) = listen()?;
        let list = Arc::new(Mutex::new(List { index: 1, entries, watches: Vec::new() }));
        let stopped = Arc::new(AtomicBool::new(false));
        let (shared, stop) = (Arc::clone(&list), Arc::clone(&stopped));
        let thread = thread::Builder::new().name("discovery".to_owned()).spawn(move || {
            for stream in listener.incoming().flatten() {
                if stop.load(Ordering::Acquire) {
                    return;
                }
                let list = Arc::clone(&shared);
                thread::spawn(move || tell(stream, &list, beat));
            }
        });
        let thread = thread.map_err(|cause| CapacityError::run("starting a discovery", cause))?;
        Ok(Self { address, list, stopped, thread: Some(thread) })
    }

    /// Watches that stand.
    #[must_use]
    pub fn watches(&self) -> usize {
        lock(&self.list).watches.len()
    }

    /// Publishes a change of one entry.
    pub fn change(&self, number: usize, entry: Value) {
        let mut list = lock(&self.list);
        list.index += 1;
        let line = json!({"index": list.index, "snapshot": false, "endpoints": [entry]}).to_string();
        if let Some(place) = list.entries.get_mut(number) {
            *place = entry;
        }
        let line: Arc<[u8]> = (line + "\n").into_bytes().into();
        list.watches.retain(|watch| watch.send(Arc::clone(&line)).is_ok());
    }
}

impl Drop for Discovery {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Release);
        lock(&self.list).watches.clear();
        // Wakes the thread that waits for a connection.
        let _ = TcpStream::connect(self.address);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn tell(mut stream: TcpStream, list: &Mutex<List>, beat: Duration) {
    let mut head = Vec::new();
    let mut part = [0; 512];
    while head_end(&head).is_none() {
        match stream.read(&mut part) {
            Ok(count @ 1..) if head.len() < MESSAGE_MOST => head.extend_from_slice(&part[..count]),
            _ => return,
        }
    }
    let (whole, changes): (String, Receiver<Arc<[u8]>>) = {
        let mut list = lock(list);
        let (watch, changes) = mpsc::channel();
        list.watches.push(watch);
        (
            json!({"index": list.index, "snapshot": true, "endpoints": list.entries}).to_string() + "\n",
            changes,
        )
    };
    let _ = stream.set_nodelay(true);
    if stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n").is_err() {
        return;
    }
    let mut chunk = |bytes: &[u8]| {
        let framed = [format!("{:x}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat();
        stream.write_all(&framed)
    };
    if chunk(whole.as_bytes()).is_err() {
        return;
    }
    loop {
        let told = match changes.recv_timeout(beat) {
            Ok(line) => chunk(&line),
            Err(RecvTimeoutError::Timeout) => chunk(b"\n"),
            Err(RecvTimeoutError::Disconnected) => return,
        };
        if told.is_err() {
            return;
        }
    }
}

// --- The balancer as a process ---

/// Settings of a balancer that so many copies share the list with, by the plan.
#[must_use]
pub fn settings(plan: &Plan, copies: usize) -> Value {
    let (aim, limit) = (plan.traffic.aim_s.value, plan.traffic.deadline_s.value);
    let tenants: Vec<Value> =
        (0..plan.traffic.tenants.value).map(|number| json!({"name": format!("t{number}")})).collect();
    json!({
        "balancers": copies.max(1), "me": 0, "tier": 1, "zone": "north-1", "zones": ["north-1"],
        "kinds": ["std"],
        "lanes": [
            {"name": "read", "onTimeS": aim, "hardLimitS": limit, "effect": "idempotent"},
            {"name": "pay", "onTimeS": aim, "hardLimitS": limit, "effect": "deduplicated",
             "dedupScope": "cell", "windowS": 10.0},
            {"name": "order", "onTimeS": aim, "hardLimitS": limit, "effect": "at_most_once"}],
        "projects": tenants, "overShareWorth": 0.1, "discovery": "subscribe",
        "caps": {"tryLimit": plan.traffic.attempts.value, "secondCopies": false, "cancel": true,
                 "retryAfter": true, "maxRetryAfterS": 1.5, "keepaliveS": 30.0, "multiplex": 1,
                 "dialTimeoutS": 0.25},
        "rules": {"answerSlackS": 0.02, "askWithinS": 10.0, "coldShare": 0.2, "coldS": 10.0,
                  "drainGraceS": 1.0, "fallMultiple": 3.0, "overloadForS": 2.0}})
}

/// The configuration of a balancer with this list in hand.
#[must_use]
pub fn configuration(name: &str, discovery: SocketAddr, known: &[Value], settings: &Value) -> Value {
    json!({"name": name, "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "8c1f",
           "limits": {"sockets": 1024},
           "known": {"index": 1, "snapshot": true, "endpoints": known}, "settings": settings})
}

/// Hears the lines of a process.
type Heard = dyn Fn(&str) + Send + Sync;

/// A child process that is ended, by its id, when this is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    file: Option<PathBuf>,
    log: Arc<Mutex<VecDeque<String>>>,
    readers: Vec<JoinHandle<()>>,
}

impl Process {
    /// Starts a program whose lines, of both its outputs, are kept and handed to `line` as they come.
    ///
    /// # Errors
    /// It does not start.
    fn start(mut command: Command, file: Option<PathBuf>, line: Arc<Heard>) -> Result<Self, CapacityError> {
        let started = command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped()).spawn();
        let mut child =
            started.map_err(|cause| CapacityError::run(format!("starting {command:?}"), cause))?;
        let log: Arc<Mutex<VecDeque<String>>> = Arc::default();
        let outputs: [Option<Box<dyn Read + Send>>; 2] = [
            child.stdout.take().map(|output| Box::new(output) as Box<dyn Read + Send>),
            child.stderr.take().map(|output| Box::new(output) as Box<dyn Read + Send>),
        ];
        let mut readers = Vec::new();
        for output in outputs.into_iter().flatten() {
            let (log, line) = (Arc::clone(&log), Arc::clone(&line));
            // Ends with the process, whose end closes the pipe.
            readers.push(thread::spawn(move || {
                for text in BufReader::new(output).lines().map_while(Result::ok) {
                    line(&text);
                    let mut log = lock(&log);
                    if log.len() == LOG_LINES {
                        log.pop_front();
                    }
                    log.push_back(text);
                }
            }));
        }
        Ok(Self { child, file, log, readers })
    }

    /// Starts a program, and waits until a line of it ends with the address where it listens; tells when that came.
    ///
    /// # Errors
    /// It does not start, or does not come to listen.
    pub fn listening(
        command: Command,
        file: Option<PathBuf>,
        line: impl Fn(&str) + Send + Sync + 'static,
    ) -> Result<(Self, SocketAddr, Instant), CapacityError> {
        let (listens, listening) = mpsc::channel();
        let place = format!("starting {}", command.get_program().display());
        let process = Self::start(
            command,
            file,
            Arc::new(move |text| {
                if let Some((_, address)) = text.rsplit_once(" on ")
                    && text.contains("listen")
                    && let Ok(address) = address.trim().parse::<SocketAddr>()
                {
                    let _ = listens.send((address, Instant::now()));
                }
                line(text);
            }),
        )?;
        match listening.recv_timeout(START_MOST) {
            Ok((address, at)) => Ok((process, address, at)),
            Err(_) => Err(CapacityError::run(place, format!("it does not listen: {}", process.last_words()))),
        }
    }

    /// Whether it has ended by itself.
    fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Its number.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Ends it, and gives the latest lines of its log up to its end.
    fn last_words(mut self) -> String {
        let _ = self.child.kill();
        for reader in self.readers.drain(..) {
            let _ = reader.join();
        }
        let log = lock(&self.log);
        log.iter().map(String::as_str).collect::<Vec<_>>().join("; ")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Some(file) = &self.file {
            let _ = fs::remove_file(file);
        }
    }
}

/// A balancer that serves.
#[derive(Debug)]
pub struct Balancer {
    /// The process.
    pub process: Process,
    /// Where callers connect.
    pub address: SocketAddr,
    /// From its start to its listening.
    pub listens_after: Duration,
    /// From its start to its first 200 for its health.
    pub serves_after: Duration,
}

impl Balancer {
    /// Starts one with this configuration, on this core alone where one is named, and waits until it serves. `line`
    /// hears its log.
    ///
    /// # Errors
    /// It does not start, or does not come to serve.
    pub fn start(
        program: &Path,
        configuration: &Value,
        core: Option<usize>,
        line: impl Fn(&str) + Send + Sync + 'static,
    ) -> Result<Self, CapacityError> {
        let file = own_path("balancer.json");
        fs::write(&file, configuration.to_string()).map_err(|cause| CapacityError::file(&file, cause))?;
        let mut command = match core {
            Some(core) => {
                let mut command = Command::new("taskset");
                command.args(["-c", &core.to_string()]).arg(program);
                command
            }
            None => Command::new(program),
        };
        command.env_clear().env("PROXY_CONFIG", &file);
        if let Some(path) = std::env::var_os("PATH") {
            command.env("PATH", path);
        }
        let began = Instant::now();
        let (mut process, address, listened) = Process::listening(command, Some(file), line)?;
        while !health(address) {
            if process.has_ended() || began.elapsed() > START_MOST {
                let cause = format!("it does not serve: {}", process.last_words());
                return Err(CapacityError::run("starting a balancer", cause));
            }
            thread::sleep(Duration::from_micros(200));
        }
        let serves_after = began.elapsed();
        Ok(Self { process, address, listens_after: listened - began, serves_after })
    }
}

/// A path of this process's own among the temporary files.
fn own_path(name: &str) -> PathBuf {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!("capacity-{}-{number}-{name}", std::process::id()))
}

/// Whether a balancer says that it can serve.
fn health(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(address) else { return false };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let asked = stream.write_all(b"GET /_health HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    let mut status = [0; 12];
    asked.is_ok() && stream.read_exact(&mut status).is_ok() && status.ends_with(b"200")
}

// --- The distribution of configuration ---

/// An origin and relays below it, as processes.
#[derive(Debug)]
pub struct Distribution {
    /// Where the origin listens.
    pub origin: SocketAddr,
    /// Where the relays do.
    pub relays: Vec<SocketAddr>,
    /// Ended before the folder goes.
    processes: Vec<Process>,
    folder: PathBuf,
}

impl Distribution {
    /// Starts them.
    ///
    /// # Errors
    /// One does not come to listen.
    pub fn start(program: &Path, relays: usize) -> Result<Self, CapacityError> {
        let folder = own_path("origin");
        let command = |arguments: &[&str]| {
            let mut command = Command::new(program);
            command.args(arguments).args(["--listen", "127.0.0.1:0"]);
            command
        };
        let mut origin = command(&["origin"]);
        origin.arg("--dir").arg(&folder);
        let (process, address, _) = Process::listening(origin, None, |_| ())?;
        let mut started = Self { origin: address, relays: Vec::new(), processes: vec![process], folder };
        for _ in 0..relays {
            let relay = command(&["relay", "--level", "1", "--parent", &address.to_string()]);
            let (process, address, _) = Process::listening(relay, None, |_| ())?;
            started.processes.push(process);
            started.relays.push(address);
        }
        Ok(started)
    }

    /// What a balancer's configuration names it by.
    #[must_use]
    pub fn named(&self) -> Value {
        let parents: Vec<String> = self.relays.iter().map(SocketAddr::to_string).collect();
        json!({"parents": parents, "region": "north", "service": "api"})
    }

    /// Publishes a document, and gives the index of the change once it is acknowledged.
    ///
    /// # Errors
    /// It is refused, or no answer comes.
    pub fn publish(&self, scope: &str, request: &str, document: &Value) -> Result<u64, CapacityError> {
        let failed = |cause: String| CapacityError::run(format!("publishing {scope} {document}"), cause);
        let body = document.to_string();
        let text = format!(
            "PUT /configuration/{scope} HTTP/1.1\r\nHost: origin\r\nX-Request-Id: {request}\r\n\
             Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let mut answer = String::new();
        let asked = TcpStream::connect(self.origin).and_then(|mut stream| {
            stream.set_read_timeout(Some(Duration::from_secs(5)))?;
            stream.write_all(text.as_bytes())?;
            stream.read_to_string(&mut answer)
        });
        asked.map_err(|cause| failed(cause.to_string()))?;
        let index = answer
            .split_once("\r\n\r\n")
            .filter(|_| answer.split(' ').nth(1) == Some("200"))
            .and_then(|(_, body)| serde_json::from_str::<Value>(body).ok())
            .and_then(|body| body["index"].as_u64());
        index.ok_or_else(|| failed(answer))
    }
}

impl Drop for Distribution {
    fn drop(&mut self) {
        self.processes.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// The change of that number: of each scope in turn, and of each kind of setting.
#[must_use]
pub fn configuration_change(plan: &Plan, number: usize) -> (&'static str, Value) {
    let step = (number / 5 % 10) as f64;
    let (scope, settings) = match number % 5 {
        0 => ("service/api", json!({"rules": {"coldShare": 0.2 + step / 100.0}})),
        1 => ("fleet", json!({"caps": {"tryLimit": 2 + number / 5 % 2}})),
        2 => ("region/north", json!({"prices": {"waste": step / 100.0}})),
        3 => {
            let mut lanes = settings(plan, 1)["lanes"].take();
            lanes[0]["onTimeS"] = json!(plan.traffic.aim_s.value * (1.0 - step / 100.0));
            ("service/api", json!({"lanes": lanes}))
        }
        _ => {
            let mut projects = settings(plan, 1)["projects"].take();
            projects[number % plan.traffic.tenants.value]["quotaPerS"] = json!(20_000.0 + step);
            ("service/api", json!({"projects": projects}))
        }
    };
    (scope, json!({"settings": settings}))
}

// --- What a process uses ---

/// Processor time and waits of all threads of a process until now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// Nanoseconds on a core.
    pub cpu_ns: u64,
    /// Nanoseconds in which it was ready to run and waited for a core.
    pub waited_ns: u64,
    /// Times that it was given a core.
    pub slices: u64,
}

impl Usage {
    /// Of a process.
    ///
    /// # Errors
    /// It is not there, or the system does not tell.
    pub fn of(process: u32) -> Result<Self, CapacityError> {
        let folder = PathBuf::from(format!("/proc/{process}/task"));
        let mut usage = Self { cpu_ns: 0, waited_ns: 0, slices: 0 };
        for thread in fs::read_dir(&folder).map_err(|cause| CapacityError::file(&folder, cause))? {
            let path = thread.map_err(|cause| CapacityError::file(&folder, cause))?.path().join("schedstat");
            let text = fs::read_to_string(&path).map_err(|cause| CapacityError::file(&path, cause))?;
            let figures: Vec<u64> = text.split_whitespace().filter_map(|part| part.parse().ok()).collect();
            let &[cpu, waited, slices] = figures.as_slice() else {
                return Err(CapacityError::file(&path, "not three figures"));
            };
            usage.cpu_ns += cpu;
            usage.waited_ns += waited;
            usage.slices += slices;
        }
        Ok(usage)
    }

    /// What came after an earlier look.
    #[must_use]
    pub fn since(self, before: Self) -> Self {
        Self {
            cpu_ns: self.cpu_ns.saturating_sub(before.cpu_ns),
            waited_ns: self.waited_ns.saturating_sub(before.waited_ns),
            slices: self.slices.saturating_sub(before.slices),
        }
    }
}

/// Resident memory of a process, in KiB.
///
/// # Errors
/// It is not there, or the system does not tell.
pub fn memory_kb(process: u32) -> Result<u64, CapacityError> {
    let path = PathBuf::from(format!("/proc/{process}/status"));
    let text = fs::read_to_string(&path).map_err(|cause| CapacityError::file(&path, cause))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next())
        .and_then(|value| value.parse().ok())
        .ok_or_else(|| CapacityError::file(&path, "no VmRSS"))
}

/// Holds this thread, and all that it starts from now on, to these cores, as `taskset` writes them.
///
/// # Errors
/// `taskset` is missing, or does not take them.
pub fn hold_to(cores: &str) -> Result<(), CapacityError> {
    let place = format!("holding a thread to cores {cores}");
    let own = fs::read_link("/proc/thread-self").map_err(|cause| CapacityError::run(&place, cause))?;
    let thread = own.file_name().unwrap_or_default();
    let done = Command::new("taskset").args(["-c", "-p", cores]).arg(thread).output();
    let done = done.map_err(|cause| CapacityError::run(&place, cause))?;
    if done.status.success() {
        Ok(())
    } else {
        Err(CapacityError::run(place, String::from_utf8_lossy(&done.stderr).trim()))
    }
}

/// Time of a core that the machine under this one has taken for others since its start, in ms over all cores; 0 where
/// the system does not tell.
#[must_use]
pub fn stolen_ms() -> u64 {
    // Told in hundredths of a second, as the eighth figure of the first line.
    let text = fs::read_to_string("/proc/stat").unwrap_or_default();
    let stolen = text.lines().next().and_then(|line| line.split_whitespace().nth(8)?.parse::<u64>().ok());
    stolen.unwrap_or(0) * 10
}

// --- Callers ---

/// What a call may do to its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// It may run any number of times.
    Read,
    /// Its key makes one of several.
    Pay,
    /// It must not run twice.
    Order,
}

impl Class {
    /// Seven of ten read, two pay, one orders.
    fn draw(rng: &mut Rand64) -> Self {
        match rng.rand_range(0..10) {
            0..7 => Self::Read,
            7..9 => Self::Pay,
            _ => Self::Order,
        }
    }
}

/// A call to make.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Call {
    /// When it is to be sent, from the start of the play.
    pub at: Duration,
    /// Which way.
    pub way: usize,
    /// Its class.
    pub class: Class,
    /// Calls of one number belong together.
    pub pair: usize,
}

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// With its own answer; tells whether the upstream's connection was new.
    Right {
        /// No request had come on that connection before.
        new_connection: bool,
    },
    /// Turned away, not run.
    Refused,
    /// With another answer, or another call's.
    Wrong,
    /// With none.
    Lost,
}

/// A call that was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Played {
    /// When its sending began, from the start of the play.
    pub sent: Duration,
    /// When its answer was whole.
    pub done: Duration,
    /// How it ended.
    pub end: End,
}

impl Played {
    /// From when it was to be sent to its answer: a caller that is late, for whatever reason, hides nothing.
    #[must_use]
    pub fn latency(&self, call: &Call) -> Duration {
        self.done.saturating_sub(call.at)
    }

    /// Whether it had its own answer.
    #[must_use]
    pub fn is_right(&self) -> bool {
        matches!(self.end, End::Right { .. })
    }
}

/// Calls at drawn times with the mean `rate` a second, each once on every way: the first way at the times of a Poisson
/// process, or `even`ly; each other way by a drawn offset later or sooner, which leaves a Poisson process one.
#[must_use]
pub fn paired(rng: &mut Rand64, ways: usize, rate: f64, span: Duration, even: bool) -> Vec<Call> {
    let (mut at, mut calls) = (0.0, Vec::new());
    for pair in 0.. {
        at += if even { 1.0 / rate } else { -(1.0 - rng.rand_float()).ln() / rate };
        if at >= span.as_secs_f64() {
            break;
        }
        let class = Class::draw(rng);
        for way in 0..ways {
            let offset = if way == 0 { 0.0 } else { OFFSET_LEAST_S + rng.rand_float() * OFFSET_MORE_S };
            let offset = if rng.rand_u64() & 1 == 0 { offset } else { -offset };
            calls.push(Call { at: Duration::from_secs_f64((at + offset).max(0.0)), way, class, pair });
        }
    }
    calls.sort_by_key(|call| call.at);
    calls
}

/// How long after its connections are asked for a play may start.
pub const CONNECT_FIRST: Duration = Duration::from_millis(200);
/// Calls of a pair lie this far apart at least, so that neither waits for the other on the way.
const OFFSET_LEAST_S: f64 = 0.001;
/// And at most this much further.
const OFFSET_MORE_S: f64 = 0.002;

/// A way that calls can go: targets that take its connections in turn, and how many are opened beforehand.
#[derive(Debug, Clone)]
pub struct Way {
    /// Where to.
    pub targets: Vec<SocketAddr>,
    /// Connections that stand before the first call.
    pub warm: usize,
    /// What callers say that they wait.
    pub deadline: Duration,
    /// Tenants that calls are drawn from.
    pub tenants: usize,
}

struct Line {
    stream: TcpStream,
    bytes: Vec<u8>,
    call: usize,
    way: usize,
}

/// Makes calls at their times, whatever became of those before: each takes a connection that stands idle, or a new
/// one. The play starts at `zero`. The thread spins, so that its own waking up is
/// no part of what it measures. `progress` counts the calls sent.
///
/// # Errors
/// A connection that is to stand beforehand does not come up.
pub fn play(
    calls: &[Call],
    ways: &[Way],
    first_id: usize,
    zero: Instant,
    progress: &AtomicUsize,
) -> Result<Vec<Played>, CapacityError> {
    let mut idle: Vec<Vec<TcpStream>> = Vec::new();
    let mut turns = vec![0; ways.len()];
    for (way, turn) in ways.iter().zip(&mut turns) {
        let mut warm = Vec::new();
        for _ in 0..way.warm {
            warm.push(connect(way, turn).map_err(|cause| CapacityError::run("connecting a caller", cause))?);
        }
        idle.push(warm);
    }
    let lost = Played { sent: Duration::ZERO, done: Duration::ZERO, end: End::Lost };
    let mut played = vec![lost; calls.len()];
    let mut busy: Vec<Line> = Vec::new();
    let mut next = 0;
    let by = calls.last().map_or(Duration::ZERO, |call| call.at) + ANSWER_MOST;
    loop {
        let now = Instant::now().saturating_duration_since(zero);
        while let Some(call) = calls.get(next).filter(|call| call.at <= now) {
            let way = &ways[call.way];
            let text = request(first_id + next, call, way);
            let sent = Instant::now().saturating_duration_since(zero);
            let line = loop {
                let kept = idle[call.way].pop();
                let is_kept = kept.is_some();
                let stream = match kept.map_or_else(|| connect(way, &mut turns[call.way]), Ok) {
                    Ok(stream) if is_kept && !stands(&stream) => continue,
                    Ok(stream) => stream,
                    Err(_) => break None,
                };
                break (&stream).write_all(text.as_bytes()).is_ok().then_some(stream);
            };
            played[next] = Played { sent, done: sent, end: End::Lost };
            if let Some(stream) = line {
                busy.push(Line { stream, bytes: Vec::with_capacity(512), call: next, way: call.way });
            }
            next += 1;
            progress.store(next, Ordering::Release);
        }
        let mut place = 0;
        while let Some(line) = busy.get_mut(place) {
            let Some(over) = look(line, first_id) else {
                place += 1;
                continue;
            };
            let done = Instant::now().saturating_duration_since(zero);
            let line = busy.swap_remove(place);
            played[line.call] = Played { done, end: over.0, ..played[line.call] };
            if over.1 {
                idle[line.way].push(line.stream);
            }
        }
        if next == calls.len() && busy.is_empty() || now > by {
            return Ok(played);
        }
        if busy.is_empty() && calls.get(next).is_some_and(|call| call.at > now + Duration::from_millis(2)) {
            thread::sleep(Duration::from_micros(500));
        }
    }
}

fn connect(way: &Way, turn: &mut usize) -> std::io::Result<TcpStream> {
    let target = way.targets[*turn % way.targets.len()];
    *turn += 1;
    let stream = TcpStream::connect(target)?;
    stream.set_nodelay(true)?;
    stream.set_nonblocking(true)?;
    Ok(stream)
}

/// Whether a kept connection has not been closed meanwhile.
fn stands(stream: &TcpStream) -> bool {
    matches!(stream.peek(&mut [0]), Err(error) if error.kind() == ErrorKind::WouldBlock)
}

fn request(id: usize, call: &Call, way: &Way) -> String {
    let (method, path) = match call.class {
        Class::Read => ("GET", "read"),
        Class::Pay => ("POST", "pay"),
        Class::Order => ("POST", "order"),
    };
    let key = if call.class == Class::Pay { format!("Idempotency-Key: k-{id}\r\n") } else { String::new() };
    format!(
        "{method} /{path}?k={id:x} HTTP/1.1\r\nHost: api\r\nX-Request-Id: {id}\r\nX-Tenant: t{}\r\n\
         X-Deadline: {:.3}\r\n{key}Content-Length: 0\r\n\r\n",
        id % way.tenants.max(1),
        way.deadline.as_secs_f64(),
    )
}

/// How a call ended, if it has, and whether its connection stands.
fn look(line: &mut Line, first_id: usize) -> Option<(End, bool)> {
    let mut part = [0; 2048];
    match line.stream.read(&mut part) {
        Ok(0) => return Some((End::Lost, false)),
        Ok(count) => line.bytes.extend_from_slice(&part[..count]),
        Err(error) if error.kind() == ErrorKind::WouldBlock => return None,
        Err(_) => return Some((End::Lost, false)),
    }
    if line.bytes.len() > MESSAGE_MOST {
        return Some((End::Wrong, false));
    }
    let (head, body_at, end) = message(&line.bytes)?;
    let stands = end == line.bytes.len()
        && !header(head, "connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
    let own = |body: &[u8]| {
        let mut words = std::str::from_utf8(body).ok()?.split(' ');
        let id: usize = words.next()?.parse().ok()?;
        let count: u64 = words.next()?.parse().ok()?;
        (id == first_id + line.call).then_some(End::Right { new_connection: count == 1 })
    };
    let over = match head.split(' ').nth(1) {
        Some("200") => own(&line.bytes[body_at..end]).unwrap_or(End::Wrong),
        Some("503") => End::Refused,
        _ => End::Wrong,
    };
    Some((over, stands))
}

/// Calls by how they ended, and how many ran other than they should.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Made.
    pub calls: usize,
    /// Had their own answer.
    pub right: usize,
    /// Were turned away, and did not run.
    pub refused: usize,
    /// Had another answer, or were turned away though they ran.
    pub wrong: usize,
    /// Had none.
    pub lost: usize,
    /// Ran twice though they must not.
    pub twice: usize,
    /// Ran twice, and may.
    pub repeated: usize,
}

impl Counts {
    /// Of a play whose ids begin with `first_id`.
    #[must_use]
    pub fn of(calls: &[Call], played: &[Played], seen: &Seen, first_id: usize) -> Self {
        let mut counts = Self { calls: calls.len(), ..Self::default() };
        for (number, (call, played)) in calls.iter().zip(played).enumerate() {
            let runs = seen.runs(first_id + number);
            match played.end {
                // An answer that nobody computed is nobody's.
                End::Right { .. } if runs > 0 => counts.right += 1,
                End::Refused if runs == 0 => counts.refused += 1,
                End::Lost => counts.lost += 1,
                _ => counts.wrong += 1,
            }
            if runs > 1 && call.class == Class::Order {
                counts.twice += 1;
            } else if runs > 1 {
                counts.repeated += 1;
            }
        }
        counts
    }

    /// Of two plays together.
    #[must_use]
    pub fn and(self, other: Self) -> Self {
        Self {
            calls: self.calls + other.calls,
            right: self.right + other.right,
            refused: self.refused + other.refused,
            wrong: self.wrong + other.wrong,
            lost: self.lost + other.lost,
            twice: self.twice + other.twice,
            repeated: self.repeated + other.repeated,
        }
    }
}

// --- Quantiles ---

/// Times in a histogram, told in microseconds.
#[derive(Debug, Clone)]
pub struct Times(Histogram<u64>);

impl Times {
    /// Of these; times over a minute count as one.
    ///
    /// # Errors
    /// The histogram cannot be made.
    pub fn of(times: impl IntoIterator<Item = Duration>) -> Result<Self, CapacityError> {
        let made = Histogram::new_with_bounds(1, MINUTE_NS, 3);
        let mut histogram = made.map_err(|cause| CapacityError::run("making a histogram", cause))?;
        for time in times {
            histogram.saturating_record((time.as_nanos() as u64).clamp(1, MINUTE_NS));
        }
        Ok(Self(histogram))
    }

    /// The time that this part of them is not over, in microseconds.
    #[must_use]
    pub fn us(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// How many there are.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// How many are over a time.
    #[must_use]
    pub fn over(&self, time: Duration) -> u64 {
        self.0.len() - self.0.count_between(0, time.as_nanos() as u64)
    }
}

const MINUTE_NS: u64 = 60_000_000_000;
