//! Upstreams that answer as a script of the test says, and note what came to them.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

use super::{Message, read_message, wait_for};

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
    /// Starts one that answers by `script`, which gets the number of the request.
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
    pub fn on(
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
