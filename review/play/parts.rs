//! Parts that the cases share: the record, the balancer as a separate process, and stand-ins of clients, upstreams and
//! discovery on loopback addresses. Standard library only.

use std::fs::File;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime};

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The record of a case: what was sent, answered and run, with the time since the start in seconds.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(directory: &Path) -> Self {
        let file = File::create(directory.join("record.txt")).expect("record.txt can be written");
        Self { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.seconds(Instant::now()), text.as_ref());
        let mut file = self.file.lock().expect("the record is not poisoned");
        file.write_all(line.as_bytes()).expect("record.txt can be written");
        print!("{line}");
    }
}

// --- HTTP ---

/// A message as it came: its first line, its header lines in lower case, and its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(other, _)| other == name).map_or("", |(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Why no whole message came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoMessage {
    Closed,
    Reset,
    TimedOut,
}

/// A connection with what was read ahead on it.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn open(address: SocketAddr) -> std::io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, Duration::from_secs(2))?))
    }

    fn more(&mut self, until: Instant) -> Result<(), NoMessage> {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(NoMessage::TimedOut);
        }
        let _ = self.stream.set_read_timeout(Some(left));
        let mut part = [0; 16384];
        match self.stream.read(&mut part) {
            Ok(0) => Err(NoMessage::Closed),
            Ok(count) => {
                self.buffer.extend_from_slice(&part[..count]);
                Ok(())
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                Err(NoMessage::TimedOut)
            }
            Err(_) => Err(NoMessage::Reset),
        }
    }

    fn take_line(&mut self, until: Instant) -> Result<String, NoMessage> {
        loop {
            if let Some(end) = self.buffer.iter().position(|&byte| byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            self.more(until)?;
        }
    }

    fn take(&mut self, count: usize, until: Instant) -> Result<Vec<u8>, NoMessage> {
        while self.buffer.len() < count {
            self.more(until)?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads a whole request or answer. A message without a length has no body.
    pub fn read(&mut self, until: Instant) -> Result<Message, NoMessage> {
        let mut message = Message::default();
        while message.first.is_empty() {
            message.first = self.take_line(until)?;
        }
        loop {
            let line = self.take_line(until)?;
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':').unwrap_or((&line, ""));
            message.headers.push((name.trim().to_lowercase(), value.trim().to_owned()));
        }
        if message.header("transfer-encoding").contains("chunked") {
            loop {
                let size = usize::from_str_radix(self.take_line(until)?.trim(), 16).unwrap_or(0);
                let part = self.take(size, until)?;
                self.take_line(until)?;
                if size == 0 {
                    break;
                }
                message.body.extend(part);
            }
        } else if let Ok(length) = message.header("content-length").parse() {
            message.body = self.take(length, until)?;
        }
        Ok(message)
    }
}

// --- Upstreams ---

/// What an upstream does with a request whose last byte has come.
pub enum Act {
    /// Answers 200 with this body after this time.
    Serve(Duration, String),
    /// Takes the request and answers nothing.
    Hang,
}

/// Starts an upstream on a free port and returns its address.
pub fn upstream(
    name: &str,
    record: &Record,
    act: impl Fn(&Message) -> Act + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (name, record, act) = (name.to_owned(), record.clone(), Arc::new(act));
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let (name, record, act) = (name.clone(), record.clone(), Arc::clone(&act));
            spawn(move || serve(&name, &record, Connection::new(stream), &*act));
        }
    });
    address
}

fn serve(name: &str, record: &Record, mut connection: Connection, act: &dyn Fn(&Message) -> Act) {
    let far = Duration::from_secs(300);
    while let Ok(request) = connection.read(Instant::now() + far) {
        let id = request.header("x-request-id").to_owned();
        record.line(format!(
            "{name} runs {id}: {}, told X-Deadline {}",
            request.first,
            request.header("x-deadline")
        ));
        let answer = |body: &str| format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        match act(&request) {
            Act::Serve(after, body) => {
                sleep(after);
                let written = connection.stream.write_all(answer(&body).as_bytes());
                record.line(format!(
                    "{name} answers {id} with 200 {body:?}{}",
                    if written.is_ok() { "" } else { ", in vain" }
                ));
            }
            Act::Hang => {
                record.line(format!("{name} hangs with {id}"));
                let end = connection.more(Instant::now() + far);
                record.line(format!("{name}: the connection of {id} ended: {end:?}"));
                return;
            }
        }
    }
    let _ = connection.stream.shutdown(Shutdown::Both);
}

