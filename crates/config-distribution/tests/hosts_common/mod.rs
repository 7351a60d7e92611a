//! Processes of the binary, and children in the test process, on loopback, for the tests of the hosts.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

pub mod disk;
pub mod in_process;

use std::collections::BTreeMap;
use std::fs;
use std::io::{BufRead, BufReader};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use config_distribution::document::Scope;
use config_distribution::host::call::{Call, CallError, connect_and_call};
use config_distribution::host::client::{self, Client};
use config_distribution::parents::{Parents, Step};
use config_distribution::report::InForce;
use config_distribution::state::State;
use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

/// Time limit of each wait for an expected event. It only bounds a failing test: no check relies on its length.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(25);

/// Runs a test on a single-threaded runtime.
pub fn run_test<T>(test: impl Future<Output = T>) -> T {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("build the runtime");
    LocalSet::new().block_on(&runtime, test)
}

/// Waits for an expected event; panics with `what` after the time limit.
pub async fn wait_for<T>(what: &str, event: impl Future<Output = T>) -> T {
    timeout(WAIT_TIMEOUT, event).await.unwrap_or_else(|_| panic!("timed out waiting for: {what}"))
}

/// A loopback address that no other test uses, so that a restarted process can bind it again.
pub fn unique_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let next = NEXT.fetch_add(1, Ordering::Relaxed);
    let pid = std::process::id();
    let octet = |value: u32| u8::try_from(value & 0xff).expect("a value of eight bits");
    let ip = Ipv4Addr::new(127, 64 | octet(pid >> 8) & 63, octet(pid), octet(next));
    SocketAddr::new(IpAddr::V4(ip), 9100)
}

/// A temporary directory that no other test uses; deleted on drop.
pub struct Directory(PathBuf);

