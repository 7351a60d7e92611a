//! Upstreams that answer according to a script of the test, and record the connections and requests they receive.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

use super::{Message, read_message, wait_for};

/// What an upstream does with a request.
#[derive(Debug, Clone)]
pub enum Reply {
    /// Writes these bytes and reads the next request.
    Bytes(Vec<u8>),
    /// Writes these bytes and closes the connection.
    Last(Vec<u8>),
    /// Writes nothing, and reads until the balancer closes the connection.
    Silence,
}

pub fn ok(body: &str) -> Reply {
    Reply::Bytes(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes())
}

pub fn status(line: &str) -> Reply {
    Reply::Bytes(format!("HTTP/1.1 {line}\r\nContent-Length: 0\r\n\r\n").into_bytes())
}

/// State of a connection as its upstream sees it.
#[derive(Debug, Clone, Copy)]
pub struct Connection {
    /// Remote address of the connection.
    pub peer: SocketAddr,
    /// Whether a byte has been received on the connection.
    pub has_received_data: bool,
    /// Whether the balancer has closed the connection.
    pub closed: bool,
}

#[derive(Debug, Default)]
struct Received {
    /// The received requests in order, each with the number of its connection, counted from 1.
    requests: Vec<(usize, Message)>,
    /// The connections in the order in which they were accepted.
    links: Vec<Connection>,
}

/// A simulated upstream on a loopback socket.
pub struct Upstream {
    pub address: SocketAddr,
    received: Arc<Mutex<Received>>,
}

impl Upstream {
    /// Starts an upstream that answers with what `script` returns for the number of a request, from 0, and the request.
    pub fn start(script: impl Fn(usize, &Message) -> Reply + Send + Sync + 'static) -> Self {
        Self::scripted(move |number, message, _| script(number, message))
    }

    /// Starts an upstream whose script also gets the connection that the request arrived on.
    pub fn scripted(
        script: impl Fn(usize, &Message, &mut TcpStream) -> Reply + Send + Sync + 'static,
    ) -> Self {
        Self::on(TcpListener::bind("127.0.0.1:0").expect("a free port is available"), Vec::new(), script)
    }

    /// Starts an upstream on this listener. Connections from the addresses in `own` belong to the test and are ignored.
    pub fn on(
        listener: TcpListener,
        own: Vec<SocketAddr>,
        script: impl Fn(usize, &Message, &mut TcpStream) -> Reply + Send + Sync + 'static,
    ) -> Self {
        let address = listener.local_addr().expect("the socket has a local address");
        let received = Arc::new(Mutex::new(Received::default()));
        let (shared, script) = (Arc::clone(&received), Arc::new(script));
        thread::spawn(move || {
            for (stream, peer) in std::iter::repeat_with(|| listener.accept()).flatten() {
                if own.contains(&peer) {
                    continue;
                }
                let (received, script) = (Arc::clone(&shared), Arc::clone(&script));
                let connection = {
                    let mut received = received.lock().expect("the lock is not poisoned");
                    received.links.push(Connection { peer, has_received_data: false, closed: false });
                    received.links.len()
                };
                thread::spawn(move || serve_upstream(stream, connection, &received, &*script));
            }
        });
        Self { address, received }
    }

    /// Returns the received requests in order, each with the number of its connection, counted from 1.
    pub fn requests(&self) -> Vec<(usize, Message)> {
        self.received.lock().expect("the lock is not poisoned").requests.clone()
    }

    /// Returns the number of accepted connections.
    pub fn connections(&self) -> usize {
        self.links().len()
    }

    /// Returns the accepted connections in order.
    pub fn links(&self) -> Vec<Connection> {
        self.received.lock().expect("the lock is not poisoned").links.clone()
    }

    /// Returns all connections that were established before this call, including those that had not been accepted yet.
    pub fn established_links(&self) -> Vec<Connection> {
        // Connections are accepted in the order in which they are established, so a new connection of the test is
        // accepted after all of them.
        let last = TcpStream::connect(self.address).expect("the connection is accepted");
        let own = last.local_addr().expect("the socket has a local address");
        wait_for("the upstream accepts the test's connection", || {
            let links = self.links();
            let end = links.iter().position(|link| link.peer == own)?;
            Some(links[..end].to_vec())
        })
    }

    /// Returns the number of received requests with this body.
    pub fn count_of(&self, body: &str) -> usize {
        self.requests().iter().filter(|(_, request)| request.body == body.as_bytes()).count()
    }

    /// Waits until at least `count` requests have been received.
    pub fn wait_requests(&self, count: usize) {
        wait_for("requests at the upstream", || (self.requests().len() >= count).then_some(()));
    }

    /// Waits until the balancer has closed at least `count` connections.
    pub fn wait_closed(&self, count: usize) {
        wait_for("connections are closed", || {
            (self.links().iter().filter(|link| link.closed).count() >= count).then_some(())
        });
    }
}

/// Reads requests from a connection, records them and answers them as the script determines. `connection` is the number
/// of the connection, counted from 1.
fn serve_upstream(
    mut stream: TcpStream,
    connection: usize,
    received: &Mutex<Received>,
    script: &(dyn Fn(usize, &Message, &mut TcpStream) -> Reply + Send + Sync),
) {
    let change =
        |change: fn(&mut Connection)| change(&mut received.lock().expect("no panic").links[connection - 1]);
    if matches!(stream.peek(&mut [0]), Ok(1)) {
        change(|link| link.has_received_data = true);
    }
    while let Some(message) = read_message(&mut stream) {
        let number = {
            let mut received = received.lock().expect("the lock is not poisoned");
            received.requests.push((connection, message.clone()));
            received.requests.len() - 1
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

/// Returns an address on which nothing listens.
pub fn dead_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .and_then(|listener| listener.local_addr())
        .expect("a free port is available")
}