// --- Discovery ---

pub fn member(name: &str, address: SocketAddr, group: usize, zone: &str, kind: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"{zone}","type":"{kind}","group":{group},"status":"ready","weight":1.0,"since_ms":0}}"#
    )
}

pub fn list(members: &[String]) -> String {
    format!(r#"{{"index":41,"snapshot":true,"endpoints":[{}]}}"#, members.join(","))
}

/// Starts discovery on a free port: each watch gets this list, then an empty line every 2 s.
pub fn discovery(list: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = list.clone();
            spawn(move || {
                let mut connection = Connection::new(stream);
                if connection.read(Instant::now() + Duration::from_secs(5)).is_err() {
                    return;
                }
                let head =
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
                let mut line = format!("{list}\n");
                let mut next = head.to_owned();
                loop {
                    next.push_str(&format!("{:x}\r\n{line}\r\n", line.len()));
                    if connection.stream.write_all(next.as_bytes()).is_err() {
                        return;
                    }
                    sleep(ms(2000));
                    next.clear();
                    line = "\n".to_owned();
                }
            });
        }
    });
    address
}

// --- The balancer ---

/// The limits that the platform sets for the balancer.
#[derive(Clone, Copy)]
pub struct Limits {
    pub memory_mb: u64,
    pub sockets: u64,
}

/// The process id of the balancer that runs; 0 if none does.
static RUNNING: AtomicU32 = AtomicU32::new(0);

/// Sends a signal to a process that the case started.
fn send_signal(id: u32, name: &str) {
    let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {id}")]).status();
}

/// Kills the balancer that still runs, where a case came to no end.
pub fn kill_rest() {
    let id = RUNNING.load(Ordering::SeqCst);
    if id != 0 {
        send_signal(id, "KILL");
    }
}

/// The balancer, started with the command of the deploy file. It is killed when this is dropped.
pub struct Balancer {
    child: Child,
    pub address: SocketAddr,
    directory: PathBuf,
}

impl Balancer {
    /// Starts the balancer and waits until `/_health` answers 200.
    pub fn start(
        record: &Record,
        root: &Path,
        limits: Limits,
        discovery: SocketAddr,
        known: &str,
        settings: &str,
    ) -> Option<Self> {
        let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).ok()?;
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")?.split('"').next())?;
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_nanos();
        let directory = std::env::temp_dir().join(format!("review-{}-{now}", std::process::id()));
        std::fs::create_dir_all(directory.join("tmp")).ok()?;
        let address = TcpListener::bind("127.0.0.1:0").ok()?.local_addr().ok()?;
        let config = format!(
            r#"{{"name":"n0","listen":"{address}","discovery":"{discovery}","seed":"{:x}",
"limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"known":{known},"settings":{settings}}}"#,
            now as u64, limits.memory_mb, limits.sockets
        );
        let file = directory.join("config.json");
        std::fs::write(&file, config).ok()?;
        let log = File::create(directory.join("log.txt")).ok()?;
        let child = Command::new("/bin/sh")
            .args(["-c", run])
            .current_dir(root)
            .env("PROXY_CONFIG", &file)
            .env("TMPDIR", directory.join("tmp"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .ok()?;
        RUNNING.store(child.id(), Ordering::SeqCst);
        let balancer = Self { child, address, directory };
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if balancer.is_healthy() {
                record.line("the balancer is ready");
                return Some(balancer);
            }
            sleep(ms(50));
        }
        record.line("the balancer did not become ready");
        None
    }

    fn is_healthy(&self) -> bool {
        let Ok(mut connection) = Connection::open(self.address) else { return false };
        let request = b"GET /_health HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n";
        connection.stream.write_all(request).is_ok()
            && connection.read(Instant::now() + ms(1000)).is_ok_and(|answer| answer.status() == 200)
    }

    pub fn signal(&self, name: &str) {
        send_signal(self.child.id(), name);
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Memory of the process in KiB, as far as it belongs to the process alone (`RssAnon`: no program text, no files).
    pub fn memory_kib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
        line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.directory.join("log.txt")).unwrap_or_default()
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        RUNNING.store(0, Ordering::SeqCst);
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}