impl Directory {
    pub fn new(name: &str) -> Self {
        let path =
            Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("hosts-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).expect("create the directory");
        Self(path)
    }

    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A command that runs the `config-distribution` binary.
pub fn binary() -> Command {
    Command::new(env!("CARGO_BIN_EXE_config-distribution"))
}

/// A process of the `config-distribution` binary; killed on drop.
pub struct Process {
    child: Child,
    pub address: SocketAddr,
    /// What the process has written to stderr.
    log: Arc<Mutex<String>>,
}

impl Process {
    /// Starts a process that listens on `address` and waits until it has printed that it does.
    pub fn start(arguments: &[&str], address: SocketAddr) -> Self {
        let mut child = binary()
            .args(arguments)
            .args(["--listen", &address.to_string()])
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("start the binary");
        let log = Arc::new(Mutex::new(String::new()));
        let errors = child.stderr.take().expect("a pipe for stderr");
        let into = Arc::clone(&log);
        std::thread::spawn(move || collect_log(errors, &into));
        let mut line = String::new();
        BufReader::new(child.stdout.take().expect("a pipe for stdout"))
            .read_line(&mut line)
            .expect("read a line of stdout");
        let mut process = Self { child, address, log };
        assert!(
            line.starts_with("listening on "),
            "expected the listen address, got {line:?}; {}",
            process.kill_and_describe()
        );
        process
    }

    /// Starts an origin with its store in `directory`.
    pub fn origin(directory: &Directory, address: SocketAddr) -> Self {
        Self::start(&["origin", "--dir", directory.path().to_str().expect("UTF-8")], address)
    }

    /// Starts a relay without a directory.
    pub fn relay(level: u32, parents: &[SocketAddr], address: SocketAddr) -> Self {
        let mut arguments = vec!["relay".to_owned(), "--level".to_owned(), level.to_string()];
        arguments.extend(parents.iter().flat_map(|parent| ["--parent".to_owned(), parent.to_string()]));
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        Self::start(&arguments, address)
    }

    /// Sends the process a signal, named as for `kill`, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
        assert!(sent.expect("run kill").success(), "sending SIG{name} failed");
    }

    /// Kills the process with SIGKILL and waits until it has ended.
    pub fn kill(&mut self) {
        self.child.kill().expect("kill the process");
        self.child.wait().expect("wait for the process");
    }

    /// Waits until the process exits by itself; returns its exit status.
    pub async fn wait_for_exit(&mut self) -> ExitStatus {
        wait_for("the exit of the process", async {
            loop {
                if let Some(status) = self.child.try_wait().expect("poll the exit status") {
                    return status;
                }
                sleep(Duration::from_millis(5)).await;
            }
        })
        .await
    }

    /// Everything that the process has logged to stderr so far.
    pub fn log(&self) -> String {
        self.log.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Waits until the log of the process contains `text`.
    pub async fn wait_for_log(&self, text: &str) {
        let logged = async {
            while !self.log().contains(text) {
                sleep(Duration::from_millis(5)).await;
            }
        };
        if timeout(WAIT_TIMEOUT, logged).await.is_err() {
            panic!("{text:?} not found in the log: {}", self.log());
        }
    }

    /// Kills the process and describes its exit status and log, for the message of a failed start.
    fn kill_and_describe(&mut self) -> String {
        let _ = self.child.kill();
        let status = self.child.wait();
        std::thread::sleep(Duration::from_millis(50));
        format!("{status:?} {}", self.log())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Appends each line of a child process's stderr to `into` until stderr closes.
fn collect_log(errors: ChildStderr, into: &Mutex<String>) {
    for line in BufReader::new(errors).lines().map_while(Result::ok) {
        let mut log = into.lock().unwrap_or_else(PoisonError::into_inner);
        log.push_str(&line);
        log.push('\n');
    }
}

/// Finds a seed with which a child that has `count` parents follows the parent at position `first` first.
pub fn seed_starting_with(first: usize, count: usize) -> u64 {
    let begins = |seed: &u64| Parents::new(count, *seed).next(Duration::ZERO) == Step::Follow(first);
    (0..).find(begins).expect("a seed exists")
}

/// Requests a change of a document and returns the status and body of the answer. A `body` of `None` withdraws the
/// document; `if_version` is sent as `If-Match`.
pub async fn request_change(
    to: SocketAddr,
    scope: &str,
    body: Option<&str>,
    id: &str,
    if_version: Option<u64>,
) -> Result<(StatusCode, Value), CallError> {
    let version = if_version.map(|version| version.to_string());
    let mut headers = vec![("x-request-id", id)];
    headers.extend(version.as_deref().map(|version| ("if-match", version)));
    let asked = Call {
        method: if body.is_some() { Method::PUT } else { Method::DELETE },
        host: to.to_string(),
        path: &format!("/configuration/{scope}"),
        headers: &headers,
        body: Bytes::from(body.unwrap_or_default().to_owned()),
    };
    let (status, text) = connect_and_call(to, Duration::from_secs(10), asked).await?;
    Ok((status, serde_json::from_slice(&text).unwrap_or(Value::Null)))
}

/// A valid document whose `crossZone` setting is `number`.
pub fn document(number: u64) -> String {
    json!({ "settings": { "prices": { "crossZone": number } } }).to_string()
}

/// A valid document padded with `bytes` spaces.
pub fn large_document(bytes: usize) -> String {
    padded_document(1, bytes)
}

/// A valid document whose `crossZone` setting is `number`, padded with `bytes` spaces.
pub fn padded_document(number: u64, bytes: usize) -> String {
    let document = document(number);
    format!("{}{}}}", &document[..document.len() - 1], " ".repeat(bytes))
}

/// Publishes a document, asserts that it is accepted, and returns its index.
pub async fn publish(to: SocketAddr, scope: &str, body: &str, id: &str) -> u64 {
    let (status, answer) = request_change(to, scope, Some(body), id, None).await.expect("an answer");
    assert_eq!(status, StatusCode::OK, "publication not accepted: {answer}");
    answer["index"].as_u64().expect("an index in the answer")
}

/// Sends a GET request and returns the status and JSON body of the answer.
pub async fn get(to: SocketAddr, path: &str) -> Result<(StatusCode, Value), CallError> {
    let asked = Call { method: Method::GET, host: to.to_string(), path, headers: &[], body: Bytes::new() };
    let (status, text) = connect_and_call(to, Duration::from_secs(10), asked).await?;
    Ok((status, serde_json::from_slice(&text).unwrap_or(Value::Null)))
}

/// Waits until a process serves an index, so that a child that starts with this parent does not leave it.
pub async fn wait_until_served(to: SocketAddr, index: u64) {
    wait_for(&format!("{to} to serve index {index}"), async {
        loop {
            if let Ok((StatusCode::OK, whole)) = get(to, "/configuration").await
                && whole["index"].as_u64() >= Some(index)
            {
                return;
            }
            sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
}

/// Polls the summed report of a process until `matches` accepts it; panics with `what` after the time limit.
pub async fn wait_for_report(to: SocketAddr, what: &str, matches: impl Fn(&Value) -> bool) {
    let mut last = Value::Null;
    let asked = async {
        loop {
            if let Ok((StatusCode::OK, status)) = get(to, "/configuration/report").await {
                if matches(&status) {
                    return;
                }
                last = status;
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    if timeout(WAIT_TIMEOUT, asked).await.is_err() {
        panic!("timed out waiting for: {what}; last report: {last}");
    }
}

/// A child (the balancer's client side) that runs in the test process.
pub struct Follower {
    /// States that the child has applied and the test has not read yet.
    states: mpsc::UnboundedReceiver<State>,
    /// Addresses that the child has opened connections to and the test has not read yet.
    connects: mpsc::UnboundedReceiver<SocketAddr>,
    /// The last state that the test has read.
    pub state: State,
    task: JoinHandle<()>,
}

impl Follower {
    /// Starts a child that follows one of `parents` for `scopes`.
    pub fn start(name: &str, parents: &[SocketAddr], scopes: &[&str], seed: u64) -> Self {
        Self::with_connector(name, parents, scopes, seed, TcpStream::connect::<SocketAddr>)
    }

    /// Starts a child whose connections are opened by `connect`.
    pub fn with_connector<I, C>(
        name: &str,
        parents: &[SocketAddr],
        scopes: &[&str],
        seed: u64,
        connect: impl Fn(SocketAddr) -> C + 'static,
    ) -> Self
    where
        C: Future<Output = std::io::Result<I>> + 'static,
        I: AsyncRead + AsyncWrite + Unpin + 'static,
    {
        let wanted = scopes.iter().map(|scope| scope.parse().expect("a valid scope")).collect();
        let client = Client { name: name.to_owned(), parents: parents.to_vec(), wanted, seed };
        let (sender, states) = mpsc::unbounded_channel();
        let (connect_sender, connects) = mpsc::unbounded_channel();
        let child_name: Box<str> = name.into();
        let task = spawn_local(async move {
            let scopes = client.wanted.clone();
            let connect = |address| {
                let _ = connect_sender.send(address);
                connect(address)
            };
            let apply = |state: &State, _: &[Scope]| {
                let _ = sender.send(state.clone());
                let version =
                    |scope: &Scope| (scope.clone(), state.get(scope).map_or(0, |document| document.version));
                let versions: BTreeMap<Scope, u64> = scopes.iter().map(version).collect();
                InForce { who: child_name.clone(), versions, refused: None }
            };
            match client::run(client, connect, apply).await {}
        });
        Self { states, connects, state: State::default(), task }
    }

    /// Waits for a state that `matches` accepts; asserts that in each state up to it all digests match and that the
    /// index never goes back.
    pub async fn wait_for_state(&mut self, what: &str, matches: impl Fn(&State) -> bool) {
        let reached = async {
            while !matches(&self.state) {
                let next = self.states.recv().await.expect("the child is running");
                assert!(next.index() >= self.state.index(), "the index of the state went back");
                assert!(
                    next.documents().all(|document| document.has_valid_digest()),
                    "a document does not match its digest"
                );
                self.state = next;
            }
        };
        if timeout(WAIT_TIMEOUT, reached).await.is_err() {
            panic!("timed out waiting for: {what}; last state: {:?}", self.state);
        }
    }

    /// Waits for a state with at least this index.
    pub async fn wait_for_index(&mut self, index: u64) {
        self.wait_for_state(&format!("index {index}"), |state| state.index() >= index).await;
    }

    /// Whether the child has applied no state that the test has not read.
    pub fn has_received_nothing(&self) -> bool {
        self.states.is_empty()
    }

    /// Waits until the child opens a connection to `parent`.
    pub async fn wait_for_connect(&mut self, parent: SocketAddr) {
        wait_for("a connection to the parent", async {
            while self.connects.recv().await.expect("the child is running") != parent {}
        })
        .await;
    }

    /// Body of the document of a scope in the last state that was read.
    pub fn body(&self, scope: &str) -> Option<String> {
        self.state.get(&scope.parse().expect("a valid scope")).map(|document| document.body.to_string())
    }
}

impl Drop for Follower {
    fn drop(&mut self) {
        self.task.abort();
    }
}
